#pragma once

#include "scheduling/jobsubmission.h"

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

namespace Anvilcart::Fleet
{
/// The results of submissions that ended recently. A result may be lost with the connection that it was sent over; the entry host then
/// repeats the submission, which must not run again. Not thread-safe.
class EndedSubmissions
{
public:
    /// Records the result of a submission; of each job and process of an entry host only that with the highest number is kept. Has no
    /// effect for a submission without number.
    void record(const JobSubmission &submission, const JobResult &result, TimePoint now);

    /// The result of this submission, or of a later one by the same process, which this one must not follow; null when neither is known.
    /// Valid until the next call of record().
    const JobResult *find(const JobSubmission &submission) const;

    /// The number of remembered results.
    std::size_t size() const;

private:
    struct Ended
    {
        std::uint64_t number = 0;
        JobResult result;
    };

    /// The entry host, the upper half of the number, and the job.
    using Key = std::tuple<std::string, std::uint64_t, std::string>;
    using Results = std::map<Key, Ended>;

    static Key keyOf(const JobSubmission &submission);

    /// Results recorded in the current time span and in the previous one.
    Results m_currentSpan;
    Results m_previousSpan;
    TimePoint m_currentSpanStart;
};
} // namespace Anvilcart::Fleet
