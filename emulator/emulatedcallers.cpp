#include "emulator/emulatedcallers.h"

#include "workload/jobkey.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <optional>
#include <utility>

namespace Anvilcart::Emulation
{
using namespace Anvilcart::Fleet;

namespace
{
/// Callers resubmit a job after this time when the connection breaks, or when no host accepts jobs.
constexpr Milliseconds ResubmitDelay {1300};
constexpr Milliseconds NoHostDelay {200};
constexpr Milliseconds CallerDelay {1};
/// A task that crashes its target does so this long after its start.
constexpr Milliseconds CrashDelay {10};
/// Answers later than this many objectives are of no use to callers, by the users' rules.
constexpr int OverdueObjectives = 3;
/// A job is one of the largest tenth of its kind when its run time is this many standard deviations above the median.
constexpr double LargestTenthQuantile = 1.2816;

/// How long a task of a job runs on a target of ordinary speed.
Duration taskRunTime(const JobKind &kind, Duration runTime, std::uint32_t index)
{
    constexpr double UniformFactor = 0.85;
    constexpr std::uint32_t PatternLength = 7;
    constexpr std::uint32_t PatternStep = 3;
    const double place = static_cast<double>(index * PatternStep % PatternLength) / (PatternLength - 1);
    const double factor = kind.taskSpread > 0 ? 1 - kind.taskSpread * place : UniformFactor;
    return std::chrono::duration_cast<Duration>(runTime * factor);
}
} // namespace

/// A job that a caller submitted, and its state at the caller.
struct EmulatedCallers::CallerJob
{
    JobRequest request;
    JobKind kind;
    Duration runTime {0};
    TimePoint submittedAt;
    std::size_t host = 0;
    bool finished = false;
    bool isConnected = false;
    /// The last connection over which the job was sent.
    std::shared_ptr<CallerConnection> connection;
    /// The caller sends the job again after an unknown outcome.
    bool isPersistent = false;
    /// The index of its task that crashes each target; nothing for most jobs.
    std::optional<std::uint32_t> crashingTask;
    /// The racks to which tasks of its rack-local steps were last sent.
    std::map<TaskName, std::string> rackOfTask;

    /// The name under which its result is counted.
    const std::string &resultName() const
    {
        return crashingTask ? CrashingJobs : kind.route;
    }

    Duration objective() const
    {
        return std::chrono::duration_cast<Duration>(runTime * kind.stretchFactor) + kind.targetLatency;
    }

    /// How long the caller waits after its first submission.
    Duration timeout() const
    {
        return kind.callerTimeout + std::chrono::duration_cast<Duration>(objective() * kind.callerTimeoutObjectives);
    }

    /// True for one of the largest tenth of its kind.
    bool isLarge() const
    {
        return runTime > kind.runTime * std::exp(kind.runTimeSigma * LargestTenthQuantile);
    }

    bool isWaiting(TimePoint now) const
    {
        return !finished && now - submittedAt < timeout();
    }
};

EmulatedCallers::EmulatedCallers(SimulatedClock &clock,
                                 std::mt19937_64 &random,
                                 InvariantChecker &invariants,
                                 const std::vector<std::unique_ptr<EmulatedHost>> &hosts)
    : m_clock(clock)
    , m_random(random)
    , m_invariants(invariants)
    , m_hosts(hosts)
    , m_connections(clock, hosts)
{
}

EmulatedCallers::~EmulatedCallers() = default;

void EmulatedCallers::submitJobs(const JobKind &kind, Duration last)
{
    const auto kindFactor = m_loadFactorOfKind.find(kind.route);
    std::exponential_distribution<double> interarrivalTime(kind.jobsPerSecond * m_loadFactor
                                                           * (kindFactor == m_loadFactorOfKind.end() ? 1 : kindFactor->second));
    m_clock.callAfter(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(interarrivalTime(m_random))), [this, kind, last] {
        if (m_clock.elapsed() >= last) {
            return;
        }
        const auto job = makeJob(kind);
        submit(job);
        std::uniform_real_distribution<double> chance(0, 1);
        if (chance(m_random) < m_cancelledShare) {
            m_clock.callAfter(job->runTime / 2, [this, job] {
                if (!job->finished) {
                    job->finished = true;
                    closeConnection(job);
                }
            });
        }
        if (m_brokenConnectionShare > 0 && chance(m_random) < m_brokenConnectionShare) {
            job->isPersistent = true;
            m_clock.callAfter(job->runTime / 10, [this, job] {
                breakConnection(job);
            });
        }
        submitJobs(kind, last);
    });
}

