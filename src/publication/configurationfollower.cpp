#include "publication/configurationfollower.h"

#include "net/httpclient.h"
#include "publication/logclient.h"
#include "publication/peerconfiguration.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <glog/logging.h>

#include <algorithm>

namespace Anvilcart
{
namespace asio = boost::asio;

namespace
{
constexpr Seconds MaxPollWait {10};
constexpr Milliseconds PollWaitWithoutBase {250};
constexpr int PollsPerCarryForwardPeriod = 10;
constexpr Milliseconds RetryDelay {250};
constexpr Milliseconds PeerQueryPeriod {1000};
constexpr Milliseconds PeerQueryTimeout {500};
constexpr int StatusOk = 200;

asio::awaitable<void> sleepFor(Duration duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}
} // namespace

ConfigurationFollower::ConfigurationFollower(const Settings &settings, LogService &log, ConfigurationService &service)
    : m_log(log)
    , m_service(service)
    , m_ownEndpoint(settings.operatorDoor)
    , m_configuredPeers(settings.peers)
    , m_carryForwardPeriod(settings.carryForwardPeriod)
    , m_schedule(settings.host, settings.carryForwardPeriod, Clock::now())
{
}

asio::awaitable<void> ConfigurationFollower::run()
{
    for (;;) {
        const auto result = co_await m_log.read(ConfigurationStream, m_service.history().next(), pollWait());
        if (const auto *failure = std::get_if<LogFailure>(&result)) {
            LOG_EVERY_N(WARNING, 20) << "configuration: reading the log failed: " << failure->error;
            co_await queryPeersIfDue();
            co_await sleepFor(RetryDelay);
            continue;
        }
        applyPage(std::get<LogPage>(result));
        if (m_service.history().isEstablished()) {
            co_await carryForwardIfDue();
        } else {
            co_await queryPeersIfDue();
        }
    }
}

Duration ConfigurationFollower::pollWait() const
{
    if (!m_service.history().isEstablished()) {
        return PollWaitWithoutBase;
    }
    return std::min<Duration>(MaxPollWait, m_carryForwardPeriod / PollsPerCarryForwardPeriod);
}

void ConfigurationFollower::setPeers(std::vector<Endpoint> peers)
{
    m_listedPeers = std::move(peers);
}

void ConfigurationFollower::applyPage(const LogPage &page)
{
    if (!m_initialEnd) {
        m_initialEnd = page.end;
    }
    const auto carryForwardOffset = m_service.applyPage(page);
    if (carryForwardOffset && *carryForwardOffset >= *m_initialEnd) {
        m_schedule.onCarriedForward(Clock::now());
    }
}

asio::awaitable<void> ConfigurationFollower::carryForwardIfDue()
{
    const auto now = Clock::now();
    if (m_service.history().version() == 0 || !m_schedule.isDue(now)) {
        co_return;
    }
    m_schedule.onAttempt(now);
    auto body = encode(m_service.history().carryForward());
    const auto result = co_await m_log.append(ConfigurationStream, std::move(body));
    if (const auto *failure = std::get_if<LogFailure>(&result)) {
        LOG(WARNING) << "configuration: appending the carry-forward record failed: " << failure->error;
    }
}

asio::awaitable<void> ConfigurationFollower::queryPeersIfDue()
{
    if (Clock::now() < m_nextPeerQuery) {
        co_return;
    }
    for (const auto &peer : peersToQuery()) {
        co_await queryPeer(peer);
    }
    m_nextPeerQuery = Clock::now() + PeerQueryPeriod;
}

asio::awaitable<void> ConfigurationFollower::queryPeer(Endpoint peer)
{
    const auto reply = co_await callOnce(peer, HttpCall("GET", ConfigurationRecordPath), PeerQueryTimeout, m_ownEndpoint.address);
    if (reply.progress != CallProgress::Answered || reply.status != StatusOk) {
        co_return;
    }
    if (const auto peerConfiguration = decodePeerConfiguration(reply.body)) {
        m_service.adopt(*peerConfiguration);
    }
}

std::vector<Endpoint> ConfigurationFollower::peersToQuery() const
{
    auto peers = m_configuredPeers;
    for (const auto &peer : m_listedPeers) {
        if (std::find(peers.begin(), peers.end(), peer) == peers.end()) {
            peers.push_back(peer);
        }
    }
    peers.erase(std::remove(peers.begin(), peers.end(), m_ownEndpoint), peers.end());
    return peers;
}
} // namespace Anvilcart
