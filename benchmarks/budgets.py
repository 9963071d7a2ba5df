"""Benchmark of the quota exchange between directors, and of its cost in datagrams and CPU time.

`python -m benchmarks.budgets --json` prints one JSON object as the last line, in under 8 minutes.

The limits of cold caches are divided among the directors. One scenario is played twice: with
membership gossip and quotas that directors lend each other, and without gossip, where each director
has a static share of each limit. In the scenario, 60 directors run as processes in front of
stand-ins, and a few of them receive most of the requests. All caches restart cold, the fleet is
partitioned for 10 s of their slow start, and some directors are killed after the partition. In
fleets of 60, 500 and 2,000 directors, the gossip alone is simulated. The figures hold for these
stand-ins only.
"""

import glob
import json
import math
import os
import sys
import tempfile
import time
from collections import defaultdict
from typing import Any

import click
import orjson

from mulleinrelay.lab.fleet.audit import Audit
from mulleinrelay.lab.fleet.evenness import percentile
from mulleinrelay.lab.fleet.observations import read_observations
from mulleinrelay.lab.fleet.runner import FleetLab
from mulleinrelay.lab.fleet.scenario import FleetScenario
from mulleinrelay.lab.fleet.scenario_parser import parse_fleet_scenario
from mulleinrelay.membership.messages import (
    DatagramCodec,
    InvalidDatagramError,
    MemberState,
    MemberUpdate,
    MessageKind,
)
from mulleinrelay.records import read_states

from .versions import ROOT

SCENARIO = """
[fleet lab]
name = budgets
seconds = 44
warm_s = 6
seed = {seed}
client_processes = 2
relay_processes = 2
[directors]
count = {directors}
uneven = 2.4
talk = {talk}
share = {talk}
[nodes]
locations = north south
caches = 6
capacity = 60
cold_from = 0.1
cold_ms = 24000
falls = yes
[load]
rate = {rate}
objects = 600
orders = 0.05
[fault cold]
what = node_cold
share = 1.0
at = 8
for = 1
[fault parted]
what = cut
paths = director
location = north
other = south
at = 14
for = 10
[fault killed]
what = kill
share = 0.1
at = 30
for = 5
"""
# Figures that count violations
VIOLATIONS = ("rules_broken", "requests_lost", "answers_twice", "orders_run_twice", "fell")
LIMIT_WINDOW_S = 1.5  # window over which the requests to a cold cache are limited
# Time from the restart of a cache until all directors have received the endpoint update
UPDATE_DELAY_S = 1.6


def cold_cache_use(scenario: FleetScenario, audit: Audit) -> dict[str, float]:
    """Return how far the directors used the limits of cold caches, and how far they exceeded them.

    The limit of a cold cache is its capacity times its warm fraction, which grows during slow
    start. It is in attempts per second: a fill counts as much as a hit, as in the directors.

    Returns:
        `use_ratio`: The number of attempts that reached cold caches, as a fraction of the number
            that the limits allowed. The first 4 s after UPDATE_DELAY_S and the last second of the
            slow start are excluded.
        `overshoot_max`: The highest number of attempts that reached a cold cache within
            LIMIT_WINDOW_S, as a multiple of the number that its limit at the end of this window
            allows.
    """
    back = next(fault[0] for fault in audit.faults if fault[1] == "cold" and not fault[3])
    names = next(fault[5] for fault in audit.faults if fault[1] == "cold")
    begins, ends = back + UPDATE_DELAY_S + 4.0, back + scenario.slow_start_ms / 1000.0 - 1.0
    sent: dict[str, list[float]] = defaultdict(list)
    for attempt in audit.observations.attempts:
        if (
            attempt[2] in names
            and back + UPDATE_DELAY_S < attempt[0] < back + scenario.slow_start_ms / 1000.0
        ):
            sent[attempt[2]].append(attempt[0])

    def limit(name: str, at: float) -> float:
        warm_fraction = (
            scenario.initial_fraction
            + (1.0 - scenario.initial_fraction) * 1000.0 * (at - back) / scenario.slow_start_ms
        )
        return scenario.capacity * audit.sites[name].capacity_factor * min(1.0, warm_fraction)

    used = allowed = overshoot = 0.0
    for name in names:
        sent_at, first = sent[name], 0
        used += sum(begins <= at < ends for at in sent_at)
        allowed += sum(
            0.1 * limit(name, begins + 0.1 * step) for step in range(int(10 * (ends - begins)))
        )
        for last, at in enumerate(sent_at):
            while sent_at[first] <= at - LIMIT_WINDOW_S:
                first += 1
            overshoot = max(overshoot, (last - first + 1) / (LIMIT_WINDOW_S * limit(name, at)))
    return {"use_ratio": round(used / allowed, 4), "overshoot_max": round(overshoot, 3)}


