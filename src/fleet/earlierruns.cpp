#include "fleet/earlierruns.h"

#include <algorithm>

namespace Anvilcart::Fleet
{
void EarlierRuns::record(const JobSubmission &submission, TimePoint now)
{
    if (submission.mayStartAt() > now) {
        m_records[submission.request.id] = {submission.lostDispatcher, submission.lostDispatcherRunsEndBy, submission.earlierRunsEndBy};
    }
}

void EarlierRuns::applyTo(JobSubmission &submission) const
{
    const auto found = m_records.find(submission.request.id);
    if (found != m_records.end()) {
        const auto &record = found->second;
        submission.lostDispatcher = record.lostDispatcher;
        submission.lostDispatcherRunsEndBy = record.lostDispatcherRunsEndBy;
        submission.earlierRunsEndBy = record.earlierRunsEndBy;
    }
}

bool EarlierRuns::hasEnded(const Record &record, TimePoint now)
{
    return now >= std::max(record.lostDispatcherRunsEndBy, record.earlierRunsEndBy);
}

void EarlierRuns::removeOld(TimePoint now)
{
    std::erase_if(m_records, [now](const auto &entry) {
        return hasEnded(entry.second, now);
    });
}
} // namespace Anvilcart::Fleet
