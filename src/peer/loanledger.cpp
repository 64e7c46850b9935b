#include "peer/loanledger.h"

#include "dispatch/jobqueue.h"

#include <algorithm>
#include <limits>

namespace Anvilcart
{
namespace
{
/// A loan ends when its borrower has not told for so long that it holds it.
constexpr Milliseconds LeaseTime {2000};
/// How long nothing is lent to a peer that had work and yet could not use a slot.
constexpr Milliseconds PauseAfterMisfit {20};
/// A loan that its borrower has not received by then was lost on its way.
constexpr Milliseconds LostAfter {1000};
constexpr std::size_t ToldJobs = 8;
/// Bounds what demands alone cost: so many frames a second over all peers.
constexpr int DemandFramesPerSecond = 100;
constexpr std::size_t NoLimit = std::numeric_limits<std::size_t>::max();

std::size_t smallest(const std::vector<std::uint32_t> &jobSizes)
{
    return jobSizes.empty() ? NoLimit : jobSizes.front();
}

void consumeOne(std::vector<std::uint32_t> &jobSizes)
{
    if (!jobSizes.empty() && --jobSizes.front() == 0) {
        jobSizes.erase(jobSizes.begin());
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

void LoanLedger::silence(const std::string &peer)
{
    const auto found = m_peers.find(peer);
    if (found != m_peers.end()) {
        found->second.jobSizes.clear();
    }
}

void LoanLedger::receive(const std::string &peer, const SlotMessage &message, const SharingView &view)
{
    const auto found = m_peers.find(peer);
    if (found == m_peers.end()) {
        return;
    }
    for (const auto &returned : message.returns) {
        takeHome(found->second, returned, view);
    }
    if (message.demand) {
        applyDemand(found->second, *message.demand);
    }
    if (message.holdings) {
        reconcile(found->second, *message.holdings, view);
    }
    pauseAfterMisfit(found->second, message, view.now);
    dropRevoked(found->second, message.revoked, view);
    for (const auto &loan : message.loans) {
        borrow(found->second, loan, view);
    }
}

void LoanLedger::expireLeases(const SharingView &view)
{
    for (auto &[name, peer] : m_peers) {
        std::erase_if(peer.lent, [&](const Lent &lent) {
            if (view.now - lent.renewedAt < LeaseTime) {
                return false;
            }
            view.slots.reclaim(lent.target);
            m_observer.onLoan(LoanEvent::Expired);
            return true;
        });
    }
}

void LoanLedger::onSlotReleased(const SharingView &view, TargetIndex target)
{
    if (needsSlotMost(view)) {
        return;
    }
    // Slots of one target are alike, so whichever was borrowed first goes home.
    for (auto &[name, peer] : m_peers) {
        const auto held = std::find_if(peer.held.begin(), peer.held.end(), [&](const Held &candidate) {
            return candidate.target == target;
        });
        if (held != peer.held.end()) {
            view.slots.returnBorrowed(target);
            peer.outbox.returns.push_back({held->id, false});
            peer.held.erase(held);
            m_observer.onLoan(LoanEvent::Used);
            return;
        }
    }
}

void LoanLedger::lendBeforeStarts(const SharingView &view)
{
    const auto own = view.queue.smallestJobs(1);
    lendFreeSlots(view, smallest(own));
}

void LoanLedger::settleAfterStarts(const SharingView &view)
{
    for (auto &[name, peer] : m_peers) {
        returnIdleSlots(peer, view);
    }
    lendFreeSlots(view, NoLimit);
    m_jobSizes = view.mayLend ? view.queue.smallestJobs(ToldJobs) : std::vector<std::uint32_t>();
}

std::vector<OutgoingSlots> LoanLedger::takeOutgoing(TimePoint now)
{
    std::vector<OutgoingSlots> outgoing;
    for (auto &[name, peer] : m_peers) {
        const bool moves = !peer.outbox.loans.empty() || !peer.outbox.returns.empty() || !peer.outbox.revoked.empty();
        if (!moves && !isDemandDue(peer, now)) {
            continue;
        }
        if (peer.toldJobSizes != m_jobSizes) {
            peer.outbox.demand = tellDemand(peer);
            peer.demandDueAt = now + demandGap();
        }
        outgoing.push_back({name, std::move(peer.outbox)});
        peer.outbox = SlotMessage();
    }
    return outgoing;
}

void LoanLedger::takeBack(const OutgoingSlots &unsent, const SharingView &view)
{
    const auto found = m_peers.find(unsent.peer);
    if (found == m_peers.end()) {
        return;
    }
    for (const auto &loan : unsent.message.loans) {
        takeHome(found->second, {loan.id, true}, view);
    }
    found->second.jobSizes.clear();
    found->second.toldJobSizes.clear();
}

SlotMessage LoanLedger::repeatState(const std::string &peer)
{
    SlotMessage state;
    const auto found = m_peers.find(peer);
    if (found == m_peers.end()) {
        return state;
    }
    state.demand = tellDemand(found->second);
    state.holdings.emplace();
    for (const auto &held : found->second.held) {
        state.holdings->loans.push_back(held.id);
    }
    return state;
}

LoanLedger::Peer *LoanLedger::smallestDemand(TimePoint now)
{
    Peer *best = nullptr;
    for (auto &[name, peer] : m_peers) {
        if (peer.jobSizes.empty() || peer.pausedUntil > now) {
            continue;
        }
        const bool smaller = best == nullptr || peer.jobSizes.front() < best->jobSizes.front();
        const bool equal = best != nullptr && peer.jobSizes.front() == best->jobSizes.front();
        if (smaller || (equal && peer.lent.size() < best->lent.size())) {
            best = &peer;
        }
    }
    return best;
}

void LoanLedger::lendFreeSlots(const SharingView &view, std::size_t limit)
{
    if (!view.mayLend) {
        return;
    }
    for (auto *peer = smallestDemand(view.now); peer != nullptr && peer->jobSizes.front() < limit; peer = smallestDemand(view.now)) {
        const auto target = view.slots.pickToLend(view.now);
        if (!target) {
            return;
        }
        lendOne(*peer, *target, view);
    }
}

void LoanLedger::lendOne(Peer &peer, TargetIndex target, const SharingView &view)
{
    view.slots.lend(target);
    peer.lent.push_back({++m_lastLoan, target, view.now, view.now});
    peer.outbox.loans.push_back({m_lastLoan, view.slots.at(target).spec.name});
    consumeOne(peer.jobSizes);
    m_observer.onLoan(LoanEvent::Offered);
}

void LoanLedger::takeHome(Peer &peer, const LoanReturn &returned, const SharingView &view)
{
    const auto lent = std::find_if(peer.lent.begin(), peer.lent.end(), [&](const Lent &candidate) {
        return candidate.id == returned.id;
    });
    if (lent == peer.lent.end()) {
        return;
    }
    view.slots.reclaim(lent->target);
    peer.lent.erase(lent);
    m_observer.onLoan(LoanEvent::Returned);
}

void LoanLedger::reconcile(Peer &peer, const Holdings &holdings, const SharingView &view)
{
    auto unknown = holdings.loans;
    std::erase_if(peer.lent, [&](Lent &lent) {
        const bool held = std::erase(unknown, lent.id) > 0;
        if (held) {
            lent.renewedAt = view.now;
        }
        if (held || view.now - lent.lentAt < LostAfter) {
            return false;
        }
        view.slots.reclaim(lent.target);
        m_observer.onLoan(LoanEvent::Lost);
        return true;
    });
    peer.outbox.revoked = std::move(unknown);
}

void LoanLedger::dropRevoked(Peer &peer, const std::vector<LoanId> &revoked, const SharingView &view)
{
    std::erase_if(peer.held, [&](const Held &held) {
        if (std::find(revoked.begin(), revoked.end(), held.id) == revoked.end()) {
            return false;
        }
        view.slots.returnBorrowed(held.target);
        return true;
    });
}

void LoanLedger::pauseAfterMisfit(Peer &peer, const SlotMessage &message, TimePoint now)
{
    const bool anyUnused = std::any_of(message.returns.begin(), message.returns.end(), [](const LoanReturn &returned) {
        return returned.unused;
    });
    if (anyUnused && !peer.jobSizes.empty()) {
        peer.pausedUntil = now + PauseAfterMisfit;
    }
}

void LoanLedger::applyDemand(Peer &peer, const Demand &demand)
{
    peer.jobSizes = demand.jobSizes;
    // Loans that the peer had not received when it spoke will still take tasks off its queue.
    for (const auto &lent : peer.lent) {
        if (lent.id > demand.lastLoan) {
            consumeOne(peer.jobSizes);
        }
    }
}

void LoanLedger::borrow(Peer &peer, const Loan &loan, const SharingView &view)
{
    peer.lastReceived = std::max(peer.lastReceived, loan.id);
    const auto target = view.slots.find(loan.target);
    if (!target) {
        peer.outbox.returns.push_back({loan.id, true});
        m_observer.onLoan(LoanEvent::Unused);
        return;
    }
    view.slots.borrow(*target);
    peer.held.push_back({loan.id, *target});
}

void LoanLedger::returnIdleSlots(Peer &peer, const SharingView &view)
{
    std::erase_if(peer.held, [&](const Held &held) {
        if (view.slots.at(held.target).free() == 0) {
            return false;
        }
        view.slots.returnBorrowed(held.target);
        peer.outbox.returns.push_back({held.id, true});
        m_observer.onLoan(LoanEvent::Unused);
        return true;
    });
}

void LoanLedger::endLoans(Peer &peer, const SharingView &view)
{
    for (const auto &lent : peer.lent) {
        view.slots.reclaim(lent.target);
        m_observer.onLoan(LoanEvent::Revoked);
    }
    for (const auto &held : peer.held) {
        view.slots.returnBorrowed(held.target);
    }
    peer.lent.clear();
    peer.held.clear();
}

bool LoanLedger::needsSlotMost(const SharingView &view) const
{
    const auto own = smallest(view.queue.smallestJobs(1));
    return view.mayLend && own != NoLimit && std::all_of(m_peers.begin(), m_peers.end(), [own](const auto &entry) {
               return own < smallest(entry.second.jobSizes);
           });
}

bool LoanLedger::matters(const Peer &peer) const
{
    const auto decisive = std::min(smallest(m_jobSizes), smallest(peer.toldJobSizes));
    return decisive < smallest(peer.jobSizes);
}

bool LoanLedger::isDemandDue(const Peer &peer, TimePoint now) const
{
    return peer.toldJobSizes != m_jobSizes && peer.demandDueAt <= now && matters(peer);
}

Demand LoanLedger::tellDemand(Peer &peer)
{
    peer.toldJobSizes = m_jobSizes;
    return {m_jobSizes, peer.lastReceived};
}

Duration LoanLedger::demandGap() const
{
    return std::chrono::duration_cast<Duration>(Seconds(1)) * static_cast<std::int64_t>(m_peers.size()) / DemandFramesPerSecond;
}
} // namespace Anvilcart
