"""`mulleinrelay ctl`: directors by gNMI, one or several in one call."""

import json
import sys
import threading
import time
from typing import Any, TextIO

import click

from . import gnmi_messages as gnmi
from .command_output import (
    CommandSettings,
    exit_code_of,
    format_value,
    run_on_each,
    show_table,
    show_version,
)
from .drain_intent import DrainScope
from .errors import PathError
from .gnmi_client import ConnectionOptions, GnmiCallError, GnmiTarget, WatchEventKind
from .paths import Path, PathElement, format_path, parse_path
from .tree import PathValue, Tree, diff_trees, strip_module_names

DATA_TYPES = {"all": gnmi.ALL, "config": gnmi.CONFIG, "state": gnmi.STATE}
DRAINS = parse_path("/fleet/drains")
DATASTORE = parse_path("/fleet/datastore")
DEFAULT_WATCHED_PATHS = ("/fleet/boxes", "/fleet/drains")
END_TOLERANCE_S = 0.05  # an error this little before the end of `watch` comes from the end itself


@click.group()
@click.option(
    "--target",
    "targets",
    multiple=True,
    metavar="HOST:PORT",
    envvar="MULLEINRELAY_TARGETS",
    default=["127.0.0.1:9339"],
    show_default=True,
    help="A director; may be given more than once.",
)
@click.option("--ca", default="", metavar="FILE", help="Authority of the directors' certificates.")
@click.option("--cert", default="", metavar="FILE", help="Our certificate.")
@click.option("--key", default="", metavar="FILE", help="Its key.")
@click.option("--name", default="", metavar="NAME", help="Name in the directors' certificates.")
@click.option(
    "--timeout",
    type=click.FloatRange(0.1, 3600.0),
    default=10.0,
    show_default=True,
    help="s a call.",
)
@click.option(
    "--json", "as_json", is_flag=True, help="One JSON object: a result for each director."
)
@click.pass_context
def ctl(
    context: click.Context,
    targets: tuple[str, ...],
    ca: str,
    cert: str,
    key: str,
    name: str,
    timeout: float,
    as_json: bool,
) -> None:
    """Directors by gNMI.

    Exit codes: 0 all done; 1 a director could not be reached; 2 wrong use; 3 a director refused.
    With several directors the highest counts, and each has a line of its own.

    Completion for bash: eval "$(_MULLEINRELAY_COMPLETE=bash_source mulleinrelay)"
    """
    if any((ca, cert, key)) and not all((ca, cert, key)):
        raise click.UsageError("--ca, --cert and --key go together")
    options = ConnectionOptions(ca, cert, key, name, timeout)
    context.obj = CommandSettings(targets, as_json, options)


@ctl.command()
@click.argument("path", default="/")
@click.option(
    "--type",
    "kind",
    type=click.Choice(list(DATA_TYPES)),
    default="all",
    show_default=True,
)
@click.pass_obj
def get(settings: CommandSettings, path: str, kind: str) -> None:
    """Show what is at PATH, as /fleet/boxes/box[name=s-1]/state; wildcards are * and ..."""
    wanted = _path_argument(path)

    def read(target: GnmiTarget) -> list[list[Any]]:
        found = target.get(wanted, DATA_TYPES[kind])
        return [[format_path(node.path), node.value] for node in found]

    def show(address: str, found: list[list[Any]]) -> None:
        if len(found) > 1 and all(isinstance(value, dict) for _, value in found):
            show_table(address, [value for _, value in found])
            return
        for node_path, value in found:
            click.echo(f"{address}: {node_path}: {json.dumps(value, indent=2)}")

    run_on_each(settings, read, show)


