#include "kernel/timerservice.h"

#include <boost/asio/steady_timer.hpp>

#include <atomic>

namespace Anvilcart
{
struct TimerSubscription::State : std::enable_shared_from_this<State>
{
    State(const boost::asio::any_io_executor &executor, Duration period, TimerService::Callback callback)
        : timer(executor)
        , period(period)
        , callback(std::move(callback))
    {
    }

    void arm()
    {
        timer.expires_after(period);
        timer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
            if (error || self->cancelled.load(std::memory_order_acquire)) {
                return;
            }
            self->callback(Clock::now());
            self->arm();
        });
    }

    boost::asio::steady_timer timer;
    Duration period;
    TimerService::Callback callback;
    std::atomic<bool> cancelled = false;
};

TimerSubscription::TimerSubscription(std::shared_ptr<State> state)
    : m_state(std::move(state))
{
}

TimerSubscription::~TimerSubscription()
{
    cancel();
}

TimerSubscription &TimerSubscription::operator=(TimerSubscription &&other) noexcept
{
    cancel();
    m_state = std::move(other.m_state);
    return *this;
}

void TimerSubscription::cancel()
{
    if (m_state) {
        m_state->cancelled.store(true, std::memory_order_release);
        m_state.reset();
    }
}

TimerSubscription TimerService::subscribe(const boost::asio::any_io_executor &executor, Duration period, Callback callback)
{
    auto state = std::make_shared<TimerSubscription::State>(executor, period, std::move(callback));
    state->arm();
    return TimerSubscription(state);
}
} // namespace Anvilcart
