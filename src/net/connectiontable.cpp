#include "net/connectiontable.h"

namespace Anvilcart
{
ConnectionTable::Id ConnectionTable::add(CloseAction close)
{
    const std::lock_guard lock(m_mutex);
    const auto id = ++m_lastNumber;
    const Position position {ConnectionUse::Unused, id};
    m_entries.emplace(id, Entry {std::move(close), position});
    m_order.emplace(position, id);
    return id;
}

void ConnectionTable::setUse(Id id, ConnectionUse use)
{
    const std::lock_guard lock(m_mutex);
    auto &entry = m_entries.at(id);
    m_order.erase(entry.position);
    entry.position = {use, ++m_lastNumber};
    m_order.emplace(entry.position, id);
}

void ConnectionTable::remove(Id id)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_entries.find(id);
    if (found != m_entries.end()) {
        m_order.erase(found->second.position);
        m_entries.erase(found);
    }
}

std::size_t ConnectionTable::size() const
{
    const std::lock_guard lock(m_mutex);
    return m_order.size();
}

ConnectionTable::CloseAction ConnectionTable::takeLeastUseful()
{
    const std::lock_guard lock(m_mutex);
    if (m_order.empty() || m_order.begin()->first.first == ConnectionUse::Busy) {
        return {};
    }
    const auto id = m_order.begin()->second;
    m_order.erase(m_order.begin());
    return m_entries.at(id).close;
}
} // namespace Anvilcart
