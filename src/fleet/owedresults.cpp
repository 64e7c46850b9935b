#include "fleet/owedresults.h"

#include <utility>

namespace Anvilcart::Fleet
{
void OwedResults::add(const std::string &entryHost, JobEndNotice notice, TimePoint callerDeadline)
{
    m_results[entryHost].push_back({std::move(notice), callerDeadline});
}

std::vector<JobEndNotice> OwedResults::take(const std::string &entryHost)
{
    std::vector<JobEndNotice> notices;
    const auto found = m_results.find(entryHost);
    if (found == m_results.end()) {
        return notices;
    }
    for (auto &result : found->second) {
        notices.push_back(std::move(result.notice));
    }
    m_results.erase(found);
    return notices;
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
