#include "emulator/randomfaults.h"
#include "emulator/faultdraws.h"

#include <functional>
#include <random>
#include <utility>
#include <vector>

namespace Anvilcart::Emulation
{
std::string addRandomFaults(EmulatedFleet &fleet, const FleetOptions &options, std::uint64_t seed)
{
    std::mt19937_64 random(seed * 7919 + 1);
    const auto randomHost = [&] {
        return static_cast<std::size_t>(random() % options.hostZones.size());
    };
    const auto randomTargetCount = [&] {
        return 1 + static_cast<std::size_t>(random() % 6);
    };
    const auto randomZone = [&] {
        return options.targetZones[random() % options.targetZones.size()];
    };
    using Fault = std::pair<const char *, std::function<void(Duration, Duration)>>;
    const std::vector<Fault> faults = {
        {"kill",
         [&](Duration at, Duration length) {
             fleet.killHost(randomHost(), at, length);
         }},
        {"kill_all",
         [&](Duration at, Duration) {
             for (std::size_t index = 0; index < options.hostZones.size(); ++index) {
                 fleet.killHost(index, at, Milliseconds(900));
             }
         }},
        {"freeze",
         [&](Duration at, Duration length) {
             fleet.pauseHost(randomHost(), at, length);
         }},
        {"stop",
         [&](Duration at, Duration) {
             fleet.stopHost(randomHost(), at, Milliseconds(500));
         }},
        {"roll",
         [&](Duration at, Duration) {
             for (std::size_t index = 0; index < options.hostZones.size(); ++index) {
                 fleet.stopHost(index, at + index * Milliseconds(1500), Milliseconds(500));
             }
         }},
        {"zone_cut",
         [&](Duration at, Duration length) {
             fleet.partitionZone(randomZone(), at, length);
         }},
        {"host_cut",
         [&](Duration at, Duration length) {
             fleet.partitionHost(randomHost(), at, length);
         }},
        {"slow",
         [&](Duration at, Duration length) {
             fleet.slowTargets(randomTargetCount(), 5, at, length);
         }},
        {"fail",
         [&](Duration at, Duration length) {
             fleet.failTargets(randomTargetCount(), at, length);
         }},
        {"hang",
         [&](Duration at, Duration length) {
             fleet.hangTargets(randomTargetCount(), at, length);
         }},
        {"restart",
         [&](Duration at, Duration) {
             fleet.restartTargets(randomTargetCount(), at);
         }},
        {"late_orders",
         [&](Duration at, Duration length) {
             fleet.delayTargetRequests(0.06, at, length);
         }},
        {"leavers",
         [&](Duration at, Duration length) {
             fleet.cancelJobs(0.3, at, length);
         }},
        {"burst",
         [&](Duration at, Duration length) {
             fleet.increaseLoad(1.5, at, length);
         }},
    };
    std::string description;
    const auto count = 1 + random() % 4;
    for (std::uint64_t index = 0; index < count; ++index) {
        const auto &[name, inject] = faults[random() % faults.size()];
        const auto at = Milliseconds(4000 + random() % 16000);
        const auto length = Milliseconds(1000 + random() % 6000);
        inject(at, length);
        description += std::string(description.empty() ? "" : ", ") + name + " " + describeSpan(at, length);
    }
    return description;
}
} // namespace Anvilcart::Emulation
