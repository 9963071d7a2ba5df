"""Output of the commands of `mulleinrelay cells`, as text and as JSON; no I/O.

Texts and keys are an interface that people and scripts depend on, so they must not change. Some
differ from the names in the code, such as "move" for a migration and "release" for a rollout.
"""

import time
from dataclasses import dataclass
from typing import Any

from . import migrations
from .edits import StageDurations
from .hashing import home_cells
from .migrations import ProjectedLoad
from .model import Assignment, Migration

MAX_LISTED_TENANTS = 8  # tenants per cell in the text output
PLAN_POINTS = 10  # approximate number of points in time of a migration that `plan` shows


@dataclass(slots=True, frozen=True)
class Report:
    """The output of a command.

    Attributes:
        data: Output as a JSON object.
        lines: Lines of the output as text.
    """

    data: dict[str, Any]
    lines: list[str]


# show


def overview(assignment: Assignment, states: list[dict[str, Any]], now: float) -> Report:
    """Return the output of `show`.

    Args:
        assignment: Content of the assignment file.
        states: States of the directors from their records; empty if no records are read.
        now: The current time.
    """
    homes = home_cells(assignment)
    tenants_by_cell = {
        name: sorted(tenant for tenant, home in homes.items() if home == name)
        for name in assignment.cells
    }
    moves = {
        name: _migration_data(migration, now) for name, migration in assignment.migrations.items()
    }
    releases = {
        name: {"canary": rollout.canary, "taken_back": rollout.is_rolled_back}
        for name, rollout in assignment.rollouts.items()
    }
    data = {
        "version": assignment.version,
        "cells": tenants_by_cell,
        "moves": moves,
        "releases": releases,
        "directors": states,
    }
    lines = [
        f"version {assignment.version}, {len(homes)} tenants in {len(assignment.cells)} cells",
        *(_cell_line(name, tenants) for name, tenants in tenants_by_cell.items()),
        *(_migration_line(name, move) for name, move in moves.items()),
        *(_rollout_line(name, release) for name, release in releases.items()),
    ]
    for state in states:
        lines += _director_lines(state, assignment.version, now)
    return Report(data, lines)


def _migration_data(migration: Migration, now: float) -> dict[str, Any]:
    return {
        "from": migration.source,
        "to": migration.target,
        "tenants": list(migration.tenants),
        "stage": migrations.stage_at(migration, now).value,
        "share": round(migrations.migrated_fraction(migration, now), 4),
    }


def _cell_line(name: str, tenants: list[str]) -> str:
    listed = " ".join(tenants[:MAX_LISTED_TENANTS])
    ending = " ..." if len(tenants) > MAX_LISTED_TENANTS else ""
    return f"  cell {name}: {len(tenants)} tenants: {listed}{ending}"


def _migration_line(name: str, move: dict[str, Any]) -> str:
    tenants = " ".join(move["tenants"])
    return (
        f"  move {name}: {move['stage']}, {move['share']:.2f} of {tenants} from "
        f"{move['from']} in {move['to']}"
    )


def _rollout_line(name: str, release: dict[str, Any]) -> str:
    ending = ", taken back" if release["taken_back"] else ""
    return f"  release {name}: canary {release['canary']}{ending}"


def _director_lines(state: dict[str, Any], version: int, now: float) -> list[str]:
    is_outdated = state.get("version") != version
    note = " (NOT the file's version)" if is_outdated else ""
    age_s = (now - state.get("at", 0.0)) / 1000.0
    lines = [
        f"  director {state['director']}: version {state.get('version')}{note}, told "
        f"{age_s:.0f} s ago, {state.get('open', 0):.0f} open"
    ]
    for name, cell in state.get("cells", {}).items():
        caches = "LOST" if cell["lost"] else f"{len(cell['caches'])} caches"
        lines.append(
            f"    {name}: {caches}, open {cell['open']:.0f} of {cell['width']:.0f}, "
            f"served {cell['served']} of {cell['settled']}, turned away {cell['denied']}"
        )
    return lines


# explain


def explanation(data: dict[str, object]) -> Report:
    """Return the output of `explain`."""
    return Report(data, [f"{key}: {format_value(value)}" for key, value in data.items()])


def format_value(value: object) -> str:
    """Return a value as text, such as the items of a list or the keys and values of a dict.

    An empty list or dict gives "none".
    """
    if isinstance(value, list):
        return " ".join(str(item) for item in value) or "none"
    if isinstance(value, dict):
        return ", ".join(f"{key} {item}" for key, item in value.items()) or "none"
    return str(value)


# plan and move


def migration_plan(
    migration: Migration,
    durations: StageDurations,
    projection: list[ProjectedLoad],
    peak_load: float | None,
) -> Report:
    """Return the output of `plan`.

    Args:
        migration: The planned migration.
        durations: Durations of its stages.
        projection: Projected load over time.
        peak_load: Highest projected load, as a multiple of the capacity of the receiving caches;
            None if the demand, and so the load, is not known.
    """
    has_load = peak_load is not None
    points = _plan_points(projection, has_load)
    data = {
        "from": migration.source,
        "to": migration.target,
        "tenants": list(migration.tenants),
        "shift_ms": durations.shift,
        "lasts_ms": migrations.completes_at(migration) - migration.starts_at,
        "peak_load": peak_load,
        "course": points,
    }
    lines = [
        f"{' '.join(migration.tenants)}: {migration.source} -> {migration.target}, "
        f"warm {durations.warm_up:.0f} ms, shift {durations.shift:.0f} ms, "
        f"drain {durations.drain:.0f} ms"
    ]
    for point in points:
        load = f", receiving caches at {point['load']:.2f}" if has_load else ""
        lines.append(f"  +{point['after_ms']:>8} ms  {point['share']:.3f} over{load}")
    if peak_load is not None:
        lines.append(f"  peak {peak_load:.2f} of what they may take")
    return Report(data, lines)


def _plan_points(projection: list[ProjectedLoad], has_load: bool) -> list[dict[str, Any]]:
    step = max(1, len(projection) // PLAN_POINTS)
    return [
        {
            "after_ms": round(point.elapsed),
            "share": round(point.fraction, 3),
            "load": round(point.utilization, 3) if has_load else None,
        }
        for point in projection[::step]
    ]


def started_migration(
    version: int, migration: Migration, durations: StageDurations, now: float
) -> Report:
    """Return the output of `move`."""
    starts_in_s = (migration.starts_at - now) / 1000.0
    duration_s = (migrations.completes_at(migration) - migration.starts_at) / 1000.0
    name = migration.name
    return Report(
        {
            "version": version,
            "move": name,
            "starts": migration.starts_at,
            "shift_ms": durations.shift,
        },
        [
            f"version {version}: move {name} starts in {starts_in_s:.1f} s, takes "
            f"{duration_s:.0f} s; stop it with `cells abort {name}`"
        ],
    )


# log


def history(lines: list[dict[str, Any]]) -> Report:
    """Return the output of `log`.

    Args:
        lines: Log lines with the keys `at` (Unix seconds), `director` and `text`.
    """
    return Report({"lines": lines}, [_history_line(line) for line in lines])


def _history_line(line: dict[str, Any]) -> str:
    time_of_day = time.strftime("%H:%M:%S", time.gmtime(line["at"]))
    milliseconds = int(line["at"] % 1 * 1000)
    return f"{time_of_day}.{milliseconds:03d} {line['director']:<12} {line['text']}"
