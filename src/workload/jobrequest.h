#pragma once

#include "kernel/time.h"
#include "workload/resources.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Anvilcart::Fleet
{
/// One step of a job: a number of identical tasks.
struct StepRequest
{
    std::uint32_t taskCount = 0;
    Resources demand;
    /// The caller's estimate of one task's run time; often inaccurate.
    Milliseconds estimate {0};
    /// Indexes of earlier steps; all their tasks must have succeeded before this step starts.
    std::vector<std::uint32_t> dependsOn;
    /// Label that the target must have; empty allows any target.
    std::string requiredLabel;
    /// Rack that stores the input; on any other rack the task runs longer.
    std::string dataRack;
    /// Maximum number of the step's tasks on one target; 0 means unlimited.
    std::uint32_t maxPerTarget = 0;
    /// The step's tasks run longer when they run on more than one rack.
    bool rackLocal = false;
    /// The remaining fields are decoded so that an unsupported feature can be rejected by name; see unsupportedFeature().
    bool gang = false;
    bool checkpoints = false;
    bool allowDuplicates = false;
    bool longRunning = false;
    bool usesSpareCapacity = false;
};

/// A job as its caller submitted it.
struct JobRequest
{
    /// Chosen by the caller: 16 hexadecimal digits.
    std::string id;
    /// Passed to the targets unchanged.
    std::string payload;
    std::vector<StepRequest> steps;
    /// The response carries the result, and the job is not stored.
    bool answeredOnCompletion = false;
    /// Greater than 0 for a job that runs on a schedule.
    std::uint64_t occurrences = 0;
};
} // namespace Anvilcart::Fleet
