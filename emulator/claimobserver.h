#pragma once

#include "fleet/interfaces/hostobserver.h"

#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace Anvilcart::Emulation
{
/// Calls a function whenever its host claims a pool. All other decisions are ignored; the invariants and the callers' results show their
/// effect.
class ClaimObserver : public Fleet::HostObserver
{
public:
    explicit ClaimObserver(std::function<void()> onClaim)
        : m_onClaim(std::move(onClaim))
    {
    }

    void onPoolChanged(const Fleet::PoolName &, const char *change, std::uint64_t, std::size_t) override
    {
        if (std::string_view(change) == "claimed") {
            m_onClaim();
        }
    }

    void onJobQueued(const Fleet::JobSubmission &, std::size_t, Duration) override
    {
    }
    void onStart(const Fleet::JobSubmission &, const std::string &, const Fleet::RunName &, Duration, Duration) override
    {
    }
    void onFarStart(const Fleet::JobSubmission &, const std::string &, const Fleet::RunName &, const std::string &) override
    {
    }
    void onNearWaitEnded(const Fleet::RunName &, const std::string &, Fleet::NearWaitOutcome, Duration) override
    {
    }
    void onStartRefused(const std::string &, const Fleet::RunName &, Fleet::RequestResult) override
    {
    }
    void onRunEnd(const Fleet::JobSubmission *, const std::string &, const Fleet::RunName &, Fleet::RunEnd, Duration) override
    {
    }
    void onStop(const std::string &, const Fleet::RunName &, const char *) override
    {
    }
    void onRepeat(const std::string &, const Fleet::RunName &, const char *) override
    {
    }
    void onEjection(const std::string &, Fleet::EjectionCause, Duration) override
    {
    }
    void onTargetClaimed(const std::string &, std::uint64_t, std::size_t) override
    {
    }
    void onRunAdopted(const Fleet::JobSubmission &, const std::string &, const Fleet::RunName &) override
    {
    }
    void onTargetResponsivenessChanged(const std::string &, bool, std::size_t) override
    {
    }
    void onLateJobRefused(const Fleet::JobSubmission &, Duration, std::size_t) override
    {
    }
    void onJobsReturned(const std::string &, std::size_t, const char *) override
    {
    }
    void onRunsLost(const Fleet::TargetLoss &, TimePoint) override
    {
    }
    void onJobSent(const Fleet::EntryJob &, const std::string &, Duration) override
    {
    }
    void onCallerAnswered(const Fleet::EntryJob &, const Fleet::CallerReply &, Duration) override
    {
    }
    void onCallerGone(const Fleet::EntryJob &, Duration) override
    {
    }
    void onJobEnded(const Fleet::JobSubmission &, const Fleet::JobResult &, Duration) override
    {
    }
    void onHostLivenessChanged(const Fleet::HostReport &, bool, Duration) override
    {
    }
    void onProcessReplaced(const std::string &, std::uint64_t, std::uint64_t, Duration) override
    {
    }
    void onUnprovenFrame(const std::string &, std::uint64_t) override
    {
    }
    void onTargetTakenOver(const std::string &, std::uint64_t) override
    {
    }
    void onStaleFrame(const std::string &, Duration, std::size_t) override
    {
    }
    void onEvacuationChanged(const std::string &, bool, bool, std::size_t) override
    {
    }
    void onUsage(const Fleet::TargetUsage &) override
    {
    }
    void onOverloadChanged(bool, Duration) override
    {
    }
    void onTimeGap(Duration) override
    {
    }

private:
    std::function<void()> m_onClaim;
};
} // namespace Anvilcart::Emulation
