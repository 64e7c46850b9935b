#include "platform/configurationmessages.h"
#include "platform/jobmessages.h"
#include "platform/storemessages.h"
#include "platform/targetmessages.h"
#include "workload/routetable.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include <random>

using namespace Anvilcart;
using namespace Anvilcart::Platform;
using Fleet::RequestResult;

namespace
{
constexpr char JobId[] = "5c0e7a21d94b36f8";
const std::string JobBody =
    R"({"spec":"text","best_effort":true,"steps":[{"count":4,"cpu":500,"mem_mb":256,"estimate_ms":900,"data_rack":"r1"},
    {"count":2,"depends_on":[0],"required_label":"b","max_per_server":1,"gang":true}]})";
const std::string Entry =
    R"({"service":"s","address":"10.0.0.1:80","zone":"a","state":"ready","capacity":{"cpu":32000,"mem_mb":1024,"gpu":0},
    "labels":["a","r1"],"born":1700000000000,"sequence":4})";

HttpReply answeredWith(int status, const std::string &body)
{
    HttpReply reply;
    reply.progress = CallProgress::Answered;
    reply.status = status;
    reply.body = body;
    return reply;
}

std::string corrupted(std::string text, std::mt19937 &random)
{
    for (std::uint32_t change = 0; change <= random() % 4; ++change) {
        text[random() % text.size()] = static_cast<char>(random());
    }
    text.resize(random() % (text.size() + 1));
    return text;
}
} // namespace

BOOST_AUTO_TEST_SUITE(PlatformMessageSuite, *boost::unit_test::label("platform"))

BOOST_AUTO_TEST_CASE(A_job_is_decoded_with_its_steps)
{
    const auto decoding = decodeJob(JobId, JobBody);
    BOOST_REQUIRE(decoding.job.has_value());
    BOOST_TEST(decoding.job->answeredOnCompletion);
    BOOST_TEST(decoding.job->steps.at(0).dataRack == "r1");
    BOOST_TEST(decoding.job->steps.at(1).dependsOn.at(0) == 0);
    BOOST_TEST(decoding.job->steps.at(1).maxPerTarget == 1);
    BOOST_TEST(decoding.job->steps.at(1).gang);
}

BOOST_AUTO_TEST_CASE(An_invalid_job_is_rejected_with_an_error_message)
{
    BOOST_TEST(decodeJob("5c0e", JobBody).error.find("16 hexadecimal digits") != std::string::npos);
    BOOST_TEST(decodeJob(JobId, "[]").error == "the body is not a JSON object");
    BOOST_TEST(decodeJob(JobId, R"({"steps":[{"count":1,"depends_on":[0]}]})").error == "step 0: depends_on must name earlier steps");
}

// Guards against a kind that is taken for a rack: tasks of a rack-local step would be spread over all racks of the kind.
BOOST_AUTO_TEST_CASE(The_rack_of_a_target_is_its_second_label)
{
    BOOST_TEST(decodeTargetEntry("i-1", Entry)->rack == "r1");
    auto withoutRack = Entry;
    withoutRack.replace(withoutRack.find(R"(["a","r1"])"), 10, R"(["a"])");
    BOOST_TEST(decodeTargetEntry("i-1", withoutRack)->rack.empty());
}

BOOST_AUTO_TEST_CASE(An_invalid_target_record_is_rejected)
{
    BOOST_TEST(decodeTargetEntry("i-1", Entry).has_value());
    BOOST_TEST(!decodeTargetEntry("i-1", R"({"service":"s"})").has_value());
    BOOST_TEST(!decodeTargetEntry("i-1", "\x01\x02").has_value());
    auto unknownState = Entry;
    unknownState.replace(unknownState.find("ready"), 5, "asleep");
    BOOST_TEST(!decodeTargetEntry("i-1", unknownState).has_value());
}

BOOST_AUTO_TEST_CASE(Rejections_of_a_target_are_distinguished)
{
    BOOST_TEST((decodeTargetReply(answeredWith(200, R"({"clock_ms":5})")).result == RequestResult::Accepted));
    BOOST_TEST((decodeTargetReply(answeredWith(409, R"({"clock_ms":5,"reason":"fence"})")).result == RequestResult::Fenced));
    BOOST_TEST((decodeTargetReply(answeredWith(409, R"({"clock_ms":5,"reason":"old"})")).result == RequestResult::RunOutdated));
    BOOST_TEST((decodeTargetReply(answeredWith(421, "")).result == RequestResult::WrongIncarnation));
    BOOST_TEST((decodeTargetReply(answeredWith(503, "")).result == RequestResult::Rejected));
    HttpReply sent;
    sent.progress = CallProgress::Sent;
    BOOST_TEST((decodeTargetReply(sent).result == RequestResult::Unknown));
}

BOOST_AUTO_TEST_CASE(An_invalid_listing_is_rejected_instead_of_read_as_empty)
{
    const auto renewal = decodeRenewalReply(answeredWith(
        200,
        R"({"clock_ms":9,"born":3,"running":[["5c0e7a21d94b36f8.0.1.17",2,"",41]],"ended_runs":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})"));
    BOOST_TEST((renewal.result == RequestResult::Accepted));
    BOOST_TEST(renewal.listing.running.at(0).name.task.index == 17);
    BOOST_TEST(renewal.listing.running.at(0).percent == 41);
    BOOST_TEST((renewal.listing.ended.at(0).end == Fleet::RunEnd::Done));
    BOOST_TEST((decodeRenewalReply(answeredWith(200, "{}")).result == RequestResult::Rejected));
}

