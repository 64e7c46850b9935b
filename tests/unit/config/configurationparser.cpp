#include "config/configurationparser.h"

#include "config/configurationerror.h"

#include <boost/leaf/handle_errors.hpp>
#include <boost/test/unit_test.hpp>

using namespace Anvilcart;
namespace leaf = boost::leaf;

namespace
{
std::vector<std::string> mistakesOf(const std::vector<ConfigurationFile> &files)
{
    using Lines = std::vector<std::string>;
    return leaf::try_handle_all(
        [&]() -> leaf::result<Lines> {
            BOOST_LEAF_CHECK(parseConfiguration(files));
            return Lines();
        },
        [](const ConfigurationError &error) {
            Lines lines;
            for (const auto &mistake : error.mistakes) {
                lines.push_back(toLine(mistake));
            }
            return lines;
        },
        [] {
            return Lines {"unexpected error"};
        });
}
} // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationParserSuite, *boost::unit_test::label("config"))

BOOST_AUTO_TEST_CASE(A_well_formed_set_has_no_mistakes)
{
    const auto lines = mistakesOf({{"base.yaml", "teams:\n  - name: field\n"},
                                   {"sites/fraser.yaml", "zone: fraser\ntargets:\n  - name: a\n    address: 127.0.0.1:8000\n"}});
    BOOST_TEST(lines.empty());
}

BOOST_AUTO_TEST_CASE(Every_mistake_is_reported_with_its_file_and_line)
{
    const auto lines = mistakesOf({{"base.yaml", "limits:\n  max_tasks_per_job: many\n  colour: red\n"},
                                   {"sites/fraser.yaml", "zone: fraser\ntargets:\n  - name: a\n    address: nowhere\n"}});
    BOOST_REQUIRE_EQUAL(lines.size(), 3);
    BOOST_TEST(lines[0] == "base.yaml:2: 'max_tasks_per_job' is many; write a whole number from 1 to 750");
    BOOST_TEST(lines[1].starts_with("base.yaml:3: the key 'colour' is unknown here"));
    BOOST_TEST(lines[2].starts_with("sites/fraser.yaml:4: 'address' is nowhere"));
}

BOOST_AUTO_TEST_CASE(Text_that_is_not_yaml_is_one_mistake)
{
    BOOST_TEST(mistakesOf({{"base.yaml", "limits: [\n"}}).size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
