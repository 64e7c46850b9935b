#pragma once

#include "record.h"
#include "worker.h"

#include "kernel/eventloops.h"
#include "net/httpclient.h"
#include "service/storestandin.h"
#include "site/childprocess.h"
#include "site/loopbackblock.h"

#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Review
{
/// A step of a job with one step.
struct JobText
{
    int tasks = 1;
    Anvilcart::Milliseconds runTime {100};
    std::int64_t milliCores = 4000;
    std::string requiredLabel;
};

/// A small deployment on loopback addresses: the platform's store, workers, and hosts that are started with the command of the deploy file.
/// Not thread-safe, but for send() and store().
class Site
{
public:
    static constexpr char Service[] = "desk";
    static constexpr char Queue[] = "checks";

    /// Starts everything. The folder takes the settings and logs of the hosts; binary is the path of anvilcart.
    Site(std::size_t hosts, const std::vector<WorkerKind> &workers, const std::string &binary, Record &record);
    ~Site();

    /// Waits until all hosts are ready; false when they are not in time.
    bool waitUntilReady();

    /// Publishes a configuration with a queue of each name, which has the path /NAME/.
    void publishApart(std::uint64_t version, const std::vector<std::string> &queues);

    /// Publishes a configuration with queues of these names, which all have the one path.
    void publish(std::uint64_t version, const std::vector<std::string> &queues = {Queue});

    /// Writes the worker's entry to the store.
    void registerWorker(std::size_t index);

    /// An entry of another writer, at an address where nobody listens. It differs from that of a worker in its address and service only.
    std::string foreignEntry(const std::string &service) const;

    /// The request that submits a job.
    static Anvilcart::HttpCall
    jobCall(const std::string &id, const JobText &job, Anvilcart::Milliseconds timeout, const std::string &path = Queue);

    /// The spec of the job's tasks.
    static std::string specOf(const JobText &job);

    /// The request that cancels a job.
    static Anvilcart::HttpCall cancelCall(const std::string &id);

    /// Sends a request to a host's address for callers, and returns the reply.
    Anvilcart::HttpReply send(std::size_t host, Anvilcart::HttpCall call, Anvilcart::Milliseconds timeout);

    Anvilcart::Endpoint callerEndpoint(std::size_t host) const;
    Anvilcart::ChildProcess &host(std::size_t index);
    std::size_t hostCount() const;
    Worker &worker(std::size_t index);
    std::size_t workerCount() const;
    Anvilcart::StoreStandin &store();

    /// What a host has written to its standard output.
    std::string log(std::size_t host) const;

    /// The host that has claimed the targets last; none if that is not known in time.
    std::optional<std::size_t> dispatcher() const;

    /// How a host has ended that has, and the last line of its standard error.
    std::string endOf(std::size_t host);

    /// Starts a host, also one that has ended.
    void startHost(std::size_t index);

private:
    void publish(std::uint64_t version, const std::vector<std::pair<std::string, std::string>> &queuesAndPaths);
    std::string address(int kind, std::size_t index) const;
    std::string settings(std::size_t index) const;

    Record &m_record;
    std::string m_binary;
    Anvilcart::LoopbackBlock m_block;
    std::filesystem::path m_folder;
    Anvilcart::EventLoops m_loops;
    Anvilcart::EventLoops m_storeLoops;
    std::unique_ptr<Anvilcart::StoreStandin> m_store;
    std::vector<std::unique_ptr<Worker>> m_workers;
    std::vector<std::unique_ptr<Anvilcart::ChildProcess>> m_hosts;
    std::vector<int> m_starts;
};

/// Waits until the condition holds; false when it does not within the time.
bool eventually(const std::function<bool()> &condition, Anvilcart::Duration limit = Anvilcart::Seconds(20));
} // namespace Review
