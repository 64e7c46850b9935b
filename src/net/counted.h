#pragma once

#include <atomic>
#include <cstddef>

namespace Anvilcart
{
/// Counts itself in an atomic for as long as it lives.
class Counted
{
public:
    explicit Counted(std::atomic<std::size_t> &counter)
        : m_counter(counter)
    {
        m_counter.fetch_add(1);
    }

    ~Counted()
    {
        m_counter.fetch_sub(1);
    }

    Counted(const Counted &) = delete;
    Counted &operator=(const Counted &) = delete;

private:
    std::atomic<std::size_t> &m_counter;
};
} // namespace Anvilcart
