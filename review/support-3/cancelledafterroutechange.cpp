#include "cases.h"
#include "site.h"

#include <atomic>
#include <set>
#include <thread>

namespace Review
{
using namespace Anvilcart;

namespace
{
/// The bounds of the users' small sites.
constexpr Milliseconds ConfigurationBound {2000};
constexpr Milliseconds AcknowledgementBound {4000};
constexpr Milliseconds CancelBound {3000};
constexpr Milliseconds StopBound {50};
/// The job waits for capacity again and again, so that its tasks start one after the other.
constexpr int Tasks = 40;
constexpr Milliseconds TaskTime {800};
constexpr std::int64_t TaskSize = 16000;
constexpr Milliseconds CallerTimeout {30000};
constexpr Milliseconds RetryPeriod {1000};
} // namespace

bool playCancelledAfterRouteChange(const CaseContext &context)
{
    const std::vector<WorkerKind> kinds {{32000, "a", "r1"}};
    Site site(2, kinds, context.binary, context.record);
    site.publish(1, {"checks"});
    if (!site.waitUntilReady()) {
        return false;
    }
    // Two rounds: the queue is removed, and the queue is replaced by another one with the same path.
    const std::vector<std::string> replacements {"", "checks-2"};
    std::uint64_t version = 1;
    bool isPlayed = true;
    for (std::size_t round = 0; round < replacements.size(); ++round) {
        const std::string id = "00000000000000a" + std::to_string(round);
        std::atomic<int> status = 0;
        std::thread caller([&] {
            const JobText job {Tasks, TaskTime, TaskSize, {}};
            status = site.send(0, Site::jobCall(id, job, CallerTimeout), CallerTimeout).status;
        });
        std::this_thread::sleep_for(Milliseconds(1000));
        isPlayed = isPlayed && site.worker(0).startCountOf(id) > 0;
        if (context.hasTrouble) {
            const auto &name = replacements[round];
            site.publish(++version, name.empty() ? std::vector<std::string>() : std::vector<std::string> {name});
            context.record.note("configuration " + std::to_string(version) + (name.empty() ? " removes the queue" : " replaces the queue"));
        }
        std::this_thread::sleep_for(ConfigurationBound);
        const auto sentAt = Clock::now();
        auto acknowledgedAt = TimePoint::max();
        while (acknowledgedAt == TimePoint::max() && Clock::now() - sentAt < AcknowledgementBound) {
            const auto reply = site.send(1, Site::cancelCall(id), RetryPeriod);
            if ((reply.status >= 200 && reply.status < 300) || reply.status == 410) {
                acknowledgedAt = Clock::now();
            } else {
                std::this_thread::sleep_for(RetryPeriod);
            }
        }
        // The rule counts from the acknowledgement, or from when it had been awaited for the bound.
        const auto countsFrom = std::min(acknowledgedAt, sentAt + AcknowledgementBound);
        std::this_thread::sleep_until(countsFrom + CancelBound + StopBound);
        const auto before = site.worker(0).startCountOf(id);
        context.record.note(id + ": " + std::to_string(before) + " starts up to the bound, "
                            + std::to_string(site.worker(0).runningCountOf(id)) + " tasks run");
        std::this_thread::sleep_for(Milliseconds(2000));
        const auto after = site.worker(0).startCountOf(id);
        if (after > before) {
            context.record.broken(
                "UNASKED " + std::to_string(after - before) + " tasks of " + id + " started later than cancel_ms after its cancelling "
                + (acknowledgedAt == TimePoint::max() ? "had waited ack_ms for its acknowledgement" : "was acknowledged"));
        }
        caller.join();
        context.record.note("the caller of " + id + " got status " + std::to_string(status));
        site.publish(++version, {"checks"});
        std::this_thread::sleep_for(ConfigurationBound);
    }
    return isPlayed;
}
} // namespace Review