BOOST_AUTO_TEST_CASE(Start_requests_are_encoded_for_targets)
{
    Fleet::StartRequest request;
    request.name = {{JobId, 0, 1, 17}, 2};
    request.payload = "text";
    request.leaseUntilMs = 486000;
    request.fencingToken = 7;
    const auto call = startCall("i-1", request);
    BOOST_TEST(call.body == R"({"task":"5c0e7a21d94b36f8.0.1.17","run":2,"spec":"text","deadline_ms":486000,"fencing_token":7})");
    BOOST_TEST(call.headers.at(0).value == "i-1");
}

BOOST_AUTO_TEST_CASE(A_log_page_is_decoded_with_its_next_offset)
{
    const auto call = appendCall("topic", {"key", "value"});
    std::string body("\0\0\0\0\0\0\0\x06\0\0\0\0\0\0\0\0", 16);
    body += call.body;
    const auto page = decodeLogPage(answeredWith(200, body), 5);
    BOOST_REQUIRE(page.has_value());
    BOOST_TEST(page->endOffset == 6);
    BOOST_TEST(page->nextOffset == 6);
    BOOST_TEST(page->records.at(0).key == "key");
    BOOST_TEST(page->records.at(0).value == "value");
    BOOST_TEST(!decodeLogPage(answeredWith(200, body.substr(0, body.size() - 1)), 5).has_value());
    BOOST_TEST(isExpired(answeredWith(410, "{}")));
}

BOOST_AUTO_TEST_CASE(Only_keys_that_name_a_zone_evacuate_one)
{
    BOOST_TEST(evacuatedZone("evacuate/zone-1").value() == "zone-1");
    BOOST_TEST(evacuatedZone("evacuate/%2F a/\"\n").value() == "%2F a/\"\n");
    BOOST_TEST(!evacuatedZone("evacuate/").has_value());
    BOOST_TEST(!evacuatedZone("evacuate").has_value());
    BOOST_TEST(!evacuatedZone("config").has_value());
}

// Guards against an evacuation that ends because its value cannot be decoded, and against a decoder that writes beyond its buffer.
BOOST_AUTO_TEST_CASE(A_listed_value_that_cannot_be_decoded_is_not_empty)
{
    const auto valueOf = [](const std::string &value) {
        const auto page = decodeNewestPage(answeredWith(200, R"({"items":[{"key":"k","value":)" + value + R"(}],"end_offset":2})"));
        return page.value().records.at(0).value;
    };
    BOOST_TEST(valueOf(R"("dmFsdWU=")") == "value");
    BOOST_TEST(valueOf(R"("dmFsdWU")") == "value");
    for (const std::string unreadable : {R"("*")", R"("=")", "17", "{}", "false"}) {
        BOOST_TEST(!valueOf(unreadable).empty(), unreadable);
    }
    BOOST_TEST(valueOf(R"("")").empty());
    BOOST_TEST(valueOf("null").empty());
    BOOST_TEST(valueOf('"' + std::string(4099, 'A') + '"').size() >= 3074U);
}

// Guards against a record that keeps all later ones from being read.
BOOST_AUTO_TEST_CASE(A_record_without_a_valid_key_keeps_its_offset)
{
    std::string body(16, '\0');
    body += std::string("\0\0\0\x02\x09k", 6) + appendCall("topic", {"key", "value"}).body;
    const auto page = decodeLogPage(answeredWith(200, body), 5);
    BOOST_REQUIRE(page.has_value());
    BOOST_TEST(page->nextOffset == 7);
    BOOST_TEST(page->records.at(1).key == "key");
}

BOOST_AUTO_TEST_CASE(A_cold_target_says_how_much_longer_it_stays_slow)
{
    auto entry = Entry;
    entry.replace(entry.find(R"("sequence")"), 0, R"("cold_remaining_ms":1500,)");
    BOOST_TEST((decodeTargetEntry("i-1", entry)->coldRemaining == Milliseconds(1500)));
    BOOST_TEST((decodeTargetEntry("i-1", Entry)->coldRemaining == Milliseconds(0)));
}

BOOST_AUTO_TEST_CASE(Corrupted_messages_never_crash)
{
    std::mt19937 random(5);
    const std::string listing =
        R"({"clock_ms":9,"running":[["5c0e7a21d94b36f8.0.1.17",2,"",41]],"ended_runs":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})";
    const std::string configuration = R"({"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/a/","service":"s"}],"limits":{}})";
    const auto record = appendCall("t", {"key", Entry}).body;
    for (int round = 0; round < 4000; ++round) {
        decodeJob(JobId, corrupted(JobBody, random));
        decodeTargetEntry("i-1", corrupted(Entry, random));
        decodeRenewalReply(answeredWith(200, corrupted(listing, random)));
        decodeConfiguration(corrupted(configuration, random));
        decodeLogPage(answeredWith(200, std::string(16, '\0') + corrupted(record, random)), 0);
        decodeNewestPage(
            answeredWith(200, corrupted(R"({"items":[{"key":"k","value":"AAAA","offset":1}],"has_more":false,"end_offset":2})", random)));
    }
    BOOST_TEST(true);
}

BOOST_AUTO_TEST_CASE(The_longest_prefix_of_a_host_selects_the_route)
{
    Fleet::PublishedConfiguration configuration;
    for (const std::string prefix : {"/a/", "/a/b/"}) {
        Fleet::Route route;
        route.name = prefix;
        route.host = "h";
        route.pathPrefix = prefix;
        configuration.routes.push_back(route);
    }
    const Fleet::RouteTable table(configuration);
    BOOST_TEST(table.find("h:80", "/a/b/1")->name == "/a/b/");
    BOOST_TEST(table.find("h", "/a/1")->name == "/a/");
    BOOST_TEST(table.find("h", "/c/1") == nullptr);
    BOOST_TEST(table.find("other", "/a/1") == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()
