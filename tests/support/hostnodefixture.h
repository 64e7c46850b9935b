#pragma once

#include "fleet/hostnode.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Anvilcart::Fleet
{
/// Records what a host node sends. Every endpoint counts as connected; frames are refused while acceptsFrames is false.
class FakeHostPort : public HostPort
{
public:
    void connect(const Endpoint &endpoint) override
    {
        connects.push_back(endpoint);
    }
    void disconnect(const Endpoint &) override
    {
    }
    void reconnect(const Endpoint &) override
    {
    }
    bool isConnected(const Endpoint &) const override
    {
        return true;
    }
    bool refusesConnections(const Endpoint &endpoint) const override
    {
        return refusingEndpoints.contains(toString(endpoint));
    }
    bool sendFrame(const Endpoint &endpoint, const FleetFrame &frame) override
    {
        if (!acceptsFrames) {
            return false;
        }
        frames.emplace_back(endpoint, frame);
        return true;
    }
    void sendStart(const TargetEntry &target, const StartRequest &request) override
    {
        starts.emplace_back(target.id, request);
    }
    void sendStop(const TargetEntry &target, const StopRequest &request) override
    {
        stops.emplace_back(target.id, request);
    }
    void sendRenewal(const TargetEntry &target, const RenewalRequest &request) override
    {
        renewals.emplace_back(target.id, request);
    }
    void closeTargetConnections(const std::string &) override
    {
    }
    bool isCallerConnected(const std::string &jobId) override
    {
        return !disconnectedCallers.contains(jobId);
    }
    void answerCaller(const std::string &jobId, const CallerReply &reply) override
    {
        answers[jobId] = reply;
    }
    void refreshTargetList() override
    {
        ++targetListRefreshes;
    }
    void onCancelDecided(const std::string &jobId, CancelOutcome outcome) override
    {
        cancels[jobId] = outcome;
    }
    void onConfigurationRecord(const ConfigurationRecord &) override
    {
    }
    std::int64_t wallClockMs() override
    {
        return 1'700'000'000'000;
    }

    std::vector<Endpoint> connects;
    std::vector<std::pair<Endpoint, FleetFrame>> frames;
    std::vector<std::pair<std::string, StartRequest>> starts;
    std::vector<std::pair<std::string, StopRequest>> stops;
    std::vector<std::pair<std::string, RenewalRequest>> renewals;
    std::map<std::string, CallerReply> answers;
    /// Jobs whose callers have closed their connections, which the node is not told.
    std::set<std::string> disconnectedCallers;
    std::map<std::string, CancelOutcome> cancels;
    /// Endpoints at which no process listens.
    std::set<std::string> refusingEndpoints;
    int targetListRefreshes = 0;
    bool acceptsFrames = true;
};

/// Ignores all events.
class FakeHostObserver : public HostObserver
{
public:
    void onJobQueued(const JobSubmission &, std::size_t, Duration) override
    {
    }
    void onStart(const JobSubmission &, const std::string &, const RunName &, Duration, Duration) override
    {
    }
    void onFarStart(const JobSubmission &, const std::string &, const RunName &, const std::string &) override
    {
    }
    void onNearWaitEnded(const RunName &, const std::string &, NearWaitOutcome, Duration) override
    {
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
    void onEjection(const std::string &, EjectionCause, Duration) override
    {
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
    void onRunsLost(const TargetLoss &, TimePoint) override
    {
    }
    void onJobSent(const EntryJob &, const std::string &, Duration) override
    {
    }
    void onCallerAnswered(const EntryJob &, const CallerReply &, Duration) override
    {
    }
    void onCallerGone(const EntryJob &, Duration) override
    {
    }
    void onJobEnded(const JobSubmission &, const JobResult &, Duration) override
    {
    }
    void onHostLivenessChanged(const HostReport &, bool, Duration) override
    {
    }
    void onProcessReplaced(const std::string &, std::uint64_t, std::uint64_t, Duration) override
    {
    }
    void onUnprovenFrame(const std::string &, std::uint64_t) override
    {
    }
    void onPoolChanged(const PoolName &, const char *, std::uint64_t, std::size_t) override
    {
    }
    void onTargetTakenOver(const std::string &, std::uint64_t) override
    {
    }
    void onStaleFrame(const std::string &, Duration, std::size_t) override
    {
    }
    void onEvacuationChanged(const std::string &zone, bool begun, bool byStore, std::size_t) override
    {
        evacuations.push_back(zone + (begun ? " begun " : " ended ") + (byStore ? "store" : "peer"));
    }
    void onUsage(const TargetUsage &) override
    {
    }
    void onOverloadChanged(bool, Duration) override
    {
    }
    void onTimeGap(Duration) override
    {
    }

    std::vector<std::string> evacuations;
};

/// A host node with a clock, peers and target replies that the test controls.
struct HostNodeFixture
{
    static constexpr TimePoint Begin {std::chrono::hours(1)};
    static constexpr Milliseconds TickPeriod {25};

    static HostIdentity identity(bool isFirstStart, std::optional<Duration> evacuationBound = std::nullopt)
    {
        HostIdentity self;
        self.limits.evacuationBound = evacuationBound;
        self.host = "h1";
        self.incarnation = 1;
        self.isFirstStart = isFirstStart;
        self.zone = "a";
        self.peerEndpoint = {"10.0.0.1", 7000};
        return self;
    }

    explicit HostNodeFixture(bool isFirstStart = true, std::optional<Duration> evacuationBound = std::nullopt)
        : node(identity(isFirstStart, evacuationBound), port, observer)
    {
        node.tick(now);
    }

    /// Advances the clock with the usual ticks.
    void advance(Duration time)
    {
        for (const auto end = now + time; now < end;) {
            now += TickPeriod;
            node.tick(now);
        }
    }

    void listTargets(const std::vector<std::string> &ids)
    {
        std::map<std::string, TargetEntry> entries;
        for (const auto &id : ids) {
            auto &entry = entries[id];
            entry.id = id;
            entry.service = "service";
            entry.zone = "a";
            entry.capacity = {32000, 100000, 0};
            entry.startedAtMs = 1;
        }
        node.onTargetList(entries, true, now);
    }

    /// The reply to the last renewal that was sent to the target, without a result.
    RenewalReply replyToLastRenewal(const std::string &target) const
    {
        RenewalReply reply;
        for (const auto &[id, request] : port.renewals) {
            if (id == target) {
                reply.fencingToken = request.fencingToken;
                reply.sequence = request.sequence;
                reply.sentAt = request.sentAt;
            }
        }
        return reply;
    }

    /// Answers the last renewal that was sent to the target.
    void answerRenewal(const std::string &target, const std::vector<ActiveRun> &running, const std::vector<EndedRun> &ended = {})
    {
        auto reply = replyToLastRenewal(target);
        reply.result = RequestResult::Accepted;
        reply.listing.clockMs = 1000 + std::chrono::duration_cast<Milliseconds>(now - Begin).count();
        reply.listing.startedAtMs = 1;
        reply.listing.running = running;
        reply.listing.ended = ended;
        node.onRenewalReply(target, reply, now);
    }

    /// Claims the only target and answers the claim.
    void claimTarget(const std::string &id)
    {
        listTargets({id});
        advance(Seconds(1));
        answerRenewal(id, {});
    }

    JobSubmission job(const std::string &id) const
    {
        JobSubmission submission;
        submission.request.id = id;
        StepRequest step;
        step.taskCount = 1;
        step.demand = {14000, 64, 0};
        step.estimate = Milliseconds(100);
        submission.request.steps.push_back(step);
        submission.route = "route";
        submission.service = "service";
        submission.maxAttempts = 2;
        submission.stretchFactor = 1.6;
        submission.targetLatency = Milliseconds(60);
        submission.arrivedAt = now;
        submission.callerDeadline = now + Seconds(9);
        return submission;
    }

    /// A report of another host that dispatches to the pool of all targets, if dispatches is set.
    static FleetFrame report(const std::string &host, std::uint16_t lastByte, bool dispatches, const std::string &zone = "a")
    {
        FleetFrame frame;
        frame.host = host;
        frame.incarnation = lastByte;
        HostReport content;
        content.host = host;
        content.incarnation = lastByte;
        content.zone = zone;
        content.peerEndpoint = {"10.0.0." + std::to_string(lastByte), 7000};
        content.period = Milliseconds(200);
        if (dispatches) {
            PoolClaim claim;
            claim.round = 1;
            content.claims.push_back(claim);
            content.loads.push_back({"service", 4, 0, Duration(0)});
        }
        frame.report = content;
        // The sender knows at least the recipient.
        frame.knownEndpoints.push_back({"10.0.0.1", 7000});
        return frame;
    }

    TimePoint now = Begin;
    FakeHostPort port;
    FakeHostObserver observer;
    HostNode node;
};
} // namespace Anvilcart::Fleet
