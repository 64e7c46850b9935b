#pragma once

#include "config/configuration.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Anvilcart
{
/// Names a team for the life of the process; an index is never given to another team.
using TeamIndex = std::uint32_t;

/// The tasks that each team runs from this host, and how many it may. Not thread-safe: the decision loop's.
class TeamTable
{
public:
    /// Computes this host's part of each team's quota anew. A team that is gone keeps its index and its part until its jobs end.
    void
    apply(const Configuration &configuration, const std::string &zone, const std::vector<std::string> &members, const std::string &self);

    /// The team with this name, or nothing.
    std::optional<TeamIndex> find(const std::string &name) const;

    /// A task of the team was started.
    void onStart(TeamIndex team);

    /// A started task of the team has ended. Precondition: onStart() was called for it.
    void onEnd(TeamIndex team);

    /// Tasks that run.
    std::uint32_t running(TeamIndex team) const;

    /// Tasks that may run at once.
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
