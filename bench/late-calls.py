#!/usr/bin/env python3
"""Explains late and failed calls from the collected JSON logs of all nodes.

usage: late-calls.py LOG [--slots N] [--examples N]

LOG has one JSON line per decision, as the nodes write them; text before the first brace of a line is ignored. For each
call the script puts together when it arrived, waited, was sent, where to, what the node believed of the upstream and how
old that was, and how many calls of all nodes were really in flight there. It prints the share of late and failed calls
for each cause, and examples. A call counts for the first cause that applies:

  refused            rejected by the node, never sent
  rejected upstream  an attempt ended within a few milliseconds and another had to be made
  met others, full   at least as many calls of other nodes as the upstream has slots were in flight when it was sent
  met others, knee   it took the last free slot, unknown to its node
  slowed later       it ran at least twice as long as expected, with room at the upstream
  sent late          it had waited so long that it could not be in time when it was sent
  other
"""

import argparse
import bisect
import collections
import json


def read_events(path):
    with open(path, errors="replace") as lines:
        for line in lines:
            brace = line.find("{")
            if brace < 0:
                continue
            try:
                event = json.loads(line[brace:])
            except json.JSONDecodeError:
                continue
            if event.get("request_id"):
                yield event


class Call:
    def __init__(self):
        self.sends = []  # Events "started" and "extra_attempt" in order.
        self.waited = None
        self.finished = None
        self.rejected = None


def collect(path):
    calls = collections.defaultdict(Call)
    for event in read_events(path):
        call = calls[event["request_id"]]
        message = event["message"]
        if message in ("started", "extra_attempt"):
            call.sends.append(event)
        elif message == "waits":
            call.waited = call.waited or event
        elif message == "rejected":
            call.rejected = event
        elif message == "call finished":
            call.finished = event
    return calls


def occupancy_index(calls):
    """For each upstream: sorted starts and ends of the sends of all nodes."""
    starts, ends = collections.defaultdict(list), collections.defaultdict(list)
    for call in calls.values():
        for i, send in enumerate(call.sends):
            end = call.finished["time_ms"] if call.finished else send["time_ms"] + max(0, send["to_deadline_ms"])
            # A further attempt after a rejection ends the one before; after a hedge both run on.
            if i + 1 < len(call.sends) and call.sends[i + 1]["time_ms"] - send["time_ms"] < REJECTION_MS:
                end = call.sends[i + 1]["time_ms"]
            starts[send["upstream"]].append(send["time_ms"])
            ends[send["upstream"]].append(end)
    for upstream in starts:
        starts[upstream].sort()
        ends[upstream].sort()
    return starts, ends


REJECTION_MS = 25  # An attempt after which another one starts this soon was rejected; a hedge comes later.


def in_flight(index, upstream, at):
    starts, ends = index
    return bisect.bisect_left(starts[upstream], at) - bisect.bisect_right(ends[upstream], at)


def outcome(call):
    """Returns "late", "failed", "refused", or None for calls in time and those that nobody owes an answer."""
    end = call.finished
    if end is None or end["problem"] in ("unknown_service", "quarantined"):
        return None
    if not call.sends:
        return "refused" if end["status"] >= 400 else None
    if not 200 <= end["status"] < 300:
        return "failed" if end["status"] else None
    sent = call.sends[0]
    return "late" if end["time_ms"] > sent["time_ms"] + sent["to_objective_ms"] else None


def cause(call, index, slots):
    if not call.sends:
        return "refused"
    for first, second in zip(call.sends, call.sends[1:]):
        if second["time_ms"] - first["time_ms"] < REJECTION_MS:
            return "rejected upstream"
    last = call.sends[-1]
    others = in_flight(index, last["upstream"], last["time_ms"])
    believed = last["occupancy"]
    if others >= slots and believed + 0.5 < others:
        return "met others, full"
    if others == slots - 1 and believed + 0.5 < others:
        return "met others, knee"
    if last["to_objective_ms"] < last["expected_ms"]:
        return "sent late"
    if call.finished["time_ms"] - last["time_ms"] > 2 * last["expected_ms"]:
        return "slowed later"
    return "other"


def describe(call, index):
    lines = []
    arrival = call.finished["time_ms"] - call.finished["latency_ms"]
    if call.waited:
        lines.append(f"  +{call.waited['time_ms'] - arrival:.0f} ms waits, {call.waited['waiting']} before it")
    for send in call.sends:
        age = send["report_age_ms"]
        lines.append(
            f"  +{send['time_ms'] - arrival:.0f} ms {send['message']} to {send['upstream']}: believed"
            f" {send['occupancy']:.1f} in flight, speed x{send['slowdown']:.1f}, {age if age is None else round(age)} ms"
            f" old, expected {send['expected_ms']:.0f} ms; really {in_flight(index, send['upstream'], send['time_ms'])}"
            f" in flight; {send['to_objective_ms']:.0f} ms to the objective")
    end = call.finished
    lines.append(f"  +{end['latency_ms']:.0f} ms finished: {end['status']} {end['problem']}")
    return "\n".join(lines)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("log")
    parser.add_argument("--slots", type=int, default=3, help="of an upstream")
    parser.add_argument("--examples", type=int, default=2, help="calls to print for each cause")
    options = parser.parse_args()
    calls = collect(options.log)
    index = occupancy_index(calls)
    by_cause = collections.defaultdict(list)
    counts = collections.Counter()
    for request, call in calls.items():
        result = outcome(call)
        if result:
            counts[result] += 1
            by_cause[(cause(call, index, options.slots), result)].append(request)
    total = sum(counts.values())
    finished = sum(1 for call in calls.values() if call.finished)
    print(f"{finished} calls, of these " + ", ".join(f"{count} {name}" for name, count in counts.most_common()))
    print("\n| cause | outcome | calls | share |\n|---|---|---|---|")
    for (name, result), requests in sorted(by_cause.items(), key=lambda item: -len(item[1])):
        print(f"| {name} | {result} | {len(requests)} | {len(requests) / total:.2f} |")
    for (name, result), requests in sorted(by_cause.items(), key=lambda item: -len(item[1])):
        step = max(1, len(requests) // max(1, options.examples))
        for request in requests[::step][: options.examples]:
            print(f"\n{name}, {result}: {request}\n{describe(calls[request], index)}")


main()
