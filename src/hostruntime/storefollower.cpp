#include "hostruntime/storefollower.h"

#include "platform/names.h"
#include "platform/targetmessages.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace Anvilcart::Fleet
{
namespace asio = boost::asio;
using Platform::StoreOutcome;

namespace
{
constexpr auto Awaitable = asio::as_tuple(asio::use_awaitable);
/// Maximum wait of a long-poll read, as a share of the time in which a configuration must be in force: an unresponsive connection is
/// detected and replaced within that time.
constexpr double LongPollShare = 0.45;
/// How often a waiting follower asks for its period again.
constexpr Milliseconds MaxPeriodAge {300};
/// Delay after a failed call. The store's rate limits also count the calls that it refuses.
constexpr Milliseconds RetryDelay {200};
/// Entries that expired while the store was unavailable are restored within 2 s of its return; the rest allows for slow reads.
constexpr Milliseconds EntryRecoveryTime {2500};

asio::awaitable<void> sleepFor(asio::any_io_executor executor, Duration duration)
{
    asio::steady_timer timer(executor, duration);
    co_await timer.async_wait(Awaitable);
}
} // namespace

ConfigurationFollower::ConfigurationFollower(const asio::any_io_executor &executor,
                                             const Endpoint &store,
                                             Duration maxDelay,
                                             HostTelemetry &telemetry,
                                             Handler handler,
                                             EvacuationHandler evacuationHandler)
    : m_executor(executor)
    , m_client(executor, store)
    , m_longPollWait(std::chrono::duration_cast<Milliseconds>(maxDelay * LongPollShare))
    , m_telemetry(telemetry)
    , m_handler(std::move(handler))
    , m_evacuationHandler(std::move(evacuationHandler))
{
}

void ConfigurationFollower::start()
{
    asio::co_spawn(
        m_executor,
        [self = shared_from_this()] {
            return self->run();
        },
        asio::detached);
}

void ConfigurationFollower::stop()
{
    m_stopped = true;
}

asio::awaitable<void> ConfigurationFollower::run()
{
    while (!m_stopped) {
        const bool succeeded = m_synchronised ? co_await readNext() : co_await readNewest();
        if (!succeeded) {
            co_await sleepFor(m_executor, RetryDelay);
        }
    }
}

asio::awaitable<bool> ConfigurationFollower::readNewest()
{
    const auto startedAt = Clock::now();
    const auto answer = co_await m_client.readNewestRecords(Platform::Names::OperatorTopic);
    const bool succeeded = answer.outcome == StoreOutcome::Answered;
    m_telemetry.onStoreCall("newest", Clock::now() - startedAt, succeeded);
    setReachable(succeeded, answer.error);
    if (!succeeded) {
        co_return false;
    }
    m_evacuatedZones.clear();
    for (const auto &record : answer.page.records) {
        apply(record);
    }
    m_nextOffset = answer.page.endOffset;
    m_synchronised = true;
    reportEvacuations(startedAt, true);
    co_return true;
}

void ConfigurationFollower::apply(const Platform::KeyedRecord &record)
{
    if (record.key == Platform::Names::ConfigurationKey) {
        m_handler(record.value);
    } else if (const auto zone = Platform::evacuatedZone(record.key)) {
        if (record.value.empty()) {
            m_evacuatedZones.erase(*zone);
        } else {
            m_evacuatedZones.insert(*zone);
        }
    }
}

/// Until all records are read, no evacuation ends: after a listing, records are read again that are older than parts of it.
void ConfigurationFollower::reportEvacuations(TimePoint requestedAt, bool isCaughtUp)
{
    auto zones = m_evacuatedZones;
    if (!isCaughtUp) {
        zones.insert(m_reportedZones.begin(), m_reportedZones.end());
    }
    m_reportedZones = zones;
    m_evacuationHandler(EvacuationRead {{m_nextOffset, std::move(zones)}, requestedAt, isCaughtUp});
}

asio::awaitable<bool> ConfigurationFollower::readNext()
{
    const auto startedAt = Clock::now();
    const auto answer = co_await m_client.read(Platform::Names::OperatorTopic, m_nextOffset, m_longPollWait);
    const bool succeeded = answer.outcome == StoreOutcome::Answered;
    m_telemetry.onStoreCall("read", Clock::now() - startedAt, answer.outcome != StoreOutcome::Failed);
    setReachable(answer.outcome != StoreOutcome::Failed, answer.error);
    if (!succeeded) {
        m_synchronised = m_synchronised && answer.outcome != StoreOutcome::Expired;
        co_return answer.outcome == StoreOutcome::Expired;
    }
    // An end offset below the offset already read means that the store has dropped its history.
    m_synchronised = answer.page.endOffset >= m_nextOffset;
    if (!m_synchronised) {
        co_return true;
    }
    for (const auto &record : answer.page.records) {
        apply(record);
    }
    m_nextOffset = answer.page.nextOffset;
    reportEvacuations(startedAt, m_nextOffset >= answer.page.endOffset);
    co_return true;
}

void ConfigurationFollower::setReachable(bool reachable, const std::string &error)
{
    if (!reachable) {
        m_evacuationHandler(std::nullopt);
    }
    if (reachable != m_reachable) {
        m_reachable = reachable;
        m_telemetry.onDependencyChanged("store_configuration", reachable, error);
    }
}

TargetListFollower::TargetListFollower(const asio::any_io_executor &executor,
                                       const Endpoint &store,
                                       Duration targetHeartbeat,
                                       HostTelemetry &telemetry,
                                       PollPeriod pollPeriod,
                                       Handler handler,
                                       FailureHandler failureHandler)
    : m_executor(executor)
    , m_client(executor, store)
    , m_targetHeartbeat(targetHeartbeat)
    , m_telemetry(telemetry)
    , m_pollPeriod(std::move(pollPeriod))
    , m_handler(std::move(handler))
    , m_failureHandler(std::move(failureHandler))
    , m_waitTimer(executor)
{
}

void TargetListFollower::start()
{
    asio::co_spawn(
        m_executor,
        [self = shared_from_this()] {
            return self->run();
        },
        asio::detached);
}

void TargetListFollower::stop()
{
    m_stopped = true;
}

asio::awaitable<void> TargetListFollower::run()
{
    while (!m_stopped) {
        const bool succeeded = m_synchronised ? co_await readNext() : co_await readNewest();
        if (succeeded != m_reachable) {
            m_reachable = succeeded;
            m_telemetry.onDependencyChanged("store_targets", succeeded, std::to_string(m_entries.size()) + " targets known");
            m_reachabilityChangedAt = Clock::now();
        }
        if (succeeded) {
            const bool fresh = m_reachabilityChangedAt == TimePoint() || Clock::now() - m_reachabilityChangedAt > EntryRecoveryTime;
            m_handler(m_entries, fresh);
            co_await waitForNextRead();
        } else {
            m_failureHandler();
            co_await sleepFor(m_executor, RetryDelay);
        }
    }
}

void TargetListFollower::readSoon()
{
    m_readSoon = true;
    m_waitTimer.cancel();
}

asio::awaitable<void> TargetListFollower::waitForNextRead()
{
    const auto readAt = Clock::now();
    auto period = m_pollPeriod(m_entries.size());
    for (auto now = readAt; now - readAt < period && !m_stopped && !m_readSoon; now = Clock::now()) {
        m_waitTimer.expires_after(std::min<Duration>(MaxPeriodAge, readAt + period - now));
        co_await m_waitTimer.async_wait(Awaitable);
        period = m_pollPeriod(m_entries.size());
    }
    m_readSoon = false;
    m_synchronised = m_synchronised && Clock::now() - readAt < m_targetHeartbeat;
}

asio::awaitable<bool> TargetListFollower::readNewest()
{
    const auto startedAt = Clock::now();
    const auto answer = co_await m_client.readNewestRecords(Platform::Names::TargetTopic);
    const bool succeeded = answer.outcome == StoreOutcome::Answered;
    m_telemetry.onStoreCall("newest", Clock::now() - startedAt, succeeded);
    if (!succeeded) {
        co_return false;
    }
    m_entries.clear();
    for (const auto &record : answer.page.records) {
        apply(record);
    }
    m_nextOffset = answer.page.endOffset;
    m_synchronised = true;
    co_return true;
}

asio::awaitable<bool> TargetListFollower::readNext()
{
    const auto startedAt = Clock::now();
    const auto answer = co_await m_client.read(Platform::Names::TargetTopic, m_nextOffset, Milliseconds(0));
    m_telemetry.onStoreCall("read", Clock::now() - startedAt, answer.outcome != StoreOutcome::Failed);
    if (answer.outcome != StoreOutcome::Answered) {
        m_synchronised = m_synchronised && answer.outcome != StoreOutcome::Expired;
        co_return false;
    }
    for (const auto &record : answer.page.records) {
        apply(record);
    }
    m_synchronised = answer.page.endOffset >= m_nextOffset;
    m_nextOffset = answer.page.nextOffset;
    m_telemetry.onTargetListRead(Clock::now() - startedAt, answer.page.records.size(), answer.page.endOffset - m_nextOffset);
    co_return true;
}

void TargetListFollower::apply(const Platform::KeyedRecord &record)
{
    if (record.value.empty()) {
        m_entries.erase(record.key);
        return;
    }
    if (auto entry = Platform::decodeTargetEntry(record.key, record.value)) {
        m_entries[record.key] = std::move(*entry);
        return;
    }
    m_entries.erase(record.key);
    m_telemetry.onBadInput("target_entry", record.key);
}
} // namespace Anvilcart::Fleet
