#include "publication/configurationservice.h"

#include "config/configurationerror.h"
#include "config/configurationparser.h"

#include <boost/leaf/handle_errors.hpp>
#include <glog/logging.h>

namespace Anvilcart
{
namespace leaf = boost::leaf;

namespace
{
std::shared_ptr<const Configuration> parseRecord(const ConfigurationRecord &record)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::shared_ptr<const Configuration>> {
            if (!record.isContentReadable) {
                return std::shared_ptr<const Configuration>();
            }
            BOOST_LEAF_AUTO(configuration, parseConfiguration(record.files));
            configuration.version = record.version;
            return std::make_shared<const Configuration>(std::move(configuration));
        },
        [&](const ConfigurationError &error) {
            for (const auto &mistake : error.mistakes) {
                LOG(ERROR) << "configuration: version " << record.version << ": " << toLine(mistake);
            }
            return std::shared_ptr<const Configuration>();
        },
        [] {
            return std::shared_ptr<const Configuration>();
        });
}
} // namespace

std::shared_ptr<const Configuration> ConfigurationService::current() const
{
    return m_current.read();
}

std::shared_ptr<const ConfigurationStatus> ConfigurationService::status() const
{
    return m_status.read();
}

void ConfigurationService::subscribe(const Subscriber &subscriber)
{
    m_versionChanged.connect(subscriber);
}

std::optional<std::uint64_t> ConfigurationService::applyPage(const LogPage &page)
{
    std::optional<std::uint64_t> carryForwardOffset;
    m_history.expireBefore(page.first);
    for (const auto &record : page.records) {
        applyRecord(record, carryForwardOffset);
    }
    applyCurrentVersion();
    publishStatus();
    return carryForwardOffset;
}

void ConfigurationService::adopt(const PeerConfiguration &peerConfiguration)
{
    m_history.adopt(peerConfiguration);
    applyCurrentVersion();
    publishStatus();
}

const ConfigurationHistory &ConfigurationService::history() const
{
    return m_history;
}

void ConfigurationService::applyRecord(const LogRecord &record, std::optional<std::uint64_t> &carryForwardOffset)
{
    const auto decoded = decodeConfigurationRecord(record.body);
    if (!decoded) {
        LOG(ERROR) << "configuration: record at offset " << record.offset << " cannot be decoded; skipping it";
        m_history.skip(record.offset);
        countSkippedRecord();
        return;
    }
    const auto verdict = m_history.apply(*decoded, record.offset);
    if (verdict == RecordVerdict::CarriedForward && decoded->version == m_history.version()) {
        carryForwardOffset = record.offset;
    }
}

void ConfigurationService::applyCurrentVersion()
{
    if (m_history.version() <= m_lastTriedVersion) {
        return;
    }
    const auto &record = *m_history.current();
    m_lastTriedVersion = record.version;
    const auto configuration = parseRecord(record);
    if (!configuration) {
        LOG(ERROR) << "configuration: version " << record.version << " cannot be parsed; the previous version stays in force";
        countSkippedRecord();
        return;
    }
    m_inForceSince = std::chrono::system_clock::now();
    m_current.publish(configuration);
    LOG(INFO) << "configuration: version " << record.version << " in force";
    m_versionChanged(configuration);
}

void ConfigurationService::publishStatus()
{
    const auto &record = m_history.current();
    if (!record) {
        return;
    }
    auto status = std::make_shared<ConfigurationStatus>();
    status->accepted.record = *record;
    status->accepted.next = m_history.next();
    status->accepted.established = m_history.isEstablished();
    status->inForceSince = m_inForceSince;
    if (const auto configuration = m_current.read()) {
        status->versionInForce = configuration->version;
    }
    m_status.publish(std::move(status));
}

std::uint64_t ConfigurationService::skippedRecords() const
{
    return m_skippedRecords.load(std::memory_order_relaxed);
}

void ConfigurationService::countSkippedRecord()
{
    m_skippedRecords.fetch_add(1, std::memory_order_relaxed);
}
} // namespace Anvilcart