std::string EmulatedCallers::nextKey(const std::string &route)
{
    if (!m_sharesIds || !m_routesOfLastId.insert(route).second) {
        ++m_jobCount;
        m_routesOfLastId = {route};
    }
    char id[17];
    std::snprintf(id, sizeof(id), "%016llx", static_cast<unsigned long long>(m_jobCount));
    return m_sharesIds ? makeJobKey(id, route) : id;
}

std::shared_ptr<EmulatedCallers::CallerJob> EmulatedCallers::makeJob(const JobKind &kind)
{
    std::normal_distribution<double> normal(0, 1);
    auto job = std::make_shared<CallerJob>();
    job->kind = kind;
    job->runTime = std::chrono::duration_cast<Duration>(kind.runTime * std::exp(kind.runTimeSigma * normal(m_random)));
    job->request.id = nextKey(kind.route);
    // By this, targets tell the job from others with its id.
    job->request.payload = job->request.id;
    StepRequest step;
    step.taskCount = kind.tasks;
    step.demand = {kind.milliCores, 64, 0};
    step.estimate = std::chrono::duration_cast<Milliseconds>(job->runTime * std::exp(kind.estimateSigma * normal(m_random)));
    step.rackLocal = kind.rackLocal;
    if (!kind.dataRacks.empty()) {
        step.dataRack = kind.dataRacks[m_random() % kind.dataRacks.size()];
    }
    job->request.steps.push_back(step);
    job->request.answeredOnCompletion = true;
    job->submittedAt = m_clock.now();
    job->isPersistent = m_sendsAgainAfterUnknownOutcomes;
    const auto crashingShare = m_crashingShare.find(kind.route);
    if (crashingShare != m_crashingShare.end() && std::bernoulli_distribution(crashingShare->second)(m_random)) {
        job->crashingTask = static_cast<std::uint32_t>(m_random() % kind.tasks);
    }
    m_jobs[job->request.id] = job;
    ++m_results[job->resultName()].submitted;
    if (job->isLarge()) {
        ++m_resultsOfLargeJobs[job->resultName()].submitted;
    }
    SubmittedJob record {kind.route, job->runTime, job->objective(), m_clock.elapsed(), {}, job->isLarge()};
    for (std::uint32_t index = 0; index < kind.tasks; ++index) {
        record.taskRunTimes.push_back(taskRunTime(kind, job->runTime, index));
    }
    m_submittedJobs.push_back(std::move(record));
    return job;
}

/// Applies a change to the results of which the job is a part.
void EmulatedCallers::count(const CallerJob &job, const std::function<void(JobKindResult &)> &apply)
{
    apply(m_results[job.resultName()]);
    if (job.isLarge()) {
        apply(m_resultsOfLargeJobs[job.resultName()]);
    }
    auto &zone = m_resultsByZone[m_hosts[job.host]->address().zone];
    ++zone.submitted;
    apply(zone);
}

