#include "hostnodefixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

using namespace Anvilcart;
using namespace Anvilcart::Fleet;

namespace
{
/// Callers whose connections have closed unnoticed come again over another host after this time.
constexpr Milliseconds ResubmitDelay {1300};

/// A host that dispatches to the target t1, whose callers leave without that being reported.
struct DepartedCallersFixture : HostNodeFixture
{
    /// Jobs of which a run was stopped.
    std::vector<std::string> stoppedJobs() const
    {
        std::vector<std::string> ids;
        for (const auto &[target, request] : port.stops) {
            ids.push_back(request.name.task.jobId);
        }
        return ids;
    }

    void acceptStarts()
    {
        for (const auto &[target, request] : port.starts) {
            TargetReply reply;
            reply.result = RequestResult::Accepted;
            reply.fencingToken = request.fencingToken;
            node.onStartReply(target, request.name, reply, now);
            m_running.push_back({request.name});
        }
        port.starts.clear();
    }

    /// Advances the clock while the target answers renewals and stops are lost. Returns the end of the longest lease that was requested.
    std::int64_t longestLeaseWhileStopsAreLost(Duration time)
    {
        std::int64_t longest = 0;
        // Each answer is followed by the next renewal, which must stay to be answered.
        auto seen = port.renewals.size();
        for (const auto end = now + time; now < end;) {
            advance(TickPeriod);
            answerRenewal("t1", m_running);
            for (; seen < port.renewals.size(); ++seen) {
                longest = std::max(longest, port.renewals[seen].second.leaseUntilMs);
            }
        }
        return longest;
    }

    std::int64_t targetClockMs() const
    {
        return 1000 + std::chrono::duration_cast<Milliseconds>(now - Begin).count();
    }

    std::vector<ActiveRun> m_running;
};

/// True if some frame from this index on cancels the job, before any that grants.
bool isCancelledBeforeNextGrant(const FakeHostPort &port, std::size_t first, const std::string &jobId)
{
    for (std::size_t index = first; index < port.frames.size(); ++index) {
        const auto &frame = port.frames[index].second;
        const bool cancels = std::any_of(frame.cancellations.begin(), frame.cancellations.end(), [&](const JobCancellation &cancellation) {
            return cancellation.jobId == jobId;
        });
        if (cancels || frame.grant) {
            return cancels;
        }
    }
    return false;
}
} // namespace

BOOST_FIXTURE_TEST_SUITE(DepartedCallersSuite, DepartedCallersFixture, *boost::unit_test::label("fleet"))

// Issue 51: the caller had sent the job again over another host, which had started it.
BOOST_AUTO_TEST_CASE(A_job_that_is_read_after_its_caller_has_gone_is_not_started)
{
    claimTarget("t1");
    port.disconnectedCallers.insert("j");
    node.submit(job("j"), now);
    advance(Seconds(1));
    BOOST_TEST(port.starts.empty());
    BOOST_TEST(!node.hasWaitingCaller("j"));
    BOOST_TEST((port.answers.at("j").answer == CallerAnswer::Unknown));
}

BOOST_AUTO_TEST_CASE(A_job_whose_caller_goes_while_it_waits_for_a_dispatcher_is_sent_to_none)
{
    node.submit(job("j"), now);
    port.disconnectedCallers.insert("j");
    node.onFrame(report("h2", 2, true), now);
    advance(Milliseconds(100));
    BOOST_TEST(std::none_of(port.frames.begin(), port.frames.end(), [](const auto &sent) {
        return !sent.second.submissions.empty();
    }));
}

