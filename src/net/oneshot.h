#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <memory>
#include <optional>

namespace Anvilcart
{
/// A value that one coroutine awaits and another thread sets once.
template<typename T>
class OneShot : public std::enable_shared_from_this<OneShot<T>>
{
public:
    /// The waiting coroutine runs on executor.
    explicit OneShot(const boost::asio::any_io_executor &executor)
        : m_signal(executor, boost::asio::steady_timer::time_point::max())
    {
    }

    /// Sets the value and wakes the waiting coroutine. Thread-safe; the first value counts.
    void set(T value)
    {
        boost::asio::post(m_signal.get_executor(), [self = this->shared_from_this(), value = std::move(value)]() mutable {
            if (!self->m_value) {
                self->m_value = std::move(value);
                self->m_signal.cancel();
            }
        });
    }

    /// Waits for the value. Precondition: called once, on the executor.
    boost::asio::awaitable<T> wait()
    {
        if (!m_value) {
            co_await m_signal.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
        }
        co_return std::move(*m_value);
    }

private:
    boost::asio::steady_timer m_signal;
    std::optional<T> m_value;
};
} // namespace Anvilcart
