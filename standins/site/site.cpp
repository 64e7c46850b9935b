#include "site/site.h"

#include "net/httpclient.h"
#include "net/runcoroutine.h"

#include <boost/json.hpp>

#include <unistd.h>

#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace Anvilcart
{
namespace fs = std::filesystem;

namespace
{
constexpr std::uint16_t CallerPort = 7000;
constexpr std::uint16_t OperatorPort = 7001;
constexpr std::uint16_t PeerPort = 7002;
constexpr std::uint16_t TargetPort = 8000;
constexpr std::uint16_t PlatformPort = 9000;
constexpr std::uint16_t TargetsControlPort = 9001;
constexpr std::size_t FirstTargetAddress = 100;
constexpr Seconds CallTimeout {120};
constexpr Seconds ReadyTimeout {60};
constexpr Milliseconds PollInterval {20};
constexpr int StatusOk = 200;

void writeFile(const fs::path &path, const std::string &content)
{
    std::ofstream(path) << content;
}

std::string readFile(const fs::path &path)
{
    const std::ifstream stream(path);
    std::ostringstream content;
    content << stream.rdbuf();
    return content.str();
}
} // namespace

Site::Site(const SiteOptions &options, const std::string &binaries)
    : m_options(options)
    , m_binaries(fs::absolute(binaries))
    , m_folder(fs::temp_directory_path()
               / ("anvilcart-" + options.name + "-" + std::to_string(::getpid()) + "-" + std::to_string(m_block.number())))
{
    fs::create_directories(configurationFolder() / "sites");
    writeConfiguration();
    startPlatform();
    startTargets();
    registerHosts();
    const auto published = runVerb("publish", {configurationFolder().string()}, {"--no-wait", "--author", "site"});
    if (published.exitCode != 0) {
        throw std::runtime_error("the configuration could not be published: " + published.errors);
    }
    for (std::size_t zone = 0; zone < m_options.zones.size(); ++zone) {
        for (std::size_t host = 0; host < m_options.entryHostsPerZone; ++host) {
            startEntryHost(zone, host);
        }
    }
    for (std::size_t zone = 0; zone < m_options.zones.size(); ++zone) {
        for (std::size_t host = 0; host < m_options.entryHostsPerZone; ++host) {
            waitUntilReady(zone, host);
        }
    }
}

Site::~Site()
{
    for (auto &[name, process] : m_entryHosts) {
        process->kill();
    }
    m_targets.reset();
    m_platform.reset();
    std::error_code error;
    fs::remove_all(m_folder, error);
}

std::string Site::entryHostName(std::size_t zone, std::size_t host) const
{
    return "entry-" + m_options.zones[zone] + "-" + std::to_string(host + 1);
}

Endpoint Site::callerDoor(std::size_t zone, std::size_t host) const
{
    return {address(zone, host + 1), CallerPort};
}

Endpoint Site::operatorDoor(std::size_t zone, std::size_t host) const
{
    return {address(zone, host + 1), OperatorPort};
}

ChildProcess &Site::entryHost(std::size_t zone, std::size_t host)
{
    return *m_entryHosts.at(entryHostName(zone, host));
}

void Site::restartEntryHost(std::size_t zone, std::size_t host)
{
    startEntryHost(zone, host);
    waitUntilReady(zone, host);
}

void Site::waitUntilReady(std::size_t zone, std::size_t host)
{
    waitForStatus(callerDoor(zone, host), "/readyz", StatusOk);
}

void Site::waitUntilSlotsAreShared(std::size_t zone)
{
    const auto limit = Clock::now() + ReadyTimeout;
    for (;;) {
        std::uint32_t sum = 0;
        for (std::size_t host = 0; host < m_options.entryHostsPerZone; ++host) {
            sum += ownSlots(zone, host);
        }
        if (sum == zoneSlots()) {
            return;
        }
        if (Clock::now() > limit) {
            throw std::runtime_error("the entry hosts of " + m_options.zones[zone] + " did not share out the slots");
        }
        std::this_thread::sleep_for(PollInterval);
    }
}

std::uint32_t Site::ownSlots(std::size_t zone, std::size_t host)
{
    const auto status = call(operatorDoor(zone, host), "GET", "/v1/status");
    return boost::json::parse(status.body).at("own_slots").to_number<std::uint32_t>();
}

std::string Site::targetName(std::size_t zone, std::size_t target) const
{
    return m_options.zones[zone] + "-" + std::to_string(target + 1);
}

Endpoint Site::peerDoor(std::size_t zone, std::size_t host) const
{
    return {address(zone, host + 1), PeerPort};
}

Endpoint Site::targetDoor(std::size_t zone, std::size_t target) const
{
    return {address(zone, FirstTargetAddress + target), TargetPort};
}

void Site::setTargetFault(const std::string &target, const std::string &fault, int ms)
{
    const auto body = R"({"target":")" + target + R"(","fault":")" + fault + R"(","ms":)" + std::to_string(ms) + "}";
    if (call(targetsControl(), "POST", "/fault", body).status != StatusOk) {
        throw std::runtime_error("the targets did not take the fault " + fault);
    }
}

void Site::controlPlatform(const std::string &jsonObject)
{
    if (call(platform(), "POST", "/control", jsonObject).status != StatusOk) {
        throw std::runtime_error("the platform did not take " + jsonObject);
    }
}

void Site::setTargetHostState(std::size_t zone, std::size_t target, const std::string &state)
{
    const auto name = targetName(zone, target);
    call(platform(),
         "PUT",
         "/control/hosts/" + name,
         R"({"name":")" + name + R"(","availability_zone":")" + m_options.zones[zone] + R"(","role":"target","state":")" + state + R"("})");
}

std::string Site::ledger()
{
    return call(targetsControl(), "GET", "/ledger").body;
}

std::string Site::startsByKey()
{
    return call(targetsControl(), "GET", "/keys").body;
}

std::string Site::targetCounts()
{
    return call(targetsControl(), "GET", "/counts").body;
}

Endpoint Site::platform() const
{
    return {"127." + std::to_string(m_block.number()) + ".0.1", PlatformPort};
}

fs::path Site::configurationFolder() const
{
    return m_folder / "configuration";
}

int Site::publish(const std::vector<std::string> &options)
{
    return runVerb("publish", {configurationFolder().string()}, options).exitCode;
}

VerbResult Site::runVerb(const std::string &verb, const std::vector<std::string> &arguments, const std::vector<std::string> &options)
{
    std::vector<std::string> all = {verb, "--platform", toString(platform())};
    all.insert(all.end(), options.begin(), options.end());
    all.insert(all.end(), arguments.begin(), arguments.end());
    const auto logName = verb + "-" + std::to_string(m_verbRuns.fetch_add(1));
    const auto exitCode = start("anvilcart", all, logName)->wait();
    return {exitCode, readFile(m_folder / (logName + ".out")), readFile(m_folder / (logName + ".err"))};
}

CallResult Site::call(const Endpoint &endpoint, const std::string &method, const std::string &path, const std::string &body)
{
    auto reply = runCoroutine(callOnce(endpoint, HttpCall(method, path, body), CallTimeout));
    if (reply.progress != CallProgress::Answered) {
        return {};
    }
    return {reply.status, std::move(reply.body)};
}

std::unique_ptr<ChildProcess>
Site::startCallers(std::size_t zone, double load, int seconds, int seed, std::chrono::microseconds clientDelay)
{
    std::vector<std::string> arguments = {"--load",
                                          std::to_string(load),
                                          "--slots",
                                          std::to_string(zoneSlots()),
                                          "--duration-s",
                                          std::to_string(seconds),
                                          "--seed",
                                          std::to_string(seed),
                                          "--client-delay-us",
                                          std::to_string(clientDelay.count()),
                                          "--prefix",
                                          m_options.zones[zone]};
    for (std::size_t host = 0; host < m_options.entryHostsPerZone; ++host) {
        arguments.emplace_back("--to");
        arguments.push_back(toString(callerDoor(zone, host)));
    }
    return start("standin-callers", arguments, "callers-" + m_options.zones[zone]);
}

std::string Site::callersReport(std::size_t zone) const
{
    return readFile(m_folder / ("callers-" + m_options.zones[zone] + ".out"));
}

std::uint32_t Site::zoneSlots() const
{
    return m_options.targetsPerZone * m_options.slots;
}

const SiteOptions &Site::options() const
{
    return m_options;
}

const fs::path &Site::folder() const
{
    return m_folder;
}

void Site::writeConfiguration()
{
    std::ostringstream base;
    base << "limits:\n  max_queued_tasks: " << m_options.maxQueuedTasks << "\npolicy:\n  queue_order: " << m_options.queueOrder
         << "\n  slot_sharing: " << m_options.slotSharing
         << "\nteams:\n  - name: field\n    max_running_tasks: " << m_options.maxRunningTasks;
    for (std::uint32_t team = 1; team < m_options.teams; ++team) {
        base << "\n  - name: team-" << team << "\n    max_running_tasks: " << m_options.maxRunningTasks;
    }
    base << "\ntarget_defaults:\n  slots: " << m_options.slots << "\n  connections: 64\n  cpus: " << m_options.cpus
         << "\n  memory_mb: 131072\n";
    writeFile(configurationFolder() / "base.yaml", base.str());
    for (std::size_t zone = 0; zone < m_options.zones.size(); ++zone) {
        std::ostringstream overlay;
        overlay << "zone: " << m_options.zones[zone] << "\ntargets:\n";
        for (std::size_t target = 0; target < m_options.targetsPerZone; ++target) {
            overlay << "  - name: " << targetName(zone, target)
                    << "\n    address: " << toString({address(zone, FirstTargetAddress + target), TargetPort}) << "\n    rack: r"
                    << target / 8 + 1 << "\n";
        }
        writeFile(configurationFolder() / "sites" / (m_options.zones[zone] + ".yaml"), overlay.str());
    }
}

void Site::writeTargetList()
{
    std::ostringstream list;
    for (std::size_t zone = 0; zone < m_options.zones.size(); ++zone) {
        for (std::size_t target = 0; target < m_options.targetsPerZone; ++target) {
            list << targetName(zone, target) << " " << toString({address(zone, FirstTargetAddress + target), TargetPort}) << " "
                 << m_options.slots << "\n";
        }
    }
    writeFile(m_folder / "targets.txt", list.str());
}

void Site::registerHosts()
{
    for (std::size_t zone = 0; zone < m_options.zones.size(); ++zone) {
        for (std::size_t host = 0; host < m_options.entryHostsPerZone; ++host) {
            const auto name = entryHostName(zone, host);
            const auto entry = R"({"name":")" + name + R"(","availability_zone":")" + m_options.zones[zone]
                + R"(","role":"entry","state":"live","peer_door":")" + toString(peerDoor(zone, host)) + R"(","operator_door":")"
                + toString(operatorDoor(zone, host)) + R"("})";
            call(platform(), "PUT", "/control/hosts/" + name, entry);
        }
    }
}

