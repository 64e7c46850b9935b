#include "dispatch/dispatchservice.h"

#include <boost/asio/post.hpp>

namespace Anvilcart
{
DispatchService::DispatchService(Dispatcher &dispatcher, boost::asio::any_io_executor decisionExecutor)
    : m_dispatcher(dispatcher)
    , m_decisionExecutor(std::move(decisionExecutor))
{
}

std::shared_ptr<JobTicket> DispatchService::submit(JobSpec spec, AnswerHandler answer)
{
    auto ticket = std::make_shared<JobTicket>();
    m_idle.store(false, std::memory_order_release);
    boost::asio::post(m_decisionExecutor, [this, ticket, spec = std::move(spec), answer = std::move(answer)]() mutable {
        ticket->m_id = m_dispatcher.submit(std::move(spec), std::move(answer), Clock::now());
    });
    return ticket;
}

void DispatchService::withdraw(const std::shared_ptr<JobTicket> &ticket)
{
    bool first = false;
    {
        const std::lock_guard<std::mutex> lock(m_withdrawnMutex);
        first = m_withdrawn.empty();
        m_withdrawn.push_back(ticket);
    }
    if (first) {
        boost::asio::post(m_decisionExecutor, [this] {
            cancelWithdrawn();
        });
    }
}

void DispatchService::cancelWithdrawn()
{
    std::vector<std::shared_ptr<JobTicket>> tickets;
    {
        const std::lock_guard<std::mutex> lock(m_withdrawnMutex);
        tickets.swap(m_withdrawn);
    }
    std::vector<JobId> ids;
    for (const auto &ticket : tickets) {
        if (ticket->m_id) {
            ids.push_back(*ticket->m_id);
        }
    }
    m_dispatcher.cancel(ids, Clock::now());
}

void DispatchService::cancel(std::string submission, std::function<void(bool)> done)
{
    boost::asio::post(m_decisionExecutor, [this, submission = std::move(submission), done = std::move(done)] {
        done(m_dispatcher.cancel(submission, Clock::now()));
    });
}

void DispatchService::perform(std::function<void(Dispatcher &, TimePoint)> action)
{
    boost::asio::post(m_decisionExecutor, [this, action = std::move(action)] {
        action(m_dispatcher, Clock::now());
    });
}

bool DispatchService::isIdle() const
{
    return m_idle.load(std::memory_order_acquire);
}

void DispatchService::tick(TimePoint now)
{
    m_dispatcher.onTick(now);
    m_idle.store(m_dispatcher.isIdle(), std::memory_order_release);
}
} // namespace Anvilcart
