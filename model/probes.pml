/* Model of the probe budget (docs/design/measuring.md, src/core/upstreams/probe_scheduler.cpp).
 *
 * Each node owns a fixed share of the budget: SHARE probes in any closed window of WINDOW ticks. It
 * waits INTERVAL = WINDOW / (SHARE - 1) ticks between the end of one probe and the start of the next. A
 * node may be paused between its decision to probe and the probe, and may be replaced at any time.
 *
 * Checked: all nodes together send at most NODES * SHARE probes in any window.
 * Build with -DCOUNT_FROM_DECISION or -DSTART_FULL to see the check fail.
 */
#define NODES 3
#define WINDOW 6
#define SHARE 2
#define INTERVAL 6

mtype = { idle, decided, waiting };
mtype stage[NODES] = idle;
byte since[NODES];            /* ticks since the end of the last probe, at most INTERVAL */
byte sent[WINDOW + 1];        /* probes sent in each tick, newest first */
byte total;                   /* sum of `sent` */
byte i;

active proctype fleet() {
    byte n;
    do
    :: atomic { /* one tick passes */
        total = total - sent[WINDOW];
        i = WINDOW;
        do :: i > 0 -> sent[i] = sent[i - 1]; i-- :: else -> break od;
        sent[0] = 0;
        i = 0;
        do
        :: i < NODES -> since[i] = (since[i] < INTERVAL -> since[i] + 1 : INTERVAL); i++
        :: else -> break
        od;
        i = 0
       }
    :: atomic {
        select(n : 0 .. NODES - 1);
        if
        :: stage[n] == idle && since[n] == INTERVAL ->
            stage[n] = decided;
#ifdef COUNT_FROM_DECISION
            since[n] = 0
#endif
        :: stage[n] == decided -> stage[n] = waiting; sent[0]++; total++;
            assert(total <= NODES * SHARE)
        :: stage[n] == waiting -> stage[n] = idle;
#ifndef COUNT_FROM_DECISION
            since[n] = 0
#endif
        :: stage[n] = idle; /* the node is replaced */
#ifdef START_FULL
            since[n] = INTERVAL
#else
            since[n] = 0
#endif
        fi;
        n = 0
       }
    od
}
