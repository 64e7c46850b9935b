#pragma once

#include "fleet/evacuationstate.h"
#include "kernel/time.h"
#include "model/endpoint.h"
#include "scheduling/scheduler.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace Anvilcart::Fleet
{
/// Identifies a set of targets that one host dispatches to: all targets, those of an availability zone, or one shard of a zone.
struct PoolName
{
    /// Empty for a pool that spans all zones.
    std::string zone;
    std::uint32_t shard = 0;

    bool operator==(const PoolName &) const = default;

    bool operator<(const PoolName &other) const
    {
        return std::tie(zone, shard) < std::tie(other.zone, other.shard);
    }
};

/// A host's claim to a pool, as the host reports it.
struct PoolClaim
{
    PoolName pool;
    /// Increases with every claim: of two claims, the one with the higher round is newer.
    std::uint64_t round = 0;
    /// The host is releasing the pool.
    bool yielding = false;
    /// Targets of a yielding pool that the host has not released yet.
    std::vector<std::string> heldTargets;
    /// Number of targets of the pool that answer the host, or may still hold runs of it after they have left the list.
    std::uint32_t ownedTargets = 0;

    bool operator==(const PoolClaim &) const = default;
};

/// A host's report of its own state.
struct HostReport
{
    std::string host;
    std::uint64_t incarnation = 0;
    std::string zone;
    Endpoint peerEndpoint;
    std::uint64_t configurationVersion = 0;
    bool leaving = false;
    std::vector<PoolClaim> claims;
    std::vector<ServiceLoad> loads;
    /// The number of claims of targets that the host has made.
    std::uint64_t claimCount = 0;
    /// Identifies the set of targets that the host claims or holds.
    std::uint64_t targetsDigest = 0;
    /// Processor time that the host may use, in hundredths of a core.
    std::uint32_t processorPercent = 0;
    /// The host has failed to read the list of targets for so long that it should not dispatch by it.
    bool targetListIsStale = false;
    /// Time since it last read the list.
    Duration targetListAge = std::chrono::hours(1);
    /// The next report follows within this time.
    Duration period {0};
    /// Runs that the host starts under a grant end this long after it. Nothing from versions whose runs end with the longest lease only.
    std::optional<Duration> longestRunAfterGrant;
    /// What the host knows of evacuations. Nothing before it knows them, and from earlier versions.
    std::optional<EvacuationView> evacuation;
};

/// Another host, as seen from this one.
struct FleetMember
{
    HostReport report;
    /// Since when the host is live in its present incarnation.
    TimePoint liveSince;
    TimePoint lastReportAt;
    /// From when its silence counts: its last report, or later by the time for which this host has stood still since.
    TimePoint silentSince;
    /// When that report was sent, on the host's clock.
    Duration reportSentAt {0};
    /// When its connection closed; TimePoint() when a report has arrived since, or the connection is open.
    TimePoint disconnectedAt;
};

/// The hosts that have reported recently. Not thread-safe.
class FleetView
{
public:
    /// Records a report, which was sent at sentAt on its sender's clock. True when the host was not live here, or has restarted.
    bool onReport(HostReport report, TimePoint now, Duration sentAt = Duration(0));

    /// Records that a connection closed. The host becomes unresponsive soon, unless it reports on another connection.
    void onDisconnect(const std::string &host, std::uint64_t incarnation, TimePoint now);

    /// Leaves out of the silence of all hosts the time for which this host has just stood still: it could not hear them.
    void onPause(Duration pause, TimePoint now);

    /// Removes the hosts that are no longer live, and returns them.
    std::vector<FleetMember> removeUnresponsive(TimePoint now);

    /// Removes a host, and returns what was known of it.
    std::optional<FleetMember> remove(const std::string &host);

    bool isLive(const std::string &host, TimePoint now) const;
    bool isLive(const std::string &host, std::uint64_t incarnation, TimePoint now) const;

    /// How long a live host may send no report that announced the next one within this period. Thread-safe.
    static Duration longestSilence(Duration period);

    /// Live hosts, sorted by name.
    std::vector<const FleetMember *> liveMembers(TimePoint now) const;

    /// The number of live hosts other than this one.
    std::size_t liveCount(TimePoint now) const;

    /// The same for the hosts of one availability zone.
    std::size_t liveCountOfZone(const std::string &zone, TimePoint now) const;

    const FleetMember *find(const std::string &host) const;

private:
    static bool isLive(const FleetMember &member, TimePoint now);

    std::map<std::string, FleetMember> m_members;
};
} // namespace Anvilcart::Fleet
