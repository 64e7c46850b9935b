/* A caller closes its connection to the entry host E1 and sends its job again CALLER_WAIT later over another one, whose dispatcher starts
 * it at once. Are the runs of the first submission over by then, and does E1 cause no start afterwards, though it reads late?
 *
 * The caller closes its connection at any time. E1 reads the request after any time, and the closing after any time more, or never; but it
 * may look at the connection, which shows the closing at once. It submits the job to itself or to the dispatcher D, at once or after it
 * has waited for any time; the job may come back and be submitted again, and E1 may take it from D once. Neither host need take any step
 * that it may take, which includes that it stands still, has ended, or is cut off, and that its frames and orders are lost. Nobody ever
 * stops a run.
 *
 * D sends frames at any step, which are lost or arrive after any time. Of those that are on their way at once one is kept: what an earlier
 * one brings it could have brought sooner. The same holds for the frames of E1. D has a job from its submission on: that the submission is
 * late is the same as that D leaves steps out. A frame that grants after E1 has given the job up carries the cancellation, so that it is of
 * no use to D; the cancellation itself may be lost. E1 and D have other jobs all the while, for which their grants are renewed.
 *
 * A run ends OVERHANG after the grant that its dispatcher knew, at the latest, which resubmission.pml checks; here each run lasts as long as
 * that. Time is counted in steps of 0.05 s. All times are those that are left. Clocks do not drift: in the design that is within OVERHANG.
 * The delay of the second submission is left out.
 *
 * Variants that must fail, each by its own macro:
 *   NO_LOOK_ON_ACCEPTANCE          E1 submits a job that it has just read without a look at the connection
 *   NO_LOOK_BEFORE_SUBMISSION      the same for a job that has waited, or has come back
 *   NO_LOOK_AT_REPORTS             E1 reads the frames from which grants count without a look
 *   GRANTS_FROM_ANY_FRAME          grants count from any frame of D, with a look at reports and requests for grants only
 *   OWN_JOBS_WITHOUT_GRANT         E1 needs no grant for a job that it dispatches itself; leases are the longest ones
 *   OWN_GRANT_WITHOUT_LOOK         E1 renews the grant to itself without a look
 *   GIVEN_UP_RUNS_FOLLOW_GRANT     the run of an own job that was given up follows the renewed grant
 *   GRANTS_WITHOUT_CANCELLATION    D is told once that a job was given up, and then gets grants as before
 * and a known fault:
 *   SILENT_CONNECTION              the connection never shows that the caller has gone
 *
 * OWN_ONLY and OTHER_ONLY leave out one of the two dispatchers. A connection that shows the closing later is the same as a shorter
 * CALLER_WAIT: the model holds with 25 and fails with 24.
 *
 * docs/design/job-ownership.md ties the rules to the functions that carry them. */

/* OwnGrantLength, and the length of a grant to D: 0.9 s. */
#define GRANT 18
/* LongestRunAfterGrant, 0.35 s. */
#define OVERHANG 7
/* The longest lease, 1.0 s. */
#define LEASE 20
/* 1.3 s. */
#ifndef CALLER_WAIT
#define CALLER_WAIT 26
#endif

#define NONE 255

/* The caller, and what is left of the time until it comes again. */
bool hasLeft;
byte wait;

/* E1: where the job is, which stays when it is given up, and the grant to itself. */
#define UNREAD 0
#define WAITING 1
#define OWN 2
#define SENT 3
byte job = UNREAD;
bool isGivenUp;
bool isTakenBack;
byte own;

/* The age of D's frame that is on its way, and what is left of the grant that E1's next frame would carry, of that in its frame that is on
 * its way, and of that which D holds. */
byte report = NONE;
byte issued;
byte frame;
byte held;
bool isAtD;

/* What is left of the lease of the job's last run. */
byte lease;

#ifdef SILENT_CONNECTION
#define isSeenGone false
#else
#define isSeenGone hasLeft
#endif

#ifdef NO_LOOK_ON_ACCEPTANCE
#define endsOnAcceptance false
#else
#define endsOnAcceptance isSeenGone
#endif
#ifdef NO_LOOK_BEFORE_SUBMISSION
#define endsBeforeSubmission false
#else
#define endsBeforeSubmission isSeenGone
#endif
#ifdef NO_LOOK_AT_REPORTS
#define endsAtReport false
#else
#define endsAtReport (!isGivenUp && isSeenGone)
#endif
#ifdef OWN_GRANT_WITHOUT_LOOK
#define endsAtOwnGrant false
#else
#define endsAtOwnGrant (!isGivenUp && isSeenGone)
#endif

/* Scheduler::updateGrantEnds: the runs of a job that was given up keep the grant that they had. */
#ifdef GIVEN_UP_RUNS_FOLLOW_GRANT
#define mayRenewOwn true
#else
#define mayRenewOwn (!isGivenUp)
#endif

