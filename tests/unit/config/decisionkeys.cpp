#include "config/configurationerror.h"
#include "config/configurationparser.h"

#include <boost/leaf/handle_errors.hpp>
#include <boost/test/unit_test.hpp>

using namespace Anvilcart;
namespace leaf = boost::leaf;

BOOST_AUTO_TEST_SUITE(DecisionKeysSuite, *boost::unit_test::label("config"))

BOOST_AUTO_TEST_CASE(Every_key_of_the_decisions_is_read)
{
    const std::vector<ConfigurationFile> files = {
        {"base.yaml",
         "policy:\n  overtake_ms: 70\n"
         "health:\n  max_ejected_percent: 40\n  eject_at_failure_percent: 60\n  first_ejection_ms: 7\n"
         "  longest_ejection_ms: 8\n  stall_limit_ms: 9\n"
         "retries:\n  max_attempts: 3\n  budget_percent: 30\n  budget_burst: 5\n"},
        {"sites/fraser.yaml", "zone: fraser\nentry_hosts: 3\n"},
    };
    const auto configuration = leaf::try_handle_all(
        [&]() -> leaf::result<Configuration> {
            return parseConfiguration(files);
        },
        [] {
            return Configuration();
        });
    BOOST_TEST(configuration.policy.overtake.count() == 70);
    BOOST_TEST(configuration.health.maxEjectedPercent == 40);
    BOOST_TEST(configuration.health.ejectAtFailurePercent == 60);
    BOOST_TEST(configuration.health.firstEjection.count() == 7);
    BOOST_TEST(configuration.health.longestEjection.count() == 8);
    BOOST_TEST(configuration.health.stallLimit.count() == 9);
    BOOST_TEST(configuration.retries.maxAttempts == 3);
    BOOST_TEST(configuration.retries.budgetPercent == 30);
    BOOST_TEST(configuration.retries.budgetBurst == 5);
    BOOST_REQUIRE_EQUAL(configuration.zones.size(), 1);
    BOOST_TEST(configuration.zones[0].entryHosts == 3);
}

BOOST_AUTO_TEST_SUITE_END()
