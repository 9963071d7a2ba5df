"""`mulleinrelay cells`: operators' commands on the assignment file and directors' records.

Docstrings of commands are their help texts. What commands print is in `presentation`.
"""

import os
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

import click
import orjson

from ..errors import ConfigError
from ..records import read_logs, read_states
from . import edits, explanations, migrations, presentation, store
from .command_options import (
    FILE,
    JSON,
    RECORDS,
    MigrationOptions,
    RolloutOptions,
    migration_options,
)
from .migrations import MigrationDemand
from .model import Assignment
from .presentation import Report

# Exit codes
UNUSABLE_FILE = 2
REJECTED = 3

PLANNED_NAME = "planned"  # of the migration that `plan` makes up


@click.group()
def cells() -> None:
    """Tenants, the cells they are confined to, and their moves.

    Exit codes: 0 done; 2 wrong use or a file that can't be used; 3 refused: nothing was changed,
    and why.
    """


@contextmanager
def exit_on_errors() -> Iterator[None]:
    """Ends the command with its exit code where a file or a change cannot be used."""
    try:
        yield
    except ConfigError as error:
        click.echo(f"mulleinrelay: {error}", err=True)
        sys.exit(UNUSABLE_FILE)
    except edits.EditRejectedError as error:
        click.echo(f"mulleinrelay: refused: {error}", err=True)
        sys.exit(REJECTED)
    except OSError as error:
        click.echo(f"mulleinrelay: {error.filename}: {error.strerror}", err=True)
        sys.exit(UNUSABLE_FILE)


def now_ms() -> float:
    """Returns Unix milliseconds."""
    return time.time() * 1000.0


def print_report(as_json: bool, report: Report) -> None:
    """Prints the output of a command."""
    if as_json:
        click.echo(orjson.dumps(report.data))
    else:
        for line in report.lines:
            click.echo(line)


def record_change(path: str, event: str, figures: dict[str, Any]) -> None:
    """Appends one JSON line to the log of operators' changes beside the file."""
    import structlog  # here, as most commands change nothing and start faster without it

    with open(f"{path}.log", "ab") as file:
        log = structlog.wrap_logger(
            structlog.BytesLogger(file),
            processors=[
                structlog.processors.TimeStamper(key="at"),
                structlog.processors.JSONRenderer(serializer=orjson.dumps),
            ],
        )
        log.info(event, **figures)


def change_assignment(
    path: str, event: str, edit: Callable[[Assignment], Assignment], **figures: Any
) -> Assignment:
    """Writes the next version and records who made it.

    Args:
        path: The assignment file.
        event: What is recorded as the change's kind.
        edit: Makes the next version of the present one.
        figures: What else is recorded.

    Returns:
        The version that was written.

    Raises:
        ConfigError: If the file cannot be used or written.
        EditRejectedError: If the change breaks a rule.
    """
    with store.exclusive_writer(path):
        old = store.load_assignment(path)
        new = store.save_assignment(path, edit(old), round(now_ms()), old.version)
    author = {"version": new.version, "by": os.environ.get("USER", "")}
    record_change(path, event, author | figures)
    return new


@cells.command("show")
@FILE
@RECORDS
@JSON
def show(path: str, records: str | None, as_json: bool) -> None:
    """Cells, tenants, moves and releases; with --records, what each director makes of them."""
    with exit_on_errors():
        assignment = store.load_assignment(path)
        now = now_ms()
        states = read_states(records) if records else []
    print_report(as_json, presentation.overview(assignment, states, now))


@cells.command("explain")
@click.argument("what")
@FILE
@click.option("--tenant", metavar="TENANT", help="Whose object it is, where WHAT is an object.")
@JSON
def explain(what: str, path: str, tenant: str | None, as_json: bool) -> None:
    """Why TENANT, or an OBJECT (16 hex digits) of --tenant, stands in its cell."""
    with exit_on_errors():
        assignment = store.load_assignment(path)
        now = now_ms()
        if tenant is None:
            found = explanations.explain_tenant(assignment, what, now)
        else:
            found = explanations.explain_object(assignment, tenant, _object_key(what), now)
    print_report(as_json, presentation.explanation(found))


def _object_key(text: str) -> int:
    try:
        return int(text, 16)
    except ValueError as error:
        raise click.UsageError(f"{text!r} is no object: 16 hex digits are wanted") from error


@cells.command("plan")
@click.argument("tenants", nargs=-1, required=True)
@click.option("--to", "target", required=True, metavar="CELL")
@FILE
@migration_options
@JSON
def plan(tenants: tuple[str, ...], target: str, path: str, as_json: bool, **given: Any) -> None:
    """What a move would look like; nothing is changed."""
    options = MigrationOptions(**given)
    with exit_on_errors():
        assignment = store.load_assignment(path)
        now = now_ms()
        demand = options.demand()
        durations = options.durations(demand)
        changed = edits.start_migration(assignment, PLANNED_NAME, tenants, target, now, durations)
    migration = changed.migrations[PLANNED_NAME]
    any_demand = MigrationDemand(0.0, 0.0, 1.0, 1.0, 1.0, 1.0)  # the fractions are the same for all
    projection = migrations.project_load(migration, demand or any_demand)
    peak_load = max(point.utilization for point in projection) if demand else None
    print_report(as_json, presentation.migration_plan(migration, durations, projection, peak_load))
    if peak_load is not None and peak_load >= 1.0:
        click.echo(
            "mulleinrelay: refused: the peak is over what the receiving caches may take; "
            "a longer shift",
            err=True,
        )
        sys.exit(REJECTED)


