#include "review/support/deployment.h"

#include "platform/names.h"

#include <boost/json.hpp>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <sstream>
#include <thread>

namespace Anvilcart::Review
{
namespace json = boost::json;

namespace
{
constexpr std::uint16_t StorePort = 8169;
constexpr std::uint16_t CallerPort = 8161;
constexpr std::uint16_t ReadinessPort = 8167;
constexpr std::uint16_t ControlPort = 8166;
constexpr std::uint16_t FirstWorkerPort = 20000;
constexpr Milliseconds Heartbeat {1500};
constexpr Seconds StartLimit {20};
/// Hosts that are ready may still be claiming their workers.
constexpr Seconds SettleTime {2};

/// Connects, sends the request and reads until the answer is whole or the time is over. Blocks.
Answer exchange(const Endpoint &endpoint, const std::string &request, Milliseconds patience)
{
    const auto until = Clock::now() + patience;
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    ::inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr);
    Answer answer;
    if (::connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0
        || ::send(socket, request.data(), request.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(request.size())) {
        ::close(socket);
        return answer;
    }
    std::string text;
    while (true) {
        const auto left = std::chrono::duration_cast<Milliseconds>(until - Clock::now()).count();
        pollfd waiting {socket, POLLIN, 0};
        if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(left)) <= 0) {
            break;
        }
        char chunk[4096];
        const auto count = ::recv(socket, chunk, sizeof(chunk), 0);
        if (count <= 0) {
            break;
        }
        text.append(chunk, static_cast<std::size_t>(count));
        const auto headerEnd = text.find("\r\n\r\n");
        const auto length = text.find("Content-Length: ");
        if (headerEnd == std::string::npos || length == std::string::npos) {
            continue;
        }
        if (text.size() >= headerEnd + 4 + static_cast<std::size_t>(std::atoi(text.c_str() + length + 16))) {
            answer.status = std::atoi(text.c_str() + 9);
            answer.body = text.substr(headerEnd + 4);
            break;
        }
    }
    ::close(socket);
    return answer;
}

bool isListening(const Endpoint &endpoint)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    ::inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr);
    const bool connected = ::connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
    ::close(socket);
    return connected;
}

std::filesystem::path binaryFolder()
{
    return std::filesystem::read_symlink("/proc/self/exe").parent_path();
}
} // namespace

bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

Record::Record(const std::filesystem::path &folder)
    : m_file(folder / "record.txt")
{
}

void Record::line(const std::string &text)
{
    lineAt(Clock::now(), text);
}

void Record::lineAt(TimePoint time, const std::string &text)
{
    char prefix[32];
    std::snprintf(prefix, sizeof(prefix), "%10.1f ms  ", toMilliseconds(time - m_startedAt));
    const std::lock_guard lock(m_mutex);
    m_file << prefix << text << std::endl;
}

TimePoint Record::startedAt() const
{
    return m_startedAt;
}

Deployment::Deployment(DeploymentOptions options, Record &record)
    : m_options(std::move(options))
    , m_record(record)
    , m_folder(std::filesystem::temp_directory_path()
               / ("anvilcart-review-" + std::to_string(::getpid()) + "-" + std::to_string(m_block.number())))
    , m_loops(1)
{
    std::filesystem::create_directories(m_folder);
    const std::string prefix = "127." + std::to_string(m_block.number()) + ".";
    m_store = std::make_unique<StoreStandin>(m_loops, Endpoint {prefix + "0.1", StorePort});
    json::array routes;
    routes.push_back({{"name", "r-3hwrr6x"},
                      {"host", CallerHost},
                      {"path_prefix", Prefix},
                      {"kind", "unsafe"},
                      {"timeout_ms", m_options.routeTimeout.count()},
                      {"target_latency_ms", 60},
                      {"priority", 0},
                      {"service", Service},
                      {"max_attempts", 4},
                      {"stretch_factor", 1.6}});
    const json::object service {{"name", Service},
                                {"health_path", "/health"},
                                {"max_connections", 64},
                                {"protocol", "h1"},
                                {"tls", false},
                                {"enforce_capacity", false},
                                {"standby", false}};
    const json::object limits {
        {"max_header_bytes", 16384}, {"max_body_bytes", 262144}, {"header_timeout_ms", 3000}, {"idle_timeout_ms", 15000}};
    const json::object configuration {{"version", 7}, {"routes", routes}, {"services", json::array {service}}, {"limits", limits}};
    m_store->put(Platform::Names::OperatorTopic, Platform::Names::ConfigurationKey, json::serialize(configuration));
    m_heartbeats = std::jthread([this](const std::stop_token &stop) {
        sendHeartbeats(stop);
    });
}

