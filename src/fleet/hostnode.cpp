#include "fleet/hostnode.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

// Callers' jobs on their entry host. Other hosts are in hostnodepeers.cpp, pools in hostnodepools.cpp.
namespace Anvilcart::Fleet
{
namespace
{
/// A dispatcher in another zone is preferred only when a job is expected to start that much sooner there.
constexpr Milliseconds ZonePreference {30};
/// Added to the wait that a dispatcher without free room tells.
constexpr Milliseconds NoRoomPenalty {10};
/// A job without dispatcher is tried again that often.
constexpr Milliseconds PlacePeriod {20};
/// A job for which no dispatcher is found is refused after this time: a takeover, or the first claim after a start, takes less.
constexpr Milliseconds FindDispatcherLimit {700};
/// A job that came back from a lost dispatcher waits so long for the host that takes its pools over.
constexpr Milliseconds FindHeirLimit {600};
/// Submissions of one job; each refusal that another dispatcher may not share costs one.
constexpr int MaxSubmissions = 3;
/// The dispatcher stops a job's runs this much after its caller was answered, unless it is told before.
constexpr Milliseconds DispatcherPatience {40};
/// All runs of a lost dispatcher have ended after the longest lease and this: clock drift, and the time until it knew of its loss.
constexpr Milliseconds LapseMargin {120};

std::string lostName(const std::string &host, std::uint64_t incarnation)
{
    return host + '#' + std::to_string(incarnation);
}

bool anotherMayTake(JobEndReason reason)
{
    return reason == JobEndReason::Stopping || reason == JobEndReason::NoTargets || reason == JobEndReason::TargetsLost
        || reason == JobEndReason::BetterElsewhere;
}
} // namespace

HostNode::HostNode(HostIdentity identity, HostPort &port, HostObserver &observer)
    : m_identity(std::move(identity))
    , m_port(port)
    , m_observer(observer)
    , m_scheduler(m_identity.limits, *this, observer)
    , m_assignment({m_identity.host, m_identity.zone, m_identity.processorPercent, false, {}})
{
}

HostNode::~HostNode() = default;

void HostNode::submit(JobSubmission order, TimePoint now)
{
    const auto id = order.request.id;
    order.entryHost = m_identity.host;
    EntryJob job;
    job.answerBy = order.callerDeadline;
    order.callerDeadline += DispatcherPatience;
    job.order = std::move(order);
    auto &placed = m_jobs[id] = std::move(job);
    place(placed, now);
    settle(now);
}

void HostNode::cancel(const std::string &jobId, TimePoint now)
{
    const auto found = m_jobs.find(jobId);
    if (found == m_jobs.end()) {
        return;
    }
    const auto dispatcher = found->second.dispatcher;
    m_jobs.erase(found);
    if (dispatcher == m_identity.host) {
        m_scheduler.cancel(jobId, m_identity.host, now);
    } else if (!dispatcher.empty()) {
        FleetFrame frame;
        frame.cancels.push_back(jobId);
        send(dispatcher, std::move(frame), now);
    }
    settle(now);
}

bool HostNode::isWaitedFor(const std::string &jobId) const
{
    return m_jobs.contains(jobId);
}

std::size_t HostNode::waitingJobs(const std::string &route) const
{
    return static_cast<std::size_t>(std::count_if(m_jobs.begin(), m_jobs.end(), [&](const auto &entry) {
        return entry.second.order.route == route;
    }));
}

std::vector<HostNode::Dispatcher> HostNode::dispatchersFor(const std::string &service, TimePoint now) const
{
    std::vector<Dispatcher> found;
    const auto add = [&](const std::string &host, std::uint64_t incarnation, const std::string &zone, const auto &loads, Duration age) {
        for (const auto &load : loads) {
            if (load.service == service) {
                found.push_back({host, incarnation, zone == m_identity.zone, load.wait, load.freeTasks, age});
            }
        }
    };
    if (!m_leaving && isDispatcher()) {
        add(m_identity.host, m_identity.incarnation, m_identity.zone, m_scheduler.loads(now), Duration(0));
    }
    for (const auto *member : m_view.live(now)) {
        const auto &report = member->report;
        const bool dispatches = std::any_of(report.claims.begin(), report.claims.end(), [](const PoolClaim &claim) {
            return !claim.yielding;
        });
        if (dispatches && !report.leaving) {
            add(report.host, report.incarnation, report.zone, report.loads, now - member->lastHeardAt);
        }
    }
    const auto cost = [](const Dispatcher &dispatcher) {
        return dispatcher.wait + (dispatcher.sameZone ? Duration(0) : Duration(ZonePreference))
            + (dispatcher.freeTasks == 0 ? Duration(NoRoomPenalty) : Duration(0));
    };
    std::stable_sort(found.begin(), found.end(), [&](const Dispatcher &left, const Dispatcher &right) {
        return cost(left) < cost(right);
    });
    return found;
}

void HostNode::place(EntryJob &job, TimePoint now)
{
    const auto id = job.order.request.id;
    if (!job.order.lostDispatcher.empty() && placeWithHeir(job, now)) {
        return;
    }
    for (const auto &dispatcher : dispatchersFor(job.order.service, now)) {
        if (handTo(job, dispatcher, now)) {
            return;
        }
    }
    job.dispatcher.clear();
    job.nextTryAt = now + PlacePeriod;
    if (now - job.order.arrivedAt > FindDispatcherLimit) {
        CallerReply reply;
        reply.answer = job.mayHaveRun ? CallerAnswer::Unknown : CallerAnswer::NotRun;
        reply.reason = "no_dispatcher";
        reply.retryAfter = Seconds(1);
        answer(id, reply, now);
    }
}

/// A job of a lost dispatcher goes to the host that took its pools over, which knows what still runs. False when it may go anywhere.
bool HostNode::placeWithHeir(EntryJob &job, TimePoint now)
{
    const auto lost = m_lostDispatchers.find(job.order.lostDispatcher);
    if (lost == m_lostDispatchers.end() || lost->second.first.empty() || now - lost->second.second > FindHeirLimit) {
        return false;
    }
    const auto heir = heirOf(*lost->second.first.begin(), now);
    if (!heir.empty()) {
        Dispatcher dispatcher;
        dispatcher.host = heir;
        const auto *member = m_view.find(heir);
        dispatcher.incarnation = member == nullptr ? m_identity.incarnation : member->report.incarnation;
        if (handTo(job, dispatcher, now)) {
            return true;
        }
    }
    job.dispatcher.clear();
    job.nextTryAt = now + PlacePeriod;
    return true;
}

bool HostNode::handTo(EntryJob &job, const Dispatcher &dispatcher, TimePoint now)
{
    if (dispatcher.host != m_identity.host) {
        FleetFrame frame;
        frame.submits.push_back(job.order);
        if (!send(dispatcher.host, std::move(frame), now)) {
            return false;
        }
    }
    job.dispatcher = dispatcher.host;
    job.incarnation = dispatcher.incarnation;
    ++job.submissions;
    m_observer.onJobSent(job, dispatcher.host, dispatcher.reportAge);
    if (dispatcher.host == m_identity.host) {
        schedule(job.order, now);
    }
    return true;
}

void HostNode::placeWaiting(TimePoint now)
{
    std::vector<std::string> due;
    std::vector<std::string> over;
    for (const auto &[id, job] : m_jobs) {
        if (now >= job.answerBy) {
            over.push_back(id);
        } else if (job.dispatcher.empty() && now >= job.nextTryAt) {
            due.push_back(id);
        }
    }
    for (const auto &id : due) {
        const auto found = m_jobs.find(id);
        if (found != m_jobs.end()) {
            place(found->second, now);
        }
    }
    for (const auto &id : over) {
        const auto found = m_jobs.find(id);
        if (found == m_jobs.end()) {
            continue;
        }
        const bool neverHanded = found->second.submissions == 0;
        const auto dispatcher = found->second.dispatcher;
        CallerReply reply;
        reply.answer = neverHanded ? CallerAnswer::NotRun : CallerAnswer::Unknown;
        reply.reason = "time_is_over";
        reply.retryAfter = Seconds(1);
        answer(id, reply, now);
        if (dispatcher == m_identity.host) {
            m_scheduler.cancel(id, m_identity.host, now);
        } else if (!dispatcher.empty()) {
            FleetFrame frame;
            frame.cancels.push_back(id);
            send(dispatcher, std::move(frame), now);
        }
    }
}

void HostNode::onJobResult(const std::string &jobId, const std::string &from, const JobResult &result, TimePoint now)
{
    const auto found = m_jobs.find(jobId);
    if (found == m_jobs.end() || found->second.dispatcher != from) {
        return;
    }
    auto &job = found->second;
    CallerReply reply;
    reply.reason = toName(result.reason);
    reply.retryAfter = result.retryAfter;
    switch (result.end) {
    case JobEnd::Completed:
        reply.answer = CallerAnswer::Completed;
        break;
    case JobEnd::Failed:
        reply.answer = CallerAnswer::Failed;
        break;
    case JobEnd::NotRun:
        if (result.reason == JobEndReason::BetterElsewhere && followRedirect(job, result, now)) {
            return;
        }
        if (anotherMayTake(result.reason) && job.submissions < MaxSubmissions) {
            job.dispatcher.clear();
            job.nextTryAt = now + PlacePeriod;
            return;
        }
        reply.answer = job.mayHaveRun ? CallerAnswer::Unknown : CallerAnswer::NotRun;
        break;
    case JobEnd::Abandoned:
        job.mayHaveRun = true;
        if (result.reason == JobEndReason::TargetsLost && job.submissions < MaxSubmissions) {
            job.order.earlierRunsEndBy = now + m_identity.limits.maxLease + LapseMargin;
            job.dispatcher.clear();
            job.nextTryAt = now + PlacePeriod;
            return;
        }
        reply.answer = CallerAnswer::Unknown;
        break;
    }
    answer(jobId, reply, now);
}

/// Hands a job to the dispatcher that another one has named. False when that cannot be reached.
bool HostNode::followRedirect(EntryJob &job, const JobResult &result, TimePoint now)
{
    ++job.order.transfers;
    const auto *member = m_view.find(result.preferredDispatcher);
    if (member == nullptr || !m_view.isLive(result.preferredDispatcher, now)) {
        return false;
    }
    Dispatcher dispatcher;
    dispatcher.host = result.preferredDispatcher;
    dispatcher.incarnation = member->report.incarnation;
    dispatcher.reportAge = now - member->lastHeardAt;
    return handTo(job, dispatcher, now);
}

void HostNode::answer(const std::string &jobId, const CallerReply &reply, TimePoint now)
{
    const auto found = m_jobs.find(jobId);
    if (found == m_jobs.end()) {
        return;
    }
    m_observer.onCallerAnswered(found->second, reply, now - found->second.order.arrivedAt);
    m_jobs.erase(found);
    m_port.answerCaller(jobId, reply);
}

/// Jobs that a dispatcher had go to the host that takes its pools over; what may still run is over after the longest lease.
void HostNode::onDispatcherLost(const std::string &host, std::uint64_t incarnation, TimePoint now)
{
    for (auto &[id, job] : m_jobs) {
        if (job.dispatcher != host || job.incarnation != incarnation) {
            continue;
        }
        job.mayHaveRun = true;
        job.order.lostDispatcher = lostName(host, incarnation);
        job.order.earlierRunsEndBy = now + m_identity.limits.maxLease + LapseMargin;
        job.dispatcher.clear();
        job.nextTryAt = now;
    }
}

void HostNode::onJobEnd(const JobSubmission &job, const JobResult &result)
{
    m_observer.onJobEnded(job, result, m_now - job.arrivedAt);
    if (job.entryHost == m_identity.host) {
        m_endedHere.push_back({job.request.id, result});
        return;
    }
    FleetFrame frame;
    frame.ended.push_back({job.request.id, result});
    send(job.entryHost, std::move(frame), m_now);
}

void HostNode::settle(TimePoint now)
{
    while (!m_endedHere.empty() || !m_takenTargets.empty() || !m_restartedTargets.empty()) {
        const auto ended = std::exchange(m_endedHere, {});
        for (const auto &notice : ended) {
            onJobResult(notice.jobId, m_identity.host, notice.result, now);
        }
        const auto taken = std::exchange(m_takenTargets, {});
        for (const auto &target : taken) {
            m_scheduler.loseTarget(target, now);
        }
        const auto restarted = std::exchange(m_restartedTargets, {});
        for (const auto &target : restarted) {
            const auto entry = m_targets.find(target);
            if (entry != m_targets.end()) {
                m_scheduler.addTarget(entry->second, nextToken(target), now);
            }
        }
    }
}

bool HostNode::isLeaving() const
{
    return m_leaving;
}

bool HostNode::isIdle() const
{
    return m_jobs.empty() && m_scheduler.runCount() == 0 && m_scheduler.jobCount() == 0;
}

void HostNode::giveUp(TimePoint now)
{
    m_now = now;
    m_scheduler.refuseWaitingJobs(JobEndReason::Stopping, now);
    settle(now);
    std::vector<std::string> ids;
    for (const auto &[id, job] : m_jobs) {
        ids.push_back(id);
    }
    for (const auto &id : ids) {
        CallerReply reply;
        reply.answer = m_jobs.at(id).submissions == 0 ? CallerAnswer::NotRun : CallerAnswer::Unknown;
        reply.reason = "stopping";
        reply.retryAfter = Seconds(1);
        const auto dispatcher = m_jobs.at(id).dispatcher;
        answer(id, reply, now);
        if (dispatcher == m_identity.host) {
            m_scheduler.cancel(id, m_identity.host, now);
        }
    }
    settle(now);
}

std::string HostNode::heirOf(const PoolName &pool, TimePoint now) const
{
    const auto own = m_assignment.self().claims.find(pool);
    if (own != m_assignment.self().claims.end() && !own->second.yielding) {
        return m_identity.host;
    }
    for (const auto *member : m_view.live(now)) {
        for (const auto &claim : member->report.claims) {
            if (claim.pool == pool && !claim.yielding) {
                return member->report.host;
            }
        }
    }
    return {};
}
} // namespace Anvilcart::Fleet
