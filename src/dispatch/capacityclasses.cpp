#include "dispatch/capacityclasses.h"

#include <algorithm>

namespace Anvilcart
{
namespace
{
/// Any distinct capacities beyond this number share the last bit.
constexpr std::size_t MaskBits = 64;
} // namespace

void CapacityClasses::apply(const std::vector<TargetSpec> &targets, const std::string &zone)
{
    m_capacities.clear();
    for (const auto &target : targets) {
        const bool known = std::find(m_capacities.begin(), m_capacities.end(), target.capacity) != m_capacities.end();
        if (target.zone == zone && !known) {
            m_capacities.push_back(target.capacity);
        }
    }
}

TargetMask CapacityClasses::maskOf(const TaskSize &size) const
{
    TargetMask mask = 0;
    for (std::size_t i = 0; i < m_capacities.size(); ++i) {
        if (fits(size, m_capacities[i])) {
            mask |= TargetMask(1) << std::min(i, MaskBits - 1);
        }
    }
    return mask;
}

bool fits(const TaskSize &size, const TaskSize &capacity)
{
    return size.cpus <= capacity.cpus && size.memoryMb <= capacity.memoryMb && size.accelerators <= capacity.accelerators;
}
} // namespace Anvilcart