Deployment::~Deployment()
{
    m_heartbeats.request_stop();
    m_heartbeats.join();
    m_hosts.clear();
    m_workers.clear();
    m_loops.stop();
    std::error_code error;
    if (std::getenv("KEEP_LOGS") == nullptr) {
        std::filesystem::remove_all(m_folder, error);
    }
}

std::string Deployment::hostAddress(std::size_t index) const
{
    return "127." + std::to_string(m_block.number()) + ".1." + std::to_string(index + 1);
}

Endpoint Deployment::callerEndpoint(std::size_t host) const
{
    return {hostAddress(host), CallerPort};
}

std::vector<Endpoint> Deployment::startWorkers(const std::string &id, int count)
{
    const auto number = m_workerAddresses.size() + 1;
    const auto &address =
        m_workerAddresses.try_emplace(id, "127." + std::to_string(m_block.number()) + ".2." + std::to_string(number)).first->second;
    const auto log = m_folder / "runs.log";
    const std::vector<std::string> arguments {address, std::to_string(FirstWorkerPort), std::to_string(count), id, log.string()};
    const auto output = (m_folder / ("workers-" + id)).string();
    m_workers[id] =
        std::make_unique<ChildProcess>((binaryFolder() / "review-workers").string(), arguments, output + ".out", output + ".err");
    std::vector<Endpoint> endpoints;
    for (int index = 0; index < count; ++index) {
        endpoints.push_back({address, static_cast<std::uint16_t>(FirstWorkerPort + index)});
    }
    const auto limit = Clock::now() + StartLimit;
    while (!isListening(endpoints.back()) && Clock::now() < limit) {
        std::this_thread::sleep_for(Milliseconds(1));
    }
    return endpoints;
}

void Deployment::killWorkers(const std::string &id)
{
    m_workers.at(id)->kill();
    m_kills.emplace(id, Clock::now());
}

void Deployment::registerWorker(const WorkerEntry &entry)
{
    const std::lock_guard lock(m_mutex);
    if (entry.state.empty()) {
        m_entries.erase(entry.id);
        m_store->put(Platform::Names::TargetTopic, entry.id, {});
        return;
    }
    m_entries[entry.id] = entry;
    writeEntry(entry);
}

void Deployment::writeEntry(const WorkerEntry &entry)
{
    const json::object object {{"service", Service},
                               {"address", toString(entry.endpoint)},
                               {"zone", entry.zone},
                               {"version", "v1"},
                               {"slots", 8},
                               {"state", entry.state},
                               {"cold_remaining_ms", 0},
                               {"born", entry.bornMs},
                               {"capacity", {{"cpu", entry.milliCores}, {"mem_mb", 131072}, {"gpu", 0}}},
                               {"labels", json::array {entry.kind, "r1-1"}},
                               {"sequence", ++m_sequence}};
    m_store->put(Platform::Names::TargetTopic, entry.id, json::serialize(object));
}

