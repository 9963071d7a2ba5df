"""What comes in: the events that a caller hands to `Router.handle`.

Events are immutable. They are handled in the order given; all events of one call share its time.
"""

from dataclasses import dataclass
from typing import NamedTuple

from .latency import TrackedEndpoint
from .model import Attempt, CacheStatus, EndpointState, Outcome, Request

LoadReport = dict[str, float]  # values by their names in `ServiceSettings.load_report_fields`


@dataclass(frozen=True, slots=True)
class RequestReceived:
    """A client's request has come and is to be routed."""

    request: Request


@dataclass(frozen=True, slots=True)
class AttemptFinished:
    """An attempt has ended, whatever way.

    Attributes:
        attempt: The attempt.
        outcome: How it ended.
        elapsed: Time since it was sent.
        is_request_complete: Whether its request needs no further answer, since this attempt or
            another one gave it.
        cache_status: What the endpoint reported of the answer's way.
        first_byte_delay: What the endpoint reported as the fill source's delay; 0 where it didn't.
        load: The load report that came with the answer, if any.
    """

    attempt: Attempt
    outcome: Outcome
    elapsed: float
    is_request_complete: bool
    cache_status: CacheStatus
    first_byte_delay: float
    load: LoadReport | None

    @classmethod
    def cancelled(cls, attempt: Attempt, now: float) -> "AttemptFinished":
        """The event of an attempt that was cancelled."""
        return cls(
            attempt,
            Outcome.CANCELLED,
            now - attempt.sent_at,
            attempt.request.is_complete,
            CacheStatus.UNKNOWN,
            0.0,
            None,
        )


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer is due that was set for a request (its deadline) or an attempt (overdue check)."""

    subject: Request | Attempt


@dataclass(frozen=True, slots=True)
class HealthCheckFinished:
    """A health check was answered, or failed where not `is_healthy`."""

    endpoint: TrackedEndpoint
    load: LoadReport | None
    is_healthy: bool = True


class EndpointEntry(NamedTuple):
    """The state of one endpoint in an update of the endpoint list."""

    endpoint: TrackedEndpoint
    state: EndpointState
    weight: float
    kind: int
    zone: int
    advertised_cell: int
    started_at: float


@dataclass(frozen=True, slots=True)
class EndpointsUpdated:
    """The endpoint list has changed. With a full snapshot, endpoints without an entry are gone."""

    entries: list[EndpointEntry]
    is_full_snapshot: bool


@dataclass(frozen=True, slots=True)
class EndpointListFailed:
    """The subscription to the endpoint list has broken; it is to be made anew."""


@dataclass(frozen=True, slots=True)
class PurgeReceived:
    """An object, or with `object_id` 0 a group of objects, was purged `age` ms ago."""

    object_id: int
    group: int
    age: float


@dataclass(frozen=True, slots=True)
class ClientLeft:
    """The client of a request has left; no answer is owed any more."""

    request: Request


@dataclass(frozen=True, slots=True)
class ConnectionOpened:
    """A connection to the endpoint came up, which proves that it is reached."""

    endpoint: TrackedEndpoint


Event = (
    RequestReceived
    | AttemptFinished
    | TimerFired
    | HealthCheckFinished
    | EndpointsUpdated
    | EndpointListFailed
    | PurgeReceived
    | ClientLeft
    | ConnectionOpened
)


def request_of(event: Event) -> Request | None:
    """The request that an event is about; None for events about endpoints or purges."""
    match event:
        case RequestReceived(request) | ClientLeft(request):
            return request
        case AttemptFinished(attempt=attempt):
            return attempt.request
        case TimerFired(subject):
            return subject if isinstance(subject, Request) else subject.request
    return None
