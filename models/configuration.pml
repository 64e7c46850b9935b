/* The rule of acceptance for configuration records (src/config/configurationhistory).
 *
 * Operators append records made from the version that they read last. An append may take effect late, more than once or never.
 * Hosts read the log in order, restart with nothing, repeat the current version (carry-forward), and ask each other.
 * Records expire from the front at any time.
 *
 * Claims: a host that holds an established version holds the one that the whole log decides; what a host runs was accepted;
 * no host goes to a lower version while it lives.
 *
 * Faults on purpose, each of which the checker must find:
 *   NO_VERSION_COMPARISON  a record is accepted whatever it was made from
 *   BASE_FROM_ANY_RECORD   a host that missed expired records takes the next record as its base
 *   BASE_FROM_STALE_CARRY  ... or a carry-forward record from before the records that it missed
 *   LOWER_FROM_PEER        a host takes over a peer's version although it is lower
 */
#ifndef RECORDS
#define RECORDS 4
#endif
#ifndef APPENDS
#define APPENDS 3
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif
#define HOSTS 2

typedef Record {
    bit carried;
    byte id;
    byte parent;
    byte version;
    byte carriedAt;
}

typedef Host {
    byte next;         /* the next offset to read */
    byte readFrom;     /* every record from here to next was read */
    bit established;
    byte chainVersion; /* current as of next, where established */
    byte chainId;
    byte version;      /* in force */
    byte id;
}

Record log[RECORDS];
byte end;                       /* records in the log */
byte first;                     /* records below it have expired */
byte truthVersion[RECORDS + 1]; /* what the whole log decides, after so many records */
byte truthId[RECORDS + 1];
byte acceptedId[RECORDS + 2];   /* by version */

Record sent[APPENDS];           /* appends that may still take effect */
byte sentCount;
byte restarts;
Host hosts[HOSTS];

#ifdef NO_VERSION_COMPARISON
#define IS_ACCEPTED(record, current) (!record.carried)
#else
#define IS_ACCEPTED(record, current) (!record.carried && record.parent == current)
#endif

#ifdef BASE_FROM_ANY_RECORD
#define IS_BASE(record, host) (1)
#else
#ifdef BASE_FROM_STALE_CARRY
#define IS_BASE(record, host) (record.carried)
#else
#define IS_BASE(record, host) (record.carried && record.carriedAt >= host.readFrom)
#endif
#endif

#ifdef LOWER_FROM_PEER
#define IS_TAKEN_OVER(host, peer) (peer.version != host.version)
#else
#define IS_TAKEN_OVER(host, peer) (peer.version > host.version)
#endif

/* An operator reads the log to its end and sends a record made from the version found. */
inline publish()
{
    sent[sentCount].carried = 0;
    sent[sentCount].id = sentCount + 1;
    sent[sentCount].parent = truthVersion[end];
    sent[sentCount].version = truthVersion[end] + 1;
    sentCount++;
}

/* A host repeats the version that it knows to be current as of its next offset. */
inline carryForward(h)
{
    sent[sentCount].carried = 1;
    sent[sentCount].id = hosts[h].chainId;
    sent[sentCount].parent = hosts[h].chainVersion - 1;
    sent[sentCount].version = hosts[h].chainVersion;
    sent[sentCount].carriedAt = hosts[h].next;
    sentCount++;
}

/* An append takes effect; it stays in `sent`, so that it may take effect again. */
inline takeEffect(s)
{
    log[end].carried = sent[s].carried;
    log[end].id = sent[s].id;
    log[end].parent = sent[s].parent;
    log[end].version = sent[s].version;
    log[end].carriedAt = sent[s].carriedAt;
    truthVersion[end + 1] = truthVersion[end];
    truthId[end + 1] = truthId[end];
    if
    :: IS_ACCEPTED(log[end], truthVersion[end]) ->
        assert(log[end].version > truthVersion[end]);
        truthVersion[end + 1] = log[end].version;
        truthId[end + 1] = log[end].id;
        acceptedId[log[end].version] = log[end].id
    :: else
    fi;
    end++;
}

