#include "hostnodefixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace Anvilcart;
using namespace Anvilcart::Fleet;

namespace
{
/// A host with a run on the target "gone", whose entry is not in the list any more, and an idle target "other". Two renewals of "gone" are
/// unanswered.
struct RestartOfRemovedTargetFixture : HostNodeFixture
{
    RestartOfRemovedTargetFixture()
    {
        claimTarget("gone");
        node.submit(job("j"), now);
        BOOST_REQUIRE(port.starts.size() == 1);
        run = port.starts[0].second.name;
        token = port.starts[0].second.fencingToken;
        TargetReply accepted;
        accepted.result = RequestResult::Accepted;
        accepted.fencingToken = token;
        accepted.clockMs = 1000 + std::chrono::duration_cast<Milliseconds>(now - Begin).count();
        node.onStartReply("gone", run, accepted, now);
        now += Milliseconds(5);
        answerRenewal("gone", {{run, 10}});
        listTargets({"other"});
        advance(TickPeriod);
        answerRenewal("other", {});
        lateReply = listingOfNewLife(replyToLastRenewal("gone"), {});
        restartReply = listingOfNewLife(replyToLastRenewal("gone"), {});
        lateReply.sequence = 0;
        BOOST_REQUIRE(lateReply.fencingToken == token);
    }

    RenewalReply listingOfNewLife(RenewalReply reply, const std::vector<ActiveRun> &running) const
    {
        reply.result = RequestResult::Accepted;
        reply.listing.clockMs = 10 + std::chrono::duration_cast<Milliseconds>(now - Begin).count();
        reply.listing.startedAtMs = 2;
        reply.listing.running = running;
        return reply;
    }

    std::size_t startsOn(const std::string &target) const
    {
        return static_cast<std::size_t>(std::count_if(port.starts.begin(), port.starts.end(), [&](const auto &start) {
            return start.first == target;
        }));
    }

    RunName run;
    std::uint64_t token = 0;
    RenewalReply restartReply;
    RenewalReply lateReply;
};
} // namespace

BOOST_FIXTURE_TEST_SUITE(RestartsOfRemovedTargetsSuite, RestartOfRemovedTargetFixture, *boost::unit_test::label("fleet"))

// A start under the earlier token may still be carried out, so that the task must not be started elsewhere.
BOOST_AUTO_TEST_CASE(A_late_listing_under_the_earlier_token_does_not_count_as_the_claim_of_a_restarted_target)
{
    node.onRenewalReply("gone", restartReply, now);
    now += Milliseconds(10);
    auto late = listingOfNewLife(lateReply, {});
    late.sequence = restartReply.sequence;
    late.sentAt = now - Milliseconds(5);
    node.onRenewalReply("gone", late, now);
    advance(TickPeriod);
    BOOST_TEST(startsOn("other") == 0);
}

// As the one above, for the answer to whatever was sent to the target since the restart was listed.
BOOST_AUTO_TEST_CASE(A_restarted_target_whose_entry_is_gone_gets_no_renewal_under_its_earlier_token)
{
    const auto sentBefore = port.renewals.size();
    node.onRenewalReply("gone", restartReply, now);
    advance(Seconds(1));
    BOOST_TEST(std::none_of(port.renewals.begin() + static_cast<std::ptrdiff_t>(sentBefore), port.renewals.end(), [&](const auto &renewal) {
        return renewal.first == "gone" && renewal.second.fencingToken == token;
    }));
}

BOOST_AUTO_TEST_CASE(A_task_that_the_restart_of_a_removed_target_has_ended_is_started_elsewhere_once_the_target_is_claimed_again)
{
    node.onRenewalReply("gone", restartReply, now);
    now += Milliseconds(3);
    const auto claim = replyToLastRenewal("gone");
    BOOST_REQUIRE(claim.fencingToken > token);
    node.onRenewalReply("gone", listingOfNewLife(claim, {}), now);
    advance(TickPeriod);
    BOOST_TEST(startsOn("other") == 1);
    BOOST_TEST(startsOn("gone") == 1);
}

// Its entry comes back before it has answered the claim.
BOOST_AUTO_TEST_CASE(A_restarted_target_that_registers_again_is_used_only_under_a_higher_token)
{
    node.onRenewalReply("gone", restartReply, now);
    listTargets({"gone", "other"});
    now += Milliseconds(3);
    const auto claim = replyToLastRenewal("gone");
    BOOST_REQUIRE(claim.fencingToken > token);
    node.onRenewalReply("gone", listingOfNewLife(claim, {}), now);
    advance(Milliseconds(100));
    BOOST_TEST(std::all_of(port.starts.begin() + 1, port.starts.end(), [&](const auto &start) {
        return start.first != "gone" || start.second.fencingToken > token;
    }));
}

BOOST_AUTO_TEST_SUITE_END()
