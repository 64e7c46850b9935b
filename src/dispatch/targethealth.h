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
/// Ejects targets that fail, stall or cannot be reached. A target that returns may hold one task; each success doubles this limit.
/// A target is ejected for failures only if it fails clearly more often than the others, so that jobs which fail everywhere eject none.
/// Not thread-safe: used only on the decision loop.
class TargetHealth
{
public:
    using EjectionHandler = std::function<void(TargetIndex, EjectionReason)>;

    /// The handler is called for each ejection.
    explicit TargetHealth(EjectionHandler onEjection);

    /// Sets the limits and the configured targets of the zone. Other targets no longer count.
    void configure(const HealthSpec &spec, const std::vector<TargetIndex> &targets);

    /// A task was sent to the target. Precondition: the target is configured or was.
    void onStart(TargetIndex target, TimePoint now);

    /// An attempt ended. Consecutive failures of one job count once. Precondition: onStart() was called for it.
    void onOutcome(TargetIndex target, HealthSignal signal, std::uint64_t job, TimePoint now);

    /// Ejects targets that have tasks but have been unresponsive for too long. Must be called every few milliseconds.
    void onTick(TimePoint now);

    /// The maximum number of concurrent tasks of the target: 0 while it is ejected, NoTaskLimit if it is healthy.
    std::uint32_t taskLimit(TargetIndex target, TimePoint now) const;

    /// True while the target is ejected because of failures or a stall, but not because it cannot be reached.
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
        TimePoint ejectedUntil;
        TimePoint lastProgress;
    };

    Target &at(TargetIndex target);
    void onSuccess(Target &target);
    void onFailure(TargetIndex index, std::uint64_t job, TimePoint now);
    void onConnectFailure(TargetIndex index, TimePoint now);
    void eject(TargetIndex index, EjectionReason reason, TimePoint now);
    void applyEjection(TargetIndex index, EjectionReason reason, std::uint32_t consecutiveEjections, TimePoint now);
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