void EmulatedCallers::submit(const std::shared_ptr<CallerJob> &job)
{
    std::vector<std::size_t> acceptingHosts;
    for (const auto &host : m_hosts) {
        if (host->acceptsJobs()) {
            acceptingHosts.push_back(host->index());
        }
    }
    if (acceptingHosts.empty()) {
        submitAgainAfter(NoHostDelay, job);
        return;
    }
    job->host = acceptingHosts[m_random() % acceptingHosts.size()];
    job->isConnected = true;
    m_invariants.onJobSubmitted(job->request.id);
    job->connection = m_connections.open(job->host, job->request.id, CallerDelay + drawReadDelay(), [this, job](HostNode &node) {
        JobSubmission submission;
        submission.request = job->request;
        submission.route = job->kind.route;
        submission.service = "service";
        submission.priority = job->kind.priority;
        submission.maxAttempts = 3;
        submission.stretchFactor = job->kind.stretchFactor;
        submission.targetLatency = job->kind.targetLatency;
        submission.arrivedAt = m_clock.now();
        submission.callerDeadline = job->submittedAt + job->timeout() - 2 * CallerDelay;
        node.submit(std::move(submission), m_clock.now());
    });
    m_clock.callAfter(job->timeout(), [this, job] {
        if (!job->finished && !job->isWaiting(m_clock.now())) {
            job->finished = true;
            count(*job, [](JobKindResult &result) {
                ++result.unanswered;
            });
            closeConnection(job);
        }
    });
}

void EmulatedCallers::submitAgainAfter(Duration delay, const std::shared_ptr<CallerJob> &job)
{
    m_clock.callAfter(delay, [this, job] {
        if (job->isWaiting(m_clock.now())) {
            submit(job);
        }
    });
}

void EmulatedCallers::closeConnection(const std::shared_ptr<CallerJob> &job)
{
    // A caller that leaves while no host accepts its job has no connection.
    if (job->connection) {
        m_connections.close(job->connection, drawReadDelay());
    }
}

Duration EmulatedCallers::drawReadDelay()
{
    if (m_lateReadShare == 0 || !std::bernoulli_distribution(m_lateReadShare)(m_random)) {
        return Duration(0);
    }
    return Duration(std::uniform_int_distribution<Duration::rep>(0, m_longestReadDelay.count())(m_random));
}

void EmulatedCallers::breakConnection(const std::shared_ptr<CallerJob> &job)
{
    if (job->finished || !job->isConnected) {
        return;
    }
    job->isConnected = false;
    closeConnection(job);
    submitAgainAfter(ResubmitDelay, job);
}

void EmulatedCallers::onHostStopped(std::size_t host)
{
    for (const auto &[id, job] : m_jobs) {
        if (job->host == host && job->isConnected && !job->finished) {
            job->isConnected = false;
            submitAgainAfter(ResubmitDelay, job);
        }
    }
}

bool EmulatedCallers::isConnected(std::size_t host, const std::string &jobId) const
{
    return m_connections.isConnected(host, jobId);
}

void EmulatedCallers::onAnswer(std::size_t host, const std::string &jobId, const CallerReply &reply)
{
    const auto answered = m_connections.takeAnswered(host, jobId);
    const auto found = m_jobs.find(jobId);
    if (found == m_jobs.end() || found->second->finished || !found->second->isConnected) {
        return;
    }
    if (std::find(answered.begin(), answered.end(), found->second->connection) == answered.end()) {
        return;
    }
    auto &job = *found->second;
    if (reply.answer == CallerAnswer::Unknown && job.isPersistent) {
        job.isConnected = false;
        submitAgainAfter(ResubmitDelay, found->second);
        return;
    }
    job.finished = true;
    const auto response = m_clock.now() + CallerDelay - job.submittedAt;
    if (reply.answer == CallerAnswer::NotRun) {
        m_invariants.onReportedNotRun(jobId, m_clock.elapsed());
    } else if (reply.answer == CallerAnswer::Completed) {
        m_invariants.onReportedCompleted(jobId, job.kind.tasks, m_clock.elapsed());
    }
    count(job, [&job, &reply, response](JobKindResult &result) {
        switch (reply.answer) {
        case CallerAnswer::Completed: {
            const auto objective = job.objective();
            if (response <= objective) {
                ++result.inObjective;
            } else {
                ++(response <= OverdueObjectives * objective ? result.late : result.overdue);
            }
            break;
        }
        case CallerAnswer::NotRun:
            ++result.refused;
            result.timeToRefusal += response;
            break;
        case CallerAnswer::Failed:
        case CallerAnswer::Unknown:
        case CallerAnswer::Cancelled:
            ++(reply.answer == CallerAnswer::Failed ? result.failed : result.unknown);
            ++result.unanswered;
            break;
        }
    });
}

