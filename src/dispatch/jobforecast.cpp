#include "dispatch/jobforecast.h"

#include <algorithm>

namespace Anvilcart
{
JobForecast forecast(const JobSpec &job, const RunTimeEstimator &estimator, TimePoint now)
{
    JobForecast result;
    result.tasks.reserve(job.tasks.size());
    for (const auto &task : job.tasks) {
        const auto estimate = estimator.estimate(task, now);
        const bool learned = estimate.lowerBound > Duration::zero();
        result.learnedWork += learned ? estimate.expected : Duration::zero();
        result.longestTask = std::max(result.longestTask, estimate.lowerBound);
        result.tasks.push_back(estimate);
    }
    return result;
}

void applyForecast(JobRecord &job, const JobForecast &forecast)
{
    for (std::size_t i = 0; i < job.tasks.size(); ++i) {
        job.tasks[i].runTime = forecast.tasks[i];
        job.queuedWork += forecast.tasks[i].expected;
    }
    std::stable_sort(job.queued.begin(), job.queued.end(), [&](std::uint32_t left, std::uint32_t right) {
        return job.tasks[left].runTime.expected < job.tasks[right].runTime.expected;
    });
}

TimePoint latestStart(const JobRecord &job, std::uint32_t slots)
{
    Duration longest {};
    Duration work {};
    for (const auto task : job.queued) {
        longest = std::max(longest, job.tasks[task].runTime.lowerBound);
        work += job.tasks[task].runTime.lowerBound;
    }
    return job.deadline - std::max(longest, Duration(work / std::max(slots, 1U)));
}
} // namespace Anvilcart
