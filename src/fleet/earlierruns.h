#pragma once

#include "kernel/time.h"
#include "scheduling/jobsubmission.h"

#include <string>
#include <unordered_map>

namespace Anvilcart::Fleet
{
/// Until when dispatchers from which a job was taken may still run it, for jobs that were given up here since. No cancellation is owed to
/// those dispatchers, and the caller may send the job again. Not thread-safe.
class EarlierRuns
{
public:
    /// Records a submission that is given up.
    void record(const JobSubmission &submission, TimePoint now);

    /// Lets a new submission of the same job wait for the same runs.
    void applyTo(JobSubmission &submission) const;

    /// Removes the records of runs that have ended.
    void removeOld(TimePoint now);

private:
    struct Record
    {
        std::string lostDispatcher;
        TimePoint lostDispatcherRunsEndBy;
        TimePoint earlierRunsEndBy;
    };

    static bool hasEnded(const Record &record, TimePoint now);

    std::unordered_map<std::string, Record> m_records;
};
} // namespace Anvilcart::Fleet
