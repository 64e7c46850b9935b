#include "verbs/hostsurvey.h"

#include "net/httpclient.h"
#include "net/oneshot.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>

#include <algorithm>
#include <tuple>

namespace Anvilcart
{
namespace asio = boost::asio;

namespace
{
constexpr Milliseconds StatusTimeout {1000};
constexpr int StatusOk = 200;

/// The reports that are still being made.
struct Survey
{
    explicit Survey(const asio::any_io_executor &executor)
        : done(std::make_shared<OneShot<bool>>(executor))
    {
    }

    std::vector<HostReport> reports;
    std::size_t missing = 0;
    std::shared_ptr<OneShot<bool>> done;
};

asio::awaitable<void> ask(std::shared_ptr<Survey> survey, std::size_t index, Endpoint door)
{
    const auto reply = co_await callOnce(door, HttpCall("GET", StatusPath), StatusTimeout);
    auto &report = survey->reports[index];
    if (reply.progress == CallProgress::Answered && reply.status == StatusOk) {
        report.status = decodeHostStatus(reply.body);
    }
    if (!report.status) {
        report.error = reply.progress == CallProgress::Answered ? "its answer cannot be read" : reply.error;
    }
    if (--survey->missing == 0) {
        survey->done->set(true);
    }
}
} // namespace

asio::awaitable<std::vector<HostReport>> surveyHosts(HostList list)
{
    const auto executor = co_await asio::this_coro::executor;
    std::erase_if(list.hosts, [](const HostListEntry &host) {
        return host.role != HostRole::Entry || !host.operatorEndpoint;
    });
    std::sort(list.hosts.begin(), list.hosts.end(), [](const HostListEntry &left, const HostListEntry &right) {
        return std::tie(left.zone, left.name) < std::tie(right.zone, right.name);
    });
    auto survey = std::make_shared<Survey>(executor);
    survey->reports.resize(list.hosts.size());
    survey->missing = list.hosts.size();
    for (std::size_t index = 0; index < list.hosts.size(); ++index) {
        survey->reports[index].host = list.hosts[index].name;
        survey->reports[index].zone = list.hosts[index].zone;
        asio::co_spawn(executor, ask(survey, index, *list.hosts[index].operatorEndpoint), asio::detached);
    }
    if (!list.hosts.empty()) {
        co_await survey->done->wait();
    }
    co_return std::move(survey->reports);
}

bool isInForce(const HostReport &report, std::uint64_t version)
{
    return report.status && report.status->version >= version;
}
} // namespace Anvilcart
