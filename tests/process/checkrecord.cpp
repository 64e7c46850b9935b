#include "service/storestandin.h"
#include "site/childprocess.h"
#include "site/loopbackblock.h"
#include "verbs/textfile.h"

#include <boost/test/unit_test.hpp>

#include <unistd.h>

#include <filesystem>
#include <fstream>

using namespace Anvilcart;
namespace fs = std::filesystem;

BOOST_AUTO_TEST_SUITE(CheckRecordProcessSuite)

// Guards against a version in force that is not found in the store, so that a record that hosts ignore would pass as the next one.
BOOST_AUTO_TEST_CASE(The_version_in_force_is_read_from_the_store)
{
    const LoopbackBlock block;
    const Endpoint endpoint {"127." + std::to_string(block.number()) + ".0.1", 8600};
    const auto folder = fs::temp_directory_path() / ("anvilcart-check-record-" + std::to_string(::getpid()));
    fs::create_directories(folder);
    const auto record = (folder / "record.json").string();
    const auto output = (folder / "output").string();
    const std::string content = R"({"version":7,"routes":[],"services":[],"limits":{}})";
    std::ofstream(record) << content;
    const auto check = [&] {
        ChildProcess process(std::string(ANVILCART_BINARIES) + "/anvilcart",
                             {"check-record", "--record", record, "--store", toString(endpoint)},
                             output,
                             output + ".err");
        return process.wait();
    };
    BOOST_TEST(check() == 4);
    EventLoops loops(1);
    StoreStandin store(loops, endpoint);
    BOOST_TEST(check() == 0);
    BOOST_TEST(readTextFile(output).value_or("").find("added record: version 7") != std::string::npos);
    store.setPageSize(1);
    store.put("keyed.op", "config", content);
    store.put("keyed.op", "evacuate/a", "1");
    BOOST_TEST(check() == 2);
    BOOST_TEST(readTextFile(output).value_or("").find("version 7 is not above 7") != std::string::npos);
    store.setUnavailable(true);
    BOOST_TEST(check() == 4);
    loops.stop();
    fs::remove_all(folder);
}

// Guards against a list of verbs that ends at a name longer than its column.
BOOST_AUTO_TEST_CASE(The_list_of_verbs_is_whole)
{
    const auto output = (fs::temp_directory_path() / ("anvilcart-verbs-" + std::to_string(::getpid()))).string();
    ChildProcess process(std::string(ANVILCART_BINARIES) + "/anvilcart", {"--help"}, output, output + ".err");
    BOOST_TEST(process.wait() == 0);
    BOOST_TEST(readTextFile(output).value_or("").find("\n  submit ") != std::string::npos);
    fs::remove(output);
    fs::remove(output + ".err");
}

BOOST_AUTO_TEST_SUITE_END()
