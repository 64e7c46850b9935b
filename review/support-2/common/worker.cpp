#include "worker.h"

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
#include <map>
#include <mutex>
#include <utility>

namespace Anvilcart::Review
{
namespace asio = boost::asio;
namespace json = boost::json;

namespace
{
constexpr Milliseconds PollPeriod {2};
/// bounds.hold_max_ms of the site.
constexpr std::int64_t MaxLeaseMs = 1000;
/// Longer than any host waits for an answer.
constexpr Seconds UnansweredTime {5};

HttpResponse answer(int status, const json::object &body)
{
    HttpResponse response;
    response.status = status;
    response.body = json::serialize(body);
    return response;
}

HttpResponse noAnswer()
{
    HttpResponse response;
    response.abort = true;
    return response;
}

std::int64_t unixMs()
{
    return std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}
} // namespace

struct Worker::Private : std::enable_shared_from_this<Worker::Private>
{
    struct EndedRun
    {
        std::int64_t position;
        std::string task;
        std::int64_t run;
        std::string how;
    };

    explicit Private(Record &caseRecord)
        : record(caseRecord)
    {
    }

    std::int64_t clockMs() const
    {
        return 1 + std::chrono::duration_cast<Milliseconds>(Clock::now() - startedAt).count();
    }

    void log(const std::string &text) const
    {
        record.add(id + ": " + text);
    }

    /// Ends the runs whose work is done, and all others once the lease is over.
    void endRuns()
    {
        const auto leaseEnd = startedAt + Milliseconds(leaseUntilMs);
        for (auto it = active.begin(); it != active.end();) {
            auto &run = history[*it];
            Milliseconds work {0};
            std::int64_t workMs = 0;
            boost::conversion::try_lexical_convert(run.spec, workMs);
            work = Milliseconds(workMs);
            const auto doneAt = run.startedAt + work;
            const bool isDone = doneAt <= std::min(Clock::now(), leaseEnd);
            if (!isDone && clockMs() <= leaseUntilMs) {
                ++it;
                continue;
            }
            run.endedAt = isDone ? doneAt : leaseEnd;
            run.isDone = isDone;
            recordEnd(run, isDone ? "done" : "lapsed");
            it = active.erase(it);
        }
    }

    void recordEnd(const Run &run, const std::string &how)
    {
        log("run " + std::to_string(run.number) + " of " + run.task + " has ended: " + how);
        ended.push_back({++lastPosition, run.task, run.number, how});
        highestEnded[run.task] = std::max(highestEnded[run.task], run.number);
    }

    HttpResponse refuse(const char *reason) const
    {
        return answer(409, {{"clock_ms", clockMs()}, {"reason", reason}});
    }

    /// False when a higher token has been seen.
    bool takeToken(std::int64_t token)
    {
        if (token < highestToken) {
            return false;
        }
        highestToken = token;
        return true;
    }

    HttpResponse start(const StartOrder &order)
    {
        endRuns();
        if (!takeToken(order.fencingToken)) {
            return refuse("fence");
        }
        if (order.deadlineMs <= clockMs()) {
            return refuse("late");
        }
        leaseUntilMs = std::max(leaseUntilMs, std::min(order.deadlineMs, clockMs() + MaxLeaseMs));
        if (order.run <= highestEnded[order.task]) {
            return refuse("old");
        }
        for (const auto index : active) {
            if (history[index].task == order.task && history[index].number == order.run) {
                return answer(200, {{"clock_ms", clockMs()}});
            }
        }
        active.push_back(history.size());
        history.push_back({order.task, order.run, order.spec, Clock::now()});
        log("run " + std::to_string(order.run) + " of " + order.task + " begins, token " + std::to_string(order.fencingToken));
        if (startHandler) {
            const auto now = Clock::now();
            startHandler(order, kind, registeredAt < now ? now - registeredAt : Duration(0));
        }
        return answer(200, {{"clock_ms", clockMs()}});
    }

