#pragma once

#include "kernel/eventloops.h"
#include "kernel/time.h"
#include "model/endpoint.h"
#include "service/storestandin.h"
#include "site/childprocess.h"
#include "site/loopbackblock.h"

#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace Anvilcart::Review
{
/// Exit codes of a case.
constexpr int Held = 0;
constexpr int Broken = 1;
constexpr int CouldNotRun = 2;

/// True unless the environment says TROUBLE=0.
bool hasTrouble();

/// The record of a case: a line with the time for everything that was sent, answered and run. Thread-safe.
class Record
{
public:
    /// Writes record.txt into the folder.
    explicit Record(const std::filesystem::path &folder);

    void line(const std::string &text);

    /// Writes a line with an earlier time.
    void lineAt(TimePoint time, const std::string &text);

    TimePoint startedAt() const;

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    TimePoint m_startedAt = Clock::now();
};

/// A run as its worker logged it.
struct Run
{
    std::string worker;
    std::string task;
    std::int64_t number = 0;
    TimePoint startedAt;
    /// TimePoint::max() while it has not ended.
    TimePoint endedAt = TimePoint::max();
    std::string how;
};

/// What a client got; status 0 when there was no whole answer in the time it waited.
struct Answer
{
    int status = 0;
    std::string body;
};

struct DeploymentOptions
{
    /// The zone of each host.
    std::vector<std::string> hostZones;
    /// The time-out of the queue.
    Milliseconds routeTimeout {1500};
    /// bounds.drain_ms of the settings.
    Milliseconds drainTime {2000};
};

/// What a worker writes to the store about itself.
struct WorkerEntry
{
    std::string id;
    Endpoint endpoint;
    std::string zone;
    std::int64_t milliCores = 32000;
    std::int64_t bornMs = 1;
    std::string state = "ready";
    /// The worker's kind, one of its labels.
    std::string kind = "a";
};

/// A small deployment on loopback addresses: hosts started with the command of the deploy file, the platform's store, and workers in
/// processes of their own. The caller's folder is the root of the repository.
class Deployment
{
public:
    static constexpr char Service[] = "huvo11a";
    static constexpr char CallerHost[] = "nony24.example";
    static constexpr char Prefix[] = "/lohu930/";

    Deployment(DeploymentOptions options, Record &record);
    ~Deployment();

    /// Starts a process with count workers on an address of its own, and returns when all of them listen. Their ids are ID-0 and so on.
    std::vector<Endpoint> startWorkers(const std::string &id, int count);

    /// Kills a process of workers. Their runs end with it.
    void killWorkers(const std::string &id);

    /// Writes a worker's entry to the store now, and again with each heartbeat. One with an empty state deletes it.
    void registerWorker(const WorkerEntry &entry);

    /// Publishes the configuration and starts every host. False when they are not ready in time.
    bool startHosts();

    /// Starts a host that has ended, with bootstrap=false.
    void restartHost(std::size_t index);
    ChildProcess &host(std::size_t index);
    std::size_t hostCount() const;

    /// Where clients reach a host.
    Endpoint callerEndpoint(std::size_t host) const;

    /// Sends one request on a connection of its own; closes it when no whole answer has come in the time.
    Answer call(std::size_t host, const std::string &method, const std::string &id, const std::string &body, Milliseconds patience);

    /// Everything that the workers have run, by the time of the start.
    std::vector<Run> runs() const;

    /// Writes the runs to the record.
    void recordRuns();

    const std::filesystem::path &folder() const;

private:
    std::string hostAddress(std::size_t index) const;
    bool isReady(std::size_t index) const;
    void writeSettings(std::size_t index, bool isFirstStart) const;
    std::string settingsPath(std::size_t index) const;
    std::unique_ptr<ChildProcess> startHost(std::size_t index, const std::string &logName) const;
    void writeEntry(const WorkerEntry &entry);
    void sendHeartbeats(const std::stop_token &stop);

    DeploymentOptions m_options;
    Record &m_record;
    LoopbackBlock m_block;
    std::filesystem::path m_folder;
    EventLoops m_loops;
    std::unique_ptr<StoreStandin> m_store;
    std::mutex m_mutex;
    std::map<std::string, WorkerEntry> m_entries;
    std::int64_t m_sequence = 0;
    std::map<std::string, std::unique_ptr<ChildProcess>> m_workers;
    std::map<std::string, std::string> m_workerAddresses;
    /// When a process of workers was killed, by its id.
    std::multimap<std::string, TimePoint> m_kills;
    std::vector<std::unique_ptr<ChildProcess>> m_hosts;
    int m_restarts = 0;
    std::jthread m_heartbeats;
};

/// The body of a job that need not be stored: steps that each wait for the one before, with count tasks that run for length.
/// Each task needs the label, unless it is empty.
std::string jobBody(int steps, int count, std::int64_t milliCores, Milliseconds length, const std::string &requiredLabel = {});

/// An id of a job: 16 hexadecimal digits.
std::string jobId(unsigned number);

/// Milliseconds since 1970.
std::int64_t wallClockMs();
} // namespace Anvilcart::Review
