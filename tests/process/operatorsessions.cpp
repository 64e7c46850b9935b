#include "goldensession.h"
#include "site/site.h"

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>

using namespace Anvilcart;

namespace
{
/// An operator at the command line of a small site.
class OperatorSession
{
public:
    explicit OperatorSession(const std::string &golden)
        : m_site(SiteOptions(), ANVILCART_BINARIES)
        , m_golden(golden, m_site.folder().string())
    {
        m_site.waitUntilSlotsAreShared(0);
    }

    ~OperatorSession()
    {
        BOOST_TEST(m_golden.actual() == m_golden.expected(),
                   "renew it with ANVILCART_RENEW_GOLDEN=1 and read the difference:\n"
                       << m_golden.actual());
    }

    void run(const std::string &verb, const std::vector<std::string> &arguments)
    {
        std::string command = verb;
        for (const auto &argument : arguments) {
            command += " " + argument;
        }
        const auto result = m_site.runVerb(verb, arguments);
        m_golden.add(command, result.output, result.errors, result.exitCode);
    }

    void write(const std::string &folder, const std::string &file, const std::string &text)
    {
        m_golden.note("the operator writes " + folder + "/" + file);
        std::ofstream(m_site.folder() / folder / file) << text;
    }

    void note(const std::string &text)
    {
        m_golden.note(text);
    }

    std::string folder(const std::string &name) const
    {
        return (m_site.folder() / name).string();
    }

    Site &site()
    {
        return m_site;
    }

private:
    Site m_site;
    GoldenSession m_golden;
};

const std::string Base = "teams:\n  - name: field\n    max_running_tasks: 100000\ntarget_defaults:\n  cpus: 32\n  memory_mb: 131072\n";
} // namespace

BOOST_AUTO_TEST_SUITE(OperatorSessionsSuite, *boost::unit_test::label("process"))

BOOST_AUTO_TEST_CASE(An_operator_changes_a_limit_and_takes_it_back)
{
    OperatorSession session("change-a-limit.txt");
    const auto folder = session.folder("configuration");
    session.write("configuration", "base.yaml", "limits:\n  max_queued_task: 100\n  max_tasks_per_job: many\n" + Base);
    session.run("publish", {folder});
    session.write("configuration", "base.yaml", "limits:\n  max_queued_tasks: 100\n" + Base);
    session.run("diff", {folder});
    session.run("publish", {"--dry-run", folder});
    session.run("publish", {"--author", "ana", "--comment", "shorter queue", folder});
    session.run("publish", {"--author", "ana", folder});
    session.run("status", {});
    session.run("rollback", {"--author", "ana", "1"});
    session.run("rollback", {"9"});
    session.run("history", {});
}

BOOST_AUTO_TEST_CASE(Two_operators_edit_the_same_file)
{
    OperatorSession session("race.txt");
    std::filesystem::copy(session.folder("configuration"), session.folder("other"), std::filesystem::copy_options::recursive);
    session.write("configuration", "base.yaml", "limits:\n  max_queued_tasks: 100\n" + Base);
    session.run("publish", {"--author", "ana", session.folder("configuration")});
    session.write("other", "base.yaml", "limits:\n  max_queued_tasks: 200\n" + Base);
    session.run("publish", {"--author", "ben", session.folder("other")});
    session.write("other", "sites/fraser.yaml", "zone: fraser\n");
    session.run("publish", {"--author", "ben", "--from", "2", session.folder("other")});
    session.run("history", {});
}

BOOST_AUTO_TEST_CASE(The_platform_is_down_and_a_host_is_gone)
{
    OperatorSession session("outage.txt");
    const auto folder = session.folder("configuration");
    session.write("configuration", "base.yaml", "limits:\n  max_queued_tasks: 100\n" + Base);
    session.note("the platform goes down");
    session.site().controlPlatform(R"({"outage":true})");
    session.run("publish", {folder});
    session.run("status", {});
    session.note("the platform is back, and one entry host is gone");
    session.site().controlPlatform(R"({"outage":false})");
    session.site().entryHost(0, 1).kill();
    session.run("publish", {"--author", "ana", "--wait-s", "1", folder});
    session.run("status", {});
}

BOOST_AUTO_TEST_SUITE_END()