void Site::startPlatform()
{
    m_platform = start("standin-platform", {"--listen", toString(platform())}, "platform");
    waitForStatus(platform(), "/v1/hosts", StatusOk);
}

void Site::startTargets()
{
    writeTargetList();
    m_targets = start("standin-targets",
                      {"--targets",
                       (m_folder / "targets.txt").string(),
                       "--control",
                       toString(targetsControl()),
                       "--zone-delay-us",
                       std::to_string(m_options.zoneDelay.count()),
                       "--threads",
                       std::to_string(m_options.targetThreads)},
                      "targets");
    waitForStatus(targetsControl(), "/counts", StatusOk);
}

void Site::startEntryHost(std::size_t zone, std::size_t host)
{
    const auto name = entryHostName(zone, host);
    const auto settings = m_folder / (name + ".yaml");
    writeFile(settings, entrySettings(zone, host));
    m_entryHosts[name] = start("anvilcart", {"serve", "--settings", settings.string()}, name);
}

std::string Site::address(std::size_t zone, std::size_t last) const
{
    return "127." + std::to_string(m_block.number()) + "." + std::to_string(zone + 1) + "." + std::to_string(last);
}

std::string Site::entrySettings(std::size_t zone, std::size_t host) const
{
    std::ostringstream settings;
    settings << "host: " << entryHostName(zone, host) << "\navailability_zone: " << m_options.zones[zone]
             << "\ncaller_door: " << toString(callerDoor(zone, host)) << "\noperator_door: " << toString(operatorDoor(zone, host))
             << "\npeer_door: " << toString(peerDoor(zone, host)) << "\nplatform: ['" << toString(platform())
             << "']\npeers: " << peersOf(zone, host) << "\ncarry_forward_period_s: " << m_options.carryForwardSeconds
             << "\nio_threads: " << m_options.ioThreads << "\ndrain_limit_s: 60\n";
    return settings.str();
}

