#pragma once

#include "scheduling/targetledger.h"

#include <algorithm>
#include <string>
#include <vector>

namespace Anvilcart::Fleet
{
/// What shows that a target has lost its runs.
enum class LossEvidence {
    /// It did not answer until every lease had ended. It may have crashed, or it may be beyond a network partition.
    Unresponsive,
    /// It reports that it has restarted.
    Restarted,
};
constexpr std::size_t LossEvidenceCount = 2;

/// The name in logs and metrics. Thread-safe.
constexpr const char *toName(LossEvidence evidence)
{
    constexpr const char *Names[LossEvidenceCount] = {"unresponsive", "restarted"};
    return Names[static_cast<std::size_t>(evidence)];
}

/// The runs that a target lost at once.
struct TargetLoss
{
    std::string target;
    LossEvidence evidence = LossEvidence::Unresponsive;
    /// The target's last answer before the loss.
    TimePoint lastAnswerAt;
    /// When the target was listed under the claim by which it was held; TimePoint() if no claim of it was accepted.
    TimePoint listedAt;
    /// Never empty.
    std::vector<LedgerRun> runs;
};

/// When the newest of the lost runs was started. Thread-safe.
inline TimePoint newestStartAt(const TargetLoss &loss)
{
    TimePoint newest;
    for (const auto &run : loss.runs) {
        newest = std::max(newest, run.sentAt);
    }
    return newest;
}
} // namespace Anvilcart::Fleet
