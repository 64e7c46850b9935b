#include "target/taskcodec.h"

#include <boost/random/mersenne_twister.hpp>
#include <boost/test/unit_test.hpp>

using namespace Anvilcart;

namespace
{
constexpr std::uint32_t Seed = 20261204;
constexpr int Rounds = 20000;

TaskStart makeStart()
{
    TaskStart start;
    start.ref = {7, 3, 2};
    start.submission = "s-1";
    start.task = "t3";
    return start;
}

HttpReply answered(std::string body)
{
    HttpReply reply;
    reply.progress = CallProgress::Answered;
    reply.status = 200;
    reply.body = std::move(body);
    return reply;
}

TaskOutcome outcomeOf(const RunReply &reply)
{
    auto answer = answered(encodeRunReply(reply));
    return decodeOutcome(makeStart(), answer);
}
} // namespace

BOOST_AUTO_TEST_SUITE(TaskCodecSuite, *boost::unit_test::label("target"))

BOOST_AUTO_TEST_CASE(Only_the_answer_of_this_attempt_counts)
{
    BOOST_TEST(std::holds_alternative<TaskFinished>(outcomeOf({"s-1", "t3", 2, RunState::Finished, "out"})));
    BOOST_TEST(std::holds_alternative<TaskLost>(outcomeOf({"s-2", "t3", 2, RunState::Finished, "out"})));
    BOOST_TEST(std::holds_alternative<TaskLost>(outcomeOf({"s-1", "t4", 2, RunState::Finished, "out"})));
    BOOST_TEST(std::holds_alternative<TaskLost>(outcomeOf({"s-1", "t3", 1, RunState::Finished, "out"})));
    BOOST_TEST(std::holds_alternative<TaskLost>(outcomeOf({"s-1", "t3", 1, RunState::NotStarted, "no_slot"})));
    BOOST_TEST(std::holds_alternative<TaskNotStarted>(outcomeOf({"s-1", "t3", 2, RunState::NotStarted, "no_slot"})));
}

BOOST_AUTO_TEST_CASE(A_call_that_was_sent_and_not_answered_is_lost_and_one_not_sent_did_not_start)
{
    HttpReply reply;
    reply.progress = CallProgress::Sent;
    BOOST_TEST(std::holds_alternative<TaskLost>(decodeOutcome(makeStart(), reply)));
    reply.progress = CallProgress::NotSent;
    BOOST_TEST(std::holds_alternative<TaskNotStarted>(decodeOutcome(makeStart(), reply)));
}

BOOST_AUTO_TEST_CASE(A_damaged_answer_never_proves_that_a_task_did_not_start)
{
    BOOST_TEST_MESSAGE("seed " << Seed);
    boost::random::mt19937 random(Seed);
    const auto body = encodeRunReply({"s-1", "t3", 2, RunState::Finished, "out"});
    for (int i = 0; i < Rounds; ++i) {
        auto damaged = body;
        for (auto edits = random() % 4 + 1; edits > 0; --edits) {
            damaged[random() % damaged.size()] = static_cast<char>(random());
        }
        auto reply = answered(damaged.substr(0, damaged.size() - random() % 8));
        BOOST_REQUIRE(!std::holds_alternative<TaskNotStarted>(decodeOutcome(makeStart(), reply)));
    }
}

BOOST_AUTO_TEST_SUITE_END()
