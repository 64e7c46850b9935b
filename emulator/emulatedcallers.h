#pragma once

#include "emulator/callerconnections.h"
#include "emulator/emulatedhost.h"
#include "emulator/invariantchecker.h"
#include "emulator/jobkind.h"
#include "emulator/simulatedclock.h"
#include "emulator/simulatedtarget.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Anvilcart::Emulation
{
/// Number of jobs of one kind by the answer that callers got.
struct JobKindResult
{
    std::size_t submitted = 0;
    std::size_t inObjective = 0;
    /// Completed within three times the objective, and after that.
    std::size_t late = 0;
    std::size_t overdue = 0;
    std::size_t refused = 0;
    std::size_t unanswered = 0;
    /// How many of the unanswered jobs were reported as failed, and how many with an unknown outcome. The others got no answer in time.
    std::size_t failed = 0;
    std::size_t unknown = 0;
    /// From submission to refusal, over all refused jobs.
    Duration timeToRefusal {0};
};

/// A job that was submitted, for a replay of the same load.
struct SubmittedJob
{
    std::string route;
    Duration runTime {0};
    Duration objective {0};
    Duration submittedAt {0};
    /// How long each of its tasks runs on a target of ordinary speed.
    std::vector<Duration> taskRunTimes;
    bool isLarge = false;
};

/// The name under which the results of jobs with a crashing task are counted.
inline const std::string CrashingJobs = "crashing";

/// Callers that submit jobs to random hosts, and count their answers. Not thread-safe.
class EmulatedCallers
{
public:
    /// All arguments must outlive the callers.
    EmulatedCallers(SimulatedClock &clock,
                    std::mt19937_64 &random,
                    InvariantChecker &invariants,
                    const std::vector<std::unique_ptr<EmulatedHost>> &hosts);
    ~EmulatedCallers();

    /// Submits jobs of this kind from now on, until this time since the start of the emulation.
    void submitJobs(const JobKind &kind, Duration last);

    /// A host answers the caller of a job.
    void onAnswer(std::size_t host, const std::string &jobId, const Fleet::CallerReply &reply);

    /// True if a caller of the job is connected to the host, by what the host's system knows.
    bool isConnected(std::size_t host, const std::string &jobId) const;

    /// Breaks the connections of all callers to a host whose process has stopped.
    void onHostStopped(std::size_t host);

    /// How a task runs on a target of this rack to which it is sent, or runs there now; a default TaskProfile for unknown jobs. A task of a
    /// rack-local step runs longer once another task of the step was sent to another rack.
    TaskProfile profileOnRack(const Fleet::TaskName &task, const std::string &rack);

    /// How many times as long tasks take outside their data rack, or with their rack-local step spread over several racks.
    void setFarFactor(double factor);

    /// Shares of the jobs that are submitted from now on: those that their callers cancel halfway through the run time, and those whose
    /// connection to the entry host breaks early in their run time. The callers of the latter send them again, also after an unknown
    /// outcome.
    void setCancelledShare(double share);
    void setBrokenConnectionShare(double share);

    /// Hosts read this share of the jobs, and of the ends of connections, up to the longest delay late, from now on.
    void setLateReads(double share, Duration longest);

    /// Jobs of different routes that are submitted one after the other have the same id from now on.
    void shareIdsBetweenRoutes();

    /// Callers of the jobs that are submitted from now on send them again after an unknown outcome, as the protocol says.
    void sendAgainAfterUnknownOutcomes();

    /// The share of a route's jobs, submitted from now on, that have a task which crashes each target that starts it.
    void setCrashingShare(const std::string &route, double share);

    /// Multiplies the rates at which jobs of all kinds, or of one kind in addition, are submitted.
    void setLoadFactor(double factor);
    void setLoadFactorOfKind(const std::string &route, double factor);

    /// By the names of kinds, and CrashingJobs.
    const std::map<std::string, JobKindResult> &results() const;

    /// The same for the largest tenth of each kind, by run time, and for all jobs by the zone of the entry host.
    const std::map<std::string, JobKindResult> &resultsOfLargeJobs() const;
    const std::map<std::string, JobKindResult> &resultsByZone() const;

    /// All jobs in the order of their submission.
    const std::vector<SubmittedJob> &submittedJobs() const;

private:
    struct CallerJob;

    std::shared_ptr<CallerJob> makeJob(const JobKind &kind);
    std::string nextKey(const std::string &route);
    void submit(const std::shared_ptr<CallerJob> &job);
    void count(const CallerJob &job, const std::function<void(JobKindResult &)> &apply);
    void submitAgainAfter(Duration delay, const std::shared_ptr<CallerJob> &job);
    void closeConnection(const std::shared_ptr<CallerJob> &job);
    Duration drawReadDelay();
    void breakConnection(const std::shared_ptr<CallerJob> &job);
    TaskProfile profileOf(const Fleet::TaskName &task) const;
    static bool isFar(const CallerJob &job, const Fleet::TaskName &task, const std::string &rack);

    SimulatedClock &m_clock;
    std::mt19937_64 &m_random;
    InvariantChecker &m_invariants;
    const std::vector<std::unique_ptr<EmulatedHost>> &m_hosts;
    CallerConnections m_connections;
    std::map<std::string, std::shared_ptr<CallerJob>> m_jobs;
    std::map<std::string, JobKindResult> m_results;
    std::map<std::string, JobKindResult> m_resultsOfLargeJobs;
    std::map<std::string, JobKindResult> m_resultsByZone;
    std::vector<SubmittedJob> m_submittedJobs;
    double m_cancelledShare = 0;
    double m_brokenConnectionShare = 0;
    double m_lateReadShare = 0;
    Duration m_longestReadDelay {0};
    bool m_sendsAgainAfterUnknownOutcomes = false;
    std::map<std::string, double> m_crashingShare;
    double m_farFactor = 1;
    double m_loadFactor = 1;
    std::map<std::string, double> m_loadFactorOfKind;
    std::uint64_t m_jobCount = 0;
    bool m_sharesIds = false;
    /// The routes of the jobs that have the last id.
    std::set<std::string> m_routesOfLastId;
};
} // namespace Anvilcart::Emulation
