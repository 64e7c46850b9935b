#include "site.h"

#include "net/runcoroutine.h"
#include "platform/names.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <cstdlib>
#include <sstream>
#include <thread>
#include <unistd.h>

namespace Review
{
namespace json = boost::json;
using namespace Anvilcart;

namespace
{
constexpr char CallerHost[] = "desk.example";
constexpr std::uint16_t StorePort = 8169;
constexpr std::uint16_t CallerPort = 8161;
constexpr std::uint16_t ReadyPort = 8167;
constexpr std::uint16_t PeerPort = 8166;
constexpr std::uint16_t WorkerPort = 8170;
const std::vector<std::string> Zones {"fraser", "island", "sunshine"};
/// The second last numbers of addresses.
constexpr int StoreNet = 0;
constexpr int HostNet = 1;
constexpr int WorkerNet = 2;
constexpr int BehindGateNet = 3;
} // namespace

bool eventually(const std::function<bool()> &condition, Duration limit)
{
    const auto until = Clock::now() + limit;
    while (!condition()) {
        if (Clock::now() > until) {
            return false;
        }
        std::this_thread::sleep_for(Milliseconds(20));
    }
    return true;
}

Site::Site(std::size_t hosts, const std::vector<WorkerKind> &workers, const std::string &binary, Record &record)
    : m_record(record)
    , m_binary(binary)
    , m_folder(std::filesystem::temp_directory_path()
               / ("anvilcart-review-" + std::to_string(::getpid()) + "-" + std::to_string(m_block.number())))
    , m_loops(1)
    , m_storeLoops(1)
{
    std::filesystem::create_directories(m_folder);
    m_store = std::make_unique<StoreStandin>(m_storeLoops, Endpoint {address(StoreNet, 0), StorePort});
    for (std::size_t index = 0; index < workers.size(); ++index) {
        m_workers.push_back(std::make_unique<Worker>(m_loops,
                                                     Endpoint {address(WorkerNet, index), WorkerPort},
                                                     Endpoint {address(BehindGateNet, index), WorkerPort},
                                                     "worker-" + std::to_string(index),
                                                     workers[index],
                                                     record));
        registerWorker(index);
    }
    m_hosts.resize(hosts);
    m_starts.resize(hosts);
    for (std::size_t index = 0; index < hosts; ++index) {
        startHost(index);
    }
}

Site::~Site()
{
    m_hosts.clear();
    m_loops.stop();
    m_storeLoops.stop();
    std::error_code error;
    std::filesystem::remove_all(m_folder, error);
}

std::string Site::address(int kind, std::size_t index) const
{
    return "127." + std::to_string(m_block.number()) + "." + std::to_string(kind) + "." + std::to_string(index + 1);
}

std::string Site::settings(std::size_t index) const
{
    const auto own = address(HostNet, index);
    std::ostringstream text;
    text << "node=front-" << index << "\nrole=entry\nclass=front\nserves=front,control\nip=" << own
         << "\nzone=" << Zones[index % Zones.size()]
         << "\nregion=bc-coast\nzones.fraser=bc-coast\nzones.island=bc-coast\nzones.sunshine=bc-coast\n"
         << "listen.front=" << own << ":" << CallerPort << "\nlisten.ready=" << own << ":" << ReadyPort << "\nlisten.control=" << own << ":"
         << PeerPort << "\nseeds=" << address(HostNet, 0) << ":" << PeerPort << "," << address(HostNet, 1) << ":" << PeerPort
         << "\nbootstrap=" << (m_starts[index] == 0 ? "true" : "false") << "\nlimits.cpu_share=0.25\nlimits.cores=1\nlimits.memory_mb=260\n"
         << "limits.max_fds=4100\nlimits.link_mbps=1000.0\ndiscovery=platform\nentry=vip\nheartbeat_ms=1500\n"
         << "bounds.stable_window_ms=3000\nbounds.drain_ms=2000\nbounds.config_ms=2000\nbounds.grace_s=6\nbounds.recover_s=12\n"
         << "bounds.hold_max_ms=1000\nbounds.stop_timeout_ms=50\nbounds.cancel_ms=3000\nbounds.far_x=1.5\nbounds.resend_ms=1300\n"
         << "command_mode=call\nplatform.address=" << address(StoreNet, 0) << ":" << StorePort << "\nplatform.form=log\n";
    return text.str();
}

void Site::startHost(std::size_t index)
{
    m_hosts[index].reset();
    const auto path = m_folder / ("host-" + std::to_string(index) + ".conf");
    std::ofstream(path) << settings(index);
    const auto output = (m_folder / ("host-" + std::to_string(index) + "." + std::to_string(m_starts[index]) + ".log")).string();
    ++m_starts[index];
    ::setenv("ANVILCART_SETTINGS", path.c_str(), 1);
    const std::vector<std::string> arguments {"dispatch", "--metrics-port", "9464"};
    m_hosts[index] = std::make_unique<ChildProcess>(m_binary, arguments, output, output + ".err");
    m_record.note("host " + std::to_string(index) + " started");
}

bool Site::waitUntilReady()
{
    return eventually([this] {
        for (std::size_t index = 0; index < m_hosts.size(); ++index) {
            const Endpoint ready {address(HostNet, index), ReadyPort};
            if (runCoroutine(callOnce(ready, HttpCall("GET", Platform::Names::ReadyPath), Seconds(1))).status != 200) {
                return false;
            }
        }
        return true;
    });
}

void Site::publish(std::uint64_t version, const std::vector<std::string> &queues)
{
    std::vector<std::pair<std::string, std::string>> pairs;
    for (const auto &queue : queues) {
        pairs.emplace_back(queue, Queue);
    }
    publish(version, pairs);
}

void Site::publishApart(std::uint64_t version, const std::vector<std::string> &queues)
{
    std::vector<std::pair<std::string, std::string>> pairs;
    for (const auto &queue : queues) {
        pairs.emplace_back(queue, queue);
    }
    publish(version, pairs);
}

void Site::publish(std::uint64_t version, const std::vector<std::pair<std::string, std::string>> &queuesAndPaths)
{
    json::array routes;
    for (const auto &[queue, path] : queuesAndPaths) {
        routes.push_back({{"name", queue},
                          {"host", CallerHost},
                          {"path_prefix", "/" + path + "/"},
                          {"timeout_ms", 1500},
                          {"target_latency_ms", 60},
                          {"priority", 0},
                          {"service", Service},
                          {"max_attempts", 3},
                          {"stretch_factor", 1.6}});
    }
    const json::object limits {
        {"max_header_bytes", 16384}, {"max_body_bytes", 262144}, {"header_timeout_ms", 5000}, {"idle_timeout_ms", 30000}};
    const json::array services {json::object {{"name", Service}, {"enforce_capacity", false}}};
    const json::object configuration {{"version", version}, {"routes", routes}, {"services", services}, {"limits", limits}};
    m_store->put(Platform::Names::OperatorTopic, Platform::Names::ConfigurationKey, json::serialize(configuration));
}

void Site::registerWorker(std::size_t index)
{
    m_store->put(Platform::Names::TargetTopic, m_workers[index]->id(), m_workers[index]->entry(Service, Zones[index % Zones.size()]));
}

std::string Site::specOf(const JobText &job)
{
    return std::to_string(job.runTime.count()) + " " + std::to_string(job.milliCores);
}

HttpCall Site::jobCall(const std::string &id, const JobText &job, Milliseconds timeout, const std::string &path)
{
    json::object step {{"count", job.tasks}, {"cpu", job.milliCores}, {"mem_mb", 64}, {"estimate_ms", job.runTime.count()}};
    if (!job.requiredLabel.empty()) {
        step["required_label"] = job.requiredLabel;
    }
    const json::object body {{"spec", specOf(job)}, {"steps", json::array {step}}, {"best_effort", true}};
    HttpCall call("POST", "/" + path + "/" + id, json::serialize(body));
    call.headers.push_back({"Host", CallerHost});
    call.headers.push_back({"Content-Type", "application/json"});
    call.headers.push_back({Platform::Names::CallerTimeoutHeader, std::to_string(timeout.count())});
    return call;
}

std::string Site::foreignEntry(const std::string &service) const
{
    auto entry = json::parse(m_workers.front()->entry(service, Zones.front())).as_object();
    entry["address"] = toString(Endpoint {address(StoreNet, 1), WorkerPort});
    return json::serialize(entry);
}

HttpCall Site::cancelCall(const std::string &id)
{
    HttpCall call("DELETE", std::string("/") + Queue + "/" + id);
    call.headers.push_back({"Host", CallerHost});
    return call;
}

HttpReply Site::send(std::size_t host, HttpCall call, Milliseconds timeout)
{
    const auto name = call.method + " " + call.target + " at host " + std::to_string(host);
    m_record.note("sent " + name);
    auto reply = runCoroutine(callOnce(callerEndpoint(host), std::move(call), timeout + Milliseconds(200)));
    m_record.note("answered " + name + ": " + std::to_string(reply.status) + " " + reply.body + reply.error);
    return reply;
}

Endpoint Site::callerEndpoint(std::size_t host) const
{
    return {address(HostNet, host), CallerPort};
}

ChildProcess &Site::host(std::size_t index)
{
    return *m_hosts[index];
}

std::size_t Site::hostCount() const
{
    return m_hosts.size();
}

Worker &Site::worker(std::size_t index)
{
    return *m_workers[index];
}

std::size_t Site::workerCount() const
{
    return m_workers.size();
}

StoreStandin &Site::store()
{
    return *m_store;
}

std::string Site::log(std::size_t host) const
{
    std::ifstream file(m_folder / ("host-" + std::to_string(host) + "." + std::to_string(m_starts[host] - 1) + ".log"));
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string Site::endOf(std::size_t host)
{
    const auto code = m_hosts[host]->wait();
    std::ifstream file(m_folder / ("host-" + std::to_string(host) + "." + std::to_string(m_starts[host] - 1) + ".log.err"));
    std::string last;
    for (std::string line; std::getline(file, line);) {
        last = line;
    }
    return (code < 0 ? std::string("by a signal") : "with code " + std::to_string(code)) + (last.empty() ? "" : ": " + last);
}

std::optional<std::size_t> Site::dispatcher() const
{
    std::optional<std::size_t> found;
    eventually([&] {
        for (std::size_t index = 0; index < m_hosts.size(); ++index) {
            const auto text = log(index);
            const auto claimed = text.rfind("change=claimed");
            const auto yielded = text.rfind("change=yielded");
            if (claimed != std::string::npos && (yielded == std::string::npos || yielded < claimed)) {
                found = index;
            }
        }
        return found.has_value();
    });
    return found;
}
} // namespace Review