inline bringInForce(h)
{
    if
    :: hosts[h].chainVersion > hosts[h].version ->
        hosts[h].version = hosts[h].chainVersion;
        hosts[h].id = hosts[h].chainId
    :: else
    fi;
}

/* Decides on one record of an established chain. */
inline decide(h, offset)
{
    if
    :: IS_ACCEPTED(log[offset], hosts[h].chainVersion) ->
        hosts[h].chainVersion = log[offset].version;
        hosts[h].chainId = log[offset].id;
        bringInForce(h)
    :: else
    fi;
}

/* Takes a base that was current at an offset, and decides again on what was read from there. */
inline establish(h, baseVersion, baseId, from)
{
    hosts[h].established = 1;
    hosts[h].chainVersion = baseVersion;
    hosts[h].chainId = baseId;
    bringInForce(h);
    offset = (from > hosts[h].readFrom -> from : hosts[h].readFrom);
    do
    :: offset < hosts[h].next -> decide(h, offset); offset++
    :: else -> break
    od;
    offset = 0;
}

inline forgetChain(h, from)
{
    hosts[h].established = 0;
    hosts[h].chainVersion = 0;
    hosts[h].chainId = 0;
    hosts[h].next = from;
    hosts[h].readFrom = from;
}

inline readOne(h)
{
    if
    :: first > hosts[h].next -> forgetChain(h, first)
    :: else
    fi;
    if
    :: hosts[h].next < end && hosts[h].established ->
        decide(h, hosts[h].next);
        hosts[h].next++
    :: hosts[h].next < end && !hosts[h].established ->
        hosts[h].next++;
        if
        :: IS_BASE(log[hosts[h].next - 1], hosts[h]) ->
            establish(h, log[hosts[h].next - 1].version, log[hosts[h].next - 1].id, log[hosts[h].next - 1].carriedAt)
        :: else
        fi
    :: else
    fi;
}

inline askPeer(h, p)
{
    if
    :: hosts[p].established && hosts[p].next > hosts[h].next ->
        forgetChain(h, hosts[p].next);
        establish(h, hosts[p].chainVersion, hosts[p].chainId, hosts[p].next)
    :: hosts[p].established && hosts[p].next <= hosts[h].next && !hosts[h].established && hosts[p].next >= hosts[h].readFrom ->
        establish(h, hosts[p].chainVersion, hosts[p].chainId, hosts[p].next)
    :: else ->
        if
        :: IS_TAKEN_OVER(hosts[h], hosts[p]) && (!hosts[h].established || hosts[h].chainVersion == 0) ->
            hosts[h].version = hosts[p].version;
            hosts[h].id = hosts[p].id
        :: else
        fi
    fi;
}

inline restart(h)
{
    forgetChain(h, 0);
    hosts[h].established = 1;
    hosts[h].version = 0;
    hosts[h].id = 0;
    before = 0;
    restarts++;
}

inline check(h)
{
    assert(hosts[h].version >= before);
    assert(hosts[h].version == 0 || hosts[h].id == acceptedId[hosts[h].version]);
    assert(!hosts[h].established || hosts[h].chainVersion == truthVersion[hosts[h].next]);
    assert(!hosts[h].established || hosts[h].chainId == truthId[hosts[h].next]);
}

active proctype system()
{
    byte h;
    byte s;
    byte offset;
    byte before;
    hosts[0].established = 1;
    hosts[1].established = 1;
    do
    :: atomic { sentCount < APPENDS -> publish() }
    :: atomic { sentCount > 0 && end < RECORDS ->
        select(s : 0 .. sentCount - 1);
        takeEffect(s);
        s = 0 }
    :: atomic { first < end -> first++ }
    :: atomic {
        select(h : 0 .. 1);
        before = hosts[h].version;
        if
        :: first > hosts[h].next || hosts[h].next < end -> readOne(h)
        :: sentCount < APPENDS && hosts[h].established && hosts[h].chainVersion > 0 -> carryForward(h)
        :: hosts[1 - h].version > 0 -> askPeer(h, 1 - h)
        :: restarts < RESTARTS -> restart(h)
        :: else -> skip
        fi;
        check(h);
        h = 0;
        before = 0 }
    od
}
