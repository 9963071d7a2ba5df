"""`mulleinrelay ctl`: directors by gNMI, one or several in one call."""

import json
import sys
import time
from collections.abc import Callable
from typing import Any

import click

from .gnmi_client import Access, CallError, GnmiTarget
from .paths import PathError, copied, differences, parse, worded

DONE, UNREACHED, MISUSED, REFUSED = 0, 1, 2, 3
UNREACHABLE = ("UNAVAILABLE", "DEADLINE_EXCEEDED", "CANCELLED", "UNKNOWN")
DRAIN = "/fleet/drains/drain"


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
    context.obj = {
        "targets": targets,
        "json": as_json,
        "access": Access(ca, cert, key, name, timeout),
    }


def at_each(
    context: click.Context, do: Callable[[GnmiTarget], Any], show: Callable[[str, Any], None]
) -> None:
    """Does it at each director, tells each result, and exits."""
    code, results = DONE, {}
    for address in context.obj["targets"]:
        try:
            target = GnmiTarget(address, context.obj["access"])
        except OSError as wrong:
            click.echo(f"mulleinrelay: {wrong.filename}: {wrong.strerror}", err=True)
            sys.exit(MISUSED)
        try:
            results[address] = {"ok": True, "result": do(target)}
        except CallError as wrong:
            reached = wrong.code not in UNREACHABLE
            results[address] = {"ok": False, "code": wrong.code, "error": str(wrong)}
            code = max(code, REFUSED if reached else UNREACHED)
        finally:
            target.close()
    if context.obj["json"]:
        click.echo(json.dumps(results))
    else:
        for address, one in results.items():
            if one["ok"]:
                show(address, one["result"])
            else:
                click.echo(f"{address}: {one['code']}: {one['error']}", err=True)
    sys.exit(code)


def path_from(text: str) -> Any:
    try:
        return parse(text)
    except PathError as wrong:
        raise click.UsageError(str(wrong)) from None


def table(title: str, rows: list[dict[str, Any]]) -> None:
    from rich.console import Console
    from rich.table import Table

    columns = list(dict.fromkeys(name for row in rows for name in row))
    made = Table(*columns, title=title, title_justify="left", box=None, pad_edge=False)
    for row in rows:
        made.add_row(*(_short(row.get(name, "")) for name in columns))
    Console(soft_wrap=True, highlight=False).print(made)


def _short(value: Any) -> str:
    return value if isinstance(value, str) else json.dumps(value)


@ctl.command()
@click.argument("path", default="/")
@click.option(
    "--type",
    "kind",
    type=click.Choice(["all", "config", "state"]),
    default="all",
    show_default=True,
)
@click.pass_context
def get(context: click.Context, path: str, kind: str) -> None:
    """What stands at PATH, as /fleet/boxes/box[name=s-1]/state; wildcards are * and ..."""
    wanted = path_from(path)

    def show(address: str, found: list[list[Any]]) -> None:
        if found and all(isinstance(value, dict) for _, value in found) and len(found) > 1:
            return table(address, [value for _, value in found])
        for where, value in found:
            click.echo(f"{address}: {where}: {json.dumps(value, indent=2)}")

    at_each(
        context,
        lambda target: [
            [worded(where), value]
            for where, value in target.get(wanted, ("all", "config", "state").index(kind))
        ],
        show,
    )


def value_from(text: str) -> Any:
    try:
        return json.loads(text)
    except ValueError:
        return text


def said(address: str, version: int) -> None:
    click.echo(f"{address}: version {version} runs")


def extras(built_on: int | None, why: str) -> dict[str, Any]:
    return ({"built_on": built_on} if built_on is not None else {}) | ({"why": why} if why else {})


@ctl.command(name="set")
@click.argument("changes", nargs=-1, required=True, metavar="PATH=VALUE | -PATH ...")
@click.option("--replace", is_flag=True, help="VALUE stands instead of what is there.")
@click.option(
    "--within",
    type=click.FloatRange(0.5, 86_400.0),
    metavar="S",
    help="Goes back unless confirmed so soon.",
)
@click.option("--id", "name", default="", help="Of the confirmation (with --within).")
@click.option("--built-on", type=int, metavar="VERSION", help="Refused where another version runs.")
@click.option("--why", default="", help="For the history.")
@click.pass_context
def set_(
    context: click.Context,
    changes: tuple[str, ...],
    replace: bool,
    within: float | None,
    name: str,
    built_on: int | None,
    why: str,
) -> None:
    """Change what staff want: all of it, or nothing. A path after - is deleted (put -- before the
    first).
    """
    deletes, updates = [], []
    for text in changes:
        if text.startswith("-"):
            deletes.append(path_from(text[1:]))
            continue
        depth, equals = 0, -1
        for place, letter in enumerate(text):
            depth += (letter == "[") - (letter == "]")
            if letter == "=" and depth == 0:
                equals = place
                break
        if equals < 0:
            raise click.UsageError(f"{text!r}: PATH=VALUE is wanted")
        updates.append((path_from(text[:equals]), value_from(text[equals + 1 :])))
    name = name or (f"ctl-{int(time.time())}" if within is not None else "")
    if within is not None:
        click.echo(f"confirm with: mulleinrelay ctl confirm {name}", err=True)
    at_each(
        context,
        lambda target: target.set(
            deletes,
            [] if replace else updates,
            updates if replace else [],
            within,
            name,
            extras(built_on, why),
        ),
        said,
    )


