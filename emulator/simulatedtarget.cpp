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
constexpr std::int64_t LongestLeaseMs = 1000;
/// A stop takes effect after this time.
constexpr Milliseconds StopTime {30};

TargetReply reply(RequestResult result, std::int64_t clockMs)
{
    TargetReply answer;
    answer.result = result;
    answer.clockMs = clockMs;
    return answer;
}
} // namespace

SimulatedTarget::SimulatedTarget(Fleet::TargetEntry entry, SimulatedClock &clock, Promises &promises, Truth truth)
    : m_entry(std::move(entry))
    , m_clock(clock)
    , m_promises(promises)
    , m_truth(std::move(truth))
    , m_bornAt(clock.now())
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
    return 1 + std::chrono::duration_cast<Milliseconds>(m_clock.now() - m_bornAt).count();
}

std::size_t SimulatedTarget::runningCount() const
{
    return m_runs.size();
}

TargetReply SimulatedTarget::start(const Fleet::StartRequest &order)
{
    if (order.fencingToken < m_fence) {
        return reply(RequestResult::Fenced, clockMs());
    }
    m_fence = order.fencingToken;
    if (m_runs.contains(order.name)) {
        return reply(RequestResult::Accepted, clockMs());
    }
    if (order.leaseUntilMs <= clockMs()) {
        return reply(RequestResult::TooLate, clockMs());
    }
    const auto ended = m_endedRun.find(order.name.task);
    if (ended != m_endedRun.end() && order.name.run <= ended->second) {
        extendLease(order.leaseUntilMs);
        return reply(RequestResult::RunOutdated, clockMs());
    }
    extendLease(order.leaseUntilMs);
    const auto truth = m_truth(order.name.task);
    Fleet::Resources used;
    for (const auto &[name, run] : m_runs) {
        used += run.need;
    }
    const bool overfull = !m_entry.capacity.hasCapacityFor(truth.need, used);
    const auto runTime = std::chrono::duration_cast<Duration>(truth.runTime * m_slowness);
    const auto life = m_life;
    m_runs[order.name] = {truth.need, m_clock.now(), m_clock.now() + runTime, life};
    m_promises.onRunBegun(m_entry.id, order.name, overfull, m_clock.elapsed());
    if (!m_hanging) {
        const bool fails = truth.fails || m_failing;
        m_clock.after(runTime, [this, name = order.name, life, fails] {
            const auto run = m_runs.find(name);
            if (run != m_runs.end() && run->second.life == life && m_life == life) {
                end(name, fails ? RunEnd::Failed : RunEnd::Done);
            }
        });
    }
    return reply(RequestResult::Accepted, clockMs());
}

TargetReply SimulatedTarget::stop(const Fleet::StopRequest &order)
{
    if (order.fencingToken < m_fence) {
        return reply(RequestResult::Fenced, clockMs());
    }
    m_fence = order.fencingToken;
    auto &ended = m_endedRun[order.name.task];
    ended = std::max(ended, order.name.run);
    if (m_runs.contains(order.name)) {
        m_clock.after(StopTime, [this, name = order.name, life = m_life] {
            if (m_life == life && m_runs.contains(name)) {
                end(name, RunEnd::Stopped);
            }
        });
    }
    return reply(RequestResult::Accepted, clockMs());
}

void SimulatedTarget::renew(const Fleet::RenewalRequest &order, std::function<void(const RenewalReply &)> answer)
{
    RenewalReply renewal;
    if (order.fencingToken < m_fence) {
        renewal.result = RequestResult::Fenced;
        answer(renewal);
        return;
    }
    m_fence = order.fencingToken;
    std::erase_if(m_ended, [&](const Fleet::EndedRun &row) {
        return row.position <= order.acknowledgedPosition;
    });
    if (order.leaseUntilMs > 0) {
        extendLease(order.leaseUntilMs);
    }
    auto waiter = std::make_shared<Waiter>();
    waiter->answer = std::move(answer);
    m_waiters.push_back(waiter);
    if (order.waitMs == 0 || !m_ended.empty()) {
        answerWaiters();
        return;
    }
    m_clock.after(Milliseconds(order.waitMs), [this, waiter] {
        if (!waiter->answered) {
            answerWaiters();
        }
    });
}

void SimulatedTarget::answerWaiters()
{
    RenewalReply renewal;
    renewal.result = RequestResult::Accepted;
    renewal.listing = listing();
    for (const auto &waiter : std::exchange(m_waiters, {})) {
        waiter->answered = true;
        waiter->answer(renewal);
    }
}

Fleet::TargetListing SimulatedTarget::listing() const
{
    Fleet::TargetListing listing;
    listing.clockMs = clockMs();
    listing.startedAtMs = m_entry.startedAtMs;
    for (const auto &[name, run] : m_runs) {
        const auto whole = toMilliseconds(run.endsAt - run.begunAt);
        const auto done = toMilliseconds(m_clock.now() - run.begunAt);
        constexpr double Whole = 100;
        listing.running.push_back({name, m_hanging || whole <= 0 ? 0 : static_cast<int>(std::min(Whole, Whole * done / whole))});
    }
    listing.ended = m_ended;
    return listing;
}

void SimulatedTarget::extendLease(std::int64_t untilMs)
{
    m_leaseUntilMs = std::max(m_leaseUntilMs, std::min(untilMs, clockMs() + LongestLeaseMs));
    watchLease();
}

void SimulatedTarget::watchLease()
{
    m_clock.after(Milliseconds(m_leaseUntilMs - clockMs() + 1), [this, life = m_life] {
        if (life != m_life || clockMs() <= m_leaseUntilMs) {
            return;
        }
        std::vector<RunName> names;
        for (const auto &[name, run] : m_runs) {
            names.push_back(name);
        }
        for (const auto &name : names) {
            end(name, RunEnd::LeaseExpired);
        }
    });
}

void SimulatedTarget::end(const RunName &name, RunEnd how)
{
    m_runs.erase(name);
    auto &ended = m_endedRun[name.task];
    ended = std::max(ended, name.run);
    m_ended.push_back({++m_positions, name, how});
    m_promises.onRunEnded(m_entry.id, name);
    answerWaiters();
}

void SimulatedTarget::restart()
{
    for (const auto &[name, run] : m_runs) {
        m_promises.onRunEnded(m_entry.id, name);
    }
    ++m_life;
    ++m_entry.startedAtMs;
    m_bornAt = m_clock.now();
    m_fence = 0;
    m_leaseUntilMs = 0;
    m_runs.clear();
    m_endedRun.clear();
    m_ended.clear();
    m_positions = 0;
    m_waiters.clear();
}

void SimulatedTarget::setSlowness(double slowness)
{
    m_slowness = slowness;
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
