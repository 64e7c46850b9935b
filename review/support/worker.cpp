#include "review/support/worker.h"

#include "net/httpserver.h"
#include "platform/jsonvalue.h"
#include "platform/names.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <boost/lexical_cast/try_lexical_convert.hpp>

#include <algorithm>
#include <list>
#include <map>
#include <set>

namespace Anvilcart::Review
{
namespace asio = boost::asio;
namespace json = boost::json;

namespace
{
/// bounds.hold_max_ms of the settings.
constexpr std::int64_t MaxLeaseMs = 1000;
/// Below bounds.stop_timeout_ms.
constexpr Milliseconds StopTime {20};
constexpr std::int64_t MaxWaitMs = 2000;
constexpr std::int64_t DefaultRunMs = 50;

HttpResponse answer(int status, const json::object &body)
{
    HttpResponse response;
    response.status = status;
    response.body = json::serialize(body);
    return response;
}
} // namespace

RunLog::RunLog(const std::string &path)
    : m_file(path, std::ios::app)
{
}

void RunLog::write(
    const std::string &event, const std::string &worker, const std::string &task, std::int64_t run, const std::string &detail)
{
    m_file << std::chrono::duration_cast<std::chrono::nanoseconds>(Clock::now().time_since_epoch()).count() << ' ' << event << ' ' << worker
           << ' ' << task << ' ' << run << ' ' << detail << std::endl;
}

struct Worker::Private
{
    struct Run
    {
        std::string task;
        std::int64_t number = 0;
        TimePoint startedAt;
        Milliseconds length {0};
        asio::steady_timer end;
        bool stopping = false;
    };

    struct EndedRun
    {
        std::int64_t position = 0;
        std::string task;
        std::int64_t number = 0;
        std::string how;
    };

    Private(EventLoops &loops, std::string workerId, RunLog &runLog)
        : executor(loops.at(0).get_executor())
        , id(std::move(workerId))
        , log(runLog)
        , leaseTimer(executor)
    {
    }

    std::int64_t clockMs() const
    {
        return 1 + std::chrono::duration_cast<Milliseconds>(Clock::now() - startedAt).count();
    }

    json::object body() const
    {
        return {{"clock_ms", clockMs()}, {"born", bornMs}};
    }

    HttpResponse refuse(const char *reason) const
    {
        auto object = body();
        object["reason"] = reason;
        return answer(409, object);
    }

    asio::awaitable<HttpResponse> handle(HttpRequest request)
    {
        const auto object = Platform::parseObject(request.body);
        if (!object) {
            co_return answer(400, {});
        }
        const auto expected = request.header(Platform::Names::IncarnationHeader);
        if (!expected.empty() && expected != id) {
            co_return answer(421, {});
        }
        const auto token = Platform::integerAt(*object, "fencing_token");
        if (token < fencingToken) {
            co_return refuse("fence");
        }
        fencingToken = token;
        if (request.path == Platform::Names::StartPath) {
            co_return start(*object);
        }
        if (request.path == Platform::Names::StopPath) {
            co_return stop(*object);
        }
        if (request.path == Platform::Names::HoldPath) {
            co_return co_await hold(*object);
        }
        co_return answer(404, {});
    }

    void extendLease(std::int64_t deadline)
    {
        leaseMs = std::max(leaseMs, std::min(deadline, clockMs() + MaxLeaseMs));
        leaseTimer.expires_at(startedAt + Milliseconds(leaseMs));
        leaseTimer.async_wait([this](const boost::system::error_code &error) {
            while (!error && !runs.empty()) {
                endRun(runs.begin(), "lapsed");
            }
        });
    }

    HttpResponse start(const json::object &object)
    {
        const auto task = Platform::textAt(object, "task");
        const auto number = Platform::integerAt(object, "run");
        const auto deadline = Platform::integerAt(object, "deadline_ms");
        const bool present = std::any_of(runs.begin(), runs.end(), [&](const Run &run) {
            return run.task == task && run.number == number;
        });
        if (present) {
            return answer(200, body());
        }
        if (deadline <= clockMs()) {
            return refuse("late");
        }
        extendLease(deadline);
        if (number <= newestRun[task]) {
            return refuse("old");
        }
        std::int64_t lengthMs = DefaultRunMs;
        boost::conversion::try_lexical_convert(Platform::textAt(object, "spec"), lengthMs);
        const auto run = runs.insert(runs.end(), {task, number, Clock::now(), Milliseconds(lengthMs), asio::steady_timer(executor)});
        log.write("start", id, task, number, std::to_string(lengthMs));
        endLater(run, run->length, "done");
        return answer(200, body());
    }

