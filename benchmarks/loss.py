"""What a fleet bears while most of it, or a location, is lost: `python -m benchmarks.loss --json`,
one JSON object as the last line, under 8 minutes. `--version REV` plays each scenario by an earlier
version of our own as well, right after, before the same stand-ins. Directors are real processes;
the sweep of storms is played in the model, and the judgement of good caches drawn from its pure
rule. A figure tells of directors before our stand-ins alone.

The bound on what could be won during a kill is what the same clients would get if each request that
reaches a living director within its goal were served: the directors that they try, the pause after
a refused try and the front's notice are theirs and not a director's to change.
"""

import glob
import json
import os
import random
import sys
import tempfile
import time
from collections import defaultdict
from concurrent.futures import ProcessPoolExecutor
from typing import Any

import click
import orjson

from mulleinrelay.lab.fleet.audit import PRIORITY_WEIGHTS, Audit
from mulleinrelay.lab.fleet.evenness import percentile
from mulleinrelay.lab.fleet.load import DEFAULT_RETRY_DELAY, LocationLoad
from mulleinrelay.lab.fleet.observations import Observations, read_observations
from mulleinrelay.lab.fleet.runner import FleetLab
from mulleinrelay.lab.fleet.scenario import PARENT, FleetScenario
from mulleinrelay.lab.fleet.scenario_parser import parse_fleet_scenario
from mulleinrelay.policy.outlier_detection import OutlierDetector

from . import recovery
from .spread import scenario_head
from .versions import ROOT, unpack

CACHES = 8  # a location
LOST = {
    "killed": (
        36,
        """
[fault seven-in-ten]
what = kill
share = 0.7
at = 10
for = 5
[fault again]
what = kill
share = 0.3
at = 16.5
for = 3
[fault late]
what = late_list
share = 0.5
by = 9
at = 9
for = 12
[fault mute]
what = node_silent
share = 0.2
at = 11
for = 5
""",
    ),
    "unreached": (
        28,
        """
[fault unreached]
what = cut
paths = cache
location = b
at = 10
for = 8
""",
    ),
    "bad": (
        40,
        """
[fault bad]
what = node_errors
share = 0.125
at = 10
for = 16
[fault slow]
what = node_slow
share = 0.125
by = 10
at = 28
for = 8
""",
    ),
}
KILL_FROM, KILL_TO = 10.0, 24.5  # s: from the first kill to 5 s after the last return
RULES = ("rules_broken", "requests_lost", "answers_twice", "orders_run_twice", "fell")
MEETINGS, ASKED = (
    6,
    3,
)  # first attempts at the bad cache, requests in the cut, until a director can tell
TAKES_MS = 150.0  # a hit and its ways: a try that begins later misses the goal
GOOD_ERRS, GOOD_HOURS = 0.001, 2.0  # errors of a good cache; hours that are drawn


def credit(heard: Observations, goal: float, first: float, last: float) -> float:
    return recovery.earned_fraction(heard, goal, first, last)


def bound(scenario: FleetScenario, heard: Observations) -> float:
    """Of the credit of requests asked during the kill, what one could win who serves all that reach
    a living director in time.
    """
    dead: dict[int, list[tuple[float, float]]] = defaultdict(list)
    for at, _, what, begins, directors, *_ in heard.others["fault"]:
        if what == "kill":
            for director in directors:
                if begins:
                    dead[director].append((at, float("inf")))
                else:
                    dead[director][-1] = (dead[director][-1][0], at)

    def gone(director: int, at: float, notice: float = 0.0) -> bool:
        return any(first + notice <= at < last for first, last in dead.get(director, ()))

    demands = {place: LocationLoad(scenario, place) for place in scenario.locations}
    for demand in demands.values():
        demand.random = random.Random(f"{scenario.seed}-bound")
    asked = won = 0.0
    for look in heard.requests:
        if not KILL_FROM <= look[0] < KILL_TO:
            continue
        worth, now = PRIORITY_WEIGHTS[look[5]], look[0]
        asked += worth
        demand = demands[look[2]]
        for _ in range(scenario.max_tries):
            away = {one for one in dead if gone(one, now, scenario.failure_detection_ms / 1000.0)}
            director = demand.draw_director(away)
            late = 1000.0 * (now - look[0]) + TAKES_MS > scenario.latency_objective_ms
            if director is not None and not gone(director, now):
                won += 0.1 * worth if late else worth
                break
            now += DEFAULT_RETRY_DELAY / 1000.0
    return won / asked if asked else 0.0


