#pragma once

#include "scheduling/collidingjobs.h"
#include "scheduling/crashsuspects.h"
#include "scheduling/endedsubmissions.h"
#include "scheduling/fairqueueclock.h"
#include "scheduling/heldgrants.h"
#include "scheduling/interfaces/schedulerobserver.h"
#include "scheduling/interfaces/schedulerport.h"
#include "scheduling/overloadpolicy.h"
#include "scheduling/placementchoice.h"
#include "scheduling/queuepolicy.h"
#include "scheduling/rackplacement.h"
#include "scheduling/recentjobs.h"
#include "scheduling/repeatbudget.h"
#include "scheduling/runtimemodel.h"
#include "scheduling/scheduledjob.h"
#include "scheduling/targetledger.h"
#include "scheduling/targetloss.h"
#include "scheduling/zoneevacuation.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace Anvilcart::Fleet
{
/// Limits of a scheduler, set by its environment.
struct SchedulerLimits
{
    /// The longest lease that a target grants.
    Duration maxLease = Milliseconds(1000);
    /// The longest time that a target takes to stop a run.
    Duration stopTime = Milliseconds(50);
    /// How many times as long a task takes outside its data rack, or with its step spread over several racks.
    double farFactor = 1.5;
    /// New jobs are refused when this many wait. A job takes about 2 KB, so this keeps the queue under 8 MB.
    std::size_t maxQueuedJobs = 4000;
    /// New jobs are refused when all jobs together would have more tasks than this, which bounds the memory that they take.
    std::size_t maxTasks = 200'000;
    /// No task may start in a zone this long after the operator has evacuated it. With it, nothing starts before setEvacuationKnown().
    std::optional<Duration> evacuationBound;
    QueuePolicy policy = FairShareFirst {};
    /// Refuses jobs that are forecast to miss their caller's deadline. Disabled only in baseline measurements.
    bool refuseInfeasible = true;
    /// Jobs that have missed their objective are refused while capacity is short; see OverloadPolicy.
    bool refuseLate = false;
};

/// A dispatcher's load for one service, as reported to other hosts.
struct ServiceLoad
{
    std::string service;
    /// The number of tasks of typical size that could start now.
    std::uint32_t freeTasks = 0;
    std::uint32_t queuedTasks = 0;
    /// The forecast wait of a job at the end of the queue.
    Duration wait {0};
};

/// The number of tasks whose records may take a quarter of this much memory. Thread-safe.
std::size_t maxTasksForMemory(std::int64_t memoryMb);

/// How a dispatcher's targets are used.
struct TargetUsage
{
    std::size_t targets = 0;
    std::size_t ejected = 0;
    std::size_t unresponsive = 0;
    std::size_t leaving = 0;
    /// Targets in evacuated zones.
    std::size_t evacuated = 0;
    std::size_t runs = 0;
    std::size_t unidentifiedRuns = 0;
    std::size_t queuedJobs = 0;
    std::int64_t milliCores = 0;
    std::int64_t usedMilliCores = 0;
};

/// Another dispatcher to which whole jobs may be redirected.
struct PeerDispatcher
{
    std::string host;
    std::vector<ServiceLoad> loads;
};

/// Runs jobs on the targets that this host owns. Keeps one queue for each service, accounts for the targets' capacity, renews leases,
/// retries failed tasks and refuses jobs. Uses neither sockets nor a clock: all work is done within its calls. Not thread-safe.
class Scheduler
{
public:
    /// Precondition: the port and the observer outlive the scheduler.
    Scheduler(const SchedulerLimits &limits, SchedulerPort &port, SchedulerObserver &observer);
    ~Scheduler();

    /// Queues a job, redirects it to another dispatcher or refuses it. A job that is already here continues and reports to the entry host
    /// of the new submission, and the former entry host is told. A repeated submission has no effect while its job is here, and is answered
    /// with its result if it has ended. It waits while a job of another route with the same id is here, or a run under its id that is not
    /// known to be its own.
    void submit(JobSubmission submission, TimePoint now);

    /// Refuses a submission that came too late, unless an earlier copy of it is here.
    void refuse(const JobSubmission &submission, JobEndReason reason, TimePoint now);

    /// The result of a submission that has ended here, or that came before one that has. The frame with the result may have been lost.
    std::optional<JobResult> resultOf(const JobSubmission &submission) const;

    /// Stops the runs of a job that its entry host abandoned; no result is reported. A later submission than the one of this number stays;
    /// 0 cancels any.
    void cancel(const std::string &jobId, const std::string &entryHost, TimePoint now, std::uint64_t number = 0);

    /// True while the entry host's job is here, and while runs of the job are being stopped, whoever submitted it. Later submissions than
    /// the one of this number do not count; with 0 all do.
    bool hasJobOf(const std::string &jobId, const std::string &entryHost, std::uint64_t number = 0) const;

    /// Cancels every job of an entry host that has ended.
    void cancelAllOf(const std::string &entryHost, TimePoint now);

    /// Records an entry host's grant, and returns the jobs that the entry host has taken back. False when the grant is outdated, so that
    /// jobs that came with it must be refused.
    bool onGrant(const std::string &entryHost, std::uint64_t entryIncarnation, const JobGrant &grant, TimePoint now);

    /// Begins to claim a target under a fencing token. For a target that is being claimed already, only a higher token has an effect; for
    /// one that is owned, none has.
    void addTarget(const TargetEntry &entry, std::uint64_t fencingToken, TimePoint now);

    /// Updates a target's entry, which it registered itself. A target whose entry is gone gets no new work.
    void updateTarget(const TargetEntry &entry);
    void onEntryGone(const std::string &target);

    /// Starts no new jobs on the target and releases it once it is idle.
    void retireTarget(const std::string &target);

    /// Keeps a target that was being retired.
    void cancelRetirement(const std::string &target);

    /// Removes a target immediately; jobs with runs on it end as abandoned.
    void loseTarget(const std::string &target, TimePoint now);

    /// Starts no task before this time, as the targets' entries are too old to place by.
    void holdStartsUntil(TimePoint time);

    /// Replaces the set of evacuated zones; see ZoneEvacuation::setZones(). Jobs that fit only there are redirected, returned or refused,
    /// also later when their grace period is over.
    void setEvacuatedZones(const std::set<std::string> &zones, TimePoint checkedAt, TimePoint now);

    /// Whether the set of evacuated zones is known; while it is not, nothing is started.
    void setEvacuationKnown(bool known, TimePoint now);

    /// True from addTarget() on.
    bool ownsTarget(const std::string &target) const;

    /// The record of a target that was listed under this host's fencing token, or null. It is valid until the next call that changes the
    /// scheduler.
    const TargetLedger *findListedTarget(const std::string &id) const;

    /// True once the target was listed under this host's fencing token.
    bool isListed(const std::string &target) const;

    /// True while a listed target answers.
    bool isAnswering(const std::string &target) const;
    std::vector<std::string> ownedTargets() const;
    std::size_t ownedTargetCount() const;

    /// True once the target was listed under a token that was first sent after this time.
    bool isListedUnderClaimAfter(const std::string &target, TimePoint time) const;

    /// The number of claims of targets that were made so far; see JobGrant::confirmedClaims.
    std::uint64_t claimCount() const;

    /// Identifies a set of targets: the sum of hashes of their ids. ownedTargetsDigest() is that of the targets that are claimed or held,
    /// and of those that were taken away while the leases of their runs may last.
    static std::uint64_t digestOf(const std::string &target);
    std::uint64_t ownedTargetsDigest() const;

    void onStartReply(const std::string &target, const RunName &run, const TargetReply &reply, TimePoint now);
    void onStopReply(const std::string &target, const RunName &run, const TargetReply &reply, TimePoint now);
    void onRenewalReply(const std::string &target, const RenewalReply &reply, TimePoint now);

    /// Repeats stops, probes unresponsive targets and ends jobs that can no longer meet their deadline. Call every few tens of
    /// milliseconds.
    void tick(TimePoint now);

    /// The process was suspended for longer than leases last: every job is ended before anything is started.
    void onTimeGap(TimePoint now);

    /// Every target of the lost dispatcher has been listed here, so that it can start no job that was taken from it, and those have no runs
    /// of it but the ones that were found. Applies only to the jobs that are here now, since the dispatcher may come back and be lost
    /// again.
    void onTakeoverComplete(const std::string &lostDispatcher, TimePoint now);

    /// The lost dispatcher has said that it runs nothing of the job any more, so that submissions of the entry host up to this number need
    /// not wait for it; all submissions for number 0.
    void onLostDispatcherDone(
        const std::string &jobId, const std::string &lostDispatcher, const std::string &entryHost, std::uint64_t number, TimePoint now);

    /// From now on a run of any job may have been missed: a host that knew of it was lost, or this one has just started.
    void onHistoryLost(TimePoint now);

    /// False only when it is certain that no earlier submission of the job had a run.
    bool mayHaveRun(const std::string &jobId, TimePoint now) const;

    /// Records a job that had a run at another dispatcher and was given up there.
    void onRunElsewhere(const std::string &jobId, TimePoint now);

    /// True when the job is known to have had a run on a target of this host within the time in which callers send jobs again.
    bool hasRunHere(const std::string &jobId) const;

    /// Sets the dispatchers to which jobs may be redirected when there is no capacity here.
    void setPeers(std::vector<PeerDispatcher> peers);

    /// Redirects every waiting job of which no task has started to this dispatcher.
    void redirectWaitingJobs(const std::string &dispatcher, TimePoint now);

    /// Refuses every waiting job of which no task has started.
    void refuseWaitingJobs(JobEndReason reason, TimePoint now);

    /// The load of each service, as reported to other hosts.
    std::vector<ServiceLoad> loads(TimePoint now) const;

    /// The usage of the targets, for logs and metrics.
    TargetUsage usage(TimePoint now) const;

    std::size_t jobCount() const;

    /// The entry hosts of all jobs.
    std::unordered_set<std::string> entryHosts() const;
    std::size_t runCount() const;

private:
    using QueueKey = std::pair<double, std::string>;

    struct Service
    {
        std::vector<TargetLedger *> targets;
        std::set<QueueKey> queue;
        FairQueueClock fairClock;
        /// The moving average of the processor demand of a task, in thousandths of a core; 0 until the first job.
        double typicalMilliCores = 0;
    };

    ScheduledJob *findJob(const std::string &jobId) const;
    ScheduledJob *jobOf(const LedgerRun &run) const;
    static bool isRunOf(const LedgerRun &run, const TargetLedger &target, const JobSubmission &submission);
    bool mustWaitForOtherRuns(const JobSubmission &submission) const;
    void holdUnstartedJob(const std::string &jobId, TimePoint now);
    void holdCollidingJob(JobSubmission submission, TimePoint now);
    void submitCollidingJobs(TimePoint now);
    void endCollidingJob(const JobSubmission &submission, JobEndReason reason, const std::string &elsewhere, TimePoint now);
    std::vector<JobSubmission> takeAllCollidingJobs();
    TargetLedger *findTarget(const std::string &id, std::uint64_t fencingToken) const;
    std::string betterDispatcher(const ScheduledJob &job, TimePoint now);
    std::vector<std::string> unstartedJobs() const;
    bool fitsAnywhere(const JobSubmission &submission) const;
    void adoptRuns(ScheduledJob &job, TimePoint now);
    void adoptRun(ScheduledJob &job, TargetLedger &target, LedgerRun &run, TimePoint now);
    void stopOtherRun(ScheduledJob &job, TargetLedger &target, LedgerRun &run, TimePoint now);
    void setForecast(ScheduledJob &job);
    Duration shortestCompletionTime(const ScheduledJob &job, TimePoint now) const;
    void enqueue(ScheduledJob &job, TimePoint now);
    QueueRankInputs rankInputsOf(const ScheduledJob &job) const;
    Timeliness timelinessOf(const ScheduledJob &job, TimePoint now) const;
    void updateTimeliness(TimePoint now);
    CapacityShortage shortageOf(const Service &service, TimePoint now) const;
    void refuseLateJobs(TimePoint now);
    const std::string &chargedRouteOf(const ScheduledJob &job) const;
    void assignTag(ScheduledJob &job);
    void reassignTags(const std::string &serviceName, TimePoint now);
    void dequeue(ScheduledJob &job);
    Duration forecastWait(const Service &service, const ScheduledJob &job, TimePoint now) const;
    std::unordered_map<std::string, Duration> waitsOfOverdueJobs(TimePoint now) const;
    static double usableCores(const Service &service, TimePoint now);
    std::uint32_t freeTasks(const Service &service, TimePoint now) const;
    Duration retryAfter(const Service &service, const std::string &jobId, TimePoint now) const;

    void schedule(const std::string &serviceName, TimePoint now);
    double smallestWaitingShare(const Service &service, const Resources &capacity) const;
    void updateReservedTargets(Service &service, TimePoint now);
    std::size_t reserveTargets(const ScheduledJob &job, const Service &service, std::size_t maxTargets, TimePoint now);
    PlacementRequest placementRequestFor(const ScheduledJob &job, const ScheduledTask &task, TimePoint now) const;
    static bool canSpareTarget(const Service &service, TimePoint now);
    QueueBesideJob queueBeside(const ScheduledJob &job, const Service &service, TimePoint now) const;
    void reportRack(const ScheduledJob &job, ScheduledTask &task, const TargetLedger &target, const LedgerRun &run, TimePoint now);
    bool startTasks(ScheduledJob &job, Service &service, TimePoint now);
    void start(ScheduledJob &job, ScheduledTask &task, TargetLedger &target, const PlacementRequest &placement, TimePoint now);

    Duration renewalWait(const TargetLedger &target, TimePoint now) const;
    void renew(TargetLedger &target, TimePoint now);
    void requestListing(TargetLedger &target, TimePoint now);
    void sendStart(const ScheduledJob &job, const TargetLedger &target, LedgerRun &run);
    bool repeatStart(const TargetLedger &target, LedgerRun &run, TimePoint now);
    void stop(TargetLedger &target, LedgerRun &run, const char *cause, TimePoint now);
    void sendStop(const TargetLedger &target, LedgerRun &run, TimePoint now);
    std::vector<TimePoint> otherSilentTargets(const TargetLedger &lost, TimePoint now) const;
    void onRunsLost(
        TargetLedger &target, LossEvidence evidence, TimePoint lastAnswerAt, const std::vector<EndedLedgerRun> &ended, TimePoint now);
    void onRunEnded(TargetLedger &target, const EndedLedgerRun &ended, TimePoint now);
    void onTaskFailed(ScheduledJob &job, ScheduledTask &task, TargetLedger &target, TimePoint now);
    void onTaskDone(ScheduledJob &job, ScheduledTask &task, TargetLedger &target, const LedgerRun &run, TimePoint now);
    void recordListedRuns(const TargetListing &listing, TimePoint now);
    void onProbeReply(TargetLedger &target, const RenewalReply &reply, TimePoint now);
    void compareTargets(const ScheduledJob &job, TimePoint now);
    void stopUnconfirmedStarts(TargetLedger &target, TimePoint now);
    void onRunFound(TargetLedger &target, const RunName &run, TimePoint now);
    void stopRunsAndEnd(ScheduledJob &job, const JobResult &result, TimePoint now);
    void endCrashingJob(ScheduledJob &job, TimePoint now);
    void updateGrants(TimePoint now);
    void resumeLeases(const std::string &entryHost, TimePoint now);
    void markRunsWithoutGrant(const std::string &entryHost, TimePoint now);
    void markRunsWithoutGrant(const ScheduledJob &job, TimePoint now);
    std::uint64_t confirmedClaims(const JobSubmission &submission) const;
    void returnJobs(const std::string &entryHost, const char *cause, TimePoint now);
    bool isGranted(const JobSubmission &submission, TimePoint now) const;
    TimePoint grantEndOf(const JobSubmission &submission) const;
    void updateGrantEnds(TargetLedger &target);
    void endIfNoRunsLeft(const std::string &jobId, TimePoint now);
    void endJob(const std::string &jobId, const JobResult &result, TimePoint now);
    void reportReplacement(const JobSubmission &replaced, const JobSubmission &next, TimePoint now);
    void reportEnd(const JobSubmission &submission, const JobResult &result, TimePoint now);
    bool hasRuns(const std::string &jobId) const;
    bool mayHaveRunBefore(const JobSubmission &submission, TimePoint now) const;
    bool refuseIfTooLarge(const JobSubmission &submission, TimePoint now);
    void eject(TargetLedger &target, EjectionCause cause, TimePoint now);
    void checkRuns(TargetLedger &target, TimePoint now);
    void checkResponsiveness(TargetLedger &target, TimePoint now);
    void recordRestartAt(const TargetEntry &entry);
    void eraseTarget(const std::string &target);
    void releaseUnconfirmedStarts(TargetLedger &target, TimePoint now);
    void releaseIdleTargets(TimePoint now);
    void endInfeasibleJobs(TimePoint now);
    void updateZoneAccess(TargetLedger &target, TimePoint now);
    void updateEvacuation(TimePoint now);
    bool isBlockedByEvacuation(const ScheduledJob &job, TimePoint now) const;
    void endEvacuatedJob(ScheduledJob &job, TimePoint now);

    SchedulerLimits m_limits;
    SchedulerPort &m_port;
    SchedulerObserver &m_observer;
    RunTimeModel m_runTimes;
    /// Jobs that recently had a run, including those started by an earlier dispatcher.
    CollidingJobs m_collidingJobs;
    RecentJobs m_recentlyRunJobs;
    /// Jobs that other dispatchers have named. Kept apart, so that a host does not name them in turn.
    RecentJobs m_runElsewhere;
    EndedSubmissions m_endedSubmissions;
    /// For each job that had runs on targets which another host has taken: when these runs have ended.
    std::unordered_map<std::string, TimePoint> m_lostRunsEndBy;
    CrashSuspects m_crashSuspects;
    HeldGrants m_grants;
    OverloadPolicy m_overloadPolicy;
    std::uint64_t m_claimCount = 0;
    TimePoint m_startsHeldUntil;
    ZoneEvacuation m_zoneEvacuation;
    bool m_isEvacuationKnown;
    RepeatBudget m_repeatBudget;
    std::unordered_map<std::string, std::unique_ptr<TargetLedger>> m_targets;
    /// Targets that were taken away while they had runs, and when the leases of these have ended.
    std::map<std::string, TimePoint> m_lostTargets;
    std::unordered_map<std::string, std::unique_ptr<ScheduledJob>> m_jobs;
    /// The number of their tasks.
    std::size_t m_taskCount = 0;
    std::map<std::string, Service> m_services;
    std::vector<PeerDispatcher> m_peers;
    /// When a renewal was last unanswered by a target that had answered shortly before.
    TimePoint m_lastLostAnswerAt;
    std::uint64_t m_lastRenewalSequence = 0;
};
} // namespace Anvilcart::Fleet
