#include "claims/claimservice.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <glog/logging.h>

#include <algorithm>
#include <memory>

namespace Anvilcart
{
namespace asio = boost::asio;

namespace
{
constexpr Seconds LongPollTimeout {10};
constexpr Milliseconds BatchDelay {2};
constexpr Milliseconds RetryDelay {200};

std::string streamName(std::size_t stream)
{
    return "claims-" + std::to_string(stream);
}

ClaimTime claimTimeAt(TimePoint now)
{
    return {now, wallNow()};
}

std::vector<ClaimRecord> decodePage(const LogPage &page)
{
    std::vector<ClaimRecord> records;
    for (const auto &entry : page.records) {
        auto decoded = decodeClaimRecords(entry.body);
        if (!decoded) {
            LOG(ERROR) << "claims: record at offset " << entry.offset << " cannot be decoded; skipping it";
            continue;
        }
        std::move(decoded->begin(), decoded->end(), std::back_inserter(records));
    }
    return records;
}

asio::awaitable<void> sleepFor(Duration duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}
} // namespace

ClaimService::ClaimService(ClaimantIdentity identity,
                           ClaimObserver &observer,
                           LogService &log,
                           DispatchService &dispatch,
                           asio::any_io_executor decisions,
                           asio::any_io_executor io)
    : m_claimant(std::move(identity), observer)
    , m_log(log)
    , m_dispatch(dispatch)
    , m_decisionExecutor(std::move(decisions))
    , m_ioExecutor(std::move(io))
{
}

void ClaimService::start()
{
    for (std::size_t stream = 0; stream < ClaimStreamCount; ++stream) {
        asio::co_spawn(m_ioExecutor, followStream(stream), asio::detached);
    }
}

std::optional<ClaimResult> ClaimService::claim(JobId job, const JobSpec &spec, TimePoint deadline, TimePoint now)
{
    auto result = m_claimant.claim(job, spec, deadline, claimTimeAt(now));
    scheduleAppends(BatchDelay);
    return result;
}

void ClaimService::recordNotStarted(JobId job, std::uint32_t task)
{
    m_claimant.abandonClaim(job, task);
    scheduleAppends(BatchDelay);
}

void ClaimService::recordFinished(JobId job, std::uint32_t task, const std::string &output)
{
    m_claimant.recordOutcome(job, task, ClaimOutcomeKind::Finished, output);
    scheduleAppends(BatchDelay);
}

void ClaimService::recordFailed(JobId job, std::uint32_t task, const std::string &message)
{
    m_claimant.recordOutcome(job, task, ClaimOutcomeKind::Failed, message);
    scheduleAppends(BatchDelay);
}

void ClaimService::closeClaims(JobId job)
{
    m_claimant.closeClaims(job);
    scheduleAppends(BatchDelay);
}

void ClaimService::tick(TimePoint now)
{
    m_claimant.onTick(claimTimeAt(now));
    deliverResults();
    scheduleAppends(BatchDelay);
}

bool ClaimService::isIdle() const
{
    return m_idle.load(std::memory_order_acquire);
}

asio::awaitable<void> ClaimService::followStream(std::size_t stream)
{
    std::uint64_t next = 0;
    // Wait for new records only after the end was reached. Before that, the log answers at once, so that a new host becomes ready,
    // or an outage ends, with the first answer.
    bool isAtEnd = false;
    for (;;) {
        auto result = co_await m_log.read(streamName(stream), next, isAtEnd ? Duration(LongPollTimeout) : Duration::zero());
        const auto *page = std::get_if<LogPage>(&result);
        if (page == nullptr) {
            asio::post(m_decisionExecutor, [this] {
                setLogReachable(false);
            });
            isAtEnd = false;
            co_await sleepFor(RetryDelay);
            continue;
        }
        next = page->next;
        isAtEnd = page->next >= page->end;
        asio::post(m_decisionExecutor, [this, stream, records = decodePage(*page), isAtEnd] {
            onPageRead(stream, records, isAtEnd);
        });
    }
}

asio::awaitable<void> ClaimService::appendBatch(std::size_t stream, std::vector<ClaimRecord> records)
{
    const auto result = co_await m_log.append(streamName(stream), encodeClaimRecords(records));
    const bool appended = std::holds_alternative<LogAppended>(result);
    asio::post(m_decisionExecutor, [this, stream, appended, records = std::move(records)]() mutable {
        if (appended) {
            onAppended(stream);
        } else {
            onAppendFailed(stream, std::move(records));
        }
    });
}

void ClaimService::onPageRead(std::size_t stream, const std::vector<ClaimRecord> &records, bool isEnd)
{
    setLogReachable(true);
    m_claimant.applyRecords(records, claimTimeAt(Clock::now()));
    if (isEnd) {
        m_claimant.setCaughtUp(stream);
    }
    deliverResults();
    scheduleAppends(BatchDelay);
}

void ClaimService::onAppended(std::size_t stream)
{
    m_appendInProgress[stream] = false;
    setLogReachable(true);
    scheduleAppend(stream, BatchDelay);
    updateIdle();
}

void ClaimService::onAppendFailed(std::size_t stream, std::vector<ClaimRecord> records)
{
    LOG_EVERY_N(WARNING, 20) << "claims: append to the log failed; retrying";
    m_appendInProgress[stream] = false;
    setLogReachable(false);
    m_claimant.onAppendFailed(stream, std::move(records));
    scheduleAppend(stream, RetryDelay);
    updateIdle();
}

void ClaimService::setLogReachable(bool reachable)
{
    m_logReachable = reachable;
    m_claimant.setLogReachable(reachable);
    updateIdle();
}

void ClaimService::scheduleAppends(Duration delay)
{
    for (std::size_t stream = 0; stream < ClaimStreamCount; ++stream) {
        scheduleAppend(stream, delay);
    }
    updateIdle();
}

void ClaimService::scheduleAppend(std::size_t stream, Duration delay)
{
    if (m_appendInProgress[stream] || m_claimant.outbox().isEmpty(stream)) {
        return;
    }
    m_appendInProgress[stream] = true;
    const auto timer = std::make_shared<asio::steady_timer>(m_decisionExecutor, delay);
    timer->async_wait([this, stream, timer](const boost::system::error_code &) {
        startAppend(stream);
    });
}

void ClaimService::startAppend(std::size_t stream)
{
    auto records = m_claimant.outbox().takeBatch(stream);
    if (records.empty()) {
        m_appendInProgress[stream] = false;
        updateIdle();
        return;
    }
    asio::co_spawn(
        m_ioExecutor,
        [this, stream, records = std::move(records)]() mutable {
            return appendBatch(stream, std::move(records));
        },
        asio::detached);
}

void ClaimService::deliverResults()
{
    auto results = m_claimant.takeResults();
    if (results.empty()) {
        return;
    }
    m_dispatch.perform([results = std::move(results)](Dispatcher &dispatcher, TimePoint now) {
        for (const auto &jobResult : results) {
            dispatcher.onClaimResult(jobResult.job, jobResult.result, now);
        }
    });
}

void ClaimService::updateIdle()
{
    const bool isAppending = std::any_of(m_appendInProgress.begin(), m_appendInProgress.end(), [](bool appending) {
        return appending;
    });
    m_idle.store(!isAppending || !m_logReachable, std::memory_order_release);
}
} // namespace Anvilcart
