#include "kernel/eventloops.h"

namespace Anvilcart
{
namespace
{
constexpr int SingleThreadHint = 1;
}

EventLoops::Loop::Loop()
    : context(SingleThreadHint)
    , work(boost::asio::make_work_guard(context))
    , thread([this] {
        context.run();
    })
{
}

EventLoops::EventLoops(std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i) {
        m_loops.push_back(std::make_unique<Loop>());
    }
}

EventLoops::~EventLoops()
{
    stop();
}

boost::asio::io_context &EventLoops::next()
{
    return at(m_next.fetch_add(1, std::memory_order_relaxed));
}

boost::asio::io_context &EventLoops::at(std::size_t index)
{
    return m_loops[index % m_loops.size()]->context;
}

std::size_t EventLoops::size() const
{
    return m_loops.size();
}

void EventLoops::stop()
{
    for (auto &loop : m_loops) {
        loop->work.reset();
        loop->context.stop();
    }
    for (auto &loop : m_loops) {
        if (loop->thread.joinable()) {
            loop->thread.join();
        }
    }
}
} // namespace Anvilcart
