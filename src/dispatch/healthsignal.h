#pragma once

#include "dispatch/taskoutcome.h"

namespace Anvilcart
{
/// What an outcome indicates about the health of its target.
enum class HealthSignal : std::uint8_t {
    Success,
    Failure,
    ConnectFailure,
    Neutral,
};

/// Classifies an outcome. A refusal because no slot is free or the target is leaving is neutral. Thread-safe.
HealthSignal healthSignalOf(const TaskOutcome &outcome);
} // namespace Anvilcart
