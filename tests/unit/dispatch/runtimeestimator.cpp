#include "dispatch/runtimeestimator.h"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/normal_distribution.hpp>
#include <boost/test/unit_test.hpp>

#include <cmath>

using namespace Anvilcart;

namespace
{
class EstimatorFixture
{
public:
    static TaskSpec task(const std::string &kind, Milliseconds declared)
    {
        TaskSpec spec;
        spec.kind = kind;
        spec.declaredRunTime = declared;
        return spec;
    }

    /// Learns count tasks with this median run time. Each declares its run time multiplied by factor; a factor of 0 declares none.
    void learn(const std::string &kind, double medianMs, double spread, double factor, int count)
    {
        boost::random::normal_distribution<double> normal(0, spread);
        for (int i = 0; i < count; ++i) {
            const double ms = medianMs * std::exp(normal(random));
            const auto declared = Milliseconds(static_cast<std::int64_t>(ms * factor));
            estimator.learn(task(kind, declared), std::chrono::microseconds(static_cast<std::int64_t>(ms * 1000)), now);
        }
    }

    double expectedMs(const TaskSpec &spec) const
    {
        return toMilliseconds(estimator.estimate(spec, now).expected);
    }

    TimePoint now = TimePoint() + Seconds(1000);
    RunTimeEstimator estimator;
    boost::random::mt19937 random {1};
};
} // namespace

BOOST_FIXTURE_TEST_SUITE(RunTimeEstimatorSuite, EstimatorFixture, *boost::unit_test::label("dispatch"))

BOOST_AUTO_TEST_CASE(Before_any_task_has_run_the_declared_time_is_the_estimate)
{
    BOOST_TEST(expectedMs(task("check", Milliseconds(70))) == 70);
    BOOST_TEST(estimator.estimate(task("check", Milliseconds(70)), now).lowerBound.count() == 0);
}

BOOST_AUTO_TEST_CASE(A_declared_time_ten_times_too_short_is_corrected)
{
    learn("check", 200, 0.7, 0.1, 200);
    BOOST_TEST(expectedMs(task("check", Milliseconds(20))) == 200, boost::test_tools::tolerance(0.1));
    BOOST_TEST(expectedMs(task("check", Milliseconds(100))) == 1000, boost::test_tools::tolerance(0.1));
}

BOOST_AUTO_TEST_CASE(A_declared_time_ten_times_too_long_is_corrected)
{
    learn("check", 200, 0.7, 10, 200);
    BOOST_TEST(expectedMs(task("check", Milliseconds(2000))) == 200, boost::test_tools::tolerance(0.1));
}

BOOST_AUTO_TEST_CASE(A_kind_without_declared_times_is_learned_from_its_run_times)
{
    learn("check", 200, 0.7, 0, 2000);
    const double mean = 200 * std::exp(0.7 * 0.7 / 2);
    BOOST_TEST(expectedMs(task("check", Milliseconds(0))) == mean, boost::test_tools::tolerance(0.25));
}

BOOST_AUTO_TEST_CASE(Inconsistent_declared_times_count_less_than_measured_times)
{
    for (int i = 0; i < 100; ++i) {
        estimator.learn(task("check", Milliseconds(i % 2 == 0 ? 1 : 10000)), Milliseconds(100), now);
    }
    BOOST_TEST(expectedMs(task("check", Milliseconds(10000))) == 100, boost::test_tools::tolerance(0.05));
}

BOOST_AUTO_TEST_CASE(A_kind_whose_run_time_changes_is_relearned)
{
    learn("check", 50, 0.1, 0, 500);
    learn("check", 500, 0.1, 0, 400);
    BOOST_TEST(expectedMs(task("check", Milliseconds(0))) == 500, boost::test_tools::tolerance(0.15));
}

BOOST_AUTO_TEST_CASE(An_outdated_estimate_has_no_lower_bound)
{
    learn("check", 1000, 0.1, 0, 100);
    BOOST_TEST(toMilliseconds(estimator.estimate(task("check", Milliseconds(0)), now).lowerBound) > 800);
    now += Seconds(31);
    BOOST_TEST(estimator.estimate(task("check", Milliseconds(0)), now).lowerBound.count() == 0);
}

BOOST_AUTO_TEST_CASE(An_unknown_kind_is_estimated_by_the_mean_of_all_kinds)
{
    learn("check", 1000, 0.1, 0, 100);
    BOOST_TEST(expectedMs(task("stamp", Milliseconds(0))) == 1000, boost::test_tools::tolerance(0.1));
}

BOOST_AUTO_TEST_SUITE_END()
