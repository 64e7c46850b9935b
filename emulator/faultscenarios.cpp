#include "emulator/faultscenarios.h"

#include <array>
#include <functional>
#include <random>
#include <utility>

namespace Anvilcart::Emulation
{
namespace
{
JobKind kind(const std::string &route, double perSecond, std::uint32_t tasks, Duration runTime, std::int64_t priority)
{
    JobKind made;
    made.route = route;
    made.perSecond = perSecond;
    made.tasks = tasks;
    made.runTime = runTime;
    made.priority = priority;
    return made;
}
} // namespace

std::vector<JobKind> ordinaryKinds()
{
    return {
        kind("short", 17, 8, Milliseconds(60), 0), kind("long", 3.1, 4, Milliseconds(830), 2), kind("middle", 50, 2, Milliseconds(185), 1)};
}

std::vector<JobKind> patientKinds()
{
    auto kinds = ordinaryKinds();
    for (auto &kind : kinds) {
        kind.callerLimit = Seconds(2);
        kind.objectivesWaited = 3;
    }
    return kinds;
}

std::string addWorstLoad(EmulatedFleet &fleet)
{
    fleet.burst(1.5, Seconds(4), Seconds(8));
    fleet.slowTargets(4, 4.7, Seconds(4), Seconds(8));
    return "burst and slow targets from 4 s to 12 s";
}

std::string addBurst(EmulatedFleet &fleet)
{
    fleet.burst(1.5, Seconds(5), Seconds(4));
    fleet.burstOfKind("middle", 2, Seconds(5), Seconds(4));
    return "burst from 5 s to 9 s";
}

std::string addTroubles(EmulatedFleet &fleet, const FleetOptions &options, std::uint64_t seed)
{
    std::mt19937_64 random(seed * 7919 + 1);
    const auto host = [&] {
        return static_cast<std::size_t>(random() % options.hostZones.size());
    };
    const auto some = [&] {
        return 1 + static_cast<std::size_t>(random() % 6);
    };
    const auto zone = [&] {
        return options.targetZones[random() % options.targetZones.size()];
    };
    using Trouble = std::pair<const char *, std::function<void(Duration, Duration)>>;
    const std::vector<Trouble> troubles = {
        {"kill",
         [&](Duration at, Duration length) {
             fleet.killHost(host(), at, length);
         }},
        {"kill_all",
         [&](Duration at, Duration) {
             for (std::size_t index = 0; index < options.hostZones.size(); ++index) {
                 fleet.killHost(index, at, Milliseconds(900));
             }
         }},
        {"freeze",
         [&](Duration at, Duration length) {
             fleet.freezeHost(host(), at, length);
         }},
        {"stop",
         [&](Duration at, Duration) {
             fleet.stopHost(host(), at, Milliseconds(500));
         }},
        {"roll",
         [&](Duration at, Duration) {
             for (std::size_t index = 0; index < options.hostZones.size(); ++index) {
                 fleet.stopHost(index, at + index * Milliseconds(1500), Milliseconds(500));
             }
         }},
        {"zone_cut",
         [&](Duration at, Duration length) {
             fleet.cutZone(zone(), at, length);
         }},
        {"host_cut",
         [&](Duration at, Duration length) {
             fleet.cutHost(host(), at, length);
         }},
        {"slow",
         [&](Duration at, Duration length) {
             fleet.slowTargets(some(), 5, at, length);
         }},
        {"fail",
         [&](Duration at, Duration length) {
             fleet.failTargets(some(), at, length);
         }},
        {"hang",
         [&](Duration at, Duration length) {
             fleet.hangTargets(some(), at, length);
         }},
        {"restart",
         [&](Duration at, Duration) {
             fleet.restartTargets(some(), at);
         }},
        {"late_orders",
         [&](Duration at, Duration length) {
             fleet.loseOrders(0.06, at, length);
         }},
        {"leavers",
         [&](Duration at, Duration length) {
             fleet.leaveEarly(0.3, at, length);
         }},
        {"burst",
         [&](Duration at, Duration length) {
             fleet.burst(1.5, at, length);
         }},
    };
    std::string told;
    const auto count = 1 + random() % 4;
    for (std::uint64_t index = 0; index < count; ++index) {
        const auto &[name, strike] = troubles[random() % troubles.size()];
        const auto at = Milliseconds(4000 + random() % 16000);
        const auto length = Milliseconds(1000 + random() % 6000);
        strike(at, length);
        told += std::string(told.empty() ? "" : ", ") + name + " at " + std::to_string(at.count()) + " ms for "
            + std::to_string(length.count()) + " ms";
    }
    return told;
}
} // namespace Anvilcart::Emulation
