#include "fleet/fleetframe.h"

#include "fleet/fleet.pb.h"
#include "fleet/framesize.h"
#include "workload/jobkey.h"

#include <algorithm>

namespace Anvilcart::Fleet
{
namespace
{
/// Holds 60,000 cancellations; hosts remember 16,384.
constexpr std::size_t MaxDecodedBytes = 16 * 1024 * 1024;

/// Of a host, job, route, service, zone or target. Receivers keep names for longer than frames.
constexpr int MaxNameBytes = 512;

std::int64_t toMicroseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
}

Duration fromMicroseconds(std::int64_t microseconds)
{
    return std::chrono::microseconds(microseconds);
}

std::int64_t remainingMicroseconds(TimePoint end, TimePoint now)
{
    return end > now ? toMicroseconds(end - now) : 0;
}

void encodeStep(const StepRequest &step, Wire::Step &wire)
{
    wire.set_task_count(step.taskCount);
    wire.mutable_demand()->set_milli_cores(step.demand.milliCores);
    wire.mutable_demand()->set_memory_mb(step.demand.memoryMb);
    wire.mutable_demand()->set_accelerators(step.demand.accelerators);
    wire.set_estimate_ms(step.estimate.count());
    for (const auto dependency : step.dependsOn) {
        wire.add_depends_on(dependency);
    }
    wire.set_required_label(step.requiredLabel);
    wire.set_data_rack(step.dataRack);
    wire.set_max_per_target(step.maxPerTarget);
    wire.set_rack_local(step.rackLocal);
}

StepRequest decodeStep(const Wire::Step &wire)
{
    StepRequest step;
    step.taskCount = wire.task_count();
    step.demand = {wire.demand().milli_cores(), wire.demand().memory_mb(), wire.demand().accelerators()};
    step.estimate = Milliseconds(wire.estimate_ms());
    step.dependsOn.assign(wire.depends_on().begin(), wire.depends_on().end());
    step.requiredLabel = wire.required_label();
    step.dataRack = wire.data_rack();
    step.maxPerTarget = wire.max_per_target();
    step.rackLocal = wire.rack_local();
    return step;
}

/// Names a job in a message.
template<typename WireMessage>
void encodeKey(const std::string &key, WireMessage &wire)
{
    wire.set_id(jobIdOf(key));
    wire.set_route(routeOf(key));
}

template<typename WireMessage>
std::string decodeKey(const WireMessage &wire)
{
    return makeJobKey(wire.id(), wire.route());
}

template<typename WireMessage>
void encodeCrashes(const std::vector<TaskCrashes> &crashes, WireMessage &wire)
{
    for (const auto &task : crashes) {
        auto &row = *wire.add_crashes();
        row.set_step(task.step);
        row.set_index(task.index);
        row.set_lost_targets(task.lostTargets);
        row.set_crashed_targets(task.crashedTargets);
        row.set_lost_alone(task.lostAlone);
        row.set_suspected(task.suspected);
    }
}

template<typename WireMessage>
std::vector<TaskCrashes> decodeCrashes(const WireMessage &wire)
{
    std::vector<TaskCrashes> crashes;
    for (const auto &row : wire.crashes()) {
        crashes.push_back({row.step(), row.index(), row.lost_targets(), row.crashed_targets(), row.lost_alone(), row.suspected()});
    }
    return crashes;
}

void encodeJob(const JobSubmission &submission, TimePoint now, Wire::SubmitJob &wire)
{
    wire.set_id(jobIdOf(submission.request.id));
    wire.set_identified_by_route(!routeOf(submission.request.id).empty());
    wire.set_payload(submission.request.payload);
    for (const auto &step : submission.request.steps) {
        encodeStep(step, *wire.add_steps());
    }
    wire.set_route(submission.route);
    wire.set_service(submission.service);
    wire.set_priority(submission.priority);
    wire.set_max_attempts(submission.maxAttempts);
    wire.set_stretch_factor(submission.stretchFactor);
    wire.set_target_latency_us(toMicroseconds(submission.targetLatency));
    wire.set_entry_host(submission.entryHost);
    wire.set_waited_us(toMicroseconds(now - submission.arrivedAt));
    wire.set_answer_within_us(toMicroseconds(submission.callerDeadline - now));
    wire.set_earlier_runs_for_us(remainingMicroseconds(submission.earlierRunsEndBy, now));
    wire.set_number(submission.number);
    wire.set_lost_dispatcher_for_us(remainingMicroseconds(submission.lostDispatcherRunsEndBy, now));
    wire.set_transfers(submission.transfers);
    wire.set_lost_dispatcher(submission.lostDispatcher);
    encodeCrashes(submission.crashes, wire);
    wire.mutable_started_runs()->Assign(submission.startedRuns.begin(), submission.startedRuns.end());
}

bool isValid(const JobSubmission &submission)
{
    const auto &steps = submission.request.steps;
    for (std::size_t number = 0; number < steps.size(); ++number) {
        const auto &dependencies = steps[number].dependsOn;
        const bool onlyEarlierSteps = std::all_of(dependencies.begin(), dependencies.end(), [number](std::uint32_t step) {
            return step < number;
        });
        if (!onlyEarlierSteps || steps[number].taskCount == 0) {
            return false;
        }
    }
    return !steps.empty() && !jobIdOf(submission.request.id).empty() && !submission.entryHost.empty();
}

std::optional<JobSubmission> decodeJob(const Wire::SubmitJob &wire, TimePoint now)
{
    JobSubmission submission;
    submission.request.id = wire.identified_by_route() ? decodeKey(wire) : wire.id();
    submission.request.payload = wire.payload();
    submission.request.answeredOnCompletion = true;
    for (const auto &step : wire.steps()) {
        submission.request.steps.push_back(decodeStep(step));
    }
    submission.route = wire.route();
    submission.service = wire.service();
    submission.priority = wire.priority();
    submission.maxAttempts = std::max(1U, wire.max_attempts());
    submission.stretchFactor = wire.stretch_factor();
    submission.targetLatency = fromMicroseconds(wire.target_latency_us());
    submission.entryHost = wire.entry_host();
    submission.arrivedAt = now - fromMicroseconds(wire.waited_us());
    submission.callerDeadline = now + fromMicroseconds(wire.answer_within_us());
    submission.earlierRunsEndBy = now + fromMicroseconds(wire.earlier_runs_for_us());
    submission.number = wire.number();
    submission.lostDispatcherRunsEndBy = now + fromMicroseconds(wire.lost_dispatcher_for_us());
    submission.transfers = wire.transfers();
    submission.lostDispatcher = wire.lost_dispatcher();
    submission.crashes = decodeCrashes(wire);
    submission.startedRuns.assign(wire.started_runs().begin(), wire.started_runs().end());
    return isValid(submission) ? std::optional(std::move(submission)) : std::nullopt;
}

void encodeReport(const FleetFrame &frame, Wire::Heartbeat &wire)
{
    const auto &report = *frame.report;
    wire.set_zone(report.zone);
    wire.set_address(report.peerEndpoint.address);
    wire.set_port(report.peerEndpoint.port);
    wire.set_configuration_version(report.configurationVersion);
    wire.set_leaving(report.leaving);
    wire.set_processor_percent(report.processorPercent);
    wire.set_claim_count(report.claimCount);
    wire.set_targets_digest(report.targetsDigest);
    wire.set_target_list_stale(report.targetListIsStale);
    wire.set_target_list_age_ms(static_cast<std::uint32_t>(std::chrono::duration_cast<Milliseconds>(report.targetListAge).count()) + 1);
    wire.set_period_ms(static_cast<std::uint32_t>(std::chrono::duration_cast<Milliseconds>(report.period).count()));
    if (report.longestRunAfterGrant) {
        wire.set_longest_run_after_grant_ms(
            static_cast<std::uint32_t>(std::chrono::duration_cast<Milliseconds>(*report.longestRunAfterGrant).count()));
    }
    if (report.evacuation) {
        auto &evacuation = *wire.mutable_evacuation();
        evacuation.set_store_offset(report.evacuation->storeOffset);
        for (const auto &zone : report.evacuation->zones) {
            evacuation.add_zones(zone);
        }
    }
    wire.set_unheard_ms(static_cast<std::uint32_t>(std::chrono::duration_cast<Milliseconds>(frame.timeSinceLastReport).count()));
    for (const auto &claim : report.claims) {
        auto &row = *wire.add_claims();
        row.set_zone(claim.pool.zone);
        row.set_shard(claim.pool.shard);
        row.set_round(claim.round);
        row.set_yielding(claim.yielding);
        row.set_owned_targets(claim.ownedTargets);
        for (const auto &target : claim.heldTargets) {
            row.add_held_targets(target);
        }
    }
    for (const auto &load : report.loads) {
        auto &row = *wire.add_loads();
        row.set_service(load.service);
        row.set_free_tasks(load.freeTasks);
        row.set_queued_tasks(load.queuedTasks);
        row.set_wait_us(toMicroseconds(load.wait));
    }
    for (const auto &endpoint : frame.knownEndpoints) {
        auto &row = *wire.add_known();
        row.set_address(endpoint.address);
        row.set_port(endpoint.port);
    }
}

HostReport decodeReport(const Wire::Heartbeat &wire)
{
    HostReport report;
    report.zone = wire.zone();
    report.peerEndpoint = {wire.address(), static_cast<std::uint16_t>(wire.port())};
    report.configurationVersion = wire.configuration_version();
    report.leaving = wire.leaving();
    report.processorPercent = wire.processor_percent();
    report.claimCount = wire.claim_count();
    report.targetsDigest = wire.targets_digest();
    report.targetListIsStale = wire.target_list_stale();
    if (wire.target_list_age_ms() > 0) {
        report.targetListAge = Milliseconds(wire.target_list_age_ms() - 1);
    }
    report.period = Milliseconds(wire.period_ms());
    if (wire.longest_run_after_grant_ms() > 0) {
        report.longestRunAfterGrant = Milliseconds(wire.longest_run_after_grant_ms());
    }
    if (wire.has_evacuation()) {
        const auto &zones = wire.evacuation().zones();
        report.evacuation = EvacuationView {wire.evacuation().store_offset(), {zones.begin(), zones.end()}};
    }
    for (const auto &row : wire.claims()) {
        PoolClaim claim;
        claim.pool = {row.zone(), row.shard()};
        claim.round = row.round();
        claim.yielding = row.yielding();
        claim.ownedTargets = row.owned_targets();
        claim.heldTargets.assign(row.held_targets().begin(), row.held_targets().end());
        report.claims.push_back(std::move(claim));
    }
    for (const auto &row : wire.loads()) {
        report.loads.push_back({row.service(), row.free_tasks(), row.queued_tasks(), fromMicroseconds(row.wait_us())});
    }
    return report;
}

void encodeCancellation(const JobCancellation &cancellation, Wire::CancelJob &wire)
{
    encodeKey(cancellation.jobId, wire);
    wire.set_submission(cancellation.submissionNumber);
}

void encodeGrant(const JobGrant &grant, Wire::Grant &wire)
{
    wire.set_epoch(grant.epoch);
    wire.set_until_us(toMicroseconds(grant.until.time_since_epoch()));
    wire.set_confirmed_claims(grant.confirmedClaims);
    wire.set_recipient_incarnation(grant.dispatcherIncarnation);
}

void encodeLostDispatcher(const LostDispatcher &lost, TimePoint now, Wire::LostDispatcher &wire)
{
    wire.set_host(lost.host);
    wire.set_incarnation(lost.incarnation);
    wire.set_report_sent_at_us(toMicroseconds(lost.reportSentAt));
    wire.set_heard_ago_us(toMicroseconds(now - lost.heardAt));
    wire.set_targets_digest(lost.targetsDigest);
    for (const auto &pool : lost.pools) {
        auto &row = *wire.add_claims();
        row.set_zone(pool.zone);
        row.set_shard(pool.shard);
    }
}

LostDispatcher decodeLostDispatcher(const Wire::LostDispatcher &wire, TimePoint now)
{
    LostDispatcher lost;
    lost.host = wire.host();
    lost.incarnation = wire.incarnation();
    lost.reportSentAt = fromMicroseconds(wire.report_sent_at_us());
    lost.heardAt = now - fromMicroseconds(wire.heard_ago_us());
    lost.targetsDigest = wire.targets_digest();
    for (const auto &row : wire.claims()) {
        lost.pools.push_back({row.zone(), row.shard()});
    }
    return lost;
}
bool isName(const std::string &text)
{
    return text.size() <= MaxNameBytes;
}

template<typename Rows>
bool areNames(const Rows &texts)
{
    return std::all_of(texts.begin(), texts.end(), isName);
}

/// True when the names of the jobs in these rows are not too long.
template<typename Rows>
bool nameJobs(const Rows &rows)
{
    return std::all_of(rows.begin(), rows.end(), [](const auto &row) {
        return isName(row.id()) && isName(row.route());
    });
}

bool hasNames(const Wire::Heartbeat &report)
{
    const auto &claims = report.claims();
    const auto &loads = report.loads();
    return isName(report.zone()) && isName(report.address()) && areNames(report.evacuation().zones())
        && std::all_of(claims.begin(),
                       claims.end(),
                       [](const Wire::PoolClaim &claim) {
                           return isName(claim.zone()) && areNames(claim.held_targets());
                       })
        && std::all_of(loads.begin(), loads.end(), [](const Wire::ServiceLoad &load) {
               return isName(load.service());
           });
}

bool hasNames(const Wire::SubmitJob &job)
{
    return isName(job.service()) && isName(job.entry_host()) && isName(job.lost_dispatcher());
}

bool hasNames(const Wire::LostDispatcher &lost)
{
    return isName(lost.host()) && std::all_of(lost.claims().begin(), lost.claims().end(), [](const Wire::PoolClaim &claim) {
               return isName(claim.zone());
           });
}

/// True when no name in the frame is too long.
bool hasNames(const Wire::Frame &frame)
{
    const auto &jobs = frame.submits();
    const auto &lost = frame.lost_dispatchers();
    return isName(frame.host()) && hasNames(frame.heartbeat()) && nameJobs(jobs) && nameJobs(frame.crash_notices())
        && nameJobs(frame.long_runs()) && nameJobs(frame.started_runs()) && nameJobs(frame.ended()) && nameJobs(frame.releases())
        && nameJobs(frame.cancels()) && nameJobs(frame.cancelled()) && nameJobs(frame.cancel_inquiries())
        && nameJobs(frame.cancel_answers()) && nameJobs(frame.cancelled_jobs()) && areNames(frame.abandoned_runs())
        && std::all_of(jobs.begin(),
                       jobs.end(),
                       [](const Wire::SubmitJob &job) {
                           return hasNames(job);
                       })
        && std::all_of(lost.begin(), lost.end(), [](const Wire::LostDispatcher &row) {
               return hasNames(row);
           });
}
} // namespace