bool EmulatedCallers::isFar(const CallerJob &job, const TaskName &task, const std::string &rack)
{
    const auto &step = job.request.steps[task.step];
    if (!step.dataRack.empty()) {
        return rack != step.dataRack;
    }
    return step.rackLocal && std::any_of(job.rackOfTask.begin(), job.rackOfTask.end(), [&](const auto &other) {
               return other.first.step == task.step && other.second != rack;
           });
}

TaskProfile EmulatedCallers::profileOnRack(const TaskName &task, const std::string &rack)
{
    const auto found = m_jobs.find(task.jobId);
    if (found == m_jobs.end()) {
        return {};
    }
    auto &job = *found->second;
    if (job.request.steps[task.step].rackLocal) {
        job.rackOfTask[task] = rack;
    }
    auto profile = profileOf(task);
    if (isFar(job, task, rack)) {
        profile.runTime = std::chrono::duration_cast<Duration>(profile.runTime * m_farFactor);
    }
    return profile;
}

TaskProfile EmulatedCallers::profileOf(const TaskName &task) const
{
    TaskProfile profile;
    const auto found = m_jobs.find(task.jobId);
    if (found == m_jobs.end()) {
        return profile;
    }
    const auto &job = *found->second;
    profile.runTime = taskRunTime(job.kind, job.runTime, task.index);
    profile.demand = job.request.steps[task.step].demand;
    if (job.crashingTask == task.index) {
        profile.crashesAfter = CrashDelay;
    }
    return profile;
}

void EmulatedCallers::setCancelledShare(double share)
{
    m_cancelledShare = share;
}

void EmulatedCallers::setBrokenConnectionShare(double share)
{
    m_brokenConnectionShare = share;
}

void EmulatedCallers::setLateReads(double share, Duration longest)
{
    m_lateReadShare = share;
    m_longestReadDelay = longest;
}

void EmulatedCallers::shareIdsBetweenRoutes()
{
    m_sharesIds = true;
}

void EmulatedCallers::sendAgainAfterUnknownOutcomes()
{
    m_sendsAgainAfterUnknownOutcomes = true;
}

void EmulatedCallers::setCrashingShare(const std::string &route, double share)
{
    if (share > 0) {
        m_crashingShare[route] = share;
    } else {
        m_crashingShare.erase(route);
    }
}

void EmulatedCallers::setFarFactor(double factor)
{
    m_farFactor = factor;
}

void EmulatedCallers::setLoadFactor(double factor)
{
    m_loadFactor = factor;
}

void EmulatedCallers::setLoadFactorOfKind(const std::string &route, double factor)
{
    m_loadFactorOfKind[route] = factor;
}

const std::map<std::string, JobKindResult> &EmulatedCallers::results() const
{
    return m_results;
}

const std::map<std::string, JobKindResult> &EmulatedCallers::resultsOfLargeJobs() const
{
    return m_resultsOfLargeJobs;
}

const std::map<std::string, JobKindResult> &EmulatedCallers::resultsByZone() const
{
    return m_resultsByZone;
}

const std::vector<SubmittedJob> &EmulatedCallers::submittedJobs() const
{
    return m_submittedJobs;
}
} // namespace Anvilcart::Emulation