/* OwedCancellations: no frame of E1 grants without the cancellation from then on. */
#ifdef GRANTS_WITHOUT_CANCELLATION
#define mayGrant true
#else
#define mayGrant (!isGivenUp)
#endif

/* HostNode::cancel. */
inline giveUp()
{
    isGivenUp = true;
    report = (mayGrant -> report : NONE);
    issued = (mayGrant -> issued : 0)
}

/* The grant to itself, or to D, may just have been renewed for other jobs. */
inline submitToSelf()
{
    job = OWN;
    own = GRANT
}

inline submitToD()
{
    job = SENT;
    isAtD = true;
    issued = GRANT;
    held = GRANT
}

inline takeFromSelf()
{
    job = WAITING;
    own = 0
}

inline takeFromD()
{
    job = WAITING;
    report = NONE;
    issued = 0
}

inline check()
{
    assert(!(hasLeft && wait == 0 && lease > 0))
}

/* A start or a renewal of the lease. */
inline extendTo(length)
{
    lease = (lease < length -> length : lease);
    check()
}

inline countDown(time)
{
    time = (time > 0 -> time - 1 : 0)
}

proctype System()
{
    do
    :: d_step {
            countDown(wait);
            countDown(own);
            countDown(issued);
            countDown(frame);
            countDown(held);
            countDown(lease);
            if
            :: report == NONE
            :: report < GRANT - 1 -> report++
            :: report == GRANT - 1 -> report = NONE
            fi;
            check()
        }
    /* The caller. */
    :: d_step { !hasLeft -> hasLeft = true; wait = CALLER_WAIT }
    /* E1 reads the request. HostNode::submit. */
    :: d_step { job == UNREAD && !isGivenUp && endsOnAcceptance -> giveUp() }
    :: d_step { job == UNREAD && !isGivenUp && !endsOnAcceptance -> job = WAITING }
#ifndef OTHER_ONLY
    :: d_step { job == UNREAD && !isGivenUp && !endsOnAcceptance -> submitToSelf() }
#endif
#ifndef OWN_ONLY
    :: d_step { job == UNREAD && !isGivenUp && !endsOnAcceptance -> submitToD() }
#endif
    /* HostNode::placeWaitingJobs, followRedirect. */
    :: d_step { job == WAITING && !isGivenUp && endsBeforeSubmission -> giveUp() }
#ifndef OTHER_ONLY
    :: d_step { job == WAITING && !isGivenUp && !endsBeforeSubmission -> submitToSelf() }
#endif
#ifndef OWN_ONLY
    :: d_step { job == WAITING && !isGivenUp && !endsBeforeSubmission && !isTakenBack -> submitToD() }
#endif
    /* E1 reads the closing. */
    :: d_step { job != UNREAD && !isGivenUp && isSeenGone -> giveUp() }
    /* The job comes back, or E1 takes it from D, which may not know it, and whose frames bring it no grant for the job from now on. */
    :: d_step { job == OWN && !isGivenUp -> takeFromSelf() }
    :: d_step { job == SENT && !isGivenUp -> takeFromD(); isAtD = false; frame = 0; held = 0 }
    :: d_step { job == SENT && !isGivenUp -> takeFromD(); isTakenBack = true }
#ifndef OTHER_ONLY
    /* E1 as the dispatcher. HostNode::renewOwnGrant. */
    :: d_step { job == OWN && endsAtOwnGrant -> giveUp() }
    :: d_step { job == OWN && mayRenewOwn && !endsAtOwnGrant && own < GRANT -> own = GRANT }
#ifdef OWN_JOBS_WITHOUT_GRANT
    :: d_step { job == OWN && !isGivenUp -> extendTo(LEASE) }
#else
    :: d_step { job == OWN && own > 0 && (!isGivenUp || lease > 0) -> extendTo(own + OVERHANG) }
#endif
#endif
#ifndef OWN_ONLY
    /* D. */
    :: d_step { job == SENT && mayGrant && report != 0 && issued < GRANT -> report = 0 }
    :: d_step { frame > 0 -> held = frame; frame = 0 }
    :: d_step { isAtD && held > 0 -> extendTo(held + OVERHANG) }
    /* E1 reads a report or a request for a grant, or another frame. HostNode::onFrame. */
    :: d_step { report != NONE && endsAtReport -> giveUp() }
    :: d_step { report != NONE && !endsAtReport -> issued = GRANT - report; report = NONE }
#ifdef GRANTS_FROM_ANY_FRAME
    :: d_step { report != NONE -> issued = GRANT - report; report = NONE }
#else
    :: d_step { report != NONE -> report = NONE }
#endif
    /* IssuedGrants::renew. */
    :: d_step { issued > frame && issued > held -> frame = issued }
#endif
    od
}

init
{
    run System()
}
