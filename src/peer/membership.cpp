#include "peer/membership.h"

#include <algorithm>

namespace Anvilcart
{
namespace
{
constexpr Milliseconds SuspectedAfter {1500};
constexpr Milliseconds DeadAfter {3000};
/// Hosts of other availability zones speak that much more rarely.
constexpr int FarPatience = 20;
constexpr Milliseconds ForgottenAfter {60000};
/// A host list that was read longer ago no longer decides who is a member.
constexpr Milliseconds ListFreshFor {10000};
/// A longer time between two ticks means that this host itself was paused.
constexpr Milliseconds OwnPause {1000};
constexpr std::size_t MaxPeers = 512;
} // namespace

Membership::Membership(PeerIdentity self)
    : m_self(std::move(self))
{
}

void Membership::applyHostList(const std::vector<ListedPeer> &listed, TimePoint now)
{
    m_listReadAt = now;
    for (auto &[host, record] : m_peers) {
        record.listed = false;
    }
    for (const auto &peer : listed) {
        if (peer.host == m_self.host) {
            continue;
        }
        const auto [found, inserted] = m_peers.try_emplace(peer.host);
        auto &record = found->second;
        if (inserted) {
            record.lastHeard = now;
        }
        record.listed = true;
        record.zone = peer.zone;
        record.door = peer.door;
    }
}

FrameReceipt Membership::receive(const PeerFrame &frame, TimePoint now)
{
    if (isForeign(frame)) {
        return {FrameVerdict::Foreign, {}, false};
    }
    auto *record = findSender(frame, now);
    if (record == nullptr) {
        return {FrameVerdict::UnknownSender, {}, false};
    }
    if (isStale(frame, *record, now)) {
        return {FrameVerdict::Replayed, {}, false};
    }
    const bool restarted = record->incarnation != 0 && record->incarnation != frame.incarnation;
    if (record->incarnation != frame.incarnation) {
        m_byIncarnation.erase(record->incarnation);
        m_byIncarnation[frame.incarnation] = frame.heartbeat->host;
        record->incarnation = frame.incarnation;
        record->left = false;
    }
    record->lastSequence = frame.sequence;
    record->lastHeard = now;
    if (frame.heartbeat) {
        record->zone = frame.heartbeat->zone;
        record->door = frame.heartbeat->door;
        record->configurationVersion = frame.heartbeat->configurationVersion;
        record->freeSlots = frame.heartbeat->freeSlots;
        record->left = frame.heartbeat->leaving;
    }
    return {FrameVerdict::Accepted, m_byIncarnation.at(frame.incarnation), restarted};
}

void Membership::onTick(TimePoint now)
{
    const auto sinceTick = now - m_lastTick;
    if (m_lastTick != TimePoint() && sinceTick > OwnPause) {
        forgiveSilence(sinceTick, now);
    }
    m_lastTick = now;
    for (auto peer = m_peers.begin(); peer != m_peers.end();) {
        if (!peer->second.listed && now - peer->second.lastHeard > ForgottenAfter) {
            m_byIncarnation.erase(peer->second.incarnation);
            peer = m_peers.erase(peer);
        } else {
            ++peer;
        }
    }
}

PeerState Membership::state(const std::string &host, TimePoint now) const
{
    const auto found = m_peers.find(host);
    return found != m_peers.end() ? state(found->second, now) : PeerState::Dead;
}

std::vector<std::string> Membership::members(TimePoint now) const
{
    std::vector<std::string> names = {m_self.host};
    const bool fresh = isListFresh(now);
    for (const auto &[host, record] : m_peers) {
        const auto current = state(record, now);
        const bool running = current == PeerState::Live || current == PeerState::Suspected;
        if (record.zone == m_self.zone && running && (record.listed || !fresh)) {
            names.push_back(host);
        }
    }
    std::sort(names.begin(), names.end());
    return names;
}

const std::map<std::string, PeerRecord> &Membership::peers() const
{
    return m_peers;
}

const PeerIdentity &Membership::self() const
{
    return m_self;
}

PeerRecord *Membership::findSender(const PeerFrame &frame, TimePoint now)
{
    const auto known = m_byIncarnation.find(frame.incarnation);
    if (!frame.heartbeat) {
        return known != m_byIncarnation.end() ? &m_peers.at(known->second) : nullptr;
    }
    if (known != m_byIncarnation.end() && known->second != frame.heartbeat->host) {
        return nullptr;
    }
    const auto found = m_peers.find(frame.heartbeat->host);
    if (found != m_peers.end()) {
        return &found->second;
    }
    if (m_peers.size() >= MaxPeers) {
        return nullptr;
    }
    auto &record = m_peers[frame.heartbeat->host];
    record.lastHeard = now;
    return &record;
}

bool Membership::isForeign(const PeerFrame &frame) const
{
    if (frame.incarnation == m_self.incarnation) {
        return true;
    }
    if (frame.heartbeat) {
        return frame.heartbeat->recipient != m_self.host || frame.heartbeat->host == m_self.host;
    }
    return frame.recipient != m_self.incarnation;
}

bool Membership::isStale(const PeerFrame &frame, const PeerRecord &record, TimePoint now) const
{
    if (frame.incarnation == record.incarnation) {
        return frame.sequence <= record.lastSequence;
    }
    // A wall clock that went back gives a restarted host a lower number, so the order holds only while the higher one is heard.
    return frame.incarnation < record.incarnation && state(record, now) != PeerState::Dead && !record.left;
}

PeerState Membership::state(const PeerRecord &record, TimePoint now) const
{
    if (record.left) {
        return PeerState::Left;
    }
    const int patience = record.zone == m_self.zone ? 1 : FarPatience;
    const auto silence = now - record.lastHeard;
    if (silence >= DeadAfter * patience) {
        return PeerState::Dead;
    }
    return silence >= SuspectedAfter * patience ? PeerState::Suspected : PeerState::Live;
}

bool Membership::isListFresh(TimePoint now) const
{
    return m_listReadAt != TimePoint() && now - m_listReadAt < ListFreshFor;
}

void Membership::forgiveSilence(Duration pause, TimePoint now)
{
    for (auto &[host, record] : m_peers) {
        record.lastHeard = std::min(record.lastHeard + pause, now);
    }
}
} // namespace Anvilcart
