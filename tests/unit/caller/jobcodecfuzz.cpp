#include "caller/jobcodec.h"

#include <boost/leaf/handle_errors.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/test/unit_test.hpp>

#include <set>

using namespace Anvilcart;
namespace leaf = boost::leaf;

namespace
{
constexpr std::uint32_t Seed = 20261204;
constexpr int Rounds = 20000;
constexpr int MaxEdits = 8;
constexpr std::string_view Pieces = "{}[]\",:0123456789-eE.\\utfnrlas \x00\xff";

std::string validBody()
{
    JobSpec job;
    job.submission = "s-1";
    job.team = "field";
    job.deadline = std::chrono::milliseconds(1000);
    for (int i = 0; i < 3; ++i) {
        TaskSpec task;
        task.id = "t" + std::to_string(i);
        task.kind = "check";
        task.payload = "100";
        task.idempotent = i != 1;
        task.idempotencyKey = "k";
        task.keyExpiry = std::chrono::seconds(60);
        job.tasks.push_back(task);
    }
    return encodeJob(job);
}

std::string mutate(std::string body, boost::random::mt19937 &random)
{
    const auto edits = random() % MaxEdits + 1;
    for (std::uint32_t i = 0; i < edits && !body.empty(); ++i) {
        const auto at = random() % body.size();
        const char piece = Pieces[random() % Pieces.size()];
        switch (random() % 4) {
        case 0:
            body[at] = piece;
            break;
        case 1:
            body.insert(at, 1, piece);
            break;
        case 2:
            body.erase(at, random() % 20 + 1);
            break;
        default:
            body.insert(at, body.substr(random() % body.size(), random() % 60));
        }
    }
    return body;
}

void checkAccepted(const JobSpec &job)
{
    std::set<std::string> ids;
    for (const auto &task : job.tasks) {
        ids.insert(task.id);
        BOOST_REQUIRE(!task.id.empty());
        BOOST_REQUIRE(task.declaredRunTime.count() >= 0);
        BOOST_REQUIRE((task.idempotent || !task.idempotencyKey.empty()));
    }
    BOOST_REQUIRE(!job.submission.empty());
    BOOST_REQUIRE((!job.tasks.empty() && job.tasks.size() <= 750));
    BOOST_REQUIRE(ids.size() == job.tasks.size());
}

/// True when the body was accepted; whatever comes of it, it is a job that holds what the codec promises or an error with a 4xx code.
bool decodes(const std::string &body)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_AUTO(job, decodeJob(body));
            checkAccepted(job);
            return true;
        },
        [](const RequestError &error) {
            BOOST_REQUIRE(info(error.code).httpStatus / 100 == 4);
            return false;
        },
        [] {
            BOOST_FAIL("an error of another type");
            return false;
        });
}
} // namespace

BOOST_AUTO_TEST_SUITE(JobCodecFuzzSuite, *boost::unit_test::label("caller"))

BOOST_AUTO_TEST_CASE(Mutated_jobs_are_either_valid_or_refused_with_a_code)
{
    BOOST_TEST_MESSAGE("seed " << Seed);
    boost::random::mt19937 random(Seed);
    const auto body = validBody();
    int accepted = 0;
    for (int i = 0; i < Rounds; ++i) {
        accepted += decodes(mutate(body, random)) ? 1 : 0;
    }
    BOOST_TEST(accepted > 0);
    BOOST_TEST(accepted < Rounds);
}

BOOST_AUTO_TEST_CASE(Deep_nesting_is_refused)
{
    BOOST_TEST(!decodes(std::string(1'000'000, '[')));
    std::string nested;
    for (int i = 0; i < 100'000; ++i) {
        nested += R"({"a":)";
    }
    BOOST_TEST(!decodes(nested));
}

BOOST_AUTO_TEST_CASE(A_body_of_millions_of_tiny_values_is_refused_before_it_takes_the_memory_of_the_process)
{
    std::string body = R"({"submission":"s","team":"field","tasks":[)";
    for (int i = 0; i < 3'000'000; ++i) {
        body += "1,";
    }
    body += "1]}";
    const auto code = leaf::try_handle_all(
        [&]() -> leaf::result<ResultCode> {
            BOOST_LEAF_CHECK(decodeJob(body));
            return ResultCode::Complete;
        },
        [](const RequestError &error) {
            return error.code;
        },
        [] {
            return ResultCode::InternalError;
        });
    BOOST_TEST((code == ResultCode::BodyTooLarge));
}

BOOST_AUTO_TEST_SUITE_END()
