#include "scheduling/recentjobs.h"

#include <utility>

namespace Anvilcart::Fleet
{
namespace
{
/// Callers send a job again within their limit, 14 s at most on the sites; a job is remembered for one to two of these spans.
constexpr Seconds Span {15};
/// Bounds the memory to some 20 MB: three times the jobs of a span at 6,000 jobs a second.
constexpr std::size_t MostInSpan = 300000;
} // namespace

void RecentJobs::note(const std::string &jobId, TimePoint now)
{
    if (now - m_presentSince >= Span || m_present.size() >= MostInSpan) {
        m_earlier = std::exchange(m_present, {});
        m_presentSince = now;
    }
    m_present.insert(jobId);
}

bool RecentJobs::contains(const std::string &jobId) const
{
    return m_present.contains(jobId) || m_earlier.contains(jobId);
}

std::size_t RecentJobs::size() const
{
    return m_present.size() + m_earlier.size();
}
} // namespace Anvilcart::Fleet
