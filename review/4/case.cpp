#include "review/support/deployment.h"

#include <future>
#include <map>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace
{
using namespace Anvilcart;
using namespace Anvilcart::Review;

constexpr int Workers = 8;
constexpr std::int64_t MilliCores = 48000;
constexpr std::int64_t TaskMilliCores = 14000;
constexpr Milliseconds TaskLength {60};
constexpr int TasksOfJob = 8;
constexpr Milliseconds CallerTimeout {1500};
/// A job each 18 ms: 1.1 times what eight workers do, 50 jobs a second, so that work waits.
constexpr Milliseconds JobPeriod {18};
constexpr Seconds TrafficTime {24};
/// When a worker crashes, each time another one, and for how long it is down.
const std::vector<Milliseconds> Crashes {Milliseconds(4000), Milliseconds(9000), Milliseconds(14000), Milliseconds(19000)};
constexpr Milliseconds DownTime {300};
/// A read of the store takes 4 ms. Starts so soon after a worker has registered itself are not counted, though the rule names no time.
constexpr Milliseconds ReadTime {20};
/// The kind that every task requires, and the kind as which a worker starts again.
const std::string RequiredKind = "a";
const std::string OtherKind = "b";

/// Counts the starts on workers of the other kind. otherSince tells since when the store has a worker's entry with that kind.
int startsWithoutLabel(const std::vector<Run> &runs, const std::map<std::string, TimePoint> &otherSince, Record &record)
{
    int count = 0;
    for (const auto &run : runs) {
        const auto since = otherSince.find(run.worker);
        if (since == otherSince.end() || run.startedAt <= since->second + ReadTime) {
            continue;
        }
        ++count;
        std::ostringstream text;
        text << "ROUTE broken: " << run.task << " requires the label " << RequiredKind << " and starts on " << run.worker << ", "
             << toMilliseconds(run.startedAt - since->second) << " ms after the store has its entry with the label " << OtherKind;
        record.lineAt(run.startedAt, text.str());
    }
    return count;
}
} // namespace

int main(int, char **argv)
{
    Record record(argv[1]);
    Deployment deployment({{"a", "b", "c"}, CallerTimeout}, record);
    const std::vector<std::string> zones {"a", "b", "c"};
    std::map<std::string, TimePoint> otherSince;
    const auto startWorker = [&](int index, const std::string &kind) {
        const auto process = "i-" + std::to_string(index);
        const auto endpoint = deployment.startWorkers(process, 1).front();
        WorkerEntry entry {process + "-0", endpoint, zones[static_cast<std::size_t>(index) % zones.size()], MilliCores, wallClockMs()};
        entry.kind = kind;
        // A worker registers itself as soon as it listens.
        deployment.registerWorker(entry);
        if (kind == OtherKind) {
            otherSince[entry.id] = Clock::now();
        }
        record.line(entry.id + " has started and registered itself with the label " + kind);
    };
    for (int index = 0; index < Workers; ++index) {
        startWorker(index, RequiredKind);
    }
    if (!deployment.startHosts()) {
        record.line("the hosts are not ready");
        return CouldNotRun;
    }
    const auto begin = Clock::now();
    std::jthread crashes([&](const std::stop_token &) {
        for (std::size_t number = 0; hasTrouble() && number < Crashes.size(); ++number) {
            std::this_thread::sleep_until(begin + Crashes[number]);
            const int index = static_cast<int>(number);
            record.line("i-" + std::to_string(index) + "-0 crashes");
            deployment.killWorkers("i-" + std::to_string(index));
            std::this_thread::sleep_for(DownTime);
            startWorker(index, OtherKind);
        }
    });
    std::vector<std::future<Answer>> answers;
    unsigned number = 0;
    for (auto next = begin; next < begin + TrafficTime; next += JobPeriod) {
        std::this_thread::sleep_until(next);
        ++number;
        answers.push_back(std::async(std::launch::async, [&, number] {
            const auto host = number % deployment.hostCount();
            return deployment.call(
                host, "POST", jobId(number), jobBody(1, TasksOfJob, TaskMilliCores, TaskLength, RequiredKind), CallerTimeout);
        }));
    }
    int served = 0;
    for (auto &answer : answers) {
        served += answer.get().status == 200 ? 1 : 0;
    }
    crashes.join();
    deployment.recordRuns();
    const auto runs = deployment.runs();
    const int wrong = startsWithoutLabel(runs, otherSince, record);
    record.line(std::to_string(served) + " of " + std::to_string(number) + " jobs were served, " + std::to_string(runs.size()) + " runs, "
                + std::to_string(wrong) + " starts without the required label");
    if (served == 0) {
        return CouldNotRun;
    }
    return wrong == 0 ? Held : Broken;
}
