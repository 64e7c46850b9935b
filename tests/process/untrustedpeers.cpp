#include "fleet/fleet.pb.h"
#include "untrustedclientsfixture.h"

#include <boost/endian/conversion.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstring>
#include <functional>
#include <string>
#include <vector>

using namespace Anvilcart;
namespace data = boost::unit_test::data;
namespace Wire = Anvilcart::Fleet::Wire;

namespace
{
/// The largest message that hosts accept from each other.
constexpr std::size_t LargestFrame = 4 * 1024 * 1024;
constexpr std::size_t NamedEndpoints = 1000;
constexpr std::size_t ForgedHosts = 60000;
constexpr std::size_t LargeReports = 40;
constexpr std::size_t ClaimsOfLargeReport = 7000;
constexpr std::size_t LongNames = 40;
constexpr std::size_t LongNameBytes = 3 * 1024 * 1024;
constexpr std::size_t LostDispatchers = 150000;
constexpr std::size_t LostDispatchersPerFrame = 1000;
constexpr std::size_t ForgedJobs = 400000;
constexpr std::size_t ForgedJobsPerFrame = 20000;
constexpr std::size_t LongJobs = 100;
constexpr std::size_t LongJobBytes = 1024 * 1024;
constexpr std::int64_t HourUs = 3'600'000'000;

std::string withLength(const std::string &message)
{
    const auto length = boost::endian::native_to_big(static_cast<std::uint32_t>(message.size()));
    std::string bytes(sizeof(length), '\0');
    std::memcpy(bytes.data(), &length, sizeof(length));
    return bytes + message;
}

std::string framed(const Wire::Frame &frame)
{
    return withLength(frame.SerializeAsString());
}

Wire::Frame frameOf(const std::string &host, std::uint64_t incarnation)
{
    Wire::Frame frame;
    frame.set_host(host);
    frame.set_incarnation(incarnation);
    frame.set_sent_at_us(1);
    return frame;
}

/// A report of a host in a zone of its own, that names an endpoint where nobody listens.
Wire::Frame reportOf(const std::string &host, std::uint64_t incarnation)
{
    auto frame = frameOf(host, incarnation);
    auto &report = *frame.mutable_heartbeat();
    report.set_zone("z");
    report.set_address("127.0.0.1");
    report.set_port(9);
    report.set_period_ms(500);
    return frame;
}

void addJob(Wire::Frame &frame, std::size_t number, const std::string &payload)
{
    auto &job = *frame.add_submits();
    char id[17];
    std::snprintf(id, sizeof(id), "%016zx", number);
    job.set_id(id);
    job.set_route("checks");
    job.set_identified_by_route(true);
    job.set_service("desk");
    job.set_entry_host(frame.host());
    job.set_max_attempts(3);
    job.set_number(number + 1);
    job.set_answer_within_us(HourUs);
    job.set_payload(payload);
    auto &step = *job.add_steps();
    step.set_task_count(1);
    step.mutable_demand()->set_milli_cores(10000);
    step.set_estimate_ms(1000);
}

std::string varint(std::size_t value)
{
    std::string bytes;
    for (; value >= 128; value /= 128) {
        bytes += static_cast<char>(value % 128 + 128);
    }
    return bytes + static_cast<char>(value);
}

/// Fields without content, as many as fit into so many bytes.
std::string emptyFields(const std::string &tag, std::size_t bytes)
{
    const auto field = tag + '\0';
    std::string fields;
    while (fields.size() + field.size() <= bytes) {
        fields += field;
    }
    return fields;
}

/// A kind of rows in a message.
struct RowKind
{
    const char *name;
    std::string tag;
    /// The field that holds the rows; none for rows of the frame itself.
    char parent = 0;
};

std::ostream &operator<<(std::ostream &stream, const RowKind &kind)
{
    return stream << kind.name;
}

const std::vector<RowKind> RowKinds {
    {"jobs", "\x22"},
    {"results", "\x32"},
    {"crash notices", "\x5a"},
    {"lost dispatchers", "\x6a"},
    {"cancel answers", "\x82\x01"},
    {"abandoned runs", "\xa2\x01"},
    {"steps of a job", "\x1a", '\x22'},
    {"crashes of a job", std::string("\x82\x01"), '\x22'},
    {"known endpoints", "\x42", '\x1a'},
    {"pool claims", "\x32", '\x1a'},
    {"service loads", "\x3a", '\x1a'},
};

struct UntrustedPeersFixture : UntrustedClientsFixture
{
    /// Sends whole messages over one connection, and waits until the host has read them all or exceeds its memory.
    void sendFrames(const std::string &frames)
    {
        // The host closes the connection when it reads the length of a message that is too long.
        const auto bytes = frames + "\xff\xff\xff\xff";
        UntrustedClients sender(site.peerEndpoint(0), 1);
        const auto exceeds = [this] {
            return exceedsMemory();
        };
        sender.send(bytes, "-", bytes.size(), exceeds);
        BOOST_TEST(eventually([&] {
            return sender.areClosed() || exceeds();
        }));
    }
};
} // namespace

