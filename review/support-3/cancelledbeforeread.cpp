#include "cases.h"
#include "site.h"

#include <atomic>
#include <thread>

namespace Review
{
using namespace Anvilcart;

namespace
{
/// Bounds of the users' small sites.
constexpr Milliseconds CancelBound {3000};
constexpr Milliseconds StopBound {50};
/// The job's tasks start one after the other, for longer than the bound.
constexpr int Tasks = 20;
constexpr Milliseconds TaskTime {700};
constexpr std::int64_t TaskSize = 16000;
constexpr Milliseconds CallerTimeout {20000};
/// How long the host stands still, and when in this time the job is handed in and cancelled.
constexpr Milliseconds FreezeTime {450};
constexpr Milliseconds TimeToJob {100};
constexpr Milliseconds TimeToCancel {150};
constexpr int Rounds = 4;
} // namespace

bool playCancelledBeforeRead(const CaseContext &context)
{
    // One machine of eight stands still, as on the site.
    Site site(8, {{32000, "a", "r1"}}, context.binary, context.record);
    site.publish(1);
    if (!site.waitUntilReady()) {
        return false;
    }
    const auto dispatcher = site.dispatcher();
    if (!dispatcher) {
        return false;
    }
    const auto entryHost = (*dispatcher + 1) % site.hostCount();
    const auto otherHost = (*dispatcher + 2) % site.hostCount();
    context.record.note("host " + std::to_string(*dispatcher) + " dispatches");
    std::size_t starts = 0;
    for (int round = 0; round < Rounds; ++round) {
        const std::string id = "00000000000000b" + std::to_string(round);
        std::this_thread::sleep_for(Seconds(1));
        if (context.hasTrouble) {
            site.host(entryHost).freeze();
            context.record.note("host " + std::to_string(entryHost) + " stands still");
        }
        std::thread thaw([&] {
            std::this_thread::sleep_for(FreezeTime);
            if (context.hasTrouble) {
                site.host(entryHost).thaw();
                context.record.note("host " + std::to_string(entryHost) + " runs again");
            }
        });
        std::this_thread::sleep_for(TimeToJob);
        std::thread caller([&] {
            site.send(entryHost, Site::jobCall(id, {Tasks, TaskTime, TaskSize, {}}, CallerTimeout), CallerTimeout);
        });
        std::this_thread::sleep_for(TimeToCancel);
        const auto reply = site.send(otherHost, Site::cancelCall(id), Milliseconds(2000));
        const auto acknowledgedAt = Clock::now();
        const bool isAcknowledged = (reply.status >= 200 && reply.status < 300) || reply.status == 410;
        std::this_thread::sleep_until(acknowledgedAt + CancelBound + StopBound);
        const auto before = site.worker(0).startCountOf(id);
        const auto running = site.worker(0).runningCountOf(id);
        std::this_thread::sleep_for(Milliseconds(1500));
        const auto after = site.worker(0).startCountOf(id);
        starts += after;
        context.record.note(id + ": " + std::to_string(before) + " starts up to the bound, " + std::to_string(running) + " tasks run then, "
                            + std::to_string(after - before) + " starts later");
        if (isAcknowledged && (after > before || running > 0)) {
            context.record.broken("UNASKED " + id + " was cancelled with status " + std::to_string(reply.status)
                                  + ", but later than cancel_ms " + std::to_string(after - before) + " of its tasks started and "
                                  + std::to_string(running) + " ran");
        }
        thaw.join();
        caller.join();
    }
    return context.hasTrouble || starts > 0;
}
} // namespace Review
