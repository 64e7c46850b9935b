/* A single run at a time: an entry host hands a job of one task from one dispatcher to another, while either may claim both targets.
 *
 * Reports, frames and starts are lost, or arrive after any time; claims and their listings too. A process that stands still for any time
 * is one that takes no step meanwhile, which all of them may. The entry host may take the job back at any time, since what it sees of a
 * dispatcher is worth nothing: that a successor does not see the lost dispatcher as live is therefore left out as well.
 *
 * Time is counted in steps, and every clock in the same: a lease lasts one and a grant GRANT of them. The drift of clocks and the margins
 * for it are left out, and so is the delay before runs without a grant are stopped, which may be any. A renewal arrives at once or
 * never, since the deadline that it carries counts from its sending. Reports and frames between two hosts do not overtake each other.
 * After the end of a grant LEASE stands for what a run may last then: LongestRunAfterGrant (models/resubmission.pml), or the longest lease
 * if the dispatcher announces nothing.
 * A restart of the entry host ends its jobs and is left out, and so are cancellations, jobs that are sent again, and task results.
 * The model's limits are END_OF_TIME, CLAIMS of each dispatcher, and HAND_OVERS of the job.
 *
 * Variants that must fail, each by its own macro:
 *   NO_GRANTS                  the design before grants: the entry host waits for the longest lease from its last report on
 *   START_WITHOUT_GRANT        a dispatcher whose grant has ended starts the job
 *   EXTEND_WITHOUT_GRANT       it extends leases
 *   GRANT_FROM_ARRIVAL         a grant counts from the arrival of the frame
 *   NO_EPOCH                   the entry host takes a job back without raising the epoch
 *   ANY_INCARNATION            a grant for an earlier incarnation of the dispatcher counts
 *   NO_LEASE_WAIT              the next dispatcher waits for the end of the grant alone, not for what runs may last after it
 *   RELEASE_AFTER_LOST_TARGET  a dispatcher from which a target was taken says that nothing runs there
 *   TAKEOVER_OF_OWN_POOL       a takeover looks at the targets of the successor's pool, not at those of the lost dispatcher's last report
 *   TAKEOVER_BY_OLD_CLAIM      a takeover under claims made before that report
 *   UNCONFIRMED_CLAIMS         a job is started under claims that its entry host has not confirmed
 *   CLAIM_WITHOUT_LISTING      a dispatcher starts before it has seen the listing of its claim
 *   START_WITHOUT_DEADLINE     a target carries out a late start
 *   LATE_REPORT_ENDS_SUCCESSOR with LATE_REPORTS: a report of any other process than the known one counts as that of its successor
 *   RECORDS_ONLY               the same, unless the entry host has a record that the process has ended
 *   UNREPORTED_LOST_TARGETS    with TAKEN_BEFORE_REPORT: a report names no target that was taken away
 *   OWN_LEASES_ONLY            with SHARED_DEADLINE: a dispatcher counts the leases that it has sent since its claim, not those of the
 *                              owner before
 *
 * TAKEN_BEFORE_REPORT begins with both targets owned by A, so that one that runs the job can be taken from it before its last report.
 *
 * With SHARED_DEADLINE a target has one deadline, as the protocol says: it lasts beyond the end of a run and a change of the owner, is
 * never shortened, and holds for a new run too. A start carries a lease of one step, shorter than the longest; the owner of a target also
 * extends its deadline for runs of other jobs. A dispatcher takes a run on a silent target for ended, and may start the job again, when
 * the leases that it counts under its claim have ended (LeaseBound). Otherwise a deadline ends with its run, and a start carries the
 * longest lease.
 *
 * RESTARTS lets A restart once while it may have the job. With LATE_REPORTS it restarts before it has the job, as time begins; the last
 * report of its first process may arrive at any time, before or after those of its second one, and the entry host knows neither process
 * at the beginning. models/processes.pml has more restarts, and those of the entry host.
 *
 * A known fault of the whole design, which fails too:
 *   FORGETFUL_TARGETS          a restarted target has forgotten its fencing token
 *
 * docs/design/job-ownership.md ties each rule to the function that carries it. */

#ifndef END_OF_TIME
#define END_OF_TIME 4
#endif
#ifndef CLAIMS
#define CLAIMS 2
#endif
#ifndef HAND_OVERS
#define HAND_OVERS 1
#endif
#ifndef GRANT
#define GRANT 1
#endif
#ifndef LEASE
#define LEASE 1
#endif

