#include "scheduling/crashsuspects.h"

#include "schedulerfixture.h"

#include <boost/test/unit_test.hpp>

using namespace Anvilcart;
using namespace Anvilcart::Fleet;

namespace
{
constexpr TimePoint Start {std::chrono::hours(1)};
constexpr std::size_t ServiceTargets = 48;

LedgerRun runOf(const std::string &job, TimePoint sentAt)
{
    LedgerRun run;
    run.name = {{job, 0, 0, 0}, 1};
    run.sentAt = sentAt;
    run.phase = RunPhase::Running;
    run.route = "route";
    return run;
}

/// The loss of a target whose last answer came 5 ms after the start of its newest run.
TargetLoss lossOf(std::vector<LedgerRun> runs)
{
    TargetLoss loss;
    loss.target = "t1";
    loss.runs = std::move(runs);
    loss.lastAnswerAt = newestStartAt(loss) + Milliseconds(5);
    return loss;
}

/// A scheduler with four targets that answer until one is lost.
struct CrashFixture : SchedulerFixture
{
    CrashFixture()
    {
        for (const auto *id : {"t1", "t2", "t3", "t4"}) {
            claimTarget(id);
        }
    }

    JobSubmission patientJob(const std::string &id) const
    {
        auto submission = job(id);
        submission.callerDeadline = now + Seconds(9);
        return submission;
    }

    /// The targets of the starts that the job was sent to.
    std::vector<std::string> targetsOf(const std::string &id) const
    {
        std::vector<std::string> targets;
        for (const auto &start : port.starts) {
            if (start.request.name.task.jobId == id) {
                targets.push_back(start.target);
            }
        }
        return targets;
    }

    void acceptStartOf(const std::string &id)
    {
        for (std::size_t index = port.starts.size(); index-- > 0;) {
            if (port.starts[index].request.name.task.jobId == id) {
                answerStart(index);
                return;
            }
        }
    }

    /// Loses each target on which the job's task runs.
    void loseTargetsUnder(const std::string &id)
    {
        for (std::size_t loss = 0; loss < targetsOf(id).size(); ++loss) {
            acceptStartOf(id);
            loseTarget(targetsOf(id).at(loss));
        }
    }

    /// The target answers nothing until its leases have ended.
    void loseTarget(const std::string &target)
    {
        for (int step = 0; step < 40; ++step) {
            now += Milliseconds(60);
            if (step < 20) {
                answerRenewal(target, {}, {}, RequestResult::Unknown);
            }
            scheduler.tick(now);
        }
    }
};
} // namespace

BOOST_AUTO_TEST_SUITE(CrashSuspectsSuite, *boost::unit_test::label("scheduling"))

BOOST_AUTO_TEST_CASE(The_runs_that_started_last_are_suspected)
{
    CrashSuspects suspects;
    suspects.onTargetLost(lossOf({runOf("old", Start), runOf("new", Start + Milliseconds(200))}), {}, ServiceTargets, Start + Seconds(2));
    BOOST_TEST(suspects.mustRunAlone({"new", 0, 0, 0}));
    BOOST_TEST(!suspects.mustRunAlone({"old", 0, 0, 0}));
    BOOST_TEST((suspects.verdictOn({"new", 0, 0, 0}) == CrashVerdict::Startable));
}

BOOST_AUTO_TEST_CASE(A_task_is_given_up_only_if_it_was_alone_on_a_further_lost_target)
{
    CrashSuspects suspects;
    auto now = Start;
    for (int loss = 0; loss < 5; ++loss) {
        now += Seconds(2);
        suspects.onTargetLost(lossOf({runOf("innocent", now), runOf("other", now)}), {}, ServiceTargets, now + Seconds(1));
        BOOST_TEST((suspects.verdictOn({"innocent", 0, 0, 0}) == CrashVerdict::Startable));
    }
    now += Seconds(2);
    suspects.onTargetLost(lossOf({runOf("other", now)}), {}, ServiceTargets, now + Seconds(1));
    BOOST_TEST((suspects.verdictOn({"other", 0, 0, 0}) == CrashVerdict::GivenUp));
    BOOST_TEST((suspects.verdictOn({"innocent", 0, 0, 0}) == CrashVerdict::Startable));
}

