/* A caller sends its job again over another entry host: are the runs of the first submission over by then? One task, one run of the first
 * submission at a time.
 *
 * The entry host E1 may end at any time; its caller comes again CALLER_WAIT later over E2, whose dispatcher D2 starts the job at once on
 * another target. Or E1 lives, takes the job back at any time, and D2 starts it OVERHANG after the end of the grant that E1 has given.
 * D1 is the job's first dispatcher. Its target also runs jobs of E3, which always renews its grant, so that the target's deadline may be
 * far ahead when E1's job is started there. D1 need not take any step that it may take, which includes that it stands still, has ended, or
 * is cut off from its target, and that its orders are lost; nobody ever stops a run.
 *
 * Reports of D1 are sent at any step, and reports and frames are lost or arrive after any time. Of those that are on their way at once one
 * is kept: what an earlier one brings it could have brought sooner. A deadline counts from the sending of the order, so that an order takes
 * effect at once or never here. Thus D1 knows the target's deadline; by its own bound, which counts lost orders too, it does less.
 *
 * Time is counted in steps of 0.05 s, which the constants of the design are multiples of. All times are those that are left. Clocks do not
 * drift: in the design that is within OVERHANG. So are the margins for delays of timers, and the delay of E2's submission is left out.
 * There is no other owner of D1's target, and D2 does not know of it.
 *
 * Variants that must fail, each by its own macro:
 *   LEASES_BEYOND_GRANTS           a renewal extends leases by the longest one, whenever the grants end
 *   START_UNDER_LONG_LEASE         a run is started whatever the target's deadline is
 *   START_BESIDE_WITHOUT_GRANTS    a run of E3 is started whatever is left of the grant of E1's run beside it
 *   LONG_GRANT                     a grant follows reports that are 0.59 s apart, 2.5 s
 *   ONLY_OWN_GRANT                 leases keep to the grant of E3 alone
 *   HANDED_ON_AFTER_GRANT_ALONE    E1 hands the job on when the grant has ended
 *
 * With ON_TIME another question is asked: does a run lose its lease while E1 lives? Reports are sent each PERIOD; a report and its answer
 * take up to DELAY together, and so do a renewal and its reply; at most LOST exchanges in a row are lost. D1 renews when it should. No
 * lease of a run may end, and each renewal must be sent while the lease has more than DELAY to go. Variants that must fail:
 *   LATE_RENEWALS                  with LOST=3: renewals are RENEWAL_WAIT apart also when grants limit the leases
 *   LOST=4                         a grant ends before the next one comes
 *
 * docs/design/job-ownership.md ties the rules to the functions that carry them. */

/* The longest silence of a live host and a period of reports, 0.9 s. */
#ifdef LONG_GRANT
#define GRANT 50
#else
#define GRANT 18
#endif
/* GrantGracePeriod, 0.25 s, and LongestRunAfterGrant, 0.35 s. */
#define GRACE 5
#define OVERHANG 7
/* The longest lease, 1.0 s and that of a start, 0.45 s. */
#define LEASE 20
#define START_LEASE 9
/* 1.3 s. */
#define CALLER_WAIT 26

#define PERIOD 4
/* RenewalWait, 0.3 s, RenewalLead, 0.15 s, and MinRenewalWait, 0.06 s. */
#define RENEWAL_WAIT 6
#define RENEWAL_LEAD 3
#define MIN_RENEWAL_WAIT 2
#ifndef DELAY
#define DELAY 1
#endif
#ifndef LOST
#define LOST 0
#endif

#define NONE 255

/* What is left of the grant that D1 holds, and of the target's deadline. */
byte grant;
byte deadline;
/* E1's run and one of E3. */
bool isRunning;
bool isOtherRunning;

/* TargetLedger::mayExtendLeases. */
#ifdef ONLY_OWN_GRANT
#define mayExtend true
#else
#define mayExtend (!isRunning || grant > 0)
#endif

/* TargetLedger::mayStartUnder, for a run of E1 and one of E3. */
#ifdef START_UNDER_LONG_LEASE
#define mayStart (grant > 0 && START_LEASE <= grant + OVERHANG)
#else
#define mayStart (grant > 0 && START_LEASE <= grant + OVERHANG && deadline <= grant + OVERHANG)
#endif
#ifdef START_BESIDE_WITHOUT_GRANTS
#define mayStartBeside true
#else
#define mayStartBeside (!isRunning || (grant > 0 && START_LEASE <= grant + OVERHANG))
#endif

/* A deadline never shortens. */
inline extendTo(length)
{
    if
    :: deadline < length -> deadline = length
    :: else
    fi
}

/* Scheduler::renew, TargetLedger::leaseLimit. E3's grant is always a new one, and ends later than the longest lease. */
inline renew()
{
    if
#if !defined(ONLY_OWN_GRANT) && !defined(LEASES_BEYOND_GRANTS)
    :: isRunning && grant + GRACE < LEASE -> extendTo(grant + GRACE)
#endif
    :: else -> extendTo(LEASE)
    fi
}

