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
constexpr int Rounds = 24;
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
    for (int round = 0; round < Rounds; ++round) {
        for (std::size_t worker = 0; worker < Workers; ++worker) {
            site.registerWorker(worker);
        }
        std::this_thread::sleep_for(TimeToOtherEntry);
        auto &worker = site.worker(static_cast<std::size_t>(round) % Workers);
        if (context.hasTrouble) {
            site.store().put(Platform::Names::TargetTopic, worker.id(), worker.entry("archive", "fraser"));
            context.record.note("another writer: " + worker.id() + " is of the service archive");
        }
        std::this_thread::sleep_for(TimeOfOtherEntry);
        if (context.hasTrouble) {
            site.store().put(Platform::Names::TargetTopic, worker.id(), "");
            context.record.note("another writer: drops its entry of " + worker.id());
        }
        std::this_thread::sleep_for(RestOfRound);
        for (std::size_t host = 0; host < Hosts; ++host) {
            if (!site.host(host).isRunning()) {
                ++ends[host];
                context.record.broken("Fault host " + std::to_string(host) + " has ended by itself, " + site.endOf(host));
                site.startHost(host);
            }
        }
    }
    isOver = true;
    for (auto &caller : callers) {
        caller.join();
    }
    const auto machines = std::count_if(ends.begin(), ends.end(), [](int count) {
        return count >= EndsOfFault;
    });
    context.record.note(std::to_string(machines) + " machines with three ends or more; the gate allows "
                        + std::to_string(MachinesOfFault - 1));
    context.record.note(std::to_string(served) + " of " + std::to_string(jobs) + " jobs were served");
    return served > 0;
}
} // namespace Review
