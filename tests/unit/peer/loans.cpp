#include "peercluster.h"

#include <boost/test/unit_test.hpp>

using namespace Anvilcart;

namespace
{
/// A cluster with helpers for the loans' tests.
struct LoansFixture : PeerCluster
{
    int totalLoans(LoanEvent event)
    {
        int sum = 0;
        for (auto &[name, host] : hosts) {
            sum += host->peerObserver.loans[event];
        }
        return sum;
    }

    std::uint32_t totalLent()
    {
        std::uint32_t lent = 0;
        for (auto &[name, host] : hosts) {
            for (TargetIndex i = 0; i < host->dispatcher.slots().size(); ++i) {
                lent += host->dispatcher.slots().at(i).lent;
            }
        }
        return lent;
    }

    void requireSingleStarts()
    {
        for (const auto &[task, count] : starts) {
            BOOST_TEST(count == 1, task << " started " << count << " times");
        }
    }
};
} // namespace

BOOST_FIXTURE_TEST_SUITE(LoansSuite, LoansFixture, *boost::unit_test::label("peer"))

BOOST_AUTO_TEST_CASE(A_job_uses_the_slots_of_every_idle_peer)
{
    start(4, 4, 8);
    submit("entry-1", "a", 32);
    run(Milliseconds(20));
    BOOST_TEST(running.size() == 32);
    run(Seconds(1));
    BOOST_REQUIRE_EQUAL(at("entry-1").answers.size(), 1);
    BOOST_TEST((at("entry-1").answers[0].code == ResultCode::Complete));
    BOOST_TEST(totalLoans(LoanEvent::Offered) == 24);
    BOOST_TEST(totalLoans(LoanEvent::Returned) == 24);
    BOOST_TEST(totalLent() == 0);
    BOOST_TEST(refusals == 0);
}

BOOST_AUTO_TEST_CASE(Fixed_shares_lend_nothing)
{
    start(4, 4, 8, SlotSharingKind::FixedShares);
    submit("entry-1", "a", 32);
    run(Milliseconds(20));
    BOOST_TEST(running.size() == 8);
    BOOST_TEST(totalLoans(LoanEvent::Offered) == 0);
}

BOOST_AUTO_TEST_CASE(A_freed_slot_goes_to_the_peer_with_the_smaller_job)
{
    start(2, 1, 8);
    submit("entry-1", "large", 100);
    run(Milliseconds(50));
    submit("entry-2", "small", 6);
    run(Milliseconds(210));
    std::size_t small = 0;
    for (const auto &task : running) {
        small += task.key.starts_with("small/") ? 1 : 0;
    }
    BOOST_TEST(small == 6);
}

BOOST_AUTO_TEST_CASE(A_lost_loan_comes_home_when_its_borrower_does_not_hold_it)
{
    start(2, 2, 8);
    network.muted = {"entry-2"};
    submit("entry-1", "a", 16);
    run(Milliseconds(20));
    network.muted.clear();
    BOOST_TEST(totalLent() == 8);
    run(Seconds(2));
    BOOST_TEST(totalLent() == 0);
    BOOST_TEST(totalLoans(LoanEvent::Lost) == 8);
    BOOST_TEST((at("entry-1").answers.at(0).code == ResultCode::Complete));
}

BOOST_AUTO_TEST_CASE(A_frozen_borrower_loses_its_loans_at_the_end_of_the_lease_and_learns_so)
{
    start(2, 2, 8);
    taskTime = Seconds(4);
    submit("entry-1", "a", 100);
    run(Seconds(1));
    BOOST_TEST(totalLent() == 8);
    at("entry-1").frozen = true;
    run(Milliseconds(2300));
    BOOST_TEST(at("entry-2").peerObserver.members == 2);
    BOOST_TEST(at("entry-2").peerObserver.loans[LoanEvent::Expired] == 8);
    BOOST_TEST(totalLent() == 0);
    at("entry-1").frozen = false;
    submit("entry-2", "b", 4);
    run(Milliseconds(800));
    std::uint32_t borrowed = 0;
    for (TargetIndex i = 0; i < 2; ++i) {
        borrowed += at("entry-1").dispatcher.slots().at(i).borrowed;
    }
    BOOST_TEST(borrowed <= totalLent());
    requireSingleStarts();
}

BOOST_AUTO_TEST_CASE(A_borrower_keeps_a_slot_while_its_job_is_the_smallest_of_all)
{
    start(2, 2, 8);
    submit("entry-1", "a", 160);
    run(Seconds(4));
    BOOST_TEST((at("entry-1").answers.at(0).code == ResultCode::Complete));
    BOOST_TEST(totalLoans(LoanEvent::Offered) == 8);
    BOOST_TEST(refusals == 0);
}

