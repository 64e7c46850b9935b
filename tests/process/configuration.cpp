#include "site/site.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <functional>
#include <future>
#include <thread>

using namespace Anvilcart;
namespace json = boost::json;

namespace
{
constexpr std::chrono::seconds PollLimit {60};
constexpr std::chrono::milliseconds PollPeriod {20};

SiteOptions sixHosts()
{
    SiteOptions options;
    options.zones = {"fraser", "island", "sunshine"};
    options.targetsPerZone = 2;
    return options;
}

bool eventually(const std::function<bool()> &condition)
{
    const auto limit = std::chrono::steady_clock::now() + PollLimit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > limit) {
            return false;
        }
        std::this_thread::sleep_for(PollPeriod);
    }
    return true;
}

/// A site whose operator changes limits.max_queued_tasks, which names each edit.
class ConfigurationSite
{
public:
    explicit ConfigurationSite(const SiteOptions &options)
        : site(options, ANVILCART_BINARIES)
    {
    }

    void edit(const std::string &file, const std::string &text) const
    {
        std::ofstream(site.configurationFolder() / file, std::ios::app) << text;
    }

    void editLimit(int value) const
    {
        const auto path = site.configurationFolder() / "base.yaml";
        std::ofstream(path) << "limits:\n  max_queued_tasks: " << value << "\nteams:\n  - name: field\n";
    }

    std::uint64_t version(std::size_t zone, std::size_t host)
    {
        const auto answer = site.call(site.operatorDoor(zone, host), "GET", "/v1/status");
        return answer.status == 200 ? json::parse(answer.body).at("version").to_number<std::uint64_t>() : 0;
    }

    bool allRun(std::uint64_t expected)
    {
        return eventually([&] {
            bool all = true;
            forEachHost([&](std::size_t zone, std::size_t host) {
                all = all && version(zone, host) == expected;
            });
            return all;
        });
    }

    void forEachHost(const std::function<void(std::size_t, std::size_t)> &action) const
    {
        for (std::size_t zone = 0; zone < site.options().zones.size(); ++zone) {
            for (std::size_t host = 0; host < site.options().entryHostsPerZone; ++host) {
                action(zone, host);
            }
        }
    }

    /// Lets every record below the end of the stream but the last few expire.
    void expireAllBut(std::uint64_t kept)
    {
        const auto page = json::parse(site.call(site.platform(), "GET", "/v1/logs/configuration/records?from=0&wait_ms=0").body);
        const auto end = page.at("end").to_number<std::uint64_t>();
        site.call(site.platform(), "POST", "/control/expire", R"({"stream":"configuration","before":)" + std::to_string(end - kept) + "}");
    }

    std::uint64_t recordsInLog()
    {
        const auto page = json::parse(site.call(site.platform(), "GET", "/v1/logs/configuration/records?from=0&wait_ms=0").body);
        return page.at("end").to_number<std::uint64_t>();
    }

    Site site;
};
} // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationSuite, *boost::unit_test::label("process"))

BOOST_AUTO_TEST_CASE(A_published_version_is_in_force_on_every_host_when_publish_ends)
{
    ConfigurationSite it(sixHosts());
    it.editLimit(100);
    const auto result = it.site.runVerb("publish", {it.site.configurationFolder().string()});
    BOOST_TEST(result.exitCode == 0, result.errors);
    BOOST_TEST(result.output.find("in force on 6 of 6 entry hosts") != std::string::npos, result.output);
    it.forEachHost([&](std::size_t zone, std::size_t host) {
        BOOST_TEST(it.version(zone, host) == 2);
    });
}

BOOST_AUTO_TEST_CASE(A_publish_whose_answer_is_lost_or_that_comes_late_is_settled_by_reading_back)
{
    ConfigurationSite it(sixHosts());
    it.site.controlPlatform(R"({"lose_answers":1})");
    it.editLimit(100);
    BOOST_TEST(it.site.publish() == 0);
    it.site.controlPlatform(R"({"late_appends":1,"late_ms":1500})");
    it.editLimit(200);
    BOOST_TEST(it.site.publish() == 0);
    BOOST_TEST(it.allRun(3));
}

