"""Benchmark of whether a fleet recovers by itself after a fault has ended.

`python -m benchmarks.recovery --json` prints one JSON object as the last line. Each fault is
simulated with several durations.

Each request has a weight, which the fleet earns by serving the request in time, or in part by
serving it late. The fleet has recovered when the fraction earned in two seconds reaches 0.95 of its
value before the fault, and stays there. The main figure is the recovery time, in seconds from the
end of the fault. If a fault leaves an overload behind (a metastable failure), the recovery time is
long or None.

The simulation models no sockets, no CPU and no queues in directors: the figures are in simulated
time, and caches and clients are stand-ins.
"""

import json
import sys
from concurrent.futures import ProcessPoolExecutor
from typing import Any

import click

from mulleinrelay.lab.fleet.audit import PRIORITY_WEIGHTS
from mulleinrelay.lab.fleet.observations import Observations
from mulleinrelay.lab.fleet.scenario_parser import parse_fleet_scenario
from mulleinrelay.model.simulation import Simulation

FAULT_AT_S = 20
AFTER_FAULT_S = 16  # simulated time after the end of the fault
WINDOW_S = 2  # length of the spans for which the earned weight is computed
CALM_FROM_S = 14  # end of the warm-up; the reference value is measured from here to the fault
RECOVERED_FRACTION = 0.95  # of the fraction earned before the fault
LATE_REQUEST_WEIGHT = 0.1  # fraction of its weight that a request earns if it is served late
SCENARIO = """
[fleet lab]
name = recovery
seconds = {seconds}
warm_s = {warm}
seed = {seed}
[directors]
count = {directors}
[nodes]
locations = a b
caches = 4
capacity = 40
parents = 2
cold_ms = 6000
parent_cold_ms = 6000
[load]
rate = {rate}
objects = 400
tries = 4
[fault trouble]
at = {begins}
for = {length}
{trouble}
"""
FAULTS = {
    "burst": "what = burst\nby = 5",
    "slow": "what = node_slow\nshare = 1.0\nby = 8",
    "killed": "what = kill\nshare = 0.7",
    "cut": "what = cut\nlocation = a",
    "unreached": "what = cut\nlocation = a\npaths = cache",
    "silent": "what = node_silent\nshare = 0.4",
    "cold": "what = node_cold\nshare = 0.5",
    "errors": "what = node_errors\nshare = 1.0",
}


def earned_fraction(
    observations: Observations, objective_ms: float, first_s: float, last_s: float
) -> float:
    """Return the weight earned by the requests of a span, as a fraction of their total weight.

    The weight of a request is the priority of its class. A request earns all of it if it is served
    within the latency objective, and LATE_REQUEST_WEIGHT of it if it is served later. The result is
    0 without requests.

    Args:
        observations: Records of the play.
        objective_ms: Latency objective in ms.
        first_s: Start of the span, in seconds from the start of the play.
        last_s: End of the span. Requests count by the time at which they are created.
    """
    total = earned = 0.0
    for request in observations.requests:
        if first_s <= request.at_s < last_s:
            weight = PRIORITY_WEIGHTS[request.request_class]
            total += weight
            if request.outcome == "served":
                is_in_time = request.duration_ms <= objective_ms
                earned += weight if is_in_time else LATE_REQUEST_WEIGHT * weight
    return earned / total if total else 0.0


def recovery_seconds(observations: Observations, objective_ms: float, end_s: int) -> int | None:
    """Return the seconds from the end of the fault to the recovery; None if there was none.

    The spans are checked from the last to the first, because the fleet has recovered only when no
    later span falls below the threshold.

    Args:
        observations: Records of the play.
        objective_ms: Latency objective in ms.
        end_s: End of the fault, in seconds from the start of the play.
    """
    calm = earned_fraction(observations, objective_ms, CALM_FROM_S, FAULT_AT_S)
    recovered_after_s = None
    for second in range(AFTER_FAULT_S - WINDOW_S, -1, -1):
        first_s = end_s + second
        fraction = earned_fraction(observations, objective_ms, first_s, first_s + WINDOW_S)
        if fraction < RECOVERED_FRACTION * calm:
            break
        recovered_after_s = second
    return recovered_after_s


def play(name: str, length: int, directors: int, rate: float, seed: int) -> dict[str, Any]:
    """Simulate one fault; return its recovery time and the other measured figures.

    Args:
        name: Key of `FAULTS`.
        length: Duration of the fault in s.
        directors: Number of directors.
        rate: Requests per second of all clients.
        seed: Seed of the scenario.
    """
    scenario = parse_fleet_scenario(
        SCENARIO.format(
            seconds=FAULT_AT_S + length + AFTER_FAULT_S,
            warm=CALM_FROM_S,
            seed=seed,
            rate=rate,
            directors=directors,
            begins=FAULT_AT_S,
            length=length,
            trouble=FAULTS[name],
        )
    )
    observations = Simulation(scenario).run()
    objective_ms = scenario.latency_objective_ms
    end_s = FAULT_AT_S + length
    calm = earned_fraction(observations, objective_ms, CALM_FROM_S, FAULT_AT_S)
    during = earned_fraction(observations, objective_ms, FAULT_AT_S, end_s)
    attempts = len(observations.attempts) / max(1, len(observations.requests))
    return {
        "trouble": name,
        "length": length,
        "seed": seed,
        "calm": round(calm, 3),
        "during": round(during, 3),
        "back_s": recovery_seconds(observations, objective_ms, end_s),
        "attempts_by_request": round(attempts, 2),
    }


@click.command()
@click.option("--json", "as_json", is_flag=True, help="One JSON object as the last line.")
@click.option("--directors", type=click.IntRange(2, 2000), default=40, show_default=True)
@click.option("--rate", type=click.FloatRange(1.0), default=230.0, help="Requests per second.")
@click.option(
    "--length",
    "lengths",
    multiple=True,
    type=click.IntRange(1, 60),
    default=(2, 8, 20),
    show_default=True,
    help="Duration of the fault in s; may be repeated.",
)
@click.option("--seed", "seeds", multiple=True, type=int, default=(1, 2), show_default=True)
@click.option(
    "--trouble",
    "names",
    multiple=True,
    type=click.Choice(list(FAULTS)),
    help="Faults to simulate; may be repeated. Default: all.",
)
@click.option(
    "--jobs", type=click.IntRange(1, 64), default=4, show_default=True, help="Number of processes."
)
def main(
    as_json: bool,
    directors: int,
    rate: float,
    lengths: tuple[int, ...],
    seeds: tuple[int, ...],
    names: tuple[str, ...],
    jobs: int,
) -> None:
    """Simulate faults of several durations and print how long the fleet takes to recover."""
    cases = [
        (name, length, directors, rate, seed)
        for name in names or FAULTS
        for length in lengths
        for seed in seeds
    ]
    with ProcessPoolExecutor(jobs) as pool:
        plays = list(pool.map(play, *zip(*cases, strict=True)))
    durations = [figures["back_s"] for figures in plays if figures["back_s"] is not None]
    longest_recovery_s = max(durations, default=None)
    not_recovered = len(plays) - len(durations)
    if as_json:
        summary = {
            "directors": directors,
            "plays": plays,
            "back_s_most": longest_recovery_s,
            "never_back": not_recovered,
        }
        click.echo(json.dumps(summary))
        return
    for figures in plays:
        click.echo("  ".join(f"{name} {value}" for name, value in figures.items()))
    click.echo(
        f"back after {longest_recovery_s} s at the most; never: {not_recovered} of {len(plays)}"
    )


if __name__ == "__main__":
    sys.exit(main())
