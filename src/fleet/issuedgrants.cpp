#include "fleet/issuedgrants.h"

#include <algorithm>

namespace Anvilcart::Fleet
{
namespace
{
/// The dispatcher's clock may run this much slower.
constexpr double ClockDrift = 0.02;
/// Records are kept this long after the last grant: longer than callers wait.
constexpr Seconds RecordRetention {30};
/// More than a host restarts in that time.
constexpr std::size_t MaxProcessesPerHost = 16;
/// Leases end this much later than by the dispatcher's clock, for drift and for the time until it has noticed the end of its grant.
constexpr Milliseconds LeaseExpiryMargin {120};
} // namespace

bool IssuedGrants::onReport(const std::string &host, std::uint64_t incarnation, std::uint64_t claims, Duration sentAt, TimePoint now)
{
    const auto [found, added] = m_records.try_emplace({host, incarnation});
    auto &record = found->second;
    if (added) {
        removeExcessProcesses(host, incarnation);
        record.epoch = m_firstEpoch;
    }
    if (!added && sentAt < record.reportSentAt) {
        return false;
    }
    record.reportSentAt = sentAt;
    record.claims = claims;
    // Reports of a process that is known to have ended do not come here, so that its end was a mistake.
    record.endedAt = TimePoint::max();
    if (added || sentAt >= record.frameSentAt) {
        record.frameSentAt = sentAt;
        record.frameArrivedAt = now;
    }
    return true;
}

void IssuedGrants::onFrame(const std::string &host, std::uint64_t incarnation, Duration sentAt, TimePoint now)
{
    const auto found = m_records.find({host, incarnation});
    if (found != m_records.end() && sentAt > found->second.frameSentAt) {
        found->second.frameSentAt = sentAt;
        found->second.frameArrivedAt = now;
    }
}

std::optional<JobGrant> IssuedGrants::renew(const std::string &host, std::uint64_t incarnation, Duration length)
{
    const auto found = m_records.find({host, incarnation});
    if (found == m_records.end()) {
        return std::nullopt;
    }
    auto &record = found->second;
    const auto drift = std::chrono::duration_cast<Duration>(length * ClockDrift);
    record.endsBy = std::max(record.endsBy, record.frameArrivedAt + length + drift);
    return JobGrant {record.epoch, TimePoint(record.frameSentAt + length), record.claims, incarnation};
}

const IssuedGrants::Record *IssuedGrants::find(const std::string &host, std::uint64_t incarnation) const
{
    const auto found = m_records.find({host, incarnation});
    return found == m_records.end() ? nullptr : &found->second;
}

std::uint64_t IssuedGrants::epoch(const std::string &host, std::uint64_t incarnation) const
{
    const auto *record = find(host, incarnation);
    return record == nullptr ? 0 : record->epoch;
}

void IssuedGrants::revoke(const std::string &host, std::uint64_t incarnation)
{
    const auto found = m_records.find({host, incarnation});
    if (found != m_records.end()) {
        auto &record = found->second;
        ++record.epoch;
        record.earlierEndBy = std::max(record.earlierEndBy, record.endsBy);
        record.endsBy = TimePoint();
    }
}

void IssuedGrants::onEnded(const std::string &host, std::uint64_t incarnation, TimePoint now)
{
    const auto found = m_records.find({host, incarnation});
    if (found != m_records.end()) {
        found->second.endedAt = std::min(found->second.endedAt, now);
    }
}

TimePoint IssuedGrants::endOf(const std::string &host, std::uint64_t incarnation, std::uint64_t epoch) const
{
    const auto *record = find(host, incarnation);
    return record == nullptr ? TimePoint() : std::min(record->endOf(epoch), record->endedAt);
}

void IssuedGrants::setLongestRunAfterGrant(const std::string &host, std::uint64_t incarnation, std::optional<Duration> length)
{
    m_records.at({host, incarnation}).longestRunAfterGrant = length;
}

TimePoint IssuedGrants::runsEndBy(const std::string &host, std::uint64_t incarnation, std::uint64_t epoch, Duration maxLease) const
{
    const auto leasesEndBy = endOf(host, incarnation, epoch) + maxLease + LeaseExpiryMargin;
    const auto *record = find(host, incarnation);
    if (record == nullptr || !record->longestRunAfterGrant) {
        return leasesEndBy;
    }
    // The end of the process ends its grants, but not the leases that it has sent under them.
    const auto afterGrant = *record->longestRunAfterGrant;
    const auto drift = std::chrono::duration_cast<Duration>(afterGrant * ClockDrift);
    return std::min(leasesEndBy, record->endOf(epoch) + afterGrant + drift);
}

/// Removes the process of the host that was heard least recently, if there are too many beside this one.
void IssuedGrants::removeExcessProcesses(const std::string &host, std::uint64_t newIncarnation)
{
    auto oldest = m_records.end();
    std::size_t processes = 0;
    for (auto it = m_records.lower_bound({host, 0}); it != m_records.end() && it->first.first == host; ++it) {
        if (it->first.second == newIncarnation) {
            continue;
        }
        ++processes;
        if (oldest == m_records.end() || it->second.frameArrivedAt < oldest->second.frameArrivedAt) {
            oldest = it;
        }
    }
    if (processes >= MaxProcessesPerHost) {
        m_firstEpoch = std::max(m_firstEpoch, oldest->second.epoch + 1);
        m_records.erase(oldest);
    }
}

void IssuedGrants::removeOld(TimePoint now)
{
    std::erase_if(m_records, [&](const auto &entry) {
        const auto &record = entry.second;
        const bool isOld = now - std::max({record.endsBy, record.earlierEndBy, record.frameArrivedAt}) > RecordRetention;
        if (isOld) {
            m_firstEpoch = std::max(m_firstEpoch, record.epoch + 1);
        }
        return isOld;
    });
}
} // namespace Anvilcart::Fleet