// Whoever reaches the endpoint for other hosts can send messages like theirs.
BOOST_FIXTURE_TEST_SUITE(UntrustedPeersSuite, UntrustedPeersFixture, *boost::unit_test::label("untrusted"))

BOOST_AUTO_TEST_CASE(A_list_of_many_endpoints_leaves_descriptors_free)
{
    // Accepts connections to any address of the loopback network.
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor listener(context, {boost::asio::ip::tcp::v4(), 0}, false);
    listener.listen(static_cast<int>(NamedEndpoints));
    auto frame = reportOf("forged", 1);
    for (std::size_t number = 0; number < NamedEndpoints; ++number) {
        auto &endpoint = *frame.mutable_heartbeat()->add_known();
        endpoint.set_address("127.250." + std::to_string(number / 250) + "." + std::to_string(number % 250 + 1));
        endpoint.set_port(listener.local_endpoint().port());
    }
    sendFrames(framed(frame));
    std::size_t mostSockets = 0;
    for (int look = 0; look < 100; ++look) {
        mostSockets = std::max(mostSockets, countDescriptors(site.host(0).id()).sockets);
        std::this_thread::sleep_for(Milliseconds(10));
    }
    BOOST_TEST(mostSockets <= DescriptorLimit - ReservedForFiles);
    checkHost();
}

BOOST_DATA_TEST_CASE_F(UntrustedPeersFixture, A_message_of_many_short_rows_takes_bounded_memory, data::make(RowKinds))
{
    auto message = frameOf("forged", 1).SerializeAsString();
    constexpr std::size_t LongestFieldHeader = 5;
    const auto rows = emptyFields(sample.tag, LargestFrame - message.size() - LongestFieldHeader);
    if (sample.parent != 0) {
        message += sample.parent + varint(rows.size());
    }
    sendFrames(withLength(message + rows));
    checkHost();
}

BOOST_AUTO_TEST_CASE(Reports_of_many_hosts_take_bounded_memory)
{
    std::string bytes;
    for (std::size_t number = 0; number < ForgedHosts; ++number) {
        bytes += framed(reportOf("forged-" + std::to_string(number), number + 1));
    }
    sendFrames(bytes);
    checkHost();
}

BOOST_DATA_TEST_CASE_F(UntrustedPeersFixture, Reports_of_many_processes_of_one_host_take_bounded_memory, data::make({0, 1}), pools)
{
    std::string bytes;
    for (std::size_t number = 0; number < ForgedHosts; ++number) {
        auto frame = reportOf("forged", number + 1);
        for (int pool = 0; pool < pools; ++pool) {
            frame.mutable_heartbeat()->add_claims()->set_zone("z");
        }
        bytes += framed(frame);
    }
    sendFrames(bytes);
    checkHost();
}

