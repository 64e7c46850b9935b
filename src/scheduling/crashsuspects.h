#pragma once

#include "scheduling/targetloss.h"
#include "workload/taskcrashes.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace Anvilcart::Fleet
{
/// What the losses of targets say of a task.
enum class CrashVerdict {
    /// It may be started.
    Startable,
    /// It was alone on a target that was lost after another one, or alone on too many. Whether they have crashed is not known.
    GivenUp,
    /// The same, and both targets are known to have crashed.
    Crashing,
};

/// Decides which tasks crash their targets. A crash looks like a network partition until the target has restarted, and every run on the
/// target may be its cause. So the runs that started last are suspected first, a suspected task runs alone on its next target, and only a
/// task that was alone when a further target was lost is not started again. Targets that fall silent together are taken for an outage.
/// Meant for load in which some jobs crash every target that starts them. Not thread-safe.
class CrashSuspects
{
public:
    /// Records the loss of a target, one of serviceTargets. otherSilent are the last answers of the other targets of the service that do
    /// not answer and still have runs of tasks that are not suspected. Returns the names of the tasks whose records have changed.
    std::vector<TaskName>
    onTargetLost(const TargetLoss &loss, const std::vector<TimePoint> &otherSilent, std::size_t serviceTargets, TimePoint now);

    /// A run of a suspected task was started alone, or has ended.
    void onStartedAlone(const TaskName &task);
    void onEndedAlone(const TaskName &task);

    /// A target that was lost has restarted: it had crashed.
    void onTargetRestarted(const std::string &target);

    /// True while a lost target may be found to have restarted.
    bool hasUnexplainedLosses() const;

    /// Adds what another dispatcher has recorded for the job.
    void merge(const std::string &jobId, const std::vector<TaskCrashes> &crashes, TimePoint now);

    /// A job is submitted. Records of the tasks of another route's job with its id are forgotten.
    void beginJob(const std::string &jobId, const std::string &route);

    /// The records of the job are those of a job of this route.
    void setRoute(const std::string &jobId, const std::string &route);

    /// Forgets the job's tasks, which have all succeeded.
    void clear(const std::string &jobId);

    /// True when no other task may run beside this one.
    bool mustRunAlone(const TaskName &task) const;

    CrashVerdict verdictOn(const TaskName &task) const;

    /// The worst verdict on a task of the job.
    CrashVerdict verdictOnJob(const std::string &jobId) const;

    /// The records of a job's tasks for its next dispatcher. That will need them if this host is lost, and then it cannot know how a run
    /// that was started alone has ended: its target counts as lost.
    std::vector<TaskCrashes> recordsOf(const std::string &jobId) const;

private:
    struct Record
    {
        std::uint32_t lostTargets = 0;
        std::uint32_t crashedTargets = 0;
        bool suspected = false;
        std::uint32_t lostAlone = 0;
        /// It was alone on a further target that was lost here.
        bool givenUp = false;
        bool runsAlone = false;
        TimePoint changedAt;
    };

    struct UnexplainedLoss
    {
        std::string target;
        std::vector<TaskName> tasks;
        TimePoint lastAnswerAt;
    };

    std::map<TaskName, Record>::const_iterator firstRecordOf(const std::string &jobId) const;
    static CrashVerdict verdictOf(const Record &record);
    bool isOutage(const TargetLoss &loss, const std::vector<TimePoint> &otherSilent, std::size_t serviceTargets) const;
    void forgetOldRecords(TimePoint now);

    std::map<TaskName, Record> m_records;
    /// The routes of the jobs that have records, as far as known.
    std::map<std::string, std::string> m_routes;
    std::vector<UnexplainedLoss> m_unexplainedLosses;
    std::vector<TimePoint> m_recentLosses;
};
} // namespace Anvilcart::Fleet
