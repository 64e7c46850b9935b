#pragma once

namespace Anvilcart
{
/// How a verb ends.
enum class ExitCode {
    Success = 0,
    Failed = 1,
    BadInput = 2,
    Conflict = 3,
    Unreachable = 4,
    NotEverywhere = 5,
};
} // namespace Anvilcart
