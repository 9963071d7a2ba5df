"""`mulleinrelay fleet`: what directors believe of each other, from the records that they keep."""

import os
import sys
import time

import click
import orjson

from ..errors import ConfigError
from ..records import read_logs, read_states
from .config import load_fleet_config

FAILED, WRONG_FILE = 1, 2
OLD = 5.0  # s: a director that is there writes its records each second


@click.group()
def fleet() -> None:
    """Which directors are there, as they see each other, by the records that FILE names."""


FILE = click.argument("path", metavar="FILE")
JSON = click.option("--json", "as_json", is_flag=True, help="One JSON object.")
FROM = click.option("--from", "witness", metavar="NAME", help="As this director sees it.")


def folder_of(path: str) -> str:
    try:
        own = load_fleet_config(path)
    except ConfigError as wrong:
        click.echo(f"mulleinrelay: {wrong}", err=True)
        sys.exit(WRONG_FILE)
    if not own.records_folder or not os.path.isdir(own.records_folder):
        click.echo(
            f"mulleinrelay: {path}: no records are kept (key `records`), or none yet", err=True
        )
        sys.exit(FAILED)
    return own.records_folder


@fleet.command()
@FILE
@FROM
@JSON
def members(path: str, witness: str | None, as_json: bool) -> None:
    """Each member with how many directors take it for alive, suspected, dead or left; where they
    disagree, the part of the fleet that hears nothing shows. Exit code 1 where no director keeps
    fresh records.
    """
    now = time.time()
    states = [held for held in read_states(folder_of(path)) if witness in (None, held["director"])]
    fresh = [
        held
        for held in states
        if now - held.get("written", 0.0) <= OLD and held.get("state") != "left"
    ]
    found: dict[tuple[str, str], dict] = {}
    for held in fresh:
        for one in (held, *held["members"]):
            spot = found.setdefault(
                (one["name"], one["address"]),
                {
                    "name": one["name"],
                    "address": one["address"],
                    "location": one["location"],
                    "life": 0,
                    "seen_by": {},
                },
            )
            spot["life"] = max(spot["life"], one["life"])
            word = "itself" if one is held else one["state"]
            spot["seen_by"][word] = spot["seen_by"].get(word, 0) + 1
    silent = sorted(held["director"] for held in states if held not in fresh)
    told = {
        "witnesses": len(fresh),
        "silent": silent,
        "members": [found[spot] for spot in sorted(found)],
    }
    if as_json:
        click.echo(orjson.dumps(told))
    else:
        for one in told["members"]:
            seen = ", ".join(f"{word} {count}" for word, count in sorted(one["seen_by"].items()))
            click.echo(f"{one['name']:<16} {one['address']:<22} {one['location']:<12} {seen}")
        if told["silent"]:
            click.echo(f"no fresh records: {', '.join(told['silent'])}")
    if not fresh:
        sys.exit(FAILED)


@fleet.command()
@FILE
@JSON
def budgets(path: str, as_json: bool) -> None:
    """Each limit that directors share: who may use which part of it (thousandths of the whole), and
    what is lent to whom. Exit code 1 where no director keeps fresh records.
    """
    now, told = time.time(), {}
    for held in read_states(folder_of(path)):
        if (
            now - held.get("written", 0.0) > OLD
            or held.get("state") == "left"
            or not held.get("budgets")
        ):
            continue
        for name, limit in held["budgets"]["limits"].items():
            told.setdefault(name, {})[held["director"]] = limit
    if as_json:
        click.echo(orjson.dumps(told))
    else:
        for name, by in sorted(told.items()):
            may = sum(limit["usable"] for limit in by.values())
            click.echo(f"{name}: {may:.0f} of 1000 may be used, by {len(by)}")
            for director, limit in sorted(by.items(), key=lambda one: -one[1]["usable"]):
                lent, held = (
                    sum(one["part"] for one in limit[way]) for way in ("lent", "borrowed")
                )
                click.echo(
                    f"  {director:<16} may use {limit['usable']:7.2f}  wants {limit['wanted']:7.2f}  "
                    f"owns {limit['own']:7.2f}  lent {lent:7.2f}  borrowed {held:7.2f}"
                )
    if not told:
        sys.exit(FAILED)


@fleet.command()
@FILE
@click.argument("limit")
@JSON
def explain(path: str, limit: str, as_json: bool) -> None:
    """Why each director may use what it may of LIMIT: what it owns, has out, and has from whom."""
    found = {}
    for held in read_states(folder_of(path)):
        if held.get("budgets") and limit in held["budgets"]["limits"]:
            age = round(time.time() - held.get("written", 0.0), 1)
            found[held["director"]] = held["budgets"]["limits"][limit] | {"written_s_ago": age}
    if not found:
        click.echo(f"mulleinrelay: no director has written of a limit {limit!r}", err=True)
        sys.exit(FAILED)
    if as_json:
        return click.echo(orjson.dumps(found))
    for director, held in sorted(found.items()):
        click.echo(
            f"{director}: may use {held['usable']} = {held['at_home']} of its own {held['own']}"
            + "".join(
                f" + {one['part']} from {one['from']} for {one['for_ms']} ms"
                for one in held["borrowed"]
            )
            + "".join(
                f"; {one['part']} lent to {one['to']} for {one['for_ms']} ms more"
                for one in held["lent"]
            )
            + f" (written {held['written_s_ago']} s ago)"
        )


@fleet.command()
@FILE
@click.option(
    "--last", type=click.IntRange(1, 100_000), default=100, show_default=True, help="Lines."
)
@JSON
def log(path: str, last: int, as_json: bool) -> None:
    """What directors have seen of each other, of all of them by time."""
    for line in read_logs(folder_of(path))[-last:]:
        if as_json:
            click.echo(orjson.dumps(line))
        else:
            at = time.strftime("%H:%M:%S", time.gmtime(line.get("at", 0.0)))
            click.echo(f"{at}  {line['director']:<12} {line.get('text', '')}")
