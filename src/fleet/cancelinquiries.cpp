#include "fleet/cancelinquiries.h"

namespace Anvilcart::Fleet
{
void CancelInquiries::begin(const std::string &jobId, std::set<std::string> hosts, bool isComplete, TimePoint answerBy)
{
    m_inquiries.try_emplace(jobId, Inquiry {std::move(hosts), isComplete, answerBy});
}

std::optional<CancelOutcome> CancelInquiries::onAnswer(const std::string &jobId, const std::string &host, bool cancelled)
{
    const auto found = m_inquiries.find(jobId);
    if (found == m_inquiries.end()) {
        return std::nullopt;
    }
    auto &inquiry = found->second;
    inquiry.unanswered.erase(host);
    if (!cancelled && !inquiry.unanswered.empty()) {
        return std::nullopt;
    }
    const auto denied = inquiry.isComplete ? CancelOutcome::NoSuchJob : CancelOutcome::Undecided;
    m_inquiries.erase(found);
    return cancelled ? CancelOutcome::Cancelled : denied;
}

std::vector<CancelInquiries::Decision> CancelInquiries::takeDecided(TimePoint now)
{
    std::vector<Decision> decided;
    for (auto it = m_inquiries.begin(); it != m_inquiries.end();) {
        const auto &[jobId, inquiry] = *it;
        const bool isAnswered = inquiry.unanswered.empty();
        if (!isAnswered && now < inquiry.answerBy) {
            ++it;
            continue;
        }
        decided.emplace_back(jobId, isAnswered && inquiry.isComplete ? CancelOutcome::NoSuchJob : CancelOutcome::Undecided);
        it = m_inquiries.erase(it);
    }
    return decided;
}

std::vector<std::string> CancelInquiries::jobs() const
{
    std::vector<std::string> jobs;
    for (const auto &[jobId, entry] : m_inquiries) {
        jobs.push_back(jobId);
    }
    return jobs;
}
} // namespace Anvilcart::Fleet
