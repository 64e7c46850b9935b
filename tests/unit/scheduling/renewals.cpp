#include "scheduling/scheduler.h"

#include "schedulerfixture.h"

#include <boost/test/unit_test.hpp>

using namespace Anvilcart;
using namespace Anvilcart::Fleet;

BOOST_FIXTURE_TEST_SUITE(RenewalsSuite, SchedulerFixture, *boost::unit_test::label("scheduling"))

// A target that was given up while its claim was on its way, and claimed again under the same token, had two renewals in flight. After a
// pause, the host read their replies as if both answered the later one, and started a confirmed run a second time.
BOOST_AUTO_TEST_CASE(A_reply_to_an_earlier_renewal_does_not_end_a_run_that_was_confirmed_meanwhile)
{
    scheduler.addTarget(entry("t1"), Token, now);
    const auto earlierClaim = lastRenewal("t1");
    scheduler.retireTarget("t1");
    scheduler.addTarget(entry("t1"), Token, now);
    answerRenewal("t1", {});
    claimTarget("t2", 14000);
    submit(job("j1", 1, 15000));
    answerStart(0);
    const auto poll = lastRenewal("t1");
    now += Milliseconds(20);
    submit(job("j2", 1, 15000));
    BOOST_REQUIRE(port.starts.size() == 2);
    const std::vector<ActiveRun> listedBeforeSecondStart {{port.starts[0].request.name, 10}};
    scheduler.updateTarget(entry("t2"));
    now += Milliseconds(5);
    answerStart(1);
    now += Milliseconds(1);
    answerRenewal("t1", earlierClaim, listedBeforeSecondStart);
    now += Milliseconds(1);
    answerRenewal("t1", poll, listedBeforeSecondStart);
    BOOST_TEST(port.starts.size() == 2);
    BOOST_TEST(scheduler.runCount() == 2);
}

BOOST_AUTO_TEST_SUITE_END()
