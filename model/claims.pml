/* Model of the claims on one unrepeatable request (docs/design/at-most-once.md,
 * src/core/claims/claim_ledger.cpp).
 *
 * Two nodes serve resends of one request. The store holds one versioned value, written by compare-and-swap. A
 * write's response may be lost, the write may be lost, or it may take effect later. A node may stop waiting at any
 * point (its caller is told "not run") and may be paused at any point, which the interleaving covers.
 *
 * Checked: the request runs at most once, and if it never ran, no claim stays in the store permanently.
 * Build with -DNO_FENCE, -DNO_REMOVE or -DGRANT_UNKNOWN to see the check fail.
 */
#define NODES 2
#define TRIES 2      /* calls per node with the same idempotency key */
#define LATE_SLOTS 2 /* writes that may take effect later */
#define MAX_WRITES 3 /* writes per try before the node gives up */
#define NONE 0

byte version = 0;
byte owner = NONE;   /* id of the claim in the store, or NONE */
byte ran = 0;
byte finished = 0;

bool late[LATE_SLOTS];
byte late_base[LATE_SLOTS];
byte late_owner[LATE_SLOTS];

mtype = { ok, conflict, unknown };

/* Compare-and-swap on the store. */
inline apply(base, value, result) {
    result = (base == version -> ok : conflict);
    owner = (base == version -> value : owner);
    version = (base == version -> version + 1 : version)
}

/* A write with every fault that the store can have. */
inline faulty_write(base, value, result) {
    atomic {
        if
        :: apply(base, value, result)
        :: apply(base, value, result); result = unknown       /* response lost */
        :: result = unknown                                   /* request lost */
        :: !late[0] -> late[0] = true; late_base[0] = base; late_owner[0] = value; result = unknown
        :: !late[1] -> late[1] = true; late_base[1] = base; late_owner[1] = value; result = unknown
        fi
    }
}

proctype node(byte first_id) {
    byte try = 0, id, seen_version, seen_owner, writes, unknown_base = 0;
    bool abandoned[NODES * TRIES + 1];
    bool write_unknown = false, granted;
    mtype result;

    do
    :: try < TRIES ->
        id = first_id + try;
        try++;
        writes = 0;
        granted = false;
        do
        :: writes < MAX_WRITES ->
            atomic { seen_version = version; seen_owner = owner }
            if
            :: seen_owner == id -> granted = true; break
            :: seen_owner != id && seen_owner != NONE && !abandoned[seen_owner] ->
                abandoned[id] = true; break                   /* caller is told: may have run */
            :: else ->
                writes++;
                faulty_write(seen_version, id, result);
                if
                :: result == ok -> granted = true; write_unknown = false; break
                :: result == conflict -> skip
                :: result == unknown -> write_unknown = true; unknown_base = seen_version;
#ifdef GRANT_UNKNOWN
                    granted = true; break
#endif
                fi
            fi
        :: abandoned[id] = true; break                        /* caller is told: not run */
        od;
        if
        :: granted -> ran++; assert(ran <= 1)
        :: granted -> abandoned[id] = true                    /* deadline passed: claim is released, request not run */
        :: else -> skip
        fi
    :: try == TRIES -> break
    od;

    /* The store works again: removes abandoned claims and fences writes whose result is unknown. */
    do
    :: atomic { seen_version = version; seen_owner = owner };
        if
#ifndef NO_REMOVE
        :: seen_owner != NONE && abandoned[seen_owner] ->
            atomic { apply(seen_version, NONE, result); write_unknown = write_unknown && result != ok }
#endif
#ifndef NO_FENCE
        :: write_unknown && seen_version <= unknown_base && !(seen_owner != NONE && abandoned[seen_owner]) ->
            atomic { apply(seen_version, seen_owner, result); write_unknown = write_unknown && result != ok }
#endif
        :: else -> break
        fi
    od;
    finished++
}

/* Applies delayed writes at any point. */
proctype network() {
    mtype result;
end:
    do
    :: atomic { late[0] -> apply(late_base[0], late_owner[0], result); late[0] = false }
    :: atomic { late[1] -> apply(late_base[1], late_owner[1], result); late[1] = false }
    od
}

/* Checks the final state, once both nodes have finished and no delayed write is left. */
proctype monitor() {
    atomic {
        finished == NODES && !late[0] && !late[1];
        assert(ran == 1 || owner == NONE)
    }
}

init {
    atomic {
        run node(1);
        run node(1 + TRIES);
        run network();
        run monitor()
    }
}
