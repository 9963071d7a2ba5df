"""Execution of operations on directors, and printing of the results, for `mulleinrelay ctl`."""

import json
import sys
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, NoReturn, TypeVar

import click

from .gnmi_client import ConnectionOptions, GnmiCallError, GnmiTarget

EXIT_OK = 0
EXIT_UNREACHABLE = 1
EXIT_USAGE_ERROR = 2
EXIT_REJECTED = 3
UNREACHABLE_CODES = ("UNAVAILABLE", "DEADLINE_EXCEEDED", "CANCELLED", "UNKNOWN")

Result = TypeVar("Result")


@dataclass(slots=True, frozen=True)
class CommandSettings:
    """The options of the command group `ctl`, which its commands get from click's context.

    Attributes:
        addresses: The directors' addresses as host:port.
        as_json: Whether to print JSON.
        options: The options of the connections to the directors.
    """

    addresses: tuple[str, ...]
    as_json: bool
    options: ConnectionOptions


def exit_code_for(error: Exception) -> int:
    """Return the exit code for a failed call.

    The code is `EXIT_UNREACHABLE` for a `GnmiCallError` with one of the `UNREACHABLE_CODES`,
    otherwise `EXIT_REJECTED`.
    """
    is_unreachable = isinstance(error, GnmiCallError) and error.code in UNREACHABLE_CODES
    return EXIT_UNREACHABLE if is_unreachable else EXIT_REJECTED


def run_on_each_director(
    settings: CommandSettings,
    operation: Callable[[GnmiTarget], Result],
    show: Callable[[str, Result], None],
) -> NoReturn:
    """Run an operation on each director in turn, print the results and exit.

    The process exits with the highest exit code of all directors. If the file of a certificate
    cannot be read, it exits with `EXIT_USAGE_ERROR` at once. If an address is given twice, the
    result of the last call is printed.

    Args:
        settings: The directors and the output format.
        operation: The operation on one director; its result must be serializable as JSON.
        show: Prints the address and result of one director; not called for JSON output or for a
            director whose call failed.
    """
    exit_code = EXIT_OK
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
            exit_code = max(exit_code, exit_code_for(error))
        finally:
            target.close()
    if settings.as_json:
        click.echo(json.dumps(_results_as_json(settings.addresses, results, errors)))
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
        sys.exit(EXIT_USAGE_ERROR)


def _results_as_json(
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
    """Print the number of the configuration version that is running at a director."""
    click.echo(f"{address}: running version {version}")


def show_table(title: str, rows: list[dict[str, Any]]) -> None:
    """Print rows as a table whose columns are all keys of the rows, in order of first use."""
    # Imported here, as most commands do not print tables.
    from rich.console import Console
    from rich.table import Table

    columns = list(dict.fromkeys(name for row in rows for name in row))
    table = Table(*columns, title=title, title_justify="left", box=None, pad_edge=False)
    for row in rows:
        table.add_row(*(format_value(row.get(name, "")) for name in columns))
    Console(soft_wrap=True, highlight=False).print(table)


def format_value(value: Any) -> str:
    """Return a string unchanged and any other value as JSON."""
    return value if isinstance(value, str) else json.dumps(value)
