#pragma once

#include "kernel/time.h"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>

namespace Anvilcart
{
/// A running subscription to a period; destroying it ends the calls.
/// Destroy it on the executor that it was made for, or after that executor's loop has stopped.
class TimerSubscription
{
public:
    struct State;

    TimerSubscription() = default;
    explicit TimerSubscription(std::shared_ptr<State> state);
    ~TimerSubscription();

    TimerSubscription(TimerSubscription &&) noexcept = default;
    TimerSubscription &operator=(TimerSubscription &&other) noexcept;

    /// Ends the calls.
    void cancel();

private:
    std::shared_ptr<State> m_state;
};

/// Calls subscribers at a period of their own, each on its own executor.
class TimerService
{
public:
    using Callback = std::function<void(TimePoint now)>;

    /// Calls callback on executor every period, first after one period. A late call is not made up for. Thread-safe.
    [[nodiscard]] TimerSubscription subscribe(const boost::asio::any_io_executor &executor, Duration period, Callback callback);
};
} // namespace Anvilcart
