#include "common/site.h"

#include <atomic>
#include <thread>

// A start order goes unanswered and is repeated; its worker crashes, starts again under its id, and only then carries the first one out.
namespace Anvilcart::Review
{
namespace
{
constexpr int Rounds = 5;
constexpr Milliseconds LongRunTime {6000};
constexpr Milliseconds CallerTimeout {14000};
/// Orders that go unanswered are carried out 2 to 12 s later.
constexpr Milliseconds ShortestDelay {2000};
constexpr Milliseconds LongestDelay {12000};
/// The late order comes this much later than the restart.
constexpr Milliseconds AfterRestart {30};
/// Workers are down for 4.5 s at most.
constexpr Milliseconds LongestCrash {4500};

/// Sends short jobs, ten a second.
void sendBackground(Site &site, const std::atomic<bool> &stopped)
{
    for (std::size_t count = 0; !stopped.load(); ++count) {
        site.request(
            count % site.hostCount(), "POST", "/checks/" + site.newId(), Site::jobBody({Step()}, Milliseconds(50)), Milliseconds(1500));
        std::this_thread::sleep_for(Milliseconds(50));
    }
}

/// The worker with an active run of this task, apart from one; null when there is none.
Worker *workerThatRuns(Site &site, const std::string &task, const Worker *apart)
{
    for (std::size_t index = 0; index < site.workerCount(); ++index) {
        auto &worker = site.worker(index);
        for (const auto &run : worker.runs()) {
            if (run.task == task && run.endedAt == TimePoint::max() && &worker != apart) {
                return &worker;
            }
        }
    }
    return nullptr;
}

Worker *awaitRun(Site &site, const std::string &task, const Worker *apart, TimePoint giveUpAt)
{
    Worker *found = nullptr;
    while (found == nullptr && Clock::now() < giveUpAt) {
        std::this_thread::sleep_for(Milliseconds(5));
        found = workerThatRuns(site, task, apart);
    }
    return found;
}

/// The crash and the restart; the late order is carried out just after that.
void disturb(Site &site, Record &record, const std::string &task, TimePoint sentAt)
{
    auto *worker = awaitRun(site, task, nullptr, sentAt + ShortestDelay);
    if (worker == nullptr) {
        record.add("the repeated order has started no run");
        return;
    }
    std::this_thread::sleep_for(Milliseconds(300));
    const auto crashedAt = Clock::now();
    worker->crash();
    if (awaitRun(site, task, worker, crashedAt + LongestCrash - Milliseconds(500)) == nullptr) {
        record.add("the task has not been started again");
        return;
    }
    const auto restartAt = std::max(Clock::now() + Milliseconds(100), sentAt + ShortestDelay);
    std::this_thread::sleep_until(restartAt);
    worker->restart(WorkerKind());
    std::this_thread::sleep_for(AfterRestart);
    if (Clock::now() < sentAt + LongestDelay) {
        worker->carryOutLate();
    }
}

/// One long job, whose first start order goes unanswered.
void playRound(Site &site, Record &record, bool trouble)
{
    const auto id = site.newId();
    const auto task = id + ".0.0.0";
    std::atomic<bool> isFirst = trouble;
    for (std::size_t index = 0; index < site.workerCount(); ++index) {
        site.worker(index).setLateOrders([&isFirst, task](const StartOrder &order) {
            return order.task == task && isFirst.exchange(false);
        });
    }
    const auto sentAt = Clock::now();
    std::thread caller([&] {
        site.request(0, "POST", "/checks/" + id, Site::jobBody({Step()}, LongRunTime), CallerTimeout);
    });
    if (trouble) {
        disturb(site, record, task, sentAt);
    }
    caller.join();
    for (std::size_t index = 0; index < site.workerCount(); ++index) {
        site.worker(index).setLateOrders({});
    }
}

void play(Site &site, Record &record, bool trouble)
{
    std::atomic<bool> stopped = false;
    std::thread background([&] {
        sendBackground(site, stopped);
    });
    std::this_thread::sleep_for(Seconds(3));
    for (int round = 0; round < Rounds; ++round) {
        playRound(site, record, trouble);
    }
    stopped.store(true);
    background.join();
    std::size_t orders = 0;
    for (std::size_t index = 0; index < site.workerCount(); ++index) {
        orders += site.worker(index).startOrders();
    }
    record.add(std::to_string(orders) + " start orders in all; in each round one of them is left unanswered if there is a disruption");
    for (const auto &text : site.runsAtTheSameTime()) {
        record.addViolation(text);
    }
}
} // namespace
} // namespace Anvilcart::Review

int main(int argc, char **argv)
{
    return Anvilcart::Review::runCase(argc, argv, {.play = Anvilcart::Review::play});
}
