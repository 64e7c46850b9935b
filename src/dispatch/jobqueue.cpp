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
    const Entry entry {std::visit(RankVisitor {job}, m_order), job.id, job.queued.size()};
    m_entries.insert(entry);
    m_byId.emplace(job.id, entry);
    m_unstarted += entry.unstarted;
}

void JobQueue::remove(JobId id)
{
    const auto found = m_byId.find(id);
    if (found == m_byId.end()) {
        return;
    }
    m_unstarted -= found->second.unstarted;
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

std::vector<std::uint32_t> JobQueue::frontJobSizes(std::size_t most) const
{
    std::vector<std::uint32_t> sizes;
    for (const auto &entry : m_entries) {
        if (sizes.size() == most) {
            break;
        }
        sizes.push_back(static_cast<std::uint32_t>(entry.unstarted));
    }
    return sizes;
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
