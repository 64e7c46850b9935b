#include "peer/membership.h"

#include <algorithm>

namespace Anvilcart
{
namespace
{
constexpr Milliseconds SuspectedTimeout {1500};
constexpr Milliseconds DeadTimeout {3000};
/// Multiplies the timeouts for hosts of other availability zones, which send heartbeats that much less often.
constexpr int OtherZoneTimeoutFactor = 20;
constexpr Milliseconds PeerRetention {60000};
/// A host list older than this no longer determines the members.
constexpr Milliseconds MaxHostListAge {10000};
/// A longer interval between two ticks means that this host was paused.
constexpr Milliseconds MaxTickInterval {1000};
constexpr std::size_t MaxPeers = 512;
} // namespace

Membership::Membership(PeerIdentity self)
    : m_self(std::move(self))
{
}

void Membership::applyHostList(const std::vector<ListedPeer> &listed, TimePoint now)
{
    m_hostListReadAt = now;
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
            record.lastMessageAt = now;
        }
        record.listed = true;
        record.zone = peer.zone;
        record.endpoint = peer.endpoint;
    }
}

FrameResult Membership::receive(const PeerFrame &frame, TimePoint now)
{
    if (hasWrongRecipient(frame)) {
        return {FrameStatus::WrongRecipient, {}, false};
    }
    auto *record = findSender(frame, now);
    if (record == nullptr) {
        return {FrameStatus::UnknownSender, {}, false};
    }
    if (isReplayed(frame, *record, now)) {
        return {FrameStatus::Replayed, {}, false};
    }
    const bool restarted = record->incarnation != 0 && record->incarnation != frame.incarnation;
    if (record->incarnation != frame.incarnation) {
        m_hostByIncarnation.erase(record->incarnation);
        m_hostByIncarnation[frame.incarnation] = frame.heartbeat->host;
        record->incarnation = frame.incarnation;
        record->left = false;
    }
    record->lastSequence = frame.sequence;
    record->lastMessageAt = now;
    if (frame.heartbeat) {
        record->zone = frame.heartbeat->zone;
        record->endpoint = frame.heartbeat->endpoint;
        record->configurationVersion = frame.heartbeat->configurationVersion;
        record->freeSlots = frame.heartbeat->freeSlots;
        record->left = frame.heartbeat->leaving;
    }
    return {FrameStatus::Accepted, m_hostByIncarnation.at(frame.incarnation), restarted};
}

void Membership::onTick(TimePoint now)
{
    const auto sinceTick = now - m_lastTick;
    if (m_lastTick != TimePoint() && sinceTick > MaxTickInterval) {
        discountPause(sinceTick, now);
    }
    m_lastTick = now;
    for (auto peer = m_peers.begin(); peer != m_peers.end();) {
        if (!peer->second.listed && now - peer->second.lastMessageAt > PeerRetention) {
            m_hostByIncarnation.erase(peer->second.incarnation);
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
    const bool listCurrent = isHostListCurrent(now);
    for (const auto &[host, record] : m_peers) {
        const auto current = state(record, now);
        const bool running = current == PeerState::Live || current == PeerState::Suspected;
        if (record.zone == m_self.zone && running && (record.listed || !listCurrent)) {
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
    const auto known = m_hostByIncarnation.find(frame.incarnation);
    if (!frame.heartbeat) {
        return known != m_hostByIncarnation.end() ? &m_peers.at(known->second) : nullptr;
    }
    if (known != m_hostByIncarnation.end() && known->second != frame.heartbeat->host) {
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
    record.lastMessageAt = now;
    return &record;
}

bool Membership::hasWrongRecipient(const PeerFrame &frame) const
{
    if (frame.incarnation == m_self.incarnation) {
        return true;
    }
    if (frame.heartbeat) {
        return frame.heartbeat->recipient != m_self.host || frame.heartbeat->host == m_self.host;
    }
    return frame.recipient != m_self.incarnation;
}

bool Membership::isReplayed(const PeerFrame &frame, const PeerRecord &record, TimePoint now) const
{
    if (frame.incarnation == record.incarnation) {
        return frame.sequence <= record.lastSequence;
    }
    // A wall clock that was set back gives a restarted host a lower incarnation, so a lower one is rejected only while the higher one
    // still sends messages.
    return frame.incarnation < record.incarnation && state(record, now) != PeerState::Dead && !record.left;
}

PeerState Membership::state(const PeerRecord &record, TimePoint now) const
{
    if (record.left) {
        return PeerState::Left;
    }
    const int timeoutFactor = record.zone == m_self.zone ? 1 : OtherZoneTimeoutFactor;
    const auto sinceLastMessage = now - record.lastMessageAt;
    if (sinceLastMessage >= DeadTimeout * timeoutFactor) {
        return PeerState::Dead;
    }
    return sinceLastMessage >= SuspectedTimeout * timeoutFactor ? PeerState::Suspected : PeerState::Live;
}

bool Membership::isHostListCurrent(TimePoint now) const
{
    return m_hostListReadAt != TimePoint() && now - m_hostListReadAt < MaxHostListAge;
}

void Membership::discountPause(Duration pause, TimePoint now)
{
    for (auto &[host, record] : m_peers) {
        record.lastMessageAt = std::min(record.lastMessageAt + pause, now);
    }
}
} // namespace Anvilcart
