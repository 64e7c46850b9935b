#pragma once

#include <string>

namespace Anvilcart
{
/// The table of result codes as the page docs/RESULT-CODES.md. Thread-safe.
std::string resultCodePage();
} // namespace Anvilcart