    HttpResponse stop(const json::object &body)
    {
        endRuns();
        if (!takeToken(Platform::integerAt(body, "fencing_token"))) {
            return refuse("fence");
        }
        const auto task = Platform::textAt(body, "task");
        const auto number = Platform::integerAt(body, "run");
        for (auto it = active.begin(); it != active.end(); ++it) {
            auto &run = history[*it];
            if (run.task == task && run.number == number) {
                run.endedAt = Clock::now();
                recordEnd(run, "stopped");
                active.erase(it);
                break;
            }
        }
        highestEnded[task] = std::max(highestEnded[task], number);
        return answer(200, {{"clock_ms", clockMs()}});
    }

    HttpResponse list() const
    {
        json::array running;
        for (const auto index : active) {
            const auto &run = history[index];
            std::int64_t workMs = 1;
            boost::conversion::try_lexical_convert(run.spec, workMs);
            const auto percent =
                static_cast<std::int64_t>(100 * toMilliseconds(Clock::now() - run.startedAt) / static_cast<double>(workMs));
            running.push_back(json::array {run.task, run.number, "", std::min<std::int64_t>(percent, 99), 0});
        }
        json::array endedRuns;
        for (const auto &row : ended) {
            endedRuns.push_back(json::array {row.position, row.task, row.run, row.how, ""});
        }
        return answer(200, {{"clock_ms", clockMs()}, {"born", born}, {"running", running}, {"ended_runs", endedRuns}});
    }

    asio::awaitable<HttpResponse> hold(json::object body)
    {
        asio::steady_timer timer(co_await asio::this_coro::executor);
        const auto waitUntil = Clock::now() + Milliseconds(Platform::integerAt(body, "wait_ms"));
        const auto life = lives;
        {
            const std::lock_guard lock(mutex);
            endRuns();
            if (!takeToken(Platform::integerAt(body, "fencing_token"))) {
                co_return refuse("fence");
            }
            const auto acknowledged = Platform::integerAt(body, "ack_cursor");
            std::erase_if(ended, [acknowledged](const EndedRun &row) {
                return row.position <= acknowledged;
            });
            leaseUntilMs = std::max(leaseUntilMs, std::min(Platform::integerAt(body, "deadline_ms"), clockMs() + MaxLeaseMs));
        }
        while (true) {
            {
                const std::lock_guard lock(mutex);
                if (isDown || life != lives) {
                    co_return noAnswer();
                }
                endRuns();
                if (!ended.empty() || Clock::now() >= waitUntil) {
                    co_return list();
                }
            }
            timer.expires_after(PollPeriod);
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        }
    }

    asio::awaitable<HttpResponse> handle(HttpRequest request)
    {
        bool isLate = false;
        {
            const std::lock_guard lock(mutex);
            if (isDown) {
                co_return noAnswer();
            }
            if (request.header(Platform::Names::IncarnationHeader) != id) {
                co_return answer(421, {});
            }
            const auto body = Platform::parseObject(request.body);
            if (!body) {
                co_return answer(400, {});
            }
            if (request.path == Platform::Names::StopPath) {
                co_return stop(*body);
            }
            if (request.path == Platform::Names::StartPath) {
                const StartOrder order {Platform::textAt(*body, "task"),
                                        Platform::integerAt(*body, "run"),
                                        Platform::integerAt(*body, "fencing_token"),
                                        Platform::integerAt(*body, "deadline_ms"),
                                        Platform::textAt(*body, "spec")};
                ++orders;
                isLate = lateOrders && lateOrders(order);
                if (!isLate) {
                    co_return start(order);
                }
                log("leaves the order for run " + std::to_string(order.run) + " of " + order.task + " unanswered");
                late.push_back(order);
            }
        }
        if (isLate) {
            asio::steady_timer timer(co_await asio::this_coro::executor, UnansweredTime);
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
            co_return noAnswer();
        }
        co_return co_await hold(*Platform::parseObject(request.body));
    }

