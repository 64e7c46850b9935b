#include "worker.h"

#include "net/httpserver.h"
#include "platform/jsonvalue.h"
#include "platform/names.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <chrono>
#include <map>
#include <mutex>
#include <sstream>
#include <vector>

namespace Review
{
namespace asio = boost::asio;
namespace json = boost::json;
using namespace Anvilcart;

namespace
{
constexpr Milliseconds PollPeriod {2};
constexpr std::int64_t MaxLeaseMs = 1000;

HttpResponse answer(int status, const json::object &body)
{
    HttpResponse response;
    response.status = status;
    response.body = json::serialize(body);
    return response;
}

std::int64_t unixMs()
{
    return std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}
} // namespace

struct Worker::Private
{
    struct Run
    {
        std::string task;
        std::int64_t run = 0;
        std::int64_t milliCores = 0;
        TimePoint startedAt;
        TimePoint endsAt;
    };

    struct End
    {
        std::int64_t position = 0;
        std::string task;
        std::int64_t run = 0;
        std::string how;
    };

    Private(std::string id, Endpoint endpoint, WorkerKind kind, Record &record)
        : id(std::move(id))
        , endpoint(std::move(endpoint))
        , kind(std::move(kind))
        , record(record)
    {
        begin();
    }

    /// A new life, which knows nothing of earlier ones.
    void begin()
    {
        born = std::max(born + 1, unixMs());
        startedAt = Clock::now();
        fencingToken = leaseUntilMs = lastPosition = 0;
        runs.clear();
        ends.clear();
        newestEndedRun.clear();
    }

    std::int64_t clockMs() const
    {
        return 1 + std::chrono::duration_cast<Milliseconds>(Clock::now() - startedAt).count();
    }

    json::object base() const
    {
        return {{"clock_ms", clockMs()}, {"born", born}};
    }

    HttpResponse refusal(const char *reason) const
    {
        auto body = base();
        body["reason"] = reason;
        return answer(409, body);
    }

    void addEnd(const Run &run, const std::string &how)
    {
        ends.push_back({++lastPosition, run.task, run.run, how});
        newestEndedRun[run.task] = std::max(newestEndedRun[run.task], run.run);
        record.note(id + " " + how + " " + run.task + " run " + std::to_string(run.run));
    }

    void endFinishedRuns()
    {
        const bool hasLapsed = clockMs() > leaseUntilMs;
        std::erase_if(runs, [&](const Run &run) {
            const bool isDone = Clock::now() >= run.endsAt;
            if (isDone || hasLapsed) {
                addEnd(run, isDone ? "done" : "lapsed");
            }
            return isDone || hasLapsed;
        });
    }

    /// How much later the order is to be carried out; 0 for at once.
    Milliseconds takeDelayOf(const HttpRequest &request, const json::object &body)
    {
        const std::lock_guard lock(mutex);
        const auto task = Platform::textAt(body, "task");
        if (request.path != Platform::Names::StartPath || delayedJob.empty() || !task.starts_with(delayedJob + ".")) {
            return Milliseconds(0);
        }
        delayedJob.clear();
        record.note(id + " leaves the order to start " + task + " unanswered");
        return delay;
    }

    asio::awaitable<HttpResponse> handle(HttpRequest request)
    {
        const auto body = Platform::parseObject(request.body);
        if (!body) {
            co_return answer(400, {});
        }
        if (const auto lateBy = takeDelayOf(request, *body); lateBy > Milliseconds(0)) {
            asio::steady_timer timer(co_await asio::this_coro::executor, lateBy);
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
            record.note(id + " carries the late order out");
        }
        {
            const std::lock_guard lock(mutex);
            endFinishedRuns();
            const auto token = Platform::integerAt(*body, "fencing_token");
            if (token < fencingToken) {
                co_return refusal("fence");
            }
            fencingToken = token;
            if (request.path == Platform::Names::StartPath) {
                co_return start(*body);
            }
            if (request.path == Platform::Names::StopPath) {
                co_return stop(*body);
            }
            if (request.path != Platform::Names::HoldPath) {
                co_return answer(404, {});
            }
            extendLeases(*body);
            const auto acknowledged = Platform::integerAt(*body, "ack_cursor");
            std::erase_if(ends, [acknowledged](const End &end) {
                return end.position <= acknowledged;
            });
        }
        co_return co_await waitAndList(Milliseconds(Platform::integerAt(*body, "wait_ms")));
    }

    void extendLeases(const json::object &body)
    {
        leaseUntilMs = std::max(leaseUntilMs, std::min(Platform::integerAt(body, "deadline_ms"), clockMs() + MaxLeaseMs));
    }

    HttpResponse start(const json::object &body)
    {
        Run run;
        run.task = Platform::textAt(body, "task");
        run.run = Platform::integerAt(body, "run");
        if (Platform::integerAt(body, "deadline_ms") <= clockMs()) {
            return refusal("late");
        }
        extendLeases(body);
        for (const auto &other : runs) {
            if (other.task == run.task && other.run == run.run) {
                return answer(200, base());
            }
        }
        if (run.run <= newestEndedRun[run.task]) {
            return refusal("old");
        }
        std::int64_t runMs = 0;
        const auto spec = Platform::textAt(body, "spec");
        std::istringstream(spec) >> runMs >> run.milliCores;
        run.startedAt = Clock::now();
        run.endsAt = run.startedAt + Milliseconds(runMs);
        std::int64_t used = run.milliCores;
        for (const auto &other : runs) {
            used += other.milliCores;
        }
        runs.push_back(run);
        ++starts;
        ++startsWithSpec[spec];
        ++startsOfJob[run.task.substr(0, run.task.find('.'))];
        const auto text = id + " started " + run.task + " run " + std::to_string(run.run) + " with spec \"" + spec + "\", in use "
            + std::to_string(used) + " of " + std::to_string(kind.milliCores) + " milli-cores";
        if (used > kind.milliCores) {
            record.broken("LIMIT " + text);
        } else {
            record.note(text);
        }
        return answer(200, base());
    }

