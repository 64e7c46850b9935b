#include "processsupport.h"
#include "rawconnection.h"
#include "service/servicesite.h"
#include "verbs/requestexplanation.h"

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <future>
#include <sstream>
#include <sys/stat.h>

using namespace Anvilcart;

namespace
{
struct ServiceFixture
{
    ServiceFixture()
        : site(ServiceSiteOptions(), ANVILCART_BINARIES)
    {
        site.publish(1, {"checks"});
        BOOST_REQUIRE(eventually([this] {
            return site.isReady();
        }));
    }

    std::string id()
    {
        char text[17];
        std::snprintf(text, sizeof(text), "%016x", ++jobs);
        return text;
    }

    /// The host that has claimed the pool of targets.
    std::size_t dispatcher()
    {
        std::size_t found = 0;
        BOOST_REQUIRE(eventually([&] {
            for (std::size_t host = 0; host < site.hostCount(); ++host) {
                const bool claims = site.host(host).isRunning() && site.log(host).find("change=claimed") != std::string::npos;
                if (claims) {
                    found = host;
                    return true;
                }
            }
            return false;
        }));
        return found;
    }

    bool completes(std::size_t host, Milliseconds runTime = Milliseconds(30))
    {
        const auto reply = site.submit(host, "checks", id(), 3, runTime);
        return reply.status == 200 && reply.body == R"({"state":"completed"})";
    }

    unsigned jobs = 0;
    ServiceSite site;
};
} // namespace

BOOST_FIXTURE_TEST_SUITE(ServiceSuite, ServiceFixture)