inline passTime()
{
    grant = (grant > 0 -> grant - 1 : 0);
    deadline = (deadline > 0 -> deadline - 1 : 0);
    isRunning = isRunning && deadline > 0;
    isOtherRunning = isOtherRunning && deadline > 0
}

#ifndef ON_TIME

/* The age of D1's report that is on its way, what is left of the grant in E1's frame that is on its way, and of the same grant by E1, which
 * counts it from the arrival of the report (IssuedGrants::renew). */
byte report = NONE;
byte frame;
byte issued;

/* E1 has ended or taken the job back, and what is left of the time until D2 starts it. */
bool isGone;
byte wait;

#define isStartedByD2 (isGone && wait == 0)

#ifdef HANDED_ON_AFTER_GRANT_ALONE
#define WAIT_AFTER_GRANT 0
#else
#define WAIT_AFTER_GRANT OVERHANG
#endif

/* From now on E1 sends nothing that D1 could use. */
inline leave(time)
{
    isGone = true;
    wait = time;
    report = NONE;
    issued = 0
}

inline check()
{
    assert(!(isStartedByD2 && isRunning))
}

proctype System()
{
    do
    :: d_step {
            passTime();
            frame = (frame > 0 -> frame - 1 : 0);
            issued = (issued > 0 -> issued - 1 : 0);
            wait = (wait > 0 -> wait - 1 : 0);
            if
            :: report == NONE
            :: report < GRANT - 1 -> report++
            :: report == GRANT - 1 -> report = NONE
            fi;
            check()
        }
    /* D1. */
    :: d_step { !isGone && report != 0 -> report = 0 }
    :: d_step { frame > 0 -> grant = (grant < frame -> frame : grant); frame = 0 }
    :: d_step { !isRunning && mayStart -> isRunning = true; extendTo(START_LEASE); check() }
    :: d_step { !isOtherRunning && mayStartBeside -> isOtherRunning = true; extendTo(START_LEASE) }
    :: d_step { (isRunning || isOtherRunning) && mayExtend -> renew() }
    /* The target. */
    :: d_step { isRunning -> isRunning = false }
    :: d_step { isOtherRunning -> isOtherRunning = false }
    /* E1. */
    :: d_step { report != NONE -> frame = (GRANT - report > grant -> GRANT - report : 0); issued = GRANT; report = NONE }
    :: d_step { !isGone -> leave(CALLER_WAIT) }
    :: d_step { !isGone -> leave(issued + WAIT_AFTER_GRANT); check() }
    od
}

#else

/* Time until the next report, the next renewal, and the answer that is on its way, with what its report's age will be then. */
byte untilReport = PERIOD;
byte untilRenewal;
byte untilAnswer = NONE;
byte answerAge;
byte lost;

/* Scheduler::renewalWait, and the time until the reply has come. */
inline awaitReply(time)
{
    untilRenewal = RENEWAL_WAIT;
#ifndef LATE_RENEWALS
    if
    :: grant + GRACE < RENEWAL_LEAD + MIN_RENEWAL_WAIT -> untilRenewal = MIN_RENEWAL_WAIT
    :: grant + GRACE >= RENEWAL_LEAD + MIN_RENEWAL_WAIT && grant + GRACE < RENEWAL_LEAD + RENEWAL_WAIT ->
        untilRenewal = grant + GRACE - RENEWAL_LEAD
    :: else
    fi;
#endif
    untilRenewal = untilRenewal + time
}

/* What is due at a step happens before time goes on. */
proctype System()
{
    byte delay;
    do
    :: d_step { untilAnswer == 0 -> grant = (grant < GRANT - answerAge -> GRANT - answerAge : grant); untilAnswer = NONE; answerAge = 0 }
    :: atomic {
            untilReport == 0 && untilAnswer == NONE ->
            untilReport = PERIOD;
            if
            :: lost < LOST -> lost++
            :: true ->
                lost = 0;
                select (delay : 0 .. DELAY);
                untilAnswer = delay;
                answerAge = delay;
                delay = 0
            fi
        }
    :: atomic {
            isRunning && untilRenewal == 0 ->
            assert(deadline > DELAY);
            select (delay : 0 .. DELAY);
            awaitReply(delay);
            delay = 0;
            if
            :: mayExtend -> renew()
            :: else
            fi
        }
    /* A renewal that waits for the end of another run may be under way; what that has extended does not count here. */
    :: atomic {
            !isRunning && mayStart ->
            isRunning = true;
            extendTo(START_LEASE);
            select (untilRenewal : 0 .. RENEWAL_WAIT + DELAY)
        }
    :: d_step {
            untilAnswer != 0 && untilReport > 0 && (!isRunning || untilRenewal > 0) ->
            assert(!isRunning || deadline > 1);
            passTime();
            untilReport--;
            untilRenewal = (untilRenewal > 0 -> untilRenewal - 1 : 0);
            untilAnswer = (untilAnswer != NONE -> untilAnswer - 1 : NONE)
        }
    od
}

#endif

init
{
    atomic {
        /* Whatever E3's runs have left. */
        select (deadline : 0 .. LEASE);
        isOtherRunning = deadline > 0;
#ifdef ON_TIME
        grant = GRANT;
#endif
        run System()
    }
}
