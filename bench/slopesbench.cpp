#include "slopesbench.h"

#include "caller/jobcodec.h"
#include "net/httpclient.h"
#include "site/processusage.h"
#include "site/site.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <array>
#include <cstdio>
#include <sstream>
#include <thread>

namespace Anvilcart
{
namespace asio = boost::asio;

namespace
{
constexpr Seconds SettleTime {1};
constexpr Seconds MeasuredTime {4};
constexpr int TasksPerJob = 500;
constexpr double Percent = 100;
constexpr std::array<std::uint32_t, 3> TargetCounts = {17, 75, 150};
constexpr std::array<std::uint32_t, 3> TeamCounts = {1, 43, 430};
constexpr std::array<std::uint32_t, 3> HostCounts = {2, 4, 8};
constexpr std::array<int, 3> WaitingTasks = {1000, 5000, 15000};

/// One counter of an entry host; 0 when it has none of that name.
double readMetric(Site &site, const std::string &name)
{
    std::istringstream lines(site.call(site.callerDoor(0, 0), "GET", "/metrics").body);
    double value = 0;
    for (std::string line; std::getline(lines, line);) {
        value = line.starts_with(name + " ") ? std::stod(line.substr(name.size() + 1)) : value;
    }
    return value;
}

void printRow(const std::string &dimension, std::uint32_t size, double cpuShare, double bytesPerSecond, std::uint64_t memoryKb)
{
    std::printf("%-14s %6u %14.2f %12.0f %10lu\n", dimension.c_str(), size, cpuShare * Percent, bytesPerSecond, memoryKb);
    std::fflush(stdout);
}

void measureControl(const std::string &dimension, std::uint32_t size, const SiteOptions &options, const std::string &binaries)
{
    Site site(options, binaries);
    std::this_thread::sleep_for(SettleTime);
    const auto process = site.entryHost(0, 0).id();
    const auto bytesBefore = readMetric(site, "anvilcart_peer_sent_bytes_total");
    const auto before = readUsage(process);
    const auto begin = Clock::now();
    std::this_thread::sleep_for(MeasuredTime);
    const auto after = readUsage(process);
    const auto seconds = std::chrono::duration<double>(Clock::now() - begin).count();
    const auto bytes = readMetric(site, "anvilcart_peer_sent_bytes_total") - bytesBefore;
    printRow(dimension, size, (after.cpuSeconds - before.cpuSeconds) / seconds, bytes / seconds, after.memoryKb);
}

std::string waitingJob(int number)
{
    JobSpec job;
    job.submission = "waiting-" + std::to_string(number);
    job.team = "field";
    job.deadline = Seconds(300);
    for (int i = 0; i < TasksPerJob; ++i) {
        TaskSpec task;
        task.id = "t" + std::to_string(i);
        task.kind = "check";
        task.payload = "300000000";
        job.tasks.push_back(std::move(task));
    }
    return encodeJob(job);
}

/// Sends one job and waits for its answer, which comes when the connection is cut.
asio::awaitable<void> sendWaitingJob(asio::io_context &loop, Endpoint door, int number)
{
    HttpConnection connection(loop.get_executor(), door, "");
    HttpCall call("POST", "/v1/jobs", waitingJob(number));
    co_await connection.call(std::move(call), SettleTime + MeasuredTime);
}

void measureWaiting(int tasks, const std::string &binaries)
{
    SiteOptions options;
    options.entryHostsPerZone = 1;
    options.targetsPerZone = 17;
    Site site(options, binaries);
    asio::io_context loop(1);
    for (int i = 0; i < tasks / TasksPerJob; ++i) {
        asio::co_spawn(loop, sendWaitingJob(loop, site.callerDoor(0, 0), i), asio::detached);
    }
    loop.run_for(SettleTime);
    const auto process = site.entryHost(0, 0).id();
    const auto before = readUsage(process);
    const auto begin = Clock::now();
    loop.run_for(MeasuredTime / 2);
    const auto after = readUsage(process);
    const auto seconds = std::chrono::duration<double>(Clock::now() - begin).count();
    printRow("waiting tasks", static_cast<std::uint32_t>(tasks), (after.cpuSeconds - before.cpuSeconds) / seconds, 0, after.memoryKb);
}
} // namespace

void runSlopesBench(const std::string &binaries)
{
    std::printf("%-14s %6s %14s %12s %10s\n", "dimension", "size", "% of a core", "peer B/s", "RSS KB");
    for (const auto count : TargetCounts) {
        SiteOptions options;
        options.targetsPerZone = count;
        measureControl("targets", count, options, binaries);
    }
    for (const auto count : TeamCounts) {
        SiteOptions options;
        options.teams = count;
        measureControl("teams", count, options, binaries);
    }
    for (const auto count : HostCounts) {
        SiteOptions options;
        options.entryHostsPerZone = count;
        measureControl("entry hosts", count, options, binaries);
    }
    for (const auto count : WaitingTasks) {
        measureWaiting(count, binaries);
    }
}
} // namespace Anvilcart
