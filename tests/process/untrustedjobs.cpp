#include "untrustedclientsfixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>
#include <sstream>
#include <string>

using namespace Anvilcart;

namespace
{
/// More than the callers' connections of the tested host.
constexpr std::size_t PatientCallers = 200;
constexpr std::size_t LongTextBytes = 100000;
/// What a reader of the log takes at once, and what a pipe writes in one piece.
constexpr std::size_t LongestLine = 4096;

std::string jobRequest(const std::string &id, const std::string &body, const std::string &timeoutMs)
{
    return "POST /checks/" + id + " HTTP/1.1\r\nHost: desk.example\r\nX-Anvilcart-Timeout-Ms: " + timeoutMs
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
} // namespace

// Valid jobs whose fields are at the limits.
BOOST_FIXTURE_TEST_SUITE(UntrustedJobsSuite, UntrustedClientsFixture, *boost::unit_test::label("untrusted"))

BOOST_AUTO_TEST_CASE(Callers_that_wait_for_an_hour_leave_an_answer_to_others)
{
    std::vector<std::unique_ptr<UntrustedClients>> clients;
    const std::string body = R"({"spec":"600000","steps":[{"count":18,"cpu":10000,"mem_mb":1,"estimate_ms":600000}],"best_effort":true})";
    for (std::size_t caller = 0; caller < PatientCallers; ++caller) {
        const auto request = jobRequest(nextId(), body, "3600000");
        clients.push_back(std::make_unique<UntrustedClients>(site.callerEndpoint(0), 1));
        clients.back()->send(request, "-", request.size(), [this] {
            return exceedsMemory();
        });
    }
    // The targets are busy, so that a refusal is an answer too.
    BOOST_TEST(eventually([this] {
        return site.submit(0, "checks", nextId(), 1, Milliseconds(10)).status != 0;
    }));
    clients.clear();
    checkHost();
}

BOOST_AUTO_TEST_CASE(Lines_of_the_log_are_short_whatever_a_job_holds)
{
    const std::string body = R"({"spec":"10","steps":[{"count":12,"cpu":10000,"mem_mb":1,"estimate_ms":10,"data_rack":")"
        + std::string(LongTextBytes, 'r') + R"("}],"best_effort":true})";
    BOOST_TEST(site.request(0, "POST", "/checks/" + nextId(), body).status != 0);
    BOOST_TEST(site.request(0, "DELETE", "/checks/" + std::string(HeaderLimit / 2, 'd'), "").status == 404);
    checkHost();
    std::size_t longest = 0;
    BOOST_TEST(eventually([this] {
        return site.log(0).find("event=request_refused") != std::string::npos;
    }));
    std::istringstream log(site.log(0));
    for (std::string line; std::getline(log, line);) {
        longest = std::max(longest, line.size());
    }
    BOOST_TEST(longest <= LongestLine);
}

BOOST_AUTO_TEST_SUITE_END()