/* The lease that a start carries. */
#ifdef SHARED_DEADLINE
#define START_LEASE 1
#else
#define START_LEASE LEASE
#endif

#define A 0
#define B 1
#define NOBODY 2
#define NO_PROCESS 9

byte now;
byte handedOver;

/* The entry host: the job's dispatcher, and what it knows of each of them (IssuedGrants::Record). */
byte owner = A;
bool isSubmitted;
byte knownIncarnation[2];
#ifdef LATE_REPORTS
/* With RECORDS_ONLY: A's first process is known to have ended. */
bool isRecorded;
#endif
byte epoch[2] = 1;
byte reportSentAt[2];
byte reportArrivedAt[2];
byte reportedClaims[2] = 1;
byte reportedTargets[2];
byte endsBy[2];
byte earlierEndBy[2];

/* The job's submission. lostTargets are those of the lost dispatcher's last report. */
byte earlierRunsEndBy;
byte lostRunsEndBy;
byte lostDispatcher = NOBODY;
byte lostTargets;

/* Reports of dispatchers on their way. */
bool reportInFlight[2];
byte sentAt[2];
byte sentIncarnation[2];
byte sentClaims[2];
byte sentTargets[2];

#ifdef LATE_REPORTS
/* The report of A's first process that was on its way when that ended. The echoes are those of frames that the entry host sent after the
 * first report of the known process had arrived (PeerProcesses); no other echo counts. */
bool echoes;
bool sentEcho;
bool lateInFlight;
byte lateSentAt;
byte lateClaims;
byte lateTargets;
bool lateEcho;
#endif

/* Frames to dispatchers on their way. */
bool frameInFlight[2];
bool frameHasJob[2];
byte frameIncarnation[2];
byte frameEpoch[2];
byte frameUntil[2];
byte frameConfirmed[2];

/* Releases on their way to the entry host, which passes them on. */
bool releaseInFlight[2];
byte releaseEpoch[2];

/* Dispatchers. */
byte incarnation[2];
byte claims[2] = 1;
byte heldEpoch[2];
byte heldUntil[2];
byte heldConfirmed[2];
bool hasJob[2];
byte jobEpoch[2];
bool hasRun[2];
byte runAt[2];
byte runEndsBy[2];

/* Claims of targets: CLAIM(dispatcher, target). */
#define CLAIM(d, t) ((d) * 2 + (t))
mtype = { none, sent, owned };
mtype claim[4] = none;
byte token[4];
byte claimNumber[4];
bool isClaimedAfterReport[4];
bool isListed[4];
/* A target that was taken away with a run is reported until then. */
byte reportedUntil[4];
byte lastToken = 1;

/* Starts on their way. */
bool startInFlight[2];
byte startTarget[2];
byte startToken[2];
byte startDeadline[2];

/* Targets. */
byte highestToken[2];
bool runs[2];
byte leaseEnd[2];

#ifdef SHARED_DEADLINE
/* For each claim: when all leases on the target have ended, as far as the dispatcher counts them. */
byte leasesEndBy[4];
#endif

#define maximum(a, b) ((a) > (b) -> (a) : (b))

#ifdef NO_GRANTS
#define isGranted(d) true
#else
#define isGranted(d) (heldEpoch[d] == jobEpoch[d] && now < heldUntil[d])
#endif

#ifdef START_WITHOUT_GRANT
#define mayStart(d) true
#else
#define mayStart(d) isGranted(d)
#endif

#ifdef EXTEND_WITHOUT_GRANT
#define mayExtend(d) true
#else
#define mayExtend(d) isGranted(d)
#endif

#if defined(UNCONFIRMED_CLAIMS) || defined(NO_GRANTS)
#define isConfirmed(d, t) true
#else
#define isConfirmed(d, t) (claimNumber[CLAIM(d, t)] <= heldConfirmed[d])
#endif

#ifdef CLAIM_WITHOUT_LISTING
#define isOwned(d, t) (claim[CLAIM(d, t)] != none)
#else
#define isOwned(d, t) (claim[CLAIM(d, t)] == owned)
#endif

