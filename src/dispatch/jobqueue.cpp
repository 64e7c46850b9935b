#include "dispatch/jobqueue.h"

#include <tuple>

namespace Anvilcart
{
namespace
{
/// Ranks a job under each order; the lower rank starts first.
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

/// Sums the work that goes before a new job under each order.
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

void JobQueue::setOrder(QueueOrder order)
{
    m_order = order;
}

void JobQueue::update(const JobRecord &job)
{
    remove(job.id);
    if (job.queued.empty()) {
        return;
    }
    Place place;
    place.lane = {job.team, job.tasks[job.queued.back()].targets};
    place.entry = {std::visit(RankVisitor {job}, m_order), job.id};
    place.unstarted = job.queued.size();
    place.work = job.queuedWork;
    m_lanes[place.lane].entries.insert(place.entry);
    m_unstarted += place.unstarted;
    ++m_jobsBySize[place.unstarted];
    addToTotals(place, place.work);
    m_places.emplace(job.id, place);
}

void JobQueue::remove(JobId id)
{
    const auto found = m_places.find(id);
    if (found == m_places.end()) {
        return;
    }
    const auto &place = found->second;
    m_lanes[place.lane].entries.erase(place.entry);
    m_unstarted -= place.unstarted;
    const auto size = m_jobsBySize.find(place.unstarted);
    if (--size->second == 0) {
        m_jobsBySize.erase(size);
    }
    addToTotals(place, -place.work);
    m_places.erase(found);
}

void JobQueue::beginRound(std::uint32_t fairShare)
{
    ++m_round;
    m_fairShare = fairShare;
    std::erase_if(m_lanes, [](const auto &lane) {
        return lane.second.entries.empty();
    });
}

std::optional<JobId> JobQueue::front(const TeamTable &teams) const
{
    using Key = std::tuple<bool, TimePoint, std::uint32_t, JobId>;
    std::optional<Key> best;
    for (const auto &[key, lane] : m_lanes) {
        const auto running = teams.running(key.team);
        if (lane.entries.empty() || lane.blockedInRound == m_round || running >= teams.limit(key.team)) {
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

void JobQueue::block(JobId id)
{
    m_lanes[m_places.at(id).lane].blockedInRound = m_round;
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

std::vector<std::uint32_t> JobQueue::smallestJobs(std::size_t most) const
{
    std::vector<std::uint32_t> sizes;
    for (const auto &[size, jobs] : m_jobsBySize) {
        const auto count = std::min(jobs, most - sizes.size());
        sizes.insert(sizes.end(), count, static_cast<std::uint32_t>(size));
    }
    return sizes;
}

std::size_t JobQueue::smallestJob() const
{
    return m_jobsBySize.empty() ? 0 : m_jobsBySize.begin()->first;
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

void JobQueue::addToTotals(const Place &place, Duration work)
{
    m_work.add(place.unstarted, work);
    m_workByTeam[place.lane.team].add(place.unstarted, work);
}
} // namespace Anvilcart
