#include "throughputbench.h"

#include "caller/jobcodec.h"
#include "net/httpclient.h"
#include "site/processusage.h"
#include "site/site.h"
#include "target/taskcodec.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <cstdio>
#include <thread>
#include <vector>

namespace Anvilcart
{
namespace asio = boost::asio;

namespace
{
constexpr std::size_t LoadThreads = 2;
constexpr std::size_t ConnectionsPerThread = 16;
constexpr int TasksPerJob = 16;
constexpr Seconds WarmUp {1};
constexpr Seconds MeasuredTime {4};
constexpr Seconds CallTimeout {30};
constexpr int LatencyCalls = 2000;
constexpr double MicrosecondsPerSecond = 1e6;

JobSpec instantJob(const std::string &submission, int tasks)
{
    JobSpec job;
    job.submission = submission;
    job.team = "field";
    job.deadline = Seconds(20);
    for (int i = 0; i < tasks; ++i) {
        TaskSpec task;
        task.id = "t" + std::to_string(i);
        task.kind = "check";
        task.payload = "0";
        job.tasks.push_back(std::move(task));
    }
    return job;
}

/// Sends one job after the other over one connection until the time is over.
asio::awaitable<void> sendJobs(asio::io_context &loop, Endpoint door, std::string prefix, TimePoint end)
{
    HttpConnection connection(loop.get_executor(), door, "");
    for (int number = 0; Clock::now() < end; ++number) {
        HttpCall call("POST", "/v1/jobs", encodeJob(instantJob(prefix + std::to_string(number), TasksPerJob)));
        co_await connection.call(std::move(call), CallTimeout);
    }
}

void loadDoor(const Endpoint &door, std::size_t thread, TimePoint end)
{
    asio::io_context loop(1);
    for (std::size_t i = 0; i < ConnectionsPerThread; ++i) {
        const auto prefix = std::to_string(thread) + "-" + std::to_string(i) + "-";
        asio::co_spawn(loop, sendJobs(loop, door, prefix, end), asio::detached);
    }
    loop.run();
}

std::uint64_t countStarts(Site &site)
{
    return boost::json::parse(site.targetCounts()).at("starts").to_number<std::uint64_t>();
}

void measureThroughput(Site &site)
{
    std::vector<std::thread> threads;
    const auto end = Clock::now() + WarmUp + MeasuredTime + Seconds(1);
    for (std::size_t i = 0; i < LoadThreads; ++i) {
        threads.emplace_back(loadDoor, site.callerDoor(0, 0), i, end);
    }
    std::this_thread::sleep_for(WarmUp);
    const auto process = site.entryHost(0, 0).id();
    const auto usageBefore = readUsage(process);
    const auto startsBefore = countStarts(site);
    const auto begin = Clock::now();
    std::this_thread::sleep_for(MeasuredTime);
    const auto starts = static_cast<double>(countStarts(site) - startsBefore);
    const auto seconds = std::chrono::duration<double>(Clock::now() - begin).count();
    const auto cpu = readUsage(process).cpuSeconds - usageBefore.cpuSeconds;
    for (auto &thread : threads) {
        thread.join();
    }
    std::printf("starts a second        %10.0f\n", starts / seconds);
    std::printf("processor us a start   %10.1f\n", cpu / starts * MicrosecondsPerSecond);
    std::printf("cores in use           %10.2f\n", cpu / seconds);
    std::printf("memory KB (peak)       %10lu\n", readUsage(process).peakMemoryKb);
}

/// The median time of calls made one after the other over one connection, in microseconds.
template<typename MakeCall>
double medianCallTime(const Endpoint &endpoint, MakeCall makeCall)
{
    asio::io_context loop(1);
    std::vector<double> times;
    const auto run = [&]() -> asio::awaitable<void> {
        HttpConnection connection(loop.get_executor(), endpoint, "");
        for (int i = 0; i < LatencyCalls; ++i) {
            HttpCall call = makeCall(i);
            const auto begin = Clock::now();
            co_await connection.call(std::move(call), CallTimeout);
            times.push_back(std::chrono::duration<double, std::micro>(Clock::now() - begin).count());
        }
    };
    asio::co_spawn(loop, run(), asio::detached);
    loop.run();
    std::nth_element(times.begin(), times.begin() + LatencyCalls / 2, times.end());
    return times[LatencyCalls / 2];
}

void measureLatency(Site &site)
{
    const auto direct = medianCallTime(site.targetDoor(0, 0), [](int i) {
        TaskStart start;
        start.submission = "direct-" + std::to_string(i);
        start.task = "t0";
        start.payload = "0";
        return HttpCall("POST", "/v1/tasks/run", encodeRunRequest(start));
    });
    const auto through = medianCallTime(site.callerDoor(0, 0), [](int i) {
        return HttpCall("POST", "/v1/jobs", encodeJob(instantJob("light-" + std::to_string(i), 1)));
    });
    std::printf("direct call, median us %10.0f\n", direct);
    std::printf("through anvilcart, us  %10.0f\n", through);
    std::printf("added, median us       %10.0f\n", through - direct);
}
} // namespace

void runThroughputBench(const std::string &binaries)
{
    SiteOptions options;
    options.name = "throughput";
    options.entryHostsPerZone = 1;
    options.targetsPerZone = 20;
    options.ioThreads = 3;
    options.targetThreads = 3;
    Site site(options, binaries);
    measureLatency(site);
    measureThroughput(site);
}
} // namespace Anvilcart