    HttpResponse stop(const json::object &body)
    {
        const auto task = Platform::textAt(body, "task");
        const auto number = Platform::integerAt(body, "run");
        std::erase_if(runs, [&](const Run &run) {
            const bool isMeant = run.task == task && run.run == number;
            if (isMeant) {
                addEnd(run, "stopped");
            }
            return isMeant;
        });
        newestEndedRun[task] = std::max(newestEndedRun[task], number);
        return answer(200, base());
    }

    asio::awaitable<HttpResponse> waitAndList(Milliseconds wait)
    {
        asio::steady_timer timer(co_await asio::this_coro::executor);
        const auto until = Clock::now() + wait;
        while (true) {
            {
                const std::lock_guard lock(mutex);
                endFinishedRuns();
                if (!ends.empty() || Clock::now() >= until) {
                    co_return list();
                }
            }
            timer.expires_after(PollPeriod);
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        }
    }

    HttpResponse list() const
    {
        json::array running;
        for (const auto &run : runs) {
            const auto length = std::max<std::int64_t>(1, (run.endsAt - run.startedAt).count());
            running.push_back(json::array {run.task, run.run, "", 100 * (Clock::now() - run.startedAt).count() / length, run.milliCores});
        }
        json::array ended;
        for (const auto &end : ends) {
            ended.push_back(json::array {end.position, end.task, end.run, end.how, ""});
        }
        auto body = base();
        body["running"] = running;
        body["ended_runs"] = ended;
        return answer(200, body);
    }

    std::string id;
    Endpoint endpoint;
    WorkerKind kind;
    Record &record;
    mutable std::mutex mutex;
    std::int64_t born = 0;
    TimePoint startedAt;
    std::int64_t fencingToken = 0;
    std::int64_t leaseUntilMs = 0;
    std::int64_t lastPosition = 0;
    std::vector<Run> runs;
    std::vector<End> ends;
    std::map<std::string, std::int64_t> newestEndedRun;
    std::string delayedJob;
    Milliseconds delay {0};
    std::size_t starts = 0;
    std::map<std::string, std::size_t> startsOfJob;
    std::map<std::string, std::size_t> startsWithSpec;
    std::unique_ptr<HttpServer> server;
};

Worker::Worker(EventLoops &loops, const Endpoint &endpoint, const Endpoint &behindGate, std::string id, WorkerKind kind, Record &record)
    : d(std::make_shared<Private>(std::move(id), endpoint, std::move(kind), record))
    , m_gate(endpoint, behindGate)
{
    d->server = std::make_unique<HttpServer>(
        loops,
        behindGate,
        HttpLimits(),
        // A plain pointer is safe: the worker owns the server, and the loops end before the worker does.
        [self = d.get()](HttpRequest request, HttpPeer &) {
            return self->handle(std::move(request));
        },
        [](ResultCode) {
            return answer(400, {});
        });
}

Worker::~Worker() = default;

const std::string &Worker::id() const
{
    return d->id;
}

std::string Worker::entry(const std::string &service, const std::string &zone) const
{
    const std::lock_guard lock(d->mutex);
    return json::serialize(json::object {{"service", service},
                                         {"address", toString(d->endpoint)},
                                         {"zone", zone},
                                         {"version", "1"},
                                         {"slots", 8},
                                         {"state", "ready"},
                                         {"cold_remaining_ms", 0},
                                         {"born", d->born},
                                         {"capacity", {{"cpu", d->kind.milliCores}, {"mem_mb", 131072}, {"gpu", 0}}},
                                         {"labels", json::array {d->kind.label, d->kind.rack}},
                                         {"sequence", 1}});
}

void Worker::powerOff()
{
    m_gate.powerOff();
    const std::lock_guard lock(d->mutex);
    d->record.note(d->id + " lost power with " + std::to_string(d->runs.size()) + " runs");
    d->begin();
}

void Worker::powerOn(const WorkerKind &kind)
{
    {
        const std::lock_guard lock(d->mutex);
        d->kind = kind;
        d->begin();
        d->record.note(d->id + " has started again with " + std::to_string(kind.milliCores) + " milli-cores, label " + kind.label);
    }
    m_gate.powerOn();
}

void Worker::delayNextStartOf(const std::string &jobId, Milliseconds delay)
{
    const std::lock_guard lock(d->mutex);
    d->delayedJob = jobId;
    d->delay = delay;
}

std::size_t Worker::startCount() const
{
    const std::lock_guard lock(d->mutex);
    return d->starts;
}

std::size_t Worker::startCountOf(const std::string &jobId) const
{
    const std::lock_guard lock(d->mutex);
    const auto found = d->startsOfJob.find(jobId);
    return found == d->startsOfJob.end() ? 0 : found->second;
}

std::size_t Worker::runningCountOf(const std::string &jobId) const
{
    const std::lock_guard lock(d->mutex);
    d->endFinishedRuns();
    return static_cast<std::size_t>(std::count_if(d->runs.begin(), d->runs.end(), [&](const auto &run) {
        return run.task.starts_with(jobId + ".");
    }));
}

std::size_t Worker::startCountWith(const std::string &spec) const
{
    const std::lock_guard lock(d->mutex);
    const auto found = d->startsWithSpec.find(spec);
    return found == d->startsWithSpec.end() ? 0 : found->second;
}
} // namespace Review
