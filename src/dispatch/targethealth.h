#pragma once

#include "config/configuration.h"
#include "dispatch/ejectionreason.h"
#include "dispatch/healthsignal.h"
#include "dispatch/slottable.h"
#include "kernel/time.h"

#include <functional>
#include <vector>

namespace Anvilcart
{
/// Ejects targets that fail, stall or cannot be reached, and lets them back with one task, then twice as many after each success.
/// Only a target that fails clearly more than the others is ejected, so that jobs which fail everywhere eject nobody.
/// Not thread-safe: the decision loop's.
class TargetHealth
{
public:
    using EjectionHandler = std::function<void(TargetIndex, EjectionReason)>;

    /// The handler is called for each ejection.
    explicit TargetHealth(EjectionHandler onEjection);

    /// Takes over the bounds and the targets of the zone that are configured; others are forgotten.
    void configure(const HealthSpec &spec, const std::vector<TargetIndex> &targets);

    /// A task was sent to the target. Precondition: the target is configured or was.
    void onStart(TargetIndex target, TimePoint now);

    /// An attempt ended. Several failures of one job count once. Precondition: onStart() was called for it.
    void onOutcome(TargetIndex target, HealthSign sign, std::uint64_t job, TimePoint now);

    /// Ejects targets that have answered nothing for too long. Call every few milliseconds.
    void onTick(TimePoint now);

    /// How many tasks the target may hold at once: 0 while it is ejected, NoTaskLimit when it is healthy.
    std::uint32_t taskLimit(TargetIndex target, TimePoint now) const;

    /// True while the target is ejected for failures or a stall; a target that cannot be reached does not count.
    bool isEjected(TargetIndex target, TimePoint now) const;

private:
    struct Target
    {
        bool configured = false;
        double failureRatio = 0;
        std::uint64_t lastFailedJob = 0;
        std::uint32_t inFlight = 0;
        std::uint32_t taskLimit = NoTaskLimit;
        std::uint32_t ejections = 0;
        std::uint32_t connectFailures = 0;
        EjectionReason reason = EjectionReason::FailureRatio;
        TimePoint outUntil;
        TimePoint lastProgress;
    };

    Target &at(TargetIndex target);
    void onSuccess(Target &target);
    void onFailure(TargetIndex index, std::uint64_t job, TimePoint now);
    void onConnectFailure(TargetIndex index, TimePoint now);
    void eject(TargetIndex index, EjectionReason reason, TimePoint now);
    void takeOut(TargetIndex index, EjectionReason reason, std::uint32_t times, TimePoint now);
    void addRatio(Target &target, double sample);
    bool failsMoreThanOthers(const Target &target) const;
    bool mayEject(TimePoint now) const;

    EjectionHandler m_onEjection;
    HealthSpec m_spec;
    std::vector<Target> m_targets;
    std::size_t m_configured = 0;
    double m_ratioSum = 0;
};
} // namespace Anvilcart
