#pragma once

#include "kernel/time.h"

#include <fstream>
#include <mutex>
#include <string>

namespace Anvilcart::Review
{
/// What was sent, answered and run, one line each with the time since the start. Thread-safe.
class Record
{
public:
    explicit Record(const std::string &path);

    /// Writes a line.
    void add(const std::string &line);

    /// Writes a line that says how a rule was broken.
    void addViolation(const std::string &line);

    /// The number of lines that addViolation() has written.
    int violations() const;

private:
    mutable std::mutex m_mutex;
    std::ofstream m_file;
    TimePoint m_startedAt = Clock::now();
    int m_violations = 0;
};
} // namespace Anvilcart::Review
