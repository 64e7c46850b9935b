#include "service/workerstandin.h"

#include "net/httpserver.h"
#include "platform/jsonvalue.h"
#include "platform/names.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <boost/lexical_cast/try_lexical_convert.hpp>

#include <algorithm>
#include <mutex>
#include <vector>

namespace Anvilcart
{
namespace asio = boost::asio;
namespace json = boost::json;

namespace
{
constexpr Milliseconds PollPeriod {2};
constexpr std::int64_t MaxLeaseMs = 1000;
constexpr std::int64_t DefaultRunMs = 50;
/// Time from a crash to the restart.
constexpr Seconds DownTime {3};

HttpResponse answer(int status, const json::object &body)
{
    HttpResponse response;
    response.status = status;
    response.body = json::serialize(body);
    return response;
}
} // namespace

struct WorkerStandin::Private : std::enable_shared_from_this<WorkerStandin::Private>
{
    struct Run
    {
        std::string task;
        std::int64_t run = 0;
        TimePoint startedAt;
        TimePoint endsAt;
        /// Index in history.
        std::size_t record = 0;
    };

    struct EndedRun
    {
        std::int64_t position;
        std::string task;
        std::int64_t run;
        std::string end;
    };

    std::int64_t clockMs() const
    {
        return 1 + std::chrono::duration_cast<Milliseconds>(Clock::now() - startedAt).count();
    }

    TimePoint leaseEnd() const
    {
        return startedAt + Milliseconds(leaseUntilMs);
    }

    /// Ends the runs that have finished and, once the lease has expired, all others. Precondition: the mutex is held.
    void endFinishedRuns()
    {
        const auto now = Clock::now();
        for (auto it = runs.begin(); it != runs.end();) {
            const bool leaseExpired = clockMs() > leaseUntilMs;
            if (now < it->endsAt && !leaseExpired) {
                ++it;
                continue;
            }
            const bool endedInTime = now >= it->endsAt && (!leaseExpired || it->endsAt <= leaseEnd());
            history[it->record].endedAt = endedInTime ? it->endsAt : leaseEnd();
            recordEnd(*it, now >= it->endsAt ? (failing ? "failed" : "done") : "lapsed");
            it = runs.erase(it);
        }
    }

    void recordEnd(const Run &run, const std::string &end)
    {
        ended.push_back({++lastPosition, run.task, run.run, end});
        newestEndedRun[run.task] = std::max(newestEndedRun[run.task], run.run);
    }

    asio::awaitable<HttpResponse> handle(HttpRequest request)
    {
        const auto body = Platform::parseObject(request.body);
        if (!body) {
            co_return answer(400, {});
        }
        const auto token = Platform::integerAt(*body, "fencing_token");
        if (isDown()) {
            co_return co_await leaveUnanswered();
        }
        registerAfterRestart();
        {
            const std::lock_guard lock(mutex);
            endFinishedRuns();
            if (token < fencingToken) {
                co_return answer(409, {{"clock_ms", clockMs()}, {"reason", "fence"}});
            }
            fencingToken = token;
        }
        if (request.path == Platform::Names::StartPath) {
            auto response = start(*body);
            if (Platform::textAt(*body, "spec") == CrashPayload && response.status == 200) {
                crash();
            }
            co_return response;
        }
        if (request.path == Platform::Names::StopPath) {
            co_return stop(*body);
        }
        co_return co_await renew(*body);
    }

    void registerAfterRestart()
    {
        bool isDraining = false;
        {
            const std::lock_guard lock(mutex);
            if (incarnation == registeredIncarnation) {
                return;
            }
            registeredIncarnation = incarnation;
            isDraining = draining;
        }
        if (restartHandler) {
            restartHandler(isDraining);
        }
    }

    bool isDown() const
    {
        const std::lock_guard lock(mutex);
        return Clock::now() < downUntil;
    }

    /// Holds a request for longer than any host waits for its reply.
    static asio::awaitable<HttpResponse> leaveUnanswered()
    {
        asio::steady_timer timer(co_await asio::this_coro::executor, DownTime);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        co_return answer(503, {});
    }

    void crash()
    {
        const std::lock_guard lock(mutex);
        endFinishedRuns();
        for (const auto &run : runs) {
            history[run.record].endedAt = Clock::now();
        }
        downUntil = Clock::now() + DownTime;
        startedAt = downUntil;
        ++incarnation;
        fencingToken = 0;
        leaseUntilMs = 0;
        lastPosition = 0;
        runs.clear();
        ended.clear();
        newestEndedRun.clear();
    }

    HttpResponse start(const json::object &body)
    {
        const std::lock_guard lock(mutex);
        const auto task = Platform::textAt(body, "task");
        const auto runNumber = Platform::integerAt(body, "run");
        const auto deadline = Platform::integerAt(body, "deadline_ms");
        if (Clock::now() < downUntil) {
            return answer(503, {});
        }
        if (deadline <= clockMs()) {
            return answer(409, {{"clock_ms", clockMs()}, {"reason", "late"}});
        }
        leaseUntilMs = std::max(leaseUntilMs, std::min(deadline, clockMs() + MaxLeaseMs));
        if (runNumber <= newestEndedRun[task]) {
            return answer(409, {{"clock_ms", clockMs()}, {"reason", "old"}});
        }
        for (const auto &run : runs) {
            if (run.task == task && run.run == runNumber) {
                return answer(200, {{"clock_ms", clockMs()}});
            }
            duplicates += run.task == task ? 1 : 0;
        }
        std::int64_t runMs = DefaultRunMs;
        boost::conversion::try_lexical_convert(Platform::textAt(body, "spec"), runMs);
        ++startsOfTask[task];
        const auto now = Clock::now();
        runs.push_back({task, runNumber, now, now + Milliseconds(runMs), history.size()});
        history.push_back({task, runNumber, now, TimePoint::max(), Platform::textAt(body, "spec")});
        return answer(200, {{"clock_ms", clockMs()}});
    }