    /// Precondition: the mutex is held.
    std::string entry() const
    {
        return json::serialize(json::object {{"service", kind.service},
                                             {"address", toString(endpoint)},
                                             {"zone", zone},
                                             {"version", "v1"},
                                             {"slots", 8},
                                             {"state", "ready"},
                                             {"born", born},
                                             {"capacity", {{"cpu", kind.milliCores}, {"mem_mb", 131072}, {"gpu", 0}}},
                                             {"labels", json::array {kind.label, "r1-1"}},
                                             {"sequence", lives}});
    }

    mutable std::mutex mutex;
    Record &record;
    std::string id;
    std::string zone;
    Endpoint endpoint;
    Registration registration;
    LateOrders lateOrders;
    StartHandler startHandler;
    WorkerKind kind;
    TimePoint startedAt = Clock::now();
    /// When the present entry was written; TimePoint::max() while that is still to come.
    TimePoint registeredAt = TimePoint::max();
    std::int64_t born = unixMs();
    std::int64_t lives = 1;
    bool isDown = false;
    std::int64_t highestToken = 0;
    std::int64_t leaseUntilMs = 0;
    std::int64_t lastPosition = 0;
    std::size_t orders = 0;
    std::vector<StartOrder> late;
    std::vector<Run> history;
    /// Indexes in history.
    std::vector<std::size_t> active;
    std::vector<EndedRun> ended;
    std::map<std::string, std::int64_t> highestEnded;
    std::unique_ptr<HttpServer> server;
};

Worker::Worker(EventLoops &loops,
               const Endpoint &endpoint,
               std::string id,
               std::string zone,
               const WorkerKind &kind,
               Record &record,
               Registration registration)
    : d(std::make_shared<Private>(record))
{
    d->id = std::move(id);
    d->zone = std::move(zone);
    d->kind = kind;
    d->endpoint = endpoint;
    d->registration = std::move(registration);
    d->server = std::make_unique<HttpServer>(
        loops,
        endpoint,
        HttpLimits(),
        // A plain pointer is safe: the site stops the loops before it destroys its workers.
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

WorkerKind Worker::kind() const
{
    const std::lock_guard lock(d->mutex);
    return d->kind;
}

void Worker::registerEntry()
{
    std::string entry;
    {
        const std::lock_guard lock(d->mutex);
        entry = d->entry();
    }
    d->registration(entry);
    const std::lock_guard lock(d->mutex);
    d->registeredAt = Clock::now();
}

void Worker::setLateOrders(LateOrders lateOrders)
{
    const std::lock_guard lock(d->mutex);
    d->lateOrders = std::move(lateOrders);
}

void Worker::setStartHandler(StartHandler handler)
{
    const std::lock_guard lock(d->mutex);
    d->startHandler = std::move(handler);
}

void Worker::crash()
{
    const std::lock_guard lock(d->mutex);
    d->endRuns();
    d->log("crashes");
    for (const auto index : d->active) {
        d->history[index].endedAt = Clock::now();
    }
    d->active.clear();
    d->ended.clear();
    d->highestEnded.clear();
    d->highestToken = 0;
    d->leaseUntilMs = 0;
    d->lastPosition = 0;
    d->isDown = true;
    d->registeredAt = TimePoint::max();
}

void Worker::restart(const WorkerKind &kind)
{
    {
        const std::lock_guard lock(d->mutex);
        d->kind = kind;
        d->startedAt = Clock::now();
        d->born = unixMs();
        ++d->lives;
        d->isDown = false;
        d->log("starts again under its id, kind " + kind.label + ", " + std::to_string(kind.milliCores) + " thousandths of a core");
    }
    registerEntry();
}

void Worker::carryOutLate()
{
    const std::lock_guard lock(d->mutex);
    for (const auto &order : std::exchange(d->late, {})) {
        const auto response = d->start(order);
        d->log("has carried out the late order for run " + std::to_string(order.run) + " of " + order.task + ": status "
               + std::to_string(response.status));
    }
}

std::vector<Run> Worker::runs() const
{
    const std::lock_guard lock(d->mutex);
    if (!d->isDown) {
        d->endRuns();
    }
    return d->history;
}

std::size_t Worker::startOrders() const
{
    const std::lock_guard lock(d->mutex);
    return d->orders;
}
} // namespace Anvilcart::Review
