#include "dispatch/placement.h"

#include "dispatchfixture.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace Anvilcart;

BOOST_FIXTURE_TEST_SUITE(PlacementSuite, DispatchFixture, *boost::unit_test::label("dispatch"))

BOOST_AUTO_TEST_CASE(The_least_used_target_by_its_usable_slots_is_chosen)
{
    auto placement = makePlacement(SlotSharingKind::Loans, "entry-1");
    BOOST_TEST(choose(placement, {{0, 2, 4}, {1, 3, 8}, {2, 1, 2}}) == 1);
}

BOOST_AUTO_TEST_CASE(Two_random_choices_reach_every_target_but_the_fullest)
{
    auto placement = makePlacement(SlotSharingKind::BlindPush, "entry-1");
    std::set<TargetIndex> chosen;
    int fullest = 0;
    for (int i = 0; i < 1000; ++i) {
        const auto target = choose(placement, {{0, 1, 8}, {1, 1, 8}, {2, 1, 8}, {3, 7, 8}});
        chosen.insert(target);
        fullest += target == 3 ? 1 : 0;
    }
    BOOST_TEST(chosen.size() >= 3);
    // It is chosen only if both random choices pick it: 1 in 16.
    BOOST_TEST(fullest < 125);
}

BOOST_AUTO_TEST_CASE(Blind_push_uses_every_slot_of_a_target_whatever_the_members)
{
    slotSharing = SlotSharingKind::BlindPush;
    configure(1, 8);
    dispatcher.applyMembers({"entry-1", "entry-2"}, now);
    submit(makeJob("a", 8));
    BOOST_TEST(port.started.size() == 8);
}

BOOST_AUTO_TEST_CASE(Many_refusals_of_a_full_target_fail_no_job_under_blind_push)
{
    slotSharing = SlotSharingKind::BlindPush;
    configure(1, 1);
    auto job = makeJob("a", 1);
    job.deadline = Seconds(300);
    submit(job);
    for (std::size_t i = 0; i < 200; ++i) {
        report(i, TaskNotStarted {NotStartedReason::NoSlot});
        advance(Milliseconds(330));
    }
    BOOST_TEST(answers.empty());
    finish(200);
    BOOST_TEST((answers.at(0).code == ResultCode::Complete));
}

BOOST_AUTO_TEST_SUITE_END()
