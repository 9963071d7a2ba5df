"""What directors win by lending each other parts of cold limits, and what talk costs: `python -m
benchmarks.budgets --json`, one JSON object as the last line, under 8 minutes. The same scenario is
played with lending and with static parts, 60 directors as processes before stand-ins: few have most
of the demand, all caches return cold, the fleet is cut in two for 10 s meanwhile, some are killed
later. Fleets of 500 and 2,000 are played in simulated time, talk alone. Figures tell of our own
stand-ins.
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
RULES = ("rules_broken", "requests_lost", "answers_twice", "orders_run_twice", "fell")
SPAN = 1.5  # s: the window of the limit on cold caches
TOLD = 1.6  # s after its return by which all directors have been told of a cache


def cold_use(scenario: FleetScenario, audit: Audit) -> dict[str, float]:
    """Of what all may send cold caches, the part that they did; and the most in any window over
    what those can do then. A cache's limit is its capacity as far as it is warm; requests count, as
    with directors.
    """
    back = next(held[0] for held in audit.faults if held[1] == "cold" and not held[3])
    names = next(held[5] for held in audit.faults if held[1] == "cold")
    begins, ends = back + TOLD + 4.0, back + scenario.slow_start_ms / 1000.0 - 1.0
    sent: dict[str, list[float]] = defaultdict(list)
    for attempt in audit.observations.attempts:
        if (
            attempt[2] in names
            and back + TOLD < attempt[0] < back + scenario.slow_start_ms / 1000.0
        ):
            sent[attempt[2]].append(attempt[0])

    def able(name: str, at: float) -> float:
        warmth = (
            scenario.initial_fraction
            + (1.0 - scenario.initial_fraction) * 1000.0 * (at - back) / scenario.slow_start_ms
        )
        return scenario.capacity * audit.sites[name].capacity_factor * min(1.0, warmth)

    used = allowed = most = 0.0
    for name in names:
        held, first = sent[name], 0
        used += sum(begins <= at < ends for at in held)
        allowed += sum(
            0.1 * able(name, begins + 0.1 * step) for step in range(int(10 * (ends - begins)))
        )
        for place, at in enumerate(held):
            while held[first] <= at - SPAN:
                first += 1
            most = max(most, (place - first + 1) / (SPAN * able(name, at)))
    return {"use_ratio": round(used / allowed, 4), "overshoot_max": round(most, 3)}


def found_dead(audit: Audit, folder: str) -> dict[str, Any]:
    """From each director's own log: how long it took to call the killed dead, and whom it called so
    who lived and was reached.
    """
    began, lines = audit.observations.started_at / 1000.0, []
    for path in glob.glob(os.path.join(folder, "n*.log")):
        with open(path, "rb") as file:
            for line in file:
                if b'"fleet"' in line and line.endswith(b"\n"):
                    lines.append(orjson.loads(line))
    kill = next(held for held in audit.faults if held[1] == "killed" and held[3])
    killed = {f"n{number}" for number in kill[4]}
    cut = [held[0] for held in audit.faults if held[1] == "parted"]
    after, wrong = {}, 0
    for line in lines:
        at, (member, _, what) = line["at"] - began, line["text"].partition(" ")
        if what != "died":
            continue
        if member in killed and kill[0] <= at < kill[0] + 12.0:
            after.setdefault((line["director"], member), at - kill[0])
        elif not cut[0] <= at < cut[1] + 6.0:
            wrong += 1
    return {
        "detect_s_p50": round(percentile(after.values(), 0.5), 2),
        "detect_s_p99": round(percentile(after.values(), 0.99), 2),
        "false_dead": wrong,
    }


def play(directors: int, rate: float, seed: int, talk: bool) -> dict[str, Any]:
    text = SCENARIO.format(directors=directors, rate=rate, seed=seed, talk="yes" if talk else "no")
    scenario = parse_fleet_scenario(text)
    with tempfile.TemporaryDirectory(prefix="mulleinrelay-budgets-") as folder:
        states: dict[str, dict] = {}

        def live(since: float, *_: int) -> None:
            if since > scenario.seconds - 1.5 and not states:
                states.update(
                    {held["name"]: held for held in read_states(os.path.join(folder, "fleet"))}
                    if os.path.isdir(os.path.join(folder, "fleet"))
                    else {"none": {}}
                )

        FleetLab(scenario, text, folder, ROOT).run(live)
        audit = Audit(scenario, read_observations(folder))
        figures = audit.figures()
        found = {rule: figures[rule] for rule in RULES} | cold_use(scenario, audit)
        looks = [
            look
            for look in audit.observations.requests
            if look[0] >= scenario.warm_up_s and look[7] == "served"
        ]
        cpu, rss = zip(
            *[(held[1], held[2]) for held in audit.observations.other_records["use"]], strict=True
        )
        found |= {
            "credit": figures["credit"],
            "rejected": figures["outcomes"].get("rejected", 0),
            "request_p99_ms": round(percentile((look[1] for look in looks), 0.99), 1),
            "cpu_s": round(sum(cpu), 2),
            "rss_mb": round(max(rss), 1),
        }
        if talk:
            found |= found_dead(audit, folder)
            sent = [
                held["bytes_out"] / scenario.seconds
                for held in states.values()
                if "bytes_out" in held
            ]
            found["bytes_per_director_s"] = round(sum(sent) / max(1, len(sent)))
            found["records"] = len(glob.glob(os.path.join(folder, "fleet", "*.json")))
    return found


def fuzz(count: int, seed: int) -> int:
    """Datagrams with some bits turned, cut short or made up: how many of so many are taken."""
    import random

    draw, codec, taken = random.Random(f"{seed}-fuzz"), DatagramCodec("lab", b"a key of ours"), 0
    me = MemberUpdate("n1", "127.0.0.1", 7001, "north", 17, 0, MemberState.ALIVE)
    good = [codec.encode(MessageKind(kind), kind, me, me, [me] * (2 * kind)) for kind in range(6)]
    for number in range(count):
        data = bytearray(draw.choice(good))
        how = number % 3
        if how == 0:
            for _ in range(draw.randrange(1, 6)):
                data[draw.randrange(len(data))] ^= 1 << draw.randrange(8)
        elif how == 1:
            del data[draw.randrange(len(data)) :]
        else:
            data = bytearray(draw.randbytes(draw.randrange(1, 200)))
        if bytes(data) in good:
            continue
        try:
            codec.decode(bytes(data))
            taken += 1
        except InvalidDatagramError:
            pass
    return taken


def bytes_at(count: int, seconds: float) -> int:
    """Bytes a second of one director in a calm fleet of that size that knows itself, in simulated
    time.
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
@click.option("--rate", type=click.FloatRange(1.0), default=500.0, help="Requests a second.")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--fuzzed", type=click.IntRange(0, 10**7), default=10**6, show_default=True, help="Datagrams."
)
@click.option("--sizes/--no-sizes", default=True, help="Fleets of 500 and 2,000 in simulated time.")
def main(as_json: bool, directors: int, rate: float, seed: int, fuzzed: int, sizes: bool) -> None:
    """Play lending against static parts, and tell what talk costs."""
    began = time.monotonic()
    shared, static = (play(directors, rate, seed, talk) for talk in (True, False))
    told: dict[str, Any] = {"directors": directors} | shared
    told |= {
        f"{key}_static": static[key]
        for key in (
            "use_ratio",
            "overshoot_max",
            "credit",
            "rejected",
            "request_p99_ms",
            "cpu_s",
            "rss_mb",
            *RULES,
        )
    }
    told |= {
        "use_ratio_vs_static": round(shared["use_ratio"] / static["use_ratio"], 3),
        "credit_ratio_vs_static": round(shared["credit"] / static["credit"], 4),
        "request_p99_ratio": round(shared["request_p99_ms"] / static["request_p99_ms"], 3),
        "cpu_ratio": round(shared["cpu_s"] / static["cpu_s"], 3),
        "false_dead_per_hour": round(shared["false_dead"] * 3600.0 / 44.0, 1),
    }
    told["bad_datagrams_accepted"], told["datagrams_fuzzed"] = fuzz(fuzzed, seed), fuzzed
    if sizes:
        told["bytes_per_director_s_by_size"] = {
            count: bytes_at(count, seconds)
            for count, seconds in ((60, 20.0), (500, 10.0), (2000, 4.0))
        }
        low, high = (told["bytes_per_director_s_by_size"][count] for count in (60, 2000))
        told["bytes_growth_over_log"] = round(high / low / (math.log(2000) / math.log(60)), 3)
    told["seconds"] = round(time.monotonic() - began, 1)
    if as_json:
        return click.echo(json.dumps(told))
    for key, value in told.items():
        click.echo(f"{key:<30} {value}")
    return None


if __name__ == "__main__":
    sys.exit(main())
