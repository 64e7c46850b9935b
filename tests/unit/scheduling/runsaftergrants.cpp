#include "fleet/fleetframe.h"
#include "fleet/issuedgrants.h"
#include "hostnodefixture.h"
#include "schedulerfixture.h"
#include "scheduling/heldgrants.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>
#include <optional>

using namespace Anvilcart;
using namespace Anvilcart::Fleet;

namespace
{
/// A scheduler with two targets and jobs of entry hosts whose grants the test sets.
struct GrantsOfTwoHostsFixture : SchedulerFixture
{
    static constexpr std::uint64_t ClaimCount = 100;

    GrantsOfTwoHostsFixture()
    {
        claimTarget("t1");
        // The longest lease of the claims has passed.
        now += Seconds(2);
        answerRenewal("t1", {});
    }

    void grant(const std::string &entryHost, Duration length)
    {
        scheduler.onGrant(entryHost, 5, {1, now + length, ClaimCount, 1}, now);
    }

    JobSubmission jobOf(const std::string &entryHost, const std::string &id, std::int64_t milliCores = 14000) const
    {
        auto submission = job(id, 1, milliCores);
        submission.entryHost = entryHost;
        submission.grantEpoch = 1;
        submission.callerDeadline = now + Seconds(9);
        return submission;
    }

    /// The longest lease that was requested for the target, from now on.
    Duration longestLease(const std::string &target) const
    {
        std::int64_t longest = 0;
        for (const auto &[id, request] : port.renewals) {
            longest = std::max(longest, id == target ? request.leaseUntilMs : 0);
        }
        for (const auto &start : port.starts) {
            longest = std::max(longest, start.target == target ? start.request.leaseUntilMs : 0);
        }
        return Milliseconds(longest - clockMs());
    }
};
} // namespace

BOOST_FIXTURE_TEST_SUITE(RunsAfterGrantsSuite, GrantsOfTwoHostsFixture, *boost::unit_test::label("scheduling"))

// Issue 48: an entry host and its dispatcher ended one after the other, and runs went on for a lease after the grant.
BOOST_AUTO_TEST_CASE(A_lease_ends_with_the_grant_of_its_run_though_targets_grant_longer_ones)
{
    grant("e1", Milliseconds(400));
    submit(jobOf("e1", "j"));
    answerStart(0);
    BOOST_TEST((longestLease("t1") == Milliseconds(400) + GrantGracePeriod));
    grant("e1", Milliseconds(900));
    now += Milliseconds(50);
    answerRenewal("t1", {{port.starts[0].request.name, 10}});
    BOOST_TEST((longestLease("t1") == SchedulerLimits().maxLease));
}

BOOST_AUTO_TEST_CASE(A_lease_ends_with_the_first_of_the_grants_of_its_runs)
{
    grant("e1", Milliseconds(400));
    grant("e2", Milliseconds(900));
    submit(jobOf("e1", "j"));
    submit(jobOf("e2", "k"));
    BOOST_REQUIRE(port.starts.size() == 2);
    answerStart(0);
    answerStart(1);
    BOOST_TEST((longestLease("t1") <= Milliseconds(400) + GrantGracePeriod));
}

BOOST_AUTO_TEST_CASE(A_run_of_the_dispatchers_own_caller_has_the_longest_lease)
{
    submit(job("j"));
    answerStart(0);
    BOOST_TEST((longestLease("t1") == SchedulerLimits().maxLease));
}

BOOST_AUTO_TEST_CASE(A_run_whose_job_is_gone_still_ends_with_its_grant)
{
    grant("e1", Milliseconds(400));
    submit(jobOf("e1", "j"));
    const auto name = port.starts[0].request.name;
    loseStart(0);
    answerRenewal("t1", {}, {}, RequestResult::Unknown);
    now += Milliseconds(100);
    scheduler.cancel("j", "e1", now);
    grant("e2", Milliseconds(900));
    submit(jobOf("e2", "k"));
    now += Milliseconds(50);
    answerRenewal("t1", {{name, 10}});
    BOOST_TEST((longestLease("t1") <= Milliseconds(250) + GrantGracePeriod));
}

