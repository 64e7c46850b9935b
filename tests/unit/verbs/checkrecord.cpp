#include "goldensession.h"
#include "verbs/verbregistry.h"

#include <boost/test/unit_test.hpp>

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <iostream>

using namespace Anvilcart;
namespace fs = std::filesystem;

namespace
{
/// An operator with a record in force and a new one, both in files.
struct CheckRecordFixture
{
    CheckRecordFixture()
        : folder(fs::temp_directory_path() / ("anvilcart-check-record-" + std::to_string(::getpid())))
        , session("check-record.txt", folder.string())
    {
        fs::create_directories(folder);
    }

    ~CheckRecordFixture()
    {
        fs::remove_all(folder);
    }

    std::string write(const std::string &file, const std::string &text) const
    {
        std::ofstream(folder / file) << text;
        return (folder / file).string();
    }

    void check(const std::vector<std::string> &arguments)
    {
        std::string command = "check-record";
        for (const auto &argument : arguments) {
            command += " " + argument;
        }
        std::ostringstream output;
        std::ostringstream errors;
        auto *const previousOutput = std::cout.rdbuf(output.rdbuf());
        auto *const previousErrors = std::cerr.rdbuf(errors.rdbuf());
        const auto code = VerbRegistry::instance().find("check-record")->run(arguments);
        std::cout.rdbuf(previousOutput);
        std::cerr.rdbuf(previousErrors);
        session.add(command, output.str(), errors.str(), static_cast<int>(code));
    }

    fs::path folder;
    GoldenSession session;
};
} // namespace

BOOST_FIXTURE_TEST_SUITE(CheckRecordSuite, CheckRecordFixture, *boost::unit_test::label("verbs"))

// Guards against a bad record that ends with success, which a script would send, and against unreadable or changed output.
BOOST_AUTO_TEST_CASE(The_verb_prints_findings_and_difference)
{
    const auto inForce = write("in-force.json", R"({"version":6,"routes":[{"name":"r-1","host":"desk.example","path_prefix":"/checks/",
"kind":"unsafe","timeout_ms":1500,"target_latency_ms":60,"priority":0,"service":"s1","max_attempts":4,"stretch_factor":1.6}],
"services":[{"name":"s1","health_path":"/health","max_connections":64,"protocol":"h1","tls":false,"cold_start_s":0,"cold_per_s":0,
"enforce_capacity":false,"standby":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,
"idle_timeout_ms":15000}})");
    const auto bad = write("bad.json", R"({"version":6,"routes":[{"name":"r-1","host":"desk.example","path_prefix":"/checks/",
"kind":"unsafe","timeout_ms":50,"target_latency_ms":60,"priority":0,"service":"s2","max_attempts":0,"stretch_factor":1.6},
{"name":"r-2","host":"desk.example","path_prefix":"/checks/","kind":"unsafe","timeout_ms":1500,"target_latency_ms":60,"priority":0,
"service":"s1","max_attempts":4}],"services":[{"name":"s1","health_path":"/health","max_connections":64,"protocol":"h1","tls":false,
"cold_start_s":0,"cold_per_s":0,"enforce_capacity":false,"standby":true}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,
"header_timeout_ms":3000,"idle_timeout_ms":15000}})");
    check({"--record", inForce});
    check({"--record", bad, "--in-force", inForce});
    check({"--record", bad, "--in-force", inForce, "--json"});
    check({"--record", write("broken.json", "{\n\"version\":7,\n"), "--in-force", inForce});
    check({"--record", inForce, "--in-force", write("unusable.json", "{}")});
    check({"--record", (folder / "none.json").string()});
    check({"--record", inForce, "--store", "here"});
    BOOST_TEST(session.actual() == session.expected(), "renew it with ANVILCART_RENEW_GOLDEN=1:\n" << session.actual());
}

BOOST_AUTO_TEST_SUITE_END()
