#include "claims/claimant.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace Anvilcart;

namespace
{
/// Counts claim events.
class EventCounter : public ClaimObserver
{
public:
    void onClaimEvent(ClaimEvent event) override
    {
        ++counts[event];
    }

    std::map<ClaimEvent, int> counts;
};

/// Two claimants with a log and a clock that the test controls.
struct ClaimantFixture
{
    ClaimantFixture()
    {
        for (auto *claimant : {&first, &second}) {
            claimant->setLogReachable(true);
            claimant->setCaughtUp(0);
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

    /// Appends the queued records of this claimant to the log and lets both claimants read them.
    void appendAndRead(Claimant &claimant)
    {
        const auto records = claimant.outbox().takeBatch(0);
        first.applyRecords(records, now);
        second.applyRecords(records, now);
    }

    void advance(Milliseconds duration)
    {
        now.monotonic += duration;
        now.wall += duration;
        first.onTick(now);
        second.onTick(now);
    }

    static ResultCode codeOf(const ClaimResult &result)
    {
        const auto *refusal = std::get_if<Refusal>(&result);
        return refusal != nullptr ? refusal->code : ResultCode::Complete;
    }

    EventCounter observer;
    Claimant first {{"entry-1", "1"}, observer};
    Claimant second {{"entry-2", "1"}, observer};
    ClaimTime now {TimePoint() + Seconds(1000), WallTime(Seconds(1'000'000))};
};
} // namespace

BOOST_FIXTURE_TEST_SUITE(ClaimantSuite, ClaimantFixture, *boost::unit_test::label("claims"))

BOOST_AUTO_TEST_CASE(A_job_is_granted_when_its_last_claim_is_read_back)
{
    BOOST_TEST(!claim(first, 1, {"a", "b"}).has_value());
    auto records = first.outbox().takeBatch(0);
    BOOST_REQUIRE_EQUAL(records.size(), 2);
    first.applyRecords({records[0]}, now);
    BOOST_TEST(first.takeResults().empty());
    first.applyRecords({records[1]}, now);
    const auto jobResults = first.takeResults();
    BOOST_REQUIRE_EQUAL(jobResults.size(), 1);
    const auto &granted = std::get<ClaimsGranted>(jobResults[0].result);
    BOOST_TEST((granted.startBefore < now.monotonic + Seconds(100)));
    BOOST_TEST((granted.startBefore > now.monotonic + Seconds(10)));
}

BOOST_AUTO_TEST_CASE(Of_two_claims_on_one_key_the_first_in_the_log_is_granted_and_the_other_job_abandons_all_its_claims)
{
    claim(first, 1, {"a"});
    claim(second, 2, {"b", "a"});
    appendAndRead(first);
    appendAndRead(second);
    BOOST_TEST((codeOf(first.takeResults().at(0).result) == ResultCode::Complete));
    const auto results = second.takeResults();
    BOOST_REQUIRE_EQUAL(results.size(), 1);
    BOOST_TEST((codeOf(results[0].result) == ResultCode::KeyClaimedElsewhere));
    appendAndRead(second);
    BOOST_TEST(!claim(first, 3, {"b"}).has_value());
    appendAndRead(first);
    BOOST_TEST((codeOf(first.takeResults().at(0).result) == ResultCode::Complete));
}

BOOST_AUTO_TEST_CASE(A_claim_that_is_appended_after_its_job_was_refused_is_never_granted)
{
    claim(first, 1, {"a"});
    const auto delayedRecords = first.outbox().takeBatch(0);
    advance(Seconds(3));
    BOOST_TEST((codeOf(first.takeResults().at(0).result) == ResultCode::ClaimsUnavailable));
    first.applyRecords(delayedRecords, now);
    second.applyRecords(delayedRecords, now);
    BOOST_TEST(first.takeResults().empty());
    appendAndRead(first);
    BOOST_TEST(!claim(second, 2, {"a"}).has_value());
    appendAndRead(second);
    BOOST_TEST((codeOf(second.takeResults().at(0).result) == ResultCode::Complete));
}

BOOST_AUTO_TEST_CASE(A_claim_that_a_paused_host_reads_back_too_late_is_refused)
{
    claim(first, 1, {"a"});
    const auto records = first.outbox().takeBatch(0);
    now.monotonic += Seconds(3);
    now.wall += Seconds(3);
    first.applyRecords(records, now);
    BOOST_TEST((codeOf(first.takeResults().at(0).result) == ResultCode::ClaimsUnavailable));
}

BOOST_AUTO_TEST_CASE(A_resubmission_gets_the_recorded_output_and_claims_nothing)
{
    claim(first, 1, {"a"});
    appendAndRead(first);
    first.recordOutcome(1, 0, ClaimOutcomeKind::Finished, "stamped");
    appendAndRead(first);
    const auto result = claim(second, 2, {"a"});
    BOOST_REQUIRE(result.has_value());
    BOOST_TEST(std::get<ClaimsGranted>(*result).recordedOutputs.at(0).output == "stamped");
    BOOST_TEST(second.outbox().isEmpty(0));
}

BOOST_AUTO_TEST_CASE(A_resubmission_of_a_failed_task_gets_the_recorded_failure)
{
    claim(first, 1, {"a"});
    appendAndRead(first);
    first.recordOutcome(1, 0, ClaimOutcomeKind::Failed, "broken");
    appendAndRead(first);
    BOOST_TEST((codeOf(claim(second, 2, {"a"}).value()) == ResultCode::TaskFailed));
}

BOOST_AUTO_TEST_CASE(A_resubmission_is_refused_as_may_have_run_when_the_earlier_job_ended_without_an_outcome)
{
    claim(first, 1, {"a"});
    appendAndRead(first);
    first.closeClaims(1);
    BOOST_TEST((codeOf(claim(second, 2, {"a"}).value()) == ResultCode::KeyClaimedElsewhere));
    advance(Seconds(20));
    BOOST_TEST((codeOf(claim(second, 3, {"a"}).value()) == ResultCode::KeyMayHaveRun));
    advance(Seconds(100));
    BOOST_TEST(!claim(second, 4, {"a"}).has_value());
}

BOOST_AUTO_TEST_CASE(Abandoning_the_claim_of_an_unstarted_task_frees_its_key)
{
    claim(first, 1, {"a", "b"});
    appendAndRead(first);
    first.abandonClaim(1, 0);
    first.closeClaims(1);
    appendAndRead(first);
    BOOST_TEST(!claim(second, 2, {"a"}).has_value());
    BOOST_TEST((codeOf(claim(second, 3, {"b"}).value()) == ResultCode::KeyClaimedElsewhere));
}

BOOST_AUTO_TEST_CASE(Claims_are_refused_at_once_while_the_log_is_unreachable_or_not_read_to_its_end)
{
    first.setLogReachable(false);
    BOOST_TEST((codeOf(claim(first, 1, {"a"}).value()) == ResultCode::ClaimsUnavailable));
    Claimant third({"entry-3", "1"}, observer);
    third.setLogReachable(true);
    BOOST_TEST((codeOf(claim(third, 2, {"a"}).value()) == ResultCode::ClaimsUnavailable));
    BOOST_TEST(third.outbox().isEmpty(0));
    BOOST_TEST(observer.counts[ClaimEvent::LogUnavailable] == 2);
}

BOOST_AUTO_TEST_CASE(A_failed_append_is_retried_without_abandoned_claims)
{
    claim(first, 1, {"a"});
    claim(first, 2, {"b"});
    auto records = first.outbox().takeBatch(0);
    first.abandonClaim(1, 0);
    first.onAppendFailed(0, std::move(records));
    const auto retried = first.outbox().takeBatch(0);
    BOOST_REQUIRE_EQUAL(retried.size(), 2);
    BOOST_TEST(std::get<Claim>(retried[0]).task == "t-b");
    BOOST_TEST(std::holds_alternative<Abandonment>(retried[1]));
}

BOOST_AUTO_TEST_CASE(The_same_key_of_two_teams_does_not_conflict)
{
    claim(first, 1, {"a"});
    appendAndRead(first);
    auto otherTeamJob = makeJob("s2", {"a"});
    otherTeamJob.team = "office";
    BOOST_TEST(!first.claim(2, otherTeamJob, now.monotonic + Seconds(10), now).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
