#include "hostruntime/hosttelemetry.h"

#include "workload/jobkey.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <map>
#include <utility>

namespace Anvilcart::Fleet
{
namespace
{
const prometheus::Histogram::BucketBoundaries HistogramBucketsMs = {1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000};

/// Of one metric. More than there are hosts in a fleet.
constexpr std::size_t MaxLabelValues = 1024;
const std::string OtherLabelValue = "other";

std::string formatRun(const RunName &run)
{
    return run.task.jobId + '/' + std::to_string(run.task.step) + '/' + std::to_string(run.task.index) + '#' + std::to_string(run.run);
}

/// A line on a job, which is named by its key.
LogLine jobLine(const char *event, const std::string &key)
{
    LogLine line(event);
    line.add("job", jobIdOf(key));
    if (const auto route = routeOf(key); !route.empty()) {
        line.add("route", route);
    }
    return line;
}
} // namespace

struct HostTelemetry::Private
{
    explicit Private(EventLog &eventLog)
        : log(eventLog)
        , response(histogram("anvilcart_caller_response_ms", "Time from a job's arrival to its answer."))
        , wait(histogram("anvilcart_start_wait_ms", "Time from a job's arrival to the start of a task."))
        , runTime(histogram("anvilcart_run_time_ms", "Time that runs took on their targets."))
        , forecastError(histogram("anvilcart_run_forecast_error_ms", "Difference between expected and actual run time."))
        , storeCall(histogram("anvilcart_store_call_ms", "Time of calls to the platform's store."))
        , evacuatedZones(prometheus::BuildGauge()
                             .Name("anvilcart_evacuated_zones")
                             .Help("The number of zones that are evacuated.")
                             .Register(registry)
                             .Add({}))
    {
    }

    prometheus::Histogram &histogram(const char *name, const char *help)
    {
        return prometheus::BuildHistogram().Name(name).Help(help).Register(registry).Add({}, HistogramBucketsMs);
    }

