#pragma once

#include "scheduling/fairqueueclock.h"
#include "scheduling/interfaces/schedulerobserver.h"
#include "scheduling/interfaces/schedulerport.h"
#include "scheduling/placementchoice.h"
#include "scheduling/queuepolicy.h"
#include "scheduling/recentjobs.h"
#include "scheduling/runtimemodel.h"
#include "scheduling/scheduledjob.h"
#include "scheduling/targetledger.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Anvilcart::Fleet
{
/// Bounds of a scheduler that its surroundings set.
struct SchedulerLimits
{
    /// Longest lease that a target grants.
    Duration maxLease = Milliseconds(1000);
    /// Longest time that a target takes to stop a run.
    Duration stopTime = Milliseconds(50);
    /// Waiting jobs; beyond it new ones are refused. A job takes about 2 KB, so this keeps the queue under 8 MB.
    std::size_t maxQueuedJobs = 4000;
    QueuePolicy policy = FairShareFirst {};
    /// Refuses jobs that the forecast says to be hopeless. Off only in baselines.
    bool refuseHopeless = true;
};

/// How much a dispatcher has to do for one service, told to other hosts.
struct ServiceLoad
{
    std::string service;
    /// Tasks of the usual size that could start now.
    std::uint32_t freeTasks = 0;
    std::uint32_t queuedTasks = 0;
    /// Forecast wait of a job that would come last.
    Duration wait {0};
};

/// How the targets of a dispatcher are used.
struct TargetUsage
{
    std::size_t targets = 0;
    std::size_t ejected = 0;
    std::size_t silent = 0;
    std::size_t leaving = 0;
    std::size_t runs = 0;
    std::size_t unidentifiedRuns = 0;
    std::size_t queuedJobs = 0;
    std::int64_t milliCores = 0;
    std::int64_t usedMilliCores = 0;
};

/// Another dispatcher that may take whole jobs.
struct PeerDispatcher
{
    std::string host;
    std::vector<ServiceLoad> loads;
};

/// Runs jobs on the targets that this host owns: one queue a service, exclusive accounting of room, leases, retries, refusals.
/// Has neither socket nor clock; everything happens in the calls, in their order. Not thread-safe.
class Scheduler
{
public:
    /// The port and the observer outlive the scheduler.
    Scheduler(const SchedulerLimits &limits, SchedulerPort &port, SchedulerObserver &observer);
    ~Scheduler();

    /// Takes a job in, names another dispatcher for it or refuses it. A job that is already here goes on and answers to the new order's
    /// entry host.
    void submit(JobOrder order, TimePoint now);

    /// The entry host gave the job up: its runs are stopped and no result is told.
    void cancel(const std::string &jobId, const std::string &entryHost, TimePoint now);

    /// Gives up every job of an entry host that is gone.
    void cancelAllOf(const std::string &entryHost, TimePoint now);

    /// Begins to take a target over under a fencing token. No effect when it is owned already, but for a new token.
    void addTarget(const TargetEntry &entry, std::uint64_t fencingToken, TimePoint now);

    /// Takes over what a target registered about itself; one without an entry gets no new work.
    void updateTarget(const TargetEntry &entry);
    void onEntryGone(const std::string &target);

    /// Starts no new job there and gives the target up once it is idle.
    void retireTarget(const std::string &target);

    /// Keeps a target that was to be given up.
    void keepTarget(const std::string &target);

    /// Forgets a target at once; jobs with runs there end as abandoned.
    void loseTarget(const std::string &target, TimePoint now);

    /// True from addTarget() on.
    bool ownsTarget(const std::string &target) const;

    /// True once the target was listed under our fencing token.
    bool isListed(const std::string &target) const;
    std::vector<std::string> ownedTargets() const;

    void onStartReply(const std::string &target, const RunName &run, const TargetReply &reply, TimePoint now);
    void onStopReply(const std::string &target, const RunName &run, const TargetReply &reply, TimePoint now);
    void onRenewalReply(const std::string &target, const RenewalReply &reply, TimePoint now);

    /// Repeats stops, probes silent targets, ends hopeless jobs. Call every few tens of milliseconds.
    void tick(TimePoint now);

    /// The process stood still for longer than leases last: jobs of other entry hosts are given up before anything is started.
    void onTimeGap(TimePoint now);

    /// Every target of that dispatcher has been listed here: no run of its jobs exists but those that were found. Holds for the jobs that
    /// are here now; the dispatcher may come back and be lost again.
    void onTakeoverComplete(const std::string &lostDispatcher, TimePoint now);

    /// Other dispatchers that may take jobs for which there is no room here.
    void setPeers(std::vector<PeerDispatcher> peers);

    /// Names that dispatcher for every waiting job of which no task has started.
    void redirectWaitingJobs(const std::string &dispatcher, TimePoint now);

    /// Refuses every waiting job of which no task has started.
    void refuseWaitingJobs(JobEndReason reason, TimePoint now);

    /// The load of each service, for other hosts.
    std::vector<ServiceLoad> loads(TimePoint now) const;

    /// How its targets are used, for logs and metrics.
    TargetUsage usage(TimePoint now) const;

    std::size_t jobCount() const;
    std::size_t runCount() const;

private:
    using QueueKey = std::pair<double, std::string>;

    struct Service
    {
        std::vector<TargetLedger *> targets;
        std::set<QueueKey> queue;
        FairQueueClock fairClock;
        /// Processor time of the usual task, in thousandths of a core.
        double usualMilliCores = 0;
    };

    ScheduledJob *findJob(const std::string &jobId);
    std::string betterDispatcher(const ScheduledJob &job, TimePoint now);
    std::vector<std::string> untouchedJobs() const;
    bool fitsAnywhere(const JobOrder &order) const;
    void adoptRuns(ScheduledJob &job, TimePoint now);
    void plan(ScheduledJob &job);
    Duration shortestTime(const ScheduledJob &job, TimePoint now) const;
    void enqueue(ScheduledJob &job, TimePoint now);
    QueuedJobFacts factsOf(const ScheduledJob &job) const;
    Timeliness timelinessOf(const ScheduledJob &job, TimePoint now) const;
    void demoteLateJobs(TimePoint now);
    const std::string &fairRouteOf(const ScheduledJob &job) const;
    void tagInTurn(ScheduledJob &job);
    void tagAnew(const std::string &serviceName, TimePoint now);
    void dequeue(ScheduledJob &job);
    Duration forecastWait(const Service &service, const ScheduledJob &job, TimePoint now) const;
    std::unordered_map<std::string, Duration> waitsOfOverdueJobs(TimePoint now) const;
    static double usableCores(const Service &service, TimePoint now);
    std::uint32_t freeTasks(const Service &service, TimePoint now) const;
    Duration retryAfter(const Service &service, const std::string &jobId, TimePoint now) const;

    void schedule(const std::string &serviceName, TimePoint now);
    void updateKeptTargets(Service &service, TimePoint now);
    std::size_t keepTargets(const ScheduledJob &job, const Service &service, std::size_t most, TimePoint now);
    PlacementNeed needOf(const ScheduledJob &job, const ScheduledTask &task, TimePoint now) const;
    bool startTasks(ScheduledJob &job, Service &service, TimePoint now);
    void start(ScheduledJob &job, ScheduledTask &task, TargetLedger &target, Duration expected, TimePoint now);

    Duration renewalWait(const TargetLedger &target, TimePoint now) const;
    void renew(TargetLedger &target, TimePoint now);
    void stop(TargetLedger &target, LedgerRun &run, const char *cause, TimePoint now);
    void onRunEnded(TargetLedger &target, const EndedLedgerRun &ended, TimePoint now);
    void onTaskFailed(ScheduledJob &job, ScheduledTask &task, TargetLedger &target, TimePoint now);
    void onTaskDone(ScheduledJob &job, ScheduledTask &task, TargetLedger &target, const LedgerRun &run, TimePoint now);
    void noteEarlierRuns(const TargetListing &listing, TimePoint now);
    void onProbeReply(TargetLedger &target, const RenewalReply &reply, TimePoint now);
    void compareTargets(const ScheduledJob &job, TimePoint now);
    void preventUnconfirmed(TargetLedger &target, TimePoint now);
    void onAdopted(TargetLedger &target, const RunName &run, TimePoint now);
    void beginEnding(ScheduledJob &job, const JobResult &result, TimePoint now);
    void finishIfOver(const std::string &jobId, TimePoint now);
    void endJob(const std::string &jobId, const JobResult &result, TimePoint now);
    bool hasRuns(const std::string &jobId) const;
    bool mayHaveRunBefore(const ScheduledJob &job) const;
    void eject(TargetLedger &target, EjectionCause cause, TimePoint now);
    void watchRuns(TargetLedger &target, TimePoint now);
    void watchSilence(TargetLedger &target, TimePoint now);
    void eraseTarget(const std::string &target);
    void finishRetired(TimePoint now);
    void endHopeless(TimePoint now);

    SchedulerLimits m_limits;
    SchedulerPort &m_port;
    SchedulerObserver &m_observer;
    RunTimeModel m_runTimes;
    /// Jobs that had a run, also under an earlier dispatcher.
    RecentJobs m_ranLately;
    std::unordered_map<std::string, std::unique_ptr<TargetLedger>> m_targets;
    std::unordered_map<std::string, std::unique_ptr<ScheduledJob>> m_jobs;
    std::map<std::string, Service> m_services;
    std::vector<PeerDispatcher> m_peers;
    /// The last renewal without an answer of a target that had answered just before.
    TimePoint m_answerLostAt;
};
} // namespace Anvilcart::Fleet
