#pragma once

#include "kernel/time.h"
#include "workload/targetcalls.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Anvilcart::Emulation
{
/// Checks invariants that must hold under every fault, from what targets and callers observe. Not thread-safe.
class InvariantChecker
{
public:
    /// A target has started a run; exceedsCapacity when the target's runs now require more than its capacity.
    void onRunStarted(const std::string &target, const Fleet::RunName &run, bool exceedsCapacity, Duration at);
    void onRunEnded(const std::string &target, const Fleet::RunName &run);

    /// A task has ended with success on a target.
    void onTaskDone(const Fleet::TaskName &task);

    /// The caller of this job was told that it is completed.
    void onReportedCompleted(const std::string &jobId, std::size_t tasks, Duration at);

    /// A target has started a run though its zone has been evacuated for longer than the bound.
    void onStartInEvacuatedZone(const std::string &target, const Fleet::RunName &run, Duration at);

    /// A target has refused a start under a fencing token that is not the highest one that it has accepted.
    void onStartFenced();

    /// The run crashed its target.
    void onCrash(const Fleet::RunName &run);

    /// The caller of this job was notified that the job has not run.
    void onReportedNotRun(const std::string &jobId, Duration at);

    /// The job was submitted, for the first time or after its connection broke. A rejection applies to all submissions so far.
    void onJobSubmitted(const std::string &jobId);

    /// A host takes all leases on a target that it holds under this fencing token, in the life that it knows, for ended, while one lasts
    /// for another leftMs on the target's clock. Each target is reported once for each token. Targets that are being claimed, that have
    /// restarted unnoticed or were taken away are not checked.
    void
    onLeaseTakenForEnded(const std::string &host, const std::string &target, std::uint64_t fencingToken, std::int64_t leftMs, Duration at);

    /// Violated invariants, one line each.
    const std::vector<std::string> &violations() const;

    std::uint64_t startedRunCount() const;
    std::uint64_t fencedStartCount() const;

    /// When a target started a run for the first time, since the start of the emulation.
    std::optional<Duration> firstRunStartedAt() const;

    /// The most targets that any one task has crashed.
    int mostCrashesOfOneTask() const;

private:
    void recordViolation(const std::string &invariant, const std::string &details, Duration at);

    std::map<Fleet::TaskName, std::set<std::string>> m_targetsOfTask;
    std::map<Fleet::TaskName, int> m_crashesOfTask;
    std::set<Fleet::TaskName> m_doneTasks;
    std::set<std::string> m_startedJobs;
    std::set<std::string> m_jobsReportedNotRun;
    std::set<std::pair<std::string, std::uint64_t>> m_leasesTakenForEnded;
    std::vector<std::string> m_violations;
    std::uint64_t m_startedRunCount = 0;
    std::uint64_t m_fencedStartCount = 0;
    std::optional<Duration> m_firstRunStartedAt;
};
} // namespace Anvilcart::Emulation
