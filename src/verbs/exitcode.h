#pragma once

namespace Anvilcart
{
/// How a verb ends; docs/OPERATING.md has the table.
enum class ExitCode {
    Success = 0,
    Failed = 1,
    BadInput = 2,
    /// Another operator changed the same file.
    Conflict = 3,
    /// The platform or a host does not answer.
    Unreachable = 4,
    /// The version was accepted, but is not in force on every entry host yet.
    NotEverywhere = 5,
    /// The change would plainly stop a site.
    Refused = 6,
};
} // namespace Anvilcart
