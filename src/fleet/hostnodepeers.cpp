#include "fleet/hostnode.h"

#include <algorithm>
#include <utility>

// HostNode's handling of peers: frames, reports, unresponsive hosts. Callers' jobs are in hostnode.cpp, pools in hostnodepools.cpp.
namespace Anvilcart::Fleet
{
namespace
{
/// Period of reports to and from dispatchers. An unresponsive dispatcher is detected after 700 ms, well before callers retry a job.
constexpr Milliseconds DispatcherReportPeriod {200};
/// Period of reports between hosts that do not dispatch: these only need to detect that another one has failed.
constexpr Milliseconds IdleReportPeriod {600};
/// A report that is sent early, as when free capacity appears or runs out, follows the previous one after at least this time.
constexpr Milliseconds MinReportInterval {40};
/// Report periods also have a minimum for each live host, which limits the time that a host of a large fleet spends on reports. Within a
/// zone only the hosts of the zone count, since takeovers depend on these reports.
constexpr Milliseconds DispatcherReportPeriodPerHost {4};
constexpr Milliseconds IdleReportPeriodPerHost {20};
constexpr Milliseconds MinLoadReportIntervalPerHost {2};
/// One in this many reports lists the known endpoints, since a list may be lost, and so does every report after their number has changed,
/// and to an endpoint of which no live host is known.
constexpr std::uint64_t EndpointListInterval = 32;
/// How often a host without pools checks whether it should claim one, besides after reports that may change the assignment.
constexpr Milliseconds StandbyPoolCheckPeriod {100};
/// A longer time between two ticks means that the process was paused. Leases of 1 s are then at risk.
constexpr Milliseconds MaxTickInterval {450};
/// The connection to a host is reopened when the host has received no report for this many report periods of this host.
constexpr int ReconnectAfterPeriods = 2;
constexpr Milliseconds ReconnectMargin {50};
constexpr Milliseconds MinReconnectInterval {600};
/// A frame is stale when it took this much longer than the fastest one of its sender. Far above round-trip times, and below the time
/// after which a dispatcher counts as lost.
constexpr Milliseconds StaleFrameDelay {350};
/// Delays count for one to two of these spans. Longer than frames are held up on their way.
constexpr Seconds DelaySpan {15};
/// Endpoints from which no report arrives for this time, which is longer than callers wait, are removed, except for seeds.
constexpr Seconds EndpointExpiry {20};
constexpr Seconds EndpointCheckPeriod {1};
/// Minimum interval between requests for the configuration.
constexpr Milliseconds MinConfigurationRequestInterval {300};
constexpr Seconds LostDispatcherRetention {10};
/// The processor time of an overloaded host is divided by this. The true factor is unknown; the result must be below that of the others.
constexpr std::uint32_t OverloadDivisor = 4;
/// Processes of a host whose delays are remembered, on average: it restarts now and then.
constexpr std::size_t ProcessesPerHost = 8;
/// Period of the reports of target usage to the observer.
constexpr Seconds UsagePeriod {1};

std::string incarnationKey(const std::string &host, std::uint64_t incarnation)
{
    return host + '#' + std::to_string(incarnation);
}

/// True when the two reports of a host may lead to a different assignment of pools.
bool affectsAssignment(const HostReport &before, const HostReport &after)
{
    return before.incarnation != after.incarnation || before.leaving != after.leaving || before.claims != after.claims
        || before.processorPercent != after.processorPercent || before.zone != after.zone
        || before.targetListIsStale != after.targetListIsStale;
}
} // namespace

void HostNode::beginEvent(TimePoint now)
{
    m_now = now;
    if (m_lastTickAt != TimePoint() && now - m_lastTickAt > MaxTickInterval) {
        const auto pause = now - m_lastTickAt;
        m_lastTickAt = now;
        excludeFromWaits(pause, now);
        onTimeGap(pause, now);
    }
    renewOwnGrant(now);
}

/// Leaves a time for which this host has just stood still out of all waits in which it could have heard of others.
void HostNode::excludeFromWaits(Duration pause, TimePoint now)
{
    m_view.onPause(pause, now);
    m_knownEndpoints.onPause(pause, now);
    m_assignment.startup().onPause(pause, now);
    for (auto &[target, claimAt] : m_nextClaimAt) {
        if (claimAt > now - pause) {
            claimAt += pause;
        }
    }
    // Their targets must answer anew for as long as reports may take.
    m_probedPools.clear();
}

void HostNode::onFrame(FleetFrame frame, TimePoint now)
{
    beginEvent(now);
    if (frame.host == m_identity.host || (frame.report && !makeRoomFor(frame.report->peerEndpoint))) {
        return;
    }
    completeKeys(frame);
    switch (m_peerProcesses.onFrame(frame, now)) {
    case PeerProcesses::Finding::Refused:
        return;
    case PeerProcesses::Finding::Unproven:
        onUnprovenFrame(frame, now);
        return;
    case PeerProcesses::Finding::Replacing:
        onProcessReplaced(frame, now);
        break;
    case PeerProcesses::Finding::Present:
        break;
    }
    onCancelledJobs(frame, now);
    const bool mayGrantFromHere = seeCallersOf(frame, now);
    if (frame.report) {
        onReport(frame, now);
        sendOwedResults(frame.host, now);
    } else if (mayGrantFromHere) {
        m_issuedGrants.onFrame(frame.host, frame.incarnation, frame.sentAt, now);
    }
    if (!frame.lostDispatchers.empty()) {
        removeOldLostDispatchers(now);
    }
    for (const auto &lost : frame.lostDispatchers) {
        recordLostDispatcher(lost, now);
    }
    for (const auto &jobId : frame.abandonedRuns) {
        m_scheduler.onRunElsewhere(jobId, now);
    }
    // Under the grant, jobs that waited for it may be started with the next submission.
    onCancellations(frame, now);
    const bool isAccepted = acceptGrant(frame, now);
    const bool isLate = isStale(frame, now);
    if (isLate) {
        // The caller may have been answered and have sent the job again.
        frame.cancelInquiries.clear();
        frame.cancelAnswers.clear();
    }
    if (isLate || !isAccepted) {
        for (const auto &submission : frame.submissions) {
            m_scheduler.refuse(namedAtTargets(submission), isAccepted ? JobEndReason::WaitedTooLong : JobEndReason::GrantEnded, now);
        }
        frame.submissions.clear();
    }
    for (auto &submission : frame.submissions) {
        if (!refuseCancelled(submission, now)) {
            schedule(std::move(submission), now);
        }
    }
    for (const auto &notice : frame.crashNotices) {
        onCrashNotice(notice, frame.host, frame.incarnation);
    }
    for (const auto &notice : frame.longRuns) {
        onLongRuns(notice, frame.host, frame.incarnation);
    }
    for (const auto &notice : frame.startedRuns) {
        onStartedRuns(notice, frame.host, frame.incarnation);
    }
    for (const auto &notice : frame.ended) {
        onJobResult(notice, frame.host, frame.incarnation, now);
    }
    for (const auto &release : frame.releases) {
        m_scheduler.onLostDispatcherDone(release.jobId, release.lostDispatcher, frame.host, release.submissionNumber, now);
    }
    onCancelFrame(frame, now);
    if (frame.requestsConfiguration && m_configuration.version > 0) {
        FleetFrame reply;
        reply.configuration = m_configuration;
        send(frame.host, std::move(reply), now);
    }
    if (frame.configuration) {
        m_port.onConfigurationRecord(*frame.configuration);
    }
    if (frame.requestsGrant) {
        send(frame.host, FleetFrame(), now);
    }
    processSchedulerEvents(now);
}

/// Ends what depends on the process that was present before on the sender's host.
void HostNode::onProcessReplaced(const FleetFrame &frame, TimePoint now)
{
    const auto previous = m_peerProcesses.replacedIncarnation(frame.host);
    if (previous == 0) {
        return;
    }
    m_observer.onProcessReplaced(frame.host, frame.incarnation, previous, excessDelay(frame, now));
    m_issuedGrants.onEnded(frame.host, previous, now);
    m_owedCancellations.onEnded(frame.host, previous);
    m_scheduler.cancelAllOf(frame.host, now);
    if (const auto member = m_view.remove(frame.host)) {
        onHostLost(*member, now);
    }
}

/// Handles a frame whose sender may have ended. Only its results count, since they name their submissions. A sender that lives gets a
/// report and echoes it.
void HostNode::onUnprovenFrame(const FleetFrame &frame, TimePoint now)
{
    m_observer.onUnprovenFrame(frame.host, frame.incarnation);
    onCancelledJobs(frame, now);
    for (const auto &notice : frame.ended) {
        onJobResult(notice, frame.host, frame.incarnation, now);
    }
    for (auto submission : frame.submissions) {
        submission.grantEpoch = frame.grant ? frame.grant->epoch : 0;
        m_scheduler.refuse(namedAtTargets(std::move(submission)), JobEndReason::GrantEnded, now);
    }
    if (frame.report) {
        m_assignment.startup().onUnprovenReport(*frame.report, now);
        auto &peer = addPeerEndpoint(frame.report->peerEndpoint, now);
        // A live host that uses the address now still needs its own echoes.
        if (!m_view.isLive(peer.host, now)) {
            peer.host = frame.host;
        }
        // After a restart the connection to the earlier process has closed, and the new one listens by now.
        m_port.connect(peer.endpoint);
        // Frames that were held up arrive many at a time; one answer is enough.
        const auto answerAt = std::max(now, peer.answeredUnprovenAt + MinReportInterval);
        peer.nextReportAt = std::min(peer.nextReportAt, answerAt);
        if (answerAt == now) {
            peer.answeredUnprovenAt = now;
            sendReports(now);
        }
    }
    processSchedulerEvents(now);
}

/// Takes the grant from a frame, which covers the jobs in it. False when it is outdated, has ended or concerns an earlier incarnation of
/// this host, so that the jobs must be refused. Under one that has just ended they wait, since the next frame may renew it.
bool HostNode::acceptGrant(FleetFrame &frame, TimePoint now)
{
    if (!frame.grant) {
        return true;
    }
    for (auto &submission : frame.submissions) {
        submission.grantEpoch = frame.grant->epoch;
    }
    return frame.grant->dispatcherIncarnation == m_identity.incarnation
        && m_scheduler.onGrant(frame.host, frame.incarnation, *frame.grant, now) && frame.grant->until + GrantGracePeriod > now;
}

/// Adds the grant for the recipient, which outlasts a silence of several report periods. A dispatcher with jobs asks for grants at the
/// period of a small fleet, however long that of its reports is; one of an earlier version does not.
void HostNode::addGrant(FleetFrame &frame, const FleetMember &recipient, TimePoint now)
{
    const auto &report = recipient.report;
    if (report.claims.empty() && frame.submissions.empty()) {
        return;
    }
    const bool requestsGrants = report.longestRunAfterGrant.has_value();
    const auto period = requestsGrants ? Duration(DispatcherReportPeriod) : report.period;
    const auto longestPeriod = requestsGrants ? period : std::max(period, reportPeriod(&recipient, now));
    frame.grant = m_issuedGrants.renew(report.host, report.incarnation, FleetView::longestSilence(longestPeriod) + period);
}

/// Keeps what the newest report of a lost dispatcher has said, whichever host it has reached.
void HostNode::recordLostDispatcher(const LostDispatcher &lost, TimePoint now)
{
    const auto key = incarnationKey(lost.host, lost.incarnation);
    // Jobs of a dispatcher that is not recorded wait for the end of its leases instead of its successor.
    const bool isNeeded = !lost.pools.empty() && m_lostDispatchers.size() < ProcessesPerHost * m_identity.maxPeers;
    if (!isNeeded && !m_lostDispatchers.contains(key)) {
        return;
    }
    const auto [found, added] = m_lostDispatchers.try_emplace(key, LossRecord {lost, now});
    auto &known = found->second.dispatcher;
    if (!added && lost.reportSentAt > known.reportSentAt) {
        known = lost;
    }
}

void HostNode::removeOldLostDispatchers(TimePoint now)
{
    std::erase_if(m_lostDispatchers, [now](const auto &entry) {
        return now - entry.second.lostAt > LostDispatcherRetention;
    });
}

void HostNode::onCancellations(const FleetFrame &frame, TimePoint now)
{
    FleetFrame confirmation;
    for (const auto &cancellation : frame.cancellations) {
        const auto &[id, number] = cancellation;
        m_scheduler.cancel(id, frame.host, now, number);
        noteAbandonedRun(id);
        if (!m_scheduler.hasJobOf(id, frame.host, number)) {
            confirmation.confirmedCancellations.push_back(cancellation);
        }
    }
    if (!confirmation.confirmedCancellations.empty()) {
        send(frame.host, std::move(confirmation), now);
    }
    for (const auto &cancellation : frame.confirmedCancellations) {
        m_owedCancellations.onConfirmed(cancellation, frame.host);
    }
}

/// How much longer a frame took than the fastest recent one of its sender; 0 for its first one.
Duration HostNode::excessDelay(const FleetFrame &frame, TimePoint now) const
{
    const auto delay = now.time_since_epoch() - frame.sentAt;
    const auto shortest = m_shortestDelay.find(frame.incarnation);
    if (shortest == m_shortestDelay.end()) {
        return Duration(0);
    }
    return std::max(delay - std::min(shortest->second.current, shortest->second.previous), Duration(0));
}

/// True for a frame that was delayed for too long: the relative times of its jobs are wrong by the delay, and the sender may have submitted
/// the jobs to another dispatcher.
bool HostNode::isStale(const FleetFrame &frame, TimePoint now)
{
    const auto excess = excessDelay(frame, now);
    const auto delay = now.time_since_epoch() - frame.sentAt;
    auto &shortest = m_shortestDelay.try_emplace(frame.incarnation, ShortestDelay {delay, delay, now}).first->second;
    if (now - shortest.spanStart >= DelaySpan) {
        shortest = {delay, shortest.current, now};
    }
    shortest.current = std::min(shortest.current, delay);
    if (excess <= StaleFrameDelay) {
        return false;
    }
    if (!frame.submissions.empty()) {
        m_observer.onStaleFrame(frame.host, excess, frame.submissions.size());
    }
    return true;
}

void HostNode::onReport(const FleetFrame &frame, TimePoint now)
{
    const auto &report = *frame.report;
    if (!m_issuedGrants.onReport(report.host, report.incarnation, report.claimCount, frame.sentAt, now)) {
        return;
    }
    m_issuedGrants.setLongestRunAfterGrant(report.host, report.incarnation, report.longestRunAfterGrant);
    if (report.evacuation) {
        onPeerEvacuation(*report.evacuation, excessDelay(frame, now) > StaleFrameDelay, now);
    }
    m_assignment.startup().onReport(report.host);
    const auto *known = m_view.find(report.host);
    const bool assignmentChanged = known == nullptr || affectsAssignment(known->report, report);
    const bool loadsChanged = !report.loads.empty() || (known != nullptr && !known->report.loads.empty());
    bool becameLive = false;
    if (m_view.onReport(report, now, frame.sentAt)) {
        if (m_shortestDelay.contains(report.incarnation)) {
            // It was cut off, and may have dispatched until now.
            m_scheduler.onHistoryLost(now);
            m_owedRunNotices.insert(report.host);
        }
        m_observer.onHostLivenessChanged(report, true, Duration(0));
        // The host may dispatch again, so the record of its earlier loss must not be used for a later one.
        m_lostDispatchers.erase(incarnationKey(report.host, report.incarnation));
        becameLive = true;
    }
    auto &peer = addPeerEndpoint(report.peerEndpoint, now);
    peer.host = report.host;
    peer.lastNamedAt = now;
    if (becameLive) {
        peer.nextReportAt = now;
        // A process that has just started must learn of all hosts and of what was cancelled.
        peer.listedEndpoints = 0;
        m_owedCancelledJobs.insert(report.host);
    }
    if (!frame.knownEndpoints.empty()) {
        m_knownEndpoints.onListReceived(toString(report.peerEndpoint), now);
    }
    for (const auto &endpoint : frame.knownEndpoints) {
        if (hasRoomFor(endpoint)) {
            addNamedEndpoint(endpoint, now);
        }
    }
    for (const auto &claim : report.claims) {
        m_highestRound = std::max(m_highestRound, claim.round);
    }
    auto &reconnectedAt = m_reconnectedAt[report.host];
    const auto announcedPeriod = peer.announcedPeriod == Duration(0) ? Duration(IdleReportPeriod) : peer.announcedPeriod;
    const auto reconnectAfter = announcedPeriod * ReconnectAfterPeriods + ReconnectMargin;
    if (frame.timeSinceLastReport > reconnectAfter && now - reconnectedAt > MinReconnectInterval) {
        reconnectedAt = now;
        m_port.reconnect(report.peerEndpoint);
    }
    if (loadsChanged && !m_assignment.self().claims.empty()) {
        updatePeerLoads(now);
    }
    if (becameLive || assignmentChanged) {
        updatePools(now);
    }
    if (becameLive) {
        // With its echo this host counts there, so that the frames that follow are accepted.
        sendReports(now);
    }
    if (report.configurationVersion > m_configuration.version && now - m_configurationRequestedAt > MinConfigurationRequestInterval) {
        m_configurationRequestedAt = now;
        FleetFrame request;
        request.requestsConfiguration = true;
        send(report.host, std::move(request), now);
    }
}

/// Sends the results of jobs that ended while this host did not see their entry host, which has just reported.
void HostNode::sendOwedResults(const std::string &entryHost, TimePoint now)
{
    FleetFrame frame;
    frame.ended = m_owedResults.resultsFor(entryHost);
    if (!frame.ended.empty() && send(entryHost, std::move(frame), now)) {
        m_owedResults.onSent(entryHost);
    }
}

void HostNode::onLinkClosed(const std::string &host, std::uint64_t incarnation, TimePoint now)
{
    beginEvent(now);
    m_view.onDisconnect(host, incarnation, now);
    m_assignment.startup().onLinkClosed(host, incarnation);
    onDispatcherDisconnected(host, now);
    for (const auto &member : m_view.removeUnresponsive(now)) {
        onHostLost(member, now);
    }
    updatePools(now);
    placeWaitingJobs(now);
    processSchedulerEvents(now);
}

void HostNode::onLinkReplaced(const std::string &host, TimePoint now)
{
    beginEvent(now);
    onDispatcherDisconnected(host, now);
    processSchedulerEvents(now);
}

void HostNode::onConnectionLost(const Endpoint &endpoint, TimePoint now)
{
    beginEvent(now);
    const auto peer = m_peers.find(toString(endpoint));
    if (peer != m_peers.end() && !peer->second.host.empty()) {
        onDispatcherDisconnected(peer->second.host, now);
        // The last report may be lost.
        peer->second.nextReportAt = now;
        peer->second.cancelledJobsSentAt = TimePoint();
        m_owedCancelledJobs.insert(peer->second.host);
    }
    processSchedulerEvents(now);
}

void HostNode::onHostLost(const FleetMember &member, TimePoint now)
{
    const auto &report = member.report;
    m_observer.onHostLivenessChanged(report, false, now - member.lastReportAt);
    LostDispatcher lost {report.host, report.incarnation, member.reportSentAt, member.lastReportAt, {}, report.targetsDigest};
    for (const auto &claim : report.claims) {
        lost.pools.push_back(claim.pool);
    }
    removeOldLostDispatchers(now);
    recordLostDispatcher(lost, now);
    const auto recorded = m_lostDispatchers.find(incarnationKey(report.host, report.incarnation));
    if (recorded != m_lostDispatchers.end()) {
        recorded->second.lostAt = now;
    }
    m_issuedGrants.removeOld(now);
    m_cancelAnnouncements.onHostLost(report.host);
    // Its jobs end here with their grants; a run that is not announced is not adopted by the next dispatcher.
    m_startAnnouncements.take(report.host);
    // The host may have been the only one to know what ran. If it is only cut off, it may dispatch on its own now.
    m_scheduler.onHistoryLost(now);
    onDispatcherLost(report.host, report.incarnation, now);
    updatePeerLoads(now);
}

void HostNode::updatePeerLoads(TimePoint now)
{
    std::vector<PeerDispatcher> peers;
    for (const auto *member : m_view.liveMembers(now)) {
        if (!member->report.leaving && !member->report.loads.empty() && !isEvacuated(member->report.claims)) {
            peers.push_back({member->report.host, member->report.loads});
        }
    }
    m_scheduler.setPeers(std::move(peers));
}

void HostNode::onKnownEndpoints(const std::vector<Endpoint> &endpoints)
{
    for (const auto &endpoint : endpoints) {
        if (makeRoomFor(endpoint)) {
            addNamedEndpoint(endpoint, m_now);
        }
    }
}

HostNode::PeerRecord &HostNode::addPeerEndpoint(const Endpoint &endpoint, TimePoint now)
{
    const auto [found, added] = m_peers.try_emplace(toString(endpoint));
    auto &peer = found->second;
    m_knownEndpoints.onNamed(found->first, now);
    if (added) {
        peer.endpoint = endpoint;
        peer.isSeed = std::find(m_identity.seeds.begin(), m_identity.seeds.end(), endpoint) != m_identity.seeds.end();
        peer.lastNamedAt = now;
        m_port.connect(endpoint);
    }
    return peer;
}

void HostNode::addNamedEndpoint(const Endpoint &endpoint, TimePoint now)
{
    if (endpoint != m_identity.peerEndpoint && endpoint.port != 0) {
        addPeerEndpoint(endpoint, now);
    }
}

bool HostNode::hasRoomFor(const Endpoint &endpoint) const
{
    return m_peers.size() < m_identity.maxPeers || m_peers.contains(toString(endpoint)) || endpoint == m_identity.peerEndpoint;
}

/// Removes the endpoint that was named first of those at which no host is known to be, if there is no room for another one; false if all
/// are needed.
bool HostNode::makeRoomFor(const Endpoint &endpoint)
{
    if (hasRoomFor(endpoint)) {
        return true;
    }
    auto removed = m_peers.end();
    for (auto it = m_peers.begin(); it != m_peers.end(); ++it) {
        const auto &peer = it->second;
        const bool isNeeded = peer.isSeed || (!peer.host.empty() && m_port.isConnected(peer.endpoint));
        if (!isNeeded && (removed == m_peers.end() || peer.lastNamedAt < removed->second.lastNamedAt)) {
            removed = it;
        }
    }
    if (removed == m_peers.end()) {
        return false;
    }
    m_knownEndpoints.remove(removed->first);
    m_port.disconnect(removed->second.endpoint);
    m_peers.erase(removed);
    return true;
}

void HostNode::removeUnresponsiveEndpoints(TimePoint now)
{
    if (now - m_endpointsCheckedAt < EndpointCheckPeriod) {
        return;
    }
    m_endpointsCheckedAt = now;
    m_knownEndpoints.removeOld(now);
    for (auto it = m_peers.begin(); it != m_peers.end();) {
        if (!it->second.isSeed && now - it->second.lastNamedAt > EndpointExpiry) {
            m_port.disconnect(it->second.endpoint);
            it = m_peers.erase(it);
        } else {
            ++it;
        }
    }
}

/// Keeps the records of hosts and of their processes from growing with each name or incarnation that a message states.
void HostNode::removeRecordsOfUnknownHosts()
{
    const auto isUnknown = [this](const std::string &host) {
        return !m_peerProcesses.isKnown(host);
    };
    const auto limit = m_identity.maxPeers;
    if (m_callersSeenAt.size() > limit) {
        std::erase_if(m_callersSeenAt, [&](const auto &entry) {
            return isUnknown(entry.first);
        });
    }
    if (m_reconnectedAt.size() > limit) {
        std::erase_if(m_reconnectedAt, [&](const auto &entry) {
            return isUnknown(entry.first);
        });
    }
    if (m_owedCancelledJobs.size() > limit) {
        std::erase_if(m_owedCancelledJobs, isUnknown);
    }
    if (m_shortestDelay.size() > ProcessesPerHost * limit) {
        std::set<std::uint64_t> present;
        for (const auto *member : m_view.liveMembers(m_now)) {
            present.insert(member->report.incarnation);
        }
        std::erase_if(m_shortestDelay, [&](const auto &entry) {
            return !present.contains(entry.first);
        });
    }
}

void HostNode::setConfiguration(ConfigurationRecord record)
{
    m_configuration = std::move(record);
    m_loadReportsDue = true;
}

void HostNode::onTimeGap(Duration pause, TimePoint now)
{
    m_now = now;
    m_observer.onTimeGap(pause);
    m_evacuation.onPause(now);
    m_scheduler.setEvacuationKnown(m_evacuation.isKnown(now), now);
    m_scheduler.onTimeGap(now);
    m_ownGrantRenewedAt = TimePoint();
    if (!m_assignment.self().claims.empty()) {
        // Another host may have taken this one's pools over and dispatched meanwhile.
        m_scheduler.onHistoryLost(now);
    }
    std::set<std::pair<std::string, std::uint64_t>> dispatchers;
    for (auto &[id, job] : m_jobs) {
        if (!job.dispatcher.empty() && job.dispatcher != m_identity.host) {
            // The dispatcher may have lost sight of this host, and dropped a result.
            job.connectionClosedAt = now;
            dispatchers.emplace(job.dispatcher, job.dispatcherIncarnation);
        }
    }
    for (const auto &[host, incarnation] : dispatchers) {
        onDispatcherLost(host, incarnation, now);
    }
    processSchedulerEvents(now);
}

/// Lowers the processor time that an overloaded host reports, so that a stronger host takes over its pools.
void HostNode::onTimerDelay(Duration delay, TimePoint now)
{
    m_overloadDetector.onDelay(delay, now);
    const bool overloaded = m_overloadDetector.isOverloaded(now);
    if (overloaded == m_overloaded) {
        return;
    }
    m_overloaded = overloaded;
    m_assignment.self().processorPercent = m_identity.processorPercent / (overloaded ? OverloadDivisor : 1);
    m_reportsDue = true;
    m_observer.onOverloadChanged(overloaded, m_overloadDetector.averageDelay());
}

void HostNode::tick(TimePoint now)
{
    beginEvent(now);
    if (m_lastTickAt == TimePoint()) {
        for (const auto &seed : m_identity.seeds) {
            addNamedEndpoint(seed, now);
        }
        if (!m_identity.isFirstStart) {
            m_scheduler.onHistoryLost(now);
        }
    }
    m_lastTickAt = now;
    const auto lost = m_view.removeUnresponsive(now);
    for (const auto &member : lost) {
        onHostLost(member, now);
    }
    if (!lost.empty() || !m_assignment.self().claims.empty() || now - m_poolsUpdatedAt >= StandbyPoolCheckPeriod) {
        updatePools(now);
    }
    m_scheduler.setEvacuationKnown(m_evacuation.isKnown(now), now);
    m_scheduler.tick(now);
    processSchedulerEvents(now);
    finishYields(now);
    placeWaitingJobs(now);
    processSchedulerEvents(now);
    updateCancellations(now);
    removeUnresponsiveEndpoints(now);
    removeRecordsOfUnknownHosts();
    m_owedCancellations.removeOld(now);
    m_owedResults.removeOld(now);
    m_earlierRuns.removeOld(now);
    sendRunNotices(now);
    sendReports(now);
    sendGrantRequests(now);
    if (isDispatcher() && now - m_usageReportedAt >= UsagePeriod) {
        m_usageReportedAt = now;
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

bool HostNode::hasDispatcher(TimePoint now) const
{
    if (isDispatcher()) {
        return true;
    }
    const auto members = m_view.liveMembers(now);
    return std::any_of(members.begin(), members.end(), [](const FleetMember *member) {
        return !member->report.loads.empty() && !member->report.leaving;
    });
}

const Scheduler &HostNode::scheduler() const
{
    return m_scheduler;
}

std::size_t HostNode::hostCount(TimePoint now) const
{
    return m_view.liveMembers(now).size() + 1;
}

HostReport HostNode::makeReport(TimePoint now)
{
    HostReport report;
    report.host = m_identity.host;
    report.incarnation = m_identity.incarnation;
    report.zone = m_identity.zone;
    report.peerEndpoint = m_identity.peerEndpoint;
    report.configurationVersion = m_configuration.version;
    report.leaving = m_leaving;
    report.processorPercent = m_assignment.self().processorPercent;
    report.targetListIsStale = m_assignment.hasStaleTargets(now);
    report.targetListAge = m_targetListReadAt == TimePoint() ? Duration(std::chrono::hours(1)) : now - m_targetListReadAt;
    report.claimCount = m_scheduler.claimCount();
    report.targetsDigest = m_scheduler.ownedTargetsDigest();
    report.longestRunAfterGrant = LongestRunAfterGrant;
    report.evacuation = m_evacuation.view();
    for (auto &[pool, claim] : m_assignment.self().claims) {
        auto row = claim;
        if (claim.yielding) {
            const auto &targets = m_poolPlan.targetsOf(pool);
            std::copy_if(targets.begin(), targets.end(), std::back_inserter(row.heldTargets), [this](const std::string &id) {
                return m_scheduler.ownsTarget(id);
            });
        }
        report.claims.push_back(std::move(row));
    }
    if (isDispatcher()) {
        report.loads = m_scheduler.loads(now);
    }
    return report;
}

Duration HostNode::reportPeriod(const FleetMember *recipient, TimePoint now) const
{
    // A host that has just claimed a pool reports no loads yet.
    const bool recipientDispatches = recipient == nullptr || !recipient->report.loads.empty() || !recipient->report.claims.empty();
    // A host that yields its pools still has runs there, under grants whose length follows from this period.
    const bool dispatches = !m_assignment.self().claims.empty() || recipientDispatches;
    const bool sameZone = recipient != nullptr && recipient->report.zone == m_identity.zone;
    const auto hosts = sameZone ? m_view.liveCountOfZone(m_identity.zone, now) : m_view.liveCount(now);
    const Duration shortest = dispatches ? DispatcherReportPeriod : IdleReportPeriod;
    const Duration perHost = dispatches ? DispatcherReportPeriodPerHost : IdleReportPeriodPerHost;
    return std::max(shortest, perHost * static_cast<Duration::rep>(hosts));
}

bool HostNode::hasFreeCapacity(TimePoint now) const
{
    const auto loads = m_scheduler.loads(now);
    return std::any_of(loads.begin(), loads.end(), [](const ServiceLoad &load) {
        return load.freeTasks > 0;
    });
}

void HostNode::sendReports(TimePoint now)
{
    if (isDispatcher() && hasFreeCapacity(now) != m_reportedFreeCapacity) {
        m_loadReportsDue = true;
    }
    const auto sinceLast = now - m_lastReportSentAt;
    const Duration loadInterval = MinLoadReportIntervalPerHost * static_cast<Duration::rep>(m_view.liveCount(now));
    const bool loadReportsDue = m_loadReportsDue && sinceLast >= std::max<Duration>(MinReportInterval, loadInterval);
    const bool urgent = loadReportsDue || (m_reportsDue && sinceLast >= MinReportInterval);
    std::optional<HostReport> report;
    std::unordered_set<std::string> entryHosts;
    for (auto &[endpointText, peer] : m_peers) {
        if ((!urgent && now < peer.nextReportAt) || !m_port.isConnected(peer.endpoint)) {
            continue;
        }
        if (!report) {
            report = makeReport(now);
            entryHosts = m_scheduler.entryHosts();
            ++m_reportsSent;
            m_reportedFreeCapacity = isDispatcher() && hasFreeCapacity(now);
        }
        sendReport(peer, *report, entryHosts.contains(peer.host), now);
    }
    if (urgent) {
        m_lastReportSentAt = now;
        m_reportsDue = false;
        m_loadReportsDue = false;
    }
}

void HostNode::sendDueReport(const Endpoint &endpoint, TimePoint now)
{
    const auto peer = m_peers.find(toString(endpoint));
    if (peer != m_peers.end() && now >= peer->second.nextReportAt && m_port.isConnected(endpoint)) {
        auto report = makeReport(now);
        sendReport(peer->second, report, m_scheduler.entryHosts().contains(peer->second.host), now);
    }
}

void HostNode::sendReport(PeerRecord &peer, HostReport &report, bool requestsGrant, TimePoint now)
{
    const auto *member = m_view.isLive(peer.host, now) ? m_view.find(peer.host) : nullptr;
    report.period = reportPeriod(member, now);
    FleetFrame frame;
    frame.host = m_identity.host;
    frame.incarnation = m_identity.incarnation;
    frame.echo = m_peerProcesses.echoFor(peer.host);
    frame.report = report;
    frame.requestsGrant = requestsGrant;
    if (member != nullptr) {
        // The time since the report of an earlier process does not concern the one that was heard last.
        const auto lastRead = frame.echo->recipientIncarnation;
        if (lastRead == 0 || lastRead == member->report.incarnation) {
            frame.timeSinceLastReport = now - member->lastReportAt;
        }
        addGrant(frame, *member, now);
        frame.startedRuns = m_startAnnouncements.take(peer.host);
    }
    if (member == nullptr || peer.listedEndpoints != m_peers.size() || m_reportsSent % EndpointListInterval == 0) {
        peer.listedEndpoints = m_peers.size();
        for (const auto &[endpointText, known] : m_peers) {
            frame.knownEndpoints.push_back(known.endpoint);
        }
    }
    frame.cancellations = m_owedCancellations.cancellationsAt(peer.host);
    addCancelledJobs(frame, peer, member != nullptr, now);
    m_port.sendFrame(peer.endpoint, frame);
    if (requestsGrant) {
        peer.grantRequestedAt = now;
    }
    peer.announcedPeriod = report.period;
    peer.nextReportAt = now + report.period;
}

bool HostNode::send(const std::string &host, FleetFrame frame, TimePoint now)
{
    const auto *member = m_view.find(host);
    if (member == nullptr) {
        return false;
    }
    frame.host = m_identity.host;
    frame.incarnation = m_identity.incarnation;
    frame.echo = m_peerProcesses.echoFor(host);
    // A frame that cancels a single job renews nothing, so that it need not carry all cancellations: many callers may go at once.
    if (frame.cancellations.empty()) {
        addGrant(frame, *member, now);
        // A frame that renews a grant must not leave the recipient with a job that was given up, unless it submits the job again.
        frame.cancellations = m_owedCancellations.cancellationsAt(host);
        std::erase_if(frame.cancellations, [&](const JobCancellation &cancellation) {
            return std::any_of(frame.submissions.begin(), frame.submissions.end(), [&](const JobSubmission &submission) {
                return submission.request.id == cancellation.jobId;
            });
        });
    }
    return m_port.sendFrame(member->report.peerEndpoint, frame);
}

/// Lets all hosts know of a job that is given up here, if it ran.
void HostNode::noteAbandonedRun(const std::string &jobId)
{
    if (m_scheduler.hasRunHere(jobId)) {
        m_runNotices.add(jobId);
    }
}

void HostNode::sendRunNotices(TimePoint now)
{
    std::erase_if(m_owedRunNotices, [&](const std::string &host) {
        FleetFrame frame;
        frame.abandonedRuns = m_runNotices.recent(now);
        return frame.abandonedRuns.empty() || !m_view.isLive(host, now) || send(host, std::move(frame), now);
    });
    const auto perHost = DispatcherReportPeriodPerHost * static_cast<Duration::rep>(m_view.liveCount(now));
    const auto jobs = m_runNotices.takeDue(std::max<Duration>(DispatcherReportPeriod, perHost), now);
    if (jobs.empty()) {
        return;
    }
    for (const auto *member : m_view.liveMembers(now)) {
        FleetFrame frame;
        frame.abandonedRuns = jobs;
        send(member->report.host, std::move(frame), now);
    }
}

/// Asks the entry hosts of the jobs here for grants, at the period of a small fleet: reports in a large one are further apart than grants
/// last.
void HostNode::sendGrantRequests(TimePoint now)
{
    const auto isDue = [now](const PeerRecord &peer) {
        return peer.announcedPeriod > DispatcherReportPeriod && now - peer.grantRequestedAt >= DispatcherReportPeriod;
    };
    if (std::none_of(m_peers.begin(), m_peers.end(), [&](const auto &entry) {
            return isDue(entry.second);
        })) {
        return;
    }
    const auto entryHosts = m_scheduler.entryHosts();
    for (auto &[endpoint, peer] : m_peers) {
        if (isDue(peer) && entryHosts.contains(peer.host) && m_view.isLive(peer.host, now)) {
            FleetFrame frame;
            frame.requestsGrant = true;
            frame.startedRuns = m_startAnnouncements.take(peer.host);
            peer.grantRequestedAt = now;
            send(peer.host, std::move(frame), now);
        }
    }
}
} // namespace Anvilcart::Fleet
