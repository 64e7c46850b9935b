#include "platform/configurationcheck.h"
#include "entry/callerlimit.h"
#include "platform/configurationdifference.h"
#include "platform/configurationmessages.h"
#include "platform/jobmessages.h"
#include "workload/routetable.h"
#include "workload/supportedfeatures.h"

#include <boost/json.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace Anvilcart;
using namespace Anvilcart::Platform;
namespace json = boost::json;
namespace data = boost::unit_test::data;

namespace
{
constexpr char GoodRecord[] = R"({"version":7,"routes":[
{"name":"r-1","host":"desk.example","path_prefix":"/checks/","kind":"unsafe","timeout_ms":1500,"target_latency_ms":60,"priority":0,
"service":"s1","max_attempts":4,"stretch_factor":1.6},
{"name":"r-2","host":"desk.example","path_prefix":"/checks/late/","kind":"unsafe","timeout_ms":1500,"target_latency_ms":60,"priority":0,
"service":"s1","max_attempts":4,"stretch_factor":1.6}],
"services":[{"name":"s1","health_path":"/health","max_connections":64,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0,
"enforce_capacity":false,"standby":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";

/// Returns the good record with the value at a JSON pointer replaced, or removed where value is empty.
std::string recordWith(std::string_view pointer, std::string_view value)
{
    auto record = json::parse(GoodRecord);
    const auto slash = pointer.rfind('/');
    auto &parent = record.at_pointer(pointer.substr(0, slash));
    const auto key = pointer.substr(slash + 1);
    if (parent.is_array()) {
        parent.as_array().push_back(json::parse(value));
    } else if (value.empty()) {
        parent.as_object().erase(key);
    } else {
        parent.as_object()[key] = json::parse(value);
    }
    return json::serialize(record);
}

std::string summaryOf(const std::vector<Finding> &findings)
{
    std::string summary;
    for (const auto &finding : findings) {
        summary += std::string(toName(finding.severity)) + " " + finding.place + " " + finding.key + ";";
    }
    return summary;
}

/// A change to the good record, and all findings that it must give.
struct Fault
{
    const char *pointer;
    const char *value;
    const char *expected;
};

std::ostream &operator<<(std::ostream &stream, const Fault &fault)
{
    return stream << fault.pointer << " = " << fault.value;
}

const Fault Faults[] = {
    // What makes hosts ignore the whole record, so that the earlier version would stay in force unnoticed.
    {"/version", "", "error record version;"},
    {"/version", "-1", "error record version;"},
    {"/version", "\"8\"", "error record version;"},
    {"/version", "6", "error record version;"},
    {"/version", "18446744073709551615", "error record version;"},
    {"/routes", "{}", "error record routes;"},
    // Values that hosts replace without a word.
    {"/routes/0/max_attempts", "0", "error route r-1 max_attempts;"},
    {"/routes/0/max_attempts", "4294967296", "error route r-1 max_attempts;"},
    {"/routes/0/max_attempts", "1.5", "error route r-1 max_attempts;"},
    {"/routes/0/stretch_factor", "0.9", "error route r-1 stretch_factor;"},
    {"/routes/0/timeout_ms", "-1", "error route r-1 timeout_ms;"},
    {"/routes/0/priority", "true", "error route r-1 priority;"},
    {"/routes/0/priority", "", "note route r-1 priority;"},
    {"/routes/0/colour", "1", "note route r-1 colour;"},
    {"/routes/+", "3", "error route 3 ;"},
    {"/limits", "", "note record limits;"},
    // Jobs that would all be refused.
    {"/routes/0/placement_advisor", "{}", "error route r-1 placement_advisor;"},
    {"/routes/0/service", "\"s2\"", "error route r-1 service;"},
    {"/services/0/standby", "true", "contradiction route r-1 service;contradiction route r-2 service;"},
    {"/limits/max_body_bytes", "41", "error limits max_body_bytes;"},
    {"/limits/max_header_bytes", "-1", "error limits max_header_bytes;"},
    {"/limits/max_header_bytes", "79", "contradiction route r-1 path_prefix;contradiction route r-2 path_prefix;"},
    {"/limits/idle_timeout_ms", "2999", "contradiction limits header_timeout_ms;"},
    {"/routes/0/timeout_ms", "59", "contradiction route r-1 timeout_ms;"},
    // Routes that get no request, or the requests of another.
    {"/routes/0/host", "\"\"", "never_matches route r-1 host;"},
    {"/routes/0/host", "\"desk.example:80\"", "never_matches route r-1 host;"},
    {"/routes/0/path_prefix", "\"checks/\"", "never_matches route r-1 path_prefix;"},
    {"/routes/0/path_prefix", "\"/checks/?a=\"", "never_matches route r-1 path_prefix;"},
    {"/routes/1/path_prefix", "\"/checks/\"", "never_matches route r-2 path_prefix;"},
    {"/routes/1/path_prefix", "\"/checks/0a\"", "note route r-2 path_prefix;contradiction route r-2 path_prefix;"},
    // Names that stand for two entries, and entries that stand for nothing.
    {"/routes/1/name", "\"r-1\"", "error route r-1 name;"},
    {"/routes/1/name", "\"\"", "error route 2 name;"},
    {"/services/+",
     R"({"name":"s1","health_path":"/","max_connections":1,"protocol":"h1","tls":false,"cold_start_s":0,"cold_per_s":0,
"enforce_capacity":false,"standby":false})",
     "error service s1 name;"},
    {"/services/0/name", "\"s3\"", "error route r-1 service;error route r-2 service;note service s3 name;"},
};
} // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationCheckSuite, *boost::unit_test::label("platform"))

