#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <cstddef>
#include <memory>
#include <thread>
#include <vector>

namespace Anvilcart
{
/// Event loops with one thread each. A connection lives on one loop for its whole life, so its state needs no lock.
class EventLoops
{
public:
    /// Starts count threads. Precondition: count is at least 1.
    explicit EventLoops(std::size_t count);
    ~EventLoops();

    EventLoops(const EventLoops &) = delete;
    EventLoops &operator=(const EventLoops &) = delete;

    /// The loops in turn. Thread-safe.
    boost::asio::io_context &next();

    /// The loop for this index, modulo the number of loops. Thread-safe.
    boost::asio::io_context &at(std::size_t index);

    /// The number of loops. Thread-safe.
    std::size_t size() const;

    /// Stops and joins all threads; handlers not yet run are dropped. Not from a loop's own thread.
    void stop();

private:
    struct Loop
    {
        Loop();

        boost::asio::io_context context;
        boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
        std::thread thread;
    };

    std::vector<std::unique_ptr<Loop>> m_loops;
    std::atomic<std::size_t> m_next = 0;
};
} // namespace Anvilcart