// A caller that has gone comes again 1.3 s after the cancellation, whose stop may be lost together with the dispatcher.
BOOST_AUTO_TEST_CASE(Renewed_grants_do_not_extend_the_lease_of_a_run_whose_job_was_given_up)
{
    grant("e1", Milliseconds(900));
    submit(jobOf("e1", "j"));
    const auto name = port.starts[0].request.name;
    answerStart(0);
    const auto cancelledAt = now;
    scheduler.cancel("j", "e1", now);
    BOOST_REQUIRE(port.stops.size() == 1);
    for (int part = 0; part < 10; ++part) {
        now += Milliseconds(50);
        grant("e1", Milliseconds(900));
        answerRenewal("t1", {{name, 10}});
    }
    BOOST_TEST((now + longestLease("t1") <= cancelledAt + Milliseconds(900) + GrantGracePeriod));
}

// The deadline of a target holds for a new run, too, and never shortens.
BOOST_AUTO_TEST_CASE(No_run_is_started_where_an_earlier_lease_outlasts_its_grant)
{
    grant("e1", Milliseconds(900));
    submit(jobOf("e1", "j"));
    answerStart(0);
    BOOST_REQUIRE((longestLease("t1") == SchedulerLimits().maxLease));
    grant("e2", Milliseconds(500));
    submit(jobOf("e2", "k"));
    BOOST_TEST(port.starts.size() == 1);
    grant("e2", Milliseconds(800));
    advance(Milliseconds(25));
    BOOST_TEST(port.starts.size() == 2);
}

BOOST_AUTO_TEST_CASE(No_run_is_started_under_a_grant_that_ends_before_its_first_lease)
{
    grant("e1", Milliseconds(100));
    submit(jobOf("e1", "j"));
    BOOST_TEST(port.starts.empty());
    grant("e1", Milliseconds(300));
    advance(Milliseconds(25));
    BOOST_TEST(port.starts.size() == 1);
}

BOOST_AUTO_TEST_CASE(No_run_is_started_beside_one_whose_grant_ends_before_its_first_lease)
{
    grant("e1", Milliseconds(300));
    submit(jobOf("e1", "j"));
    answerStart(0);
    now += Milliseconds(200);
    grant("e2", Milliseconds(900));
    submit(jobOf("e2", "k"));
    BOOST_TEST(port.starts.size() == 1);
}

BOOST_AUTO_TEST_CASE(Renewals_follow_each_other_so_that_a_late_grant_comes_before_the_end_of_the_lease)
{
    grant("e1", Milliseconds(300));
    submit(jobOf("e1", "j"));
    answerStart(0);
    now += Milliseconds(50);
    answerRenewal("t1", {{port.starts[0].request.name, 10}});
    const auto &renewal = lastRenewal("t1");
    BOOST_TEST((now + Milliseconds(renewal.waitMs) < Begin + Seconds(2) + Milliseconds(300) + GrantGracePeriod));
    BOOST_TEST(renewal.waitMs > 0);
    now += Milliseconds(renewal.waitMs);
    grant("e1", Milliseconds(900));
    answerRenewal("t1", {{port.starts[0].request.name, 20}});
    BOOST_TEST((longestLease("t1") == SchedulerLimits().maxLease));
}

