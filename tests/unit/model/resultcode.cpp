#include "model/resultcode.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>

using namespace Anvilcart;

BOOST_AUTO_TEST_SUITE(ResultCodeSuite, *boost::unit_test::label("model"))

BOOST_AUTO_TEST_CASE(Codes_ascend_and_names_are_unique)
{
    const auto table = resultCodeTable();
    for (std::size_t i = 1; i < table.size(); ++i) {
        BOOST_TEST(static_cast<int>(table[i - 1].code) < static_cast<int>(table[i].code));
    }
    for (const auto &row : table) {
        const auto count = std::count_if(table.begin(), table.end(), [&](const ResultCodeInfo &other) {
            return other.name == row.name;
        });
        BOOST_TEST(count == 1);
    }
}

BOOST_AUTO_TEST_CASE(Every_not_run_code_states_in_its_meaning_that_nothing_was_run)
{
    for (const auto &row : resultCodeTable()) {
        const auto number = static_cast<int>(row.code);
        const bool statesNothingWasRun = row.meaning.find("Nothing was run") != std::string_view::npos;
        BOOST_TEST(statesNothingWasRun == (number >= 200 && number < 300));
        if (number >= 300 && number < 400) {
            BOOST_TEST(!isNotRun(row.code));
        }
    }
}

BOOST_AUTO_TEST_CASE(Every_code_of_the_table_is_found_by_its_number)
{
    for (const auto &row : resultCodeTable()) {
        BOOST_TEST((findResultCode(static_cast<int>(row.code))->code == row.code));
        BOOST_TEST(info(row.code).name == row.name);
    }
    BOOST_TEST(!findResultCode(999).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
