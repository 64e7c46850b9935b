#include "config/configurationdiff.h"
#include "config/configurationmerge.h"

#include <boost/test/unit_test.hpp>

using namespace Anvilcart;

namespace
{
TargetSpec targetOf(const std::string &zone, const std::string &name, std::uint32_t slots = 8)
{
    TargetSpec target;
    target.zone = zone;
    target.name = name;
    target.slots = slots;
    return target;
}

Configuration twoZones()
{
    Configuration configuration;
    configuration.teams = {{"field", 10}};
    configuration.targets = {targetOf("fraser", "f1"), targetOf("fraser", "f2"), targetOf("island", "i1")};
    return configuration;
}
} // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationDiffSuite, *boost::unit_test::label("config"))

BOOST_AUTO_TEST_CASE(Changes_are_told_for_each_availability_zone)
{
    auto after = twoZones();
    after.limits.maxQueuedTasks = 7;
    after.targets[2].slots = 4;
    const auto changes = describeChanges(twoZones(), after);
    BOOST_REQUIRE_EQUAL(changes.size(), 2);
    BOOST_TEST(changes[0].zone.empty());
    BOOST_TEST(changes[0].lines == std::vector<std::string> {"limits.max_queued_tasks: 20000 -> 7"}, boost::test_tools::per_element());
    BOOST_TEST(changes[1].zone == "island");
    BOOST_TEST(changes[1].lines == (std::vector<std::string> {"slots: 8 -> 4", "target i1 slots: 8 -> 4"}),
               boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(A_change_that_stops_a_site_or_a_team_is_named_and_a_small_one_is_not)
{
    auto withoutIsland = twoZones();
    withoutIsland.targets.pop_back();
    BOOST_TEST(stoppingChanges(twoZones(), withoutIsland).size() == 1);
    auto withoutTeam = twoZones();
    withoutTeam.teams.clear();
    BOOST_TEST(stoppingChanges(twoZones(), withoutTeam).size() == 1);
    auto shrunk = twoZones();
    shrunk.targets[0].slots = 1;
    shrunk.targets[1].slots = 1;
    BOOST_TEST(stoppingChanges(twoZones(), shrunk).size() == 1);
    auto half = twoZones();
    half.targets.erase(half.targets.begin());
    BOOST_TEST(stoppingChanges(twoZones(), half).empty());
    BOOST_TEST(stoppingChanges(Configuration(), Configuration()).size() == 1);
}

BOOST_AUTO_TEST_CASE(Changed_lines_are_shown_with_what_was_there_before)
{
    BOOST_TEST(changedLines("a\nb\nc\n", "a\nx\nc\nd\n") == (std::vector<std::string> {"- b", "+ x", "+ d"}),
               boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(Edits_of_different_files_are_put_together)
{
    const std::vector<ConfigurationFile> base = {{"a", "1"}, {"b", "1"}, {"c", "1"}};
    const auto merged = mergeFiles(base, {{"a", "2"}, {"b", "1"}, {"c", "1"}}, {{"a", "1"}, {"b", "2"}});
    BOOST_TEST(merged.conflicts.empty());
    BOOST_TEST((merged.files == std::vector<ConfigurationFile> {{"a", "2"}, {"b", "2"}}));
    BOOST_TEST(merged.takenOver == (std::vector<std::string> {"b", "c"}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(Different_edits_of_one_file_are_a_conflict_and_equal_ones_are_not)
{
    const std::vector<ConfigurationFile> base = {{"a", "1"}};
    BOOST_TEST(mergeFiles(base, {{"a", "2"}}, {{"a", "3"}}).conflicts.size() == 1);
    BOOST_TEST(mergeFiles(base, {{"a", "2"}}, {}).conflicts.size() == 1);
    BOOST_TEST(mergeFiles(base, {{"a", "2"}}, {{"a", "2"}}).conflicts.empty());
}

BOOST_AUTO_TEST_SUITE_END()
