/* Which process of a host is the present one: a host whose process ends and starts anew sends reports to an entry host, which does the
 * same. Processes of one host do not overlap.
 *
 * Frames are lost or delayed for any time, and overtake each other; the network may deliver one any number of times. Of the reports those
 * that are read at once need no place in the network, and up to HELD others are in it, also after their process has ended. A frame of the
 * entry host may be read at any time after its sending, also those of its ended processes. Either host may forget the other at any time,
 * as when it has lost sight of it for long.
 *
 * Each process of the entry host has its own clock, which counts what alone is compared: the processes that it has found to be the
 * present one. What was sent before such a finding has a lower time than what is sent after it.
 *
 * The checks: (1) no living process is found to have ended; (2) from each state, when no late frame is left, one exchange of frames makes
 * the present process known.
 *
 * The model's limits are PROCESSES of the host, ENTRY_PROCESSES of the entry host, HELD reports at once, and END_OF_CLOCK findings of one process.
 *
 * Variants that must fail, each by its own macro:
 *   LATE_REPORT_ENDS_SUCCESSOR  a report of any other process than the known one counts as that of its successor
 *   RECORDS_ONLY                the same, unless the entry host has a record that the process has ended
 *   ECHO_WITHOUT_TIME           each echo of this process of the entry host counts
 *   ECHO_WITHOUT_PROCESS        the echoed time alone is compared
 *   HIGHEST_ECHO                a host goes on to echo the highest time, also when the entry host has restarted
 *   NO_ANSWER                   the entry host sends nothing to a host whose report does not count
 *
 * LIVING_PROCESSES_MAY_END leaves check (1) out, to show what a wrong finding costs by check (2).
 *
 * docs/design/job-ownership.md ties the rule to the class that carries it. */

#ifndef PROCESSES
#define PROCESSES 3
#endif
#ifndef ENTRY_PROCESSES
#define ENTRY_PROCESSES 2
#endif
#ifndef HELD
#define HELD 2
#endif
#ifndef END_OF_CLOCK
#define END_OF_CLOCK 4
#endif

/* Processes of either host are counted from 1, in the order of their lives, which neither host knows. */
#define NONE 0

/* The host: its present process and the last frame that this one has read (PeerProcesses::echoFor). */
byte present = 1;
byte echoedProcess;
byte echoedTime;

/* The entry host: its present process, and what that knows of the host (PeerProcesses::Record). */
byte entryProcess = 1;
byte known;
byte provenAt;
/* The time of each process, which stays when it ends. */
byte clock[ENTRY_PROCESSES + 1];

#ifdef RECORDS_ONLY
bool isRecorded[PROCESSES + 1];
#endif

/* Reports that the network holds. */
byte heldProcess[HELD];
byte heldEchoedProcess[HELD];
byte heldEchoedTime[HELD];

hidden byte i;

#if defined(LATE_REPORT_ENDS_SUCCESSOR)
#define isProven(process, echoProcess, echoTime) true
#elif defined(RECORDS_ONLY)
#define isProven(process, echoProcess, echoTime) (!isRecorded[process])
#elif defined(ECHO_WITHOUT_TIME)
#define isProven(process, echoProcess, echoTime) (echoProcess == entryProcess)
#elif defined(ECHO_WITHOUT_PROCESS)
#define isProven(process, echoProcess, echoTime) (echoProcess != NONE && (known == NONE || echoTime >= provenAt))
#else
#define isProven(process, echoProcess, echoTime) (echoProcess == entryProcess && (known == NONE || echoTime >= provenAt))
#endif

#define wouldReplace(process, echoProcess, echoTime) \
    (known != process && clock[entryProcess] < END_OF_CLOCK && isProven(process, echoProcess, echoTime))

/* PeerProcesses::onFrame, of a report that counts. */
inline replace(process)
{
#ifndef LIVING_PROCESSES_MAY_END
    assert(known != present);
#endif
#ifdef RECORDS_ONLY
    isRecorded[known] = known != NONE;
#endif
    known = process;
    clock[entryProcess]++;
    provenAt = clock[entryProcess]
}

/* PeerProcesses::onFrame of the host, whichever process of the entry host has sent the frame. */
#ifdef HIGHEST_ECHO
#define isNews(process, time) (echoedProcess == NONE || echoedTime < time)
#else
#define isNews(process, time) (echoedProcess != process || echoedTime < time)
#endif

inline forgetEntryHost()
{
    echoedProcess = NONE;
    echoedTime = 0
}

/* A record that has been removed is not consulted any more. */
inline forgetHost()
{
    known = NONE;
    provenAt = 0;
#ifdef RECORDS_ONLY
    i = 0;
    do
    :: i <= PROCESSES -> isRecorded[i] = false; i++
    :: else -> break
    od;
    i = 0
#endif
}

proctype Host()
{
    byte slot;
    byte process;
    byte time;
end:
    do
    :: d_step { present < PROCESSES -> present++; forgetEntryHost() }
    :: d_step { echoedProcess != NONE -> forgetEntryHost() }
    /* A report that is read at once, and one that may be read later. */
    :: d_step { wouldReplace(present, echoedProcess, echoedTime) -> replace(present) }
    :: atomic {
            select (slot : 0 .. HELD - 1);
            heldProcess[slot] = present;
            heldEchoedProcess[slot] = echoedProcess;
            heldEchoedTime[slot] = echoedTime;
            slot = 0
        }
    /* A frame of any process that the entry host has had, and of any time. */
    :: atomic {
            select (process : 1 .. entryProcess);
            select (time : 0 .. clock[process]);
            if
            :: isNews(process, time) -> echoedProcess = process; echoedTime = time
            :: else
            fi;
            process = 0;
            time = 0
        }
    od
}

proctype EntryHost()
{
end:
    do
    :: d_step { entryProcess < ENTRY_PROCESSES -> entryProcess++; forgetHost() }
    :: d_step { known != NONE -> forgetHost() }
    :: d_step {
            heldProcess[0] != NONE && wouldReplace(heldProcess[0], heldEchoedProcess[0], heldEchoedTime[0]) ->
            replace(heldProcess[0])
        }
#if HELD > 1
    :: d_step {
            heldProcess[1] != NONE && wouldReplace(heldProcess[1], heldEchoedProcess[1], heldEchoedTime[1]) ->
            replace(heldProcess[1])
        }
#endif
#if HELD > 2
    :: d_step {
            heldProcess[2] != NONE && wouldReplace(heldProcess[2], heldEchoedProcess[2], heldEchoedTime[2]) ->
            replace(heldProcess[2])
        }
#endif
    od
}

hidden byte calmKnown;
hidden byte calmProcess;
hidden byte calmTime;

/* The clock has an end only in the rest of the model. */
inline readCalmReport()
{
    if
    :: isProven(present, calmProcess, calmTime) -> calmKnown = present
    :: else
    fi
}

/* What one exchange of frames without any late one would lead to: a report, the answer of the entry host, and the next report. */
proctype Calm()
{
end:
    do
    :: d_step {
            calmKnown = known;
            calmProcess = echoedProcess;
            calmTime = echoedTime;
            readCalmReport();
            if
#ifdef NO_ANSWER
            :: calmKnown == present && isNews(entryProcess, clock[entryProcess]) ->
#else
            :: isNews(entryProcess, clock[entryProcess]) ->
#endif
                calmProcess = entryProcess;
                calmTime = clock[entryProcess]
            :: else
            fi;
            readCalmReport();
            assert(calmKnown == present)
        }
    od
}

init
{
    atomic {
        run Host();
        run EntryHost();
        run Calm()
    }
}
