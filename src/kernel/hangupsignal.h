#pragma once

namespace Anvilcart
{
/// Keeps SIGHUP pending for this thread and those that it starts from now on. By default the signal ends the process, so that one which
/// asks for a reload must not arrive before its handler is installed.
void blockHangup();

/// Lets this thread receive SIGHUP, also one that is pending.
void unblockHangup();
} // namespace Anvilcart
