#include "fleet/owedcancellations.h"

namespace Anvilcart::Fleet
{
void OwedCancellations::add(const std::string &jobId, OwedCancellation cancellation)
{
    const std::pair key(cancellation.dispatcher, jobId);
    m_cancellations[key] = std::move(cancellation);
}

std::vector<JobCancellation> OwedCancellations::cancellationsAt(const std::string &dispatcher) const
{
    std::vector<JobCancellation> cancellations;
    for (auto it = m_cancellations.lower_bound({dispatcher, {}}); it != m_cancellations.end() && it->first.first == dispatcher; ++it) {
        cancellations.push_back({it->first.second, it->second.submissionNumber});
    }
    return cancellations;
}

void OwedCancellations::onConfirmed(const JobCancellation &cancellation, const std::string &dispatcher)
{
    const auto owed = m_cancellations.find({dispatcher, cancellation.jobId});
    const auto number = cancellation.submissionNumber;
    if (owed != m_cancellations.end() && (number == 0 || owed->second.submissionNumber <= number)) {
        m_cancellations.erase(owed);
    }
}

void OwedCancellations::onEnded(const std::string &dispatcher, std::uint64_t incarnation)
{
    std::erase_if(m_cancellations, [&](const auto &entry) {
        return entry.second.dispatcher == dispatcher && entry.second.dispatcherIncarnation == incarnation;
    });
}

std::vector<OwedCancellation> OwedCancellations::cancellationsOf(const std::string &jobId) const
{
    std::vector<OwedCancellation> found;
    for (const auto &[key, cancellation] : m_cancellations) {
        if (key.second == jobId) {
            found.push_back(cancellation);
        }
    }
    return found;
}

void OwedCancellations::removeOld(TimePoint now)
{
    std::erase_if(m_cancellations, [now](const auto &entry) {
        return now >= entry.second.until;
    });
}
} // namespace Anvilcart::Fleet
