#include "processsupport.h"
#include "service/servicesite.h"

#include <boost/test/unit_test.hpp>

#include <cstdio>

using namespace Anvilcart;

namespace
{
constexpr Milliseconds Bound {5000};

ServiceSiteOptions optionsWithBound()
{
    ServiceSiteOptions options;
    options.evacuationBound = Bound;
    return options;
}

struct EvacuationFixture
{
    EvacuationFixture()
        : site(optionsWithBound(), ANVILCART_BINARIES)
    {
        site.publish(1, {"checks"});
        BOOST_REQUIRE(eventually([this] {
            return site.isReady();
        }));
    }

    HttpReply submit(std::size_t host, int tasks = 3)
    {
        char text[17];
        std::snprintf(text, sizeof(text), "%016x", ++jobs);
        return site.submit(host, "checks", text, tasks, Milliseconds(30));
    }

    /// Submits jobs through every host; returns how many were completed.
    std::size_t completedOf(std::size_t rounds)
    {
        std::size_t completed = 0;
        for (std::size_t number = 0; number < rounds * site.hostCount(); ++number) {
            completed += submit(number % site.hostCount(), 8).status == 200 ? 1U : 0U;
        }
        return completed;
    }

    bool allHostsLog(const std::string &text)
    {
        return eventually([&] {
            for (std::size_t host = 0; host < site.hostCount(); ++host) {
                if (site.log(host).find(text) == std::string::npos) {
                    return false;
                }
            }
            return true;
        });
    }

    unsigned jobs = 0;
    ServiceSite site;
};
} // namespace

BOOST_FIXTURE_TEST_SUITE(EvacuationProcessSuite, EvacuationFixture)

// Guards against a record that does not evacuate since its value cannot be read, and against hosts that forget the evacuation when they
// restart or the store loses its history.
BOOST_AUTO_TEST_CASE(No_task_starts_in_an_evacuated_zone_until_its_record_is_removed)
{
    BOOST_TEST(completedOf(2) == 6U);
    BOOST_TEST(site.startsInZone("a") > 0U);
    site.evacuate("a", std::string("\0\xff{", 3));
    site.evacuate("%2F odd \"zone\"\n", "x");
    BOOST_REQUIRE(allHostsLog("event=evacuation zone=a change=begun source=store"));
    const auto before = site.startsInZone("a");
    BOOST_TEST(completedOf(2) == 6U);

    // The listing has a page for each key, of which the last ones evacuate zones.
    site.store().setPageSize(1);
    site.store().dropHistory();
    site.host(1).kill();
    site.startHost(1);
    BOOST_REQUIRE(eventually([this] {
        return site.isReady();
    }));
    BOOST_TEST(eventually([this] {
        return submit(1).status == 200;
    }));
    BOOST_TEST(completedOf(2) == 6U);
    BOOST_TEST(site.startsInZone("a") == before);
    BOOST_TEST(site.metrics(0).find("anvilcart_evacuated_zones 2") != std::string::npos);

    site.evacuate("a", "");
    BOOST_REQUIRE(allHostsLog("event=evacuation zone=a change=ended source=store"));
    BOOST_TEST(eventually([&] {
        submit(0, 8);
        return site.startsInZone("a") > before;
    }));
    BOOST_TEST(site.duplicateRuns() == 0U);
}

BOOST_AUTO_TEST_CASE(While_all_zones_are_evacuated_jobs_are_refused_with_the_reason)
{
    for (const auto *zone : {"a", "b", "c"}) {
        site.evacuate(zone, "{}");
    }
    BOOST_REQUIRE(allHostsLog("zone=c change=begun"));
    const auto begin = Clock::now();
    const auto reply = submit(0);
    BOOST_TEST((Clock::now() - begin < Seconds(2)));
    BOOST_TEST(reply.status == 503);
    BOOST_TEST(reply.body.find("evacuated") != std::string::npos);
    for (const auto *zone : {"a", "b", "c"}) {
        site.evacuate(zone, "");
    }
    BOOST_TEST(eventually([this] {
        return submit(0).status == 200;
    }));
}

BOOST_AUTO_TEST_SUITE_END()
