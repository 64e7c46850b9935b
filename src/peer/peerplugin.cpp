#include "config/settings.h"
#include "dispatch/dispatchservice.h"
#include "kernel/kernel.h"
#include "kernel/pluginregistry.h"
#include "net/descriptorlimit.h"
#include "observe/metrics.h"
#include "peer/incarnation.h"
#include "peer/peercodec.h"
#include "peer/peermetrics.h"
#include "peer/peernode.h"
#include "peer/tcplink.h"
#include "publication/configurationservice.h"
#include "publication/hostlistservice.h"

#include <glog/logging.h>

#include <future>
#include <thread>

namespace Anvilcart
{
namespace
{
constexpr Milliseconds TickPeriod {100};
/// Time for the link to send the last messages before it stops.
constexpr Milliseconds ShutdownFlushTime {50};

std::vector<ListedPeer> entryPeersOf(const HostList &list)
{
    std::vector<ListedPeer> peers;
    for (const auto &host : list.hosts) {
        if (host.role == HostRole::Entry && host.peerEndpoint) {
            peers.push_back({host.name, host.zone, *host.peerEndpoint});
        }
    }
    return peers;
}

/// Lets the entry hosts of an availability zone share its slots.
class PeerPlugin : public Plugin
{
public:
    std::string_view name() const override
    {
        return "peer";
    }

    void start(Kernel &kernel) override
    {
        m_dispatch = &kernel.service<DispatchService>();
        m_hostList = &kernel.service<HostListService>();
        m_configuration = &kernel.service<ConfigurationService>();
        m_metrics = std::make_unique<PeerMetrics>(kernel.service<Metrics>().registry());
        const auto &settings = kernel.service<const Settings>();
        const PeerIdentity self {settings.host, settings.zone, settings.peerDoor, makeIncarnation()};
        m_link = std::make_unique<TcpLink>(settings.peerDoor, MaxFrameBytes, defaultPeerConnections(), [this](std::string message) {
            m_dispatch->perform([this, message = std::move(message)](Dispatcher &, TimePoint now) {
                onMessage(message, now);
            });
        });
        m_dispatch->perform([this, self](Dispatcher &dispatcher, TimePoint) {
            m_node = std::make_unique<PeerNode>(self, dispatcher, *m_link, *m_metrics);
        });
        m_tickSubscription = kernel.timers().subscribe(kernel.decisionExecutor(), TickPeriod, [this](TimePoint now) {
            onTick(now);
        });
        LOG(INFO) << "peer: listening on " << toString(settings.peerDoor) << " as incarnation " << self.incarnation;
    }

    void stop() override
    {
        std::promise<void> leaveSent;
        m_dispatch->perform([&](Dispatcher &, TimePoint now) {
            m_tickSubscription.cancel();
            m_node->leave(now);
            leaveSent.set_value();
        });
        leaveSent.get_future().wait();
        std::this_thread::sleep_for(ShutdownFlushTime);
        m_link->stopReceiving();
    }

private:
    void onMessage(const std::string &message, TimePoint now)
    {
        // A message may arrive before the node is created.
        if (m_node) {
            m_node->onMessage(message, now);
        }
    }

    void onTick(TimePoint now)
    {
        const auto list = m_hostList->current();
        if (list != m_lastList) {
            m_lastList = list;
            m_node->applyHostList(entryPeersOf(*list), now);
        }
        const auto configuration = m_configuration->current();
        m_node->setConfigurationVersion(configuration ? configuration->version : 0);
        m_node->onTick(now);
    }

    DispatchService *m_dispatch = nullptr;
    HostListService *m_hostList = nullptr;
    ConfigurationService *m_configuration = nullptr;
    std::shared_ptr<const HostList> m_lastList;
    std::unique_ptr<PeerMetrics> m_metrics;
    std::unique_ptr<TcpLink> m_link;
    std::unique_ptr<PeerNode> m_node;
    TimerSubscription m_tickSubscription;
};

const PluginRegistrar<PeerPlugin> Registrar(PluginStage::Peers);
} // namespace
} // namespace Anvilcart
