#include "hostruntime/peerdiscovery.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace Anvilcart::Fleet
{
namespace asio = boost::asio;

namespace
{
constexpr auto Awaitable = asio::as_tuple(asio::use_awaitable);
constexpr char Topic[] = "keyed.anvilcart-hosts";
/// Hosts connect through their seeds; the topic only serves hosts whose seeds cannot be reached, so slow polling is enough.
constexpr Seconds PollPeriod {5};
constexpr Milliseconds RetryDelay {500};
} // namespace

PeerDiscovery::PeerDiscovery(
    const asio::any_io_executor &executor, const Endpoint &store, Endpoint ownEndpoint, std::string host, Handler handler)
    : m_executor(executor)
    , m_client(executor, store)
    , m_ownEndpoint(std::move(ownEndpoint))
    , m_host(std::move(host))
    , m_handler(std::move(handler))
{
}

void PeerDiscovery::start()
{
    asio::co_spawn(
        m_executor,
        [self = shared_from_this()] {
            return self->run();
        },
        asio::detached);
}

void PeerDiscovery::stop()
{
    m_stopped = true;
}

asio::awaitable<void> PeerDiscovery::run()
{
    asio::steady_timer timer(m_executor);
    while (!m_stopped) {
        if (!m_announced) {
            Platform::KeyedRecord record {toString(m_ownEndpoint), m_host};
            m_announced = co_await m_client.append(Topic, std::move(record));
        }
        co_await readOnce();
        timer.expires_after(m_announced && m_synchronised ? Duration(PollPeriod) : Duration(RetryDelay));
        co_await timer.async_wait(Awaitable);
    }
}

asio::awaitable<void> PeerDiscovery::readOnce()
{
    if (!m_synchronised) {
        const auto answer = co_await m_client.readNewestRecords(Topic);
        m_synchronised = answer.outcome == Platform::StoreOutcome::Answered;
        m_nextOffset = answer.page.endOffset;
        reportEndpoints(answer.page.records);
        co_return;
    }
    const auto answer = co_await m_client.read(Topic, m_nextOffset, Milliseconds(0));
    m_synchronised = answer.outcome == Platform::StoreOutcome::Answered;
    m_nextOffset = answer.page.nextOffset;
    reportEndpoints(answer.page.records);
}

void PeerDiscovery::reportEndpoints(const std::vector<Platform::KeyedRecord> &records)
{
    std::vector<Endpoint> endpoints;
    for (const auto &record : records) {
        const auto endpoint = parseEndpoint(record.key);
        if (endpoint && !record.value.empty()) {
            endpoints.push_back(*endpoint);
        }
    }
    m_handler(endpoints);
}
} // namespace Anvilcart::Fleet
