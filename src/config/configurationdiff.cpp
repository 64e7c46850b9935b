#include "config/configurationdiff.h"

#include "config/policynames.h"

#include <algorithm>
#include <map>
#include <set>
#include <sstream>

namespace Anvilcart
{
namespace
{
using TargetsByName = std::map<std::string, TargetSpec>;

/// Collects "name: before -> after" lines.
class ChangeList
{
public:
    template<typename Value>
    void compare(const std::string &name, const Value &before, const Value &after)
    {
        if (before != after) {
            std::ostringstream line;
            line << name << ": " << before << " -> " << after;
            m_lines.push_back(line.str());
        }
    }

    void add(std::string line)
    {
        m_lines.push_back(std::move(line));
    }

    std::vector<std::string> lines() const
    {
        return m_lines;
    }

private:
    std::vector<std::string> m_lines;
};

TargetsByName targetsOf(const Configuration &configuration, const std::string &zone)
{
    TargetsByName targets;
    for (const auto &target : configuration.targets) {
        if (target.zone == zone) {
            targets[target.name] = target;
        }
    }
    return targets;
}

std::set<std::string> zonesOf(const Configuration &before, const Configuration &after)
{
    std::set<std::string> zones;
    for (const auto *configuration : {&before, &after}) {
        for (const auto &target : configuration->targets) {
            zones.insert(target.zone);
        }
    }
    return zones;
}

std::map<std::string, std::uint32_t> quotasOf(const Configuration &configuration)
{
    std::map<std::string, std::uint32_t> quotas;
    for (const auto &team : configuration.teams) {
        quotas[team.name] = team.maxRunningTasks;
    }
    return quotas;
}

std::uint64_t slotsOf(const TargetsByName &targets)
{
    std::uint64_t slots = 0;
    for (const auto &[name, target] : targets) {
        slots += target.slots;
    }
    return slots;
}

void compareTarget(const TargetSpec &before, const TargetSpec &after, ChangeList &changes)
{
    const auto prefix = "target " + after.name + " ";
    changes.compare(prefix + "address", toString(before.endpoint), toString(after.endpoint));
    changes.compare(prefix + "rack", before.rack, after.rack);
    changes.compare(prefix + "slots", before.slots, after.slots);
    changes.compare(prefix + "connections", before.connections, after.connections);
    changes.compare(prefix + "cpus", before.capacity.cpus, after.capacity.cpus);
    changes.compare(prefix + "memory_mb", before.capacity.memoryMb, after.capacity.memoryMb);
    changes.compare(prefix + "accelerators", before.capacity.accelerators, after.capacity.accelerators);
}

void compareTargets(const TargetsByName &before, const TargetsByName &after, ChangeList &changes)
{
    changes.compare("targets", before.size(), after.size());
    changes.compare("slots", slotsOf(before), slotsOf(after));
    for (const auto &[name, target] : before) {
        if (!after.contains(name)) {
            changes.add("target " + name + " removed");
        }
    }
    for (const auto &[name, target] : after) {
        const auto found = before.find(name);
        if (found == before.end()) {
            changes.add("target " + name + " added");
        } else {
            compareTarget(found->second, target, changes);
        }
    }
}

void compareTeams(const Configuration &before, const Configuration &after, ChangeList &changes)
{
    const auto quotasBefore = quotasOf(before);
    const auto quotasAfter = quotasOf(after);
    for (const auto &[team, quota] : quotasBefore) {
        if (!quotasAfter.contains(team)) {
            changes.add("team " + team + " removed");
        }
    }
    for (const auto &[team, quota] : quotasAfter) {
        const auto found = quotasBefore.find(team);
        if (found == quotasBefore.end()) {
            changes.add("team " + team + " added");
        } else {
            changes.compare("team " + team + " max_running_tasks", found->second, quota);
        }
    }
}

void compareHealth(const HealthSpec &before, const HealthSpec &after, ChangeList &changes)
{
    changes.compare("health.max_ejected_percent", before.maxEjectedPercent, after.maxEjectedPercent);
    changes.compare("health.eject_at_failure_percent", before.ejectAtFailurePercent, after.ejectAtFailurePercent);
    changes.compare("health.first_ejection_ms", before.firstEjection.count(), after.firstEjection.count());
    changes.compare("health.longest_ejection_ms", before.longestEjection.count(), after.longestEjection.count());
    changes.compare("health.stall_limit_ms", before.stallLimit.count(), after.stallLimit.count());
}

std::uint32_t entryHostsOf(const Configuration &configuration, const std::string &zone)
{
    for (const auto &spec : configuration.zones) {
        if (spec.name == zone) {
            return spec.entryHosts;
        }
    }
    return 0;
}

std::vector<std::string> commonLines(const Configuration &before, const Configuration &after)
{
    ChangeList changes;
    changes.compare("limits.max_tasks_per_job", before.limits.maxTasksPerJob, after.limits.maxTasksPerJob);
    changes.compare("limits.max_queued_tasks", before.limits.maxQueuedTasks, after.limits.maxQueuedTasks);
    changes.compare("limits.default_deadline_ms", before.limits.defaultDeadline.count(), after.limits.defaultDeadline.count());
    changes.compare("limits.max_deadline_ms", before.limits.maxDeadline.count(), after.limits.maxDeadline.count());
    changes.compare("limits.max_key_expiry_s", before.limits.maxKeyExpiry.count(), after.limits.maxKeyExpiry.count());
    changes.compare("policy.queue_order", toName(before.policy.queueOrder), toName(after.policy.queueOrder));
    changes.compare("policy.slot_sharing", toName(before.policy.slotSharing), toName(after.policy.slotSharing));
    changes.compare("policy.overtake_ms", before.policy.overtake.count(), after.policy.overtake.count());
    compareHealth(before.health, after.health, changes);
    changes.compare("retries.max_attempts", before.retries.maxAttempts, after.retries.maxAttempts);
    changes.compare("retries.budget_percent", before.retries.budgetPercent, after.retries.budgetPercent);
    changes.compare("retries.budget_burst", before.retries.budgetBurst, after.retries.budgetBurst);
    compareTeams(before, after, changes);
    return changes.lines();
}

std::vector<std::string> splitLines(const std::string &text)
{
    std::vector<std::string> lines;
    std::istringstream stream(text);
    for (std::string line; std::getline(stream, line);) {
        lines.push_back(line);
    }
    return lines;
}
} // namespace

std::vector<ZoneChanges> describeChanges(const Configuration &before, const Configuration &after)
{
    std::vector<ZoneChanges> changes = {{"", commonLines(before, after)}};
    for (const auto &zone : zonesOf(before, after)) {
        ChangeList zoneChanges;
        zoneChanges.compare("entry_hosts", entryHostsOf(before, zone), entryHostsOf(after, zone));
        compareTargets(targetsOf(before, zone), targetsOf(after, zone), zoneChanges);
        changes.push_back({zone, zoneChanges.lines()});
    }
    std::erase_if(changes, [](const ZoneChanges &zone) {
        return zone.lines.empty();
    });
    return changes;
}

std::vector<std::string> stoppingChanges(const Configuration &before, const Configuration &after)
{
    std::vector<std::string> reasons;
    if (after.targets.empty()) {
        reasons.emplace_back("no availability zone has any target");
    }
    for (const auto &zone : zonesOf(before, Configuration())) {
        const auto slotsBefore = slotsOf(targetsOf(before, zone));
        const auto slotsAfter = slotsOf(targetsOf(after, zone));
        if (slotsAfter == 0) {
            reasons.push_back("availability zone " + zone + " loses all its targets");
        } else if (slotsAfter * 2 < slotsBefore) {
            reasons.push_back("availability zone " + zone + " loses more than half of its slots (" + std::to_string(slotsBefore) + " -> "
                              + std::to_string(slotsAfter) + ")");
        }
    }
    const auto quotasAfter = quotasOf(after);
    for (const auto &[team, quota] : quotasOf(before)) {
        if (!quotasAfter.contains(team)) {
            reasons.push_back("team " + team + " is removed: its jobs will be refused");
        }
    }
    return reasons;
}

std::vector<std::string> changedLines(const std::string &before, const std::string &after)
{
    const auto left = splitLines(before);
    const auto right = splitLines(after);
    // common[i][j]: the length of the longest common run of lines of left from i and right from j.
    std::vector<std::vector<std::size_t>> common(left.size() + 1, std::vector<std::size_t>(right.size() + 1, 0));
    for (std::size_t i = left.size(); i-- > 0;) {
        for (std::size_t j = right.size(); j-- > 0;) {
            common[i][j] = left[i] == right[j] ? common[i + 1][j + 1] + 1 : std::max(common[i + 1][j], common[i][j + 1]);
        }
    }
    std::vector<std::string> lines;
    std::size_t i = 0;
    std::size_t j = 0;
    while (i < left.size() || j < right.size()) {
        if (i < left.size() && j < right.size() && left[i] == right[j]) {
            ++i;
            ++j;
        } else if (j == right.size() || (i < left.size() && common[i + 1][j] >= common[i][j + 1])) {
            lines.push_back("- " + left[i++]);
        } else {
            lines.push_back("+ " + right[j++]);
        }
    }
    return lines;
}
} // namespace Anvilcart