BOOST_AUTO_TEST_CASE(No_task_is_suspected_when_many_targets_fall_silent_together)
{
    CrashSuspects suspects;
    const std::vector<TimePoint> cut(6, Start + Milliseconds(100));
    suspects.onTargetLost(lossOf({runOf("j", Start)}), cut, ServiceTargets, Start + Seconds(2));
    BOOST_TEST(!suspects.mustRunAlone({"j", 0, 0, 0}));
    BOOST_TEST(suspects.recordsOf("j").empty());
}

BOOST_AUTO_TEST_CASE(Crashes_in_quick_succession_are_no_outage)
{
    CrashSuspects suspects;
    std::vector<TimePoint> others;
    for (int crash = 1; crash <= 10; ++crash) {
        others.push_back(Start - crash * Milliseconds(60));
    }
    suspects.onTargetLost(lossOf({runOf("j", Start)}), others, ServiceTargets, Start + Seconds(2));
    BOOST_TEST(suspects.mustRunAlone({"j", 0, 0, 0}));
}

// A start that was sent to a target beyond a network partition never reached it.
BOOST_AUTO_TEST_CASE(A_start_without_a_reply_is_not_suspected)
{
    CrashSuspects suspects;
    auto unanswered = runOf("j", Start);
    unanswered.phase = RunPhase::Unconfirmed;
    suspects.onTargetLost(lossOf({unanswered}), {}, ServiceTargets, Start + Seconds(2));
    BOOST_TEST(!suspects.mustRunAlone({"j", 0, 0, 0}));
}

// A job was reported as failed after both of its targets had only been cut off (case wake-during-roll, seed 8).
BOOST_AUTO_TEST_CASE(A_task_is_known_to_crash_its_targets_once_they_have_restarted)
{
    CrashSuspects suspects;
    const TaskName task {"j", 0, 0, 0};
    for (const auto *target : {"t1", "t2"}) {
        auto loss = lossOf({runOf("j", Start)});
        loss.target = target;
        suspects.onTargetLost(loss, {}, ServiceTargets, Start + Seconds(2));
    }
    BOOST_TEST((suspects.verdictOn(task) == CrashVerdict::GivenUp));
    suspects.onTargetRestarted("t1");
    BOOST_TEST((suspects.verdictOn(task) == CrashVerdict::GivenUp));
    suspects.onTargetRestarted("t2");
    BOOST_TEST((suspects.verdictOn(task) == CrashVerdict::Crashing));
    BOOST_TEST((suspects.verdictOnJob("j") == CrashVerdict::Crashing));
}

BOOST_AUTO_TEST_CASE(The_records_of_another_dispatcher_count)
{
    CrashSuspects suspects;
    suspects.merge("j", {{0, 0, 1, 1, 0, true}}, Start);
    BOOST_TEST(suspects.mustRunAlone({"j", 0, 0, 0}));
    suspects.onTargetLost(lossOf({runOf("j", Start)}), {}, ServiceTargets, Start + Seconds(1));
    BOOST_TEST((suspects.verdictOnJob("j") == CrashVerdict::GivenUp));
    suspects.onTargetRestarted("t1");
    BOOST_TEST((suspects.verdictOnJob("j") == CrashVerdict::Crashing));
}

// Several dispatchers in a row were killed before they had seen the loss of a target.
BOOST_AUTO_TEST_CASE(A_run_that_was_started_alone_counts_as_a_lost_target_for_the_next_dispatcher)
{
    CrashSuspects suspects;
    const TaskName task {"j", 0, 0, 0};
    suspects.merge("j", {{0, 0, 2, 0, 1, true}}, Start);
    BOOST_TEST((suspects.verdictOn(task) == CrashVerdict::Startable));
    suspects.onStartedAlone(task);
    CrashSuspects successor;
    successor.merge("j", suspects.recordsOf("j"), Start);
    BOOST_TEST((successor.verdictOn(task) == CrashVerdict::GivenUp));
    suspects.onEndedAlone(task);
    BOOST_TEST(suspects.recordsOf("j").at(0).lostTargets == 2);
}