// Guards against findings that operators would learn to ignore.
BOOST_AUTO_TEST_CASE(A_good_record_has_no_findings)
{
    BOOST_TEST(summaryOf(checkConfiguration(GoodRecord, 6)).empty());
    BOOST_TEST(summaryOf(checkConfiguration(GoodRecord, std::nullopt)).empty());
}

// Guards against a fault that is missed, and against one that is told as several.
BOOST_DATA_TEST_CASE(Each_fault_is_found_at_its_place, data::make(Faults), fault)
{
    BOOST_TEST(summaryOf(checkConfiguration(recordWith(fault.pointer, fault.value), 6)) == fault.expected);
}

// Guards against a parser's error without the line, which leaves the operator to search a long file.
BOOST_AUTO_TEST_CASE(A_syntax_error_is_told_with_its_line)
{
    BOOST_TEST(checkConfiguration("{\n\"version\":7,\n]", 6).at(0).text.starts_with("line 3 is not valid JSON"));
    BOOST_TEST(hasRejection(checkConfiguration("", 6)));
    BOOST_TEST(hasRejection(checkConfiguration("[]", 6)));
    BOOST_TEST(hasRejection(checkConfiguration(std::string(GoodRecord) + "}", 6)));
}

// Guards against a check that no longer agrees with what the entry host accepts.
BOOST_AUTO_TEST_CASE(The_bounds_are_those_of_the_entry_host)
{
    const auto decoding = decodeJob("00000000000000ab", SmallestJob);
    BOOST_REQUIRE(decoding.job.has_value());
    BOOST_TEST(Fleet::unsupportedFeature(*decoding.job, {}) == nullptr);
    const auto longest = Fleet::callerLimit("999999999", {}).count();
    BOOST_TEST(summaryOf(checkConfiguration(recordWith("/routes/0/timeout_ms", std::to_string(longest)), 6)).empty());
    BOOST_TEST(summaryOf(checkConfiguration(recordWith("/routes/0/timeout_ms", std::to_string(longest + 1)), 6))
               == "note route r-1 timeout_ms;");
}

// Guards against findings on routes that no longer agree with how requests are routed.
BOOST_AUTO_TEST_CASE(Routes_are_checked_as_the_dispatcher_selects_them)
{
    const std::string id = "0a00000000000000";
    const auto routeOf = [&](std::string_view pointer, std::string_view value) {
        const Fleet::RouteTable table(decodeConfiguration(recordWith(pointer, value)).value());
        const auto *route = table.find("desk.example:80", "/checks/" + id);
        return route == nullptr ? std::string() : route->name;
    };
    BOOST_TEST(routeOf("/version", "7") == "r-1");
    BOOST_TEST(routeOf("/routes/1/path_prefix", "\"/checks/\"") == "r-1");
    BOOST_TEST(routeOf("/routes/1/path_prefix", "\"/checks/0a\"") == "r-2");
    BOOST_TEST(routeOf("/routes/0/host", "\"desk.example:80\"").empty());
    BOOST_TEST(routeOf("/routes/0/path_prefix", "\"checks/\"").empty());
}

// Guards against a change that is not shown, or a record that seems to differ from itself.
BOOST_AUTO_TEST_CASE(The_difference_has_each_changed_key)
{
    BOOST_TEST(compareConfigurations(GoodRecord, GoodRecord).empty());
    BOOST_TEST(compareConfigurations(GoodRecord, recordWith("/services/0/cold_per_s", "0")).empty());
    const auto changes = compareConfigurations(GoodRecord, recordWith("/routes/0/timeout_ms", "900"));
    BOOST_REQUIRE(changes.size() == 1U);
    BOOST_TEST(changes[0].place + " " + changes[0].key + " " + changes[0].before + " " + changes[0].after
               == "route r-1 timeout_ms 1500 900");
    const auto renamed = compareConfigurations(GoodRecord, recordWith("/routes/0/name", "\"r-9\""));
    BOOST_REQUIRE(renamed.size() == 2U);
    BOOST_TEST((renamed[0].kind == ChangeKind::Removed && renamed[0].place == "route r-1"));
    BOOST_TEST((renamed[1].kind == ChangeKind::Added && renamed[1].place == "route r-9"));
    BOOST_TEST(compareConfigurations(GoodRecord, recordWith("/limits", "")).size() == 4U);
    BOOST_TEST(compareConfigurations("", GoodRecord).size() == 8U);
}

BOOST_AUTO_TEST_SUITE_END()