    void endLater(std::list<Run>::iterator run, Milliseconds delay, const char *how)
    {
        run->end.expires_after(delay);
        run->end.async_wait([this, run, how](const boost::system::error_code &error) {
            if (!error) {
                endRun(run, how);
            }
        });
    }

    void endRun(std::list<Run>::iterator run, const std::string &how)
    {
        log.write("end", id, run->task, run->number, how);
        ended.push_back({++lastPosition, run->task, run->number, how});
        newestRun[run->task] = std::max(newestRun[run->task], run->number);
        runs.erase(run);
        for (auto *waiting : waitingHolds) {
            waiting->cancel();
        }
    }

    HttpResponse stop(const json::object &object)
    {
        const auto task = Platform::textAt(object, "task");
        const auto number = Platform::integerAt(object, "run");
        newestRun[task] = std::max(newestRun[task], number);
        for (auto run = runs.begin(); run != runs.end(); ++run) {
            if (run->task == task && run->number <= number && !run->stopping) {
                run->stopping = true;
                endLater(run, StopTime, "stopped");
            }
        }
        return answer(200, body());
    }

    asio::awaitable<HttpResponse> hold(json::object object)
    {
        const auto acknowledged = Platform::integerAt(object, "ack_cursor");
        std::erase_if(ended, [acknowledged](const EndedRun &row) {
            return row.position <= acknowledged;
        });
        if (const auto deadline = Platform::integerAt(object, "deadline_ms"); deadline > clockMs()) {
            extendLease(deadline);
        }
        const auto wait = Milliseconds(std::clamp<std::int64_t>(Platform::integerAt(object, "wait_ms"), 0, MaxWaitMs));
        if (ended.empty() && wait.count() > 0) {
            asio::steady_timer timer(executor, wait);
            waitingHolds.insert(&timer);
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
            waitingHolds.erase(&timer);
        }
        co_return answer(200, lists());
    }

    json::object lists() const
    {
        auto object = body();
        json::array running;
        for (const auto &run : runs) {
            const auto share = toMilliseconds(Clock::now() - run.startedAt) / std::max(1.0, toMilliseconds(run.length));
            running.push_back(json::array {run.task, run.number, "", static_cast<std::int64_t>(100 * std::min(1.0, share)), 0});
        }
        json::array endedRuns;
        for (const auto &row : ended) {
            endedRuns.push_back(json::array {row.position, row.task, row.number, row.how, ""});
        }
        object["running"] = running;
        object["ended_runs"] = endedRuns;
        return object;
    }

    asio::any_io_executor executor;
    std::string id;
    RunLog &log;
    TimePoint startedAt = Clock::now();
    std::int64_t bornMs = std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    std::int64_t fencingToken = 0;
    std::int64_t leaseMs = 0;
    std::int64_t lastPosition = 0;
    asio::steady_timer leaseTimer;
    std::list<Run> runs;
    std::vector<EndedRun> ended;
    /// The highest run of each task that has ended or been stopped.
    std::map<std::string, std::int64_t> newestRun;
    std::set<asio::steady_timer *> waitingHolds;
    std::unique_ptr<HttpServer> server;
};

Worker::Worker(EventLoops &loops, const Endpoint &endpoint, std::string id, RunLog &log)
    : d(std::make_shared<Private>(loops, std::move(id), log))
{
    d->server = std::make_unique<HttpServer>(
        loops,
        endpoint,
        HttpLimits(),
        [self = d.get()](HttpRequest request, HttpPeer &) {
            return self->handle(std::move(request));
        },
        [](ResultCode) {
            return answer(400, {});
        });
}

Worker::~Worker() = default;
} // namespace Anvilcart::Review
