#include "dispatchfixture.h"
#include "fakeclaimprovider.h"

#include <boost/test/unit_test.hpp>

using namespace Anvilcart;

namespace
{
/// A dispatcher with a claim provider, and jobs with non-idempotent tasks.
struct ClaimProviderFixture : DispatchFixture
{
    ClaimProviderFixture()
    {
        configure(2, 4);
        dispatcher.setClaimProvider(claims);
    }

    static JobSpec makeClaimedJob(const std::string &submission, std::uint32_t tasks)
    {
        auto job = makeJob(submission, tasks);
        for (auto &task : job.tasks) {
            task.idempotent = false;
            task.idempotencyKey = "key-" + task.id;
            task.keyExpiry = std::chrono::seconds(3600);
        }
        return job;
    }

    ClaimsGranted granted(std::vector<RecordedOutput> recorded = {}) const
    {
        return {now + Seconds(3600), std::move(recorded)};
    }

    FakeClaimProvider claims;
};
} // namespace

BOOST_FIXTURE_TEST_SUITE(ClaimProviderSuite, ClaimProviderFixture, *boost::unit_test::label("dispatch"))

BOOST_AUTO_TEST_CASE(A_non_idempotent_task_starts_only_after_its_claim_was_granted)
{
    const auto id = submit(makeClaimedJob("a", 1));
    advance(Milliseconds(100));
    BOOST_TEST(port.started.empty());
    dispatcher.onClaimResult(*id, granted(), now);
    BOOST_REQUIRE_EQUAL(port.started.size(), 1);
    BOOST_TEST(port.started[0].start.idempotencyKey == "key-t0");
    finish(0);
    BOOST_TEST((answers.at(0).code == ResultCode::Complete));
    BOOST_TEST(claims.outputs.at(0) == "a/t0");
    BOOST_TEST(claims.closed.size() == 1);
}

BOOST_AUTO_TEST_CASE(A_new_configuration_starts_no_task_that_waits_for_its_claim)
{
    submit(makeClaimedJob("a", 1));
    configure(3, 4);
    advance(Milliseconds(5));
    BOOST_TEST(port.started.empty());
}

BOOST_AUTO_TEST_CASE(An_idempotent_job_needs_no_claims)
{
    submit(makeJob("a", 1));
    BOOST_TEST(port.started.size() == 1);
    BOOST_TEST(claims.claimed.empty());
}

BOOST_AUTO_TEST_CASE(A_refused_claim_answers_the_job_and_nothing_starts)
{
    const auto id = submit(makeClaimedJob("a", 2));
    dispatcher.onClaimResult(*id, Refusal {ResultCode::KeyClaimedElsewhere, "taken", Milliseconds(500)}, now);
    BOOST_REQUIRE_EQUAL(answers.size(), 1);
    BOOST_TEST((answers[0].code == ResultCode::KeyClaimedElsewhere));
    BOOST_TEST(answers[0].retryAfter.count() == 500);
    BOOST_TEST(port.started.empty());
    BOOST_TEST(dispatcher.isIdle());
}

BOOST_AUTO_TEST_CASE(A_claim_result_after_the_job_was_answered_starts_nothing)
{
    const auto id = submit(makeClaimedJob("a", 1));
    advance(Seconds(11));
    BOOST_TEST((answers.at(0).code == ResultCode::DeadlineBeforeStart));
    BOOST_REQUIRE_EQUAL(claims.notStarted.size(), 1);
    dispatcher.onClaimResult(*id, granted(), now);
    BOOST_TEST(port.started.empty());
    BOOST_TEST(answers.size() == 1);
}

BOOST_AUTO_TEST_CASE(Only_tasks_that_provably_did_not_start_are_recorded_as_not_started)
{
    configure(1, 1);
    dispatcher.applyLeavingTargets({"target-1"});
    const auto id = submit(makeClaimedJob("a", 2));
    dispatcher.onClaimResult(*id, granted(), now);
    BOOST_REQUIRE_EQUAL(port.started.size(), 1);
    report(0, TaskLost {"cut"});
    BOOST_TEST((answers.at(0).code == ResultCode::TaskOutcomeUnknown));
    BOOST_REQUIRE_EQUAL(claims.notStarted.size(), 1);
    BOOST_TEST((claims.notStarted[0] == std::pair<JobId, std::uint32_t>(*id, 1)));
    BOOST_TEST(claims.outputs.empty());
}

