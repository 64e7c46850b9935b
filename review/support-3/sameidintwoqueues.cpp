#include "cases.h"
#include "site.h"

#include <thread>

namespace Review
{
using namespace Anvilcart;

namespace
{
constexpr std::size_t Hosts = 3;
constexpr int Rounds = 6;
constexpr Milliseconds CallerTimeout {8000};
constexpr Milliseconds TimeToSecondJob {300};
constexpr Milliseconds TimeToKill {700};
constexpr Milliseconds DownTime {1500};
constexpr std::int64_t TaskSize = 16000;
} // namespace

bool playSameIdInTwoQueues(const CaseContext &context)
{
    Site site(Hosts, {{32000, "a", "r1"}}, context.binary, context.record);
    site.publishApart(1, {"checks", "orders"});
    if (!site.waitUntilReady()) {
        return false;
    }
    for (int round = 0; round < Rounds; ++round) {
        const auto dispatcher = site.dispatcher();
        if (!dispatcher) {
            return false;
        }
        const auto first = (*dispatcher + 2 - static_cast<std::size_t>(round) % 2) % Hosts;
        const auto second = (*dispatcher + 1 + static_cast<std::size_t>(round) % 2) % Hosts;
        const std::string id = "00000000000000d" + std::to_string(round);
        // Each job has a spec of its own, by which the worker tells them apart.
        const JobText longJob {2, Milliseconds(2500 + round), TaskSize, {}};
        const JobText shortJob {2, Milliseconds(400 + round), TaskSize, {}};
        std::thread firstCaller([&] {
            site.send(first, Site::jobCall(id, longJob, CallerTimeout, "checks"), CallerTimeout);
        });
        std::this_thread::sleep_for(TimeToSecondJob);
        HttpReply reply;
        std::thread secondCaller([&] {
            reply = site.send(second, Site::jobCall(id, shortJob, CallerTimeout, "orders"), CallerTimeout);
        });
        std::this_thread::sleep_for(TimeToKill);
        if (context.hasTrouble) {
            site.host(*dispatcher).kill();
            context.record.note("host " + std::to_string(*dispatcher) + " was killed, which dispatched");
            std::this_thread::sleep_for(DownTime);
            site.startHost(*dispatcher);
        }
        firstCaller.join();
        secondCaller.join();
        const auto starts = site.worker(0).startCountWith(Site::specOf(shortJob));
        if (reply.body == R"({"state":"completed"})" && starts < static_cast<std::size_t>(shortJob.tasks)) {
            context.record.broken("MIXED the job " + id + " of the queue orders was answered as completed, with " + std::to_string(starts)
                                  + " starts of its tasks");
        }
        std::this_thread::sleep_for(Seconds(1));
    }
    return true;
}
} // namespace Review
