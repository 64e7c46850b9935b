#pragma once

#include "config/configuration.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Anvilcart
{
/// Identifies a team for the lifetime of the process; an index is never reused.
using TeamIndex = std::uint32_t;

/// The number of tasks that each team runs from this host, and its limit. Not thread-safe: used only on the decision loop.
class TeamTable
{
public:
    /// Recomputes this host's part of each team's quota. A removed team keeps its index and its limit.
    void
    apply(const Configuration &configuration, const std::string &zone, const std::vector<std::string> &members, const std::string &self);

    /// The team with this name, or nothing.
    std::optional<TeamIndex> find(const std::string &name) const;

    /// A task of the team was started.
    void onStart(TeamIndex team);

    /// A started task of the team has ended. Precondition: onStart() was called for it.
    void onEnd(TeamIndex team);

    /// The number of running tasks of the team.
    std::uint32_t running(TeamIndex team) const;

    /// The maximum number of concurrently running tasks of the team.
    std::uint32_t limit(TeamIndex team) const;

private:
    struct Team
    {
        std::uint32_t running = 0;
        std::uint32_t limit = 0;
    };

    std::vector<Team> m_teams;
    std::unordered_map<std::string, TeamIndex> m_byName;
};
} // namespace Anvilcart
