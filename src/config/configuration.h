#pragma once

#include "kernel/time.h"
#include "model/endpoint.h"
#include "model/job.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Anvilcart
{
/// How waiting jobs are ordered.
enum class QueueOrderKind {
    Fifo,
    FewestUnstartedFirst,
};

/// How the entry hosts of one availability zone share its slots.
enum class SlotSharingKind {
    FixedShares,
    Loans,
    BlindPush,
};

/// A target as the site overlay describes it.
struct TargetSpec
{
    std::string name;
    std::string zone;
    std::string rack;
    Endpoint endpoint;
    std::uint32_t slots = 8;
    std::uint32_t connections = 64;
    TaskSize capacity;
};

/// A team and its quota over all availability zones.
struct TeamSpec
{
    std::string name;
    std::uint32_t maxRunningTasks = 0;
};

/// Bounds that hold for every job and queue.
struct LimitSpec
{
    std::uint32_t maxTasksPerJob = 750;
    std::uint32_t maxQueuedTasks = 20000;
    Milliseconds defaultDeadline {30000};
    Milliseconds maxDeadline {300000};
};

/// When a target is ejected, and for how long.
struct HealthSpec
{
    /// The most targets of a zone that are ejected at once; 0 turns ejection off.
    std::uint32_t maxEjectedPercent = 30;
    /// The failures among a target's latest outcomes that eject it.
    std::uint32_t ejectAtFailurePercent = 50;
    /// Doubles with each ejection in a row.
    Milliseconds firstEjection {1000};
    Milliseconds longestEjection {30000};
    /// A target that holds tasks and has ended none for so long is stalled.
    Milliseconds stallLimit {10000};
};

/// How often tasks that provably did not start are tried again.
struct RetrySpec
{
    /// Starts of one task, the first included.
    std::uint32_t maxAttempts = 10;
    /// Retries for each hundred first starts.
    std::uint32_t budgetPercent = 20;
    /// Retries that may come at once.
    std::uint32_t budgetBurst = 100;
};

/// The policies that the operator chose.
struct PolicySpec
{
    QueueOrderKind queueOrder = QueueOrderKind::FewestUnstartedFirst;
    SlotSharingKind slotSharing = SlotSharingKind::Loans;
    /// How much later a job may come and still overtake, for each unstarted task that the other has more.
    Milliseconds overtake {50};
};

/// An availability zone as its site overlay describes it.
struct ZoneSpec
{
    std::string name;
    /// The most entry hosts that serve the zone at once; 0 means those that are heard. With it, quotas hold also when hosts do not hear
    /// each other.
    std::uint32_t entryHosts = 0;
};

/// One version of the whole configuration: base file and every overlay, merged.
struct Configuration
{
    std::uint64_t version = 0;
    LimitSpec limits;
    PolicySpec policy;
    HealthSpec health;
    RetrySpec retries;
    std::vector<TeamSpec> teams;
    std::vector<ZoneSpec> zones;
    std::vector<TargetSpec> targets;
};
} // namespace Anvilcart
