"""Benchmark of what cells cost, and of how well they isolate tenants from each other.

`python -m benchmarks.cells --json` prints one JSON object as the last line, in under 3 minutes. All
nodes and clients are stand-ins on this machine, and the figures hold for these stand-ins only.
"""

import json
import os
import statistics
import subprocess
import sys
import tempfile
import time
from dataclasses import replace

import click

from mulleinrelay.cells import migrations
from mulleinrelay.cells.formatter import format_assignment
from mulleinrelay.cells.hashing import assign_with_load_bound
from mulleinrelay.cells.model import Limits
from mulleinrelay.lab.runner import Lab
from mulleinrelay.lab.scenario import parse_scenario

from .versions import ROOT, unpack

BASELINE_VERSION = "b88d23d"  # a version without cells
ROUNDS, REQUESTS_PER_ROUND = 60, 100  # of a comparison of CPU time

FLOOD_SCENARIO = """
[lab]
seconds = 9
directors = 2
seed = 3
cells = {cells}
[fleet]
caches = s-1 s-2 s-3 s-4
capacity = 100
fill_cost = 3
[assignment]
default_tenant = gamma
[cell north]
caches = s-1 s-2
[cell south]
caches = s-3 s-4
[tenant acme]
cell = north
[tenant beta]
cell = north
[tenant gamma]
cell = south
[tenant delta]
cell = south
[load acme]
rate = 25
objects = 60
burst_at = 2
burst_until = 9
burst_rate = {burst}
connections = 8
tries = 1
[load beta]
rate = 25
objects = 60
[load gamma]
rate = 25
objects = 60
orders = 0.1
[load delta]
rate = 25
objects = 60
"""

MIGRATION_SCENARIO = """
[lab]
seconds = {seconds}
directors = 2
seed = 5
[fleet]
caches = s-1 s-2 s-3 s-4
capacity = 150
fill_cost = 4
parent_holds = 40
[assignment]
default_tenant = beta
spread_ms = 500
skew_ms = 100
[cell north]
caches = s-1 s-2
[cell south]
caches = s-3 s-4
[tenant acme]
cell = north
[tenant beta]
cell = south
[load acme]
rate = 80
objects = 500
orders = 0.05
connections = 4
[load beta]
rate = 20
objects = 60
[deed m1]
what = {what}
at = 8
tenants = acme
to = south
{spans}
"""


def play_flood(cells: bool, burst: float) -> dict:
    """Play a scenario in which one tenant sends a burst, and return its figures.

    Args:
        cells: Whether the directors use cells.
        burst: Requests per second of the tenant during the burst.

    Returns:
        The figures of the lab, and two about gamma and delta, the tenants of the other cell, from
        3 s to 8.5 s, within the burst. `others_share` is the number of their served requests over
        that of their sent requests. `others_p99` is the 99th percentile of the latency in ms.
    """
    lab = Lab(parse_scenario(FLOOD_SCENARIO.format(cells="yes" if cells else "no", burst=burst)))
    figures = lab.run()
    others = [
        generator
        for generator in lab.load_generators
        if generator.load.tenant in ("gamma", "delta")
    ]
    asked = served = 0
    delays = []
    for generator in others:
        asked += sum(3.0 <= at < 8.5 for at in generator.result.first_sent_at)
        served += sum(3.0 <= at < 8.5 for at in generator.result.served_at)
        delays += [delay for at, delay in generator.result.delays if 3.0 <= at < 8.5]
    delays.sort()
    return figures | {"others_share": served / asked, "others_p99": delays[int(0.99 * len(delays))]}


def play_migration(kind: str, seconds: float, spans: str, begins: float) -> dict:
    """Play a scenario in which a tenant is migrated, and return its figures.

    Args:
        kind: `move` for a gradual migration, `cut` for an immediate one.
        seconds: Duration of the scenario.
        spans: Lines of the scenario with the durations of the migration's stages; empty for `cut`.
        begins: Time in seconds since the start of the load, from which `cold_peak` and `origin`
            count.

    Returns:
        The figures of the lab, and two more: `cold_peak` is the highest load of a cache in the cell
        that receives the tenant, as a multiple of the cache's capacity at that time, and `origin`
        the number of fetches from the origin.
    """
    lab, before = (
        Lab(parse_scenario(MIGRATION_SCENARIO.format(what=kind, seconds=seconds, spans=spans))),
        {},
    )

    def reset_counts(lab: Lab, since: float) -> None:
        if since >= begins and not before:
            for name in ("s-3", "s-4"):
                lab.fleet.nodes[name].peak_load = 0.0
            before["origin"] = lab.fleet.origin_fetches

    figures = lab.run(reset_counts)
    return figures | {
        "cold_peak": max(lab.fleet.nodes[name].peak_load for name in ("s-3", "s-4")),
        "origin": lab.fleet.origin_fetches - before["origin"],
    }


