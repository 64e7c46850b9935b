#include "claims/claimant.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace Anvilcart;

namespace
{
/// Counts claim events.
class CountingObserver : public ClaimObserver
{
public:
    void onClaimEvent(ClaimEvent event) override
    {
        ++events[event];
    }

    std::map<ClaimEvent, int> events;
};

/// Two claimants, a log between them that the test fills, and a clock that it turns.
struct ClaimantFixture
{
    ClaimantFixture()
    {
        for (auto *claimant : {&first, &second}) {
            claimant->onLogReachable(true);
            claimant->onCaughtUp(0);
        }
    }

    static JobSpec makeJob(const std::string &submission, const std::vector<std::string> &keys)
    {
        JobSpec job;
        job.submission = submission;
        job.team = "field";
        for (const auto &key : keys) {
            TaskSpec task;
            task.id = "t-" + key;
            task.idempotent = false;
            task.idempotencyKey = key;
            task.keyExpiry = std::chrono::seconds(100);
            job.tasks.push_back(task);
        }
        return job;
    }

    std::optional<ClaimResult> claim(Claimant &claimant, JobId job, const std::vector<std::string> &keys)
    {
        return claimant.claim(job, makeJob("s" + std::to_string(job), keys), now.monotonic + Seconds(10), now);
    }

    /// Appends what waits at this claimant and lets both read it.
    void appendAndRead(Claimant &claimant)
    {
        const auto records = claimant.outbox().take(0);
        first.onRecords(records, now);
        second.onRecords(records, now);
    }

    void advance(Milliseconds duration)
    {
        now.monotonic += duration;
        now.wall += duration;
        first.onTick(now);
        second.onTick(now);
    }

    static ResultCode codeOf(const ClaimResult &verdict)
    {
        const auto *refusal = std::get_if<Refusal>(&verdict);
        return refusal != nullptr ? refusal->code : ResultCode::Complete;
    }

    CountingObserver observer;
    Claimant first {{"entry-1", "1"}, observer};
    Claimant second {{"entry-2", "1"}, observer};
    ClaimTime now {TimePoint() + Seconds(1000), WallTime(Seconds(1'000'000))};
};
} // namespace

BOOST_FIXTURE_TEST_SUITE(ClaimantSuite, ClaimantFixture, *boost::unit_test::label("claims"))

BOOST_AUTO_TEST_CASE(A_job_is_granted_when_its_last_claim_was_read_back)
{
    BOOST_TEST(!claim(first, 1, {"a", "b"}).has_value());
    auto records = first.outbox().take(0);
    BOOST_REQUIRE_EQUAL(records.size(), 2);
    first.onRecords({records[0]}, now);
    BOOST_TEST(first.takeSettled().empty());
    first.onRecords({records[1]}, now);
    const auto settled = first.takeSettled();
    BOOST_REQUIRE_EQUAL(settled.size(), 1);
    const auto &granted = std::get<ClaimsGranted>(settled[0].verdict);
    BOOST_TEST((granted.startBefore < now.monotonic + Seconds(100)));
    BOOST_TEST((granted.startBefore > now.monotonic + Seconds(10)));
}

BOOST_AUTO_TEST_CASE(Of_two_claims_on_one_key_the_first_in_the_log_wins_and_the_other_job_gives_all_its_claims_back)
{
    claim(first, 1, {"a"});
    claim(second, 2, {"b", "a"});
    appendAndRead(first);
    appendAndRead(second);
    BOOST_TEST((codeOf(first.takeSettled().at(0).verdict) == ResultCode::Complete));
    const auto refused = second.takeSettled();
    BOOST_REQUIRE_EQUAL(refused.size(), 1);
    BOOST_TEST((codeOf(refused[0].verdict) == ResultCode::KeyClaimedElsewhere));
    appendAndRead(second);
    BOOST_TEST(!claim(first, 3, {"b"}).has_value());
    appendAndRead(first);
    BOOST_TEST((codeOf(first.takeSettled().at(0).verdict) == ResultCode::Complete));
}

BOOST_AUTO_TEST_CASE(A_claim_that_comes_after_its_job_gave_up_is_never_granted)
{
    claim(first, 1, {"a"});
    const auto late = first.outbox().take(0);
    advance(Seconds(3));
    BOOST_TEST((codeOf(first.takeSettled().at(0).verdict) == ResultCode::ClaimsUnavailable));
    first.onRecords(late, now);
    second.onRecords(late, now);
    BOOST_TEST(first.takeSettled().empty());
    appendAndRead(first);
    BOOST_TEST(!claim(second, 2, {"a"}).has_value());
    appendAndRead(second);
    BOOST_TEST((codeOf(second.takeSettled().at(0).verdict) == ResultCode::Complete));
}

