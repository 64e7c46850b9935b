#pragma once

#include "kernel/eventloops.h"
#include "net/httpclient.h"
#include "service/storestandin.h"
#include "service/workerstandin.h"
#include "site/childprocess.h"
#include "site/loopbackblock.h"

#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Anvilcart
{
/// Size of a service site.
struct ServiceSiteOptions
{
    /// The zone of each host.
    std::vector<std::string> hostZones = {"a", "b", "c"};
    std::size_t targetsPerZone = 2;
    std::int64_t milliCores = 32000;
    /// The bound of evacuations in the hosts' settings.
    std::optional<Milliseconds> evacuationBound;
    /// Further lines of each host's settings file.
    std::string settings;
    /// Limits of the published configuration.
    std::size_t maxHeaderBytes = 4096;
    std::size_t maxBodyBytes = 20000;
};

/// Runs hosts as child processes on loopback addresses, with stand-ins for the platform's store and targets in the calling process.
class ServiceSite
{
public:
    /// Timeout of every published queue.
    static constexpr Milliseconds RouteTimeout {5000};

    /// Starts the stand-ins and all hosts. binaries is the folder of the anvilcart binary.
    ServiceSite(ServiceSiteOptions options, const std::string &binaries);
    ~ServiceSite();

    /// Publishes a configuration with these queues, each with its path prefix /NAME/.
    void publish(std::uint64_t version, const std::vector<std::string> &queues);

    /// Writes the operator's record that evacuates a zone, with this value; an empty one ends the evacuation.
    void evacuate(const std::string &zone, const std::string &value);

    /// True when every running host reports itself ready.
    bool isReady();

    /// Submits a job of equal tasks that each run for runTime, and returns the reply. timeout is sent as the caller's timeout.
    HttpReply submit(std::size_t host,
                     const std::string &queue,
                     const std::string &id,
                     int tasks,
                     Milliseconds runTime,
                     Milliseconds timeout = Seconds(5));

    /// The call that submits such a job.
    static HttpCall jobCall(const std::string &queue, const std::string &id, int tasks, Milliseconds runTime, Milliseconds timeout);

    /// Submits a job with one task that crashes each target that starts it.
    HttpReply submitCrashing(std::size_t host, const std::string &queue, const std::string &id, Milliseconds timeout);

    /// Sends a request to the callers' endpoint of a host. timeout is sent as the caller's timeout.
    HttpReply request(
        std::size_t host, const std::string &method, const std::string &path, const std::string &body, Milliseconds timeout = Seconds(5));

    /// The host's metrics in the Prometheus text format.
    std::string metrics(std::size_t host);

    /// A job's request as it is sent to the callers' endpoint.
    static std::string
    submissionText(const std::string &queue, const std::string &id, int tasks, Milliseconds runTime, Milliseconds timeout);

    ChildProcess &host(std::size_t index);

    /// Starts a host, also one that has ended; the log of its earlier process stays in the folder.
    void startHost(std::size_t index);

    /// Where callers reach a host.
    Endpoint callerEndpoint(std::size_t host) const;
    Endpoint readinessEndpoint(std::size_t host) const;
    Endpoint peerEndpoint(std::size_t host) const;
    Endpoint metricsEndpoint(std::size_t host) const;
    std::size_t hostCount() const;
    StoreStandin &store();
    WorkerStandin &worker(std::size_t index);
    std::size_t workerCount() const;

    /// Writes a target's record to the store, in the state draining or ready.
    void registerWorker(std::size_t index, bool draining);

    /// Writes a target's record with this endpoint, such as that of a proxy.
    void registerWorkerAt(std::size_t index, const Endpoint &endpoint);

    /// Text that a host has written to standard output.
    std::string log(std::size_t host) const;

    /// The settings file of a host.
    std::filesystem::path settingsPath(std::size_t host) const;

    /// Number of starts of a task on all targets.
    std::size_t startCount(const std::string &task) const;

    /// The zone of a target.
    const std::string &zoneOf(std::size_t worker) const;

    /// Number of starts on the targets of a zone.
    std::size_t startsInZone(const std::string &zone) const;

    /// Sum of WorkerStandin::duplicateRuns() over all targets.
    std::size_t duplicateRuns() const;

private:
    std::string hostAddress(std::size_t index) const;
    std::string workerId(std::size_t index) const;
    std::string settingsText(std::size_t index) const;

    ServiceSiteOptions m_options;
    std::string m_binaries;
    LoopbackBlock m_block;
    std::filesystem::path m_folder;
    EventLoops m_loops;
    std::unique_ptr<StoreStandin> m_store;
    std::vector<std::unique_ptr<WorkerStandin>> m_workers;
    std::vector<std::unique_ptr<ChildProcess>> m_hosts;
    /// Processes started of each host; the platform tells a process whether it starts with the whole system.
    std::vector<std::size_t> m_startsOfHost;
};
} // namespace Anvilcart
