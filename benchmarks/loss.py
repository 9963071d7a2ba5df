"""Benchmark of what a fleet still serves during three scenarios of faults.

Most directors are killed while endpoint lists are late and some nodes are silent; the caches of one
location cannot be reached; or an eighth of the caches answers with errors, and later an eighth
answers slowly.

`python -m benchmarks.loss --json` prints one JSON object as the last line, in under 8 minutes. With
`--version REV`, each scenario is also played with an earlier version, right after the present one
and in front of the same stand-ins.

Directors are real processes. The sweep over faults of several durations is simulated, and the rate
at which healthy caches are ejected is computed with random outcomes and the outlier detector alone.
The figures hold for these stand-ins only.

The credit is the fraction of the requests' total weight that is earned; the weight is the priority
of the class. A request earns its weight if it is served within its latency objective, and a tenth
of the weight if it is served later.

The bound on the credit during a kill is the credit that the same clients would earn if each request
that reaches a living director were served. A director can change neither the directors that clients
try, nor their pause after a rejected try, nor the time until clients notice that a director is
dead.
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

CACHES = 8  # per location
SCENARIOS = {  # duration in seconds, and faults, by scenario
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
KILL_FROM_S, KILL_TO_S = 10.0, 24.5  # from the first kill to 5 s after the last restart
# Figures that count violations
VIOLATIONS = ("rules_broken", "requests_lost", "answers_twice", "orders_run_twice", "fell")
# With fewer attempts at a bad cache, or with fewer requests during a partition, a director is not
# expected to detect the fault.
MIN_ATTEMPTS, MIN_REQUESTS = 6, 3
# Duration of a hit with network delays. A try that starts less than this before the end of the
# latency objective is served late.
HIT_DURATION_MS = 150.0
# Fraction of attempts at a healthy cache that fail, and the hours for which outcomes are drawn
HEALTHY_FAILURE_RATE, DRAWN_HOURS = 0.001, 2.0


def credit(observations: Observations, objective_ms: float, first_s: float, last_s: float) -> float:
    """Return the credit of the requests created from `first_s` to `last_s` of the play."""
    return recovery.earned_fraction(observations, objective_ms, first_s, last_s)


def credit_bound(scenario: FleetScenario, observations: Observations) -> float:
    """Return the bound on the credit of the requests from KILL_FROM_S to KILL_TO_S.

    The directors that clients try are drawn anew. The bound is the credit if each request that
    reaches a living director is served. A request that reaches one too late for the latency
    objective earns a tenth of its weight.
    """
    dead: dict[int, list[tuple[float, float]]] = defaultdict(list)
    for at, _, kind, is_start, directors, *_ in observations.other_records["fault"]:
        if kind == "kill":
            for director in directors:
                if is_start:
                    dead[director].append((at, float("inf")))
                else:
                    dead[director][-1] = (dead[director][-1][0], at)

    def is_dead(director: int, at: float, detection_s: float = 0.0) -> bool:
        return any(first + detection_s <= at < last for first, last in dead.get(director, ()))

    loads = {location: LocationLoad(scenario, location) for location in scenario.locations}
    for load in loads.values():
        load.random = random.Random(f"{scenario.seed}-bound")
    total = earned = 0.0
    for request in observations.requests:
        if not KILL_FROM_S <= request[0] < KILL_TO_S:
            continue
        weight, now = PRIORITY_WEIGHTS[request[5]], request[0]
        total += weight
        load = loads[request[2]]
        for _ in range(scenario.max_tries):
            known_dead = {
                killed
                for killed in dead
                if is_dead(killed, now, scenario.failure_detection_ms / 1000.0)
            }
            director = load.draw_director(known_dead)
            is_late = 1000.0 * (now - request[0]) + HIT_DURATION_MS > scenario.latency_objective_ms
            if director is not None and not is_dead(director, now):
                earned += 0.1 * weight if is_late else weight
                break
            now += DEFAULT_RETRY_DELAY / 1000.0
    return earned / total if total else 0.0


def mode_changes(folder: str, began: float) -> list[tuple[float, int, str]]:
    """Return the log events `mode` of all directors, such as ejections of caches.

    Args:
        folder: Folder of the logs.
        began: Start of the play in Unix ms.

    Returns:
        Seconds since the start, number of the director, and text of each event, sorted.
    """
    changes = []
    for path in glob.glob(os.path.join(folder, "n*.log")):
        number = int(os.path.basename(path)[1:-4])
        with open(path, "rb") as file:
            for line in file:
                if b'"mode"' in line:
                    try:
                        event = orjson.loads(line)
                    except orjson.JSONDecodeError:
                        continue  # the director was killed while it wrote the line
                    changes.append((event["at"] - began / 1000.0, number, event["text"]))
    return sorted(changes)


def kill_figures(scenario: FleetScenario, audit: Audit) -> dict[str, Any]:
    """Return the credit during the kill, its bound, the recovery time, and counts of rejections.

    The recovery time starts with the next full second after the last restart. It ends at the start
    of the first two seconds whose credit reaches 0.95 of the credit before the kill; it is None if
    there are none.
    """
    observations, objective_ms = audit.observations, scenario.latency_objective_ms
    calm = credit(observations, objective_ms, scenario.warm_up_s, KILL_FROM_S)
    during, limit = (
        credit(observations, objective_ms, KILL_FROM_S, KILL_TO_S),
        credit_bound(scenario, observations),
    )
    end = int(max(fault[0] for fault in audit.faults if fault[2] == "kill" and not fault[3])) + 1
    recovered_after_s = next(
        (
            second
            for second in range(int(observations.seconds) - 1 - end)
            if credit(observations, objective_ms, end + second, end + second + 2) >= 0.95 * calm
        ),
        None,
    )
    rejections = observations.other_records["rejected"]
    return {
        "credit_during_kill": round(during, 4),
        "bound_during_kill": round(limit, 4),
        "credit_during_kill_over_bound": round(during / limit, 4),
        "recovered_s": recovered_after_s,
        "rejected_without_pause": sum(rejection[2] <= 0.0 for rejection in rejections),
        "rejected": len(rejections),
    }


def partition_figures(scenario: FleetScenario, audit: Audit) -> dict[str, Any]:
    """Return the fraction of directors that detected the partition, and the credit during it.

    Directors of the partitioned location are counted if clients created at least MIN_REQUESTS reads
    (class `pages`) for them up to 2 s before the end of the partition. A director has detected the
    partition if it sent reads directly to a parent meanwhile. The figures also include the time
    until the directors used the caches again.
    """
    first, last = (fault[0] for fault in audit.faults if fault[1] == "unreached")
    partitioned = set(next(fault[4] for fault in audit.faults if fault[1] == "unreached"))
    request_counts: dict[int, int] = defaultdict(int)
    for request in audit.observations.requests:
        if first < request[0] < last - 2.0 and request[5] == "pages":
            request_counts[request[4]] += 1
    detected, returned_after = set(), {}
    for attempt in audit.observations.attempts:
        if attempt[1] in partitioned and attempt[3] == "pages":
            if first < attempt[0] < last and audit.sites[attempt[2]].kind == PARENT:
                detected.add(attempt[1])
            elif attempt[0] > last and attempt[2] in audit.caches:
                returned_after.setdefault(attempt[1], attempt[0] - last)
    counted = [director for director in partitioned if request_counts[director] >= MIN_REQUESTS]
    objective_ms = scenario.latency_objective_ms
    return {
        "zone_cut_judged_as_cut": round(
            sum(director in detected for director in counted) / max(1, len(counted)), 4
        ),
        "zone_cut_directors": len(counted),
        "zone_back_s_p50": round(percentile(returned_after.values(), 0.5), 2),
        "zone_back_s_p99": round(percentile(returned_after.values(), 0.99), 2),
        "credit_during_cut": round(credit(audit.observations, objective_ms, first, last), 4),
    }


def bad_cache_figures(
    scenario: FleetScenario, audit: Audit, changes: list[tuple[float, int, str]]
) -> dict[str, Any]:
    """Return how soon directors ejected bad caches, how many they missed, and the credit.

    The logs give the times. A pair of a director and a bad cache is counted if the director sent
    the cache at least MIN_ATTEMPTS attempts, or ejected it.
    """
    fault = next(event for event in audit.faults if event[1] == "bad" and event[3])
    first = fault[0]
    last = next(event[0] for event in audit.faults if event[1] == "bad" and not event[3])
    # The logs name a cache by its hash key: the end of its name, without leading zeros.
    names = {name.rpartition("-")[2].lstrip("0"): name for name in fault[5]}
    attempt_counts: dict[tuple[int, str], int] = defaultdict(int)
    for attempt in audit.observations.attempts:
        if first <= attempt[0] < last and attempt[2] in fault[5]:
            attempt_counts[attempt[1], attempt[2]] += 1
    ejected_after, reinstated_after = {}, {}
    for at, director, text in changes:
        key, _, change = text.partition(" ")
        if (name := names.get(key)) is None:
            continue
        if first <= at < last and change.startswith("ejected"):
            ejected_after.setdefault((director, name), at - first)
        elif at >= last and change.startswith("reinstated") and (director, name) in ejected_after:
            reinstated_after.setdefault((director, name), at - last)
    counted = {pair for pair, count in attempt_counts.items() if count >= MIN_ATTEMPTS} | set(
        ejected_after
    )
    false_ejections = sum(
        first <= at < last and "ejected (error)" in text and text.split()[0] not in names
        for at, _, text in changes
    )
    objective_ms = scenario.latency_objective_ms
    return {
        "bad_cache_found_s_p50": round(percentile(ejected_after.values(), 0.5), 2),
        "bad_cache_found_s_p99": round(percentile(ejected_after.values(), 0.99), 2),
        "bad_cache_missed": len(counted - set(ejected_after)),
        "bad_cache_pairs": len(counted),
        "bad_cache_taken_back": len(reinstated_after),
        "good_shunned_for_errors_beside_it": false_ejections,
        "credit_during_bad": round(credit(audit.observations, objective_ms, first, last), 4),
        "credit_during_slow": round(credit(audit.observations, objective_ms, 28.0, 36.0), 4),
    }


def play(name: str, directors: int, rate: float, seed: int, program: str) -> dict[str, Any]:
    """Play a scenario with real directors, and return its figures.

    Args:
        name: Key of `SCENARIOS`.
        directors: Number of directors.
        rate: Requests per second of all clients.
        seed: Seed of the scenario.
        program: Folder that holds the package that the directors run.
    """
    seconds, faults = SCENARIOS[name]
    text = scenario_head(name, directors, rate, seed, seconds, CACHES) + faults
    scenario = parse_fleet_scenario(text)
    with tempfile.TemporaryDirectory(prefix="mulleinrelay-loss-") as folder:
        FleetLab(scenario, text, folder, program).run()
        audit = Audit(scenario, read_observations(folder))
        changes = mode_changes(folder, audit.observations.started_at)
    figures = audit.figures()
    result = {violation: figures[violation] for violation in VIOLATIONS} | {
        "credit": figures["credit"]
    }
    if name == "killed":
        return result | kill_figures(scenario, audit)
    return result | (
        partition_figures(scenario, audit)
        if name == "unreached"
        else bad_cache_figures(scenario, audit, changes)
    )


def healthy_ejections_per_hour(directors: int, caches: int, rate: float, seed: int) -> float:
    """Return how many ejections of healthy caches all directors together make per hour.

    The outcomes of the attempts are drawn with `HEALTHY_FAILURE_RATE`. Each director sends each
    cache `rate` attempts per second.
    """
    draw, ejections = random.Random(f"{seed}-good"), 0
    for _ in range(directors * caches):
        detector, now, was_outlier = OutlierDetector(), 0.0, False
        # Only outcomes near a failure can lead to an ejection. Longer spans of successes are
        # therefore skipped.
        while now < DRAWN_HOURS * 3_600_000.0:
            now += 1000.0 * draw.expovariate(rate * HEALTHY_FAILURE_RATE)
            for failed in (
                *[False] * 15,
                True,
                *(draw.random() < HEALTHY_FAILURE_RATE for _ in range(60)),
            ):
                detector.record(now, float(failed))
                ejections, was_outlier = (
                    ejections + (detector.is_outlier() and not was_outlier),
                    detector.is_outlier(),
                )
                now += 1000.0 * draw.expovariate(rate)
    return ejections / DRAWN_HOURS


def simulate_faults(directors: int, seed: int, jobs: int) -> dict[str, Any]:
    """Simulate all faults of the recovery benchmark with three durations each.

    Returns:
        `storm_recovered_s_max`: The longest recovery time in seconds, of the simulations in which
            the fleet recovered; None if it recovered in none.
        `storms`: Number of simulations.
        `storms_never_over`: Faults after which the fleet did not recover, with their durations.
    """
    cases = [
        (name, length, directors, 230.0, seed) for name in recovery.FAULTS for length in (2, 8, 20)
    ]
    with ProcessPoolExecutor(jobs) as pool:
        plays = list(pool.map(recovery.play, *zip(*cases, strict=True)))
    recovery_times = [figures["back_s"] for figures in plays if figures["back_s"] is not None]
    return {
        "storm_recovered_s_max": max(recovery_times, default=None),
        "storms": len(plays),
        "storms_never_over": [
            f"{figures['trouble']} {figures['length']} s"
            for figures in plays
            if figures["back_s"] is None
        ],
    }


@click.command()
@click.option("--json", "as_json", is_flag=True, help="One JSON object as the last line.")
@click.option("--version", help="Git revision of an earlier version to compare with.")
@click.option("--directors", type=click.IntRange(10, 400), default=200, show_default=True)
@click.option("--rate", type=click.FloatRange(1.0), default=600.0, help="Requests per second.")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--scenario",
    "names",
    multiple=True,
    type=click.Choice(list(SCENARIOS)),
    help="Scenarios to play; may be repeated. Default: all.",
)
@click.option(
    "--sweep/--no-sweep", "with_sweep", default=True, help="Simulate faults of several durations."
)
@click.option(
    "--jobs",
    type=click.IntRange(1, 64),
    default=6,
    show_default=True,
    help="Number of processes of the sweep.",
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
    """Play failures of directors, of a location and of caches, and print what was served."""
    began = time.monotonic()
    result: dict[str, Any] = {"directors": directors, "rate": rate}
    before: dict[str, Any] = {}
    with tempfile.TemporaryDirectory(prefix="mulleinrelay-before-") as folder:
        program = unpack(version, folder) if version else None
        totals: dict[str, int] = defaultdict(int)
        for name in names or SCENARIOS:
            figures = play(name, directors, rate, seed, ROOT)
            for violation in VIOLATIONS:
                totals[violation] += figures.pop(violation)
            result |= figures | {f"credit_{name}": figures.pop("credit")}
            if program:
                before |= {
                    f"{key}_{name}" if key in (*VIOLATIONS, "credit") else key: value
                    for key, value in play(name, directors, rate, seed, program).items()
                }
            click.echo(f"{name}: {figures}", err=True)
    result.pop("credit", None)
    result |= dict(totals)
    if before:
        result["before"] = before
        result |= {
            f"{key}_vs_before": round(result[key] / before[key], 4)
            for key in (
                "credit_during_kill",
                "credit_during_cut",
                "credit_during_bad",
                "credit_during_slow",
            )
            if before.get(key)
        }
    attempt_rate = rate / directors / CACHES
    result["good_cache_shunned_per_hour"] = healthy_ejections_per_hour(
        directors, CACHES, attempt_rate, seed
    )
    if with_sweep:
        result |= simulate_faults(directors, seed, jobs)
    result["seconds"] = round(time.monotonic() - began, 1)
    if as_json:
        return click.echo(json.dumps(result))
    for key, value in result.items():
        click.echo(f"{key:<34} {value}")
    return None


if __name__ == "__main__":
    sys.exit(main())
