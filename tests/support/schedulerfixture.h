#pragma once

#include "scheduling/scheduler.h"

#include <algorithm>
#include <string>
#include <vector>

namespace Anvilcart::Fleet
{
/// Keeps what a scheduler asks for.
class FakeSchedulerPort : public SchedulerPort
{
public:
    struct Start
    {
        std::string target;
        StartOrder order;
    };

    struct Ended
    {
        JobSubmission job;
        JobResult result;
    };

    void sendStart(const std::string &target, const StartOrder &order) override
    {
        starts.push_back({target, order});
    }

    void sendStop(const std::string &target, const StopOrder &order) override
    {
        stops.emplace_back(target, order);
    }

    void sendRenewal(const std::string &target, const RenewalOrder &order) override
    {
        renewals.emplace_back(target, order);
    }

    void onJobEnd(const JobSubmission &job, const JobResult &result) override
    {
        ended.push_back({job, result});
    }

    void onTargetLost(const std::string &target, bool) override
    {
        lost.push_back(target);
    }

    void onTargetRestarted(const std::string &target) override
    {
        restarted.push_back(target);
    }

    void onTargetReleased(const std::string &target) override
    {
        released.push_back(target);
    }

    std::vector<Start> starts;
    std::vector<std::pair<std::string, StopOrder>> stops;
    std::vector<std::pair<std::string, RenewalOrder>> renewals;
    std::vector<Ended> ended;
    std::vector<std::string> lost;
    std::vector<std::string> restarted;
    std::vector<std::string> released;
};

/// Hears nothing but ejections.
class FakeSchedulerObserver : public SchedulerObserver
{
public:
    void onJobQueued(const JobSubmission &, std::size_t, Duration) override
    {
    }
    void onStart(const JobSubmission &, const std::string &, const RunName &, Duration, Duration) override
    {
    }
    void onStartRefused(const std::string &, const RunName &, OrderResult) override
    {
    }
    void onRunEnd(const JobSubmission *, const std::string &, const RunName &, RunEnd, Duration) override
    {
    }
    void onStop(const std::string &, const RunName &, const char *) override
    {
    }
    void onEjection(const std::string &target, EjectionCause cause, Duration) override
    {
        ejections.emplace_back(target, cause);
    }
    void onTargetClaimed(const std::string &, std::uint64_t, std::size_t) override
    {
    }
    void onTargetResponsivenessChanged(const std::string &, bool, std::size_t) override
    {
    }

    std::vector<std::pair<std::string, EjectionCause>> ejections;
};

/// A scheduler on a hand-turned clock, with targets that answer as the test says.
struct SchedulerFixture
{
    static constexpr std::uint64_t Token = 100;

    TargetEntry entry(const std::string &id, std::int64_t milliCores = 32000) const
    {
        TargetEntry made;
        made.id = id;
        made.service = "service";
        made.zone = "a";
        made.capacity = {milliCores, 100000, 0};
        made.startedAtMs = 1;
        return made;
    }

    /// A target that has answered its claim with an empty listing.
    void own(const std::string &id, std::int64_t milliCores = 32000)
    {
        scheduler.addTarget(entry(id, milliCores), Token, now);
        answerRenewal(id, {});
    }

    JobSubmission
    job(const std::string &id, std::uint32_t tasks = 1, std::int64_t milliCores = 14000, Milliseconds estimate = Milliseconds(100)) const
    {
        JobSubmission order;
        order.request.id = id;
        order.request.payload = "work";
        StepRequest step;
        step.taskCount = tasks;
        step.demand = {milliCores, 64, 0};
        step.estimate = estimate;
        order.request.steps.push_back(step);
        order.request.answeredOnCompletion = true;
        order.route = "route";
        order.service = "service";
        order.maxAttempts = 2;
        order.stretchFactor = 1.6;
        order.targetLatency = Milliseconds(60);
        order.entryHost = "entry";
        order.arrivedAt = now;
        order.callerDeadline = now + Milliseconds(1500);
        return order;
    }

    void submit(const JobSubmission &order)
    {
        scheduler.submit(order, now);
    }

    void advance(Duration time)
    {
        now += time;
        scheduler.tick(now);
    }

    void answerStart(std::size_t index, OrderResult result = OrderResult::Accepted)
    {
        OrderReply reply;
        reply.result = result;
        reply.clockMs = clockMs();
        // A copy: the reply may lead to further starts.
        const auto start = port.starts.at(index);
        reply.fencingToken = start.order.fencingToken;
        scheduler.onStartReply(start.target, start.order.name, reply, now);
    }

    /// Answers the last renewal that was sent to the target.
    void answerRenewal(const std::string &target,
                       const std::vector<RunningRun> &running,
                       const std::vector<EndedRun> &ended = {},
                       OrderResult result = OrderResult::Accepted)
    {
        RenewalReply reply;
        reply.result = result;
        reply.fencingToken = lastRenewal(target).fencingToken;
        reply.listing.clockMs = clockMs();
        reply.listing.startedAtMs = startedAtMs;
        reply.listing.running = running;
        reply.listing.ended = ended;
        scheduler.onRenewalReply(target, reply, now);
    }

    const RenewalOrder &lastRenewal(const std::string &target) const
    {
        const auto found = std::find_if(port.renewals.rbegin(), port.renewals.rend(), [&](const auto &renewal) {
            return renewal.first == target;
        });
        return found->second;
    }

    /// The run of a start ends so; the target lists nothing else.
    void end(std::size_t index, RunEnd how, std::uint64_t position = 1)
    {
        const auto start = port.starts.at(index);
        answerRenewal(start.target, {}, {{position, start.order.name, how}});
    }

    /// Two jobs with one attempt fail on the only target with room.
    void failTwice()
    {
        for (std::uint64_t failure = 1; failure <= 2; ++failure) {
            auto failing = job("failing " + std::to_string(failure));
            failing.maxAttempts = 1;
            submit(failing);
            const auto index = port.starts.size() - 1;
            answerStart(index);
            end(index, RunEnd::Failed, failure);
        }
    }

    std::int64_t clockMs() const
    {
        return 1000 + std::chrono::duration_cast<Milliseconds>(now - Begin).count();
    }

    static constexpr TimePoint Begin {std::chrono::hours(1)};
    TimePoint now = Begin;
    std::int64_t startedAtMs = 1;
    FakeSchedulerPort port;
    FakeSchedulerObserver observer;
    Scheduler scheduler {SchedulerLimits(), port, observer};
};
} // namespace Anvilcart::Fleet
