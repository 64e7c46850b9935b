#pragma once

#include "config/configurationhistory.h"

#include <optional>
#include <string>

namespace Anvilcart
{
/// The path on the operator endpoint that returns the record in force.
constexpr const char *ConfigurationRecordPath = "/v1/configuration/record";

/// Encodes the JSON body that an entry host returns to its peers. Thread-safe.
std::string encode(const PeerConfiguration &configuration);

/// Decodes a body written by encode(); returns nothing if it is malformed or this release cannot read the record's
/// content. Thread-safe.
std::optional<PeerConfiguration> decodePeerConfiguration(const std::string &body);
} // namespace Anvilcart
