#pragma once

#include "config/configurationdiff.h"

#include <string>
#include <vector>

namespace Anvilcart
{
/// Lines, each indented and ended. Thread-safe.
std::string indented(const std::vector<std::string> &lines);

/// The changes for people, zone by zone. Thread-safe.
std::string changeReport(const std::vector<ZoneChanges> &changes);

/// The changes for scripts, as a JSON array. Thread-safe.
std::string changesAsJson(const std::vector<ZoneChanges> &changes);
} // namespace Anvilcart
