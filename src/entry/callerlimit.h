#pragma once

#include "kernel/time.h"

#include <string_view>

namespace Anvilcart::Fleet
{
struct Route;

/// How long the caller of a job waits for its answer. requested is the caller's own timeout in milliseconds, as sent in its request. If
/// it is not a positive number, the route's timeout applies, or a default if the route has none. Thread-safe.
Milliseconds callerLimit(std::string_view requested, const Route &route);
} // namespace Anvilcart::Fleet
