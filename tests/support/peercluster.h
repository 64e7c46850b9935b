#pragma once

#include "dispatch/dispatcher.h"
#include "dispatchfixture.h"
#include "peer/interfaces/peerlink.h"
#include "peer/interfaces/peerobserver.h"
#include "peer/peernode.h"

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Anvilcart
{
/// Counts the events that a node reports.
class FakePeerObserver : public PeerObserver
{
public:
    void onSent(std::size_t bytes) override
    {
        ++sentFrames;
        sentBytes += bytes;
    }

    void onSendFailed() override
    {
        ++sendFailures;
    }

    void onReceived(FrameStatus status) override
    {
        ++received[status];
    }

    void onLoanEvent(LoanEvent event) override
    {
        ++loans[event];
    }

    void onMembersChanged(std::size_t count) override
    {
        memberCount = count;
    }

    std::size_t sentFrames = 0;
    std::size_t sentBytes = 0;
    std::size_t sendFailures = 0;
    std::size_t memberCount = 0;
    std::map<FrameStatus, int> received;
    std::map<LoanEvent, int> loans;
};

/// A message in transit between two nodes.
struct MessageInFlight
{
    std::string from;
    std::string to;
    std::string bytes;
};

/// The network between the nodes of a test.
struct FakeNetwork
{
    std::deque<MessageInFlight> inFlight;
    std::set<std::string> partitioned;
    /// Hosts whose outgoing messages are lost.
    std::set<std::string> muted;
    /// The share of lost messages, in thousandths.
    unsigned lossPerMille = 0;
    std::mt19937 random {7};
};

/// The link of one node to the fake network.
class FakePeerLink : public PeerLink
{
public:
    FakePeerLink(FakeNetwork &network, std::string self)
        : m_network(network)
        , m_self(std::move(self))
    {
    }

    void connect(const std::string &, const Endpoint &) override
    {
    }

    void disconnect(const std::string &) override
    {
    }

    bool send(const std::string &host, const std::string &message) override
    {
        const bool lost = m_network.random() % 1000 < m_network.lossPerMille;
        const bool cut = m_network.partitioned.contains(host) != m_network.partitioned.contains(m_self);
        if (!lost && !cut && !m_network.muted.contains(m_self)) {
            m_network.inFlight.push_back({m_self, host, message});
        }
        return true;
    }

private:
    FakeNetwork &m_network;
    std::string m_self;
};

/// One simulated entry host.
struct ClusterHost
{
    ClusterHost(FakeNetwork &network, const PeerIdentity &identity)
        : dispatcher({identity.host, identity.zone}, port, observer)
        , link(network, identity.host)
        , node(identity, dispatcher, link, peerObserver)
    {
    }

    FakeTargetPort port;
    FakeObserver observer;
    Dispatcher dispatcher;
    FakePeerLink link;
    FakePeerObserver peerObserver;
    PeerNode node;
    std::size_t servedStarts = 0;
    std::vector<JobAnswer> answers;
    bool paused = false;
};

/// Simulates dispatchers of one availability zone with a lossy network and targets that enforce their slot limits. The clock is
/// advanced manually.
class PeerCluster
{
public:
    static constexpr Milliseconds Step {5};
    static constexpr Milliseconds PeerTick {100};

    struct RunningTask
    {
        std::string host;
        std::string key;
        TargetIndex target;
        TaskRef ref;
        TimePoint endsAt;
    };

    void start(std::size_t hosts, std::uint32_t targets, std::uint32_t slots, SlotSharingKind sharing = SlotSharingKind::Loans)
    {
        configuration = std::make_shared<Configuration>();
        configuration->version = 1;
        configuration->policy.slotSharing = sharing;
        configuration->teams.push_back({"field", 100000});
        for (std::uint32_t i = 0; i < targets; ++i) {
            TargetSpec target;
            target.name = "target-" + std::to_string(i);
            target.zone = "fraser";
            target.endpoint = {"127.0.0.1", static_cast<std::uint16_t>(8000 + i)};
            target.slots = slots;
            target.capacity = {32, 131072, 0};
            configuration->targets.push_back(target);
        }
        for (std::size_t i = 0; i < hosts; ++i) {
            listed.push_back({"entry-" + std::to_string(i + 1), "fraser", {"127.0.0.1", static_cast<std::uint16_t>(7000 + i)}});
        }
        for (const auto &peer : listed) {
            startHost(peer.host);
        }
        run(Seconds(1));
    }

    /// Starts a host, or replaces it with a new incarnation.
    void startHost(const std::string &name)
    {
        for (const auto &peer : listed) {
            if (peer.host == name) {
                this->hosts[name] =
                    std::make_unique<ClusterHost>(network, PeerIdentity {name, peer.zone, peer.endpoint, ++lastIncarnation});
                this->hosts[name]->dispatcher.applyConfiguration(configuration, now);
            }
        }
    }

    /// Stops a host without notifying its peers; its tasks keep running on the targets.
    void kill(const std::string &name)
    {
        hosts.erase(name);
    }

    ClusterHost &at(const std::string &name)
    {
        return *hosts.at(name);
    }

    void submit(const std::string &host, const std::string &submission, std::uint32_t tasks)
    {
        auto *answers = &at(host).answers;
        at(host).dispatcher.submit(
            DispatchFixture::makeJob(submission, tasks),
            [answers](JobAnswer answer) {
                answers->push_back(std::move(answer));
            },
            now);
        serveStarts();
    }

    /// Advances the clock in steps of `Step`.
    void run(Duration duration)
    {
        for (const auto end = now + duration; now < end;) {
            now += Step;
            finishDueTasks();
            deliver();
            tick();
            deliver();
            serveStarts();
        }
    }

    FakeNetwork network;
    std::map<std::string, std::unique_ptr<ClusterHost>> hosts;
    std::vector<ListedPeer> listed;
    std::shared_ptr<Configuration> configuration;
    std::vector<RunningTask> running;
    std::map<std::string, int> starts;
    int refusals = 0;
    Duration taskTime = Milliseconds(200);
    bool isHostListUnavailable = false;
    TimePoint now = TimePoint() + Seconds(1000);
    Incarnation lastIncarnation = 0;

private:
    void tick()
    {
        const bool peerTick = (now.time_since_epoch() % PeerTick).count() == 0;
        for (auto &[name, host] : hosts) {
            if (host->paused) {
                continue;
            }
            host->dispatcher.onTick(now);
            if (peerTick && !isHostListUnavailable) {
                host->node.applyHostList(listed, now);
            }
            if (peerTick) {
                host->node.onTick(now);
            }
        }
    }

    void deliver()
    {
        auto messages = std::move(network.inFlight);
        network.inFlight.clear();
        for (auto &message : messages) {
            const auto found = hosts.find(message.to);
            if (found == hosts.end()) {
                continue;
            }
            if (found->second->paused) {
                network.inFlight.push_back(std::move(message));
                continue;
            }
            found->second->node.onMessage(message.bytes, now);
        }
    }

    void finishDueTasks()
    {
        std::vector<RunningTask> due;
        std::erase_if(running, [&](const RunningTask &task) {
            if (task.endsAt > now) {
                return false;
            }
            due.push_back(task);
            return true;
        });
        for (const auto &task : due) {
            const auto found = hosts.find(task.host);
            if (found != hosts.end()) {
                found->second->dispatcher.onOutcome(task.ref, TaskFinished {"done"}, now);
            }
        }
    }

    void serveStarts()
    {
        for (auto &[name, host] : hosts) {
            while (host->servedStarts < host->port.started.size()) {
                const auto started = host->port.started[host->servedStarts++];
                serveStart(name, *host, started);
            }
        }
    }

    void serveStart(const std::string &name, ClusterHost &host, const FakeTargetPort::Started &started)
    {
        std::uint32_t busy = 0;
        for (const auto &task : running) {
            busy += task.target == started.target ? 1 : 0;
        }
        if (busy >= configuration->targets[started.target].slots) {
            ++refusals;
            host.dispatcher.onOutcome(started.start.ref, TaskNotStarted {NotStartedReason::NoSlot}, now);
            return;
        }
        const auto key = started.start.submission + "/" + started.start.task;
        ++starts[key];
        running.push_back({name, key, started.target, started.start.ref, now + taskTime});
    }
};
} // namespace Anvilcart
