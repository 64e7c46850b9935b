#include "cases.h"
#include "site.h"

#include <thread>

namespace Review
{
using namespace Anvilcart;

namespace
{
/// Sizes of the site file: workers of 32 cores, and of 48 for one kind in three.
constexpr std::int64_t Small = 32000;
constexpr std::int64_t Large = 48000;
constexpr std::int64_t TaskSize = 4000;
constexpr int Rounds = 10;
constexpr Milliseconds CallerTimeout {1500};
/// Within this time the host has acknowledged all ends, so that the workers are idle.
constexpr Milliseconds IdleTime {1800};
/// How long the worker is down, and how soon after its start the job comes. Both are far below three heartbeats.
constexpr Milliseconds DownTime {1200};
constexpr Milliseconds TimeToJob {20};
/// Hosts read the list of workers at an interval; each round is at another time of it.
constexpr Milliseconds PhaseStep {70};

std::string jobId(unsigned number)
{
    char text[17];
    std::snprintf(text, sizeof(text), "%016x", number);
    return text;
}
} // namespace

bool playReturnOfSmallerWorker(const CaseContext &context)
{
    // One worker in eight is a smaller share than the pages let crash at once.
    std::vector<WorkerKind> kinds(8, WorkerKind {Small, "a", "r1"});
    kinds.front() = {Large, "b", "r1"};
    Site site(2, kinds, context.binary, context.record);
    site.publish(1);
    if (!site.waitUntilReady()) {
        return false;
    }
    unsigned jobs = 0;
    const JobText whole {static_cast<int>((Large + 7 * Small) / TaskSize), Milliseconds(200), TaskSize, {}};
    for (int round = 0; round < Rounds; ++round) {
        site.send(round % 2, Site::jobCall(jobId(++jobs), whole, CallerTimeout), CallerTimeout);
        std::this_thread::sleep_for(IdleTime + round * PhaseStep);
        if (context.hasTrouble) {
            site.worker(0).powerOff();
        }
        std::this_thread::sleep_for(DownTime);
        const bool isSmall = round % 2 == 0;
        if (context.hasTrouble) {
            site.worker(0).powerOn(isSmall ? WorkerKind {Small, "a", "r1"} : kinds.front());
            site.registerWorker(0);
        }
        std::this_thread::sleep_for(TimeToJob);
        site.send(round % 2, Site::jobCall(jobId(++jobs), whole, CallerTimeout), CallerTimeout);
        std::this_thread::sleep_for(IdleTime);
    }
    return site.worker(1).startCount() > 0;
}
} // namespace Review
