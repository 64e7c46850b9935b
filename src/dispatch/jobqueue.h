#pragma once

#include "config/configuration.h"
#include "dispatch/jobtable.h"
#include "dispatch/teamtable.h"
#include "dispatch/worktotals.h"

#include <compare>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <variant>
#include <vector>

namespace Anvilcart
{
/// Jobs in order of arrival.
struct FifoOrder
{
};

/// Jobs with the fewest unstarted tasks first; equal ones in order of arrival. So that large jobs do not starve, a job is overtaken only
/// by jobs that come at most `overtake` later for each unstarted task that it has more.
struct FewestUnstartedFirstOrder
{
    Duration overtake {};
};

using QueueOrder = std::variant<FifoOrder, FewestUnstartedFirstOrder>;

/// The order that the configuration names. Thread-safe.
QueueOrder makeQueueOrder(const PolicySpec &policy);

/// The jobs that have tasks to start, in the order of the policy. Jobs of one team whose next tasks fit the same targets wait in one lane,
/// so that a full target or a spent quota is met once a lane and not once a job. Not thread-safe: the decision loop's.
class JobQueue
{
public:
    /// Replaces the policy; jobs that wait are ordered anew by update().
    void setOrder(QueueOrder order);

    /// Puts the job where its unstarted tasks now place it, or takes it out when it has none. Logarithmic.
    void update(const JobRecord &job);

    /// Takes the job out. Logarithmic.
    void remove(JobId id);

    /// Begins a round of starts: no lane is blocked. A team that runs fairShare tasks or more goes after those that run fewer.
    void beginRound(std::uint32_t fairShare);

    /// The job whose task starts next in this round, or nothing. Linear in the number of lanes.
    std::optional<JobId> front(const TeamTable &teams) const;

    /// Passes over all jobs of this job's lane for the rest of the round: none of their next tasks has a slot now.
    void block(JobId id);

    /// The number of unstarted tasks of all jobs.
    std::size_t unstartedTasks() const;

    /// The expected work of all unstarted tasks.
    Duration work() const;

    /// The expected work that would start before a job that comes now with so many tasks.
    Duration workAhead(std::size_t tasks) const;

    /// The part of workAhead() that is the team's own.
    Duration workAhead(std::size_t tasks, TeamIndex team) const;

    /// The unstarted tasks of each of the smallest waiting jobs, at most so many, in ascending order.
    std::vector<std::uint32_t> smallestJobs(std::size_t most) const;

    /// The fewest unstarted tasks of any waiting job; 0 when none waits.
    std::size_t smallestJob() const;

    /// The teams that have a job waiting.
    std::set<TeamIndex> teams() const;

private:
    struct Entry
    {
        TimePoint rank;
        JobId id = 0;

        auto operator<=>(const Entry &) const = default;
    };

    struct LaneKey
    {
        TeamIndex team = 0;
        TargetMask targets = 0;

        auto operator<=>(const LaneKey &) const = default;
    };

    struct Lane
    {
        std::set<Entry> entries;
        std::uint64_t blockedInRound = 0;
    };

    /// Where a job waits, and what it was counted with.
    struct Place
    {
        LaneKey lane;
        Entry entry;
        std::size_t unstarted = 0;
        Duration work {};
    };

    void addToTotals(const Place &place, Duration work);

    QueueOrder m_order = FewestUnstartedFirstOrder();
    std::map<LaneKey, Lane> m_lanes;
    std::unordered_map<JobId, Place> m_places;
    std::map<std::size_t, std::size_t> m_jobsBySize;
    std::size_t m_unstarted = 0;
    WorkTotals m_work;
    std::unordered_map<TeamIndex, WorkTotals> m_workByTeam;
    std::uint64_t m_round = 1;
    std::uint32_t m_fairShare = 0;
};
} // namespace Anvilcart
