#include "hostruntime/hostprocess.h"

#include "entry/callerrequesthandler.h"
#include "fleet/hostnode.h"
#include "fleet/peerlinks.h"
#include "fleet/shutdownsequence.h"
#include "hostruntime/peerdiscovery.h"
#include "hostruntime/resourceplan.h"
#include "hostruntime/storefollower.h"
#include "hostruntime/targetconnections.h"
#include "kernel/hangupsignal.h"
#include "kernel/timerservice.h"
#include "net/descriptorlimit.h"
#include "net/httpserver.h"
#include "platform/configurationmessages.h"
#include "platform/jobmessages.h"
#include "platform/names.h"
#include "verbs/textfile.h"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <ctime>
#include <future>
#include <map>
#include <random>
#include <unistd.h>
#include <utility>

namespace Anvilcart::Fleet
{
namespace asio = boost::asio;

namespace
{
/// Period at which retries and retired targets are checked: half of the shortest time limit (50 ms).
constexpr Milliseconds TickPeriod {25};
constexpr Milliseconds LogFlushPeriod {100};
constexpr Milliseconds SettingsPollPeriod {2000};
constexpr Milliseconds ClientReportPeriod {1000};
/// A dispatcher must learn of a leaving target while the target still serves (2 s or more); other hosts need the list only for a takeover,
/// and the longer it is, the less often they read it.
constexpr Milliseconds DispatcherTargetListPeriod {300};
constexpr Milliseconds StandbyTargetListPeriod {1000};
constexpr Milliseconds StandbyTargetListPeriodPerTarget {9};
/// Time that must pass on the boot clock but not on the steady clock to count as a suspension of the process.
constexpr Milliseconds SuspensionThreshold {400};

TimePoint bootTime()
{
    timespec time {};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::duration_cast<Duration>(Seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
}

/// A job is kept as its request's decoded steps, as the entry host's record of it, and as a message to its dispatcher.
constexpr std::size_t CopiesOfJob = 4;

ResourcePlan planFor(const Platform::HostSettings &settings, std::size_t maxBodyBytes)
{
    return planResources(settings.memoryMb, settings.maxDescriptors, descriptorLimit(), maxBodyBytes, CopiesOfJob);
}

HttpLimits callerLimits(const CallerHttpLimits &limits, const Platform::HostSettings &settings)
{
    const auto plan = planFor(settings, limits.maxBodyBytes);
    HttpLimits result;
    result.headerBytes = limits.maxHeaderBytes;
    result.bodyBytes = limits.maxBodyBytes;
    result.bodyBytesInTotal = plan.callerBodyBytes;
    result.copiesOfBody = CopiesOfJob;
    result.headerMemoryInTotal = plan.callerHeaderMemory;
    result.connections = plan.callerConnections;
    result.idleTime = limits.idleTimeout;
    result.requestTime = limits.headerTimeout;
    return result;
}

/// For endpoints whose requests have no body.
HttpLimits auxiliaryLimits(const Platform::HostSettings &settings)
{
    constexpr std::size_t MaxBodyBytes = 4096;
    constexpr std::size_t TotalBytes = std::size_t(1024) * 1024;
    HttpLimits result;
    result.bodyBytes = MaxBodyBytes;
    result.bodyBytesInTotal = TotalBytes;
    result.headerMemoryInTotal = TotalBytes;
    result.connections = planFor(settings, MaxBodyBytes).auxiliaryConnections;
    return result;
}

PeerLinkLimits peerLimits(const Platform::HostSettings &settings)
{
    const auto plan = planFor(settings, 0);
    return {plan.peerConnections, plan.peerBufferBytes};
}

HttpResponse emptyResponse(int status)
{
    HttpResponse response;
    response.status = status;
    response.body = "{}";
    return response;
}

HostIdentity makeIdentity(const Platform::HostSettings &settings, const HostOptions &options)
{
    constexpr double Percent = 100;
    HostIdentity identity;
    identity.host = settings.host;
    std::random_device random;
    identity.incarnation = (static_cast<std::uint64_t>(random()) << 32U) | random();
    identity.isFirstStart = settings.isFirstStart;
    identity.zone = settings.zone;
    identity.peerEndpoint = settings.peerEndpoint;
    identity.processorPercent = static_cast<std::uint32_t>(settings.processorShare * Percent);
    identity.seeds = settings.seeds;
    identity.maxPeers = planFor(settings, 0).outgoingPeerConnections;
    identity.limits.maxLease = settings.maxLease;
    identity.targetListExpiry = settings.targetHeartbeat;
    identity.limits.stopTime = settings.maxStopTime;
    identity.limits.evacuationBound = settings.evacuationBound;
    identity.limits.farFactor = settings.farFactor;
    if (settings.memoryMb > 0) {
        identity.limits.maxTasks = maxTasksForMemory(settings.memoryMb);
    }
    identity.limits.policy = queuePolicyNamed(options.queuePolicy);
    identity.limits.refuseInfeasible = options.refuseInfeasible;
    identity.limits.refuseLate = options.refuseLate;
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
        , targetConnections(executor)
        , node(makeIdentity(settings, options), *this, telemetry)
        , callerHandler(executor, node, telemetry)
    {
    }

    void openEndpoints()
    {
        const auto refusal = [](ResultCode code) {
            auto response = emptyResponse(info(code).httpStatus);
            response.body = Platform::encodeError(info(code).name);
            if (code == ResultCode::QueueFull) {
                // Memory becomes free as requests are answered, most of them within a second.
                response.headers.push_back({"Retry-After", "1"});
            }
            return response;
        };
        peerLinks = std::make_unique<PeerLinks>(
            executor,
            settings.peerEndpoint,
            [this](std::string_view bytes) {
                return receive(bytes);
            },
            [this](const LinkSender &sender, bool isNewest) {
                if (isNewest) {
                    node.onLinkClosed(sender.host, sender.incarnation, Clock::now());
                } else {
                    node.onLinkReplaced(sender.host, Clock::now());
                }
            },
            [this](const Endpoint &endpoint) {
                node.onConnectionLost(endpoint, Clock::now());
            },
            peerLimits(settings));
        callerServer = std::make_unique<HttpServer>(
            loops,
            settings.callerEndpoint,
            callerLimits(CallerHttpLimits(), settings),
            [this](HttpRequest request, HttpPeer &peer) {
                return callerHandler.handle(std::move(request), peer);
            },
            refusal);
        readinessServer = std::make_unique<HttpServer>(
            loops,
            settings.readinessEndpoint,
            auxiliaryLimits(settings),
            [this](HttpRequest, HttpPeer &) -> asio::awaitable<HttpResponse> {
                co_return emptyResponse(isReady() ? 200 : 503);
            },
            refusal);
        if (options.metricsPort != 0) {
            metricsServer = std::make_unique<HttpServer>(
                loops,
                Endpoint {settings.callerEndpoint.address, options.metricsPort},
                auxiliaryLimits(settings),
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
        telemetry.onProcessEvent(LogLine("start")
                                     .add("zone", settings.zone)
                                     .add("door", toString(settings.callerEndpoint))
                                     .add("peers", toString(settings.peerEndpoint))
                                     .add("store", toString(settings.store))
                                     .add("policy", options.queuePolicy));
        configurationFollower = std::make_shared<ConfigurationFollower>(
            executor,
            settings.store,
            settings.maxConfigurationDelay,
            telemetry,
            [this](const std::string &record) {
                applyConfiguration(record, "store");
            },
            [this](const std::optional<EvacuationRead> &read) {
                if (read) {
                    node.onEvacuations(*read, Clock::now());
                } else {
                    node.onEvacuationsLost(Clock::now());
                }
            });
        configurationFollower->start();
        targetListFollower = std::make_shared<TargetListFollower>(
            executor,
            settings.store,
            settings.targetHeartbeat,
            telemetry,
            [this](std::size_t targets) -> Duration {
                const auto standbyPeriod =
                    std::max(StandbyTargetListPeriod, StandbyTargetListPeriodPerTarget * static_cast<std::int64_t>(targets));
                return node.isDispatcher() ? DispatcherTargetListPeriod : standbyPeriod;
            },
            [this](const std::map<std::string, TargetEntry> &entries, bool fresh) {
                node.onTargetList(entries, fresh, Clock::now());
            },
            [this] {
                node.onTargetListFailure(Clock::now());
            });
        targetListFollower->start();
        peerDiscovery = std::make_shared<PeerDiscovery>(
            executor, settings.store, settings.peerEndpoint, settings.host, [this](const std::vector<Endpoint> &endpoints) {
                node.onKnownEndpoints(endpoints);
            });
        peerDiscovery->start();
        lastTickAt = Clock::now();
        lastBootTime = bootTime();
        subscriptions.push_back(timers.subscribe(executor, TickPeriod, [this](TimePoint now) {
            tick(now);
        }));
        subscriptions.push_back(timers.subscribe(executor, LogFlushPeriod, [this](TimePoint now) {
            log.flush(now);
        }));
        subscriptions.push_back(timers.subscribe(executor, SettingsPollPeriod, [this](TimePoint) {
            reloadSettings(false);
        }));
        subscriptions.push_back(timers.subscribe(executor, ClientReportPeriod, [this](TimePoint) {
            reportLimitedClients();
        }));
        node.tick(Clock::now());
    }

    void tick(TimePoint now)
    {
        const auto bootNow = bootTime();
        const auto suspended = (bootNow - lastBootTime) - (now - lastTickAt);
        if (suspended > SuspensionThreshold) {
            node.onTimeGap(suspended, now);
        }
        node.onTimerDelay(now - lastTickAt - TickPeriod, now);
        lastBootTime = bootNow;
        lastTickAt = now;
        callerHandler.onTick(now + TickPeriod);
        node.tick(now);
        continueShutdown(now);
    }

    void reportLimitedClients()
    {
        reportLimitedClients("callers", callerServer.get());
        reportLimitedClients("readiness", readinessServer.get());
        reportLimitedClients("metrics", metricsServer.get());
        const auto replaced = peerLinks->replacedConnections();
        telemetry.onClientsLimited("peers", replaced - reportedPeerConnections, 0);
        reportedPeerConnections = replaced;
    }

    void reportLimitedClients(const char *endpoint, const HttpServer *server)
    {
        if (server == nullptr) {
            return;
        }
        const auto counts = server->counts();
        auto &reported = reportedCounts[endpoint];
        telemetry.onClientsLimited(endpoint,
                                   counts.replacedConnections + counts.refusedConnections - reported.replacedConnections
                                       - reported.refusedConnections,
                                   counts.refusedRequests - reported.refusedRequests);
        reported = counts;
    }

    bool isReady() const
    {
        return !shutdown.hasBegun() && callerHandler.routes() != nullptr && node.hasDispatcher(Clock::now());
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
        const auto current = callerHandler.routes();
        if (current && decoded->version <= current->version()) {
            return;
        }
        const auto version = decoded->version;
        auto table = std::make_shared<const RouteTable>(std::move(*decoded));
        callerServer->setLimits(callerLimits(table->limits(), settings));
        telemetry.onConfigurationApplied(version, table->size(), source);
        callerHandler.setRoutes(std::move(table));
        node.setConfiguration({version, record});
    }

    void reloadSettings(bool requested)
    {
        const auto content = readTextFile(options.settingsPath);
        if (!content || *content == settingsText) {
            if (requested) {
                telemetry.onProcessEvent(LogLine("reload").add("result", content ? "unchanged" : "the settings file cannot be read"));
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
        node.onKnownEndpoints(settings.seeds);
        telemetry.onProcessEvent(LogLine("reload").add("result", "applied").add("seeds", std::uint64_t(settings.seeds.size())));
    }

    void beginShutdown()
    {
        if (shutdown.hasBegun()) {
            return;
        }
        const auto now = Clock::now();
        shutdownStartedAt = now;
        shutdown.begin(now);
        telemetry.onProcessEvent(LogLine("stopping").add("in_flight", std::uint64_t(callerServer->requestsInFlight())));
        callerServer->beginDrain();
        peerDiscovery->stop();
        node.beginLeaving(now);
    }

    void continueShutdown(TimePoint now)
    {
        const RemainingWork work {node.isIdle(), callerServer->requestsInFlight()};
        switch (shutdown.next(work, settings.shutdownGracePeriod, now)) {
        case ShutdownStep::Serve:
            break;
        case ShutdownStep::AbandonJobs:
            node.abandonRemainingJobs(now);
            break;
        case ShutdownStep::End:
            endProcess(work, now);
            break;
        }
    }

    void endProcess(const RemainingWork &work, TimePoint now)
    {
        telemetry.onProcessEvent(LogLine("stop")
                                     .add("after_ms", now - shutdownStartedAt)
                                     .add("idle", work.nodeIsIdle && work.requestsInFlight == 0 ? "yes" : "no")
                                     .add("unanswered", std::uint64_t(work.requestsInFlight)));
        log.flush(now);
        peerLinks->stop();
        // Requests that arrive from now on stay unread.
        loops.at(0).stop();
        stopped.set_value();
    }

    void connect(const Endpoint &endpoint) override
    {
        peerLinks->connect(endpoint);
    }

    void disconnect(const Endpoint &endpoint) override
    {
        peerLinks->disconnect(endpoint);
    }

    void reconnect(const Endpoint &endpoint) override
    {
        peerLinks->reconnect(endpoint);
    }

    bool isConnected(const Endpoint &endpoint) const override
    {
        return peerLinks->isConnected(endpoint);
    }

    bool refusesConnections(const Endpoint &endpoint) const override
    {
        return peerLinks->isRefused(endpoint);
    }

    bool sendFrame(const Endpoint &endpoint, const FleetFrame &frame) override
    {
        return peerLinks->send(endpoint, encodeFrame(frame, Clock::now()));
    }

    void sendStart(const TargetEntry &target, const StartRequest &request) override
    {
        targetConnections.start(target, request, [this, id = target.id, run = request.name](const TargetReply &reply) {
            node.onStartReply(id, run, reply, Clock::now());
        });
    }

    void sendStop(const TargetEntry &target, const StopRequest &request) override
    {
        targetConnections.stop(target, request, [this, id = target.id, run = request.name](const TargetReply &reply) {
            node.onStopReply(id, run, reply, Clock::now());
        });
    }

    void sendRenewal(const TargetEntry &target, const RenewalRequest &request) override
    {
        targetConnections.renew(target, request, [this, id = target.id](const RenewalReply &reply) {
            node.onRenewalReply(id, reply, Clock::now());
        });
    }

    void closeTargetConnections(const std::string &target) override
    {
        targetConnections.closeIdleConnections(target);
    }

    bool isCallerConnected(const std::string &jobId) override
    {
        return callerHandler.isCallerConnected(jobId);
    }

    void answerCaller(const std::string &jobId, const CallerReply &reply) override
    {
        callerHandler.onAnswer(jobId, reply);
    }

    void refreshTargetList() override
    {
        targetListFollower->readSoon();
    }

    void onCancelDecided(const std::string &jobId, CancelOutcome outcome) override
    {
        callerHandler.onCancelDecided(jobId, outcome);
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
    TargetConnections targetConnections;
    HostNode node;
    CallerRequestHandler callerHandler;
    TimerService timers;
    std::unique_ptr<PeerLinks> peerLinks;
    std::unique_ptr<HttpServer> callerServer;
    std::unique_ptr<HttpServer> readinessServer;
    std::unique_ptr<HttpServer> metricsServer;
    std::shared_ptr<ConfigurationFollower> configurationFollower;
    std::shared_ptr<TargetListFollower> targetListFollower;
    std::shared_ptr<PeerDiscovery> peerDiscovery;
    std::vector<TimerSubscription> subscriptions;
    std::map<std::string, HttpServerCounts> reportedCounts;
    std::uint64_t reportedPeerConnections = 0;
    std::string settingsText;
    TimePoint lastTickAt;
    TimePoint lastBootTime;
    TimePoint shutdownStartedAt;
    ShutdownSequence shutdown;
    std::promise<void> stopped;
};

HostProcess::HostProcess(Platform::HostSettings settings, HostOptions options)
    : d(std::make_shared<Private>(std::move(settings), std::move(options)))
{
    d->settingsText = readTextFile(d->options.settingsPath).value_or(std::string());
    d->openEndpoints();
}

HostProcess::~HostProcess() = default;

void HostProcess::run()
{
    auto finished = d->stopped.get_future();
    asio::signal_set stopSignals(d->executor, SIGTERM, SIGINT);
    stopSignals.async_wait([this](const boost::system::error_code &error, int) {
        if (!error) {
            d->beginShutdown();
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
    unblockHangup();
    finished.wait();
    d->loops.stop();
}
} // namespace Anvilcart::Fleet