std::string encodeFrame(const FleetFrame &frame, TimePoint now)
{
    Wire::Frame wire;
    wire.set_host(frame.host);
    wire.set_incarnation(frame.incarnation);
    wire.set_sent_at_us(toMicroseconds(now.time_since_epoch()));
    if (frame.echo) {
        wire.mutable_echo()->set_recipient_incarnation(frame.echo->recipientIncarnation);
        wire.mutable_echo()->set_sent_at_us(toMicroseconds(frame.echo->sentAt));
    }
    if (frame.report) {
        encodeReport(frame, *wire.mutable_heartbeat());
    }
    if (frame.grant) {
        encodeGrant(*frame.grant, *wire.mutable_grant());
    }
    wire.set_requests_grant(frame.requestsGrant);
    for (const auto &lost : frame.lostDispatchers) {
        encodeLostDispatcher(lost, now, *wire.add_lost_dispatchers());
    }
    for (const auto &submission : frame.submissions) {
        encodeJob(submission, now, *wire.add_submits());
    }
    for (const auto &notice : frame.crashNotices) {
        auto &row = *wire.add_crash_notices();
        encodeKey(notice.jobId, row);
        encodeCrashes(notice.crashes, row);
        row.set_number(notice.number);
    }
    for (const auto &notice : frame.longRuns) {
        auto &row = *wire.add_long_runs();
        encodeKey(notice.jobId, row);
        row.set_for_us(remainingMicroseconds(notice.endBy, now));
        row.set_submission(notice.submissionNumber);
    }
    for (const auto &notice : frame.startedRuns) {
        auto &row = *wire.add_started_runs();
        encodeKey(notice.jobId, row);
        row.set_submission(notice.submissionNumber);
        row.mutable_runs()->Assign(notice.runs.begin(), notice.runs.end());
    }
    for (const auto &notice : frame.ended) {
        auto &row = *wire.add_ended();
        encodeKey(notice.jobId, row);
        row.set_end(static_cast<std::uint32_t>(notice.result.end));
        row.set_reason(static_cast<std::uint32_t>(notice.result.reason));
        row.set_retry_after_ms(std::chrono::duration_cast<Milliseconds>(notice.result.retryAfter).count());
        row.set_elsewhere(notice.result.preferredDispatcher);
        row.set_grant_epoch(notice.grantEpoch);
        row.set_submission(notice.submissionNumber);
    }
    for (const auto &release : frame.releases) {
        auto &row = *wire.add_releases();
        encodeKey(release.jobId, row);
        row.set_lost_dispatcher(release.lostDispatcher);
        row.set_submission(release.submissionNumber);
    }
    for (const auto &cancellation : frame.cancellations) {
        encodeCancellation(cancellation, *wire.add_cancels());
    }
    for (const auto &cancellation : frame.confirmedCancellations) {
        encodeCancellation(cancellation, *wire.add_cancelled());
    }
    for (const auto &id : frame.cancelInquiries) {
        encodeKey(id, *wire.add_cancel_inquiries());
    }
    for (const auto &job : frame.cancelAnnouncements) {
        auto &row = *wire.add_cancel_inquiries();
        encodeKey(job.jobId, row);
        row.set_cancelled_for_us(std::max<std::int64_t>(1, remainingMicroseconds(job.until, now)));
    }
    for (const auto &answer : frame.cancelAnswers) {
        auto &row = *wire.add_cancel_answers();
        encodeKey(answer.jobId, row);
        row.set_cancelled(answer.cancelled);
        row.set_remembered(answer.isRemembered);
    }
    for (const auto &job : frame.cancelledJobs) {
        auto &row = *wire.add_cancelled_jobs();
        encodeKey(job.jobId, row);
        row.set_for_us(remainingMicroseconds(job.until, now));
    }
    for (const auto &id : frame.abandonedRuns) {
        wire.add_abandoned_runs(jobIdOf(id));
    }
    if (frame.requestsConfiguration) {
        wire.mutable_configuration_request();
    }
    if (frame.configuration) {
        wire.mutable_configuration()->set_version(frame.configuration->version);
        wire.mutable_configuration()->set_record(frame.configuration->record);
    }
    return wire.SerializeAsString();
}