@ctl.command()
@click.argument("box")
@click.option("--every-life", is_flag=True, help="Also when the box has started again.")
@click.option("--force", is_flag=True, help="Also where a location or cell is left without caches.")
@click.option("--reason", default="", help="For other staff.")
@click.pass_context
def drain(context: click.Context, box: str, every_life: bool, force: bool, reason: str) -> None:
    """Nothing new goes to BOX, as cache or fill source, within 2 s; what is under way
    there ends.
    """
    value = {"box": box, "scope": "every-life" if every_life else "this-life", "forced": force}
    value |= {"reason": reason} if reason else {}
    path = parse(DRAIN)[:-1] + (("drain", (("box", box),)),)

    def do(target: GnmiTarget) -> dict[str, Any]:
        version = target.set(replaces=[(path, value)], extra=extras(None, f"drain {box}"))
        found = target.get((*path, ("state", ())))
        return {"version": version, "state": found[0][1]}

    at_each(
        context,
        do,
        lambda address, one: click.echo(
            f"{address}: version {one['version']}: {box} {one['state'].get('phase')}, "
            f"{one['state'].get('attempts-out', 0)} attempts out"
        ),
    )


@ctl.command()
@click.argument("box")
@click.pass_context
def undrain(context: click.Context, box: str) -> None:
    """Take a drain of BOX back."""
    path = parse(DRAIN)[:-1] + (("drain", (("box", box),)),)
    at_each(
        context,
        lambda target: target.set(deletes=[path], extra=extras(None, f"undrain {box}")),
        said,
    )


@ctl.command()
@click.argument("file", type=click.File("r"))
@click.pass_context
def diff(context: click.Context, file: Any) -> None:
    """What differs between FILE (JSON, as `get / --type config` gives it with --json) and each
    director.
    """
    try:
        wanted = json.load(file)
    except ValueError as wrong:
        raise click.UsageError(f"{file.name}: no JSON: {wrong}") from None
    from .paths import bare
    from .yang_model import Model

    shape = Model().shape

    def do(target: GnmiTarget) -> dict[str, Any]:
        found = target.get((), 1)
        changed, gone = differences(shape, copied(found[0][1]) if found else {}, bare(wanted))
        return {
            "other": [[worded(path), value] for path, value in changed],
            "gone": [worded(path) for path in gone],
        }

    def show(address: str, one: dict[str, Any]) -> None:
        click.echo(f"{address}: {len(one['other'])} others, {len(one['gone'])} not in the file")
        for path, value in one["other"]:
            click.echo(f"  + {path} = {json.dumps(value)}")
        for path in one["gone"]:
            click.echo(f"  - {path}")

    at_each(context, do, show)


@ctl.command()
@click.argument("paths_", nargs=-1, metavar="[PATH]...")
@click.option("--seconds", type=click.FloatRange(0.1, 86_400.0), help="Ends after so long.")
@click.option("--only-changes", is_flag=True, help="Not what is there already.")
@click.pass_context
def watch(
    context: click.Context, paths_: tuple[str, ...], seconds: float | None, only_changes: bool
) -> None:
    """Lines as things change, of the first director given."""
    wanted = [path_from(text) for text in paths_ or ("/fleet/boxes", "/fleet/drains")]
    target = GnmiTarget(context.obj["targets"][0], context.obj["access"])
    end = time.monotonic() + seconds if seconds else None
    if end is not None:
        import threading

        timer = threading.Timer(seconds, target.close)
        timer.daemon = True
        timer.start()
    try:
        for what, path, value in target.watch(wanted, only_changes):
            if what == "sync":
                continue
            if context.obj["json"]:
                click.echo(json.dumps({"path": worded(path), "what": what, "value": value}))
            else:
                held = "" if value is None else _short(value)
                click.echo(f"{'-' if what == 'delete' else ' '} {worded(path)} {held}")
            sys.stdout.flush()
    except (CallError, ValueError) as wrong:
        if end is None or time.monotonic() < end - 0.05:
            click.echo(f"{target.address}: {wrong}", err=True)
            sys.exit(UNREACHED if getattr(wrong, "code", "") in UNREACHABLE else REFUSED)


@ctl.command()
@click.pass_context
def history(context: click.Context) -> None:
    """The last versions: when, by whom, what."""

    def do(target: GnmiTarget) -> dict[str, Any]:
        return target.get(parse("/fleet/datastore"))[0][1]

    def show(address: str, held: dict[str, Any]) -> None:
        rows = [
            {
                "version": one["version"],
                "at": time.strftime("%F %T", time.gmtime(int(one["at"]) / 1000)),
                "by": one["by"],
                "why": one["why"],
            }
            for one in held.get("commit", ())
        ]
        table(
            f"{address}: version {held['version']}"
            + (
                f", to be confirmed within {held['unconfirmed-for']} ms"
                if held.get("unconfirmed-for")
                else ""
            ),
            rows,
        )

    at_each(context, do, show)


@ctl.command()
@click.argument("version", type=int)
@click.option("--built-on", type=int, metavar="VERSION", help="Refused where another version runs.")
@click.pass_context
def rollback(context: click.Context, version: int, built_on: int | None) -> None:
    """Make an older VERSION the running one, as a new version."""
    at_each(
        context, lambda target: target.set(extra=extras(built_on, "") | {"rollback": version}), said
    )


@ctl.command()
@click.argument("name")
@click.option("--cancel", is_flag=True, help="Go back at once instead.")
@click.pass_context
def confirm(context: click.Context, name: str, cancel: bool) -> None:
    """Keep a change that was set --within."""
    at_each(context, lambda target: target.finish(name, not cancel), said)
