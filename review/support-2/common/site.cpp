#include "site.h"

#include "net/runcoroutine.h"
#include "platform/names.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <unistd.h>

namespace Anvilcart::Review
{
namespace json = boost::json;

namespace
{
constexpr char CallerHost[] = "desk.example";
constexpr int StorePort = 8600;
constexpr int CallerPort = 8161;
constexpr int ReadinessPort = 8167;
constexpr int PeerPort = 8166;
constexpr int WorkerPort = 8080;
constexpr Seconds ReadyTimeout {20};
/// The settings name three hosts at most.
constexpr std::size_t MaxSeeds = 3;
const std::vector<std::string> Zones {"a", "b", "c"};
} // namespace

Site::Site(const std::string &program,
           const std::vector<std::string> &hostZones,
           std::size_t workersPerZone,
           const std::vector<std::string> &services,
           const std::vector<Queue> &queues,
           Record &record)
    : m_program(program)
    , m_hostZones(hostZones)
    , m_record(record)
    , m_folder(std::filesystem::temp_directory_path() / ("anvilcart-review-" + std::to_string(::getpid())))
    , m_loops(1)
{
    std::filesystem::create_directories(m_folder);
    const auto block = "127." + std::to_string(m_block.number()) + ".";
    m_store = std::make_unique<StoreStandin>(m_loops, Endpoint {block + "0.1", StorePort});
    publish(queues);
    for (const auto &zone : Zones) {
        for (std::size_t index = 0; index < workersPerZone; ++index) {
            const auto id = "i-" + zone + std::to_string(index);
            const Endpoint endpoint {block + "2." + std::to_string(m_workers.size() + 1), WorkerPort};
            WorkerKind kind;
            kind.service = services[index % services.size()];
            const auto registration = [this, id](const std::string &entry) {
                m_store->put(Platform::Names::TargetTopic, id, entry);
            };
            m_workers.push_back(std::make_unique<Worker>(m_loops, endpoint, id, zone, kind, record, registration));
            m_workers.back()->registerEntry();
        }
    }
    m_hosts.resize(hostZones.size());
    m_startsOfHost.resize(m_hosts.size());
    for (std::size_t index = 0; index < m_hosts.size(); ++index) {
        startHost(index);
    }
    for (std::size_t index = 0; index < m_hosts.size(); ++index) {
        awaitReady(index);
    }
    m_record.add("all hosts are ready");
}

Site::~Site()
{
    m_hosts.clear();
    m_loops.stop();
    std::error_code error;
    std::filesystem::remove_all(m_folder, error);
}

std::size_t Site::hostCount() const
{
    return m_hosts.size();
}

ChildProcess &Site::host(std::size_t index)
{
    return *m_hosts[index];
}

std::size_t Site::workerCount() const
{
    return m_workers.size();
}

Worker &Site::worker(std::size_t index)
{
    return *m_workers[index];
}

std::string Site::hostAddress(std::size_t index) const
{
    return "127." + std::to_string(m_block.number()) + ".1." + std::to_string(index + 1);
}

void Site::writeSettings(std::size_t index) const
{
    const auto address = hostAddress(index);
    std::ofstream file(m_folder / ("host-" + std::to_string(index) + ".conf"));
    const auto &zone = m_hostZones[index];
    file << "node=front-" << zone << '-' << index + 1 << "\nrole=entry\nclass=front\nserves=front,control\nip=" << address
         << "\nzone=" << zone << "\nregion=here\n";
    for (const auto &name : Zones) {
        file << "zones." << name << "=here\n";
    }
    file << "listen.front=" << address << ':' << CallerPort << "\nlisten.ready=" << address << ':' << ReadinessPort
         << "\nlisten.control=" << address << ':' << PeerPort << "\nseeds=";
    for (std::size_t host = 0; host < std::min(m_hosts.size(), MaxSeeds); ++host) {
        file << (host == 0 ? "" : ",") << hostAddress(host) << ':' << PeerPort;
    }
    file << "\nbootstrap=" << (m_startsOfHost[index] == 1 ? "true" : "false")
         << "\nlimits.cpu_share=0.25\nlimits.cores=1\nlimits.memory_mb=260\nlimits.max_fds=4100\nheartbeat_ms=1500\n"
         << "tolerate.machines=1\ntolerate.zones=1\nbounds.stable_window_ms=3000\nbounds.ack_ms=4000\nbounds.drain_ms=2000\n"
         << "bounds.grace_s=6\nbounds.config_ms=2000\nbounds.hold_max_ms=1000\nbounds.stop_timeout_ms=50\nbounds.cancel_ms=3000\n"
         << "bounds.visible_ms=3000\nbounds.resend_ms=1300\ncommand_mode=call\nplatform.address=127." << m_block.number()
         << ".0.1:" << StorePort << "\nplatform.form=log\n";
}

void Site::startHost(std::size_t index)
{
    m_hosts[index].reset();
    const auto starts = ++m_startsOfHost[index];
    writeSettings(index);
    const auto base = m_folder / ("host-" + std::to_string(index));
    ::setenv(Platform::Names::SettingsVariable, (base.string() + ".conf").c_str(), 1);
    const auto output = base.string() + "-" + std::to_string(starts) + ".log";
    const std::vector<std::string> arguments {"dispatch", "--metrics-port", "9464"};
    m_hosts[index] = std::make_unique<ChildProcess>(m_program, arguments, output, output + ".err");
    m_record.add("host " + std::to_string(index) + " is started");
}

void Site::publish(const std::vector<Queue> &queues)
{
    json::array routes;
    json::array services;
    std::string names;
    for (const auto &queue : queues) {
        names += " " + queue.name;
        routes.push_back(json::object {{"name", queue.name},
                                       {"host", CallerHost},
                                       {"path_prefix", "/" + queue.name + "/"},
                                       {"kind", "unsafe"},
                                       {"timeout_ms", 14000},
                                       {"target_latency_ms", 60},
                                       {"priority", 0},
                                       {"service", queue.service},
                                       {"max_attempts", 3},
                                       {"stretch_factor", 1.6}});
        services.push_back(json::object {{"name", queue.service}, {"enforce_capacity", false}, {"standby", false}});
    }
    const json::object limits {
        {"max_header_bytes", 16384}, {"max_body_bytes", 262144}, {"header_timeout_ms", 3000}, {"idle_timeout_ms", 15000}};
    m_store->put(Platform::Names::OperatorTopic,
                 Platform::Names::ConfigurationKey,
                 json::serialize(json::object {{"version", ++m_version}, {"routes", routes}, {"services", services}, {"limits", limits}}));
    m_record.add("version " + std::to_string(m_version) + " of the configuration is acknowledged, with the queues" + names);
}

bool Site::isReady(std::size_t host) const
{
    HttpCall call("GET", Platform::Names::ReadyPath);
    return runCoroutine(callOnce({hostAddress(host), ReadinessPort}, std::move(call), Seconds(1))).status == 200;
}

void Site::awaitReady(std::size_t host) const
{
    const auto giveUpAt = Clock::now() + ReadyTimeout;
    while (!isReady(host)) {
        if (Clock::now() > giveUpAt) {
            throw std::runtime_error("a host is not ready in time");
        }
        std::this_thread::sleep_for(Milliseconds(50));
    }
}

std::string Site::jobBody(const std::vector<Step> &steps, Milliseconds runTime)
{
    json::array rows;
    for (const auto &step : steps) {
        json::object row {{"count", step.tasks}, {"cpu", step.milliCores}, {"mem_mb", 64}, {"estimate_ms", runTime.count()}};
        if (!step.requiredLabel.empty()) {
            row["required_label"] = step.requiredLabel;
        }
        if (!step.dependsOn.empty()) {
            row["depends_on"] = json::array(step.dependsOn.begin(), step.dependsOn.end());
        }
        rows.push_back(std::move(row));
    }
    return json::serialize(json::object {{"spec", std::to_string(runTime.count())}, {"steps", rows}, {"best_effort", true}});
}

HttpReply Site::request(std::size_t host, const std::string &method, const std::string &path, const std::string &body, Milliseconds timeout)
{
    const auto name = method + " " + path + " at host " + std::to_string(host);
    m_record.add("client sends " + name);
    HttpCall call(method, path, body);
    call.headers.push_back({"Host", CallerHost});
    call.headers.push_back({"Content-Type", "application/json"});
    call.headers.push_back({Platform::Names::CallerTimeoutHeader, std::to_string(timeout.count())});
    auto reply = runCoroutine(callOnce({hostAddress(host), CallerPort}, std::move(call), timeout + Seconds(1)));
    m_record.add("client got for " + name + ": "
                 + (reply.progress == CallProgress::Answered ? std::to_string(reply.status) + " " + reply.body : "no answer"));
    return reply;
}

std::string Site::newId()
{
    char text[17];
    std::snprintf(text, sizeof(text), "%016x", ++m_jobs);
    return text;
}

std::vector<std::string> Site::runsAtTheSameTime() const
{
    std::vector<std::pair<std::string, Run>> all;
    for (const auto &worker : m_workers) {
        for (const auto &run : worker->runs()) {
            all.emplace_back(worker->id(), run);
        }
    }
    std::vector<std::string> found;
    for (std::size_t first = 0; first < all.size(); ++first) {
        for (std::size_t second = first + 1; second < all.size(); ++second) {
            const auto &[oneWorker, one] = all[first];
            const auto &[otherWorker, other] = all[second];
            const auto from = std::max(one.startedAt, other.startedAt);
            const auto to = std::min({one.endedAt, other.endedAt, Clock::now()});
            if (one.task == other.task && from < to) {
                std::ostringstream text;
                text << one.task << ": run " << one.number << " on " << oneWorker << " and run " << other.number << " on " << otherWorker
                     << " at the same time, for " << static_cast<int>(toMilliseconds(to - from)) << " ms";
                found.push_back(text.str());
            }
        }
    }
    return found;
}

int runCase(int argc, char **argv, const Case &which)
{
    constexpr int Held = 0;
    constexpr int Broken = 1;
    constexpr int CouldNotRun = 2;
    if (argc != 3) {
        std::cerr << "usage: " << argv[0] << " PROGRAM RECORD\n";
        return CouldNotRun;
    }
    const auto *setting = std::getenv("TROUBLE");
    const bool trouble = setting == nullptr || std::string(setting) != "0";
    try {
        Record record(argv[2]);
        record.add(trouble ? "with the disruption" : "without the disruption");
        Site site(argv[1], which.hostZones, which.workersPerZone, which.services, which.queues, record);
        which.play(site, record, trouble);
        record.add(std::to_string(record.violations()) + " violations");
        std::cout << record.violations() << " violations; see " << argv[2] << '\n';
        return record.violations() > 0 ? Broken : Held;
    } catch (const std::exception &error) {
        std::cerr << "the case could not run: " << error.what() << '\n';
        return CouldNotRun;
    }
}
} // namespace Anvilcart::Review