#ifdef TAKEOVER_BY_OLD_CLAIM
#define isListedAfterReport(d, t) isOwned(d, t)
#else
#define isListedAfterReport(d, t) (isOwned(d, t) && isClaimedAfterReport[CLAIM(d, t)])
#endif

/* The first target is in the pool of A, the second in that of B. */
#ifdef TAKEOVER_OF_OWN_POOL
#define isTakenOver(d) isListedAfterReport(d, 1 - (d))
#else
#define isTakenOver(d) \
    (lostTargets != 0 && (!(lostTargets & 1) || isListedAfterReport(d, 0)) && (!(lostTargets & 2) || isListedAfterReport(d, 1)))
#endif

#define earlierRunsHaveEnded(d) (now >= earlierRunsEndBy && (now >= lostRunsEndBy || isTakenOver(d)))

#ifdef SHARED_DEADLINE
#define countLease(d, t, end) leasesEndBy[CLAIM(d, t)] = maximum(leasesEndBy[CLAIM(d, t)], end)
#define forgetLeases(d, t) leasesEndBy[CLAIM(d, t)] = 0
#define leasesOf(d, t) leasesEndBy[CLAIM(d, t)]
#define endDeadline(t) skip
#else
#define countLease(d, t, end) skip
#define forgetLeases(d, t) skip
#define leasesOf(d, t) 0
#define endDeadline(t) leaseEnd[t] = 0
#endif

inline clearClaim(d, t)
{
    forgetLeases(d, t);
    claim[CLAIM(d, t)] = none;
    token[CLAIM(d, t)] = 0;
    claimNumber[CLAIM(d, t)] = 0;
    isClaimedAfterReport[CLAIM(d, t)] = false;
    isListed[CLAIM(d, t)] = false
}

inline clearRun(d)
{
    hasRun[d] = false;
    runAt[d] = 0;
    runEndsBy[d] = 0
}

inline clearStart(d)
{
    startInFlight[d] = false;
    startTarget[d] = 0;
    startToken[d] = 0;
    startDeadline[d] = 0
}

inline clearJob(d)
{
    hasJob[d] = false;
    jobEpoch[d] = 0
}

inline loseFrame(d)
{
    frameInFlight[d] = false;
    frameHasJob[d] = false;
    frameIncarnation[d] = 0;
    frameEpoch[d] = 0;
    frameUntil[d] = 0;
    frameConfirmed[d] = 0
}

/* After the last hand-over no report of the lost dispatcher matters any more, and once it is without the job, which it cannot get again,
 * neither do its grants and listings. They become 0 then, so that states which differ in them alone are one. A restart reads them, and so
 * does a dispatcher without a hand-over. */
#if defined(RESTARTS) || defined(LATE_REPORTS) || defined(SHARED_DEADLINE)
#define isOutOfUse(d) false
#else
#define isOutOfUse(d) (handedOver == HAND_OVERS && owner != (d))
#endif

inline forgetLostDispatcher(d)
{
    if
    :: isOutOfUse(d) ->
        reportInFlight[d] = false;
        sentAt[d] = 0;
        sentClaims[d] = 0;
        sentTargets[d] = 0;
        reportSentAt[d] = 0;
        reportArrivedAt[d] = 0;
        reportedClaims[d] = 0;
        reportedTargets[d] = 0;
        reportedUntil[CLAIM(d, 0)] = 0;
        reportedUntil[CLAIM(d, 1)] = 0;
        endsBy[d] = 0;
        earlierEndBy[d] = 0;
        if
        :: !hasJob[d] && !frameHasJob[d] ->
            loseFrame(d);
            heldEpoch[d] = epoch[d];
            heldUntil[d] = 0;
            heldConfirmed[d] = 0;
            isListed[CLAIM(d, 0)] = false;
            isListed[CLAIM(d, 1)] = false;
            isClaimedAfterReport[CLAIM(d, 0)] = false;
            isClaimedAfterReport[CLAIM(d, 1)] = false;
            claimNumber[CLAIM(d, 0)] = 0;
            claimNumber[CLAIM(d, 1)] = 0
        :: else
        fi
    :: else
    fi
}

/* HostNode::takeBack. */
inline handOver(d, endOfRuns)
{
    handedOver++;
    earlierRunsEndBy = maximum(earlierRunsEndBy, lostRunsEndBy);
    lostRunsEndBy = endOfRuns;
    lostDispatcher = d;
    lostTargets = reportedTargets[d];
    owner = 1 - d;
    isSubmitted = false
}

