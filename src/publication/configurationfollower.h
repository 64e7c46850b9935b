#pragma once

#include "config/carryforwardschedule.h"
#include "config/settings.h"
#include "publication/configurationservice.h"
#include "publication/interfaces/logservice.h"

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <vector>

namespace Anvilcart
{
/// Follows the configuration stream of the log: applies its records, carries the current version forward, and queries
/// peers while the log is unavailable or unread records have expired, so that the current version is unknown.
/// Everything runs on the loop of run().
class ConfigurationFollower
{
public:
    /// Precondition: the log and the service outlive the follower.
    ConfigurationFollower(const Settings &settings, LogService &log, ConfigurationService &service);

    /// Follows the stream indefinitely. Precondition: called once; the follower outlives the loop.
    boost::asio::awaitable<void> run();

    /// Sets the operator endpoints from the host list, queried besides the configured peers. Precondition: on the loop of run().
    void setPeers(std::vector<Endpoint> peers);

private:
    Duration pollWait() const;
    void applyPage(const LogPage &page);
    boost::asio::awaitable<void> carryForwardIfDue();
    boost::asio::awaitable<void> queryPeersIfDue();
    boost::asio::awaitable<void> queryPeer(Endpoint peer);
    std::vector<Endpoint> peersToQuery() const;

    LogService &m_log;
    ConfigurationService &m_service;
    Endpoint m_ownEndpoint;
    std::vector<Endpoint> m_configuredPeers;
    std::vector<Endpoint> m_listedPeers;
    Duration m_carryForwardPeriod;
    CarryForwardSchedule m_schedule;
    /// The end of the stream at the first read. Carry-forward records before it are of unknown age, so they do not count
    /// for the schedule.
    std::optional<std::uint64_t> m_initialEnd;
    TimePoint m_nextPeerQuery;
};
} // namespace Anvilcart
