#pragma once

#include <string_view>

namespace Anvilcart
{
class Kernel;

/// A part of the daemon that the kernel starts, drains and stops.
/// The kernel calls every method on its main thread, one plug-in after another.
class Plugin
{
public:
    virtual ~Plugin() = default;

    /// The name in logs and in `anvilcart status`.
    virtual std::string_view name() const = 0;

    /// Provides services to the kernel and begins work. Precondition: plug-ins of earlier stages have started.
    virtual void start(Kernel &kernel) = 0;

    /// Takes no new work from now on; what is in flight goes on.
    virtual void beginDrain()
    {
    }

    /// True when nothing is in flight any more. Precondition: beginDrain() was called.
    virtual bool isDrained() const
    {
        return true;
    }

    /// Gives up on what is still in flight, with a truthful answer to each caller. Precondition: beginDrain() was called.
    virtual void onDrainLimit()
    {
    }

    /// Ends all work. The I/O threads still run when this is called.
    virtual void stop()
    {
    }
};
} // namespace Anvilcart
