#include "caller/jobcodec.h"
#include "site/site.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include <future>
#include <thread>

using namespace Anvilcart;
namespace json = boost::json;

namespace
{
constexpr std::size_t Hosts = 3;
constexpr std::chrono::milliseconds PollInterval {20};
constexpr std::chrono::milliseconds TaskRunTime {100};
constexpr int MostResubmissions = 600;

SiteOptions claimSite()
{
    SiteOptions options;
    options.entryHostsPerZone = Hosts;
    return options;
}

/// A site whose targets count the starts of each key.
struct ClaimSite
{
    /// Waits until every host has read the log's claims.
    ClaimSite()
    {
        for (std::size_t host = 0; host < Hosts; ++host) {
            for (int i = 0; i < MostResubmissions && send(host, "warm-up").get().code == ResultCode::ClaimsUnavailable; ++i) {
                std::this_thread::sleep_for(PollInterval);
            }
        }
    }

    Site site {claimSite(), ANVILCART_BINARIES};
    int lastSubmission = 0;

    JobSpec makeJob(const std::vector<std::string> &keys)
    {
        JobSpec job;
        job.submission = "s" + std::to_string(++lastSubmission);
        job.team = "field";
        job.deadline = std::chrono::milliseconds(5000);
        for (const auto &key : keys) {
            TaskSpec task;
            task.id = "t-" + key;
            task.kind = "stamp";
            task.payload = std::to_string(std::chrono::microseconds(TaskRunTime).count());
            task.idempotent = false;
            task.idempotencyKey = key;
            task.keyExpiry = std::chrono::seconds(3600);
            job.tasks.push_back(task);
        }
        return job;
    }

    /// Sends a job of one non-idempotent task through one entry host.
    std::future<JobAnswer> send(std::size_t host, const std::string &key)
    {
        return std::async(std::launch::async, [this, door = site.callerDoor(0, host), body = encodeJob(makeJob({key}))] {
            return decodeAnswer(site.call(door, "POST", "/v1/jobs", body).body);
        });
    }

    /// Sends the key through every entry host in turn until one answers for good: whole, or that it may have run.
    JobAnswer resubmit(const std::string &key, std::size_t hosts = Hosts)
    {
        JobAnswer answer;
        for (int i = 0; i < MostResubmissions; ++i) {
            answer = send(static_cast<std::size_t>(i) % hosts, key).get();
            if (answer.code == ResultCode::Complete || answer.code == ResultCode::KeyMayHaveRun) {
                return answer;
            }
            std::this_thread::sleep_for(PollInterval);
        }
        return answer;
    }

    std::uint64_t starts(const std::string &key)
    {
        const auto value = json::parse(site.startsByKey());
        const auto *count = value.as_object().if_contains(key);
        return count != nullptr ? count->to_number<std::uint64_t>() : 0;
    }

    /// Waits until the targets have started the key once.
    bool waitForStart(const std::string &key)
    {
        for (int i = 0; i < MostResubmissions && starts(key) == 0; ++i) {
            std::this_thread::sleep_for(PollInterval);
        }
        return starts(key) > 0;
    }

    bool runIdempotentJob(std::size_t host)
    {
        auto job = makeJob({"unused"});
        job.tasks[0].idempotent = true;
        return decodeAnswer(site.call(site.callerDoor(0, host), "POST", "/v1/jobs", encodeJob(job)).body).code == ResultCode::Complete;
    }
};
} // namespace

BOOST_FIXTURE_TEST_SUITE(ClaimsSuite, ClaimSite, *boost::unit_test::label("process"))

BOOST_AUTO_TEST_CASE(A_key_that_is_sent_through_every_host_at_once_runs_once_and_gives_one_output)
{
    for (int round = 0; round < 5; ++round) {
        const auto key = "race-" + std::to_string(round);
        std::vector<std::future<JobAnswer>> answers;
        for (std::size_t i = 0; i < 4 * Hosts; ++i) {
            answers.push_back(send(i % Hosts, key));
        }
        std::string output;
        for (auto &pending : answers) {
            const auto answer = pending.get();
            BOOST_TEST((answer.code == ResultCode::Complete || answer.code == ResultCode::KeyClaimedElsewhere));
            output = answer.code == ResultCode::Complete ? answer.results.at(0).output : output;
        }
        const auto again = resubmit(key);
        BOOST_TEST((again.code == ResultCode::Complete));
        BOOST_TEST((output.empty() || again.results.at(0).output == output));
        BOOST_TEST(starts(key) == 1);
    }
}

