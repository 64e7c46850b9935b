#include "peer/peernode.h"

#include "peer/peercodec.h"

#include <algorithm>

namespace Anvilcart
{
namespace
{
constexpr Milliseconds ZoneHeartbeatPeriod {500};
/// Dead peers of the same availability zone get few heartbeats, but enough that a healed partition is detected soon.
constexpr Milliseconds DeadPeerHeartbeatPeriod {5000};
/// Peers of other availability zones share no slots and need heartbeats less often.
constexpr Milliseconds OtherZoneHeartbeatPeriod {10000};
} // namespace

PeerNode::PeerNode(PeerIdentity self, Dispatcher &dispatcher, PeerLink &link, PeerObserver &observer)
    : m_membership(std::move(self))
    , m_dispatcher(dispatcher)
    , m_link(link)
    , m_observer(observer)
    , m_ledger(observer)
{
    m_dispatcher.setSlotSharing(*this);
}

void PeerNode::applyHostList(const std::vector<ListedPeer> &listed, TimePoint now)
{
    m_membership.applyHostList(listed, now);
    connectPeers();
    updateMembers(now);
}

void PeerNode::setConfigurationVersion(std::uint64_t version)
{
    m_configurationVersion = version;
}

void PeerNode::onMessage(std::string_view message, TimePoint now)
{
    const auto frame = decodeFrame(message);
    if (!frame) {
        m_observer.onReceived(FrameStatus::Malformed);
        return;
    }
    const auto result = m_membership.receive(*frame, now);
    m_observer.onReceived(result.status);
    if (result.status != FrameStatus::Accepted) {
        return;
    }
    const bool forThisIncarnation = frame->recipient == m_membership.self().incarnation;
    if (frame->heartbeat) {
        connectPeers();
        updateMembers(now);
    }
    m_dispatcher.changeSlots(
        [&](const SharingView &view) {
            if (result.restarted) {
                m_ledger.reset(result.host, view);
            }
            if (forThisIncarnation) {
                m_ledger.receive(result.host, frame->slots, view);
            }
        },
        now);
}

void PeerNode::onTick(TimePoint now)
{
    m_membership.onTick(now);
    disconnectRemoved();
    updateMembers(now);
    clearDemandOfSuspects(now);
    m_dispatcher.changeSlots(
        [this](const SharingView &view) {
            m_ledger.expireLeases(view);
        },
        now);
    sendHeartbeats(now);
}

void PeerNode::leave(TimePoint now)
{
    for (const auto &[host, record] : m_membership.peers()) {
        sendHeartbeat(host, record, true, now);
    }
}

const Membership &PeerNode::membership() const
{
    return m_membership;
}

void PeerNode::onSlotReleased(const SharingView &view, TargetIndex target)
{
    m_ledger.onSlotReleased(view, target);
}

void PeerNode::lendBeforeStarts(const SharingView &view)
{
    m_ledger.lendBeforeStarts(view);
}

void PeerNode::redistributeAfterStarts(const SharingView &view)
{
    m_ledger.redistributeAfterStarts(view);
    sendOutgoing(view);
}

void PeerNode::connectPeers()
{
    for (const auto &[host, record] : m_membership.peers()) {
        m_link.connect(host, record.endpoint);
        m_connected.insert(host);
    }
}

void PeerNode::disconnectRemoved()
{
    std::erase_if(m_connected, [this](const std::string &host) {
        if (m_membership.peers().contains(host)) {
            return false;
        }
        m_link.disconnect(host);
        m_nextHeartbeatAt.erase(host);
        return true;
    });
}

void PeerNode::updateMembers(TimePoint now)
{
    auto members = m_membership.members(now);
    if (members == m_members) {
        return;
    }
    m_members = std::move(members);
    std::vector<std::string> others;
    std::copy_if(m_members.begin(), m_members.end(), std::back_inserter(others), [this](const std::string &member) {
        return member != m_membership.self().host;
    });
    m_dispatcher.changeSlots(
        [&](const SharingView &view) {
            m_ledger.setPeers(others, view);
        },
        now);
    m_dispatcher.applyMembers(m_members, now);
    m_observer.onMembersChanged(m_members.size());
}

void PeerNode::clearDemandOfSuspects(TimePoint now)
{
    for (const auto &[host, record] : m_membership.peers()) {
        if (m_membership.state(host, now) == PeerState::Suspected) {
            m_ledger.clearDemand(host);
        }
    }
}

void PeerNode::sendHeartbeats(TimePoint now)
{
    for (const auto &[host, record] : m_membership.peers()) {
        auto &nextAt = m_nextHeartbeatAt[host];
        if (nextAt > now || record.left) {
            continue;
        }
        const bool dead = m_membership.state(host, now) == PeerState::Dead;
        if (dead) {
            // A connection broken by a network partition may hang for minutes; a new one is established sooner.
            m_link.disconnect(host);
            m_link.connect(host, record.endpoint);
        }
        nextAt = now + heartbeatPeriod(record, dead);
        sendHeartbeat(host, record, false, now);
    }
}

Duration PeerNode::heartbeatPeriod(const PeerRecord &record, bool dead) const
{
    if (record.zone != m_membership.self().zone) {
        return OtherZoneHeartbeatPeriod;
    }
    return dead ? DeadPeerHeartbeatPeriod : ZoneHeartbeatPeriod;
}

void PeerNode::sendHeartbeat(const std::string &host, const PeerRecord &record, bool leaving, TimePoint now)
{
    const auto &self = m_membership.self();
    PeerFrame frame;
    frame.recipient = record.incarnation;
    frame.heartbeat =
        Heartbeat {self.host, self.zone, self.endpoint, host, m_configurationVersion, m_dispatcher.slots().freeSlots(now), leaving};
    if (!leaving && record.zone == self.zone) {
        frame.slots = m_ledger.makeFullState(host, now);
    }
    send(host, std::move(frame));
}

bool PeerNode::send(const std::string &host, PeerFrame frame)
{
    frame.incarnation = m_membership.self().incarnation;
    frame.sequence = ++m_lastSequence;
    const auto message = encode(frame);
    if (message.size() > MaxFrameBytes || !m_link.send(host, message)) {
        m_observer.onSendFailed();
        return false;
    }
    m_observer.onSent(message.size());
    return true;
}

void PeerNode::sendOutgoing(const SharingView &view)
{
    for (auto &outgoing : m_ledger.collectOutgoing(view.now)) {
        const auto &peers = m_membership.peers();
        const auto found = peers.find(outgoing.peer);
        PeerFrame frame;
        frame.recipient = found != peers.end() ? found->second.incarnation : 0;
        frame.slots = outgoing.message;
        if (frame.recipient == 0 || !send(outgoing.peer, std::move(frame))) {
            m_ledger.reclaimUnsent(outgoing, view);
        }
    }
}
} // namespace Anvilcart
