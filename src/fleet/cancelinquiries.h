#pragma once

#include "kernel/time.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Anvilcart::Fleet
{
/// What became of a caller's request to cancel a job.
enum class CancelOutcome {
    /// The job was cancelled.
    Cancelled,
    /// No host has the job.
    NoSuchJob,
    /// A host that may have the job could not be asked, or gave no answer.
    Undecided,
};

/// The name in logs and metrics. Thread-safe.
constexpr const char *toName(CancelOutcome outcome)
{
    constexpr const char *Names[] = {"cancelled", "no_such_job", "undecided"};
    return Names[static_cast<std::size_t>(outcome)];
}

/// Requests to cancel jobs whose callers' connections are on other hosts. All hosts are asked; each inquiry is decided by the first host
/// that has the job, or when every host has answered. Not thread-safe.
class CancelInquiries
{
public:
    using Decision = std::pair<std::string, CancelOutcome>;

    /// Begins an inquiry, or keeps the one that is under way. isComplete is false when a host that may have the job could not be asked.
    void begin(const std::string &jobId, std::set<std::string> hosts, bool isComplete, TimePoint answerBy);

    /// Records the answer of a host. Returns the outcome when that decides the inquiry.
    std::optional<CancelOutcome> onAnswer(const std::string &jobId, const std::string &host, bool cancelled);

    /// Ends and returns the inquiries that can be decided, or whose time is over.
    std::vector<Decision> takeDecided(TimePoint now);

    /// The jobs that are not decided yet.
    std::vector<std::string> jobs() const;

private:
    struct Inquiry
    {
        std::set<std::string> unanswered;
        bool isComplete = true;
        TimePoint answerBy;
    };

    std::map<std::string, Inquiry> m_inquiries;
};
} // namespace Anvilcart::Fleet
