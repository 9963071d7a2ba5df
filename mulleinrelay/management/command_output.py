"""Runs an operation on one or several directors and prints the results, for `mulleinrelay ctl`."""

import json
import sys
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, NoReturn, TypeVar

import click

from .gnmi_client import ConnectionOptions, GnmiCallError, GnmiTarget

EXIT_DONE = 0
EXIT_UNREACHED = 1
EXIT_MISUSED = 2
EXIT_REJECTED = 3
UNREACHED_CODES = ("UNAVAILABLE", "DEADLINE_EXCEEDED", "CANCELLED", "UNKNOWN")

Result = TypeVar("Result")


@dataclass(slots=True, frozen=True)
class CommandSettings:
    """The options of `ctl` itself; click's context holds them for its commands.

    Attributes:
        addresses: Directors as host:port.
        as_json: Whether to print JSON.
        options: How the directors are reached.
    """

    addresses: tuple[str, ...]
    as_json: bool
    options: ConnectionOptions


def exit_code_of(error: Exception) -> int:
    """Returns whether a director could not be reached, or (any other error) rejected the call."""
    is_unreached = isinstance(error, GnmiCallError) and error.code in UNREACHED_CODES
    return EXIT_UNREACHED if is_unreached else EXIT_REJECTED


def run_on_each(
    settings: CommandSettings,
    operation: Callable[[GnmiTarget], Result],
    show: Callable[[str, Result], None],
) -> NoReturn:
    """Runs an operation on each director in turn, prints the results and exits.

    Args:
        settings: The directors and the form of the output.
        operation: What to do with one director; its result must fit into JSON.
        show: Prints the address and result of one director, unless JSON is wanted.
    """
    exit_code = EXIT_DONE
    results: dict[str, Result] = {}
    errors: dict[str, GnmiCallError] = {}
    for address in settings.addresses:
        target = _connect(address, settings.options)
        results.pop(address, None)
        errors.pop(address, None)
        try:
            results[address] = operation(target)
        except GnmiCallError as error:
            errors[address] = error
            exit_code = max(exit_code, exit_code_of(error))
        finally:
            target.close()
    if settings.as_json:
        click.echo(json.dumps(_as_json(settings.addresses, results, errors)))
    else:
        for address in dict.fromkeys(settings.addresses):
            if failed := errors.get(address):
                click.echo(f"{address}: {failed.code}: {failed}", err=True)
            else:
                show(address, results[address])
    sys.exit(exit_code)


def _connect(address: str, options: ConnectionOptions) -> GnmiTarget:
    try:
        return GnmiTarget(address, options)
    except OSError as error:
        click.echo(f"mulleinrelay: {error.filename}: {error.strerror}", err=True)
        sys.exit(EXIT_MISUSED)


def _as_json(
    addresses: tuple[str, ...], results: dict[str, Any], errors: dict[str, GnmiCallError]
) -> dict[str, Any]:
    output: dict[str, Any] = {}
    for address in addresses:
        if address in errors:
            error = errors[address]
            output[address] = {"ok": False, "code": error.code, "error": str(error)}
        else:
            output[address] = {"ok": True, "result": results[address]}
    return output


def show_version(address: str, version: int) -> None:
    """Prints which version a director runs."""
    click.echo(f"{address}: version {version} runs")


def show_table(title: str, rows: list[dict[str, Any]]) -> None:
    """Prints rows as a table; its columns are all keys in the order of their first use."""
    # Imported here, as other output does not need it
    from rich.console import Console
    from rich.table import Table

    columns = list(dict.fromkeys(name for row in rows for name in row))
    table = Table(*columns, title=title, title_justify="left", box=None, pad_edge=False)
    for row in rows:
        table.add_row(*(format_value(row.get(name, "")) for name in columns))
    Console(soft_wrap=True, highlight=False).print(table)


def format_value(value: Any) -> str:
    """Returns a text as it is, anything else as JSON."""
    return value if isinstance(value, str) else json.dumps(value)
