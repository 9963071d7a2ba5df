"""`mulleinrelay cells`: for staff, on the assignment file and on what directors tell of
themselves.
"""

import os
import sys
import time
from collections.abc import Callable
from contextlib import contextmanager
from typing import Any

import click
import orjson

from ..errors import ConfigError
from ..records import read_logs, read_states
from . import edits, migrations, store
from .hashing import home_cells
from .migrations import MigrationDemand
from .model import Assignment, Limits, Rollout

BAD_FILE, REFUSED = 2, 3

FILE = click.option(
    "--file",
    "path",
    metavar="FILE",
    envvar="MULLEINRELAY_ASSIGNMENT",
    required=True,
    help="The assignment file (default: $MULLEINRELAY_ASSIGNMENT).",
)
RECORDS = click.option("--records", metavar="FOLDER", help="Where directors keep their records.")
JSON = click.option("--json", "as_json", is_flag=True, help="One JSON object instead of text.")


@click.group()
def cells() -> None:
    """Tenants, the cells they are confined to, and their moves.

    Exit codes: 0 done; 2 wrong use or a file that can't be used; 3 refused: nothing was changed,
    and why.
    """


@contextmanager
def faults():
    """Ends the command with its exit code where a file or a change is no good."""
    try:
        yield
    except ConfigError as wrong:
        click.echo(f"mulleinrelay: {wrong}", err=True)
        sys.exit(BAD_FILE)
    except edits.EditRejectedError as why:
        click.echo(f"mulleinrelay: refused: {why}", err=True)
        sys.exit(REFUSED)
    except OSError as wrong:
        click.echo(f"mulleinrelay: {wrong.filename}: {wrong.strerror}", err=True)
        sys.exit(BAD_FILE)


def now_ms() -> float:
    return time.time() * 1000.0


def tell(as_json: bool, whole: dict[str, Any], lines: list[str]) -> None:
    if as_json:
        click.echo(orjson.dumps(whole))
    else:
        for line in lines:
            click.echo(line)


def audit(path: str) -> Any:
    """The log of what staff changed, beside the file: one JSON line a change."""
    import structlog

    file = open(f"{path}.log", "ab")  # closed with the process
    return structlog.wrap_logger(
        structlog.BytesLogger(file),
        processors=[
            structlog.processors.TimeStamper(key="at"),
            structlog.processors.JSONRenderer(serializer=orjson.dumps),
        ],
    )


def change(
    path: str, what: str, make: Callable[[Assignment], Assignment], **figures: Any
) -> Assignment:
    """Writes the next version and notes who did what in the log; raises ConfigError,
    changes.RefusalError."""
    with store.exclusive_writer(path):
        old = store.load_assignment(path)
        new = store.save_assignment(path, make(old), round(now_ms()), old.version)
    audit(path).info(what, version=new.version, by=os.environ.get("USER", ""), **figures)
    return new


