#include "processsupport.h"
#include "service/servicesite.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>
#include <future>
#include <thread>

using namespace Anvilcart;

namespace
{
constexpr Milliseconds LongRun {2500};
constexpr Milliseconds ShortRun {400};
constexpr Milliseconds CallerTimeout {9000};
/// The second job has arrived at the dispatcher, and the runs of the first are known to its entry host, after this time.
constexpr Milliseconds SettlingTime {700};

/// Three hosts in one zone, of which one dispatches to the few targets.
ServiceSiteOptions optionsOfOneZone()
{
    ServiceSiteOptions options;
    options.hostZones = {"a", "a", "a"};
    options.targetsPerZone = 1;
    return options;
}

/// Jobs of the queues "checks", which run long, and "orders", which share an id.
struct JobsWithOneIdFixture
{
    JobsWithOneIdFixture()
        : site(optionsOfOneZone(), ANVILCART_BINARIES)
    {
        site.publish(1, {"checks", "orders"});
        BOOST_REQUIRE(eventually([this] {
            return site.isReady();
        }));
    }

    std::size_t dispatcher()
    {
        std::size_t found = 0;
        BOOST_REQUIRE(eventually([&] {
            for (std::size_t host = 0; host < site.hostCount(); ++host) {
                if (site.log(host).find("change=claimed") != std::string::npos) {
                    found = host;
                    return true;
                }
            }
            return false;
        }));
        return found;
    }

    std::future<HttpReply> submit(std::size_t host, const std::string &queue, Milliseconds runTime)
    {
        return std::async(std::launch::async, [this, host, queue, runTime] {
            return site.submit(host, queue, Job, 2, runTime, CallerTimeout);
        });
    }

    /// The number of runs of the job with this run time that have started.
    std::size_t runsOf(Milliseconds runTime)
    {
        std::size_t count = 0;
        for (std::size_t worker = 0; worker < site.workerCount(); ++worker) {
            const auto runs = site.worker(worker).runs();
            count += static_cast<std::size_t>(std::count_if(runs.begin(), runs.end(), [runTime](const WorkerRun &run) {
                return run.payload == std::to_string(runTime.count());
            }));
        }
        return count;
    }

    /// Submits both jobs, lets this end the dispatcher, and checks both answers.
    void checkAnswersAfter(const std::function<void(ChildProcess &)> &end, std::size_t longJobOffset)
    {
        const auto lost = dispatcher();
        auto longJob = submit((lost + longJobOffset) % site.hostCount(), "checks", LongRun);
        BOOST_REQUIRE(eventually([this] {
            return runsOf(LongRun) == 2;
        }));
        auto shortJob = submit((lost + site.hostCount() - longJobOffset) % site.hostCount(), "orders", ShortRun);
        std::this_thread::sleep_for(SettlingTime);
        end(site.host(lost));
        const auto shortReply = shortJob.get();
        const auto longReply = longJob.get();
        BOOST_TEST(shortReply.body == R"({"state":"completed"})");
        BOOST_TEST(runsOf(ShortRun) == 2U);
        BOOST_TEST(longReply.body == R"({"state":"completed"})");
        // The runs of the long job were adopted.
        BOOST_TEST(runsOf(LongRun) == 2U);
        BOOST_TEST(site.duplicateRuns() == 0U);
    }

    static constexpr char Job[] = "00000000000000d1";
    ServiceSite site;
};
} // namespace

BOOST_FIXTURE_TEST_SUITE(JobsWithOneIdSuite, JobsWithOneIdFixture)

// review/14: the caller of the second queue was told that its job is completed when the tasks of the first one's had ended.
BOOST_AUTO_TEST_CASE(After_the_loss_of_a_dispatcher_each_of_two_jobs_with_one_id_gets_its_own_result)
{
    checkAnswersAfter(
        [](ChildProcess &host) {
            host.kill();
        },
        1);
}

// The same with the callers at the other hosts, so that the other job arrives first at the successor.
BOOST_AUTO_TEST_CASE(After_the_loss_of_a_dispatcher_the_order_of_arrival_of_two_jobs_with_one_id_does_not_matter)
{
    checkAnswersAfter(
        [](ChildProcess &host) {
            host.kill();
        },
        2);
}

BOOST_AUTO_TEST_CASE(After_the_stop_of_a_dispatcher_each_of_two_jobs_with_one_id_gets_its_own_result)
{
    checkAnswersAfter(
        [](ChildProcess &host) {
            host.terminate();
        },
        1);
}

BOOST_AUTO_TEST_SUITE_END()
