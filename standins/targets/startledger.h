#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace Anvilcart
{
/// Counts the starts of each task of each submission over all targets of a process. Thread-safe.
class StartLedger
{
public:
    /// Counts a start; the key is empty for an idempotent task.
    void record(const std::string &submission, const std::string &task, const std::string &key);

    /// All counts as a JSON object: submission, then task, then count.
    std::string toJson() const;

    /// The starts of each idempotency key as a JSON object: key, then count.
    std::string keysToJson() const;

    /// The number of starts.
    std::uint64_t total() const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::map<std::string, std::uint64_t>> m_starts;
    std::map<std::string, std::uint64_t> m_startsByKey;
    std::uint64_t m_total = 0;
};
} // namespace Anvilcart