    EventLog &log;
    prometheus::Registry registry;
    prometheus::Histogram &response;
    prometheus::Histogram &wait;
    prometheus::Histogram &runTime;
    prometheus::Histogram &forecastError;
    prometheus::Histogram &storeCall;
    prometheus::Gauge &evacuatedZones;
    std::map<std::string, std::map<std::string, prometheus::Counter *>> counters;
};

HostTelemetry::HostTelemetry(EventLog &log)
    : d(std::make_unique<Private>(log))
{
}

HostTelemetry::~HostTelemetry() = default;

std::string HostTelemetry::serialize() const
{
    return prometheus::TextSerializer().Serialize(d->registry.Collect());
}

void HostTelemetry::count(const char *metric, const char *label, const std::string &value, std::uint64_t amount)
{
    auto &counters = d->counters[metric];
    // Some values come from the network.
    const auto &counted = counters.size() < MaxLabelValues || counters.contains(value) ? value : OtherLabelValue;
    auto &counter = counters[counted];
    if (counter == nullptr) {
        counter = &prometheus::BuildCounter().Name(metric).Help("See docs/METRICS.md.").Register(d->registry).Add({{label, counted}});
    }
    counter->Increment(static_cast<double>(amount));
}

void HostTelemetry::write(const LogLine &line, LogPriority priority)
{
    d->log.write(line, priority, Clock::now());
}

void HostTelemetry::onRequestRefused(const std::string &jobId, int status, const std::string &reason, std::uint64_t configurationVersion)
{
    count("anvilcart_requests_refused_total", "reason", reason);
    write(jobLine("request_refused", jobId).add("status", status).add("reason", reason).add("config", configurationVersion),
          LogPriority::Important);
}

void HostTelemetry::onJobRead(const std::string &jobId, bool isCallerConnected, Duration tickDelay)
{
    const auto *caller = isCallerConnected ? "connected" : "gone";
    count("anvilcart_jobs_read_total", "caller", caller);
    write(jobLine("job_read", jobId).add("caller", caller).add("tick_delay_ms", tickDelay),
          isCallerConnected ? LogPriority::Routine : LogPriority::Important);
}

void HostTelemetry::onCallerDisconnected(const std::string &jobId, Duration sinceConnected, Duration tickDelay)
{
    count("anvilcart_callers_disconnected_total", "while", "waiting");
    write(jobLine("caller_disconnected", jobId).add("since_connected_ms", sinceConnected).add("tick_delay_ms", tickDelay),
          LogPriority::Important);
}

void HostTelemetry::onProcessEvent(const LogLine &line)
{
    write(line, LogPriority::Important);
}

void HostTelemetry::onDependencyChanged(const std::string &name, bool regained, const std::string &detail)
{
    count(regained ? "anvilcart_dependencies_regained_total" : "anvilcart_dependencies_lost_total", "name", name);
    write(LogLine(regained ? "dependency_regained" : "dependency_lost").add("name", name).add("detail", detail), LogPriority::Important);
}

void HostTelemetry::onConfigurationApplied(std::uint64_t version, std::size_t routes, const char *source)
{
    count("anvilcart_configurations_total", "source", source);
    write(LogLine("configuration").add("version", version).add("routes", std::uint64_t(routes)).add("source", source),
          LogPriority::Important);
}

void HostTelemetry::onStoreCall(const char *call, Duration time, bool succeeded)
{
    count(succeeded ? "anvilcart_store_calls_total" : "anvilcart_store_calls_failed_total", "call", call);
    d->storeCall.Observe(toMilliseconds(time));
}

void HostTelemetry::onTargetListRead(Duration time, std::size_t changes, std::uint64_t remaining)
{
    write(LogLine("targets_read").add("took_ms", time).add("changes", std::uint64_t(changes)).add("remaining", remaining),
          LogPriority::Routine);
}

void HostTelemetry::onBadInput(const char *source, const std::string &detail)
{
    count("anvilcart_bad_input_total", "source", source);
    write(LogLine("bad_input").add("source", source).add("detail", detail), LogPriority::Routine);
}

void HostTelemetry::onClientsLimited(const char *endpoint, std::uint64_t connections, std::uint64_t requests)
{
    if (connections + requests == 0) {
        return;
    }
    count("anvilcart_connections_closed_total", "endpoint", endpoint, connections);
    count("anvilcart_unread_requests_refused_total", "endpoint", endpoint, requests);
    write(LogLine("clients_limited").add("endpoint", endpoint).add("connections_closed", connections).add("requests_refused", requests),
          LogPriority::Important);
}

void HostTelemetry::onJobQueued(const JobSubmission &job, std::size_t queuedJobs, Duration forecastWait)
{
    count("anvilcart_jobs_queued_total", "route", job.route);
    write(LogLine("job_queued")
              .add("job", job.request.id)
              .add("route", job.route)
              .add("entry", job.entryHost)
              .add("tasks", std::uint64_t(job.request.steps.front().taskCount))
              .add("millicores", job.request.steps.front().demand.milliCores)
              .add("estimate_ms", Duration(job.request.steps.front().estimate))
              .add("queued", std::uint64_t(queuedJobs))
              .add("forecast_wait_ms", forecastWait),
          LogPriority::Routine);
}

void HostTelemetry::onStart(const JobSubmission &, const std::string &target, const RunName &run, Duration waited, Duration expectedRunTime)
{
    count("anvilcart_starts_total", "kind", run.run == 1 ? "first" : "again");
    d->wait.Observe(toMilliseconds(waited));
    write(LogLine("start").add("run", formatRun(run)).add("target", target).add("waited_ms", waited).add("expected_ms", expectedRunTime),
          LogPriority::Routine);
}

void HostTelemetry::onFarStart(const JobSubmission &job, const std::string &target, const RunName &run, const std::string &rack)
{
    const auto &dataRack = job.request.steps[run.task.step].dataRack;
    count("anvilcart_far_starts_total", "from", dataRack.empty() ? "step" : "data");
    write(LogLine("far_start").add("run", formatRun(run)).add("target", target).add("rack", rack).add("data_rack", dataRack),
          LogPriority::Routine);
}

void HostTelemetry::onNearWaitEnded(const RunName &run, const std::string &rack, NearWaitOutcome outcome, Duration waited)
{
    count("anvilcart_near_waits_total", "outcome", toName(outcome));
    write(LogLine("near_wait").add("run", formatRun(run)).add("outcome", toName(outcome)).add("rack", rack).add("waited_ms", waited),
          LogPriority::Routine);
}

void HostTelemetry::onStartRefused(const std::string &target, const RunName &run, RequestResult result)
{
    count("anvilcart_starts_refused_total", "reason", toName(result));
    write(LogLine("start_refused").add("run", formatRun(run)).add("target", target).add("reason", toName(result)), LogPriority::Important);
}

void HostTelemetry::onRunEnd(const JobSubmission *job, const std::string &target, const RunName &run, RunEnd end, Duration runTime)
{
    count("anvilcart_runs_ended_total", "end", toName(end));
    d->runTime.Observe(toMilliseconds(runTime));
    write(LogLine("run_ended")
              .add("run", formatRun(run))
              .add("target", target)
              .add("end", toName(end))
              .add("run_ms", runTime)
              .add("known", job != nullptr ? "yes" : "no"),
          end == RunEnd::Done ? LogPriority::Routine : LogPriority::Important);
}

void HostTelemetry::onStop(const std::string &target, const RunName &run, const char *cause)
{
    count("anvilcart_stops_total", "cause", cause);
    write(LogLine("stop").add("run", formatRun(run)).add("target", target).add("cause", cause), LogPriority::Routine);
}

void HostTelemetry::onRepeat(const std::string &target, const RunName &run, const char *request)
{
    count("anvilcart_requests_repeated_total", "request", request);
    write(LogLine("request_repeated").add("run", formatRun(run)).add("target", target).add("request", request), LogPriority::Routine);
}

void HostTelemetry::onEjection(const std::string &target, EjectionCause cause, Duration pause)
{
    count("anvilcart_targets_ejected_total", "cause", toName(cause));
    write(LogLine("target_ejected").add("target", target).add("cause", toName(cause)).add("pause_ms", pause), LogPriority::Important);
}

void HostTelemetry::onTargetClaimed(const std::string &target, std::uint64_t fencingToken, std::size_t running)
{
    count("anvilcart_targets_claimed_total", "found", running > 0 ? "busy" : "idle");
    write(LogLine("target_claimed").add("target", target).add("token", fencingToken).add("running", std::uint64_t(running)),
          LogPriority::Important);
}

void HostTelemetry::onRunAdopted(const JobSubmission &job, const std::string &target, const RunName &run)
{
    write(LogLine("run_adopted").add("run", formatRun(run)).add("target", target).add("route", job.route).add("entry", job.entryHost),
          LogPriority::Important);
}

void HostTelemetry::onTargetResponsivenessChanged(const std::string &target, bool unresponsive, std::size_t lostRuns)
{
    count("anvilcart_target_silence_total", "state", unresponsive ? "silent" : "answers");
    write(LogLine(unresponsive ? "target_silent" : "target_answers").add("target", target).add("lost_runs", std::uint64_t(lostRuns)),
          LogPriority::Important);
}

void HostTelemetry::onRunsLost(const TargetLoss &loss, TimePoint now)
{
    count("anvilcart_targets_lost_total", "evidence", toName(loss.evidence));
    const auto newest = std::max_element(loss.runs.begin(), loss.runs.end(), [](const LedgerRun &left, const LedgerRun &right) {
        return left.sentAt < right.sentAt;
    });
    LogLine line("runs_lost");
    line.add("target", loss.target)
        .add("evidence", toName(loss.evidence))
        .add("silent_ms", now - loss.lastAnswerAt)
        .add("runs", std::uint64_t(loss.runs.size()))
        .add("newest", formatRun(newest->name))
        .add("newest_phase", toName(newest->phase))
        .add("newest_sent_ms_before", loss.lastAnswerAt - newest->sentAt);
    if (loss.listedAt != TimePoint()) {
        line.add("listed_ms_before", now - loss.listedAt);
    }
    write(line, LogPriority::Important);
}

void HostTelemetry::onJobSent(const EntryJob &job, const std::string &dispatcher, Duration reportAge)
{
    count("anvilcart_jobs_sent_total", "try", std::to_string(job.submissionCount));
    write(LogLine("job_sent")
              .add("job", jobIdOf(job.submission.request.id))
              .add("route", job.submission.route)
              .add("dispatcher", dispatcher)
              .add("try", job.submissionCount)
              .add("report_age_ms", reportAge),
          job.submissionCount > 1 ? LogPriority::Important : LogPriority::Routine);
}

void HostTelemetry::onCallerAnswered(const EntryJob &job, const CallerReply &reply, Duration response)
{
    count("anvilcart_callers_answered_total", "answer", toName(reply.answer));
    if (reply.answer == CallerAnswer::NotRun) {
        count("anvilcart_jobs_refused_total", "reason", reply.reason);
    }
    d->response.Observe(toMilliseconds(response));
    write(LogLine("answered")
              .add("job", jobIdOf(job.submission.request.id))
              .add("route", job.submission.route)
              .add("answer", toName(reply.answer))
              .add("reason", reply.reason)
              .add("response_ms", response)
              .add("dispatcher", job.dispatcher)
              .add("tries", job.submissionCount),
          reply.answer == CallerAnswer::Completed ? LogPriority::Routine : LogPriority::Important);
}

void HostTelemetry::onCallerGone(const EntryJob &job, Duration sinceArrival)
{
    count("anvilcart_callers_disconnected_total", "while", job.dispatcher.empty() ? "submitting" : "dispatched");
    write(jobLine("caller_gone", job.submission.request.id).add("dispatcher", job.dispatcher).add("after_ms", sinceArrival),
          LogPriority::Important);
}

void HostTelemetry::onJobEnded(const JobSubmission &job, const JobResult &result, Duration sinceArrival)
{
    count("anvilcart_jobs_ended_total", "reason", toName(result.reason));
    if (result.end != JobEnd::Completed) {
        write(LogLine("job_ended")
                  .add("job", job.request.id)
                  .add("route", job.route)
                  .add("end", toName(result.end))
                  .add("reason", toName(result.reason))
                  .add("since_ms", sinceArrival)
                  .add("retry_after_ms", result.retryAfter)
                  .add("elsewhere", result.preferredDispatcher),
              result.reason == JobEndReason::BetterElsewhere ? LogPriority::Routine : LogPriority::Important);
    }
}

void HostTelemetry::onLateJobRefused(const JobSubmission &job, Duration waited, std::size_t jobsForecastToMiss)
{
    count("anvilcart_late_jobs_refused_total", "route", job.route);
    write(LogLine("late_job_refused")
              .add("job", job.request.id)
              .add("route", job.route)
              .add("waited_ms", waited)
              .add("forecast_to_miss", std::uint64_t(jobsForecastToMiss)),
          LogPriority::Important);
}

void HostTelemetry::onJobsReturned(const std::string &entryHost, std::size_t jobs, const char *cause)
{
    count("anvilcart_job_returns_total", "cause", cause);
    write(LogLine("jobs_returned").add("entry", entryHost).add("jobs", std::uint64_t(jobs)).add("cause", cause), LogPriority::Important);
}

void HostTelemetry::onStaleFrame(const std::string &host, Duration delay, std::size_t jobs)
{
    count("anvilcart_stale_messages_total", "peer", host);
    write(LogLine("stale_message").add("peer", host).add("delay_ms", delay).add("jobs", std::uint64_t(jobs)), LogPriority::Important);
}

void HostTelemetry::onHostLivenessChanged(const HostReport &report, bool live, Duration sinceLastMessage)
{
    count(live ? "anvilcart_hosts_seen_total" : "anvilcart_hosts_silent_total", "host", report.host);
    write(LogLine(live ? "host_seen" : "host_silent")
              .add("peer", report.host)
              .add("zone", report.zone)
              .add("incarnation", report.incarnation)
              .add("silent_ms", sinceLastMessage),
          LogPriority::Important);
}

void HostTelemetry::onProcessReplaced(const std::string &host, std::uint64_t incarnation, std::uint64_t previous, Duration excessDelay)
{
    count("anvilcart_hosts_replaced_total", "host", host);
    write(LogLine("host_replaced").add("peer", host).add("incarnation", incarnation).add("previous", previous).add("delay_ms", excessDelay),
          LogPriority::Important);
}

void HostTelemetry::onUnprovenFrame(const std::string &host, std::uint64_t incarnation)
{
    count("anvilcart_unproven_messages_total", "peer", host);
    write(LogLine("unproven_message").add("peer", host).add("incarnation", incarnation), LogPriority::Routine);
}

void HostTelemetry::onPoolChanged(const PoolName &pool, const char *change, std::uint64_t round, std::size_t targets)
{
    count("anvilcart_pool_changes_total", "change", change);
    write(LogLine("pool")
              .add("zone", pool.zone)
              .add("shard", std::uint64_t(pool.shard))
              .add("change", change)
              .add("round", round)
              .add("targets_known", std::uint64_t(targets)),
          LogPriority::Important);
}

void HostTelemetry::onTargetTakenOver(const std::string &target, std::uint64_t fencingToken)
{
    count("anvilcart_targets_taken_total", "by", "other");
    write(LogLine("target_taken").add("target", target).add("token_below", fencingToken), LogPriority::Important);
}

void HostTelemetry::onEvacuationChanged(const std::string &zone, bool begun, bool byStore, std::size_t evacuatedZones)
{
    const auto *change = begun ? "begun" : "ended";
    d->evacuatedZones.Set(static_cast<double>(evacuatedZones));
    count("anvilcart_evacuations_total", "change", change);
    write(LogLine("evacuation").add("zone", zone).add("change", change).add("source", byStore ? "store" : "peer"), LogPriority::Important);
}

void HostTelemetry::onUsage(const TargetUsage &usage)
{
    write(LogLine("usage")
              .add("targets", std::uint64_t(usage.targets))
              .add("ejected", std::uint64_t(usage.ejected))
              .add("silent", std::uint64_t(usage.unresponsive))
              .add("leaving", std::uint64_t(usage.leaving))
              .add("evacuated", std::uint64_t(usage.evacuated))
              .add("runs", std::uint64_t(usage.runs))
              .add("unidentified", std::uint64_t(usage.unidentifiedRuns))
              .add("queued_jobs", std::uint64_t(usage.queuedJobs))
              .add("millicores", usage.milliCores)
              .add("used_millicores", usage.usedMilliCores),
          LogPriority::Routine);
}

void HostTelemetry::onOverloadChanged(bool overloaded, Duration delay)
{
    count("anvilcart_strain_changes_total", "state", overloaded ? "strained" : "rested");
    write(LogLine(overloaded ? "host_strained" : "host_rested").add("timer_delay_ms", delay), LogPriority::Important);
}

void HostTelemetry::onTimeGap(Duration gap)
{
    count("anvilcart_time_gaps_total", "kind", "pause");
    write(LogLine("time_gap").add("gap_ms", gap), LogPriority::Important);
}
} // namespace Anvilcart::Fleet
