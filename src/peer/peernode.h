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
/// Exchanges messages with the other entry hosts over the link and applies them to the dispatcher.
/// Opens no socket and reads no clock; the caller passes the time. Not thread-safe: used on the decision loop only.
class PeerNode : public SlotSharing
{
public:
    /// The dispatcher, the link and the observer must outlive the node.
    PeerNode(PeerIdentity self, Dispatcher &dispatcher, PeerLink &link, PeerObserver &observer);

    /// Applies the current host list.
    void applyHostList(const std::vector<ListedPeer> &listed, TimePoint now);

    /// Sets the configuration version reported in heartbeats.
    void setConfigurationVersion(std::uint64_t version);

    /// Handles a message from the link. Messages that are not valid frames for this host are counted and dropped.
    void onMessage(std::string_view message, TimePoint now);

    /// Sends heartbeats, expires leases and updates the members. Call several times a second.
    void onTick(TimePoint now);

    /// Notifies every peer that this host is shutting down. Precondition: it has drained.
    void leave(TimePoint now);

    const Membership &membership() const;

    void onSlotReleased(const SharingView &view, TargetIndex target) override;
    void lendBeforeStarts(const SharingView &view) override;
    void redistributeAfterStarts(const SharingView &view) override;

private:
    void connectPeers();
    void disconnectRemoved();
    void updateMembers(TimePoint now);
    void clearDemandOfSuspects(TimePoint now);
    void sendHeartbeats(TimePoint now);
    Duration heartbeatPeriod(const PeerRecord &record, bool dead) const;
    void sendHeartbeat(const std::string &host, const PeerRecord &record, bool leaving, TimePoint now);
    bool send(const std::string &host, PeerFrame frame);
    void sendOutgoing(const SharingView &view);

    Membership m_membership;
    Dispatcher &m_dispatcher;
    PeerLink &m_link;
    PeerObserver &m_observer;
    LoanLedger m_ledger;
    std::vector<std::string> m_members;
    std::map<std::string, TimePoint> m_nextHeartbeatAt;
    std::set<std::string> m_connected;
    std::uint64_t m_configurationVersion = 0;
    std::uint64_t m_lastSequence = 0;
};
} // namespace Anvilcart
