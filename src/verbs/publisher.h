#pragma once

#include "verbs/checkedfiles.h"
#include "verbs/configurationlog.h"
#include "verbs/exitcode.h"
#include "verbs/hostsurvey.h"

#include <boost/asio/awaitable.hpp>

#include <string>
#include <vector>

namespace Anvilcart
{
/// How a publish is to go.
struct PublishOptions
{
    std::string author;
    std::string comment;
    bool dryRun = false;
    bool force = false;
    bool waitForHosts = true;
    Seconds settleLimit {60};
    Seconds hostLimit {10};
};

/// An operator's edit: the set that it was made from and the set that it became.
struct Edit
{
    std::vector<ConfigurationFile> base;
    std::vector<ConfigurationFile> own;
};

/// Makes an edit the next version and tells the operator what happens. Not thread-safe.
class Publisher
{
public:
    /// The log outlives the publisher.
    Publisher(ConfigurationLog &log, PublishOptions options);

    /// Publishes an edit on top of what is current; goes on where another operator was first and changed other files.
    /// Precondition: the log was refreshed and is established.
    boost::asio::awaitable<ExitCode> publish(Edit edit);

    /// The version that holds the edit; 0 where there is none.
    std::uint64_t version() const;

    /// The files of that version.
    const std::vector<ConfigurationFile> &files() const;

    /// The names of files that other operators changed since the edit's base.
    const std::vector<std::string> &takenOver() const;

private:
    bool isSafe(const Configuration &before, const Configuration &after) const;
    boost::asio::awaitable<std::optional<RecordVerdict>> settle(const ConfigurationRecord &record);
    boost::asio::awaitable<ExitCode> finish();
    ConfigurationRecord makeRecord(const std::vector<ConfigurationFile> &files) const;
    void printConflict(const Edit &edit, const ConfigurationRecord &current, const std::vector<std::string> &names) const;

    ConfigurationLog &m_log;
    PublishOptions m_options;
    std::uint64_t m_version = 0;
    std::vector<ConfigurationFile> m_files;
    std::vector<std::string> m_takenOver;
};
} // namespace Anvilcart
