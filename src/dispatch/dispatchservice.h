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
/// Identifies a submission to a DispatchService, even before the decision loop has processed it.
class JobTicket
{
public:
    JobTicket() = default;

private:
    friend class DispatchService;

    std::optional<JobId> m_id;
};

/// Thread-safe interface to the dispatcher: every call is executed on the decision loop.
class DispatchService
{
public:
    /// Precondition: the dispatcher outlives the service and is used only through it.
    DispatchService(Dispatcher &dispatcher, boost::asio::any_io_executor decisionExecutor);

    /// Submits a job. The answer handler is called once, on the decision loop. Thread-safe.
    std::shared_ptr<JobTicket> submit(JobSpec spec, AnswerHandler answer);

    /// Cancels a submission whose caller has disconnected. Calls that arrive together are processed in one pass. Thread-safe.
    void withdraw(const std::shared_ptr<JobTicket> &ticket);

    /// Cancels a submission by its id. Calls done with whether it was in progress. Thread-safe.
    void cancel(std::string submission, std::function<void(bool)> done);

    /// Runs an action with the dispatcher on the decision loop. Thread-safe.
    void perform(std::function<void(Dispatcher &, TimePoint)> action);

    /// True if nothing was in progress at the last tick. Thread-safe.
    bool isIdle() const;

    /// Processes deadlines and waiting jobs. Precondition: called on the decision loop.
    void tick(TimePoint now);

private:
    Dispatcher &m_dispatcher;
    boost::asio::any_io_executor m_decisionExecutor;
    void cancelWithdrawn();

    std::mutex m_withdrawnMutex;
    std::vector<std::shared_ptr<JobTicket>> m_withdrawn;
    std::atomic<bool> m_idle = true;
};
} // namespace Anvilcart
