#include "operator/operatordoor.h"

#include "net/oneshot.h"
#include "publication/peerconfiguration.h"

#include <boost/asio/this_coro.hpp>
#include <boost/json.hpp>

namespace Anvilcart
{
namespace asio = boost::asio;
namespace json = boost::json;

namespace
{
constexpr std::size_t MaxHeaderBytes = 4 * 1024;
constexpr std::size_t MaxBodyBytes = 1024;
constexpr std::size_t MaxConnections = 128;
constexpr Seconds IdleTime {10};
constexpr Seconds RequestTime {5};
constexpr int StatusNotFound = 404;

HttpLimits operatorLimits()
{
    HttpLimits limits;
    limits.headerBytes = MaxHeaderBytes;
    limits.bodyBytes = MaxBodyBytes;
    limits.connections = MaxConnections;
    limits.idleTime = IdleTime;
    limits.requestTime = RequestTime;
    return limits;
}

HttpResponse refusal(ResultCode code)
{
    const auto &row = info(code);
    HttpResponse response;
    response.status = row.httpStatus;
    response.body = json::serialize(json::object {{"code", static_cast<int>(code)}, {"message", row.meaning}});
    return response;
}

std::uint64_t newIncarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<Milliseconds>(now).count();
}

std::int64_t secondsSinceEpoch(std::chrono::system_clock::time_point time)
{
    return std::chrono::duration_cast<Seconds>(time.time_since_epoch()).count();
}

std::vector<AnswerCount> refusalsOf(const Metrics &metrics)
{
    auto refusals = metrics.answerCounts();
    std::erase_if(refusals, [](const AnswerCount &answers) {
        return answers.code == ResultCode::Complete || answers.count == 0;
    });
    return refusals;
}

void describeDispatcher(const Dispatcher &dispatcher, TimePoint now, HostStatus &status)
{
    status.queuedTasks = dispatcher.queue().unstartedTasks();
    const auto &slots = dispatcher.slots();
    status.ownSlots = slots.ownSlots();
    status.freeSlots = slots.freeSlots(now);
    for (std::size_t index = 0; index < slots.size(); ++index) {
        const auto &target = slots.at(static_cast<TargetIndex>(index));
        if (!target.configured) {
            continue;
        }
        ++(target.leaving ? status.targetsLeaving : status.targetsInService);
    }
}
} // namespace

OperatorDoor::OperatorDoor(
    EventLoops &loops, const Settings &settings, DispatchService &dispatch, ConfigurationService &configuration, Metrics &metrics)
    : m_host(settings.host)
    , m_zone(settings.zone)
    , m_incarnation(newIncarnation())
    , m_dispatch(dispatch)
    , m_configuration(configuration)
    , m_metrics(metrics)
    , m_server(
          loops,
          settings.operatorDoor,
          operatorLimits(),
          [this](HttpRequest request, HttpPeer &) {
              return handle(std::move(request));
          },
          refusal)
{
}

void OperatorDoor::beginDrain()
{
    m_draining.store(true);
}

void OperatorDoor::stop()
{
    m_server.stop();
}

asio::awaitable<HttpResponse> OperatorDoor::handle(HttpRequest request)
{
    const bool isKnown = request.path == StatusPath || request.path == ConfigurationRecordPath;
    if (!isKnown) {
        co_return refusal(ResultCode::UnknownPath);
    }
    if (request.method != "GET") {
        co_return refusal(ResultCode::MethodNotAllowed);
    }
    if (request.path == ConfigurationRecordPath) {
        co_return record();
    }
    co_return co_await status();
}

asio::awaitable<HttpResponse> OperatorDoor::status()
{
    auto described = std::make_shared<OneShot<HostStatus>>(co_await asio::this_coro::executor);
    m_dispatch.perform([described](const Dispatcher &dispatcher, TimePoint now) {
        HostStatus status;
        describeDispatcher(dispatcher, now, status);
        described->set(std::move(status));
    });
    auto status = co_await described->wait();
    status.host = m_host;
    status.zone = m_zone;
    status.incarnation = m_incarnation;
    status.draining = m_draining.load();
    status.refusals = refusalsOf(m_metrics);
    describeConfiguration(status);
    HttpResponse response;
    response.body = encode(status);
    co_return response;
}

HttpResponse OperatorDoor::record() const
{
    const auto standing = m_configuration.status();
    HttpResponse response;
    if (!standing) {
        response.status = StatusNotFound;
        response.body = "{}";
        return response;
    }
    response.body = encode(standing->accepted);
    return response;
}

void OperatorDoor::describeConfiguration(HostStatus &status) const
{
    status.skippedRecords = m_configuration.skippedRecords();
    const auto standing = m_configuration.status();
    if (!standing) {
        return;
    }
    status.version = standing->versionInForce;
    status.acceptedVersion = standing->accepted.record.version;
    status.recordId = standing->accepted.record.id;
    status.inForceSince = secondsSinceEpoch(standing->inForceSince);
    status.established = standing->accepted.established;
    status.ready = standing->versionInForce > 0 && !status.draining;
}
} // namespace Anvilcart
