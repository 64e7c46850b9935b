#include "dispatch/slotshares.h"

#include <boost/test/unit_test.hpp>

using namespace Anvilcart;

BOOST_AUTO_TEST_SUITE(SlotSharesSuite, *boost::unit_test::label("dispatch"))

BOOST_AUTO_TEST_CASE(The_shares_of_all_members_add_up_to_the_slots)
{
    const std::vector<std::string> members = {"a", "b", "c"};
    for (int i = 0; i < 50; ++i) {
        const auto target = "target-" + std::to_string(i);
        std::uint32_t sum = 0;
        for (const auto &member : members) {
            const auto share = slotShare(target, 8, members, member);
            BOOST_TEST(share >= 2);
            BOOST_TEST(share <= 3);
            sum += share;
        }
        BOOST_TEST(sum == 8);
    }
}

BOOST_AUTO_TEST_CASE(A_host_that_is_not_a_member_has_no_share)
{
    BOOST_TEST(slotShare("target", 8, {"a", "b"}, "c") == 0);
}

BOOST_AUTO_TEST_SUITE_END()
