#include "dispatchfixture.h"

#include <boost/test/unit_test.hpp>

using namespace Anvilcart;

namespace
{
/// Reports the outcome of every start: one broken target fails all tasks, the others finish them.
class HealthFixture : public DispatchFixture
{
public:
    /// Submits a job with one task and reports its outcome. Returns the target that the task was sent to.
    TargetIndex runOne(TargetIndex broken)
    {
        submit(makeJob("j" + std::to_string(m_jobs++), 1));
        const auto target = port.started.at(m_answered).target;
        if (target == broken) {
            report(m_answered++, TaskRanAndFailed {"broken"});
        } else {
            finish(m_answered++);
        }
        return target;
    }

    /// Runs this number of jobs and returns how many of them the broken target got.
    int countAt(TargetIndex broken, int jobs)
    {
        int count = 0;
        for (int i = 0; i < jobs; ++i) {
            count += runOne(broken) == broken ? 1 : 0;
        }
        return count;
    }

private:
    std::size_t m_answered = 0;
    int m_jobs = 0;
};
} // namespace

BOOST_FIXTURE_TEST_SUITE(TargetHealthSuite, HealthFixture, *boost::unit_test::label("dispatch"))

BOOST_AUTO_TEST_CASE(A_target_that_fails_everything_fast_is_ejected_after_a_few_jobs)
{
    configure(4, 2);
    BOOST_TEST(countAt(0, 200) == 4);
    BOOST_TEST(observer.ejections[EjectionReason::FailureRatio] == 1);
}

BOOST_AUTO_TEST_CASE(An_ejected_target_returns_with_one_task_and_is_ejected_longer_if_it_fails)
{
    configure(4, 2);
    countAt(0, 50);
    advance(Milliseconds(1001));
    BOOST_TEST(countAt(0, 50) == 1);
    advance(Milliseconds(1001));
    BOOST_TEST(countAt(0, 50) == 0);
    advance(Milliseconds(1001));
    BOOST_TEST(countAt(0, 50) == 1);
    BOOST_TEST(observer.ejections[EjectionReason::ProbeFailed] == 2);
}

BOOST_AUTO_TEST_CASE(A_recovered_target_gets_one_task_then_twice_as_many)
{
    configure(4, 4);
    countAt(0, 50);
    const auto before = port.started.size();
    advance(Milliseconds(1001));
    submit(makeJob("wide", 16));
    std::size_t probe = 0;
    int probes = 0;
    for (auto i = before; i < port.started.size(); ++i) {
        probe = port.started[i].target == 0 ? i : probe;
        probes += port.started[i].target == 0 ? 1 : 0;
    }
    BOOST_TEST(probes == 1);
    const auto after = port.started.size();
    finish(probe);
    BOOST_TEST(port.started.size() == after + 2);
}

BOOST_AUTO_TEST_CASE(Jobs_that_fail_everywhere_eject_no_target)
{
    configure(4, 2);
    for (int i = 0; i < 100; ++i) {
        submit(makeJob("bad" + std::to_string(i), 4));
        const auto last = port.started.size();
        for (auto start = last - 4; start < last; ++start) {
            report(start, TaskRanAndFailed {"bad input"});
        }
    }
    BOOST_TEST(observer.ejections.empty());
}

BOOST_AUTO_TEST_CASE(No_more_than_the_configured_share_of_a_zone_is_ejected_at_once)
{
    configure(4, 1);
    submit(makeJob("hang", 4));
    advance(Milliseconds(10001));
    BOOST_TEST(observer.ejections[EjectionReason::Stalled] == 1);
    BOOST_TEST(dispatcher.slots().freeSlots(now) == 0);
}

BOOST_AUTO_TEST_CASE(A_target_that_hangs_gets_no_new_task)
{
    configure(4, 2);
    auto job = makeJob("hang", 1);
    job.deadline = Seconds(60);
    submit(job);
    const auto hung = port.started[0].target;
    advance(Milliseconds(10001));
    submit(makeJob("wide", 6));
    BOOST_REQUIRE_EQUAL(port.started.size(), 7);
    for (std::size_t i = 1; i < 7; ++i) {
        BOOST_TEST(port.started[i].target != hung);
    }
}

BOOST_AUTO_TEST_CASE(A_target_that_cannot_be_reached_is_retried_after_growing_pauses)
{
    configure(1, 2);
    auto job = makeJob("a", 1);
    job.deadline = Seconds(60);
    submit(job);
    report(0, TaskNotStarted {NotStartedReason::ConnectFailed});
    advance(Milliseconds(1001));
    BOOST_REQUIRE_EQUAL(port.started.size(), 2);
    report(1, TaskNotStarted {NotStartedReason::ConnectFailed});
    advance(Milliseconds(1001));
    BOOST_TEST(port.started.size() == 2);
    advance(Milliseconds(1001));
    BOOST_TEST(port.started.size() == 3);
    BOOST_TEST(observer.ejections[EjectionReason::ConnectFailed] == 2);
}

BOOST_AUTO_TEST_SUITE_END()
