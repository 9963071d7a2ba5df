"""Options of the commands of `mulleinrelay cells`, and their conversion to edits.

Names and defaults of options are an interface that scripts depend on; they must not change.
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
    help="Path of the assignment file (default: $MULLEINRELAY_ASSIGNMENT).",
)
RECORDS = click.option("--records", metavar="FOLDER", help="Folder with the directors' records.")
JSON = click.option("--json", "as_json", is_flag=True, help="Print one JSON object, not text.")


@dataclass(slots=True, frozen=True)
class MigrationOptions:
    """The values of the options of `plan` and `move`.

    Each attribute has the name that click derives from its option, such as `warm_ms` for --warm-ms.

    Attributes:
        warm_ms: Duration of the warm-up.
        shift_ms: Duration of the shift; None if it is to be computed from the demand.
        drain_ms: Duration of the drain.
        rate: Requests per second of the tenants at their peak; None if the demand is not known.
        capacity: Capacity of the receiving caches, in hits per second; None if the demand is not
            known.
        load: Present load of the receiving caches, in hits per second.
        fill_cost: Cost of a fill, as a multiple of the cost of a hit.
        hit_share: Hit ratio once the caches are warm, 0 to 1.
        objects: Number of the tenants' objects that are requested within a few minutes; None if
            the demand is not known.
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
        """Return the demand on the receiving caches; None if it is not known.

        Raises:
            click.UsageError: If some, but not all, of --rate, --capacity and --objects are given.
        """
        if self.rate is None and self.capacity is None and self.objects is None:
            return None
        if self.rate is None or self.capacity is None or self.objects is None:
            raise click.UsageError("--rate, --capacity and --objects must be given together")
        return MigrationDemand(
            rate=self.rate,
            load=self.load,
            capacity=self.capacity,
            fill_cost=self.fill_cost,
            hit_ratio=self.hit_share,
            object_count=self.objects,
        )

    def durations(self, demand: MigrationDemand | None) -> edits.StageDurations:
        """Return the durations of the stages; without --shift-ms, the demand gives the shift.

        Raises:
            click.UsageError: If neither the duration of the shift nor a demand is given.
            EditRejectedError: If the receiving caches cannot serve the demand.
        """
        if self.shift_ms is not None:
            return edits.StageDurations(self.warm_ms, self.shift_ms, self.drain_ms)
        if demand is None:
            raise click.UsageError(
                "give either --shift-ms, or --rate, --capacity and --objects to compute it"
            )
        return edits.durations_for_demand(demand, self.warm_ms, self.drain_ms)


def migration_options(command: Command) -> Command:
    """Add the options of `MigrationOptions` to a command.

    The help text lists the options in the reverse order of the loop, because click puts the option
    that was added last first.
    """
    for name, default, text in (
        ("--drain-ms", 30_000.0, "Time after the shift in which the old caches still fill misses."),
        ("--shift-ms", None, "Duration of the shift; computed from the demand if not given."),
        ("--warm-ms", 10_000.0, "Duration of the warm-up, in which the first few objects move."),
        ("--objects", None, "Objects of the tenants that are requested within a few minutes."),
        ("--hit-share", 0.9, "Hit ratio once the caches are warm."),
        ("--fill-cost", 4.0, "Cost of a fill, in hits."),
        ("--load", 0.0, "Present load of the receiving caches, in hits per second."),
        ("--capacity", None, "Capacity of the receiving caches, in hits per second."),
        ("--rate", None, "Requests per second of the tenants at their peak."),
    ):
        add_option = click.option(
            name, type=float, default=default, show_default=default is not None, help=text
        )
        command = add_option(command)
    return command


@dataclass(slots=True, frozen=True)
class RolloutOptions:
    """The values of the options of `release`.

    Each attribute has the name that click derives from its option, such as `wave_ms` for --wave-ms.

    Attributes:
        waves: One text for each wave: the names of its cells, separated by spaces or commas.
        wave_ms: Minimum time between two waves.
        rate: Requests per second of a tenant; 0 if they are not limited.
        open_most: Maximum number of open requests of a tenant; 0 if it is not limited.
        retries: Retries of idempotent requests that clients may send for each first attempt.
        shuffle: Number of caches of each tenant; 0 for all caches of the cell, None to keep the
            number that the cell has.
    """

    waves: tuple[str, ...]
    wave_ms: float
    rate: float
    open_most: float
    retries: float
    shuffle: int | None

    def rollout(self, assignment: Assignment, name: str, canary: str, now: float) -> Rollout:
        """Return the rollout; it starts once all directors have read the assignment file."""
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
