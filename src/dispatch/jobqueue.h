#pragma once

#include "config/configuration.h"
#include "dispatch/jobtable.h"

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

/// Jobs with the fewest unstarted tasks first; equal ones in order of arrival.
struct FewestUnstartedFirstOrder
{
};

using QueueOrder = std::variant<FifoOrder, FewestUnstartedFirstOrder>;

/// The order that the configuration names. Thread-safe.
QueueOrder makeQueueOrder(QueueOrderKind kind);

/// The jobs that have tasks to start, in the order of the policy. Not thread-safe: the decision loop's.
class JobQueue
{
public:
    /// Replaces the policy; jobs that wait are ordered anew by update().
    void setOrder(QueueOrder order);

    /// Puts the job where its unstarted tasks now place it, or takes it out when it has none.
    void update(const JobRecord &job);

    /// Takes the job out.
    void remove(JobId id);

    /// The jobs in order. The queue must not change while the result is iterated by reference.
    std::vector<JobId> inOrder() const;

    /// The number of unstarted tasks of all jobs.
    std::size_t unstartedTasks() const;

    /// The unstarted tasks of so many jobs at the front, in order.
    std::vector<std::uint32_t> frontJobSizes(std::size_t most) const;

    /// The fewest unstarted tasks of any waiting job; 0 when none waits.
    std::size_t smallestJob() const;

private:
    struct Entry
    {
        std::uint64_t rank;
        JobId id;
        std::size_t unstarted;

        bool operator<(const Entry &other) const
        {
            return rank != other.rank ? rank < other.rank : id < other.id;
        }
    };

    QueueOrder m_order = FewestUnstartedFirstOrder();
    std::set<Entry> m_entries;
    std::unordered_map<JobId, Entry> m_byId;
    std::size_t m_unstarted = 0;
};
} // namespace Anvilcart