def death_detection(audit: Audit, folder: str) -> dict[str, Any]:
    """Return how soon killed directors are declared dead, and how often directors are by mistake.

    The figures come from the logs of the directors. The percentiles are over all pairs of a
    director and a killed director that it declared dead. Declaring a killed director dead is no
    mistake in the first 12 s after the kill. Declaring any director dead is not counted as a
    mistake while the fleet is partitioned and for 6 s afterwards.
    """
    began, events = audit.observations.started_at / 1000.0, []
    for path in glob.glob(os.path.join(folder, "n*.log")):
        with open(path, "rb") as file:
            for line in file:
                if b'"fleet"' in line and line.endswith(b"\n"):
                    events.append(orjson.loads(line))
    kill = next(fault for fault in audit.faults if fault[1] == "killed" and fault[3])
    killed = {f"n{number}" for number in kill[4]}
    partition = [fault[0] for fault in audit.faults if fault[1] == "parted"]
    detected_after, false_deaths = {}, 0
    for event in events:
        at, (member, _, change) = event["at"] - began, event["text"].partition(" ")
        if change != "died":
            continue
        if member in killed and kill[0] <= at < kill[0] + 12.0:
            detected_after.setdefault((event["director"], member), at - kill[0])
        elif not partition[0] <= at < partition[1] + 6.0:
            false_deaths += 1
    return {
        "detect_s_p50": round(percentile(detected_after.values(), 0.5), 2),
        "detect_s_p99": round(percentile(detected_after.values(), 0.99), 2),
        "false_dead": false_deaths,
    }


def play(directors: int, rate: float, seed: int, talk: bool) -> dict[str, Any]:
    """Play the scenario once, and return its figures.

    Args:
        directors: Number of directors.
        rate: Requests per second of all clients.
        seed: Seed of the scenario.
        talk: Whether the directors exchange gossip and quotas.
    """
    text = SCENARIO.format(directors=directors, rate=rate, seed=seed, talk="yes" if talk else "no")
    scenario = parse_fleet_scenario(text)
    with tempfile.TemporaryDirectory(prefix="mulleinrelay-budgets-") as folder:
        states: dict[str, dict] = {}

        # Reads the directors' states once, shortly before the end of the play. Directors without
        # membership write none; the entry `none` then marks that the reading is done.
        def collect_states(since: float, *_: int) -> None:
            if since > scenario.seconds - 1.5 and not states:
                states.update(
                    {state["name"]: state for state in read_states(os.path.join(folder, "fleet"))}
                    if os.path.isdir(os.path.join(folder, "fleet"))
                    else {"none": {}}
                )

        FleetLab(scenario, text, folder, ROOT).run(collect_states)
        audit = Audit(scenario, read_observations(folder))
        figures = audit.figures()
        result = {name: figures[name] for name in VIOLATIONS} | cold_cache_use(scenario, audit)
        served_requests = [
            request
            for request in audit.observations.requests
            if request[0] >= scenario.warm_up_s and request[7] == "served"
        ]
        cpu_s, resident_mb = zip(
            *[(usage[1], usage[2]) for usage in audit.observations.other_records["use"]],
            strict=True,
        )
        result |= {
            "credit": figures["credit"],
            "rejected": figures["outcomes"].get("rejected", 0),
            "request_p99_ms": round(
                percentile((request[1] for request in served_requests), 0.99), 1
            ),
            "cpu_s": round(sum(cpu_s), 2),
            "rss_mb": round(max(resident_mb), 1),
        }
        if talk:
            result |= death_detection(audit, folder)
            bytes_per_s = [
                state["bytes_out"] / scenario.seconds
                for state in states.values()
                if "bytes_out" in state
            ]
            result["bytes_per_director_s"] = round(sum(bytes_per_s) / max(1, len(bytes_per_s)))
            result["records"] = len(glob.glob(os.path.join(folder, "fleet", "*.json")))
    return result


