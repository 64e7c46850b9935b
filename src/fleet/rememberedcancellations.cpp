#include "fleet/rememberedcancellations.h"

#include <algorithm>

namespace Anvilcart::Fleet
{
namespace
{
/// All of them fit into one frame of less than 1 MB, and take about 4 MB of memory: 1,000 cancellations a second.
constexpr std::size_t MaxCancelledJobs = 16384;
} // namespace

/// Callers send a job again within their deadline, at most 14 s on the sites.
const Duration RememberedCancellations::Retention = Seconds(15);

bool RememberedCancellations::add(const std::string &jobId, TimePoint until, TimePoint now)
{
    if (m_until.size() >= MaxCancelledJobs && !m_until.contains(jobId)) {
        removeOld(now);
        if (m_until.size() >= MaxCancelledJobs) {
            return false;
        }
    }
    auto &known = m_until[jobId];
    // A peer's clock or a held-up frame must not keep a job longer than one that is cancelled now.
    known = std::max(known, std::min(until, now + Retention));
    return true;
}

bool RememberedCancellations::contains(const std::string &jobId, TimePoint now) const
{
    const auto found = m_until.find(jobId);
    return found != m_until.end() && now < found->second;
}

std::vector<CancelledJob> RememberedCancellations::all(TimePoint now) const
{
    std::vector<CancelledJob> jobs;
    for (const auto &[jobId, until] : m_until) {
        if (now < until) {
            jobs.push_back({jobId, until});
        }
    }
    return jobs;
}

void RememberedCancellations::removeOld(TimePoint now)
{
    std::erase_if(m_until, [now](const auto &entry) {
        return now >= entry.second;
    });
}

std::size_t RememberedCancellations::size() const
{
    return m_until.size();
}
} // namespace Anvilcart::Fleet
