#pragma once

#include "fleet/interfaces/hostobserver.h"
#include "hostruntime/eventlog.h"

#include <memory>
#include <string>

namespace Anvilcart::Fleet
{
/// Records a host's decisions as log lines, counters and histograms. Not thread-safe.
class HostTelemetry : public HostObserver
{
public:
    /// The log must outlive this object.
    explicit HostTelemetry(EventLog &log);
    ~HostTelemetry() override;

    /// All metrics in the Prometheus text format.
    std::string serialize() const;

    /// A request was refused before it became a job.
    void onRequestRefused(const std::string &jobId, int status, const std::string &reason, std::uint64_t configurationVersion);

    /// A caller's job was read, and the caller's connection looked at. tickDelay is how late the process is with its timer.
    void onJobRead(const std::string &jobId, bool isCallerConnected, Duration tickDelay);

    /// A caller closed the connection of a job. sinceConnected is the time since the connection was last seen open.
    void onCallerDisconnected(const std::string &jobId, Duration sinceConnected, Duration tickDelay);

    /// The process started, began to stop, stopped or reloaded its settings.
    void onProcessEvent(const LogLine &line);

    /// The store, or a part of its data, became unavailable or available again.
    void onDependencyChanged(const std::string &name, bool regained, const std::string &detail);

    /// A version of the configuration took effect.
    void onConfigurationApplied(std::uint64_t version, std::size_t routes, const char *source);

    /// A call to the store returned or failed.
    void onStoreCall(const char *call, Duration time, bool succeeded);

    /// The changes of the list of targets were read; this many remain to be read.
    void onTargetListRead(Duration time, std::size_t changes, std::uint64_t remaining);

    /// A record in the store, a peer's message or a settings file could not be read.
    void onBadInput(const char *source, const std::string &detail);

    /// An endpoint has closed connections to make room or for lack of it, and refused requests before they were handled, since the last
    /// call.
    void onClientsLimited(const char *endpoint, std::uint64_t connections, std::uint64_t requests);

    void onJobQueued(const JobSubmission &job, std::size_t queuedJobs, Duration forecastWait) override;
    void
    onStart(const JobSubmission &job, const std::string &target, const RunName &run, Duration waited, Duration expectedRunTime) override;
    void onFarStart(const JobSubmission &job, const std::string &target, const RunName &run, const std::string &rack) override;
    void onNearWaitEnded(const RunName &run, const std::string &rack, NearWaitOutcome outcome, Duration waited) override;
    void onStartRefused(const std::string &target, const RunName &run, RequestResult result) override;
    void onRunEnd(const JobSubmission *job, const std::string &target, const RunName &run, RunEnd end, Duration runTime) override;
    void onStop(const std::string &target, const RunName &run, const char *cause) override;
    void onRepeat(const std::string &target, const RunName &run, const char *request) override;
    void onEjection(const std::string &target, EjectionCause cause, Duration pause) override;
    void onTargetClaimed(const std::string &target, std::uint64_t fencingToken, std::size_t running) override;
    void onRunAdopted(const JobSubmission &job, const std::string &target, const RunName &run) override;
    void onTargetResponsivenessChanged(const std::string &target, bool unresponsive, std::size_t lostRuns) override;
    void onLateJobRefused(const Fleet::JobSubmission &job, Duration waited, std::size_t jobsForecastToMiss) override;
    void onJobsReturned(const std::string &entryHost, std::size_t jobs, const char *cause) override;
    void onRunsLost(const TargetLoss &loss, TimePoint now) override;
    void onJobSent(const EntryJob &job, const std::string &dispatcher, Duration reportAge) override;
    void onCallerAnswered(const EntryJob &job, const CallerReply &reply, Duration response) override;
    void onCallerGone(const EntryJob &job, Duration sinceArrival) override;
    void onJobEnded(const JobSubmission &job, const JobResult &result, Duration sinceArrival) override;
    void onStaleFrame(const std::string &host, Duration delay, std::size_t jobs) override;
    void onHostLivenessChanged(const HostReport &report, bool live, Duration sinceLastMessage) override;
    void onProcessReplaced(const std::string &host, std::uint64_t incarnation, std::uint64_t previous, Duration excessDelay) override;
    void onUnprovenFrame(const std::string &host, std::uint64_t incarnation) override;
    void onPoolChanged(const PoolName &pool, const char *change, std::uint64_t round, std::size_t targets) override;
    void onTargetTakenOver(const std::string &target, std::uint64_t fencingToken) override;
    void onEvacuationChanged(const std::string &zone, bool begun, bool byStore, std::size_t evacuatedZones) override;
    void onUsage(const TargetUsage &usage) override;
    void onOverloadChanged(bool overloaded, Duration delay) override;
    void onTimeGap(Duration gap) override;

private:
    void count(const char *metric, const char *label, const std::string &value, std::uint64_t amount = 1);
    void write(const LogLine &line, LogPriority priority);

    struct Private;
    std::unique_ptr<Private> d;
};
} // namespace Anvilcart::Fleet
