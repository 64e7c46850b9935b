#pragma once

#include <algorithm>

namespace Anvilcart::Fleet
{
/// Bounds the requests that repeat unanswered ones to a share of all first requests, so that a network or a fleet that is slow gets no
/// storm of repetitions. Not thread-safe.
class RepeatBudget
{
public:
    /// A request that repeats no other one is sent.
    void onFirstRequest()
    {
        m_saved = std::min(MaxSaved, m_saved + RepeatShare);
    }

    /// True if a request may be repeated now; it then counts as repeated.
    bool takeRepeat()
    {
        if (m_saved < 1) {
            return false;
        }
        m_saved -= 1;
        return true;
    }

private:
    /// Where three requests in ten are lost, 0.43 repetitions a request reach every target.
    static constexpr double RepeatShare = 0.5;
    /// The starts of a few of the largest jobs.
    static constexpr double MaxSaved = 64;

    double m_saved = MaxSaved;
};
} // namespace Anvilcart::Fleet
