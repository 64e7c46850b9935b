#pragma once

#include "config/configuration.h"
#include "config/configurationhistory.h"
#include "kernel/snapshot.h"
#include "publication/interfaces/logservice.h"

#include <boost/signals2/signal.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Anvilcart
{
/// What this host knows of the configuration, as of the last page of the log or peer configuration that it applied.
struct ConfigurationStatus
{
    /// The record that the acceptance rule made current, and the offset up to which the log was read.
    PeerConfiguration accepted;
    /// The version in force on this host, or 0; lower than the accepted one if this release cannot parse that.
    std::uint64_t versionInForce = 0;
    std::chrono::system_clock::time_point inForceSince;
};

/// Holds the configuration in force on this host and notifies subscribers of each new version.
class ConfigurationService
{
public:
    using Subscriber = std::function<void(std::shared_ptr<const Configuration>)>;

    /// The configuration in force, or null. Thread-safe, never blocks.
    std::shared_ptr<const Configuration> current() const;

    /// The status, or null before this host knows any version. Thread-safe, never blocks.
    std::shared_ptr<const ConfigurationStatus> status() const;

    /// Registers a subscriber, which is called for each new version on the loop that follows the log. Precondition: called
    /// before the first applyPage().
    void subscribe(const Subscriber &subscriber);

    /// Applies a page of the log; records that cannot be decoded are counted and skipped. Returns the offset of the
    /// last carry-forward record of the current version in the page, or nothing. One caller at a time.
    std::optional<std::uint64_t> applyPage(const LogPage &page);

    /// Adopts a peer's configuration where it is more recent or more complete than this host's. One caller at a time, shared with
    /// applyPage().
    void adopt(const PeerConfiguration &peerConfiguration);

    /// The state of the acceptance rule. Precondition: on the loop that follows the log.
    const ConfigurationHistory &history() const;

    /// The number of records that could not be decoded or parsed. Thread-safe.
    std::uint64_t skippedRecords() const;

private:
    void applyRecord(const LogRecord &record, std::optional<std::uint64_t> &carryForwardOffset);
    void applyCurrentVersion();
    void publishStatus();
    void countSkippedRecord();

    ConfigurationHistory m_history;
    /// The last version that was parsed, successfully or not.
    std::uint64_t m_lastTriedVersion = 0;
    std::chrono::system_clock::time_point m_inForceSince;
    Snapshot<Configuration> m_current;
    Snapshot<ConfigurationStatus> m_status;
    boost::signals2::signal<void(std::shared_ptr<const Configuration>)> m_versionChanged;
    std::atomic<std::uint64_t> m_skippedRecords = 0;
};
} // namespace Anvilcart
