#pragma once

#include "fleet/fleetview.h"
#include "fleet/interfaces/hostobserver.h"
#include "fleet/interfaces/hostport.h"
#include "fleet/poolassignment.h"
#include "fleet/straingauge.h"
#include "scheduling/scheduler.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Anvilcart::Fleet
{
/// Who a host is and what it may rely on.
struct HostIdentity
{
    std::string host;
    /// Differs between the starts of a process.
    std::uint64_t incarnation = 0;
    std::string zone;
    Endpoint peerDoor;
    std::uint32_t processorPercent = 100;
    std::vector<Endpoint> seeds;
    SchedulerLimits limits;
};

/// One host of the fleet: takes callers' jobs, hands them to dispatchers, and dispatches for the pools that it claims.
/// Has neither socket nor clock; everything happens in the calls, in their order. Not thread-safe.
class HostNode : private SchedulerPort
{
public:
    /// The port and the observer outlive the node.
    HostNode(HostIdentity identity, HostPort &port, HostObserver &observer);
    ~HostNode() override;

    /// Takes a caller's job. HostPort::answerCaller() is called once for it, unless it is cancelled first.
    void submit(JobSubmission order, TimePoint now);

    /// The caller of this job has gone.
    void cancel(const std::string &jobId, TimePoint now);

    /// True while a caller waits for this job here.
    bool isWaitedFor(const std::string &jobId) const;

    /// Jobs of a route whose callers wait here and of which no answer is known.
    std::size_t waitingJobs(const std::string &route) const;

    void onFrame(FleetFrame frame, TimePoint now);
    void onLinkClosed(const std::string &host, std::uint64_t incarnation, TimePoint now);

    void onStartReply(const std::string &target, const RunName &run, const OrderReply &reply, TimePoint now);
    void onStopReply(const std::string &target, const RunName &run, const OrderReply &reply, TimePoint now);
    void onRenewalReply(const std::string &target, const RenewalReply &reply, TimePoint now);

    /// The list of targets, whole. Entries that are missing although storeIsFresh is set are gone.
    void onTargetList(const std::map<std::string, TargetEntry> &entries, bool storeIsFresh, TimePoint now);

    /// Doors of hosts that the store names.
    void onKnownDoors(const std::vector<Endpoint> &doors);

    /// The operator's record that this host holds, for peers that miss it.
    void setConfiguration(ConfigurationRecord record);

    /// Does what is due. Call every few tens of milliseconds.
    void tick(TimePoint now);

    /// A timer of this process fired so much later than it should have. Call for each period of tick().
    void onTimerDelay(Duration delay, TimePoint now);

    /// The process stood still for so long, although the steady clock may not show it.
    void onTimeGap(Duration gap, TimePoint now);

    /// Takes part in no pool any more and hands over what it can.
    void beginLeaving(TimePoint now);

    /// True from beginLeaving() on.
    bool isLeaving() const;

    /// True when no caller waits here and no run is held.
    bool isIdle() const;

    /// Gives up on what is still here: callers are answered, runs are stopped.
    void giveUp(TimePoint now);

    /// True when a dispatcher for some pool is known, this host or another.
    bool canDispatch(TimePoint now) const;

    /// True while this host dispatches to a pool.
    bool isDispatcher() const;

    std::size_t hostCount(TimePoint now) const;

private:
    struct Dispatcher
    {
        std::string host;
        std::uint64_t incarnation = 0;
        bool sameZone = false;
        Duration wait {0};
        std::uint32_t freeTasks = 0;
        Duration reportAge {0};
    };

    void sendStart(const std::string &target, const StartOrder &order) override;
    void sendStop(const std::string &target, const StopOrder &order) override;
    void sendRenewal(const std::string &target, const RenewalOrder &order) override;
    void onJobEnd(const JobSubmission &job, const JobResult &result) override;
    void onTargetLost(const std::string &target, bool wasOwned) override;
    void onTargetRestarted(const std::string &target) override;
    void onTargetReleased(const std::string &target) override;

    /// Acts on what the scheduler told during a call; never while the scheduler is at work.
    void settle(TimePoint now);

    void place(EntryJob &job, TimePoint now);
    bool placeWithHeir(EntryJob &job, TimePoint now);
    bool handTo(EntryJob &job, const Dispatcher &dispatcher, TimePoint now);
    std::vector<Dispatcher> dispatchersFor(const std::string &service, TimePoint now) const;
    void onJobResult(const std::string &jobId, const std::string &from, const JobResult &result, TimePoint now);
    void answer(const std::string &jobId, const CallerReply &reply, TimePoint now);
    void onDispatcherLost(const std::string &host, std::uint64_t incarnation, TimePoint now);
    void placeWaiting(TimePoint now);
    bool followRedirect(EntryJob &job, const JobResult &result, TimePoint now);
    bool isStale(const FleetFrame &frame, TimePoint now);
    void probeForeignPools(const std::set<PoolName> &pools, TimePoint now);
    bool onProbeReply(const std::string &target, const RenewalReply &reply, TimePoint now);

    void onReport(const FleetFrame &frame, TimePoint now);
    void onHostSilent(const FleetMember &member, TimePoint now);
    void updatePeerLoads(TimePoint now);
    void updatePools(TimePoint now);
    void claimPool(const PoolName &pool, TimePoint now);
    void claimTargets(TimePoint now);
    void yieldPool(const PoolName &pool, TimePoint now);
    void finishYields(TimePoint now);
    void checkTakeovers(TimePoint now);
    bool isTakenOver(const std::string &lostDispatcher, TimePoint now) const;
    void schedule(JobSubmission order, TimePoint now);
    std::string heirOf(const PoolName &pool, TimePoint now) const;
    const TargetEntry *entryOf(const std::string &target) const;
    PoolName poolOfTarget(const TargetEntry &entry) const;
    std::uint32_t listedTargets(const PoolName &pool) const;
    std::uint64_t nextToken(const std::string &target);

    void learnDoor(const Endpoint &door, TimePoint now);
    void forgetSilentDoors(TimePoint now);
    void sendReports(TimePoint now);
    HostReport makeReport(TimePoint now);
    Duration reportPeriod(const FleetMember *recipient) const;
    bool send(const std::string &host, FleetFrame frame, TimePoint now);

    HostIdentity m_identity;
    HostPort &m_port;
    HostObserver &m_observer;
    Scheduler m_scheduler;
    FleetView m_view;
    PoolAssignment m_assignment;
    StrainGauge m_strain;
    bool m_strained = false;

    std::unordered_map<std::string, EntryJob> m_jobs;
    std::map<std::string, TargetEntry> m_targets;
    /// Targets without an entry that still hold runs of this host.
    std::map<std::string, TargetEntry> m_goneTargets;
    PoolPlan m_plan;
    /// Doors to which a connection is kept, and when they became known.
    std::map<std::string, TimePoint> m_knownDoors;
    std::map<std::string, TimePoint> m_reportDueAt;
    std::map<std::string, TimePoint> m_reconnectedAt;
    /// The period that was last told to the host behind each door.
    std::map<std::string, Duration> m_toldPeriod;
    /// The shortest time that a frame of this incarnation took, on clocks that do not agree.
    std::map<std::uint64_t, Duration> m_shortestDelay;
    /// What probes of a pool have shown.
    struct ProbeRecord
    {
        TimePoint dueAt;
        TimePoint answersSince;
        TimePoint lastAnswerAt;
        std::size_t turn = 0;
    };

    /// Pools of other zones without owner.
    std::map<PoolName, ProbeRecord> m_probedPools;
    std::map<std::string, PoolName> m_probes;
    /// Targets that obeyed another host; not claimed again before then.
    std::map<std::string, TimePoint> m_claimPause;
    std::map<std::string, int> m_lostClaims;
    /// Told by the scheduler, not yet acted on.
    std::vector<JobEndNotice> m_endedHere;
    std::vector<std::string> m_takenTargets;
    std::vector<std::string> m_restartedTargets;
    /// Dispatchers that fell silent, with the pools that they had.
    std::map<std::string, std::pair<std::set<PoolName>, TimePoint>> m_lostDispatchers;
    ConfigurationRecord m_configuration;
    std::uint64_t m_highestRound = 0;
    TimePoint m_lastTickAt;
    TimePoint m_configurationAskedAt;
    TimePoint m_now;
    TimePoint m_lastReportAt;
    TimePoint m_usageTold;
    std::uint64_t m_reportsSent = 0;
    bool m_reportsDue = false;
    bool m_toldFreeRoom = false;
    bool m_leaving = false;
};
} // namespace Anvilcart::Fleet
