#pragma once

#include "config/configurationhistory.h"
#include "publication/hostlist.h"
#include "publication/logclient.h"

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <string>
#include <vector>

namespace Anvilcart
{
/// A record of the log with what became of it.
struct HistoryEntry
{
    std::uint64_t offset = 0;
    ConfigurationRecord record;
    RecordVerdict verdict = RecordVerdict::Deferred;
};

/// The configuration's stream as a verb sees it. Not thread-safe.
class ConfigurationLog
{
public:
    explicit ConfigurationLog(const Endpoint &platform);

    /// Reads on to the end of the stream; asks the entry hosts where the log has forgotten too much.
    /// False when the platform does not answer.
    boost::asio::awaitable<bool> refresh();

    /// Appends a record. False when the platform did not confirm it; it may have taken effect all the same.
    boost::asio::awaitable<bool> append(const ConfigurationRecord &record);

    /// The platform's host list, or nothing when it does not answer.
    boost::asio::awaitable<std::optional<HostList>> hosts();

    /// The rule of acceptance as of the last refresh().
    const ConfigurationHistory &history() const;

    /// Every record that was read, in the order of the log.
    const std::vector<HistoryEntry> &entries() const;

    /// The record of a version that was accepted, or nothing when the log has forgotten it.
    std::optional<ConfigurationRecord> find(std::uint64_t version) const;

    /// What became of the first record with this id, or nothing when it has not been read.
    std::optional<RecordVerdict> verdictOf(const std::string &id) const;

private:
    void apply(const LogPage &page);
    boost::asio::awaitable<void> askEntryHosts();

    Endpoint m_platform;
    LogClient m_log;
    ConfigurationHistory m_history;
    std::vector<HistoryEntry> m_entries;
};
} // namespace Anvilcart
