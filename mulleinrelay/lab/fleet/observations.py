"""What the processes of a play wrote down: records of nodes, event stream, clients and the lab.

Each process appends JSON lines to a file `*.records`; the first item of a line names its type.
Times in the files are Unix ms; once read, they are seconds from the play's start.
"""

import os
from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import orjson


class AttemptRecord(NamedTuple):
    """A command that reached a node; `is_outdated`: it was answered with a purged copy."""

    at_s: float
    director: int
    node: str
    request_class: str
    object_id: str  # in hexadecimal
    fill_source: str
    flags: str
    answer: str
    reason: str
    is_outdated: int
    command_id: str


class RequestRecord(NamedTuple):
    """A client's request over all its tries."""

    at_s: float
    duration_ms: float
    location: str
    first_director: int
    director: int
    request_class: str
    object_id: int
    outcome: str
    tries: int


class FaultRecord(NamedTuple):
    """The start or end of a fault; `error`: why it could not be injected, else empty."""

    at_s: float
    name: str
    kind: str
    is_start: bool
    directors: list[int]
    nodes: list[str]
    location: str
    error: str


class NotificationRecord(NamedTuple):
    """An endpoint update that was sent to a director."""

    at_s: float
    director: int
    node: str
    state: str
    started_ms: float


class ConnectionRecord(NamedTuple):
    """A connection of a director to a node that began (1) or ended (-1)."""

    at_s: float
    director: int
    node: str
    change: int


class HealthCheckRecord(NamedTuple):
    """A health check or load report poll that reached a node."""

    at_s: float
    director: int
    node: str
    command: str


class DirectorRecord(NamedTuple):
    """Something of one director that needs no more fields."""

    at_s: float
    director: int


class DisconnectRecord(NamedTuple):
    """Requests that were in flight when a client's connection ended."""

    at_s: float
    director: int
    requests: int


class NodeCrashRecord(NamedTuple):
    """A node that overload has ended."""

    at_s: float
    node: str


class UsageRecord(NamedTuple):
    """A director's use of the machine over the play; it has no time."""

    director: int
    cpu_s: float
    resident_mb: float


class ExecutionRecord(NamedTuple):
    """Writes with several executions, writes, and fetches from the origin; it has no time."""

    repeated: int
    executed: int
    origin_fetches: int


@dataclass(slots=True)
class Observations:
    """All records of a play.

    Attributes:
        started_at: Start of the play in ms.
        seconds: Its length.
        ready_after_s: Time until all directors were ready.
        attempts: By time.
        requests: In the order of the files.
        other_records: Further records by type; those in RECORD_TYPES have its classes.
    """

    started_at: float = 0.0
    seconds: float = 0.0
    ready_after_s: float = 0.0
    attempts: list[AttemptRecord] = field(default_factory=list)
    requests: list[RequestRecord] = field(default_factory=list)
    other_records: dict[str, list[Any]] = field(default_factory=lambda: defaultdict(list))


RECORD_TYPES: dict[str, Any] = {
    "attempt": AttemptRecord,
    "look": RequestRecord,
    "fault": FaultRecord,
    "told": NotificationRecord,
    "conn": ConnectionRecord,
    "probe": HealthCheckRecord,
    "late": DirectorRecord,
    "twice": DirectorRecord,
    "term": DirectorRecord,
    "again": DirectorRecord,
    "cut": DisconnectRecord,
    "fell": NodeCrashRecord,
    "use": UsageRecord,
    "effects": ExecutionRecord,
}
TYPES_WITHOUT_TIME = ("use", "node", "effects")


def read_observations(folder: str) -> Observations:
    """Read all files of records in a folder; a last line that was cut short is left out."""
    lines: list[list[Any]] = []
    for name in sorted(os.listdir(folder)):
        if name.endswith(".records"):
            with open(os.path.join(folder, name), "rb") as file:
                lines += [orjson.loads(line) for line in file if line.endswith(b"\n")]
    began = next(line for line in lines if line[0] == "began")
    observations = Observations(*began[1:4])
    for record_type, *values in lines:
        if record_type == "began":
            observations.other_records[record_type].append(tuple(values))
            continue
        if record_type not in TYPES_WITHOUT_TIME:
            values[0] = (values[0] - observations.started_at) / 1000.0
        make = RECORD_TYPES.get(record_type)
        record: Any = tuple(values) if make is None else make(*values)
        if record_type == "attempt":
            observations.attempts.append(record)
        elif record_type == "look":
            observations.requests.append(record)
        else:
            observations.other_records[record_type].append(record)
    observations.attempts.sort(key=lambda attempt: attempt.at_s)
    return observations
