#pragma once

#include "kernel/time.h"

#include <string_view>

namespace Anvilcart::Fleet
{
struct Route;

/// How long the caller of a job waits for its answer. What the caller tells in its request counts; the route's time-out stands in for
/// callers that tell nothing readable, and a default for routes without one. Thread-safe.
Milliseconds callerLimit(std::string_view told, const Route &route);
} // namespace Anvilcart::Fleet
