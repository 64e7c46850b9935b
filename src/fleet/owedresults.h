#pragma once

#include "fleet/fleetframe.h"
#include "kernel/time.h"

#include <map>
#include <string>
#include <vector>

namespace Anvilcart::Fleet
{
/// Results that a dispatcher could not send, because it did not see the entry host when the job ended. Not thread-safe.
class OwedResults
{
public:
    /// Keeps a result, which is of no use after the caller's deadline.
    void add(const std::string &entryHost, JobEndNotice notice, TimePoint callerDeadline);

    /// The results for this host, to be sent when it has reported. They name their submissions, so that its next process can tell them from
    /// its own.
    std::vector<JobEndNotice> resultsFor(const std::string &entryHost) const;

    /// The results for this host were sent.
    void onSent(const std::string &entryHost);

    /// Removes the results whose callers no longer wait.
    void removeOld(TimePoint now);

private:
    struct OwedResult
    {
        JobEndNotice notice;
        TimePoint callerDeadline;
    };

    /// By entry host.
    std::map<std::string, std::vector<OwedResult>> m_results;
};
} // namespace Anvilcart::Fleet
