#pragma once

#include "kernel/time.h"
#include "peer/frameverdict.h"
#include "peer/peerframe.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace Anvilcart
{
/// Who this host is among its peers.
struct PeerIdentity
{
    std::string host;
    std::string zone;
    Endpoint door;
    Incarnation incarnation = 0;
};

/// An entry host as the platform's host list names it.
struct ListedPeer
{
    std::string host;
    std::string zone;
    Endpoint door;
};

/// What a host is thought to be, from what was heard of it.
enum class PeerState {
    Live,
    Suspected,
    Dead,
    Left,
};

/// What is known of another entry host.
struct PeerRecord
{
    std::string zone;
    Endpoint door;
    Incarnation incarnation = 0;
    std::uint64_t lastSequence = 0;
    std::uint64_t configurationVersion = 0;
    std::uint32_t freeSlots = 0;
    bool listed = false;
    bool left = false;
    TimePoint lastHeard;
};

/// What a frame was found to be. `host` is empty unless the frame was accepted.
struct FrameReceipt
{
    FrameVerdict verdict = FrameVerdict::Accepted;
    std::string host;
    /// The host runs under another incarnation than before; what the earlier one had promised is void.
    bool restarted = false;
};

/// Decides which entry hosts act as one. Has no clock of its own. Not thread-safe: the decision loop's.
class Membership
{
public:
    explicit Membership(PeerIdentity self);

    /// Takes over a reading of the host list. This host may be among the listed ones.
    void applyHostList(const std::vector<ListedPeer> &listed, TimePoint now);

    /// Judges a frame and takes over what it says of its sender.
    FrameReceipt receive(const PeerFrame &frame, TimePoint now);

    /// Notices a pause of this host itself, which proves nothing against its peers, and forgets hosts that are long gone.
    /// Call several times a second.
    void onTick(TimePoint now);

    /// What the host is thought to be; Dead when it is not known.
    PeerState state(const std::string &host, TimePoint now) const;

    /// The names of the entry hosts of the own zone that share its slots, this one included, in order.
    std::vector<std::string> members(TimePoint now) const;

    /// All other entry hosts that are known.
    const std::map<std::string, PeerRecord> &peers() const;

    const PeerIdentity &self() const;

private:
    PeerRecord *findSender(const PeerFrame &frame, TimePoint now);
    bool isForeign(const PeerFrame &frame) const;
    bool isStale(const PeerFrame &frame, const PeerRecord &record, TimePoint now) const;
    PeerState state(const PeerRecord &record, TimePoint now) const;
    bool isListFresh(TimePoint now) const;
    void forgiveSilence(Duration pause, TimePoint now);

    PeerIdentity m_self;
    std::map<std::string, PeerRecord> m_peers;
    std::unordered_map<Incarnation, std::string> m_byIncarnation;
    TimePoint m_listReadAt;
    TimePoint m_lastTick;
};
} // namespace Anvilcart
