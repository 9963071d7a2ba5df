"""Whether a fleet comes back by itself once a trouble is over: `python -m benchmarks.recovery
--json`, one JSON object as the last line. Each trouble is played in the model at several lengths;
what is told is how many seconds after its end the credit of two seconds is 0.95 of the calm one
again, and stays so. A trouble that leaves an overload alive behind it (a metastable failure) shows
as many seconds, or as none found.

The model has no sockets, no CPU and no queues in directors: figures are of simulated time and of
stand-ins.
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

BEGINS, AFTER, SPAN = (
    20,
    16,
    2,
)  # s: a trouble's begin, the play after its end, the span of a credit
CALM_FROM, ENOUGH = 14, 0.95
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
TROUBLES = {
    "burst": "what = burst\nby = 5",
    "slow": "what = node_slow\nshare = 1.0\nby = 8",
    "killed": "what = kill\nshare = 0.7",
    "cut": "what = cut\nlocation = a",
    "unreached": "what = cut\nlocation = a\npaths = cache",
    "silent": "what = node_silent\nshare = 0.4",
    "cold": "what = node_cold\nshare = 0.5",
    "errors": "what = node_errors\nshare = 1.0",
}


def credit(heard: Observations, goal: float, first: float, last: float) -> float:
    """Of what was asked for in these seconds, the part that was earned."""
    asked = earned = 0.0
    for look in heard.requests:
        if first <= look[0] < last:
            worth = PRIORITY_WEIGHTS[look[5]]
            asked += worth
            if look[7] == "served":
                earned += worth if look[1] <= goal else 0.1 * worth
    return earned / asked if asked else 0.0


def back_after(heard: Observations, goal: float, end: int) -> int | None:
    """Seconds from the trouble's end from which the credit stays enough; None where it
    never does.
    """
    enough = ENOUGH * credit(heard, goal, CALM_FROM, BEGINS)
    found = None
    for second in range(AFTER - SPAN, -1, -1):
        if credit(heard, goal, end + second, end + second + SPAN) < enough:
            break
        found = second
    return found


def play(name: str, length: int, directors: int, rate: float, seed: int) -> dict[str, Any]:
    scenario = parse_fleet_scenario(
        HEAD.format(
            seconds=BEGINS + length + AFTER,
            warm=CALM_FROM,
            seed=seed,
            rate=rate,
            directors=directors,
            begins=BEGINS,
            length=length,
            trouble=TROUBLES[name],
        )
    )
    heard, end = Simulation(scenario).run(), BEGINS + length
    return {
        "trouble": name,
        "length": length,
        "seed": seed,
        "calm": round(credit(heard, scenario.latency_objective_ms, CALM_FROM, BEGINS), 3),
        "during": round(credit(heard, scenario.latency_objective_ms, BEGINS, end), 3),
        "back_s": back_after(heard, scenario.latency_objective_ms, end),
        "attempts_by_request": round(len(heard.attempts) / max(1, len(heard.requests)), 2),
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
    "--trouble", "names", multiple=True, type=click.Choice(list(TROUBLES)), help="These alone."
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
        for name in names or TROUBLES
        for length in lengths
        for seed in seeds
    ]
    with ProcessPoolExecutor(jobs) as pool:
        plays = list(pool.map(play, *zip(*cases, strict=True)))
    lost = [found for found in plays if found["back_s"] is None]
    most = max((found["back_s"] for found in plays if found["back_s"] is not None), default=None)
    told = {"directors": directors, "plays": plays, "back_s_most": most, "never_back": len(lost)}
    if as_json:
        return click.echo(json.dumps(told))
    for found in plays:
        click.echo("  ".join(f"{name} {value}" for name, value in found.items()))
    click.echo(f"back after {most} s at the most; never: {len(lost)} of {len(plays)}")


if __name__ == "__main__":
    sys.exit(main())
