#include "common/site.h"

#include <thread>
#include <vector>

// A client cancels a job that another connection waits for; that one gets 504, and its client sends the job again, as the pages say.
namespace Anvilcart::Review
{
namespace
{
constexpr Milliseconds RunTime {900};
constexpr int Steps = 5;
/// Jobs that are not cancelled: one job of three is.
constexpr int OtherJobs = 2;
constexpr Milliseconds CallerTimeout {14000};
/// bounds.resend_ms and bounds.cancel_ms of the site.
constexpr Milliseconds ResendDelay {1300};
constexpr Milliseconds CancelBound {3000};
constexpr Milliseconds StopBound {50};
/// RULES.md allows this much more where no disruption is near.
constexpr Milliseconds NoteDelay {100};

/// A job of steps that follow one another, with one task each.
std::string chainBody()
{
    std::vector<Step> steps(Steps);
    for (int step = 1; step < Steps; ++step) {
        steps[static_cast<std::size_t>(step)].dependsOn = {step - 1};
    }
    return Site::jobBody(steps, RunTime);
}

/// Hands a job in until it is answered: after no response, a 502 or a 504 it is sent again, to another host.
void handIn(Site &site, const std::string &id)
{
    const auto giveUpAt = Clock::now() + CallerTimeout;
    for (std::size_t host = 0; Clock::now() < giveUpAt; host = (host + 1) % site.hostCount()) {
        const auto rest = std::chrono::duration_cast<Milliseconds>(giveUpAt - Clock::now());
        const auto reply = site.request(host, "POST", "/checks/" + id, chainBody(), rest);
        const bool isAnswered = reply.progress == CallProgress::Answered && reply.status != 502 && reply.status != 504;
        if (isAnswered) {
            return;
        }
        std::this_thread::sleep_for(ResendDelay);
    }
}

void judge(Site &site, Record &record, const std::string &id, TimePoint acknowledgedAt)
{
    for (std::size_t index = 0; index < site.workerCount(); ++index) {
        auto &worker = site.worker(index);
        for (const auto &run : worker.runs()) {
            if (!run.task.starts_with(id)) {
                continue;
            }
            const auto name = "run " + std::to_string(run.number) + " of " + run.task + " on " + worker.id();
            const auto startedAfter = static_cast<int>(toMilliseconds(run.startedAt - acknowledgedAt));
            if (run.startedAt > acknowledgedAt + CancelBound) {
                record.addViolation(name + " was started " + std::to_string(startedAfter) + " ms after the cancelling was acknowledged");
            } else if (std::min(run.endedAt, Clock::now()) > acknowledgedAt + CancelBound + StopBound + NoteDelay) {
                record.addViolation(name + " ran on for more than cancel_ms and stop_timeout_ms after the acknowledgement");
            }
        }
    }
}

void play(Site &site, Record &record, bool trouble)
{
    const auto id = site.newId();
    std::thread sender([&] {
        handIn(site, id);
    });
    std::vector<std::thread> others;
    for (int number = 0; number < OtherJobs; ++number) {
        others.emplace_back([&site, otherId = site.newId()] {
            handIn(site, otherId);
        });
    }
    TimePoint acknowledgedAt = TimePoint::max();
    if (trouble) {
        std::this_thread::sleep_for(Milliseconds(400));
        const auto reply = site.request(2, "DELETE", "/checks/" + id, "", Milliseconds(1500));
        const bool isAcknowledged = reply.status == 410 || (reply.status >= 200 && reply.status < 300);
        if (isAcknowledged) {
            acknowledgedAt = Clock::now();
        } else {
            record.add("the cancelling was not acknowledged");
        }
    }
    sender.join();
    for (auto &other : others) {
        other.join();
    }
    if (acknowledgedAt != TimePoint::max()) {
        judge(site, record, id, acknowledgedAt);
    }
}
} // namespace
} // namespace Anvilcart::Review

int main(int argc, char **argv)
{
    return Anvilcart::Review::runCase(argc, argv, {.play = Anvilcart::Review::play});
}
