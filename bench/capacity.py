#!/usr/bin/env python3
"""Computes the capacity table of docs/CAPACITY.md from the measurements in bench/slopes.json.

usage: bench/capacity.py            prints the table
       bench/capacity.py --write    puts it into docs/CAPACITY.md between its markers
"""

import json
import math
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent

# The target deployment and its limits, as its users state them.
WORKERS = 860
SERVICES = 81
CALLS_PER_SECOND = 130_000
DATA_CENTRES = 9
CHANGES_PER_DAY = 350
CONTROL_CPU_PERCENT = 1.9
CONTROL_MEMORY_MB = 128
CONTROL_BYTES_PER_SECOND = 4_000
MAX_ADDED_LATENCY_MS = 0.88
CONNECTIONS_PER_WORKER = 200
STORE_WRITES_PER_SECOND = 300
STORE_READS_PER_SECOND = 2_000
STORE_VALUE_BYTES = 1_000_000

# Assumptions of the capacity estimate.
MAX_UTILISATION = 0.5
SECONDS_PER_DAY = 86_400
WATCHERS_PER_DATA_CENTRE = 2
DIRECT_READ_PERIOD_S = 4.4
VM_LIST_PERIOD_S = 1.0
VM_LIST_PERIOD_OF_NON_WATCHERS_S = 2.5
CLAIM_SHARDS = 4
CLAIM_RETENTION_S = 660
CLAIM_WRITES_PER_SECOND = 240


def fit_line(points):
    """Returns the intercept, slope and largest residual of the least-squares line through the points."""
    xs = [p[0] for p in points]
    ys = [p[1] for p in points]
    mean_x = sum(xs) / len(xs)
    mean_y = sum(ys) / len(ys)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / sum((x - mean_x) ** 2 for x in xs)
    intercept = mean_y - slope * mean_x
    residual = max(abs(y - intercept - slope * x) for x, y in points)
    return intercept, slope, residual


def predict(points, x):
    """Returns the value of the least-squares line at x, and its largest residual."""
    intercept, slope, residual = fit_line(points)
    return intercept + slope * x, residual


def format_slopes(slopes):
    """Returns a Markdown table of the measured values with the commands that produced them."""
    lines = ["| measured | value | by |", "|---|---|---|"]
    pending = []
    for name, value in slopes.items():
        if name == "measured":
            continue
        if not name.endswith("_by"):
            pending.append((name, value))
            continue
        lines += [f"| {measured} | {shown} | {value} |" for measured, shown in pending]
        pending = []
    return "\n".join(lines) + "\n"


