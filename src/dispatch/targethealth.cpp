#include "dispatch/targethealth.h"

#include <algorithm>

namespace Anvilcart
{
namespace
{
/// The weight of one outcome in the failure ratio, which covers about 1 / OutcomeWeight outcomes.
constexpr double OutcomeWeight = 0.2;
/// A target is ejected for failures only if its failure ratio is at least this many times the mean of the others.
constexpr double OutlierFactor = 2;
constexpr double PercentToRatio = 0.01;
constexpr std::uint32_t ProbeTaskLimit = 1;
/// A target that has returned from an ejection is healthy once its task limit reaches this number.
constexpr std::uint32_t HealthyTaskLimit = 64;
constexpr std::uint32_t MaxDoublings = 16;
} // namespace

TargetHealth::TargetHealth(EjectionHandler onEjection)
    : m_onEjection(std::move(onEjection))
{
}

void TargetHealth::configure(const HealthSpec &spec, const std::vector<TargetIndex> &targets)
{
    m_spec = spec;
    for (auto &target : m_targets) {
        target.configured = false;
    }
    for (const auto index : targets) {
        at(index).configured = true;
    }
    m_configured = targets.size();
    m_ratioSum = 0;
    for (const auto &target : m_targets) {
        m_ratioSum += target.configured ? target.failureRatio : 0;
    }
}

void TargetHealth::onStart(TargetIndex target, TimePoint now)
{
    auto &state = at(target);
    if (state.inFlight == 0) {
        state.lastProgress = now;
    }
    ++state.inFlight;
}

void TargetHealth::onOutcome(TargetIndex target, HealthSignal signal, std::uint64_t job, TimePoint now)
{
    auto &state = at(target);
    --state.inFlight;
    state.lastProgress = now;
    switch (signal) {
    case HealthSignal::Success:
        onSuccess(state);
        return;
    case HealthSignal::Failure:
        onFailure(target, job, now);
        return;
    case HealthSignal::ConnectFailure:
        onConnectFailure(target, now);
        return;
    case HealthSignal::Neutral:
        return;
    }
}

void TargetHealth::onTick(TimePoint now)
{
    for (TargetIndex i = 0; i < m_targets.size(); ++i) {
        auto &target = m_targets[i];
        if (target.inFlight == 0 || now - target.lastProgress < m_spec.stallLimit) {
            continue;
        }
        target.lastProgress = now;
        eject(i, EjectionReason::Stalled, now);
    }
}

std::uint32_t TargetHealth::taskLimit(TargetIndex target, TimePoint now) const
{
    if (target >= m_targets.size()) {
        return NoTaskLimit;
    }
    return m_targets[target].ejectedUntil > now ? 0 : m_targets[target].taskLimit;
}

bool TargetHealth::isEjected(TargetIndex target, TimePoint now) const
{
    return target < m_targets.size() && m_targets[target].ejectedUntil > now && m_targets[target].reason != EjectionReason::ConnectFailed;
}

TargetHealth::Target &TargetHealth::at(TargetIndex target)
{
    if (target >= m_targets.size()) {
        m_targets.resize(target + 1);
    }
    return m_targets[target];
}

void TargetHealth::onSuccess(Target &target)
{
    addRatio(target, 0);
    target.connectFailures = 0;
    if (target.taskLimit == NoTaskLimit) {
        return;
    }
    target.taskLimit *= 2;
    if (target.taskLimit >= HealthyTaskLimit) {
        target.taskLimit = NoTaskLimit;
        target.ejections = 0;
    }
}

void TargetHealth::onFailure(TargetIndex index, std::uint64_t job, TimePoint now)
{
    auto &target = at(index);
    if (target.lastFailedJob == job) {
        return;
    }
    target.lastFailedJob = job;
    target.connectFailures = 0;
    addRatio(target, 1);
    if (target.ejectedUntil > now || !failsMoreThanOthers(target)) {
        return;
    }
    const bool probing = target.taskLimit != NoTaskLimit;
    if (probing) {
        eject(index, EjectionReason::ProbeFailed, now);
    } else if (target.failureRatio >= m_spec.ejectAtFailurePercent * PercentToRatio) {
        eject(index, EjectionReason::FailureRatio, now);
    }
}

void TargetHealth::onConnectFailure(TargetIndex index, TimePoint now)
{
    auto &target = at(index);
    if (target.ejectedUntil > now) {
        return;
    }
    ++target.connectFailures;
    applyEjection(index, EjectionReason::ConnectFailed, target.connectFailures, now);
}

void TargetHealth::eject(TargetIndex index, EjectionReason reason, TimePoint now)
{
    auto &target = at(index);
    if (target.ejectedUntil > now || !mayEject(now)) {
        return;
    }
    ++target.ejections;
    applyEjection(index, reason, target.ejections, now);
}

void TargetHealth::applyEjection(TargetIndex index, EjectionReason reason, std::uint32_t consecutiveEjections, TimePoint now)
{
    auto &target = at(index);
    const auto doublings = std::min(consecutiveEjections - 1, MaxDoublings);
    target.ejectedUntil = now + std::min(m_spec.firstEjection * (std::int64_t(1) << doublings), m_spec.longestEjection);
    target.taskLimit = ProbeTaskLimit;
    target.reason = reason;
    m_onEjection(index, reason);
}

void TargetHealth::addRatio(Target &target, double sample)
{
    const double change = (sample - target.failureRatio) * OutcomeWeight;
    target.failureRatio += change;
    m_ratioSum += target.configured ? change : 0;
}

bool TargetHealth::failsMoreThanOthers(const Target &target) const
{
    if (!target.configured || m_configured < 2) {
        return false;
    }
    const double meanOfOthers = (m_ratioSum - target.failureRatio) / static_cast<double>(m_configured - 1);
    return target.failureRatio >= OutlierFactor * meanOfOthers;
}

bool TargetHealth::mayEject(TimePoint now) const
{
    std::size_t ejected = 0;
    for (TargetIndex i = 0; i < m_targets.size(); ++i) {
        ejected += m_targets[i].configured && isEjected(i, now) ? 1 : 0;
    }
    return (ejected + 1) * 100 <= m_configured * m_spec.maxEjectedPercent;
}
} // namespace Anvilcart
