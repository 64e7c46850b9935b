#include "targets/startledger.h"

#include <boost/json.hpp>

namespace Anvilcart
{
namespace json = boost::json;

void StartLedger::record(const std::string &submission, const std::string &task, const std::string &key)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    ++m_starts[submission][task];
    ++m_total;
    if (!key.empty()) {
        ++m_startsByKey[key];
    }
}

std::string StartLedger::toJson() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    json::object submissions;
    for (const auto &[submission, tasks] : m_starts) {
        json::object counts;
        for (const auto &[task, count] : tasks) {
            counts[task] = count;
        }
        submissions[submission] = std::move(counts);
    }
    return json::serialize(submissions);
}

std::string StartLedger::keysToJson() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    json::object keys;
    for (const auto &[key, count] : m_startsByKey) {
        keys[key] = count;
    }
    return json::serialize(keys);
}

std::uint64_t StartLedger::total() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_total;
}
} // namespace Anvilcart
