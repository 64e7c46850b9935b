#include "crowds.h"
#include "untrustedclientsfixture.h"

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

using namespace Anvilcart;

namespace
{
constexpr std::size_t ThreeHosts = 3;
constexpr std::size_t Rounds = 12;
/// Rounds after which the allocator and the records of a process have reached their size.
constexpr std::size_t SettlingRounds = 6;
/// Of the limit: what the memory may differ by from one round to the next.
constexpr std::uint64_t RoundToleranceKb = MemoryLimitMb * 1024 / 16;
constexpr std::size_t CrowdsOfOneState = 16;
constexpr std::size_t SameIds = 200;

struct OneHostFixture : UntrustedClientsFixture
{
    using UntrustedClientsFixture::UntrustedClientsFixture;

    /// Waits until so many further crowds have been sent.
    static void awaitCrowds(const ContinuousCrowds &crowds, std::size_t count)
    {
        const auto before = crowds.crowdsSent();
        BOOST_TEST(eventually([&] {
            return crowds.crowdsSent() >= before + count;
        }));
    }
};

struct ThreeHostsFixture : OneHostFixture
{
    ThreeHostsFixture()
        : OneHostFixture(ThreeHosts)
    {
    }
};
} // namespace

// The crowds of UntrustedClientsSuite in other states of the system.
BOOST_AUTO_TEST_SUITE(UntrustedClientStatesSuite, *boost::unit_test::label("untrusted"))

BOOST_FIXTURE_TEST_CASE(Memory_does_not_climb_from_round_to_round_of_all_crowds, OneHostFixture)
{
    std::vector<std::uint64_t> memory;
    for (std::size_t round = 0; round < Rounds; ++round) {
        for (const auto &crowd : crowdsAgainst(site, 0)) {
            sendCrowd(crowd, [this] {
                return exceedsMemory();
            });
            BOOST_TEST_CONTEXT(crowd.name)
            {
                checkHost();
            }
        }
        memory.push_back(statusKb(site.host(0).id(), "VmRSS"));
        BOOST_TEST_MESSAGE("after round " << round << ": " << memory.back() << " KB");
    }
    BOOST_TEST(memory.back() <= memory[SettlingRounds - 1] + RoundToleranceKb);
}

BOOST_FIXTURE_TEST_CASE(A_host_that_receives_SIGTERM_ends_while_crowds_go_on, OneHostFixture)
{
    const ContinuousCrowds crowds(site, {0});
    awaitCrowds(crowds, CrowdsOfOneState);
    site.host(0).terminate();
    BOOST_TEST(site.host(0).wait() == 0);
}

BOOST_FIXTURE_TEST_CASE(A_host_starts_while_crowds_go_on, OneHostFixture)
{
    const ContinuousCrowds crowds(site, {0});
    for (int start = 0; start < 2; ++start) {
        site.host(0).kill();
        site.startHost(0);
        awaitCrowds(crowds, CrowdsOfOneState / 2);
        checkHost();
    }
}

BOOST_FIXTURE_TEST_CASE(A_host_reloads_its_settings_while_crowds_go_on, OneHostFixture)
{
    const ContinuousCrowds crowds(site, {0});
    for (int reload = 0; reload < 5; ++reload) {
        std::ofstream(site.settingsPath(0), std::ios::app) << "# reload " << reload << "\n";
        ::kill(site.host(0).id(), SIGHUP);
        site.publish(static_cast<std::uint64_t>(reload) + 2, {"checks"});
        awaitCrowds(crowds, CrowdsOfOneState / 4);
    }
    checkHost();
}

BOOST_FIXTURE_TEST_CASE(A_host_without_its_store_withstands_crowds, OneHostFixture)
{
    site.store().setUnavailable(true);
    const ContinuousCrowds crowds(site, {0});
    awaitCrowds(crowds, CrowdsOfOneState);
    checkHost();
    site.store().setUnavailable(false);
    checkHost();
}

BOOST_FIXTURE_TEST_CASE(A_host_that_has_lost_its_targets_withstands_crowds, OneHostFixture)
{
    const ContinuousCrowds crowds(site, {0});
    for (std::size_t worker = 0; worker < site.workerCount(); ++worker) {
        site.worker(worker).crash();
    }
    awaitCrowds(crowds, CrowdsOfOneState);
    // The targets have restarted meanwhile.
    checkHost();
}

BOOST_FIXTURE_TEST_CASE(Crowds_at_all_hosts_leave_each_within_its_limits, ThreeHostsFixture)
{
    {
        const ContinuousCrowds crowds(site, {0, 1, 2});
        awaitCrowds(crowds, ThreeHosts * CrowdsOfOneState);
        checkAllHosts();
    }
    checkAllHosts();
}

BOOST_FIXTURE_TEST_CASE(Crowds_go_on_while_each_host_restarts_in_turn, ThreeHostsFixture)
{
    const ContinuousCrowds crowds(site, {0, 1, 2});
    for (std::size_t host = 0; host < ThreeHosts; ++host) {
        site.host(host).terminate();
        BOOST_TEST(site.host(host).wait() == 0);
        site.startHost(host);
        BOOST_TEST(eventually([this, host] {
            return completesOne(host);
        }));
    }
    checkAllHosts();
}

BOOST_FIXTURE_TEST_CASE(The_same_ids_at_all_hosts_take_bounded_memory, ThreeHostsFixture)
{
    constexpr std::size_t PassesOverIds = 20;
    std::string jobs;
    for (std::size_t pass = 0; pass < PassesOverIds; ++pass) {
        for (std::size_t number = 0; number < SameIds; ++number) {
            char id[17];
            std::snprintf(id, sizeof(id), "%016zx", number + 0x10000);
            jobs += ServiceSite::submissionText("checks", id, 1, Milliseconds(5), Seconds(5));
            jobs += "DELETE /checks/" + std::string(id) + " HTTP/1.1\r\nHost: desk.example\r\n\r\n";
        }
    }
    std::vector<std::unique_ptr<UntrustedClients>> clients;
    for (std::size_t host = 0; host < ThreeHosts; ++host) {
        clients.push_back(std::make_unique<UntrustedClients>(site.callerEndpoint(host), 8, Answers::Dropped));
    }
    for (std::size_t sent = jobs.size() / PassesOverIds; sent <= jobs.size(); sent += jobs.size() / PassesOverIds) {
        for (const auto &client : clients) {
            client->send(jobs, "-", sent, [this, end = Clock::now() + Milliseconds(300)] {
                return exceedsMemory() || Clock::now() > end;
            });
        }
    }
    checkAllHosts();
}

BOOST_AUTO_TEST_SUITE_END()