@ctl.command(name="set")
@click.argument("changes", nargs=-1, required=True, metavar="PATH=VALUE | -PATH ...")
@click.option("--replace", is_flag=True, help="VALUE stands instead of what is there.")
@click.option(
    "--within",
    type=click.FloatRange(0.5, 86_400.0),
    metavar="S",
    help="Goes back unless confirmed so soon.",
)
@click.option("--id", "commit_id", default="", help="Of the confirmation (with --within).")
@click.option("--built-on", type=int, metavar="VERSION", help="Refused where another version runs.")
@click.option("--why", "comment", default="", help="For the history.")
@click.pass_obj
def set_(
    settings: CommandSettings,
    changes: tuple[str, ...],
    replace: bool,
    within: float | None,
    commit_id: str,
    built_on: int | None,
    comment: str,
) -> None:
    """Change the configuration: all of it, or nothing.

    A path after - is deleted (put -- before the first).
    """
    deletes = [_path_argument(text[1:]) for text in changes if text.startswith("-")]
    values = [_assignment_argument(text) for text in changes if not text.startswith("-")]
    if within is not None:
        commit_id = commit_id or f"ctl-{int(time.time())}"
        click.echo(f"confirm with: mulleinrelay ctl confirm {commit_id}", err=True)

    def commit(target: GnmiTarget) -> int:
        return target.set(
            deletes=deletes,
            updates=[] if replace else values,
            replaces=values if replace else [],
            within=within,
            name=commit_id,
            extra=_extension(built_on, comment),
        )

    run_on_each(settings, commit, show_version)


@ctl.command()
@click.argument("endpoint", metavar="BOX")
@click.option(
    "--every-life",
    "is_every_incarnation",
    is_flag=True,
    help="Also when the box has started again.",
)
@click.option(
    "--force",
    "is_forced",
    is_flag=True,
    help="Also where a location or cell is left without caches.",
)
@click.option("--reason", default="", help="For other operators.")
@click.pass_obj
def drain(
    settings: CommandSettings,
    endpoint: str,
    is_every_incarnation: bool,
    is_forced: bool,
    reason: str,
) -> None:
    """Send nothing new to BOX, as cache or fill source, within 2 s; requests under way finish."""
    scope = DrainScope.EVERY_INCARNATION if is_every_incarnation else DrainScope.CURRENT_INCARNATION
    value: Tree = {"box": endpoint, "scope": scope.value, "forced": is_forced}
    if reason:
        value["reason"] = reason
    path = _drain_path(endpoint)

    def commit(target: GnmiTarget) -> Tree:
        version = target.set(replaces=[(path, value)], extra=_extension(None, f"drain {endpoint}"))
        found = target.get((*path, PathElement("state")))
        return {"version": version, "state": found[0].value}

    def show(address: str, result: Tree) -> None:
        state = result["state"]
        click.echo(
            f"{address}: version {result['version']}: {endpoint} {state.get('phase')}, "
            f"{state.get('attempts-out', 0)} attempts out"
        )

    run_on_each(settings, commit, show)


@ctl.command()
@click.argument("endpoint", metavar="BOX")
@click.pass_obj
def undrain(settings: CommandSettings, endpoint: str) -> None:
    """Take a drain of BOX back."""

    def commit(target: GnmiTarget) -> int:
        return target.set(
            deletes=[_drain_path(endpoint)], extra=_extension(None, f"undrain {endpoint}")
        )

    run_on_each(settings, commit, show_version)


@ctl.command()
@click.argument("file", type=click.File("r"))
@click.pass_obj
def diff(settings: CommandSettings, file: TextIO) -> None:
    """Show what differs between FILE and each director.

    FILE is JSON, as `get / --type config` gives it with --json.
    """
    try:
        wanted = json.load(file)
    except ValueError as error:
        raise click.UsageError(f"{file.name}: no JSON: {error}") from error
    from .yang_model import YangModel

    schema = YangModel().schema

    def compare(target: GnmiTarget) -> Tree:
        found = target.get((), gnmi.CONFIG)
        running = found[0].value if found else {}
        difference = diff_trees(schema, running, strip_module_names(wanted))
        return {
            "other": [[format_path(path), value] for path, value in difference.changed],
            "gone": [format_path(path) for path in difference.deleted],
        }

    def show(address: str, result: Tree) -> None:
        changed = result["other"]
        deleted = result["gone"]
        click.echo(f"{address}: {len(changed)} others, {len(deleted)} not in the file")
        for path, value in changed:
            click.echo(f"  + {path} = {json.dumps(value)}")
        for path in deleted:
            click.echo(f"  - {path}")

    run_on_each(settings, compare, show)


