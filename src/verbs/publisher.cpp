#include "verbs/publisher.h"

#include "config/configurationdiff.h"
#include "config/configurationmerge.h"
#include "model/resultcode.h"
#include "verbs/changereport.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>

#include <algorithm>
#include <iostream>

namespace Anvilcart
{
namespace asio = boost::asio;

namespace
{
constexpr Milliseconds ReadBackPeriod {100};
constexpr Seconds AppendAgainAfter {3};
constexpr Milliseconds SurveyPeriod {100};

asio::awaitable<void> sleepFor(Duration duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

void printError(ResultCode code, const std::string &text)
{
    std::cerr << "publish: " << static_cast<int>(code) << " " << info(code).name << ": " << text << "\n";
}

/// What a set means to this release; an empty configuration where it cannot read it.
Configuration meaningOf(const std::vector<ConfigurationFile> &files)
{
    auto checked = checkFiles(files);
    auto *good = std::get_if<CheckedFiles>(&checked);
    return good != nullptr ? std::move(good->configuration) : Configuration();
}
} // namespace

Publisher::Publisher(ConfigurationLog &log, PublishOptions options)
    : m_log(log)
    , m_options(std::move(options))
{
}

asio::awaitable<ExitCode> Publisher::publish(Edit edit)
{
    for (;;) {
        const auto current = m_log.history().current().value_or(ConfigurationRecord());
        const auto merged = mergeFiles(edit.base, edit.own, current.files);
        m_takenOver = merged.takenOver;
        if (!merged.conflicts.empty()) {
            printConflict(edit, current, merged.conflicts);
            co_return ExitCode::Conflict;
        }
        m_files = merged.files;
        if (current.version > 0 && merged.files == current.files) {
            std::cout << "nothing to publish: version " << current.version << " holds this already\n";
            m_version = current.version;
            if (m_options.dryRun) {
                co_return ExitCode::Success;
            }
            co_return co_await finish();
        }
        const auto checked = checkFiles(merged.files);
        if (const auto *error = std::get_if<ConfigurationError>(&checked)) {
            printMistakes(*error);
            co_return ExitCode::BadInput;
        }
        const auto before = meaningOf(current.files);
        const auto &after = std::get<CheckedFiles>(checked).configuration;
        std::cout << "changes from version " << current.version << ":\n" << changeReport(describeChanges(before, after));
        if (!isSafe(before, after)) {
            co_return ExitCode::Refused;
        }
        if (m_options.dryRun) {
            std::cout << "dry run: nothing was published\n";
            co_return ExitCode::Success;
        }
        const auto record = makeRecord(merged.files);
        const auto verdict = co_await settle(record);
        if (!verdict) {
            printError(ResultCode::PlatformUnavailable,
                       "the log neither confirmed nor denied version " + std::to_string(record.version)
                           + "; it may still be accepted; run status, then publish again");
            co_return ExitCode::Unreachable;
        }
        if (*verdict != RecordVerdict::LostRace) {
            m_version = record.version;
            std::cout << "accepted as version " << record.version << "\n";
            co_return co_await finish();
        }
        std::cout << "another operator was first with version " << m_log.history().version() << "\n";
    }
}

std::uint64_t Publisher::version() const
{
    return m_version;
}

const std::vector<ConfigurationFile> &Publisher::files() const
{
    return m_files;
}

const std::vector<std::string> &Publisher::takenOver() const
{
    return m_takenOver;
}

bool Publisher::isSafe(const Configuration &before, const Configuration &after) const
{
    const auto reasons = stoppingChanges(before, after);
    for (const auto &reason : reasons) {
        if (m_options.force) {
            std::cout << "forced: " << reason << "\n";
        } else {
            printError(ResultCode::PublishRefused, reason);
        }
    }
    if (reasons.empty() || m_options.force) {
        return true;
    }
    std::cerr << "publish: nothing was published; add --force if that is meant\n";
    return false;
}

asio::awaitable<std::optional<RecordVerdict>> Publisher::settle(const ConfigurationRecord &record)
{
    const auto limit = Clock::now() + m_options.settleLimit;
    auto appendAt = Clock::now();
    bool confirmed = false;
    // The same record may be appended again: once one copy is accepted or has lost, every other copy loses.
    while (Clock::now() < limit) {
        if (!confirmed && Clock::now() >= appendAt) {
            confirmed = co_await m_log.append(record);
            appendAt = Clock::now() + AppendAgainAfter;
        }
        co_await m_log.refresh();
        const auto verdict = m_log.verdictOf(record.id);
        if (verdict && *verdict != RecordVerdict::Deferred) {
            co_return verdict;
        }
        co_await sleepFor(ReadBackPeriod);
    }
    co_return std::nullopt;
}

asio::awaitable<ExitCode> Publisher::finish()
{
    if (!m_options.waitForHosts) {
        co_return ExitCode::Success;
    }
    const auto limit = Clock::now() + m_options.hostLimit;
    std::vector<HostReport> missing;
    std::size_t hosts = 0;
    do {
        const auto list = co_await m_log.hosts();
        if (list) {
            missing = co_await surveyHosts(*list);
            hosts = missing.size();
            std::erase_if(missing, [this](const HostReport &report) {
                return isInForce(report, m_version);
            });
        }
        if (list && missing.empty()) {
            std::cout << "version " << m_version << " is in force on " << hosts << " of " << hosts << " entry hosts\n";
            co_return ExitCode::Success;
        }
        co_await sleepFor(SurveyPeriod);
    } while (Clock::now() < limit);
    printError(ResultCode::NotInForceEverywhere,
               "version " + std::to_string(m_version) + " is in force on " + std::to_string(hosts - missing.size()) + " of "
                   + std::to_string(hosts) + " entry hosts; missing:");
    for (const auto &report : missing) {
        std::cerr << "  " << report.host << " (" << report.zone
                  << "): " << (report.status ? "runs version " + std::to_string(report.status->version) : "not reached: " + report.error)
                  << "\n";
    }
    co_return ExitCode::NotEverywhere;
}

ConfigurationRecord Publisher::makeRecord(const std::vector<ConfigurationFile> &files) const
{
    ConfigurationRecord record;
    record.id = boost::uuids::to_string(boost::uuids::random_generator()());
    record.parent = m_log.history().version();
    record.version = record.parent + 1;
    record.author = m_options.author;
    record.comment = m_options.comment;
    record.files = files;
    return record;
}

void Publisher::printConflict(const Edit &edit, const ConfigurationRecord &current, const std::vector<std::string> &names) const
{
    printError(ResultCode::PublishConflict,
               "version " + std::to_string(current.version) + " changed the same file; nothing was published, your files are as they were");
    for (const auto &name : names) {
        const auto textIn = [&](const std::vector<ConfigurationFile> &files) {
            const auto *content = findFile(files, name);
            return content == nullptr ? std::string() : *content;
        };
        std::cerr << name << ", changed up to version " << current.version << " by " << current.author << ":\n"
                  << indented(changedLines(textIn(edit.base), textIn(current.files))) << name << ", your edit:\n"
                  << indented(changedLines(textIn(edit.base), textIn(edit.own)));
    }
    std::cerr << "publish: bring their lines into your files, then publish with --from " << current.version << "\n";
}
} // namespace Anvilcart
