#pragma once

#include "caller/jobcodec.h"
#include "kernel/time.h"
#include "site/measure.h"
#include "site/site.h"

#include <boost/json.hpp>

#include <functional>
#include <future>
#include <string>
#include <thread>

namespace Anvilcart
{
/// Generous limit for a state that a test waits for.
constexpr Seconds PollLimit {60};
constexpr Milliseconds PollPeriod {20};

/// Waits until the condition holds; false when it did not within the limit.
inline bool eventually(const std::function<bool()> &condition)
{
    const auto limit = Clock::now() + PollLimit;
    while (!condition()) {
        if (Clock::now() > limit) {
            return false;
        }
        std::this_thread::sleep_for(PollPeriod);
    }
    return true;
}

/// The body of a job of equal, idempotent tasks t0, t1, ... that each run for so long.
inline std::string jobBody(const std::string &submission, int tasks, Milliseconds runTime, Milliseconds deadline = Seconds(60))
{
    JobSpec job;
    job.submission = submission;
    job.team = "field";
    job.deadline = deadline;
    for (int i = 0; i < tasks; ++i) {
        TaskSpec task;
        task.id = "t" + std::to_string(i);
        task.kind = "check";
        task.payload = std::to_string(std::chrono::microseconds(runTime).count());
        job.tasks.push_back(task);
    }
    return encodeJob(job);
}

/// Sends a body to a caller door in the background.
inline std::future<CallResult> submitAsync(Site &site, const Endpoint &door, const std::string &body)
{
    return std::async(std::launch::async, [&site, door, body] {
        return site.call(door, "POST", "/v1/jobs", body);
    });
}

/// The result code of an answer; 0 for a whole one, -1 when there was none.
inline int codeOf(const CallResult &result)
{
    return result.status == 0 ? -1 : static_cast<int>(decodeAnswer(result.body).code);
}

/// The tasks that the targets started for a submission.
inline std::size_t startedTasks(Site &site, const std::string &submission)
{
    const auto ledger = boost::json::parse(site.ledger());
    const auto *tasks = ledger.as_object().if_contains(submission);
    return tasks == nullptr ? 0 : tasks->as_object().size();
}

/// A count over all targets: "starts", "refusals" or "running".
inline std::uint64_t countOf(Site &site, const std::string &name)
{
    return boost::json::parse(site.targetCounts()).at(name).to_number<std::uint64_t>();
}

/// A count of one target: "starts" or "refusals".
inline std::uint64_t countOf(Site &site, const std::string &target, const std::string &name)
{
    return boost::json::parse(site.targetCounts()).at("targets").at(target).at(name).to_number<std::uint64_t>();
}
} // namespace Anvilcart
