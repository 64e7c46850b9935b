#pragma once

#include "fleet/fleetframe.h"
#include "kernel/time.h"

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

namespace Anvilcart::Fleet
{
/// Remembers which jobs were cancelled on request, for as long as their callers may send them again. The memory is bounded: a job that does
/// not fit must not be reported as cancelled. Not thread-safe.
class RememberedCancellations
{
public:
    /// How long a cancellation is remembered.
    static const Duration Retention;

    /// Remembers a job until this time, or longer if it is remembered for longer already. False when there is no room for it.
    bool add(const std::string &jobId, TimePoint until, TimePoint now);

    bool contains(const std::string &jobId, TimePoint now) const;

    /// All cancellations, for a host that may not know them, in an unspecified order.
    std::vector<CancelledJob> all(TimePoint now) const;

    void removeOld(TimePoint now);

    /// The number of remembered jobs.
    std::size_t size() const;

private:
    std::unordered_map<std::string, TimePoint> m_until;
};
} // namespace Anvilcart::Fleet
