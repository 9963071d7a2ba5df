"""The commands and options of the command line.

Each command imports the modules that it needs when it is called, so that commands that only read
files do not load the server.
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

# Exit code for wrong usage or an invalid file; the help text of `main` lists all exit codes.
EXIT_BAD_CONFIGURATION = 2

# Command groups and their modules; each module defines the group under the same name.
MODULE_BY_GROUP = {
    "cells": "mulleinrelay.cells.commands",
    "ctl": "mulleinrelay.management.commands",
    "lab": "mulleinrelay.lab.commands",
    "fleet": "mulleinrelay.membership.commands",
}
# Extras (optional dependencies) of command groups. The extra of a group that is not listed has the
# name of the group.
EXTRA_BY_GROUP = {"ctl": "management"}


class LazyGroup(click.Group):
    """Command group that imports the module of a subgroup when the subgroup is first used."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands and subgroups, for the help text."""
        return sorted({*super().list_commands(ctx), *MODULE_BY_GROUP})

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Return the command or subgroup of this name; None if it does not exist.

        Raises:
            click.ClickException: If a library that the command requires is missing.
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
    """Run and manage a router in front of tiers of caches.

    Exit codes: 0 success; 1 the start or the command failed; 2 wrong usage or an invalid file; 3
    the change would violate a rule, which the message names.
    """


CONFIG = click.option(
    "--config", metavar="FILE", help="The platform's configuration (default: $LB_CONFIG)."
)
CELLS = click.option(
    "--cells",
    metavar="FILE",
    envvar="MULLEINRELAY_CELLS",
    help="Cell configuration, as in deploy/cells.ini (default: $MULLEINRELAY_CELLS; none: off).",
)
MANAGEMENT = click.option(
    "--management",
    metavar="FILE",
    envvar="MULLEINRELAY_MANAGEMENT",
    help="Management configuration, as in deploy/management.ini "
    "(default: $MULLEINRELAY_MANAGEMENT; none: off).",
)
FLEET = click.option(
    "--fleet",
    metavar="FILE",
    envvar="MULLEINRELAY_FLEET",
    help="Fleet configuration, as in deploy/fleet.ini (default: $MULLEINRELAY_FLEET; none: off).",
)


@main.command()
@CONFIG
@CELLS
@MANAGEMENT
@FLEET
def serve(config: str | None, cells: str | None, management: str | None, fleet: str | None) -> None:
    """Run one director until SIGTERM; SIGHUP reloads the configuration."""
    from .process import serve

    sys.exit(serve(config, cells, management, fleet))


@main.command()
@CONFIG
@CELLS
@MANAGEMENT
@FLEET
def check(config: str | None, cells: str | None, management: str | None, fleet: str | None) -> None:
    """Check the configuration files and print a summary or the first error."""
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


def _load_or_exit(load: Callable[[PathType], Loaded], path: PathType) -> Loaded:
    """Load a file; print the error and exit if the file cannot be read or is invalid."""
    try:
        return load(path)
    except ConfigError as error:
        click.echo(f"mulleinrelay: {error}", err=True)
        sys.exit(EXIT_BAD_CONFIGURATION)


@main.command()
def version() -> None:
    """Print the version."""
    click.echo(f"mulleinrelay {VERSION}")
