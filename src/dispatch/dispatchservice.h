#pragma once

#include "dispatch/dispatcher.h"

#include <boost/asio/any_io_executor.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace Anvilcart
{
/// Names one submission to a DispatchService, also before the decision loop has seen it.
class JobTicket
{
public:
    JobTicket() = default;

private:
    friend class DispatchService;

    std::optional<JobId> m_id;
};

/// The thread-safe face of the dispatcher: every call is carried out on the decision loop.
class DispatchService
{
public:
    /// The dispatcher outlives the service and is used by nobody else.
    DispatchService(Dispatcher &dispatcher, boost::asio::any_io_executor decisions);

    /// Submits a job. The answer handler is called once, on the decision loop. Thread-safe.
    std::shared_ptr<JobTicket> submit(JobSpec spec, AnswerHandler answer);

    /// Gives up on a submission whose caller has gone; those that come together are given up together. Thread-safe.
    void withdraw(const std::shared_ptr<JobTicket> &ticket);

    /// Cancels by submission id; done tells whether it was in progress. Thread-safe.
    void cancel(std::string submission, std::function<void(bool)> done);

    /// Runs an action with the dispatcher on the decision loop. Thread-safe.
    void perform(std::function<void(Dispatcher &, TimePoint)> action);

    /// True when nothing is in progress, as of the last tick. Thread-safe.
    bool isIdle() const;

    /// Gives deadlines and waiting jobs their turn. Precondition: on the decision loop.
    void tick(TimePoint now);

private:
    Dispatcher &m_dispatcher;
    boost::asio::any_io_executor m_decisions;
    void cancelWithdrawn();

    std::mutex m_withdrawnMutex;
    std::vector<std::shared_ptr<JobTicket>> m_withdrawn;
    std::atomic<bool> m_idle = true;
};
} // namespace Anvilcart