class DirectorProcess:
    """A process that runs a director of some version and plays requests on command."""

    def __init__(self, folder: str, cells: str = "") -> None:
        """Start the process.

        Args:
            folder: Folder that holds the package of the version.
            cells: Path of a cells configuration; empty: the director has no cells.
        """
        script = os.path.join(ROOT, "benchmarks", "drive.py")
        self.process = subprocess.Popen(
            [sys.executable, script, folder, cells],
            text=True,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )

    def play(self, requests: int) -> float:
        """Play a number of requests, and return the CPU seconds that they took."""
        self.process.stdin.write(f"{requests}\n")
        self.process.stdin.flush()
        return float(self.process.stdout.readline())

    def stop(self) -> None:
        """End the process."""
        self.process.stdin.close()
        self.process.wait(10.0)
        self.process.stdout.close()


def compare_cpu(first: tuple[str, str], second: tuple[str, str]) -> tuple[float, float]:
    """Compare the CPU time of a request in two directors.

    The two processes play a few requests each in turn, so that other work on this machine slows
    both down equally.

    Args:
        first: Folder of the first director's package, and path of its cells configuration (empty:
            no cells).
        second: Folder and path for the second director.

    Returns:
        The CPU time of the first director over that of the second, and the CPU time of a request
        in the first director in microseconds. Both are medians of all rounds.
    """
    both = [DirectorProcess(*first), DirectorProcess(*second)]
    for director in both:
        director.play(500)
    rounds = [[director.play(REQUESTS_PER_ROUND) for director in both] for _ in range(ROUNDS)]
    for director in both:
        director.stop()
    return statistics.median(a / b for a, b in rounds), statistics.median(
        1e6 * a / REQUESTS_PER_ROUND for a, _ in rounds
    )


def unpack_baseline(folder: str) -> str | None:
    """Extract the version without cells into a folder, and return the folder.

    Returns:
        The folder; None if Git or the version is not available.
    """
    try:
        return unpack(BASELINE_VERSION, folder)
    except (OSError, subprocess.CalledProcessError):
        return None


def measure_cpu(folder: str) -> dict:
    """Compare the CPU time of a request with cells, without cells, and when it is rejected.

    Args:
        folder: Empty folder for the configurations and the version without cells.

    Returns:
        `off_cpu_ratio`: CPU time with the present version and cells disabled, over that with the
            version without cells; None if that version is not available.
        `on_cpu_ratio`: CPU time with cells enabled over that with cells disabled.
        `rejection_cost_ratio`: CPU time of a rejected request over that of a served one, with cells
            enabled.
        `on_us_a_request`, `rejection_us`: CPU time in microseconds of a served and of a rejected
            request, with cells enabled.
    """
    scenario = parse_scenario(FLOOD_SCENARIO.format(cells="yes", burst=25))
    files = {}
    for name, limits in (("on", Limits()), ("closed", Limits(rate=1e-6, burst=1.0))):
        tenants = scenario.assignment.tenants | {
            "acme": replace(scenario.assignment.tenants["acme"], limits=limits)
        }
        cells = {
            key: replace(cell, caches=caches)
            for (key, cell), caches in zip(
                scenario.assignment.cells.items(),
                (("s-00", "s-01", "s-02", "s-03", "s-04"), ()),
                strict=True,
            )
        }
        with open(os.path.join(folder, f"{name}-assignment.ini"), "w", encoding="utf-8") as file:
            file.write(
                format_assignment(replace(scenario.assignment, tenants=tenants, cells=cells))
            )
        files[name] = os.path.join(folder, f"{name}.ini")
        with open(files[name], "w", encoding="utf-8") as file:
            file.write(f"[cells]\nenabled = yes\nassignment = {name}-assignment.ini\n")
    baseline = unpack_baseline(os.path.join(folder, "before"))
    off = compare_cpu((ROOT, ""), (baseline, "")) if baseline else None
    on, rejected = (
        compare_cpu((ROOT, files["on"]), (ROOT, "")),
        compare_cpu((ROOT, files["closed"]), (ROOT, files["on"])),
    )
    return {
        "off_cpu_ratio": round(off[0], 4) if off else None,
        "on_cpu_ratio": round(on[0], 4),
        "rejection_cost_ratio": round(rejected[0], 4),
        "on_us_a_request": round(on[1], 1),
        "rejection_us": round(rejected[1], 1),
    }


