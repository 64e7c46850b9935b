#pragma once

#include "fleet/fleetframe.h"
#include "kernel/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Anvilcart::Fleet
{
/// A job that its entry host has given up, while a dispatcher may still run it.
struct OwedCancellation
{
    std::string dispatcher;
    std::uint64_t dispatcherIncarnation = 0;
    /// The epoch of the grant under which the dispatcher has the job.
    std::uint64_t grantEpoch = 0;
    /// The dispatcher ends the job by itself at this time.
    TimePoint until;
    /// See JobSubmission::number.
    std::uint64_t submissionNumber = 0;
};

/// The cancellations that an entry host repeats until their dispatchers have confirmed them. A frame may be lost, and a dispatcher whose
/// grant goes on being renewed would run the job beside the one that gets it from the caller's next entry host. Not thread-safe.
class OwedCancellations
{
public:
    void add(const std::string &jobId, OwedCancellation cancellation);

    /// The jobs to cancel at this host, in an unspecified order.
    std::vector<JobCancellation> cancellationsAt(const std::string &dispatcher) const;

    /// The dispatcher has no run of the job any more and will start none, as far as it was submitted up to that number.
    void onConfirmed(const JobCancellation &cancellation, const std::string &dispatcher);

    /// The process of the dispatcher has ended.
    void onEnded(const std::string &dispatcher, std::uint64_t incarnation);

    /// The cancellations of a job that no dispatcher has confirmed yet.
    std::vector<OwedCancellation> cancellationsOf(const std::string &jobId) const;

    /// Removes the cancellations whose jobs have ended by themselves.
    void removeOld(TimePoint now);

private:
    /// By dispatcher and job.
    std::map<std::pair<std::string, std::string>, OwedCancellation> m_cancellations;
};
} // namespace Anvilcart::Fleet
