#pragma once

#include "dispatch/interfaces/slotsharing.h"
#include "dispatch/slottable.h"
#include "kernel/time.h"
#include "peer/interfaces/peerobserver.h"
#include "peer/peerframe.h"

#include <map>
#include <string>
#include <vector>

namespace Anvilcart
{
/// What is to be sent to one peer.
struct OutgoingSlots
{
    std::string peer;
    SlotMessage message;
};

/// Lends free slots to the peer with the smallest waiting job. A borrowed slot goes home when its task ends,
/// unless the borrower's smallest job is still the smallest of all.
/// All of it is soft state: a lost message costs an idle slot until the lease ends, never a second start.
/// Has no clock of its own. Not thread-safe: the decision loop's.
class LoanLedger
{
public:
    /// The observer outlives the ledger.
    explicit LoanLedger(PeerObserver &observer);

    /// Shares slots with exactly these hosts from now on. Loans to and from others end.
    void setPeers(const std::vector<std::string> &peers, const SharingView &view);

    /// Ends every loan to and from a host that has restarted.
    void reset(const std::string &peer, const SharingView &view);

    /// Lends nothing to a host until it tells its demand again.
    void silence(const std::string &peer);

    /// Takes over a message. A host that is not a peer is ignored.
    void receive(const std::string &peer, const SlotMessage &message, const SharingView &view);

    /// Takes slots home whose lease has ended.
    void expireLeases(const SharingView &view);

    /// Sends a borrowed slot home when the task that used it has ended and another host needs it more.
    void onSlotReleased(const SharingView &view, TargetIndex target);

    /// Lends where a peer's smallest job is smaller than the own one.
    void lendBeforeStarts(const SharingView &view);

    /// Sends unused slots home, lends what is free and notes the own demand.
    void settleAfterStarts(const SharingView &view);

    /// Loans, returns and changed demands that are due to be sent.
    std::vector<OutgoingSlots> takeOutgoing(TimePoint now);

    /// Takes loans home that could not be sent.
    void takeBack(const OutgoingSlots &unsent, const SharingView &view);

    /// The whole state to repeat to a peer, so that lost messages are made up for.
    SlotMessage repeatState(const std::string &peer);

private:
    struct Lent
    {
        LoanId id;
        TargetIndex target;
        TimePoint lentAt;
        TimePoint renewedAt;
    };

    struct Held
    {
        LoanId id;
        TargetIndex target;
    };

    struct Peer
    {
        std::vector<std::uint32_t> jobSizes;
        std::vector<Lent> lent;
        std::vector<Held> held;
        SlotMessage outbox;
        std::vector<std::uint32_t> toldJobSizes;
        LoanId lastReceived = 0;
        TimePoint demandDueAt;
        TimePoint pausedUntil;
    };

    Peer *smallestDemand(TimePoint now);
    void lendFreeSlots(const SharingView &view, std::size_t limit);
    void lendOne(Peer &peer, TargetIndex target, const SharingView &view);
    void takeHome(Peer &peer, const LoanReturn &returned, const SharingView &view);
    void reconcile(Peer &peer, const Holdings &holdings, const SharingView &view);
    void pauseAfterMisfit(Peer &peer, const SlotMessage &message, TimePoint now);
    void applyDemand(Peer &peer, const Demand &demand);
    void borrow(Peer &peer, const Loan &loan, const SharingView &view);
    void returnIdleSlots(Peer &peer, const SharingView &view);
    void endLoans(Peer &peer, const SharingView &view);
    void dropRevoked(Peer &peer, const std::vector<LoanId> &revoked, const SharingView &view);
    bool needsSlotMost(const SharingView &view) const;
    bool matters(const Peer &peer) const;
    bool isDemandDue(const Peer &peer, TimePoint now) const;
    Demand tellDemand(Peer &peer);
    Duration demandGap() const;

    PeerObserver &m_observer;
    std::map<std::string, Peer> m_peers;
    std::vector<std::uint32_t> m_jobSizes;
    LoanId m_lastLoan = 0;
};
} // namespace Anvilcart
