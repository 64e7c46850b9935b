#include "processsupport.h"
#include "rawconnection.h"

#include <boost/test/unit_test.hpp>

using namespace Anvilcart;

namespace
{
std::string postOf(const std::string &body)
{
    return "POST /v1/jobs HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string withTeam(std::string body, const std::string &team)
{
    const std::string before = R"("team":"field")";
    return body.replace(body.find(before), before.size(), R"("team":")" + team + "\"");
}
} // namespace

BOOST_AUTO_TEST_SUITE(RefusalSuite, *boost::unit_test::label("process"))

BOOST_AUTO_TEST_CASE(Every_refusal_at_the_door_says_not_run_and_nothing_was_run)
{
    SiteOptions options;
    options.maxQueuedTasks = 100;
    Site site(options, ANVILCART_BINARIES);
    const auto door = site.callerDoor(0, 0);
    const auto refused = [&](const std::string &body) {
        return codeOf(site.call(door, "POST", "/v1/jobs", body));
    };
    BOOST_TEST(refused(withTeam(jobBody("team", 1, Milliseconds(1)), "nobody")) == static_cast<int>(ResultCode::UnknownTeam));
    BOOST_TEST(refused(jobBody("full", 101, Milliseconds(1))) == static_cast<int>(ResultCode::QueueFull));
    auto large = jobBody("large", 1, Milliseconds(1));
    const std::string cpus = R"("cpus":0)";
    large.replace(large.find(cpus), cpus.size(), R"("cpus":1000)");
    BOOST_TEST(refused(large) == static_cast<int>(ResultCode::NeverFits));
    BOOST_TEST(site.ledger() == "{}");
}

BOOST_AUTO_TEST_CASE(A_job_whose_deadline_passes_in_the_queue_was_not_run)
{
    SiteOptions options;
    options.targetsPerZone = 1;
    options.entryHostsPerZone = 1;
    Site site(options, ANVILCART_BINARIES);
    const auto door = site.callerDoor(0, 0);
    auto running = submitAsync(site, door, jobBody("running", 8, Seconds(2)));
    BOOST_TEST(eventually([&] {
        return countOf(site, "running") == 8;
    }));
    const auto late = site.call(door, "POST", "/v1/jobs", jobBody("late", 2, Milliseconds(1), Milliseconds(100)));
    BOOST_TEST(isNotRun(decodeAnswer(late.body).code));
    BOOST_TEST(codeOf(running.get()) == 0);
    BOOST_TEST(startedTasks(site, "late") == 0);
}

BOOST_AUTO_TEST_CASE(A_caller_that_goes_away_has_its_tasks_stopped)
{
    Site site(SiteOptions(), ANVILCART_BINARIES);
    const auto body = jobBody("gone", 12, Seconds(300), Seconds(300));
    RawConnection caller(site.callerDoor(0, 0));
    caller.send(postOf(body));
    BOOST_TEST(eventually([&] {
        return startedTasks(site, "gone") == 12;
    }));
    caller.close();
    BOOST_TEST(eventually([&] {
        return countOf(site, "running") == 0;
    }));
}

BOOST_AUTO_TEST_CASE(A_cancelled_job_is_answered_and_its_tasks_are_stopped)
{
    Site site(SiteOptions(), ANVILCART_BINARIES);
    const auto door = site.callerDoor(0, 0);
    auto answer = submitAsync(site, door, jobBody("cancelled", 12, Seconds(300), Seconds(300)));
    BOOST_TEST(eventually([&] {
        return startedTasks(site, "cancelled") == 12;
    }));
    BOOST_TEST(site.call(door, "DELETE", "/v1/jobs/cancelled").status == 200);
    BOOST_TEST(codeOf(answer.get()) == static_cast<int>(ResultCode::CancelledWhileRunning));
    BOOST_TEST(eventually([&] {
        return countOf(site, "running") == 0;
    }));
}

BOOST_AUTO_TEST_CASE(A_wave_of_cancellations_frees_every_slot)
{
    Site site(SiteOptions(), ANVILCART_BINARIES);
    const auto door = site.callerDoor(0, 0);
    std::vector<std::future<CallResult>> answers;
    for (int i = 0; i < 20; ++i) {
        answers.push_back(submitAsync(site, door, jobBody("wave-" + std::to_string(i), 20, Seconds(300), Seconds(300))));
    }
    BOOST_TEST(eventually([&] {
        return countOf(site, "running") > 8;
    }));
    for (int i = 0; i < 20; ++i) {
        BOOST_TEST(eventually([&] {
            return site.call(door, "DELETE", "/v1/jobs/wave-" + std::to_string(i)).status == 200;
        }));
    }
    for (std::size_t i = 0; i < answers.size(); ++i) {
        const auto code = decodeAnswer(answers[i].get().body).code;
        const bool ran = startedTasks(site, "wave-" + std::to_string(i)) > 0;
        BOOST_TEST((!isNotRun(code) || !ran));
    }
    BOOST_TEST(eventually([&] {
        return countOf(site, "running") == 0;
    }));
    BOOST_TEST(codeOf(site.call(door, "POST", "/v1/jobs", jobBody("after", 12, Milliseconds(10)))) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
