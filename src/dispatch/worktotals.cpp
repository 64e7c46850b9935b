#include "dispatch/worktotals.h"

#include <algorithm>

namespace Anvilcart
{
namespace
{
std::size_t lowestBit(std::size_t value)
{
    return value & (~value + 1);
}
} // namespace

void WorkTotals::add(std::size_t unstarted, Duration work)
{
    m_total += work;
    for (auto i = std::clamp<std::size_t>(unstarted, 1, MaxUnstarted); i <= MaxUnstarted; i += lowestBit(i)) {
        m_sums[i] += work;
    }
}

Duration WorkTotals::upTo(std::size_t unstarted) const
{
    Duration sum {};
    for (auto i = std::min(unstarted, MaxUnstarted); i > 0; i -= lowestBit(i)) {
        sum += m_sums[i];
    }
    return sum;
}

Duration WorkTotals::total() const
{
    return m_total;
}
} // namespace Anvilcart
