#include "scheduling/scheduler.h"

#include "schedulerfixture.h"

#include <boost/test/unit_test.hpp>

using namespace Anvilcart;
using namespace Anvilcart::Fleet;

namespace
{
/// A scheduler with targets in two zones.
struct EvacuationFixture : SchedulerFixture
{
    void claimTargetIn(const std::string &zone, const std::string &id, const std::vector<std::string> &labels = {})
    {
        auto targetEntry = entry(id);
        targetEntry.zone = zone;
        targetEntry.labels = labels;
        scheduler.addTarget(targetEntry, Token, now);
        answerRenewal(id, {});
    }

    /// Evacuates these zones, right after a check of the store that showed none of them.
    void evacuate(const std::set<std::string> &zones)
    {
        scheduler.setEvacuatedZones(zones, now, now);
    }

    /// A job with a second step after its first one, which needs this label.
    JobSubmission jobOfTwoSteps(const std::string &id, const std::string &secondLabel = {}) const
    {
        auto submission = job(id);
        auto step = submission.request.steps.front();
        step.dependsOn = {0};
        step.requiredLabel = secondLabel;
        submission.request.steps.push_back(step);
        submission.callerDeadline = now + Seconds(9);
        return submission;
    }

    /// The number of starts on targets whose id begins so.
    std::size_t startsOn(const std::string &prefix) const
    {
        return static_cast<std::size_t>(std::count_if(port.starts.begin(), port.starts.end(), [&](const auto &start) {
            return start.target.starts_with(prefix);
        }));
    }

    const JobResult &resultOf(const std::string &id) const
    {
        const auto found = std::find_if(port.ended.rbegin(), port.ended.rend(), [&](const auto &ended) {
            return ended.job.request.id == id;
        });
        BOOST_REQUIRE(found != port.ended.rend());
        return found->result;
    }
};
} // namespace

BOOST_FIXTURE_TEST_SUITE(EvacuationSuite, EvacuationFixture, *boost::unit_test::label("scheduling"))

// Plays an evacuation under load: a queue that fills both zones several times over.
BOOST_AUTO_TEST_CASE(Queued_jobs_run_in_the_other_zones_only)
{
    claimTargetIn("a", "a1");
    claimTargetIn("b", "b1");
    for (int number = 0; number < 20; ++number) {
        auto submission = job("j" + std::to_string(number));
        submission.callerDeadline = now + Seconds(30);
        submit(submission);
    }
    BOOST_TEST(startsOn("b") == 2);
    evacuate({"b"});
    std::uint64_t position = 0;
    std::size_t completed = 0;
    while (completed < port.starts.size()) {
        now += Milliseconds(100);
        answerStart(completed);
        endRun(completed, RunEnd::Done, ++position);
        ++completed;
        scheduler.tick(now);
    }
    BOOST_TEST(startsOn("b") == 2);
    BOOST_TEST(completed == 20);
}

BOOST_AUTO_TEST_CASE(The_load_that_is_reported_and_forecast_leaves_evacuated_targets_out)
{
    claimTargetIn("a", "a1");
    claimTargetIn("b", "b1");
    submit(job("size"));
    const auto before = scheduler.loads(now).front();
    evacuate({"b"});
    const auto after = scheduler.loads(now).front();
    BOOST_TEST(after.freeTasks < before.freeTasks);
    evacuate({"a", "b"});
    BOOST_TEST(scheduler.loads(now).front().freeTasks == 0);
    BOOST_TEST((scheduler.loads(now).front().wait >= Seconds(60)));
    BOOST_TEST(scheduler.usage(now).evacuated == 2);
}

BOOST_AUTO_TEST_CASE(Waiting_and_new_jobs_are_redirected_at_once_to_a_dispatcher_of_another_zone)
{
    claimTargetIn("b", "b1");
    submit(job("running", 2));
    auto waiting = job("waiting");
    waiting.callerDeadline = now + Seconds(9);
    submit(waiting);
    scheduler.setPeers({{"other", {{"service", 4, 0, Duration(0)}}}});
    evacuate({"b"});
    BOOST_TEST((resultOf("waiting").reason == JobEndReason::BetterElsewhere));
    BOOST_TEST(resultOf("waiting").preferredDispatcher == "other");
    submit(job("new"));
    BOOST_TEST((resultOf("new").reason == JobEndReason::BetterElsewhere));
    // What runs is neither stopped nor given back.
    BOOST_TEST(port.stops.empty());
    BOOST_TEST(port.ended.size() == 2);
}

BOOST_AUTO_TEST_CASE(Without_another_dispatcher_jobs_are_refused_at_once_with_the_reason)
{
    claimTargetIn("b", "b1");
    submit(job("running", 2));
    auto waiting = job("waiting");
    waiting.callerDeadline = now + Seconds(9);
    submit(waiting);
    evacuate({"b"});
    BOOST_TEST((resultOf("waiting").end == JobEnd::NotRun));
    BOOST_TEST((resultOf("waiting").reason == JobEndReason::Evacuated));
    submit(job("new"));
    BOOST_TEST((resultOf("new").reason == JobEndReason::Evacuated));
}

BOOST_AUTO_TEST_CASE(A_started_job_may_finish_in_the_zone_within_the_grace_period)
{
    claimTargetIn("b", "b1");
    submit(jobOfTwoSteps("j"));
    answerStart(0);
    evacuate({"b"});
    now += Milliseconds(1200);
    endRun(0, RunEnd::Done);
    BOOST_TEST(port.starts.size() == 2);
}

