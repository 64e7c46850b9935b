#include "hostruntime/resourceplan.h"

#include <boost/test/unit_test.hpp>

using namespace Anvilcart::Fleet;

namespace
{
constexpr std::size_t ManyDescriptors = 1'000'000;
constexpr std::size_t BodyBytes = 262'144;
constexpr std::size_t Copies = 4;
constexpr std::size_t ReservedForFiles = 200;

struct Limits
{
    std::int64_t memoryMb;
    std::int64_t descriptors;
};
} // namespace

BOOST_AUTO_TEST_SUITE(ResourcePlanSuite, *boost::unit_test::label("hostruntime"))

// Clients may not take what the host's own work needs.
BOOST_AUTO_TEST_CASE(A_plan_leaves_descriptors_and_memory_to_the_host)
{
    for (const auto &limits : {Limits {120, 3075}, Limits {512, 10250}, Limits {64, 400}}) {
        const auto plan = planResources(limits.memoryMb, limits.descriptors, ManyDescriptors, BodyBytes, Copies);
        const auto usable = static_cast<std::size_t>(limits.descriptors) - ReservedForFiles;
        const auto memory = static_cast<std::size_t>(limits.memoryMb) * 1024 * 1024;
        BOOST_TEST(plan.callerConnections + plan.peerConnections + 2 * plan.auxiliaryConnections <= usable * 4 / 5);
        BOOST_TEST(plan.callerBodyBytes + plan.callerHeaderMemory + plan.peerBufferBytes <= memory / 2);
        BOOST_TEST(plan.callerConnections + plan.peerConnections + plan.outgoingPeerConnections + 2 * plan.auxiliaryConnections
                   <= usable * 9 / 10);
        BOOST_TEST(plan.callerConnections >= usable / 3);
        BOOST_TEST(plan.callerBodyBytes >= BodyBytes * Copies);
    }
}

BOOST_AUTO_TEST_CASE(The_process_may_have_fewer_descriptors_than_the_settings_say)
{
    const auto plan = planResources(120, 3075, 1024, BodyBytes, Copies);
    BOOST_TEST(plan.callerConnections == (1024 - ReservedForFiles) / 2);
}

BOOST_AUTO_TEST_CASE(Without_limits_a_plan_has_defaults)
{
    const auto plan = planResources(0, 0, ManyDescriptors, BodyBytes, Copies);
    BOOST_TEST(plan.callerConnections == 4096);
    BOOST_TEST(plan.peerConnections == 1024);
    BOOST_TEST(plan.outgoingPeerConnections == 1024);
}

BOOST_AUTO_TEST_SUITE_END()
