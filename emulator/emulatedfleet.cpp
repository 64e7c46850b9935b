#include "emulator/emulatedfleet.h"

#include <algorithm>
#include <utility>

namespace Anvilcart::Emulation
{
EmulatedFleet::EmulatedFleet(FleetOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_network(m_clock, m_random, m_options.delayInZone, m_options.delayAcrossZones)
    , m_connections(m_clock, m_network, m_options.seed)
    , m_callers(m_clock, m_random, m_invariants, m_hosts)
{
    m_callers.setFarFactor(m_options.limits.farFactor);
    if (m_options.sharesIds) {
        m_callers.shareIdsBetweenRoutes();
    }
    addTargets();
    addHosts();
}

EmulatedFleet::~EmulatedFleet() = default;

std::string EmulatedFleet::rackOf(const std::string &zone, std::size_t number)
{
    constexpr std::size_t TargetsPerRack = 4;
    return "r" + zone + "-" + std::to_string(number / TargetsPerRack);
}

void EmulatedFleet::addTargets()
{
    constexpr std::int64_t SmallTarget = 32000;
    constexpr std::int64_t LargeTarget = 48000;
    constexpr std::int64_t MemoryMb = 131072;
    constexpr double SlowestClock = 0.98;
    // Drawn apart, so that the jobs and faults of a seed do not depend on it.
    std::mt19937_64 random(m_options.seed);
    for (const auto &zone : m_options.targetZones) {
        for (std::size_t number = 0; number < m_options.targetsPerZone; ++number) {
            Fleet::TargetEntry entry;
            entry.id = "target-" + zone + std::to_string(number);
            entry.service = "service";
            entry.zone = zone;
            entry.capacity = {number % 3 == 2 ? LargeTarget : SmallTarget, MemoryMb, 0};
            if (m_options.targetMilliCores > 0) {
                entry.capacity.milliCores = m_options.targetMilliCores;
            }
            entry.startedAtMs = 1;
            entry.rack = rackOf(zone, number);
            entry.labels = {"a", entry.rack};
            const auto lookUpProfile = [this, rack = entry.rack](const Fleet::TaskName &task) {
                return m_callers.profileOnRack(task, rack);
            };
            m_targets.push_back(std::make_unique<SimulatedTarget>(entry, m_clock, m_invariants, lookUpProfile));
            const bool isSlow = random() % 3 == 0;
            m_targets.back()->setClockRate(isSlow ? SlowestClock : 1);
        }
    }
}

void EmulatedFleet::addHosts()
{
    const auto onAnswer = [this](std::size_t host, const std::string &jobId, const Fleet::CallerReply &reply) {
        m_callers.onAnswer(host, jobId, reply);
    };
    const auto isCallerConnected = [this](std::size_t host, const std::string &jobId) {
        return m_callers.isConnected(host, jobId);
    };
    const auto onClaim = [this](std::size_t host) {
        if (m_claimHandler) {
            m_claimHandler(host, m_clock.elapsed());
        }
    };
    const EmulatedHost::Environment environment {m_clock,
                                                 m_network,
                                                 m_invariants,
                                                 m_options.hasConnections ? &m_connections : nullptr,
                                                 m_hosts,
                                                 m_targets,
                                                 m_evacuations,
                                                 isCallerConnected,
                                                 onAnswer,
                                                 onClaim};
    for (std::size_t index = 0; index < m_options.hostZones.size(); ++index) {
        m_hosts.push_back(std::make_unique<EmulatedHost>(index, m_options.hostZones[index], m_options.limits, environment));
        m_clock.callAfter(Milliseconds(m_random() % 300), [this, index] {
            m_hosts[index]->start();
        });
    }
}

void EmulatedFleet::stopProcess(EmulatedHost &host)
{
    if (host.isRunning()) {
        host.stop();
        m_callers.onHostStopped(host.index());
    }
}

void EmulatedFleet::scheduleAt(Duration time, std::function<void()> action)
{
    m_clock.callAfter(time - m_clock.elapsed(), std::move(action));
}

void EmulatedFleet::scheduleFault(Duration at, Duration length, std::function<void(bool isActive)> apply)
{
    scheduleAt(at, [apply] {
        apply(true);
    });
    scheduleAt(at + length, [apply = std::move(apply)] {
        apply(false);
    });
}

void EmulatedFleet::killHost(std::size_t host, Duration at, Duration downFor)
{
    scheduleAt(at, [this, host, downFor] {
        stopProcess(*m_hosts[host]);
        m_clock.callAfter(downFor, [this, host] {
            m_hosts[host]->start();
        });
    });
}

void EmulatedFleet::pauseHost(std::size_t host, Duration at, Duration length)
{
    scheduleAt(at, [this, host, length] {
        m_hosts[host]->pause(length);
    });
}

void EmulatedFleet::stopHost(std::size_t host, Duration at, Duration downFor)
{
    scheduleAt(at, [this, host] {
        m_hosts[host]->beginLeaving();
    });
    killHost(host, at + ShutdownTime, downFor);
}

void EmulatedFleet::closeConnectionsAcross(const std::string &zone)
{
    if (m_options.hasConnections) {
        m_connections.reset([&zone](const HostAddress &from, const HostAddress &to) {
            return (from.zone == zone) != (to.zone == zone);
        });
        return;
    }
    for (const auto &from : m_hosts) {
        for (const auto &to : m_hosts) {
            const bool across = (from->address().zone == zone) != (to->address().zone == zone);
            if (across && from->isRunning()) {
                to->reportClosedLink(to->generation(), from->address().name, from->incarnation());
            }
        }
    }
}

void EmulatedFleet::partitionZone(const std::string &zone, Duration at, Duration length, bool resets)
{
    scheduleFault(at, length, [this, zone, resets](bool isActive) {
        m_network.setZonePartitioned(zone, isActive);
        if (isActive && resets) {
            closeConnectionsAcross(zone);
        }
    });
}

void EmulatedFleet::partitionHost(std::size_t host, Duration at, Duration length)
{
    scheduleFault(at, length, [this, host](bool isActive) {
        m_network.setHostPartitioned(m_hosts[host]->address().name, isActive);
    });
}

void EmulatedFleet::cutHostFromHost(std::size_t from, std::size_t to, Duration at, Duration length)
{
    scheduleFault(at, length, [this, sender = m_hosts[from]->address().name, recipient = m_hosts[to]->address().name](bool isActive) {
        if (isActive) {
            m_network.holdFrames(sender, recipient);
        } else {
            m_network.releaseFrames(sender, recipient);
        }
    });
}

void EmulatedFleet::forTargets(std::size_t count, const std::function<void(SimulatedTarget &)> &action)
{
    for (std::size_t index = 0; index < count; ++index) {
        action(*m_targets[index]);
    }
}

void EmulatedFleet::slowTargets(std::size_t count, double factor, Duration at, Duration length)
{
    scheduleFault(at, length, [this, count, factor](bool isActive) {
        forTargets(count, [&](SimulatedTarget &target) {
            target.setRunTimeFactor(isActive ? factor : 1);
        });
    });
}

void EmulatedFleet::failTargets(std::size_t count, Duration at, Duration length)
{
    scheduleFault(at, length, [this, count](bool isActive) {
        forTargets(count, [&](SimulatedTarget &target) {
            target.setFailing(isActive);
        });
    });
}

void EmulatedFleet::hangTargets(std::size_t count, Duration at, Duration length)
{
    scheduleFault(at, length, [this, count](bool isActive) {
        forTargets(count, [&](SimulatedTarget &target) {
            target.setHanging(isActive);
        });
    });
}

void EmulatedFleet::restartTargets(std::size_t count, Duration at)
{
    scheduleAt(at, [this, count] {
        forTargets(count, [](SimulatedTarget &target) {
            target.restart();
        });
    });
}

void EmulatedFleet::cutTargets(std::size_t count, Duration restartAfter, Duration at, Duration length)
{
    scheduleFault(at, length, [this, count](bool isActive) {
        forTargets(count, [&](const SimulatedTarget &target) {
            if (isActive) {
                m_network.holdRequests(target.entry().id);
            } else {
                m_network.releaseRequests(target.entry().id);
            }
        });
    });
    if (restartAfter > Duration(0) && restartAfter < length) {
        restartTargets(count, at + restartAfter);
    }
}

void EmulatedFleet::resizeTargets(std::size_t count, double factor, Duration at, Duration length)
{
    scheduleFault(at, length, [this, count, factor](bool isActive) {
        forTargets(count, [&](SimulatedTarget &target) {
            auto capacity = target.entry().capacity;
            capacity.milliCores = static_cast<std::int64_t>(static_cast<double>(capacity.milliCores) * (isActive ? factor : 1 / factor));
            target.setCapacity(capacity);
        });
    });
}

void EmulatedFleet::delayTargetRequests(double share, Duration at, Duration length)
{
    scheduleFault(at, length, [this, share](bool isActive) {
        m_network.setDelayedRequestShare(isActive ? share : 0);
    });
}

void EmulatedFleet::failTargetListReads(Duration at, Duration length)
{
    scheduleFault(at, length, [this](bool isActive) {
        for (const auto &host : m_hosts) {
            host->setStoreFailing(isActive);
        }
    });
}

void EmulatedFleet::cutHostFromStore(std::size_t host, Duration at, Duration length)
{
    scheduleFault(at, length, [this, host](bool isActive) {
        m_hosts[host]->setStoreFailing(isActive);
    });
}

void EmulatedFleet::evacuateZone(const std::string &zone, Duration at, Duration length, Duration coldFor)
{
    const auto setCold = [this, zone](Duration remaining) {
        constexpr double ColdRunTimeFactor = 4;
        for (const auto &target : m_targets) {
            if (target->entry().zone == zone) {
                target->setRunTimeFactor(remaining > Duration(0) ? ColdRunTimeFactor : 1);
                target->entry().coldRemaining = std::chrono::duration_cast<Milliseconds>(remaining);
            }
        }
    };
    scheduleFault(at, length, [this, zone, coldFor, setCold](bool isActive) {
        ++m_evacuations.storeOffset;
        const auto closedFrom = m_clock.now() + m_options.limits.evacuationBound.value_or(Seconds(5));
        for (const auto &target : m_targets) {
            if (target->entry().zone == zone) {
                target->setClosedFrom(isActive ? std::optional(closedFrom) : std::nullopt);
            }
        }
        if (isActive) {
            m_evacuations.zones.insert(zone);
            return;
        }
        m_evacuations.zones.erase(zone);
        if (coldFor > Duration(0)) {
            setCold(coldFor);
            m_clock.callAfter(coldFor, [setCold] {
                setCold(Duration(0));
            });
        }
    });
}

void EmulatedFleet::cancelJobs(double share, Duration at, Duration length)
{
    scheduleFault(at, length, [this, share](bool isActive) {
        m_callers.setCancelledShare(isActive ? share : 0);
    });
}

void EmulatedFleet::breakCallerConnections(double share, Duration at, Duration length)
{
    scheduleAt(at, [this, share, length] {
        m_callers.setBrokenConnectionShare(share);
        m_clock.callAfter(length, [this] {
            m_callers.setBrokenConnectionShare(0);
        });
    });
}

void EmulatedFleet::delayCallerReads(double share, Duration longest, Duration at, Duration length)
{
    scheduleFault(at, length, [this, share, longest](bool isActive) {
        m_callers.setLateReads(isActive ? share : 0, longest);
    });
}

void EmulatedFleet::delayReads(std::size_t host, Duration delay, Duration at, Duration length)
{
    scheduleFault(at, length, [this, host, delay](bool isActive) {
        m_hosts[host]->setReadDelay(isActive ? delay : Duration(0));
    });
}

void EmulatedFleet::sendJobsAgainAfterUnknownOutcomes()
{
    m_callers.sendAgainAfterUnknownOutcomes();
}

void EmulatedFleet::submitCrashingJobs(const std::string &route, double share, Duration at, Duration length)
{
    scheduleFault(at, length, [this, route, share](bool isActive) {
        m_callers.setCrashingShare(route, isActive ? share : 0);
    });
}

void EmulatedFleet::increaseLoad(double factor, Duration at, Duration length)
{
    scheduleFault(at, length, [this, factor](bool isActive) {
        m_callers.setLoadFactor(isActive ? factor : 1);
    });
}

void EmulatedFleet::increaseLoadOfKind(const std::string &route, double factor, Duration at, Duration length)
{
    scheduleFault(at, length, [this, route, factor](bool isActive) {
        m_callers.setLoadFactorOfKind(route, isActive ? factor : 1);
    });
}

void EmulatedFleet::setClaimHandler(std::function<void(std::size_t host, Duration at)> handler)
{
    m_claimHandler = std::move(handler);
}

void EmulatedFleet::callWithDispatchers(Duration at, std::function<void(const std::vector<std::size_t> &dispatchers)> action)
{
    scheduleAt(at, [this, action = std::move(action)] {
        std::vector<std::size_t> dispatchers;
        for (const auto &host : m_hosts) {
            if (host->isDispatcher()) {
                dispatchers.push_back(host->index());
            }
        }
        action(dispatchers);
    });
}

void EmulatedFleet::run(Duration firstCallers, Duration lastCallers, Duration end)
{
    scheduleAt(firstCallers, [this, lastCallers] {
        for (const auto &kind : m_options.kinds) {
            m_callers.submitJobs(kind, lastCallers);
        }
    });
    m_clock.runUntil(end);
}

const InvariantChecker &EmulatedFleet::invariants() const
{
    return m_invariants;
}

const std::map<std::string, JobKindResult> &EmulatedFleet::results() const
{
    return m_callers.results();
}

const EmulatedCallers &EmulatedFleet::callers() const
{
    return m_callers;
}

std::size_t EmulatedFleet::dispatcherCount() const
{
    return static_cast<std::size_t>(std::count_if(m_hosts.begin(), m_hosts.end(), [](const auto &host) {
        return host->isDispatcher();
    }));
}

std::size_t EmulatedFleet::dispatcherHost() const
{
    for (const auto &host : m_hosts) {
        if (host->isDispatcher()) {
            return host->index();
        }
    }
    return 0;
}
} // namespace Anvilcart::Emulation
