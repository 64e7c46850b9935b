#include "scheduling/crashsuspects.h"

#include <algorithm>

namespace Anvilcart::Fleet
{
namespace
{
/// By the users' rule, a task may be given up once it has crashed this many targets.
constexpr std::uint32_t CrashesToGiveUp = 2;
/// A task is given up after it was alone on this many lost targets, even if each of them was seen by another host.
constexpr std::uint32_t MaxLostAlone = 2;
/// Runs that started this long before the newest one of a lost target are suspected with it: tasks of one job start together.
constexpr Milliseconds SuspicionSpan {50};
/// Targets whose last answers differ by less than this may have been lost together. Busy targets answer several times in 300 ms.
constexpr Milliseconds SimultaneousSpan {150};
/// This many other targets lost together, and this share of the service's targets, are an outage.
constexpr std::size_t MinOutageTargets = 3;
constexpr std::size_t OutageDivisor = 8;
/// Callers wait for at most 14 s on the sites.
constexpr Seconds RecordRetention {15};
} // namespace

std::vector<TaskName>
CrashSuspects::onTargetLost(const TargetLoss &loss, const std::vector<TimePoint> &otherSilent, std::size_t serviceTargets, TimePoint now)
{
    forgetOldRecords(now);
    const bool outage = isOutage(loss, otherSilent, serviceTargets);
    if (!loss.runs.front().alone) {
        m_recentLosses.push_back(loss.lastAnswerAt);
    }
    if (outage) {
        return {};
    }
    std::vector<TaskName> changed;
    for (const auto &run : loss.runs) {
        // A start without a reply may never have reached the target. A run of an unknown job says nothing of any.
        if (run.phase != RunPhase::Running || !run.route) {
            continue;
        }
        auto &record = m_records[run.name.task];
        ++record.lostTargets;
        record.runsAlone = false;
        record.changedAt = now;
        record.suspected = record.suspected || record.lostTargets >= CrashesToGiveUp || newestStartAt(loss) - run.sentAt <= SuspicionSpan;
        record.lostAlone += loss.runs.size() == 1 ? 1 : 0;
        record.givenUp = record.givenUp || (loss.runs.size() == 1 && record.lostTargets >= CrashesToGiveUp);
        changed.push_back(run.name.task);
    }
    m_unexplainedLosses.push_back({loss.target, changed, loss.lastAnswerAt});
    if (loss.evidence == LossEvidence::Restarted) {
        onTargetRestarted(loss.target);
    }
    return changed;
}

bool CrashSuspects::isOutage(const TargetLoss &loss, const std::vector<TimePoint> &otherSilent, std::size_t serviceTargets) const
{
    const auto isSimultaneous = [&](TimePoint lastAnswerAt) {
        return std::chrono::abs(lastAnswerAt - loss.lastAnswerAt) <= SimultaneousSpan;
    };
    const auto count = std::count_if(otherSilent.begin(), otherSilent.end(), isSimultaneous)
        + std::count_if(m_recentLosses.begin(), m_recentLosses.end(), isSimultaneous);
    return static_cast<std::size_t>(count) >= std::max(MinOutageTargets, serviceTargets / OutageDivisor);
}

void CrashSuspects::onStartedAlone(const TaskName &task)
{
    m_records[task].runsAlone = true;
}

void CrashSuspects::onEndedAlone(const TaskName &task)
{
    const auto found = m_records.find(task);
    if (found != m_records.end()) {
        found->second.runsAlone = false;
    }
}

void CrashSuspects::onTargetRestarted(const std::string &target)
{
    for (const auto &loss : m_unexplainedLosses) {
        if (loss.target != target) {
            continue;
        }
        for (const auto &task : loss.tasks) {
            const auto record = m_records.find(task);
            if (record != m_records.end()) {
                ++record->second.crashedTargets;
            }
        }
    }
    std::erase_if(m_unexplainedLosses, [&](const UnexplainedLoss &loss) {
        return loss.target == target;
    });
}

bool CrashSuspects::hasUnexplainedLosses() const
{
    return !m_unexplainedLosses.empty();
}

void CrashSuspects::merge(const std::string &jobId, const std::vector<TaskCrashes> &crashes, TimePoint now)
{
    for (const auto &row : crashes) {
        auto &record = m_records[{jobId, 0, row.step, row.index}];
        record.lostTargets = std::max(record.lostTargets, row.lostTargets);
        record.crashedTargets = std::max(record.crashedTargets, row.crashedTargets);
        record.lostAlone = std::max(record.lostAlone, row.lostAlone);
        record.suspected = record.suspected || row.suspected;
        record.changedAt = now;
    }
}

void CrashSuspects::beginJob(const std::string &jobId, const std::string &route)
{
    const auto known = m_routes.find(jobId);
    if (known != m_routes.end() && known->second != route) {
        clear(jobId);
    }
}

void CrashSuspects::setRoute(const std::string &jobId, const std::string &route)
{
    m_routes[jobId] = route;
}

void CrashSuspects::clear(const std::string &jobId)
{
    m_routes.erase(jobId);
    for (auto it = firstRecordOf(jobId); it != m_records.end() && it->first.jobId == jobId;) {
        it = m_records.erase(it);
    }
}

bool CrashSuspects::mustRunAlone(const TaskName &task) const
{
    const auto found = m_records.find(task);
    return found != m_records.end() && found->second.suspected;
}

CrashVerdict CrashSuspects::verdictOf(const Record &record)
{
    if (!record.givenUp && record.lostAlone < MaxLostAlone) {
        return CrashVerdict::Startable;
    }
    return record.crashedTargets >= CrashesToGiveUp ? CrashVerdict::Crashing : CrashVerdict::GivenUp;
}

CrashVerdict CrashSuspects::verdictOn(const TaskName &task) const
{
    const auto found = m_records.find(task);
    return found == m_records.end() ? CrashVerdict::Startable : verdictOf(found->second);
}

CrashVerdict CrashSuspects::verdictOnJob(const std::string &jobId) const
{
    auto worst = CrashVerdict::Startable;
    for (auto it = firstRecordOf(jobId); it != m_records.end() && it->first.jobId == jobId; ++it) {
        worst = std::max(worst, verdictOf(it->second));
    }
    return worst;
}

std::vector<TaskCrashes> CrashSuspects::recordsOf(const std::string &jobId) const
{
    std::vector<TaskCrashes> rows;
    for (auto it = firstRecordOf(jobId); it != m_records.end() && it->first.jobId == jobId; ++it) {
        const auto &[task, record] = *it;
        const std::uint32_t unseen = record.runsAlone ? 1 : 0;
        rows.push_back(
            {task.step, task.index, record.lostTargets + unseen, record.crashedTargets, record.lostAlone + unseen, record.suspected});
    }
    return rows;
}

std::map<TaskName, CrashSuspects::Record>::const_iterator CrashSuspects::firstRecordOf(const std::string &jobId) const
{
    return m_records.lower_bound({jobId, 0, 0, 0});
}

void CrashSuspects::forgetOldRecords(TimePoint now)
{
    std::erase_if(m_records, [now](const auto &entry) {
        return now - entry.second.changedAt > RecordRetention;
    });
    std::erase_if(m_routes, [this](const auto &entry) {
        const auto first = firstRecordOf(entry.first);
        return first == m_records.end() || first->first.jobId != entry.first;
    });
    std::erase_if(m_unexplainedLosses, [now](const UnexplainedLoss &loss) {
        return now - loss.lastAnswerAt > RecordRetention;
    });
    std::erase_if(m_recentLosses, [now](TimePoint lastAnswerAt) {
        return now - lastAnswerAt > RecordRetention;
    });
}
} // namespace Anvilcart::Fleet
