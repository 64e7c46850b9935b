#include "fleet/hostnode.h"

#include <algorithm>
#include <utility>

// Other hosts of a host: frames, reports, silence. Callers' jobs are in hostnode.cpp, pools in hostnodepools.cpp.
namespace Anvilcart::Fleet
{
namespace
{
/// Reports to and from dispatchers come this often: a silent one is noticed after 700 ms, well before callers send a job again.
constexpr Milliseconds DispatcherReportPeriod {200};
/// Hosts that dispatch nothing need to know of each other only when one dies.
constexpr Milliseconds QuietReportPeriod {600};
/// Reports that are sent out of turn, because room appeared or ran out, are this far apart.
constexpr Milliseconds SwiftReportPause {40};
/// A report that found no connection is tried again after this.
constexpr Milliseconds UnsentPause {30};
/// Every so many reports tell which doors are known.
constexpr std::uint64_t DoorsEvery = 8;
/// The process stood still when it did nothing for this long; leases of 1 s are at risk.
constexpr Milliseconds GapLimit {450};
/// A host that says it has not heard this one for so many of this one's periods gets a new connection.
constexpr int UnheardPeriods = 2;
constexpr Milliseconds UnheardMargin {50};
constexpr Milliseconds ReconnectPause {600};
/// A frame that took so much longer than others of its sender was held up: far above round trips, below the time after which a
/// dispatcher counts as lost.
constexpr Milliseconds StaleFrameLimit {350};
/// Doors that nobody answers at are forgotten, seeds excepted.
constexpr Seconds ForgetDoorAfter {20};
/// A peer is asked for a configuration at most that often.
constexpr Milliseconds AskPause {300};
constexpr Seconds LostDispatcherMemory {10};
/// A strained host counts as one with so many times less processor time; how much less is not known, but less than the others.
constexpr std::uint32_t StrainedShare = 4;
/// Lines that tell how targets are used.
constexpr Seconds UsagePeriod {1};

std::string lostName(const std::string &host, std::uint64_t incarnation)
{
    return host + '#' + std::to_string(incarnation);
}
} // namespace

void HostNode::onFrame(FleetFrame frame, TimePoint now)
{
    m_now = now;
    if (frame.host == m_identity.host) {
        return;
    }
    if (frame.report) {
        onReport(frame, now);
    }
    if (isStale(frame, now)) {
        for (const auto &order : frame.submits) {
            FleetFrame refusal;
            refusal.ended.push_back({order.request.id, {JobEnd::NotRun, JobEndReason::WaitedTooLong, Seconds(1), {}}});
            send(frame.host, std::move(refusal), now);
        }
        frame.submits.clear();
    }
    for (auto &order : frame.submits) {
        schedule(std::move(order), now);
    }
    for (const auto &notice : frame.ended) {
        onJobResult(notice.jobId, frame.host, notice.result, now);
    }
    for (const auto &id : frame.cancels) {
        m_scheduler.cancel(id, frame.host, now);
    }
    if (frame.asksForConfiguration && m_configuration.version > 0) {
        FleetFrame reply;
        reply.configuration = m_configuration;
        send(frame.host, std::move(reply), now);
    }
    if (frame.configuration) {
        m_port.onConfigurationRecord(*frame.configuration);
    }
    settle(now);
}

/// True for a frame that was held up on its way: what its jobs say of time is not true any more, and their sender may have given them
/// to another dispatcher.
bool HostNode::isStale(const FleetFrame &frame, TimePoint now)
{
    const auto delay = now.time_since_epoch() - frame.sentAt;
    auto &shortest = m_shortestDelay.try_emplace(frame.incarnation, delay).first->second;
    shortest = std::min(shortest, delay);
    if (frame.submits.empty() || delay - shortest <= StaleFrameLimit) {
        return false;
    }
    m_observer.onStaleFrame(frame.host, delay - shortest, frame.submits.size());
    return true;
}

void HostNode::onReport(const FleetFrame &frame, TimePoint now)
{
    const auto &report = *frame.report;
    const auto *known = m_view.find(report.host);
    if (known != nullptr && known->report.incarnation != report.incarnation) {
        const auto old = *known;
        onHostSilent(old, now);
    }
    if (m_view.onReport(report, now)) {
        m_observer.onHostSeen(report, true, Duration(0));
        // It may dispatch again: what its earlier loss left behind says nothing of its next one.
        m_lostDispatchers.erase(lostName(report.host, report.incarnation));
        m_reportsDue = true;
    }
    learnDoor(report.peerDoor, now);
    m_knownDoors[toString(report.peerDoor)] = now;
    for (const auto &door : frame.knownDoors) {
        learnDoor(door, now);
    }
    for (const auto &claim : report.claims) {
        m_highestRound = std::max(m_highestRound, claim.round);
    }
    auto &reconnectedAt = m_reconnectedAt[report.host];
    const auto told = m_toldPeriod.find(toString(report.peerDoor));
    const auto unheardLimit = (told == m_toldPeriod.end() ? QuietReportPeriod : told->second) * UnheardPeriods + UnheardMargin;
    if (frame.unheard > unheardLimit && now - reconnectedAt > ReconnectPause) {
        reconnectedAt = now;
        m_port.reconnect(report.peerDoor);
    }
    if (report.configurationVersion > m_configuration.version && now - m_configurationAskedAt > AskPause) {
        m_configurationAskedAt = now;
        FleetFrame ask;
        ask.asksForConfiguration = true;
        send(report.host, std::move(ask), now);
    }
    updatePeerLoads(now);
    updatePools(now);
}

void HostNode::onLinkClosed(const std::string &host, std::uint64_t incarnation, TimePoint now)
{
    m_now = now;
    m_view.onDisconnect(host, incarnation, now);
    for (const auto &member : m_view.takeSilent(now)) {
        onHostSilent(member, now);
    }
    updatePools(now);
    placeWaiting(now);
    settle(now);
}

void HostNode::onHostSilent(const FleetMember &member, TimePoint now)
{
    const auto &report = member.report;
    m_observer.onHostSeen(report, false, now - member.lastHeardAt);
    std::set<PoolName> pools;
    for (const auto &claim : report.claims) {
        pools.insert(claim.pool);
    }
    std::erase_if(m_lostDispatchers, [now](const auto &entry) {
        return now - entry.second.second > LostDispatcherMemory;
    });
    m_lostDispatchers[lostName(report.host, report.incarnation)] = {pools, now};
    m_scheduler.cancelAllOf(report.host, now);
    onDispatcherLost(report.host, report.incarnation, now);
    updatePeerLoads(now);
}

void HostNode::updatePeerLoads(TimePoint now)
{
    std::vector<PeerDispatcher> peers;
    for (const auto *member : m_view.live(now)) {
        if (!member->report.leaving && !member->report.loads.empty()) {
            peers.push_back({member->report.host, member->report.loads});
        }
    }
    m_scheduler.setPeers(std::move(peers));
}

void HostNode::onKnownDoors(const std::vector<Endpoint> &doors)
{
    for (const auto &door : doors) {
        learnDoor(door, m_now);
    }
}

void HostNode::learnDoor(const Endpoint &door, TimePoint now)
{
    if (door == m_identity.peerDoor || door.port == 0) {
        return;
    }
    if (m_knownDoors.try_emplace(toString(door), now).second) {
        m_port.connect(door);
    }
}

void HostNode::forgetSilentDoors(TimePoint now)
{
    for (auto it = m_knownDoors.begin(); it != m_knownDoors.end();) {
        const auto door = *parseEndpoint(it->first);
        const bool seed = std::find(m_identity.seeds.begin(), m_identity.seeds.end(), door) != m_identity.seeds.end();
        if (!seed && now - it->second > ForgetDoorAfter) {
            m_port.disconnect(door);
            it = m_knownDoors.erase(it);
        } else {
            ++it;
        }
    }
}

void HostNode::setConfiguration(ConfigurationRecord record)
{
    m_configuration = std::move(record);
    m_reportsDue = true;
}

void HostNode::onTimeGap(Duration gap, TimePoint now)
{
    m_now = now;
    m_observer.onTimeGap(gap);
    m_scheduler.onTimeGap(now);
    std::set<std::pair<std::string, std::uint64_t>> dispatchers;
    for (const auto &[id, job] : m_jobs) {
        if (!job.dispatcher.empty() && job.dispatcher != m_identity.host) {
            dispatchers.emplace(job.dispatcher, job.incarnation);
        }
    }
    for (const auto &[host, incarnation] : dispatchers) {
        onDispatcherLost(host, incarnation, now);
    }
    settle(now);
}

/// A host whose processor does not keep up counts as a weaker one, so that a stronger one takes its pools.
void HostNode::onTimerDelay(Duration delay, TimePoint now)
{
    m_strain.onDelay(delay, now);
    const bool strained = m_strain.isStrained(now);
    if (strained == m_strained) {
        return;
    }
    m_strained = strained;
    m_assignment.self().processorPercent = m_identity.processorPercent / (strained ? StrainedShare : 1);
    m_reportsDue = true;
    m_observer.onStrain(strained, m_strain.delay());
}

void HostNode::tick(TimePoint now)
{
    m_now = now;
    if (m_lastTickAt == TimePoint()) {
        for (const auto &seed : m_identity.seeds) {
            learnDoor(seed, now);
        }
    } else if (now - m_lastTickAt > GapLimit) {
        onTimeGap(now - m_lastTickAt, now);
    }
    m_lastTickAt = now;
    for (const auto &member : m_view.takeSilent(now)) {
        onHostSilent(member, now);
    }
    updatePools(now);
    m_scheduler.tick(now);
    settle(now);
    finishYields(now);
    placeWaiting(now);
    settle(now);
    forgetSilentDoors(now);
    sendReports(now);
    if (isDispatcher() && now - m_usageTold >= UsagePeriod) {
        m_usageTold = now;
        m_observer.onUsage(m_scheduler.usage(now));
    }
}

void HostNode::beginLeaving(TimePoint now)
{
    m_now = now;
    m_leaving = true;
    m_assignment.self().leaving = true;
    m_reportsDue = true;
    tick(now);
}

bool HostNode::isDispatcher() const
{
    const auto &claims = m_assignment.self().claims;
    return std::any_of(claims.begin(), claims.end(), [](const auto &claim) {
        return !claim.second.yielding;
    });
}

bool HostNode::canDispatch(TimePoint now) const
{
    if (isDispatcher()) {
        return true;
    }
    const auto members = m_view.live(now);
    return std::any_of(members.begin(), members.end(), [](const FleetMember *member) {
        return !member->report.loads.empty() && !member->report.leaving;
    });
}

std::size_t HostNode::hostCount(TimePoint now) const
{
    return m_view.live(now).size() + 1;
}

HostReport HostNode::makeReport(TimePoint now)
{
    HostReport report;
    report.host = m_identity.host;
    report.incarnation = m_identity.incarnation;
    report.zone = m_identity.zone;
    report.peerDoor = m_identity.peerDoor;
    report.configurationVersion = m_configuration.version;
    report.leaving = m_leaving;
    report.processorPercent = m_assignment.self().processorPercent;
    for (auto &[pool, claim] : m_assignment.self().claims) {
        auto row = claim;
        for (const auto &[id, entry] : m_targets) {
            if (claim.yielding && poolOfTarget(entry) == pool && m_scheduler.ownsTarget(id)) {
                row.heldTargets.push_back(id);
            }
        }
        report.claims.push_back(std::move(row));
    }
    if (isDispatcher()) {
        report.loads = m_scheduler.loads(now);
    }
    return report;
}

Duration HostNode::reportPeriod(const FleetMember *recipient) const
{
    const bool recipientDispatches = recipient == nullptr || !recipient->report.loads.empty();
    return isDispatcher() || recipientDispatches ? DispatcherReportPeriod : QuietReportPeriod;
}

void HostNode::sendReports(TimePoint now)
{
    std::map<std::string, const FleetMember *> memberOfDoor;
    for (const auto *member : m_view.live(now)) {
        memberOfDoor[toString(member->report.peerDoor)] = member;
    }
    const bool swift = m_reportsDue && now - m_lastReportAt >= SwiftReportPause;
    std::optional<HostReport> report;
    for (const auto &[door, knownAt] : m_knownDoors) {
        auto &dueAt = m_reportDueAt[door];
        if (!swift && now < dueAt) {
            continue;
        }
        const auto found = memberOfDoor.find(door);
        const auto *member = found == memberOfDoor.end() ? nullptr : found->second;
        if (!report) {
            report = makeReport(now);
            ++m_reportsSent;
        }
        FleetFrame frame;
        frame.host = m_identity.host;
        frame.incarnation = m_identity.incarnation;
        frame.report = report;
        frame.report->period = reportPeriod(member);
        if (member != nullptr) {
            frame.unheard = now - member->lastHeardAt;
        }
        if (member == nullptr || m_reportsSent % DoorsEvery == 0) {
            for (const auto &[known, at] : m_knownDoors) {
                frame.knownDoors.push_back(*parseEndpoint(known));
            }
        }
        const bool sent = m_port.sendFrame(*parseEndpoint(door), frame);
        auto &toldPeriod = m_toldPeriod[door];
        toldPeriod = frame.report->period;
        dueAt = now + (sent ? frame.report->period : Duration(UnsentPause));
        m_lastReportAt = now;
    }
    if (swift) {
        m_reportsDue = false;
    }
    if (report) {
        m_toldFreeRoom = std::any_of(report->loads.begin(), report->loads.end(), [](const ServiceLoad &load) {
            return load.freeTasks > 0;
        });
    } else if (isDispatcher()) {
        const auto loads = m_scheduler.loads(now);
        const bool free = std::any_of(loads.begin(), loads.end(), [](const ServiceLoad &load) {
            return load.freeTasks > 0;
        });
        m_reportsDue = m_reportsDue || free != m_toldFreeRoom;
    }
}

bool HostNode::send(const std::string &host, FleetFrame frame, TimePoint)
{
    const auto *member = m_view.find(host);
    if (member == nullptr) {
        return false;
    }
    frame.host = m_identity.host;
    frame.incarnation = m_identity.incarnation;
    return m_port.sendFrame(member->report.peerDoor, frame);
}
} // namespace Anvilcart::Fleet
