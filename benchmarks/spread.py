"""How evenly a fleet's load lies and what it bears: `python -m benchmarks.spread --json`, one JSON
object as the last line, under 8 minutes. `--version REV` plays each scenario by an earlier version
of our own as well, right after, before the same stand-ins: two fleets at one time would take each
other's cores.

Directors are real processes; nodes, clients and the network are stand-ins of ours on this machine,
and a figure tells of directors before these alone.
"""

import json
import sys
import tempfile
import time
from dataclasses import replace
from typing import Any

import click

from mulleinrelay.lab.fleet.audit import Audit
from mulleinrelay.lab.fleet.observations import read_observations
from mulleinrelay.lab.fleet.runner import FleetLab
from mulleinrelay.lab.fleet.scenario_parser import parse_fleet_scenario
from mulleinrelay.model.simulation import play as play_model

from .versions import ROOT, unpack

RULES = ("rules_broken", "requests_lost", "answers_twice", "orders_run_twice", "answers_late")
FEW, MANY = 30, 300  # directors, for what grows with their number
COMPARED = ("credit", "imbalance_p99", "attempts_by_request", "hit_share")

HEAD = """
[fleet lab]
name = {name}
seconds = {seconds}
warm_s = 8
seed = {seed}
client_processes = 2
relay_processes = 2
[directors]
count = {directors}
uneven = 1.0
probes = {probes}
[nodes]
locations = a b c d e
caches = {caches}
parents = 3
capacity = 60
[load]
rate = {rate}
objects = 2000
"""
FAULTS = {
    "calm": (24, ""),
    "cut": (
        36,
        """
[fault cutoff]
what = cut
location = b
at = 10
for = 6
[fault slow-for-half]
what = node_slow
share = 0.125
seen_by = 0.5
by = 6
at = 22
for = 8
""",
    ),
    "silent": (
        38,
        """
[fault mute]
what = node_silent
share = 0.2
at = 10
for = 5
[fault late]
what = late_list
share = 0.5
by = 9
at = 10
for = 10
""",
    ),
    "killed": (
        40,
        """
[fault seven-in-ten]
what = kill
share = 0.7
at = 10
for = 4
over = 1
[fault all]
what = restart
over = 10
at = 24
""",
    ),
    "shifting": (
        36,
        """
[fault hot]
what = hot
by = 0.1
at = 10
for = 10
[fault shift]
what = shift
location = a
other = c
by = 0.5
at = 12
for = 14
[fault stopped]
what = stop
share = 0.1
at = 22
for = 5
[fault purge]
what = purge
at = 18
[fault outsized]
what = outsized
by = 0.02
at = 14
for = 8
""",
    ),
}


def head(
    name: str,
    directors: int,
    rate: float,
    seed: int,
    seconds: int,
    caches: int = 6,
    probes: bool = False,
) -> str:
    return HEAD.format(
        name=name,
        directors=directors,
        rate=rate,
        seed=seed,
        seconds=seconds,
        caches=caches,
        probes="yes" if probes else "no",
    )


def text_of(
    name: str, directors: int, rate: float, seed: int, seconds: int = 0, probes: bool = False
) -> str:
    span, faults = FAULTS[name]
    return head(name, directors, rate, seed, seconds or span, probes=probes) + faults


def play(text: str, program: str = ROOT) -> dict[str, Any]:
    scenario = parse_fleet_scenario(text)
    lab = FleetLab(scenario, text, program=program)
    try:
        return Audit(scenario, read_observations(lab.run())).figures()
    finally:
        lab.remove_folder()


