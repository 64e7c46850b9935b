#include "emulator/invariantchecker.h"

#include <algorithm>

namespace Anvilcart::Emulation
{
namespace
{
std::string textOf(const Fleet::RunName &run)
{
    return run.task.jobId + "/" + std::to_string(run.task.step) + "/" + std::to_string(run.task.index) + "#" + std::to_string(run.run);
}
} // namespace

void InvariantChecker::onRunStarted(const std::string &target, const Fleet::RunName &run, bool exceedsCapacity, Duration at)
{
    ++m_startedRunCount;
    m_firstRunStartedAt = m_firstRunStartedAt.value_or(at);
    if (exceedsCapacity) {
        recordViolation("capacity", textOf(run) + " exceeds " + target, at);
    }
    auto &targets = m_targetsOfTask[run.task];
    if (!targets.empty()) {
        recordViolation("single run", textOf(run) + " on " + target + " while it runs on " + *targets.begin(), at);
    }
    targets.insert(target);
    m_startedJobs.insert(run.task.jobId);
    if (m_jobsReportedNotRun.contains(run.task.jobId)) {
        recordViolation("true refusal", textOf(run) + " starts on " + target + " after its caller was told that it has not run", at);
    }
}

void InvariantChecker::onTaskDone(const Fleet::TaskName &task)
{
    m_doneTasks.insert(task);
}

void InvariantChecker::onReportedCompleted(const std::string &jobId, std::size_t tasks, Duration at)
{
    std::size_t done = 0;
    for (auto it = m_doneTasks.lower_bound({jobId, 0, 0, 0}); it != m_doneTasks.end() && it->jobId == jobId; ++it) {
        ++done;
    }
    if (done < tasks) {
        recordViolation(
            "own result", jobId + " was told completed, with " + std::to_string(done) + " of " + std::to_string(tasks) + " tasks done", at);
    }
}

void InvariantChecker::onStartInEvacuatedZone(const std::string &target, const Fleet::RunName &run, Duration at)
{
    recordViolation("evacuation", textOf(run) + " starts on " + target, at);
}

void InvariantChecker::onCrash(const Fleet::RunName &run)
{
    ++m_crashesOfTask[run.task];
}

int InvariantChecker::mostCrashesOfOneTask() const
{
    int most = 0;
    for (const auto &[task, crashes] : m_crashesOfTask) {
        most = std::max(most, crashes);
    }
    return most;
}

void InvariantChecker::onRunEnded(const std::string &target, const Fleet::RunName &run)
{
    m_targetsOfTask[run.task].erase(target);
}

void InvariantChecker::onReportedNotRun(const std::string &jobId, Duration at)
{
    if (m_startedJobs.contains(jobId)) {
        recordViolation("true refusal", jobId + " was told not run, but tasks had started", at);
    }
    m_jobsReportedNotRun.insert(jobId);
}

void InvariantChecker::onJobSubmitted(const std::string &jobId)
{
    m_jobsReportedNotRun.erase(jobId);
}

void InvariantChecker::onLeaseTakenForEnded(
    const std::string &host, const std::string &target, std::uint64_t fencingToken, std::int64_t leftMs, Duration at)
{
    if (m_leasesTakenForEnded.emplace(target, fencingToken).second) {
        recordViolation("lease",
                        host + " takes the leases on " + target + " for ended under token " + std::to_string(fencingToken) + ", "
                            + std::to_string(leftMs) + " ms before they end",
                        at);
    }
}

const std::vector<std::string> &InvariantChecker::violations() const
{
    return m_violations;
}

std::uint64_t InvariantChecker::startedRunCount() const
{
    return m_startedRunCount;
}

void InvariantChecker::onStartFenced()
{
    ++m_fencedStartCount;
}

std::uint64_t InvariantChecker::fencedStartCount() const
{
    return m_fencedStartCount;
}

std::optional<Duration> InvariantChecker::firstRunStartedAt() const
{
    return m_firstRunStartedAt;
}

void InvariantChecker::recordViolation(const std::string &invariant, const std::string &details, Duration at)
{
    m_violations.push_back(std::to_string(toMilliseconds(at)) + " ms: " + invariant + ": " + details);
}
} // namespace Anvilcart::Emulation