BOOST_AUTO_TEST_CASE(A_key_whose_claimant_was_killed_while_its_task_ran_may_have_run_and_never_runs_again)
{
    site.setTargetFault("*", "slow", 100);
    auto lost = send(0, "killed");
    BOOST_REQUIRE(waitForStart("killed"));
    site.entryHost(0, 0).kill();
    lost.get();
    site.setTargetFault("*", "none");
    site.restartEntryHost(0, 0);
    const auto answer = resubmit("killed");
    BOOST_TEST((answer.code == ResultCode::KeyMayHaveRun));
    BOOST_TEST(starts("killed") == 1);
}

BOOST_AUTO_TEST_CASE(A_claimant_that_is_frozen_and_continued_starts_nothing_that_another_may_have_started)
{
    for (int round = 0; round < 5; ++round) {
        const auto key = "frozen-" + std::to_string(round);
        site.controlPlatform(R"({"sync_ms":50})");
        auto slow = send(0, key);
        std::this_thread::sleep_for(std::chrono::milliseconds(15 * round));
        site.entryHost(0, 0).freeze();
        std::vector<std::future<JobAnswer>> others;
        for (int i = 0; i < 6; ++i) {
            others.push_back(send(1 + static_cast<std::size_t>(i) % 2, key));
            std::this_thread::sleep_for(PollInterval);
        }
        site.entryHost(0, 0).thaw();
        slow.get();
        for (auto &other : others) {
            other.get();
        }
        site.controlPlatform(R"({"sync_ms":5})");
        resubmit(key);
        BOOST_TEST(starts(key) <= 1);
    }
}

BOOST_AUTO_TEST_CASE(A_claim_whose_append_lost_its_answer_is_settled_by_reading_it_back)
{
    site.controlPlatform(R"({"lose_answers":1})");
    BOOST_TEST((resubmit("lost").code == ResultCode::Complete));
    BOOST_TEST(starts("lost") == 1);
}

BOOST_AUTO_TEST_CASE(A_claim_that_takes_effect_after_its_job_was_answered_not_run_is_not_started)
{
    site.controlPlatform(R"({"late_appends":4,"late_ms":4000})");
    const auto first = send(0, "late").get();
    BOOST_TEST((first.code == ResultCode::ClaimsUnavailable || first.code == ResultCode::Complete));
    const auto startsThen = starts("late");
    BOOST_TEST(startsThen == (first.code == ResultCode::Complete ? 1 : 0));
    BOOST_TEST((resubmit("late").code == ResultCode::Complete));
    std::this_thread::sleep_for(std::chrono::milliseconds(5000));
    BOOST_TEST((resubmit("late").code == ResultCode::Complete));
    BOOST_TEST(starts("late") == 1);
}

BOOST_AUTO_TEST_CASE(While_the_log_is_down_claims_are_refused_as_not_run_and_idempotent_jobs_go_on)
{
    BOOST_TEST((resubmit("before").code == ResultCode::Complete));
    site.controlPlatform(R"({"outage":true})");
    for (std::size_t host = 0; host < Hosts; ++host) {
        BOOST_TEST((send(host, "down").get().code == ResultCode::ClaimsUnavailable));
        BOOST_TEST(runIdempotentJob(host));
    }
    BOOST_TEST((send(0, "before").get().code == ResultCode::Complete));
    BOOST_TEST(starts("down") == 0);
    site.controlPlatform(R"({"outage":false})");
    BOOST_TEST((resubmit("down").code == ResultCode::Complete));
    BOOST_TEST(starts("down") == 1);
    BOOST_TEST(starts("before") == 1);
}

BOOST_AUTO_TEST_CASE(Hosts_that_are_all_replaced_still_know_what_has_run)
{
    const auto first = resubmit("kept");
    BOOST_REQUIRE((first.code == ResultCode::Complete));
    for (std::size_t host = 0; host < Hosts; ++host) {
        site.entryHost(0, host).terminate();
        site.entryHost(0, host).wait();
        site.restartEntryHost(0, host);
    }
    const auto again = resubmit("kept");
    BOOST_TEST((again.code == ResultCode::Complete));
    BOOST_TEST(again.results.at(0).output == first.results.at(0).output);
    BOOST_TEST(starts("kept") == 1);
}

BOOST_AUTO_TEST_CASE(A_job_that_met_only_refusals_gives_its_key_back)
{
    site.setTargetFault("*", "refuse");
    BOOST_TEST((send(0, "refused").get().code == ResultCode::RetryBudgetExhausted));
    BOOST_TEST(starts("refused") == 0);
    site.setTargetFault("*", "none");
    BOOST_TEST((resubmit("refused").code == ResultCode::Complete));
    BOOST_TEST(starts("refused") == 1);
}

BOOST_AUTO_TEST_SUITE_END()