inline raiseEpoch(d)
{
#ifndef NO_EPOCH
    epoch[d]++;
#endif
    earlierEndBy[d] = maximum(earlierEndBy[d], endsBy[d]);
    endsBy[d] = 0
}

#if !defined(LATE_REPORTS)
#define isProven(d) (sentIncarnation[d] > knownIncarnation[d])
#elif defined(LATE_REPORT_ENDS_SUCCESSOR)
#define isProven(d) true
#elif defined(RECORDS_ONLY)
#define isProven(d) (sentIncarnation[d] > 0 || !isRecorded)
#else
#define isProven(d) sentEcho
#endif

inline replaceProcess(d)
{
#ifdef LATE_REPORTS
    isRecorded = isRecorded || knownIncarnation[d] == 0;
    echoes = false;
    sentEcho = false;
    lateEcho = false;
#endif
    if
    :: knownIncarnation[d] == NO_PROCESS
    :: else ->
        /* The earlier process has ended, and its grants with it. */
        epoch[d] = 1;
        endsBy[d] = 0;
        earlierEndBy[d] = 0;
        if
        :: lostDispatcher == d -> lostRunsEndBy = (lostRunsEndBy < now + LEASE -> lostRunsEndBy : now + LEASE)
#ifdef LATE_REPORTS
        :: owner == d && !isSubmitted
        :: owner == d && isSubmitted && handedOver < HAND_OVERS -> handOver(d, now + LEASE)
#else
        :: owner == d && handedOver < HAND_OVERS -> handOver(d, now + LEASE)
#endif
        :: owner == d && handedOver == HAND_OVERS -> isSubmitted = true
        :: else
        fi
    fi;
    knownIncarnation[d] = sentIncarnation[d]
}

inline receiveReport(d)
{
    if
    :: sentIncarnation[d] != knownIncarnation[d] && !isProven(d)
    :: else ->
        if
        :: sentIncarnation[d] != knownIncarnation[d] -> replaceProcess(d)
        :: else
        fi;
        reportSentAt[d] = sentAt[d];
        reportArrivedAt[d] = now;
        reportedClaims[d] = sentClaims[d];
        reportedTargets[d] = sentTargets[d];
        if
        :: owner == d ->
            isClaimedAfterReport[CLAIM(1 - d, 0)] = false;
            isClaimedAfterReport[CLAIM(1 - d, 1)] = false
        :: else
        fi
    fi;
    reportInFlight[d] = false;
    sentAt[d] = 0;
    sentIncarnation[d] = 0;
    sentClaims[d] = 0;
    sentTargets[d] = 0;
#ifdef LATE_REPORTS
    sentEcho = false
#endif
}

#ifdef LATE_REPORTS
/* It takes the place of a report that is on its way. */
inline receiveLateReport()
{
    sentAt[A] = lateSentAt;
    sentIncarnation[A] = 0;
    sentClaims[A] = lateClaims;
    sentTargets[A] = lateTargets;
    sentEcho = lateEcho;
    lateInFlight = false;
    lateSentAt = 0;
    lateClaims = 0;
    lateTargets = 0;
    lateEcho = false;
    receiveReport(A)
}
#endif

/* Frames that would change nothing are left out. */
#define wouldGrantMore(d) (heldUntil[d] < reportSentAt[d] + GRANT || heldConfirmed[d] < reportedClaims[d])
#ifdef NO_EPOCH
#define isServed(d) true
#else
#define isServed(d) (owner == d)
#endif
#define canSendFrame(d) (knownIncarnation[d] != NO_PROCESS && canSendMore(d))
#define canSendMore(d) ((owner == d && !isSubmitted) || (owner != d && heldEpoch[d] < epoch[d] && lostDispatcher == d && !frameInFlight[d]) \
    || (isServed(d) && reportSentAt[d] + GRANT > now && wouldGrantMore(d) \
        && !(frameInFlight[d] && frameUntil[d] == reportSentAt[d] + GRANT && frameConfirmed[d] == reportedClaims[d])))

