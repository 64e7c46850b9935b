#pragma once

#include "kernel/eventloops.h"
#include "net/httpclient.h"
#include "record.h"
#include "service/storestandin.h"
#include "site/childprocess.h"
#include "site/loopbackblock.h"
#include "worker.h"

#include <boost/json/object.hpp>

#include <atomic>
#include <cstdint>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

namespace Anvilcart::Review
{
/// One step of a job, with tasks that run as long as the job's spec says.
struct Step
{
    int tasks = 1;
    std::int64_t milliCores = 14000;
    std::string requiredLabel;
    std::vector<int> dependsOn;
};

/// A queue of the configuration; its path prefix is /NAME/.
struct Queue
{
    std::string name;
    std::string service = "desk";
};

/// A small site: the hosts as processes of the deploy file's command, the project's stand-in for the store, and workers.
class Site
{
public:
    /// Starts the store, the workers and the hosts, publishes a configuration with these queues, and waits until all hosts are ready. The
    /// workers of a zone belong to the services in turn. Throws std::runtime_error when the hosts don't become ready.
    Site(const std::string &program,
         const std::vector<std::string> &hostZones,
         std::size_t workersPerZone,
         const std::vector<std::string> &services,
         const std::vector<Queue> &queues,
         Record &record);
    ~Site();

    std::size_t hostCount() const;
    ChildProcess &host(std::size_t index);
    void startHost(std::size_t index);

    /// Waits until the host reports itself ready. Throws std::runtime_error when it doesn't in time.
    void awaitReady(std::size_t host) const;
    std::size_t workerCount() const;
    Worker &worker(std::size_t index);

    /// Publishes a new version of the configuration with just these queues.
    void publish(const std::vector<Queue> &queues);

    /// The body of a best-effort job whose tasks run for this time.
    static std::string jobBody(const std::vector<Step> &steps, Milliseconds runTime);

    /// Sends a request to a host as a client does, and records what is sent and answered.
    HttpReply request(std::size_t host, const std::string &method, const std::string &path, const std::string &body, Milliseconds timeout);

    /// A new job's id.
    std::string newId();

    /// The pairs of runs of one task that were active at the same time on two workers, or on one.
    std::vector<std::string> runsAtTheSameTime() const;

private:
    std::string hostAddress(std::size_t index) const;
    void writeSettings(std::size_t index) const;
    bool isReady(std::size_t host) const;

    std::string m_program;
    std::vector<std::string> m_hostZones;
    Record &m_record;
    LoopbackBlock m_block;
    std::filesystem::path m_folder;
    EventLoops m_loops;
    std::unique_ptr<StoreStandin> m_store;
    std::vector<std::unique_ptr<Worker>> m_workers;
    std::vector<std::unique_ptr<ChildProcess>> m_hosts;
    std::vector<std::size_t> m_startsOfHost;
    std::uint64_t m_version = 0;
    std::atomic<unsigned> m_jobs = 0;
};

/// What a case consists of.
struct Case
{
    /// The zone of each host.
    std::vector<std::string> hostZones = {"a", "b", "c"};
    std::size_t workersPerZone = 3;
    std::vector<std::string> services = {"desk"};
    std::vector<Queue> queues = {{"checks"}};
    /// Plays the case and adds what breaks the rule to the record; without the disruption if trouble is false.
    void (*play)(Site &site, Record &record, bool trouble) = nullptr;
};

/// Runs a case, and returns the exit code of its script. The arguments are the program and the record's path. The disruption is left out
/// when the environment says TROUBLE=0.
int runCase(int argc, char **argv, const Case &which);
} // namespace Anvilcart::Review
