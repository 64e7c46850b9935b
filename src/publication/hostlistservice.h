#pragma once

#include "kernel/snapshot.h"
#include "publication/hostlist.h"

#include <memory>
#include <utility>

namespace Anvilcart
{
/// Holds the latest host list that was read from the platform.
class HostListService
{
public:
    /// The latest host list, or null before the first publish(); each published list has its own pointer. Thread-safe, never blocks.
    std::shared_ptr<const HostList> current() const
    {
        return m_current.read();
    }

    /// Replaces the host list. Thread-safe.
    void publish(HostList list)
    {
        m_current.publish(std::make_shared<const HostList>(std::move(list)));
    }

private:
    Snapshot<HostList> m_current;
};
} // namespace Anvilcart
