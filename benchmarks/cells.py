"""What cells cost and bring: `python -m benchmarks.cells --json`, one JSON object as the last line,
under 3 minutes.

All nodes and clients are stand-ins of ours on this machine; a figure tells of directors before
these alone.
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

BEFORE = "b88d23d"  # the version without cells
TURNS, REQUESTS = 60, 100

FLOOD = """
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

MOVE = """
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


def flood(cells: bool, burst: float) -> dict:
    lab = Lab(parse_scenario(FLOOD.format(cells="yes" if cells else "no", burst=burst)))
    found = lab.run()
    others = [one for one in lab.load_generators if one.load.tenant in ("gamma", "delta")]
    asked = served = 0
    delays = []
    for one in others:
        asked += sum(3.0 <= at < 8.5 for at in one.result.asked_at)
        served += sum(3.0 <= at < 8.5 for at in one.result.served_at)
        delays += [delay for at, delay in one.result.delays if 3.0 <= at < 8.5]
    delays.sort()
    return found | {"others_share": served / asked, "others_p99": delays[int(0.99 * len(delays))]}


def move(what: str, seconds: float, spans: str, begins: float) -> dict:
    """Figures from `begins` s on: the peak on the receiving caches, and fetches at the origin."""
    lab, held = Lab(parse_scenario(MOVE.format(what=what, seconds=seconds, spans=spans))), {}

    def live(lab: Lab, since: float) -> None:
        if since >= begins and not held:
            for name in ("s-3", "s-4"):
                lab.fleet.nodes[name].peak_load = 0.0
            held["origin"] = lab.fleet.origin_fetches

    found = lab.run(live)
    return found | {
        "cold_peak": max(lab.fleet.nodes[name].peak_load for name in ("s-3", "s-4")),
        "origin": lab.fleet.origin_fetches - held["origin"],
    }


class Driven:
    """One version, or one way, of a director as a process that plays requests when it
    is told to.
    """

    def __init__(self, folder: str, cells: str = "") -> None:
        script = os.path.join(ROOT, "benchmarks", "drive.py")
        self.process = subprocess.Popen(
            [sys.executable, script, folder, cells],
            text=True,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )

    def play(self, requests: int) -> float:
        self.process.stdin.write(f"{requests}\n")
        self.process.stdin.flush()
        return float(self.process.stdout.readline())

    def end(self) -> None:
        self.process.stdin.close()
        self.process.wait(10.0)
        self.process.stdout.close()


def paired(one: tuple[str, str], other: tuple[str, str]) -> tuple[float, float]:
    """CPU a request of the first over the second, and the first's in microseconds: two processes
    that play in turn, a few requests at a time, so that what slows this machine slows both. The
    median over the turns.
    """
    both = [Driven(*one), Driven(*other)]
    for driven in both:
        driven.play(500)
    found = [[driven.play(REQUESTS) for driven in both] for _ in range(TURNS)]
    for driven in both:
        driven.end()
    return statistics.median(a / b for a, b in found), statistics.median(
        1e6 * a / REQUESTS for a, _ in found
    )


def before(folder: str) -> str | None:
    """The package as it was before cells; None where the history is not at hand."""
    try:
        return unpack(BEFORE, folder)
    except (OSError, subprocess.CalledProcessError):
        return None


def costs(folder: str) -> dict:
    scenario = parse_scenario(FLOOD.format(cells="yes", burst=25))
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
    older = before(os.path.join(folder, "before"))
    off = paired((ROOT, ""), (older, "")) if older else None
    on, closed = (
        paired((ROOT, files["on"]), (ROOT, "")),
        paired((ROOT, files["closed"]), (ROOT, files["on"])),
    )
    return {
        "off_cpu_ratio": round(off[0], 4) if off else None,
        "on_cpu_ratio": round(on[0], 4),
        "rejection_cost_ratio": round(closed[0], 4),
        "on_us_a_request": round(on[1], 1),
        "rejection_us": round(closed[1], 1),
    }


def assignment() -> dict:
    items, bins = (
        {f"tenant-{number}": 1.0 for number in range(100_000)},
        {f"c{n}": 1.0 for n in range(100)},
    )
    begun = time.perf_counter()
    first = assign_with_load_bound(items, bins, 1.25)
    took = time.perf_counter() - begun
    del bins["c17"]
    second = assign_with_load_bound(items, bins, 1.25)
    return {
        "assign_100k_tenants_moved_share": round(
            sum(first[name] != cell for name, cell in second.items()) / len(items), 5
        ),
        "assign_100k_s": round(took, 2),
    }


@click.command()
@click.option("--json", "as_json", is_flag=True, help="One JSON object as the last line.")
@click.option(
    "--only", type=click.Choice(["flood", "move", "costs", "assignment"]), help="One part alone."
)
def main(as_json: bool, only: str | None) -> None:
    """What cells cost and bring, on this machine."""
    found, runs = {}, []

    def say(text: str) -> None:
        click.echo(text, err=True)

    if only in (None, "assignment"):
        say("100,000 tenants over 100 cells")
        found |= assignment()
    if only in (None, "costs"):
        say("CPU a request, in pairs")
        with tempfile.TemporaryDirectory() as folder:
            found |= costs(folder)
    if only in (None, "flood"):
        say("a flood, with and without cells")
        calm, flooded = flood(True, 25), flood(True, 500)
        calm_off, flooded_off = flood(False, 25), flood(False, 500)
        runs += [calm, flooded]
        found |= {
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
        say("a move, and a cut-over at once")
        demand = migrations.MigrationDemand(
            rate=80.0, load=20.0, capacity=300.0, fill_cost=4.0, hit_ratio=0.97, object_count=500.0
        )
        shift = round(migrations.min_shift_duration(demand))
        spans = f"warm_ms = 2000\nshift_ms = {shift}\ndrain_ms = 2000"
        seconds = 8 + 1 + 2 + shift / 1000.0 + 3
        moved, cut = move("move", seconds, spans, 8.0), move("cut", seconds, "", 8.0)
        runs += [moved, cut]
        found |= {
            "move_cold_peak": round(moved["cold_peak"], 3),
            "move_cut_cold_peak": round(cut["cold_peak"], 3),
            "move_origin_fetches_ratio": round(moved["origin"] / max(1, cut["origin"]), 3),
            "move_origin_fetches": [moved["origin"], cut["origin"]],
            "move_shift_ms": shift,
        }
    if runs:
        found |= {
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
        click.echo(json.dumps(found))
    else:
        for name, value in found.items():
            click.echo(f"{name:<36} {value}")


if __name__ == "__main__":
    main()