def summary(plays: dict[str, dict[str, Any]]) -> dict[str, Any]:
    faulty = {name: found for name, found in plays.items() if name != "calm"}

    def most(key: str, among: dict[str, dict[str, Any]] = plays) -> Any:
        return max((found[key] for found in among.values() if found[key] is not None), default=None)

    return {
        "calm_imbalance": plays["calm"]["calm_imbalance"] if "calm" in plays else None,
        "fault_imbalance": most("fault_imbalance", faulty),
        "herd_seconds_calm": sum(found["herd_seconds_calm"] for found in plays.values()),
        "herd_seconds_fault_max": most("herd_seconds_fault", faulty),
        "herd_seconds_all_seeing": most("herd_seconds_all_seeing"),
        "idle_s_max": most("idle_s_max"),
        "return_s_p99": most("return_s_p99"),
        "parent_swing": most("parent_swing"),
        **{rule: sum(found[rule] for found in plays.values()) for rule in RULES},
        "credit": {name: found["credit"] for name, found in plays.items()},
    }


def growth(rate: float, seed: int) -> dict[str, float]:
    """What one cache bears of many directors, over what it bears of few, at the same load."""
    found = {}
    for count in (FEW, MANY):
        found[count] = play(text_of("calm", count, rate, seed, 20, True))
    told = {"ready_s_300": found[MANY]["ready_s"]}
    for what in ("probes", "connections"):
        few, many = (found[count][f"{what}_a_cache"] for count in (FEW, MANY))
        told[f"{what}_growth"] = round(many / max(1.0, few), 3)
    return told


def model_error(
    plays: dict[str, dict[str, Any]], texts: dict[str, str]
) -> dict[str, dict[str, float]]:
    """By scenario and figure: the model's less the lab's, over the lab's."""
    found = {}
    for name in plays:
        scenario = parse_fleet_scenario(texts[name])
        theirs = play_model(replace(scenario, directors=plays[name]["directors"]))
        found[name] = {
            key: round((theirs[key] - plays[name][key]) / max(1e-9, plays[name][key]), 3)
            for key in COMPARED
        }
    return found


@click.command()
@click.option("--json", "as_json", is_flag=True, help="One JSON object as the last line.")
@click.option("--version", help="An earlier version of our own, played in turn.")
@click.option("--directors", type=click.IntRange(2, 400), default=200, show_default=True)
@click.option("--rate", type=click.FloatRange(1.0), default=800.0, help="Requests a second.")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--scenario", "names", multiple=True, type=click.Choice(list(FAULTS)), help="These alone."
)
@click.option("--growth/--no-growth", "with_growth", default=True, help="30 directors against 300.")
@click.option(
    "--model/--no-model", "with_model", default=True, help="The same scenarios in the model."
)
def main(
    as_json: bool,
    version: str | None,
    directors: int,
    rate: float,
    seed: int,
    names: tuple[str, ...],
    with_growth: bool,
    with_model: bool,
) -> None:
    """Play the scenarios of the even spread."""
    began = time.monotonic()
    texts = {name: text_of(name, directors, rate, seed) for name in names or FAULTS}
    ours, theirs = {}, {}
    with tempfile.TemporaryDirectory(prefix="mulleinrelay-before-") as folder:
        program = unpack(version, folder) if version else None
        for name, text in texts.items():
            found = [play(text, folder) for folder in (ROOT, program) if folder]
            ours[name] = found[0]
            if program:
                theirs[name] = found[1]
            if not as_json:
                shown = (f"credit {one['credit']}, idle {one['idle_s_max']} s" for one in found)
                click.echo(f"{name}: " + "; before: ".join(shown), err=True)
    told: dict[str, Any] = {"directors": directors} | summary(ours)
    if theirs:
        ratios = {name: round(ours[name]["credit"] / theirs[name]["credit"], 4) for name in ours}
        told |= {
            "credit_ratio_vs_before": ratios,
            "credit_ratio_least": min(ratios.values()),
            "before": summary(theirs),
        }
    if with_growth:
        told |= growth(rate / 2.0, seed)
    if with_model:
        errors = model_error(ours, texts)
        largest = max(abs(value) for held in errors.values() for value in held.values())
        told |= {"model_vs_lab_error": errors, "model_vs_lab_error_most": largest}
    told["seconds"] = round(time.monotonic() - began, 1)
    if as_json:
        return click.echo(json.dumps(told))
    for name, value in told.items():
        click.echo(f"{name:<26} {value}")


if __name__ == "__main__":
    sys.exit(main())
