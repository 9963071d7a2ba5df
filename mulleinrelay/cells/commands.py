"""`mulleinrelay cells`: commands for operators on the assignment file and the directors' records.

The docstring of a command is its help text. The module `presentation` formats the output.
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

PLANNED_NAME = "planned"  # name of the migration that `plan` projects; it is never written


@click.group()
def cells() -> None:
    """Manage tenants, the cells that they are confined to, and their moves.

    Exit codes: 0 success; 2 wrong usage or an unusable file; 3 the change was refused for the
    reason shown, and nothing was changed.
    """


@contextmanager
def exit_on_errors() -> Iterator[None]:
    """Exit with a message and a code for an unusable file, a rejected change or unknown tenant."""
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
    """Return the current time, Unix milliseconds."""
    return time.time() * 1000.0


def print_report(as_json: bool, report: Report) -> None:
    """Print the output of a command, as JSON or as text."""
    if as_json:
        click.echo(orjson.dumps(report.data))
    else:
        for line in report.lines:
            click.echo(line)


def record_change(path: str, event: str, fields: dict[str, Any]) -> None:
    """Append a JSON line to `<path>.log`, the log of operators' changes to the file at `path`."""
    import structlog  # imported here, because most commands do not need it and start faster without

    with open(f"{path}.log", "ab") as file:
        log = structlog.wrap_logger(
            structlog.BytesLogger(file),
            processors=[
                structlog.processors.TimeStamper(key="at"),
                structlog.processors.JSONRenderer(serializer=orjson.dumps),
            ],
        )
        log.info(event, **fields)


def change_assignment(
    path: str, event: str, edit: Callable[[Assignment], Assignment], **fields: Any
) -> Assignment:
    """Write the next version of the assignment, and log the change with its author.

    Args:
        path: Path of the assignment file.
        event: Kind of the change, for the log.
        edit: Function that takes the present assignment and returns the changed one.
        fields: Further fields for the log.

    Returns:
        The assignment that was written.

    Raises:
        ConfigError: If the file is invalid or cannot be read or written, if another command is
            writing it, or if the new version would be invalid.
        EditRejectedError: If the change breaks a rule.
        OSError: If the log cannot be written; the new version has then been written already.
    """
    with store.exclusive_writer(path):
        old = store.load_assignment(path)
        new = store.save_assignment(path, edit(old), round(now_ms()), old.version)
    author = {"version": new.version, "by": os.environ.get("USER", "")}
    record_change(path, event, author | fields)
    return new


@cells.command("show")
@FILE
@RECORDS
@JSON
def show(path: str, records: str | None, as_json: bool) -> None:
    """Show cells, tenants, moves and releases; with --records, also the directors' states."""
    with exit_on_errors():
        assignment = store.load_assignment(path)
        now = now_ms()
        states = read_states(records) if records else []
    print_report(as_json, presentation.overview(assignment, states, now))


@cells.command("explain")
@click.argument("what")
@FILE
@click.option("--tenant", metavar="TENANT", help="Tenant of the object, if WHAT is an object.")
@JSON
def explain(what: str, path: str, tenant: str | None, as_json: bool) -> None:
    """Explain why a tenant, or an object (16 hex digits) of --tenant, belongs to its cell."""
    with exit_on_errors():
        assignment = store.load_assignment(path)
        now = now_ms()
        if tenant is None:
            result = explanations.explain_tenant(assignment, what, now)
        else:
            result = explanations.explain_object(assignment, tenant, _object_key(what), now)
    print_report(as_json, presentation.explanation(result))


def _object_key(text: str) -> int:
    try:
        return int(text, 16)
    except ValueError as error:
        raise click.UsageError(f"{text!r} is not an object: 16 hex digits expected") from error


