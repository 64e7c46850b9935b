#include "emulator/faultseries.h"
#include "emulator/faultdraws.h"

#include <algorithm>
#include <functional>
#include <random>
#include <utility>
#include <vector>

namespace Anvilcart::Emulation
{
namespace
{
/// Faults begin within this time, so that the fleet recovers before callers stop.
constexpr Milliseconds SeriesBegin {4000};
constexpr Milliseconds SeriesEnd {20000};
/// Staggered losses: the longest time from the end of a host to the loss of its dispatcher.
constexpr Milliseconds LongestGap {900};

/// A kind of short fault. Those that do not concern a host ignore it.
struct SeriesKind
{
    const char *name;
    /// The host, its zone or its links come back at the end of the fault.
    bool endsWithReturn;
    std::function<void(std::mt19937_64 &random, std::size_t host, Milliseconds at, Milliseconds length)> inject;
};

std::vector<SeriesKind> hostFaultKinds(EmulatedFleet &fleet, const FleetOptions &options)
{
    return {
        {"zone cuts",
         true,
         [&fleet, options](std::mt19937_64 &random, std::size_t host, Milliseconds at, Milliseconds length) {
             fleet.partitionZone(options.hostZones[host], at, length, random() % 2 == 0);
         }},
        {"host cuts",
         true,
         [&fleet](std::mt19937_64 &, std::size_t host, Milliseconds at, Milliseconds length) {
             fleet.partitionHost(host, at, length);
         }},
        {"one-way cuts",
         true,
         [&fleet, options](std::mt19937_64 &random, std::size_t host, Milliseconds at, Milliseconds length) {
             const auto other = drawOtherHost(random, options.hostZones.size(), host);
             const bool isSender = random() % 2 == 0;
             fleet.cutHostFromHost(isSender ? host : other, isSender ? other : host, at, length);
         }},
        {"freezes",
         true,
         [&fleet](std::mt19937_64 &, std::size_t host, Milliseconds at, Milliseconds length) {
             fleet.pauseHost(host, at, length);
         }},
        {"kills",
         false,
         [&fleet](std::mt19937_64 &, std::size_t host, Milliseconds at, Milliseconds length) {
             fleet.killHost(host, at, length);
         }},
    };
}

std::vector<SeriesKind> otherFaultKinds(EmulatedFleet &fleet)
{
    const auto drawTargetCount = [](std::mt19937_64 &random) {
        return 1 + static_cast<std::size_t>(random() % 12);
    };
    return {
        {"stops",
         false,
         [&fleet](std::mt19937_64 &, std::size_t host, Milliseconds at, Milliseconds length) {
             fleet.stopHost(host, at, length);
         }},
        {"target cuts",
         false,
         [&fleet, drawTargetCount](std::mt19937_64 &random, std::size_t, Milliseconds at, Milliseconds length) {
             fleet.cutTargets(drawTargetCount(random), drawBetween(random, Milliseconds(0), 2 * length), at, length);
         }},
        {"target restarts",
         false,
         [&fleet, drawTargetCount](std::mt19937_64 &random, std::size_t, Milliseconds at, Milliseconds) {
             fleet.restartTargets(drawTargetCount(random), at);
         }},
        {"late orders",
         false,
         [&fleet](std::mt19937_64 &, std::size_t, Milliseconds at, Milliseconds length) {
             fleet.delayTargetRequests(0.1, at, length);
         }},
        {"leavers",
         false,
         [&fleet](std::mt19937_64 &, std::size_t, Milliseconds at, Milliseconds length) {
             fleet.cancelJobs(0.3, at, length);
         }},
        {"lost caller connections",
         false,
         [&fleet](std::mt19937_64 &, std::size_t, Milliseconds at, Milliseconds length) {
             fleet.breakCallerConnections(0.5, at, length);
         }},
        {"bursts",
         false,
         [&fleet](std::mt19937_64 &, std::size_t, Milliseconds at, Milliseconds length) {
             fleet.increaseLoad(1.8, at, length);
         }},
        {"failed target lists",
         false,
         [&fleet](std::mt19937_64 &, std::size_t, Milliseconds at, Milliseconds length) {
             fleet.failTargetListReads(at, length);
         }},
    };
}

/// Ends a host and, within the next 0.9 s, strikes the dispatcher of another pool, which has some of its jobs: less than a grant later, so
/// that its runs may go on when callers send their jobs again over other hosts.
SeriesKind staggeredLosses(EmulatedFleet &fleet, const FleetOptions &options)
{
    return {"staggered losses", false, [&fleet, options](std::mt19937_64 &random, std::size_t host, Milliseconds at, Milliseconds length) {
                const auto gap = drawBetween(random, Milliseconds(0), LongestGap);
                const auto strikeFor = drawBetween(random, Milliseconds(300), Milliseconds(3000));
                const auto strike = random() % 4;
                const auto choice = random();
                fleet.callWithDispatchers(at, [=, &fleet](std::vector<std::size_t> dispatchers) {
                    std::erase(dispatchers, host);
                    if (dispatchers.empty()) {
                        return;
                    }
                    const auto struck = dispatchers[choice % dispatchers.size()];
                    switch (strike) {
                    case 0:
                        fleet.killHost(struck, at + gap, strikeFor);
                        break;
                    case 1:
                        fleet.pauseHost(struck, at + gap, strikeFor);
                        break;
                    case 2:
                        fleet.partitionHost(struck, at + gap, strikeFor);
                        break;
                    default:
                        fleet.partitionZone(options.hostZones[struck], at + gap, strikeFor);
                        break;
                    }
                });
                const bool isStopped = random() % 3 == 0;
                if (isStopped) {
                    fleet.stopHost(host, at - EmulatedFleet::ShutdownTime, length);
                } else {
                    fleet.killHost(host, at, length);
                }
            }};
}

/// Adds faults to hosts that have just claimed a pool; their number is limited, as each may cause the next claim.
void addFaultsAfterClaims(EmulatedFleet &fleet, const FleetOptions &options, std::uint64_t seed)
{
    constexpr int MostFaults = 6;
    fleet.setClaimHandler([kinds = hostFaultKinds(fleet, options), random = std::mt19937_64(seed * 8191 + 23), count = 0](
                              std::size_t host, Duration now) mutable {
        const auto at = std::chrono::duration_cast<Milliseconds>(now) + drawBetween(random, Milliseconds(1), Milliseconds(150));
        if (at < SeriesBegin || at > SeriesEnd || count == MostFaults || random() % 2 == 0) {
            return;
        }
        ++count;
        const auto length = drawBetween(random, Milliseconds(100), Milliseconds(2000));
        kinds[random() % kinds.size()].inject(random, host, at, length);
    });
}
/// The end of a fault after which a host comes back.
struct Return
{
    std::size_t host;
    Milliseconds at;
};

/// Adds a series of faults of this kind, some of them just after one of the returns, and its own returns to them. Returns a description
/// with the times.
std::string addSeriesOf(const SeriesKind &kind, std::size_t hostCount, std::mt19937_64 &random, std::vector<Return> &returns)
{
    std::string description = kind.name;
    const auto faultCount = 4 + random() % 17;
    const auto longest = drawBetween(random, Milliseconds(100), Milliseconds(2000));
    const auto longestPause = drawBetween(random, Milliseconds(50), Milliseconds(2000));
    const bool strikesOneHost = random() % 2 == 0;
    auto host = random() % hostCount;
    auto nextAt = drawBetween(random, SeriesBegin, SeriesBegin + Milliseconds(5000));
    for (std::uint64_t fault = 0; fault < faultCount && nextAt < SeriesEnd; ++fault) {
        if (!strikesOneHost) {
            host = random() % hostCount;
        }
        const auto length = drawBetween(random, std::max(Milliseconds(100), longest / 2), longest);
        auto struckHost = host;
        auto at = nextAt;
        if (!returns.empty() && random() % 4 == 0) {
            const auto &aim = returns[random() % returns.size()];
            struckHost = aim.host;
            at = aim.at + drawBetween(random, Milliseconds(1), Milliseconds(100));
        } else {
            nextAt += length + drawBetween(random, std::max(Milliseconds(50), longestPause / 2), longestPause);
        }
        kind.inject(random, struckHost, at, length);
        if (kind.endsWithReturn) {
            returns.push_back({struckHost, at + length});
        }
        description += " " + std::to_string(struckHost) + " " + describeSpan(at, length) + ",";
    }
    return description;
}

std::vector<SeriesKind> allFaultKinds(EmulatedFleet &fleet, const FleetOptions &options)
{
    auto kinds = hostFaultKinds(fleet, options);
    for (auto &kind : otherFaultKinds(fleet)) {
        kinds.push_back(std::move(kind));
    }
    return kinds;
}
} // namespace

std::string addFaultSeries(EmulatedFleet &fleet, const FleetOptions &options, std::uint64_t seed)
{
    std::mt19937_64 random(seed * 6151 + 17);
    auto kinds = allFaultKinds(fleet, options);
    std::vector<Return> returns;
    std::string description;
    const auto seriesCount = 2 + random() % 2;
    for (std::uint64_t series = 0; series < seriesCount; ++series) {
        const auto drawn = kinds.begin() + static_cast<std::ptrdiff_t>(random() % kinds.size());
        const auto kind = *drawn;
        kinds.erase(drawn);
        description += (description.empty() ? "" : "; ") + addSeriesOf(kind, options.hostZones.size(), random, returns);
    }
    if (random() % 2 == 0) {
        addFaultsAfterClaims(fleet, options, seed);
        description += "; faults after claims";
    }
    return description;
}

std::string addStaggeredLosses(EmulatedFleet &fleet, const FleetOptions &options, std::uint64_t seed)
{
    std::mt19937_64 random(seed * 5801 + 29);
    fleet.sendJobsAgainAfterUnknownOutcomes();
    std::vector<Return> returns;
    std::string description;
    if (random() % 2 == 0) {
        const auto kinds = allFaultKinds(fleet, options);
        description = addSeriesOf(kinds[random() % kinds.size()], options.hostZones.size(), random, returns) + "; ";
    }
    return description + addSeriesOf(staggeredLosses(fleet, options), options.hostZones.size(), random, returns);
}
} // namespace Anvilcart::Emulation