    HttpResponse stop(const json::object &body)
    {
        const std::lock_guard lock(mutex);
        const auto task = Platform::textAt(body, "task");
        const auto runNumber = Platform::integerAt(body, "run");
        for (auto it = runs.begin(); it != runs.end(); ++it) {
            if (it->task == task && it->run == runNumber) {
                history[it->record].endedAt = Clock::now();
                recordEnd(*it, "stopped");
                runs.erase(it);
                break;
            }
        }
        newestEndedRun[task] = std::max(newestEndedRun[task], runNumber);
        return answer(200, {{"clock_ms", clockMs()}});
    }

    asio::awaitable<HttpResponse> renew(json::object body)
    {
        asio::steady_timer timer(co_await asio::this_coro::executor);
        const auto waitUntil = Clock::now() + Milliseconds(Platform::integerAt(body, "wait_ms"));
        {
            const std::lock_guard lock(mutex);
            const auto acknowledged = Platform::integerAt(body, "ack_cursor");
            std::erase_if(ended, [acknowledged](const EndedRun &row) {
                return row.position <= acknowledged;
            });
            leaseUntilMs = std::max(leaseUntilMs, std::min(Platform::integerAt(body, "deadline_ms"), clockMs() + MaxLeaseMs));
        }
        while (true) {
            if (isDown()) {
                co_return co_await leaveUnanswered();
            }
            {
                const std::lock_guard lock(mutex);
                endFinishedRuns();
                if (!ended.empty() || Clock::now() >= waitUntil) {
                    co_return listRuns();
                }
            }
            timer.expires_after(PollPeriod);
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        }
    }

    HttpResponse listRuns() const
    {
        json::array running;
        for (const auto &run : runs) {
            const auto runTimeMs = toMilliseconds(run.endsAt - run.startedAt);
            const auto elapsedMs = toMilliseconds(Clock::now() - run.startedAt);
            running.push_back(json::array {run.task, run.run, "", static_cast<std::int64_t>(100 * elapsedMs / std::max(1.0, runTimeMs))});
        }
        json::array endedRuns;
        for (const auto &row : ended) {
            endedRuns.push_back(json::array {row.position, row.task, row.run, row.end, ""});
        }
        return answer(200, {{"clock_ms", clockMs()}, {"born", incarnation}, {"running", running}, {"ended_runs", endedRuns}});
    }

    mutable std::mutex mutex;
    std::string id;
    Endpoint endpoint;
    TimePoint startedAt = Clock::now();
    /// No request is answered before this time.
    TimePoint downUntil;
    std::int64_t incarnation = 1;
    /// The life that has registered itself, and whether its entry is draining.
    std::int64_t registeredIncarnation = 1;
    bool draining = false;
    std::function<void(bool draining)> restartHandler;
    std::int64_t fencingToken = 0;
    std::int64_t leaseUntilMs = 0;
    std::int64_t lastPosition = 0;
    std::vector<Run> runs;
    std::vector<EndedRun> ended;
    std::vector<WorkerRun> history;
    /// Highest run number of each task that has ended or been stopped; starts up to this number are refused.
    std::map<std::string, std::int64_t> newestEndedRun;
    std::map<std::string, std::size_t> startsOfTask;
    std::size_t duplicates = 0;
    bool failing = false;
    std::unique_ptr<HttpServer> server;
};

WorkerStandin::WorkerStandin(EventLoops &loops, const Endpoint &endpoint, std::string id)
    : d(std::make_shared<Private>())
{
    d->id = std::move(id);
    d->endpoint = endpoint;
    d->server = std::make_unique<HttpServer>(
        loops,
        endpoint,
        HttpLimits(),
        // A plain pointer is safe: the stand-in owns the server, and its site stops the loops before destroying the stand-in.
        [self = d.get()](HttpRequest request, HttpPeer &) {
            return self->handle(std::move(request));
        },
        [](ResultCode) {
            return answer(400, {});
        });
}

WorkerStandin::~WorkerStandin() = default;

const Endpoint &WorkerStandin::endpoint() const
{
    return d->endpoint;
}

std::string WorkerStandin::record(const std::string &service, const std::string &zone, std::int64_t milliCores, bool draining) const
{
    const std::lock_guard lock(d->mutex);
    d->draining = draining;
    return json::serialize(json::object {{"service", service},
                                         {"address", toString(d->endpoint)},
                                         {"zone", zone},
                                         {"state", draining ? "draining" : "ready"},
                                         {"born", d->incarnation},
                                         {"capacity", {{"cpu", milliCores}, {"mem_mb", 131072}, {"gpu", 0}}},
                                         {"labels", json::array {"a", "r1"}},
                                         {"sequence", 1}});
}

void WorkerStandin::setRestartHandler(std::function<void(bool draining)> handler)
{
    d->restartHandler = std::move(handler);
}

void WorkerStandin::setFailing(bool failing)
{
    const std::lock_guard lock(d->mutex);
    d->failing = failing;
}

void WorkerStandin::crash()
{
    d->crash();
}

std::map<std::string, std::size_t> WorkerStandin::starts() const
{
    const std::lock_guard lock(d->mutex);
    return d->startsOfTask;
}

std::vector<WorkerRun> WorkerStandin::runs() const
{
    const std::lock_guard lock(d->mutex);
    d->endFinishedRuns();
    return d->history;
}

std::size_t WorkerStandin::duplicateRuns() const
{
    const std::lock_guard lock(d->mutex);
    return d->duplicates;
}
} // namespace Anvilcart