@cells.command("plan")
@click.argument("tenants", nargs=-1, required=True)
@click.option("--to", "target", required=True, metavar="CELL")
@FILE
@migration_options
@JSON
def plan(
    tenants: tuple[str, ...], target: str, path: str, as_json: bool, **option_values: Any
) -> None:
    """Show the course of a move without starting it."""
    options = MigrationOptions(**option_values)
    with exit_on_errors():
        assignment = store.load_assignment(path)
        now = now_ms()
        demand = options.demand()
        durations = options.durations(demand)
        changed = edits.start_migration(assignment, PLANNED_NAME, tenants, target, now, durations)
    migration = changed.migrations[PLANNED_NAME]
    # Used if the demand is not known: only the migrated fractions of the projection are then shown,
    # and they do not depend on the demand.
    placeholder_demand = MigrationDemand(0.0, 0.0, 1.0, 1.0, 1.0, 1.0)
    projection = migrations.project_load(migration, demand or placeholder_demand)
    peak_load = max(point.utilization for point in projection) if demand else None
    print_report(as_json, presentation.migration_plan(migration, durations, projection, peak_load))
    if peak_load is not None and peak_load >= 1.0:
        click.echo(
            "mulleinrelay: refused: the peak is over the capacity of the receiving caches; "
            "choose a longer shift",
            err=True,
        )
        sys.exit(REJECTED)


@cells.command("move")
@click.argument("tenants", nargs=-1, required=True)
@click.option("--to", "target", required=True, metavar="CELL")
@click.option("--name", metavar="NAME", help="Name of the move; generated if not given.")
@FILE
@migration_options
@JSON
def move(
    tenants: tuple[str, ...],
    target: str,
    name: str | None,
    path: str,
    as_json: bool,
    **option_values: Any,
) -> None:
    """Move TENANTS to another cell without an interruption of service."""
    options = MigrationOptions(**option_values)
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
    """Register a command that edits the migration or rollout with a given name."""

    @cells.command(name=verb, help=help_text)
    @click.argument("name")
    @FILE
    @JSON
    def run(name: str, path: str, as_json: bool) -> None:
        """Apply the edit."""
        with exit_on_errors():
            new = change_assignment(path, verb, lambda old: edit(old, name, now_ms()), name=name)
        report = Report(
            {"version": new.version, "name": name}, [f"version {new.version}: {verb} {name}"]
        )
        print_report(as_json, report)


_add_edit_command("hold", "Pause a move.", edits.pause_migration)
_add_edit_command("resume", "Resume a held move.", edits.resume_migration)
_add_edit_command("abort", "Abort a move; all objects return.", edits.abort_migration)
_add_edit_command(
    "take-back",
    "Roll a release back in all cells.",
    lambda old, name, _: edits.roll_back(old, name),
)
_add_edit_command(
    "keep",
    "Make a release's limits the tenants' own limits and end the release.",
    lambda old, name, _: edits.adopt_rollout(old, name),
)


@cells.command("end")
@FILE
@JSON
def end(path: str, as_json: bool) -> None:
    """Remove completed moves; their tenants' entries then name the cell that they are in."""
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
    help="Roll out new limits or shuffle shards, starting with one cell; each director halts the "
    "release or rolls it back if it harms that cell.",
)
@click.argument("name")
@click.option("--canary", required=True, metavar="CELL")
@click.option(
    "--wave", "waves", multiple=True, metavar="CELL[,CELL]", help="Cells of one wave; repeatable."
)
@click.option("--wave-ms", type=float, default=60_000.0, show_default=True)
@click.option("--rate", type=float, default=0.0)
@click.option("--open-most", type=float, default=0.0)
@click.option("--retries", type=float, default=0.2, show_default=True)
@click.option("--shuffle", type=click.IntRange(0, 10_000), help="Caches per tenant; 0: all.")
@FILE
@JSON
def release(name: str, canary: str, path: str, as_json: bool, **option_values: Any) -> None:
    """Start a rollout."""
    options = RolloutOptions(**option_values)
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
    """Show the changes of operators and, with --records, those of directors, by time."""
    with exit_on_errors():
        lines = read_logs(records) if records else []
    lines += _operator_changes(path)
    lines = sorted(lines, key=lambda line: line["at"])[-last:]
    print_report(as_json, presentation.history(lines))


def _operator_changes(path: str) -> list[dict[str, Any]]:
    """Return the changes that `record_change` wrote, as lines for the output of `log`.

    Unreadable lines are skipped; without a log there are no changes.
    """
    try:
        with open(f"{path}.log", "rb") as file:
            texts = list(file)
    except FileNotFoundError:
        return []
    changes = []
    for text in texts:
        try:
            fields = orjson.loads(text)
        except ValueError:  # a power failure truncated the line
            continue
        parts = [
            f"{key} {presentation.format_value(value)}"
            for key, value in fields.items()
            if key not in ("at", "by")
        ]
        changes.append({"director": "staff", "at": fields.get("at", 0.0), "text": " ".join(parts)})
    return changes
