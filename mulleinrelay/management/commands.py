"""The command group `mulleinrelay ctl`, which manages one or several directors by gNMI."""

import json
import sys
import threading
import time
from typing import Any, TextIO

import click

from . import gnmi_messages as gnmi
from .command_output import (
    CommandSettings,
    exit_code_for,
    format_value,
    run_on_each_director,
    show_table,
    show_version,
)
from .drain_intent import DrainScope
from .errors import PathError
from .gnmi_client import ConnectionOptions, GnmiCallError, GnmiTarget, WatchEventKind
from .paths import Path, PathElement, format_path, parse_path
from .tree import PathValue, Tree, diff_trees, strip_module_names

DATA_TYPES = {"all": gnmi.ALL, "config": gnmi.CONFIG, "state": gnmi.STATE}
DRAINS_PATH = parse_path("/fleet/drains")
DATASTORE_PATH = parse_path("/fleet/datastore")
DEFAULT_WATCHED_PATHS = ("/fleet/boxes", "/fleet/drains")
# With --seconds, a timer ends `watch` by closing the connection, which makes the call fail. Errors
# in the last END_TOLERANCE_S before the timer fires, and after it, are therefore not reported.
END_TOLERANCE_S = 0.05


@click.group()
@click.option(
    "--target",
    "targets",
    multiple=True,
    metavar="HOST:PORT",
    envvar="MULLEINRELAY_TARGETS",
    default=["127.0.0.1:9339"],
    show_default=True,
    help="Address of a director; may be given more than once.",
)
@click.option("--ca", default="", metavar="FILE", help="Certificate authority of the directors.")
@click.option("--cert", default="", metavar="FILE", help="Client certificate.")
@click.option("--key", default="", metavar="FILE", help="Private key of the client certificate.")
@click.option(
    "--name", default="", metavar="NAME", help="Server name in the directors' certificates."
)
@click.option(
    "--timeout",
    type=click.FloatRange(0.1, 3600.0),
    default=10.0,
    show_default=True,
    help="Timeout of a call in seconds.",
)
@click.option(
    "--json", "as_json", is_flag=True, help="Print one JSON object with a result per director."
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
    """Manage directors by gNMI.

    Exit codes: 0 success; 1 a director is unreachable; 2 usage error; 3 a director rejected the
    call. With several directors, the highest code is used, and each director has its own line.

    Completion for bash: eval "$(_MULLEINRELAY_COMPLETE=bash_source mulleinrelay)"
    """
    if any((ca, cert, key)) and not all((ca, cert, key)):
        raise click.UsageError("--ca, --cert and --key must be given together")
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
    """Show the nodes at PATH, such as /fleet/boxes/box[name=s-1]/state; wildcards are * and ..."""
    parsed_path = _path_argument(path)

    def read(target: GnmiTarget) -> list[list[Any]]:
        nodes = target.get(parsed_path, DATA_TYPES[kind])
        return [[format_path(node.path), node.value] for node in nodes]

    def show(address: str, nodes: list[list[Any]]) -> None:
        if len(nodes) > 1 and all(isinstance(value, dict) for _, value in nodes):
            show_table(address, [value for _, value in nodes])
            return
        for node_path, value in nodes:
            click.echo(f"{address}: {node_path}: {json.dumps(value, indent=2)}")

    run_on_each_director(settings, read, show)


@ctl.command(name="set")
@click.argument("changes", nargs=-1, required=True, metavar="PATH=VALUE | -PATH ...")
@click.option("--replace", is_flag=True, help="Replace the nodes by the values instead of merging.")
@click.option(
    "--within",
    type=click.FloatRange(0.5, 86_400.0),
    metavar="S",
    help="Roll back unless confirmed within S seconds.",
)
@click.option(
    "--id", "commit_id", default="", help="Id of the commit, for its confirmation (with --within)."
)
@click.option(
    "--built-on", type=int, metavar="VERSION", help="Reject the change unless VERSION is running."
)
@click.option("--why", "comment", default="", help="Comment for the history.")
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
    """Commit all changes of the configuration, or none.

    A path with - in front of it is deleted (put -- before the first such path).
    """
    deletes = [_path_argument(text[1:]) for text in changes if text.startswith("-")]
    values = [_change_argument(text) for text in changes if not text.startswith("-")]
    if within is not None:
        commit_id = commit_id or f"ctl-{int(time.time())}"
        click.echo(f"confirm with: mulleinrelay ctl confirm {commit_id}", err=True)

    def commit(target: GnmiTarget) -> int:
        return target.set(
            deletes=deletes,
            updates=[] if replace else values,
            replaces=values if replace else [],
            confirm_timeout_s=within,
            commit_id=commit_id,
            extension_values=_extension_values(built_on, comment),
        )

    run_on_each_director(settings, commit, show_version)


@ctl.command()
@click.argument("endpoint", metavar="BOX")
@click.option(
    "--every-life",
    "is_every_incarnation",
    is_flag=True,
    help="Keep the drain when the box restarts.",
)
@click.option(
    "--force",
    "is_forced",
    is_flag=True,
    help="Drain even if a location or cell is left without caches.",
)
@click.option("--reason", default="", help="Reason, for other operators.")
@click.pass_obj
def drain(
    settings: CommandSettings,
    endpoint: str,
    is_every_incarnation: bool,
    is_forced: bool,
    reason: str,
) -> None:
    """Stop new requests to BOX, as cache or fill source, within 2 s; requests in flight finish."""
    scope = DrainScope.EVERY_INCARNATION if is_every_incarnation else DrainScope.CURRENT_INCARNATION
    value: Tree = {"box": endpoint, "scope": scope.value, "forced": is_forced}
    if reason:
        value["reason"] = reason
    path = _drain_path(endpoint)

    def commit(target: GnmiTarget) -> Tree:
        version = target.set(
            replaces=[(path, value)],
            extension_values=_extension_values(None, f"drain {endpoint}"),
        )
        nodes = target.get((*path, PathElement("state")))
        return {"version": version, "state": nodes[0].value}

    def show(address: str, result: Tree) -> None:
        state = result["state"]
        click.echo(
            f"{address}: version {result['version']}: {endpoint} {state.get('phase')}, "
            f"{state.get('attempts-out', 0)} attempts in flight"
        )

    run_on_each_director(settings, commit, show)


@ctl.command()
@click.argument("endpoint", metavar="BOX")
@click.pass_obj
def undrain(settings: CommandSettings, endpoint: str) -> None:
    """Remove the drain of BOX."""

    def commit(target: GnmiTarget) -> int:
        return target.set(
            deletes=[_drain_path(endpoint)],
            extension_values=_extension_values(None, f"undrain {endpoint}"),
        )

    run_on_each_director(settings, commit, show_version)


@ctl.command()
@click.argument("file", type=click.File("r"))
@click.pass_obj
def diff(settings: CommandSettings, file: TextIO) -> None:
    """Show the differences between FILE and the configuration of each director.

    FILE contains a configuration as JSON, like the value that `--json get / --type config` prints.
    """
    try:
        desired = json.load(file)
    except ValueError as error:
        raise click.UsageError(f"{file.name}: not valid JSON: {error}") from error
    from .yang_model import YangModel

    schema = YangModel().schema

    def compare(target: GnmiTarget) -> Tree:
        nodes = target.get((), gnmi.CONFIG)
        running = nodes[0].value if nodes else {}
        difference = diff_trees(schema, running, strip_module_names(desired))
        return {
            "other": [[format_path(path), value] for path, value in difference.changed],
            "gone": [format_path(path) for path in difference.deleted],
        }

    def show(address: str, result: Tree) -> None:
        changed = result["other"]
        deleted = result["gone"]
        click.echo(f"{address}: {len(changed)} with other values, {len(deleted)} not in the file")
        for path, value in changed:
            click.echo(f"  + {path} = {json.dumps(value)}")
        for path in deleted:
            click.echo(f"  - {path}")

    run_on_each_director(settings, compare, show)


@ctl.command()
@click.argument("path_texts", nargs=-1, metavar="[PATH]...")
@click.option("--seconds", type=click.FloatRange(0.1, 86_400.0), help="End after this time.")
@click.option("--only-changes", is_flag=True, help="Leave out the values from before.")
@click.pass_obj
def watch(
    settings: CommandSettings,
    path_texts: tuple[str, ...],
    seconds: float | None,
    only_changes: bool,
) -> None:
    """Print the values at each PATH and their changes, from the first director given."""
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
        # gRPC raises ValueError on a channel that the timer has closed.
        if end_at is None or time.monotonic() < end_at - END_TOLERANCE_S:
            click.echo(f"{target.address}: {error}", err=True)
            sys.exit(exit_code_for(error))


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
    """Show the last versions with time, author and comment."""

    def read(target: GnmiTarget) -> Tree:
        datastore: Tree = target.get(DATASTORE_PATH)[0].value
        return datastore

    def show(address: str, datastore: Tree) -> None:
        title = f"{address}: version {datastore['version']}"
        if remaining := datastore.get("unconfirmed-for"):
            title += f", to be confirmed within {remaining} ms"
        show_table(title, [_history_row(entry) for entry in datastore.get("commit", ())])

    run_on_each_director(settings, read, show)


def _history_row(entry: Tree) -> dict[str, Any]:
    return {
        "version": entry["version"],
        "at": time.strftime("%F %T", time.gmtime(int(entry["at"]) / 1000)),
        "by": entry["by"],
        "why": entry["why"],
    }


@ctl.command()
@click.argument("version", type=int)
@click.option(
    "--built-on", type=int, metavar="VERSION", help="Reject the change unless VERSION is running."
)
@click.pass_obj
def rollback(settings: CommandSettings, version: int, built_on: int | None) -> None:
    """Restore the configuration of an older VERSION, as a new version."""
    values = _extension_values(built_on, "") | {"rollback": version}
    run_on_each_director(settings, lambda target: target.set(extension_values=values), show_version)


@ctl.command()
@click.argument("commit_id", metavar="NAME")
@click.option(
    "--cancel", "is_cancellation", is_flag=True, help="Roll the change back at once instead."
)
@click.pass_obj
def confirm(settings: CommandSettings, commit_id: str, is_cancellation: bool) -> None:
    """Confirm a change that was set with --within, so that it is kept."""

    def finish(target: GnmiTarget) -> int:
        return target.cancel(commit_id) if is_cancellation else target.confirm(commit_id)

    run_on_each_director(settings, finish, show_version)


def _path_argument(text: str) -> Path:
    """Parse a path argument; raise a usage error if it is not valid."""
    try:
        return parse_path(text)
    except PathError as error:
        raise click.UsageError(str(error)) from error


def _change_argument(text: str) -> PathValue:
    """Parse PATH=VALUE, where PATH may contain `=` in brackets; raise a usage error if invalid."""
    depth = 0
    for position, character in enumerate(text):
        if character == "[":
            depth += 1
        elif character == "]":
            depth -= 1
        elif character == "=" and depth == 0:
            path = _path_argument(text[:position])
            return PathValue(path, _value_argument(text[position + 1 :]))
    raise click.UsageError(f"{text!r}: expected PATH=VALUE")


def _value_argument(text: str) -> Any:
    """Return the value of an argument: parsed as JSON or, if that fails, the text itself."""
    try:
        return json.loads(text)
    except ValueError:
        return text


def _drain_path(endpoint: str) -> Path:
    return (*DRAINS_PATH, PathElement("drain", (("box", endpoint),)))


def _extension_values(built_on: int | None, comment: str) -> dict[str, Any]:
    """Return the JSON object of the director's own gNMI extension; omit values not given."""
    values: dict[str, Any] = {}
    if built_on is not None:
        values["built_on"] = built_on
    if comment:
        values["why"] = comment
    return values
