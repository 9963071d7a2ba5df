"""Records of a play, written by the processes of nodes, event stream, clients and the lab.

A play is one run of a fleet scenario.

Each process appends lines of JSON to a file `*.records`. The first item of a line is the type of
the record, and the second one is its time, unless the type has no time. This time is in Unix ms in
the file; after reading, it is in seconds from the start of the play.
"""

import os
from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import orjson


class AttemptRecord(NamedTuple):
    """An attempt at a node: a command PULL that reached the node."""

    at_s: float
    director: int
    node: str
    request_class: str
    object_id: str  # in hexadecimal
    fill_source: str  # empty if the command names none
    flags: str  # joined by `+`
    answer: str  # first item of the answer, which tells success from failure
    reason: str  # field `why` of the answer; empty if the answer has none
    is_outdated: int  # 1 if the answer violates a purge, as `EndpointProcess.is_outdated` defines
    command_id: str


class RequestRecord(NamedTuple):
    """A client's request over all its tries, from its creation until its outcome is known."""

    at_s: float  # of the creation
    duration_ms: float
    location: str
    first_director: int  # of the first try; NO_DIRECTOR if there was no try
    director: int  # drawn last, also if that try was not sent; NO_DIRECTOR if none was drawn
    request_class: str
    object_id: int
    outcome: str  # a ReplyOutcome, `no answer`, `cut off` or `nobody` (no further try possible)
    tries: int


class FaultRecord(NamedTuple):
    """The start or end of a fault; `error` is empty if the injection succeeded."""

    at_s: float
    name: str
    kind: str
    is_start: bool
    directors: list[int]  # affected directors; see `ScenarioStep`
    nodes: list[str]  # affected nodes; see `ScenarioStep`
    location: str  # the only affected location; empty for all locations
    error: str


class NotificationRecord(NamedTuple):
    """The state of one node in an endpoint update that was sent to a director.

    The initial snapshot has no such records.
    """

    at_s: float
    director: int
    node: str
    state: str
    started_ms: float  # last restart of the node in Unix ms; 0 if there was none


class ConnectionRecord(NamedTuple):
    """A connection from a director to a node that was opened (`change` 1) or closed (-1)."""

    at_s: float
    director: int
    node: str
    change: int


class HealthCheckRecord(NamedTuple):
    """A health check or load report poll that reached a node."""

    at_s: float
    director: int
    node: str
    command: str  # name of the command


class DirectorRecord(NamedTuple):
    """An event at one director; the type of the record is the kind of event.

    The events are an answer after its call was given up (`late`), a repeated answer (`twice`), and
    the SIGTERM (`term`) and the new start (`again`) of a restart.
    """

    at_s: float
    director: int


class DisconnectRecord(NamedTuple):
    """The end of a client's connection while requests were in flight on it."""

    at_s: float
    director: int
    requests: int  # number of requests in flight


class NodeCrashRecord(NamedTuple):
    """A node that crashed under overload."""

    at_s: float
    node: str


class UsageRecord(NamedTuple):
    """Resource usage of a director; the record has no time."""

    director: int
    cpu_s: float  # during the play; too low if the director was restarted
    resident_mb: float  # at the end of the play; 0 if the director is not running


class ExecutionRecord(NamedTuple):
    """Totals of writes and origin fetches over the whole play; the record has no time."""

    repeated: int  # writes that were executed more than once
    executed: int  # writes that were executed at least once
    origin_fetches: int


@dataclass(slots=True)
class Observations:
    """All records of a play.

    Attributes:
        started_at: Start of the play in Unix ms.
        seconds: Length of the play in seconds.
        ready_after_s: Time in seconds from the start of the first director until all were ready.
        attempts: Attempts at nodes, ordered by time.
        requests: Requests of clients, in the order of the lines in the record files.
        other_records: All other records by type: instances of the class in RECORD_TYPES, or tuples
            if the type has no class there.
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
    """Read all files of records in a folder; the incomplete last line of a file is ignored."""
    lines: list[list[Any]] = []
    for name in sorted(os.listdir(folder)):
        if name.endswith(".records"):
            with open(os.path.join(folder, name), "rb") as file:
                lines += [orjson.loads(line) for line in file if line.endswith(b"\n")]
    start_record = next(line for line in lines if line[0] == "began")
    observations = Observations(*start_record[1:4])
    for record_type, *values in lines:
        if record_type == "began":
            observations.other_records[record_type].append(tuple(values))
            continue
        if record_type not in TYPES_WITHOUT_TIME:
            values[0] = (values[0] - observations.started_at) / 1000.0
        record_class = RECORD_TYPES.get(record_type)
        record: Any = tuple(values) if record_class is None else record_class(*values)
        if record_type == "attempt":
            observations.attempts.append(record)
        elif record_type == "look":
            observations.requests.append(record)
        else:
            observations.other_records[record_type].append(record)
    observations.attempts.sort(key=lambda attempt: attempt.at_s)
    return observations
