#pragma once

#include "claims/claimant.h"
#include "dispatch/dispatchservice.h"
#include "publication/interfaces/logservice.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <array>
#include <atomic>
#include <string>

namespace Anvilcart
{
/// Connects a claimant with the platform's log: follows the streams of claims and appends in batches, one append a stream at a time.
/// Reading, writing and coding run on the I/O executor, everything else on the decision loop.
class ClaimService : public ClaimProvider
{
public:
    /// All arguments outlive the service. The executors belong to loops with one thread each.
    ClaimService(ClaimantIdentity identity,
                 ClaimObserver &observer,
                 LogService &log,
                 DispatchService &dispatch,
                 boost::asio::any_io_executor decisions,
                 boost::asio::any_io_executor io);

    /// Begins to follow the streams. Precondition: called once.
    void start();

    std::optional<ClaimResult> claim(JobId job, const JobSpec &spec, TimePoint deadline, TimePoint now) override;
    void recordNotStarted(JobId job, std::uint32_t task) override;
    void recordFinished(JobId job, std::uint32_t task, const std::string &output) override;
    void recordFailed(JobId job, std::uint32_t task, const std::string &message) override;
    void closeClaims(JobId job) override;

    /// Gives late claims up. Precondition: on the decision loop.
    void tick(TimePoint now);

    /// True while nothing waits to be appended, or the log is out of reach. Thread-safe.
    bool isIdle() const;

private:
    boost::asio::awaitable<void> follow(std::size_t stream);
    boost::asio::awaitable<void> append(std::size_t stream, std::vector<ClaimRecord> records);
    void onPage(std::size_t stream, const std::vector<ClaimRecord> &records, bool isEnd);
    void onAppended(std::size_t stream);
    void onAppendFailed(std::size_t stream, std::vector<ClaimRecord> records);
    void onReachable(bool reachable);
    void scheduleAppends(Duration delay);
    void scheduleAppend(std::size_t stream, Duration delay);
    void startAppend(std::size_t stream);
    void deliverVerdicts();
    void updateIdle();

    Claimant m_claimant;
    LogService &m_log;
    DispatchService &m_dispatch;
    boost::asio::any_io_executor m_decisions;
    boost::asio::any_io_executor m_io;
    std::array<bool, ClaimStreamCount> m_appending {};
    bool m_reachable = false;
    std::atomic<bool> m_idle = true;
};
} // namespace Anvilcart
