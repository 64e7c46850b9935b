/* At most once: three claimants compete for one key, with nothing but the order of the platform's log.
 *
 * Appends come at once, late or never, and in any order. A claimant may stop for good, pause at every step, and give up while it
 * waits. Claims expire; the log forgets records after its retention; a claimant that begins late reads what is left, and one that
 * paused for too long reads on without what it missed.
 *
 * Left out, since they add no behaviour: a lost append (one that never comes) and a crash (a claimant that takes no further step).
 * Claimants are alike, so they are numbered in the order of their claims.
 *
 * Variants that must fail, each by its own macro:
 *   START_BEFORE_READ_BACK     a claimant starts without having read its claim in the log
 *   TAKE_BACK_ABANDONMENT      a claimant that gave up starts all the same when its claim comes
 *   WINDOW_BEYOND_RETENTION    a claim lasts longer than the log remembers it
 *   NO_CHECK_BEFORE_START      a claimant that paused after the read-back does not look at the time again
 *
 * docs/design/claims.md ties each rule to the function that carries it. */

#define CLAIMANTS 3
#define LOG_LENGTH 6
#define END_OF_TIME 3
#define RETENTION 2

#ifdef WINDOW_BEYOND_RETENTION
#define EXPIRY 3
#else
#define EXPIRY 1
#endif

byte now;
byte heldUntil;
byte claimsMade;

byte logLength;
byte logClaimant[LOG_LENGTH];
bool logIsClaim[LOG_LENGTH];
byte logTime[LOG_LENGTH];

byte claimedAt[CLAIMANTS];
bool claimInFlight[CLAIMANTS];
bool abandonmentInFlight[CLAIMANTS];

/* The place of each claim in the log, counted from 1; 0 until it is there. */
byte place[CLAIMANTS];

/* Scratch variables of judge(), which runs within one atomic step. */
hidden byte entry;
hidden byte other;
hidden byte blocked;
hidden byte abandoned;

#define isForgotten(entry) (now - logTime[entry] >= RETENTION)

inline append(claimant, isClaim)
{
    logClaimant[logLength] = claimant;
    logIsClaim[logLength] = isClaim;
    logTime[logLength] = now;
    logLength++
}

/* Moves base to the first record that the log still keeps. */
inline skipForgotten()
{
    do
    :: base < logLength && isForgotten(base) -> base++
    :: else -> break
    od
}

/* Sets blocked where an earlier claim within [base, last) had not expired at `at` and was not abandoned within [base, next). */
inline judge(last, at)
{
    blocked = false;
    entry = base;
    do
    :: entry < last ->
        if
        :: logIsClaim[entry] && claimedAt[logClaimant[entry]] + EXPIRY > at ->
            abandoned = false;
            other = base;
            do
            :: other < next ->
                abandoned = abandoned || (!logIsClaim[other] && logClaimant[other] == logClaimant[entry]);
                other++
            :: else -> break
            od;
            blocked = blocked || !abandoned
        :: else
        fi;
        entry++
    :: else -> break
    od
}

active proctype Clock()
{
end:
    do
    :: now < END_OF_TIME -> now++
    od
}

inline deliverClaim(claimant)
{
    claimInFlight[claimant] = false;
    append(claimant, true);
    place[claimant] = logLength
}

inline deliverAbandonment(claimant)
{
    abandonmentInFlight[claimant] = false;
    append(claimant, false)
}

/* Delivers each append whenever it likes. */
active proctype Network()
{
end:
    do
    :: atomic { claimInFlight[0] -> deliverClaim(0) }
    :: atomic { claimInFlight[1] -> deliverClaim(1) }
    :: atomic { claimInFlight[2] -> deliverClaim(2) }
    :: atomic { abandonmentInFlight[0] -> deliverAbandonment(0) }
    :: atomic { abandonmentInFlight[1] -> deliverAbandonment(1) }
    :: atomic { abandonmentInFlight[2] -> deliverAbandonment(2) }
    od
}

active [CLAIMANTS] proctype Claimant()
{
    byte self = _pid - 2;
    byte base;
    byte next;
    bool gaveUp;

    /* A new host reads the whole window that the log still keeps. */
    atomic {
        skipForgotten();
        next = logLength
    };

    /* It may pause before it claims. */
    atomic {
        claimsMade == self ->
        claimsMade++;
        judge(next, now);
        if
        :: blocked -> goto finished
        :: else
        fi;
        claimedAt[self] = now;
        claimInFlight[self] = true
    };

#ifdef START_BEFORE_READ_BACK
    goto granted;
#endif

end_waiting:
    if
    :: atomic {
            /* Reads on to its own claim, or to the end of the log. */
            place[self] > 0 && !isForgotten(place[self] - 1) ->
            if
            :: next < logLength && isForgotten(next) -> skipForgotten()
            :: else
            fi;
            if
            :: next = place[self]
            :: next = logLength
            fi;
            judge(place[self] - 1, claimedAt[self]);
            if
            :: blocked -> abandonmentInFlight[self] = !gaveUp; goto finished
            :: else -> goto granted
            fi
        }
    :: atomic {
            !gaveUp ->
            abandonmentInFlight[self] = true;
#ifdef TAKE_BACK_ABANDONMENT
            gaveUp = true;
            goto end_waiting
#else
            goto finished
#endif
        }
    fi;

granted:
    /* Here it may pause for as long as it likes. */
    atomic {
#ifndef NO_CHECK_BEFORE_START
        if
        :: now >= claimedAt[self] + EXPIRY -> abandonmentInFlight[self] = true; goto finished
        :: else
        fi;
#endif
        assert(now >= heldUntil);
        heldUntil = claimedAt[self] + EXPIRY
    };

finished:
    skip
}
