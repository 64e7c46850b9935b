#include "common/site.h"

#include <mutex>
#include <thread>
#include <utility>
#include <vector>

// The only host of a zone is restarted, as planned. Clients of its zone cancel jobs that other hosts have, also while it starts.
namespace Anvilcart::Review
{
namespace
{
constexpr Milliseconds RunTime {900};
constexpr int Rounds = 5;
/// bounds.stable_window_ms of the site.
constexpr Milliseconds RoundPause {3000};
constexpr int Steps = 9;
constexpr std::int64_t TaskMilliCores = 9000;
constexpr Milliseconds CallerTimeout {14000};
constexpr Milliseconds RestartDelay {300};
constexpr std::size_t Jobs = 16;
/// Jobs that are not cancelled: two of five are.
constexpr std::size_t OtherJobs = 24;
constexpr Milliseconds OtherRunTime {200};
/// The cancellings are spread over the time in which the host is down and starts.
constexpr Milliseconds CancelSpacing {50};
/// A client that gets no connection, or a 503, tries again after this time.
constexpr Milliseconds RetryPeriod {250};
constexpr Milliseconds RetryTime {4000};
/// bounds.cancel_ms of the site.
constexpr Milliseconds CancelBound {3000};
/// As on the site: three, two and one hosts.
const std::vector<std::string> HostZones {"a", "b", "c", "a", "b", "a"};
constexpr std::size_t Restarted = 2;

/// A job of steps that follow one another, with one task each.
std::string chainBody()
{
    std::vector<Step> steps(Steps);
    for (int step = 0; step < Steps; ++step) {
        auto &row = steps[static_cast<std::size_t>(step)];
        row.milliCores = TaskMilliCores;
        if (step > 0) {
            row.dependsOn = {step - 1};
        }
    }
    return Site::jobBody(steps, RunTime);
}

bool isAcknowledged(const HttpReply &reply)
{
    return reply.status == 410 || (reply.status >= 200 && reply.status < 300);
}

/// Cancels a job at the host; returns when that was acknowledged, TimePoint::max() if it was not.
TimePoint cancel(Site &site, const std::string &id)
{
    const auto giveUpAt = Clock::now() + RetryTime;
    while (Clock::now() < giveUpAt) {
        if (isAcknowledged(site.request(Restarted, "DELETE", "/checks/" + id, "", Milliseconds(1500)))) {
            return Clock::now();
        }
        std::this_thread::sleep_for(RetryPeriod);
    }
    return TimePoint::max();
}

/// One of the hosts that are not restarted.
std::size_t otherHost(const Site &site, std::size_t number)
{
    return (Restarted + 1 + number % (site.hostCount() - 1)) % site.hostCount();
}

/// One client: hands a job in at another host and, at the time, cancels it; returns the job's id and when that was acknowledged.
std::pair<std::string, TimePoint> playClient(Site &site, std::size_t number, TimePoint cancelAt)
{
    const auto id = site.newId();
    const auto host = otherHost(site, number);
    std::thread sender([&] {
        site.request(host, "POST", "/checks/" + id, chainBody(), CallerTimeout);
    });
    std::this_thread::sleep_until(cancelAt);
    const auto acknowledgedAt = cancel(site, id);
    sender.join();
    return {id, acknowledgedAt};
}

void judge(Site &site, Record &record, const std::string &id, TimePoint acknowledgedAt)
{
    for (std::size_t index = 0; index < site.workerCount(); ++index) {
        for (const auto &run : site.worker(index).runs()) {
            const bool isLate = acknowledgedAt != TimePoint::max() && run.startedAt > acknowledgedAt + CancelBound;
            if (run.task.starts_with(id) && isLate) {
                const auto after = static_cast<int>(toMilliseconds(run.startedAt - acknowledgedAt));
                record.addViolation(run.task + " was started " + std::to_string(after) + " ms after its job's cancelling was acknowledged");
            }
        }
    }
}

/// One restart of the host.
void playRound(Site &site, Record &record, bool trouble)
{
    if (trouble) {
        site.host(Restarted).terminate();
        record.add("host 2, the only one of its zone, gets SIGTERM");
    }
    // The host ends a little over two seconds later.
    const auto firstCancelAt = Clock::now() + Milliseconds(2300);
    std::mutex mutex;
    std::vector<std::pair<std::string, TimePoint>> cancelled;
    std::vector<std::thread> clients;
    for (std::size_t number = 0; number < Jobs; ++number) {
        clients.emplace_back([&, number] {
            const auto one = playClient(site, number, firstCancelAt + CancelSpacing * static_cast<int>(number));
            const std::lock_guard lock(mutex);
            cancelled.push_back(one);
        });
    }
    std::vector<std::thread> others;
    for (std::size_t number = 0; number < OtherJobs; ++number) {
        others.emplace_back([&site, number, sendAt = firstCancelAt + CancelSpacing * static_cast<int>(number)] {
            std::this_thread::sleep_until(sendAt);
            site.request(otherHost(site, number), "POST", "/checks/" + site.newId(), Site::jobBody({Step()}, OtherRunTime), CallerTimeout);
        });
    }
    if (trouble) {
        site.host(Restarted).wait();
        record.add("host 2 has ended");
        std::this_thread::sleep_for(RestartDelay);
        site.startHost(Restarted);
        site.awaitReady(Restarted);
        record.add("host 2 is ready");
    }
    for (auto &client : clients) {
        client.join();
    }
    for (auto &other : others) {
        other.join();
    }
    for (const auto &[id, acknowledgedAt] : cancelled) {
        judge(site, record, id, acknowledgedAt);
    }
}

void play(Site &site, Record &record, bool trouble)
{
    for (int round = 0; round < Rounds; ++round) {
        playRound(site, record, trouble);
        std::this_thread::sleep_for(RoundPause);
    }
}
} // namespace
} // namespace Anvilcart::Review

int main(int argc, char **argv)
{
    using namespace Anvilcart::Review;
    return runCase(argc, argv, {.hostZones = HostZones, .play = play});
}
