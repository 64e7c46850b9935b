#pragma once

#include "kernel/eventloops.h"
#include "net/httpclient.h"
#include "service/storestandin.h"
#include "service/workerstandin.h"
#include "site/childprocess.h"
#include "site/loopbackblock.h"

#include <filesystem>
#include <memory>
#include <string>
#include <vector>

namespace Anvilcart
{
/// Size and behaviour of a service site.
struct ServiceSiteOptions
{
    /// The zone of each host.
    std::vector<std::string> hostZones = {"a", "b", "c"};
    std::size_t targetsOfZone = 2;
    std::int64_t milliCores = 32000;
};

/// Hosts as processes on loopback, with stand-ins for the platform's store and targets in this process.
class ServiceSite
{
public:
    /// The time-out of every published queue.
    static constexpr Milliseconds RouteTimeout {5000};

    /// Starts everything. binaries is the folder of the anvilcart binary.
    ServiceSite(ServiceSiteOptions options, const std::string &binaries);
    ~ServiceSite();

    /// Publishes a configuration with these queues, each with its path prefix /NAME/.
    void publish(std::uint64_t version, const std::vector<std::string> &queues);

    /// True when every running host reports itself ready.
    bool isReady();

    /// Submits a job of equal tasks that each run for so long; the answer's status, body and progress.
    HttpReply submit(std::size_t host,
                     const std::string &queue,
                     const std::string &id,
                     int tasks,
                     Milliseconds runTime,
                     Milliseconds limit = Seconds(5));

    /// Any request to a host's callers' door.
    HttpReply
    request(std::size_t host, const std::string &method, const std::string &path, const std::string &body, Milliseconds limit = Seconds(5));

    /// The host's metrics.
    std::string metrics(std::size_t host);

    ChildProcess &host(std::size_t index);
    void startHost(std::size_t index);
    std::size_t hostCount() const;
    StoreStandin &store();
    WorkerStandin &worker(std::size_t index);
    std::size_t workerCount() const;

    /// Registers a target in the store again, leaving or not.
    void registerWorker(std::size_t index, bool draining);

    /// What a host has written to standard output.
    std::string log(std::size_t host) const;

    /// The settings file of a host.
    std::filesystem::path settingsPath(std::size_t host) const;

    /// Starts of one task over all targets.
    std::size_t startsOf(const std::string &task) const;
    std::size_t doubledRuns() const;

private:
    std::string hostAddress(std::size_t index) const;
    std::string settingsText(std::size_t index) const;

    ServiceSiteOptions m_options;
    std::string m_binaries;
    LoopbackBlock m_block;
    std::filesystem::path m_folder;
    EventLoops m_loops;
    std::unique_ptr<StoreStandin> m_store;
    std::vector<std::unique_ptr<WorkerStandin>> m_workers;
    std::vector<std::unique_ptr<ChildProcess>> m_hosts;
};
} // namespace Anvilcart