def measure_assignment() -> dict:
    """Measure the assignment of 100,000 tenants to 100 cells.

    Returns:
        The fraction of the tenants that move when a cell is removed, including its own tenants,
        and the duration of the first assignment in seconds.
    """
    tenants, cells = (
        {f"tenant-{number}": 1.0 for number in range(100_000)},
        {f"c{n}": 1.0 for n in range(100)},
    )
    began = time.perf_counter()
    before = assign_with_load_bound(tenants, cells, 1.25)
    duration_s = time.perf_counter() - began
    del cells["c17"]
    after = assign_with_load_bound(tenants, cells, 1.25)
    return {
        "assign_100k_tenants_moved_share": round(
            sum(before[name] != cell for name, cell in after.items()) / len(tenants), 5
        ),
        "assign_100k_s": round(duration_s, 2),
    }


@click.command()
@click.option("--json", "as_json", is_flag=True, help="One JSON object as the last line.")
@click.option(
    "--only", type=click.Choice(["flood", "move", "costs", "assignment"]), help="Run one part only."
)
def main(as_json: bool, only: str | None) -> None:
    """Measure what cells cost, and how well they isolate tenants, on this machine."""
    result, runs = {}, []

    def report_progress(text: str) -> None:
        click.echo(text, err=True)

    if only in (None, "assignment"):
        report_progress("assigning 100,000 tenants to 100 cells")
        result |= measure_assignment()
    if only in (None, "costs"):
        report_progress("comparing the CPU time of requests")
        with tempfile.TemporaryDirectory() as folder:
            result |= measure_cpu(folder)
    if only in (None, "flood"):
        report_progress("playing a burst of one tenant, with and without cells")
        calm, flooded = play_flood(True, 25), play_flood(True, 500)
        calm_off, flooded_off = play_flood(False, 25), play_flood(False, 500)
        runs += [calm, flooded]
        result |= {
            "flood_others_ratio": round(flooded["others_share"] / calm["others_share"], 4),
            "flood_others_ratio_off": round(
                flooded_off["others_share"] / calm_off["others_share"], 4
            ),
            "flood_others_p99_ratio": round(flooded["others_p99"] / calm["others_p99"], 3),
            "flood_others_p99_ms": [round(calm["others_p99"], 1), round(flooded["others_p99"], 1)],
            "flood_others_p99_ratio_off": round(
                flooded_off["others_p99"] / calm_off["others_p99"], 3
            ),
        }
    if only in (None, "move"):
        report_progress("playing a gradual and an immediate migration")
        demand = migrations.MigrationDemand(
            rate=80.0, load=20.0, capacity=300.0, fill_cost=4.0, hit_ratio=0.97, object_count=500.0
        )
        shift_ms = round(migrations.min_shift_duration(demand))
        spans = f"warm_ms = 2000\nshift_ms = {shift_ms}\ndrain_ms = 2000"
        seconds = 8 + 1 + 2 + shift_ms / 1000.0 + 3
        gradual, immediate = (
            play_migration("move", seconds, spans, 8.0),
            play_migration("cut", seconds, "", 8.0),
        )
        runs += [gradual, immediate]
        result |= {
            "move_cold_peak": round(gradual["cold_peak"], 3),
            "move_cut_cold_peak": round(immediate["cold_peak"], 3),
            "move_origin_fetches_ratio": round(gradual["origin"] / max(1, immediate["origin"]), 3),
            "move_origin_fetches": [gradual["origin"], immediate["origin"]],
            "move_shift_ms": shift_ms,
        }
    if runs:
        result |= {
            "orders_run_twice": sum(run["orders_run_twice"] for run in runs),
            "orders_run": sum(run["orders_run"] for run in runs),
            "requests_lost": sum(
                run["total"]["no_answer"] + run["total"]["cut_off"] for run in runs
            ),
            "answers_twice": sum(run["total"]["answers_twice"] for run in runs),
            "no_answer_and_cut_off_by_run": [
                [run["total"]["no_answer"], run["total"]["cut_off"]] for run in runs
            ],
        }
    if as_json:
        click.echo(json.dumps(result))
    else:
        for name, value in result.items():
            click.echo(f"{name:<36} {value}")


if __name__ == "__main__":
    main()
