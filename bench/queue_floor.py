#!/usr/bin/env python3
"""Simulates a single first-come-first-served queue over all slots (M/D/c), the lower bound of the latency that any
load balancer can reach.

usage: bench/queue_floor.py SLOTS SERVICE_MS LOAD_PERCENT [calls]
"""

import heapq
import random
import sys


def simulate(slots, service_ms, load, calls):
    rng = random.Random(1)
    rate = slots / service_ms * load
    free_at = [0.0] * slots
    heapq.heapify(free_at)
    now = 0.0
    latencies = []
    for _ in range(calls):
        now += rng.expovariate(rate)
        start = max(now, heapq.heappop(free_at))
        heapq.heappush(free_at, start + service_ms)
        latencies.append(start + service_ms - now)
    return sorted(latencies)


def main():
    slots, service_ms, load = int(sys.argv[1]), float(sys.argv[2]), float(sys.argv[3]) / 100
    calls = int(sys.argv[4]) if len(sys.argv) > 4 else 400_000
    sorted_latencies = simulate(slots, service_ms, load, calls)
    for share in (0.5, 0.99, 0.999):
        print(f"p{100 * share:g} {sorted_latencies[int(share * calls)]:.1f} ms")


if __name__ == "__main__":
    main()