BOOST_AUTO_TEST_CASE(A_dead_borrower_gives_its_loans_back_and_its_share_is_taken_over)
{
    start(2, 2, 8);
    taskTime = Seconds(8);
    submit("entry-1", "a", 16);
    run(Milliseconds(50));
    BOOST_TEST(totalLent() == 8);
    kill("entry-1");
    run(Seconds(4));
    BOOST_TEST(totalLent() == 0);
    BOOST_TEST(at("entry-2").peerObserver.members == 1);
    BOOST_TEST(at("entry-2").dispatcher.slots().ownSlots() == 16);
    taskTime = Milliseconds(200);
    submit("entry-2", "b", 16);
    run(Seconds(8));
    BOOST_TEST((at("entry-2").answers.at(0).code == ResultCode::Complete));
    BOOST_TEST(refusals > 0);
    requireSingleStarts();
}

BOOST_AUTO_TEST_CASE(A_dead_lender_makes_no_outcome_unknown)
{
    start(2, 2, 8);
    submit("entry-1", "a", 64);
    run(Milliseconds(50));
    kill("entry-2");
    run(Seconds(10));
    BOOST_TEST((at("entry-1").answers.at(0).code == ResultCode::Complete));
    requireSingleStarts();
}

BOOST_AUTO_TEST_CASE(A_frozen_peer_that_wakes_up_starts_nothing_twice)
{
    start(3, 3, 8);
    for (int i = 0; i < 20; ++i) {
        submit("entry-1", "a" + std::to_string(i), 5);
        submit("entry-2", "b" + std::to_string(i), 5);
        submit("entry-3", "c" + std::to_string(i), 30);
    }
    run(Milliseconds(300));
    at("entry-3").frozen = true;
    run(Seconds(5));
    BOOST_TEST(at("entry-1").peerObserver.members == 2);
    at("entry-3").frozen = false;
    run(Seconds(30));
    BOOST_TEST(at("entry-1").peerObserver.members == 3);
    BOOST_TEST(at("entry-3").peerObserver.members == 3);
    for (const auto &[name, host] : hosts) {
        BOOST_TEST(host->answers.size() == 20);
    }
    requireSingleStarts();
    BOOST_TEST(totalLent() == 0);
}

BOOST_AUTO_TEST_CASE(A_lossy_network_costs_time_and_never_a_second_start)
{
    for (const auto loss : {50U, 500U}) {
        LoansFixture cluster;
        cluster.network.lossPerMille = loss;
        cluster.start(8, 8, 4);
        for (std::uint32_t round = 0; round < 10; ++round) {
            for (std::uint32_t host = 1; host <= 8; ++host) {
                const auto submission = "job-" + std::to_string(host) + "-" + std::to_string(round);
                cluster.submit("entry-" + std::to_string(host), submission, 1 + host * round % 10);
            }
            cluster.run(Milliseconds(400));
        }
        cluster.run(Seconds(20));
        std::size_t complete = 0;
        for (const auto &[name, host] : cluster.hosts) {
            BOOST_TEST(host->answers.size() == 10);
            for (const auto &answer : host->answers) {
                complete += answer.code == ResultCode::Complete ? 1 : 0;
            }
        }
        BOOST_TEST_MESSAGE("loss " << loss << " per mille: " << complete << " of 80 complete");
        if (loss == 50U) {
            BOOST_TEST(complete == 80);
        }
        cluster.requireSingleStarts();
        BOOST_TEST(cluster.totalLent() == 0);
    }
}

BOOST_AUTO_TEST_CASE(Two_halves_that_do_not_hear_each_other_collide_only_in_safe_refusals)
{
    start(2, 2, 8);
    network.cutOff = {"entry-1"};
    run(Seconds(4));
    BOOST_TEST(at("entry-1").dispatcher.slots().ownSlots() == 16);
    BOOST_TEST(at("entry-2").dispatcher.slots().ownSlots() == 16);
    submit("entry-1", "a", 40);
    submit("entry-2", "b", 40);
    run(Seconds(8));
    BOOST_TEST(refusals > 0);
    requireSingleStarts();
    network.cutOff.clear();
    run(Seconds(6));
    BOOST_TEST(at("entry-1").dispatcher.slots().ownSlots() == 8);
    BOOST_TEST((at("entry-1").answers.at(0).code == ResultCode::Complete));
    BOOST_TEST((at("entry-2").answers.at(0).code == ResultCode::Complete));
}

BOOST_AUTO_TEST_CASE(A_draining_host_lends_its_free_slots)
{
    start(2, 2, 8);
    at("entry-2").dispatcher.beginDrain();
    submit("entry-1", "a", 16);
    run(Milliseconds(20));
    BOOST_TEST(running.size() == 16);
}

BOOST_AUTO_TEST_SUITE_END()
