#include "fleet/knownendpoints.h"

#include <algorithm>

namespace Anvilcart::Fleet
{
namespace
{
/// A live host connects within a second. Longer than callers wait, like the silence after which a lost host ceases to count.
constexpr Seconds ExplorationTime {20};
/// Peers name the endpoints that they know every 6.4 s in a small fleet, and every 19 s between hosts that do not dispatch. A record that
/// is kept longer takes memory only.
constexpr std::chrono::minutes RecordRetention {5};
} // namespace

void KnownEndpoints::onNamed(const std::string &endpoint, TimePoint now)
{
    m_records.try_emplace(endpoint, Record {now, now, false}).first->second.lastNamedAt = now;
}

void KnownEndpoints::onListReceived(const std::string &endpoint, TimePoint now)
{
    onNamed(endpoint, now);
    m_records.at(endpoint).hasSentList = true;
}

void KnownEndpoints::onPause(Duration pause, TimePoint now)
{
    for (auto &[endpoint, record] : m_records) {
        record.firstNamedAt = std::min(record.firstNamedAt + pause, now);
    }
}

bool KnownEndpoints::isUnexplored(const std::string &endpoint, TimePoint now) const
{
    const auto found = m_records.find(endpoint);
    return found != m_records.end() && !found->second.hasSentList && now - found->second.firstNamedAt < ExplorationTime;
}

void KnownEndpoints::remove(const std::string &endpoint)
{
    m_records.erase(endpoint);
}

void KnownEndpoints::removeOld(TimePoint now)
{
    std::erase_if(m_records, [now](const auto &entry) {
        return now - entry.second.lastNamedAt > RecordRetention;
    });
}
} // namespace Anvilcart::Fleet