void Deployment::sendHeartbeats(const std::stop_token &stop)
{
    auto next = Clock::now() + Heartbeat;
    while (!stop.stop_requested()) {
        std::this_thread::sleep_for(Milliseconds(20));
        if (Clock::now() < next) {
            continue;
        }
        next += Heartbeat;
        const std::lock_guard lock(m_mutex);
        for (const auto &[id, entry] : m_entries) {
            writeEntry(entry);
        }
    }
}

void Deployment::writeSettings(std::size_t index, bool isFirstStart) const
{
    std::ostringstream seeds;
    for (std::size_t seed = 0; seed < std::min<std::size_t>(3, m_options.hostZones.size()); ++seed) {
        seeds << (seed == 0 ? "" : ",") << hostAddress(seed) << ":" << ControlPort;
    }
    const auto address = hostAddress(index);
    const auto &zone = m_options.hostZones[index];
    std::ofstream(settingsPath(index))
        << "node=front-" << zone << "-" << index << "\nrole=entry\nclass=front\nserves=front,control\nip=" << address << "\nzone=" << zone
        << "\nregion=here\nlisten.front=" << address << ":" << CallerPort << "\nlisten.ready=" << address << ":" << ReadinessPort
        << "\nlisten.control=" << address << ":" << ControlPort << "\ninternal_ports=7720,7735\nseeds=" << seeds.str()
        << "\nbootstrap=" << (isFirstStart ? "true" : "false")
        << "\nloss_counts=false\nlimits.cpu_share=0.25\nlimits.cores=1\nlimits.memory_mb=260\n"
        << "limits.max_fds=4100\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=platform\nentry=vip\nheartbeat_ms="
        << Heartbeat.count() << "\ntolerate.machines=1\ntolerate.zones=1\ntolerate.regions=0\n"
        << "bounds.stable_window_ms=3000\nbounds.ack_ms=4000\nbounds.drain_ms=" << m_options.drainTime.count() << "\nbounds.grace_s=6\n"
        << "bounds.config_ms=2000\nbounds.recover_s=12\nbounds.hold_max_ms=1000\nbounds.stop_timeout_ms=50\n"
        << "bounds.cancel_ms=3000\nbounds.resend_ms=1300\ncommand_mode=call\nplatform.address=127." << m_block.number()
        << ".0.1:" << StorePort << "\nplatform.form=log\n";
}

std::string Deployment::settingsPath(std::size_t index) const
{
    return (m_folder / ("host-" + std::to_string(index) + ".conf")).string();
}

std::unique_ptr<ChildProcess> Deployment::startHost(std::size_t index, const std::string &logName) const
{
    ::setenv(Platform::Names::SettingsVariable, settingsPath(index).c_str(), 1);
    const auto log = (m_folder / logName).string();
    const std::vector<std::string> arguments {"dispatch", "--metrics-port", "9464"};
    return std::make_unique<ChildProcess>("target/anvilcart", arguments, log + ".log", log + ".err");
}

void Deployment::restartHost(std::size_t index)
{
    writeSettings(index, false);
    m_hosts[index] = startHost(index, "host-" + std::to_string(index) + "-restart-" + std::to_string(++m_restarts));
}

bool Deployment::startHosts()
{
    for (std::size_t index = 0; index < m_options.hostZones.size(); ++index) {
        writeSettings(index, true);
        m_hosts.push_back(startHost(index, "host-" + std::to_string(index)));
    }
    const auto limit = Clock::now() + StartLimit;
    for (std::size_t index = 0; index < m_hosts.size(); ++index) {
        while (!isReady(index)) {
            if (Clock::now() > limit || !m_hosts[index]->isRunning()) {
                return false;
            }
            std::this_thread::sleep_for(Milliseconds(20));
        }
    }
    std::this_thread::sleep_for(SettleTime);
    m_record.line(std::to_string(m_hosts.size()) + " hosts are ready");
    return true;
}

bool Deployment::isReady(std::size_t index) const
{
    const std::string request = "GET /anvilcart/ready HTTP/1.1\r\nHost: ready\r\n\r\n";
    return exchange({hostAddress(index), ReadinessPort}, request, Milliseconds(500)).status == 200;
}

