"""Benchmark of how evenly a fleet of directors loads the caches, also during faults.

`python -m benchmarks.spread --json` prints one JSON object as the last line, in under 8 minutes.
With `--version REV`, each scenario is also played with an earlier version and the same stand-ins.
The two versions are played one after the other, because two fleets at the same time would compete
for the machine's cores.

Directors are real processes; nodes, clients and the network are stand-ins on this machine, and the
figures hold for these stand-ins only.
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
from mulleinrelay.model.simulation import run_scenario as simulate_scenario

from .versions import ROOT, unpack

Figures = dict[str, Any]

VIOLATIONS = ("rules_broken", "requests_lost", "answers_twice", "orders_run_twice", "answers_late")
# Numbers of directors of the two fleets that `measure_growth` compares
FEW_DIRECTORS = 30
MANY_DIRECTORS = 300
GROWTH_SECONDS = 20  # duration of the scenario for both fleets
MIN_DIVISOR = 1e-9  # avoids a division by zero
# Figures of the simulation that are compared with those of the lab
COMPARED = ("credit", "imbalance_p99", "attempts_by_request", "hit_share")

SCENARIO_HEAD = """
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
# Usual duration in seconds, and faults, by scenario
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


def scenario_head(
    name: str,
    directors: int,
    rate: float,
    seed: int,
    seconds: int,
    caches: int = 6,
    probes: bool = False,
) -> str:
    """Return the text of a scenario without its faults; `caches` is the number per location."""
    return SCENARIO_HEAD.format(
        name=name,
        directors=directors,
        rate=rate,
        seed=seed,
        seconds=seconds,
        caches=caches,
        probes="yes" if probes else "no",
    )


def scenario_text(
    name: str, directors: int, rate: float, seed: int, seconds: int = 0, probes: bool = False
) -> str:
    """Return the text of a scenario in `FAULTS`; `seconds` replaces its usual duration if not 0."""
    usual_seconds, faults = FAULTS[name]
    return (
        scenario_head(name, directors, rate, seed, seconds or usual_seconds, probes=probes) + faults
    )


def play(text: str, program: str = ROOT) -> Figures:
    """Play a scenario with real directors, and return its figures.

    Args:
        text: The scenario.
        program: Folder that holds the package that the directors run.
    """
    scenario = parse_fleet_scenario(text)
    lab = FleetLab(scenario, text, program=program)
    try:
        return Audit(scenario, read_observations(lab.run())).figures()
    finally:
        lab.remove_folder()


def largest(plays: list[Figures], key: str) -> Any:
    """Return the largest value of a figure over all plays; None if it is None in all of them."""
    return max((figures[key] for figures in plays if figures[key] is not None), default=None)


def summary(plays: dict[str, Figures]) -> Figures:
    """Return the figures over all plays; the keys of `plays` are the names of the scenarios."""
    all_figures = list(plays.values())
    with_faults = [figures for name, figures in plays.items() if name != "calm"]
    return {
        "calm_imbalance": plays["calm"]["calm_imbalance"] if "calm" in plays else None,
        "fault_imbalance": largest(with_faults, "fault_imbalance"),
        "herd_seconds_calm": sum(figures["herd_seconds_calm"] for figures in all_figures),
        "herd_seconds_fault_max": largest(with_faults, "herd_seconds_fault"),
        "herd_seconds_all_seeing": largest(all_figures, "herd_seconds_all_seeing"),
        "idle_s_max": largest(all_figures, "idle_s_max"),
        "return_s_p99": largest(all_figures, "return_s_p99"),
        "parent_swing": largest(all_figures, "parent_swing"),
        **{
            violation: sum(figures[violation] for figures in all_figures)
            for violation in VIOLATIONS
        },
        "credit": {name: figures["credit"] for name, figures in plays.items()},
    }


