#include "callers/report.h"

#include <boost/json.hpp>

#include <algorithm>
#include <numeric>

namespace Anvilcart
{
namespace json = boost::json;

namespace
{
double quantile(const std::vector<double> &sorted, double share)
{
    if (sorted.empty()) {
        return 0;
    }
    const auto index = static_cast<std::size_t>(share * static_cast<double>(sorted.size()));
    return sorted[std::min(index, sorted.size() - 1)];
}
} // namespace

void Report::addWhole(double slowdown, std::uint64_t tasks, bool correct)
{
    ++m_jobs;
    m_slowdowns.push_back(slowdown);
    m_tasks += tasks;
    m_wrong += correct ? 0 : 1;
}

void Report::addRefused(const std::string &submission, ResultCode code)
{
    ++m_jobs;
    ++m_codes[static_cast<int>(code)];
    if (isNotRun(code)) {
        m_notRun.push_back(submission);
    }
}

void Report::addUnanswered()
{
    ++m_jobs;
    ++m_unanswered;
}

void Report::addNotSent(const std::string &submission)
{
    ++m_jobs;
    ++m_notSent;
    m_notRun.push_back(submission);
}

std::size_t Report::jobs() const
{
    return m_jobs;
}

std::string Report::toJson() const
{
    auto sorted = m_slowdowns;
    std::sort(sorted.begin(), sorted.end());
    const double sum = std::accumulate(sorted.begin(), sorted.end(), 0.0);
    json::object codes;
    std::uint64_t failed = 0;
    for (const auto &[code, count] : m_codes) {
        codes[std::to_string(code)] = count;
        failed += isNotRun(static_cast<ResultCode>(code)) ? 0 : count;
    }
    json::array notRun;
    for (const auto &submission : m_notRun) {
        notRun.emplace_back(submission);
    }
    return json::serialize(json::object {{"whole", sorted.size()},
                                         {"whole_tasks", m_tasks},
                                         {"wrong", m_wrong},
                                         {"unanswered", m_unanswered},
                                         {"failed", failed},
                                         {"not_run", m_notRun.size() - m_notSent},
                                         {"not_sent", m_notSent},
                                         {"codes", std::move(codes)},
                                         {"mean", sorted.empty() ? 0 : sum / static_cast<double>(sorted.size())},
                                         {"p50", quantile(sorted, 0.5)},
                                         {"p99", quantile(sorted, 0.99)},
                                         {"not_run_submissions", std::move(notRun)}});
}
} // namespace Anvilcart
