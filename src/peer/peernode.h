#pragma once

#include "dispatch/dispatcher.h"
#include "peer/interfaces/peerlink.h"
#include "peer/interfaces/peerobserver.h"
#include "peer/loanledger.h"
#include "peer/membership.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Anvilcart
{
/// One entry host among its peers: speaks to them through the link and applies what they say to the dispatcher.
/// Has no socket or clock of its own. Not thread-safe: the decision loop's.
class PeerNode : public SlotSharing
{
public:
    /// The dispatcher, the link and the observer outlive the node.
    PeerNode(PeerIdentity self, Dispatcher &dispatcher, PeerLink &link, PeerObserver &observer);

    /// Takes over a reading of the host list.
    void applyHostList(const std::vector<ListedPeer> &listed, TimePoint now);

    /// Tells this version of the configuration in heartbeats from now on.
    void setConfigurationVersion(std::uint64_t version);

    /// Takes a message from the link; what is not a frame for this host is counted and dropped.
    void onMessage(std::string_view message, TimePoint now);

    /// Sends heartbeats, ends leases and updates the members. Call several times a second.
    void onTick(TimePoint now);

    /// Tells every peer that this host stops now. Precondition: it has drained.
    void leave(TimePoint now);

    const Membership &membership() const;

    void onSlotReleased(const SharingView &view, TargetIndex target) override;
    void lendBeforeStarts(const SharingView &view) override;
    void redistributeAfterStarts(const SharingView &view) override;

private:
    void connectPeers();
    void disconnectForgotten();
    void updateMembers(TimePoint now);
    void silenceSuspects(TimePoint now);
    void sendHeartbeats(TimePoint now);
    Duration heartbeatPeriod(const PeerRecord &record, bool dead) const;
    void sendHeartbeat(const std::string &host, const PeerRecord &record, bool leaving, TimePoint now);
    bool send(const std::string &host, PeerFrame frame);
    void flush(const SharingView &view);

    Membership m_membership;
    Dispatcher &m_dispatcher;
    PeerLink &m_link;
    PeerObserver &m_observer;
    LoanLedger m_ledger;
    std::vector<std::string> m_members;
    std::map<std::string, TimePoint> m_heartbeatDueAt;
    std::set<std::string> m_connected;
    std::uint64_t m_configurationVersion = 0;
    std::uint64_t m_lastSequence = 0;
};
} // namespace Anvilcart
