/* Model of the dispatcher (docs/design/dispatch.md, src/core/dispatch/dispatch_client.cpp and dispatcher.cpp).
 *
 * Two nodes ask two dispatchers for the only slot of a service. Node 0 has the requests 0 and 1, which may be open
 * or hold the slot at the same time; node 1 has request 2. The network reorders datagrams; one arrives before the
 * next tick, or never. A tick stands for the period at which requests are repeated and slots are renewed. With more
 * than MAX_FAULTS faults the search does not end within 20 s.
 *
 * Checked: a dispatcher grants the slot only if no unexpired grant of it is left, and a release ends a grant only
 * when the holder no longer uses the slot; a grant leads to an attempt only of the request that it answers, once; a
 * request is granted, refused or served without a dispatcher within MAX_SILENCE ticks of the last answer; the slot
 * of a request that is over, or whose node died, is freed; the calls in flight are the grants.
 * Build with -DNO_LEASE, -DNO_NUMBERS or -DANSWERS_AFTER_FREEZE to see the check fail.
 */
#define REQUESTS 3
#define DISPATCHERS 2
#define PAIRS 6          /* index: dispatcher * REQUESTS + request */
#define LEASE 2
#define WAITING_TIMEOUT 1
#define MAX_SILENCE 3    /* one tick for each dispatcher, and one more after the answer "queued" */
#define MIN_FREEZE 2     /* at least LEASE */
#define MAX_STALE 1      /* WAITING_TIMEOUT */
#define MAX_FREED 4      /* MAX_STALE, LEASE, and the tick that ends the lease */
#ifndef MAX_FAULTS
#define MAX_FAULTS 1     /* a tick with lost datagrams, death of node 1, freeze or planned stop of dispatcher 0 */
#endif
#define NO_DISPATCHER 2
#define FOLLOWED 2       /* the request whose times are checked */

#define node_of(r) ((r) / 2)
#define at(d, r) ((d) * REQUESTS + (r))

/* State of a request at its node. */
#define UNUSED 0
#define OPEN 1
#define HOLDING 2
#define OVER 3
byte state[REQUESTS];
byte dispatcher[REQUESTS];  /* asked last, or the one to which the held slot is renewed */
byte granted_by[REQUESTS];
byte asked[REQUESTS];       /* number of dispatchers asked */
byte wait[REQUESTS];        /* ticks until the next dispatcher is asked */
byte silence;               /* ticks since the last answer to the followed request */
byte over_for;              /* ticks since it or its attempt ended, at most MAX_FREED + 1 */
byte current[2] = NO_DISPATCHER;
bool silent[4];             /* index: node * DISPATCHERS + dispatcher */
bool dead;                  /* node 1 */

/* State of a request at a dispatcher, 0 if unknown. Both count down to 1, which means "expired, not yet removed". */
byte lease[PAIRS];
byte waiting[PAIRS];
byte in_flight[DISPATCHERS];
bool stopped;               /* dispatcher 0 */
bool frozen;
byte frozen_for;
byte faults;

/* Datagrams under way. Of the answers to one request, the last one replaces those that have not arrived. */
bool request_sent[PAIRS];
bool renewal_sent[PAIRS];
bool release_sent[PAIRS];
byte answer_sent[PAIRS];
#define GRANTED 1
#define QUEUED 2
#define REFUSED 3
#define NOT_DISPATCHER 4

byte d, r, other, next, target, i;

/* ---- node ---- */

inline end_request(q) {
    state[q] = OVER;
    dispatcher[q] = 0; granted_by[q] = 0; asked[q] = 0; wait[q] = 0;
    silence = (q == FOLLOWED -> 0 : silence)
}

/* A release without effect is left out. */
inline release(from, number) {
    release_sent[at(from, number)] = lease[at(from, number)] > 0 || waiting[at(from, number)] > 0 ||
                                     request_sent[at(from, number)] || renewal_sent[at(from, number)]
}

