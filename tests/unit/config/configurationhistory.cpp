#include "config/configurationhistory.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace Anvilcart;

namespace
{
ConfigurationRecord published(const std::string &id, std::uint64_t parent)
{
    ConfigurationRecord record;
    record.id = id;
    record.parent = parent;
    record.version = parent + 1;
    return record;
}

ConfigurationRecord carried(const std::string &id, std::uint64_t version, std::uint64_t carriedAt)
{
    auto record = published(id, version - 1);
    record.carriedAt = carriedAt;
    return record;
}

std::string idOf(const ConfigurationHistory &history)
{
    return history.current() ? history.current()->id : "";
}
} // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationHistorySuite, *boost::unit_test::label("config"))

BOOST_AUTO_TEST_CASE(A_record_made_from_an_older_version_is_not_accepted)
{
    ConfigurationHistory history;
    BOOST_TEST((history.apply(published("a", 0), 0) == RecordVerdict::Accepted));
    BOOST_TEST((history.apply(published("b", 0), 1) == RecordVerdict::LostRace));
    BOOST_TEST((history.apply(published("c", 1), 2) == RecordVerdict::Accepted));
    BOOST_TEST(idOf(history) == "c");
}

BOOST_AUTO_TEST_CASE(A_late_reader_takes_no_lost_record_as_its_base)
{
    ConfigurationHistory late;
    late.expireBefore(1);
    BOOST_TEST((late.apply(published("b", 0), 1) == RecordVerdict::Deferred));
    BOOST_TEST(late.version() == 0);
    BOOST_TEST((late.apply(carried("a", 1, 2), 2) == RecordVerdict::CarriedForward));
    BOOST_TEST(idOf(late) == "a");
}

BOOST_AUTO_TEST_CASE(A_carried_version_that_may_have_been_replaced_unseen_is_no_base)
{
    ConfigurationHistory late;
    late.expireBefore(3);
    late.apply(carried("a", 1, 1), 3);
    BOOST_TEST(!late.isEstablished());
    late.apply(published("lost", 1), 4);
    BOOST_TEST(late.version() == 0);
    late.apply(carried("b", 2, 4), 5);
    BOOST_TEST(late.isEstablished());
    BOOST_TEST(idOf(late) == "b");
}

BOOST_AUTO_TEST_CASE(Records_between_a_base_and_its_carry_forward_record_count)
{
    ConfigurationHistory late;
    late.expireBefore(2);
    late.apply(published("c", 2), 2);
    late.apply(carried("b", 2, 2), 3);
    BOOST_TEST(idOf(late) == "c");
}

BOOST_AUTO_TEST_CASE(A_reader_that_missed_expired_records_keeps_its_version_and_accepts_nothing_until_it_has_a_base)
{
    ConfigurationHistory reader;
    reader.apply(published("a", 0), 0);
    reader.expireBefore(5);
    BOOST_TEST((reader.apply(published("lost", 1), 5) == RecordVerdict::Deferred));
    BOOST_TEST(idOf(reader) == "a");
    reader.adopt({published("c", 2), 6, true});
    BOOST_TEST(idOf(reader) == "c");
    BOOST_TEST(reader.isEstablished());
}

BOOST_AUTO_TEST_CASE(A_peer_that_has_no_base_gives_a_version_to_run_but_none_to_publish_from)
{
    ConfigurationHistory fresh;
    fresh.adopt({published("c", 2), 6, false});
    BOOST_TEST(fresh.version() == 3);
    fresh.adopt({published("b", 1), 9, false});
    BOOST_TEST(fresh.version() == 3);
    fresh.expireBefore(6);
    BOOST_TEST(!fresh.isEstablished());
    fresh.apply(carried("b", 2, 6), 6);
    BOOST_TEST(fresh.version() == 3);
}

BOOST_AUTO_TEST_CASE(A_record_whose_content_is_of_a_later_release_still_takes_its_place)
{
    const auto record = decodeConfigurationRecord(R"({"id":"a","parent":0,"version":1,"shape":"new"})");
    BOOST_REQUIRE(record.has_value());
    BOOST_TEST(!record->isContentReadable);
    ConfigurationHistory history;
    BOOST_TEST((history.apply(*record, 0) == RecordVerdict::Accepted));
}

namespace
{
/// A log with records that expire, and readers that start, fall behind and ask each other.
class RandomHistory
{
public:
    explicit RandomHistory(unsigned seed)
        : m_random(seed)
        , m_readers(4)
    {
    }

    void run(int steps)
    {
        m_truth.apply(published("first", 0), append(published("first", 0)));
        for (int step = 0; step < steps; ++step) {
            act();
        }
    }

private:
    std::size_t any(std::size_t count)
    {
        return m_random() % count;
    }

    std::uint64_t append(const ConfigurationRecord &record)
    {
        m_log.push_back(record);
        return m_log.size() - 1;
    }

    void appendAndDecide(const ConfigurationRecord &record)
    {
        m_truth.apply(record, append(record));
        m_ids.push_back(idOf(m_truth));
    }

    void act()
    {
        auto &reader = m_readers[any(m_readers.size())];
        const auto before = reader.version();
        switch (any(8)) {
        case 0:
        case 1:
            m_late.push_back(published("p" + std::to_string(m_log.size() + m_late.size()), reader.version()));
            break;
        case 2:
            if (!m_late.empty()) {
                appendLate();
            }
            break;
        case 3:
            if (reader.isEstablished() && reader.version() > 0) {
                m_late.push_back(reader.carryForward());
            }
            break;
        case 4:
            m_first = std::min<std::uint64_t>(m_log.size(), m_first + any(3));
            break;
        case 5:
            askPeer(reader, m_readers[any(m_readers.size())]);
            break;
        case 6:
            if (any(10) == 0) {
                reader = ConfigurationHistory();
                return;
            }
            break;
        default:
            readOn(reader, 1 + any(4));
        }
        BOOST_REQUIRE_GE(reader.version(), before);
        if (reader.isEstablished()) {
            checkAgainstTruth(reader);
        }
    }

    void appendLate()
    {
        const auto index = any(m_late.size());
        const auto record = m_late[index];
        m_late.erase(m_late.begin() + static_cast<std::ptrdiff_t>(index));
        appendAndDecide(record);
    }

    static void askPeer(ConfigurationHistory &reader, const ConfigurationHistory &peer)
    {
        if (peer.current()) {
            reader.adopt({*peer.current(), peer.next(), peer.isEstablished()});
        }
    }

    void readOn(ConfigurationHistory &reader, std::size_t records)
    {
        reader.expireBefore(m_first);
        for (std::size_t read = 0; read < records && reader.next() < m_log.size(); ++read) {
            reader.apply(m_log[reader.next()], reader.next());
        }
    }

    void checkAgainstTruth(const ConfigurationHistory &reader)
    {
        const auto next = reader.next();
        const auto expected = next == 0 ? std::string() : next == 1 ? std::string("first") : m_ids[next - 2];
        BOOST_REQUIRE_EQUAL(idOf(reader), expected);
    }

    std::mt19937 m_random;
    std::vector<ConfigurationRecord> m_log;
    std::vector<ConfigurationRecord> m_late;
    /// The id that is current after each record but the first.
    std::vector<std::string> m_ids;
    std::uint64_t m_first = 0;
    ConfigurationHistory m_truth;
    std::vector<ConfigurationHistory> m_readers;
};
} // namespace

BOOST_AUTO_TEST_CASE(All_readers_of_random_histories_agree_and_no_version_falls)
{
    for (unsigned seed = 1; seed <= 300; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            RandomHistory(seed).run(400);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
