#include "peer/loanledger.h"

#include <algorithm>
#include <limits>

namespace Anvilcart
{
namespace
{
/// A loan expires when its borrower has not reported it as held for this long.
constexpr Milliseconds LeaseDuration {2000};
/// How long nothing is lent to a peer that returned a slot unused although it had waiting jobs.
constexpr Milliseconds UnusedLoanPause {20};
/// A loan that the borrower does not report as held within this time is treated as lost in transit.
constexpr Milliseconds LoanReceiptTimeout {1000};
constexpr std::size_t MaxAnnouncedJobs = 4;
/// Limits the frames per second that carry only a demand, over all peers.
constexpr int MaxDemandFramesPerSecond = 100;
constexpr TimePoint Never = TimePoint::max();

/// Returns the rank of the job that starts next; Never if none waits.
TimePoint firstRank(const std::vector<WaitingJob> &jobs)
{
    return jobs.empty() ? Never : jobs.front().rank;
}

void removeOneTask(std::vector<WaitingJob> &jobs)
{
    if (!jobs.empty() && --jobs.front().unstarted == 0) {
        jobs.erase(jobs.begin());
    }
}
} // namespace

LoanLedger::LoanLedger(PeerObserver &observer)
    : m_observer(observer)
{
}

void LoanLedger::setPeers(const std::vector<std::string> &peers, const SharingView &view)
{
    for (auto peer = m_peers.begin(); peer != m_peers.end();) {
        if (std::find(peers.begin(), peers.end(), peer->first) != peers.end()) {
            ++peer;
            continue;
        }
        endLoans(peer->second, view);
        peer = m_peers.erase(peer);
    }
    for (const auto &name : peers) {
        m_peers.try_emplace(name);
    }
}

void LoanLedger::reset(const std::string &peer, const SharingView &view)
{
    const auto found = m_peers.find(peer);
    if (found != m_peers.end()) {
        endLoans(found->second, view);
        found->second = Peer();
    }
}

void LoanLedger::clearDemand(const std::string &peer)
{
    const auto found = m_peers.find(peer);
    if (found != m_peers.end()) {
        found->second.jobs.clear();
    }
}

void LoanLedger::receive(const std::string &peer, const SlotMessage &message, const SharingView &view)
{
    const auto found = m_peers.find(peer);
    if (found == m_peers.end()) {
        return;
    }
    for (const auto &returned : message.returns) {
        acceptReturn(found->second, returned, view);
    }
    if (message.demand) {
        applyDemand(found->second, *message.demand, view.now);
    }
    if (message.holdings) {
        reconcile(found->second, *message.holdings, view);
    }
    pauseAfterUnusedLoan(found->second, message, view.now);
    dropRevoked(found->second, message.revoked, view);
    for (const auto &loan : message.loans) {
        borrow(found->second, loan, view);
    }
}

void LoanLedger::expireLeases(const SharingView &view)
{
    for (auto &[name, peer] : m_peers) {
        std::erase_if(peer.lentSlots, [&](const LentSlot &lent) {
            if (view.now - lent.renewedAt < LeaseDuration) {
                return false;
            }
            view.slots.reclaim(lent.target);
            m_observer.onLoanEvent(LoanEvent::Expired);
            return true;
        });
    }
}

void LoanLedger::onSlotReleased(const SharingView &view, TargetIndex target)
{
    if (hasFirstRankedJob(view)) {
        return;
    }
    // The slots of one target are interchangeable, so the one borrowed first is returned.
    for (auto &[name, peer] : m_peers) {
        const auto borrowed = std::find_if(peer.borrowedSlots.begin(), peer.borrowedSlots.end(), [&](const BorrowedSlot &candidate) {
            return candidate.target == target;
        });
        if (borrowed != peer.borrowedSlots.end()) {
            view.slots.returnBorrowed(target);
            peer.outbox.returns.push_back({borrowed->id, false});
            peer.borrowedSlots.erase(borrowed);
            m_observer.onLoanEvent(LoanEvent::Used);
            return;
        }
    }
}

void LoanLedger::lendBeforeStarts(const SharingView &view)
{
    const auto own = view.queue.frontJobs(1);
    lendFreeSlots(view, firstRank(own));
}

void LoanLedger::redistributeAfterStarts(const SharingView &view)
{
    for (auto &[name, peer] : m_peers) {
        returnIdleSlots(peer, view);
    }
    lendFreeSlots(view, Never);
    m_ownJobs = view.mayLend ? view.queue.frontJobs(MaxAnnouncedJobs) : std::vector<WaitingJob>();
}

std::vector<OutgoingSlotMessage> LoanLedger::collectOutgoing(TimePoint now)
{
    std::vector<OutgoingSlotMessage> outgoing;
    for (auto &[name, peer] : m_peers) {
        const bool hasSlotChanges = !peer.outbox.loans.empty() || !peer.outbox.returns.empty() || !peer.outbox.revoked.empty();
        if (!hasSlotChanges && !isDemandDue(peer, now)) {
            continue;
        }
        if (peer.announcedJobs != m_ownJobs) {
            peer.outbox.demand = prepareDemand(peer, now);
            peer.nextDemandAt = now + minDemandInterval();
        }
        outgoing.push_back({name, std::move(peer.outbox)});
        peer.outbox = SlotMessage();
    }
    return outgoing;
}

void LoanLedger::reclaimUnsent(const OutgoingSlotMessage &unsent, const SharingView &view)
{
    const auto found = m_peers.find(unsent.peer);
    if (found == m_peers.end()) {
        return;
    }
    for (const auto &loan : unsent.message.loans) {
        acceptReturn(found->second, {loan.id, true}, view);
    }
    found->second.jobs.clear();
    found->second.announcedJobs.clear();
}

SlotMessage LoanLedger::makeFullState(const std::string &peer, TimePoint now)
{
    SlotMessage state;
    const auto found = m_peers.find(peer);
    if (found == m_peers.end()) {
        return state;
    }
    state.demand = prepareDemand(found->second, now);
    state.holdings.emplace();
    for (const auto &borrowed : found->second.borrowedSlots) {
        state.holdings->loans.push_back(borrowed.id);
    }
    return state;
}

LoanLedger::Peer *LoanLedger::nextBorrower(TimePoint now)
{
    Peer *best = nullptr;
    for (auto &[name, peer] : m_peers) {
        if (peer.jobs.empty() || peer.lendingPausedUntil > now) {
            continue;
        }
        const bool ranksFirst = best == nullptr || peer.jobs.front().rank < best->jobs.front().rank;
        const bool sameRank = best != nullptr && peer.jobs.front().rank == best->jobs.front().rank;
        if (ranksFirst || (sameRank && peer.lentSlots.size() < best->lentSlots.size())) {
            best = &peer;
        }
    }
    return best;
}

void LoanLedger::lendFreeSlots(const SharingView &view, TimePoint rankLimit)
{
    if (!view.mayLend) {
        return;
    }
    for (auto *peer = nextBorrower(view.now); peer != nullptr && peer->jobs.front().rank < rankLimit; peer = nextBorrower(view.now)) {
        const auto target = view.slots.pickToLend(view.now);
        if (!target) {
            return;
        }
        lendSlot(*peer, *target, view);
    }
}

void LoanLedger::lendSlot(Peer &peer, TargetIndex target, const SharingView &view)
{
    view.slots.lend(target);
    peer.lentSlots.push_back({++m_lastLoanId, target, view.now, view.now});
    peer.outbox.loans.push_back({m_lastLoanId, view.slots.at(target).spec.name});
    removeOneTask(peer.jobs);
    m_observer.onLoanEvent(LoanEvent::Offered);
}

void LoanLedger::acceptReturn(Peer &peer, const LoanReturn &returned, const SharingView &view)
{
    const auto lent = std::find_if(peer.lentSlots.begin(), peer.lentSlots.end(), [&](const LentSlot &candidate) {
        return candidate.id == returned.id;
    });
    if (lent == peer.lentSlots.end()) {
        return;
    }
    view.slots.reclaim(lent->target);
    peer.lentSlots.erase(lent);
    m_observer.onLoanEvent(LoanEvent::Returned);
}

void LoanLedger::reconcile(Peer &peer, const Holdings &holdings, const SharingView &view)
{
    auto unknown = holdings.loans;
    std::erase_if(peer.lentSlots, [&](LentSlot &lent) {
        const bool held = std::erase(unknown, lent.id) > 0;
        if (held) {
            lent.renewedAt = view.now;
        }
        if (held || view.now - lent.lentAt < LoanReceiptTimeout) {
            return false;
        }
        view.slots.reclaim(lent.target);
        m_observer.onLoanEvent(LoanEvent::Lost);
        return true;
    });
    peer.outbox.revoked = std::move(unknown);
}

void LoanLedger::dropRevoked(Peer &peer, const std::vector<LoanId> &revoked, const SharingView &view)
{
    std::erase_if(peer.borrowedSlots, [&](const BorrowedSlot &borrowed) {
        if (std::find(revoked.begin(), revoked.end(), borrowed.id) == revoked.end()) {
            return false;
        }
        view.slots.returnBorrowed(borrowed.target);
        return true;
    });
}

void LoanLedger::pauseAfterUnusedLoan(Peer &peer, const SlotMessage &message, TimePoint now)
{
    const bool anyUnused = std::any_of(message.returns.begin(), message.returns.end(), [](const LoanReturn &returned) {
        return returned.unused;
    });
    if (anyUnused && !peer.jobs.empty()) {
        peer.lendingPausedUntil = now + UnusedLoanPause;
    }
}

void LoanLedger::applyDemand(Peer &peer, const Demand &demand, TimePoint now)
{
    peer.jobs.clear();
    for (const auto &job : demand.jobs) {
        peer.jobs.push_back({job.unstarted, now + job.rank});
    }
    // Loans that the peer had not received when it sent its demand will still start tasks from its queue.
    for (const auto &lent : peer.lentSlots) {
        if (lent.id > demand.lastLoan) {
            removeOneTask(peer.jobs);
        }
    }
}

void LoanLedger::borrow(Peer &peer, const Loan &loan, const SharingView &view)
{
    peer.lastReceivedLoan = std::max(peer.lastReceivedLoan, loan.id);
    const auto target = view.slots.find(loan.target);
    if (!target) {
        peer.outbox.returns.push_back({loan.id, true});
        m_observer.onLoanEvent(LoanEvent::Unused);
        return;
    }
    view.slots.borrow(*target);
    peer.borrowedSlots.push_back({loan.id, *target});
}

void LoanLedger::returnIdleSlots(Peer &peer, const SharingView &view)
{
    std::erase_if(peer.borrowedSlots, [&](const BorrowedSlot &borrowed) {
        const auto &target = view.slots.at(borrowed.target);
        if (target.held() <= target.used) {
            return false;
        }
        view.slots.returnBorrowed(borrowed.target);
        peer.outbox.returns.push_back({borrowed.id, true});
        m_observer.onLoanEvent(LoanEvent::Unused);
        return true;
    });
}

void LoanLedger::endLoans(Peer &peer, const SharingView &view)
{
    for (const auto &lent : peer.lentSlots) {
        view.slots.reclaim(lent.target);
        m_observer.onLoanEvent(LoanEvent::Revoked);
    }
    for (const auto &borrowed : peer.borrowedSlots) {
        view.slots.returnBorrowed(borrowed.target);
    }
    peer.lentSlots.clear();
    peer.borrowedSlots.clear();
}

bool LoanLedger::hasFirstRankedJob(const SharingView &view) const
{
    const auto own = firstRank(view.queue.frontJobs(1));
    return view.mayLend && own != Never && std::all_of(m_peers.begin(), m_peers.end(), [own](const auto &entry) {
               return own < firstRank(entry.second.jobs);
           });
}

bool LoanLedger::isDemandRelevant(const Peer &peer) const
{
    const auto firstOwnRank = std::min(firstRank(m_ownJobs), firstRank(peer.announcedJobs));
    return firstOwnRank < firstRank(peer.jobs);
}

bool LoanLedger::isDemandDue(const Peer &peer, TimePoint now) const
{
    return peer.announcedJobs != m_ownJobs && peer.nextDemandAt <= now && isDemandRelevant(peer);
}

Demand LoanLedger::prepareDemand(Peer &peer, TimePoint now)
{
    peer.announcedJobs = m_ownJobs;
    Demand demand;
    demand.lastLoan = peer.lastReceivedLoan;
    for (const auto &job : m_ownJobs) {
        demand.jobs.push_back({job.unstarted, std::chrono::duration_cast<Milliseconds>(job.rank - now)});
    }
    return demand;
}

Duration LoanLedger::minDemandInterval() const
{
    return std::chrono::duration_cast<Duration>(Seconds(1)) * static_cast<std::int64_t>(m_peers.size()) / MaxDemandFramesPerSecond;
}
} // namespace Anvilcart
