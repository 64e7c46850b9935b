#include "dispatch/dispatcher.h"
#include "dispatch/keyrules.h"

namespace Anvilcart
{
namespace
{
constexpr Milliseconds RetryWhenNoGate {500};
}

/// Applies what came of a job's claims.
struct ClaimVerdictVisitor
{
    Dispatcher &dispatcher;
    JobRecord &job;
    TimePoint now;

    void operator()(ClaimsGranted &granted) const
    {
        job.startBefore = granted.startBefore;
        for (auto &known : granted.known) {
            dispatcher.answerKnown(job, known, now);
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
        dispatcher.answer(job, std::move(refused), now);
        dispatcher.removeIfDone(job);
    }
};

void Dispatcher::setClaimGate(ClaimGate &gate)
{
    m_claims = &gate;
}

void Dispatcher::onClaims(JobId id, ClaimVerdict verdict, TimePoint now)
{
    auto *job = m_jobs.find(id);
    if (job == nullptr || !job->awaitsClaims || job->answered) {
        return;
    }
    job->awaitsClaims = false;
    std::visit(ClaimVerdictVisitor {*this, *job, now}, verdict);
    pump(now);
}

void Dispatcher::beginClaims(JobRecord &job, TimePoint now)
{
    job.awaitsClaims = true;
    const auto id = job.id;
    if (const auto refusal = refuseKeys(job.spec, job.configuration->limits, job.deadline - now)) {
        onClaims(id, *refusal, now);
        return;
    }
    if (m_claims == nullptr) {
        onClaims(id, Refusal {ResultCode::ClaimsUnavailable, "this host cannot claim idempotency keys yet", RetryWhenNoGate}, now);
        return;
    }
    if (auto verdict = m_claims->claim(id, job.spec, job.deadline, now)) {
        onClaims(id, std::move(*verdict), now);
    }
}

void Dispatcher::answerKnown(JobRecord &job, KnownOutput &known, TimePoint now)
{
    std::erase(job.queued, known.task);
    job.queuedWork -= job.tasks[known.task].runTime.expected;
    move(job.tasks[known.task], TaskState::Finished);
    complete(job, known.task, std::move(known.output), now);
}

void Dispatcher::giveUp(JobRecord &job, std::uint32_t task)
{
    move(job.tasks[task], TaskState::Cancelled);
    if (m_claims != nullptr) {
        m_claims->abandon(job.id, task);
    }
}
} // namespace Anvilcart
