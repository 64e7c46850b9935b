#include "scheduling/recentjobs.h"

#include <utility>

namespace Anvilcart::Fleet
{
namespace
{
/// Callers resubmit a job within their deadline, at most 14 s on the sites; a job is remembered for one to two of these spans.
constexpr Seconds SpanLength {15};
/// Limits memory use to about 60 MB by calculation, for two spans. Three times the jobs of a span at 6,000 jobs a second.
constexpr std::size_t MaxJobsPerSpan = 300000;
} // namespace

void RecentJobs::record(const std::string &jobId, TimePoint now)
{
    if (now - m_currentSpanStart >= SpanLength || m_currentSpan.size() >= MaxJobsPerSpan) {
        m_previousSpan = std::exchange(m_currentSpan, {});
        m_currentSpanStart = now;
    }
    m_currentSpan.insert(jobId);
}

bool RecentJobs::contains(const std::string &jobId) const
{
    return m_currentSpan.contains(jobId) || m_previousSpan.contains(jobId);
}

void RecentJobs::markIncomplete(TimePoint now)
{
    m_incompleteAt = now;
}

bool RecentJobs::mayContain(const std::string &jobId, TimePoint now) const
{
    const bool incomplete = m_incompleteAt != TimePoint() && now - m_incompleteAt < SpanLength;
    return incomplete || contains(jobId);
}

std::size_t RecentJobs::size() const
{
    return m_currentSpan.size() + m_previousSpan.size();
}
} // namespace Anvilcart::Fleet
