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
/// Catches what is written to a stream while this object lives.
class CapturedStream
{
public:
    explicit CapturedStream(std::ostream &stream)
        : m_stream(stream)
        , m_previous(stream.rdbuf(m_text.rdbuf()))
    {
    }

    ~CapturedStream()
    {
        m_stream.rdbuf(m_previous);
    }

    CapturedStream(const CapturedStream &) = delete;
    CapturedStream &operator=(const CapturedStream &) = delete;

    std::string text() const
    {
        return m_text.str();
    }

private:
    std::ostringstream m_text;
    std::ostream &m_stream;
    std::streambuf *m_previous;
};

/// An operator who checks files that are full of mistakes.
struct CheckFixture
{
    CheckFixture()
        : folder(fs::temp_directory_path() / ("anvilcart-check-" + std::to_string(::getpid())))
        , session("check.txt", folder.string())
    {
        fs::create_directories(folder / "sites");
    }

    ~CheckFixture()
    {
        fs::remove_all(folder);
    }

    void write(const std::string &file, const std::string &text) const
    {
        std::ofstream(folder / file) << text;
    }

    void check(const std::vector<std::string> &arguments)
    {
        std::string command = "check";
        for (const auto &argument : arguments) {
            command += " " + argument;
        }
        const CapturedStream output(std::cout);
        const CapturedStream errors(std::cerr);
        const auto code = VerbRegistry::instance().find("check")->run(arguments);
        session.add(command, output.text(), errors.text(), static_cast<int>(code));
    }

    fs::path folder;
    GoldenSession session;
};
} // namespace

BOOST_FIXTURE_TEST_SUITE(CheckSuite, CheckFixture, *boost::unit_test::label("verbs"))

// TCLAP allows one command line with an optional last argument a process, so that the verb can run only once here.
BOOST_AUTO_TEST_CASE(Check_tells_every_mistake_of_all_files_in_one_run)
{
    write("base.yaml",
          "limit:\n  max_queued_tasks: 5\nlimits:\n  default_deadline_ms: 9000\n  max_deadline_ms: 8000\n"
          "policy:\n  queue_order: lifo\nteams:\n  - max_running_tasks: 0\n  - name: a\n  - name: a\n");
    write("sites/fraser.yaml",
          "zone: fraser\ntargets:\n  - name: x\n    address: 10.0.0.1:8000\n    slots: -1\n  - name: x\n    address: 10.0.0.1:8000\n");
    write("sites/island.yaml", "zone: fraser\ntargets: none\n");
    write("sites/sunshine.yaml", "zone: [\n");
    write("entry.yaml", "host: a\navailability_zone: fraser\ncaller_door: 10.0.0.1\noperator_doors: 10.0.0.1:7001\nplatform: []\n");
    check({"--settings", (folder / "entry.yaml").string(), folder.string()});
    BOOST_TEST(session.actual() == session.expected(), "renew it with ANVILCART_RENEW_GOLDEN=1:\n" << session.actual());
}

BOOST_AUTO_TEST_SUITE_END()
