#pragma once

#include "dispatch/taskoutcome.h"

namespace Anvilcart
{
/// What one outcome says of a target's health.
enum class HealthSign : std::uint8_t {
    Success,
    Failure,
    ConnectFailure,
    Neutral,
};

/// The sign that an outcome gives; a refusal for want of a slot or for leaving is no fault. Thread-safe.
HealthSign healthSignOf(const TaskOutcome &outcome);
} // namespace Anvilcart
