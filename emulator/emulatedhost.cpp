#include "emulator/emulatedhost.h"

#include <algorithm>
#include <map>
#include <utility>

namespace Anvilcart::Emulation
{
using namespace Anvilcart::Fleet;

namespace
{
constexpr Milliseconds TickPeriod {25};
constexpr Milliseconds TargetListPeriod {300};
constexpr std::uint16_t PeerPort = 7000;

Endpoint peerEndpointOf(std::size_t host)
{
    return {"10.0.0." + std::to_string(host + 1), PeerPort};
}
} // namespace

EmulatedHost::EmulatedHost(std::size_t index, const std::string &zone, const SchedulerLimits &limits, Environment environment)
    : m_index(index)
    , m_address {"host-" + std::to_string(index + 1), zone}
    , m_limits(limits)
    , m_environment(std::move(environment))
    , m_observer([this] {
        m_environment.onClaim(m_index);
    })
{
}

std::size_t EmulatedHost::index() const
{
    return m_index;
}

const HostAddress &EmulatedHost::address() const
{
    return m_address;
}

std::uint64_t EmulatedHost::generation() const
{
    return m_generation;
}

std::uint64_t EmulatedHost::incarnation() const
{
    return m_generation * 1000 + m_index;
}

bool EmulatedHost::isRunning() const
{
    return m_node != nullptr;
}

bool EmulatedHost::acceptsJobs() const
{
    return m_node && !m_node->isLeaving();
}

bool EmulatedHost::isDispatcher() const
{
    return m_node && m_node->isDispatcher();
}

void EmulatedHost::start()
{
    if (m_node) {
        return;
    }
    ++m_generation;
    HostIdentity identity;
    identity.host = m_address.name;
    identity.incarnation = incarnation();
    identity.isFirstStart = m_generation == 1;
    identity.zone = m_address.zone;
    identity.peerEndpoint = peerEndpointOf(m_index);
    identity.limits = m_limits;
    for (const auto &host : m_environment.hosts) {
        identity.seeds.push_back(peerEndpointOf(host->m_index));
    }
    m_connectedEndpoints.clear();
    m_targetListReadAt = TimePoint();
    m_lastReadAt = TimePoint();
    m_links = m_environment.connections != nullptr ? makeLinks() : nullptr;
    HostPort &port = *this;
    m_node = std::make_unique<HostNode>(identity, port, m_observer);
    m_node->setConfiguration({1, "{}"});
    tick(m_generation);
}

void EmulatedHost::stop()
{
    const auto stoppedIncarnation = incarnation();
    ++m_generation;
    // The node may be the caller of this function, so a separate event destroys it.
    m_environment.clock.callAfter(Duration(0), [node = std::shared_ptr<HostNode>(std::move(m_node)), links = std::move(m_links)] {});
    if (m_environment.connections != nullptr) {
        m_environment.connections->onProcessEnded(m_address.name);
        return;
    }
    for (const auto &other : m_environment.hosts) {
        if (other->m_index != m_index && other->m_node && !m_environment.network.isPartitioned(m_address, other->m_address)) {
            m_environment.clock.callAfter(m_environment.network.delay(m_address.zone, other->m_address.zone),
                                          [this, peer = other.get(), stoppedIncarnation, generation = other->m_generation] {
                                              peer->reportClosedLink(generation, m_address.name, stoppedIncarnation);
                                          });
        }
    }
}

std::shared_ptr<EmulatedPeerLinks> EmulatedHost::makeLinks()
{
    const auto findPeer = [this](const Endpoint &endpoint) -> std::optional<EmulatedPeerLinks::Peer> {
        for (const auto &host : m_environment.hosts) {
            if (peerEndpointOf(host->m_index) == endpoint) {
                return EmulatedPeerLinks::Peer {host->m_address, host->m_links};
            }
        }
        return std::nullopt;
    };
    const auto callNode = [this, generation = m_generation](std::function<void()> action) {
        callWhenRead(generation, [action = std::move(action)](HostNode &) {
            action();
        });
    };
    const auto receive = [this](std::string_view bytes) -> LinkSender {
        const auto now = m_environment.clock.now();
        auto frame = decodeFrame(bytes, now);
        if (!frame) {
            return {};
        }
        LinkSender sender {frame->host, frame->incarnation};
        m_node->onFrame(std::move(*frame), now);
        return sender;
    };
    const auto onClosed = [this](const LinkSender &sender, bool isNewest) {
        if (isNewest) {
            m_node->onLinkClosed(sender.host, sender.incarnation, m_environment.clock.now());
        } else {
            m_node->onLinkReplaced(sender.host, m_environment.clock.now());
        }
    };
    const auto onLost = [this](const Endpoint &endpoint) {
        m_node->onConnectionLost(endpoint, m_environment.clock.now());
    };
    return std::make_shared<EmulatedPeerLinks>(
        m_address,
        EmulatedPeerLinks::Environment {
            m_environment.clock, m_environment.network, *m_environment.connections, findPeer, callNode, receive, onClosed, onLost});
}

void EmulatedHost::beginLeaving()
{
    if (m_node) {
        m_node->beginLeaving(m_environment.clock.now());
    }
}

void EmulatedHost::pause(Duration length)
{
    const auto now = m_environment.clock.now();
    // What a paused process has received would be processed out of order if the pause changed.
    if (m_pausedUntil <= now) {
        m_pausedUntil = now + length;
    }
}

void EmulatedHost::setReadDelay(Duration delay)
{
    m_readDelay = delay;
}

void EmulatedHost::setStoreFailing(bool failing)
{
    m_isStoreFailing = failing;
}

void EmulatedHost::reportClosedLink(std::uint64_t generation, const std::string &peer, std::uint64_t peerIncarnation)
{
    callWhenRead(generation, [this, peer, peerIncarnation](HostNode &node) {
        node.onLinkClosed(peer, peerIncarnation, m_environment.clock.now());
    });
}

void EmulatedHost::callWhenRead(std::uint64_t generation, std::function<void(HostNode &node)> action)
{
    const auto now = m_environment.clock.now();
    m_lastReadAt = std::max(m_lastReadAt, now + m_readDelay);
    if (m_lastReadAt == now) {
        callWhenRunning(generation, std::move(action));
        return;
    }
    m_environment.clock.callAfter(m_lastReadAt - now, [this, generation, action = std::move(action)] {
        callWhenRunning(generation, action);
    });
}

void EmulatedHost::callWhenRunning(std::uint64_t generation, std::function<void(HostNode &node)> action)
{
    if (m_generation != generation || !m_node) {
        return;
    }
    const auto now = m_environment.clock.now();
    if (m_pausedUntil > now) {
        m_environment.clock.callAfter(m_pausedUntil - now, [this, generation, action = std::move(action)] {
            callWhenRunning(generation, action);
        });
        return;
    }
    action(*m_node);
}

void EmulatedHost::tick(std::uint64_t generation)
{
    callWhenRunning(generation, [this](HostNode &node) {
        const auto now = m_environment.clock.now();
        if (now - m_targetListReadAt > TargetListPeriod) {
            m_targetListReadAt = now;
            readStore();
        }
        node.tick(now);
        for (const auto &target : m_environment.targets) {
            checkLeases(*target);
        }
    });
    if (m_generation == generation && m_node) {
        const auto now = m_environment.clock.now();
        const auto remainingPause = m_pausedUntil > now ? m_pausedUntil - now : Duration(0);
        m_environment.clock.callAfter(remainingPause + TickPeriod, [this, generation] {
            tick(generation);
        });
    }
}

void EmulatedHost::checkLeases(const SimulatedTarget &target) const
{
    const auto &entry = target.entry();
    const auto *ledger = m_node ? m_node->scheduler().findListedTarget(entry.id) : nullptr;
    const bool isHeld = ledger != nullptr && !target.isDown() && ledger->fencingToken() == target.fencingToken()
        && ledger->startedAtMs() == entry.startedAtMs;
    if (isHeld && target.hasLease() && ledger->haveLeasesEnded(m_environment.clock.now())) {
        m_environment.invariants.onLeaseTakenForEnded(
            m_address.name, entry.id, target.fencingToken(), target.leaseUntilMs() - target.clockMs(), m_environment.clock.elapsed());
    }
}

void EmulatedHost::readStore()
{
    const auto now = m_environment.clock.now();
    if (m_isStoreFailing) {
        m_node->onEvacuationsLost(now);
        m_node->onTargetListFailure(now);
        return;
    }
    m_node->onEvacuations({m_environment.evacuations, now}, now);
    std::map<std::string, TargetEntry> entries;
    for (const auto &target : m_environment.targets) {
        entries[target->entry().id] = target->entry();
    }
    m_node->onTargetList(entries, true, now);
}

EmulatedHost *EmulatedHost::findRunningPeer(const Endpoint &endpoint) const
{
    for (const auto &host : m_environment.hosts) {
        if (host->m_node && peerEndpointOf(host->m_index) == endpoint) {
            return host.get();
        }
    }
    return nullptr;
}

SimulatedTarget *EmulatedHost::findTarget(const std::string &id) const
{
    for (const auto &target : m_environment.targets) {
        if (target->entry().id == id) {
            return target.get();
        }
    }
    return nullptr;
}

void EmulatedHost::connect(const Endpoint &endpoint)
{
    if (m_links) {
        m_links->connect(endpoint);
    } else {
        m_connectedEndpoints.insert(toString(endpoint));
    }
}

void EmulatedHost::disconnect(const Endpoint &endpoint)
{
    if (m_links) {
        m_links->disconnect(endpoint);
    } else {
        m_connectedEndpoints.erase(toString(endpoint));
    }
}

void EmulatedHost::reconnect(const Endpoint &endpoint)
{
    if (m_links) {
        m_links->reconnect(endpoint);
    }
}

bool EmulatedHost::isConnected(const Endpoint &endpoint) const
{
    if (m_links) {
        return m_links->isConnected(endpoint);
    }
    return m_connectedEndpoints.contains(toString(endpoint)) && findRunningPeer(endpoint) != nullptr;
}

bool EmulatedHost::refusesConnections(const Endpoint &) const
{
    // The emulated network only loses what is sent to a host that does not run.
    return false;
}

bool EmulatedHost::isCallerConnected(const std::string &jobId)
{
    return m_environment.isCallerConnected(m_index, jobId);
}

bool EmulatedHost::sendFrame(const Endpoint &endpoint, const FleetFrame &frame)
{
    if (m_links) {
        return m_links->send(endpoint, encodeFrame(frame, m_environment.clock.now()));
    }
    auto *recipient = findRunningPeer(endpoint);
    if (recipient == nullptr || !m_connectedEndpoints.contains(toString(endpoint))) {
        return false;
    }
    const bool hasReconnected = !m_environment.network.isPartitioned(m_address, recipient->m_address)
        && m_environment.network.takeFrameLoss(m_address, recipient->m_address);
    if (hasReconnected) {
        m_environment.clock.callAfter(Duration(0), [this, endpoint, generation = m_generation] {
            callWhenRead(generation, [this, endpoint](HostNode &node) {
                node.onConnectionLost(endpoint, m_environment.clock.now());
            });
        });
    }
    auto bytes = encodeFrame(frame, m_environment.clock.now());
    m_environment.network.sendFrame(
        m_address, recipient->m_address, [this, recipient, hasReconnected, bytes = std::move(bytes), generation = recipient->m_generation] {
            recipient->callWhenRead(generation, [this, recipient, hasReconnected, bytes](HostNode &node) {
                const auto now = m_environment.clock.now();
                if (m_environment.network.isPartitioned(m_address, recipient->m_address)) {
                    m_environment.network.onFrameLost(m_address, recipient->m_address);
                    return;
                }
                if (hasReconnected) {
                    node.onLinkReplaced(m_address.name, now);
                }
                if (auto decoded = decodeFrame(bytes, now)) {
                    node.onFrame(std::move(*decoded), now);
                }
            });
        });
    return true;
}

template<typename Reply>
void EmulatedHost::callTarget(const std::string &id,
                              Duration limit,
                              std::function<void(SimulatedTarget &, const Answer<Reply> &)> execute,
                              std::function<void(HostNode &, Reply)> handler)
{
    auto answered = std::make_shared<bool>(false);
    auto *target = findTarget(id);
    const auto finish = [this, generation = m_generation, target, answered, handler = std::move(handler)](const Reply &reply) {
        if (!*answered) {
            *answered = true;
            callWhenRead(generation, [this, target, handler, reply](HostNode &node) {
                handler(node, reply);
                if (target != nullptr) {
                    checkLeases(*target);
                }
            });
        }
    };
    m_environment.clock.callAfter(limit, [finish] {
        finish(Reply());
    });
    if (target == nullptr) {
        return;
    }
    m_environment.network.sendRequest(
        m_address.zone, *target, [target, execute = std::move(execute), finish](const EmulatedNetwork::ReplyRoute &route) {
            execute(*target, [route, finish](const Reply &reply) {
                route([finish, reply] {
                    finish(reply);
                });
            });
        });
}

void EmulatedHost::sendStart(const TargetEntry &target, const StartRequest &request)
{
    callTarget<TargetReply>(
        target.id,
        timeoutOfRepetition(TargetRequestTimeout, request.repetitions),
        [request](SimulatedTarget &simulated, const Answer<TargetReply> &answer) {
            answer(simulated.start(request));
        },
        [this, id = target.id, request](HostNode &node, TargetReply reply) {
            reply.fencingToken = request.fencingToken;
            node.onStartReply(id, request.name, reply, m_environment.clock.now());
        });
}

void EmulatedHost::sendStop(const TargetEntry &target, const StopRequest &request)
{
    callTarget<TargetReply>(
        target.id,
        timeoutOfRepetition(TargetRequestTimeout, request.repetitions),
        [request](SimulatedTarget &simulated, const Answer<TargetReply> &answer) {
            answer(simulated.stop(request));
        },
        [this, id = target.id, request](HostNode &node, TargetReply reply) {
            reply.fencingToken = request.fencingToken;
            node.onStopReply(id, request.name, reply, m_environment.clock.now());
        });
}

void EmulatedHost::sendRenewal(const TargetEntry &target, const RenewalRequest &request)
{
    callTarget<RenewalReply>(
        target.id,
        renewalTimeout(request, Duration(0)),
        [request](SimulatedTarget &simulated, const Answer<RenewalReply> &answer) {
            simulated.renew(request, answer);
        },
        [this, id = target.id, request](HostNode &node, RenewalReply reply) {
            reply.fencingToken = request.fencingToken;
            reply.sequence = request.sequence;
            reply.sentAt = request.sentAt;
            node.onRenewalReply(id, reply, m_environment.clock.now());
        });
}

void EmulatedHost::closeTargetConnections(const std::string &)
{
}

void EmulatedHost::refreshTargetList()
{
    m_targetListReadAt = TimePoint();
}

void EmulatedHost::answerCaller(const std::string &jobId, const CallerReply &reply)
{
    m_environment.onAnswer(m_index, jobId, reply);
}

void EmulatedHost::onCancelDecided(const std::string &, CancelOutcome)
{
}

void EmulatedHost::onConfigurationRecord(const ConfigurationRecord &)
{
}

std::int64_t EmulatedHost::wallClockMs()
{
    constexpr std::int64_t StartMs = 1'700'000'000'000;
    return StartMs + std::chrono::duration_cast<Milliseconds>(m_environment.clock.elapsed()).count();
}
} // namespace Anvilcart::Emulation
