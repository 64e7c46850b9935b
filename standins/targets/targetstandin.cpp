#include "targets/targetstandin.h"

#include "target/taskcodec.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <array>
#include <cstdlib>
#include <optional>

namespace Anvilcart
{
namespace asio = boost::asio;
namespace json = boost::json;
using namespace std::chrono;

namespace
{
constexpr auto StallTime = 600s;
constexpr int StatusUnavailable = 503;

struct FaultName
{
    std::string_view name;
    TargetFault fault;
};

constexpr std::array FaultNames = {
    FaultName {"none", TargetFault::None},
    FaultName {"refuse", TargetFault::Refuse},
    FaultName {"leaving", TargetFault::Leaving},
    FaultName {"fail", TargetFault::Fail},
    FaultName {"stall", TargetFault::Stall},
    FaultName {"cut_before_start", TargetFault::CutBeforeStart},
    FaultName {"cut_after_start", TargetFault::CutAfterStart},
    FaultName {"cut_after_run", TargetFault::CutAfterRun},
    FaultName {"answer_other", TargetFault::AnswerOther},
    FaultName {"answer_late", TargetFault::AnswerLate},
    FaultName {"slow", TargetFault::Slow},
    FaultName {"dead", TargetFault::Dead},
};

std::optional<TargetFault> faultFromName(std::string_view name)
{
    for (const auto &row : FaultNames) {
        if (row.name == name) {
            return row.fault;
        }
    }
    return std::nullopt;
}

HttpResponse success(std::string body)
{
    HttpResponse response;
    response.body = std::move(body);
    return response;
}

HttpResponse cutOff()
{
    HttpResponse response;
    response.abort = true;
    return response;
}

HttpResponse reply(const RunRequest &request, RunState state, std::string text)
{
    auto response = success(encodeRunReply({request.submission, request.task, request.attempt, state, std::move(text)}));
    response.status = state == RunState::NotStarted ? StatusUnavailable : response.status;
    return response;
}

/// The payload of a played task begins with its run time in microseconds.
microseconds runTimeOf(const RunRequest &request)
{
    return microseconds(std::strtoll(request.payload.c_str(), nullptr, 10));
}

std::string zoneOf(const std::string &address)
{
    return address.substr(0, address.rfind('.'));
}

asio::awaitable<void> sleepFor(steady_clock::duration duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

/// Waits for the run time; false when the task was stopped before.
asio::awaitable<bool> runUntilStopped(steady_clock::duration runTime, std::shared_ptr<RunningTask> task)
{
    task->timer.expires_after(runTime);
    if (!task->stopped.load()) {
        co_await task->timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    co_return !task->stopped.load();
}

void stopTask(const std::shared_ptr<RunningTask> &task)
{
    asio::post(task->timer.get_executor(), [task] {
        task->stopped.store(true);
        task->timer.cancel();
    });
}

std::string keyOf(const std::string &submission, const std::string &task)
{
    return submission + "\n" + task;
}

/// Takes a slot for as long as it lives.
class SlotHold
{
public:
    explicit SlotHold(TargetState &state)
        : m_state(state)
        , m_held(state.running.fetch_add(1) < state.target.slots)
    {
    }

    ~SlotHold()
    {
        m_state.running.fetch_sub(1);
    }

    SlotHold(const SlotHold &) = delete;
    SlotHold &operator=(const SlotHold &) = delete;

    bool isHeld() const
    {
        return m_held;
    }

private:
    TargetState &m_state;
    bool m_held;
};
} // namespace

TargetStandin::TargetStandin(EventLoops &loops, const Endpoint &control, const std::vector<PlayedTarget> &targets, microseconds zoneDelay)
    : m_loops(loops)
    , m_zoneDelay(zoneDelay)
    , m_control(
          loops,
          control,
          HttpLimits(),
          [this](HttpRequest request, HttpPeer &) {
              return handleControl(std::move(request));
          },
          [](ResultCode) {
              return cutOff();
          })
{
    for (const auto &target : targets) {
        m_targets.push_back(std::make_unique<TargetState>());
        m_targets.back()->target = target;
        listen(*m_targets.back());
    }
}

void TargetStandin::listen(TargetState &state)
{
    state.server = std::make_unique<HttpServer>(
        m_loops,
        state.target.endpoint,
        HttpLimits(),
        [this, &state](HttpRequest request, HttpPeer &) {
            return handle(state, std::move(request));
        },
        [](ResultCode) {
            return cutOff();
        });
}

TargetStandin::Answer TargetStandin::handle(TargetState &state, HttpRequest request)
{
    const bool remote = m_zoneDelay.count() > 0 && zoneOf(request.remoteAddress) != zoneOf(state.target.endpoint.address);
    if (remote) {
        co_await sleepFor(m_zoneDelay);
    }
    HttpResponse response;
    if (request.path == "/v1/tasks/run") {
        response = co_await run(state, std::move(request.body));
    } else if (request.path == "/v1/tasks/stop") {
        const auto value = json::parse(request.body);
        const std::lock_guard<std::mutex> lock(state.mutex);
        const auto found =
            state.stops.find(keyOf(json::value_to<std::string>(value.at("submission")), json::value_to<std::string>(value.at("task"))));
        if (found != state.stops.end()) {
            stopTask(found->second);
        }
        response = success("{}");
    } else if (request.path == "/v1/usage") {
        response = success(json::serialize(json::object {
            {"slots", state.target.slots}, {"running", state.running.load()}, {"leaving", state.fault.load() == TargetFault::Leaving}}));
    } else {
        response.status = 404;
    }
    if (remote) {
        co_await sleepFor(m_zoneDelay);
    }
    co_return response;
}

TargetStandin::Answer TargetStandin::run(TargetState &state, std::string body)
{
    const auto request = decodeRunRequest(body);
    if (!request) {
        co_return cutOff();
    }
    const auto fault = state.fault.load();
    if (fault == TargetFault::CutBeforeStart || fault == TargetFault::Dead) {
        co_return cutOff();
    }
    if (fault == TargetFault::Refuse || fault == TargetFault::Leaving) {
        state.refusals.fetch_add(1);
        co_return reply(*request, RunState::NotStarted, fault == TargetFault::Leaving ? "target_leaving" : "refused_by_target");
    }
    const SlotHold slot(state);
    if (!slot.isHeld()) {
        state.refusals.fetch_add(1);
        co_return reply(*request, RunState::NotStarted, "no_slot");
    }
    m_ledger.record(request->submission, request->task, request->idempotencyKey);
    state.starts.fetch_add(1);
    if (fault == TargetFault::CutAfterStart) {
        co_return cutOff();
    }
    if (fault == TargetFault::Fail) {
        co_return reply(*request, RunState::Failed, "the worker is broken");
    }
    const auto task = std::make_shared<RunningTask>(co_await asio::this_coro::executor);
    const auto key = keyOf(request->submission, request->task);
    {
        const std::lock_guard<std::mutex> lock(state.mutex);
        state.stops[key] = task;
    }
    auto runTime = steady_clock::duration(runTimeOf(*request));
    if (fault == TargetFault::Slow) {
        runTime *= state.faultMs.load();
    }
    const bool finished = co_await runUntilStopped(fault == TargetFault::Stall ? StallTime : runTime, task);
    {
        const std::lock_guard<std::mutex> lock(state.mutex);
        state.stops.erase(key);
    }
    if (fault == TargetFault::CutAfterRun || state.fault.load() == TargetFault::Dead) {
        co_return cutOff();
    }
    if (fault == TargetFault::AnswerLate) {
        co_await sleepFor(milliseconds(state.faultMs.load()));
    }
    if (fault == TargetFault::AnswerOther) {
        co_return success(encodeRunReply({request->submission, request->task + "-other", request->attempt, RunState::Finished, "other"}));
    }
    co_return reply(*request, finished ? RunState::Finished : RunState::Stopped, request->submission + "/" + request->task);
}

TargetStandin::Answer TargetStandin::handleControl(HttpRequest request)
{
    if (request.path == "/ledger") {
        co_return success(m_ledger.toJson());
    }
    if (request.path == "/keys") {
        co_return success(m_ledger.keysToJson());
    }
    if (request.path == "/counts") {
        co_return counts();
    }
    co_return setFault(request.body);
}

void TargetStandin::kill(TargetState &state)
{
    if (state.server) {
        state.server->stop();
        state.server.reset();
    }
    const std::lock_guard<std::mutex> lock(state.mutex);
    for (const auto &[key, task] : state.stops) {
        stopTask(task);
    }
}

HttpResponse TargetStandin::counts() const
{
    std::uint64_t refusals = 0;
    std::uint64_t running = 0;
    json::object targets;
    for (const auto &target : m_targets) {
        refusals += target->refusals.load();
        running += target->running.load();
        targets[target->target.name] = json::object {{"starts", target->starts.load()}, {"refusals", target->refusals.load()}};
    }
    return success(json::serialize(
        json::object {{"starts", m_ledger.total()}, {"refusals", refusals}, {"running", running}, {"targets", std::move(targets)}}));
}

HttpResponse TargetStandin::setFault(const std::string &body)
{
    const auto value = json::parse(body);
    const auto name = json::value_to<std::string>(value.at("target"));
    const auto fault = faultFromName(json::value_to<std::string>(value.at("fault")));
    HttpResponse response = success("{}");
    if (!fault) {
        response.status = 400;
        return response;
    }
    const auto *ms = value.as_object().if_contains("ms");
    for (const auto &target : m_targets) {
        if (name == "*" || name == target->target.name) {
            target->faultMs.store(ms != nullptr ? ms->to_number<std::int64_t>() : 0);
            target->fault.store(*fault);
            if (*fault == TargetFault::Dead) {
                kill(*target);
            } else if (!target->server) {
                listen(*target);
            }
        }
    }
    return response;
}
} // namespace Anvilcart
