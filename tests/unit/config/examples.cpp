#include "config/configurationerror.h"
#include "config/configurationparser.h"
#include "config/settings.h"

#include <boost/leaf/handle_errors.hpp>
#include <boost/test/unit_test.hpp>

#include <fstream>
#include <set>
#include <sstream>

using namespace Anvilcart;
namespace leaf = boost::leaf;

namespace
{
const std::string Examples = std::string(ANVILCART_SOURCE) + "/examples/";

Configuration parseExample(const std::string &name)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<Configuration> {
            BOOST_LEAF_AUTO(files, readConfigurationFiles(Examples + name));
            return parseConfiguration(files);
        },
        [](const ConfigurationError &error) -> Configuration {
            BOOST_FAIL(toLine(error.mistakes.front()));
            return {};
        },
        []() -> Configuration {
            BOOST_FAIL("unexpected error");
            return {};
        });
}

std::set<std::string> zonesOf(const Configuration &configuration)
{
    std::set<std::string> zones;
    for (const auto &target : configuration.targets) {
        zones.insert(target.zone);
    }
    return zones;
}

void checkSizes(const Configuration &configuration, std::uint32_t cpus)
{
    BOOST_TEST(configuration.targets.size() == 50);
    for (const auto &target : configuration.targets) {
        BOOST_TEST(target.slots == 8);
        BOOST_TEST(target.connections == 64);
        BOOST_TEST(target.capacity.cpus == cpus);
        BOOST_TEST(target.capacity.memoryMb == 131072);
        BOOST_TEST(!target.rack.empty());
    }
}
} // namespace

BOOST_AUTO_TEST_SUITE(ExamplesSuite, *boost::unit_test::label("config"))

BOOST_AUTO_TEST_CASE(The_example_of_the_society_is_complete_and_has_todays_sizes)
{
    const auto configuration = parseExample("society");
    checkSizes(configuration, 32);
    BOOST_TEST((zonesOf(configuration) == std::set<std::string> {"fraser", "island", "sunshine"}));
}

BOOST_AUTO_TEST_CASE(The_example_of_kavango_is_complete_and_has_todays_sizes)
{
    const auto configuration = parseExample("kavango");
    checkSizes(configuration, 64);
    BOOST_TEST((zonesOf(configuration) == std::set<std::string> {"okahandja", "rehoboth", "windhoek-north"}));
}

BOOST_AUTO_TEST_CASE(The_example_settings_have_no_mistakes)
{
    const std::ifstream stream(Examples + "entry-fraser-1.yaml");
    std::ostringstream content;
    content << stream.rdbuf();
    const bool good = leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_CHECK(parseSettings(content.str(), "entry-fraser-1.yaml"));
            return true;
        },
        [] {
            return false;
        });
    BOOST_TEST(good);
}

BOOST_AUTO_TEST_SUITE_END()