@ctl.command()
@click.argument("path_texts", nargs=-1, metavar="[PATH]...")
@click.option("--seconds", type=click.FloatRange(0.1, 86_400.0), help="Ends after so long.")
@click.option("--only-changes", is_flag=True, help="Not what is there already.")
@click.pass_obj
def watch(
    settings: CommandSettings,
    path_texts: tuple[str, ...],
    seconds: float | None,
    only_changes: bool,
) -> None:
    """Print lines as things change, of the first director given."""
    paths = [_path_argument(text) for text in path_texts or DEFAULT_WATCHED_PATHS]
    target = GnmiTarget(settings.addresses[0], settings.options)
    end_at = None
    if seconds:
        end_at = time.monotonic() + seconds
        timer = threading.Timer(seconds, target.close)
        timer.daemon = True
        timer.start()
    try:
        for kind, path, value in target.watch(paths, only_changes):
            if path is not None:
                _show_event(settings, kind, path, value)
    except (GnmiCallError, ValueError) as error:
        # ValueError is what grpc raises on a channel that the timer has closed
        if end_at is None or time.monotonic() < end_at - END_TOLERANCE_S:
            click.echo(f"{target.address}: {error}", err=True)
            sys.exit(exit_code_of(error))


def _show_event(settings: CommandSettings, kind: WatchEventKind, path: Path, value: Any) -> None:
    if settings.as_json:
        click.echo(json.dumps({"path": format_path(path), "what": kind, "value": value}))
    else:
        prefix = "-" if kind == WatchEventKind.DELETE else " "
        text = "" if value is None else format_value(value)
        click.echo(f"{prefix} {format_path(path)} {text}")
    sys.stdout.flush()


@ctl.command()
@click.pass_obj
def history(settings: CommandSettings) -> None:
    """Show the last versions: when, by whom, what."""

    def read(target: GnmiTarget) -> Tree:
        datastore: Tree = target.get(DATASTORE)[0].value
        return datastore

    def show(address: str, datastore: Tree) -> None:
        title = f"{address}: version {datastore['version']}"
        if remaining := datastore.get("unconfirmed-for"):
            title += f", to be confirmed within {remaining} ms"
        show_table(title, [_history_row(entry) for entry in datastore.get("commit", ())])

    run_on_each(settings, read, show)


def _history_row(entry: Tree) -> dict[str, Any]:
    return {
        "version": entry["version"],
        "at": time.strftime("%F %T", time.gmtime(int(entry["at"]) / 1000)),
        "by": entry["by"],
        "why": entry["why"],
    }


@ctl.command()
@click.argument("version", type=int)
@click.option("--built-on", type=int, metavar="VERSION", help="Refused where another version runs.")
@click.pass_obj
def rollback(settings: CommandSettings, version: int, built_on: int | None) -> None:
    """Make an older VERSION the running one, as a new version."""
    extension = _extension(built_on, "") | {"rollback": version}
    run_on_each(settings, lambda target: target.set(extra=extension), show_version)


@ctl.command()
@click.argument("commit_id", metavar="NAME")
@click.option("--cancel", "is_cancelled", is_flag=True, help="Go back at once instead.")
@click.pass_obj
def confirm(settings: CommandSettings, commit_id: str, is_cancelled: bool) -> None:
    """Keep a change that was set --within."""

    def finish(target: GnmiTarget) -> int:
        return target.cancel(commit_id) if is_cancelled else target.confirm(commit_id)

    run_on_each(settings, finish, show_version)


def _path_argument(text: str) -> Path:
    """Parses a path that a user has typed."""
    try:
        return parse_path(text)
    except PathError as error:
        raise click.UsageError(str(error)) from error


def _assignment_argument(text: str) -> PathValue:
    """Parses PATH=VALUE; the `=` of keys in brackets do not count."""
    depth = 0
    for position, letter in enumerate(text):
        if letter == "[":
            depth += 1
        elif letter == "]":
            depth -= 1
        elif letter == "=" and depth == 0:
            path = _path_argument(text[:position])
            return PathValue(path, _value_argument(text[position + 1 :]))
    raise click.UsageError(f"{text!r}: PATH=VALUE is wanted")


def _value_argument(text: str) -> Any:
    """Returns the JSON value that a user has typed; what is no JSON is a string."""
    try:
        return json.loads(text)
    except ValueError:
        return text


def _drain_path(endpoint: str) -> Path:
    return (*DRAINS, PathElement("drain", (("box", endpoint),)))


def _extension(built_on: int | None, comment: str) -> dict[str, Any]:
    """Returns the object of the server's own extension, without what is not given."""
    values: dict[str, Any] = {}
    if built_on is not None:
        values["built_on"] = built_on
    if comment:
        values["why"] = comment
    return values
