#include "emulator/emulatedfleet.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Anvilcart::Emulation
{
using namespace Anvilcart::Fleet;

namespace
{
constexpr Milliseconds TickPeriod {25};
constexpr Milliseconds ConnectTime {20};
/// Callers send a job again after this time when the connection breaks.
constexpr Milliseconds ResendPause {1300};
constexpr Milliseconds ClientDelay {1};
/// Lost orders take effect that long after they were sent.
constexpr Milliseconds LateFrom {2000};
constexpr int LateSpreadMs = 10000;
constexpr std::uint16_t DoorPort = 7000;
/// Answers after so many objectives are of no use to callers, by the users' rules.
constexpr int OverdueObjectives = 3;

Endpoint doorOf(std::size_t host)
{
    return {"10.0.0." + std::to_string(host + 1), DoorPort};
}
} // namespace

/// A job of one caller, until it is answered.
struct EmulatedFleet::Call
{
    JobRequest request;
    JobKind kind;
    Duration runTime {0};
    TimePoint sentAt;
    std::size_t host = 0;
    bool over = false;
};

/// One emulated process: the node, and the sockets that it would have.
struct EmulatedFleet::Host : HostPort, HostObserver
{
    Host(EmulatedFleet &owner, std::size_t number)
        : fleet(owner)
        , index(number)
        , zone(owner.m_options.hostZones[number])
        , name("host-" + std::to_string(number + 1))
    {
    }

    void connect(const Endpoint &door) override
    {
        connected.insert(toString(door));
    }

    void disconnect(const Endpoint &door) override
    {
        connected.erase(toString(door));
    }

    void reconnect(const Endpoint &) override
    {
    }

    bool sendFrame(const Endpoint &door, const FleetFrame &frame) override
    {
        for (auto &other : fleet.m_hosts) {
            if (doorOf(other->index) == door) {
                return sendTo(*other, frame);
            }
        }
        return false;
    }

    bool sendTo(Host &other, const FleetFrame &frame)
    {
        if (!other.node || !connected.contains(toString(doorOf(other.index)))) {
            return false;
        }
        if (fleet.isCut(name, other.name)) {
            return true;
        }
        auto bytes = encodeFrame(frame, fleet.m_clock.now());
        fleet.m_clock.after(fleet.delay(zone, other.zone), [this, &other, bytes = std::move(bytes), life = other.life] {
            other.whenAwake(life, [this, &other, bytes] {
                if (fleet.isCut(name, other.name)) {
                    return;
                }
                if (auto decoded = decodeFrame(bytes, fleet.m_clock.now())) {
                    other.node->onFrame(std::move(*decoded), fleet.m_clock.now());
                }
            });
        });
        return true;
    }

    /// Runs action in this life of the process; while it is frozen, when it wakes.
    void whenAwake(std::uint64_t actionLife, std::function<void()> action)
    {
        if (life != actionLife || !node) {
            return;
        }
        if (frozenUntil > fleet.m_clock.now()) {
            fleet.m_clock.after(frozenUntil - fleet.m_clock.now(), [this, actionLife, action = std::move(action)] {
                whenAwake(actionLife, action);
            });
            return;
        }
        action();
    }

    SimulatedTarget *findTarget(const std::string &id)
    {
        for (auto &target : fleet.m_targets) {
            if (target->entry().id == id) {
                return target.get();
            }
        }
        return nullptr;
    }

    /// Carries a call to a target and its answer back; without an answer, the limit passes.
    template<typename Reply>
    void call(const TargetEntry &entry,
              Duration limit,
              std::function<void(SimulatedTarget &, std::function<void(const Reply &)>)> execute,
              std::function<void(const Reply &)> handler)
    {
        auto *target = findTarget(entry.id);
        auto answered = std::make_shared<bool>(false);
        const auto callLife = life;
        const auto finish = [this, callLife, answered, handler = std::move(handler)](const Reply &reply) {
            if (!*answered) {
                *answered = true;
                whenAwake(callLife, [handler, reply] {
                    handler(reply);
                });
            }
        };
        fleet.m_clock.after(limit, [finish] {
            finish(Reply());
        });
        if (target == nullptr || fleet.isCut(name, entry.zone)) {
            return;
        }
        const auto way = fleet.delay(zone, entry.zone);
        std::uniform_real_distribution<double> chance(0, 1);
        const bool lost = chance(fleet.m_random) < fleet.m_lostOrders;
        const auto late = LateFrom + Milliseconds(fleet.m_random() % LateSpreadMs);
        fleet.m_clock.after(lost ? Duration(late) : way, [this, target, way, lost, entry, execute, finish] {
            if (fleet.isCut(name, entry.zone)) {
                return;
            }
            execute(*target, [this, way, lost, entry, finish](const Reply &reply) {
                if (!lost) {
                    fleet.m_clock.after(way, [this, entry, finish, reply] {
                        if (!fleet.isCut(name, entry.zone)) {
                            finish(reply);
                        }
                    });
                }
            });
        });
    }

    void sendStart(const TargetEntry &target, const StartOrder &order) override
    {
        call<OrderReply>(
            target,
            OrderLimit,
            [order](SimulatedTarget &simulated, const std::function<void(const OrderReply &)> &answer) {
                answer(simulated.start(order));
            },
            [this, id = target.id, order](const OrderReply &reply) {
                auto tagged = reply;
                tagged.fencingToken = order.fencingToken;
                node->onStartReply(id, order.name, tagged, fleet.m_clock.now());
            });
    }

    void sendStop(const TargetEntry &target, const StopOrder &order) override
    {
        call<OrderReply>(
            target,
            OrderLimit,
            [order](SimulatedTarget &simulated, const std::function<void(const OrderReply &)> &answer) {
                answer(simulated.stop(order));
            },
            [this, id = target.id, order](const OrderReply &reply) {
                auto tagged = reply;
                tagged.fencingToken = order.fencingToken;
                node->onStopReply(id, order.name, tagged, fleet.m_clock.now());
            });
    }

    void sendRenewal(const TargetEntry &target, const RenewalOrder &order) override
    {
        call<RenewalReply>(
            target,
            Milliseconds(order.waitMs) + RenewalSlack,
            [order](SimulatedTarget &simulated, const std::function<void(const RenewalReply &)> &answer) {
                simulated.renew(order, answer);
            },
            [this, id = target.id, order](const RenewalReply &reply) {
                auto tagged = reply;
                tagged.fencingToken = order.fencingToken;
                node->onRenewalReply(id, tagged, fleet.m_clock.now());
            });
    }

    void forgetTarget(const std::string &) override
    {
    }

    void answerCaller(const std::string &jobId, const CallerReply &reply) override
    {
        fleet.onAnswer(index, jobId, reply);
    }

    void onConfigurationRecord(const ConfigurationRecord &) override
    {
    }

    std::int64_t wallClockMs() override
    {
        constexpr std::int64_t SomeDay = 1'700'000'000'000;
        return SomeDay + std::chrono::duration_cast<Milliseconds>(fleet.m_clock.elapsed()).count();
    }

    // Decisions are not logged here: the promises and the callers' results say what came of them.
    void onJobQueued(const JobSubmission &, std::size_t, Duration) override
    {
    }
    void onStart(const JobSubmission &, const std::string &, const RunName &, Duration, Duration) override
    {
    }
    void onStartRefused(const std::string &, const RunName &, OrderResult) override
    {
    }
    void onRunEnd(const JobSubmission *, const std::string &, const RunName &, RunEnd, Duration) override
    {
    }
    void onStop(const std::string &, const RunName &, const char *) override
    {
    }
    void onEjection(const std::string &, EjectionCause, Duration) override
    {
    }
    void onTargetClaimed(const std::string &, std::uint64_t, std::size_t) override
    {
    }
    void onTargetResponsivenessChanged(const std::string &, bool, std::size_t) override
    {
    }
    void onJobSent(const EntryJob &, const std::string &, Duration) override
    {
    }
    void onCallerAnswered(const EntryJob &, const CallerReply &, Duration) override
    {
    }
    void onJobEnded(const JobSubmission &, const JobResult &, Duration) override
    {
    }
    void onHostSeen(const HostReport &, bool, Duration) override
    {
    }
    void onPool(const PoolName &, const char *, std::uint64_t, std::size_t) override
    {
    }
    void onTargetTaken(const std::string &, std::uint64_t) override
    {
    }
    void onStaleFrame(const std::string &, Duration, std::size_t) override
    {
    }
    void onUsage(const TargetUsage &) override
    {
    }
    void onStrain(bool, Duration) override
    {
    }
    void onTimeGap(Duration) override
    {
    }

    EmulatedFleet &fleet;
    std::size_t index;
    std::string zone;
    std::string name;
    std::unique_ptr<HostNode> node;
    std::uint64_t life = 0;
    TimePoint frozenUntil;
    std::set<std::string> connected;
    TimePoint listReadAt;
};

EmulatedFleet::EmulatedFleet(FleetOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
{
    constexpr std::int64_t SmallTarget = 32000;
    constexpr std::int64_t LargeTarget = 48000;
    constexpr std::int64_t MemoryMb = 131072;
    for (const auto &zone : m_options.targetZones) {
        for (std::size_t number = 0; number < m_options.targetsOfZone; ++number) {
            TargetEntry entry;
            entry.id = "target-" + zone + std::to_string(number);
            entry.service = "service";
            entry.zone = zone;
            entry.capacity = {number % 3 == 2 ? LargeTarget : SmallTarget, MemoryMb, 0};
            entry.startedAtMs = 1;
            m_targets.push_back(std::make_unique<SimulatedTarget>(entry, m_clock, m_promises, [this](const TaskName &task) {
                return truthOf(task);
            }));
        }
    }
    for (std::size_t index = 0; index < m_options.hostZones.size(); ++index) {
        m_hosts.push_back(std::make_unique<Host>(*this, index));
        m_clock.after(Milliseconds(m_random() % 300), [this, index] {
            startHost(index);
        });
    }
}

EmulatedFleet::~EmulatedFleet() = default;

void EmulatedFleet::startHost(std::size_t index)
{
    auto &host = *m_hosts[index];
    if (host.node) {
        return;
    }
    HostIdentity identity;
    identity.host = host.name;
    identity.incarnation = ++host.life * 1000 + index;
    identity.zone = host.zone;
    identity.peerDoor = doorOf(index);
    identity.limits = m_options.limits;
    for (std::size_t other = 0; other < m_hosts.size(); ++other) {
        identity.seeds.push_back(doorOf(other));
    }
    host.connected.clear();
    host.listReadAt = TimePoint();
    host.node = std::make_unique<HostNode>(identity, host, host);
    host.node->setConfiguration({1, "{}"});
    tick(index, host.life);
}

void EmulatedFleet::tick(std::size_t index, std::uint64_t life)
{
    auto &host = *m_hosts[index];
    host.whenAwake(life, [this, &host] {
        const auto now = m_clock.now();
        if (now - host.listReadAt > Milliseconds(300)) {
            host.listReadAt = now;
            std::map<std::string, TargetEntry> entries;
            for (const auto &target : m_targets) {
                entries[target->entry().id] = target->entry();
            }
            host.node->onTargetList(entries, true, now);
        }
        host.node->tick(now);
    });
    if (host.life == life && host.node) {
        const auto frozen = host.frozenUntil > m_clock.now() ? host.frozenUntil - m_clock.now() : Duration(0);
        m_clock.after(frozen + TickPeriod, [this, index, life] {
            tick(index, life);
        });
    }
}

void EmulatedFleet::stopProcess(std::size_t index)
{
    auto &host = *m_hosts[index];
    if (!host.node) {
        return;
    }
    const auto incarnation = host.life * 1000 + index;
    ++host.life;
    // The node may be the caller of this; it is destroyed by an event of its own.
    m_clock.after(Duration(0), [node = std::shared_ptr<HostNode>(std::move(host.node))] {});
    for (auto &other : m_hosts) {
        if (other->index != index && other->node && !isCut(host.name, other->name)) {
            m_clock.after(delay(host.zone, other->zone), [this, &other, &host, incarnation, life = other->life] {
                other->whenAwake(life, [this, &other, &host, incarnation] {
                    other->node->onLinkClosed(host.name, incarnation, m_clock.now());
                });
            });
        }
    }
    std::vector<std::shared_ptr<Call>> broken;
    for (const auto &[id, call] : m_calls) {
        if (call->host == index && !call->over) {
            broken.push_back(call);
        }
    }
    for (const auto &call : broken) {
        onBrokenConnection(call);
    }
}

void EmulatedFleet::at(Duration time, std::function<void()> action)
{
    m_clock.after(time - m_clock.elapsed(), std::move(action));
}

void EmulatedFleet::killHost(std::size_t host, Duration time, Duration downFor)
{
    at(time, [this, host, downFor] {
        stopProcess(host);
        m_clock.after(downFor, [this, host] {
            startHost(host);
        });
    });
}

void EmulatedFleet::freezeHost(std::size_t host, Duration time, Duration length)
{
    at(time, [this, host, length] {
        m_hosts[host]->frozenUntil = m_clock.now() + length;
    });
}

void EmulatedFleet::stopHost(std::size_t host, Duration time, Duration downFor)
{
    constexpr Milliseconds StopTime {2500};
    at(time, [this, host] {
        if (m_hosts[host]->node) {
            m_hosts[host]->node->beginLeaving(m_clock.now());
        }
    });
    killHost(host, time + StopTime, downFor);
}

void EmulatedFleet::closeLinksAcross(const std::string &zone)
{
    for (auto &from : m_hosts) {
        for (auto &to : m_hosts) {
            const bool across = (from->zone == zone) != (to->zone == zone);
            if (!across || !from->node || !to->node) {
                continue;
            }
            const auto incarnation = from->life * 1000 + from->index;
            to->whenAwake(to->life, [this, &from, &to, incarnation] {
                to->node->onLinkClosed(from->name, incarnation, m_clock.now());
            });
        }
    }
}

void EmulatedFleet::cutZone(const std::string &zone, Duration time, Duration length, bool resets)
{
    at(time, [this, zone, resets] {
        m_cutZones.insert(zone);
        if (resets) {
            closeLinksAcross(zone);
        }
    });
    at(time + length, [this, zone] {
        m_cutZones.erase(zone);
    });
}

void EmulatedFleet::cutHost(std::size_t host, Duration time, Duration length)
{
    at(time, [this, host] {
        m_cutHosts.insert(m_hosts[host]->name);
    });
    at(time + length, [this, host] {
        m_cutHosts.erase(m_hosts[host]->name);
    });
}

void EmulatedFleet::slowTargets(std::size_t count, double factor, Duration time, Duration length)
{
    at(time, [this, count, factor] {
        for (std::size_t index = 0; index < count; ++index) {
            m_targets[index]->setSlowness(factor);
        }
    });
    at(time + length, [this, count] {
        for (std::size_t index = 0; index < count; ++index) {
            m_targets[index]->setSlowness(1);
        }
    });
}

void EmulatedFleet::failTargets(std::size_t count, Duration time, Duration length)
{
    const auto set = [this, count](bool failing) {
        for (std::size_t index = 0; index < count; ++index) {
            m_targets[index]->setFailing(failing);
        }
    };
    at(time, [set] {
        set(true);
    });
    at(time + length, [set] {
        set(false);
    });
}

void EmulatedFleet::hangTargets(std::size_t count, Duration time, Duration length)
{
    const auto set = [this, count](bool hanging) {
        for (std::size_t index = 0; index < count; ++index) {
            m_targets[index]->setHanging(hanging);
        }
    };
    at(time, [set] {
        set(true);
    });
    at(time + length, [set] {
        set(false);
    });
}

void EmulatedFleet::restartTargets(std::size_t count, Duration time)
{
    at(time, [this, count] {
        for (std::size_t index = 0; index < count; ++index) {
            m_targets[index]->restart();
        }
    });
}

void EmulatedFleet::loseOrders(double share, Duration time, Duration length)
{
    at(time, [this, share] {
        m_lostOrders = share;
    });
    at(time + length, [this] {
        m_lostOrders = 0;
    });
}

void EmulatedFleet::leaveEarly(double share, Duration time, Duration length)
{
    at(time, [this, share] {
        m_leavers = share;
    });
    at(time + length, [this] {
        m_leavers = 0;
    });
}

void EmulatedFleet::burst(double factor, Duration time, Duration length)
{
    at(time, [this, factor] {
        m_burst = factor;
    });
    at(time + length, [this] {
        m_burst = 1;
    });
}

void EmulatedFleet::burstOfKind(const std::string &route, double factor, Duration time, Duration length)
{
    at(time, [this, route, factor] {
        m_burstOfKind[route] = factor;
    });
    at(time + length, [this, route] {
        m_burstOfKind.erase(route);
    });
}

bool EmulatedFleet::isCut(const std::string &from, const std::string &to) const
{
    const auto zoneOf = [this](const std::string &name) {
        for (const auto &host : m_hosts) {
            if (host->name == name) {
                return host->zone;
            }
        }
        return name;
    };
    const bool betweenHosts = from.starts_with("host-") && to.starts_with("host-");
    if (betweenHosts && (m_cutHosts.contains(from) || m_cutHosts.contains(to))) {
        return true;
    }
    const auto fromZone = zoneOf(from);
    const auto toZone = zoneOf(to);
    return fromZone != toZone && (m_cutZones.contains(fromZone) || m_cutZones.contains(toZone));
}

Duration EmulatedFleet::delay(const std::string &from, const std::string &to) const
{
    return from == to ? m_options.inZone : m_options.acrossZones;
}

Duration EmulatedFleet::objectiveOf(const Call &call)
{
    return std::chrono::duration_cast<Duration>(call.runTime * call.kind.stretch) + call.kind.targetLatency;
}

/// How long the caller waits from its first submission on.
Duration EmulatedFleet::limitOf(const Call &call)
{
    return call.kind.callerLimit + std::chrono::duration_cast<Duration>(objectiveOf(call) * call.kind.objectivesWaited);
}

TaskTruth EmulatedFleet::truthOf(const TaskName &task) const
{
    TaskTruth truth;
    const auto call = m_calls.find(task.jobId);
    if (call == m_calls.end()) {
        return truth;
    }
    // Tasks of a job differ by some 15%, always the same way.
    constexpr double Step = 0.05;
    const double factor = 1 + Step * static_cast<double>(static_cast<int>(task.index * 7 % 7) - 3);
    truth.runTime = std::chrono::duration_cast<Duration>(call->second->runTime * factor);
    truth.need = call->second->request.steps[task.step].demand;
    return truth;
}

void EmulatedFleet::scheduleCaller(const JobKind &kind, Duration last)
{
    const auto ofKind = m_burstOfKind.find(kind.route);
    std::exponential_distribution<double> pause(kind.perSecond * m_burst * (ofKind == m_burstOfKind.end() ? 1 : ofKind->second));
    m_clock.after(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(pause(m_random))), [this, kind, last] {
        if (m_clock.elapsed() >= last) {
            return;
        }
        std::normal_distribution<double> normal(0, 1);
        auto call = std::make_shared<Call>();
        call->kind = kind;
        call->runTime = std::chrono::duration_cast<Duration>(kind.runTime * std::exp(kind.spread * normal(m_random)));
        char id[17];
        std::snprintf(id, sizeof(id), "%016llx", static_cast<unsigned long long>(++m_jobs));
        call->request.id = id;
        StepRequest step;
        step.taskCount = kind.tasks;
        step.demand = {kind.milliCores, 64, 0};
        step.estimate = std::chrono::duration_cast<Milliseconds>(call->runTime * std::exp(kind.estimateError * normal(m_random)));
        call->request.steps.push_back(step);
        call->request.answeredOnCompletion = true;
        call->sentAt = m_clock.now();
        m_calls[call->request.id] = call;
        ++m_results[kind.route].asked;
        submit(call);
        std::uniform_real_distribution<double> chance(0, 1);
        if (chance(m_random) < m_leavers) {
            m_clock.after(call->runTime / 2, [this, call] {
                if (!call->over) {
                    call->over = true;
                    auto &host = *m_hosts[call->host];
                    host.whenAwake(host.life, [this, call, &host] {
                        host.node->cancel(call->request.id, m_clock.now());
                    });
                }
            });
        }
        scheduleCaller(kind, last);
    });
}

void EmulatedFleet::submit(const std::shared_ptr<Call> &call)
{
    std::vector<std::size_t> up;
    for (const auto &host : m_hosts) {
        if (host->node && !host->node->isLeaving()) {
            up.push_back(host->index);
        }
    }
    if (up.empty()) {
        m_clock.after(Milliseconds(200), [this, call] {
            if (!call->over && m_clock.now() - call->sentAt < limitOf(*call)) {
                submit(call);
            }
        });
        return;
    }
    call->host = up[m_random() % up.size()];
    m_promises.onSubmitted(call->request.id);
    auto &host = *m_hosts[call->host];
    const auto life = host.life;
    m_clock.after(ClientDelay, [this, call, &host, life] {
        host.whenAwake(life, [this, call, &host] {
            JobSubmission order;
            order.request = call->request;
            order.route = call->kind.route;
            order.service = "service";
            order.priority = call->kind.priority;
            order.maxAttempts = 3;
            order.stretchFactor = call->kind.stretch;
            order.targetLatency = call->kind.targetLatency;
            order.arrivedAt = m_clock.now();
            order.callerDeadline = call->sentAt + limitOf(*call) - 2 * ClientDelay;
            host.node->submit(std::move(order), m_clock.now());
        });
    });
    m_clock.after(limitOf(*call), [this, call] {
        if (!call->over && m_clock.now() - call->sentAt >= limitOf(*call)) {
            call->over = true;
            ++m_results[call->kind.route].unanswered;
            auto &host = *m_hosts[call->host];
            host.whenAwake(host.life, [this, call, &host] {
                host.node->cancel(call->request.id, m_clock.now());
            });
        }
    });
}

void EmulatedFleet::onBrokenConnection(const std::shared_ptr<Call> &call)
{
    m_clock.after(ResendPause, [this, call] {
        if (!call->over && m_clock.now() - call->sentAt < limitOf(*call)) {
            submit(call);
        }
    });
}

void EmulatedFleet::onAnswer(std::size_t host, const std::string &jobId, const CallerReply &reply)
{
    const auto found = m_calls.find(jobId);
    if (found == m_calls.end() || found->second->over || found->second->host != host) {
        return;
    }
    auto &call = *found->second;
    call.over = true;
    auto &result = m_results[call.kind.route];
    const auto response = m_clock.now() + ClientDelay - call.sentAt;
    switch (reply.answer) {
    case CallerAnswer::Completed: {
        const auto objective = objectiveOf(call);
        if (response <= objective) {
            ++result.inObjective;
        } else {
            ++(response <= OverdueObjectives * objective ? result.late : result.overdue);
        }
        break;
    }
    case CallerAnswer::NotRun:
        ++result.refused;
        m_promises.onToldNotRun(jobId, m_clock.elapsed());
        break;
    case CallerAnswer::Failed:
    case CallerAnswer::Unknown:
        ++result.unanswered;
        break;
    }
}

void EmulatedFleet::run(Duration firstCallers, Duration lastCallers, Duration end)
{
    at(firstCallers, [this, lastCallers] {
        for (const auto &kind : m_options.kinds) {
            scheduleCaller(kind, lastCallers);
        }
    });
    m_clock.runUntil(end);
}

const Promises &EmulatedFleet::promises() const
{
    return m_promises;
}

const std::map<std::string, KindResult> &EmulatedFleet::results() const
{
    return m_results;
}

std::size_t EmulatedFleet::dispatcherCount() const
{
    return static_cast<std::size_t>(std::count_if(m_hosts.begin(), m_hosts.end(), [](const auto &host) {
        return host->node && host->node->isDispatcher();
    }));
}

std::size_t EmulatedFleet::leadingHost() const
{
    for (const auto &host : m_hosts) {
        if (host->node && host->node->isDispatcher()) {
            return host->index;
        }
    }
    return 0;
}
} // namespace Anvilcart::Emulation
