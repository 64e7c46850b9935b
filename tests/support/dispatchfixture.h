#pragma once

#include "dispatch/dispatcher.h"
#include "fakeobserver.h"
#include "faketargetport.h"

#include <string>
#include <vector>

namespace Anvilcart
{
/// A dispatcher with fake interfaces and a manually advanced clock.
class DispatchFixture
{
public:
    DispatchFixture()
        : dispatcher({"entry-1", "fraser"}, port, observer)
    {
    }

    /// Applies a configuration with this number of targets; this host is the only member.
    void configure(std::uint32_t targets, std::uint32_t slots, QueueOrderKind order = QueueOrderKind::FewestUnstartedFirst)
    {
        auto configuration = std::make_shared<Configuration>();
        configuration->version = 1;
        configuration->policy.queueOrder = order;
        configuration->policy.overtake = overtake;
        configuration->policy.slotSharing = slotSharing;
        configuration->limits.maxQueuedTasks = maxQueuedTasks;
        configuration->teams = teams;
        for (std::uint32_t i = 0; i < targets; ++i) {
            TargetSpec target;
            target.name = "target-" + std::to_string(i);
            target.zone = "fraser";
            target.endpoint = {"127.0.0.1", static_cast<std::uint16_t>(8000 + i)};
            target.slots = slots;
            target.capacity = {32, 131072, 0};
            configuration->targets.push_back(target);
        }
        dispatcher.applyConfiguration(configuration, now);
        dispatcher.applyMembers({"entry-1"}, now);
    }

    /// A job of equal, idempotent tasks t0, t1, ...
    static JobSpec makeJob(const std::string &submission, std::uint32_t tasks)
    {
        JobSpec job;
        job.submission = submission;
        job.team = "field";
        job.deadline = std::chrono::milliseconds(10000);
        for (std::uint32_t i = 0; i < tasks; ++i) {
            TaskSpec task;
            task.id = "t" + std::to_string(i);
            task.kind = "check";
            job.tasks.push_back(task);
        }
        return job;
    }

    /// Submits a job. Its answer is appended to answers.
    std::optional<JobId> submit(JobSpec job)
    {
        return dispatcher.submit(
            std::move(job),
            [this](JobAnswer answer) {
                answers.push_back(std::move(answer));
            },
            now);
    }

    /// Reports an outcome for the start with this index in port.started.
    void report(std::size_t start, TaskOutcome outcome)
    {
        dispatcher.onOutcome(port.started.at(start).start.ref, std::move(outcome), now);
    }

    /// Finishes the start with this index in port.started; the output is "submission/task".
    void finish(std::size_t start)
    {
        const auto &started = port.started.at(start).start;
        report(start, TaskFinished {started.submission + "/" + started.task});
    }

    /// Advances the clock and calls the dispatcher's onTick().
    void advance(Duration duration)
    {
        now += duration;
        dispatcher.onTick(now);
    }

    Milliseconds overtake {50};
    SlotSharingKind slotSharing = SlotSharingKind::Loans;
    std::uint32_t maxQueuedTasks = 20000;
    std::vector<TeamSpec> teams = {{"field", 100000}};
    FakeTargetPort port;
    FakeObserver observer;
    Dispatcher dispatcher;
    TimePoint now = TimePoint() + Seconds(1000);
    std::vector<JobAnswer> answers;
};
} // namespace Anvilcart
