#include "peercluster.h"

#include <boost/test/unit_test.hpp>

using namespace Anvilcart;

namespace
{
/// A cluster with helpers for tests of loans.
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

    void checkNoDuplicateStarts()
    {
        for (const auto &[task, count] : starts) {
            BOOST_TEST(count == 1, task << " started " << count << " times");
        }
    }
};

/// The ledger of entry-1, which shares the slots of one target with entry-2.
struct LedgerFixture
{
    LedgerFixture()
    {
        TargetSpec target;
        target.name = "target-0";
        target.zone = "fraser";
        slots.applyTargets({target}, "fraser");
        slots.applyMembers({"entry-1", "entry-2"}, "entry-1", SlotSharingKind::Loans);
        ledger.setPeers({"entry-2"}, view);
    }

    SlotTable slots;
    TeamTable teams;
    JobQueue queue {teams};
    FakePeerObserver observer;
    LoanLedger ledger {observer};
    SharingView view {slots, queue, true, TimePoint() + Seconds(1000)};
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
    submit("entry-1", "a", 200);
    run(Milliseconds(20));
    BOOST_TEST(running.size() == 8);
    BOOST_TEST(totalLoans(LoanEvent::Offered) == 0);
    // A peer that has already applied a newer configuration version asks for slots.
    configuration = std::make_shared<Configuration>(*configuration);
    configuration->version = 2;
    configuration->policy.slotSharing = SlotSharingKind::Loans;
    at("entry-1").dispatcher.applyConfiguration(configuration, now);
    run(Milliseconds(700));
    BOOST_TEST(at("entry-2").peerObserver.loans[LoanEvent::Offered] == 0);
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

BOOST_AUTO_TEST_CASE(A_lost_loan_is_reclaimed_when_its_borrower_does_not_report_it)
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

BOOST_AUTO_TEST_CASE(A_paused_borrower_loses_its_loans_when_the_lease_expires_and_is_notified)
{
    start(2, 2, 8);
    taskTime = Seconds(4);
    submit("entry-1", "a", 100);
    run(Seconds(1));
    BOOST_TEST(totalLent() == 8);
    at("entry-1").paused = true;
    run(Milliseconds(2300));
    BOOST_TEST(at("entry-2").peerObserver.memberCount == 2);
    BOOST_TEST(at("entry-2").peerObserver.loans[LoanEvent::Expired] == 8);
    BOOST_TEST(totalLent() == 0);
    at("entry-1").paused = false;
    run(Milliseconds(600));
    BOOST_TEST(totalLent() > 0);
    std::uint32_t borrowed = 0;
    for (TargetIndex i = 0; i < 2; ++i) {
        borrowed += at("entry-1").dispatcher.slots().at(i).borrowed;
    }
    BOOST_TEST(borrowed <= totalLent());
    checkNoDuplicateStarts();
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

BOOST_AUTO_TEST_CASE(The_loans_of_a_dead_borrower_end_and_its_share_is_taken_over)
{
    start(2, 2, 8);
    taskTime = Seconds(8);
    submit("entry-1", "a", 16);
    run(Milliseconds(50));
    BOOST_TEST(totalLent() == 8);
    kill("entry-1");
    run(Seconds(4));
    BOOST_TEST(totalLent() == 0);
    BOOST_TEST(at("entry-2").peerObserver.memberCount == 1);
    BOOST_TEST(at("entry-2").dispatcher.slots().ownSlots() == 16);
    taskTime = Milliseconds(200);
    submit("entry-2", "b", 16);
    run(Seconds(8));
    BOOST_TEST((at("entry-2").answers.at(0).code == ResultCode::Complete));
    BOOST_TEST(refusals > 0);
    checkNoDuplicateStarts();
}

BOOST_AUTO_TEST_CASE(A_dead_lender_makes_no_outcome_unknown)
{
    start(2, 2, 8);
    submit("entry-1", "a", 64);
    run(Milliseconds(50));
    kill("entry-2");
    run(Seconds(10));
    BOOST_TEST((at("entry-1").answers.at(0).code == ResultCode::Complete));
    checkNoDuplicateStarts();
}

BOOST_AUTO_TEST_CASE(A_paused_peer_that_resumes_starts_no_task_twice)
{
    start(3, 3, 8);
    for (int i = 0; i < 20; ++i) {
        submit("entry-1", "a" + std::to_string(i), 5);
        submit("entry-2", "b" + std::to_string(i), 5);
        submit("entry-3", "c" + std::to_string(i), 30);
    }
    run(Milliseconds(300));
    at("entry-3").paused = true;
    run(Seconds(5));
    BOOST_TEST(at("entry-1").peerObserver.memberCount == 2);
    at("entry-3").paused = false;
    run(Seconds(30));
    BOOST_TEST(at("entry-1").peerObserver.memberCount == 3);
    BOOST_TEST(at("entry-3").peerObserver.memberCount == 3);
    for (const auto &[name, host] : hosts) {
        BOOST_TEST(host->answers.size() == 20);
    }
    checkNoDuplicateStarts();
    BOOST_TEST(totalLent() == 0);
}

BOOST_AUTO_TEST_CASE(Message_loss_delays_tasks_and_starts_none_twice)
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
        cluster.checkNoDuplicateStarts();
        BOOST_TEST(cluster.totalLent() == 0);
    }
}

