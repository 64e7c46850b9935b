#include "common/site.h"

#include <thread>

// Hosts are restarted in turn; while one of them starts, another one that has a job is frozen. Asked to cancel the job, the host that has
// just started says that there is none.
namespace Anvilcart::Review
{
namespace
{
constexpr Milliseconds RunTime {900};
constexpr int Steps = 12;
constexpr Milliseconds CallerTimeout {14000};
constexpr Milliseconds FreezeTime {3500};
constexpr Milliseconds RestartDelay {300};
/// A host that gets SIGTERM ends a little over two seconds later.
constexpr Milliseconds TimeBeforeJob {1700};
/// bounds.cancel_ms of the site.
constexpr Milliseconds CancelBound {3000};

/// A job of steps that follow one another, with one task each.
std::string chainBody()
{
    std::vector<Step> steps(Steps);
    for (int step = 1; step < Steps; ++step) {
        steps[static_cast<std::size_t>(step)].dependsOn = {step - 1};
    }
    return Site::jobBody(steps, RunTime);
}

bool isAcknowledged(const HttpReply &reply)
{
    return reply.status == 410 || (reply.status >= 200 && reply.status < 300);
}

void play(Site &site, Record &record, bool trouble)
{
    const std::size_t frozen = 4;
    const std::size_t restarted = 5;
    if (trouble) {
        site.host(restarted).terminate();
        record.add("host " + std::to_string(restarted) + " gets SIGTERM");
        std::this_thread::sleep_for(TimeBeforeJob);
    }
    const auto id = site.newId();
    std::thread sender([&] {
        site.request(frozen, "POST", "/checks/" + id, chainBody(), CallerTimeout);
    });
    std::this_thread::sleep_for(Milliseconds(400));
    const auto frozenAt = Clock::now();
    if (trouble) {
        site.host(frozen).freeze();
        record.add("host " + std::to_string(frozen) + " freezes");
        site.host(restarted).wait();
        record.add("host " + std::to_string(restarted) + " has ended");
        std::this_thread::sleep_for(RestartDelay);
        site.startHost(restarted);
        site.awaitReady(restarted);
        record.add("host " + std::to_string(restarted) + " is ready");
    }
    TimePoint acknowledgedAt = TimePoint::max();
    const auto reply = site.request(restarted, "DELETE", "/checks/" + id, "", Milliseconds(1500));
    if (isAcknowledged(reply)) {
        acknowledgedAt = Clock::now();
    }
    if (trouble) {
        std::this_thread::sleep_until(frozenAt + FreezeTime);
        site.host(frozen).thaw();
        record.add("host " + std::to_string(frozen) + " wakes");
    }
    sender.join();
    for (std::size_t index = 0; index < site.workerCount(); ++index) {
        for (const auto &run : site.worker(index).runs()) {
            if (acknowledgedAt != TimePoint::max() && run.startedAt > acknowledgedAt + CancelBound) {
                const auto after = static_cast<int>(toMilliseconds(run.startedAt - acknowledgedAt));
                record.addViolation(run.task + " was started " + std::to_string(after) + " ms after its job's cancelling was acknowledged");
            }
        }
    }
}
} // namespace
} // namespace Anvilcart::Review

int main(int argc, char **argv)
{
    using namespace Anvilcart::Review;
    return runCase(argc, argv, {.hostsPerZone = 2, .play = play});
}
