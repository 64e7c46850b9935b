#pragma once

#include "kernel/time.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Anvilcart::Fleet
{
/// The cancellations that other hosts are being told of. A cancellation is acknowledged only when every live host remembers it, since the
/// caller of the job may send it again over any of them and this host may be lost meanwhile. Not thread-safe.
class CancelAnnouncements
{
public:
    /// An announcement that has ended.
    struct Finished
    {
        std::string jobId;
        /// The hosts that asked for the cancellation.
        std::set<std::string> askingHosts;
        /// A caller of this host asked for it.
        bool isAskedHere = false;
        /// No live host has left it unconfirmed.
        bool isConfirmed = false;
    };

    /// Begins the announcement of a job to these hosts, or waits for the one that is under way. askingHost is empty for a caller of this
    /// host. True when the hosts must be told now.
    bool begin(const std::string &jobId, const std::string &askingHost, std::set<std::string> hosts, TimePoint endAt);

    /// A host remembers the cancellation, or is of a version that can't.
    void onConfirmed(const std::string &jobId, const std::string &host);

    /// A host is not live any more. It is told when it is live again.
    void onHostLost(const std::string &host);

    /// Ends and returns the announcements that are confirmed, or whose time is over.
    std::vector<Finished> takeFinished(TimePoint now);

    /// The jobs that are not decided yet.
    std::vector<std::string> jobs() const;

private:
    struct Announcement
    {
        std::set<std::string> unconfirmed;
        std::set<std::string> askingHosts;
        bool isAskedHere = false;
        TimePoint endAt;
    };

    std::map<std::string, Announcement> m_announcements;
};
} // namespace Anvilcart::Fleet
