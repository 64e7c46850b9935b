#include "processsupport.h"
#include "rawconnection.h"

#include <boost/test/unit_test.hpp>

#include <fstream>

using namespace Anvilcart;

namespace
{
constexpr std::uint64_t MemoryLimitKb = 128 * 1024;

/// The most memory that a process has held so far, in KB.
std::uint64_t peakMemoryKb(int process)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    std::string word;
    std::uint64_t peak = 0;
    while (status >> word) {
        if (word == "VmHWM:") {
            status >> peak;
        }
    }
    return peak;
}

std::string withTasks(const std::string &tasks)
{
    return R"({"submission":"bad","team":"field","tasks":)" + tasks + "}";
}

struct BadBody
{
    const char *name;
    std::string body;
    ResultCode code;
};

std::vector<BadBody> badBodies()
{
    std::string many = "[";
    for (int i = 0; i < 751; ++i) {
        many += (i > 0 ? "," : "") + std::string(R"({"id":")") + std::to_string(i) + R"(","kind":"k"})";
    }
    return {{"empty", "", ResultCode::MalformedBody},
            {"broken JSON", R"({"submission":"bad",)", ResultCode::MalformedBody},
            {"not an object", "[]", ResultCode::MalformedBody},
            {"deep nesting", std::string(100'000, '['), ResultCode::MalformedBody},
            {"wrong type", withTasks(R"([{"id":7,"kind":"k"}])"), ResultCode::InvalidField},
            {"tasks not a list", withTasks("3"), ResultCode::InvalidField},
            {"duplicate ids", withTasks(R"([{"id":"a","kind":"k"},{"id":"a","kind":"k"}])"), ResultCode::DuplicateTask},
            {"no task", withTasks("[]"), ResultCode::TaskCountOutOfRange},
            {"751 tasks", withTasks(many + "]"), ResultCode::TaskCountOutOfRange},
            {"negative run time", withTasks(R"([{"id":"a","kind":"k","run_time_ms":-1}])"), ResultCode::InvalidField},
            {"100 MB", std::string(100'000'000, 'x'), ResultCode::BodyTooLarge}};
}
} // namespace

BOOST_AUTO_TEST_SUITE(DoorSuite, *boost::unit_test::label("process"))

BOOST_AUTO_TEST_CASE(Bad_input_gets_one_clear_4xx_each_starts_nothing_and_takes_bounded_memory)
{
    Site site(SiteOptions(), ANVILCART_BINARIES);
    const auto door = site.callerDoor(0, 0);
    for (const auto &bad : badBodies()) {
        const auto answer = site.call(door, "POST", "/v1/jobs", bad.body);
        BOOST_TEST_CONTEXT(bad.name)
        {
            BOOST_TEST(answer.status == info(bad.code).httpStatus);
            BOOST_TEST(codeOf(answer) == static_cast<int>(bad.code));
        }
    }
    BOOST_TEST(codeOf(site.call(door, "GET", "/nowhere")) == static_cast<int>(ResultCode::UnknownPath));
    BOOST_TEST(codeOf(site.call(door, "GET", "/" + std::string(20'000, 'p'))) == static_cast<int>(ResultCode::HeaderTooLarge));
    BOOST_TEST(site.ledger() == "{}");
    BOOST_TEST(codeOf(site.call(door, "POST", "/v1/jobs", jobBody("good", 3, Milliseconds(5)))) == 0);
    BOOST_TEST(peakMemoryKb(site.entryHost(0, 0).id()) < MemoryLimitKb);
}

BOOST_AUTO_TEST_CASE(Many_large_bodies_at_once_take_bounded_memory)
{
    Site site(SiteOptions(), ANVILCART_BINARIES);
    const auto door = site.callerDoor(0, 0);
    const auto head = "POST /v1/jobs HTTP/1.1\r\nHost: h\r\nContent-Length: 8000000\r\n\r\n" + std::string(7'000'000, '1');
    std::vector<std::future<std::string>> answers;
    for (int i = 0; i < 24; ++i) {
        answers.push_back(std::async(std::launch::async, [&] {
            RawConnection caller(door);
            caller.send(head);
            return caller.readAll();
        }));
    }
    for (auto &answer : answers) {
        const auto text = answer.get();
        BOOST_TEST((text.find("HTTP/1.1 4") == 0 || text.find("HTTP/1.1 503") == 0));
    }
    BOOST_TEST(site.call(door, "GET", "/healthz").status == 200);
    BOOST_TEST(peakMemoryKb(site.entryHost(0, 0).id()) < MemoryLimitKb);
}

BOOST_AUTO_TEST_SUITE_END()
