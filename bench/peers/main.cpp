#include "site/site.h"

#include <tclap/CmdLine.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <sstream>
#include <thread>

namespace
{
using namespace Anvilcart;

constexpr std::chrono::seconds SettleTime {3};
constexpr std::chrono::seconds MeasuredTime {10};
/// Fields of /proc/PID/stat before the processor time in user mode.
constexpr int FieldsBeforeUserTime = 13;

/// A number of zones and entry hosts a zone.
struct Size
{
    std::size_t zones;
    std::uint32_t hosts;
};

constexpr Size Sizes[] = {{1, 2}, {1, 8}, {3, 2}, {6, 4}};

/// What the entry hosts of a site have used so far.
struct Usage
{
    double bytes = 0;
    double frames = 0;
    double processorSeconds = 0;
};

double readMetric(const std::string &text, const std::string &name)
{
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with(name + " ")) {
            return std::stod(line.substr(name.size() + 1));
        }
    }
    return 0;
}

double readProcessorSeconds(int process)
{
    std::ifstream stat("/proc/" + std::to_string(process) + "/stat");
    std::string field;
    for (int i = 0; i < FieldsBeforeUserTime; ++i) {
        stat >> field;
    }
    double user = 0;
    double system = 0;
    stat >> user >> system;
    return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

Usage readUsage(Site &site, const Size &size)
{
    Usage usage;
    for (std::size_t zone = 0; zone < size.zones; ++zone) {
        for (std::size_t host = 0; host < size.hosts; ++host) {
            const auto text = site.call(site.callerDoor(zone, host), "GET", "/metrics").body;
            usage.bytes += readMetric(text, "anvilcart_peer_sent_bytes_total");
            usage.frames += readMetric(text, "anvilcart_peer_sent_frames_total");
            usage.processorSeconds += readProcessorSeconds(site.entryHost(zone, host).id());
        }
    }
    return usage;
}

void measureQuietSite(const Size &size, const std::string &binaries)
{
    SiteOptions options;
    options.name = "peers";
    options.zones.clear();
    for (std::size_t zone = 0; zone < size.zones; ++zone) {
        options.zones.push_back("zone-" + std::to_string(zone + 1));
    }
    options.entryHostsPerZone = size.hosts;
    Site site(options, binaries);
    std::this_thread::sleep_for(SettleTime);
    const auto before = readUsage(site, size);
    std::this_thread::sleep_for(MeasuredTime);
    const auto after = readUsage(site, size);
    const auto hostSeconds = static_cast<double>(size.zones * size.hosts) * std::chrono::duration<double>(MeasuredTime).count();
    std::printf("%5zu %5u %10.0f %10.2f %12.0f %10.3f\n",
                size.zones,
                size.hosts,
                (after.bytes - before.bytes) / hostSeconds,
                (after.frames - before.frames) / hostSeconds,
                (after.bytes - before.bytes) / (after.frames - before.frames),
                100 * (after.processorSeconds - before.processorSeconds) / hostSeconds);
    std::fflush(stdout);
}
} // namespace

/// Measures what membership costs an entry host of a quiet site, at several sizes.
int main(int argc, char **argv)
{
    TCLAP::CmdLine commandLine("Measures what membership costs.", ' ', ANVILCART_VERSION);
    TCLAP::ValueArg<std::string> binaries("b", "binaries", "the build folder", true, "", "DIR", commandLine);
    commandLine.parse(argc, argv);
    std::printf("%5s %5s %10s %10s %12s %10s\n", "zones", "hosts", "bytes/s", "frames/s", "bytes/frame", "core %");
    for (const auto &size : Sizes) {
        measureQuietSite(size, binaries.getValue());
    }
    return 0;
}
