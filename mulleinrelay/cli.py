"""The command line. What serves and what only reads files import nothing of one another: each
command draws in its own part when it is called.
"""

import os
import sys
from collections.abc import Callable
from typing import Any

import click

from . import VERSION
from .errors import ConfigError

DONE, NOT_STARTED, BAD_CONFIGURATION, MISUSED, REFUSED = 0, 1, 2, 2, 3
GROUPS = {
    "cells": "mulleinrelay.cells.commands",
    "ctl": "mulleinrelay.management.commands",
    "lab": "mulleinrelay.lab.commands",
    "fleet": "mulleinrelay.membership.commands",
}


EXTRAS = {"ctl": "management"}


class Lazy(click.Group):
    """Groups of commands that are imported when they are wanted."""

    def list_commands(self, context: click.Context) -> list[str]:
        return sorted({*super().list_commands(context), *GROUPS})

    def get_command(self, context: click.Context, name: str) -> click.Command | None:
        if name not in GROUPS:
            return super().get_command(context, name)
        from importlib import import_module

        try:
            return getattr(import_module(GROUPS[name]), name)
        except ModuleNotFoundError as missing:
            if (missing.name or "").startswith("mulleinrelay"):
                raise
            extra = EXTRAS.get(name, name)
            raise click.ClickException(
                f"{name}: the library {missing.name} is missing; install mulleinrelay[{extra}]"
            ) from None


@click.command(cls=Lazy, context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """A router before tiers of caches.

    Exit codes: 0 done; 1 not started, or failed; 2 wrong use or a wrong file; 3 refused: the change
    would break a rule, and says which.
    """


CONFIG = click.option(
    "--config", metavar="FILE", help="The platform's configuration (default: $LB_CONFIG)."
)
CELLS = click.option(
    "--cells",
    metavar="FILE",
    envvar="MULLEINRELAY_CELLS",
    help="Our own file, as deploy/cells.ini (default: $MULLEINRELAY_CELLS; none: off).",
)


MANAGEMENT = click.option(
    "--management",
    metavar="FILE",
    envvar="MULLEINRELAY_MANAGEMENT",
    help="Our own file, as deploy/management.ini (default: $MULLEINRELAY_MANAGEMENT).",
)


FLEET = click.option(
    "--fleet",
    metavar="FILE",
    envvar="MULLEINRELAY_FLEET",
    help="Our own file, as deploy/fleet.ini (default: $MULLEINRELAY_FLEET; none: off).",
)


@main.command()
@CONFIG
@CELLS
@MANAGEMENT
@FLEET
def serve(config: str | None, cells: str | None, management: str | None, fleet: str | None) -> None:
    """Run one director until SIGTERM; SIGHUP reads the configuration again."""
    from .process import serve

    sys.exit(serve(config, cells, management, fleet))


@main.command()
@CONFIG
@CELLS
@MANAGEMENT
@FLEET
def check(config: str | None, cells: str | None, management: str | None, fleet: str | None) -> None:
    """Read the configurations and say what is wrong with them."""
    from .config.platform import load_config

    if (
        (cells is None and management is None and fleet is None)
        or config
        or os.environ.get("LB_CONFIG")
    ):
        try:
            start = load_config(os.environ, config)
        except ConfigError as wrong:
            faulty(str(wrong))
        click.echo(
            f"{start.name}: listens on {start.listen[0]}:{start.listen[1]}, "
            f"{len(start.request_classes)} request classes, {len(start.known_events)} events known, "
            f"up to number {start.last_event_number}"
        )
    if cells is not None:
        from .cells.config import load_cells_config
        from .cells.store import load_assignment

        own = held_in(load_cells_config, cells)
        charter = held_in(load_assignment, own.assignment_file) if own.assignment_file else None
        held = (
            f"version {charter.version}, {len(charter.cells)} cells, {len(charter.tenants)} tenants, "
            f"{len(charter.migrations)} moves"
            if charter
            else "no assignment"
        )
        click.echo(f"cells: {'on' if own.enabled else 'off'}, {held}")
    if management is not None:
        from .management.config import load_management_config

        managed = held_in(load_management_config, management)
        click.echo(
            f"management: {'on' if managed.enabled else 'off'}, {managed.listen}, "
            f"{'TLS' if managed.certificate else 'no TLS'}, {len(managed.authorization.roles_by_name)} roles"
        )
    if fleet is not None:
        from .membership.config import load_fleet_config

        talked = held_in(load_fleet_config, fleet)
        click.echo(
            f"fleet: {'on' if talked.enabled else 'off'}, {talked.fleet}, heard at "
            f"{talked.announce[0]}:{talked.announce[1]}, {len(talked.seeds)} seeds"
        )


def held_in(load: Callable[[str], Any], path: str) -> Any:
    """One of our own files; says what is wrong with it and exits."""

    try:
        return load(path)
    except ConfigError as wrong:
        faulty(str(wrong))


@main.command()
def version() -> None:
    """Print the version."""
    click.echo(f"mulleinrelay {VERSION}")


def faulty(text: str, code: int = BAD_CONFIGURATION) -> None:
    """Says what is wrong and exits."""
    click.echo(f"mulleinrelay: {text}", err=True)
    sys.exit(code)
