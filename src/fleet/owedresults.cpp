#include "fleet/owedresults.h"

#include <utility>

namespace Anvilcart::Fleet
{
void OwedResults::add(const std::string &entryHost, JobEndNotice notice, TimePoint callerDeadline)
{
    m_results[entryHost].push_back({std::move(notice), callerDeadline});
}

std::vector<JobEndNotice> OwedResults::resultsFor(const std::string &entryHost) const
{
    std::vector<JobEndNotice> notices;
    const auto found = m_results.find(entryHost);
    if (found != m_results.end()) {
        for (const auto &result : found->second) {
            notices.push_back(result.notice);
        }
    }
    return notices;
}

void OwedResults::onSent(const std::string &entryHost)
{
    m_results.erase(entryHost);
}

void OwedResults::removeOld(TimePoint now)
{
    for (auto &[host, results] : m_results) {
        std::erase_if(results, [now](const OwedResult &result) {
            return now >= result.callerDeadline;
        });
    }
    std::erase_if(m_results, [](const auto &entry) {
        return entry.second.empty();
    });
}
} // namespace Anvilcart::Fleet
