#include "scheduling/nearplacewait.h"

#include <algorithm>

namespace Anvilcart::Fleet
{
namespace
{
/// A wait may last at least this much longer than forecast: ends of runs become known some milliseconds late.
constexpr Milliseconds MinWaitTolerance {10};

/// The end of a wait that must not make the task miss this limit. A limit that is missed in any case is no reason to give up a wait.
TimePoint latestWaitFor(const NearPlaceForecast &forecast, TimePoint limit)
{
    const auto lastEnd = limit - forecast.remainingPath;
    if (forecast.farAt + forecast.farRunTime <= lastEnd) {
        return lastEnd - forecast.farRunTime;
    }
    const auto latestNearStart = lastEnd - forecast.nearRunTime;
    return *forecast.nearAt <= latestNearStart ? latestNearStart : TimePoint::max();
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
    const auto latest = std::min(latestWaitFor(forecast, forecast.objectiveAt), latestWaitFor(forecast, forecast.callerDeadline));
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
