#include "fleet/evacuationstate.h"

#include <boost/test/unit_test.hpp>

#include <set>
#include <string>

using namespace Anvilcart;
using namespace Anvilcart::Fleet;

namespace
{
constexpr TimePoint Now {std::chrono::hours(1)};
constexpr Milliseconds Bound {5000};
} // namespace

BOOST_AUTO_TEST_SUITE(EvacuationStateSuite, *boost::unit_test::label("fleet"))

BOOST_AUTO_TEST_CASE(With_a_bound_nothing_may_start_before_the_first_view)
{
    EvacuationState state(Bound);
    BOOST_TEST(!state.isKnown(Now));
    state.onStoreLost();
    BOOST_TEST(!state.isKnown(Now));
    BOOST_TEST(state.onPeerView({0, {}}, false, Now));
    BOOST_TEST(state.isKnown(Now));
    BOOST_TEST(EvacuationState(std::nullopt).isKnown(Now));
}

// Guards against a peer that has not yet read a change, or a stale one that returns, undoing what the store says.
BOOST_AUTO_TEST_CASE(A_peer_counts_only_while_the_store_is_not_read_and_only_if_it_knows_more)
{
    EvacuationState state(Bound);
    state.onStoreView({{10, {"b"}}, Now}, Now);
    BOOST_TEST(!state.onPeerView({11, {}}, false, Now));
    state.onStoreLost();
    BOOST_TEST(!state.onPeerView({10, {}}, false, Now));
    BOOST_TEST(!state.onPeerView({9, {}}, false, Now));
    BOOST_TEST(state.onPeerView({11, {"b", "c"}}, false, Now));
    BOOST_TEST(state.view()->zones.size() == 2);
}

BOOST_AUTO_TEST_CASE(The_store_counts_also_at_a_lower_offset_since_it_may_have_lost_its_history)
{
    EvacuationState state(Bound);
    state.onStoreView({{10, {"b"}}, Now}, Now);
    state.onStoreView({{2, {}}, Now}, Now);
    BOOST_TEST(state.view()->zones.empty());
    BOOST_TEST(state.view()->storeOffset == 2);
}

// Guards against starts by what a process knew before it stood still.
BOOST_AUTO_TEST_CASE(After_a_pause_the_state_must_be_confirmed)
{
    EvacuationState state(Bound);
    state.onStoreView({{10, {}}, Now}, Now);
    state.onPause(Now);
    BOOST_TEST(!state.isKnown(Now));
    state.onPeerView({9, {}}, false, Now);
    BOOST_TEST(!state.isKnown(Now));
    state.onPeerView({10, {}}, false, Now);
    BOOST_TEST(state.isKnown(Now));

    state.onPause(Now);
    state.onStoreView({{10, {}}, Now}, Now);
    BOOST_TEST(state.isKnown(Now));

    // A host that is cut off from the store and all peers keeps its state.
    state.onPause(Now);
    state.onStoreLost();
    BOOST_TEST(!state.isKnown(Now + Milliseconds(1249)));
    BOOST_TEST(state.isKnown(Now + Milliseconds(1250)));
}

// Guards against starts by an answer that the store gave before the process stood still, and that was read after it.
BOOST_AUTO_TEST_CASE(A_read_that_was_requested_before_a_pause_confirms_nothing)
{
    EvacuationState state(Bound);
    state.onStoreView({{10, {}}, Now}, Now);
    const auto requestedAt = Now + Seconds(1);
    const auto resumedAt = Now + Seconds(10);
    state.onPause(resumedAt);
    state.onPeerView({12, {"a"}}, false, resumedAt);
    state.onPause(resumedAt);
    state.onStoreView({{10, {"b"}}, requestedAt}, resumedAt);
    BOOST_TEST(!state.isKnown(resumedAt));
    BOOST_TEST((state.view()->zones == std::set<std::string> {"a", "b"}));
    state.onStoreView({{13, {"a"}}, resumedAt}, resumedAt);
    BOOST_TEST(state.isKnown(resumedAt));
    BOOST_TEST((state.view()->zones == std::set<std::string> {"a"}));
}

// Guards against starts by the first part of what was written while a host was cut off, and against the loss of what a peer has said.
BOOST_AUTO_TEST_CASE(A_read_that_has_not_caught_up_confirms_nothing)
{
    EvacuationState state(Bound);
    state.onStoreView({{10, {}}, Now, false}, Now);
    BOOST_TEST(!state.isKnown(Now));
    state.onStoreView({{10, {}}, Now}, Now);
    state.onPeerView({10, {}}, false, Now);
    state.onStoreLost();
    state.onPeerView({20, {"a"}}, false, Now + Seconds(1));
    const auto later = Now + Seconds(10);
    state.onStoreView({{15, {}}, later, false}, later);
    BOOST_TEST(!state.isKnown(later));
    BOOST_TEST((state.storeReadAt() == Now));
    BOOST_TEST((state.view()->zones == std::set<std::string> {"a"}));
}

// Guards against a host that goes on by its old state while it is cut off from all that could tell it of an evacuation.
BOOST_AUTO_TEST_CASE(A_host_that_hears_neither_the_store_nor_a_peer_any_more_starts_nothing_after_a_while)
{
    EvacuationState state(Bound);
    state.onStoreView({{10, {}}, Now}, Now);
    // A host that never had peers is not cut off from them.
    BOOST_TEST(state.isKnown(Now + Seconds(60)));
    state.onPeerView({10, {}}, false, Now + Seconds(2));
    BOOST_TEST(state.isKnown(Now + Milliseconds(4499)));
    BOOST_TEST(!state.isKnown(Now + Milliseconds(4500)));
    state.onPeerView({10, {}}, true, Now + Seconds(5));
    BOOST_TEST(!state.isKnown(Now + Seconds(5)));
    state.onPeerView({10, {}}, false, Now + Seconds(6));
    BOOST_TEST(state.isKnown(Now + Seconds(6)));
    state.onStoreView({{10, {}}, Now + Seconds(10)}, Now + Seconds(10));
    BOOST_TEST(state.isKnown(Now + Milliseconds(13749)));
    BOOST_TEST(!state.isKnown(Now + Milliseconds(13750)));
}

BOOST_AUTO_TEST_SUITE_END()
