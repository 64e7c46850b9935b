#include "scheduling/heldgrants.h"

#include <algorithm>

namespace Anvilcart::Fleet
{
HeldGrants::Change HeldGrants::onGrant(const std::string &entryHost, std::uint64_t entryIncarnation, const JobGrant &grant, TimePoint now)
{
    auto &held = m_grants[entryHost];
    auto confirmed = grant;
    confirmed.until = grant.confirmedClaims >= m_requiredClaims ? grant.until : std::min(grant.until, now);
    if (held.entryIncarnation == entryIncarnation && grant.epoch < held.newest.epoch) {
        return Change::Outdated;
    }
    const bool hasRestarted = held.entryIncarnation != 0 && held.entryIncarnation != entryIncarnation;
    const bool isExtension = held.newest.until <= now || grant.confirmedClaims > held.newest.confirmedClaims;
    const bool isRenewal = held.entryIncarnation == entryIncarnation && grant.epoch == held.newest.epoch;
    if (isRenewal) {
        confirmed.until = std::max(held.newest.until, confirmed.until);
        confirmed.confirmedClaims = std::max(held.newest.confirmedClaims, confirmed.confirmedClaims);
    }
    const auto until = std::exchange(confirmed.until, held.newest.until);
    held.newest = confirmed;
    held.entryIncarnation = entryIncarnation;
    setEnd(entryHost, held.newest, until);
    if (hasRestarted) {
        return Change::EntryRestarted;
    }
    if (!isRenewal) {
        return Change::EpochRaised;
    }
    return isExtension ? Change::Extended : Change::Renewed;
}

void HeldGrants::setEnd(const std::string &entryHost, JobGrant &grant, TimePoint until)
{
    m_ends.erase({grant.until, entryHost});
    m_expiries.erase({grant.until + GrantGracePeriod, entryHost});
    grant.until = until;
    m_ends.emplace(until, entryHost);
    m_expiries.emplace(until + GrantGracePeriod, entryHost);
}

void HeldGrants::endAll(std::uint64_t claims, TimePoint now)
{
    m_requiredClaims = claims + 1;
    for (auto &[entryHost, held] : m_grants) {
        if (held.newest.until > now) {
            setEnd(entryHost, held.newest, now);
        }
    }
}

bool HeldGrants::isValid(const std::string &entryHost, std::uint64_t epoch, TimePoint now) const
{
    return now < endOf(entryHost, epoch);
}

TimePoint HeldGrants::endOf(const std::string &entryHost, std::uint64_t epoch) const
{
    if (epoch == 0) {
        return TimePoint::max();
    }
    const auto held = m_grants.find(entryHost);
    return held != m_grants.end() && held->second.newest.epoch == epoch ? held->second.newest.until : TimePoint();
}

std::uint64_t HeldGrants::confirmedClaims(const std::string &entryHost) const
{
    const auto held = m_grants.find(entryHost);
    return held == m_grants.end() ? 0 : held->second.newest.confirmedClaims;
}

std::vector<std::string> HeldGrants::takeUntil(Ends &ends, TimePoint time)
{
    std::vector<std::string> hosts;
    while (!ends.empty() && ends.begin()->first <= time) {
        hosts.push_back(ends.begin()->second);
        ends.erase(ends.begin());
    }
    return hosts;
}

std::vector<std::string> HeldGrants::takeEnded(TimePoint now)
{
    return takeUntil(m_ends, now);
}

std::vector<std::string> HeldGrants::takeExpired(TimePoint now)
{
    return takeUntil(m_expiries, now);
}
} // namespace Anvilcart::Fleet
