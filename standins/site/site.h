#pragma once

#include "model/endpoint.h"
#include "site/childprocess.h"
#include "site/loopbackblock.h"
#include "site/siteoptions.h"

#include <atomic>
#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Anvilcart
{
/// What an HTTP call from a test or a bench came to; status 0 when there was no answer.
struct CallResult
{
    int status = 0;
    std::string body;
};

/// How a verb ended and what it printed.
struct VerbResult
{
    int exitCode = 0;
    std::string output;
    std::string errors;
};

/// A whole site of separate processes on loopback addresses: the platform, the targets and the entry hosts.
/// Everything ends when this object goes.
class Site
{
public:
    /// Starts all processes and waits until every entry host is ready. Throws std::runtime_error when one does not become ready.
    Site(const SiteOptions &options, const std::string &binaries);
    ~Site();

    /// The name of an entry host. Precondition: both are within the options.
    std::string entryHostName(std::size_t zone, std::size_t host) const;

    /// The caller door of an entry host.
    Endpoint callerDoor(std::size_t zone, std::size_t host) const;

    /// The operator door of an entry host.
    Endpoint operatorDoor(std::size_t zone, std::size_t host) const;

    /// Where other hosts reach an entry host.
    Endpoint peerDoor(std::size_t zone, std::size_t host) const;

    /// The process of an entry host.
    ChildProcess &entryHost(std::size_t zone, std::size_t host);

    /// Starts an entry host anew on its address. Precondition: it has ended.
    void restartEntryHost(std::size_t zone, std::size_t host);

    /// Waits until the entry host answers /readyz with 200. Throws std::runtime_error when it does not.
    void waitUntilReady(std::size_t zone, std::size_t host);

    /// Waits until the entry hosts of a zone have heard each other, so that their shares add up to the zone's slots.
    /// Throws std::runtime_error when they do not.
    void waitUntilSlotsAreShared(std::size_t zone);

    /// The name of a target.
    std::string targetName(std::size_t zone, std::size_t target) const;

    /// Where a target takes tasks.
    Endpoint targetDoor(std::size_t zone, std::size_t target) const;

    /// Injects a fault at a target, "*" for all; the names are those of the targets' stand-in.
    void setTargetFault(const std::string &target, const std::string &fault, int ms = 0);

    /// Changes the platform's faults; the object's names are those of PlatformFaults.
    void controlPlatform(const std::string &jsonObject);

    /// Sets a host's state in the platform's list: "live" or "leaving".
    void setTargetHostState(std::size_t zone, std::size_t target, const std::string &state);

    /// Starts counted at the targets, by submission and task, as the JSON text of the ledger.
    std::string ledger();

    /// Starts counted at the targets, by idempotency key, as a JSON object.
    std::string startsByKey();

    /// Counts of all targets: starts, refusals, running, as JSON text.
    std::string targetCounts();

    /// The platform's address.
    Endpoint platform() const;

    /// The folder that holds the published configuration.
    std::filesystem::path configurationFolder() const;

    /// Runs `anvilcart publish` on the configuration folder with more options and returns the exit code.
    int publish(const std::vector<std::string> &options = {});

    /// Runs a verb that takes --platform to its end. Thread-safe.
    VerbResult runVerb(const std::string &verb, const std::vector<std::string> &arguments, const std::vector<std::string> &options = {});

    /// One HTTP call with a generous limit.
    CallResult call(const Endpoint &endpoint, const std::string &method, const std::string &path, const std::string &body = {});

    /// Starts callers for one zone; their report is in callersReport() after they have ended.
    std::unique_ptr<ChildProcess> startCallers(std::size_t zone, double load, int seconds, int seed, std::chrono::microseconds clientDelay);

    /// The report that the callers of a zone printed.
    std::string callersReport(std::size_t zone) const;

    /// The slots of one zone.
    std::uint32_t zoneSlots() const;

    const SiteOptions &options() const;

    /// The folder for files of this site; it is removed with the site.
    const std::filesystem::path &folder() const;

private:
    void writeConfiguration();
    void writeTargetList();
    void registerHosts();
    void startPlatform();
    void startTargets();
    void startEntryHost(std::size_t zone, std::size_t host);
    std::string address(std::size_t zone, std::size_t last) const;
    std::string entrySettings(std::size_t zone, std::size_t host) const;
    std::string peersOf(std::size_t zone, std::size_t host) const;
    std::unique_ptr<ChildProcess> start(const std::string &program, const std::vector<std::string> &arguments, const std::string &logName);
    std::uint32_t ownSlots(std::size_t zone, std::size_t host);
    void waitForStatus(const Endpoint &endpoint, const std::string &path, int status);
    Endpoint targetsControl() const;

    SiteOptions m_options;
    std::filesystem::path m_binaries;
    LoopbackBlock m_block;
    std::filesystem::path m_folder;
    std::atomic<int> m_verbRuns = 0;
    std::unique_ptr<ChildProcess> m_platform;
    std::unique_ptr<ChildProcess> m_targets;
    std::map<std::string, std::unique_ptr<ChildProcess>> m_entryHosts;
};
} // namespace Anvilcart
