#include "hostruntime/doorfollower.h"

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
/// New hosts connect by themselves; this is for those that cannot be reached by their seeds.
constexpr Seconds Period {5};
constexpr Milliseconds RetryPause {500};
} // namespace

DoorFollower::DoorFollower(
    const asio::any_io_executor &executor, const Endpoint &store, Endpoint ownDoor, std::string host, Handler handler)
    : m_executor(executor)
    , m_client(executor, store)
    , m_ownDoor(std::move(ownDoor))
    , m_host(std::move(host))
    , m_handler(std::move(handler))
{
}

void DoorFollower::start()
{
    asio::co_spawn(
        m_executor,
        [self = shared_from_this()] {
            return self->run();
        },
        asio::detached);
}

void DoorFollower::stop()
{
    m_stopped = true;
}

asio::awaitable<void> DoorFollower::run()
{
    asio::steady_timer timer(m_executor);
    while (!m_stopped) {
        if (!m_told) {
            Platform::KeyedRecord record {toString(m_ownDoor), m_host};
            m_told = co_await m_client.append(Topic, std::move(record));
        }
        co_await readOnce();
        timer.expires_after(m_told && m_synchronised ? Duration(Period) : Duration(RetryPause));
        co_await timer.async_wait(Awaitable);
    }
}

asio::awaitable<void> DoorFollower::readOnce()
{
    if (!m_synchronised) {
        const auto answer = co_await m_client.readNewestRecords(Topic);
        m_synchronised = answer.outcome == Platform::StoreOutcome::Answered;
        m_nextOffset = answer.page.endOffset;
        hand(answer.page.records);
        co_return;
    }
    const auto answer = co_await m_client.read(Topic, m_nextOffset, Milliseconds(0));
    m_synchronised = answer.outcome == Platform::StoreOutcome::Answered;
    m_nextOffset = answer.page.nextOffset;
    hand(answer.page.records);
}

void DoorFollower::hand(const std::vector<Platform::KeyedRecord> &records)
{
    std::vector<Endpoint> doors;
    for (const auto &record : records) {
        const auto door = parseEndpoint(record.key);
        if (door && !record.value.empty()) {
            doors.push_back(*door);
        }
    }
    m_handler(doors);
}
} // namespace Anvilcart::Fleet
