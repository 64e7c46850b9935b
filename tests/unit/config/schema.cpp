#include "config/schema.h"
#include "config/configuration.h"
#include "config/configurationerror.h"
#include "config/configurationparser.h"
#include "verbs/settingspage.h"

#include <boost/leaf/handle_errors.hpp>
#include <boost/test/unit_test.hpp>

#include <fstream>
#include <sstream>

using namespace Anvilcart;
namespace leaf = boost::leaf;

namespace
{
std::vector<ConfigurationMistake> mistakesOf(const std::string &base, const std::string &overlay)
{
    using Mistakes = std::vector<ConfigurationMistake>;
    return leaf::try_handle_all(
        [&]() -> leaf::result<Mistakes> {
            BOOST_LEAF_CHECK(parseConfiguration({{"base.yaml", base}, {"sites/a.yaml", overlay}}));
            return Mistakes();
        },
        [](const ConfigurationError &error) {
            return error.mistakes;
        },
        [] {
            return Mistakes();
        });
}
} // namespace

BOOST_AUTO_TEST_SUITE(SchemaSuite, *boost::unit_test::label("config"))

BOOST_AUTO_TEST_CASE(The_committed_page_of_settings_is_the_one_that_the_table_gives)
{
    const std::ifstream stream(std::string(ANVILCART_SOURCE) + "/docs/SETTINGS.md");
    std::ostringstream page;
    page << stream.rdbuf();
    BOOST_TEST(page.str() == settingsPage(), "renew it with: build/anvilcart check --reference > docs/SETTINGS.md");
}

BOOST_AUTO_TEST_CASE(Files_that_set_nothing_give_the_defaults_of_the_program)
{
    const auto parsed = leaf::try_handle_all(
        []() -> leaf::result<Configuration> {
            return parseConfiguration({{"base.yaml", ""}, {"sites/a.yaml", "zone: a\ntargets: [{name: x, address: '127.0.0.1:1'}]"}});
        },
        [] {
            return Configuration();
        });
    const Configuration defaults;
    BOOST_TEST(parsed.limits.maxTasksPerJob == defaults.limits.maxTasksPerJob);
    BOOST_TEST(parsed.limits.maxQueuedTasks == defaults.limits.maxQueuedTasks);
    BOOST_TEST(parsed.limits.defaultDeadline.count() == defaults.limits.defaultDeadline.count());
    BOOST_TEST(parsed.limits.maxDeadline.count() == defaults.limits.maxDeadline.count());
    BOOST_TEST((parsed.policy.queueOrder == defaults.policy.queueOrder));
    BOOST_TEST((parsed.policy.slotSharing == defaults.policy.slotSharing));
    BOOST_REQUIRE_EQUAL(parsed.targets.size(), 1);
    BOOST_TEST(parsed.targets[0].slots == TargetSpec().slots);
    BOOST_TEST(parsed.targets[0].connections == TargetSpec().connections);
}

BOOST_AUTO_TEST_CASE(A_key_with_a_typo_is_reported_with_the_nearest_known_one)
{
    const auto mistakes = mistakesOf("limits:\n  max_queued_task: 5\n", "zone: a\n");
    BOOST_REQUIRE_EQUAL(mistakes.size(), 1);
    BOOST_TEST(mistakes[0].advice.starts_with("did you mean 'max_queued_tasks'?"));
    BOOST_TEST(nearestName("colour", {"slots", "cpus"}).empty());
}

BOOST_AUTO_TEST_CASE(What_stands_twice_is_reported_at_the_second_place)
{
    const auto mistakes = mistakesOf("teams:\n  - name: a\n  - name: a\nteams: []\n",
                                     "zone: a\ntargets:\n  - name: x\n    address: 127.0.0.1:1\n  - name: x\n    address: 127.0.0.1:1\n");
    BOOST_REQUIRE_EQUAL(mistakes.size(), 4);
    BOOST_TEST(toLine(mistakes[0]).starts_with("base.yaml:3: 'name' is a,"));
    BOOST_TEST(toLine(mistakes[1]).starts_with("base.yaml:4: the key 'teams' stands twice"));
    BOOST_TEST(toLine(mistakes[2]).starts_with("sites/a.yaml:5: 'name' is x,"));
    BOOST_TEST(toLine(mistakes[3]).starts_with("sites/a.yaml:6: 'address' is 127.0.0.1:1,"));
}

BOOST_AUTO_TEST_CASE(A_key_is_found_by_its_path_or_its_last_name)
{
    BOOST_TEST(findKeys("limits.max_queued_tasks").size() == 1);
    BOOST_TEST(findKeys("slots").size() == 2);
    BOOST_TEST(keyPage(*findKeys("drain_limit_s").front()).find("from 1 to 3600") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