BOOST_AUTO_TEST_CASE(A_task_that_its_target_refused_after_the_answer_is_recorded_as_not_started)
{
    const auto id = submit(makeClaimedJob("a", 1));
    dispatcher.onClaimResult(*id, granted(), now);
    BOOST_TEST(dispatcher.cancel("a", now));
    BOOST_TEST(claims.notStarted.empty());
    report(0, TaskNotStarted {NotStartedReason::NoSlot});
    BOOST_TEST(claims.notStarted.size() == 1);
}

BOOST_AUTO_TEST_CASE(A_task_whose_key_has_a_recorded_output_is_not_run_again)
{
    const auto id = submit(makeClaimedJob("a", 2));
    dispatcher.onClaimResult(*id, granted({{0, "first"}}), now);
    BOOST_REQUIRE_EQUAL(port.started.size(), 1);
    BOOST_TEST(port.started[0].start.task == "t1");
    finish(0);
    BOOST_REQUIRE_EQUAL(answers.size(), 1);
    BOOST_TEST(answers[0].results.at(0).output == "first");
    claims.immediateResult = granted({{0, "first"}, {1, "a/t1"}});
    submit(makeClaimedJob("b", 2));
    BOOST_TEST(port.started.size() == 1);
    BOOST_REQUIRE_EQUAL(answers.size(), 2);
    BOOST_TEST(answers[1].results.at(1).output == "a/t1");
    BOOST_TEST(dispatcher.isIdle());
}

BOOST_AUTO_TEST_CASE(A_claimed_task_is_not_started_once_its_claim_has_expired)
{
    const auto id = submit(makeClaimedJob("a", 1));
    now += Seconds(3601);
    dispatcher.onClaimResult(*id, ClaimsGranted {now - Seconds(1), {}}, now);
    BOOST_TEST(port.started.empty());
    advance(Milliseconds(5));
    BOOST_TEST((answers.at(0).code == ResultCode::DeadlineBeforeStart));
    BOOST_TEST(claims.notStarted.size() == 1);
}

BOOST_AUTO_TEST_CASE(A_failure_of_a_task_is_recorded_as_its_outcome)
{
    const auto id = submit(makeClaimedJob("a", 1));
    dispatcher.onClaimResult(*id, granted(), now);
    report(0, TaskRanAndFailed {"broken"});
    BOOST_TEST(claims.failures.at(0) == "broken");
    BOOST_TEST(claims.notStarted.empty());
}

BOOST_AUTO_TEST_CASE(Keys_that_claims_cannot_protect_are_refused)
{
    auto twice = makeClaimedJob("twice", 2);
    twice.tasks[1].idempotencyKey = twice.tasks[0].idempotencyKey;
    submit(twice);
    auto tooLong = makeClaimedJob("long", 1);
    tooLong.tasks[0].keyExpiry = std::chrono::hours(25);
    submit(tooLong);
    auto tooShort = makeClaimedJob("short", 1);
    tooShort.tasks[0].keyExpiry = std::chrono::seconds(10);
    submit(tooShort);
    BOOST_REQUIRE_EQUAL(answers.size(), 3);
    for (const auto &answer : answers) {
        BOOST_TEST((answer.code == ResultCode::InvalidField));
    }
    BOOST_TEST(claims.claimed.empty());
}

BOOST_AUTO_TEST_CASE(Without_a_claim_provider_only_idempotent_jobs_are_run)
{
    DispatchFixture ungated;
    ungated.configure(1, 1);
    ungated.submit(makeClaimedJob("a", 1));
    BOOST_TEST((ungated.answers.at(0).code == ResultCode::ClaimsUnavailable));
    ungated.submit(makeJob("b", 1));
    BOOST_TEST(ungated.port.started.size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
