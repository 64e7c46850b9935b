#include "dispatchfixture.h"

#include <array>
#include <cstdio>

namespace
{
using namespace Anvilcart;

constexpr std::array WaitingJobs = {100, 1000, 10000, 50000};
constexpr std::uint32_t Targets = 17;
constexpr std::uint32_t Slots = 8;
constexpr std::uint32_t TasksPerJob = 16;
constexpr std::size_t Outcomes = 20000;

/// Finishes task after task while so many jobs wait; the processor time of one outcome with the start that follows it, in microseconds.
double outcomeMicroseconds(int waitingJobs)
{
    DispatchFixture fixture;
    fixture.maxQueuedTasks = static_cast<std::uint32_t>(waitingJobs + 1) * TasksPerJob;
    fixture.configure(Targets, Slots);
    int jobs = 0;
    const auto submitOne = [&] {
        auto job = DispatchFixture::makeJob("j" + std::to_string(jobs++), TasksPerJob);
        job.deadline = Seconds(3600);
        fixture.submit(std::move(job));
    };
    while (jobs < waitingJobs) {
        submitOne();
    }
    Duration spent {};
    for (std::size_t i = 0; i < Outcomes; ++i) {
        const auto begin = Clock::now();
        fixture.finish(i);
        spent += Clock::now() - begin;
        fixture.now += std::chrono::microseconds(100);
        if (i % TasksPerJob == 0) {
            submitOne();
        }
    }
    return toMilliseconds(spent) * 1000 / static_cast<double>(Outcomes);
}
} // namespace

/// Measures the decisions alone, without sockets: the processor time of an outcome by the length of the queue.
int main()
{
    std::printf("%12s %16s\n", "waiting jobs", "us an outcome");
    for (const auto jobs : WaitingJobs) {
        std::printf("%12d %16.2f\n", jobs, outcomeMicroseconds(jobs));
    }
    return 0;
}