// The next renewal may be due only when the lease has ended or is about to.
BOOST_AUTO_TEST_CASE(A_grant_that_comes_back_in_its_grace_period_extends_the_leases_at_once)
{
    constexpr Milliseconds GrantLength {400};
    for (Milliseconds backAfter {5}; backAfter < GrantGracePeriod; backAfter += Milliseconds(5)) {
        GrantsOfTwoHostsFixture fixture;
        fixture.grant("e1", GrantLength);
        const auto grantEnd = fixture.now + GrantLength;
        fixture.submit(fixture.jobOf("e1", "j"));
        fixture.answerStart(0);
        const std::vector<ActiveRun> running {{fixture.port.starts[0].request.name, 10}};
        auto answerAt = fixture.now;
        while (fixture.now < grantEnd + backAfter) {
            fixture.advance(Milliseconds(5));
            if (fixture.now >= answerAt) {
                fixture.answerRenewal("t1", running);
                answerAt = fixture.now + Milliseconds(fixture.lastRenewal("t1").waitMs + 5);
            }
        }
        fixture.port.renewals.clear();
        fixture.grant("e1", Milliseconds(900));
        BOOST_TEST_CONTEXT("back after " << backAfter.count() << " ms")
        {
            const bool isExtended = std::any_of(fixture.port.renewals.begin(), fixture.port.renewals.end(), [&](const auto &renewal) {
                return Milliseconds(renewal.second.leaseUntilMs - fixture.clockMs()) > GrantGracePeriod;
            });
            const bool isNextInTime = answerAt + Milliseconds(100) < grantEnd + GrantGracePeriod;
            BOOST_TEST((isExtended || isNextInTime));
        }
    }
}

// All that a job's first dispatcher started ends before callers send the job again, 1.3 s after they have lost its entry host, which may
// have ended as soon as it had confirmed the dispatcher's last report.
BOOST_AUTO_TEST_CASE(Every_run_ends_before_callers_come_again_whenever_its_dispatcher_is_lost)
{
    constexpr Milliseconds CallersComeAgainAfter {1300};
    constexpr Milliseconds GrantLength {900};
    for (Milliseconds startedAfter {0}; startedAfter < GrantLength; startedAfter += Milliseconds(50)) {
        for (Milliseconds lostAfter = startedAfter; lostAfter < GrantLength + GrantGracePeriod; lostAfter += Milliseconds(50)) {
            GrantsOfTwoHostsFixture fixture;
            const auto confirmedAt = fixture.now;
            fixture.grant("e1", GrantLength);
            // Another entry host lives and renews its grant, whose runs extend the deadline of the same target.
            const auto advanceTo = [&](Duration time) {
                while (fixture.now < confirmedAt + time) {
                    fixture.grant("e2", GrantLength);
                    fixture.advance(Milliseconds(25));
                    if (!fixture.port.starts.empty()) {
                        std::vector<ActiveRun> running;
                        for (const auto &start : fixture.startsButRepetitions()) {
                            running.push_back({start.request.name, 10});
                        }
                        fixture.answerRenewal("t1", running);
                    }
                }
            };
            fixture.grant("e2", GrantLength);
            fixture.submit(fixture.jobOf("e2", "k", 4000));
            fixture.answerStart(0);
            advanceTo(startedAfter);
            fixture.submit(fixture.jobOf("e1", "j", 4000));
            const bool isStarted = fixture.port.starts.size() > 1;
            if (!isStarted) {
                continue;
            }
            fixture.answerStart(1);
            advanceTo(lostAfter);
            // From now on no order follows. The target's clock is 2% slow since the last reading.
            const auto slowLease = fixture.longestLease("t1") / 0.98;
            BOOST_TEST_CONTEXT("started after " << startedAfter.count() << " ms, lost after " << lostAfter.count() << " ms")
            {
                BOOST_TEST((fixture.now + std::chrono::duration_cast<Duration>(slowLease) < confirmedAt + CallersComeAgainAfter));
            }
        }
    }
}

// By its grant, the entry host of a job assumes that its runs have ended sooner, and hands it on then.
BOOST_AUTO_TEST_CASE(An_entry_host_is_told_that_a_run_which_was_taken_over_outlasts_its_grant)
{
    grant("e1", Milliseconds(900));
    submit(jobOf("e1", "j"));
    answerStart(0);
    answerRenewal("t1", {{port.starts[0].request.name, 10}});
    BOOST_TEST(port.outlasting.empty());
    const auto leaseEnd = now + longestLease("t1");
    now += Milliseconds(100);
    grant("e2", Milliseconds(300));
    auto again = jobOf("e2", "j");
    again.number = 7;
    submit(again);
    BOOST_REQUIRE(port.outlasting.size() == 1);
    BOOST_TEST(port.outlasting[0].first.entryHost == "e2");
    BOOST_TEST(port.outlasting[0].first.number == 7);
    BOOST_TEST((port.outlasting[0].second >= leaseEnd));
}

