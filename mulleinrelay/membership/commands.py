"""Command group `mulleinrelay fleet`: shows the membership records that directors write."""

import os
import sys
import time
from collections.abc import Iterable

import click
import orjson

from ..errors import ConfigError
from ..records import Record, read_logs, read_states
from .config import load_fleet_config

EXIT_FAILED = 1
EXIT_INVALID_FILE = 2
MAX_RECORD_AGE_S = 5.0  # of a fresh record; a running director writes its records each second

MEMBERS_HELP = """Show each member and how many directors see it as alive, suspect, dead or left.
Differences show which part of the fleet receives no datagrams. Exit code 1 if no director writes
fresh records."""
BUDGETS_HELP = """Show the limits that directors share: the fraction of each limit that each
director may use (in thousandths), and the leases between directors. Exit code 1 if no director
writes fresh records."""


@click.group()
def fleet() -> None:
    """Show the fleet's members and quotas from its directors' records; FILE is the fleet file."""


FILE = click.argument("path", metavar="FILE")
JSON = click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
FROM = click.option(
    "--from", "witness", metavar="NAME", help="Show only the view of this director."
)


@fleet.command(help=MEMBERS_HELP)
@FILE
@FROM
@JSON
def members(path: str, witness: str | None, as_json: bool) -> None:
    """Show each member, and for each state the number of directors that see the member in it."""
    now = time.time()
    states = [
        state
        for state in read_states(_records_folder(path))
        if witness in (None, state["director"])
    ]
    fresh = [state for state in states if _is_fresh(state, now)]
    without_fresh_records = sorted(
        state["director"] for state in states if not _is_fresh(state, now)
    )
    summaries = _summarize_members(fresh)
    if as_json:
        output = {"witnesses": len(fresh), "silent": without_fresh_records, "members": summaries}
        click.echo(orjson.dumps(output))
    else:
        for member in summaries:
            counts = ", ".join(
                f"{state} {count}" for state, count in sorted(member["seen_by"].items())
            )
            click.echo(
                f"{member['name']:<16} {member['address']:<22} {member['location']:<12} {counts}"
            )
        if without_fresh_records:
            click.echo(f"no fresh records: {', '.join(without_fresh_records)}")
    if not fresh:
        sys.exit(EXIT_FAILED)


@fleet.command(help=BUDGETS_HELP)
@FILE
@JSON
def budgets(path: str, as_json: bool) -> None:
    """Show each shared limit, and what each director may use, wants, owns, lends and borrows."""
    now = time.time()
    fresh = [state for state in read_states(_records_folder(path)) if _is_fresh(state, now)]
    limits = _limits_by_director(fresh)
    if as_json:
        click.echo(orjson.dumps(limits))
    else:
        for name, by_director in sorted(limits.items()):
            _print_limit(name, by_director)
    if not limits:
        sys.exit(EXIT_FAILED)


@fleet.command()
@FILE
@click.argument("limit")
@JSON
def explain(path: str, limit: str, as_json: bool) -> None:
    """Explain each director's usable part of LIMIT: owned, lent and borrowed units."""
    found = {}
    for state in read_states(_records_folder(path)):
        if state.get("budgets") and limit in state["budgets"]["limits"]:
            age_s = round(time.time() - state.get("written", 0.0), 1)
            found[state["director"]] = state["budgets"]["limits"][limit] | {"written_s_ago": age_s}
    if not found:
        click.echo(f"mulleinrelay: no director has recorded a limit {limit!r}", err=True)
        sys.exit(EXIT_FAILED)
    if as_json:
        click.echo(orjson.dumps(found))
        return
    for director, part in sorted(found.items()):
        click.echo(f"{director}: {_explanation(part)}")


@fleet.command()
@FILE
@click.option(
    "--last",
    type=click.IntRange(1, 100_000),
    default=100,
    show_default=True,
    help="Number of lines to show.",
)
@JSON
def log(path: str, last: int, as_json: bool) -> None:
    """Show the membership events that all directors have recorded, in order of time."""
    for line in read_logs(_records_folder(path))[-last:]:
        if as_json:
            click.echo(orjson.dumps(line))
        else:
            at = time.strftime("%H:%M:%S", time.gmtime(line.get("at", 0.0)))
            click.echo(f"{at}  {line['director']:<12} {line.get('text', '')}")


def _records_folder(path: str) -> str:
    """Return the records folder that the fleet file at `path` names.

    Exit with an error if the file is invalid, names no folder, or the folder does not exist.
    """
    try:
        config = load_fleet_config(path)
    except ConfigError as error:
        click.echo(f"mulleinrelay: {error}", err=True)
        sys.exit(EXIT_INVALID_FILE)
    if not config.records_folder or not os.path.isdir(config.records_folder):
        click.echo(
            f"mulleinrelay: {path}: no records folder is configured (key `records`), or it does"
            " not exist yet",
            err=True,
        )
        sys.exit(EXIT_FAILED)
    return config.records_folder


def _is_fresh(state: Record, now: float) -> bool:
    """Return whether a director wrote its state record recently and has not left the fleet."""
    is_old = now - state.get("written", 0.0) > MAX_RECORD_AGE_S
    return not is_old and state.get("state") != "left"


def _summarize_members(states: Iterable[Record]) -> list[Record]:
    """Return one summary for each member in the state records, sorted by name and address.

    `seen_by` has the number of directors that see the member, by state. A member's own state record
    is counted there under `itself`.
    """
    found: dict[tuple[str, str], Record] = {}
    for state in states:
        _count_member(found, state, "itself")
        for member in state["members"]:
            _count_member(found, member, member["state"])
    return [found[key] for key in sorted(found)]


def _count_member(found: dict[tuple[str, str], Record], member: Record, seen_as: str) -> None:
    new: Record = {
        "name": member["name"],
        "address": member["address"],
        "location": member["location"],
        "life": 0,
        "seen_by": {},
    }
    summary = found.setdefault((member["name"], member["address"]), new)
    summary["life"] = max(summary["life"], member["life"])
    summary["seen_by"][seen_as] = summary["seen_by"].get(seen_as, 0) + 1


def _limits_by_director(states: Iterable[Record]) -> dict[str, Record]:
    limits: dict[str, Record] = {}
    for state in states:
        if not state.get("budgets"):
            continue
        for name, part in state["budgets"]["limits"].items():
            limits.setdefault(name, {})[state["director"]] = part
    return limits


def _print_limit(name: str, by_director: Record) -> None:
    usable = sum(part["usable"] for part in by_director.values())
    click.echo(f"{name}: {usable:.0f} of 1000 may be used, by {len(by_director)}")
    for director, part in sorted(by_director.items(), key=lambda item: -item[1]["usable"]):
        lent = sum(lease["part"] for lease in part["lent"])
        borrowed = sum(lease["part"] for lease in part["borrowed"])
        click.echo(
            f"  {director:<16} may use {part['usable']:7.2f}  wants {part['wanted']:7.2f}  "
            f"owns {part['own']:7.2f}  lent {lent:7.2f}  borrowed {borrowed:7.2f}"
        )


def _explanation(part: Record) -> str:
    borrowed = "".join(
        f" + {lease['part']} from {lease['from']} for {lease['for_ms']} ms"
        for lease in part["borrowed"]
    )
    lent = "".join(
        f"; {lease['part']} lent to {lease['to']} for {lease['for_ms']} ms more"
        for lease in part["lent"]
    )
    return (
        f"may use {part['usable']} = {part['at_home']} of its own {part['own']}{borrowed}{lent}"
        f" (written {part['written_s_ago']} s ago)"
    )