@cells.command()
@FILE
@RECORDS
@JSON
def show(path: str, records: str | None, as_json: bool) -> None:
    """Cells, tenants, moves and releases; with --records, what each director makes of them."""
    with faults():
        charter, now = store.load_assignment(path), now_ms()
        at, states = home_cells(charter), read_states(records) if records else []
    held = {
        name: sorted(tenant for tenant, home in at.items() if home == name)
        for name in charter.cells
    }
    going = {
        name: {
            "from": move.source,
            "to": move.target,
            "tenants": list(move.tenants),
            "stage": migrations.stage_at(move, now).value,
            "share": round(migrations.migrated_fraction(move, now), 4),
        }
        for name, move in charter.migrations.items()
    }
    whole = {
        "version": charter.version,
        "cells": held,
        "moves": going,
        "releases": {
            name: {"canary": one.canary, "taken_back": one.is_rolled_back}
            for name, one in charter.rollouts.items()
        },
        "directors": states,
    }
    lines = [f"version {charter.version}, {len(at)} tenants in {len(charter.cells)} cells"]
    for name, tenants in held.items():
        few = " ".join(tenants[:8]) + (" ..." if len(tenants) > 8 else "")
        lines.append(f"  cell {name}: {len(tenants)} tenants: {few}")
    lines += [
        f"  move {name}: {one['stage']}, {one['share']:.2f} of {' '.join(one['tenants'])} from "
        f"{one['from']} in {one['to']}"
        for name, one in going.items()
    ]
    lines += [
        f"  release {name}: canary {one.canary}{', taken back' if one.is_rolled_back else ''}"
        for name, one in charter.rollouts.items()
    ]
    for state in states:
        behind = "" if state.get("version") == charter.version else " (NOT the file's version)"
        old = now - state.get("at", 0.0)
        lines.append(
            f"  director {state['director']}: version {state.get('version')}{behind}, told "
            f"{old / 1000.0:.0f} s ago, {state.get('open', 0):.0f} open"
        )
        for name, cell in state.get("cells", {}).items():
            lines.append(
                f"    {name}: {'LOST' if cell['lost'] else str(len(cell['caches'])) + ' caches'}, open "
                f"{cell['open']:.0f} of {cell['width']:.0f}, served {cell['served']} of "
                f"{cell['settled']}, turned away {cell['denied']}"
            )
    tell(as_json, whole, lines)


@cells.command()
@click.argument("what")
@FILE
@click.option("--tenant", metavar="TENANT", help="Whose object it is, where WHAT is an object.")
@JSON
def explain(what: str, path: str, tenant: str | None, as_json: bool) -> None:
    """Why TENANT, or an OBJECT (16 hex digits) of --tenant, stands in its cell."""
    with faults():
        charter, now = store.load_assignment(path), now_ms()
        if tenant is None:
            found = edits.explain_tenant(charter, what, now)
        else:
            try:
                key = int(what, 16)
            except ValueError:
                raise click.UsageError(f"{what!r} is no object: 16 hex digits are wanted") from None
            found = edits.explain_object(charter, tenant, key, now)
    tell(as_json, found, [f"{key}: {_worded(value)}" for key, value in found.items()])


def _worded(value: Any) -> str:
    if isinstance(value, list):
        return " ".join(str(one) for one in value) or "none"
    if isinstance(value, dict):
        return ", ".join(f"{key} {one}" for key, one in value.items()) or "none"
    return str(value)


def move_options(command: Any) -> Any:
    """What the receiving caches are to bear, at each location, and how long the stages are."""
    for name, default, text in (
        ("--drain-ms", 30_000.0, "The old caches still fill so long."),
        ("--shift-ms", None, "Reckoned from the demand where left out."),
        ("--warm-ms", 10_000.0, "The first few objects go over so long."),
    ):
        command = click.option(
            name, type=float, default=default, show_default=default is not None, help=text
        )(command)
    for name, default, text in reversed(
        (
            ("--rate", None, "Requests a second of the tenants, at the peak."),
            ("--capacity", None, "What the receiving caches can do, in hits a second."),
            ("--load", 0.0, "What they do already."),
            ("--fill-cost", 4.0, "What a fill costs beside a hit."),
            ("--hit-share", 0.9, "Share of hits once warm."),
            ("--objects", None, "Objects of the tenants that are asked for in some minutes."),
        )
    ):
        command = click.option(
            name, type=float, default=default, show_default=default is not None, help=text
        )(command)
    return command


def demand_from(
    rate: float | None,
    capacity: float | None,
    load: float,
    fill_cost: float,
    hit_share: float,
    objects: float | None,
) -> MigrationDemand | None:
    told = [one is not None for one in (rate, capacity, objects)]
    if not any(told):
        return None
    if not all(told):
        raise click.UsageError("--rate, --capacity and --objects go together")
    return MigrationDemand(rate, load, capacity, fill_cost, hit_share, objects)


