#include "common/site.h"

#include <thread>

// The configuration drops a queue; then the client of a job that still runs cancels it.
namespace Anvilcart::Review
{
namespace
{
constexpr Milliseconds RunTime {900};
constexpr int Steps = 14;
constexpr Milliseconds CallerTimeout {14000};
/// bounds.config_ms, ack_ms and cancel_ms of the site.
constexpr Milliseconds ConfigurationBound {2000};
constexpr Milliseconds AcknowledgementBound {4000};
constexpr Milliseconds CancelBound {3000};
constexpr Milliseconds RetryPeriod {500};

bool isAcknowledged(const HttpReply &reply)
{
    return reply.status == 410 || (reply.status >= 200 && reply.status < 300);
}

/// A job of steps that follow one another, with one task each.
std::string chainBody()
{
    std::vector<Step> steps(Steps);
    for (int step = 1; step < Steps; ++step) {
        steps[static_cast<std::size_t>(step)].dependsOn = {step - 1};
    }
    return Site::jobBody(steps, RunTime);
}

/// Cancels the job, again and again until that is acknowledged, and returns from when on cancel_ms counts.
TimePoint cancel(Site &site, const std::string &path)
{
    const auto sentAt = Clock::now();
    for (std::size_t host = 2; Clock::now() < sentAt + AcknowledgementBound; host = (host + 1) % site.hostCount()) {
        if (isAcknowledged(site.request(host, "DELETE", path, "", Milliseconds(1500)))) {
            return Clock::now();
        }
        std::this_thread::sleep_for(RetryPeriod);
    }
    return sentAt + AcknowledgementBound;
}

void play(Site &site, Record &record, bool trouble)
{
    const auto id = site.newId();
    const auto path = "/checks/" + id;
    std::thread sender([&] {
        site.request(0, "POST", path, chainBody(), CallerTimeout);
    });
    std::this_thread::sleep_for(Milliseconds(300));
    if (trouble) {
        site.publish({{"stamps"}});
    }
    std::this_thread::sleep_for(ConfigurationBound + Milliseconds(200));
    const auto cancelledAt = cancel(site, path);
    sender.join();
    for (std::size_t index = 0; index < site.workerCount(); ++index) {
        for (const auto &run : site.worker(index).runs()) {
            if (run.startedAt > cancelledAt + CancelBound) {
                const auto after = static_cast<int>(toMilliseconds(run.startedAt - cancelledAt));
                record.addViolation(run.task + " was started " + std::to_string(after)
                                    + " ms after its job's cancelling was acknowledged, or had waited ack_ms for that");
            }
        }
    }
}
} // namespace
} // namespace Anvilcart::Review

int main(int argc, char **argv)
{
    using namespace Anvilcart::Review;
    return runCase(argc, argv, {.queues = {{"checks"}, {"stamps"}}, .play = play});
}