def build_capacity_table(slopes):
    """Returns the capacity table in Markdown: what each role needs, and whether that fits its budget."""
    rows = []

    def row(role, quantity, need, budget, unit, mechanism, uncertainty=""):
        fits = "-" if budget is None else "yes" if need <= budget else "**no**"
        shown_budget = "-" if budget is None else f"{budget:,.6g}"
        rows.append(f"| {role} | {quantity} | {need:,.4g} {uncertainty}| {shown_budget} | {unit} | {fits} | {mechanism} |")

    calls_per_core = 1e6 / slopes["cpu_us_per_call"]
    surviving_data_centres = DATA_CENTRES - 1
    nodes_per_data_centre = math.ceil(CALLS_PER_SECOND / surviving_data_centres / (calls_per_core * MAX_UTILISATION))
    nodes = nodes_per_data_centre * DATA_CENTRES
    row("call path", "processor per call", slopes["cpu_us_per_call"], None, "us", "one loop, streaming by reference")
    row("call path", "calls/s per core", calls_per_core, None, "1/s", "")
    row("call path", "nodes per data centre, one data centre lost, half busy", nodes_per_data_centre, None, "nodes", "any node serves any service")
    row("call path", "nodes in all", nodes, None, "nodes", "")
    row("call path", "added latency, 99 in 100, one hop", slopes["added_p99_ms"], MAX_ADDED_LATENCY_MS, "ms", "no lock, no hand-over between threads")
    row("call path", "added latency, half of the calls, 13 hops", 13 * slopes["added_p50_ms"], None, "ms", "")
    connections_in_use = nodes * (CONNECTIONS_PER_WORKER // nodes)
    row("call path", "connections per worker, all nodes", connections_in_use, CONNECTIONS_PER_WORKER, "connections", "each live node keeps to its share")

    sent, _ = predict(slopes["mesh_sent_bytes_per_node"], nodes)
    received, _ = predict(slopes["mesh_received_bytes_per_node"], nodes)
    row("mesh member", "bytes/s sent", sent, CONTROL_BYTES_PER_SECOND, "B/s", "links bounded per data centre", "")
    row("mesh member", "bytes/s sent and received", sent + received, CONTROL_BYTES_PER_SECOND, "B/s", "every 2 s within a data centre, 4 s between")
    bytes_per_change = slopes["configuration_cbor_bytes"] * 2
    row("configuration follower", "bytes/s from changes, sent and received", CHANGES_PER_DAY * bytes_per_change / SECONDS_PER_DAY, CONTROL_BYTES_PER_SECOND, "B/s", "whole document to peers that ask")
    row("configuration follower", "document in the store", slopes["configuration_json_bytes"], STORE_VALUE_BYTES, "B", "one value, one compare-and-swap")
    row("configuration follower", "slowest of 15 nodes, store up", slopes["convergence_up_ms"] / 1000, 14, "s", "watch, then announcement on each link")
    row("configuration follower", "slowest of 15 nodes, store down for half", slopes["convergence_half_down_ms"] / 1000, 14, "s", "peers")
    row("configuration follower", "slowest of 15 nodes, store slow", slopes["convergence_slow_ms"] / 1000, 14, "s", "peers")
    watchers = WATCHERS_PER_DATA_CENTRE * DATA_CENTRES
    reads = watchers / VM_LIST_PERIOD_S + (nodes - watchers) * (1 / DIRECT_READ_PERIOD_S + 1 / VM_LIST_PERIOD_OF_NON_WATCHERS_S)
    row("configuration follower", "processor for one change (parse, divide slots)", slopes["parse_configuration_ms"] + slopes["divide_slots_ms"], None, "ms", "blocks the loop once per change")
    row("watchers", "waiting watches", watchers, None, "watches", "two per data centre by rendezvous")
    row("watchers", "store reads/s (VM list, direct reads)", reads, STORE_READS_PER_SECOND, "1/s", "")

    control_cpu, _ = predict(slopes["idle_cpu_percent_by_nodes"], nodes)
    target_cpu = slopes["target_configuration_cpu_percent"] - slopes["idle_cpu_percent_by_nodes"][0][1]
    row("all control", "processor, part of a core", control_cpu + max(0.0, target_cpu), CONTROL_CPU_PERCENT, "%", "heartbeats, ticks every half second", "")
    row("all control", "resident memory with the target's configuration", slopes["target_configuration_resident_kb"] / 1024, CONTROL_MEMORY_MB, "MB", "one document, one tracker per worker")

    max_claims_held = CLAIM_SHARDS * 900_000 / slopes["claim_bytes"]
    row("claim writer", "bytes per claim", slopes["claim_bytes"], None, "B", "CBOR, hashed key")
    row("claim writer", "claims/s that the shards hold for the retention", max_claims_held / CLAIM_RETENTION_S, None, "1/s", "4 values of 0.9 MB, 11 minutes")
    row("claim writer", "store writes/s at most, all nodes", CLAIM_WRITES_PER_SECOND, STORE_WRITES_PER_SECOND, "1/s", "shared among the live nodes")
    row("claim writer", "longest wait of a claim for its node's next write", nodes * CLAIM_SHARDS / CLAIM_WRITES_PER_SECOND, None, "s", "grouping; an isolated claim is written at once")
    row("claim writer", "store writes per 1,000 claims at 1,000/s, 3 nodes", slopes["writes_per_1000_claims"][-1][1], None, "writes", "grouping")
    codec_us = CLAIM_SHARDS * 900_000 / slopes["claim_bytes"] / CLAIM_SHARDS * slopes["claim_codec_us_per_entry"]
    row("claim writer", "processor for one read and write of a full shard", codec_us / 1000, None, "ms", "blocks the loop; bounds the shard size")
    row("prober", "part of a service's budget that can be used when all nodes of `max_nodes` run", 1, None, "", "fixed shares; model/probes.pml")
    row("intent API", "store writes/s", CHANGES_PER_DAY / SECONDS_PER_DAY, STORE_WRITES_PER_SECOND, "1/s", "one write per confirm")

    head = "| role | quantity | need | budget | unit | fits | mechanism |\n|---|---|---|---|---|---|---|\n"
    return head + "\n".join(rows) + "\n"


def main():
    slopes = json.loads((ROOT / "bench" / "slopes.json").read_text())
    table = build_capacity_table(slopes) + "\nThe slopes, each with the command that measures it and, where it was repeated, its spread:\n\n" + format_slopes(slopes)
    if "--write" not in sys.argv:
        print(table)
        return
    page = ROOT / "docs" / "CAPACITY.md"
    text = page.read_text()
    begin, end = "<!-- table: bench/capacity.py -->\n", "<!-- end of table -->"
    head, rest = text.split(begin)
    page.write_text(head + begin + table + end + rest.split(end)[1])


if __name__ == "__main__":
    main()