inline sendFrame(d)
{
    endsBy[d] = maximum(endsBy[d], reportArrivedAt[d] + GRANT);
    frameInFlight[d] = true;
    frameHasJob[d] = owner == d && !isSubmitted;
    isSubmitted = isSubmitted || owner == d;
    frameIncarnation[d] = knownIncarnation[d];
    frameEpoch[d] = epoch[d];
    frameUntil[d] = reportSentAt[d] + GRANT;
    frameConfirmed[d] = reportedClaims[d]
}

inline takeBack(d)
{
    raiseEpoch(d);
#ifdef NO_GRANTS
    handOver(d, now + LEASE)
#elif defined(NO_LEASE_WAIT)
    handOver(d, earlierEndBy[d])
#else
    handOver(d, earlierEndBy[d] + LEASE)
#endif
}

/* The word of a dispatcher that nothing of the job runs there. */
inline receiveRelease(d)
{
    if
    :: owner == d && releaseEpoch[d] == epoch[d] && handedOver < HAND_OVERS -> handOver(d, 0)
    :: owner != d && lostDispatcher == d -> lostRunsEndBy = 0
    :: else
    fi;
    releaseInFlight[d] = false;
    releaseEpoch[d] = 0
}

proctype EntryHost()
{
end:
    do
    :: d_step { reportInFlight[A] -> receiveReport(A) }
    :: d_step { reportInFlight[B] -> receiveReport(B) }
#ifdef LATE_REPORTS
    :: d_step { lateInFlight -> receiveLateReport() }
#endif
    :: d_step { canSendFrame(A) -> sendFrame(A) }
    :: d_step { canSendFrame(B) -> sendFrame(B) }
    :: d_step { owner == A && handedOver < HAND_OVERS && knownIncarnation[A] != NO_PROCESS -> takeBack(A); forgetLostDispatcher(A) }
    :: d_step { owner == B && handedOver < HAND_OVERS -> takeBack(B); forgetLostDispatcher(B) }
    :: d_step { releaseInFlight[A] -> receiveRelease(A); forgetLostDispatcher(A) }
    :: d_step { releaseInFlight[B] -> receiveRelease(B); forgetLostDispatcher(B) }
    od
}

/* A report or frame takes the place of one that is still on its way and is then lost. */
#define isReported(d, t) (claim[CLAIM(d, t)] != none || reportedUntil[CLAIM(d, t)] > now)
#define ownTargets(d) ((isReported(d, 0) -> 1 : 0) + (isReported(d, 1) -> 2 : 0))
#define canSendReport(d) ((isServed(d) || incarnation[d] != knownIncarnation[d]) && isNewReport(d))
#define isKnownReport(d) (!reportInFlight[d] && reportSentAt[d] == now && reportedClaims[d] == claims[d] \
    && reportedTargets[d] == ownTargets(d) && knownIncarnation[d] == incarnation[d])
#define isNewReport(d) (!isKnownReport(d) && (!reportInFlight[d] || sentAt[d] != now || sentClaims[d] != claims[d] || sentTargets[d] != ownTargets(d) \
    || sentIncarnation[d] != incarnation[d] || isNewEcho(d)))
#ifdef LATE_REPORTS
#define isNewEcho(d) (d == A && sentEcho != echoes)
#else
#define isNewEcho(d) false
#endif

inline sendReport(d)
{
    reportInFlight[d] = true;
    sentAt[d] = now;
    sentIncarnation[d] = incarnation[d];
    sentClaims[d] = claims[d];
    sentTargets[d] = ownTargets(d);
#ifdef LATE_REPORTS
    sentEcho = (d == A -> echoes : sentEcho)
#endif
}

/* HostNode::acceptGrant and HeldGrants::onGrant. */
inline receiveFrame(d)
{
    if
#ifndef ANY_INCARNATION
    :: frameIncarnation[d] != incarnation[d]
#endif
    :: frameEpoch[d] < heldEpoch[d]
    :: else ->
#ifdef GRANT_FROM_ARRIVAL
        frameUntil[d] = now + GRANT;
#endif
        if
        :: frameEpoch[d] == heldEpoch[d] ->
            heldUntil[d] = maximum(heldUntil[d], frameUntil[d]);
            heldConfirmed[d] = maximum(heldConfirmed[d], frameConfirmed[d])
        :: else ->
            heldEpoch[d] = frameEpoch[d];
            heldUntil[d] = frameUntil[d];
            heldConfirmed[d] = frameConfirmed[d]
        fi;
        if
        :: frameHasJob[d] && !hasJob[d] && frameUntil[d] > now ->
            hasJob[d] = true;
            jobEpoch[d] = frameEpoch[d]
        :: else
        fi
    fi;
    loseFrame(d)
}