std::string Site::peersOf(std::size_t zone, std::size_t host) const
{
    std::string peers;
    for (std::size_t otherZone = 0; otherZone < m_options.zones.size(); ++otherZone) {
        for (std::size_t other = 0; other < m_options.entryHostsPerZone; ++other) {
            if (otherZone != zone || other != host) {
                peers += (peers.empty() ? "'" : ", '") + toString(operatorDoor(otherZone, other)) + "'";
            }
        }
    }
    return "[" + peers + "]";
}

std::unique_ptr<ChildProcess> Site::start(const std::string &program, const std::vector<std::string> &arguments, const std::string &logName)
{
    return std::make_unique<ChildProcess>(
        (m_binaries / program).string(), arguments, (m_folder / (logName + ".out")).string(), (m_folder / (logName + ".err")).string());
}

void Site::waitForStatus(const Endpoint &endpoint, const std::string &path, int status)
{
    const auto limit = Clock::now() + ReadyTimeout;
    while (call(endpoint, "GET", path).status != status) {
        if (Clock::now() > limit) {
            throw std::runtime_error(toString(endpoint) + path + " did not answer with " + std::to_string(status));
        }
        std::this_thread::sleep_for(PollInterval);
    }
}

Endpoint Site::targetsControl() const
{
    return {"127." + std::to_string(m_block.number()) + ".0.1", TargetsControlPort};
}
} // namespace Anvilcart
