"""The command `mulleinrelay lab`, which runs a scenario on loopback and prints the figures."""

import os
import sys
from dataclasses import dataclass
from typing import Any, NoReturn

import click
import orjson

from ..errors import ConfigError
from .runner import Lab
from .scenario import Scenario, parse_scenario

EXIT_RUN_FAILED = 1
EXIT_INVALID_SCENARIO = 2
FLEET_SECTION = "[fleet lab]"

Figures = dict[str, Any]


@dataclass(frozen=True, slots=True)
class LabOptions:
    """The options of the command, as its help text describes them."""

    as_json: bool
    quiet: bool
    keep: str | None
    directors: int | None
    plot: str | None
    model: bool

    @property
    def shows_progress(self) -> bool:
        """Whether figures are written to standard error during the run."""
        return not self.quiet and not self.as_json

    @property
    def has_fleet_option(self) -> bool:
        """Whether an option is set that applies to fleet scenarios only."""
        return self.directors is not None or self.plot is not None or self.model


def show_progress(lab: Lab, since_start_s: float) -> None:
    """Write current figures of a run of the lab of tenants to standard error.

    The served fractions cover the requests that were due between 3 s and 1 s ago.

    Args:
        lab: The running lab.
        since_start_s: Time in seconds since the start of the load; negative before it.
    """
    first_s = max(0.0, since_start_s - 3.0)
    fractions = " ".join(
        f"{generator.load.tenant} {generator.served_fraction(first_s, since_start_s - 1.0):.2f}"
        for generator in lab.load_generators
    )
    busiest = max(lab.fleet.nodes.values(), key=lambda node: node.window_load)
    sys.stderr.write(
        f"\r{since_start_s:6.1f} s  served: {fractions}  busiest {busiest.spec.name}   "
    )
    sys.stderr.flush()


def show_fleet_progress(since_start_s: float, asked: int, served: int) -> None:
    """Write how many requests of a run of a fleet scenario were created and served so far.

    Args:
        since_start_s: Time in seconds since the start of the run; negative before it.
        asked: Number of requests created; in simulated time, number of requests completed.
        served: Number of requests served.
    """
    sys.stderr.write(f"\r{since_start_s:6.1f} s  asked {asked}  served {served}   ")
    sys.stderr.flush()


@click.command()
@click.argument("path", metavar="SCENARIO.ini")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object instead of a table.")
@click.option("--quiet", is_flag=True, help="Print no figures during the run.")
@click.option(
    "--keep", metavar="FOLDER", help="Keep configurations, logs and records in this folder."
)
@click.option(
    "--directors", type=int, help="Number of directors, under the same load (fleet scenarios)."
)
@click.option(
    "--plot", metavar="FILE.png", help="Plot the load of each cache over time (fleet scenarios)."
)
@click.option("--model", is_flag=True, help="Run the scenario in simulated time (fleet scenarios).")
def lab(
    path: str,
    as_json: bool,
    quiet: bool,
    keep: str | None,
    directors: int | None,
    plot: str | None,
    model: bool,
) -> None:
    """Run SCENARIO.ini: start stand-ins, directors and load on loopback, and stop them at its end.

    A file with a section [fleet lab] is a fleet scenario: hundreds of directors, with faults
    between processes. All servers and clients are stand-ins, so the figures hold for directors with
    these stand-ins only. Exit codes: 0 success; 1 the scenario could not be run; 2 it is invalid.
    """
    options = LabOptions(as_json, quiet, keep, directors, plot, model)
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
        if FLEET_SECTION in text:
            run_fleet_scenario(text, options)
            return
        if options.has_fleet_option:
            raise click.UsageError(
                "--directors, --plot and --model require a fleet scenario (section [fleet lab])"
            )
        scenario = parse_scenario(text)
    except (ConfigError, UnicodeDecodeError) as error:
        _exit(f"{path}: {error}", EXIT_INVALID_SCENARIO)
    except OSError as error:
        _exit(f"{path}: {error.strerror}", EXIT_INVALID_SCENARIO)
    _run_tenant_scenario(scenario, options)


