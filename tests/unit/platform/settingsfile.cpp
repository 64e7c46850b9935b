#include "platform/settingsfile.h"

#include <boost/test/unit_test.hpp>

using namespace Anvilcart;
using namespace Anvilcart::Platform;

namespace
{
const std::string RequiredSettings = "node=h1\nzone=a\nlisten.front=127.0.0.1:1\nlisten.ready=127.0.0.1:2\nlisten.control=127.0.0.1:3\n"
                                     "platform.address=127.0.0.1:4\n";
} // namespace

BOOST_AUTO_TEST_SUITE(PlatformSettingsSuite, *boost::unit_test::label("platform"))

BOOST_AUTO_TEST_CASE(Unknown_keys_are_ignored)
{
    const auto result =
        parseSettings(RequiredSettings + "zones.b=south\nfuture.key=7\nbounds.grace_s=4.5\nseeds=127.0.0.1:9,127.0.0.2:9\n");
    BOOST_REQUIRE(result.settings.has_value());
    BOOST_TEST(result.settings->host == "h1");
    BOOST_TEST((result.settings->shutdownGracePeriod == Milliseconds(4500)));
    BOOST_TEST(result.settings->seeds.size() == 2);
    BOOST_TEST(result.settings->regionOfZone.at("b") == "south");
}

BOOST_AUTO_TEST_CASE(The_bound_of_evacuations_is_absent_where_zones_are_not_evacuated)
{
    BOOST_TEST(!parseSettings(RequiredSettings).settings->evacuationBound.has_value());
    BOOST_TEST((parseSettings(RequiredSettings + "bounds.evac_ms=5000\n").settings->evacuationBound == Milliseconds(5000)));
    BOOST_TEST(parseSettings(RequiredSettings + "bounds.evac_ms=soon\n").error.line == 7);
}

// A host that takes a restart for the first start would say of jobs that they have not run.
BOOST_AUTO_TEST_CASE(Only_a_setting_that_says_so_means_the_first_start_of_the_whole_system)
{
    BOOST_TEST(!parseSettings(RequiredSettings).settings->isFirstStart);
    BOOST_TEST(!parseSettings(RequiredSettings + "bootstrap=false\n").settings->isFirstStart);
    BOOST_TEST(parseSettings(RequiredSettings + "bootstrap=true\n").settings->isFirstStart);
    BOOST_TEST(parseSettings(RequiredSettings + "bootstrap=perhaps\n").error.message == "bootstrap is 'perhaps'; write true or false");
}

// Guards against waits that are weighed with another factor than the deployment's.
BOOST_AUTO_TEST_CASE(The_far_factor_comes_from_the_settings)
{
    BOOST_TEST(parseSettings(RequiredSettings).settings->farFactor == 1.5);
    BOOST_TEST(parseSettings(RequiredSettings + "bounds.far_x=3\n").settings->farFactor == 3);
    for (const std::string invalid : {"0.5", "nan", "inf", "far"}) {
        auto settings = RequiredSettings;
        settings.append("bounds.far_x=").append(invalid).append("\n");
        auto message = std::string("bounds.far_x is '");
        message.append(invalid).append("'; write a number of at least 1");
        BOOST_TEST(parseSettings(settings).error.message == message);
    }
}

BOOST_AUTO_TEST_CASE(An_error_states_its_line_and_the_expected_value)
{
    const auto address = parseSettings(RequiredSettings + "seeds=nowhere\n");
    BOOST_TEST(address.error.line == 7);
    BOOST_TEST(address.error.message == "seeds is 'nowhere'; write ADDRESS:PORT,...");
    const auto line = parseSettings("node\n");
    BOOST_TEST(line.error.message == "'node' has no '='; write KEY=VALUE");
    const auto missing = parseSettings("node=h1\n");
    BOOST_TEST(missing.error.message.find("is missing") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