def spans_for(
    demand: MigrationDemand | None, warm: float, shift: float | None, drain: float
) -> edits.StageDurations:
    if shift is not None:
        return edits.StageDurations(warm, shift, drain)
    if demand is None:
        raise click.UsageError(
            "either --shift-ms, or --rate, --capacity and --objects, from which it is reckoned"
        )
    return edits.durations_for_demand(demand, warm, drain)


@cells.command()
@click.argument("tenants", nargs=-1, required=True)
@click.option("--to", "target", required=True, metavar="CELL")
@FILE
@move_options
@JSON
def plan(
    tenants: tuple[str, ...],
    target: str,
    path: str,
    warm_ms: float,
    shift_ms: float | None,
    drain_ms: float,
    as_json: bool,
    **demand_told: Any,
) -> None:
    """What a move would look like; nothing is changed."""
    with faults():
        charter, now = store.load_assignment(path), now_ms()
        demand = demand_from(**demand_told)
        spans = spans_for(demand, warm_ms, shift_ms, drain_ms)
        move = edits.start_migration(charter, "planned", tenants, target, now, spans).migrations[
            "planned"
        ]
    course = migrations.project_load(move, demand or MigrationDemand(0.0, 0.0, 1.0, 1.0, 1.0, 1.0))
    peak = max(point.utilization for point in course) if demand else None
    told = [
        {
            "after_ms": round(point.elapsed),
            "share": round(point.fraction, 3),
            "load": round(point.utilization, 3) if demand else None,
        }
        for point in course[:: max(1, len(course) // 10)]
    ]
    whole = {
        "from": move.source,
        "to": target,
        "tenants": list(tenants),
        "shift_ms": spans.shift,
        "lasts_ms": migrations.completes_at(move) - move.starts_at,
        "peak_load": peak,
        "course": told,
    }
    lines = [
        f"{' '.join(tenants)}: {move.source} -> {target}, warm {spans.warm_up:.0f} ms, shift {spans.shift:.0f} "
        f"ms, drain {spans.drain:.0f} ms"
    ]
    lines += [
        f"  +{one['after_ms']:>8} ms  {one['share']:.3f} over"
        + (f", receiving caches at {one['load']:.2f}" if demand else "")
        for one in told
    ]
    lines += [f"  peak {peak:.2f} of what they may take"] if demand else []
    tell(as_json, whole, lines)
    if peak is not None and peak >= 1.0:
        click.echo(
            "mulleinrelay: refused: the peak is over what the receiving caches may take; a longer shift",
            err=True,
        )
        sys.exit(REFUSED)


@cells.command()
@click.argument("tenants", nargs=-1, required=True)
@click.option("--to", "target", required=True, metavar="CELL")
@click.option("--name", metavar="NAME", help="Of the move; made up where left out.")
@FILE
@move_options
@JSON
def move(
    tenants: tuple[str, ...],
    target: str,
    name: str | None,
    path: str,
    warm_ms: float,
    shift_ms: float | None,
    drain_ms: float,
    as_json: bool,
    **demand_told: Any,
) -> None:
    """Move TENANTS to another cell, in service."""
    with faults():
        spans = spans_for(demand_from(**demand_told), warm_ms, shift_ms, drain_ms)
        name = name or f"m{round(now_ms())}"
        new = change(
            path,
            "move",
            lambda old: edits.start_migration(old, name, tenants, target, now_ms(), spans),
            move=name,
            tenants=list(tenants),
            to=target,
        )
    made = new.migrations[name]
    tell(
        as_json,
        {"version": new.version, "move": name, "starts": made.starts_at, "shift_ms": spans.shift},
        [
            f"version {new.version}: move {name} starts in {(made.starts_at - now_ms()) / 1000.0:.1f} s, takes "
            f"{(migrations.completes_at(made) - made.starts_at) / 1000.0:.0f} s; stop it with `cells abort {name}`"
        ],
    )


def _simple(verb: str, says: str, make: Callable[[Assignment, str, float], Assignment]) -> None:
    @cells.command(name=verb, help=says)
    @click.argument("name")
    @FILE
    @JSON
    def run(name: str, path: str, as_json: bool) -> None:
        with faults():
            new = change(path, verb, lambda old: make(old, name, now_ms()), name=name)
        tell(
            as_json,
            {"version": new.version, "name": name},
            [f"version {new.version}: {verb} {name}"],
        )


_simple("hold", "Stop a move where it is.", edits.pause_migration)
_simple("resume", "Let a held move go on.", edits.resume_migration)
_simple("abort", "Stop a move and let all go back.", edits.abort_migration)
_simple(
    "take-back",
    "Take a release back everywhere.",
    lambda old, name, _: edits.roll_back(old, name),
)
_simple(
    "keep",
    "Make a release's limits those of its tenants.",
    lambda old, name, _: edits.adopt_rollout(old, name),
)


@cells.command()
@FILE
@JSON
def end(path: str, as_json: bool) -> None:
    """Leave out moves that are over; their tenants stand in the table then."""
    with faults():
        done = edits.end_migrations(store.load_assignment(path), now_ms())[1]
        version = store.load_assignment(path).version
        if done:
            version = change(
                path, "end", lambda old: edits.end_migrations(old, now_ms())[0], moves=done
            ).version
    tell(as_json, {"version": version, "ended": done}, [f"ended: {' '.join(done) or 'none'}"])


@cells.command()
@click.argument("name")
@click.option("--canary", required=True, metavar="CELL")
@click.option(
    "--wave", "waves", multiple=True, metavar="CELL[,CELL]", help="One for each wave, in order."
)
@click.option("--wave-ms", type=float, default=60_000.0, show_default=True)
@click.option("--rate", type=float, default=0.0)
@click.option("--open-most", type=float, default=0.0)
@click.option("--retries", type=float, default=0.2, show_default=True)
@click.option("--shuffle", type=click.IntRange(0, 10_000), help="Caches of each tenant; 0: all.")
@FILE
@JSON
def release(
    name: str,
    canary: str,
    waves: tuple[str, ...],
    wave_ms: float,
    rate: float,
    open_most: float,
    retries: float,
    shuffle: int | None,
    path: str,
    as_json: bool,
) -> None:
    """New limits or layout for tenants, one cell first; each director halts or takes back what
    harms that cell.
    """
    with faults():
        new = change(
            path,
            "release",
            lambda old: edits.start_rollout(
                old,
                Rollout(
                    name,
                    canary,
                    tuple(tuple(wave.replace(",", " ").split()) for wave in waves),
                    now_ms() + old.propagation_time + old.clock_skew,
                    wave_ms,
                    Limits(rate=rate, max_open_requests=open_most, retry_ratio=retries),
                    shuffle_shards=-1 if shuffle is None else shuffle,
                ),
            ),
            name=name,
            canary=canary,
        )
    tell(
        as_json,
        {"version": new.version, "release": name},
        [f"version {new.version}: release {name} goes to {canary} first"],
    )


@cells.command()
@FILE
@RECORDS
@click.option("--last", type=click.IntRange(1, 100_000), default=50, show_default=True)
@JSON
def log(path: str, records: str | None, last: int, as_json: bool) -> None:
    """What staff changed and, with --records, how directors followed, in order of time."""
    with faults():
        lines = read_logs(records) if records else []
    try:
        with open(f"{path}.log", "rb") as file:
            for line in file:
                try:
                    held = orjson.loads(line)
                except ValueError:
                    continue
                what = " ".join(
                    f"{key} {_worded(value)}"
                    for key, value in held.items()
                    if key not in ("at", "by")
                )
                lines.append({"director": "staff", "at": held.get("at", 0.0), "text": what})
    except FileNotFoundError:
        pass
    lines = sorted(lines, key=lambda line: line["at"])[-last:]
    tell(
        as_json,
        {"lines": lines},
        [
            f"{time.strftime('%H:%M:%S', time.gmtime(line['at']))}.{int(line['at'] % 1 * 1000):03d} "
            f"{line['director']:<12} {line['text']}"
            for line in lines
        ],
    )
