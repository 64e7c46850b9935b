#pragma once

#include "emulator/emulatednetwork.h"
#include "emulator/simulatedclock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>

namespace Anvilcart::Emulation
{
/// The connections between the processes of hosts. Each carries frames in one direction, in order, from the process that opened it. While
/// its path is cut, frames are held; they are sent again with gaps that grow, so that they may arrive long after the cut, also when their
/// sender has ended. A sender that lives gives such a connection up after some time; what the connection holds is then lost or still
/// delivered, by the seed. Not thread-safe.
class EmulatedConnections
{
public:
    using Id = std::uint64_t;

    struct Handlers
    {
        /// Receives a frame at the recipient.
        std::function<void(const std::string &bytes)> onFrame;
        /// Tells the recipient that nothing more arrives.
        std::function<void()> onClosed;
        /// Tells the sender, if it has not closed the connection, that frames may be lost.
        std::function<void()> onLost;
    };

    /// The clock and the network must outlive the connections.
    EmulatedConnections(SimulatedClock &clock, const EmulatedNetwork &network, std::uint64_t seed);

    /// Opens a connection from the running process of one host to that of another.
    Id open(const HostAddress &from, const HostAddress &to, Handlers handlers);

    /// Sends a frame. False when the connection has closed.
    bool send(Id connection, const std::string &bytes);

    /// Closes a connection at its sender. What it holds is still delivered.
    void close(Id connection);

    /// Closes the connections that the process of a host has opened. Those to it end when the next frame arrives.
    void onProcessEnded(const std::string &host);

    /// Ends each matching connection for both sides at once; what it holds is lost.
    void reset(const std::function<bool(const HostAddress &from, const HostAddress &to)> &matches);

private:
    /// Without bytes: the end of the connection.
    using Frame = std::optional<std::string>;

    struct Connection
    {
        HostAddress from;
        HostAddress to;
        Handlers handlers;
        bool isOpen = true;
        bool hasRecipientEnded = false;
        std::uint64_t nextSent = 0;
        std::uint64_t nextDelivered = 0;
        /// Frames that must be sent again, by their numbers.
        std::map<std::uint64_t, Frame> held;
        Duration retransmissionGap {0};
        /// Counts the times at which frames began to be held.
        std::uint64_t holdCount = 0;
    };

    void transmit(Id id, std::uint64_t number, Frame frame);
    void onArrival(Id id, std::uint64_t number, Frame frame);
    void deliver(Id id, const Frame &frame);
    void hold(Id id, std::uint64_t number, Frame frame);
    void scheduleRetransmission(Id id);
    void retransmit(Id id, std::uint64_t holdCount);
    void giveUp(Id id, std::uint64_t holdCount);

    SimulatedClock &m_clock;
    const EmulatedNetwork &m_network;
    std::mt19937_64 m_random;
    Id m_lastId = 0;
    std::map<Id, Connection> m_connections;
};
} // namespace Anvilcart::Emulation
