#pragma once

#include "emulator/claimobserver.h"
#include "emulator/emulatedconnections.h"
#include "emulator/emulatednetwork.h"
#include "emulator/emulatedpeerlinks.h"
#include "emulator/simulatedclock.h"
#include "emulator/simulatedtarget.h"
#include "fleet/hostnode.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Anvilcart::Emulation
{
/// A host process: its node, which is the production state machine, and a replacement for its sockets and timers. Not thread-safe.
class EmulatedHost : private Fleet::HostPort
{
public:
    /// All that a host depends on; it must outlive the host.
    struct Environment
    {
        SimulatedClock &clock;
        EmulatedNetwork &network;
        InvariantChecker &invariants;
        /// Null where frames are sent without connections.
        EmulatedConnections *connections;
        /// All hosts, by their indexes.
        const std::vector<std::unique_ptr<EmulatedHost>> &hosts;
        const std::vector<std::unique_ptr<SimulatedTarget>> &targets;
        /// The operator's evacuations as they stand in the store.
        const Fleet::EvacuationView &evacuations;
        /// True if a caller of the job is connected to the host, by what the host's system knows.
        std::function<bool(std::size_t host, const std::string &jobId)> isCallerConnected;
        /// Receives the hosts' answers to callers.
        std::function<void(std::size_t host, const std::string &jobId, const Fleet::CallerReply &reply)> onAnswer;
        /// Called whenever a host claims a pool.
        std::function<void(std::size_t host)> onClaim;
    };

    /// The process does not run before start().
    EmulatedHost(std::size_t index, const std::string &zone, const Fleet::SchedulerLimits &limits, Environment environment);

    std::size_t index() const;
    const HostAddress &address() const;

    /// Differs between processes that ran at different times, and changes when a process stops.
    std::uint64_t generation() const;

    /// The incarnation of the running process.
    std::uint64_t incarnation() const;

    bool isRunning() const;

    /// True while the process runs and is not leaving.
    bool acceptsJobs() const;

    /// True while the process runs and dispatches to a pool.
    bool isDispatcher() const;

    /// Starts the process unless it runs.
    void start();

    /// Ends the process, which must run; the hosts that it can reach are notified that their connections to it have closed.
    void stop();

    /// Makes the node leave the fleet, if the process runs.
    void beginLeaving();

    /// A process that already stands still is not paused again.
    void pause(Duration length);

    /// The process reads what arrives from now on this much later, in the order of arrival. Its timers stay on time.
    void setReadDelay(Duration delay);

    /// Whether reads of the store fail: those of the list of targets and of evacuations.
    void setStoreFailing(bool failing);

    /// Notifies the node, if it is still of that generation, that the connection to a peer has closed.
    void reportClosedLink(std::uint64_t generation, const std::string &peer, std::uint64_t peerIncarnation);

    /// Calls action with the node when the process reads what has arrived now, unless the process has stopped since that generation; while
    /// the process is paused, after it resumes.
    void callWhenRead(std::uint64_t generation, std::function<void(Fleet::HostNode &node)> action);

private:
    /// Sends a target's reply.
    template<typename Reply>
    using Answer = std::function<void(const Reply &)>;

    void connect(const Endpoint &endpoint) override;
    void disconnect(const Endpoint &endpoint) override;
    void reconnect(const Endpoint &endpoint) override;
    bool isConnected(const Endpoint &endpoint) const override;
    bool refusesConnections(const Endpoint &endpoint) const override;
    bool isCallerConnected(const std::string &jobId) override;
    bool sendFrame(const Endpoint &endpoint, const Fleet::FleetFrame &frame) override;
    void sendStart(const Fleet::TargetEntry &target, const Fleet::StartRequest &request) override;
    void sendStop(const Fleet::TargetEntry &target, const Fleet::StopRequest &request) override;
    void sendRenewal(const Fleet::TargetEntry &target, const Fleet::RenewalRequest &request) override;
    void closeTargetConnections(const std::string &target) override;
    void refreshTargetList() override;
    void answerCaller(const std::string &jobId, const Fleet::CallerReply &reply) override;
    void onCancelDecided(const std::string &jobId, Fleet::CancelOutcome outcome) override;
    void onConfigurationRecord(const Fleet::ConfigurationRecord &record) override;
    std::int64_t wallClockMs() override;

    /// Links for the process that is about to start.
    std::shared_ptr<EmulatedPeerLinks> makeLinks();

    /// Calls action with the node unless the process has stopped since that generation; while the process is paused, after it resumes.
    void callWhenRunning(std::uint64_t generation, std::function<void(Fleet::HostNode &node)> action);
    void tick(std::uint64_t generation);
    void readStore();

    /// Compares what the node believes of the leases on a target that it holds with those that the target has granted. A restarted target
    /// is not compared before the node knows of the restart.
    void checkLeases(const SimulatedTarget &target) const;
    EmulatedHost *findRunningPeer(const Endpoint &endpoint) const;
    SimulatedTarget *findTarget(const std::string &id) const;

    /// Delivers a request to a target and its reply to the handler. Without a reply within the limit, the handler gets a default Reply.
    template<typename Reply>
    void callTarget(const std::string &id,
                    Duration limit,
                    std::function<void(SimulatedTarget &, const Answer<Reply> &)> execute,
                    std::function<void(Fleet::HostNode &, Reply)> handler);

    std::size_t m_index;
    HostAddress m_address;
    Fleet::SchedulerLimits m_limits;
    Environment m_environment;
    ClaimObserver m_observer;
    /// Null where frames are sent without connections.
    std::shared_ptr<EmulatedPeerLinks> m_links;
    std::unique_ptr<Fleet::HostNode> m_node;
    std::uint64_t m_generation = 0;
    TimePoint m_pausedUntil;
    Duration m_readDelay {0};
    /// When the last of what has arrived is read.
    TimePoint m_lastReadAt;
    std::set<std::string> m_connectedEndpoints;
    TimePoint m_targetListReadAt;
    bool m_isStoreFailing = false;
};
} // namespace Anvilcart::Emulation
