#include "service/servicesite.h"

#include "net/runcoroutine.h"
#include "platform/names.h"

#include <boost/json.hpp>

#include <fstream>
#include <sstream>
#include <unistd.h>
#include <utility>

namespace Anvilcart
{
namespace json = boost::json;

namespace
{
constexpr char Service[] = "desk";
constexpr char CallerHost[] = "desk.example";
constexpr int StorePort = 8600;
constexpr int CallerPort = 8601;
constexpr int ReadinessPort = 8602;
constexpr int PeerPort = 8603;
constexpr int MetricsPort = 8604;
constexpr int WorkerPort = 8605;
const std::vector<std::string> Zones {"a", "b", "c"};

HttpCall callerCall(const std::string &method, const std::string &path, const std::string &body, Milliseconds timeout)
{
    HttpCall call(method, path, body);
    call.headers.push_back({"Host", CallerHost});
    call.headers.push_back({Platform::Names::CallerTimeoutHeader, std::to_string(timeout.count())});
    return call;
}
} // namespace

ServiceSite::ServiceSite(ServiceSiteOptions options, const std::string &binaries)
    : m_options(std::move(options))
    , m_binaries(binaries)
    , m_folder(std::filesystem::temp_directory_path()
               / ("anvilcart-service-" + std::to_string(::getpid()) + "-" + std::to_string(m_block.number())))
    , m_loops(1)
{
    std::filesystem::create_directories(m_folder);
    const auto prefix = "127." + std::to_string(m_block.number()) + ".";
    m_store = std::make_unique<StoreStandin>(m_loops, Endpoint {prefix + "0.1", StorePort});
    std::uint8_t number = 1;
    for (std::size_t zone = 0; zone < Zones.size(); ++zone) {
        for (std::size_t index = 0; index < m_options.targetsPerZone; ++index) {
            const auto id = "worker-" + Zones[zone] + std::to_string(index);
            m_workers.push_back(
                std::make_unique<WorkerStandin>(m_loops, Endpoint {prefix + "2." + std::to_string(number++), WorkerPort}, id));
            const auto worker = m_workers.size() - 1;
            registerWorker(worker, false);
            m_workers[worker]->setRestartHandler([this, worker](bool draining) {
                registerWorker(worker, draining);
            });
        }
    }
    m_hosts.resize(m_options.hostZones.size());
    m_startsOfHost.resize(m_hosts.size());
    for (std::size_t index = 0; index < m_hosts.size(); ++index) {
        startHost(index);
    }
}

ServiceSite::~ServiceSite()
{
    m_hosts.clear();
    m_loops.stop();
    std::error_code error;
    std::filesystem::remove_all(m_folder, error);
}

std::string ServiceSite::hostAddress(std::size_t index) const
{
    return "127." + std::to_string(m_block.number()) + ".1." + std::to_string(index + 1);
}

Endpoint ServiceSite::callerEndpoint(std::size_t host) const
{
    return {hostAddress(host), CallerPort};
}

Endpoint ServiceSite::readinessEndpoint(std::size_t host) const
{
    return {hostAddress(host), ReadinessPort};
}

Endpoint ServiceSite::peerEndpoint(std::size_t host) const
{
    return {hostAddress(host), PeerPort};
}

Endpoint ServiceSite::metricsEndpoint(std::size_t host) const
{
    return {hostAddress(host), MetricsPort};
}

std::filesystem::path ServiceSite::settingsPath(std::size_t host) const
{
    return m_folder / ("host-" + std::to_string(host) + ".conf");
}

std::string ServiceSite::settingsText(std::size_t index) const
{
    const auto address = hostAddress(index);
    std::ostringstream text;
    text << "node=host-" << index << "\nzone=" << m_options.hostZones[index] << "\nregion=here\n"
         << "listen.front=" << address << ":" << CallerPort << "\nlisten.ready=" << address << ":" << ReadinessPort
         << "\nlisten.control=" << address << ":" << PeerPort << "\nseeds=" << hostAddress(0) << ":" << PeerPort
         << "\nplatform.address=127." << m_block.number() << ".0.1:" << StorePort
         << "\nlimits.cpu_share=0.25\nbounds.hold_max_ms=1000\nbounds.stop_timeout_ms=50\n"
         << "bounds.grace_s=6\nbounds.config_ms=2000\nbounds.resend_ms=1300\nheartbeat_ms=1500\ncommand_mode=call\n"
         << m_options.settings;
    if (m_options.evacuationBound) {
        text << "bounds.evac_ms=" << m_options.evacuationBound->count() << "\n";
    }
    return text.str();
}

void ServiceSite::startHost(std::size_t index)
{
    m_hosts[index].reset();
    const auto earlierStarts = m_startsOfHost[index]++;
    std::ofstream(settingsPath(index)) << settingsText(index) << "bootstrap=" << (earlierStarts == 0 ? "true" : "false") << "\n";
    const auto output = (m_folder / ("host-" + std::to_string(index) + ".log")).string();
    if (earlierStarts > 0) {
        std::filesystem::rename(output, output + "." + std::to_string(earlierStarts));
    }
    const std::vector<std::string> arguments {
        "dispatch", "--settings", settingsPath(index).string(), "--metrics-port", std::to_string(MetricsPort)};
    m_hosts[index] = std::make_unique<ChildProcess>(m_binaries + "/anvilcart", arguments, output, output + ".err");
}

void ServiceSite::publish(std::uint64_t version, const std::vector<std::string> &queues)
{
    json::array routes;
    for (const auto &queue : queues) {
        routes.push_back({{"name", queue},
                          {"host", CallerHost},
                          {"path_prefix", "/" + queue + "/"},
                          {"timeout_ms", RouteTimeout.count()},
                          {"target_latency_ms", 60},
                          {"priority", 0},
                          {"service", Service},
                          {"max_attempts", 3},
                          {"stretch_factor", 1.6}});
    }
    const json::object limits {{"max_header_bytes", m_options.maxHeaderBytes},
                               {"max_body_bytes", m_options.maxBodyBytes},
                               {"header_timeout_ms", 3000},
                               {"idle_timeout_ms", 15000}};
    m_store->put(Platform::Names::OperatorTopic,
                 Platform::Names::ConfigurationKey,
                 json::serialize(json::object {{"version", version}, {"routes", routes}, {"limits", limits}}));
}

void ServiceSite::evacuate(const std::string &zone, const std::string &value)
{
    m_store->put(Platform::Names::OperatorTopic, Platform::Names::EvacuationKeyPrefix + zone, value);
}

std::string ServiceSite::workerId(std::size_t index) const
{
    return "worker-" + zoneOf(index) + std::to_string(index % m_options.targetsPerZone);
}

void ServiceSite::registerWorker(std::size_t index, bool draining)
{
    const auto record = m_workers[index]->record(Service, zoneOf(index), m_options.milliCores, draining);
    m_store->put(Platform::Names::TargetTopic, workerId(index), record);
}

void ServiceSite::registerWorkerAt(std::size_t index, const Endpoint &endpoint)
{
    auto record = json::parse(m_workers[index]->record(Service, zoneOf(index), m_options.milliCores)).as_object();
    record["address"] = toString(endpoint);
    m_store->put(Platform::Names::TargetTopic, workerId(index), json::serialize(record));
}

bool ServiceSite::isReady()
{
    for (std::size_t index = 0; index < m_hosts.size(); ++index) {
        if (!m_hosts[index]->isRunning()) {
            continue;
        }
        HttpCall call("GET", Platform::Names::ReadyPath);
        const auto reply = runCoroutine(callOnce({hostAddress(index), ReadinessPort}, std::move(call), Seconds(1)));
        if (reply.status != 200) {
            return false;
        }
    }
    return true;
}

HttpReply
ServiceSite::request(std::size_t host, const std::string &method, const std::string &path, const std::string &body, Milliseconds timeout)
{
    return runCoroutine(callOnce(callerEndpoint(host), callerCall(method, path, body, timeout), timeout + Seconds(1)));
}

HttpReply ServiceSite::submit(
    std::size_t host, const std::string &queue, const std::string &id, int tasks, Milliseconds runTime, Milliseconds timeout)
{
    return runCoroutine(callOnce(callerEndpoint(host), jobCall(queue, id, tasks, runTime, timeout), timeout + Seconds(1)));
}

HttpCall ServiceSite::jobCall(const std::string &queue, const std::string &id, int tasks, Milliseconds runTime, Milliseconds timeout)
{
    const json::object step {{"count", tasks}, {"cpu", 10000}, {"mem_mb", 64}, {"estimate_ms", runTime.count()}};
    const json::object job {{"spec", std::to_string(runTime.count())}, {"steps", json::array {step}}, {"best_effort", true}};
    return callerCall("POST", "/" + queue + "/" + id, json::serialize(job), timeout);
}

std::string
ServiceSite::submissionText(const std::string &queue, const std::string &id, int tasks, Milliseconds runTime, Milliseconds timeout)
{
    const auto call = jobCall(queue, id, tasks, runTime, timeout);
    std::ostringstream text;
    text << call.method << " " << call.target << " HTTP/1.1\r\n";
    for (const auto &header : call.headers) {
        text << header.name << ": " << header.value << "\r\n";
    }
    text << "Content-Length: " << call.body.size() << "\r\n\r\n" << call.body;
    return text.str();
}

HttpReply ServiceSite::submitCrashing(std::size_t host, const std::string &queue, const std::string &id, Milliseconds timeout)
{
    const json::object step {{"count", 1}, {"cpu", 10000}, {"mem_mb", 64}, {"estimate_ms", 50}};
    const json::object job {{"spec", WorkerStandin::CrashPayload}, {"steps", json::array {step}}, {"best_effort", true}};
    return request(host, "POST", "/" + queue + "/" + id, json::serialize(job), timeout);
}

std::string ServiceSite::metrics(std::size_t host)
{
    HttpCall call("GET", "/metrics");
    return runCoroutine(callOnce({hostAddress(host), MetricsPort}, std::move(call), Seconds(2))).body;
}

ChildProcess &ServiceSite::host(std::size_t index)
{
    return *m_hosts[index];
}

std::size_t ServiceSite::hostCount() const
{
    return m_hosts.size();
}

StoreStandin &ServiceSite::store()
{
    return *m_store;
}

WorkerStandin &ServiceSite::worker(std::size_t index)
{
    return *m_workers[index];
}

std::size_t ServiceSite::workerCount() const
{
    return m_workers.size();
}

std::string ServiceSite::log(std::size_t host) const
{
    std::ifstream file(m_folder / ("host-" + std::to_string(host) + ".log"));
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::size_t ServiceSite::startCount(const std::string &task) const
{
    std::size_t count = 0;
    for (const auto &worker : m_workers) {
        const auto starts = worker->starts();
        const auto taskStarts = starts.find(task);
        count += taskStarts == starts.end() ? 0 : taskStarts->second;
    }
    return count;
}

const std::string &ServiceSite::zoneOf(std::size_t worker) const
{
    return Zones[worker / m_options.targetsPerZone];
}

std::size_t ServiceSite::startsInZone(const std::string &zone) const
{
    std::size_t count = 0;
    for (std::size_t index = 0; index < m_workers.size(); ++index) {
        if (zoneOf(index) != zone) {
            continue;
        }
        for (const auto &[task, starts] : m_workers[index]->starts()) {
            count += starts;
        }
    }
    return count;
}

std::size_t ServiceSite::duplicateRuns() const
{
    std::size_t count = 0;
    for (const auto &worker : m_workers) {
        count += worker->duplicateRuns();
    }
    return count;
}
} // namespace Anvilcart