BOOST_AUTO_TEST_CASE(Records_are_forgotten_when_the_callers_have_given_up)
{
    CrashSuspects suspects;
    suspects.merge("j", {{0, 0, 1, 1, 0, true}}, Start);
    suspects.onTargetLost(lossOf({runOf("other", Start)}), {}, ServiceTargets, Start + Seconds(16));
    BOOST_TEST(!suspects.mustRunAlone({"j", 0, 0, 0}));
}

// Issue 24: the task went on to crash a third target.
BOOST_FIXTURE_TEST_CASE(A_job_is_given_up_once_two_targets_were_lost_under_its_task, CrashFixture)
{
    submit(patientJob("j"));
    loseTargetsUnder("j");
    BOOST_TEST(targetsOf("j").size() == 2);
    BOOST_REQUIRE(port.ended.size() == 1);
    BOOST_TEST((port.ended[0].result.end == JobEnd::Abandoned));
    BOOST_TEST((port.ended[0].result.reason == JobEndReason::CrashesTargets));
}

BOOST_FIXTURE_TEST_CASE(A_caller_that_submits_the_job_again_is_told_at_once_that_it_failed_when_the_targets_are_back, CrashFixture)
{
    submit(patientJob("j"));
    loseTargetsUnder("j");
    for (const auto &id : targetsOf("j")) {
        auto restarted = entry(id);
        restarted.startedAtMs = 2;
        scheduler.updateTarget(restarted);
    }
    submit(patientJob("j"));
    BOOST_TEST(targetsOf("j").size() == 2);
    BOOST_REQUIRE(port.ended.size() == 2);
    BOOST_TEST((port.ended[1].result.end == JobEnd::Failed));
}

BOOST_FIXTURE_TEST_CASE(A_target_that_has_registered_another_id_at_the_same_endpoint_has_crashed, CrashFixture)
{
    submit(patientJob("j"));
    loseTargetsUnder("j");
    auto replacement = entry("t5");
    replacement.startedAtMs = 2;
    // All targets of the fixture share one endpoint.
    scheduler.addTarget(replacement, Token, now);
    submit(patientJob("j"));
    BOOST_TEST((port.ended.back().result.end == JobEnd::Failed));
}

BOOST_FIXTURE_TEST_CASE(A_suspected_task_has_its_next_target_for_itself, CrashFixture)
{
    submit(patientJob("j"));
    acceptStartOf("j");
    loseTarget(targetsOf("j").at(0));
    const auto second = targetsOf("j").at(1);
    for (const auto *id : {"a", "b", "c", "d", "e", "f"}) {
        submit(patientJob(id));
    }
    for (const auto &start : port.starts) {
        const bool startedLater = start.request.name.task.jobId != "j";
        BOOST_TEST((!startedLater || start.target != second));
    }
}

BOOST_FIXTURE_TEST_CASE(A_suspected_task_waits_while_no_target_can_be_spared, CrashFixture)
{
    submit(patientJob("j"));
    acceptStartOf("j");
    const auto first = targetsOf("j").at(0);
    // Fills two of the three other targets.
    for (const auto *id : {"a", "b", "c", "d"}) {
        auto filling = patientJob(id);
        filling.request.steps.front().demand.milliCores = 16000;
        filling.request.steps.front().estimate = Seconds(8);
        submit(filling);
        acceptStartOf(id);
    }
    loseTarget(first);
    BOOST_TEST(targetsOf("j").size() == 1);
    BOOST_TEST(port.ended.empty());
}

BOOST_FIXTURE_TEST_CASE(A_task_that_succeeds_alone_is_cleared, CrashFixture)
{
    submit(patientJob("j"));
    acceptStartOf("j");
    loseTarget(targetsOf("j").at(0));
    acceptStartOf("j");
    endRun(port.starts.size() - 1, RunEnd::Done);
    BOOST_REQUIRE(port.ended.size() == 1);
    BOOST_TEST((port.ended[0].result.end == JobEnd::Completed));
}

// A restarted target shows that its runs are lost as soon as it is claimed again.
BOOST_FIXTURE_TEST_CASE(A_restart_under_the_same_id_counts_as_a_crash, CrashFixture)
{
    submit(patientJob("j"));
    acceptStartOf("j");
    startedAtMs = 2;
    const auto target = targetsOf("j").at(0);
    answerRenewal(target, {});
    BOOST_REQUIRE(port.restarted.size() == 1);
    scheduler.addTarget(entry(target), Token + 1, now);
    answerRenewal(target, {});
    BOOST_REQUIRE(port.crashesOfJob.contains("j"));
    BOOST_TEST(port.crashesOfJob["j"].at(0).crashedTargets == 1);
}