BOOST_AUTO_TEST_CASE(An_entry_host_is_told_that_a_run_which_was_found_outlasts_its_grant)
{
    const RunName run {{"j", 0, 0, 0}, 1};
    for (const bool isJobHereBefore : {true, false}) {
        GrantsOfTwoHostsFixture fixture;
        fixture.scheduler.addTarget(fixture.entry("t2"), Token, fixture.now);
        fixture.grant("e2", Milliseconds(600));
        // Nothing can be started before the listing.
        auto submission = fixture.withRun(fixture.jobOf("e2", "j"), "t2", run);
        submission.request.steps[0].demand.milliCores = 32000;
        submission.earlierRunsEndBy = fixture.now + Milliseconds(10);
        if (isJobHereBefore) {
            fixture.submit(submission);
        }
        fixture.answerRenewal("t2", {{run, 10}});
        if (!isJobHereBefore) {
            fixture.submit(submission);
        }
        BOOST_TEST_CONTEXT("job here before " << isJobHereBefore)
        {
            BOOST_TEST(fixture.port.starts.empty());
            BOOST_REQUIRE(!fixture.port.outlasting.empty());
            BOOST_TEST((fixture.port.outlasting.back().second >= fixture.now + SchedulerLimits().maxLease));
        }
    }
}

BOOST_AUTO_TEST_CASE(An_entry_host_that_takes_its_jobs_back_is_not_told_of_their_runs)
{
    grant("e1", Milliseconds(900));
    submit(jobOf("e1", "j"));
    answerStart(0);
    answerRenewal("t1", {{port.starts[0].request.name, 10}});
    scheduler.onGrant("e1", 5, {2, now + Milliseconds(900), ClaimCount, 1}, now);
    scheduler.onTimeGap(now);
    BOOST_TEST(port.outlasting.empty());
}

BOOST_AUTO_TEST_CASE(An_entry_host_whose_grant_covers_the_lease_of_a_run_that_was_taken_over_is_not_told_of_it)
{
    grant("e1", Milliseconds(900));
    submit(jobOf("e1", "j"));
    answerStart(0);
    now += Milliseconds(50);
    grant("e2", Milliseconds(900));
    submit(jobOf("e2", "j"));
    advance(Seconds(3));
    BOOST_TEST(port.outlasting.empty());
}

namespace
{
/// A target of a site whose targets grant other leases than those of the users' sites, held for long.
struct OtherLeasesFixture : GrantsOfTwoHostsFixture
{
    void claimUnder(Duration maxLease)
    {
        SchedulerLimits limits;
        limits.maxLease = maxLease;
        site = std::make_unique<Scheduler>(limits, port, observer);
        site->addTarget(entry("t9"), Token, now);
        answer({});
        now += Seconds(4);
        site->tick(now);
    }

    void answer(const std::vector<ActiveRun> &running)
    {
        const auto &request = lastRenewal("t9");
        RenewalReply reply;
        reply.result = RequestResult::Accepted;
        reply.fencingToken = request.fencingToken;
        reply.sequence = request.sequence;
        reply.sentAt = request.sentAt;
        reply.listing.clockMs = clockMs();
        reply.listing.startedAtMs = startedAtMs;
        reply.listing.running = running;
        site->onRenewalReply("t9", reply, now);
    }

    std::unique_ptr<Scheduler> site;
};
} // namespace

BOOST_FIXTURE_TEST_CASE(Tasks_are_started_on_targets_that_grant_short_leases, OtherLeasesFixture)
{
    claimUnder(Milliseconds(450));
    site->submit(job("j"), now);
    BOOST_TEST(port.starts.size() == 1);
}

