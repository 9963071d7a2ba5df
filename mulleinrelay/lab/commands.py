"""`mulleinrelay lab`: plays a scenario on loopback and says what it came to."""

import sys

import click
import orjson

from ..errors import ConfigError
from .runner import Lab
from .scenario import parse_scenario


def live(lab: Lab, since: float) -> None:
    shares = " ".join(
        f"{one.load.tenant} {one.served_fraction(max(0.0, since - 3.0), since - 1.0):.2f}"
        for one in lab.load_generators
    )
    busy = max(lab.fleet.nodes.values(), key=lambda node: node.window_load)
    sys.stderr.write(f"\r{since:6.1f} s  served: {shares}  busiest {busy.spec.name}   ")
    sys.stderr.flush()


def watch(since: float, asked: int, served: int) -> None:
    sys.stderr.write(f"\r{since:6.1f} s  asked {asked}  served {served}   ")
    sys.stderr.flush()


@click.command()
@click.argument("path", metavar="SCENARIO.ini")
@click.option("--json", "as_json", is_flag=True, help="One JSON object instead of a table.")
@click.option("--quiet", is_flag=True, help="No live figures.")
@click.option("--keep", metavar="FOLDER", help="Where configurations, logs and records are left.")
@click.option(
    "--directors", type=int, help="So many directors under the same load (fleet scenarios)."
)
@click.option(
    "--plot", metavar="FILE.png", help="Load by cache over time as a picture (fleet scenarios)."
)
@click.option("--model", is_flag=True, help="Play it in simulated time (fleet scenarios).")
def lab(
    path: str,
    as_json: bool,
    quiet: bool,
    keep: str | None,
    directors: int | None,
    plot: str | None,
    model: bool,
) -> None:
    """Play SCENARIO.ini: stand-ins, directors and load on loopback; ends by itself.

    A file with a section [fleet lab] is a fleet scenario: hundreds of directors, faults between
    processes. All servers and clients are stand-ins of ours: figures tell of directors before these
    alone. Exit codes: 0 played, 1 it could not be, 2 the scenario is wrong.
    """
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
        if "[fleet lab]" in text:
            return play_fleet(text, as_json, quiet, keep, directors, plot, model)
        if directors is not None or plot is not None or model:
            raise click.UsageError(
                "--directors, --plot and --model are for fleet scenarios ([fleet lab])"
            )
        scenario = parse_scenario(text)
    except (ConfigError, UnicodeDecodeError) as wrong:
        click.echo(f"mulleinrelay: {path}: {wrong}", err=True)
        sys.exit(2)
    except OSError as wrong:
        click.echo(f"mulleinrelay: {path}: {wrong.strerror}", err=True)
        sys.exit(2)
    if keep is not None:
        import os

        os.makedirs(keep, exist_ok=True)
    try:
        found = Lab(scenario, keep).run(None if quiet or as_json else live)
    except RuntimeError as wrong:
        click.echo(f"mulleinrelay: {wrong}", err=True)
        sys.exit(1)
    if as_json:
        return click.echo(orjson.dumps(found))
    if not quiet:
        click.echo("", err=True)
    click.echo(
        f"{'tenant':<12} {'asked':>7} {'share':>6} {'p50 ms':>7} {'p99 ms':>7} {'rejected':>8} {'failed':>7}"
    )
    for name, tenant in found["tenants"].items():
        click.echo(
            f"{name:<12} {tenant.get('asked', 0):>7} {tenant['share']:>6.3f} {tenant['p50_ms']:>7.1f} "
            f"{tenant['p99_ms']:>7.1f} {tenant.get('rejected', 0):>8} {tenant.get('failed', 0):>7}"
        )
    for name, node in found["nodes"].items():
        click.echo(
            f"{name:<12} peak load {node['peak_load']:.2f}, hits {node.get('hits', 0)}, fills "
            f"{node.get('fills', 0)}{'' if node['alive'] else ', DEAD'}"
        )
    click.echo(
        f"origin fetches {found['origin_fetches']}, orders run {found['orders_run']}, run twice "
        f"{found['orders_run_twice']}, no answer {found['total']['no_answer']}, answered twice "
        f"{found['total']['answers_twice']}, stale {found['stale']}, CPU a request "
        f"{found['cpu_ms_a_request']} ms"
    )
    for deed in found["deeds"]:
        click.echo(f"{deed['at']:8.2f} s {deed['name']}: {deed['what']} {deed['wrong']}")


def play_fleet(
    text: str,
    as_json: bool,
    quiet: bool,
    keep: str | None,
    directors: int | None,
    plot: str | None,
    model: bool,
) -> None:
    """Raises ConfigError, and OSError where the file can't be written."""
    from .fleet.scenario_parser import parse_fleet_scenario

    scenario = parse_fleet_scenario(text)
    if directors is not None:
        scenario = scenario.with_directors(directors)
    shown = None if quiet or as_json else watch
    if model:
        from ..model.world import play as play_model

        found = play_model(scenario, shown)
        return tell(found, as_json)
    from .fleet.audit import Audit
    from .fleet.observations import read_observations
    from .fleet.runner import FleetLab

    playing = FleetLab(scenario, text, keep)
    try:
        audit = Audit(scenario, read_observations(playing.run(shown)))
        if plot is not None:
            from .fleet.heatmap import draw

            draw(audit, plot)
    except RuntimeError as wrong:
        click.echo(f"mulleinrelay: {wrong}", err=True)
        sys.exit(1)
    finally:
        playing.remove_folder()
    if shown is not None:
        click.echo("", err=True)
    tell(audit.figures(), as_json)


def tell(found: dict, as_json: bool) -> None:
    if as_json:
        return click.echo(orjson.dumps(found))
    for name, value in found.items():
        if name != "faults":
            click.echo(f"{name:<24} {value}")
    for fault in found.get("faults", ()):
        word = "begins" if fault["begins"] else "ends"
        met = f"{fault['directors']} directors, nodes {', '.join(fault['nodes']) or 'none'}"
        click.echo(
            f"{fault['at']:8.2f} s {fault['name']}: {fault['what']} {word}; {met} {fault['wrong']}"
        )
