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
constexpr Seconds LongPoll {10};
constexpr Milliseconds BatchDelay {2};
constexpr Milliseconds RetryDelay {200};

std::string streamName(std::size_t stream)
{
    return "claims-" + std::to_string(stream);
}

ClaimTime timeAt(TimePoint now)
{
    return {now, wallNow()};
}

std::vector<ClaimRecord> decodePage(const LogPage &page)
{
    std::vector<ClaimRecord> records;
    for (const auto &entry : page.records) {
        auto decoded = decodeClaimRecords(entry.body);
        if (!decoded) {
            LOG(ERROR) << "claims: record at offset " << entry.offset << " cannot be read";
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
    , m_decisions(std::move(decisions))
    , m_io(std::move(io))
{
}

void ClaimService::start()
{
    for (std::size_t stream = 0; stream < ClaimStreamCount; ++stream) {
        asio::co_spawn(m_io, follow(stream), asio::detached);
    }
}

std::optional<ClaimResult> ClaimService::claim(JobId job, const JobSpec &spec, TimePoint deadline, TimePoint now)
{
    auto verdict = m_claimant.claim(job, spec, deadline, timeAt(now));
    scheduleAppends(BatchDelay);
    return verdict;
}

void ClaimService::recordNotStarted(JobId job, std::uint32_t task)
{
    m_claimant.abandon(job, task);
    scheduleAppends(BatchDelay);
}

void ClaimService::recordFinished(JobId job, std::uint32_t task, const std::string &output)
{
    m_claimant.record(job, task, ClaimOutcomeKind::Finished, output);
    scheduleAppends(BatchDelay);
}

void ClaimService::recordFailed(JobId job, std::uint32_t task, const std::string &message)
{
    m_claimant.record(job, task, ClaimOutcomeKind::Failed, message);
    scheduleAppends(BatchDelay);
}

void ClaimService::closeClaims(JobId job)
{
    m_claimant.forget(job);
    scheduleAppends(BatchDelay);
}

void ClaimService::tick(TimePoint now)
{
    m_claimant.onTick(timeAt(now));
    deliverVerdicts();
    scheduleAppends(BatchDelay);
}

bool ClaimService::isIdle() const
{
    return m_idle.load(std::memory_order_acquire);
}

asio::awaitable<void> ClaimService::follow(std::size_t stream)
{
    std::uint64_t next = 0;
    // Only a reader that is at the end waits there: a new host is ready, and an outage over, with the first answer.
    bool isAtEnd = false;
    for (;;) {
        auto result = co_await m_log.read(streamName(stream), next, isAtEnd ? Duration(LongPoll) : Duration::zero());
        const auto *page = std::get_if<LogPage>(&result);
        if (page == nullptr) {
            asio::post(m_decisions, [this] {
                onReachable(false);
            });
            isAtEnd = false;
            co_await sleepFor(RetryDelay);
            continue;
        }
        next = page->next;
        isAtEnd = page->next >= page->end;
        asio::post(m_decisions, [this, stream, records = decodePage(*page), isAtEnd] {
            onPage(stream, records, isAtEnd);
        });
    }
}

asio::awaitable<void> ClaimService::append(std::size_t stream, std::vector<ClaimRecord> records)
{
    const auto result = co_await m_log.append(streamName(stream), encode(records));
    const bool appended = std::holds_alternative<LogAppended>(result);
    asio::post(m_decisions, [this, stream, appended, records = std::move(records)]() mutable {
        if (appended) {
            onAppended(stream);
        } else {
            onAppendFailed(stream, std::move(records));
        }
    });
}

void ClaimService::onPage(std::size_t stream, const std::vector<ClaimRecord> &records, bool isEnd)
{
    onReachable(true);
    m_claimant.onRecords(records, timeAt(Clock::now()));
    if (isEnd) {
        m_claimant.onCaughtUp(stream);
    }
    deliverVerdicts();
    scheduleAppends(BatchDelay);
}

void ClaimService::onAppended(std::size_t stream)
{
    m_appending[stream] = false;
    onReachable(true);
    scheduleAppend(stream, BatchDelay);
    updateIdle();
}

void ClaimService::onAppendFailed(std::size_t stream, std::vector<ClaimRecord> records)
{
    LOG_EVERY_N(WARNING, 20) << "claims: an append failed";
    m_appending[stream] = false;
    onReachable(false);
    m_claimant.onAppendFailed(stream, std::move(records));
    scheduleAppend(stream, RetryDelay);
    updateIdle();
}

void ClaimService::onReachable(bool reachable)
{
    m_reachable = reachable;
    m_claimant.onLogReachable(reachable);
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
    if (m_appending[stream] || m_claimant.outbox().isEmpty(stream)) {
        return;
    }
    m_appending[stream] = true;
    const auto timer = std::make_shared<asio::steady_timer>(m_decisions, delay);
    timer->async_wait([this, stream, timer](const boost::system::error_code &) {
        startAppend(stream);
    });
}

void ClaimService::startAppend(std::size_t stream)
{
    auto records = m_claimant.outbox().take(stream);
    if (records.empty()) {
        m_appending[stream] = false;
        updateIdle();
        return;
    }
    asio::co_spawn(
        m_io,
        [this, stream, records = std::move(records)]() mutable {
            return append(stream, std::move(records));
        },
        asio::detached);
}

void ClaimService::deliverVerdicts()
{
    auto settled = m_claimant.takeSettled();
    if (settled.empty()) {
        return;
    }
    m_dispatch.perform([settled = std::move(settled)](Dispatcher &dispatcher, TimePoint now) {
        for (const auto &claims : settled) {
            dispatcher.onClaimResult(claims.job, claims.verdict, now);
        }
    });
}

void ClaimService::updateIdle()
{
    const bool waits = std::any_of(m_appending.begin(), m_appending.end(), [](bool appending) {
        return appending;
    });
    m_idle.store(!waits || !m_reachable, std::memory_order_release);
}
} // namespace Anvilcart
