#pragma once

#include "config/configuration.h"
#include "config/configurationhistory.h"
#include "kernel/snapshot.h"

#include <boost/signals2/signal.hpp>

#include <cstdint>
#include <functional>
#include <memory>

namespace Anvilcart
{
/// Holds the configuration in force on this host and tells subscribers of each new version.
class ConfigurationService
{
public:
    using Subscriber = std::function<void(std::shared_ptr<const Configuration>)>;

    /// The configuration in force, or null. Thread-safe, never blocks.
    std::shared_ptr<const Configuration> current() const;

    /// Calls subscriber for each new version, on the loop that follows the log. Precondition: called before the first apply().
    void subscribe(const Subscriber &subscriber);

    /// Applies the next record of the log; a record that cannot be parsed is counted and skipped. One caller at a time.
    void apply(const ConfigurationRecord &record);

    /// Records that were skipped because they could not be read. Thread-safe.
    std::uint64_t skippedRecords() const;

    /// Counts a record that could not be decoded. Thread-safe.
    void countSkipped();

private:
    ConfigurationHistory m_history;
    Snapshot<Configuration> m_snapshot;
    boost::signals2::signal<void(std::shared_ptr<const Configuration>)> m_changed;
    std::atomic<std::uint64_t> m_skipped = 0;
};
} // namespace Anvilcart
