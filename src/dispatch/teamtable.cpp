#include "dispatch/teamtable.h"

#include "dispatch/teamquota.h"

#include <algorithm>

namespace Anvilcart
{
namespace
{
std::uint32_t entryHostsOf(const Configuration &configuration, const std::string &zone)
{
    const auto found = std::find_if(configuration.zones.begin(), configuration.zones.end(), [&](const ZoneSpec &spec) {
        return spec.name == zone;
    });
    return found != configuration.zones.end() ? found->entryHosts : 0;
}
} // namespace

void TeamTable::apply(const Configuration &configuration,
                      const std::string &zone,
                      const std::vector<std::string> &members,
                      const std::string &self)
{
    const auto entryHosts = entryHostsOf(configuration, zone);
    for (const auto &spec : configuration.teams) {
        const auto [found, inserted] = m_byName.emplace(spec.name, static_cast<TeamIndex>(m_teams.size()));
        if (inserted) {
            m_teams.emplace_back();
        }
        const auto quota = zoneQuota(spec.maxRunningTasks, configuration, zone);
        m_teams[found->second].limit = hostQuota(quota, entryHosts, members, self);
    }
}

std::optional<TeamIndex> TeamTable::find(const std::string &name) const
{
    const auto found = m_byName.find(name);
    return found != m_byName.end() ? std::optional(found->second) : std::nullopt;
}

void TeamTable::onStart(TeamIndex team)
{
    ++m_teams[team].running;
}

void TeamTable::onEnd(TeamIndex team)
{
    --m_teams[team].running;
}

std::uint32_t TeamTable::running(TeamIndex team) const
{
    return m_teams[team].running;
}

std::uint32_t TeamTable::limit(TeamIndex team) const
{
    return m_teams[team].limit;
}
} // namespace Anvilcart