// The targets of an outage restart one after another.
BOOST_FIXTURE_TEST_CASE(No_task_is_suspected_when_targets_that_fell_silent_together_restart_one_after_another, CrashFixture)
{
    const std::vector<std::string> ids {"a", "b", "c", "d"};
    for (const auto &id : ids) {
        auto submission = patientJob(id);
        submission.request.steps.front().demand.milliCores = 20000;
        submit(submission);
        acceptStartOf(id);
    }
    startedAtMs = 2;
    for (const auto &id : ids) {
        now += Milliseconds(200);
        const auto target = targetsOf(id).at(0);
        answerRenewal(target, {});
        scheduler.addTarget(entry(target), Token + 1, now);
        answerRenewal(target, {});
    }
    // At least this many targets are an outage.
    BOOST_TEST(!port.crashesOfJob.contains("d"));
}

// Three other targets are an outage; each of two lost ones was counted twice.
BOOST_FIXTURE_TEST_CASE(A_lost_target_that_keeps_an_unanswered_start_counts_once_as_silent, CrashFixture)
{
    for (const auto *id : {"a", "b", "c"}) {
        auto submission = patientJob(id);
        submission.request.steps.front().demand.milliCores = 20000;
        submit(submission);
        acceptStartOf(id);
    }
    for (const auto *id : {"d", "e", "f", "g"}) {
        auto submission = patientJob(id);
        submission.request.steps.front().demand.milliCores = 12000;
        submit(submission);
    }
    for (std::size_t index = 3; index < port.starts.size(); ++index) {
        answerStart(index, RequestResult::Unknown);
    }
    const std::vector<std::string> lost {targetsOf("a").at(0), targetsOf("b").at(0), targetsOf("c").at(0)};
    for (int step = 0; step < 40; ++step) {
        now += Milliseconds(60);
        for (const auto &target : lost) {
            answerRenewal(target, {}, {}, RequestResult::Unknown);
        }
        scheduler.tick(now);
    }
    for (const auto *id : {"a", "b", "c"}) {
        BOOST_TEST(port.crashesOfJob.contains(id));
    }
}

BOOST_FIXTURE_TEST_CASE(The_loss_of_a_target_that_leaves_is_no_crash, CrashFixture)
{
    submit(patientJob("j"));
    acceptStartOf("j");
    auto leaving = entry(targetsOf("j").at(0));
    leaving.draining = true;
    scheduler.updateTarget(leaving);
    loseTarget(leaving.id);
    BOOST_TEST(port.crashesOfJob.empty());
}

BOOST_FIXTURE_TEST_CASE(A_start_whose_answer_is_lost_counts_as_a_crash_only_when_its_target_is_lost, CrashFixture)
{
    submit(patientJob("j"));
    answerStart(0, RequestResult::Unknown);
    answerRenewal(targetsOf("j").at(0), {{port.starts[0].request.name, 10}});
    BOOST_TEST(port.crashesOfJob.empty());
    loseTarget(targetsOf("j").at(0));
    BOOST_TEST(port.crashesOfJob.contains("j"));
}

// A job would be given up for the crashes of another queue's job with its id.
BOOST_AUTO_TEST_CASE(Records_of_a_job_do_not_concern_that_of_another_route_with_its_id)
{
    CrashSuspects suspects;
    suspects.beginJob("j", "a");
    suspects.merge("j", {{0, 0, 3, 3, 2, true}}, Start);
    suspects.setRoute("j", "a");
    suspects.beginJob("j", "a");
    BOOST_TEST((suspects.verdictOnJob("j") != CrashVerdict::Startable));
    suspects.beginJob("j", "b");
    BOOST_TEST((suspects.verdictOnJob("j") == CrashVerdict::Startable));
    BOOST_TEST(!suspects.mustRunAlone({"j", 0, 0, 0}));
}

BOOST_AUTO_TEST_SUITE_END()
