#pragma once

#include "emulator/simulatedclock.h"
#include "emulator/simulatedtarget.h"

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Anvilcart::Emulation
{
/// A host as the network knows it.
struct HostAddress
{
    std::string name;
    std::string zone;
};

/// The network between emulated hosts and targets, with delays, partitions and cuts. Not thread-safe.
class EmulatedNetwork
{
public:
    /// Carries the reply to a request: calls its argument when the reply arrives, if it does.
    using ReplyRoute = std::function<void(std::function<void()> deliver)>;

    /// The clock and the random numbers must outlive the network.
    EmulatedNetwork(SimulatedClock &clock, std::mt19937_64 &random, Duration delayInZone, Duration delayAcrossZones);

    Duration delay(const std::string &fromZone, const std::string &toZone) const;
    bool isPartitioned(const HostAddress &from, const HostAddress &to) const;

    /// True while frames from one host to another are held or the hosts are partitioned.
    bool isCut(const HostAddress &from, const HostAddress &to) const;

    /// Calls deliver when a frame that is sent now arrives. A frame is dropped if the hosts are partitioned when it is sent; the recipient
    /// checks this again when it receives the frame, and calls onFrameLost() if they are.
    void sendFrame(const HostAddress &from, const HostAddress &to, std::function<void()> deliver);

    void onFrameLost(const HostAddress &from, const HostAddress &to);

    /// True when a frame was lost since the last call: the connection that it was sent over has closed.
    bool takeFrameLoss(const HostAddress &from, const HostAddress &to);

    /// Calls execute, with the route for the reply, when a request that is sent now arrives at the target.
    void sendRequest(const std::string &fromZone, SimulatedTarget &target, std::function<void(const ReplyRoute &)> execute);

    /// Separates a zone from the other zones.
    void setZonePartitioned(const std::string &zone, bool isPartitioned);

    /// Separates a host from the other hosts, but not from targets.
    void setHostPartitioned(const std::string &host, bool isPartitioned);

    /// Holds the frames from one host to another until releaseFrames().
    void holdFrames(const std::string &from, const std::string &to);
    void releaseFrames(const std::string &from, const std::string &to);

    /// Holds the requests to a target until releaseRequests(). They get no reply.
    void holdRequests(const std::string &target);
    void releaseRequests(const std::string &target);

    /// This share of the requests to targets takes effect seconds late and gets no reply.
    void setDelayedRequestShare(double share);

private:
    bool areZonesPartitioned(const std::string &from, const std::string &to) const;

    SimulatedClock &m_clock;
    std::mt19937_64 &m_random;
    Duration m_delayInZone;
    Duration m_delayAcrossZones;
    std::set<std::string> m_partitionedZones;
    std::set<std::string> m_partitionedHosts;
    /// By the names of sender and recipient, the frames that wait for the end of the cut, in the order in which they were sent.
    std::map<std::pair<std::string, std::string>, std::vector<std::function<void()>>> m_heldFrames;
    /// The names of senders and recipients between which a frame was lost.
    std::set<std::pair<std::string, std::string>> m_linksWithLoss;
    /// By the ids of targets that are cut off, the requests that wait for the end of the cut.
    std::map<std::string, std::vector<std::function<void()>>> m_heldRequests;
    double m_delayedRequestShare = 0;
};
} // namespace Anvilcart::Emulation
