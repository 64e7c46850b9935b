#include "common/site.h"

#include <atomic>
#include <random>
#include <thread>

// Idle workers crash and start again at once under their ids, now as workers of another kind.
namespace Anvilcart::Review
{
namespace
{
constexpr Milliseconds RunTime {60};
constexpr int TasksPerJob = 8;
/// One task of a job fills more than half of a worker.
constexpr std::int64_t TaskMilliCores = 27000;
constexpr Milliseconds JobPeriod {300};
constexpr int Rounds = 20;
constexpr Milliseconds DownTime {150};
constexpr Milliseconds LifeTime {1500};
/// A start that comes sooner after the new entry is not counted: the order may have been under way.
constexpr Milliseconds EntryMargin {20};

void sendJobs(Site &site, const std::atomic<bool> &stopped)
{
    std::mt19937 random(54);
    std::uniform_int_distribution<int> pause(0, static_cast<int>(2 * JobPeriod.count()));
    Step step;
    step.tasks = TasksPerJob;
    step.milliCores = TaskMilliCores;
    step.requiredLabel = "a";
    for (std::size_t count = 0; !stopped.load(); ++count) {
        site.request(count % site.hostCount(), "POST", "/checks/" + site.newId(), Site::jobBody({step}, RunTime), Milliseconds(1500));
        std::this_thread::sleep_for(Milliseconds(pause(random)));
    }
}

void play(Site &site, Record &record, bool trouble)
{
    for (std::size_t index = 0; index < site.workerCount(); ++index) {
        auto &worker = site.worker(index);
        worker.setStartHandler([&record, id = worker.id()](const StartOrder &order, const WorkerKind &kind, Duration registeredFor) {
            if (kind.label != "a" && registeredFor > EntryMargin) {
                const auto registeredMs = static_cast<int>(toMilliseconds(registeredFor));
                record.addViolation(order.task + " was started on " + id + ", which is of kind " + kind.label + " by its entry, "
                                    + std::to_string(registeredMs) + " ms old; it requires the label a");
            }
        });
    }
    std::atomic<bool> stopped = false;
    std::thread jobs([&] {
        sendJobs(site, stopped);
    });
    std::this_thread::sleep_for(Seconds(1));
    for (int round = 0; round < Rounds; ++round) {
        auto &worker = site.worker(static_cast<std::size_t>(round) % site.workerCount());
        for (const auto *label : {"b", "a"}) {
            if (trouble) {
                worker.crash();
            }
            std::this_thread::sleep_for(DownTime);
            if (trouble) {
                WorkerKind kind;
                kind.label = label;
                worker.restart(kind);
            }
            std::this_thread::sleep_for(LifeTime);
        }
    }
    stopped.store(true);
    jobs.join();
}
} // namespace
} // namespace Anvilcart::Review

int main(int argc, char **argv)
{
    return Anvilcart::Review::runCase(argc, argv, {.play = Anvilcart::Review::play});
}
