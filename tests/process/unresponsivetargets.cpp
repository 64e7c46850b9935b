#include "processsupport.h"
#include "rawconnection.h"
#include "service/servicesite.h"
#include "targetproxy.h"

#include <boost/test/unit_test.hpp>

#include <cstdio>
#include <fstream>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

using namespace Anvilcart;

namespace
{
/// Tasks of ten cores: three for each of the six targets.
constexpr int TasksForAllTargets = 18;
constexpr Milliseconds RunTime {20};

/// A host whose connections to one of its targets pass through a proxy.
struct UnresponsiveTargetFixture
{
    UnresponsiveTargetFixture()
        : site(oneHost(), ANVILCART_BINARIES)
        , proxy(site.worker(0).endpoint())
    {
        site.registerWorkerAt(0, proxy.endpoint());
        site.publish(1, {"checks"});
        BOOST_REQUIRE(eventually([this] {
            site.submit(0, "checks", nextId(), TasksForAllTargets, RunTime);
            return !site.worker(0).starts().empty();
        }));
    }

    static ServiceSiteOptions oneHost()
    {
        ServiceSiteOptions options;
        options.hostZones = {"a"};
        return options;
    }

    std::string nextId()
    {
        char text[17];
        std::snprintf(text, sizeof(text), "%016x", ++jobs);
        return text;
    }

    /// Sends a job that needs all targets and leaves its answer unread.
    void submitForAllTargets()
    {
        callers.push_back(std::make_unique<RawConnection>(site.callerEndpoint(0)));
        callers.back()->send(ServiceSite::submissionText("checks", nextId(), TasksForAllTargets, RunTime, Seconds(5)));
    }

    /// True while a connection to the proxy has been requested and not accepted.
    bool isConnecting() const
    {
        constexpr char SynSent[] = "02";
        std::ifstream table("/proc/net/tcp");
        char port[6];
        std::snprintf(port, sizeof(port), ":%04X", proxy.endpoint().port);
        std::string line;
        while (std::getline(table, line)) {
            std::istringstream fields(line);
            std::string number;
            std::string local;
            std::string remote;
            std::string state;
            fields >> number >> local >> remote >> state;
            if (state == SynSent && remote.ends_with(port)) {
                return true;
            }
        }
        return false;
    }

    bool servesOrdinaryRequest()
    {
        return eventually([this] {
            return site.submit(0, "checks", nextId(), 1, RunTime).status == 200;
        });
    }

    unsigned jobs = 0;
    ServiceSite site;
    TargetProxy proxy;
    std::vector<std::unique_ptr<RawConnection>> callers;
};
} // namespace

// Issue 62: a host looked at a connection whose handshake had not ended, with a read that blocks, and stopped for good.
BOOST_FIXTURE_TEST_SUITE(UnresponsiveTargetSuite, UnresponsiveTargetFixture)

BOOST_AUTO_TEST_CASE(A_host_goes_on_while_a_target_accepts_no_connection_and_closes_the_others)
{
    proxy.stopForwarding();
    proxy.stopAccepting();
    BOOST_REQUIRE(eventually([this] {
        submitForAllTargets();
        return isConnecting();
    }));
    proxy.closeConnections();
    BOOST_TEST(servesOrdinaryRequest());
    BOOST_TEST(site.host(0).isRunning());
}

BOOST_AUTO_TEST_CASE(A_host_goes_on_while_a_target_opens_connections_and_stays_silent)
{
    proxy.stopForwarding();
    for (int round = 0; round < 3; ++round) {
        submitForAllTargets();
        BOOST_TEST(servesOrdinaryRequest());
        proxy.closeConnections();
        BOOST_TEST(servesOrdinaryRequest());
    }
    BOOST_TEST(site.host(0).isRunning());
}

BOOST_AUTO_TEST_SUITE_END()
