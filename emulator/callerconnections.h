#pragma once

#include "emulator/emulatedhost.h"
#include "emulator/simulatedclock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Anvilcart::Emulation
{
/// A connection over which a caller has sent a job to a host.
struct CallerConnection
{
    std::size_t host = 0;
    std::uint64_t generation = 0;
    std::string jobId;
    bool isOpen = true;
    /// The host reads the job, and later the end of the connection, not before this time.
    TimePoint readableAt;
};

/// The callers' connections as the hosts' systems know them, and what each host has read of them. A host may read a job after its caller
/// has closed the connection, or the end of the connection late. Not thread-safe.
class CallerConnections
{
public:
    /// All arguments must outlive this object.
    CallerConnections(SimulatedClock &clock, const std::vector<std::unique_ptr<EmulatedHost>> &hosts);

    /// Opens a connection to a host that runs, which calls submit when it has read the job, after this delay or later. It does not when
    /// another connection waits there for the same job.
    std::shared_ptr<CallerConnection>
    open(std::size_t host, const std::string &jobId, Duration readDelay, std::function<void(Fleet::HostNode &node)> submit);

    /// Closes a connection; the host reads that after this delay or later, and cancels the job if no other connection waits for it.
    void close(const std::shared_ptr<CallerConnection> &connection, Duration readDelay);

    /// The host answers the connections that wait for this job; returns them.
    std::vector<std::shared_ptr<CallerConnection>> takeAnswered(std::size_t host, const std::string &jobId);

    /// True if a connection that waits at the host for this job is open.
    bool isConnected(std::size_t host, const std::string &jobId) const;

private:
    /// The process of a host, by its generation.
    using Process = std::pair<std::size_t, std::uint64_t>;
    using JobConnections = std::map<std::string, std::vector<std::shared_ptr<CallerConnection>>>;

    void
    callWhenRead(const std::shared_ptr<CallerConnection> &connection, Duration delay, std::function<void(Fleet::HostNode &node)> action);

    SimulatedClock &m_clock;
    const std::vector<std::unique_ptr<EmulatedHost>> &m_hosts;
    /// The connections whose job was read and that were neither answered nor seen to end.
    std::map<Process, JobConnections> m_waiting;
};
} // namespace Anvilcart::Emulation