def lines(folder: str, began: float) -> list[tuple[float, int, str]]:
    """Changes of mode in the directors' logs: s since the start, director, text."""
    found = []
    for path in glob.glob(os.path.join(folder, "n*.log")):
        number = int(os.path.basename(path)[1:-4])
        with open(path, "rb") as file:
            for line in file:
                if b'"mode"' in line:
                    try:
                        held = orjson.loads(line)
                    except (
                        orjson.JSONDecodeError
                    ):  # of a director that was killed in the middle of it
                        continue
                    found.append((held["at"] - began / 1000.0, number, held["text"]))
    return sorted(found)


def killed(scenario: FleetScenario, audit: Audit) -> dict[str, Any]:
    heard, goal = audit.observations, scenario.latency_objective_ms
    calm = credit(heard, goal, scenario.warm_up_s, KILL_FROM)
    during, most = credit(heard, goal, KILL_FROM, KILL_TO), bound(scenario, heard)
    end = int(max(held[0] for held in audit.faults if held[2] == "kill" and not held[3])) + 1
    back = next(
        (
            second
            for second in range(int(heard.seconds) - 1 - end)
            if credit(heard, goal, end + second, end + second + 2) >= 0.95 * calm
        ),
        None,
    )
    rejected = heard.others["rejected"]
    return {
        "credit_during_kill": round(during, 4),
        "bound_during_kill": round(most, 4),
        "credit_during_kill_over_bound": round(during / most, 4),
        "recovered_s": back,
        "rejected_without_pause": sum(held[2] <= 0.0 for held in rejected),
        "rejected": len(rejected),
    }


def unreached(scenario: FleetScenario, audit: Audit) -> dict[str, Any]:
    """Which directors of the location judged the cut as a cut, by what they did: they sent first
    attempts of requests straight to a parent while it lasted; and which of them came back at which
    second.
    """
    first, last = (held[0] for held in audit.faults if held[1] == "unreached")
    cut = set(next(held[4] for held in audit.faults if held[1] == "unreached"))
    asked: dict[int, int] = defaultdict(int)
    for look in audit.observations.requests:
        if first < look[0] < last - 2.0 and look[5] == "pages":
            asked[look[4]] += 1
    passed, back = set(), {}
    for attempt in audit.observations.attempts:
        if attempt[1] in cut and attempt[3] == "pages":
            if first < attempt[0] < last and audit.sites[attempt[2]].kind == PARENT:
                passed.add(attempt[1])
            elif attempt[0] > last and attempt[2] in audit.caches:
                back.setdefault(attempt[1], attempt[0] - last)
    able = [one for one in cut if asked[one] >= ASKED]
    goal = scenario.latency_objective_ms
    return {
        "zone_cut_judged_as_cut": round(sum(one in passed for one in able) / max(1, len(able)), 4),
        "zone_cut_directors": len(able),
        "zone_back_s_p50": round(percentile(back.values(), 0.5), 2),
        "zone_back_s_p99": round(percentile(back.values(), 0.99), 2),
        "credit_during_cut": round(credit(audit.observations, goal, first, last), 4),
    }


def bad(
    scenario: FleetScenario, audit: Audit, told: list[tuple[float, int, str]]
) -> dict[str, Any]:
    """When each director that met a bad cache often enough shunned it, by its log, and took it
    back.
    """
    fault = next(held for held in audit.faults if held[1] == "bad" and held[3])
    first = fault[0]
    last = next(held[0] for held in audit.faults if held[1] == "bad" and not held[3])
    names = {name.rpartition("-")[2].lstrip("0"): name for name in fault[5]}
    met: dict[tuple[int, str], int] = defaultdict(int)
    for attempt in audit.observations.attempts:
        if first <= attempt[0] < last and attempt[2] in fault[5]:
            met[attempt[1], attempt[2]] += 1
    found, returned = {}, {}
    for at, director, text in told:
        key, _, word = text.partition(" ")
        if (name := names.get(key)) is None:
            continue
        if first <= at < last and word.startswith("ejected"):
            found.setdefault((director, name), at - first)
        elif at >= last and word.startswith("reinstated") and (director, name) in found:
            returned.setdefault((director, name), at - last)
    able = {spot for spot, count in met.items() if count >= MEETINGS} | set(found)
    wrong = sum(
        first <= at < last and "ejected (error)" in text and text.split()[0] not in names
        for at, _, text in told
    )
    goal = scenario.latency_objective_ms
    return {
        "bad_cache_found_s_p50": round(percentile(found.values(), 0.5), 2),
        "bad_cache_found_s_p99": round(percentile(found.values(), 0.99), 2),
        "bad_cache_missed": len(able - set(found)),
        "bad_cache_pairs": len(able),
        "bad_cache_taken_back": len(returned),
        "good_shunned_for_errors_beside_it": wrong,
        "credit_during_bad": round(credit(audit.observations, goal, first, last), 4),
        "credit_during_slow": round(credit(audit.observations, goal, 28.0, 36.0), 4),
    }


