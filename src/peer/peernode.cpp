#include "peer/peernode.h"

#include "peer/peercodec.h"

#include <algorithm>

namespace Anvilcart
{
namespace
{
constexpr Milliseconds ZoneHeartbeatPeriod {500};
/// Dead peers of the own availability zone are sought rarely, but soon enough that a mended cut does not go unnoticed.
constexpr Milliseconds DeadPeerPeriod {5000};
/// Peers of other availability zones share no slots, so that they are told less often.
constexpr Milliseconds FarHeartbeatPeriod {10000};
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
        m_observer.onReceived(FrameVerdict::Broken);
        return;
    }
    const auto receipt = m_membership.receive(*frame, now);
    m_observer.onReceived(receipt.verdict);
    if (receipt.verdict != FrameVerdict::Accepted) {
        return;
    }
    const bool forThisRun = frame->recipient == m_membership.self().incarnation;
    if (frame->heartbeat) {
        connectPeers();
        updateMembers(now);
    }
    m_dispatcher.changeSlots(
        [&](const SharingView &view) {
            if (receipt.restarted) {
                m_ledger.reset(receipt.host, view);
            }
            if (forThisRun) {
                m_ledger.receive(receipt.host, frame->slots, view);
            }
        },
        now);
}

void PeerNode::onTick(TimePoint now)
{
    m_membership.onTick(now);
    disconnectForgotten();
    updateMembers(now);
    silenceSuspects(now);
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
    m_ledger.settleAfterStarts(view);
    flush(view);
}

void PeerNode::connectPeers()
{
    for (const auto &[host, record] : m_membership.peers()) {
        m_link.connect(host, record.door);
        m_connected.insert(host);
    }
}

void PeerNode::disconnectForgotten()
{
    std::erase_if(m_connected, [this](const std::string &host) {
        if (m_membership.peers().contains(host)) {
            return false;
        }
        m_link.disconnect(host);
        m_heartbeatDueAt.erase(host);
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
    m_observer.onMembers(m_members.size());
}

void PeerNode::silenceSuspects(TimePoint now)
{
    for (const auto &[host, record] : m_membership.peers()) {
        if (m_membership.state(host, now) == PeerState::Suspected) {
            m_ledger.silence(host);
        }
    }
}

void PeerNode::sendHeartbeats(TimePoint now)
{
    for (const auto &[host, record] : m_membership.peers()) {
        auto &dueAt = m_heartbeatDueAt[host];
        if (dueAt > now || record.left) {
            continue;
        }
        const bool dead = m_membership.state(host, now) == PeerState::Dead;
        if (dead) {
            // A connection that a cut has broken may hang for minutes; a new one is quicker.
            m_link.disconnect(host);
            m_link.connect(host, record.door);
        }
        dueAt = now + heartbeatPeriod(record, dead);
        sendHeartbeat(host, record, false, now);
    }
}

Duration PeerNode::heartbeatPeriod(const PeerRecord &record, bool dead) const
{
    if (record.zone != m_membership.self().zone) {
        return FarHeartbeatPeriod;
    }
    return dead ? DeadPeerPeriod : ZoneHeartbeatPeriod;
}

void PeerNode::sendHeartbeat(const std::string &host, const PeerRecord &record, bool leaving, TimePoint now)
{
    const auto &self = m_membership.self();
    PeerFrame frame;
    frame.recipient = record.incarnation;
    frame.heartbeat =
        Heartbeat {self.host, self.zone, self.door, host, m_configurationVersion, m_dispatcher.slots().freeSlots(now), leaving};
    if (!leaving && record.zone == self.zone) {
        frame.slots = m_ledger.repeatState(host, now);
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

void PeerNode::flush(const SharingView &view)
{
    for (auto &outgoing : m_ledger.takeOutgoing(view.now)) {
        const auto &peers = m_membership.peers();
        const auto found = peers.find(outgoing.peer);
        PeerFrame frame;
        frame.recipient = found != peers.end() ? found->second.incarnation : 0;
        frame.slots = outgoing.message;
        if (frame.recipient == 0 || !send(outgoing.peer, std::move(frame))) {
            m_ledger.takeBack(outgoing, view);
        }
    }
}
} // namespace Anvilcart
