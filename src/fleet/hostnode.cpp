#include "fleet/hostnode.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

// HostNode's handling of callers' jobs on their entry host. Peers are handled in hostnodepeers.cpp, pools in hostnodepools.cpp.
namespace Anvilcart::Fleet
{
namespace
{
/// A dispatcher in another zone is preferred only when a job is expected to start earlier there by more than this.
constexpr Milliseconds OtherZonePenalty {30};
/// Added to the expected wait of a dispatcher without free capacity.
constexpr Milliseconds NoCapacityPenalty {10};
/// Placement of a job without dispatcher is retried at this interval.
constexpr Milliseconds PlacementRetryPeriod {20};
/// A job for which no dispatcher is found is refused after this time. A takeover and the first claim after a start take less.
constexpr Milliseconds FindDispatcherTimeout {700};
/// A job of a lost dispatcher waits at most this time for the host that takes over the dispatcher's pools.
constexpr Milliseconds FindSuccessorTimeout {600};
/// The most submissions of one job. A refused job is submitted again when the reason may not apply to another dispatcher.
constexpr int MaxSubmissions = 3;
/// The same for a job that an evacuation sends on: it goes to each dispatcher once, and others may have sent it on before.
constexpr int MaxSubmissionsInEvacuation = 6;
/// The most runs of a job that are kept for its next dispatcher, for each of its tasks.
constexpr std::size_t StartedRunsPerTask = 4;
/// The dispatcher's deadline for a job is this much later than the caller's: it stops the runs then, unless it gets a cancellation first.
constexpr Milliseconds DispatcherDeadlineMargin {40};
/// All runs of a lost dispatcher have ended after the longest lease plus this margin, which covers clock drift and the time until the
/// dispatcher detected its loss.
constexpr Milliseconds LeaseExpiryMargin {120};

std::string incarnationKey(const std::string &host, std::uint64_t incarnation)
{
    return host + '#' + std::to_string(incarnation);
}

bool mayRetryElsewhere(JobEndReason reason)
{
    return reason == JobEndReason::Stopping || reason == JobEndReason::NoTargets || reason == JobEndReason::TargetsLost
        || reason == JobEndReason::BetterElsewhere || reason == JobEndReason::GrantEnded || reason == JobEndReason::Evacuated;
}
} // namespace

HostNode::HostNode(HostIdentity identity, HostPort &port, HostObserver &observer)
    : m_identity(std::move(identity))
    , m_port(port)
    , m_observer(observer)
    , m_scheduler(m_identity.limits, *this, observer)
    , m_peerProcesses(m_identity.incarnation, m_identity.maxPeers)
    , m_assignment({m_identity.host, m_identity.zone, m_identity.processorPercent, false, {}, {}, m_identity.targetListExpiry})
    , m_lastSubmissionNumber(submissionNumber(m_identity.incarnation, 0))
    , m_evacuation(m_identity.limits.evacuationBound)
{
}

HostNode::~HostNode() = default;

void HostNode::submit(JobSubmission submission, TimePoint now)
{
    beginEvent(now);
    const auto id = submission.request.id;
    if (m_cancelledJobs.contains(id, now)) {
        m_port.answerCaller(id, replyToCancelled());
        return;
    }
    submission.entryHost = m_identity.host;
    EntryJob job;
    job.answerBy = submission.callerDeadline;
    submission.callerDeadline += DispatcherDeadlineMargin;
    job.submission = std::move(submission);
    m_earlierRuns.applyTo(job.submission);
    auto &entryJob = m_jobs[id] = std::move(job);
    if (endIfCallerHasGone(id, now)) {
        return;
    }
    if (m_refusesJobs) {
        abandon(id, now);
        return;
    }
    if (!placeBesideOwedCancellations(entryJob, now)) {
        placeJob(entryJob, now);
    }
    processSchedulerEvents(now);
}

/// Places a job that was given up here before, while this host still stops its runs or a dispatcher has not confirmed that it has no run
/// of it any more. True when the same one has got it again; otherwise the next one must wait for the end of what is left.
bool HostNode::placeBesideOwedCancellations(EntryJob &job, TimePoint now)
{
    const auto owed = m_owedCancellations.cancellationsOf(job.submission.request.id);
    const bool isStoppedHere = m_scheduler.hasJobOf(job.submission.request.id, m_identity.host);
    if (owed.empty() && !isStoppedHere) {
        return false;
    }
    job.mayHaveRun = true;
    if (owed.size() == 1 && !isStoppedHere) {
        const auto &[host, incarnation, grantEpoch, until, number] = owed.front();
        Dispatcher dispatcher;
        dispatcher.host = host;
        dispatcher.incarnation = incarnation;
        const bool mayHaveJob = m_view.isLive(host, incarnation, now) && m_issuedGrants.epoch(host, incarnation) == grantEpoch;
        if (mayHaveJob && submitTo(job, dispatcher, now)) {
            return true;
        }
    }
    for (const auto &cancellation : owed) {
        job.dispatcher = cancellation.dispatcher;
        job.dispatcherIncarnation = cancellation.dispatcherIncarnation;
        job.grantEpoch = cancellation.grantEpoch;
        takeBack(job, now);
        job.previousSubmissionNumber = cancellation.submissionNumber;
    }
    if (!isStoppedHere) {
        return false;
    }
    Dispatcher self;
    self.host = m_identity.host;
    self.incarnation = m_identity.incarnation;
    return submitTo(job, self, now);
}

void HostNode::cancel(const std::string &jobId, TimePoint now)
{
    const auto found = m_jobs.find(jobId);
    if (found == m_jobs.end()) {
        return;
    }
    const auto job = std::move(found->second);
    m_jobs.erase(found);
    m_earlierRuns.record(job.submission, now);
    cancelAtDispatcher(job, now);
    processSchedulerEvents(now);
}

/// Cancels a job that is given up here at the dispatcher that may have it.
void HostNode::cancelAtDispatcher(const EntryJob &job, TimePoint now)
{
    const auto &id = job.submission.request.id;
    if (job.dispatcher == m_identity.host) {
        m_scheduler.cancel(id, m_identity.host, now, job.submission.number);
        noteAbandonedRun(id);
    } else if (!job.dispatcher.empty()) {
        const auto &submission = job.submission;
        m_owedCancellations.add(id,
                                {job.dispatcher, job.dispatcherIncarnation, job.grantEpoch, submission.callerDeadline, submission.number});
        FleetFrame frame;
        frame.cancellations.push_back({id, submission.number});
        send(job.dispatcher, std::move(frame), now);
    }
}

bool HostNode::hasWaitingCaller(const std::string &jobId) const
{
    return m_jobs.contains(jobId);
}

std::size_t HostNode::waitingJobCount(const std::string &route) const
{
    return static_cast<std::size_t>(std::count_if(m_jobs.begin(), m_jobs.end(), [&](const auto &entry) {
        return entry.second.submission.route == route;
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
    if (!m_leaving && isDispatcher() && !isEvacuated(ownClaims())) {
        add(m_identity.host, m_identity.incarnation, m_identity.zone, m_scheduler.loads(now), Duration(0));
    }
    for (const auto *member : m_view.liveMembers(now)) {
        const auto &report = member->report;
        const bool dispatches = std::any_of(report.claims.begin(), report.claims.end(), [](const PoolClaim &claim) {
            return !claim.yielding;
        });
        if (dispatches && !report.leaving && !isEvacuated(report.claims)) {
            add(report.host, report.incarnation, report.zone, report.loads, now - member->lastReportAt);
        }
    }
    const auto cost = [](const Dispatcher &dispatcher) {
        return dispatcher.expectedWait + (dispatcher.sameZone ? Duration(0) : Duration(OtherZonePenalty))
            + (dispatcher.freeTasks == 0 ? Duration(NoCapacityPenalty) : Duration(0));
    };
    std::stable_sort(found.begin(), found.end(), [&](const Dispatcher &left, const Dispatcher &right) {
        return cost(left) < cost(right);
    });
    return found;
}

/// The answer for a job that no dispatcher has started since it came to this host. An earlier submission of it, to any host, may have run.
CallerAnswer HostNode::answerForUnstarted(const EntryJob &job, TimePoint now) const
{
    const bool mayHaveRun = job.mayHaveRun || m_scheduler.mayHaveRun(job.submission.request.id, now);
    return mayHaveRun ? CallerAnswer::Unknown : CallerAnswer::NotRun;
}

void HostNode::placeJob(EntryJob &job, TimePoint now)
{
    const auto id = job.submission.request.id;
    if (!job.dispatcher.empty() && returnToDispatcher(job, now)) {
        return;
    }
    if (placeWithSuccessor(job, now)) {
        return;
    }
    if (refuseIfEvacuated(job, now)) {
        return;
    }
    for (const auto &dispatcher : dispatchersFor(job.submission.service, now)) {
        if (!job.evacuatedDispatchers.contains(dispatcher.host) && submitTo(job, dispatcher, now)) {
            return;
        }
    }
    job.nextTryAt = now + PlacementRetryPeriod;
    if (job.dispatcherIsLost && now < m_issuedGrants.endOf(job.dispatcher, job.dispatcherIncarnation, job.grantEpoch)) {
        return;
    }
    if (now - job.submission.arrivedAt > FindDispatcherTimeout) {
        CallerReply reply;
        reply.answer = answerForUnstarted(job, now);
        reply.reason = job.evacuatedDispatchers.empty() ? "no_dispatcher" : toName(JobEndReason::Evacuated);
        reply.retryAfter = Seconds(1);
        cancelAtDispatcher(job, now);
        answer(id, reply, now);
    }
}

/// Leaves a job with its dispatcher that is live again, and repeats the submission if it may be lost. False when the dispatcher is not
/// live, or the job was taken back meanwhile.
bool HostNode::returnToDispatcher(EntryJob &job, TimePoint now)
{
    const bool isLive = m_view.isLive(job.dispatcher, job.dispatcherIncarnation, now);
    if (!isLive || m_issuedGrants.epoch(job.dispatcher, job.dispatcherIncarnation) != job.grantEpoch) {
        job.dispatcherIsLost = true;
        job.mayHaveRun = true;
        return false;
    }
    job.dispatcherIsLost = false;
    if (isRepeatDue(job, now)) {
        if (sendSubmission(job, job.dispatcher, now)) {
            job.connectionClosedAt = TimePoint();
        } else {
            job.nextTryAt = now + PlacementRetryPeriod;
        }
    }
    return true;
}

/// True when the submission or its result may be lost and the dispatcher has reported since: it ignores the repetition of a submission
/// that it has, and repeats the result of one that has ended.
bool HostNode::isRepeatDue(const EntryJob &job, TimePoint now) const
{
    return job.connectionClosedAt != TimePoint() && m_view.isLive(job.dispatcher, job.dispatcherIncarnation, now)
        && m_view.find(job.dispatcher)->lastReportAt > job.connectionClosedAt;
}

bool HostNode::sendSubmission(const EntryJob &job, const std::string &dispatcher, TimePoint now)
{
    if (const auto *member = m_view.find(dispatcher)) {
        // A due report goes first: until it arrives, the dispatcher may not know this process, and where to send results.
        sendDueReport(member->report.peerEndpoint, now);
    }
    FleetFrame frame;
    const auto lost = m_lostDispatchers.find(job.submission.lostDispatcher);
    if (lost != m_lostDispatchers.end()) {
        frame.lostDispatchers.push_back(lost->second.dispatcher);
    }
    frame.submissions.push_back(job.submission);
    return send(dispatcher, std::move(frame), now);
}

/// When the runs that the job's dispatcher started, or may yet start, have ended if that hears nothing more.
TimePoint HostNode::runsEndBy(const EntryJob &job, TimePoint now) const
{
    if (job.grantEpoch == 0 || job.dispatcher == m_identity.host) {
        return now + m_identity.limits.maxLease + LeaseExpiryMargin;
    }
    const auto endBy = m_issuedGrants.runsEndBy(job.dispatcher, job.dispatcherIncarnation, job.grantEpoch, m_identity.limits.maxLease);
    return std::max(endBy, job.longRunsEndBy);
}

/// Takes a job from its lost dispatcher, so that another one can have it.
void HostNode::takeBack(EntryJob &job, TimePoint now)
{
    if (m_issuedGrants.epoch(job.dispatcher, job.dispatcherIncarnation) == job.grantEpoch) {
        m_issuedGrants.revoke(job.dispatcher, job.dispatcherIncarnation);
    }
    job.submission.earlierRunsEndBy = job.submission.mayStartAt();
    job.submission.lostDispatcher = incarnationKey(job.dispatcher, job.dispatcherIncarnation);
    job.submission.lostDispatcherRunsEndBy = runsEndBy(job, now);
    job.longRunsEndBy = TimePoint();
    job.previousDispatcher = std::exchange(job.dispatcher, {});
    job.previousDispatcherIncarnation = job.dispatcherIncarnation;
    job.previousGrantEpoch = job.grantEpoch;
    job.previousSubmissionNumber = job.submission.number;
    job.dispatcherIsLost = false;
}

/// Submits a job of a lost dispatcher to the host that took over its pools, which knows the runs that remain. False when any dispatcher
/// may have the job.
bool HostNode::placeWithSuccessor(EntryJob &job, TimePoint now)
{
    const auto lost = m_lostDispatchers.find(job.dispatcherIsLost ? incarnationKey(job.dispatcher, job.dispatcherIncarnation)
                                                                  : job.submission.lostDispatcher);
    if (lost == m_lostDispatchers.end() || lost->second.dispatcher.pools.empty() || now - lost->second.lostAt > FindSuccessorTimeout) {
        return false;
    }
    const auto successor = successorOf(lost->second.dispatcher.pools.front(), now);
    if (!successor.empty()) {
        Dispatcher dispatcher;
        dispatcher.host = successor;
        const auto *member = m_view.find(successor);
        dispatcher.incarnation = member == nullptr ? m_identity.incarnation : member->report.incarnation;
        if (submitTo(job, dispatcher, now)) {
            return true;
        }
    }
    job.nextTryAt = now + PlacementRetryPeriod;
    return true;
}

bool HostNode::submitTo(EntryJob &job, const Dispatcher &dispatcher, TimePoint now)
{
    if (job.dispatcherIsLost) {
        takeBack(job, now);
    }
    job.submission.number = ++m_lastSubmissionNumber;
    const bool isOwn = dispatcher.host == m_identity.host;
    job.submission.grantEpoch = isOwn ? OwnGrantEpoch : 0;
    if (!isOwn && !sendSubmission(job, dispatcher.host, now)) {
        return false;
    }
    job.connectionClosedAt = TimePoint();
    job.dispatcher = dispatcher.host;
    job.dispatcherIncarnation = dispatcher.incarnation;
    job.grantEpoch = isOwn ? OwnGrantEpoch : m_issuedGrants.epoch(dispatcher.host, dispatcher.incarnation);
    // A repeated cancellation would end the new submission.
    m_owedCancellations.onConfirmed({job.submission.request.id}, dispatcher.host);
    ++job.submissionCount;
    m_observer.onJobSent(job, dispatcher.host, dispatcher.reportAge);
    if (isOwn) {
        schedule(job.submission, now);
    }
    return true;
}

void HostNode::placeWaitingJobs(TimePoint now)
{
    std::vector<std::string> due;
    std::vector<std::string> expired;
    for (const auto &[id, job] : m_jobs) {
        if (now >= job.answerBy) {
            expired.push_back(id);
        } else if ((job.dispatcher.empty() || job.dispatcherIsLost || isRepeatDue(job, now)) && now >= job.nextTryAt) {
            due.push_back(id);
        }
    }
    for (const auto &id : due) {
        const auto found = m_jobs.find(id);
        if (found != m_jobs.end() && !endIfCallerHasGone(id, now)) {
            placeJob(found->second, now);
        }
    }
    for (const auto &id : expired) {
        const auto found = m_jobs.find(id);
        if (found == m_jobs.end()) {
            continue;
        }
        const auto job = found->second;
        const bool neverSubmitted = job.submissionCount == 0;
        CallerReply reply;
        reply.answer = neverSubmitted ? answerForUnstarted(job, now) : CallerAnswer::Unknown;
        reply.reason = "time_is_over";
        reply.retryAfter = Seconds(1);
        answer(id, reply, now);
        cancelAtDispatcher(job, now);
    }
}

void HostNode::onJobResult(const JobEndNotice &notice, const std::string &from, std::uint64_t incarnation, TimePoint now)
{
    const auto &[jobId, result, grantEpoch, submissionNumber] = notice;
    const auto found = m_jobs.find(jobId);
    if (found == m_jobs.end()) {
        if (result.end == JobEnd::Completed || result.end == JobEnd::Failed) {
            // Its caller has gone, and the dispatcher does not name jobs that were not given up.
            m_runNotices.add(jobId);
        }
        return;
    }
    auto &job = found->second;
    const bool isOfEarlierEpoch = grantEpoch != 0 && grantEpoch != job.grantEpoch;
    const bool isOfEarlierSubmission = submissionNumber != 0 && submissionNumber != job.submission.number;
    const bool isOfDispatcher = job.dispatcher == from && job.dispatcherIncarnation == incarnation;
    if (!isOfDispatcher || isOfEarlierEpoch || isOfEarlierSubmission) {
        onResultOfPrevious(job, notice, from, incarnation, now);
        return;
    }
    job.dispatcherIsLost = false;
    if (result.reason == JobEndReason::Evacuated) {
        job.evacuatedDispatchers.insert(from);
    }
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
        if (retryElsewhere(job, result.reason, now)) {
            return;
        }
        reply.answer = answerForUnstarted(job, now);
        break;
    case JobEnd::Abandoned:
        job.mayHaveRun = true;
        if (result.reason == JobEndReason::TargetsLost && job.submissionCount < MaxSubmissions) {
            const auto lostRunsEndBy = now + m_identity.limits.maxLease + LeaseExpiryMargin;
            job.submission.earlierRunsEndBy = std::max(job.submission.earlierRunsEndBy, lostRunsEndBy);
            job.dispatcher.clear();
            job.nextTryAt = now + PlacementRetryPeriod;
            return;
        }
        // With the other reasons the dispatcher has started nothing, or all of it has ended; it cannot exclude that an earlier submission
        // has run.
        if (result.reason != JobEndReason::TargetsLost && retryElsewhere(job, result.reason, now)) {
            return;
        }
        reply.answer = CallerAnswer::Unknown;
        break;
    }
    answer(jobId, reply, now);
}

/// Handles a result of an earlier submission of the job.
void HostNode::onResultOfPrevious(
    EntryJob &job, const JobEndNotice &notice, const std::string &from, std::uint64_t incarnation, TimePoint now)
{
    const auto jobId = notice.jobId;
    if (notice.result.end == JobEnd::Completed) {
        CallerReply reply;
        reply.answer = CallerAnswer::Completed;
        reply.reason = toName(notice.result.reason);
        cancelAtDispatcher(job, now);
        answer(jobId, reply, now);
        return;
    }
    const bool isOfPrevious = job.previousDispatcher == from && job.previousDispatcherIncarnation == incarnation;
    const bool namesLastSubmission = notice.submissionNumber == 0
        || (areOfOneProcess(notice.submissionNumber, job.previousSubmissionNumber)
            && notice.submissionNumber >= job.previousSubmissionNumber);
    const bool isNewest = isOfPrevious && namesLastSubmission && job.previousGrantEpoch == notice.grantEpoch;
    const bool hasNoRuns = notice.result.end != JobEnd::Failed && notice.result.reason != JobEndReason::TargetsLost;
    if (isNewest && hasNoRuns && job.submission.lostDispatcherRunsEndBy > now) {
        job.submission.lostDispatcherRunsEndBy = now;
        if (job.dispatcher == m_identity.host) {
            m_scheduler.onLostDispatcherDone(jobId, job.submission.lostDispatcher, m_identity.host, job.submission.number, now);
        } else if (!job.dispatcher.empty() && !job.dispatcherIsLost) {
            FleetFrame frame;
            frame.releases.push_back({jobId, job.submission.lostDispatcher, job.submission.number});
            send(job.dispatcher, std::move(frame), now);
        }
    }
}

/// Schedules another submission when the reason may not apply to another dispatcher. During a hand-over a dispatcher refuses a little
/// before its successor is known.
bool HostNode::retryElsewhere(EntryJob &job, JobEndReason reason, TimePoint now)
{
    const bool isEvacuation = reason == JobEndReason::Evacuated;
    const auto maxSubmissions = isEvacuation ? MaxSubmissionsInEvacuation : MaxSubmissions;
    const bool mayRetry = job.submissionCount < maxSubmissions || now - job.submission.arrivedAt < FindDispatcherTimeout;
    if (!mayRetryElsewhere(reason) || !mayRetry) {
        return false;
    }
    job.dispatcher.clear();
    job.nextTryAt = isEvacuation ? now : now + PlacementRetryPeriod * job.submissionCount;
    return true;
}

/// Submits a job to the dispatcher that the refusing one named. False when that cannot be reached, or the caller has gone.
bool HostNode::followRedirect(EntryJob &job, const JobResult &result, TimePoint now)
{
    ++job.submission.transfers;
    const auto *member = m_view.find(result.preferredDispatcher);
    const bool mayFollow = m_port.isCallerConnected(job.submission.request.id) && m_view.isLive(result.preferredDispatcher, now);
    if (member == nullptr || !mayFollow || isEvacuated(member->report.claims)) {
        return false;
    }
    Dispatcher dispatcher;
    dispatcher.host = result.preferredDispatcher;
    dispatcher.incarnation = member->report.incarnation;
    dispatcher.reportAge = now - member->lastReportAt;
    return submitTo(job, dispatcher, now);
}

void HostNode::answer(const std::string &jobId, const CallerReply &reply, TimePoint now)
{
    const auto found = m_jobs.find(jobId);
    if (found == m_jobs.end()) {
        return;
    }
    m_observer.onCallerAnswered(found->second, reply, now - found->second.submission.arrivedAt);
    const bool hasRun = reply.answer == CallerAnswer::Completed || reply.answer == CallerAnswer::Failed;
    if (hasRun && !m_port.isCallerConnected(jobId)) {
        m_runNotices.add(jobId);
    }
    m_earlierRuns.record(found->second.submission, now);
    m_jobs.erase(found);
    m_port.answerCaller(jobId, reply);
}

/// Marks the jobs of a lost dispatcher. They stay with it while no other one can have them, since it may only be out of sight.
void HostNode::onDispatcherLost(const std::string &host, std::uint64_t incarnation, TimePoint now)
{
    for (auto &[id, job] : m_jobs) {
        if (job.dispatcher != host || job.dispatcherIncarnation != incarnation) {
            continue;
        }
        job.mayHaveRun = true;
        job.dispatcherIsLost = true;
        job.nextTryAt = now;
    }
}

/// Marks the jobs at a dispatcher whose submissions or results may be lost.
void HostNode::onDispatcherDisconnected(const std::string &host, TimePoint now)
{
    for (auto &[id, job] : m_jobs) {
        if (job.dispatcher == host) {
            job.connectionClosedAt = now;
        }
    }
}

void HostNode::onJobEnd(const JobSubmission &job, const JobResult &result)
{
    m_startAnnouncements.remove(job);
    m_observer.onJobEnded(job, result, m_now - job.arrivedAt);
    if (result.end == JobEnd::Abandoned) {
        noteAbandonedRun(job.identity());
    }
    if (job.entryHost == m_identity.host) {
        m_locallyEndedJobs.push_back({job.identity(), result, job.grantEpoch, job.number});
        return;
    }
    JobEndNotice notice {job.identity(), result, job.grantEpoch, job.number};
    notice.result.reason = reasonFor(job.entryHost, result.reason);
    FleetFrame frame;
    frame.ended.push_back(notice);
    if (!send(job.entryHost, std::move(frame), m_now) && result.end == JobEnd::Completed) {
        m_owedResults.add(job.entryHost, std::move(notice), job.callerDeadline);
    }
}

void HostNode::onCrashRecords(const JobSubmission &job, const std::vector<TaskCrashes> &crashes)
{
    CrashNotice notice {job.identity(), crashes, ++m_lastCrashNoticeNumber};
    if (job.entryHost == m_identity.host) {
        onCrashNotice(notice, m_identity.host, m_identity.incarnation);
        return;
    }
    FleetFrame frame;
    frame.crashNotices.push_back(std::move(notice));
    send(job.entryHost, std::move(frame), m_now);
}

/// Keeps the records for the next submission of the job, which may go to another dispatcher. A notice that is older than the last one
/// of the same process is dropped; one without a number always counts.
void HostNode::onCrashNotice(const CrashNotice &notice, const std::string &from, std::uint64_t incarnation)
{
    const auto found = m_jobs.find(notice.jobId);
    if (found == m_jobs.end() || found->second.dispatcher != from) {
        return;
    }
    auto &job = found->second;
    const bool isSameProcess = job.crashNoticeSender == from && job.crashNoticeIncarnation == incarnation;
    if (isSameProcess && notice.number != 0 && notice.number < job.crashNoticeNumber) {
        return;
    }
    job.submission.crashes = notice.crashes;
    job.crashNoticeSender = from;
    job.crashNoticeIncarnation = incarnation;
    job.crashNoticeNumber = notice.number;
}

void HostNode::onRunStarted(const JobSubmission &job, RunIdentity run)
{
    if (job.entryHost == m_identity.host) {
        onStartedRuns({job.identity(), job.number, {run}}, m_identity.host, m_identity.incarnation);
    } else {
        m_startAnnouncements.add(job, run);
    }
}

/// Keeps the identities of a job's runs for its next dispatcher.
void HostNode::onStartedRuns(const StartedRunsNotice &notice, const std::string &from, std::uint64_t incarnation)
{
    const auto found = m_jobs.find(notice.jobId);
    if (found == m_jobs.end()) {
        return;
    }
    auto &job = found->second;
    if (job.dispatcher != from || job.dispatcherIncarnation != incarnation || job.submission.number != notice.submissionNumber) {
        return;
    }
    auto &runs = job.submission.startedRuns;
    runs.insert(runs.end(), notice.runs.begin(), notice.runs.end());
    const auto longest = StartedRunsPerTask * job.submission.taskCount();
    if (runs.size() > longest) {
        // The oldest ones have ended.
        runs.erase(runs.begin(), runs.end() - static_cast<std::ptrdiff_t>(longest));
    }
}

void HostNode::onRunsOutlastGrant(const JobSubmission &job, TimePoint endBy)
{
    if (job.entryHost == m_identity.host) {
        // Jobs of this host wait for the longest lease anyway.
        return;
    }
    FleetFrame frame;
    frame.longRuns.push_back({job.identity(), endBy, job.number});
    send(job.entryHost, std::move(frame), m_now);
}

/// Lets the job wait for these runs when it is handed on.
void HostNode::onLongRuns(const LongRunsNotice &notice, const std::string &from, std::uint64_t incarnation)
{
    const auto found = m_jobs.find(notice.jobId);
    if (found == m_jobs.end()) {
        return;
    }
    auto &job = found->second;
    if (job.dispatcher == from && job.dispatcherIncarnation == incarnation && job.submission.number == notice.submissionNumber) {
        job.longRunsEndBy = std::max(job.longRunsEndBy, notice.endBy + LeaseExpiryMargin);
    }
}

void HostNode::processSchedulerEvents(TimePoint now)
{
    while (!m_locallyEndedJobs.empty() || !m_takenOverTargets.empty() || !m_restartedTargets.empty()) {
        const auto ended = std::exchange(m_locallyEndedJobs, {});
        for (const auto &notice : ended) {
            onJobResult(notice, m_identity.host, m_identity.incarnation, now);
        }
        const auto takenOver = std::exchange(m_takenOverTargets, {});
        for (const auto &target : takenOver) {
            m_scheduler.loseTarget(target, now);
        }
        const auto restarted = std::exchange(m_restartedTargets, {});
        for (const auto &target : restarted) {
            const auto *entry = findTargetEntry(target);
            if (entry != nullptr && m_scheduler.ownsTarget(target)) {
                m_scheduler.addTarget(*entry, nextFencingToken(target), now);
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

void HostNode::abandonRemainingJobs(TimePoint now)
{
    m_now = now;
    m_refusesJobs = true;
    m_scheduler.refuseWaitingJobs(JobEndReason::Stopping, now);
    processSchedulerEvents(now);
    std::vector<std::string> ids;
    for (const auto &[id, job] : m_jobs) {
        ids.push_back(id);
    }
    for (const auto &id : ids) {
        abandon(id, now);
    }
    processSchedulerEvents(now);
}

void HostNode::abandon(const std::string &jobId, TimePoint now)
{
    const auto job = m_jobs.at(jobId);
    CallerReply reply;
    reply.answer = job.submissionCount == 0 ? answerForUnstarted(job, now) : CallerAnswer::Unknown;
    reply.reason = "stopping";
    reply.retryAfter = Seconds(1);
    answer(jobId, reply, now);
    cancelAtDispatcher(job, now);
}

std::string HostNode::successorOf(const PoolName &pool, TimePoint now) const
{
    const auto own = m_assignment.self().claims.find(pool);
    if (own != m_assignment.self().claims.end() && !own->second.yielding) {
        return m_identity.host;
    }
    for (const auto *member : m_view.liveMembers(now)) {
        for (const auto &claim : member->report.claims) {
            if (claim.pool == pool && !claim.yielding) {
                return member->report.host;
            }
        }
    }
    return {};
}
} // namespace Anvilcart::Fleet
