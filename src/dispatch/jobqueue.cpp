#include "dispatch/jobqueue.h"

#include <algorithm>

namespace Anvilcart
{
namespace
{
/// Ranks a job under each order; the lower rank starts first.
struct RankVisitor
{
    const JobRecord &job;

    std::uint64_t operator()(const FifoOrder &) const
    {
        return job.id;
    }

    std::uint64_t operator()(const FewestUnstartedFirstOrder &) const
    {
        return job.queued.size();
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

QueueOrder makeQueueOrder(QueueOrderKind kind)
{
    if (kind == QueueOrderKind::Fifo) {
        return FifoOrder();
    }
    return FewestUnstartedFirstOrder();
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
    const Entry entry {std::visit(RankVisitor {job}, m_order), job.id, job.queued.size(), job.queuedWork};
    m_entries.insert(entry);
    m_byId.emplace(job.id, entry);
    m_unstarted += entry.unstarted;
    m_work.add(entry.unstarted, entry.work);
}

void JobQueue::remove(JobId id)
{
    const auto found = m_byId.find(id);
    if (found == m_byId.end()) {
        return;
    }
    m_unstarted -= found->second.unstarted;
    m_work.add(found->second.unstarted, -found->second.work);
    m_entries.erase(found->second);
    m_byId.erase(found);
}

std::vector<JobId> JobQueue::inOrder() const
{
    std::vector<JobId> ids;
    ids.reserve(m_entries.size());
    for (const auto &entry : m_entries) {
        ids.push_back(entry.id);
    }
    return ids;
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

std::size_t JobQueue::smallestJob() const
{
    std::size_t smallest = 0;
    for (const auto &entry : m_entries) {
        smallest = smallest == 0 ? entry.unstarted : std::min(smallest, entry.unstarted);
    }
    return smallest;
}
} // namespace Anvilcart