def count_accepted_datagrams(count: int, seed: int) -> int:
    """Return how many of `count` corrupt datagrams the codec accepts.

    A datagram has some bits flipped, is truncated, or consists of random bytes. It is not
    decoded if it still equals a valid one, as after two flips of the same bit.
    """
    import random

    draw, codec, accepted = random.Random(f"{seed}-fuzz"), DatagramCodec("lab", b"a key of ours"), 0
    member = MemberUpdate("n1", "127.0.0.1", 7001, "north", 17, 0, MemberState.ALIVE)
    valid = [
        codec.encode(MessageKind(kind), kind, member, member, [member] * (2 * kind))
        for kind in range(6)
    ]
    for number in range(count):
        data = bytearray(draw.choice(valid))
        corruption = number % 3
        if corruption == 0:
            for _ in range(draw.randrange(1, 6)):
                data[draw.randrange(len(data))] ^= 1 << draw.randrange(8)
        elif corruption == 1:
            del data[draw.randrange(len(data)) :]
        else:
            data = bytearray(draw.randbytes(draw.randrange(1, 200)))
        if bytes(data) in valid:
            continue
        try:
            codec.decode(bytes(data))
            accepted += 1
        except InvalidDatagramError:
            pass
    return accepted


def simulated_bytes_per_second(count: int, seconds: float) -> int:
    """Return the bytes per second that a director sends in a simulated fleet without changes.

    At the start, each of the `count` directors knows all others. The bytes of the first 2 s are not
    counted.
    """
    sys.path.insert(0, os.path.join(ROOT, "tests", "membership"))
    from simulated_fleet import SimulatedFleet

    fleet = SimulatedFleet(count)
    updates = [protocol.table.local for protocol in fleet.protocols.values()]
    for protocol in fleet.protocols.values():
        for update in updates:
            protocol.table.merge(0.0, update, update.member_id)
        protocol.table.broadcasts.clear()
        protocol.table.events.clear()
    fleet.run(2.0)
    before = fleet.sent_bytes
    fleet.run(seconds)
    return round((fleet.sent_bytes - before) / count / seconds)


@click.command()
@click.option("--json", "as_json", is_flag=True, help="One JSON object as the last line.")
@click.option("--directors", type=click.IntRange(10, 400), default=60, show_default=True)
@click.option("--rate", type=click.FloatRange(1.0), default=500.0, help="Requests per second.")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--fuzzed",
    type=click.IntRange(0, 10**7),
    default=10**6,
    show_default=True,
    help="Number of corrupt datagrams.",
)
@click.option(
    "--sizes/--no-sizes", default=True, help="Simulate gossip in fleets of 60, 500 and 2,000."
)
def main(as_json: bool, directors: int, rate: float, seed: int, fuzzed: int, sizes: bool) -> None:
    """Compare lent quotas with static shares, and print the cost of the gossip."""
    began = time.monotonic()
    lent, static = (play(directors, rate, seed, talk) for talk in (True, False))
    result: dict[str, Any] = {"directors": directors} | lent
    result |= {
        f"{key}_static": static[key]
        for key in (
            "use_ratio",
            "overshoot_max",
            "credit",
            "rejected",
            "request_p99_ms",
            "cpu_s",
            "rss_mb",
            *VIOLATIONS,
        )
    }
    result |= {
        "use_ratio_vs_static": round(lent["use_ratio"] / static["use_ratio"], 3),
        "credit_ratio_vs_static": round(lent["credit"] / static["credit"], 4),
        "request_p99_ratio": round(lent["request_p99_ms"] / static["request_p99_ms"], 3),
        "cpu_ratio": round(lent["cpu_s"] / static["cpu_s"], 3),
        "false_dead_per_hour": round(lent["false_dead"] * 3600.0 / 44.0, 1),
    }
    result["bad_datagrams_accepted"], result["datagrams_fuzzed"] = (
        count_accepted_datagrams(fuzzed, seed),
        fuzzed,
    )
    if sizes:
        result["bytes_per_director_s_by_size"] = {
            count: simulated_bytes_per_second(count, seconds)
            for count, seconds in ((60, 20.0), (500, 10.0), (2000, 4.0))
        }
        smallest, largest = (result["bytes_per_director_s_by_size"][count] for count in (60, 2000))
        result["bytes_growth_over_log"] = round(
            largest / smallest / (math.log(2000) / math.log(60)), 3
        )
    result["seconds"] = round(time.monotonic() - began, 1)
    if as_json:
        return click.echo(json.dumps(result))
    for key, value in result.items():
        click.echo(f"{key:<30} {value}")
    return None


if __name__ == "__main__":
    sys.exit(main())
