#pragma once

#include "dispatch/admission.h"
#include "dispatch/interfaces/claimprovider.h"
#include "dispatch/interfaces/dispatchobserver.h"
#include "dispatch/interfaces/slotsharing.h"
#include "dispatch/interfaces/targetport.h"
#include "dispatch/jobforecast.h"
#include "dispatch/jobqueue.h"
#include "dispatch/jobschedule.h"
#include "dispatch/jobtable.h"
#include "dispatch/retrybudget.h"
#include "dispatch/slottable.h"
#include "dispatch/targethealth.h"
#include "dispatch/taskoutcome.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Anvilcart
{
/// Who this host is, for decisions.
struct HostIdentity
{
    std::string host;
    std::string zone;
};

/// Decides which task starts next and where, and gives each submission its one answer.
/// Has no socket, thread or clock of its own: every event comes with the time. Not thread-safe: the decision loop's.
class Dispatcher
{
public:
    /// The port and the observer outlive the dispatcher.
    Dispatcher(HostIdentity identity, TargetPort &targets, DispatchObserver &observer);

    /// Sets who grants the right to start non-idempotent tasks; without a gate they are refused. The gate outlives the dispatcher.
    void setClaimGate(ClaimGate &gate);

    /// Takes over a configuration. Jobs that are in progress keep theirs.
    void applyConfiguration(std::shared_ptr<const Configuration> configuration, TimePoint now);

    /// Takes over the entry hosts of this zone that share its slots, this one included.
    void applyMembers(std::vector<std::string> members, TimePoint now);

    /// Shares slots with peers from now on. Precondition: sharing outlives the dispatcher or its last call.
    void shareSlots(SlotSharing &sharing);

    /// Changes slots on the word of a peer and starts what can start.
    void changeSlots(const std::function<void(const SharingView &)> &change, TimePoint now);

    /// Takes over the names of the targets that are leaving.
    void applyLeavingTargets(const std::unordered_set<std::string> &names);

    /// Admits or refuses a job; the answer handler is called exactly once, possibly before this returns.
    /// Returns the job's id, or nothing when it was refused.
    std::optional<JobId> submit(JobSpec spec, AnswerHandler answer, TimePoint now);

    /// Gives up on a submission because its caller asked. False when it is not in progress.
    bool cancel(const std::string &submission, TimePoint now);

    /// Gives up on a job because its caller went away. False when it is not in progress.
    bool cancel(JobId id, TimePoint now);

    /// Gives up on many jobs whose callers went away; what their slots can run starts once, after the last.
    void cancel(const std::vector<JobId> &ids, TimePoint now);

    /// Reports what came of an attempt. Outcomes of attempts that are not in progress are ignored.
    void onOutcome(const TaskRef &ref, TaskOutcome outcome, TimePoint now);

    /// Reports what came of a job's claims. Ignored when the job no longer waits for them.
    void onClaims(JobId id, ClaimVerdict verdict, TimePoint now);

    /// Answers jobs whose deadline has passed and starts what can start. Call every few milliseconds.
    void onTick(TimePoint now);

    /// Refuses new jobs from now on; admitted ones go on.
    void beginDrain();

    /// Answers every job that is still unanswered, when the drain limit is reached.
    void abandonAll(TimePoint now);

    /// True when no submission is unanswered and no task is at a target.
    bool isIdle() const;

    const SlotTable &slots() const;
    const JobQueue &queue() const;

private:
    friend struct OutcomeVisitor;
    friend struct ClaimVerdictVisitor;

    void beginClaims(JobRecord &job, TimePoint now);
    void answerKnown(JobRecord &job, KnownOutput &known, TimePoint now);
    void giveUp(JobRecord &job, std::uint32_t task);
    void applyHealth(TimePoint now);
    LoadView loadView(const JobSpec &spec, const JobForecast &forecast, TimePoint now) const;
    void admit(JobRecord &job, const JobForecast &forecast, TimePoint now);
    void giveUpLateJobs(TimePoint now);
    void giveUpIfUnreachable(JobRecord &job, TimePoint now);
    void pump(TimePoint now);
    void startQueuedJobs(TimePoint now);
    SharingView sharingView(TimePoint now);
    std::uint32_t fairShare(TimePoint now) const;
    bool startNextTask(JobRecord &job, TimePoint now);
    void placeTasks(JobRecord &job) const;
    void startTask(JobRecord &job, std::uint32_t task, TargetIndex target, TimePoint now);
    void move(TaskRecord &task, TaskState to);
    void requeue(JobRecord &job, std::uint32_t task, NotStartedReason reason, TimePoint now);
    bool mayRetry(const JobRecord &job, const TaskRecord &task, NotStartedReason reason);
    void complete(JobRecord &job, std::uint32_t task, std::string output, TimePoint now);
    void finish(JobRecord &job, std::uint32_t task, std::string output, TimePoint now);
    void fail(JobRecord &job, ResultCode notRun, ResultCode mayHaveRun, const std::string &message, TimePoint now);
    void answer(JobRecord &job, JobAnswer answer, TimePoint now);
    void cancelQueuedTasks(JobRecord &job);
    void stopSentTasks(JobRecord &job);
    void removeIfDone(JobRecord &job);
    void cancel(JobRecord &job, TimePoint now);
    void failCancelled(JobRecord &job, TimePoint now);
    void refuseNow(const JobSpec &spec, const AnswerHandler &answer, const Refusal &refusal);

    HostIdentity m_identity;
    TargetPort &m_targets;
    DispatchObserver &m_observer;
    ClaimGate *m_claims = nullptr;
    SlotSharing *m_sharing = nullptr;
    std::shared_ptr<const Configuration> m_configuration;
    std::vector<std::string> m_members;
    SlotTable m_slots;
    CapacityClasses m_capacities;
    TeamTable m_teams;
    TargetHealth m_health;
    RetryBudget m_retryBudget;
    JobTable m_jobs;
    JobQueue m_queue;
    RunTimeEstimator m_runTimes;
    JobSchedule m_deadlines;
    JobSchedule m_latestStarts;
    bool m_draining = false;
};
} // namespace Anvilcart