BOOST_AUTO_TEST_CASE(A_network_partition_causes_refused_starts_and_no_duplicate_start)
{
    start(2, 2, 8);
    network.partitioned = {"entry-1"};
    run(Seconds(4));
    BOOST_TEST(at("entry-1").dispatcher.slots().ownSlots() == 16);
    BOOST_TEST(at("entry-2").dispatcher.slots().ownSlots() == 16);
    submit("entry-1", "a", 40);
    submit("entry-2", "b", 40);
    run(Seconds(8));
    BOOST_TEST(refusals > 0);
    checkNoDuplicateStarts();
    network.partitioned.clear();
    run(Seconds(6));
    BOOST_TEST(at("entry-1").dispatcher.slots().ownSlots() == 8);
    BOOST_TEST((at("entry-1").answers.at(0).code == ResultCode::Complete));
    BOOST_TEST((at("entry-2").answers.at(0).code == ResultCode::Complete));
}

BOOST_FIXTURE_TEST_CASE(A_slot_that_is_offered_on_an_ejected_target_is_returned, LedgerFixture)
{
    slots.limitTasks(0, 0);
    SlotMessage offer;
    offer.loans.push_back({1, "target-0"});
    ledger.receive("entry-2", offer, view);
    ledger.redistributeAfterStarts(view);
    const auto outgoing = ledger.collectOutgoing(view.now);
    BOOST_REQUIRE_EQUAL(outgoing.size(), 1);
    BOOST_REQUIRE_EQUAL(outgoing[0].message.returns.size(), 1);
    BOOST_TEST(outgoing[0].message.returns[0].unused);
    BOOST_TEST(slots.at(0).borrowed == 0);
}

BOOST_FIXTURE_TEST_CASE(A_loan_that_has_ended_is_revoked_and_released, LedgerFixture)
{
    SlotMessage state;
    state.holdings = Holdings {{7}};
    ledger.receive("entry-2", state, view);
    const auto outgoing = ledger.collectOutgoing(view.now);
    BOOST_REQUIRE_EQUAL(outgoing.size(), 1);
    BOOST_TEST(outgoing[0].message.revoked == std::vector<LoanId>({7}));

    SlotMessage offer;
    offer.loans.push_back({7, "target-0"});
    ledger.receive("entry-2", offer, view);
    BOOST_TEST(slots.at(0).borrowed == 1);
    ledger.receive("entry-2", outgoing[0].message, view);
    BOOST_TEST(slots.at(0).borrowed == 0);
}

BOOST_AUTO_TEST_CASE(A_restarted_borrower_holds_no_loan_of_its_previous_incarnation)
{
    start(2, 2, 8);
    taskTime = Seconds(8);
    submit("entry-1", "a", 16);
    run(Milliseconds(50));
    BOOST_TEST(totalLent() == 8);
    kill("entry-1");
    startHost("entry-1");
    run(Milliseconds(300));
    BOOST_TEST(totalLent() == 0);
    BOOST_TEST(totalLoans(LoanEvent::Revoked) == 8);
}

BOOST_AUTO_TEST_CASE(A_host_that_is_removed_from_the_host_list_holds_no_loan)
{
    start(2, 2, 8);
    taskTime = Seconds(8);
    submit("entry-1", "a", 16);
    run(Milliseconds(50));
    BOOST_TEST(totalLent() == 8);
    listed.erase(listed.begin());
    run(Milliseconds(300));
    BOOST_TEST(totalLent() == 0);
    BOOST_TEST(at("entry-2").dispatcher.slots().ownSlots() == 16);
}

BOOST_AUTO_TEST_CASE(A_team_at_its_limit_borrows_nothing)
{
    start(2, 2, 8);
    configuration = std::make_shared<Configuration>(*configuration);
    configuration->version = 2;
    configuration->teams[0].maxRunningTasks = 8;
    for (auto &[name, host] : hosts) {
        host->dispatcher.applyConfiguration(configuration, now);
    }
    submit("entry-1", "a", 40);
    run(Milliseconds(900));
    BOOST_TEST(totalLoans(LoanEvent::Unused) == 0);
}

BOOST_AUTO_TEST_CASE(A_peer_that_cannot_use_an_offer_is_not_offered_again_at_once)
{
    start(2, 2, 8);
    configuration = std::make_shared<Configuration>(*configuration);
    configuration->version = 2;
    configuration->targets[1].capacity.cpus = 1;
    for (auto &[name, host] : hosts) {
        host->dispatcher.applyConfiguration(configuration, now);
    }
    auto job = DispatchFixture::makeJob("a", 60);
    for (auto &task : job.tasks) {
        task.size.cpus = 32;
    }
    at("entry-1").dispatcher.submit(
        job, [](const JobAnswer &) {}, now);
    run(Seconds(1));
    const auto roundsPerSecond = 50;
    BOOST_TEST(totalLoans(LoanEvent::Unused) > 0);
    BOOST_TEST(totalLoans(LoanEvent::Unused) <= 5 * roundsPerSecond);
    checkNoDuplicateStarts();
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
