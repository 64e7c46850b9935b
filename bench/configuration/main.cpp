#include "net/runcoroutine.h"
#include "site/site.h"
#include "verbs/configurationlog.h"
#include "verbs/hostsurvey.h"

#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <iostream>

using namespace Anvilcart;

namespace
{
constexpr Seconds ForceLimit {60};

/// Appends the current files as a new version and returns the time from the log's confirmation to the slowest host.
boost::asio::awaitable<Duration> publishOnce(ConfigurationLog &log, HostList hosts)
{
    co_await log.refresh();
    auto record = *log.history().current();
    record.id = boost::uuids::to_string(boost::uuids::random_generator()());
    record.parent = record.version;
    ++record.version;
    record.carriedAt.reset();
    const bool confirmed = co_await log.append(record);
    const auto accepted = Clock::now();
    if (!confirmed) {
        throw std::runtime_error("the log did not confirm");
    }
    for (;;) {
        const auto reports = co_await surveyHosts(hosts);
        const bool everywhere = std::all_of(reports.begin(), reports.end(), [&](const HostReport &report) {
            return isInForce(report, record.version);
        });
        const auto taken = Clock::now() - accepted;
        if (everywhere) {
            co_return taken;
        }
        if (taken > ForceLimit) {
            throw std::runtime_error("a host did not take the version");
        }
    }
}

void measure(const std::string &name, const Endpoint &platform, int publishes)
{
    ConfigurationLog log(platform);
    const auto hosts = runCoroutine(log.hosts()).value();
    std::vector<double> times;
    for (int publish = 0; publish < publishes; ++publish) {
        times.push_back(toMilliseconds(runCoroutine(publishOnce(log, hosts))));
    }
    std::sort(times.begin(), times.end());
    const auto at = [&](std::size_t percent) {
        return times[std::min(times.size() - 1, times.size() * percent / 100)];
    };
    std::cout << name << ": " << times.size() << " publishes, ms to the slowest host: median " << at(50) << ", p99 " << at(99) << ", most "
              << times.back() << std::endl;
}
} // namespace

/// Measures the time from the acceptance of a version until the slowest of six entry hosts runs it.
int main(int argc, char **argv)
{
    TCLAP::CmdLine commandLine("Measures the time from acceptance to in force.", ' ', ANVILCART_VERSION);
    TCLAP::ValueArg<std::string> binaries("b", "binaries", "the build folder", false, "build", "DIR", commandLine);
    TCLAP::ValueArg<int> publishes("n", "publishes", "publishes for each case", false, 100, "COUNT", commandLine);
    commandLine.parse(argc, argv);
    Site site(societyOptions(), binaries.getValue());
    measure("no fault", site.platform(), publishes.getValue());
    site.controlPlatform(R"({"sync_ms":200})");
    measure("synced appends take 200 ms", site.platform(), publishes.getValue() / 4);
    site.controlPlatform(R"({"sync_ms":5,"cut_zones":[1]})");
    measure("one zone is cut off from the platform", site.platform(), publishes.getValue() / 4);
    return 0;
}
