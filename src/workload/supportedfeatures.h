#pragma once

#include "workload/jobrequest.h"
#include "workload/route.h"

namespace Anvilcart::Fleet
{
/// Returns the first feature of the job that this version does not support, or null when it supports the whole job. Thread-safe.
inline const char *unsupportedFeature(const JobRequest &job, const Route &route)
{
    if (!job.answeredOnCompletion) {
        return "stored jobs";
    }
    if (job.occurrences > 0) {
        return "scheduled jobs";
    }
    if (route.needsPlacementAdvisor) {
        return "advised placement";
    }
    for (const auto &step : job.steps) {
        if (step.gang) {
            return "gangs";
        }
        if (step.longRunning) {
            return "long-running tasks";
        }
        if (step.usesSpareCapacity) {
            return "tasks that fill spare room";
        }
    }
    return nullptr;
}
} // namespace Anvilcart::Fleet
