#include "config/settings.h"
#include "dispatch/dispatchservice.h"
#include "kernel/kernel.h"
#include "kernel/pluginregistry.h"
#include "net/httpclient.h"
#include "publication/configurationfollower.h"
#include "publication/configurationservice.h"
#include "publication/hostlist.h"
#include "publication/hostlistservice.h"
#include "publication/logclient.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <glog/logging.h>

namespace Anvilcart
{
namespace asio = boost::asio;

namespace
{
constexpr Milliseconds HostListPollPeriod {1000};
constexpr Milliseconds HostListTimeout {2000};

asio::awaitable<void> sleepFor(Duration duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

/// Follows the configuration in the platform's log and polls the platform's host list.
class PlatformPlugin : public Plugin
{
public:
    std::string_view name() const override
    {
        return "platform";
    }

    void start(Kernel &kernel) override
    {
        const auto &settings = kernel.service<const Settings>();
        m_dispatch = &kernel.service<DispatchService>();
        m_platformEndpoints = settings.platform;
        m_sourceAddress = settings.callerDoor.address;
        m_logClient = std::make_unique<LogClient>(m_platformEndpoints, m_sourceAddress);
        m_configuration.subscribe([this](std::shared_ptr<const Configuration> configuration) {
            m_dispatch->perform([configuration = std::move(configuration)](Dispatcher &dispatcher, TimePoint now) {
                dispatcher.applyConfiguration(configuration, now);
            });
        });
        kernel.provide<LogService>(*m_logClient);
        kernel.provide(m_configuration);
        kernel.provide(m_hostList);
        auto &loop = kernel.ioLoops().at(0);
        m_configurationFollower = std::make_unique<ConfigurationFollower>(settings, *m_logClient, m_configuration);
        asio::co_spawn(loop, m_configurationFollower->run(), asio::detached);
        asio::co_spawn(loop, pollHostList(), asio::detached);
    }

private:
    asio::awaitable<void> pollHostList()
    {
        for (;;) {
            const auto reply =
                co_await callOnce(m_platformEndpoints.front(), HttpCall("GET", "/v1/hosts", ""), HostListTimeout, m_sourceAddress);
            if (reply.progress == CallProgress::Answered) {
                if (const auto list = decodeHostList(reply.body)) {
                    applyHostList(*list);
                }
            }
            co_await sleepFor(HostListPollPeriod);
        }
    }

    void applyHostList(const HostList &list)
    {
        m_configurationFollower->setPeers(list.operatorEndpoints());
        m_hostList.publish(list);
        auto leavingTargetNames = list.leavingTargets();
        m_dispatch->perform([leavingTargetNames = std::move(leavingTargetNames)](Dispatcher &dispatcher, TimePoint) {
            dispatcher.applyLeavingTargets(leavingTargetNames);
        });
    }

    DispatchService *m_dispatch = nullptr;
    std::vector<Endpoint> m_platformEndpoints;
    std::string m_sourceAddress;
    std::unique_ptr<LogClient> m_logClient;
    ConfigurationService m_configuration;
    std::unique_ptr<ConfigurationFollower> m_configurationFollower;
    HostListService m_hostList;
};

const PluginRegistrar<PlatformPlugin> Registrar(PluginStage::Platform);
} // namespace
} // namespace Anvilcart
