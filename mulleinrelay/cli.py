"""The command line: commands and options, nothing else.

What serves and what only reads files import nothing of one another: each command imports its own
part when it is called.
"""

import os
import sys
from collections.abc import Callable
from importlib import import_module
from typing import TypeVar

import click

from . import VERSION
from .errors import ConfigError

Loaded = TypeVar("Loaded")
PathType = TypeVar("PathType", str, str | None)

EXIT_BAD_CONFIGURATION = 2  # wrong use or a wrong file; the other codes are in `main`

# Groups of commands, each with the module that has it under the same name.
MODULE_BY_GROUP = {
    "cells": "mulleinrelay.cells.commands",
    "ctl": "mulleinrelay.management.commands",
    "lab": "mulleinrelay.lab.commands",
    "fleet": "mulleinrelay.membership.commands",
}
# Where the optional dependencies of a group have another name than the group.
EXTRA_BY_GROUP = {"ctl": "management"}


class LazyGroup(click.Group):
    """A group whose subgroups are imported when they are used."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Returns the names of all commands, for the help text."""
        return sorted({*super().list_commands(ctx), *MODULE_BY_GROUP})

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Returns a command; None if there is none of that name.

        Raises:
            click.ClickException: If a library that it needs is missing.
        """
        if cmd_name not in MODULE_BY_GROUP:
            return super().get_command(ctx, cmd_name)
        try:
            return getattr(import_module(MODULE_BY_GROUP[cmd_name]), cmd_name)
        except ModuleNotFoundError as error:
            if (error.name or "").startswith("mulleinrelay"):
                raise
            extra = EXTRA_BY_GROUP.get(cmd_name, cmd_name)
            raise click.ClickException(
                f"{cmd_name}: the library {error.name} is missing; install mulleinrelay[{extra}]"
            ) from error


@click.command(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
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
    has_own_file = cells is not None or management is not None or fleet is not None
    if config or os.environ.get("LB_CONFIG") or not has_own_file:
        _check_platform(config)
    if cells is not None:
        _check_cells(cells)
    if management is not None:
        _check_management(management)
    if fleet is not None:
        _check_fleet(fleet)


def _check_platform(path: str | None) -> None:
    from .config.platform import load_config

    config = _load_or_exit(lambda file: load_config(os.environ, file), path)
    click.echo(
        f"{config.name}: listens on {config.listen[0]}:{config.listen[1]}, "
        f"{len(config.request_classes)} request classes, {len(config.known_events)} events known, "
        f"up to number {config.last_event_number}"
    )


def _check_cells(path: str) -> None:
    from .cells.config import load_cells_config
    from .cells.store import load_assignment

    config = _load_or_exit(load_cells_config, path)
    summary = "no assignment"
    if config.assignment_file:
        assignment = _load_or_exit(load_assignment, config.assignment_file)
        summary = (
            f"version {assignment.version}, {len(assignment.cells)} cells, "
            f"{len(assignment.tenants)} tenants, {len(assignment.migrations)} moves"
        )
    click.echo(f"cells: {_on_or_off(config.enabled)}, {summary}")


def _check_management(path: str) -> None:
    from .management.config import load_management_config

    config = _load_or_exit(load_management_config, path)
    click.echo(
        f"management: {_on_or_off(config.enabled)}, {config.listen}, "
        f"{'TLS' if config.certificate else 'no TLS'}, "
        f"{len(config.authorization.roles_by_name)} roles"
    )


def _check_fleet(path: str) -> None:
    from .membership.config import load_fleet_config

    config = _load_or_exit(load_fleet_config, path)
    click.echo(
        f"fleet: {_on_or_off(config.enabled)}, {config.fleet}, heard at "
        f"{config.announce[0]}:{config.announce[1]}, {len(config.seeds)} seeds"
    )


def _on_or_off(is_enabled: bool) -> str:
    return "on" if is_enabled else "off"


def _load_or_exit(load_assignment: Callable[[PathType], Loaded], path: PathType) -> Loaded:
    """Loads a file; prints what is wrong with it and exits if it cannot be used."""
    try:
        return load_assignment(path)
    except ConfigError as error:
        click.echo(f"mulleinrelay: {error}", err=True)
        sys.exit(EXIT_BAD_CONFIGURATION)


@main.command()
def version() -> None:
    """Print the version."""
    click.echo(f"mulleinrelay {VERSION}")
