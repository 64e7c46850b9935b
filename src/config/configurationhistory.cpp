#include "config/configurationhistory.h"

namespace Anvilcart
{
RecordVerdict ConfigurationHistory::apply(const ConfigurationRecord &record)
{
    if (m_current && record.version == m_current->version && record.id == m_current->id) {
        return RecordVerdict::CarriedForward;
    }
    // A reader that starts after older records have expired takes the first record that it finds as its base.
    const bool isBase = !m_current.has_value();
    const bool followsCurrent = record.parent == version() && record.version == record.parent + 1;
    if (!isBase && !followsCurrent) {
        return RecordVerdict::LostRace;
    }
    m_current = record;
    return RecordVerdict::Accepted;
}

const std::optional<ConfigurationRecord> &ConfigurationHistory::current() const
{
    return m_current;
}

std::uint64_t ConfigurationHistory::version() const
{
    return m_current ? m_current->version : 0;
}
} // namespace Anvilcart
