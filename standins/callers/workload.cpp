#include "callers/workload.h"

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/geometric_distribution.hpp>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>
#include <cmath>

namespace Anvilcart
{
using namespace std::chrono;

namespace
{
constexpr int MeanSampleJobs = 20000;
constexpr microseconds ShortestRunTime {5000};
} // namespace

Workload::Workload(const WorkloadSpec &spec, std::uint32_t seed)
    : m_spec(spec)
    , m_seed(seed)
    , m_random(seed)
{
}

GeneratedJob Workload::next(const std::string &prefix)
{
    GeneratedJob job;
    job.spec.submission = prefix + "-" + std::to_string(m_seed) + "-" + std::to_string(++m_number);
    job.spec.team = m_spec.team;
    job.spec.deadline = m_spec.deadline;
    const auto count = drawTaskCount();
    for (std::uint32_t i = 0; i < count; ++i) {
        const auto runTime = drawRunTime();
        TaskSpec task;
        task.id = "t" + std::to_string(i);
        task.kind = "check";
        task.payload = std::to_string(runTime.count());
        task.declaredRunTime = duration_cast<milliseconds>(runTime);
        job.longestTask = std::max(job.longestTask, runTime);
        job.work += runTime;
        job.spec.tasks.push_back(std::move(task));
    }
    return job;
}

microseconds Workload::nextGap(microseconds mean)
{
    boost::random::exponential_distribution<double> gap(1.0 / static_cast<double>(mean.count()));
    return microseconds(static_cast<std::int64_t>(gap(m_random)));
}

microseconds Workload::meanWork() const
{
    Workload sample(m_spec, m_seed + 1);
    microseconds work {0};
    for (int i = 0; i < MeanSampleJobs; ++i) {
        const auto count = sample.drawTaskCount();
        for (std::uint32_t task = 0; task < count; ++task) {
            work += sample.drawRunTime();
        }
    }
    return work / MeanSampleJobs;
}

std::uint32_t Workload::drawTaskCount()
{
    if (boost::random::uniform_01<double>()(m_random) < m_spec.largeJobShare) {
        return boost::random::uniform_int_distribution<std::uint32_t>(m_spec.largeJobLeast, m_spec.largeJobMost)(m_random);
    }
    boost::random::geometric_distribution<std::uint32_t> size(1.0 / m_spec.meanSmallJob);
    return std::clamp<std::uint32_t>(size(m_random) + 1, 1, m_spec.largeJobLeast);
}

microseconds Workload::drawRunTime()
{
    const auto median = static_cast<double>(duration_cast<microseconds>(m_spec.medianRunTime).count());
    boost::random::lognormal_distribution<double> runTime(std::log(median), m_spec.runTimeSpread);
    const microseconds drawn(static_cast<std::int64_t>(runTime(m_random)));
    return std::clamp<microseconds>(drawn, ShortestRunTime, m_spec.longestRunTime);
}
} // namespace Anvilcart