/* Releases the request at every dispatcher that was asked, except `kept`. */
inline release_others(q, kept) {
    if
    :: (asked[q] == 2 || dispatcher[q] == 0) && kept != 0 && asked[q] > 0 -> release(0, q)
    :: else
    fi;
    if
    :: (asked[q] == 2 || dispatcher[q] == 1) && kept != 1 && asked[q] > 0 -> release(1, q)
    :: else
    fi
}

/* The node's slots are reported to a dispatcher that it did not use before. */
inline ask(q, to) {
    if
    :: current[node_of(q)] != to ->
        current[node_of(q)] = to;
        other = 0;
        do
        :: other < REQUESTS ->
            if
            :: node_of(other) == node_of(q) && state[other] == HOLDING && dispatcher[other] != to ->
                dispatcher[other] = to; renewal_sent[at(to, other)] = true
            :: else
            fi;
            other++
        :: else -> other = 0; break
        od
    :: else
    fi;
    dispatcher[q] = to;
    asked[q]++;
    wait[q] = 1;
    request_sent[at(to, q)] = true
}

/* Asks the next dispatcher, or chooses an upstream without one. */
inline turn_to_next(q) {
    if
    :: !silent[node_of(q) * 2] && (asked[q] == 0 || (asked[q] == 1 && dispatcher[q] == 1)) -> target = 0
    :: else -> target = (!silent[node_of(q) * 2 + 1] && (asked[q] == 0 || (asked[q] == 1 && dispatcher[q] == 0)) ->
                         1 : NO_DISPATCHER)
    fi;
    if
    :: target < NO_DISPATCHER -> ask(q, target)
    :: else -> release_others(q, NO_DISPATCHER); end_request(q)
    fi;
    target = 0
}

/* Stops asking a dispatcher for a while; the node's requests that wait for it turn to the next one. */
inline suspect(n, lost) {
    silent[n * 2 + lost] = true;
    next = 0;
    do
    :: next < REQUESTS ->
        if
        :: node_of(next) == n && state[next] == OPEN && dispatcher[next] == lost -> turn_to_next(next)
        :: else
        fi;
        next++
    :: else -> next = 0; break
    od
}

/* Starts an attempt of request `q` with the grant of request `number`. */
inline use_grant(q, number, from) {
    assert(state[number] == OPEN);
    release_others(q, from);
    end_request(q);
    state[q] = HOLDING; dispatcher[q] = from; granted_by[q] = from
}

inline on_grant(number, from) {
    if
    :: node_of(number) == 1 && dead
    :: else ->
        silent[node_of(number) * 2 + from] = false;
        if
        :: state[number] == OPEN -> use_grant(number, number, from)
#ifdef NO_NUMBERS
        :: number == 0 && state[0] != OPEN && state[1] == OPEN -> use_grant(1, 0, from)
        :: number == 1 && state[1] != OPEN && state[0] == OPEN -> use_grant(0, 1, from)
#endif
        :: state[number] == HOLDING && dispatcher[number] == from
        :: else -> release(from, number)
        fi
    fi;
    answer_sent[at(from, number)] = 0
}

inline on_answer(q, from) {
    if
    :: node_of(q) == 1 && dead
    :: else ->
        silent[node_of(q) * 2 + from] = false;
        if
        :: state[q] == OPEN && dispatcher[q] == from && answer_sent[at(from, q)] == QUEUED ->
            wait[q] = 2;
            silence = (q == FOLLOWED -> 0 : silence)
        :: state[q] == OPEN && dispatcher[q] == from && answer_sent[at(from, q)] == REFUSED -> end_request(q)
        :: state[q] == OPEN && dispatcher[q] == from && answer_sent[at(from, q)] == NOT_DISPATCHER ->
            suspect(node_of(q), from)
        :: else
        fi
    fi;
    answer_sent[at(from, q)] = 0
}