#define canStart(d, t) (hasJob[d] && !hasRun[d] && !startInFlight[d] && mayStart(d) && isOwned(d, t) && isConfirmed(d, t) \
    && !isListed[CLAIM(d, 0)] && !isListed[CLAIM(d, 1)] && earlierRunsHaveEnded(d))

inline sendStart(d, t)
{
    startInFlight[d] = true;
    startTarget[d] = t;
    startToken[d] = token[CLAIM(d, t)];
    startDeadline[d] = now + START_LEASE;
    countLease(d, t, now + START_LEASE);
    hasRun[d] = true;
    runAt[d] = t;
    runEndsBy[d] = maximum(now + START_LEASE, leasesOf(d, t))
}

#define answersTo(d, t) (claim[CLAIM(d, t)] == owned && highestToken[t] <= token[CLAIM(d, t)])
#define knowsRun(d, t) ((hasRun[d] && runAt[d] == t) || isListed[CLAIM(d, t)])
#define mayExtendRun(d, t) (hasJob[d] && mayExtend(d) && isConfirmed(d, t))
#ifdef SHARED_DEADLINE
#define canExtend(d, t) (answersTo(d, t) && leaseEnd[t] < now + LEASE && (!knowsRun(d, t) || mayExtendRun(d, t)))
#else
#define canExtend(d, t) (answersTo(d, t) && mayExtendRun(d, t) && runs[t] && leaseEnd[t] < now + LEASE && knowsRun(d, t))
#endif

inline extend(d, t)
{
    highestToken[t] = token[CLAIM(d, t)];
    leaseEnd[t] = now + LEASE;
    countLease(d, t, now + LEASE);
    if
    :: hasRun[d] && runAt[d] == t -> runEndsBy[d] = now + LEASE
    :: else
    fi
}

/* A listing without the run. The stop of a start that is still on its way keeps it from running. */
#define canSeeEnd(d, t) (answersTo(d, t) && !runs[t] && ((hasRun[d] && runAt[d] == t) || isListed[CLAIM(d, t)]))

inline seeEnd(d, t)
{
    highestToken[t] = token[CLAIM(d, t)];
    isListed[CLAIM(d, t)] = false;
    if
    :: hasRun[d] && runAt[d] == t ->
        clearRun(d);
        if
        :: startInFlight[d] && startTarget[d] == t -> clearStart(d)
        :: else
        fi
    :: else
    fi
}

/* Renewals are answered with "fenced": another dispatcher has claimed the target. */
#define canLoseTarget(d, t) (claim[CLAIM(d, t)] == owned && highestToken[t] > token[CLAIM(d, t)])

/* Scheduler::loseTarget: the run may go on under the new owner, so that the job ends here with an unknown outcome. */
inline loseTarget(d, t)
{
    if
    :: (hasRun[d] && runAt[d] == t) || isListed[CLAIM(d, t)] ->
#ifndef UNREPORTED_LOST_TARGETS
        reportedUntil[CLAIM(d, t)] = now + LEASE;
#endif
        clearRun(d);
#ifdef RELEASE_AFTER_LOST_TARGET
        releaseInFlight[d] = hasJob[d];
        releaseEpoch[d] = jobEpoch[d];
#endif
        clearJob(d)
    :: else
    fi;
    clearClaim(d, t)
}

/* Scheduler::returnJobs: at any time after the grant has ended or the epoch was raised. */
#define canReturnJob(d) (hasJob[d] && !isGranted(d) && !releaseInFlight[d] && !isListed[CLAIM(d, 0)] && !isListed[CLAIM(d, 1)] \
    && (!hasRun[d] || answersTo(d, runAt[d])))

inline returnJob(d)
{
    if
    :: hasRun[d] ->
        highestToken[runAt[d]] = token[CLAIM(d, runAt[d])];
        runs[runAt[d]] = false;
        endDeadline(runAt[d]);
        clearRun(d);
        clearStart(d)
    :: else
    fi;
    releaseInFlight[d] = true;
    releaseEpoch[d] = jobEpoch[d];
    clearJob(d)
}

