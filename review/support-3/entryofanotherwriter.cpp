#include "cases.h"
#include "site.h"

#include "platform/names.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdio>
#include <thread>

namespace Review
{
using namespace Anvilcart;

namespace
{
constexpr std::size_t Hosts = 2;
constexpr std::size_t Workers = 8;
constexpr std::size_t Callers = 8;
constexpr int MaxRounds = 60;
/// Entries of the other writer in a round.
constexpr std::size_t OtherEntries = 4;
constexpr Milliseconds CallerTimeout {1500};
/// Workers write their entries each 1.5 s, at the begin of a round. The other writer's entry stands for a part of that time.
constexpr Milliseconds TimeToOtherEntry {100};
constexpr Milliseconds TimeOfOtherEntry {900};
constexpr Milliseconds RestOfRound {500};
constexpr Milliseconds PauseAfterFailure {50};
/// The rule: three ends of processes by themselves, on a tenth of the machines, two at least.
constexpr int EndsOfFault = 3;
constexpr int MachinesOfFault = 2;

/// Submits jobs of ordinary sizes, one after the other, until it is told to stop.
void callUntil(const std::atomic<bool> &isOver, Site &site, std::size_t host, std::atomic<unsigned> &jobs, std::atomic<unsigned> &served)
{
    while (!isOver) {
        const auto number = ++jobs;
        char id[17];
        std::snprintf(id, sizeof(id), "%016x", number);
        const JobText job {1 + static_cast<int>(number % 12), Milliseconds(20 + number % 90), 1000 + 1000 * (number % 5), {}};
        if (site.send(host, Site::jobCall(id, job, CallerTimeout), CallerTimeout).status == 200) {
            ++served;
        } else {
            std::this_thread::sleep_for(PauseAfterFailure);
        }
    }
}
} // namespace

bool playEntryOfAnotherWriter(const CaseContext &context)
{
    Site site(Hosts, std::vector<WorkerKind>(Workers), context.binary, context.record);
    site.publish(1);
    if (!site.waitUntilReady()) {
        return false;
    }
    std::atomic<bool> isOver = false;
    std::atomic<unsigned> jobs = 0;
    std::atomic<unsigned> served = 0;
    std::vector<std::thread> callers;
    for (std::size_t caller = 0; caller < Callers; ++caller) {
        callers.emplace_back([&, caller] {
            callUntil(isOver, site, caller % Hosts, jobs, served);
        });
    }
    std::array<int, Hosts> ends {};
    const auto machinesWithFault = [&ends] {
        return std::count_if(ends.begin(), ends.end(), [](int count) {
            return count >= EndsOfFault;
        });
    };
    for (int round = 0; round < MaxRounds && machinesWithFault() < MachinesOfFault; ++round) {
        for (std::size_t worker = 0; worker < Workers; ++worker) {
            site.registerWorker(worker);
        }
        std::this_thread::sleep_for(TimeToOtherEntry);
        for (std::size_t number = 0; number < OtherEntries && context.hasTrouble; ++number) {
            const auto &worker = site.worker((static_cast<std::size_t>(round) + 2 * number) % Workers);
            site.store().put(Platform::Names::TargetTopic, worker.id(), worker.entry("archive", "fraser"));
            context.record.note("another writer: " + worker.id() + " is of the service archive");
        }
        std::this_thread::sleep_for(TimeOfOtherEntry);
        for (std::size_t number = 0; number < OtherEntries && context.hasTrouble; ++number) {
            const auto &worker = site.worker((static_cast<std::size_t>(round) + 2 * number) % Workers);
            site.store().put(Platform::Names::TargetTopic, worker.id(), "");
            context.record.note("another writer: drops its entry of " + worker.id());
        }
        std::this_thread::sleep_for(RestOfRound);
        for (std::size_t host = 0; host < Hosts; ++host) {
            if (!site.host(host).isRunning()) {
                ++ends[host];
                context.record.note("CRASH host " + std::to_string(host) + " has ended by itself, " + site.endOf(host));
                site.startHost(host);
            }
        }
    }
    isOver = true;
    for (auto &caller : callers) {
        caller.join();
    }
    const auto text = "ends by themselves: " + std::to_string(ends[0]) + " of host 0, " + std::to_string(ends[1]) + " of host 1";
    if (machinesWithFault() >= MachinesOfFault) {
        context.record.broken("Fault " + text);
    } else {
        context.record.note(text);
    }
    context.record.note(std::to_string(served) + " of " + std::to_string(jobs) + " jobs were served");
    return served > 0;
}
} // namespace Review
