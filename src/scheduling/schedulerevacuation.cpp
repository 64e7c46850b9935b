#include "scheduling/placementchoice.h"
#include "scheduling/scheduler.h"

#include <algorithm>
#include <utility>
#include <vector>

// Evacuated zones: the targets there, and the jobs that cannot be completed without them.
namespace Anvilcart::Fleet
{
namespace
{
bool isUnfinished(const ScheduledTask &task)
{
    return task.phase == TaskPhase::Blocked || task.phase == TaskPhase::Waiting;
}
} // namespace

void Scheduler::setEvacuatedZones(const std::set<std::string> &zones, TimePoint checkedAt, TimePoint now)
{
    updateGrants(now);
    m_zoneEvacuation.setZones(zones, checkedAt, now);
    updateEvacuation(now);
    for (auto &[name, service] : m_services) {
        updateReservedTargets(service, now);
        schedule(name, now);
    }
}

void Scheduler::setEvacuationKnown(bool known, TimePoint now)
{
    const bool wasKnown = std::exchange(m_isEvacuationKnown, known);
    if (wasKnown || !known) {
        return;
    }
    updateGrants(now);
    for (const auto &[name, service] : m_services) {
        schedule(name, now);
    }
}

void Scheduler::updateZoneAccess(TargetLedger &target, TimePoint now)
{
    const auto &entry = target.entry();
    if (entry.coldRemaining != target.registeredColdTime) {
        target.registeredColdTime = entry.coldRemaining;
        target.coldUntil = now + entry.coldRemaining;
    }
    target.zoneAccess = m_zoneEvacuation.accessTo(entry.zone, entry.id, target.coldUntil, now);
}

/// Applies what has changed with time: grace periods that are over, targets that return. Jobs that have become impossible here are ended.
void Scheduler::updateEvacuation(TimePoint now)
{
    if (!m_zoneEvacuation.isChanging(now)) {
        return;
    }
    for (const auto &[id, target] : m_targets) {
        updateZoneAccess(*target, now);
    }
    if (!m_zoneEvacuation.isActive()) {
        return;
    }
    std::vector<std::pair<TimePoint, std::string>> blocked;
    for (const auto &[id, job] : m_jobs) {
        // Running work is not stopped; the job goes on elsewhere when it has ended.
        if (!job->pendingResult && job->count(TaskPhase::Assigned) == 0 && isBlockedByEvacuation(*job, now)) {
            blocked.emplace_back(job->submission.arrivedAt, id);
        }
    }
    std::sort(blocked.begin(), blocked.end());
    for (const auto &[arrivedAt, id] : blocked) {
        if (auto *job = findJob(id)) {
            endEvacuatedJob(*job, now);
        }
    }
}

/// True when a remaining task fits only on targets that it may not use now because their zone is evacuated.
bool Scheduler::isBlockedByEvacuation(const ScheduledJob &job, TimePoint now) const
{
    const auto service = m_services.find(job.submission.service);
    if (service == m_services.end() || !m_zoneEvacuation.isActive()) {
        return false;
    }
    const auto &steps = job.submission.request.steps;
    std::vector<bool> isChecked(steps.size(), false);
    for (const auto &task : job.tasks) {
        if (isChecked[task.step] || !isUnfinished(task)) {
            continue;
        }
        isChecked[task.step] = true;
        const auto &step = steps[task.step];
        bool fitsInEvacuatedZone = false;
        const bool fits = std::any_of(service->second.targets.begin(), service->second.targets.end(), [&](const TargetLedger *target) {
            if (!fitsWhenEmpty(target->entry(), step.demand, step.requiredLabel)) {
                return false;
            }
            const bool isAdmitted = target->zoneAccess.admits(job.hasStarted(), now);
            fitsInEvacuatedZone = fitsInEvacuatedZone || !isAdmitted;
            return isAdmitted && !target->leaving && (target->ownership != Ownership::Retiring || job.hasStarted());
        });
        if (!fits && fitsInEvacuatedZone) {
            return true;
        }
    }
    return false;
}

/// Ends a job without runs that cannot go on here, so that its entry host submits it to another dispatcher.
void Scheduler::endEvacuatedJob(ScheduledJob &job, TimePoint now)
{
    const auto id = job.submission.request.id;
    if (job.hasStarted()) {
        endJob(id, {JobEnd::Abandoned, JobEndReason::Evacuated, Seconds(1), {}}, now);
        return;
    }
    const auto better = betterDispatcher(job, now);
    const auto reason = better.empty() ? JobEndReason::Evacuated : JobEndReason::BetterElsewhere;
    endJob(id, {JobEnd::NotRun, reason, Seconds(1), better}, now);
}
} // namespace Anvilcart::Fleet
