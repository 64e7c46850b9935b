#include "verbs/configurationlog.h"

#include "net/httpclient.h"
#include "publication/peerconfiguration.h"

#include <algorithm>

namespace Anvilcart
{
namespace asio = boost::asio;

namespace
{
constexpr Milliseconds CallTimeout {2000};
constexpr int StatusOk = 200;

bool isAcceptedVersion(const HistoryEntry &entry, std::uint64_t version)
{
    const bool wasAccepted = entry.verdict == RecordVerdict::Accepted || entry.verdict == RecordVerdict::CarriedForward;
    return wasAccepted && entry.record.version == version;
}
} // namespace

ConfigurationLog::ConfigurationLog(const Endpoint &platform)
    : m_platform(platform)
    , m_log({platform}, "")
{
}

asio::awaitable<bool> ConfigurationLog::refresh()
{
    for (;;) {
        const auto result = co_await m_log.read(ConfigurationStream, m_history.next(), Duration::zero());
        const auto *page = std::get_if<LogPage>(&result);
        if (page == nullptr) {
            co_return false;
        }
        apply(*page);
        if (m_history.next() >= page->end) {
            break;
        }
    }
    if (!m_history.isEstablished()) {
        co_await askEntryHosts();
    }
    co_return true;
}

asio::awaitable<bool> ConfigurationLog::append(const ConfigurationRecord &record)
{
    const auto result = co_await m_log.append(ConfigurationStream, encode(record));
    co_return std::holds_alternative<LogAppended>(result);
}

asio::awaitable<std::optional<HostList>> ConfigurationLog::hosts()
{
    const auto reply = co_await callOnce(m_platform, HttpCall("GET", "/v1/hosts"), CallTimeout);
    if (reply.progress != CallProgress::Answered || reply.status != StatusOk) {
        co_return std::nullopt;
    }
    co_return decodeHostList(reply.body);
}

const ConfigurationHistory &ConfigurationLog::history() const
{
    return m_history;
}

const std::vector<HistoryEntry> &ConfigurationLog::entries() const
{
    return m_entries;
}

std::optional<ConfigurationRecord> ConfigurationLog::find(std::uint64_t version) const
{
    const auto found = std::find_if(m_entries.begin(), m_entries.end(), [&](const HistoryEntry &entry) {
        return isAcceptedVersion(entry, version);
    });
    if (found != m_entries.end()) {
        return found->record;
    }
    return m_history.version() == version ? m_history.current() : std::nullopt;
}

std::optional<RecordVerdict> ConfigurationLog::verdictOf(const std::string &id) const
{
    const auto found = std::find_if(m_entries.begin(), m_entries.end(), [&](const HistoryEntry &entry) {
        return entry.record.id == id;
    });
    return found == m_entries.end() ? std::nullopt : std::optional(found->verdict);
}

void ConfigurationLog::apply(const LogPage &page)
{
    m_history.expireBefore(page.first);
    for (const auto &record : page.records) {
        const auto decoded = decodeConfigurationRecord(record.body);
        if (!decoded) {
            m_history.skip(record.offset);
            continue;
        }
        const auto verdict = m_history.apply(*decoded, record.offset);
        m_entries.push_back({record.offset, *decoded, verdict});
    }
}

asio::awaitable<void> ConfigurationLog::askEntryHosts()
{
    const auto list = co_await hosts();
    if (!list) {
        co_return;
    }
    for (const auto &door : list->operatorEndpoints()) {
        const auto reply = co_await callOnce(door, HttpCall("GET", ConfigurationRecordPath), CallTimeout);
        if (reply.progress != CallProgress::Answered || reply.status != StatusOk) {
            continue;
        }
        if (const auto held = decodePeerConfiguration(reply.body)) {
            m_history.adopt(*held);
        }
    }
}
} // namespace Anvilcart