BOOST_AUTO_TEST_CASE(Every_host_takes_jobs_and_answers_when_the_last_task_has_ended)
{
    for (std::size_t host = 0; host < site.hostCount(); ++host) {
        BOOST_TEST(completes(host));
    }
    BOOST_TEST(site.startCount("0000000000000001.0.0.2") == 1);
    BOOST_TEST(site.duplicateRuns() == 0);
    BOOST_TEST(site.metrics(0).find("anvilcart_callers_answered_total") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(A_job_that_runs_longer_than_its_routes_timeout_is_served_while_its_caller_waits)
{
    const auto reply = site.submit(0, "checks", id(), 1, ServiceSite::RouteTimeout + Milliseconds(400), Seconds(9));
    BOOST_TEST(reply.status == 200);
}

BOOST_AUTO_TEST_CASE(Wrong_requests_get_one_clear_status_each)
{
    const std::string good = R"({"spec":"10","steps":[{"count":1,"cpu":1000,"mem_mb":1,"estimate_ms":10}],"best_effort":true})";
    BOOST_TEST(site.request(0, "POST", "/nowhere/" + id(), good).status == 404);
    BOOST_TEST(site.request(0, "POST", "/checks/short", good).status == 400);
    BOOST_TEST(site.request(0, "POST", "/checks/" + id(), "no json").status == 400);
    BOOST_TEST(site.request(0, "POST", "/checks/" + id(), R"({"steps":[{"count":0}]})").status == 400);
    BOOST_TEST(site.request(0, "POST", "/checks/" + id(), std::string(30000, ' ')).status == 413);
    BOOST_TEST(site.request(0, "POST", "/checks/" + id(), R"({"spec":"1","steps":[{"count":1,"gang":true}],"best_effort":true})").status
               == 503);
    BOOST_TEST(site.request(0, "POST", "/checks/" + id(), R"({"spec":"1","steps":[{"count":1}]})").status == 503);
    BOOST_TEST(site.request(0, "GET", "/checks/" + id(), "").status == 410);
    BOOST_TEST(site.request(0, "DELETE", "/checks/" + id(), "").status == 410);
    BOOST_TEST(site.request(0, "GET", "/checks/", "").body == R"({"waiting":0})");
    BOOST_TEST(completes(0));
}

BOOST_AUTO_TEST_CASE(A_published_configuration_is_in_force_on_every_host_and_never_falls_back)
{
    site.publish(5, {"checks", "stamps"});
    BOOST_TEST(eventually([this] {
        return site.submit(0, "stamps", id(), 1, Milliseconds(5)).status == 200
            && site.submit(2, "stamps", id(), 1, Milliseconds(5)).status == 200;
    }));
    site.publish(3, {"checks"});
    site.store().dropHistory();
    site.publish(6, {"checks", "stamps", "renewals"});
    BOOST_TEST(eventually([this] {
        return site.submit(1, "renewals", id(), 1, Milliseconds(5)).status == 200;
    }));
    BOOST_TEST(site.submit(1, "stamps", id(), 1, Milliseconds(5)).status == 200);
}

BOOST_AUTO_TEST_CASE(Jobs_go_on_while_the_store_is_away)
{
    site.store().setUnavailable(true);
    std::this_thread::sleep_for(Milliseconds(1500));
    for (std::size_t host = 0; host < site.hostCount(); ++host) {
        BOOST_TEST(completes(host));
    }
}

BOOST_AUTO_TEST_CASE(A_host_that_starts_while_the_store_is_away_takes_its_configuration_from_its_peers)
{
    const auto host = (dispatcher() + 1) % site.hostCount();
    site.host(host).terminate();
    BOOST_REQUIRE(site.host(host).wait() == 0);
    site.store().setUnavailable(true);
    site.startHost(host);
    BOOST_TEST(eventually([this] {
        return site.isReady();
    }));
    BOOST_TEST(completes(host));
    // The log is written with a delay.
    BOOST_TEST(eventually([this, host] {
        return site.log(host).find("source=peer") != std::string::npos;
    }));
    BOOST_TEST(site.log(host).find("source=store") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(A_host_without_a_configuration_is_not_ready_and_refuses_jobs)
{
    ServiceSite lone(ServiceSiteOptions {{"a"}}, ANVILCART_BINARIES);
    HttpReply reply;
    BOOST_REQUIRE(eventually([&] {
        reply = lone.submit(0, "checks", id(), 1, Milliseconds(5));
        return reply.status != 0;
    }));
    BOOST_TEST(reply.status == 503);
    BOOST_TEST(reply.body.find("no configuration yet") != std::string::npos, reply.body);
    BOOST_TEST(!lone.isReady());
}

BOOST_AUTO_TEST_CASE(When_the_dispatcher_is_killed_another_host_serves_and_no_task_runs_twice_at_once)
{
    const auto leader = dispatcher();
    const auto other = (leader + 1) % site.hostCount();
    auto inFlight = std::async(std::launch::async, [this, other] {
        return site.submit(other, "checks", "00000000000000ff", 4, Milliseconds(600));
    });
    BOOST_REQUIRE(eventually([this] {
        return site.startCount("00000000000000ff.0.0.3") == 1;
    }));
    site.host(leader).kill();
    const auto reply = inFlight.get();
    BOOST_TEST(reply.status == 200);
    BOOST_TEST(eventually([this, other] {
        return completes(other);
    }));
    BOOST_TEST(site.duplicateRuns() == 0);
}

BOOST_AUTO_TEST_CASE(A_stopped_host_cuts_no_request_and_hands_its_targets_over)
{
    const auto leader = dispatcher();
    const auto other = (leader + 1) % site.hostCount();
    auto own = std::async(std::launch::async, [this, leader] {
        return site.submit(leader, "checks", "00000000000000aa", 2, Milliseconds(700));
    });
    auto foreign = std::async(std::launch::async, [this, other] {
        return site.submit(other, "checks", "00000000000000ab", 2, Milliseconds(700));
    });
    BOOST_REQUIRE(eventually([this] {
        return site.startCount("00000000000000aa.0.0.1") == 1 && site.startCount("00000000000000ab.0.0.1") == 1;
    }));
    site.host(leader).terminate();
    BOOST_TEST(own.get().status == 200);
    BOOST_TEST(foreign.get().status == 200);
    BOOST_TEST(site.host(leader).wait() == 0);
    BOOST_TEST(completes(other));
    BOOST_TEST(site.startCount("00000000000000aa.0.0.1") == 1);
    BOOST_TEST(site.log(leader).find("event=stop after_ms") != std::string::npos);
}

// Case hunt-3a24-19: a request that came after the stopping host had abandoned its jobs was passed on, and cut at the exit.
BOOST_AUTO_TEST_CASE(A_request_that_a_stopping_host_can_no_longer_finish_is_refused_and_not_cut)
{
    const auto host = (dispatcher() + 1) % site.hostCount();
    std::ofstream(site.settingsPath(host), std::ios::app) << "bounds.grace_s=3\n";
    ::kill(site.host(host).id(), SIGHUP);
    BOOST_REQUIRE(eventually([this, host] {
        return site.log(host).find("event=reload result=applied") != std::string::npos;
    }));
    const auto request = [](const char *id) {
        return ServiceSite::submissionText("checks", id, 1, Seconds(2), Seconds(5));
    };
    RawConnection kept(site.callerEndpoint(host));
    RawConnection slow(site.callerEndpoint(host));
    auto abandoned = std::async(std::launch::async, [this, host] {
        return site.submit(host, "checks", "00000000000000ba", 1, Seconds(8), Seconds(12));
    });
    BOOST_REQUIRE(eventually([this] {
        return site.startCount("00000000000000ba.0.0.0") == 1;
    }));
    site.host(host).terminate();
    // A request of which only a part has come keeps the process from ending with its last job.
    const auto slowRequest = request("00000000000000bc");
    BOOST_TEST(slow.send(slowRequest.substr(0, slowRequest.size() / 2)));
    BOOST_TEST(abandoned.get().status == 504);
    BOOST_TEST(kept.send(request("00000000000000bb")));
    const auto refusal = kept.readAll();
    BOOST_TEST(refusal.starts_with("HTTP/1.1 503"), refusal);
    BOOST_TEST(refusal.find("Retry-After: 1") != std::string::npos, refusal);
    BOOST_TEST(refusal.find("Connection: close") != std::string::npos, refusal);
    BOOST_TEST(slow.send(slowRequest.substr(slowRequest.size() / 2)));
    BOOST_TEST(slow.readAll().starts_with("HTTP/1.1 503"));
    BOOST_TEST(site.host(host).wait() == 0);
    BOOST_TEST(site.startCount("00000000000000bb.0.0.0") == 0);
    BOOST_TEST(site.startCount("00000000000000bc.0.0.0") == 0);
}

// review/8: the POST of a cancelled job was answered 504, so that its caller sent it again and it ran.
BOOST_AUTO_TEST_CASE(A_cancelled_job_does_not_run_when_its_caller_sends_it_again)
{
    const std::string job = "00000000000000ca";
    const std::string cancelled = R"({"state":"cancelled"})";
    auto waiting = std::async(std::launch::async, [this, job] {
        return site.submit(0, "checks", job, 1, Seconds(20), Seconds(30));
    });
    BOOST_REQUIRE(eventually([this, job] {
        return site.startCount(job + ".0.0.0") == 1;
    }));
    BOOST_TEST(site.request(1, "DELETE", "/checks/" + job, "").status == 200);
    BOOST_TEST(waiting.get().body == cancelled);
    // The host that has acknowledged the cancellation is lost.
    site.host(1).kill();
    for (const std::size_t host : {0, 2}) {
        BOOST_TEST(site.submit(host, "checks", job, 1, Milliseconds(30)).body == cancelled);
    }
    site.startHost(1);
    BOOST_REQUIRE(eventually([this] {
        return site.isReady();
    }));
    BOOST_TEST(site.submit(1, "checks", job, 1, Milliseconds(30)).body == cancelled);
    BOOST_TEST(site.startCount(job + ".0.0.0") == 1);
}

// review/9: a host that had just started answered 410 for a job that waited at another host.
BOOST_AUTO_TEST_CASE(A_host_that_has_just_started_does_not_deny_a_job_of_another_host)
{
    const std::string job = "00000000000000cb";
    site.host(2).kill();
    auto waiting = std::async(std::launch::async, [this, job] {
        return site.submit(0, "checks", job, 1, Seconds(20), Seconds(30));
    });
    BOOST_REQUIRE(eventually([this, job] {
        return site.startCount(job + ".0.0.0") == 1;
    }));
    site.startHost(2);
    int status = 0;
    BOOST_REQUIRE(eventually([this, job, &status] {
        status = site.request(2, "DELETE", "/checks/" + job, "").status;
        return status == 200 || status == 410;
    }));
    BOOST_TEST(status == 200);
    waiting.get();
}

// review/7: the caller of the second queue got the result of the first one's job, and its DELETE cancelled that.
BOOST_AUTO_TEST_CASE(Jobs_of_two_queues_with_the_same_id_are_two_jobs)
{
    site.publish(2, {"checks", "audits"});
    BOOST_REQUIRE(eventually([this] {
        return site.request(0, "GET", "/audits/", "").status == 200 && site.request(1, "GET", "/audits/", "").status == 200;
    }));
    const std::string job = "00000000000000cc";
    auto first = std::async(std::launch::async, [this, job] {
        return site.submit(0, "checks", job, 1, Seconds(2), Seconds(12));
    });
    BOOST_REQUIRE(eventually([this, job] {
        return site.startCount(job + ".0.0.0") == 1;
    }));
    BOOST_TEST(site.request(1, "DELETE", "/audits/" + job, "").status == 410);
    for (const std::size_t host : {0, 1}) {
        const auto second = site.submit(host, "audits", job, 1, Milliseconds(30), Seconds(12));
        BOOST_TEST(second.status == 200);
        BOOST_TEST(second.body == R"({"state":"completed"})");
        BOOST_TEST(site.startCount(job + ".0.0.0") == 2 + host);
    }
    const auto answer = first.get();
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.body == R"({"state":"completed"})");
    BOOST_TEST(site.duplicateRuns() == 0);
}

// A job keeps the route with which it came; a DELETE is answered by the routes in force.
BOOST_AUTO_TEST_CASE(A_job_of_a_queue_that_a_configuration_drops_goes_on)
{
    const std::string job = "00000000000000cd";
    auto waiting = std::async(std::launch::async, [this, job] {
        return site.submit(0, "checks", job, 1, Seconds(3), Seconds(12));
    });
    BOOST_REQUIRE(eventually([this, job] {
        return site.startCount(job + ".0.0.0") == 1;
    }));
    site.publish(2, {"audits"});
    BOOST_REQUIRE(eventually([this] {
        return site.request(0, "GET", "/checks/", "").status == 404;
    }));
    BOOST_TEST(site.request(0, "DELETE", "/checks/" + job, "").status == 404);
    const auto answer = waiting.get();
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.body == R"({"state":"completed"})");
}

BOOST_AUTO_TEST_CASE(A_target_that_leaves_is_given_no_new_task)
{
    BOOST_TEST(completes(0));
    for (std::size_t index = 1; index < site.workerCount(); ++index) {
        site.registerWorker(index, true);
    }
    BOOST_TEST(eventually([this] {
        const auto before = site.worker(0).starts().size();
        return completes(1) && site.worker(0).starts().size() == before + 3;
    }));
}

BOOST_AUTO_TEST_CASE(A_changed_settings_file_is_read_again_and_a_wrong_one_changes_nothing)
{
    std::ofstream(site.settingsPath(0), std::ios::app) << "bounds.grace_s=7\n";
    ::kill(site.host(0).id(), SIGHUP);
    BOOST_TEST(eventually([this] {
        return site.log(0).find("event=reload result=applied") != std::string::npos;
    }));
    std::ofstream(site.settingsPath(0), std::ios::app) << "bounds.grace_s=soon\n";
    ::kill(site.host(0).id(), SIGHUP);
    BOOST_TEST(eventually([this] {
        return site.log(0).find("bounds.grace_s is 'soon'; write seconds") != std::string::npos;
    }));
    BOOST_TEST(completes(0));
}

// SIGHUP in the first 5 ms of a process ended it, since the handler was not installed yet. A pipe in place of the settings file holds the
// process back at its beginning.
BOOST_AUTO_TEST_CASE(A_request_to_reload_that_arrives_while_a_process_starts_is_handled)
{
    const auto host = (dispatcher() + 1) % site.hostCount();
    site.host(host).terminate();
    BOOST_REQUIRE(site.host(host).wait() == 0);
    const auto settings = site.settingsPath(host);
    const auto pipe = settings.string() + ".pipe";
    const auto output = settings.string() + ".log";
    BOOST_REQUIRE(::mkfifo(pipe.c_str(), 0600) == 0);
    ChildProcess process(
        std::string(ANVILCART_BINARIES) + "/anvilcart", {"dispatch", "--settings", pipe}, output, settings.string() + ".err");
    // Opened when the process opens it for reading.
    std::ofstream writer(pipe);
    ::kill(process.id(), SIGHUP);
    writer << std::ifstream(settings).rdbuf();
    // The process reads the file again when it runs.
    std::filesystem::remove(pipe);
    std::filesystem::copy_file(settings, pipe);
    writer.close();
    BOOST_TEST(eventually([&] {
        std::ostringstream log;
        log << std::ifstream(output).rdbuf();
        return !process.isRunning() || log.str().find("event=reload") != std::string::npos;
    }));
    BOOST_TEST(process.isRunning());
}

BOOST_AUTO_TEST_CASE(A_refused_job_is_explained_by_its_id)
{
    const auto refused = site.submit(0, "checks", "00000000000000ee", 1, Milliseconds(9000), Milliseconds(1500));
    BOOST_TEST(refused.status == 503);
    BOOST_TEST(eventually([this] {
        const auto log = site.log(0);
        const auto line = log.find("event=answered job=00000000000000ee");
        return line != std::string::npos && log.substr(line, 200).find("answer=not_run reason=overload") != std::string::npos;
    }));
    BOOST_TEST(site.startCount("00000000000000ee.0.0.0") == 0);
    std::istringstream lines(site.log(0) + site.log(1) + site.log(2));
    RequestExplanation explanation("00000000000000ee");
    explanation.read(lines);
    BOOST_TEST(explanation.text().find("could not have ended while its caller waits") != std::string::npos, explanation.text());
}

BOOST_AUTO_TEST_SUITE_END()
