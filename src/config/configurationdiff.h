#pragma once

#include "config/configuration.h"
#include "config/configurationfiles.h"

#include <string>
#include <vector>

namespace Anvilcart
{
/// What changes at one availability zone, or for all of them where the zone is empty.
struct ZoneChanges
{
    std::string zone;
    std::vector<std::string> lines;
};

/// Describes the changes from one configuration to the next, zone by zone, what holds everywhere first. Thread-safe.
std::vector<ZoneChanges> describeChanges(const Configuration &before, const Configuration &after);

/// Tells why the change would plainly stop a site or a team's callers; empty when it would not. Thread-safe.
std::vector<std::string> stoppingChanges(const Configuration &before, const Configuration &after);

/// Lines that were taken out ("-") and put in ("+") from one text to the next. Thread-safe.
std::vector<std::string> changedLines(const std::string &before, const std::string &after);
} // namespace Anvilcart