@cells.command("move")
@click.argument("tenants", nargs=-1, required=True)
@click.option("--to", "target", required=True, metavar="CELL")
@click.option("--name", metavar="NAME", help="Of the move; made up where left out.")
@FILE
@migration_options
@JSON
def move(
    tenants: tuple[str, ...], target: str, name: str | None, path: str, as_json: bool, **given: Any
) -> None:
    """Move TENANTS to another cell, in service."""
    options = MigrationOptions(**given)
    with exit_on_errors():
        durations = options.durations(options.demand())
        name = name or f"m{round(now_ms())}"
        new = change_assignment(
            path,
            "move",
            lambda old: edits.start_migration(old, name, tenants, target, now_ms(), durations),
            move=name,
            tenants=list(tenants),
            to=target,
        )
    migration = new.migrations[name]
    report = presentation.started_migration(new.version, migration, durations, now_ms())
    print_report(as_json, report)


def _add_edit_command(
    verb: str, help_text: str, edit: Callable[[Assignment, str, float], Assignment]
) -> None:
    """Adds a command that changes the migration or rollout NAME."""

    @cells.command(name=verb, help=help_text)
    @click.argument("name")
    @FILE
    @JSON
    def run(name: str, path: str, as_json: bool) -> None:
        """Runs the edit."""
        with exit_on_errors():
            new = change_assignment(path, verb, lambda old: edit(old, name, now_ms()), name=name)
        report = Report(
            {"version": new.version, "name": name}, [f"version {new.version}: {verb} {name}"]
        )
        print_report(as_json, report)


_add_edit_command("hold", "Stop a move where it is.", edits.pause_migration)
_add_edit_command("resume", "Let a held move go on.", edits.resume_migration)
_add_edit_command("abort", "Stop a move and let all go back.", edits.abort_migration)
_add_edit_command(
    "take-back",
    "Take a release back everywhere.",
    lambda old, name, _: edits.roll_back(old, name),
)
_add_edit_command(
    "keep",
    "Make a release's limits those of its tenants.",
    lambda old, name, _: edits.adopt_rollout(old, name),
)


@cells.command("end")
@FILE
@JSON
def end(path: str, as_json: bool) -> None:
    """Leave out moves that are over; their tenants stand in the table then."""
    with exit_on_errors():
        ended = edits.end_migrations(store.load_assignment(path), now_ms())[1]
        version = store.load_assignment(path).version
        if ended:
            new = change_assignment(
                path, "end", lambda old: edits.end_migrations(old, now_ms())[0], moves=ended
            )
            version = new.version
    report = Report({"version": version, "ended": ended}, [f"ended: {' '.join(ended) or 'none'}"])
    print_report(as_json, report)


@cells.command(
    "release",
    help="New limits or layout for tenants, one cell first; each director halts or takes back what "
    "harms that cell.",
)
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
def release(name: str, canary: str, path: str, as_json: bool, **given: Any) -> None:
    """Starts a rollout."""
    options = RolloutOptions(**given)
    with exit_on_errors():
        new = change_assignment(
            path,
            "release",
            lambda old: edits.start_rollout(old, options.rollout(old, name, canary, now_ms())),
            name=name,
            canary=canary,
        )
    report = Report(
        {"version": new.version, "release": name},
        [f"version {new.version}: release {name} goes to {canary} first"],
    )
    print_report(as_json, report)


@cells.command("log")
@FILE
@RECORDS
@click.option("--last", type=click.IntRange(1, 100_000), default=50, show_default=True)
@JSON
def log(path: str, records: str | None, last: int, as_json: bool) -> None:
    """What staff changed and, with --records, how directors followed, in order of time."""
    with exit_on_errors():
        lines = read_logs(records) if records else []
    lines += _operators_changes(path)
    lines = sorted(lines, key=lambda line: line["at"])[-last:]
    print_report(as_json, presentation.history(lines))


def _operators_changes(path: str) -> list[dict[str, Any]]:
    """Returns the changes that `record_change` recorded; lines that cannot be read are skipped."""
    try:
        with open(f"{path}.log", "rb") as file:
            texts = list(file)
    except FileNotFoundError:
        return []
    changes = []
    for text in texts:
        try:
            figures = orjson.loads(text)
        except ValueError:  # cut off by a power cut
            continue
        parts = [
            f"{key} {presentation.format_value(value)}"
            for key, value in figures.items()
            if key not in ("at", "by")
        ]
        changes.append({"director": "staff", "at": figures.get("at", 0.0), "text": " ".join(parts)})
    return changes
