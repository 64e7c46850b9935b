#include "verbs/requestexplanation.h"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <sstream>

using namespace Anvilcart;

namespace
{
/// The causes that are found from the lines in a section of docs/OPERATIONS.md, which are those of a recorded day.
std::string causeInPage(const std::string &heading, const std::string &id)
{
    std::ifstream page(ANVILCART_SOURCE "/docs/OPERATIONS.md");
    std::stringstream lines;
    std::string line;
    bool inSection = false;
    while (std::getline(page, line)) {
        if (line.starts_with("## ")) {
            inSection = line == "## " + heading;
        } else if (inSection && line.starts_with("    ")) {
            lines << line << "\n";
        }
    }
    RequestExplanation explanation(id);
    explanation.read(lines);
    std::string causes;
    for (const auto &cause : explanation.causes()) {
        causes += cause + "\n";
    }
    return causes;
}

std::string explain(const std::string &lines, const std::string &id = "00000000000000aa")
{
    std::istringstream stream(lines);
    RequestExplanation explanation(id);
    explanation.read(stream);
    return explanation.text();
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}
} // namespace

BOOST_AUTO_TEST_SUITE(RequestExplanationSuite)

BOOST_AUTO_TEST_CASE(The_operators_page_leads_from_a_refused_request_to_its_cause)
{
    const auto cause = causeInPage("Refused for load", "19d7fe0d25f224dd");
    BOOST_TEST(contains(cause, "refused after 1 ms and has not run: overload"), cause);
    BOOST_TEST(contains(cause, "could not have ended while its caller waits"), cause);
}

BOOST_AUTO_TEST_CASE(The_operators_page_leads_from_a_request_of_a_lost_host_to_its_cause)
{
    const auto cause = causeInPage("Lost with a host or target", "58201cd7ef5d745a");
    BOOST_TEST(contains(cause, "answered as completed after 1499 ms"), cause);
    BOOST_TEST(contains(cause, "first dispatcher was lost or sent it on; it was handed over 2 times"), cause);
}

BOOST_AUTO_TEST_CASE(The_operators_page_leads_from_a_late_request_to_its_cause)
{
    const auto cause = causeInPage("Late, or no answer in time", "dc5d044cee7a0d3a");
    BOOST_TEST(contains(cause, "answered as unknown after 1512 ms: time_is_over"), cause);
    BOOST_TEST(contains(cause, "handed over 2 times"), cause);
}

BOOST_AUTO_TEST_CASE(A_late_request_waited_for_room_or_ran_long)
{
    const std::string answered =
        "host=a event=answered job=00000000000000aa answer=completed reason=all_tasks_done response_ms=900.0 dispatcher=b tries=1\n";
    const auto waited = explain("host=b event=start run=00000000000000aa/0/1#1 target=t waited_ms=700.0 expected_ms=100.0\n" + answered);
    BOOST_TEST(contains(waited, "Its last task waited 700 ms for room."), waited);
    const auto ran = explain("host=b event=start run=00000000000000aa/0/1#1 target=t waited_ms=2.0 expected_ms=100.0\n"
                             "host=b event=run_ended run=00000000000000aa/0/1#1 target=t end=done run_ms=880.0 known=yes\n"
                             + answered);
    BOOST_TEST(contains(ran, "Its longest run took 880 ms where 100 ms was expected."), ran);
}

BOOST_AUTO_TEST_CASE(Losses_shortly_before_and_the_use_of_targets_are_shown)
{
    const auto text =
        explain("host=b event=target_silent target=t lost_runs=2\n"
                "host=b event=usage targets=48 queued_jobs=200\n"
                "host=b event=job_ended job=00000000000000aa end=not_run reason=waited_too_long since_ms=900.0\n"
                "host=a event=answered job=00000000000000aa answer=not_run reason=waited_too_long response_ms=901.0 tries=1\n");
    BOOST_TEST(contains(text, "Lost shortly before:\n  host=b event=target_silent target=t"), text);
    BOOST_TEST(contains(text, "just before: host=b event=usage targets=48 queued_jobs=200"), text);
}

// The reason "overload" alone names the forecast at arrival, which this job had passed.
BOOST_AUTO_TEST_CASE(A_late_job_that_was_refused_is_told_how_many_others_would_have_been_late)
{
    const auto text = explain("host=b event=late_job_refused job=00000000000000aa route=r waited_ms=131.0 forecast_to_miss=17\n"
                              "host=b event=job_ended job=00000000000000aa end=not_run reason=overload since_ms=131.0\n"
                              "host=a event=answered job=00000000000000aa answer=not_run reason=overload response_ms=132.0 tries=1\n");
    BOOST_TEST(contains(text, "It had waited 131 ms and could no longer meet its objective, while 17 other jobs"), text);
}

BOOST_AUTO_TEST_CASE(A_request_whose_entry_host_ended_is_told_so)
{
    const auto text = explain("host=a event=job_sent job=00000000000000aa dispatcher=b try=1\n"
                              "host=a event=start zone=z door=127.0.0.1:1 policy=fair-share\n");
    BOOST_TEST(contains(text, "Its entry host ended before it answered"), text);
}

BOOST_AUTO_TEST_CASE(Other_requests_foreign_text_and_broken_lines_are_passed_over)
{
    std::istringstream lines(
        "nothing of ours\nhost=\nhost=a event\n\xff\xfe=\"\nhost=a event=answered job=00000000000000ab answer=completed\n"
        "2026-12-04T05:00:00Z front-1 up=1.0 host=a event=request_refused job=00000000000000aa status=404 reason=\"no such "
        "\\\"queue\\\"\"\n");
    RequestExplanation explanation("00000000000000aa");
    explanation.read(lines);
    BOOST_TEST(explanation.isKnown());
    BOOST_TEST(contains(explanation.text(), "refused at the door with status 404: no such \"queue\"."), explanation.text());
}

BOOST_AUTO_TEST_SUITE_END()
