#pragma once

#include "kernel/raceannotations.h"

#include <urcu-bp.h>

#include <atomic>
#include <memory>
#include <mutex>

namespace Anvilcart
{
/// One current value that many threads read without locks while it is replaced (read-copy-update).
/// A reader keeps the value that it read for as long as it holds the pointer.
template<typename T>
class Snapshot
{
public:
    using Pointer = std::shared_ptr<const T>;

    Snapshot() = default;

    ~Snapshot()
    {
        delete m_current.load(std::memory_order_relaxed);
    }

    Snapshot(const Snapshot &) = delete;
    Snapshot &operator=(const Snapshot &) = delete;

    /// The current value, or null before the first publish(). Thread-safe, never blocks.
    Pointer read() const
    {
        urcu_bp_read_lock();
        Pointer *current = m_current.load(std::memory_order_acquire);
        Pointer value = current != nullptr ? *current : Pointer();
        annotateReadEnd(this);
        urcu_bp_read_unlock();
        return value;
    }

    /// Replaces the value and waits until no reader is inside read() any more. Thread-safe.
    void publish(Pointer value)
    {
        const std::lock_guard<std::mutex> lock(m_writers);
        const Pointer *previous = m_current.exchange(new Pointer(std::move(value)), std::memory_order_acq_rel);
        urcu_bp_synchronize_rcu();
        annotateGracePeriodEnd(this);
        delete previous;
    }

private:
    std::atomic<Pointer *> m_current = nullptr;
    std::mutex m_writers;
};
} // namespace Anvilcart
