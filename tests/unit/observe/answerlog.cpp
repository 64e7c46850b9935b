#include "observe/answerlog.h"

#include <boost/test/unit_test.hpp>

using namespace Anvilcart;

BOOST_AUTO_TEST_SUITE(AnswerLogSuite, *boost::unit_test::label("observe"))

BOOST_AUTO_TEST_CASE(Each_kind_of_refusal_gives_one_line_an_interval)
{
    AnswerLog log;
    const auto lines = log.linesFor({{ResultCode::Complete, 900}, {ResultCode::QueueFull, 12}, {ResultCode::Draining, 0}});
    BOOST_REQUIRE_EQUAL(lines.size(), 1);
    BOOST_TEST(lines[0] == "answers: 12 times 201 queue_full");
}

BOOST_AUTO_TEST_CASE(A_count_that_did_not_change_gives_no_line)
{
    AnswerLog log;
    log.linesFor({{ResultCode::QueueFull, 12}});
    BOOST_TEST(log.linesFor({{ResultCode::QueueFull, 12}}).empty());
    BOOST_TEST(log.linesFor({{ResultCode::QueueFull, 13}}).at(0) == "answers: 1 times 201 queue_full");
}

BOOST_AUTO_TEST_SUITE_END()
