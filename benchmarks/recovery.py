"""Whether a fleet recovers by itself once a fault is over.

`python -m benchmarks.recovery --json` prints one JSON object as the last line. Each fault is
simulated at several lengths. The figure is how many seconds after its end the weight earned in two
seconds is 0.95 of the calm one again, and stays so. A fault that leaves an overload behind (a
metastable failure) shows as many seconds, or as none found.

The simulation has no sockets, no CPU and no queues in directors: figures are of simulated time and
of stand-ins.
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
AFTER_S = 16  # of the play after the fault's end
WINDOW_S = 2  # over which earned weight is computed
CALM_FROM_S = 14
RECOVERED = 0.95  # of the calm fraction
MISSED_OBJECTIVE = 0.1  # of its weight that a request served late earns
HEAD = """
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
    """Return the weight earned by requests of these seconds, as a fraction of what was asked."""
    asked = earned = 0.0
    for request in observations.requests:
        if first_s <= request.at_s < last_s:
            weight = PRIORITY_WEIGHTS[request.request_class]
            asked += weight
            if request.outcome == "served":
                is_in_time = request.duration_ms <= objective_ms
                earned += weight if is_in_time else MISSED_OBJECTIVE * weight
    return earned / asked if asked else 0.0


def recovery_seconds(observations: Observations, objective_ms: float, end_s: int) -> int | None:
    """Return the seconds from the fault's end to the recovery; None where there is none."""
    calm = earned_fraction(observations, objective_ms, CALM_FROM_S, FAULT_AT_S)
    recovered_after = None
    for second in range(AFTER_S - WINDOW_S, -1, -1):
        first_s = end_s + second
        fraction = earned_fraction(observations, objective_ms, first_s, first_s + WINDOW_S)
        if fraction < RECOVERED * calm:
            break
        recovered_after = second
    return recovered_after


def play(name: str, length: int, directors: int, rate: float, seed: int) -> dict[str, Any]:
    """Simulate one fault of so many seconds, and return its figures."""
    scenario = parse_fleet_scenario(
        HEAD.format(
            seconds=FAULT_AT_S + length + AFTER_S,
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
@click.option("--rate", type=click.FloatRange(1.0), default=230.0, help="Requests a second.")
@click.option(
    "--length",
    "lengths",
    multiple=True,
    type=click.IntRange(1, 60),
    default=(2, 8, 20),
    show_default=True,
    help="s of trouble; may be given again.",
)
@click.option("--seed", "seeds", multiple=True, type=int, default=(1, 2), show_default=True)
@click.option(
    "--trouble", "names", multiple=True, type=click.Choice(list(FAULTS)), help="These alone."
)
@click.option("--jobs", type=click.IntRange(1, 64), default=4, show_default=True, help="Processes.")
def main(
    as_json: bool,
    directors: int,
    rate: float,
    lengths: tuple[int, ...],
    seeds: tuple[int, ...],
    names: tuple[str, ...],
    jobs: int,
) -> None:
    """Play troubles of several lengths in the model and tell how long the fleet takes
    to come back.
    """
    cases = [
        (name, length, directors, rate, seed)
        for name in names or FAULTS
        for length in lengths
        for seed in seeds
    ]
    with ProcessPoolExecutor(jobs) as pool:
        plays = list(pool.map(play, *zip(*cases, strict=True)))
    durations = [figures["back_s"] for figures in plays if figures["back_s"] is not None]
    longest = max(durations, default=None)
    never = len(plays) - len(durations)
    if as_json:
        summary = {
            "directors": directors,
            "plays": plays,
            "back_s_most": longest,
            "never_back": never,
        }
        click.echo(json.dumps(summary))
        return
    for figures in plays:
        click.echo("  ".join(f"{name} {value}" for name, value in figures.items()))
    click.echo(f"back after {longest} s at the most; never: {never} of {len(plays)}")


if __name__ == "__main__":
    sys.exit(main())
