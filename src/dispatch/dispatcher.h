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
/// The name and availability zone of this host.
struct HostIdentity
{
    std::string host;
    std::string zone;
};

/// Decides which task starts next and on which target, and answers each submission exactly once.
/// Has no sockets, threads or clock: the current time is passed with every event. Not thread-safe: used only on the decision loop.
class Dispatcher
{
public:
    /// Precondition: the port and the observer outlive the dispatcher.
    Dispatcher(HostIdentity identity, TargetPort &targets, DispatchObserver &observer);

    /// Sets the provider of claims for non-idempotent tasks; without one, jobs with such tasks are refused.
    /// Precondition: the provider outlives the dispatcher.
    void setClaimProvider(ClaimProvider &provider);

    /// Applies a configuration. Jobs in progress keep theirs.
    void applyConfiguration(std::shared_ptr<const Configuration> configuration, TimePoint now);

    /// Sets the entry hosts that share the slots of this zone, including this host.
    void applyMembers(std::vector<std::string> members, TimePoint now);

    /// Enables slot sharing with peers. Precondition: sharing outlives the last call of the dispatcher.
    void setSlotSharing(SlotSharing &sharing);

    /// Applies a change of slots that a peer requested and starts the tasks that can start.
    void changeSlots(const std::function<void(const SharingView &)> &change, TimePoint now);

    /// Sets the names of the targets that are leaving.
    void applyLeavingTargets(const std::unordered_set<std::string> &names);

    /// Admits or refuses a job; the answer handler is called exactly once, possibly before this returns.
    /// Returns the job's id, or nothing when it was refused.
    std::optional<JobId> submit(JobSpec spec, AnswerHandler answer, TimePoint now);

    /// Cancels a submission at the request of its caller. Returns false if it is not in progress.
    bool cancel(const std::string &submission, TimePoint now);

    /// Cancels a job whose caller has disconnected. Returns false if it is not in progress.
    bool cancel(JobId id, TimePoint now);

    /// Cancels several jobs whose callers have disconnected. Freed slots are filled only after the last cancellation.
    void cancel(const std::vector<JobId> &ids, TimePoint now);

    /// Processes the outcome of an attempt. Outcomes of attempts that are not in progress are ignored.
    void onOutcome(const TaskRef &ref, TaskOutcome outcome, TimePoint now);

    /// Processes the result of a job's claims. Ignored if the job no longer waits for it.
    void onClaimResult(JobId id, ClaimResult result, TimePoint now);

    /// Answers jobs whose deadline has passed and starts the tasks that can start. Must be called every few milliseconds.
    void onTick(TimePoint now);

    /// Refuses new jobs from now on. Admitted jobs continue.
    void beginDrain();

    /// Answers all jobs that are still unanswered because the drain limit is reached.
    void abandonAll(TimePoint now);

    /// True if no submission is unanswered and no task is at a target.
    bool isIdle() const;

    const SlotTable &slots() const;
    const JobQueue &queue() const;

private:
    friend struct OutcomeVisitor;
    friend struct ClaimResultVisitor;

    void requestClaims(JobRecord &job, TimePoint now);
    void applyRecordedOutput(JobRecord &job, RecordedOutput &recorded, TimePoint now);
    void cancelTask(JobRecord &job, std::uint32_t task);
    void applyHealth(TimePoint now);
    LoadView loadView(const JobSpec &spec, const JobForecast &forecast, TimePoint now) const;
    void admit(JobRecord &job, const JobForecast &forecast, TimePoint now);
    void abandonOverdueJobs(TimePoint now);
    void abandonIfInfeasible(JobRecord &job, TimePoint now);
    void shareSlotsAndStartTasks(TimePoint now);
    void startQueuedTasks(TimePoint now);
    SharingView sharingView(TimePoint now);
    std::uint32_t fairShare(TimePoint now) const;
    bool startNextTask(JobRecord &job, TimePoint now);
    void updateTargetMasks(JobRecord &job) const;
    void startTask(JobRecord &job, std::uint32_t task, TargetIndex target, TimePoint now);
    void transition(TaskRecord &task, TaskState to);
    void requeue(JobRecord &job, std::uint32_t task, NotStartedReason reason, TimePoint now);
    bool mayRetry(const JobRecord &job, const TaskRecord &task, NotStartedReason reason);
    void storeOutput(JobRecord &job, std::uint32_t task, std::string output, TimePoint now);
    void finishTask(JobRecord &job, std::uint32_t task, std::string output, TimePoint now);
    void failJob(JobRecord &job, ResultCode notRun, ResultCode mayHaveRun, const std::string &message, TimePoint now);
    void answerJob(JobRecord &job, JobAnswer answer, TimePoint now);
    void cancelQueuedTasks(JobRecord &job);
    void stopSentTasks(JobRecord &job);
    void removeIfDone(JobRecord &job);
    void cancel(JobRecord &job, TimePoint now);
    void failAsCancelled(JobRecord &job, TimePoint now);
    void answerRefusal(const JobSpec &spec, const AnswerHandler &answer, const Refusal &refusal);

    HostIdentity m_identity;
    TargetPort &m_targets;
    DispatchObserver &m_observer;
    ClaimProvider *m_claimProvider = nullptr;
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
