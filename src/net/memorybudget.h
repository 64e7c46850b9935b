#pragma once

#include <atomic>
#include <cstddef>

namespace Anvilcart
{
/// A part of a total that several connections share, held until release() or its end. Used by one thread; the total may be shared by more.
class MemoryReservation
{
public:
    /// The total outlives the reservation.
    explicit MemoryReservation(std::atomic<std::size_t> &total)
        : m_total(total)
    {
    }

    ~MemoryReservation()
    {
        release();
    }

    MemoryReservation(const MemoryReservation &) = delete;
    MemoryReservation &operator=(const MemoryReservation &) = delete;

    /// Holds this many bytes instead of the present number. False, and nothing changes, if that is more and the total would exceed the
    /// limit.
    bool resize(std::size_t bytes, std::size_t limit)
    {
        if (bytes > m_bytes && m_total.fetch_add(bytes - m_bytes) + (bytes - m_bytes) > limit) {
            m_total.fetch_sub(bytes - m_bytes);
            return false;
        }
        if (bytes < m_bytes) {
            m_total.fetch_sub(m_bytes - bytes);
        }
        m_bytes = bytes;
        return true;
    }

    /// Holds this many bytes, even beyond the limit: for what must not be refused.
    void set(std::size_t bytes)
    {
        m_total.fetch_add(bytes);
        m_total.fetch_sub(m_bytes);
        m_bytes = bytes;
    }

    std::size_t bytes() const
    {
        return m_bytes;
    }

    void release()
    {
        set(0);
    }

private:
    std::atomic<std::size_t> &m_total;
    std::size_t m_bytes = 0;
};
} // namespace Anvilcart
