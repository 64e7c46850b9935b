#include "hostruntime/hostprocess.h"

#include "entry/callergate.h"
#include "fleet/hostnode.h"
#include "fleet/peerlinks.h"
#include "hostruntime/doorfollower.h"
#include "hostruntime/storefollower.h"
#include "hostruntime/targetconnections.h"
#include "kernel/timerservice.h"
#include "net/httpserver.h"
#include "platform/configurationmessages.h"
#include "platform/jobmessages.h"
#include "platform/names.h"
#include "verbs/textfile.h"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <ctime>
#include <future>
#include <random>
#include <unistd.h>
#include <utility>

namespace Anvilcart::Fleet
{
namespace asio = boost::asio;

namespace
{
/// Retries and retired targets are looked after that often: half of the shortest bound (50 ms).
constexpr Milliseconds TickPeriod {25};
/// Lines are handed over that often.
constexpr Milliseconds LogPeriod {100};
constexpr Milliseconds SettingsPeriod {2000};
/// Dispatchers must know of a leaving target within the time that it goes on serving (2 s); others need the list only to take over.
constexpr Milliseconds DispatcherListPeriod {300};
constexpr Milliseconds QuietListPeriod {1000};
/// The balancer sends new connections until its second probe in a row has missed, a second apart.
constexpr Milliseconds BalancerNotice {2300};
/// Given up this much before the platform kills the process.
constexpr Milliseconds KillMargin {700};
/// The process stood still for so long although the steady clock does not show it.
constexpr Milliseconds SuspensionLimit {400};

TimePoint bootTime()
{
    timespec time {};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::duration_cast<Duration>(Seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
}

HttpLimits doorLimits(const CallerHttpLimits &limits)
{
    HttpLimits bounds;
    bounds.headerBytes = limits.maxHeaderBytes;
    bounds.bodyBytes = limits.maxBodyBytes;
    bounds.idleTime = limits.idleTimeout;
    bounds.requestTime = limits.headerTimeout;
    return bounds;
}

HttpResponse plain(int status)
{
    HttpResponse response;
    response.status = status;
    response.body = "{}";
    return response;
}

HostIdentity identityOf(const Platform::HostSettings &settings, const HostOptions &options)
{
    constexpr double Percent = 100;
    HostIdentity identity;
    identity.host = settings.host;
    std::random_device random;
    identity.incarnation = (static_cast<std::uint64_t>(random()) << 32U) | random();
    identity.zone = settings.zone;
    identity.peerDoor = settings.peerEndpoint;
    identity.processorPercent = static_cast<std::uint32_t>(settings.processorShare * Percent);
    identity.seeds = settings.seeds;
    identity.limits.maxLease = settings.maxLease;
    identity.limits.stopTime = settings.maxStopTime;
    identity.limits.policy = queuePolicyNamed(options.queuePolicy);
    identity.limits.refuseHopeless = options.refuseHopeless;
    return identity;
}
} // namespace

struct HostProcess::Private : HostPort, std::enable_shared_from_this<HostProcess::Private>
{
    Private(Platform::HostSettings hostSettings, HostOptions hostOptions)
        : settings(std::move(hostSettings))
        , options(std::move(hostOptions))
        , loops(1)
        , executor(loops.at(0).get_executor())
        , log(STDOUT_FILENO, settings.host)
        , telemetry(log)
        , targets(executor)
        , node(identityOf(settings, options), *this, telemetry)
        , gate(executor, node, telemetry)
    {
    }

    void openDoors()
    {
        const auto refusal = [](ResultCode code) {
            auto response = plain(info(code).httpStatus);
            response.body = Platform::encodeError(info(code).name);
            return response;
        };
        links = std::make_unique<PeerLinks>(
            executor,
            settings.peerEndpoint,
            [this](std::string_view bytes) {
                return receive(bytes);
            },
            [this](const LinkSender &sender) {
                node.onLinkClosed(sender.host, sender.incarnation, Clock::now());
            });
        callerServer = std::make_unique<HttpServer>(
            loops,
            settings.callerEndpoint,
            doorLimits(CallerHttpLimits()),
            [this](HttpRequest request, HttpPeer &peer) {
                return gate.handle(std::move(request), peer);
            },
            refusal);
        readyServer = std::make_unique<HttpServer>(
            loops,
            settings.readinessEndpoint,
            HttpLimits(),
            [this](HttpRequest, HttpPeer &) -> asio::awaitable<HttpResponse> {
                co_return plain(isReady() ? 200 : 503);
            },
            refusal);
        if (options.metricsPort != 0) {
            metricsServer = std::make_unique<HttpServer>(
                loops,
                Endpoint {settings.callerEndpoint.address, options.metricsPort},
                HttpLimits(),
                [this](HttpRequest, HttpPeer &) -> asio::awaitable<HttpResponse> {
                    HttpResponse response;
                    response.contentType = "text/plain; version=0.0.4";
                    response.body = telemetry.serialize();
                    co_return response;
                },
                refusal);
        }
    }

