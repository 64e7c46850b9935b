#pragma once

#include "fleet/evacuationstate.h"
#include "fleet/fleetframe.h"
#include "hostruntime/hosttelemetry.h"
#include "platform/storeclient.h"
#include "workload/targetentry.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace Anvilcart::Fleet
{
/// Follows the operator's topic in the store with long-poll reads: the configuration and the zones that are evacuated. Belongs to one
/// executor.
class ConfigurationFollower : public std::enable_shared_from_this<ConfigurationFollower>
{
public:
    /// Called with each record of the operator's configuration, regardless of its version.
    using Handler = std::function<void(const std::string &record)>;
    /// Called after each read with the evacuated zones and the offset up to which they were read; with nothing when the read failed.
    using EvacuationHandler = std::function<void(const std::optional<EvacuationRead> &read)>;

    /// The telemetry must outlive the follower. A configuration must be in force within maxDelay of its publication.
    ConfigurationFollower(const boost::asio::any_io_executor &executor,
                          const Endpoint &store,
                          Duration maxDelay,
                          HostTelemetry &telemetry,
                          Handler handler,
                          EvacuationHandler evacuationHandler);

    /// Starts the reads, which continue until stop().
    void start();
    void stop();

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<bool> readNewest();
    boost::asio::awaitable<bool> readNext();
    void apply(const Platform::KeyedRecord &record);
    void reportEvacuations(TimePoint requestedAt, bool isCaughtUp);
    void setReachable(bool reachable, const std::string &error);

    boost::asio::any_io_executor m_executor;
    Platform::StoreClient m_client;
    Milliseconds m_longPollWait;
    HostTelemetry &m_telemetry;
    Handler m_handler;
    EvacuationHandler m_evacuationHandler;
    std::set<std::string> m_evacuatedZones;
    std::set<std::string> m_reportedZones;
    std::uint64_t m_nextOffset = 0;
    bool m_synchronised = false;
    bool m_reachable = true;
    bool m_stopped = false;
};

/// Follows the list of targets in the store with periodic reads. A long poll would return on every heartbeat and cost more calls.
/// Each heartbeat is a record, so that reads that are further apart than the heartbeats take the newest record of each target instead of
/// all records. Belongs to one executor.
class TargetListFollower : public std::enable_shared_from_this<TargetListFollower>
{
public:
    /// Called with the whole list after each successful read. fresh is false while entries may be missing only because the store was
    /// unavailable.
    using Handler = std::function<void(const std::map<std::string, TargetEntry> &entries, bool fresh)>;
    /// Called after each read that failed.
    using FailureHandler = std::function<void()>;
    /// The time between reads, for a list of this many targets. Asked again while the follower waits, so that it may become shorter.
    using PollPeriod = std::function<Duration(std::size_t targets)>;

    /// The telemetry must outlive the follower.
    TargetListFollower(const boost::asio::any_io_executor &executor,
                       const Endpoint &store,
                       Duration targetHeartbeat,
                       HostTelemetry &telemetry,
                       PollPeriod pollPeriod,
                       Handler handler,
                       FailureHandler failureHandler);

    /// Starts the reads, which continue until stop().
    void start();
    void stop();

    /// Reads the list now, or right after the read that is under way.
    void readSoon();

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<bool> readNewest();
    boost::asio::awaitable<bool> readNext();
    boost::asio::awaitable<void> waitForNextRead();
    void apply(const Platform::KeyedRecord &record);

    boost::asio::any_io_executor m_executor;
    Platform::StoreClient m_client;
    Duration m_targetHeartbeat;
    HostTelemetry &m_telemetry;
    PollPeriod m_pollPeriod;
    Handler m_handler;
    FailureHandler m_failureHandler;
    boost::asio::steady_timer m_waitTimer;
    bool m_readSoon = false;
    std::map<std::string, TargetEntry> m_entries;
    std::uint64_t m_nextOffset = 0;
    bool m_synchronised = false;
    bool m_reachable = true;
    bool m_stopped = false;
    TimePoint m_reachabilityChangedAt;
};
} // namespace Anvilcart::Fleet