inline node_tick(q) {
    if
    :: state[q] == UNUSED && (q != 1 || state[0] != UNUSED) -> state[q] = OPEN; turn_to_next(q)
    :: state[q] == UNUSED
    :: q == 2 && faults < MAX_FAULTS && (state[2] == OPEN || state[2] == HOLDING) ->
        dead = true; faults++; end_request(2)
    :: state[q] == OPEN ->
        wait[q]--;
        silence = (q == FOLLOWED -> silence + 1 : silence);
        if
        :: wait[q] > 0 -> request_sent[at(dispatcher[q], q)] = true
        :: wait[q] == 0 -> suspect(node_of(q), dispatcher[q])
        :: wait[q] == 0 -> turn_to_next(q)        /* the dispatcher has answered other requests meanwhile */
        fi;
        assert(silence <= MAX_SILENCE)
    :: state[q] == HOLDING -> renewal_sent[at(dispatcher[q], q)] = true
    :: state[q] == OVER && q == FOLLOWED && over_for <= MAX_FREED -> over_for++
    :: else
    fi
}

/* ---- dispatcher ---- */

inline grant(by, q) {
    assert(q != FOLLOWED || over_for <= MAX_STALE);
    assert(q == 0 || lease[at(by, 0)] <= 1);
    assert(q == 1 || lease[at(by, 1)] <= 1);
    assert(q == 2 || lease[at(by, 2)] <= 1);
    lease[at(by, q)] = LEASE + 1;
    waiting[at(by, q)] = 0;
    in_flight[by]++;
    answer_sent[at(by, q)] = GRANTED
}

inline on_request(by, q) {
    request_sent[at(by, q)] = false;
    if
    :: by == 0 && stopped -> answer_sent[at(by, q)] = NOT_DISPATCHER
    :: else ->
        if
        :: lease[at(by, q)] > 0 -> answer_sent[at(by, q)] = GRANTED
        :: lease[at(by, q)] == 0 && waiting[at(by, q)] > 0 ->
            waiting[at(by, q)] = WAITING_TIMEOUT + 1; answer_sent[at(by, q)] = QUEUED
        :: else ->
            if
            :: in_flight[by] == 0 -> grant(by, q)
            :: in_flight[by] > 0 -> waiting[at(by, q)] = WAITING_TIMEOUT + 1; answer_sent[at(by, q)] = QUEUED
            :: in_flight[by] > 0 -> answer_sent[at(by, q)] = REFUSED
            fi
        fi
    fi
}

inline end_grant(by, q) {
    if
    :: lease[at(by, q)] > 0 -> lease[at(by, q)] = 0; in_flight[by]--
    :: else
    fi
}

inline on_release(by, q) {
    release_sent[at(by, q)] = false;
    assert(lease[at(by, q)] <= 1 || state[q] != HOLDING || granted_by[q] != by);
    waiting[at(by, q)] = 0;
    end_grant(by, q)
}

/* A dispatcher takes over a slot that it has not granted itself. */
inline on_renewal(by, q) {
    renewal_sent[at(by, q)] = false;
    if
    :: by == 0 && stopped
    :: else ->
        in_flight[by] = (lease[at(by, q)] > 0 -> in_flight[by] : in_flight[by] + 1);
        lease[at(by, q)] = LEASE + 1
    fi
}

inline dispatcher_tick(by, q) {
    if
    :: lease[at(by, q)] > 1 ->
#ifdef NO_LEASE
        skip
#else
        lease[at(by, q)]--
#endif
    :: lease[at(by, q)] == 1 && !(frozen && by == 0) -> end_grant(by, q)
    :: else
    fi;
    if
    :: waiting[at(by, q)] > 1 -> waiting[at(by, q)]--
    :: waiting[at(by, q)] == 1 && !(frozen && by == 0) -> waiting[at(by, q)] = 0
    :: else
    fi;
    assert((frozen && by == 0) || lease[at(by, q)] == 0 || q != FOLLOWED || over_for <= MAX_FREED)
}

/* The calls in flight are the grants; otherwise a slot is never freed. */
#define count(by) ((lease[at(by, 0)] > 0) + (lease[at(by, 1)] > 0) + (lease[at(by, 2)] > 0))

