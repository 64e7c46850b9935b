#pragma once

#include "fleet/fleetframe.h"
#include "scheduling/jobsubmission.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace Anvilcart::Fleet
{
/// The runs that this dispatcher has started for other entry hosts and has not announced to them. The entry host of a job names its runs to
/// the next dispatcher, which can't tell by a target's listing whose they are. An announcement may be lost: the runs are stopped then, and
/// their tasks start again. Not thread-safe.
class StartAnnouncements
{
public:
    /// Adds a run that is being started.
    void add(const JobSubmission &job, RunIdentity run);

    /// Drops the runs of a job that has ended here.
    void remove(const JobSubmission &job);

    /// Removes and returns what the next frame to the entry host announces.
    std::vector<StartedRunsNotice> take(const std::string &entryHost);

    /// The number of jobs with runs that are not announced yet.
    std::size_t size() const;

private:
    /// By the keys of the jobs, of each entry host.
    std::map<std::string, std::map<std::string, StartedRunsNotice>> m_notices;
};
} // namespace Anvilcart::Fleet
