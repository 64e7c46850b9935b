#pragma once

#include "kernel/time.h"
#include "scheduling/scheduledjob.h"
#include "workload/resources.h"

#include <cstddef>
#include <string>
#include <unordered_map>

namespace Anvilcart::Fleet
{
/// How short the capacity of one service is.
struct CapacityShortage
{
    /// Waiting jobs that could meet their objective if they started now, but are forecast to miss it because of the work ahead of them.
    std::size_t jobsForecastToMiss = 0;
    std::size_t targets = 0;
};

/// Decides who waits and who is refused while the capacity does not cover the work. Serving a job that has missed its objective then makes
/// another one miss its own, so that it is refused at once and its caller can do something else. Has no effect while nearly all waiting
/// jobs are forecast to meet their objective. Not thread-safe.
class OverloadPolicy
{
public:
    /// Records that a task of this route was started.
    void onStarted(const std::string &route, TimePoint now);

    /// True when a waiting job of this route and timeliness, of which no task has started, is refused. Routes of which nothing was started
    /// for a second are exempt: what is forecast for them may be wrong, and refusing all of their jobs would never show it.
    bool refuses(const std::string &route, Timeliness timeliness, const CapacityShortage &shortage, TimePoint now) const;

private:
    std::unordered_map<std::string, TimePoint> m_lastStarts;
};

/// The largest share of any resource of the target's capacity that the demand takes. Thread-safe.
double dominantShare(const Resources &demand, const Resources &capacity);

/// True when tasks of the smallest waiting demand could use capacity that is too small for a task of this demand, so that capacity must be
/// reserved for it. Both are dominant shares of the same target. Among tasks of about the same size, a reservation would only delay the
/// ones that capacity becomes free for. Thread-safe.
bool needsReservation(double share, double smallestShare);
} // namespace Anvilcart::Fleet
