#include "emulator/simulatedtarget.h"

#include <algorithm>
#include <utility>

namespace Anvilcart::Emulation
{
using Fleet::RenewalReply;
using Fleet::RequestResult;
using Fleet::RunEnd;
using Fleet::RunName;
using Fleet::TargetReply;

namespace
{
/// The longest lease that a target grants.
constexpr std::int64_t MaxLeaseMs = 1000;
/// A run ends this long after the request to stop it.
constexpr Milliseconds StopDelay {30};
/// A target that has crashed starts again after this time.
constexpr Seconds CrashDownTime {3};
/// The users' rule: hosts must respect a smaller capacity after the time in which the fleet stabilises, 3 s, plus one heartbeat of 1.5 s.
constexpr Milliseconds ShrinkNotice {4500};

TargetReply makeReply(RequestResult result, std::int64_t clockMs)
{
    TargetReply answer;
    answer.result = result;
    answer.clockMs = clockMs;
    return answer;
}
} // namespace

SimulatedTarget::SimulatedTarget(Fleet::TargetEntry entry, SimulatedClock &clock, InvariantChecker &invariants, ProfileLookup lookUpProfile)
    : m_entry(std::move(entry))
    , m_clock(clock)
    , m_invariants(invariants)
    , m_lookUpProfile(std::move(lookUpProfile))
    , m_startedAt(clock.now())
{
    m_entry.startedAtMs = 1;
}

const Fleet::TargetEntry &SimulatedTarget::entry() const
{
    return m_entry;
}

Fleet::TargetEntry &SimulatedTarget::entry()
{
    return m_entry;
}

std::int64_t SimulatedTarget::clockMs() const
{
    return 1 + std::chrono::duration_cast<Milliseconds>((m_clock.now() - m_startedAt) * m_clockRate).count();
}

std::size_t SimulatedTarget::runningCount() const
{
    return m_runs.size();
}

std::uint64_t SimulatedTarget::fencingToken() const
{
    return m_fencingToken;
}

std::int64_t SimulatedTarget::leaseUntilMs() const
{
    return m_leaseUntilMs;
}

bool SimulatedTarget::hasLease() const
{
    return !m_down && clockMs() <= m_leaseUntilMs;
}

Fleet::TaskName SimulatedTarget::ownerOf(const Fleet::StartRequest &request)
{
    auto owner = request.name.task;
    if (!request.payload.empty()) {
        owner.jobId = request.payload;
    }
    return owner;
}

TargetReply SimulatedTarget::start(const Fleet::StartRequest &request)
{
    if (request.fencingToken < m_fencingToken) {
        m_invariants.onStartFenced();
        return makeReply(RequestResult::Fenced, clockMs());
    }
    m_fencingToken = request.fencingToken;
    const bool isRunning = m_runs.contains(request.name);
    if (!isRunning && request.leaseUntilMs <= clockMs()) {
        return makeReply(RequestResult::TooLate, clockMs());
    }
    // Also for a run that is already there, and for one that is refused below.
    extendLease(request.leaseUntilMs);
    if (isRunning) {
        return makeReply(RequestResult::Accepted, clockMs());
    }
    const auto ended = m_lastEndedRun.find(request.name.task);
    if (ended != m_lastEndedRun.end() && request.name.run <= ended->second) {
        return makeReply(RequestResult::RunOutdated, clockMs());
    }
    const auto owner = ownerOf(request);
    const RunName ownedRun {owner, request.name.run};
    const auto profile = m_lookUpProfile(owner);
    Fleet::Resources used;
    for (const auto &[name, run] : m_runs) {
        used += run.demand;
    }
    const bool mayUseCapacityBefore = m_clock.now() < m_capacityBeforeUntil && m_capacityBefore.hasCapacityFor(profile.demand, used);
    const bool exceedsCapacity = !mayUseCapacityBefore && !m_entry.capacity.hasCapacityFor(profile.demand, used);
    if (exceedsCapacity && m_isCapacityEnforced) {
        return makeReply(RequestResult::InsufficientCapacity, clockMs());
    }
    const auto runTime = std::chrono::duration_cast<Duration>(profile.runTime * m_runTimeFactor);
    const auto incarnation = m_incarnation;
    m_runs[request.name] = {owner, profile.demand, m_clock.now(), m_clock.now() + runTime, incarnation, m_runTimeFactor};
    m_invariants.onRunStarted(m_entry.id, ownedRun, exceedsCapacity, m_clock.elapsed());
    if (m_closedFrom && m_clock.now() > *m_closedFrom) {
        m_invariants.onStartInEvacuatedZone(m_entry.id, ownedRun, m_clock.elapsed());
    }
    if (!m_hanging) {
        const bool fails = profile.fails || m_failing;
        m_clock.callAfter(runTime, [this, name = request.name, incarnation, fails] {
            onRunTimeOver(name, incarnation, fails);
        });
    }
    if (profile.crashesAfter > Duration(0)) {
        m_clock.callAfter(profile.crashesAfter, [this, name = request.name, ownedRun, incarnation] {
            if (m_incarnation == incarnation && m_runs.contains(name)) {
                m_invariants.onCrash(ownedRun);
                crash();
            }
        });
    }
    return makeReply(RequestResult::Accepted, clockMs());
}

void SimulatedTarget::onRunTimeOver(const RunName &name, std::uint64_t incarnation, bool fails)
{
    const auto found = m_runs.find(name);
    if (found == m_runs.end() || found->second.incarnation != incarnation || m_incarnation != incarnation) {
        return;
    }
    auto &run = found->second;
    const auto endsAt = run.startedAt + std::chrono::duration_cast<Duration>(m_lookUpProfile(run.owner).runTime * run.runTimeFactor);
    if (endsAt <= run.endsAt) {
        endRun(name, fails ? RunEnd::Failed : RunEnd::Done);
        return;
    }
    run.endsAt = endsAt;
    m_clock.callAfter(endsAt - m_clock.now(), [this, name, incarnation, fails] {
        onRunTimeOver(name, incarnation, fails);
    });
}

TargetReply SimulatedTarget::stop(const Fleet::StopRequest &request)
{
    if (request.fencingToken < m_fencingToken) {
        return makeReply(RequestResult::Fenced, clockMs());
    }
    m_fencingToken = request.fencingToken;
    auto &ended = m_lastEndedRun[request.name.task];
    ended = std::max(ended, request.name.run);
    if (m_runs.contains(request.name)) {
        m_clock.callAfter(StopDelay, [this, name = request.name, incarnation = m_incarnation] {
            if (m_incarnation == incarnation && m_runs.contains(name)) {
                endRun(name, RunEnd::Stopped);
            }
        });
    }
    return makeReply(RequestResult::Accepted, clockMs());
}

void SimulatedTarget::renew(const Fleet::RenewalRequest &request, std::function<void(const RenewalReply &)> answer)
{
    RenewalReply renewal;
    if (request.fencingToken < m_fencingToken) {
        renewal.result = RequestResult::Fenced;
        answer(renewal);
        return;
    }
    m_fencingToken = request.fencingToken;
    std::erase_if(m_endedRuns, [&](const Fleet::EndedRun &row) {
        return row.position <= request.acknowledgedPosition;
    });
    if (request.leaseUntilMs > 0) {
        extendLease(request.leaseUntilMs);
    }
    auto pending = std::make_shared<PendingRenewal>();
    pending->answer = std::move(answer);
    m_pendingRenewals.push_back(pending);
    if (request.waitMs == 0 || !m_endedRuns.empty()) {
        answerPendingRenewals();
        return;
    }
    m_clock.callAfter(Milliseconds(request.waitMs), [this, pending] {
        if (!pending->answered) {
            answerPendingRenewals();
        }
    });
}

void SimulatedTarget::answerPendingRenewals()
{
    RenewalReply renewal;
    renewal.result = RequestResult::Accepted;
    renewal.listing = listing();
    for (const auto &pending : std::exchange(m_pendingRenewals, {})) {
        pending->answered = true;
        pending->answer(renewal);
    }
}

Fleet::TargetListing SimulatedTarget::listing() const
{
    Fleet::TargetListing listing;
    listing.clockMs = clockMs();
    listing.startedAtMs = m_entry.startedAtMs;
    for (const auto &[name, run] : m_runs) {
        const auto totalMs = toMilliseconds(run.endsAt - run.startedAt);
        const auto elapsedMs = toMilliseconds(m_clock.now() - run.startedAt);
        constexpr double FullPercent = 100;
        listing.running.push_back(
            {name, m_hanging || totalMs <= 0 ? 0 : static_cast<int>(std::min(FullPercent, FullPercent * elapsedMs / totalMs))});
    }
    listing.ended = m_endedRuns;
    return listing;
}

void SimulatedTarget::extendLease(std::int64_t untilMs)
{
    m_leaseUntilMs = std::max(m_leaseUntilMs, std::min(untilMs, clockMs() + MaxLeaseMs));
    scheduleLeaseExpiry();
}

void SimulatedTarget::scheduleLeaseExpiry()
{
    const auto left = std::chrono::duration_cast<Duration>(Milliseconds(m_leaseUntilMs - clockMs() + 1) / m_clockRate);
    m_clock.callAfter(left + std::chrono::microseconds(1), [this, incarnation = m_incarnation] {
        if (incarnation != m_incarnation || clockMs() <= m_leaseUntilMs) {
            return;
        }
        std::vector<RunName> names;
        for (const auto &[name, run] : m_runs) {
            names.push_back(name);
        }
        for (const auto &name : names) {
            endRun(name, RunEnd::LeaseExpired);
        }
    });
}

void SimulatedTarget::endRun(const RunName &name, RunEnd outcome)
{
    const auto owner = m_runs.at(name).owner;
    m_runs.erase(name);
    auto &ended = m_lastEndedRun[name.task];
    ended = std::max(ended, name.run);
    m_endedRuns.push_back({++m_lastPosition, name, outcome});
    m_invariants.onRunEnded(m_entry.id, {owner, name.run});
    if (outcome == RunEnd::Done) {
        m_invariants.onTaskDone(owner);
    }
    answerPendingRenewals();
}

void SimulatedTarget::crash()
{
    loseState();
    m_down = true;
    m_clock.callAfter(CrashDownTime, [this] {
        ++m_entry.startedAtMs;
        m_startedAt = m_clock.now();
        m_down = false;
    });
}

bool SimulatedTarget::isDown() const
{
    return m_down;
}

void SimulatedTarget::restart()
{
    loseState();
    ++m_entry.startedAtMs;
    m_startedAt = m_clock.now();
}

void SimulatedTarget::loseState()
{
    for (const auto &[name, run] : m_runs) {
        m_invariants.onRunEnded(m_entry.id, {run.owner, name.run});
    }
    ++m_incarnation;
    m_fencingToken = 0;
    m_leaseUntilMs = 0;
    m_runs.clear();
    m_lastEndedRun.clear();
    m_endedRuns.clear();
    m_lastPosition = 0;
    m_pendingRenewals.clear();
}

void SimulatedTarget::setCapacity(const Fleet::Resources &capacity)
{
    if (capacity.milliCores < m_entry.capacity.milliCores) {
        m_capacityBefore = m_entry.capacity;
        m_capacityBeforeUntil = m_clock.now() + ShrinkNotice;
    }
    m_entry.capacity = capacity;
}

void SimulatedTarget::setCapacityEnforced(bool enforced)
{
    m_isCapacityEnforced = enforced;
}

void SimulatedTarget::setClockRate(double rate)
{
    m_clockRate = rate;
}

void SimulatedTarget::setRunTimeFactor(double factor)
{
    m_runTimeFactor = factor;
}

void SimulatedTarget::setClosedFrom(std::optional<TimePoint> time)
{
    m_closedFrom = time;
}

void SimulatedTarget::setFailing(bool failing)
{
    m_failing = failing;
}

void SimulatedTarget::setHanging(bool hanging)
{
    m_hanging = hanging;
}
} // namespace Anvilcart::Emulation
