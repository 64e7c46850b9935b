#include "cases.h"
#include "site.h"

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
/// How long all machines are down, as in the site's closing faults, and when the late copy of the request arrives.
constexpr Milliseconds DownTime {700};
constexpr Milliseconds TimeToLateCopy {4000};
} // namespace

bool playCancelledBeforeRestart(const CaseContext &context)
{
    const std::string id = "00000000000000c0";
    Site site(3, {{32000, "a", "r1"}}, context.binary, context.record);
    site.publish(1);
    if (!site.waitUntilReady()) {
        return false;
    }
    const auto call = [&id] {
        return Site::jobCall(id, {Tasks, TaskTime, TaskSize, {}}, CallerTimeout);
    };
    std::thread caller([&] {
        site.send(0, call(), CallerTimeout);
    });
    std::this_thread::sleep_for(Milliseconds(1000));
    const auto reply = site.send(1, Site::cancelCall(id), Milliseconds(2000));
    const auto acknowledgedAt = Clock::now();
    caller.join();
    if (reply.status < 200 || reply.status >= 300) {
        return false;
    }
    if (context.hasTrouble) {
        for (std::size_t host = 0; host < site.hostCount(); ++host) {
            site.host(host).kill();
        }
        context.record.note("all hosts were killed");
        std::this_thread::sleep_for(DownTime);
        for (std::size_t host = 0; host < site.hostCount(); ++host) {
            site.startHost(host);
        }
    }
    std::this_thread::sleep_until(acknowledgedAt + TimeToLateCopy);
    const auto before = site.worker(0).startCountOf(id);
    std::thread lateCopy([&] {
        site.send(2, call(), CallerTimeout);
    });
    // The rule holds for machines in touch, which the hosts are 3 s after their start.
    std::this_thread::sleep_until(acknowledgedAt + TimeToLateCopy + CancelBound + StopBound);
    const auto starts = site.worker(0).startCountOf(id) - before;
    if (starts > 0) {
        context.record.broken("UNASKED " + std::to_string(starts) + " tasks of " + id
                              + " started later than cancel_ms after its cancelling was acknowledged");
    }
    lateCopy.join();
    return before > 0;
}
} // namespace Review