BOOST_AUTO_TEST_CASE(Large_reports_of_many_hosts_take_bounded_memory)
{
    for (std::size_t number = 0; number < LargeReports && !exceedsMemory(); ++number) {
        auto frame = reportOf("forged-" + std::to_string(number), number + 1);
        // The host stays live for as long as it has promised the next report.
        frame.mutable_heartbeat()->set_period_ms(600000);
        for (std::size_t row = 0; row < ClaimsOfLargeReport; ++row) {
            auto &claim = *frame.mutable_heartbeat()->add_claims();
            claim.set_zone(std::to_string(row));
            claim.add_held_targets(std::string(500, 't'));
        }
        sendFrames(framed(frame));
    }
    checkHost();
}

BOOST_AUTO_TEST_CASE(Hosts_with_long_names_take_bounded_memory)
{
    for (std::size_t number = 0; number < LongNames && !exceedsMemory(); ++number) {
        sendFrames(framed(reportOf(std::string(LongNameBytes, static_cast<char>('a' + number % 26)) + std::to_string(number), number + 1)));
    }
    checkHost();
}

BOOST_DATA_TEST_CASE_F(UntrustedPeersFixture, A_list_of_many_lost_dispatchers_does_not_stop_the_host, data::make({0, 1}), pools)
{
    auto frame = reportOf("forged", 1);
    for (std::size_t number = 0; number < LostDispatchers; ++number) {
        auto &row = *frame.add_lost_dispatchers();
        row.set_host(std::to_string(number));
        row.set_incarnation(number + 1);
        for (int pool = 0; pool < pools; ++pool) {
            row.add_claims()->set_zone("z");
        }
    }
    sendFrames(framed(frame));
    checkHost();
}

BOOST_AUTO_TEST_CASE(Many_short_lists_of_lost_dispatchers_do_not_stop_the_host)
{
    std::string bytes;
    for (std::size_t number = 0; number < LostDispatchers; number += LostDispatchersPerFrame) {
        auto frame = reportOf("forged", 1);
        for (std::size_t row = number; row < number + LostDispatchersPerFrame; ++row) {
            auto &lost = *frame.add_lost_dispatchers();
            lost.set_host(std::to_string(row));
            lost.set_incarnation(row + 1);
            lost.add_claims()->set_zone("z");
        }
        bytes += framed(frame);
    }
    sendFrames(bytes);
    checkHost();
}

BOOST_AUTO_TEST_CASE(Jobs_of_a_forged_entry_host_take_bounded_memory)
{
    for (std::size_t number = 0; number < ForgedJobs && !exceedsMemory();) {
        auto frame = frameOf("forged", 1);
        for (std::size_t row = 0; row < ForgedJobsPerFrame; ++row) {
            addJob(frame, number++, "1");
        }
        sendFrames(framed(frame));
    }
    checkHost();
}

BOOST_AUTO_TEST_CASE(Long_jobs_of_a_forged_entry_host_take_bounded_memory)
{
    for (std::size_t number = 0; number < LongJobs && !exceedsMemory(); ++number) {
        auto frame = reportOf("forged", 1);
        addJob(frame, number, "600000" + std::string(LongJobBytes, ' '));
        sendFrames(framed(frame));
    }
    checkHost();
}

BOOST_AUTO_TEST_CASE(Long_names_of_cancelled_jobs_take_bounded_memory)
{
    for (std::size_t number = 0; number < LongNames && !exceedsMemory(); ++number) {
        auto frame = frameOf("forged", 1);
        auto &job = *frame.add_cancelled_jobs();
        job.set_id(std::string(LongNameBytes, 'a') + std::to_string(number));
        job.set_route("checks");
        job.set_for_us(HourUs);
        sendFrames(framed(frame));
    }
    checkHost();
}

BOOST_AUTO_TEST_SUITE_END()
