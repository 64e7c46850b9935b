#include "emulator/queuereplay.h"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <set>
#include <utility>

namespace Anvilcart::Emulation
{
namespace
{
/// Room for one task.
struct Slot
{
    std::size_t target = 0;
    Duration freeAt {0};
};

double workOf(const SubmittedJob &job)
{
    return toMilliseconds(std::accumulate(job.taskRunTimes.begin(), job.taskRunTimes.end(), Duration(0)));
}

/// What became of an attempt to serve a job.
enum class Booking {
    Booked,
    /// It would be in time, but start nothing now.
    Deferred,
    /// It can no longer be in time.
    Infeasible,
};

class Replay
{
public:
    Replay(const ReplayCapacity &capacity, ReplayOrder order)
        : m_capacity(capacity)
        , m_order(order)
    {
        for (std::size_t target = 0; target < capacity.targets; ++target) {
            m_slots.insert(m_slots.end(), capacity.tasksPerTarget, Slot {target, Duration(0)});
        }
    }

    void onArrival(const SubmittedJob &job)
    {
        serveUntil(job.submittedAt);
        m_waiting[job.route].push_back(&job);
        ++m_results[job.route].submitted;
        serve(job.submittedAt);
    }

    std::map<std::string, JobKindResult> finish()
    {
        serveUntil(Duration::max());
        return std::move(m_results);
    }

private:
    /// The first time after this one at which a slot becomes free.
    Duration nextFreeAfter(Duration time) const
    {
        auto next = Duration::max();
        for (const auto &slot : m_slots) {
            if (slot.freeAt > time) {
                next = std::min(next, slot.freeAt);
            }
        }
        return next;
    }

    /// Serves waiting jobs as slots become free, up to this time.
    void serveUntil(Duration end)
    {
        for (auto now = nextFreeAfter(m_servedAt); now < end; now = nextFreeAfter(now)) {
            serve(now);
        }
    }

    void serve(Duration now)
    {
        m_servedAt = now;
        // Kinds whose next job would start nothing now.
        std::set<std::string> deferred;
        while (auto *kind = nextKind(deferred)) {
            auto &jobs = kind->second;
            const auto position = nextIn(jobs);
            const auto *job = *position;
            auto &result = m_results[job->route];
            switch (book(*job, now)) {
            case Booking::Deferred:
                deferred.insert(job->route);
                continue;
            case Booking::Infeasible:
                ++result.refused;
                result.timeToRefusal += now - job->submittedAt;
                break;
            case Booking::Booked:
                ++result.inObjective;
                m_virtualTime = std::max(m_virtualTime, m_finishTags[job->route]);
                m_finishTags[job->route] = m_virtualTime + workOf(*job);
                break;
            }
            jobs.erase(position);
        }
    }

    using Kind = std::pair<const std::string, std::vector<const SubmittedJob *>>;

    Kind *nextKind(const std::set<std::string> &deferred)
    {
        Kind *best = nullptr;
        for (auto &kind : m_waiting) {
            if (!kind.second.empty() && !deferred.contains(kind.first) && (best == nullptr || costOf(kind) < costOf(*best))) {
                best = &kind;
            }
        }
        return best;
    }

    std::vector<const SubmittedJob *>::iterator nextIn(std::vector<const SubmittedJob *> &jobs) const
    {
        if (m_order == ReplayOrder::LeastWork) {
            return leastWork(jobs);
        }
        return m_order == ReplayOrder::FairSharesNewestFirst ? std::prev(jobs.end()) : jobs.begin();
    }

    double costOf(Kind &kind)
    {
        switch (m_order) {
        case ReplayOrder::LeastWork:
            return workOf(**leastWork(kind.second));
        case ReplayOrder::EarliestObjective:
            return toMilliseconds(kind.second.front()->submittedAt + kind.second.front()->objective - kind.second.front()->runTime);
        case ReplayOrder::FairShares:
        case ReplayOrder::FairSharesNewestFirst:
            break;
        }
        return std::max(m_virtualTime, m_finishTags[kind.first]);
    }

    static std::vector<const SubmittedJob *>::iterator leastWork(std::vector<const SubmittedJob *> &jobs)
    {
        return std::min_element(jobs.begin(), jobs.end(), [](const SubmittedJob *left, const SubmittedJob *right) {
            return workOf(*left) < workOf(*right);
        });
    }

    Duration endOn(const Slot &slot, Duration runTime, Duration now) const
    {
        const auto start = std::max(slot.freeAt, now);
        const auto &overload = m_capacity.overload;
        const bool isSlow = slot.target < overload.slowTargets && start >= overload.at && start < overload.at + overload.length;
        return start + std::chrono::duration_cast<Duration>(runTime * (isSlow ? overload.slowFactor : 1));
    }

    /// Books the slots for all tasks of the job, each where it ends first, if the job is then in time and a task of it starts now.
    Booking book(const SubmittedJob &job, Duration now)
    {
        const auto before = m_slots;
        auto runTimes = job.taskRunTimes;
        std::sort(runTimes.rbegin(), runTimes.rend());
        bool startsNow = false;
        for (const auto runTime : runTimes) {
            const auto slot = std::min_element(m_slots.begin(), m_slots.end(), [&](const Slot &left, const Slot &right) {
                return endOn(left, runTime, now) < endOn(right, runTime, now);
            });
            const auto end = endOn(*slot, runTime, now);
            if (end > job.submittedAt + job.objective) {
                m_slots = before;
                return Booking::Infeasible;
            }
            startsNow = startsNow || slot->freeAt <= now;
            slot->freeAt = end;
        }
        if (!startsNow) {
            m_slots = before;
        }
        return startsNow ? Booking::Booked : Booking::Deferred;
    }

    ReplayCapacity m_capacity;
    ReplayOrder m_order;
    std::vector<Slot> m_slots;
    /// By kind, in the order of arrival.
    std::map<std::string, std::vector<const SubmittedJob *>> m_waiting;
    std::map<std::string, double> m_finishTags;
    double m_virtualTime = 0;
    Duration m_servedAt {-1};
    std::map<std::string, JobKindResult> m_results;
};
} // namespace

std::map<std::string, JobKindResult>
replayWithFullKnowledge(const std::vector<SubmittedJob> &jobs, const ReplayCapacity &capacity, ReplayOrder order)
{
    Replay replay(capacity, order);
    for (const auto &job : jobs) {
        replay.onArrival(job);
    }
    return replay.finish();
}
} // namespace Anvilcart::Emulation
