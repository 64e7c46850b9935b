#include "common/site.h"

#include <thread>

// The configuration adds a second queue, on workers of its own. Its client numbers its jobs from 1, as the first queue's client does.
namespace Anvilcart::Review
{
namespace
{
constexpr Milliseconds RunTime {1500};
constexpr Milliseconds OtherRunTime {200};
constexpr Milliseconds CallerTimeout {8000};
/// bounds.config_ms of the site, and some more.
constexpr Milliseconds ConfigurationTime {2500};
constexpr int Rounds = 6;
const Queue Checks {"checks", "desk"};
const Queue Stamps {"stamps", "yard"};

/// True if a run of the job's only task has ended as done on a worker of the service.
bool hasRun(Site &site, const std::string &id, const std::string &service)
{
    for (std::size_t index = 0; index < site.workerCount(); ++index) {
        const auto &worker = site.worker(index);
        for (const auto &run : worker.runs()) {
            if (worker.kind().service == service && run.task == id + ".0.0.0" && run.isDone) {
                return true;
            }
        }
    }
    return false;
}

void sendAndJudge(Site &site, Record &record, std::size_t host, const Queue &queue, const std::string &id, Milliseconds runTime)
{
    const auto path = "/" + queue.name + "/" + id;
    const auto reply = site.request(host, "POST", path, Site::jobBody({Step()}, runTime), CallerTimeout);
    if (reply.status == 200 && reply.body.find("completed") != std::string::npos && !hasRun(site, id, queue.service)) {
        record.addViolation(path + " is shown as completed, and its task has not run on any worker of " + queue.service);
    }
}

void play(Site &site, Record &record, bool trouble)
{
    if (trouble) {
        site.publish({Checks, Stamps});
        std::this_thread::sleep_for(ConfigurationTime);
    }
    for (int round = 0; round < Rounds; ++round) {
        const auto id = site.newId();
        const auto host = static_cast<std::size_t>(round) % site.hostCount();
        std::thread first([&] {
            sendAndJudge(site, record, host, Checks, id, RunTime);
        });
        std::this_thread::sleep_for(Milliseconds(300));
        if (trouble) {
            // Every other time the two clients are at the same host.
            sendAndJudge(site, record, (host + static_cast<std::size_t>(round) % 2) % site.hostCount(), Stamps, id, OtherRunTime);
        }
        first.join();
    }
}
} // namespace
} // namespace Anvilcart::Review

int main(int argc, char **argv)
{
    using namespace Anvilcart::Review;
    // The workers of the second service are there from the start; no queue leads to them before the change.
    return runCase(argc, argv, {.workersPerZone = 4, .services = {Checks.service, Stamps.service}, .queues = {Checks}, .play = play});
}
