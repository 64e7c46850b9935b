#include "processsupport.h"

#include <boost/test/unit_test.hpp>

using namespace Anvilcart;

namespace
{
constexpr std::chrono::microseconds NoDelay {0};

void checkPromises(const RunFigures &figures)
{
    BOOST_TEST(figures.jobs > 0);
    BOOST_TEST(figures.doubleStarts == 0);
    BOOST_TEST(figures.untrueNotRun == 0);
    BOOST_TEST(figures.wrong == 0);
}
} // namespace

BOOST_AUTO_TEST_SUITE(EntryHostFaultSuite, *boost::unit_test::label("process"))

BOOST_AUTO_TEST_CASE(An_entry_host_killed_under_load_ends_its_callers_connections_and_starts_nothing_twice)
{
    Site site(SiteOptions(), ANVILCART_BINARIES);
    const auto figures = measure(site, {0.8, 3, 21, NoDelay}, [&] {
        std::this_thread::sleep_for(Milliseconds(1500));
        site.entryHost(0, 0).kill();
    });
    checkPromises(figures);
    BOOST_TEST(figures.unanswered > 0);
    BOOST_TEST(figures.whole > 0);
    BOOST_TEST(figures.notSent == 0);
}

BOOST_AUTO_TEST_CASE(An_entry_host_frozen_under_load_and_continued_starts_nothing_twice)
{
    Site site(SiteOptions(), ANVILCART_BINARIES);
    const auto figures = measure(site, {0.8, 4, 22, NoDelay}, [&] {
        std::this_thread::sleep_for(Milliseconds(1000));
        site.entryHost(0, 0).freeze();
        std::this_thread::sleep_for(Milliseconds(1500));
        site.entryHost(0, 0).thaw();
    });
    checkPromises(figures);
    BOOST_TEST(figures.unanswered == 0);
    BOOST_TEST(figures.failed == 0);
}

BOOST_AUTO_TEST_CASE(Two_entry_hosts_that_believe_they_hold_the_same_slots_are_refused_by_the_target_and_retry)
{
    SiteOptions options;
    options.slotSharing = "blind_push";
    options.targetsPerZone = 2;
    Site site(options, ANVILCART_BINARIES);
    const auto figures = measure(site, {1.2, 3, 23, NoDelay});
    checkPromises(figures);
    BOOST_TEST(countOf(site, "refusals") > 0);
    BOOST_TEST(figures.whole == figures.jobs);
}

BOOST_AUTO_TEST_CASE(SIGTERM_under_load_cuts_off_no_request_in_flight)
{
    Site site(SiteOptions(), ANVILCART_BINARIES);
    int exitCode = -1;
    const auto figures = measure(site, {0.8, 4, 24, NoDelay}, [&] {
        std::this_thread::sleep_for(Milliseconds(1000));
        site.entryHost(0, 0).terminate();
        exitCode = site.entryHost(0, 0).wait();
    });
    checkPromises(figures);
    BOOST_TEST(exitCode == 0);
    BOOST_TEST(figures.unanswered == 0);
    BOOST_TEST(figures.failed == 0);
}

BOOST_AUTO_TEST_CASE(A_whole_zone_drained_under_load_cuts_off_no_request_in_flight)
{
    Site site(SiteOptions(), ANVILCART_BINARIES);
    std::vector<int> exitCodes;
    const auto figures = measure(site, {0.8, 4, 25, NoDelay}, [&] {
        std::this_thread::sleep_for(Milliseconds(1000));
        for (std::size_t host = 0; host < site.options().entryHostsPerZone; ++host) {
            site.entryHost(0, host).terminate();
        }
        for (std::size_t host = 0; host < site.options().entryHostsPerZone; ++host) {
            exitCodes.push_back(site.entryHost(0, host).wait());
        }
    });
    checkPromises(figures);
    BOOST_TEST(exitCodes == (std::vector<int> {0, 0}), boost::test_tools::per_element());
    BOOST_TEST(figures.unanswered == 0);
    BOOST_TEST(figures.failed == 0);
    BOOST_TEST(figures.notSent > 0);
}

BOOST_AUTO_TEST_SUITE_END()
