"""Options of the commands of `mulleinrelay cells`, and what is made of them.

Names, defaults and help texts are the interface of people and scripts, and stay.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

import click

from . import edits
from .migrations import MigrationDemand
from .model import KEEP_SHUFFLE_SHARDS, Assignment, Limits, Rollout

Command = TypeVar("Command", bound=Callable[..., None])

FILE = click.option(
    "--file",
    "path",
    metavar="FILE",
    envvar="MULLEINRELAY_ASSIGNMENT",
    required=True,
    help="The assignment file (default: $MULLEINRELAY_ASSIGNMENT).",
)
RECORDS = click.option("--records", metavar="FOLDER", help="Where directors keep their records.")
JSON = click.option("--json", "as_json", is_flag=True, help="One JSON object instead of text.")


@dataclass(slots=True, frozen=True)
class MigrationOptions:
    """The options of `plan` and `move`, by the names that click derives from them.

    Attributes:
        warm_ms: Duration of the warm-up.
        shift_ms: Duration of the shift; None: computed from the demand.
        drain_ms: Duration of the drain.
        rate: Requests a second of the tenants; None: the demand is not known.
        capacity: Of the receiving caches, in hits a second; None: the demand is not known.
        load: Of the receiving caches already, in hits a second.
        fill_cost: Of a fill, in hits.
        hit_share: Fraction of hits once warm.
        objects: Of the tenants; None: the demand is not known.
    """

    warm_ms: float
    shift_ms: float | None
    drain_ms: float
    rate: float | None
    capacity: float | None
    load: float
    fill_cost: float
    hit_share: float
    objects: float | None

    def demand(self) -> MigrationDemand | None:
        """Returns the demand on the receiving caches; None: it is not given.

        Raises:
            click.UsageError: If a part of it is missing.
        """
        if self.rate is None and self.capacity is None and self.objects is None:
            return None
        if self.rate is None or self.capacity is None or self.objects is None:
            raise click.UsageError("--rate, --capacity and --objects go together")
        return MigrationDemand(
            rate=self.rate,
            load=self.load,
            capacity=self.capacity,
            fill_cost=self.fill_cost,
            hit_ratio=self.hit_share,
            object_count=self.objects,
        )

    def durations(self, demand: MigrationDemand | None) -> edits.StageDurations:
        """Returns the durations of the stages, as given or as the demand needs.

        Raises:
            click.UsageError: If neither a shift nor a demand is given.
            EditRejectedError: If the receiving caches cannot serve the demand.
        """
        if self.shift_ms is not None:
            return edits.StageDurations(self.warm_ms, self.shift_ms, self.drain_ms)
        if demand is None:
            raise click.UsageError(
                "either --shift-ms, or --rate, --capacity and --objects, from which it is reckoned"
            )
        return edits.durations_for_demand(demand, self.warm_ms, self.drain_ms)


def migration_options(command: Command) -> Command:
    """Adds the options of `MigrationOptions`; the last one added is listed first."""
    for name, default, text in (
        ("--drain-ms", 30_000.0, "The old caches still fill so long."),
        ("--shift-ms", None, "Reckoned from the demand where left out."),
        ("--warm-ms", 10_000.0, "The first few objects go over so long."),
        ("--objects", None, "Objects of the tenants that are asked for in some minutes."),
        ("--hit-share", 0.9, "Share of hits once warm."),
        ("--fill-cost", 4.0, "What a fill costs beside a hit."),
        ("--load", 0.0, "What they do already."),
        ("--capacity", None, "What the receiving caches can do, in hits a second."),
        ("--rate", None, "Requests a second of the tenants, at the peak."),
    ):
        add_option = click.option(
            name, type=float, default=default, show_default=default is not None, help=text
        )
        command = add_option(command)
    return command


@dataclass(slots=True, frozen=True)
class RolloutOptions:
    """The options of `release`, by the names that click derives from them.

    Attributes:
        waves: The cells of each wave, separated by blanks or commas.
        wave_ms: The least time between two waves.
        rate: Requests a second of a tenant; 0: no bound.
        open_most: Requests that a tenant may have open; 0: no bound.
        retries: Clients' retries for each first attempt.
        shuffle: Caches of each tenant; None: as the cell has it.
    """

    waves: tuple[str, ...]
    wave_ms: float
    rate: float
    open_most: float
    retries: float
    shuffle: int | None

    def rollout(self, assignment: Assignment, name: str, canary: str, now: float) -> Rollout:
        """Returns the rollout, which starts when all directors have read of it."""
        return Rollout(
            name,
            canary,
            waves=tuple(tuple(wave.replace(",", " ").split()) for wave in self.waves),
            starts_at=now + assignment.propagation_time + assignment.clock_skew,
            wave_duration=self.wave_ms,
            limits=Limits(
                rate=self.rate, max_open_requests=self.open_most, retry_ratio=self.retries
            ),
            shuffle_shards=KEEP_SHUFFLE_SHARDS if self.shuffle is None else self.shuffle,
        )
