#pragma once

#include "scheduling/scheduler.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace Anvilcart::Fleet
{
/// Records the outgoing calls of a scheduler.
class FakeSchedulerPort : public SchedulerPort
{
public:
    struct SentStart
    {
        std::string target;
        StartRequest request;
    };

    struct EndedJob
    {
        JobSubmission job;
        JobResult result;
    };

    void sendStart(const std::string &target, const StartRequest &request) override
    {
        starts.push_back({target, request});
    }

    void sendStop(const std::string &target, const StopRequest &request) override
    {
        stops.emplace_back(target, request);
    }

    void sendRenewal(const std::string &target, const RenewalRequest &request) override
    {
        renewals.emplace_back(target, request);
    }

    void onJobEnd(const JobSubmission &job, const JobResult &result) override
    {
        ended.push_back({job, result});
    }

    void onCrashRecords(const JobSubmission &job, const std::vector<TaskCrashes> &crashes) override
    {
        crashesOfJob[job.request.id] = crashes;
    }

    void onRunStarted(const JobSubmission &job, RunIdentity run) override
    {
        startedRunsOfJob[job.identity()].push_back(run);
    }

    void onRunsOutlastGrant(const JobSubmission &job, TimePoint endBy) override
    {
        outlasting.emplace_back(job, endBy);
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

    std::vector<SentStart> starts;
    std::vector<std::pair<std::string, StopRequest>> stops;
    std::vector<std::pair<std::string, RenewalRequest>> renewals;
    std::vector<EndedJob> ended;
    std::map<std::string, std::vector<TaskCrashes>> crashesOfJob;
    std::map<std::string, std::vector<RunIdentity>> startedRunsOfJob;
    std::vector<std::pair<JobSubmission, TimePoint>> outlasting;
    std::vector<std::string> lost;
    std::vector<std::string> restarted;
    std::vector<std::string> released;
};

/// Records ejections, lost runs, far starts and waits for near places, and ignores all other events.
class FakeSchedulerObserver : public SchedulerObserver
{
public:
    void onJobQueued(const JobSubmission &, std::size_t, Duration) override
    {
    }
    void onStart(const JobSubmission &, const std::string &, const RunName &, Duration, Duration) override
    {
    }
    void onFarStart(const JobSubmission &, const std::string &target, const RunName &, const std::string &) override
    {
        farStarts.push_back(target);
    }
    void onNearWaitEnded(const RunName &, const std::string &, NearWaitOutcome outcome, Duration) override
    {
        nearWaits.push_back(outcome);
    }
    void onStartRefused(const std::string &, const RunName &, RequestResult) override
    {
    }
    void onRunEnd(const JobSubmission *, const std::string &, const RunName &, RunEnd, Duration) override
    {
    }
    void onStop(const std::string &, const RunName &, const char *) override
    {
    }
    void onRepeat(const std::string &, const RunName &, const char *) override
    {
    }
    void onEjection(const std::string &target, EjectionCause cause, Duration) override
    {
        ejections.emplace_back(target, cause);
    }
    void onTargetClaimed(const std::string &, std::uint64_t, std::size_t) override
    {
    }
    void onRunAdopted(const JobSubmission &, const std::string &, const RunName &) override
    {
    }
    void onTargetResponsivenessChanged(const std::string &, bool, std::size_t) override
    {
    }
    void onLateJobRefused(const JobSubmission &, Duration, std::size_t) override
    {
    }
    void onJobsReturned(const std::string &, std::size_t, const char *) override
    {
    }
    void onRunsLost(const TargetLoss &loss, TimePoint) override
    {
        losses.push_back(loss);
    }

    std::vector<std::pair<std::string, EjectionCause>> ejections;
    std::vector<TargetLoss> losses;
    std::vector<std::string> farStarts;
    std::vector<NearWaitOutcome> nearWaits;
};

/// A scheduler with a clock and with target replies that the test controls.
struct SchedulerFixture
{
    static constexpr std::uint64_t Token = 100;

    explicit SchedulerFixture(const SchedulerLimits &limits = SchedulerLimits())
        : scheduler(limits, port, observer)
    {
    }

    TargetEntry entry(const std::string &id, std::int64_t milliCores = 32000) const
    {
        TargetEntry targetEntry;
        targetEntry.id = id;
        targetEntry.service = "service";
        targetEntry.zone = "a";
        targetEntry.capacity = {milliCores, 100000, 0};
        targetEntry.startedAtMs = 1;
        return targetEntry;
    }

    /// Adds a target and answers its claim with an empty listing.
    void claimTarget(const std::string &id, std::int64_t milliCores = 32000)
    {
        scheduler.addTarget(entry(id, milliCores), Token, now);
        answerRenewal(id, {});
    }

    JobSubmission
    job(const std::string &id, std::uint32_t tasks = 1, std::int64_t milliCores = 14000, Milliseconds estimate = Milliseconds(100)) const
    {
        JobSubmission submission;
        submission.request.id = id;
        submission.request.payload = "work";
        StepRequest step;
        step.taskCount = tasks;
        step.demand = {milliCores, 64, 0};
        step.estimate = estimate;
        submission.request.steps.push_back(step);
        submission.request.answeredOnCompletion = true;
        submission.route = "route";
        submission.service = "service";
        submission.maxAttempts = 2;
        submission.stretchFactor = 1.6;
        submission.targetLatency = Milliseconds(60);
        submission.entryHost = "entry";
        submission.arrivedAt = now;
        submission.callerDeadline = now + Milliseconds(1500);
        return submission;
    }

    /// The submission of an entry host to which an earlier dispatcher has announced this run.
    JobSubmission withRun(JobSubmission submission, const std::string &target, const RunName &run) const
    {
        submission.startedRuns.push_back(identityOf(run, target, startedAtMs));
        return submission;
    }

    void submit(const JobSubmission &submission)
    {
        scheduler.submit(submission, now);
    }

    void advance(Duration time)
    {
        now += time;
        scheduler.tick(now);
    }

    void answerStart(std::size_t index, RequestResult result = RequestResult::Accepted)
    {
        TargetReply reply;
        reply.result = result;
        reply.clockMs = clockMs();
        // Copied because the reply may cause further starts.
        const auto start = port.starts.at(index);
        reply.fencingToken = start.request.fencingToken;
        scheduler.onStartReply(start.target, start.request.name, reply, now);
    }

    /// Leaves the start and its repetitions unanswered.
    void loseStart(std::size_t index)
    {
        const auto name = port.starts.at(index).request.name;
        for (auto next = index; next < port.starts.size() && port.starts[next].request.name == name;) {
            const auto sent = port.starts.size();
            answerStart(next, RequestResult::Unknown);
            next = sent;
        }
    }

    /// The target's entry of its life that began at bornAtMs.
    TargetEntry entryOfLife(const std::string &id, std::int64_t bornAtMs, std::int64_t milliCores = 32000) const
    {
        auto targetEntry = entry(id, milliCores);
        targetEntry.startedAtMs = bornAtMs;
        return targetEntry;
    }

    /// The starts that were sent, without those that only repeat an unanswered request for the same run to the same target.
    std::vector<FakeSchedulerPort::SentStart> startsButRepetitions() const
    {
        std::vector<FakeSchedulerPort::SentStart> starts;
        for (const auto &start : port.starts) {
            const bool isRepetition = std::any_of(starts.begin(), starts.end(), [&](const auto &earlier) {
                return earlier.target == start.target && earlier.request.name == start.request.name;
            });
            if (!isRepetition) {
                starts.push_back(start);
            }
        }
        return starts;
    }

    /// Answers the last renewal that was sent to the target with this listing.
    void answerRenewal(const std::string &target,
                       const std::vector<ActiveRun> &running,
                       const std::vector<EndedRun> &ended = {},
                       RequestResult result = RequestResult::Accepted)
    {
        answerRenewal(target, lastRenewal(target), running, ended, result);
    }

    /// Answers the last renewal that was sent to the target, which runs nothing, with this reading of its clock.
    void answerRenewalWithClock(const std::string &target, std::int64_t clockMs)
    {
        const auto &request = lastRenewal(target);
        RenewalReply reply;
        reply.result = RequestResult::Accepted;
        reply.fencingToken = request.fencingToken;
        reply.sequence = request.sequence;
        reply.sentAt = request.sentAt;
        reply.listing.clockMs = clockMs;
        reply.listing.startedAtMs = startedAtMs;
        scheduler.onRenewalReply(target, reply, now);
    }

    /// Answers this renewal of the target with this listing.
    void answerRenewal(const std::string &target,
                       const RenewalRequest &request,
                       const std::vector<ActiveRun> &running,
                       const std::vector<EndedRun> &ended = {},
                       RequestResult result = RequestResult::Accepted)
    {
        RenewalReply reply;
        reply.result = result;
        reply.fencingToken = request.fencingToken;
        reply.sequence = request.sequence;
        reply.sentAt = request.sentAt;
        reply.listing.clockMs = clockMs();
        reply.listing.startedAtMs = startedAtMs;
        reply.listing.running = running;
        reply.listing.ended = ended;
        scheduler.onRenewalReply(target, reply, now);
    }

    const RenewalRequest &lastRenewal(const std::string &target) const
    {
        const auto found = std::find_if(port.renewals.rbegin(), port.renewals.rend(), [&](const auto &renewal) {
            return renewal.first == target;
        });
        return found->second;
    }

    /// Ends the run of a start in this way; the target lists nothing else.
    void endRun(std::size_t index, RunEnd how, std::uint64_t position = 1)
    {
        const auto start = port.starts.at(index);
        answerRenewal(start.target, {}, {{position, start.request.name, how}});
    }

    /// Runs two jobs with one attempt each, which fail on the only target with capacity.
    void runTwoFailingJobs()
    {
        for (std::uint64_t failure = 1; failure <= 2; ++failure) {
            auto failing = job("failing " + std::to_string(failure));
            failing.maxAttempts = 1;
            submit(failing);
            const auto index = port.starts.size() - 1;
            answerStart(index);
            endRun(index, RunEnd::Failed, failure);
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
    Scheduler scheduler;
};
} // namespace Anvilcart::Fleet
