#include "publication/configurationfollower.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/test/unit_test.hpp>

using namespace Anvilcart;
namespace asio = boost::asio;

namespace
{
constexpr Milliseconds PollPeriod {5};
constexpr Seconds WaitTimeout {30};

/// An in-memory log. A read returns at once or after a short delay, regardless of the requested wait.
class FakeLog : public LogService
{
public:
    asio::awaitable<LogReadResult> read(std::string, std::uint64_t from, Duration) override
    {
        if (from >= end()) {
            asio::steady_timer timer(co_await asio::this_coro::executor, PollPeriod);
            co_await timer.async_wait(asio::use_awaitable);
        }
        LogPage page;
        page.first = first;
        page.next = std::max(from, first);
        page.end = end();
        for (; page.next < page.end; ++page.next) {
            page.records.push_back({page.next, records[page.next]});
        }
        co_return page;
    }

    asio::awaitable<LogAppendResult> append(std::string, std::string body) override
    {
        records.push_back(std::move(body));
        const LogAppended appended {end() - 1};
        co_return appended;
    }

    std::uint64_t end() const
    {
        return records.size();
    }

    std::uint64_t first = 0;
    std::vector<std::string> records;
};

std::string encodedVersion(std::uint64_t version, std::optional<std::uint64_t> carriedAt = std::nullopt)
{
    ConfigurationRecord record;
    record.id = "r" + std::to_string(version);
    record.parent = version - 1;
    record.version = version;
    record.files = {{BaseFileName, ""}};
    record.carriedAt = carriedAt;
    return encode(record);
}

/// A follower without peers on its own event loop.
struct FollowerFixture
{
    FollowerFixture()
    {
        settings.host = "entry-1";
        settings.carryForwardPeriod = Seconds(1);
    }

    void start()
    {
        follower = std::make_unique<ConfigurationFollower>(settings, log, service);
        asio::co_spawn(loop, follower->run(), asio::detached);
    }

    template<typename Condition>
    bool eventually(const Condition &condition)
    {
        const auto deadline = Clock::now() + WaitTimeout;
        while (!condition() && Clock::now() < deadline) {
            loop.run_for(PollPeriod);
        }
        return condition();
    }

    Settings settings;
    FakeLog log;
    ConfigurationService service;
    std::unique_ptr<ConfigurationFollower> follower;
    asio::io_context loop;
};
} // namespace

BOOST_FIXTURE_TEST_SUITE(ConfigurationFollowerSuite, FollowerFixture, *boost::unit_test::label("platform"))

BOOST_AUTO_TEST_CASE(The_current_version_is_carried_forward_and_remains_readable_after_its_record_expires)
{
    log.records = {encodedVersion(1), encodedVersion(2)};
    start();
    BOOST_REQUIRE(eventually([&] {
        return log.end() == 3;
    }));
    const auto carriedForward = decodeConfigurationRecord(log.records.back());
    BOOST_REQUIRE(carriedForward.has_value());
    BOOST_TEST(carriedForward->version == 2);
    BOOST_TEST(carriedForward->carriedAt.value_or(0) == 2);
    ConfigurationService lateService;
    LogPage page;
    page.first = 2;
    page.next = 3;
    page.end = 3;
    page.records = {{2, log.records.back()}};
    lateService.applyPage(page);
    BOOST_TEST(lateService.current()->version == 2);
}

BOOST_AUTO_TEST_CASE(A_follower_without_a_base_version_appends_nothing_and_applies_versions_once_it_has_one)
{
    log.first = 5;
    log.records.resize(5);
    log.records.push_back(encodedVersion(4));
    start();
    BOOST_REQUIRE(eventually([&] {
        return service.history().next() == 6;
    }));
    BOOST_TEST(service.current() == nullptr);
    loop.run_for(settings.carryForwardPeriod / 2);
    BOOST_TEST(log.end() == 6);
    log.records.push_back(encodedVersion(3, 5));
    BOOST_REQUIRE(eventually([&] {
        return service.current() != nullptr;
    }));
    BOOST_TEST(service.current()->version == 4);
}

BOOST_AUTO_TEST_SUITE_END()
