#include "fleet/shutdownsequence.h"

#include <boost/test/unit_test.hpp>

using namespace Anvilcart;
using namespace Anvilcart::Fleet;

namespace
{
constexpr TimePoint Begin {std::chrono::hours(1)};
constexpr Seconds GracePeriod {6};

ShutdownStep stepAt(ShutdownSequence &sequence, std::int64_t ms, RemainingWork work)
{
    return sequence.next(work, GracePeriod, Begin + Milliseconds(ms));
}
} // namespace

BOOST_AUTO_TEST_SUITE(ShutdownSequenceSuite)

// Case hunt-3a24-19: the process ended 350 ms before its time, while a caller waited for the answer to its request.
BOOST_AUTO_TEST_CASE(A_process_does_not_end_while_a_request_is_unanswered_and_time_is_left)
{
    ShutdownSequence sequence;
    sequence.begin(Begin);
    BOOST_TEST((stepAt(sequence, 5250, {false, 1}) == ShutdownStep::Serve));
    BOOST_TEST((stepAt(sequence, 5325, {false, 1}) == ShutdownStep::AbandonJobs));
    BOOST_TEST((stepAt(sequence, 5350, {true, 1}) == ShutdownStep::Serve));
    BOOST_TEST((stepAt(sequence, 5800, {true, 1}) == ShutdownStep::Serve));
    BOOST_TEST((stepAt(sequence, 5825, {true, 0}) == ShutdownStep::End));
    BOOST_TEST((stepAt(sequence, 5850, {true, 0}) == ShutdownStep::Serve));
}

// A slow host reaches a step long after it was due.
BOOST_AUTO_TEST_CASE(A_late_process_answers_its_callers_before_it_ends)
{
    ShutdownSequence sequence;
    sequence.begin(Begin);
    BOOST_TEST((stepAt(sequence, 5750, {false, 3}) == ShutdownStep::AbandonJobs));
    BOOST_TEST((stepAt(sequence, 5775, {false, 3}) == ShutdownStep::Serve));
    BOOST_TEST((stepAt(sequence, 5950, {false, 3}) == ShutdownStep::End));
}

BOOST_AUTO_TEST_SUITE_END()
