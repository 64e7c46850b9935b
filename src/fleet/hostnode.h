#pragma once

#include "fleet/cancelannouncements.h"
#include "fleet/cancelinquiries.h"
#include "fleet/earlierruns.h"
#include "fleet/evacuationstate.h"
#include "fleet/fleetview.h"
#include "fleet/interfaces/hostobserver.h"
#include "fleet/interfaces/hostport.h"
#include "fleet/issuedgrants.h"
#include "fleet/knownendpoints.h"
#include "fleet/overloaddetector.h"
#include "fleet/owedcancellations.h"
#include "fleet/owedresults.h"
#include "fleet/peerprocesses.h"
#include "fleet/poolassignment.h"
#include "fleet/rememberedcancellations.h"
#include "fleet/runnotices.h"
#include "fleet/startannouncements.h"
#include "scheduling/scheduler.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Anvilcart::Fleet
{
/// A host's name, endpoints and limits.
struct HostIdentity
{
    std::string host;
    /// Differs with every start of the process.
    std::uint64_t incarnation = 0;
    /// The whole fleet starts for the first time, so no job has run before.
    bool isFirstStart = false;
    std::string zone;
    Endpoint peerEndpoint;
    std::uint32_t processorPercent = 100;
    /// Peer endpoints to connect to from the start; never removed.
    std::vector<Endpoint> seeds;
    /// The most endpoints to connect to, and the most other hosts to know.
    std::size_t maxPeers = 1024;
    SchedulerLimits limits;
    /// A list of targets that could not be read for this long is stale.
    Duration targetListExpiry = Milliseconds(1500);
};

/// One host of the fleet: accepts callers' jobs, submits them to dispatchers, and dispatches for the pools that it claims.
/// Uses no socket and no clock of its own, so its behaviour depends only on the sequence of calls. Not thread-safe.
class HostNode : private SchedulerPort
{
public:
    /// The port and the observer must outlive the node.
    HostNode(HostIdentity identity, HostPort &port, HostObserver &observer);
    ~HostNode() override;

    /// Accepts a caller's job, unless its caller has gone already, or the job was cancelled on request lately. HostPort::answerCaller() is
    /// called once for it, unless it is cancelled first.
    void submit(JobSubmission submission, TimePoint now);

    /// Cancels a job whose caller has gone.
    void cancel(const std::string &jobId, TimePoint now);

    /// Cancels a job on the request of a caller, which may wait for its answer at another host: all hosts are asked. When all live hosts
    /// remember the cancellation, HostPort::onCancelDecided() is called; at the latest when a live host would count as lost.
    void requestCancel(const std::string &jobId, TimePoint now);

    /// True while a caller waits for this job here.
    bool hasWaitingCaller(const std::string &jobId) const;

    /// Number of jobs of a route whose callers still wait here.
    std::size_t waitingJobCount(const std::string &route) const;

    void onFrame(FleetFrame frame, TimePoint now);

    /// The only connection from a host has closed.
    void onLinkClosed(const std::string &host, std::uint64_t incarnation, TimePoint now);

    /// A connection from a host has closed that has opened another one before. Frames that were sent over the first may be lost.
    void onLinkReplaced(const std::string &host, TimePoint now);

    /// The connection to an endpoint has closed. Frames that were sent over it may be lost.
    void onConnectionLost(const Endpoint &endpoint, TimePoint now);

    void onStartReply(const std::string &target, const RunName &run, const TargetReply &reply, TimePoint now);
    void onStopReply(const std::string &target, const RunName &run, const TargetReply &reply, TimePoint now);
    void onRenewalReply(const std::string &target, const RenewalReply &reply, TimePoint now);

    /// Updates the list of targets. Known targets that are missing from it are removed only if storeIsFresh is set.
    void onTargetList(const std::map<std::string, TargetEntry> &entries, bool storeIsFresh, TimePoint now);

    /// The list of targets could not be read.
    void onTargetListFailure(TimePoint now);

    /// Adds peer endpoints, such as those of the hosts in the store.
    void onKnownEndpoints(const std::vector<Endpoint> &endpoints);

    /// Sets the operator's configuration record, which is sent to peers on request.
    void setConfiguration(ConfigurationRecord record);

    /// The operator's topic in the store was read up to the view's offset.
    void onEvacuations(EvacuationRead read, TimePoint now);

    /// The operator's topic could not be read.
    void onEvacuationsLost(TimePoint now);

    /// Performs all periodic work. Call every few tens of milliseconds.
    void tick(TimePoint now);

    /// Records that a timer of this process fired this long after it was due. Call once for each tick().
    void onTimerDelay(Duration delay, TimePoint now);

    /// The process was paused for this long; the steady clock may not show it.
    void onTimeGap(Duration pause, TimePoint now);

    /// Yields all pools, claims no more, and hands over the waiting jobs.
    void beginLeaving(TimePoint now);

    /// True from beginLeaving() on.
    bool isLeaving() const;

    /// True when no caller waits here and the scheduler has neither jobs nor runs.
    bool isIdle() const;

    /// Abandons the remaining jobs: their callers are answered and their runs are stopped. Jobs that come later are refused.
    void abandonRemainingJobs(TimePoint now);

    /// True when this host or another live host dispatches to a pool.
    bool hasDispatcher(TimePoint now) const;

    /// True while this host dispatches to a pool.
    bool isDispatcher() const;

    std::size_t hostCount(TimePoint now) const;

    /// What this host holds as a dispatcher, for checks and tests.
    const Scheduler &scheduler() const;

private:
    /// The epoch of the grant for the jobs that this host dispatches for its own callers.
    static constexpr std::uint64_t OwnGrantEpoch = 1;

    struct Dispatcher
    {
        std::string host;
        std::uint64_t incarnation = 0;
        bool sameZone = false;
        Duration expectedWait {0};
        std::uint32_t freeTasks = 0;
        Duration reportAge {0};
    };

    /// A peer endpoint to which a connection is kept.
    struct PeerRecord
    {
        Endpoint endpoint;
        bool isSeed = false;
        /// The host that last reported from there; empty before the first report.
        std::string host;
        /// When the endpoint was first named, or last sent a report.
        TimePoint lastNamedAt;
        TimePoint nextReportAt;
        /// When a frame that asks for a grant was last sent there.
        TimePoint grantRequestedAt;
        /// When a report was last made due by a frame of a process that may have ended.
        TimePoint answeredUnprovenAt;
        /// When the cancelled jobs were last sent there.
        TimePoint cancelledJobsSentAt;
        /// The report period that was last sent there.
        Duration announcedPeriod {0};
        /// The number of endpoints that the last list sent there had.
        std::size_t listedEndpoints = 0;
    };

    void sendStart(const std::string &target, const StartRequest &request) override;
    void sendStop(const std::string &target, const StopRequest &request) override;
    void sendRenewal(const std::string &target, const RenewalRequest &request) override;
    void onJobEnd(const JobSubmission &job, const JobResult &result) override;
    void onCrashRecords(const JobSubmission &job, const std::vector<TaskCrashes> &crashes) override;
    void onRunStarted(const JobSubmission &job, RunIdentity run) override;
    void onRunsOutlastGrant(const JobSubmission &job, TimePoint endBy) override;
    void onTargetLost(const std::string &target, bool wasOwned) override;
    void onTargetRestarted(const std::string &target) override;
    void onTargetReleased(const std::string &target) override;

    void onPeerEvacuation(const EvacuationView &view, bool wasHeldUp, TimePoint now);
    void applyEvacuation(const EvacuationState &before, bool byStore, TimePoint now);
    bool isEvacuated(const std::string &zone) const;
    bool isEvacuated(const std::vector<PoolClaim> &claims) const;
    bool needsEvacuatedZone(const JobSubmission &submission) const;
    std::vector<PoolClaim> ownClaims() const;
    bool refuseIfEvacuated(EntryJob &job, TimePoint now);
    JobEndReason reasonFor(const std::string &entryHost, JobEndReason reason) const;

    /// Begins the handling of an event: detects a pause of the process before anything is decided on what was true before it.
    void beginEvent(TimePoint now);

    void excludeFromWaits(Duration pause, TimePoint now);

    /// Handles the events that the scheduler reported during a call. Must not be called from within a scheduler callback.
    void processSchedulerEvents(TimePoint now);

    /// Looks at the connections of a job's callers, and gives the job up when all of them have been closed. True in that case.
    bool endIfCallerHasGone(const std::string &jobId, TimePoint now);
    /// The same for all jobs that a dispatcher has.
    void endJobsOfGoneCallers(const std::string &dispatcher, TimePoint now);
    /// Looks at the callers of the sender's jobs, so that the next grants to it may count from this frame: they must not cover a job whose
    /// caller left before the frame. False when the last look is too recent; the grants count from an earlier frame then.
    bool seeCallersOf(const FleetFrame &frame, TimePoint now);
    /// Lets this host dispatch for its own callers a while longer, once it has looked at their connections.
    void renewOwnGrant(TimePoint now);

    CallerAnswer answerForUnstarted(const EntryJob &job, TimePoint now) const;
    void placeJob(EntryJob &job, TimePoint now);
    bool placeWithSuccessor(EntryJob &job, TimePoint now);
    bool submitTo(EntryJob &job, const Dispatcher &dispatcher, TimePoint now);
    std::vector<Dispatcher> dispatchersFor(const std::string &service, TimePoint now) const;
    void onCrashNotice(const CrashNotice &notice, const std::string &from, std::uint64_t incarnation);
    void onLongRuns(const LongRunsNotice &notice, const std::string &from, std::uint64_t incarnation);
    void onStartedRuns(const StartedRunsNotice &notice, const std::string &from, std::uint64_t incarnation);
    void onJobResult(const JobEndNotice &notice, const std::string &from, std::uint64_t incarnation, TimePoint now);
    void onResultOfPrevious(EntryJob &job, const JobEndNotice &notice, const std::string &from, std::uint64_t incarnation, TimePoint now);
    Duration longestSilenceOf(const std::set<std::string> &hosts) const;
    bool rememberCancelled(const CancelledJob &cancelled, TimePoint now);
    static CallerReply replyToCancelled();
    static JobSubmission namedAtTargets(JobSubmission submission);
    void completeKeys(FleetFrame &frame) const;
    bool refuseCancelled(const JobSubmission &submission, TimePoint now);
    void announceCancelled(const std::string &jobId, const std::string &askingHost, TimePoint now);
    void finishAnnouncements(TimePoint now);
    void onCancelAnswer(const CancelAnswer &answer, const std::string &from, TimePoint now);
    void onCancelledJobs(const FleetFrame &frame, TimePoint now);
    void addCancelledJobs(FleetFrame &frame, PeerRecord &peer, bool isLive, TimePoint now);
    void updateCancellations(TimePoint now);
    void onCancelFrame(const FleetFrame &frame, TimePoint now);
    void onCancellations(const FleetFrame &frame, TimePoint now);
    bool hasAskedAllHosts(const std::set<std::string> &asked, TimePoint now) const;
    void cancelAtDispatcher(const EntryJob &job, TimePoint now);
    bool placeBesideOwedCancellations(EntryJob &job, TimePoint now);
    bool returnToDispatcher(EntryJob &job, TimePoint now);
    void onDispatcherDisconnected(const std::string &host, TimePoint now);
    bool isRepeatDue(const EntryJob &job, TimePoint now) const;
    bool sendSubmission(const EntryJob &job, const std::string &dispatcher, TimePoint now);
    void takeBack(EntryJob &job, TimePoint now);
    TimePoint runsEndBy(const EntryJob &job, TimePoint now) const;
    void answer(const std::string &jobId, const CallerReply &reply, TimePoint now);
    void abandon(const std::string &jobId, TimePoint now);
    void onDispatcherLost(const std::string &host, std::uint64_t incarnation, TimePoint now);
    void placeWaitingJobs(TimePoint now);
    bool retryElsewhere(EntryJob &job, JobEndReason reason, TimePoint now);
    bool followRedirect(EntryJob &job, const JobResult &result, TimePoint now);
    Duration excessDelay(const FleetFrame &frame, TimePoint now) const;
    bool isStale(const FleetFrame &frame, TimePoint now);
    bool acceptGrant(FleetFrame &frame, TimePoint now);
    void addGrant(FleetFrame &frame, const FleetMember &recipient, TimePoint now);
    void removeOldLostDispatchers(TimePoint now);
    void recordLostDispatcher(const LostDispatcher &lost, TimePoint now);
    void probePoolsOfOtherZones(const std::set<PoolName> &pools, TimePoint now);
    bool onProbeReply(const std::string &target, const RenewalReply &reply, TimePoint now);

    void onProcessReplaced(const FleetFrame &frame, TimePoint now);
    void onUnprovenFrame(const FleetFrame &frame, TimePoint now);
    void onReport(const FleetFrame &frame, TimePoint now);
    void sendOwedResults(const std::string &entryHost, TimePoint now);
    void onHostLost(const FleetMember &member, TimePoint now);
    void updatePeerLoads(TimePoint now);
    void updatePools(TimePoint now);
    void claimPool(const PoolName &pool, TimePoint now);
    void claimTargets(TimePoint now);
    void yieldPool(const PoolName &pool, TimePoint now);
    void finishYields(TimePoint now);
    void checkTakeovers(TimePoint now);
    bool isTakenOver(const std::string &lostDispatcher, TimePoint now) const;
    void schedule(JobSubmission submission, TimePoint now);
    std::string successorOf(const PoolName &pool, TimePoint now) const;
    const TargetEntry *findTargetEntry(const std::string &target) const;
    bool ownsAnyOf(const PoolName &pool) const;
    std::uint32_t answeringTargetCount(const PoolName &pool) const;
    std::uint32_t removedTargetCount(const PoolName &pool) const;
    std::uint64_t nextFencingToken(const std::string &target);

    PeerRecord &addPeerEndpoint(const Endpoint &endpoint, TimePoint now);
    void addNamedEndpoint(const Endpoint &endpoint, TimePoint now);
    bool hasRoomFor(const Endpoint &endpoint) const;
    bool makeRoomFor(const Endpoint &endpoint);
    void removeUnresponsiveEndpoints(TimePoint now);
    void removeRecordsOfUnknownHosts();
    void sendReports(TimePoint now);
    HostReport makeReport(TimePoint now);
    Duration reportPeriod(const FleetMember *recipient, TimePoint now) const;
    bool hasFreeCapacity(TimePoint now) const;
    void sendDueReport(const Endpoint &endpoint, TimePoint now);
    void sendReport(PeerRecord &peer, HostReport &report, bool requestsGrant, TimePoint now);
    void sendGrantRequests(TimePoint now);
    void noteAbandonedRun(const std::string &jobId);
    void sendRunNotices(TimePoint now);
    bool send(const std::string &host, FleetFrame frame, TimePoint now);

    HostIdentity m_identity;
    HostPort &m_port;
    HostObserver &m_observer;
    Scheduler m_scheduler;
    FleetView m_view;
    PeerProcesses m_peerProcesses;
    PoolAssignment m_assignment;
    OverloadDetector m_overloadDetector;
    bool m_overloaded = false;

    std::unordered_map<std::string, EntryJob> m_jobs;
    std::uint64_t m_lastSubmissionNumber;
    std::uint64_t m_lastCrashNoticeNumber = 0;
    std::map<std::string, TargetEntry> m_targets;
    /// Targets that were removed from the list but still hold runs of this host.
    std::map<std::string, TargetEntry> m_removedTargets;
    PoolPlan m_poolPlan;
    /// By the text of their endpoints.
    std::map<std::string, PeerRecord> m_peers;
    KnownEndpoints m_knownEndpoints;
    std::map<std::string, TimePoint> m_reconnectedAt;
    /// The shortest delay of a frame in the current time span and in the previous one. It includes the difference of the two hosts' clocks,
    /// so only the difference between two delays has a meaning. Older ones don't count, since that difference changes when a clock stops
    /// with its suspended machine, or runs slow.
    struct ShortestDelay
    {
        Duration current;
        Duration previous;
        TimePoint spanStart;
    };
    /// By incarnation.
    std::map<std::uint64_t, ShortestDelay> m_shortestDelay;
    /// Results of the probes of a pool.
    struct ProbeRecord
    {
        TimePoint nextProbeAt;
        TimePoint reachableSince;
        TimePoint lastAnswerAt;
        std::size_t nextTargetIndex = 0;
    };

    /// Pools of other zones that no host claims.
    std::map<PoolName, ProbeRecord> m_probedPools;
    std::map<std::string, PoolName> m_pendingProbes;
    /// When a target that accepted a higher fencing token may be claimed again.
    std::map<std::string, TimePoint> m_nextClaimAt;
    std::map<std::string, int> m_lostClaimCounts;
    /// The round under which each target was last claimed.
    std::map<std::string, std::uint64_t> m_lastRoundOf;
    /// Events from the scheduler that are not handled yet.
    std::vector<JobEndNotice> m_locallyEndedJobs;
    std::vector<std::string> m_takenOverTargets;
    std::vector<std::string> m_restartedTargets;
    struct LossRecord
    {
        LostDispatcher dispatcher;
        TimePoint lostAt;
    };

    /// By incarnationKey().
    std::map<std::string, LossRecord> m_lostDispatchers;
    IssuedGrants m_issuedGrants;
    CancelInquiries m_cancelInquiries;
    RememberedCancellations m_cancelledJobs;
    CancelAnnouncements m_cancelAnnouncements;
    /// Hosts that are to be told of all cancelled jobs with the next report.
    std::set<std::string> m_owedCancelledJobs;
    OwedCancellations m_owedCancellations;
    OwedResults m_owedResults;
    EarlierRuns m_earlierRuns;
    RunNotices m_runNotices;
    StartAnnouncements m_startAnnouncements;
    /// Hosts that are live again and have not been told yet of the runs that were named meanwhile.
    std::set<std::string> m_owedRunNotices;
    ConfigurationRecord m_configuration;
    EvacuationState m_evacuation;
    std::uint64_t m_highestRound = 0;
    /// TimePoint() before the first read.
    TimePoint m_targetListReadAt;
    TimePoint m_lastTickAt;
    TimePoint m_ownGrantRenewedAt;
    /// When this host last looked at the callers of the jobs that a dispatcher has, by its name.
    std::map<std::string, TimePoint> m_callersSeenAt;
    TimePoint m_configurationRequestedAt;
    TimePoint m_now;
    TimePoint m_lastReportSentAt;
    TimePoint m_usageReportedAt;
    TimePoint m_poolsUpdatedAt;
    TimePoint m_endpointsCheckedAt;
    std::uint64_t m_reportsSent = 0;
    /// A report to every peer is due at once, since this host's claims have changed.
    bool m_reportsDue = false;
    /// The same, but not so soon that a large fleet is busy with reports, since only the load has changed.
    bool m_loadReportsDue = false;
    bool m_reportedFreeCapacity = false;
    bool m_leaving = false;
    /// The process ends before a further job could.
    bool m_refusesJobs = false;
};
} // namespace Anvilcart::Fleet
