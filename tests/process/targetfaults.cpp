#include "processsupport.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace Anvilcart;
namespace data = boost::unit_test::data;

namespace
{
constexpr std::chrono::microseconds NoDelay {0};

/// What holds for every job, whatever fails.
void checkPromises(const RunFigures &figures)
{
    BOOST_TEST(figures.jobs > 0);
    BOOST_TEST(figures.doubleStarts == 0);
    BOOST_TEST(figures.untrueNotRun == 0);
    BOOST_TEST(figures.wrong == 0);
}
} // namespace

BOOST_AUTO_TEST_SUITE(TargetFaultSuite, *boost::unit_test::label("process"))

BOOST_DATA_TEST_CASE(A_faulty_target_leads_to_no_second_start_and_no_untrue_answer,
                     data::make({"cut_before_start", "cut_after_start", "cut_after_run", "answer_other", "fail"}))
{
    Site site(SiteOptions(), ANVILCART_BINARIES);
    site.setTargetFault(site.targetName(0, 0), sample);
    const auto figures = measure(site, {0.5, 2, 11, NoDelay});
    checkPromises(figures);
    BOOST_TEST(figures.unanswered == 0);
    BOOST_TEST(figures.failed > 0);
    site.setTargetFault(site.targetName(0, 0), "none");
    const auto afterwards = site.call(site.callerDoor(0, 0), "POST", "/v1/jobs", jobBody("afterwards", 32, Milliseconds(5)));
    BOOST_TEST(codeOf(afterwards) == 0);
}

BOOST_AUTO_TEST_CASE(A_target_that_answers_late_never_answers_another_task)
{
    Site site(SiteOptions(), ANVILCART_BINARIES);
    const auto door = site.callerDoor(0, 0);
    site.setTargetFault("*", "answer_late", 1000);
    const auto late = site.call(door, "POST", "/v1/jobs", jobBody("late", 4, Milliseconds(10), Milliseconds(300)));
    BOOST_TEST(codeOf(late) == static_cast<int>(ResultCode::DeadlineExceeded));
    site.setTargetFault("*", "none");
    checkPromises(measure(site, {0.5, 3, 12, NoDelay}));
    BOOST_TEST(startedTasks(site, "late") == 4);
}

BOOST_AUTO_TEST_CASE(A_job_on_stalled_targets_fails_at_its_deadline_and_its_tasks_are_stopped)
{
    Site site(SiteOptions(), ANVILCART_BINARIES);
    site.setTargetFault("*", "stall");
    const auto answer = site.call(site.callerDoor(0, 0), "POST", "/v1/jobs", jobBody("stalled", 3, Milliseconds(10), Milliseconds(300)));
    BOOST_TEST(codeOf(answer) == static_cast<int>(ResultCode::DeadlineExceeded));
    BOOST_TEST(eventually([&] {
        return countOf(site, "running") == 0;
    }));
    BOOST_TEST(startedTasks(site, "stalled") == 3);
}

BOOST_AUTO_TEST_CASE(Refusing_targets_lead_to_a_not_run_answer_that_is_true)
{
    Site site(SiteOptions(), ANVILCART_BINARIES);
    site.setTargetFault("*", "refuse");
    const auto answer = site.call(site.callerDoor(0, 0), "POST", "/v1/jobs", jobBody("refused", 3, Milliseconds(10), Milliseconds(500)));
    BOOST_TEST(isNotRun(decodeAnswer(answer.body).code));
    BOOST_TEST(site.ledger() == "{}");
}

BOOST_AUTO_TEST_CASE(A_target_killed_under_load_leads_to_no_second_start)
{
    Site site(SiteOptions(), ANVILCART_BINARIES);
    const auto figures = measure(site, {0.6, 3, 13, NoDelay}, [&] {
        std::this_thread::sleep_for(Seconds(1));
        site.setTargetFault(site.targetName(0, 0), "dead");
    });
    checkPromises(figures);
    BOOST_TEST(figures.unanswered == 0);
    BOOST_TEST(figures.whole > 0);
}

BOOST_AUTO_TEST_CASE(A_target_that_the_host_list_names_as_leaving_gets_nothing_new)
{
    Site site(SiteOptions(), ANVILCART_BINARIES);
    const auto target = site.targetName(0, 0);
    std::uint64_t startsWhenLeaving = 0;
    const auto figures = measure(site, {0.6, 6, 14, NoDelay}, [&] {
        site.setTargetHostState(0, 0, "leaving");
        std::this_thread::sleep_for(Seconds(3));
        startsWhenLeaving = countOf(site, target, "starts");
    });
    BOOST_TEST(countOf(site, target, "starts") == startsWhenLeaving);
    BOOST_TEST(figures.whole == figures.jobs);
}

BOOST_AUTO_TEST_CASE(A_target_that_says_it_is_leaving_gets_nothing_new_while_the_host_list_still_calls_it_live)
{
    Site site(SiteOptions(), ANVILCART_BINARIES);
    const auto target = site.targetName(0, 0);
    std::uint64_t refusalsWhenLeaving = 0;
    const auto figures = measure(site, {0.6, 6, 15, NoDelay}, [&] {
        site.setTargetFault(target, "leaving");
        std::this_thread::sleep_for(Seconds(3));
        refusalsWhenLeaving = countOf(site, target, "refusals");
    });
    BOOST_TEST(countOf(site, target, "refusals") == refusalsWhenLeaving);
    BOOST_TEST(figures.whole == figures.jobs);
    checkPromises(figures);
}

BOOST_AUTO_TEST_CASE(A_target_that_says_it_is_leaving_gets_nothing_new_while_the_platform_is_down)
{
    Site site(SiteOptions(), ANVILCART_BINARIES);
    const auto target = site.targetName(0, 0);
    std::uint64_t refusalsWhenLeaving = 0;
    site.controlPlatform(R"({"outage":true})");
    const auto figures = measure(site, {0.6, 5, 16, NoDelay}, [&] {
        site.setTargetFault(target, "leaving");
        std::this_thread::sleep_for(Seconds(3));
        refusalsWhenLeaving = countOf(site, target, "refusals");
    });
    BOOST_TEST(countOf(site, target, "refusals") == refusalsWhenLeaving);
    BOOST_TEST(figures.whole == figures.jobs);
}

BOOST_AUTO_TEST_SUITE_END()