BOOST_AUTO_TEST_CASE(The_runs_of_a_caller_who_has_gone_unnoticed_are_stopped_by_its_own_host)
{
    claimTarget("t1");
    node.submit(job("j"), now);
    acceptStarts();
    port.disconnectedCallers.insert("j");
    advance(Milliseconds(225));
    BOOST_TEST(stoppedJobs() == std::vector<std::string> {"j"}, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(Leases_end_before_a_departed_caller_comes_again_though_stops_are_lost_and_another_run_goes_on)
{
    claimTarget("t1");
    advance(Seconds(2));
    answerRenewal("t1", {});
    node.submit(job("j"), now);
    node.submit(job("k"), now);
    BOOST_TEST_REQUIRE(port.starts.size() == 2);
    acceptStarts();
    longestLeaseWhileStopsAreLost(Milliseconds(300));
    port.disconnectedCallers.insert("j");
    const auto goneAtMs = targetClockMs();
    const auto longest = longestLeaseWhileStopsAreLost(Seconds(2));
    BOOST_TEST(longest > goneAtMs);
    BOOST_TEST(longest < goneAtMs + ResubmitDelay.count());
}

BOOST_AUTO_TEST_CASE(A_grant_that_counts_from_a_report_follows_a_look_at_the_callers)
{
    node.onFrame(report("h2", 2, true), now);
    node.submit(job("j"), now);
    advance(Milliseconds(100));
    port.disconnectedCallers.insert("j");
    const auto sentBefore = port.frames.size();
    auto next = report("h2", 2, true);
    next.sentAt = Milliseconds(100);
    node.onFrame(next, now);
    advance(Milliseconds(300));
    BOOST_TEST(isCancelledBeforeNextGrant(port, sentBefore, "j"));
}

BOOST_AUTO_TEST_CASE(A_grant_on_request_follows_a_look_at_the_callers)
{
    node.onFrame(report("h2", 2, true), now);
    node.submit(job("j"), now);
    advance(Milliseconds(100));
    port.disconnectedCallers.insert("j");
    const auto sentBefore = port.frames.size();
    FleetFrame request;
    request.host = "h2";
    request.incarnation = 2;
    request.sentAt = Milliseconds(100);
    request.requestsGrant = true;
    node.onFrame(request, now);
    BOOST_TEST(isCancelledBeforeNextGrant(port, sentBefore, "j"));
}

/// An entry host whose only dispatcher is h2.
struct GrantsFromFramesFixture : DepartedCallersFixture
{
    GrantsFromFramesFixture()
    {
        auto first = report("h2", 2, true);
        first.report->longestRunAfterGrant = LongestRunAfterGrant;
        node.onFrame(first, now);
        node.submit(job("j"), now);
    }

    /// The dispatcher sends a frame that neither reports nor asks for a grant.
    void receiveFrameSentAt(Duration sentAt)
    {
        FleetFrame frame;
        frame.host = "h2";
        frame.incarnation = 2;
        frame.sentAt = sentAt;
        node.onFrame(frame, now);
    }

    /// When the last grant that was sent ends.
    TimePoint lastGrantEnd() const
    {
        for (auto sent = port.frames.rbegin(); sent != port.frames.rend(); ++sent) {
            if (sent->second.grant) {
                return sent->second.grant->until;
            }
        }
        return TimePoint();
    }
};

BOOST_FIXTURE_TEST_CASE(A_grant_counts_from_a_frame_after_which_the_callers_were_seen, GrantsFromFramesFixture)
{
    const auto granted = lastGrantEnd();
    BOOST_TEST_REQUIRE((granted != TimePoint()));
    advance(Milliseconds(125));
    port.disconnectedCallers.insert("j");
    receiveFrameSentAt(Milliseconds(125));
    BOOST_TEST(!node.hasWaitingCaller("j"));
    node.submit(job("k"), now);
    BOOST_TEST((lastGrantEnd() == granted + Milliseconds(125)));
}

BOOST_FIXTURE_TEST_CASE(A_grant_does_not_count_from_a_frame_after_which_the_callers_were_not_seen, GrantsFromFramesFixture)
{
    const auto granted = lastGrantEnd();
    advance(Milliseconds(75));
    port.disconnectedCallers.insert("j");
    receiveFrameSentAt(Milliseconds(75));
    BOOST_TEST(node.hasWaitingCaller("j"));
    node.submit(job("k"), now);
    BOOST_TEST((lastGrantEnd() == granted));
}

// The dispatcher h2 names h3 as the better one.
BOOST_FIXTURE_TEST_CASE(A_redirected_job_whose_caller_has_gone_is_not_submitted_to_the_next_dispatcher, HostNodeFixture)
{
    node.onFrame(report("h2", 2, true), now);
    node.submit(job("j"), now);
    node.onFrame(report("h3", 3, true), now);
    port.disconnectedCallers.insert("j");
    const auto sentBefore = port.frames.size();
    std::uint64_t number = 0;
    for (const auto &[endpoint, sent] : port.frames) {
        for (const auto &submission : sent.submissions) {
            number = submission.number;
        }
    }
    FleetFrame refusal;
    refusal.host = "h2";
    refusal.incarnation = 2;
    JobEndNotice notice;
    notice.jobId = "j";
    notice.submissionNumber = number;
    notice.result.end = JobEnd::NotRun;
    notice.result.reason = JobEndReason::BetterElsewhere;
    notice.result.preferredDispatcher = "h3";
    refusal.ended.push_back(notice);
    node.onFrame(refusal, now);
    BOOST_TEST(std::none_of(port.frames.begin() + static_cast<std::ptrdiff_t>(sentBefore), port.frames.end(), [](const auto &sent) {
        return !sent.second.submissions.empty();
    }));
}

// A suspension that the steady clock does not count: own jobs must not wait for the rest of the period.
BOOST_FIXTURE_TEST_CASE(After_a_suspension_own_jobs_start_as_soon_as_the_callers_were_looked_at, HostNodeFixture)
{
    claimTarget("t1");
    advance(Seconds(2));
    answerRenewal("t1", {});
    node.onTimeGap(Seconds(3), now);
    now += Milliseconds(1);
    node.submit(job("j"), now);
    BOOST_TEST(port.starts.size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
