#pragma once

#include "kernel/time.h"
#include "workload/targetcalls.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Anvilcart::Emulation
{
/// Checks, from what targets and callers see, what must hold whatever fails. Not thread-safe.
class Promises
{
public:
    /// A target has begun a run; overfull when its capacity is exceeded by it.
    void onRunBegun(const std::string &target, const Fleet::RunName &run, bool overfull, Duration at);
    void onRunEnded(const std::string &target, const Fleet::RunName &run);

    /// Every caller of this job was told that it has not run.
    void onToldNotRun(const std::string &jobId, Duration at);

    /// The job was submitted, for the first time or after its connection had broken. A refusal speaks of all submissions so far.
    void onSubmitted(const std::string &jobId);

    /// What did not hold, a line each.
    const std::vector<std::string> &broken() const;

    std::uint64_t runsBegun() const;

private:
    void note(const std::string &promise, const std::string &what, Duration at);

    std::map<Fleet::TaskName, std::set<std::string>> m_runningOn;
    std::set<std::string> m_everBegun;
    std::set<std::string> m_toldNotRun;
    std::vector<std::string> m_broken;
    std::uint64_t m_runsBegun = 0;
};
} // namespace Anvilcart::Emulation
