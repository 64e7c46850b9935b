#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <utility>

namespace Anvilcart
{
/// What a connection is used for at present, from the least useful to the most.
enum class ConnectionUse {
    /// Its request was refused; what still arrives is dropped.
    Discarding,
    /// Nothing has arrived on it yet.
    Unused,
    /// Its last request was answered.
    Idle,
    /// A part of a request has arrived.
    Reading,
    /// A request is handled or its answer written. Never closed to make room.
    Busy,
};

/// The open connections of a server, and which of them is closed first when a new one needs its place. Thread-safe.
class ConnectionTable
{
public:
    using Id = std::uint64_t;
    /// Closes a connection, or calls setUse() if it has become useful meanwhile. Called outside of the table's lock.
    using CloseAction = std::function<void()>;

    /// Adds a connection on which nothing has arrived.
    Id add(CloseAction close);

    /// Records what a connection is used for from now on. Precondition: it has not been removed.
    void setUse(Id id, ConnectionUse use);

    void remove(Id id);

    /// Connections that are open and have not been chosen for closing.
    std::size_t size() const;

    /// Chooses the least useful connection, of several alike the one that has been so for longest, and stops counting it. The caller calls
    /// the action. Empty when all are busy.
    CloseAction takeLeastUseful();

private:
    using Position = std::pair<ConnectionUse, std::uint64_t>;

    struct Entry
    {
        CloseAction close;
        Position position;
    };

    mutable std::mutex m_mutex;
    std::map<Id, Entry> m_entries;
    /// Connections that count, by their position.
    std::map<Position, Id> m_order;
    std::uint64_t m_lastNumber = 0;
};
} // namespace Anvilcart