// Guards against jobs that wait for their deadline, and against the stop of a run for the sake of the evacuation.
BOOST_AUTO_TEST_CASE(A_started_job_that_only_the_zone_could_complete_is_returned_when_its_runs_have_ended)
{
    claimTargetIn("a", "a1");
    claimTargetIn("b", "b1", {"special"});
    submit(jobOfTwoSteps("j", "special"));
    answerStart(0);
    evacuate({"b"});
    advance(Milliseconds(1300));
    BOOST_TEST(port.ended.empty());
    BOOST_TEST(port.stops.empty());
    endRun(0, RunEnd::Done);
    advance(Milliseconds(25));
    BOOST_TEST((resultOf("j").end == JobEnd::Abandoned));
    BOOST_TEST((resultOf("j").reason == JobEndReason::Evacuated));
    BOOST_TEST(port.starts.size() == 1);
}

BOOST_AUTO_TEST_CASE(An_unanswered_start_is_not_repeated_after_the_grace_period)
{
    claimTargetIn("b", "b1");
    auto submission = job("j");
    submission.callerDeadline = now + Seconds(9);
    submit(submission);
    evacuate({"b"});
    now += Milliseconds(1250);
    answerStart(0, RequestResult::Unknown);
    BOOST_TEST(port.starts.size() == 1);
}

BOOST_AUTO_TEST_CASE(An_unanswered_start_is_repeated_within_the_grace_period)
{
    claimTargetIn("b", "b1");
    auto submission = job("j");
    submission.callerDeadline = now + Seconds(9);
    submit(submission);
    evacuate({"b"});
    now += Milliseconds(10);
    answerStart(0, RequestResult::Unknown);
    BOOST_TEST(port.starts.size() == 2);
}

BOOST_AUTO_TEST_CASE(Leases_of_running_tasks_are_extended_in_an_evacuated_zone)
{
    claimTargetIn("b", "b1");
    auto submission = job("j", 1, 14000, Seconds(20));
    submission.callerDeadline = now + Seconds(60);
    submit(submission);
    answerStart(0);
    evacuate({"b"});
    for (int round = 0; round < 20; ++round) {
        now += Milliseconds(300);
        answerRenewal("b1", {{port.starts[0].request.name, round}});
    }
    BOOST_TEST(lastRenewal("b1").leaseUntilMs > clockMs());
    BOOST_TEST(port.stops.empty());
}

BOOST_AUTO_TEST_CASE(A_target_that_is_claimed_during_the_evacuation_takes_no_jobs)
{
    evacuate({"b"});
    claimTargetIn("b", "b1");
    submit(job("j"));
    BOOST_TEST(port.starts.empty());
}

BOOST_AUTO_TEST_CASE(No_evacuated_target_is_reserved_for_a_task_that_waits)
{
    claimTargetIn("a", "a1");
    claimTargetIn("b", "b1");
    auto filling = job("filling", 2, 30000);
    submit(filling);
    auto large = job("large", 1, 30000);
    large.callerDeadline = now + Seconds(9);
    submit(large);
    // Capacity is reserved only where smaller tasks wait that could take it.
    submit(job("small", 1, 12000));
    evacuate({"b"});
    answerStart(0);
    answerStart(1);
    advance(Milliseconds(25));
    for (const std::size_t index : {0U, 1U}) {
        const bool isOpen = port.starts[index].target == "a1";
        BOOST_TEST(scheduler.findListedTarget(port.starts[index].target)->reservedForJob.empty() != isOpen);
    }
}

BOOST_AUTO_TEST_CASE(Nothing_starts_before_the_state_is_known)
{
    SchedulerLimits limits;
    limits.evacuationBound = Seconds(5);
    Scheduler bounded(limits, port, observer);
    bounded.addTarget(entry("t1"), Token, now);
    RenewalReply reply;
    reply.result = RequestResult::Accepted;
    reply.fencingToken = Token;
    reply.sequence = lastRenewal("t1").sequence;
    reply.sentAt = now;
    reply.listing.clockMs = clockMs();
    reply.listing.startedAtMs = startedAtMs;
    bounded.onRenewalReply("t1", reply, now);
    bounded.submit(job("j"), now);
    bounded.tick(now + Milliseconds(25));
    BOOST_TEST(port.starts.empty());
    bounded.setEvacuationKnown(true, now + Milliseconds(30));
    BOOST_TEST(port.starts.size() == 1);
}

BOOST_AUTO_TEST_CASE(Targets_that_are_cold_after_the_evacuation_get_less_than_their_capacity)
{
    for (const auto *id : {"b1", "b2", "b3", "b4"}) {
        auto targetEntry = entry(id);
        targetEntry.zone = "b";
        targetEntry.coldRemaining = Seconds(4);
        scheduler.addTarget(targetEntry, Token, now);
        answerRenewal(id, {});
    }
    evacuate({"b"});
    advance(Milliseconds(25));
    evacuate({});
    // Entry hosts prefer dispatchers with warm targets.
    BOOST_TEST((scheduler.loads(now).front().wait > Milliseconds(200)));
    for (int number = 0; number < 8; ++number) {
        auto submission = job("j" + std::to_string(number));
        submission.callerDeadline = now + Seconds(60);
        submit(submission);
    }
    BOOST_TEST(port.starts.size() < 4);
    for (int step = 0; step < 41; ++step) {
        advance(Milliseconds(100));
    }
    BOOST_TEST(startsButRepetitions().size() == 8);
}

BOOST_AUTO_TEST_SUITE_END()
