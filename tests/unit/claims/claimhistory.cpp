#include "claims/claimtable.h"
#include "claimsamples.h"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <set>

using namespace Anvilcart;

namespace
{
constexpr int HostCount = 4;
/// The first hosts are never replaced and never prune their tables.
constexpr int PermanentHostCount = 2;
constexpr int KeyCount = 3;
constexpr int StepCount = 4000;
constexpr Seconds LogRetention {400};
constexpr Seconds ReadBackTimeLimit {20};

/// A record of the simulated log and when it was appended.
struct AppendedRecord
{
    ClaimRecord record;
    WallTime at;
};

/// A claimant with its table, its position in the log and the claims that it has not decided yet.
struct HostModel
{
    ClaimTable table;
    std::size_t position = 0;
    int incarnation = 0;
    bool hasCaughtUp = false;
    std::map<std::string, Claim> pending;
};

/// Simulates hosts that claim keys, abandon claims, start tasks, fall behind in the log and are replaced, with appends that arrive
/// late, twice or never. Records each start to check that no key starts twice before its claim expires.
class RandomHistory
{
public:
    explicit RandomHistory(std::uint32_t seed)
        : m_random(seed)
    {
    }

    void run()
    {
        for (int step = 0; step < StepCount; ++step) {
            m_now += Milliseconds(randomInt(0, 1500));
            runRandomAction(m_hosts[randomInt(0, HostCount - 1)]);
            appendDelayedRecords();
        }
    }

    /// The number of starts of a key made before the claim of an earlier start had expired.
    int doubleStartCount() const
    {
        return m_doubleStartCount;
    }

    int startCount() const
    {
        return m_startCount;
    }

    /// True if a reader of the whole log grants every claim whose task was started, and the permanent hosts grant exactly
    /// the same claims as that reader.
    bool readersAgree()
    {
        ClaimTable fullTable;
        for (const auto &appended : m_log) {
            fullTable.apply(appended.record);
        }
        bool agrees = std::all_of(m_startedClaims.begin(), m_startedClaims.end(), [&](const std::string &id) {
            return fullTable.isGranted(m_keyOf[id], id);
        });
        for (int i = 0; i < PermanentHostCount; ++i) {
            auto &host = m_hosts[i];
            while (host.position < m_log.size()) {
                host.table.apply(m_log[host.position++].record);
            }
            for (const auto &[id, key] : m_keyOf) {
                agrees = agrees && host.table.isGranted(key, id) == fullTable.isGranted(key, id);
            }
        }
        return agrees;
    }

private:
    int randomInt(int min, int max)
    {
        return boost::random::uniform_int_distribution<int>(min, max)(m_random);
    }

    void runRandomAction(HostModel &host)
    {
        const bool isPermanent = &host < m_hosts + PermanentHostCount;
        if (!isPermanent) {
            host.table.prune(m_now);
        }
        const auto choice = randomInt(0, 99);
        if (choice < 20) {
            claimRandomKey(host);
        } else if (choice < 90) {
            read(host);
        } else if (choice < 96) {
            abandonPendingClaims(host);
        } else if (choice < 99 && !isPermanent) {
            replace(host);
        }
    }

    void claimRandomKey(HostModel &host)
    {
        const auto key = "k" + std::to_string(randomInt(0, KeyCount - 1));
        if (!host.hasCaughtUp || host.table.keyStatus(key, m_now).state != KeyState::Free) {
            return;
        }
        auto claim = makeClaim("c" + std::to_string(++m_lastClaimNumber), key, m_now);
        claim.expiresAt = m_now + Seconds(randomInt(30, 200));
        m_keyOf[claim.id] = key;
        host.pending.emplace(claim.id, claim);
        append(claim);
    }

    /// Appends the record now, late, twice or never.
    void append(const ClaimRecord &record)
    {
        const auto delivery = randomInt(0, 9);
        if (delivery < 6) {
            m_log.push_back({record, m_now});
        }
        if (delivery >= 4 && delivery < 9) {
            m_delayedRecords.emplace(m_now + Milliseconds(randomInt(0, 60000)), record);
        }
    }

    void appendDelayedRecords()
    {
        while (!m_delayedRecords.empty() && m_delayedRecords.begin()->first <= m_now) {
            m_log.push_back({m_delayedRecords.begin()->second, m_now});
            m_delayedRecords.erase(m_delayedRecords.begin());
        }
    }

    void read(HostModel &host)
    {
        if (host.position >= m_log.size()) {
            host.hasCaughtUp = true;
            return;
        }
        const auto &record = m_log[host.position++].record;
        host.table.apply(record);
        const auto *claim = std::get_if<Claim>(&record);
        if (claim == nullptr || !host.pending.contains(claim->id)) {
            return;
        }
        host.pending.erase(claim->id);
        decide(host, *claim);
    }

    void decide(HostModel &host, const Claim &claim)
    {
        const bool inTime = m_now < claim.claimedAt + ReadBackTimeLimit && m_now < claim.expiresAt;
        if (!inTime || !host.table.isGranted(claim.key, claim.id)) {
            append(makeAbandonment(claim));
            return;
        }
        start(claim);
        if (randomInt(0, 1) == 0) {
            append(makeOutcome(claim, "done"));
        }
    }

    void start(const Claim &claim)
    {
        ++m_startCount;
        m_startedClaims.insert(claim.id);
        auto &until = m_claimedUntil[claim.key];
        m_doubleStartCount += m_now < until ? 1 : 0;
        until = std::max(until, claim.expiresAt);
    }

    void abandonPendingClaims(HostModel &host)
    {
        for (const auto &[id, claim] : host.pending) {
            append(makeAbandonment(claim));
        }
        host.pending.clear();
    }

    /// Replaces the host by a new one that starts at the oldest record that the log retains.
    void replace(HostModel &host)
    {
        host = HostModel();
        while (host.position < m_log.size() && m_log[host.position].at + LogRetention < m_now) {
            ++host.position;
        }
    }

    boost::random::mt19937 m_random;
    WallTime m_now = ClaimStart;
    std::vector<AppendedRecord> m_log;
    std::multimap<WallTime, ClaimRecord> m_delayedRecords;
    HostModel m_hosts[HostCount];
    std::map<std::string, std::string> m_keyOf;
    std::map<std::string, WallTime> m_claimedUntil;
    std::set<std::string> m_startedClaims;
    int m_lastClaimNumber = 0;
    int m_startCount = 0;
    int m_doubleStartCount = 0;
};
} // namespace

BOOST_AUTO_TEST_SUITE(ClaimHistorySuite, *boost::unit_test::label("claims"))

BOOST_AUTO_TEST_CASE(No_key_starts_twice_before_its_claim_expires_in_random_histories)
{
    for (std::uint32_t seed = 1; seed <= 60; ++seed) {
        RandomHistory history(seed);
        history.run();
        BOOST_TEST(history.startCount() > 0, "seed " << seed);
        BOOST_TEST(history.doubleStartCount() == 0, "seed " << seed << ": " << history.doubleStartCount());
        BOOST_TEST(history.readersAgree(), "seed " << seed);
    }
}

BOOST_AUTO_TEST_SUITE_END()