BOOST_AUTO_TEST_CASE(A_claim_that_a_paused_host_reads_too_late_is_refused)
{
    claim(first, 1, {"a"});
    const auto records = first.outbox().take(0);
    now.monotonic += Seconds(3);
    now.wall += Seconds(3);
    first.onRecords(records, now);
    BOOST_TEST((codeOf(first.takeSettled().at(0).verdict) == ResultCode::ClaimsUnavailable));
}

BOOST_AUTO_TEST_CASE(A_resubmission_gets_the_first_output_again_and_claims_nothing)
{
    claim(first, 1, {"a"});
    appendAndRead(first);
    first.record(1, 0, ClaimOutcomeKind::Finished, "stamped");
    appendAndRead(first);
    const auto verdict = claim(second, 2, {"a"});
    BOOST_REQUIRE(verdict.has_value());
    BOOST_TEST(std::get<ClaimsGranted>(*verdict).recordedOutputs.at(0).output == "stamped");
    BOOST_TEST(second.outbox().isEmpty(0));
}

BOOST_AUTO_TEST_CASE(A_resubmission_of_a_failed_task_gets_the_failure_again)
{
    claim(first, 1, {"a"});
    appendAndRead(first);
    first.record(1, 0, ClaimOutcomeKind::Failed, "broken");
    appendAndRead(first);
    BOOST_TEST((codeOf(claim(second, 2, {"a"}).value()) == ResultCode::TaskFailed));
}

BOOST_AUTO_TEST_CASE(A_claim_without_an_outcome_answers_that_it_may_have_run_once_its_job_has_ended)
{
    claim(first, 1, {"a"});
    appendAndRead(first);
    first.forget(1);
    BOOST_TEST((codeOf(claim(second, 2, {"a"}).value()) == ResultCode::KeyClaimedElsewhere));
    advance(Seconds(20));
    BOOST_TEST((codeOf(claim(second, 3, {"a"}).value()) == ResultCode::KeyMayHaveRun));
    advance(Seconds(100));
    BOOST_TEST(!claim(second, 4, {"a"}).has_value());
}

BOOST_AUTO_TEST_CASE(A_task_that_never_started_gives_its_key_back)
{
    claim(first, 1, {"a", "b"});
    appendAndRead(first);
    first.abandon(1, 0);
    first.forget(1);
    appendAndRead(first);
    BOOST_TEST(!claim(second, 2, {"a"}).has_value());
    BOOST_TEST((codeOf(claim(second, 3, {"b"}).value()) == ResultCode::KeyClaimedElsewhere));
}

BOOST_AUTO_TEST_CASE(Claims_are_refused_at_once_while_the_log_is_out_of_reach_or_unread)
{
    first.onLogReachable(false);
    BOOST_TEST((codeOf(claim(first, 1, {"a"}).value()) == ResultCode::ClaimsUnavailable));
    Claimant fresh({"entry-3", "1"}, observer);
    fresh.onLogReachable(true);
    BOOST_TEST((codeOf(claim(fresh, 2, {"a"}).value()) == ResultCode::ClaimsUnavailable));
    BOOST_TEST(fresh.outbox().isEmpty(0));
    BOOST_TEST(observer.events[ClaimEvent::LogUnavailable] == 2);
}

BOOST_AUTO_TEST_CASE(An_append_that_failed_is_made_again_without_claims_that_were_given_up)
{
    claim(first, 1, {"a"});
    claim(first, 2, {"b"});
    auto records = first.outbox().take(0);
    first.abandon(1, 0);
    first.onAppendFailed(0, std::move(records));
    const auto again = first.outbox().take(0);
    BOOST_REQUIRE_EQUAL(again.size(), 2);
    BOOST_TEST(std::get<Claim>(again[0]).task == "t-b");
    BOOST_TEST(std::holds_alternative<Abandonment>(again[1]));
}

BOOST_AUTO_TEST_CASE(The_same_key_of_two_teams_is_two_keys)
{
    claim(first, 1, {"a"});
    appendAndRead(first);
    auto other = makeJob("s2", {"a"});
    other.team = "office";
    BOOST_TEST(!first.claim(2, other, now.monotonic + Seconds(10), now).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