    void start()
    {
        telemetry.onProcess(LogLine("start")
                                .add("zone", settings.zone)
                                .add("door", toString(settings.callerEndpoint))
                                .add("peers", toString(settings.peerEndpoint))
                                .add("store", toString(settings.store))
                                .add("policy", options.queuePolicy));
        configuration = std::make_shared<ConfigurationFollower>(executor, settings.store, telemetry, [this](const std::string &record) {
            applyConfiguration(record, "store");
        });
        configuration->start();
        targetList = std::make_shared<TargetListFollower>(
            executor,
            settings.store,
            telemetry,
            [this]() -> Duration {
                return node.isDispatcher() ? DispatcherListPeriod : QuietListPeriod;
            },
            [this](const std::map<std::string, TargetEntry> &entries, bool fresh) {
                node.onTargetList(entries, fresh, Clock::now());
            });
        targetList->start();
        doors = std::make_shared<DoorFollower>(
            executor, settings.store, settings.peerEndpoint, settings.host, [this](const std::vector<Endpoint> &known) {
                node.onKnownDoors(known);
            });
        doors->start();
        lastTickAt = Clock::now();
        lastBootTime = bootTime();
        subscriptions.push_back(timers.subscribe(executor, TickPeriod, [this](TimePoint now) {
            tick(now);
        }));
        subscriptions.push_back(timers.subscribe(executor, LogPeriod, [this](TimePoint now) {
            log.flush(now);
        }));
        subscriptions.push_back(timers.subscribe(executor, SettingsPeriod, [this](TimePoint) {
            reloadSettings(false);
        }));
        node.tick(Clock::now());
    }

    void tick(TimePoint now)
    {
        const auto boot = bootTime();
        const auto suspended = (boot - lastBootTime) - (now - lastTickAt);
        if (suspended > SuspensionLimit) {
            node.onTimeGap(suspended, now);
        }
        node.onTimerDelay(now - lastTickAt - TickPeriod, now);
        lastBootTime = boot;
        lastTickAt = now;
        node.tick(now);
        if (leavingSince != TimePoint()) {
            continueLeaving(now);
        }
    }

    bool isReady() const
    {
        return leavingSince == TimePoint() && gate.routes() != nullptr && node.canDispatch(Clock::now());
    }

    LinkSender receive(std::string_view bytes)
    {
        auto frame = decodeFrame(bytes, Clock::now());
        if (!frame) {
            telemetry.onBadInput("peer_message", std::to_string(bytes.size()) + " bytes");
            return {};
        }
        LinkSender sender {frame->host, frame->incarnation};
        node.onFrame(std::move(*frame), Clock::now());
        return sender;
    }

    void applyConfiguration(const std::string &record, const char *source)
    {
        auto decoded = Platform::decodeConfiguration(record);
        if (!decoded) {
            telemetry.onBadInput("configuration", std::to_string(record.size()) + " bytes from " + source);
            return;
        }
        const auto inForce = gate.routes();
        if (inForce && decoded->version <= inForce->version()) {
            return;
        }
        const auto version = decoded->version;
        auto table = std::make_shared<const RouteTable>(std::move(*decoded));
        callerServer->setLimits(doorLimits(table->limits()));
        telemetry.onConfiguration(version, table->size(), source);
        gate.setRoutes(std::move(table));
        node.setConfiguration({version, record});
    }

    void reloadSettings(bool asked)
    {
        const auto content = readTextFile(options.settingsPath);
        if (!content || *content == settingsText) {
            if (asked) {
                telemetry.onProcess(LogLine("reload").add("result", content ? "unchanged" : "the settings file cannot be read"));
            }
            return;
        }
        settingsText = *content;
        const auto result = Platform::parseSettings(*content);
        if (!result.settings) {
            telemetry.onBadInput("settings", std::to_string(result.error.line) + ": " + result.error.message);
            return;
        }
        settings.shutdownGracePeriod = result.settings->shutdownGracePeriod;
        settings.seeds = result.settings->seeds;
        node.onKnownDoors(settings.seeds);
        telemetry.onProcess(LogLine("reload").add("result", "applied").add("seeds", std::uint64_t(settings.seeds.size())));
    }

