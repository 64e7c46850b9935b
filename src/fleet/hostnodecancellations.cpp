#include "fleet/hostnode.h"
#include "workload/jobkey.h"

#include <algorithm>
#include <utility>

// HostNode's handling of requests to cancel jobs, which come to any host, and its memory of cancelled jobs.
namespace Anvilcart::Fleet
{
namespace
{
/// A host whose last report is older than this, which is longer than callers wait, need not be asked.
constexpr Seconds LostHostRelevance {20};
/// A host that does not answer counts as lost by its longest silence after the question, at the next tick. The host that announces a
/// cancellation waits for that, and the host that has asked it for that answer.
constexpr Milliseconds AnnouncementMargin {50};
constexpr Milliseconds InquiryMargin {150};
/// An endpoint at which no live host is known gets the list of cancelled jobs at this interval, until it reports.
constexpr Seconds CancelledJobsInterval {1};
} // namespace

void HostNode::requestCancel(const std::string &jobId, TimePoint now)
{
    beginEvent(now);
    if (m_cancelledJobs.contains(jobId, now) || m_jobs.contains(jobId)) {
        if (rememberCancelled({jobId, now + RememberedCancellations::Retention}, now)) {
            announceCancelled(jobId, {}, now);
        } else {
            m_port.onCancelDecided(jobId, CancelOutcome::Undecided);
        }
        return;
    }
    std::set<std::string> asked;
    for (const auto *member : m_view.liveMembers(now)) {
        FleetFrame frame;
        frame.cancelInquiries.push_back(jobId);
        if (send(member->report.host, std::move(frame), now)) {
            asked.insert(member->report.host);
        }
    }
    const bool isComplete = hasAskedAllHosts(asked, now);
    const auto answerBy = now + longestSilenceOf(asked) + InquiryMargin;
    m_cancelInquiries.begin(jobId, std::move(asked), isComplete, answerBy);
}

/// After this time each of the hosts has answered, or counts as lost.
Duration HostNode::longestSilenceOf(const std::set<std::string> &hosts) const
{
    auto longest = FleetView::longestSilence(Duration(0));
    for (const auto &host : hosts) {
        longest = std::max(longest, FleetView::longestSilence(m_view.find(host)->report.period));
    }
    return longest;
}

/// True when every endpoint belongs to a host that was asked or can have no job of a caller.
bool HostNode::hasAskedAllHosts(const std::set<std::string> &asked, TimePoint now) const
{
    // A host that no other one has reported to may be the one that is cut off, so that refusals show nothing.
    const bool hasHeardAny = std::any_of(m_peers.begin(), m_peers.end(), [](const auto &entry) {
        return !entry.second.host.empty();
    });
    return std::all_of(m_peers.begin(), m_peers.end(), [&](const auto &entry) {
        const auto &[text, peer] = entry;
        if (m_knownEndpoints.isUnexplored(text, now)) {
            return hasHeardAny && peer.host.empty() && m_port.refusesConnections(peer.endpoint);
        }
        return peer.host.empty() || asked.contains(peer.host) || now - peer.lastNamedAt > LostHostRelevance;
    });
}

/// Remembers a job as cancelled, and cancels it if its caller waits here. False when it can't be remembered; then it goes on.
bool HostNode::rememberCancelled(const CancelledJob &cancelled, TimePoint now)
{
    if (!m_cancelledJobs.add(cancelled.jobId, cancelled.until, now)) {
        return false;
    }
    const auto found = m_jobs.find(cancelled.jobId);
    if (found != m_jobs.end()) {
        const auto reply = replyToCancelled();
        m_observer.onCallerAnswered(found->second, reply, now - found->second.submission.arrivedAt);
        cancel(cancelled.jobId, now);
        m_port.answerCaller(cancelled.jobId, reply);
    }
    return true;
}

/// The final answer to the callers that wait for a cancelled job.
CallerReply HostNode::replyToCancelled()
{
    CallerReply reply;
    reply.answer = CallerAnswer::Cancelled;
    reply.reason = "cancelled by its caller";
    return reply;
}

/// Refuses a submission of a cancelled job, and lets its entry host know. True when the job was cancelled.
bool HostNode::refuseCancelled(const JobSubmission &submission, TimePoint now)
{
    const auto &id = submission.request.id;
    // Hosts of earlier versions do not name the route with the id.
    const bool isCancelled = m_cancelledJobs.contains(id, now) || m_cancelledJobs.contains(makeJobKey(jobIdOf(id), submission.route), now);
    if (!isCancelled) {
        return false;
    }
    FleetFrame frame;
    frame.cancelledJobs.push_back({id, now + RememberedCancellations::Retention});
    send(submission.entryHost, std::move(frame), now);
    m_scheduler.refuse(namedAtTargets(submission), JobEndReason::Cancelled, now);
    return true;
}

/// Tells all live hosts of a job that is remembered as cancelled, and answers the host that asked for it, or the caller of this host, when
/// they have confirmed.
void HostNode::announceCancelled(const std::string &jobId, const std::string &askingHost, TimePoint now)
{
    std::set<std::string> hosts;
    for (const auto *member : m_view.liveMembers(now)) {
        hosts.insert(member->report.host);
    }
    const auto endAt = now + longestSilenceOf(hosts) + AnnouncementMargin;
    if (m_cancelAnnouncements.begin(jobId, askingHost, hosts, endAt)) {
        hosts.erase(askingHost);
        for (const auto &host : hosts) {
            FleetFrame frame;
            frame.cancelAnnouncements.push_back({jobId, now + RememberedCancellations::Retention});
            send(host, std::move(frame), now);
        }
    }
    finishAnnouncements(now);
}

void HostNode::finishAnnouncements(TimePoint now)
{
    for (const auto &finished : m_cancelAnnouncements.takeFinished(now)) {
        for (const auto &host : finished.askingHosts) {
            FleetFrame frame;
            frame.cancelAnswers.push_back({finished.jobId, true, true});
            // Without an answer the asking host takes the outcome for undecided.
            if (finished.isConfirmed) {
                send(host, std::move(frame), now);
            }
        }
        if (finished.isAskedHere) {
            m_port.onCancelDecided(finished.jobId, finished.isConfirmed ? CancelOutcome::Cancelled : CancelOutcome::Undecided);
        }
    }
}

void HostNode::onCancelFrame(const FleetFrame &frame, TimePoint now)
{
    for (const auto &id : frame.cancelInquiries) {
        if (!m_cancelledJobs.contains(id, now) && !m_jobs.contains(id)) {
            FleetFrame answer;
            answer.cancelAnswers.push_back({id, false, false});
            send(frame.host, std::move(answer), now);
        } else if (rememberCancelled({id, now + RememberedCancellations::Retention}, now)) {
            announceCancelled(id, frame.host, now);
        }
    }
    for (const auto &cancelled : frame.cancelAnnouncements) {
        if (rememberCancelled(cancelled, now)) {
            FleetFrame answer;
            answer.cancelAnswers.push_back({cancelled.jobId, true, true});
            send(frame.host, std::move(answer), now);
        }
    }
    for (const auto &answer : frame.cancelAnswers) {
        m_cancelAnnouncements.onConfirmed(answer.jobId, frame.host);
        onCancelAnswer(answer, frame.host, now);
    }
    finishAnnouncements(now);
}

void HostNode::onCancelAnswer(const CancelAnswer &answer, const std::string &from, TimePoint now)
{
    const auto outcome = m_cancelInquiries.onAnswer(answer.jobId, from, answer.cancelled);
    if (!outcome) {
        return;
    }
    if (*outcome == CancelOutcome::Cancelled && !rememberCancelled({answer.jobId, now + RememberedCancellations::Retention}, now)) {
        m_port.onCancelDecided(answer.jobId, CancelOutcome::Undecided);
        return;
    }
    if (*outcome == CancelOutcome::Cancelled && !answer.isRemembered) {
        // A host of an earlier version has told nobody. It has no confirmation either, so that there is nothing to wait for.
        announceCancelled(answer.jobId, from, now);
    }
    m_port.onCancelDecided(answer.jobId, *outcome);
}

/// Handles the cancelled jobs that a peer remembers. They hold whether the process that names them lives or not.
void HostNode::onCancelledJobs(const FleetFrame &frame, TimePoint now)
{
    for (const auto &cancelled : frame.cancelledJobs) {
        rememberCancelled(cancelled, now);
    }
}

/// Adds the cancelled jobs to a report to a host that may not know them: its process may have started since, or have been cut off. It may
/// get its next job with the report.
void HostNode::addCancelledJobs(FleetFrame &frame, PeerRecord &peer, bool isLive, TimePoint now)
{
    const bool isOwed = m_owedCancelledJobs.erase(peer.host) > 0;
    if (isOwed || (!isLive && now - peer.cancelledJobsSentAt >= CancelledJobsInterval)) {
        peer.cancelledJobsSentAt = now;
        frame.cancelledJobs = m_cancelledJobs.all(now);
    }
}

/// Ends what depends on the time in the handling of cancellations.
void HostNode::updateCancellations(TimePoint now)
{
    for (const auto &[jobId, outcome] : m_cancelInquiries.takeDecided(now)) {
        m_port.onCancelDecided(jobId, outcome);
    }
    finishAnnouncements(now);
    m_cancelledJobs.removeOld(now);
}
} // namespace Anvilcart::Fleet