BOOST_AUTO_TEST_CASE(An_append_that_was_given_up_and_comes_after_another_publish_changes_nothing)
{
    ConfigurationSite it(sixHosts());
    it.site.controlPlatform(R"({"late_appends":1,"late_ms":4000})");
    it.editLimit(100);
    BOOST_TEST(it.site.publish({"--settle-s", "1"}) == 4);
    it.editLimit(200);
    BOOST_TEST(it.site.publish() == 0);
    BOOST_TEST(eventually([&] {
        return it.recordsInLog() == 3;
    }));
    const auto history = it.site.runVerb("history", {});
    BOOST_TEST(history.output.find("lost") != std::string::npos, history.output);
    BOOST_TEST(it.allRun(2));
}

BOOST_AUTO_TEST_CASE(Operators_who_race_on_different_files_both_get_their_edit_and_on_one_file_the_later_is_told)
{
    ConfigurationSite it(sixHosts());
    const auto other = it.site.folder() / "other";
    std::filesystem::copy(it.site.configurationFolder(), other, std::filesystem::copy_options::recursive);
    it.editLimit(100);
    BOOST_TEST(it.site.publish() == 0);
    std::ofstream(other / "sites" / "island.yaml", std::ios::app) << "# a note\n";
    const auto rebased = it.site.runVerb("publish", {other.string()});
    BOOST_TEST(rebased.exitCode == 0, rebased.errors);
    BOOST_TEST(rebased.output.find("took over base.yaml") != std::string::npos, rebased.output);
    BOOST_TEST(it.allRun(3));
    std::ofstream(other / "base.yaml", std::ios::app) << "# theirs\n";
    BOOST_TEST(it.site.runVerb("publish", {other.string()}).exitCode == 0);
    it.editLimit(300);
    const auto conflict = it.site.runVerb("publish", {it.site.configurationFolder().string()});
    BOOST_TEST(conflict.exitCode == 3);
    BOOST_TEST(conflict.errors.find("+ # theirs") != std::string::npos, conflict.errors);
    BOOST_TEST(conflict.errors.find("+   max_queued_tasks: 300") != std::string::npos, conflict.errors);
    BOOST_TEST(it.allRun(4));
}