    void beginLeaving()
    {
        if (leavingSince != TimePoint()) {
            return;
        }
        const auto now = Clock::now();
        leavingSince = now;
        telemetry.onProcess(LogLine("stopping").add("in_flight", std::uint64_t(callerServer->requestsInFlight())));
        callerServer->beginDrain();
        doors->stop();
        node.beginLeaving(now);
    }

    void continueLeaving(TimePoint now)
    {
        const auto since = now - leavingSince;
        const bool overdue = since > settings.shutdownGracePeriod - KillMargin;
        const bool calm = since > BalancerNotice && node.isIdle() && callerServer->requestsInFlight() == 0;
        if (overdue && !gaveUp) {
            gaveUp = true;
            node.giveUp(now);
            return;
        }
        if (calm || since > settings.shutdownGracePeriod - KillMargin / 2) {
            telemetry.onProcess(LogLine("stop").add("after_ms", since).add("idle", calm ? "yes" : "no"));
            log.flush(now);
            links->stop();
            stopped.set_value();
            leavingSince = now + std::chrono::hours(1);
        }
    }

    void connect(const Endpoint &door) override
    {
        links->connect(door);
    }

    void disconnect(const Endpoint &door) override
    {
        links->disconnect(door);
    }

    void reconnect(const Endpoint &door) override
    {
        links->reconnect(door);
    }

    bool sendFrame(const Endpoint &door, const FleetFrame &frame) override
    {
        return links->send(door, encodeFrame(frame, Clock::now()));
    }

    void sendStart(const TargetEntry &target, const StartRequest &order) override
    {
        targets.start(target, order, [this, id = target.id, run = order.name](const TargetReply &reply) {
            node.onStartReply(id, run, reply, Clock::now());
        });
    }

    void sendStop(const TargetEntry &target, const StopRequest &order) override
    {
        targets.stop(target, order, [this, id = target.id, run = order.name](const TargetReply &reply) {
            node.onStopReply(id, run, reply, Clock::now());
        });
    }

    void sendRenewal(const TargetEntry &target, const RenewalRequest &order) override
    {
        targets.renew(target, order, [this, id = target.id](const RenewalReply &reply) {
            node.onRenewalReply(id, reply, Clock::now());
        });
    }

    void forgetTarget(const std::string &target) override
    {
        targets.forget(target);
    }

    void answerCaller(const std::string &jobId, const CallerReply &reply) override
    {
        gate.onAnswer(jobId, reply);
    }

    void onConfigurationRecord(const ConfigurationRecord &record) override
    {
        applyConfiguration(record.record, "peer");
    }

    std::int64_t wallClockMs() override
    {
        return std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    }

    Platform::HostSettings settings;
    HostOptions options;
    EventLoops loops;
    asio::any_io_executor executor;
    EventLog log;
    HostTelemetry telemetry;
    TargetConnections targets;
    HostNode node;
    CallerGate gate;
    TimerService timers;
    std::unique_ptr<PeerLinks> links;
    std::unique_ptr<HttpServer> callerServer;
    std::unique_ptr<HttpServer> readyServer;
    std::unique_ptr<HttpServer> metricsServer;
    std::shared_ptr<ConfigurationFollower> configuration;
    std::shared_ptr<TargetListFollower> targetList;
    std::shared_ptr<DoorFollower> doors;
    std::vector<TimerSubscription> subscriptions;
    std::string settingsText;
    TimePoint lastTickAt;
    TimePoint lastBootTime;
    TimePoint leavingSince;
    bool gaveUp = false;
    std::promise<void> stopped;
};

HostProcess::HostProcess(Platform::HostSettings settings, HostOptions options)
    : d(std::make_shared<Private>(std::move(settings), std::move(options)))
{
    d->settingsText = readTextFile(d->options.settingsPath).value_or(std::string());
    d->openDoors();
}

HostProcess::~HostProcess() = default;

void HostProcess::run()
{
    auto over = d->stopped.get_future();
    asio::signal_set stopSignals(d->executor, SIGTERM, SIGINT);
    stopSignals.async_wait([this](const boost::system::error_code &error, int) {
        if (!error) {
            d->beginLeaving();
        }
    });
    asio::signal_set reloadSignal(d->executor, SIGHUP);
    std::function<void(const boost::system::error_code &, int)> onReload = [&](const boost::system::error_code &error, int) {
        if (!error) {
            d->reloadSettings(true);
            reloadSignal.async_wait(onReload);
        }
    };
    reloadSignal.async_wait(onReload);
    asio::post(d->executor, [this] {
        d->start();
    });
    over.wait();
    d->loops.stop();
}
} // namespace Anvilcart::Fleet
