#include "cases.h"
#include "site.h"

#include "platform/names.h"

#include <atomic>
#include <cstdio>
#include <thread>
#include <vector>

namespace Review
{
using namespace Anvilcart;

namespace
{
/// One in each zone.
constexpr std::size_t Hosts = 3;
constexpr std::size_t Workers = 8;
constexpr Milliseconds CallerTimeout {1500};
/// Time between two requests to a host, and the length of the traffic before and after the final fault.
constexpr Milliseconds RequestPeriod {1000};
constexpr int RequestsBefore = 10;
constexpr int RequestsInRecovery = 12;
constexpr int RequestsAfter = 25;
/// How long all hosts are down. The traffic in the recovery takes recover_s of the users' small sites.
constexpr Milliseconds DownTime {1000};
/// The length of the name of a service that isn't named in the configuration.
constexpr std::size_t NameBytes = 600;

struct Traffic
{
    std::size_t requests = 0;
    std::size_t served = 0;
};

/// Sends requests to all hosts at a fixed rate, whatever becomes of the earlier ones.
Traffic sendTraffic(Site &site, unsigned firstId, int requestsOfHost)
{
    std::atomic<std::size_t> served = 0;
    std::vector<std::thread> callers;
    for (int number = 0; number < requestsOfHost; ++number) {
        for (std::size_t host = 0; host < Hosts; ++host) {
            char id[17];
            std::snprintf(id, sizeof(id), "%016zx", firstId + callers.size());
            callers.emplace_back([&site, &served, host, id = std::string(id)] {
                const JobText job {3, Milliseconds(100), 4000, {}};
                served += site.send(host, Site::jobCall(id, job, CallerTimeout), CallerTimeout).status == 200 ? 1 : 0;
            });
        }
        std::this_thread::sleep_for(RequestPeriod);
    }
    for (auto &caller : callers) {
        caller.join();
    }
    return {callers.size(), served};
}

std::string toText(const Traffic &traffic)
{
    return std::to_string(traffic.served) + " of " + std::to_string(traffic.requests) + " requests were served";
}
} // namespace

bool playLongNameInStore(const CaseContext &context)
{
    Site site(Hosts, std::vector<WorkerKind>(Workers), context.binary, context.record);
    site.publish(1);
    if (!site.waitUntilReady()) {
        return false;
    }
    constexpr unsigned FirstIdAfter = 0x2000;
    const auto before = sendTraffic(site, 1, RequestsBefore);
    context.record.note("before the final fault " + toText(before));
    for (std::size_t host = 0; host < Hosts; ++host) {
        site.host(host).kill();
    }
    context.record.note("all hosts were killed");
    if (context.hasTrouble) {
        site.store().put(Platform::Names::TargetTopic, "tool-0", site.foreignEntry(std::string(NameBytes, 'x')));
        context.record.note("another writer: an entry whose service has a name of " + std::to_string(NameBytes) + " characters");
    }
    std::this_thread::sleep_for(DownTime);
    for (std::size_t host = 0; host < Hosts; ++host) {
        site.startHost(host);
    }
    // Traffic goes on through the recovery.
    constexpr unsigned FirstIdInRecovery = 0x1000;
    const auto recovery = sendTraffic(site, FirstIdInRecovery, RequestsInRecovery);
    context.record.note("in the recovery " + toText(recovery));
    const auto after = sendTraffic(site, FirstIdAfter, RequestsAfter);
    if (4 * before.served >= before.requests && 4 * after.served < after.requests) {
        context.record.broken("RECOVER later than recover_s after the hosts are back " + toText(after));
    } else {
        context.record.note("later than recover_s after the hosts are back " + toText(after));
    }
    return 4 * before.served >= before.requests;
}
} // namespace Review