def measure_growth(rate: float, seed: int) -> dict[str, float]:
    """Return how probes and connections per cache grow with the number of directors.

    A growth is the peak at a single cache with `MANY_DIRECTORS` over that with `FEW_DIRECTORS`, at
    the same request rate. `ready_s_300` is the time until all directors of the larger fleet were
    ready.
    """
    few = play(scenario_text("calm", FEW_DIRECTORS, rate, seed, GROWTH_SECONDS, True))
    many = play(scenario_text("calm", MANY_DIRECTORS, rate, seed, GROWTH_SECONDS, True))
    figures = {"ready_s_300": many["ready_s"]}
    for counted in ("probes", "connections"):
        key = f"{counted}_a_cache"
        figures[f"{counted}_growth"] = round(many[key] / max(1.0, few[key]), 3)
    return figures


def model_error(plays: dict[str, Figures], texts: dict[str, str]) -> dict[str, dict[str, float]]:
    """Return the relative errors of the simulation against the lab, by scenario and figure.

    Args:
        plays: Figures of the lab by scenario.
        texts: Text of each scenario by its name.
    """
    errors = {}
    for name, measured in plays.items():
        scenario = parse_fleet_scenario(texts[name])
        simulated = simulate_scenario(replace(scenario, directors=measured["directors"]))
        errors[name] = {
            key: round((simulated[key] - measured[key]) / max(MIN_DIVISOR, measured[key]), 3)
            for key in COMPARED
        }
    return errors


def play_all(
    texts: dict[str, str], version: str | None, shows_progress: bool
) -> tuple[dict[str, Figures], dict[str, Figures]]:
    """Play all scenarios with the present program and, if a version is given, with that version.

    Args:
        texts: Text of each scenario by its name.
        version: Git revision of an earlier version; None for no comparison.
        shows_progress: Whether some figures are written to standard error after each scenario.

    Returns:
        Figures by scenario of the present program, and those of the earlier version (empty if there
        is no comparison).
    """
    present: dict[str, Figures] = {}
    earlier: dict[str, Figures] = {}
    with tempfile.TemporaryDirectory(prefix="mulleinrelay-before-") as folder:
        program = unpack(version, folder) if version else None
        for name, text in texts.items():
            present[name] = play(text)
            scenario_figures = [present[name]]
            if program:
                earlier[name] = play(text, program)
                scenario_figures.append(earlier[name])
            if shows_progress:
                summaries = (
                    f"credit {figures['credit']}, idle {figures['idle_s_max']} s"
                    for figures in scenario_figures
                )
                click.echo(f"{name}: " + "; before: ".join(summaries), err=True)
    return present, earlier


@click.command()
@click.option("--json", "as_json", is_flag=True, help="One JSON object as the last line.")
@click.option("--version", help="Git revision of an earlier version to compare with.")
@click.option("--directors", type=click.IntRange(2, 400), default=200, show_default=True)
@click.option("--rate", type=click.FloatRange(1.0), default=800.0, help="Requests per second.")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--scenario",
    "names",
    multiple=True,
    type=click.Choice(list(FAULTS)),
    help="Scenarios to play; may be repeated. Default: all.",
)
@click.option(
    "--growth/--no-growth", "with_growth", default=True, help="Compare 30 directors with 300."
)
@click.option("--model/--no-model", "with_model", default=True, help="Simulate the same scenarios.")
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
    """Play the scenarios and print how evenly the caches are loaded."""
    began = time.monotonic()
    texts = {name: scenario_text(name, directors, rate, seed) for name in names or FAULTS}
    present, earlier = play_all(texts, version, not as_json)
    result: Figures = {"directors": directors} | summary(present)
    if earlier:
        ratios = {
            name: round(present[name]["credit"] / earlier[name]["credit"], 4) for name in present
        }
        result |= {
            "credit_ratio_vs_before": ratios,
            "credit_ratio_least": min(ratios.values()),
            "before": summary(earlier),
        }
    if with_growth:
        result |= measure_growth(rate / 2.0, seed)
    if with_model:
        errors = model_error(present, texts)
        largest_error = max(abs(error) for by_key in errors.values() for error in by_key.values())
        result |= {"model_vs_lab_error": errors, "model_vs_lab_error_most": largest_error}
    result["seconds"] = round(time.monotonic() - began, 1)
    if as_json:
        click.echo(json.dumps(result))
        return
    for name, value in result.items():
        click.echo(f"{name:<26} {value}")


if __name__ == "__main__":
    sys.exit(main())
