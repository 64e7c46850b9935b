#pragma once

#include "processsupport.h"
#include "rawconnection.h"
#include "service/servicesite.h"
#include "untrustedclients.h"

#include <boost/test/unit_test.hpp>

#include <cstdio>
#include <string>
#include <vector>

namespace Anvilcart
{
// The limits in the settings of the tested host. The numbers of clients and bytes exceed them by a factor of about two, so that a host
// without bounds exceeds them, and the machine is not loaded much.
constexpr std::uint64_t MemoryLimitMb = 64;
constexpr std::size_t DescriptorLimit = 400;
/// Of the limit, as the platform says.
constexpr std::size_t ReservedForFiles = 200;
constexpr std::size_t HeaderLimit = 16384;
constexpr std::size_t BodyLimit = 262144;

inline ServiceSiteOptions hostsWithLowLimits(std::size_t hosts = 1)
{
    ServiceSiteOptions options;
    const std::vector<std::string> zones {"a", "b", "c"};
    options.hostZones.assign(zones.begin(), zones.begin() + static_cast<std::ptrdiff_t>(hosts));
    options.settings = "limits.memory_mb=" + std::to_string(MemoryLimitMb) + "\nlimits.max_fds=" + std::to_string(DescriptorLimit) + "\n";
    options.maxHeaderBytes = HeaderLimit;
    options.maxBodyBytes = BodyLimit;
    return options;
}

struct UntrustedClientsFixture
{
    explicit UntrustedClientsFixture(std::size_t hosts = 1)
        : site(hostsWithLowLimits(hosts), ANVILCART_BINARIES)
    {
        site.publish(1, {"checks"});
        BOOST_REQUIRE(eventually([this] {
            return completesOne();
        }));
    }

    bool completesOne(std::size_t host = 0)
    {
        return site.submit(host, "checks", nextId(), 1, Milliseconds(10)).status == 200;
    }

    std::string nextId()
    {
        char text[17];
        std::snprintf(text, sizeof(text), "%016x", ++jobs);
        return text;
    }

    bool exceedsMemory()
    {
        return statusKb(site.host(0).id(), "VmRSS") > MemoryLimitMb * 1024;
    }

    /// The host lives, stays within its limits and answers an ordinary request.
    void checkHost(std::size_t host = 0)
    {
        const auto process = site.host(host).id();
        BOOST_TEST(site.host(host).isRunning());
        const auto descriptors = countDescriptors(process);
        BOOST_TEST_MESSAGE("peak memory " << statusKb(process, "VmHWM") << " KB, descriptors " << descriptors.all << ", sockets "
                                          << descriptors.sockets);
        BOOST_TEST(statusKb(process, "VmHWM") <= MemoryLimitMb * 1024);
        BOOST_TEST(descriptors.all <= DescriptorLimit);
        BOOST_TEST(descriptors.sockets <= DescriptorLimit - ReservedForFiles);
        BOOST_TEST(eventually([this, host] {
            return completesOne(host);
        }));
        BOOST_TEST(statusKb(process, "VmHWM") <= MemoryLimitMb * 1024);
        BOOST_TEST(site.host(host).isRunning());
    }

    void checkAllHosts()
    {
        for (std::size_t host = 0; host < site.hostCount(); ++host) {
            BOOST_TEST_CONTEXT("host " << host)
            {
                checkHost(host);
            }
        }
    }

    std::string postHead()
    {
        return "POST /checks/" + nextId() + " HTTP/1.1\r\nHost: desk.example\r\n";
    }

    std::string chunkedHead()
    {
        return postHead() + "Transfer-Encoding: chunked\r\n\r\n";
    }

    std::string answerTo(const std::string &request)
    {
        RawConnection caller(site.callerEndpoint(0));
        BOOST_TEST(caller.send(request));
        return caller.readAll();
    }

    unsigned jobs = 0;
    ServiceSite site;
};
} // namespace Anvilcart
