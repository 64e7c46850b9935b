#include "site/measure.h"
#include "site/site.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <functional>
#include <sstream>
#include <thread>

using namespace Anvilcart;
namespace json = boost::json;

namespace
{
constexpr double LoadOfOneHost = 0.8;
constexpr int RunSeconds = 12;
constexpr int Seed = 11;
constexpr std::chrono::microseconds ClientDelay {1000};
constexpr std::chrono::seconds PollLimit {60};
constexpr std::chrono::milliseconds PollInterval {50};

/// A site of one zone, and what the tests of its peers ask of it.
struct PeersFixture
{
    double metric(std::size_t host, const std::string &name)
    {
        std::istringstream lines(site.call(site.callerDoor(0, host), "GET", "/metrics").body);
        for (std::string line; std::getline(lines, line);) {
            if (line.starts_with(name + " ")) {
                return std::stod(line.substr(name.size() + 1));
            }
        }
        return 0;
    }

    static void waitUntil(const std::string &what, const std::function<bool()> &holds)
    {
        const auto limit = std::chrono::steady_clock::now() + PollLimit;
        while (!holds()) {
            BOOST_REQUIRE_MESSAGE(std::chrono::steady_clock::now() < limit, "still waiting until " << what);
            std::this_thread::sleep_for(PollInterval);
        }
    }

    void waitForMembers(std::size_t host, double count)
    {
        waitUntil("the members are " + std::to_string(count), [&] {
            return metric(host, "anvilcart_peer_members") == count;
        });
    }

    void waitForLoans(std::size_t host)
    {
        waitUntil("the host lends", [&] {
            return metric(host, R"(anvilcart_loans_total{event="offered"})") > 0;
        });
    }

    void requireSingleStarts()
    {
        const auto ledger = json::parse(site.ledger());
        for (const auto &submission : ledger.as_object()) {
            for (const auto &task : submission.value().as_object()) {
                BOOST_TEST(task.value().to_number<int>() == 1, submission.key() << "/" << task.key() << " started more than once");
            }
        }
    }

    /// Every answer was whole and right or told its failure, and "not run" only where nothing ran.
    void requireTruthfulAnswers(bool allAnswered)
    {
        const auto report = json::parse(site.callersReport(0));
        const auto ledgerValue = json::parse(site.ledger());
        BOOST_TEST(report.at("wrong").to_number<int>() == 0);
        BOOST_TEST(report.at("whole").to_number<int>() > 0);
        if (allAnswered) {
            BOOST_TEST(report.at("unanswered").to_number<int>() == 0);
        }
        for (const auto &submission : report.at("not_run_submissions").as_array()) {
            BOOST_TEST(!ledgerValue.as_object().contains(submission.as_string()));
        }
        BOOST_TEST_MESSAGE("callers: " << site.callersReport(0));
    }

    Site site {SiteOptions(), ANVILCART_BINARIES};
};
} // namespace

BOOST_FIXTURE_TEST_SUITE(PeersSuite, PeersFixture, *boost::unit_test::label("process"))

BOOST_AUTO_TEST_CASE(A_peer_that_is_killed_while_it_lends_costs_no_second_start_and_its_slots_are_taken_over)
{
    waitForMembers(0, 2);
    auto callers = site.startCallers(0, LoadOfOneHost, RunSeconds, Seed, ClientDelay);
    waitForLoans(1);
    site.entryHost(0, 1).kill();
    waitForMembers(0, 1);
    callers->wait();
    requireTruthfulAnswers(false);
    requireSingleStarts();
    site.restartEntryHost(0, 1);
    waitForMembers(0, 2);
    waitForMembers(1, 2);
}

BOOST_AUTO_TEST_CASE(A_host_that_is_frozen_under_load_and_goes_on_starts_nothing_twice)
{
    waitForMembers(0, 2);
    auto callers = site.startCallers(0, LoadOfOneHost, RunSeconds, Seed, ClientDelay);
    waitForLoans(1);
    site.entryHost(0, 1).freeze();
    waitForMembers(0, 1);
    site.entryHost(0, 1).thaw();
    waitForMembers(0, 2);
    waitForMembers(1, 2);
    callers->wait();
    requireTruthfulAnswers(true);
    requireSingleStarts();
}

BOOST_AUTO_TEST_CASE(A_host_that_drains_under_load_exits_cleanly_and_its_slots_are_taken_over)
{
    waitForMembers(0, 2);
    auto callers = site.startCallers(0, LoadOfOneHost, RunSeconds, Seed, ClientDelay);
    waitForLoans(1);
    site.entryHost(0, 1).terminate();
    BOOST_TEST(site.entryHost(0, 1).wait() == 0);
    waitForMembers(0, 1);
    callers->wait();
    requireTruthfulAnswers(false);
    requireSingleStarts();
}

BOOST_AUTO_TEST_SUITE_END()
