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
constexpr int Hosts = 4;
/// The first hosts are never replaced and forget nothing.
constexpr int LastingHosts = 2;
constexpr int Keys = 3;
constexpr int Steps = 4000;
constexpr Seconds Retention {400};
constexpr Seconds PendingLimit {20};

/// One record of the played log and when it was appended.
struct Appended
{
    ClaimRecord record;
    WallTime at;
};

/// A claimant: its view of the log, and the claims that it has made and not decided.
struct PlayedHost
{
    ClaimTable table;
    std::size_t position = 0;
    int incarnation = 0;
    bool isUpToDate = false;
    std::map<std::string, Claim> pending;
};

/// Plays hosts that claim, abandon, start, freeze and are replaced, with appends that come late, twice or never.
/// Records each start, for the check that no key starts twice within its window.
class History
{
public:
    explicit History(std::uint32_t seed)
        : m_random(seed)
    {
    }

    void play()
    {
        for (int step = 0; step < Steps; ++step) {
            m_now += Milliseconds(draw(0, 1500));
            act(m_hosts[draw(0, Hosts - 1)]);
            deliver();
        }
    }

    /// Starts of one key where the second began before the first one's claim had expired.
    int doubleStarts() const
    {
        return m_doubleStarts;
    }

    int starts() const
    {
        return m_starts;
    }

    /// True where a reader of the whole log grants every claim that was started, and the hosts that were never replaced
    /// grant exactly what it grants.
    bool readersAgree()
    {
        ClaimTable whole;
        for (const auto &appended : m_log) {
            whole.apply(appended.record);
        }
        bool agree = std::all_of(m_started.begin(), m_started.end(), [&](const std::string &id) {
            return whole.isGranted(m_keyOf[id], id);
        });
        for (int i = 0; i < LastingHosts; ++i) {
            auto &host = m_hosts[i];
            while (host.position < m_log.size()) {
                host.table.apply(m_log[host.position++].record);
            }
            for (const auto &[id, key] : m_keyOf) {
                agree = agree && host.table.isGranted(key, id) == whole.isGranted(key, id);
            }
        }
        return agree;
    }

private:
    int draw(int least, int most)
    {
        return boost::random::uniform_int_distribution<int>(least, most)(m_random);
    }

    void act(PlayedHost &host)
    {
        const bool lasts = &host < m_hosts + LastingHosts;
        if (!lasts) {
            host.table.prune(m_now);
        }
        const auto choice = draw(0, 99);
        if (choice < 20) {
            makeClaimOf(host);
        } else if (choice < 90) {
            read(host);
        } else if (choice < 96) {
            giveUp(host);
        } else if (choice < 99 && !lasts) {
            replace(host);
        }
    }

    void makeClaimOf(PlayedHost &host)
    {
        const auto key = "k" + std::to_string(draw(0, Keys - 1));
        if (!host.isUpToDate || host.table.standing(key, m_now).state != KeyState::Free) {
            return;
        }
        auto claim = makeClaim("c" + std::to_string(++m_lastClaim), key, m_now);
        claim.expiresAt = m_now + Seconds(draw(30, 200));
        m_keyOf[claim.id] = key;
        host.pending.emplace(claim.id, claim);
        append(claim);
    }

    /// Appends now, late, twice or never.
    void append(const ClaimRecord &record)
    {
        const auto fate = draw(0, 9);
        if (fate < 6) {
            m_log.push_back({record, m_now});
        }
        if (fate >= 4 && fate < 9) {
            m_inFlight.emplace(m_now + Milliseconds(draw(0, 60000)), record);
        }
    }

    void deliver()
    {
        while (!m_inFlight.empty() && m_inFlight.begin()->first <= m_now) {
            m_log.push_back({m_inFlight.begin()->second, m_now});
            m_inFlight.erase(m_inFlight.begin());
        }
    }

    void read(PlayedHost &host)
    {
        if (host.position >= m_log.size()) {
            host.isUpToDate = true;
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

    void decide(PlayedHost &host, const Claim &claim)
    {
        const bool inTime = m_now < claim.claimedAt + PendingLimit && m_now < claim.expiresAt;
        if (!inTime || !host.table.isGranted(claim.key, claim.id)) {
            append(makeAbandonment(claim));
            return;
        }
        start(claim);
        if (draw(0, 1) == 0) {
            append(makeOutcome(claim, "done"));
        }
    }

    void start(const Claim &claim)
    {
        ++m_starts;
        m_started.insert(claim.id);
        auto &until = m_heldUntil[claim.key];
        m_doubleStarts += m_now < until ? 1 : 0;
        until = std::max(until, claim.expiresAt);
    }

    void giveUp(PlayedHost &host)
    {
        for (const auto &[id, claim] : host.pending) {
            append(makeAbandonment(claim));
        }
        host.pending.clear();
    }

    /// A new host on the same address: it knows nothing but what the log still keeps.
    void replace(PlayedHost &host)
    {
        host = PlayedHost();
        while (host.position < m_log.size() && m_log[host.position].at + Retention < m_now) {
            ++host.position;
        }
    }

    boost::random::mt19937 m_random;
    WallTime m_now = ClaimStart;
    std::vector<Appended> m_log;
    std::multimap<WallTime, ClaimRecord> m_inFlight;
    PlayedHost m_hosts[Hosts];
    std::map<std::string, std::string> m_keyOf;
    std::map<std::string, WallTime> m_heldUntil;
    std::set<std::string> m_started;
    int m_lastClaim = 0;
    int m_starts = 0;
    int m_doubleStarts = 0;
};
} // namespace

BOOST_AUTO_TEST_SUITE(ClaimHistorySuite, *boost::unit_test::label("claims"))

BOOST_AUTO_TEST_CASE(No_key_starts_twice_within_its_window_in_random_histories)
{
    for (std::uint32_t seed = 1; seed <= 60; ++seed) {
        History history(seed);
        history.play();
        BOOST_TEST(history.starts() > 0, "seed " << seed);
        BOOST_TEST(history.doubleStarts() == 0, "seed " << seed << ": " << history.doubleStarts());
        BOOST_TEST(history.readersAgree(), "seed " << seed);
    }
}

BOOST_AUTO_TEST_SUITE_END()