#define canClaim(d, t) (claim[CLAIM(d, t)] == none && claims[d] < CLAIMS)

inline sendClaim(d, t)
{
    claims[d]++;
    lastToken++;
    claim[CLAIM(d, t)] = sent;
    token[CLAIM(d, t)] = lastToken;
    claimNumber[CLAIM(d, t)] = claims[d];
    isClaimedAfterReport[CLAIM(d, t)] = true
}

#ifdef LATE_REPORTS
inline holdReport()
{
    lateInFlight = true;
    lateSentAt = sentAt[A];
    lateClaims = sentClaims[A];
    lateTargets = sentTargets[A];
    lateEcho = sentEcho;
    echoes = false;
    reportInFlight[A] = false;
    sentAt[A] = 0;
    sentClaims[A] = 0;
    sentTargets[A] = 0;
    sentEcho = false
}
#endif

inline restartDispatcher(d)
{
    incarnation[d]++;
    claims[d] = 0;
    heldEpoch[d] = 0;
    heldUntil[d] = 0;
    heldConfirmed[d] = 0;
    clearJob(d);
    clearRun(d);
    clearClaim(d, 0);
    clearClaim(d, 1);
    reportedUntil[CLAIM(d, 0)] = 0;
    reportedUntil[CLAIM(d, 1)] = 0
}

proctype Dispatcher(byte d)
{
end:
    do
    :: d_step { canSendReport(d) -> sendReport(d) }
    :: d_step { frameInFlight[d] -> receiveFrame(d); forgetLostDispatcher(d) }
    :: d_step { canClaim(d, 0) -> sendClaim(d, 0); forgetLostDispatcher(d) }
    :: d_step { canClaim(d, 1) -> sendClaim(d, 1); forgetLostDispatcher(d) }
    :: d_step { canStart(d, 0) -> sendStart(d, 0) }
    :: d_step { canStart(d, 1) -> sendStart(d, 1) }
    :: d_step { canExtend(d, 0) -> extend(d, 0) }
    :: d_step { canExtend(d, 1) -> extend(d, 1) }
    :: d_step { canSeeEnd(d, 0) -> seeEnd(d, 0) }
    :: d_step { canSeeEnd(d, 1) -> seeEnd(d, 1) }
    :: d_step { canLoseTarget(d, 0) -> loseTarget(d, 0); forgetLostDispatcher(d) }
    :: d_step { canLoseTarget(d, 1) -> loseTarget(d, 1); forgetLostDispatcher(d) }
    :: d_step { canReturnJob(d) -> returnJob(d); forgetLostDispatcher(d) }
#ifdef RESTARTS
    :: d_step { d == A && incarnation[d] == 0 && (hasJob[d] || frameInFlight[d]) -> restartDispatcher(d) }
#endif
#ifdef LATE_REPORTS
    :: d_step { d == A && incarnation[d] == 0 && now == 0 && !isSubmitted && reportInFlight[d] -> holdReport(); restartDispatcher(d) }
    /* A frame that the entry host sends to whoever has reported, and that is read at once: one that is read later tells no more. */
    :: d_step { d == A && !echoes && incarnation[d] != knownIncarnation[d] -> echoes = true }
#endif
    od
}

/* Carries out a claim and makes its listing. */
inline receiveClaim(d, t)
{
    if
    :: token[CLAIM(d, t)] < highestToken[t] -> clearClaim(d, t)
    :: else ->
        highestToken[t] = token[CLAIM(d, t)];
        isListed[CLAIM(d, t)] = runs[t];
#ifndef OWN_LEASES_ONLY
        countLease(d, t, now + LEASE);
#endif
        claim[CLAIM(d, t)] = owned
    fi;
    forgetLostDispatcher(d)
}

inline receiveStart(d)
{
    if
    :: startToken[d] < highestToken[startTarget[d]]
#ifndef START_WITHOUT_DEADLINE
    :: now >= startDeadline[d]
#endif
    :: else ->
        assert(!runs[0] && !runs[1]);
        highestToken[startTarget[d]] = startToken[d];
        runs[startTarget[d]] = true;
        leaseEnd[startTarget[d]] = maximum(leaseEnd[startTarget[d]], maximum(startDeadline[d], now + 1))
    fi;
    clearStart(d)
}

