#pragma once

#include "kernel/time.h"

#include <fstream>
#include <map>
#include <mutex>
#include <set>
#include <string>

namespace Review
{
/// What callers and targets have seen, written to record.txt with milliseconds since its construction. Thread-safe.
class Record
{
public:
    explicit Record(const std::string &path);

    /// Adds a line.
    void note(const std::string &text);

    /// Adds a line on a broken rule, and counts it.
    void broken(const std::string &text);

    /// The broken rules so far.
    std::size_t brokenCount() const;

private:
    mutable std::mutex m_mutex;
    std::ofstream m_file;
    Anvilcart::TimePoint m_start;
    std::size_t m_broken = 0;
};
} // namespace Review
