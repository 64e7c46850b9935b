#include "dispatch/dispatcher.h"
#include "dispatch/keyrules.h"

namespace Anvilcart
{
namespace
{
constexpr Milliseconds RetryWhenNoProvider {500};
}

/// Applies the result of a job's claims.
struct ClaimResultVisitor
{
    Dispatcher &dispatcher;
    JobRecord &job;
    TimePoint now;

    void operator()(ClaimsGranted &granted) const
    {
        job.startBefore = granted.startBefore;
        for (auto &recorded : granted.recordedOutputs) {
            dispatcher.applyRecordedOutput(job, recorded, now);
        }
        dispatcher.m_queue.update(job);
        dispatcher.removeIfDone(job);
    }

    void operator()(const Refusal &refusal) const
    {
        dispatcher.cancelQueuedTasks(job);
        JobAnswer refused;
        refused.code = refusal.code;
        refused.message = refusal.message;
        refused.retryAfter = refusal.retryAfter;
        dispatcher.answerJob(job, std::move(refused), now);
        dispatcher.removeIfDone(job);
    }
};

void Dispatcher::setClaimProvider(ClaimProvider &provider)
{
    m_claimProvider = &provider;
}

void Dispatcher::onClaimResult(JobId id, ClaimResult result, TimePoint now)
{
    auto *job = m_jobs.find(id);
    if (job == nullptr || !job->awaitsClaims || job->answered) {
        return;
    }
    job->awaitsClaims = false;
    std::visit(ClaimResultVisitor {*this, *job, now}, result);
    shareSlotsAndStartTasks(now);
}

void Dispatcher::requestClaims(JobRecord &job, TimePoint now)
{
    job.awaitsClaims = true;
    const auto id = job.id;
    if (const auto refusal = checkKeys(job.spec, job.configuration->limits, job.deadline - now)) {
        onClaimResult(id, *refusal, now);
        return;
    }
    if (m_claimProvider == nullptr) {
        onClaimResult(id, Refusal {ResultCode::ClaimsUnavailable, "this host cannot claim idempotency keys yet", RetryWhenNoProvider}, now);
        return;
    }
    if (auto result = m_claimProvider->claim(id, job.spec, job.deadline, now)) {
        onClaimResult(id, std::move(*result), now);
    }
}

void Dispatcher::applyRecordedOutput(JobRecord &job, RecordedOutput &recorded, TimePoint now)
{
    std::erase(job.queued, recorded.task);
    job.queuedWork -= job.tasks[recorded.task].runTime.expected;
    transition(job.tasks[recorded.task], TaskState::Finished);
    storeOutput(job, recorded.task, std::move(recorded.output), now);
}

void Dispatcher::cancelTask(JobRecord &job, std::uint32_t task)
{
    transition(job.tasks[task], TaskState::Cancelled);
    if (m_claimProvider != nullptr) {
        m_claimProvider->recordNotStarted(job.id, task);
    }
}
} // namespace Anvilcart
