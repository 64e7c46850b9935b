#include "target/targetpool.h"

#include <boost/asio/post.hpp>

namespace Anvilcart
{
TargetPool::TargetPool(EventLoops &loops, boost::asio::any_io_executor decisions, std::string sourceAddress)
    : m_loops(loops)
    , m_decisions(std::move(decisions))
    , m_sourceAddress(std::move(sourceAddress))
{
}

void TargetPool::configure(TargetIndex target, const TargetSpec &spec)
{
    if (target >= m_clients.size()) {
        m_clients.resize(target + 1);
    }
    if (!m_clients[target]) {
        m_clients[target] = std::make_shared<TargetClient>(m_loops.at(target), spec.endpoint, m_sourceAddress);
    }
}

void TargetPool::start(TargetIndex target, TaskStart start)
{
    m_clients[target]->start(std::move(start), [this](const TaskRef &ref, TaskOutcome outcome) {
        boost::asio::post(m_decisions, [this, ref, outcome = std::move(outcome)]() mutable {
            m_onOutcome(ref, std::move(outcome));
        });
    });
}

void TargetPool::stop(TargetIndex target, const std::string &submission, const std::string &task)
{
    m_clients[target]->stop(submission, task);
}

void TargetPool::setOutcomeHandler(OutcomeHandler handler)
{
    m_onOutcome = std::move(handler);
}
} // namespace Anvilcart
