#include "cases.h"
#include "site.h"

#include <atomic>
#include <cstdio>
#include <optional>
#include <thread>

namespace Review
{
using namespace Anvilcart;

namespace
{
constexpr std::size_t Hosts = 3;
constexpr std::size_t Workers = 8;
constexpr int Rounds = 4;
constexpr Milliseconds CallerTimeout {14000};
const JobText LongJob {1, Milliseconds(7000), 4000, {}};
/// Times from the order on. It is carried out 2 to 12 s late by the users' pages; machines are down for less than theirs.
constexpr Milliseconds TimeToKill {300};
constexpr Milliseconds TimeToPowerLoss {1300};
constexpr Milliseconds TimeToHostStart {1800};
constexpr Milliseconds TimeToPower {3100};
constexpr Milliseconds Lateness {3200};
constexpr Milliseconds TimeToLook {4600};
constexpr Milliseconds LookPeriod {5};

std::optional<std::size_t> workerOf(Site &site, const std::string &id)
{
    for (std::size_t worker = 0; worker < Workers; ++worker) {
        if (site.worker(worker).runningCountOf(id) > 0) {
            return worker;
        }
    }
    return std::nullopt;
}

std::size_t workersWithRunOf(Site &site, const std::string &id)
{
    std::size_t count = 0;
    for (std::size_t worker = 0; worker < Workers; ++worker) {
        count += site.worker(worker).runningCountOf(id) > 0 ? 1 : 0;
    }
    return count;
}

/// Short jobs, so that the late order is one of many.
void callUntil(const std::atomic<bool> &isOver, Site &site, std::size_t host)
{
    for (unsigned number = 1; !isOver; ++number) {
        char id[17];
        std::snprintf(id, sizeof(id), "%08zx%08x", host + 1, number);
        site.send(host, Site::jobCall(id, {4, Milliseconds(60), 4000, {}}, Milliseconds(1500)), Milliseconds(1500));
        std::this_thread::sleep_for(Milliseconds(40));
    }
}
} // namespace

bool playLateOrderOfLostDispatcher(const CaseContext &context)
{
    Site site(Hosts, std::vector<WorkerKind>(Workers), context.binary, context.record);
    site.publish(1);
    if (!site.waitUntilReady()) {
        return false;
    }
    bool isPlayed = false;
    for (int round = 0; round < Rounds; ++round) {
        const auto dispatcher = site.dispatcher();
        if (!dispatcher) {
            return false;
        }
        const auto entryHost = (*dispatcher + 1) % Hosts;
        const std::string id = "00000000000000e" + std::to_string(round);
        for (std::size_t worker = 0; worker < Workers && context.hasTrouble; ++worker) {
            site.worker(worker).delayNextStartOf(id, Lateness);
        }
        std::atomic<bool> isOver = false;
        std::thread other([&] {
            callUntil(isOver, site, (*dispatcher + 2) % Hosts);
        });
        std::thread caller([&] {
            site.send(entryHost, Site::jobCall(id, LongJob, CallerTimeout), CallerTimeout);
        });
        const auto sentAt = Clock::now();
        std::this_thread::sleep_until(sentAt + TimeToKill);
        const auto worker = workerOf(site, id);
        for (std::size_t number = 0; number < Workers; ++number) {
            site.worker(number).delayNextStartOf({}, Milliseconds(0));
        }
        if (worker && context.hasTrouble) {
            isPlayed = true;
            context.record.note(id + " runs on " + site.worker(*worker).id());
            site.host(*dispatcher).kill();
            context.record.note("host " + std::to_string(*dispatcher) + " was killed, which dispatched");
            std::this_thread::sleep_until(sentAt + TimeToPowerLoss);
            site.worker(*worker).powerOff();
            std::this_thread::sleep_until(sentAt + TimeToHostStart);
            site.startHost(*dispatcher);
            std::this_thread::sleep_until(sentAt + TimeToPower);
            site.worker(*worker).powerOn(WorkerKind());
            site.registerWorker(*worker);
        }
        Duration together {0};
        for (; Clock::now() < sentAt + TimeToLook; std::this_thread::sleep_for(LookPeriod)) {
            together += workersWithRunOf(site, id) > 1 ? Duration(LookPeriod) : Duration(0);
        }
        if (together > Duration(0)) {
            context.record.broken("TWICE the task of " + id + " ran on two workers at the same time, for some "
                                  + std::to_string(std::chrono::duration_cast<Milliseconds>(together).count()) + " ms");
        }
        caller.join();
        isOver = true;
        other.join();
    }
    return isPlayed || !context.hasTrouble;
}
} // namespace Review
