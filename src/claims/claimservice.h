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
/// Connects a claimant to the platform's log: follows the claim streams and appends records in batches, with at most one append in
/// progress for each stream. Requests to the log, encoding and decoding run on the I/O executor, everything else on the decision loop.
class ClaimService : public ClaimProvider
{
public:
    /// All references must outlive the service. Each executor belongs to a loop with one thread.
    ClaimService(ClaimantIdentity identity,
                 ClaimObserver &observer,
                 LogService &log,
                 DispatchService &dispatch,
                 boost::asio::any_io_executor decisions,
                 boost::asio::any_io_executor io);

    /// Starts following the streams. Precondition: called once.
    void start();

    std::optional<ClaimResult> claim(JobId job, const JobSpec &spec, TimePoint deadline, TimePoint now) override;
    void recordNotStarted(JobId job, std::uint32_t task) override;
    void recordFinished(JobId job, std::uint32_t task, const std::string &output) override;
    void recordFailed(JobId job, std::uint32_t task, const std::string &message) override;
    void closeClaims(JobId job) override;

    /// Refuses jobs whose claims were not read back in time. Precondition: called on the decision loop.
    void tick(TimePoint now);

    /// True while no record waits to be appended, or while the log is unreachable. Thread-safe.
    bool isIdle() const;

private:
    boost::asio::awaitable<void> followStream(std::size_t stream);
    boost::asio::awaitable<void> appendBatch(std::size_t stream, std::vector<ClaimRecord> records);
    void onPageRead(std::size_t stream, const std::vector<ClaimRecord> &records, bool isEnd);
    void onAppended(std::size_t stream);
    void onAppendFailed(std::size_t stream, std::vector<ClaimRecord> records);
    void setLogReachable(bool reachable);
    void scheduleAppends(Duration delay);
    void scheduleAppend(std::size_t stream, Duration delay);
    void startAppend(std::size_t stream);
    void deliverResults();
    void updateIdle();

    Claimant m_claimant;
    LogService &m_log;
    DispatchService &m_dispatch;
    boost::asio::any_io_executor m_decisionExecutor;
    boost::asio::any_io_executor m_ioExecutor;
    std::array<bool, ClaimStreamCount> m_appendInProgress {};
    bool m_logReachable = false;
    std::atomic<bool> m_idle = true;
};
} // namespace Anvilcart
