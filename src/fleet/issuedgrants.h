#pragma once

#include "kernel/time.h"
#include "scheduling/heldgrants.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace Anvilcart::Fleet
{
/// The grants that an entry host has given to dispatchers, and when each has certainly ended. A grant counts from the sending of the
/// dispatcher's last frame, on the dispatcher's clock; here it counts from the arrival of that frame, which is later. So it ends at the
/// dispatcher first, whatever the delays of messages, and clocks need not agree. Not thread-safe.
class IssuedGrants
{
public:
    /// Records a report of a dispatcher that had made this number of claims. sentAt is on the dispatcher's clock. False when a newer
    /// report of the same incarnation has arrived before.
    bool onReport(const std::string &host, std::uint64_t incarnation, std::uint64_t claims, Duration sentAt, TimePoint now);

    /// Records a frame other than a report from which the next grant counts. Has no effect before the first report of this incarnation, nor
    /// if a newer frame has arrived before. sentAt is on the dispatcher's clock. Precondition, as for onReport(): the callers of all jobs
    /// that the dispatcher has are seen to be connected before the next call of renew().
    void onFrame(const std::string &host, std::uint64_t incarnation, Duration sentAt, TimePoint now);

    /// Records how long the dispatcher's runs outlast their grants, as it has announced; nothing for one of an earlier version, whose runs
    /// end with the longest lease only. Precondition: a report of this incarnation was recorded.
    void setLongestRunAfterGrant(const std::string &host, std::uint64_t incarnation, std::optional<Duration> length);

    /// The grant for the next frame to the dispatcher, which ends this long after its last frame; nothing without a report.
    std::optional<JobGrant> renew(const std::string &host, std::uint64_t incarnation, Duration length);

    /// The epoch under which jobs are submitted to the dispatcher; 0 without a report.
    std::uint64_t epoch(const std::string &host, std::uint64_t incarnation) const;

    /// Takes back all jobs that the dispatcher has by now.
    void revoke(const std::string &host, std::uint64_t incarnation);

    /// The incarnation of the dispatcher has ended, and all of its grants with it.
    void onEnded(const std::string &host, std::uint64_t incarnation, TimePoint now);

    /// When every grant under this epoch has ended, if it is not renewed.
    TimePoint endOf(const std::string &host, std::uint64_t incarnation, std::uint64_t epoch) const;

    /// When all runs that the dispatcher started, or may yet start, under this epoch have ended, if it is not renewed. Leases last for
    /// maxLease at most.
    TimePoint runsEndBy(const std::string &host, std::uint64_t incarnation, std::uint64_t epoch, Duration maxLease) const;

    /// Removes the records of dispatchers whose grants ended long ago.
    void removeOld(TimePoint now);

private:
    void removeExcessProcesses(const std::string &host, std::uint64_t newIncarnation);

    using Key = std::pair<std::string, std::uint64_t>;

    struct Record
    {
        std::uint64_t epoch = 1;
        Duration reportSentAt {0};
        /// The last frame, which may be the report.
        Duration frameSentAt {0};
        TimePoint frameArrivedAt;
        std::uint64_t claims = 0;
        /// When the grants of the present epoch end, and those of all earlier ones.
        TimePoint endsBy;
        TimePoint earlierEndBy;
        /// When the process had ended.
        TimePoint endedAt = TimePoint::max();
        std::optional<Duration> longestRunAfterGrant;

        /// When the grants of this epoch end if the process lives.
        TimePoint endOf(std::uint64_t ofEpoch) const
        {
            return ofEpoch == epoch ? endsBy : earlierEndBy;
        }
    };

    const Record *find(const std::string &host, std::uint64_t incarnation) const;

    std::map<Key, Record> m_records;
    /// The epoch of new records. Above those of removed ones, since their dispatchers refuse lower epochs if they are seen again.
    std::uint64_t m_firstEpoch = 1;
};
} // namespace Anvilcart::Fleet