#define AWAKE(by) (by == 1 || !frozen)
#define UNDER_WAY(by, q) \
    (answer_sent[at(by, q)] > 0 || \
     (AWAKE(by) && (request_sent[at(by, q)] || release_sent[at(by, q)] || renewal_sent[at(by, q)])))
#define ANY_UNDER_WAY \
    (UNDER_WAY(0, 0) || UNDER_WAY(0, 1) || UNDER_WAY(0, 2) || UNDER_WAY(1, 0) || UNDER_WAY(1, 1) || UNDER_WAY(1, 2))

active proctype fleet() {
    do
    :: atomic { /* one tick passes */
        (faults < MAX_FAULTS || !ANY_UNDER_WAY);
        faults = (ANY_UNDER_WAY -> faults + 1 : faults);
        i = 0;
        do
        :: i < PAIRS ->
            if
            :: frozen && i < REQUESTS                     /* the datagrams stay in the socket */
            :: else -> request_sent[i] = false; renewal_sent[i] = false; release_sent[i] = false
            fi;
            answer_sent[i] = 0;
            i++
        :: else -> break
        od;
        i = 0;
        do
        :: i < 2 * DISPATCHERS ->
            if
            :: silent[i] -> silent[i] = false         /* a silent dispatcher is tried again */
            :: true
            fi;
            i++
        :: else -> break
        od;
        i = 0;
        do
        :: i < REQUESTS -> node_tick(i); i++
        :: else -> break
        od;
        i = 0;
        do
        :: i < REQUESTS -> dispatcher_tick(0, i); dispatcher_tick(1, i); i++
        :: else -> break
        od;
        i = 0;
        frozen_for = (frozen && frozen_for < MIN_FREEZE -> frozen_for + 1 : frozen_for);
        assert(in_flight[0] == count(0) && in_flight[1] == count(1))
       }
    :: atomic { /* a datagram arrives, a dispatcher serves its queue, or an attempt ends */
        if
        :: d = 0
        :: d = 1
        fi;
        if
        :: r = 0
        :: r = 1
        :: r = 2
        fi;
        if
        :: answer_sent[at(d, r)] == GRANTED -> on_grant(r, d)
        :: answer_sent[at(d, r)] > GRANTED -> on_answer(r, d)
        :: AWAKE(d) && request_sent[at(d, r)] -> on_request(d, r)
        :: AWAKE(d) && release_sent[at(d, r)] -> on_release(d, r)
        :: AWAKE(d) && renewal_sent[at(d, r)] -> on_renewal(d, r)
        :: AWAKE(d) && waiting[at(d, r)] > 1 && in_flight[d] == 0 -> grant(d, r)
        :: state[r] == HOLDING && dispatcher[r] == d -> release(d, r); end_request(r)
        :: else
        fi;
        d = 0; r = 0
       }
    :: atomic { !frozen && !stopped && frozen_for == 0 && faults < MAX_FAULTS -> frozen = true; faults++ }
    :: atomic { frozen && frozen_for == MIN_FREEZE -> /* it resumes and drops what it finds in its socket */
        frozen = false;
#ifndef ANSWERS_AFTER_FREEZE
        i = 0;
        do
        :: i < REQUESTS -> request_sent[i] = false; renewal_sent[i] = false; release_sent[i] = false; i++
        :: else -> break
        od;
        i = 0
#endif
       }
    :: atomic { !frozen && !stopped && frozen_for == 0 && faults < MAX_FAULTS -> /* planned stop */
        stopped = true;
        faults++;
        i = 0;
        do
        :: i < REQUESTS ->
            if
            :: waiting[i] > 0 -> answer_sent[i] = NOT_DISPATCHER
            :: else
            fi;
            waiting[i] = 0; lease[i] = 0; i++
        :: else -> break
        od;
        i = 0;
        in_flight[0] = 0
       }
    od
}
