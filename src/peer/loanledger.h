#pragma once

#include "dispatch/interfaces/slotsharing.h"
#include "dispatch/jobqueue.h"
#include "dispatch/slottable.h"
#include "kernel/time.h"
#include "peer/interfaces/peerobserver.h"
#include "peer/peerframe.h"

#include <map>
#include <string>
#include <vector>

namespace Anvilcart
{
/// A slot message to be sent to one peer.
struct OutgoingSlotMessage
{
    std::string peer;
    SlotMessage message;
};

/// Lends free slots to the peer whose next job ranks first. A borrowed slot is returned when its task ends,
/// unless the borrower's next job still ranks before the next job of every other host.
/// All of this is soft state: a lost message leaves a slot idle until its lease expires, but never starts a task twice.
/// Reads no clock; the caller passes the time. Not thread-safe: used on the decision loop only.
class LoanLedger
{
public:
    /// The observer must outlive the ledger.
    explicit LoanLedger(PeerObserver &observer);

    /// Sets the hosts to share slots with. Loans to and from all other hosts end.
    void setPeers(const std::vector<std::string> &peers, const SharingView &view);

    /// Ends every loan to and from a host that has restarted.
    void reset(const std::string &peer, const SharingView &view);

    /// Clears a host's demand, so that nothing is lent to it until it reports its demand again.
    void clearDemand(const std::string &peer);

    /// Applies a message from a host. Ignored if the host is not a peer.
    void receive(const std::string &peer, const SlotMessage &message, const SharingView &view);

    /// Reclaims lent slots whose lease has expired.
    void expireLeases(const SharingView &view);

    /// Returns a borrowed slot whose task has ended, unless this host's next job ranks first.
    void onSlotReleased(const SharingView &view, TargetIndex target);

    /// Lends free slots to peers whose next job ranks before this host's next job.
    void lendBeforeStarts(const SharingView &view);

    /// Returns unused borrowed slots, lends free slots and records this host's demand.
    void redistributeAfterStarts(const SharingView &view);

    /// Removes the due loans, returns, revocations and changed demands from the outboxes and returns them.
    std::vector<OutgoingSlotMessage> collectOutgoing(TimePoint now);

    /// Reclaims the slots of loans that could not be sent.
    void reclaimUnsent(const OutgoingSlotMessage &unsent, const SharingView &view);

    /// Returns the full state to send to a peer. Repeating it makes up for lost messages. Records the demand as sent to the peer.
    SlotMessage makeFullState(const std::string &peer, TimePoint now);

private:
    struct LentSlot
    {
        LoanId id;
        TargetIndex target;
        TimePoint lentAt;
        TimePoint renewedAt;
    };

    struct BorrowedSlot
    {
        LoanId id;
        TargetIndex target;
    };

    struct Peer
    {
        /// The demand that the peer reported.
        std::vector<WaitingJob> jobs;
        std::vector<LentSlot> lentSlots;
        std::vector<BorrowedSlot> borrowedSlots;
        SlotMessage outbox;
        /// This host's demand as last sent to the peer.
        std::vector<WaitingJob> announcedJobs;
        LoanId lastReceivedLoan = 0;
        TimePoint nextDemandAt;
        TimePoint lendingPausedUntil;
    };

    Peer *nextBorrower(TimePoint now);
    void lendFreeSlots(const SharingView &view, TimePoint rankLimit);
    void lendSlot(Peer &peer, TargetIndex target, const SharingView &view);
    void acceptReturn(Peer &peer, const LoanReturn &returned, const SharingView &view);
    void reconcile(Peer &peer, const Holdings &holdings, const SharingView &view);
    void pauseAfterUnusedLoan(Peer &peer, const SlotMessage &message, TimePoint now);
    void applyDemand(Peer &peer, const Demand &demand, TimePoint now);
    void borrow(Peer &peer, const Loan &loan, const SharingView &view);
    void returnIdleSlots(Peer &peer, const SharingView &view);
    void endLoans(Peer &peer, const SharingView &view);
    void dropRevoked(Peer &peer, const std::vector<LoanId> &revoked, const SharingView &view);
    bool hasFirstRankedJob(const SharingView &view) const;
    bool isDemandRelevant(const Peer &peer) const;
    bool isDemandDue(const Peer &peer, TimePoint now) const;
    Demand prepareDemand(Peer &peer, TimePoint now);
    Duration minDemandInterval() const;

    PeerObserver &m_observer;
    std::map<std::string, Peer> m_peers;
    std::vector<WaitingJob> m_ownJobs;
    LoanId m_lastLoanId = 0;
};
} // namespace Anvilcart
