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
    /// How long an idempotency key may last; shorter than the log's retention.
    Seconds maxKeyExpiry {86400};
};

/// The policies that the operator chose.
struct PolicySpec
{
    QueueOrderKind queueOrder = QueueOrderKind::FewestUnstartedFirst;
    SlotSharingKind slotSharing = SlotSharingKind::Loans;
};

/// One version of the whole configuration: base file and every overlay, merged.
struct Configuration
{
    std::uint64_t version = 0;
    LimitSpec limits;
    PolicySpec policy;
    std::vector<TeamSpec> teams;
    std::vector<TargetSpec> targets;
};
} // namespace Anvilcart
