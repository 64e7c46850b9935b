#include "platform/configurationservice.h"

#include "config/configurationerror.h"
#include "config/configurationparser.h"

#include <boost/leaf/handle_errors.hpp>
#include <glog/logging.h>

namespace Anvilcart
{
namespace leaf = boost::leaf;

namespace
{
std::shared_ptr<const Configuration> parse(const ConfigurationRecord &record)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::shared_ptr<const Configuration>> {
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
    return m_snapshot.read();
}

void ConfigurationService::subscribe(const Subscriber &subscriber)
{
    m_changed.connect(subscriber);
}

void ConfigurationService::apply(const ConfigurationRecord &record)
{
    if (m_history.apply(record) != RecordVerdict::Accepted) {
        return;
    }
    const auto configuration = parse(record);
    if (!configuration) {
        countSkipped();
        return;
    }
    m_snapshot.publish(configuration);
    LOG(INFO) << "configuration: version " << record.version << " in force";
    m_changed(configuration);
}

std::uint64_t ConfigurationService::skippedRecords() const
{
    return m_skipped.load(std::memory_order_relaxed);
}

void ConfigurationService::countSkipped()
{
    m_skipped.fetch_add(1, std::memory_order_relaxed);
}
} // namespace Anvilcart