BOOST_FIXTURE_TEST_CASE(Three_renewals_fit_into_the_leases_of_targets_that_grant_short_ones, OtherLeasesFixture)
{
    for (const auto maxLease : {Milliseconds(250), Milliseconds(450), Milliseconds(700), Milliseconds(1000)}) {
        OtherLeasesFixture fixture;
        fixture.claimUnder(maxLease);
        auto submission = fixture.job("j", 1, 14000, Milliseconds(2000));
        submission.callerDeadline = fixture.now + Seconds(9);
        fixture.site->submit(submission, fixture.now);
        BOOST_REQUIRE(fixture.port.starts.size() == 1);
        fixture.now += Milliseconds(20);
        fixture.answer({{fixture.port.starts[0].request.name, 10}});
        BOOST_TEST(fixture.lastRenewal("t9").waitMs * 3 <= maxLease.count());
    }
}

// A late start by an old reading of the clock must not act after the waits that count the longest lease.
BOOST_AUTO_TEST_CASE(A_start_ends_with_the_longest_lease_however_old_the_reading_of_the_clock_is)
{
    constexpr Milliseconds MarginOfWaits {120};
    for (const auto maxLease : {Milliseconds(250), Milliseconds(450), Milliseconds(700), Milliseconds(1000)}) {
        for (Seconds age {0}; age <= Seconds(10); age += Seconds(1)) {
            OtherLeasesFixture fixture;
            fixture.claimUnder(maxLease);
            fixture.answer({});
            fixture.now += age;
            fixture.site->submit(fixture.job("j"), fixture.now);
            if (fixture.port.starts.empty()) {
                continue;
            }
            const Milliseconds lease(fixture.port.starts[0].request.leaseUntilMs - fixture.clockMs());
            const auto longest = lease + TargetClock::driftDuring(lease + age);
            BOOST_TEST_CONTEXT("longest lease " << maxLease.count() << " ms, reading " << age.count() << " s old")
            {
                BOOST_TEST((longest <= maxLease + MarginOfWaits));
            }
        }
    }
}

// The owner before may have granted the longest lease just before the claim.
BOOST_FIXTURE_TEST_CASE(Where_targets_grant_long_leases_granted_jobs_wait_after_a_claim_until_all_leases_end_with_their_grants,
                        OtherLeasesFixture)
{
    constexpr Seconds LongLease {3};
    SchedulerLimits limits;
    limits.maxLease = LongLease;
    site = std::make_unique<Scheduler>(limits, port, observer);
    site->addTarget(entry("t9"), Token, now);
    answer({});
    const auto claimedAt = now;
    site->onGrant("e1", 5, {1, now + Milliseconds(900), ClaimCount, 1}, now);
    site->submit(jobOf("e1", "granted", 4000), now);
    while (port.starts.empty() && now < claimedAt + Seconds(5)) {
        now += Milliseconds(25);
        site->onGrant("e1", 5, {1, now + Milliseconds(900), ClaimCount, 1}, now);
        site->tick(now);
    }
    BOOST_TEST((now + Milliseconds(900) + LongestRunAfterGrant > claimedAt + LongLease));
    BOOST_TEST((now < claimedAt + LongLease - Milliseconds(1000)));
}

BOOST_AUTO_TEST_CASE(A_start_needs_a_reading_of_the_clock_of_the_last_ten_seconds)
{
    for (const auto age : {Milliseconds(9900), Milliseconds(10100)}) {
        GrantsOfTwoHostsFixture fixture;
        fixture.scheduler.tick(fixture.now);
        fixture.now += age;
        fixture.submit(fixture.job("j"));
        BOOST_TEST(fixture.port.starts.size() == (age < Seconds(10) ? 1U : 0U));
    }
}

BOOST_FIXTURE_TEST_CASE(Where_targets_grant_long_leases_runs_still_end_before_callers_come_again, OtherLeasesFixture)
{
    claimUnder(Seconds(3));
    site->submit(job("own", 1, 4000), now);
    BOOST_REQUIRE(port.starts.size() == 1);
    now += Milliseconds(20);
    answer({{port.starts[0].request.name, 10}});
    BOOST_TEST((longestLease("t9") == Seconds(1)));
    site->onGrant("e1", 5, {1, now + Milliseconds(800), ClaimCount, 1}, now);
    site->submit(jobOf("e1", "granted", 4000), now);
    BOOST_TEST(port.starts.size() == 2);
}