proctype Targets()
{
end:
    do
    :: d_step { claim[CLAIM(A, 0)] == sent -> receiveClaim(A, 0) }
    :: d_step { claim[CLAIM(A, 1)] == sent -> receiveClaim(A, 1) }
    :: d_step { claim[CLAIM(B, 0)] == sent -> receiveClaim(B, 0) }
    :: d_step { claim[CLAIM(B, 1)] == sent -> receiveClaim(B, 1) }
    :: d_step { startInFlight[A] -> receiveStart(A) }
    :: d_step { startInFlight[B] -> receiveStart(B) }
    /* The run fails, or the target restarts. */
    :: d_step { runs[0] -> runs[0] = false; endDeadline(0) }
    :: d_step { runs[1] -> runs[1] = false; endDeadline(1) }
#ifdef FORGETFUL_TARGETS
    :: d_step { highestToken[0] > 0 -> highestToken[0] = 0; runs[0] = false; leaseEnd[0] = 0 }
#endif
    od
}

inline endLease(t)
{
    if
    :: leaseEnd[t] > 0 && leaseEnd[t] <= now -> runs[t] = false; leaseEnd[t] = 0
    :: else
    fi
}

#define forgetTime(time, end) time = ((end) > now -> time : 0)

/* Times that no longer matter become 0, so that states which differ in them alone are one. */
inline forgetPast(d)
{
    if
    :: hasRun[d] && runEndsBy[d] <= now -> clearRun(d)
    :: else
    fi;
#ifndef START_WITHOUT_DEADLINE
    if
    :: startInFlight[d] && startDeadline[d] <= now -> clearStart(d)
    :: else
    fi;
#endif
    forgetTime(reportSentAt[d], reportSentAt[d] + GRANT);
    forgetTime(sentAt[d], sentAt[d] + GRANT);
#ifdef LATE_REPORTS
    forgetTime(lateSentAt, lateSentAt + GRANT);
#endif
    forgetTime(frameUntil[d], frameUntil[d]);
    forgetTime(heldUntil[d], heldUntil[d]);
    forgetTime(reportArrivedAt[d], reportArrivedAt[d] + GRANT + LEASE);
    forgetTime(endsBy[d], endsBy[d] + LEASE);
    forgetTime(earlierEndBy[d], earlierEndBy[d] + LEASE);
    forgetTime(earlierRunsEndBy, earlierRunsEndBy);
    forgetTime(lostRunsEndBy, lostRunsEndBy);
#ifdef SHARED_DEADLINE
    forgetTime(leasesOf(d, 0), leasesOf(d, 0));
    forgetTime(leasesOf(d, 1), leasesOf(d, 1));
#endif
    forgetTime(reportedUntil[CLAIM(d, 0)], reportedUntil[CLAIM(d, 0)]);
    forgetTime(reportedUntil[CLAIM(d, 1)], reportedUntil[CLAIM(d, 1)])
}

proctype Clock()
{
end:
    do
    :: d_step {
            now < END_OF_TIME ->
            now++;
            endLease(0);
            endLease(1);
            forgetPast(A);
            forgetPast(B)
        }
    od
}

/* A owns the first target and B the second, as they have reported. */
init
{
    atomic {
        claim[CLAIM(A, 0)] = owned;
        token[CLAIM(A, 0)] = 1;
        claimNumber[CLAIM(A, 0)] = 1;
        highestToken[0] = 1;
        reportedTargets[A] = 1;
        highestToken[1] = 1;
#ifdef LATE_REPORTS
        knownIncarnation[A] = NO_PROCESS;
        reportedClaims[A] = 0;
        reportedTargets[A] = 0;
#endif
#ifdef TAKEN_BEFORE_REPORT
        claim[CLAIM(A, 1)] = owned;
        token[CLAIM(A, 1)] = 1;
        claimNumber[CLAIM(A, 1)] = 1;
        reportedTargets[A] = 3;
        claims[B] = 0;
        reportedClaims[B] = 0;
#else
        claim[CLAIM(B, 1)] = owned;
        token[CLAIM(B, 1)] = 1;
        claimNumber[CLAIM(B, 1)] = 1;
        reportedTargets[B] = 2;
#endif
        run EntryHost();
        run Dispatcher(A);
        run Dispatcher(B);
        run Targets();
        run Clock()
    }
}
