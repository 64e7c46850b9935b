#include "callers/balancer.h"

#include "net/httpclient.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Anvilcart
{
namespace asio = boost::asio;

namespace
{
constexpr Milliseconds CheckPeriod {200};
constexpr Milliseconds CheckTimeout {1000};
constexpr int StatusOk = 200;
} // namespace

Balancer::Balancer(const std::vector<Endpoint> &doors)
{
    for (const auto &endpoint : doors) {
        m_doors.push_back({endpoint, true});
    }
}

std::optional<std::size_t> Balancer::next()
{
    for (std::size_t tried = 0; tried < m_doors.size(); ++tried) {
        const auto index = m_next++ % m_doors.size();
        if (m_doors[index].ready) {
            return index;
        }
    }
    return std::nullopt;
}

const Endpoint &Balancer::door(std::size_t index) const
{
    return m_doors[index].endpoint;
}

void Balancer::markDown(std::size_t index)
{
    m_doors[index].ready = false;
}

asio::awaitable<void> Balancer::watch(std::size_t index)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    for (;;) {
        const auto reply = co_await callOnce(m_doors[index].endpoint, HttpCall("GET", "/readyz"), CheckTimeout);
        m_doors[index].ready = reply.progress == CallProgress::Answered && reply.status == StatusOk;
        timer.expires_after(CheckPeriod);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

std::size_t Balancer::size() const
{
    return m_doors.size();
}
} // namespace Anvilcart
