#include "dispatch/dispatchservice.h"

#include "dispatchfixture.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

using namespace Anvilcart;

BOOST_FIXTURE_TEST_SUITE(CancellationSuite, DispatchFixture, *boost::unit_test::label("dispatch"))

BOOST_AUTO_TEST_CASE(Cancelling_many_jobs_at_once_starts_no_task_of_a_cancelled_job)
{
    configure(1, 2);
    const auto running = submit(makeJob("running", 2));
    std::vector<JobId> cancelled = {*running};
    for (int i = 0; i < 100; ++i) {
        auto job = makeJob("wave" + std::to_string(i), 4);
        job.deadline = Seconds(300);
        cancelled.push_back(*submit(job));
    }
    auto kept = makeJob("kept", 5);
    kept.deadline = Seconds(300);
    submit(kept);
    dispatcher.cancel(cancelled, now);
    BOOST_TEST(answers.size() == 101);
    BOOST_TEST(observer.answers[ResultCode::CancelledBeforeStart] == 100);
    BOOST_TEST(dispatcher.queue().unstartedTasks() == 5);
    BOOST_TEST(port.stopped.size() == 2);
    report(0, TaskStopped {});
    report(1, TaskStopped {});
    BOOST_REQUIRE_EQUAL(port.started.size(), 4);
    BOOST_TEST(port.started[2].start.submission == "kept");
}

BOOST_AUTO_TEST_CASE(Withdrawals_that_arrive_together_are_cancelled_in_one_pass)
{
    configure(1, 2);
    boost::asio::io_context loop;
    DispatchService service(dispatcher, loop.get_executor());
    std::vector<std::shared_ptr<JobTicket>> tickets;
    for (int i = 0; i < 50; ++i) {
        tickets.push_back(service.submit(makeJob("wave" + std::to_string(i), 4), [this](JobAnswer answer) {
            answers.push_back(std::move(answer));
        }));
    }
    loop.run();
    loop.restart();
    for (const auto &ticket : tickets) {
        service.withdraw(ticket);
    }
    BOOST_TEST(loop.run() == 1);
    BOOST_TEST(answers.size() == 50);
    BOOST_TEST(port.started.size() == 2);
}

BOOST_AUTO_TEST_SUITE_END()
