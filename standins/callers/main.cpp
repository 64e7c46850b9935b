#include "callers/balancer.h"
#include "callers/report.h"
#include "callers/workload.h"

#include "caller/jobcodec.h"
#include "kernel/time.h"
#include "net/httpclient.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <tclap/CmdLine.h>

#include <iostream>

namespace
{
using namespace Anvilcart;
namespace asio = boost::asio;
using namespace std::chrono;

constexpr Seconds AnswerGrace {30};
constexpr Milliseconds EndPollInterval {10};

/// What one run of the callers does.
struct RunOptions
{
    std::vector<Endpoint> doors;
    double load = 0.5;
    std::uint32_t slots = 0;
    seconds duration {10};
    std::uint32_t seed = 1;
    microseconds clientDelay {0};
    std::string prefix;
};

asio::awaitable<void> sleepFor(Duration duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

bool isCorrect(const JobSpec &job, const JobAnswer &answer)
{
    if (answer.submission != job.submission || answer.results.size() != job.tasks.size()) {
        return false;
    }
    for (std::size_t i = 0; i < job.tasks.size(); ++i) {
        if (answer.results[i].id != job.tasks[i].id || answer.results[i].output != job.submission + "/" + job.tasks[i].id) {
            return false;
        }
    }
    return true;
}

/// Sends the job to one ready door after the other until one takes it; a call that was sent is never repeated.
asio::awaitable<std::optional<HttpReply>> sendToReadyDoor(const JobSpec &job, Balancer &balancer)
{
    const auto body = encodeJob(job);
    for (std::size_t tried = 0; tried < balancer.size(); ++tried) {
        const auto door = balancer.next();
        if (!door) {
            break;
        }
        auto reply = co_await callOnce(balancer.door(*door), HttpCall("POST", "/v1/jobs", body), job.deadline + AnswerGrace);
        if (reply.progress != CallProgress::NotSent) {
            co_return reply;
        }
        balancer.markDown(*door);
    }
    co_return std::nullopt;
}

asio::awaitable<void> sendJob(GeneratedJob job, Balancer &balancer, microseconds clientDelay, Report &report)
{
    const auto sentAt = Clock::now();
    co_await sleepFor(clientDelay);
    const auto reply = co_await sendToReadyDoor(job.spec, balancer);
    co_await sleepFor(clientDelay);
    if (!reply) {
        report.addNotSent(job.spec.submission);
        co_return;
    }
    if (reply->progress != CallProgress::Answered) {
        report.addUnanswered();
        co_return;
    }
    const auto answer = decodeAnswer(reply->body);
    if (answer.code != ResultCode::Complete) {
        report.addRefused(job.spec.submission, answer.code);
        co_return;
    }
    const auto ideal = job.longestTask + 2 * clientDelay;
    const double slowdown = duration<double>(Clock::now() - sentAt) / duration<double>(ideal);
    report.addWhole(slowdown, job.spec.tasks.size(), isCorrect(job.spec, answer));
}

/// Sends jobs at random times, each through the balancer, until the time is over and every job has come back.
asio::awaitable<void> sendJobs(const RunOptions &options, Balancer &balancer, Report &report)
{
    const auto executor = co_await asio::this_coro::executor;
    Workload workload(WorkloadSpec(), options.seed);
    const auto meanGap =
        microseconds(static_cast<std::int64_t>(static_cast<double>(workload.meanWork().count()) / (options.load * options.slots)));
    const auto end = Clock::now() + options.duration;
    auto next = Clock::now();
    std::size_t sent = 0;
    while (next < end) {
        asio::steady_timer timer(executor, next);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        asio::co_spawn(executor, sendJob(workload.next(options.prefix), balancer, options.clientDelay, report), asio::detached);
        ++sent;
        next += workload.nextGap(meanGap);
    }
    while (report.jobs() < sent) {
        co_await sleepFor(EndPollInterval);
    }
}
} // namespace

/// Plays the callers of one availability zone: an open stream of jobs at a share of the slots' capacity.
/// Prints its seed first and one line of JSON when every job has its answer.
int main(int argc, char **argv)
{
    TCLAP::CmdLine commandLine("Plays the callers of one availability zone.", ' ', ANVILCART_VERSION);
    TCLAP::MultiArg<std::string> doors("t", "to", "a caller door", true, "ADDRESS:PORT", commandLine);
    TCLAP::ValueArg<double> load("l", "load", "share of capacity", false, 0.5, "SHARE", commandLine);
    TCLAP::ValueArg<std::uint32_t> slots("s", "slots", "slots of the zone", true, 0, "COUNT", commandLine);
    TCLAP::ValueArg<std::int64_t> time("d", "duration-s", "how long jobs are sent", false, 10, "SECONDS", commandLine);
    TCLAP::ValueArg<std::uint32_t> seed("r", "seed", "seed of the workload", false, 1, "NUMBER", commandLine);
    TCLAP::ValueArg<std::int64_t> delay("c", "client-delay-us", "one way to the callers", false, 0, "MICROSECONDS", commandLine);
    TCLAP::ValueArg<std::string> prefix("p", "prefix", "start of submission ids", false, "job", "TEXT", commandLine);
    commandLine.parse(argc, argv);
    RunOptions options {{},
                        load.getValue(),
                        slots.getValue(),
                        seconds(time.getValue()),
                        seed.getValue(),
                        microseconds(delay.getValue()),
                        prefix.getValue()};
    for (const auto &door : doors.getValue()) {
        options.doors.push_back(parseEndpoint(door).value());
    }
    std::cerr << "callers: seed " << options.seed << "\n";
    Report report;
    asio::io_context loop;
    Balancer balancer(options.doors);
    for (std::size_t i = 0; i < balancer.size(); ++i) {
        asio::co_spawn(loop, balancer.watch(i), asio::detached);
    }
    asio::co_spawn(loop, sendJobs(options, balancer, report), [&loop](const std::exception_ptr &) {
        loop.stop();
    });
    loop.run();
    std::cout << report.toJson() << std::endl;
    return 0;
}
