#include "scheduling/endedsubmissions.h"

#include <utility>

namespace Anvilcart::Fleet
{
namespace
{
/// A result is kept for one to two of these spans: as long as callers wait, at most 14 s on the sites.
constexpr Seconds SpanLength {15};
/// Limits memory use to about 20 MB by calculation, for two spans.
constexpr std::size_t MaxResultsPerSpan = 50000;
} // namespace

EndedSubmissions::Key EndedSubmissions::keyOf(const JobSubmission &submission)
{
    return {submission.entryHost, submission.number >> 32U, submission.identity()};
}

void EndedSubmissions::record(const JobSubmission &submission, const JobResult &result, TimePoint now)
{
    if (submission.number == 0) {
        return;
    }
    if (now - m_currentSpanStart >= SpanLength || m_currentSpan.size() >= MaxResultsPerSpan) {
        m_previousSpan = std::exchange(m_currentSpan, {});
        m_currentSpanStart = now;
    }
    const auto key = keyOf(submission);
    for (const auto *span : {&m_currentSpan, &m_previousSpan}) {
        const auto known = span->find(key);
        if (known != span->end() && known->second.number > submission.number) {
            return;
        }
    }
    m_currentSpan[key] = {submission.number, result};
}

const JobResult *EndedSubmissions::find(const JobSubmission &submission) const
{
    const auto key = keyOf(submission);
    for (const auto *span : {&m_currentSpan, &m_previousSpan}) {
        const auto found = span->find(key);
        if (submission.number != 0 && found != span->end() && found->second.number >= submission.number) {
            return &found->second.result;
        }
    }
    return nullptr;
}

std::size_t EndedSubmissions::size() const
{
    return m_currentSpan.size() + m_previousSpan.size();
}
} // namespace Anvilcart::Fleet
