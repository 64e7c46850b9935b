#include "claims/claimtable.h"
#include "claimsamples.h"

#include <boost/test/unit_test.hpp>

using namespace Anvilcart;

BOOST_AUTO_TEST_SUITE(ClaimTableSuite, *boost::unit_test::label("claims"))

BOOST_AUTO_TEST_CASE(Only_the_first_unexpired_claim_on_a_key_is_granted)
{
    ClaimTable table;
    table.apply(makeClaim("a", "k"));
    table.apply(makeClaim("b", "k"));
    table.apply(makeClaim("c", "other"));
    BOOST_TEST(table.isGranted("k", "a"));
    BOOST_TEST(!table.isGranted("k", "b"));
    BOOST_TEST(table.isGranted("other", "c"));
    BOOST_TEST(!table.isGranted("k", "never-read"));
}

BOOST_AUTO_TEST_CASE(An_abandonment_takes_effect_before_or_after_its_claim_in_the_log)
{
    const auto late = makeClaim("late", "k");
    const auto early = makeClaim("early", "k");
    ClaimTable table;
    table.apply(makeAbandonment(late));
    table.apply(early);
    table.apply(makeAbandonment(early));
    table.apply(late);
    table.apply(makeClaim("c", "k"));
    BOOST_TEST(!table.isGranted("k", "early"));
    BOOST_TEST(!table.isGranted("k", "late"));
    BOOST_TEST(table.isGranted("k", "c"));
}

BOOST_AUTO_TEST_CASE(A_refused_claim_blocks_later_claims_until_it_is_abandoned)
{
    const auto first = makeClaim("first", "k");
    const auto refused = makeClaim("refused", "k", ClaimStart + Seconds(50));
    const auto third = makeClaim("third", "k", ClaimStart + Seconds(120));
    ClaimTable fullLog;
    fullLog.apply(first);
    fullLog.apply(refused);
    fullLog.apply(third);
    ClaimTable withoutFirst;
    withoutFirst.apply(refused);
    withoutFirst.apply(third);
    BOOST_TEST(!fullLog.isGranted("k", "third"));
    BOOST_TEST(!withoutFirst.isGranted("k", "third"));
}

BOOST_AUTO_TEST_CASE(A_claim_does_not_block_claims_made_after_its_expiry)
{
    const auto first = makeClaim("a", "k");
    ClaimTable table;
    table.apply(first);
    table.apply(makeClaim("b", "k", first.expiresAt - Milliseconds(1)));
    BOOST_TEST(!table.isGranted("k", "b"));
    ClaimTable later;
    later.apply(first);
    later.apply(makeClaim("b", "k", first.expiresAt));
    BOOST_TEST(later.isGranted("k", "b"));
}

BOOST_AUTO_TEST_CASE(A_duplicate_claim_keeps_the_position_of_the_first)
{
    ClaimTable table;
    table.apply(makeClaim("a", "k"));
    table.apply(makeClaim("b", "k"));
    table.apply(makeClaim("a", "k"));
    BOOST_TEST(table.size() == 2);
    BOOST_TEST(table.isGranted("k", "a"));
}

BOOST_AUTO_TEST_CASE(A_key_without_an_outcome_is_in_progress_until_the_submission_ends_and_may_have_run_afterwards)
{
    const auto claim = makeClaim("a", "k");
    ClaimTable table;
    table.apply(claim);
    BOOST_TEST((table.keyStatus("k", claim.endsBy - Milliseconds(1)).state == KeyState::InProgress));
    BOOST_TEST((table.keyStatus("k", claim.endsBy).state == KeyState::MayHaveRun));
    BOOST_TEST((table.keyStatus("k", claim.expiresAt).state == KeyState::Free));
    BOOST_TEST(table.keyStatus("k", ClaimStart).host == "entry-1");
}

BOOST_AUTO_TEST_CASE(Later_claims_get_the_first_outcome_recorded_for_their_key)
{
    const auto claim = makeClaim("a", "k");
    ClaimTable table;
    table.apply(claim);
    table.apply(makeClaim("b", "k"));
    table.apply(makeOutcome(claim, "stamped"));
    table.apply(makeOutcome(claim, "another"));
    const auto status = table.conflictOf("k", "b", ClaimStart + Seconds(50));
    BOOST_TEST((status.state == KeyState::Finished));
    BOOST_TEST(status.text == "stamped");
}

BOOST_AUTO_TEST_CASE(Pruning_removes_expired_claims_only_when_no_claim_can_depend_on_them)
{
    const auto claim = makeClaim("a", "k");
    ClaimTable table;
    table.apply(claim);
    table.prune(claim.expiresAt);
    BOOST_TEST(table.contains("k", "a"));
    table.prune(claim.expiresAt + Seconds(3600));
    BOOST_TEST(!table.contains("k", "a"));
    BOOST_TEST(table.size() == 0);
}

BOOST_AUTO_TEST_CASE(Encoded_records_decode_to_the_same_values)
{
    const auto claim = makeClaim("a", "k\x1f\"");
    const std::vector<ClaimRecord> records = {
        claim, makeAbandonment(claim), ClaimOutcome {"a", claim.key, ClaimOutcomeKind::Failed, "broken"}};
    const auto decoded = decodeClaimRecords(encodeClaimRecords(records));
    BOOST_REQUIRE(decoded.has_value());
    BOOST_REQUIRE_EQUAL(decoded->size(), 3);
    const auto &read = std::get<Claim>(decoded->at(0));
    BOOST_TEST(read.key == claim.key);
    BOOST_TEST((read.claimedAt == claim.claimedAt && read.endsBy == claim.endsBy && read.expiresAt == claim.expiresAt));
    BOOST_TEST((std::get<Abandonment>(decoded->at(1)).expiresAt == claim.expiresAt));
    BOOST_TEST((std::get<ClaimOutcome>(decoded->at(2)).kind == ClaimOutcomeKind::Failed));
}

BOOST_AUTO_TEST_CASE(Records_of_unknown_kinds_are_skipped_and_malformed_bodies_are_rejected)
{
    const auto decoded = decodeClaimRecords(R"({"records":[{"type":"of_a_later_release"}]})");
    BOOST_TEST((decoded && decoded->empty()));
    BOOST_TEST(!decodeClaimRecords("{}").has_value());
    BOOST_TEST(!decodeClaimRecords(R"({"records":[{"type":"claim"}]})").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
