#include "scheduling/nearplacewait.h"

#include <algorithm>

namespace Anvilcart::Fleet
{
namespace
{
/// A wait may last at least this much longer than forecast: ends of runs become known some milliseconds late.
constexpr Milliseconds MinWaitTolerance {10};

/// The end of a wait that must not make a far run miss this limit; where a far run misses it in any case, a near run.
TimePoint latestWaitFor(const NearPlaceForecast &forecast, TimePoint limit)
{
    const auto lastEnd = limit - forecast.remainingPath;
    const bool isMetByFarRun = forecast.farAt + forecast.farRunTime <= lastEnd;
    return lastEnd - (isMetByFarRun ? forecast.farRunTime : forecast.nearRunTime);
}
} // namespace

NearPlaceDecision decideNearPlace(const NearPlaceForecast &forecast)
{
    if (!forecast.nearAt) {
        return StartFar {};
    }
    const auto nearAt = *forecast.nearAt;
    if (nearAt <= forecast.now) {
        return StartNear {};
    }
    auto latest = latestWaitFor(forecast, forecast.callerDeadline);
    const auto latestInTime = latestWaitFor(forecast, forecast.objectiveAt);
    // An objective that is missed either way is no reason to give up a wait. The caller's deadline is one: only an early start may meet it.
    if (nearAt <= latestInTime || forecast.farAt + forecast.farRunTime + forecast.remainingPath <= forecast.objectiveAt) {
        latest = std::min(latest, latestInTime);
    }
    if (nearAt > latest) {
        return StartFar {};
    }
    const auto nearEnd = nearAt + forecast.nearRunTime;
    const auto farEnd = forecast.farAt + forecast.farRunTime;
    const bool endsInTime = nearEnd + forecast.remainingPath <= forecast.objectiveAt;
    if (nearEnd >= farEnd && !(endsInTime && nearEnd - farEnd < forecast.delayOfOthers)) {
        return StartFar {};
    }
    // A wait beyond its forecast is given up once it has cost as much more time as a far run: the task then takes at most twice as long as
    // with the better choice in hindsight. Giving up at 1.3 times the forecast was worse on each emulated load with hot racks.
    const auto tolerance = std::max<Duration>(MinWaitTolerance, forecast.farRunTime - forecast.nearRunTime);
    return WaitForNear {std::min(latest, nearAt + tolerance)};
}
} // namespace Anvilcart::Fleet
