#include "dispatch/jobqueue.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace Anvilcart
{
namespace
{
/// Computes the rank of a job for each order; jobs of lower rank start first.
struct RankVisitor
{
    const JobRecord &job;

    TimePoint operator()(const FifoOrder &) const
    {
        return job.arrivedAt;
    }

    TimePoint operator()(const FewestUnstartedFirstOrder &order) const
    {
        return job.arrivedAt + order.overtake * job.queued.size();
    }
};

/// Sums the work ahead of a new job for each order.
struct WorkAheadVisitor
{
    const WorkTotals &work;
    std::size_t tasks;

    Duration operator()(const FifoOrder &) const
    {
        return work.total();
    }

    Duration operator()(const FewestUnstartedFirstOrder &) const
    {
        return work.upTo(tasks);
    }
};
} // namespace

QueueOrder makeQueueOrder(const PolicySpec &policy)
{
    if (policy.queueOrder == QueueOrderKind::Fifo) {
        return FifoOrder();
    }
    return FewestUnstartedFirstOrder {policy.overtake};
}

JobQueue::JobQueue(const TeamTable &teams)
    : m_teams(teams)
{
}

void JobQueue::setOrder(QueueOrder order)
{
    m_order = order;
}

void JobQueue::update(const JobRecord &job)
{
    remove(job.id);
    if (job.queued.empty() || job.awaitsClaims) {
        return;
    }
    Position position;
    position.lane = {job.team, job.tasks[job.queued.back()].targetMask};
    position.entry = {std::visit(RankVisitor {job}, m_order), job.id};
    position.unstarted = job.queued.size();
    position.work = job.queuedWork;
    m_lanes[position.lane].entries.insert(position.entry);
    m_unstarted += position.unstarted;
    ++m_jobsBySize[position.lane.team][position.unstarted];
    addToTotals(position, position.work);
    m_positions.emplace(job.id, position);
}

void JobQueue::remove(JobId id)
{
    const auto found = m_positions.find(id);
    if (found == m_positions.end()) {
        return;
    }
    const auto &position = found->second;
    m_lanes[position.lane].entries.erase(position.entry);
    m_unstarted -= position.unstarted;
    auto &jobsBySize = m_jobsBySize[position.lane.team];
    const auto size = jobsBySize.find(position.unstarted);
    if (--size->second == 0) {
        jobsBySize.erase(size);
    }
    addToTotals(position, -position.work);
    m_positions.erase(found);
}

void JobQueue::beginRound(std::uint32_t fairShare)
{
    ++m_round;
    m_fairShare = fairShare;
    std::erase_if(m_lanes, [](const auto &lane) {
        return lane.second.entries.empty();
    });
}

std::optional<JobId> JobQueue::front() const
{
    using Key = std::tuple<bool, TimePoint, std::uint32_t, JobId>;
    std::optional<Key> best;
    for (const auto &[key, lane] : m_lanes) {
        const auto running = m_teams.running(key.team);
        if (lane.entries.empty() || lane.blockedInRound == m_round || isAtLimit(key.team)) {
            continue;
        }
        const auto &first = *lane.entries.begin();
        const Key candidate(running >= m_fairShare, first.rank, running, first.id);
        if (!best || candidate < *best) {
            best = candidate;
        }
    }
    return best ? std::optional(std::get<JobId>(*best)) : std::nullopt;
}

void JobQueue::blockLaneOf(JobId id)
{
    m_lanes[m_positions.at(id).lane].blockedInRound = m_round;
}

std::size_t JobQueue::unstartedTasks() const
{
    return m_unstarted;
}

Duration JobQueue::work() const
{
    return m_work.total();
}

Duration JobQueue::workAhead(std::size_t tasks) const
{
    return std::visit(WorkAheadVisitor {m_work, tasks}, m_order);
}

Duration JobQueue::workAhead(std::size_t tasks, TeamIndex team) const
{
    const auto found = m_workByTeam.find(team);
    return found != m_workByTeam.end() ? std::visit(WorkAheadVisitor {found->second, tasks}, m_order) : Duration::zero();
}

std::vector<WaitingJob> JobQueue::frontJobs(std::size_t maxCount) const
{
    std::vector<Entry> entries;
    for (const auto &[key, lane] : m_lanes) {
        if (isAtLimit(key.team)) {
            continue;
        }
        std::copy_n(lane.entries.begin(), std::min(maxCount, lane.entries.size()), std::back_inserter(entries));
    }
    std::sort(entries.begin(), entries.end());
    entries.resize(std::min(maxCount, entries.size()));
    std::vector<WaitingJob> jobs;
    for (const auto &entry : entries) {
        jobs.push_back({static_cast<std::uint32_t>(m_positions.at(entry.id).unstarted), entry.rank});
    }
    return jobs;
}

std::size_t JobQueue::smallestJob() const
{
    std::size_t smallest = 0;
    for (const auto &[team, jobsBySize] : m_jobsBySize) {
        if (jobsBySize.empty() || isAtLimit(team)) {
            continue;
        }
        const auto size = jobsBySize.begin()->first;
        smallest = smallest == 0 ? size : std::min(smallest, size);
    }
    return smallest;
}

std::set<TeamIndex> JobQueue::teams() const
{
    std::set<TeamIndex> teams;
    for (const auto &[key, lane] : m_lanes) {
        if (!lane.entries.empty()) {
            teams.insert(key.team);
        }
    }
    return teams;
}

bool JobQueue::isAtLimit(TeamIndex team) const
{
    return m_teams.running(team) >= m_teams.limit(team);
}

void JobQueue::addToTotals(const Position &position, Duration work)
{
    m_work.add(position.unstarted, work);
    m_workByTeam[position.lane.team].add(position.unstarted, work);
}
} // namespace Anvilcart
