#pragma once

#include "config/configuration.h"
#include "dispatch/jobtable.h"
#include "dispatch/teamtable.h"
#include "dispatch/worktotals.h"

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

/// Jobs with the fewest unstarted tasks first; jobs with equal numbers in order of arrival. To prevent starvation of large jobs, a job
/// can be overtaken only by jobs that arrive at most `overtake` later for each unstarted task that it has more than they have.
struct FewestUnstartedFirstOrder
{
    Duration overtake {};
};

/// The number of unstarted tasks of a waiting job and its rank. Jobs of lower rank start first.
struct WaitingJob
{
    std::uint32_t unstarted = 0;
    TimePoint rank;

    bool operator==(const WaitingJob &) const = default;
};

using QueueOrder = std::variant<FifoOrder, FewestUnstartedFirstOrder>;

/// Creates the order selected by the policy. Thread-safe.
QueueOrder makeQueueOrder(const PolicySpec &policy);

/// The jobs that have tasks to start, in the order of the policy. Jobs of one team whose next tasks fit the same targets share a lane,
/// so that a full target or an exhausted quota is checked once per lane and not once per job. Not thread-safe: used only on the decision
/// loop.
class JobQueue
{
public:
    /// Precondition: the teams outlive the queue.
    explicit JobQueue(const TeamTable &teams);

    /// Sets the order. Waiting jobs keep their ranks until update() is called for them.
    void setOrder(QueueOrder order);

    /// Inserts the job according to its unstarted tasks, or removes it if it has none or waits for its claims. Logarithmic.
    void update(const JobRecord &job);

    /// Removes the job. Logarithmic.
    void remove(JobId id);

    /// Begins a round of starts and unblocks all lanes. Teams that run fairShare tasks or more come after teams that run fewer.
    void beginRound(std::uint32_t fairShare);

    /// The job whose task starts next in this round, or nothing. Linear in the number of lanes.
    std::optional<JobId> front() const;

    /// Skips the lane of this job for the rest of the round because no slot is free for the next tasks of its jobs.
    void blockLaneOf(JobId id);

    /// The total number of unstarted tasks.
    std::size_t unstartedTasks() const;

    /// The expected work of all unstarted tasks.
    Duration work() const;

    /// The expected work that would start before a job that arrives now with this number of tasks.
    Duration workAhead(std::size_t tasks) const;

    /// The part of workAhead() that belongs to the team.
    Duration workAhead(std::size_t tasks, TeamIndex team) const;

    /// The next jobs in order, at most maxCount of them. Jobs of teams at their limit are left out.
    std::vector<WaitingJob> frontJobs(std::size_t maxCount) const;

    /// The smallest number of unstarted tasks of a waiting job whose team has quota left; 0 if there is none.
    std::size_t smallestJob() const;

    /// The teams that have waiting jobs.
    std::set<TeamIndex> teams() const;

private:
    struct Entry
    {
        TimePoint rank;
        JobId id = 0;

        bool operator<(const Entry &other) const
        {
            return rank != other.rank ? rank < other.rank : id < other.id;
        }
    };

    struct LaneKey
    {
        TeamIndex team = 0;
        TargetMask targetMask = 0;

        bool operator<(const LaneKey &other) const
        {
            return team != other.team ? team < other.team : targetMask < other.targetMask;
        }
    };

    struct Lane
    {
        std::set<Entry> entries;
        std::uint64_t blockedInRound = 0;
    };

    /// The position of a job in the queue and the values that it adds to the totals.
    struct Position
    {
        LaneKey lane;
        Entry entry;
        std::size_t unstarted = 0;
        Duration work {};
    };

    void addToTotals(const Position &position, Duration work);

    bool isAtLimit(TeamIndex team) const;

    const TeamTable &m_teams;
    QueueOrder m_order = FewestUnstartedFirstOrder();
    std::map<LaneKey, Lane> m_lanes;
    std::unordered_map<JobId, Position> m_positions;
    std::map<TeamIndex, std::map<std::size_t, std::size_t>> m_jobsBySize;
    std::size_t m_unstarted = 0;
    WorkTotals m_work;
    std::unordered_map<TeamIndex, WorkTotals> m_workByTeam;
    std::uint64_t m_round = 1;
    std::uint32_t m_fairShare = 0;
};
} // namespace Anvilcart