BOOST_AUTO_TEST_CASE(An_operator_whose_append_comes_after_anothers_gets_the_edit_all_the_same)
{
    ConfigurationSite it(sixHosts());
    const auto other = it.site.folder() / "other";
    std::filesystem::copy(it.site.configurationFolder(), other, std::filesystem::copy_options::recursive);
    it.site.controlPlatform(R"({"late_appends":1,"late_ms":1500})");
    it.editLimit(100);
    std::ofstream(other / "sites" / "island.yaml", std::ios::app) << "# a note\n";
    auto late = std::async(std::launch::async, [&] {
        return it.site.runVerb("publish", {it.site.configurationFolder().string()});
    });
    // Whichever append comes first, both edits count; the pause makes it the other operator's.
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    BOOST_TEST(it.site.runVerb("publish", {other.string()}).exitCode == 0);
    const auto result = late.get();
    BOOST_TEST(result.exitCode == 0, result.errors);
    BOOST_TEST(it.allRun(3));
    BOOST_TEST(it.site.runVerb("diff", {it.site.configurationFolder().string()}).output.find("none") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(A_frozen_host_is_named_and_takes_the_version_when_it_goes_on)
{
    ConfigurationSite it(sixHosts());
    it.site.entryHost(1, 0).freeze();
    it.editLimit(100);
    const auto result = it.site.runVerb("publish", {it.site.configurationFolder().string()}, {"--wait-s", "2"});
    BOOST_TEST(result.exitCode == 5);
    BOOST_TEST(result.errors.find("entry-island-1") != std::string::npos, result.errors);
    it.site.entryHost(1, 0).thaw();
    BOOST_TEST(it.allRun(2));
}

BOOST_AUTO_TEST_CASE(A_host_that_starts_while_the_platform_is_down_takes_the_version_of_its_peers)
{
    ConfigurationSite it(sixHosts());
    it.editLimit(100);
    BOOST_TEST(it.site.publish() == 0);
    it.site.controlPlatform(R"({"outage":true})");
    it.site.entryHost(0, 0).kill();
    it.site.restartEntryHost(0, 0);
    BOOST_TEST(it.version(0, 0) == 2);
    it.site.controlPlatform(R"({"outage":false})");
    it.editLimit(200);
    BOOST_TEST(it.site.publish() == 0);
    BOOST_TEST(it.allRun(3));
}

BOOST_AUTO_TEST_CASE(The_version_outlives_the_expiry_of_its_record_and_the_replacement_of_every_host)
{
    auto options = sixHosts();
    options.carryForwardSeconds = 1;
    ConfigurationSite it(options);
    it.editLimit(100);
    BOOST_TEST(it.site.publish() == 0);
    const auto records = it.recordsInLog();
    BOOST_TEST(eventually([&] {
        return it.recordsInLog() >= records + 2;
    }));
    it.expireAllBut(1);
    it.forEachHost([&](std::size_t zone, std::size_t host) {
        it.site.entryHost(zone, host).kill();
        it.site.restartEntryHost(zone, host);
        BOOST_TEST(it.version(zone, host) == 2);
    });
    it.editLimit(200);
    BOOST_TEST(it.site.publish() == 0);
    BOOST_TEST(it.allRun(3));
}

BOOST_AUTO_TEST_CASE(A_zone_that_was_cut_off_serves_its_last_version_and_takes_the_current_one_when_it_is_back)
{
    ConfigurationSite it(sixHosts());
    it.site.controlPlatform(R"({"cut_zones":[1]})");
    it.editLimit(100);
    BOOST_TEST(it.site.publish({"--no-wait"}) == 0);
    BOOST_TEST(it.site.call(it.site.callerDoor(0, 0), "GET", "/readyz").status == 200);
    it.site.controlPlatform(R"({"cut_zones":[]})");
    BOOST_TEST(it.allRun(2));
}

BOOST_AUTO_TEST_CASE(A_publish_names_the_hosts_that_do_not_run_the_version)
{
    ConfigurationSite it(sixHosts());
    it.site.entryHost(2, 1).kill();
    it.editLimit(100);
    const auto result = it.site.runVerb("publish", {it.site.configurationFolder().string()}, {"--wait-s", "3"});
    BOOST_TEST(result.exitCode == 5);
    BOOST_TEST(result.errors.find("entry-sunshine-2") != std::string::npos, result.errors);
}

BOOST_AUTO_TEST_CASE(A_rollback_is_a_new_version_and_a_dry_run_is_none)
{
    ConfigurationSite it(sixHosts());
    it.editLimit(100);
    BOOST_TEST(it.site.publish({"--dry-run"}) == 0);
    BOOST_TEST(it.recordsInLog() == 1);
    BOOST_TEST(it.site.publish() == 0);
    BOOST_TEST(it.site.runVerb("rollback", {"1"}, {"--dry-run"}).exitCode == 0);
    BOOST_TEST(it.site.runVerb("rollback", {"1"}).exitCode == 0);
    BOOST_TEST(it.allRun(3));
}

BOOST_AUTO_TEST_CASE(A_publish_that_would_stop_a_site_is_refused_unless_it_is_forced)
{
    ConfigurationSite it(sixHosts());
    std::ofstream(it.site.configurationFolder() / "sites" / "island.yaml") << "zone: island\n";
    BOOST_TEST(it.site.publish() == 6);
    BOOST_TEST(it.recordsInLog() == 1);
    BOOST_TEST(it.site.publish({"--force"}) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