def play(name: str, directors: int, rate: float, seed: int, program: str) -> dict[str, Any]:
    seconds, faults = LOST[name]
    text = scenario_head(name, directors, rate, seed, seconds, CACHES) + faults
    scenario = parse_fleet_scenario(text)
    with tempfile.TemporaryDirectory(prefix="mulleinrelay-loss-") as folder:
        FleetLab(scenario, text, folder, program).run()
        audit = Audit(scenario, read_observations(folder))
        told = lines(folder, audit.observations.started_at)
    figures = audit.figures()
    found = {rule: figures[rule] for rule in RULES} | {"credit": figures["credit"]}
    if name == "killed":
        return found | killed(scenario, audit)
    return found | (
        unreached(scenario, audit) if name == "unreached" else bad(scenario, audit, told)
    )


def good_shunned(directors: int, caches: int, rate: float, seed: int) -> float:
    """Times an hour that a good cache, failing once in a thousand, is shunned somewhere in such a
    fleet where each director meets each cache `rate` times a second.
    """
    draw, shunned = random.Random(f"{seed}-good"), 0
    for _ in range(directors * caches):
        health, now, was = OutlierDetector(), 0.0, False
        # Only what lies near an error can shun it, so the long spans of good outcomes are passed
        # over
        while now < GOOD_HOURS * 3_600_000.0:
            now += 1000.0 * draw.expovariate(rate * GOOD_ERRS)
            for errs in (*[False] * 15, True, *(draw.random() < GOOD_ERRS for _ in range(60))):
                health.record(now, float(errs))
                shunned, was = shunned + (health.is_outlier() and not was), health.is_outlier()
                now += 1000.0 * draw.expovariate(rate)
    return shunned / GOOD_HOURS


def sweep(directors: int, seed: int, jobs: int) -> dict[str, Any]:
    cases = [
        (name, length, directors, 230.0, seed) for name in recovery.FAULTS for length in (2, 8, 20)
    ]
    with ProcessPoolExecutor(jobs) as pool:
        plays = list(pool.map(recovery.play, *zip(*cases, strict=True)))
    back = [found["back_s"] for found in plays if found["back_s"] is not None]
    return {
        "storm_recovered_s_max": max(back, default=None),
        "storms": len(plays),
        "storms_never_over": [
            f"{found['trouble']} {found['length']} s" for found in plays if found["back_s"] is None
        ],
    }


@click.command()
@click.option("--json", "as_json", is_flag=True, help="One JSON object as the last line.")
@click.option("--version", help="An earlier version of our own, played in turn.")
@click.option("--directors", type=click.IntRange(10, 400), default=200, show_default=True)
@click.option("--rate", type=click.FloatRange(1.0), default=600.0, help="Requests a second.")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--scenario", "names", multiple=True, type=click.Choice(list(LOST)), help="These alone."
)
@click.option("--sweep/--no-sweep", "with_sweep", default=True, help="Storms in the model.")
@click.option(
    "--jobs", type=click.IntRange(1, 64), default=6, show_default=True, help="For the sweep."
)
def main(
    as_json: bool,
    version: str | None,
    directors: int,
    rate: float,
    seed: int,
    names: tuple[str, ...],
    with_sweep: bool,
    jobs: int,
) -> None:
    """Play the loss of most directors, of a location, and a bad cache."""
    began = time.monotonic()
    told: dict[str, Any] = {"directors": directors, "rate": rate}
    before: dict[str, Any] = {}
    with tempfile.TemporaryDirectory(prefix="mulleinrelay-before-") as folder:
        program = unpack(version, folder) if version else None
        totals: dict[str, int] = defaultdict(int)
        for name in names or LOST:
            found = play(name, directors, rate, seed, ROOT)
            for rule in RULES:
                totals[rule] += found.pop(rule)
            told |= found | {f"credit_{name}": found.pop("credit")}
            if program:
                before |= {
                    f"{key}_{name}" if key in (*RULES, "credit") else key: value
                    for key, value in play(name, directors, rate, seed, program).items()
                }
            click.echo(f"{name}: {found}", err=True)
    told.pop("credit", None)
    told |= dict(totals)
    if before:
        told["before"] = before
        told |= {
            f"{key}_vs_before": round(told[key] / before[key], 4)
            for key in (
                "credit_during_kill",
                "credit_during_cut",
                "credit_during_bad",
                "credit_during_slow",
            )
            if before.get(key)
        }
    met = rate / directors / CACHES
    told["good_cache_shunned_per_hour"] = good_shunned(directors, CACHES, met, seed)
    if with_sweep:
        told |= sweep(directors, seed, jobs)
    told["seconds"] = round(time.monotonic() - began, 1)
    if as_json:
        return click.echo(json.dumps(told))
    for key, value in told.items():
        click.echo(f"{key:<34} {value}")
    return None


if __name__ == "__main__":
    sys.exit(main())
