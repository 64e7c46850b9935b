#pragma once

#include "model/resultcode.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Anvilcart
{
/// What came of the jobs of one run. Not thread-safe.
class Report
{
public:
    /// Counts a whole answer; a wrong one, with another task's output, is counted apart.
    void addWhole(double slowdown, std::uint64_t tasks, bool correct);

    /// Counts an answer that is not whole, for the ledger check by submission id.
    void addRefused(const std::string &submission, ResultCode code);

    /// Counts a job whose connection ended without an answer.
    void addUnanswered();

    /// Counts a job that no door took: nothing of it was sent, which the ledger must confirm.
    void addNotSent(const std::string &submission);

    /// The number of jobs counted so far.
    std::size_t jobs() const;

    /// All figures as a JSON object, in one line.
    std::string toJson() const;

private:
    std::vector<double> m_slowdowns;
    std::uint64_t m_tasks = 0;
    std::uint64_t m_wrong = 0;
    std::uint64_t m_unanswered = 0;
    std::uint64_t m_notSent = 0;
    std::size_t m_jobs = 0;
    std::map<int, std::uint64_t> m_codes;
    std::vector<std::string> m_notRun;
};
} // namespace Anvilcart
