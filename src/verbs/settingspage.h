#pragma once

#include "config/schema.h"

#include <string>

namespace Anvilcart
{
/// What `check --explain` prints for one key. Thread-safe.
std::string keyPage(const SchemaKey &key);

/// The table of every key as the page docs/SETTINGS.md. Thread-safe.
std::string settingsPage();
} // namespace Anvilcart
