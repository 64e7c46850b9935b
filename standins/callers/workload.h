#pragma once

#include "model/job.h"

#include <boost/random/mersenne_twister.hpp>

#include <chrono>
#include <cstdint>
#include <string>

namespace Anvilcart
{
/// The shape of the jobs that callers send.
struct WorkloadSpec
{
    std::string team = "field";
    std::chrono::milliseconds medianRunTime {200};
    double runTimeSpread = 0.7;
    std::chrono::milliseconds longestRunTime {5000};
    double meanSmallJob = 12;
    double largeJobShare = 0.02;
    std::uint32_t largeJobLeast = 200;
    std::uint32_t largeJobMost = 750;
    std::chrono::milliseconds deadline {60000};
};

/// One job and what an ideal service would need for it.
struct GeneratedJob
{
    JobSpec spec;
    std::chrono::microseconds longestTask {0};
    std::chrono::microseconds work {0};
};

/// Draws jobs from a fixed seed: lognormal run times, geometric job sizes, and a few large jobs.
class Workload
{
public:
    Workload(const WorkloadSpec &spec, std::uint32_t seed);

    /// The next job; its submission id holds the prefix, the seed and a running number.
    GeneratedJob next(const std::string &prefix);

    /// The time until the next arrival of a Poisson stream with this mean.
    std::chrono::microseconds nextGap(std::chrono::microseconds mean);

    /// The mean work of a job, from a sample that does not advance this workload.
    std::chrono::microseconds meanWork() const;

private:
    std::uint32_t drawTaskCount();
    std::chrono::microseconds drawRunTime();

    WorkloadSpec m_spec;
    std::uint32_t m_seed;
    boost::random::mt19937 m_random;
    std::uint64_t m_number = 0;
};
} // namespace Anvilcart
