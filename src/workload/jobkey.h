#pragma once

#include <string>
#include <string_view>

namespace Anvilcart::Fleet
{
/// Callers of different queues choose the ids of their jobs independently, so that a job is identified by its id and its route together.
/// The key is one text for both. A text without a route is the key of a job from a host of an earlier version, and of jobs in tests.
/// Thread-safe.
std::string makeJobKey(std::string_view id, std::string_view route);

/// The id that the caller chose, by which targets name the job's tasks. Thread-safe.
std::string jobIdOf(std::string_view key);

/// The route of the job; empty when the key names none. Thread-safe.
std::string routeOf(std::string_view key);

/// True when both keys may name one job: their ids are equal, and so are their routes unless one of them names none. Thread-safe.
bool mayBeSameJob(std::string_view left, std::string_view right);
} // namespace Anvilcart::Fleet