ChildProcess &Deployment::host(std::size_t index)
{
    return *m_hosts[index];
}

std::size_t Deployment::hostCount() const
{
    return m_hosts.size();
}

Answer Deployment::call(std::size_t host, const std::string &method, const std::string &id, const std::string &body, Milliseconds patience)
{
    std::ostringstream request;
    request << method << " " << Prefix << id << " HTTP/1.1\r\nHost: " << CallerHost << "\r\nX-Anvilcart-Timeout-Ms: " << patience.count()
            << "\r\nContent-Type: application/json\r\nContent-Length: " << body.size() << "\r\n\r\n"
            << body;
    const auto name = method + " " + id + " at host " + std::to_string(host);
    m_record.line("sent " + name);
    auto answer = exchange(callerEndpoint(host), request.str(), patience);
    m_record.line((answer.status == 0 ? "no answer to " : "answer " + std::to_string(answer.status) + " to ") + name + " " + answer.body);
    return answer;
}

std::vector<Run> Deployment::runs() const
{
    std::vector<Run> found;
    std::map<std::string, std::size_t> open;
    std::ifstream log(m_folder / "runs.log");
    std::string line;
    while (std::getline(log, line)) {
        std::istringstream fields(line);
        std::int64_t nanoseconds = 0;
        std::string event;
        Run run;
        std::string detail;
        fields >> nanoseconds >> event >> run.worker >> run.task >> run.number >> detail;
        const TimePoint time {std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(nanoseconds))};
        const auto key = run.worker + ' ' + run.task + ' ' + std::to_string(run.number);
        if (event == "start") {
            run.startedAt = time;
            open[key] = found.size();
            found.push_back(run);
        } else if (const auto entry = open.find(key); entry != open.end()) {
            found[entry->second].endedAt = time;
            found[entry->second].how = detail;
            open.erase(entry);
        }
    }
    for (auto &run : found) {
        const auto process = run.worker.substr(0, run.worker.rfind('-'));
        const auto [first, last] = m_kills.equal_range(process);
        for (auto kill = first; kill != last; ++kill) {
            if (run.endedAt == TimePoint::max() && kill->second > run.startedAt) {
                run.endedAt = kill->second;
                run.how = "killed";
            }
        }
    }
    std::stable_sort(found.begin(), found.end(), [](const Run &left, const Run &right) {
        return left.startedAt < right.startedAt;
    });
    return found;
}

void Deployment::recordRuns()
{
    for (const auto &run : runs()) {
        std::ostringstream text;
        text << "run " << run.task << " number " << run.number << " on " << run.worker;
        if (run.endedAt == TimePoint::max()) {
            text << " has not ended";
        } else {
            text << " for " << toMilliseconds(run.endedAt - run.startedAt) << " ms: " << run.how;
        }
        m_record.lineAt(run.startedAt, text.str());
    }
}

const std::filesystem::path &Deployment::folder() const
{
    return m_folder;
}

std::string jobBody(int steps, int count, std::int64_t milliCores, Milliseconds length, const std::string &requiredLabel)
{
    json::array list;
    for (int step = 0; step < steps; ++step) {
        json::object object {{"count", count}, {"cpu", milliCores}, {"mem_mb", 64}, {"estimate_ms", length.count()}};
        if (!requiredLabel.empty()) {
            object["required_label"] = requiredLabel;
        }
        if (step > 0) {
            object["depends_on"] = json::array {step - 1};
        }
        list.push_back(object);
    }
    return json::serialize(json::object {{"spec", std::to_string(length.count())}, {"steps", list}, {"best_effort", true}});
}

std::string jobId(unsigned number)
{
    char text[17];
    std::snprintf(text, sizeof(text), "5c0e7a21%08x", number);
    return text;
}

std::int64_t wallClockMs()
{
    return std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}
} // namespace Anvilcart::Review
