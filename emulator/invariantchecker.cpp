#include "emulator/invariantchecker.h"

namespace Anvilcart::Emulation
{
namespace
{
std::string textOf(const Fleet::RunName &run)
{
    return run.task.jobId + "/" + std::to_string(run.task.step) + "/" + std::to_string(run.task.index) + "#" + std::to_string(run.run);
}
} // namespace

void Promises::onRunBegun(const std::string &target, const Fleet::RunName &run, bool overfull, Duration at)
{
    ++m_runsBegun;
    if (overfull) {
        note("capacity", textOf(run) + " exceeds " + target, at);
    }
    auto &targets = m_runningOn[run.task];
    if (!targets.empty()) {
        note("single run", textOf(run) + " on " + target + " while it runs on " + *targets.begin(), at);
    }
    targets.insert(target);
    m_everBegun.insert(run.task.jobId);
    if (m_toldNotRun.contains(run.task.jobId)) {
        note("true refusal", textOf(run) + " starts on " + target + " after its caller was told that it has not run", at);
    }
}

void Promises::onRunEnded(const std::string &target, const Fleet::RunName &run)
{
    m_runningOn[run.task].erase(target);
}

void Promises::onToldNotRun(const std::string &jobId, Duration at)
{
    if (m_everBegun.contains(jobId)) {
        note("true refusal", jobId + " was told not run, but tasks had started", at);
    }
    m_toldNotRun.insert(jobId);
}

void Promises::onSubmitted(const std::string &jobId)
{
    m_toldNotRun.erase(jobId);
}

const std::vector<std::string> &Promises::broken() const
{
    return m_broken;
}

std::uint64_t Promises::runsBegun() const
{
    return m_runsBegun;
}

void Promises::note(const std::string &promise, const std::string &what, Duration at)
{
    m_broken.push_back(std::to_string(toMilliseconds(at)) + " ms: " + promise + ": " + what);
}
} // namespace Anvilcart::Emulation
