#include "caller/jobcodec.h"

#include <boost/leaf/handle_errors.hpp>
#include <boost/test/unit_test.hpp>

using namespace Anvilcart;
namespace leaf = boost::leaf;

namespace
{
ResultCode codeOf(const std::string &body)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<ResultCode> {
            BOOST_LEAF_CHECK(decodeJob(body));
            return ResultCode::Complete;
        },
        [](const RequestError &error) {
            BOOST_TEST(!error.message.empty());
            return error.code;
        },
        [] {
            return ResultCode::InternalError;
        });
}

std::string withTasks(const std::string &tasks)
{
    return R"({"submission":"s","team":"field","tasks":)" + tasks + "}";
}
} // namespace

BOOST_AUTO_TEST_SUITE(JobCodecSuite, *boost::unit_test::label("caller"))

BOOST_AUTO_TEST_CASE(A_well_formed_job_is_read)
{
    BOOST_TEST((codeOf(withTasks(R"([{"id":"a","kind":"check"}])")) == ResultCode::Complete));
}

BOOST_AUTO_TEST_CASE(Bad_bodies_are_refused_with_a_code_of_their_own)
{
    BOOST_TEST((codeOf("") == ResultCode::MalformedBody));
    BOOST_TEST((codeOf("{") == ResultCode::MalformedBody));
    BOOST_TEST((codeOf("[]") == ResultCode::MalformedBody));
    BOOST_TEST((codeOf(withTasks("[]")) == ResultCode::TaskCountOutOfRange));
    BOOST_TEST((codeOf(withTasks("3")) == ResultCode::InvalidField));
    BOOST_TEST((codeOf(withTasks(R"([{"id":"a","kind":"k"},{"id":"a","kind":"k"}])")) == ResultCode::DuplicateTask));
    BOOST_TEST((codeOf(withTasks(R"([{"id":"a","kind":"k","run_time_ms":-1}])")) == ResultCode::InvalidField));
    BOOST_TEST((codeOf(withTasks(R"([{"id":7,"kind":"k"}])")) == ResultCode::InvalidField));
    BOOST_TEST((codeOf(withTasks(R"([{"id":"a","kind":"k","idempotent":false}])")) == ResultCode::InvalidField));
}

BOOST_AUTO_TEST_CASE(A_job_of_751_tasks_is_refused)
{
    std::string tasks = "[";
    for (int i = 0; i < 751; ++i) {
        tasks += (i > 0 ? "," : "") + std::string(R"({"id":")") + std::to_string(i) + R"(","kind":"k"})";
    }
    BOOST_TEST((codeOf(withTasks(tasks + "]")) == ResultCode::TaskCountOutOfRange));
}

BOOST_AUTO_TEST_CASE(An_answer_survives_its_encoding)
{
    JobAnswer answer;
    answer.submission = "s";
    answer.results = {{"a", "1"}, {"b", "2"}};
    const auto decoded = decodeAnswer(encodeAnswer(answer).body);
    BOOST_TEST(decoded.submission == "s");
    BOOST_TEST(decoded.results.size() == 2);
    BOOST_TEST(decoded.results[1].output == "2");
}

BOOST_AUTO_TEST_SUITE_END()