std::optional<FleetFrame> decodeFrame(std::string_view bytes, TimePoint now)
{
    if (estimateDecodedBytes(bytes) > MaxDecodedBytes) {
        return std::nullopt;
    }
    Wire::Frame wire;
    if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || wire.host().empty() || !hasNames(wire)) {
        return std::nullopt;
    }
    FleetFrame frame;
    frame.host = wire.host();
    frame.incarnation = wire.incarnation();
    frame.sentAt = fromMicroseconds(wire.sent_at_us());
    if (wire.has_echo()) {
        frame.echo = FrameEcho {wire.echo().recipient_incarnation(), fromMicroseconds(wire.echo().sent_at_us())};
    }
    if (wire.has_heartbeat()) {
        frame.report = decodeReport(wire.heartbeat());
        frame.report->host = frame.host;
        frame.report->incarnation = frame.incarnation;
        frame.timeSinceLastReport = Milliseconds(wire.heartbeat().unheard_ms());
        for (const auto &row : wire.heartbeat().known()) {
            frame.knownEndpoints.push_back({row.address(), static_cast<std::uint16_t>(row.port())});
        }
    }
    if (wire.has_grant()) {
        frame.grant = JobGrant {wire.grant().epoch(),
                                TimePoint(fromMicroseconds(wire.grant().until_us())),
                                wire.grant().confirmed_claims(),
                                wire.grant().recipient_incarnation()};
    }
    frame.requestsGrant = wire.requests_grant();
    for (const auto &row : wire.lost_dispatchers()) {
        frame.lostDispatchers.push_back(decodeLostDispatcher(row, now));
    }
    for (const auto &row : wire.submits()) {
        if (auto submission = decodeJob(row, now)) {
            frame.submissions.push_back(std::move(*submission));
        }
    }
    for (const auto &row : wire.crash_notices()) {
        frame.crashNotices.push_back({decodeKey(row), decodeCrashes(row), row.number()});
    }
    for (const auto &row : wire.long_runs()) {
        frame.longRuns.push_back({decodeKey(row), now + fromMicroseconds(row.for_us()), row.submission()});
    }
    for (const auto &row : wire.started_runs()) {
        frame.startedRuns.push_back({decodeKey(row), row.submission(), {row.runs().begin(), row.runs().end()}});
    }
    for (const auto &row : wire.ended()) {
        if (row.end() > static_cast<std::uint32_t>(JobEnd::Abandoned) || row.reason() >= JobEndReasonCount) {
            continue;
        }
        JobResult result {
            static_cast<JobEnd>(row.end()), static_cast<JobEndReason>(row.reason()), Milliseconds(row.retry_after_ms()), row.elsewhere()};
        frame.ended.push_back({decodeKey(row), result, row.grant_epoch(), row.submission()});
    }
    for (const auto &row : wire.releases()) {
        frame.releases.push_back({decodeKey(row), row.lost_dispatcher(), row.submission()});
    }
    for (const auto &row : wire.cancels()) {
        frame.cancellations.push_back({decodeKey(row), row.submission()});
    }
    for (const auto &row : wire.cancelled()) {
        frame.confirmedCancellations.push_back({decodeKey(row), row.submission()});
    }
    for (const auto &row : wire.cancel_inquiries()) {
        if (row.cancelled_for_us() > 0) {
            frame.cancelAnnouncements.push_back({decodeKey(row), now + fromMicroseconds(row.cancelled_for_us())});
        } else {
            frame.cancelInquiries.push_back(decodeKey(row));
        }
    }
    for (const auto &row : wire.cancel_answers()) {
        frame.cancelAnswers.push_back({decodeKey(row), row.cancelled(), row.remembered()});
    }
    for (const auto &row : wire.cancelled_jobs()) {
        frame.cancelledJobs.push_back({decodeKey(row), now + fromMicroseconds(row.for_us())});
    }
    frame.abandonedRuns.assign(wire.abandoned_runs().begin(), wire.abandoned_runs().end());
    frame.requestsConfiguration = wire.has_configuration_request();
    if (wire.has_configuration()) {
        frame.configuration = ConfigurationRecord {wire.configuration().version(), wire.configuration().record()};
    }
    return frame;
}
} // namespace Anvilcart::Fleet
