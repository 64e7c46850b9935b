#include "net/connectiontable.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace Anvilcart;

namespace
{
struct TableFixture
{
    ConnectionTable::Id add(char name, ConnectionUse use)
    {
        const auto id = table.add([this, name] {
            closed += name;
        });
        table.setUse(id, use);
        return id;
    }

    void closeAll()
    {
        while (const auto close = table.takeLeastUseful()) {
            close();
        }
    }

    ConnectionTable table;
    std::string closed;
};
} // namespace

BOOST_FIXTURE_TEST_SUITE(ConnectionTableSuite, TableFixture, *boost::unit_test::label("net"))

BOOST_AUTO_TEST_CASE(The_least_useful_connection_is_closed_first_and_a_busy_one_never)
{
    add('b', ConnectionUse::Busy);
    add('r', ConnectionUse::Reading);
    add('i', ConnectionUse::Idle);
    add('u', ConnectionUse::Unused);
    add('d', ConnectionUse::Discarding);
    closeAll();
    BOOST_TEST(closed == "duir");
    BOOST_TEST(table.size() == 1);
}

BOOST_AUTO_TEST_CASE(Of_connections_alike_the_one_that_is_so_for_longest_is_closed_first)
{
    const auto first = add('1', ConnectionUse::Idle);
    add('2', ConnectionUse::Idle);
    add('3', ConnectionUse::Idle);
    table.setUse(first, ConnectionUse::Busy);
    table.setUse(first, ConnectionUse::Idle);
    closeAll();
    BOOST_TEST(closed == "231");
}

// Between the choice and the closing, a request may arrive.
BOOST_AUTO_TEST_CASE(A_chosen_connection_that_has_become_useful_counts_again)
{
    const auto id = add('1', ConnectionUse::Idle);
    BOOST_TEST(static_cast<bool>(table.takeLeastUseful()));
    BOOST_TEST(table.size() == 0);
    table.setUse(id, ConnectionUse::Busy);
    BOOST_TEST(table.size() == 1);
    BOOST_TEST(!table.takeLeastUseful());
    table.remove(id);
    BOOST_TEST(table.size() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
