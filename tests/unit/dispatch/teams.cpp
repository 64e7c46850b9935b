#include "dispatch/teamquota.h"

#include "dispatchfixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace Anvilcart;

namespace
{
class TeamFixture : public DispatchFixture
{
public:
    static JobSpec makeTeamJob(const std::string &submission, std::uint32_t tasks, const std::string &team)
    {
        auto job = makeJob(submission, tasks);
        job.team = team;
        return job;
    }

    std::ptrdiff_t startsOf(const std::string &submission) const
    {
        return std::count_if(port.started.begin(), port.started.end(), [&](const FakeTargetPort::Started &started) {
            return started.start.submission == submission;
        });
    }
};

/// Three zones with 8, 16 and 24 slots.
Configuration makeThreeZones()
{
    Configuration configuration;
    const std::vector<std::string> zones = {"fraser", "island", "sunshine"};
    for (std::uint32_t i = 0; i < zones.size(); ++i) {
        TargetSpec target;
        target.zone = zones[i];
        target.slots = 8 * (i + 1);
        configuration.targets.push_back(target);
    }
    return configuration;
}
} // namespace

BOOST_FIXTURE_TEST_SUITE(TeamsSuite, TeamFixture, *boost::unit_test::label("dispatch"))

BOOST_AUTO_TEST_CASE(The_parts_of_all_zones_add_up_to_the_quota_in_proportion_to_their_slots)
{
    const auto configuration = makeThreeZones();
    for (std::uint32_t quota = 0; quota < 200; ++quota) {
        const auto fraser = zoneQuota(quota, configuration, "fraser");
        const auto island = zoneQuota(quota, configuration, "island");
        const auto sunshine = zoneQuota(quota, configuration, "sunshine");
        BOOST_TEST(fraser + island + sunshine == quota);
        BOOST_TEST(fraser <= quota / 6 + 1);
        BOOST_TEST(sunshine >= quota / 2);
    }
}

BOOST_AUTO_TEST_CASE(The_parts_of_hosts_that_see_all_members_add_up_to_the_quota)
{
    const std::vector<std::string> members = {"a", "b", "c"};
    for (std::uint32_t quota = 0; quota < 50; ++quota) {
        std::uint32_t sum = 0;
        for (const auto &self : members) {
            sum += hostQuota(quota, 0, members, self);
        }
        BOOST_TEST(sum == quota);
    }
}

BOOST_AUTO_TEST_CASE(Hosts_that_do_not_see_each_other_never_exceed_the_quota_of_a_zone_with_a_declared_host_count)
{
    const std::vector<std::string> hosts = {"a", "b", "c"};
    for (std::uint32_t quota = 0; quota < 50; ++quota) {
        const auto sum = hostQuota(quota, 3, {"a"}, "a") + hostQuota(quota, 3, {"b", "c"}, "b") + hostQuota(quota, 3, hosts, "c");
        BOOST_TEST(sum <= quota);
    }
}

BOOST_AUTO_TEST_CASE(A_team_never_runs_more_tasks_than_its_quota_while_others_use_the_slots)
{
    teams = {{"small", 2}, {"field", 100}};
    configure(1, 8);
    submit(makeTeamJob("s", 6, "small"));
    BOOST_TEST(startsOf("s") == 2);
    submit(makeTeamJob("f", 6, "field"));
    BOOST_TEST(startsOf("f") == 6);
    finish(0);
    BOOST_TEST(startsOf("s") == 3);
}

BOOST_AUTO_TEST_CASE(Jobs_of_a_team_that_has_exhausted_its_quota_request_no_slots_from_peers)
{
    teams = {{"small", 2}, {"field", 100}};
    configure(1, 4);
    submit(makeTeamJob("s", 3, "small"));
    BOOST_TEST(dispatcher.queue().unstartedTasks() == 1);
    BOOST_TEST(dispatcher.queue().smallestJob() == 0);
    BOOST_TEST(dispatcher.queue().frontJobs(4).empty());
    submit(makeTeamJob("f", 5, "field"));
    BOOST_TEST(dispatcher.queue().smallestJob() == 3);
    finish(0);
    BOOST_TEST(dispatcher.queue().unstartedTasks() == 3);
}

BOOST_AUTO_TEST_CASE(A_team_without_any_quota_on_this_host_is_refused_at_once)
{
    teams = {{"none", 0}};
    configure(1, 8);
    submit(makeTeamJob("n", 1, "none"));
    BOOST_TEST((answers.at(0).code == ResultCode::QuotaExceeded));
}

BOOST_AUTO_TEST_CASE(A_job_that_misses_its_deadline_because_of_its_teams_own_work_is_refused_by_the_quota)
{
    teams = {{"small", 1}};
    configure(1, 8);
    for (int i = 0; i < 20; ++i) {
        submit(makeTeamJob("learn" + std::to_string(i), 1, "small"));
        now += Milliseconds(100);
        finish(port.started.size() - 1);
    }
    answers.clear();
    submit(makeTeamJob("running", 51, "small"));
    auto job = makeTeamJob("late", 60, "small");
    job.deadline = Milliseconds(10000);
    submit(job);
    BOOST_REQUIRE_EQUAL(answers.size(), 1);
    BOOST_TEST((answers[0].code == ResultCode::QuotaExceeded));
    BOOST_TEST(answers[0].retryAfter.count() >= 990);
    BOOST_TEST(answers[0].retryAfter.count() <= 1010);
}

BOOST_AUTO_TEST_CASE(A_team_over_its_fair_share_waits_for_one_below_it)
{
    teams = {{"flood", 100}, {"field", 100}};
    configure(1, 8);
    for (int i = 0; i < 40; ++i) {
        submit(makeTeamJob("flood" + std::to_string(i), 1, "flood"));
    }
    submit(makeTeamJob("f", 10, "field"));
    for (std::size_t i = 0; i < 4; ++i) {
        finish(i);
    }
    BOOST_TEST(startsOf("f") == 4);
    finish(4);
    BOOST_TEST(startsOf("f") == 4);
}

BOOST_AUTO_TEST_SUITE_END()