BOOST_AUTO_TEST_CASE(A_report_says_how_long_runs_outlast_their_grants)
{
    HostNodeFixture host;
    host.node.onFrame(HostNodeFixture::report("h2", 2, false), host.now);
    host.advance(Milliseconds(700));
    BOOST_REQUIRE(!host.port.frames.empty());
    const auto decoded = decodeFrame(encodeFrame(host.port.frames.back().second, host.now), host.now);
    BOOST_REQUIRE(decoded.has_value());
    BOOST_REQUIRE(decoded->report.has_value());
    BOOST_TEST((decoded->report->longestRunAfterGrant == LongestRunAfterGrant));
}

BOOST_AUTO_TEST_CASE(Jobs_of_a_dispatcher_of_an_earlier_version_wait_for_the_longest_lease)
{
    const auto maxLease = SchedulerLimits().maxLease;
    IssuedGrants grants;
    grants.onReport("h2", 2, 0, Duration(0), now);
    grants.renew("h2", 2, Milliseconds(900));
    const auto grantEnd = grants.endOf("h2", 2, 1);
    BOOST_TEST((grants.runsEndBy("h2", 2, 1, maxLease) > grantEnd + maxLease));
    grants.setLongestRunAfterGrant("h2", 2, LongestRunAfterGrant);
    BOOST_TEST((grants.runsEndBy("h2", 2, 1, maxLease) >= grantEnd + LongestRunAfterGrant));
    BOOST_TEST((grants.runsEndBy("h2", 2, 1, maxLease) < grantEnd + maxLease / 2));
}

// The end of a dispatcher ends its grants, but not the leases that it has sent under them.
BOOST_AUTO_TEST_CASE(Runs_of_a_dispatcher_that_has_ended_last_as_long_as_its_grant_would_have)
{
    const auto maxLease = SchedulerLimits().maxLease;
    IssuedGrants grants;
    grants.onReport("h2", 2, 0, Duration(0), now);
    grants.setLongestRunAfterGrant("h2", 2, LongestRunAfterGrant);
    grants.renew("h2", 2, Milliseconds(900));
    const auto grantEnd = grants.endOf("h2", 2, 1);
    grants.onEnded("h2", 2, now + Milliseconds(500));
    BOOST_TEST((grants.endOf("h2", 2, 1) == now + Milliseconds(500)));
    BOOST_TEST((grants.runsEndBy("h2", 2, 1, maxLease) >= grantEnd + LongestRunAfterGrant));
    grants.onEnded("h2", 2, now);
    BOOST_TEST((grants.runsEndBy("h2", 2, 1, maxLease) <= now + maxLease + Milliseconds(200)));
}

// Beside earlier versions a living process may be taken for ended until it counts again. Its jobs would be handed on at once from then on.
BOOST_AUTO_TEST_CASE(Grants_of_a_dispatcher_that_was_taken_for_ended_by_mistake_count_once_it_reports_again)
{
    const auto maxLease = SchedulerLimits().maxLease;
    for (const auto &announced : {std::optional<Duration>(), std::optional<Duration>(LongestRunAfterGrant)}) {
        IssuedGrants grants;
        grants.onReport("h2", 2, 0, Duration(0), now);
        grants.setLongestRunAfterGrant("h2", 2, announced);
        grants.onEnded("h2", 2, now);
        const auto countsAgainAt = now + Seconds(3);
        grants.onReport("h2", 2, 0, Seconds(3), countsAgainAt);
        grants.renew("h2", 2, Milliseconds(900));
        BOOST_TEST((grants.endOf("h2", 2, 1) >= countsAgainAt + Milliseconds(900)));
        BOOST_TEST((grants.runsEndBy("h2", 2, 1, maxLease) >= countsAgainAt + Milliseconds(900) + LongestRunAfterGrant));
    }
}

BOOST_AUTO_TEST_SUITE_END()
