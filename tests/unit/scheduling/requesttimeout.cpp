#include "scheduling/requesttimeout.h"
#include "workload/targetcalls.h"

#include <boost/test/unit_test.hpp>

using namespace Anvilcart;
using namespace Anvilcart::Fleet;

BOOST_AUTO_TEST_SUITE(RequestTimeoutSuite, *boost::unit_test::label("scheduling"))

BOOST_AUTO_TEST_CASE(Fast_replies_keep_the_shortest_timeout)
{
    RequestTimeout timeout;
    for (int reply = 0; reply < 100; ++reply) {
        timeout.onReply(TimePoint(), TimePoint(Milliseconds(3)));
    }
    BOOST_TEST((timeout.value() == TargetRequestTimeout));
}

// A link of 2 Mbit/s takes 80 ms for the eight starts of one job.
BOOST_AUTO_TEST_CASE(On_a_slow_link_the_timeout_exceeds_the_round_trip_after_a_few_requests)
{
    constexpr Milliseconds RoundTrip {80};
    RequestTimeout timeout;
    int unanswered = 0;
    TimePoint sentAt;
    for (int request = 0; request < 100; ++request) {
        if (timeout.value() < RoundTrip) {
            timeout.onTimeout(sentAt);
            ++unanswered;
        } else {
            timeout.onReply(sentAt, sentAt + RoundTrip);
        }
        sentAt += RoundTrip;
    }
    BOOST_TEST(unanswered < 10);
    BOOST_TEST((timeout.value() > RoundTrip));
}

BOOST_AUTO_TEST_CASE(Targets_that_answer_nothing_raise_the_timeout_to_a_limit_below_the_first_lease)
{
    RequestTimeout timeout;
    for (int request = 0; request < 100; ++request) {
        timeout.onTimeout(TimePoint(Milliseconds(request)));
    }
    BOOST_TEST((timeout.value() <= Milliseconds(250)));
    BOOST_TEST((timeout.value() > TargetRequestTimeout));
}

// applied_late: 1 of 18 requests is carried out seconds later and never answered.
BOOST_AUTO_TEST_CASE(Single_lost_replies_do_not_delay_the_follow_up_of_others)
{
    RequestTimeout timeout;
    for (int request = 1; request <= 1000; ++request) {
        const TimePoint sentAt {Milliseconds(100) * request};
        request % 18 == 0 ? timeout.onTimeout(sentAt) : timeout.onReply(sentAt, sentAt + Milliseconds(3));
    }
    BOOST_TEST((timeout.value() == TargetRequestTimeout));
}

// Issue 29: the starts of one job go out together, and those of them that are lost time out one after the other.
BOOST_AUTO_TEST_CASE(Replies_lost_among_requests_in_parallel_do_not_raise_the_timeout)
{
    constexpr int JobCount = 100;
    RequestTimeout timeout;
    for (int job = 0; job < JobCount; ++job) {
        const TimePoint sentAt {Milliseconds(100) * job};
        for (int task = 0; task < 5; ++task) {
            timeout.onReply(sentAt, sentAt + Milliseconds(3));
        }
        for (int task = 0; task < 3; ++task) {
            timeout.onTimeout(sentAt);
        }
    }
    BOOST_TEST((timeout.value() == TargetRequestTimeout));
}

BOOST_AUTO_TEST_SUITE_END()