def _run_tenant_scenario(scenario: Scenario, options: LabOptions) -> None:
    if options.keep is not None:
        os.makedirs(options.keep, exist_ok=True)
    try:
        figures = Lab(scenario, options.keep).run(show_progress if options.shows_progress else None)
    except RuntimeError as error:
        _exit(str(error), EXIT_RUN_FAILED)
    if options.as_json:
        click.echo(orjson.dumps(figures))
        return
    if not options.quiet:
        click.echo("", err=True)
    _print_figures(figures)


def _print_figures(figures: Figures) -> None:
    click.echo(
        f"{'tenant':<12} {'asked':>7} {'share':>6} {'p50 ms':>7} {'p99 ms':>7} "
        f"{'rejected':>8} {'failed':>7}"
    )
    for name, tenant in figures["tenants"].items():
        click.echo(
            f"{name:<12} {tenant.get('asked', 0):>7} {tenant['share']:>6.3f} "
            f"{tenant['p50_ms']:>7.1f} {tenant['p99_ms']:>7.1f} "
            f"{tenant.get('rejected', 0):>8} {tenant.get('failed', 0):>7}"
        )
    for name, node in figures["nodes"].items():
        click.echo(
            f"{name:<12} peak load {node['peak_load']:.2f}, hits {node.get('hits', 0)}, fills "
            f"{node.get('fills', 0)}{'' if node['alive'] else ', DEAD'}"
        )
    total = figures["total"]
    click.echo(
        f"origin fetches {figures['origin_fetches']}, orders run {figures['orders_run']}, run "
        f"twice {figures['orders_run_twice']}, no answer {total['no_answer']}, answered twice "
        f"{total['answers_twice']}, stale {figures['stale']}, CPU a request "
        f"{figures['cpu_ms_a_request']} ms"
    )
    for step in figures["deeds"]:
        click.echo(f"{step['at']:8.2f} s {step['name']}: {step['what']} {step['wrong']}")


def run_fleet_scenario(text: str, options: LabOptions) -> None:
    """Run a fleet scenario, with processes or in simulated time, and print its figures.

    Raises:
        ConfigError: If the scenario is invalid.
        OSError: If a file cannot be written.
        SystemExit: If a run with processes fails; the exit code is EXIT_RUN_FAILED.
    """
    from .fleet.scenario_parser import parse_fleet_scenario

    scenario = parse_fleet_scenario(text)
    if options.directors is not None:
        scenario = scenario.with_directors(options.directors)
    progress = show_fleet_progress if options.shows_progress else None
    if options.model:
        from ..model.simulation import run_scenario as run_simulated_scenario

        _print_fleet_figures(run_simulated_scenario(scenario, progress), options.as_json)
        return
    from .fleet.audit import Audit
    from .fleet.observations import read_observations
    from .fleet.runner import FleetLab

    fleet_lab = FleetLab(scenario, text, options.keep)
    try:
        audit = Audit(scenario, read_observations(fleet_lab.run(progress)))
        if options.plot is not None:
            from .fleet.heatmap import draw

            draw(audit, options.plot)
    except RuntimeError as error:
        _exit(str(error), EXIT_RUN_FAILED)
    finally:
        fleet_lab.remove_folder()
    if progress is not None:
        click.echo("", err=True)
    _print_fleet_figures(audit.figures(), options.as_json)


def _print_fleet_figures(figures: Figures, as_json: bool) -> None:
    if as_json:
        click.echo(orjson.dumps(figures))
        return
    for name, value in figures.items():
        if name != "faults":
            click.echo(f"{name:<24} {value}")
    for fault in figures.get("faults", ()):
        action = "begins" if fault["begins"] else "ends"
        affected = f"{fault['directors']} directors, nodes {', '.join(fault['nodes']) or 'none'}"
        click.echo(
            f"{fault['at']:8.2f} s {fault['name']}: {fault['what']} {action}; {affected} "
            f"{fault['wrong']}"
        )


def _exit(message: str, code: int) -> NoReturn:
    click.echo(f"mulleinrelay: {message}", err=True)
    sys.exit(code)
