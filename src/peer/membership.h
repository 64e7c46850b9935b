#pragma once

#include "kernel/time.h"
#include "peer/framestatus.h"
#include "peer/peerframe.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace Anvilcart
{
/// The identity that this host announces to its peers.
struct PeerIdentity
{
    std::string host;
    std::string zone;
    Endpoint endpoint;
    Incarnation incarnation = 0;
};

/// An entry host in the platform's host list.
struct ListedPeer
{
    std::string host;
    std::string zone;
    Endpoint endpoint;
};

/// The state of a host, derived from the time of its last message and from its announced shutdown.
enum class PeerState {
    Live,
    Suspected,
    Dead,
    Left,
};

/// The last known state of another entry host.
struct PeerRecord
{
    std::string zone;
    Endpoint endpoint;
    Incarnation incarnation = 0;
    std::uint64_t lastSequence = 0;
    std::uint64_t configurationVersion = 0;
    std::uint32_t freeSlots = 0;
    bool listed = false;
    bool left = false;
    TimePoint lastMessageAt;
};

/// The result of checking a frame. `host` is the sender and is empty unless the frame was accepted.
struct FrameResult
{
    FrameStatus status = FrameStatus::Accepted;
    std::string host;
    /// The sender has another incarnation than before; loans to and from the previous one are void.
    bool restarted = false;
};

/// Determines which entry hosts share the slots of an availability zone. Reads no clock; the caller passes the time.
/// Not thread-safe: used on the decision loop only.
class Membership
{
public:
    explicit Membership(PeerIdentity self);

    /// Applies the current host list, which may include this host.
    void applyHostList(const std::vector<ListedPeer> &listed, TimePoint now);

    /// Checks a frame and, if it is accepted, updates the sender's record.
    FrameResult receive(const PeerFrame &frame, TimePoint now);

    /// Detects a pause of this host, which must not count as unresponsiveness of its peers, and removes the records of unlisted hosts
    /// that have sent nothing for a long time. Call several times a second.
    void onTick(TimePoint now);

    /// Returns the state of a host; Dead if it is unknown.
    PeerState state(const std::string &host, TimePoint now) const;

    /// Returns the sorted names of the entry hosts that share the slots of this host's zone, including this host.
    std::vector<std::string> members(TimePoint now) const;

    /// All other known entry hosts, by name.
    const std::map<std::string, PeerRecord> &peers() const;

    const PeerIdentity &self() const;

private:
    PeerRecord *findSender(const PeerFrame &frame, TimePoint now);
    bool hasWrongRecipient(const PeerFrame &frame) const;
    bool isReplayed(const PeerFrame &frame, const PeerRecord &record, TimePoint now) const;
    PeerState state(const PeerRecord &record, TimePoint now) const;
    bool isHostListCurrent(TimePoint now) const;
    void discountPause(Duration pause, TimePoint now);

    PeerIdentity m_self;
    std::map<std::string, PeerRecord> m_peers;
    std::unordered_map<Incarnation, std::string> m_hostByIncarnation;
    TimePoint m_hostListReadAt;
    TimePoint m_lastTick;
};
} // namespace Anvilcart
