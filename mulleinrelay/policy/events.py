"""Events that a caller hands to `Router.handle`.

Events are immutable. The events of one call are handled in the given order, and all have the time
of the call.
"""

from dataclasses import dataclass
from typing import NamedTuple

from .latency import TrackedEndpoint
from .model import Attempt, CacheStatus, EndpointState, Outcome, Request

LoadReport = dict[str, float]  # values by their names in `ServiceSettings.load_report_fields`


@dataclass(frozen=True, slots=True)
class RequestReceived:
    """A client's request was received and must be routed."""

    request: Request


@dataclass(frozen=True, slots=True)
class AttemptFinished:
    """An attempt has ended, successfully or not.

    Attributes:
        attempt: The attempt.
        outcome: How the attempt ended.
        elapsed: Time in ms since the attempt was sent.
        is_request_complete: Whether the request is complete: this attempt has served it, or it was
            complete before (served, rejected or failed, or its client has left).
        cache_status: How the endpoint obtained the answer, as reported by the endpoint.
        first_byte_delay: Time in ms until the fill source's first byte, as reported by the
            endpoint; 0 if not reported.
        load: The load report that was received with the answer; None if there was none.
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
        """Return the event for an attempt that is cancelled at the time `now`."""
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
    """A timer that the router has scheduled for a request or an attempt is due.

    If the subject is a request that is not complete, the request ends without an answer; the
    router's caller may also hand over this event earlier, to end a request immediately. If the
    subject is an attempt in flight, the router checks whether the attempt is overdue, unless its
    request is complete.
    """

    subject: Request | Attempt


@dataclass(frozen=True, slots=True)
class HealthCheckFinished:
    """A health check was answered, or failed (`is_healthy` is False).

    `load` is None if no load report was received.
    """

    endpoint: TrackedEndpoint
    load: LoadReport | None
    is_healthy: bool = True


class EndpointEntry(NamedTuple):
    """One endpoint in an update of the endpoint list (see the fields of `Endpoint`)."""

    endpoint: TrackedEndpoint
    state: EndpointState
    weight: float
    kind: int
    zone: int
    advertised_cell: int
    started_at: float


@dataclass(frozen=True, slots=True)
class EndpointsUpdated:
    """The endpoint list has changed.

    If the update is a full snapshot, endpoints without an entry are removed.
    """

    entries: list[EndpointEntry]
    is_full_snapshot: bool


@dataclass(frozen=True, slots=True)
class EndpointListFailed:
    """The subscription to the endpoint list has failed and must be renewed."""


@dataclass(frozen=True, slots=True)
class PurgeReceived:
    """An object, or a group of objects if `object_id` is 0, was purged `age` ms ago."""

    object_id: int
    group: int
    age: float


@dataclass(frozen=True, slots=True)
class ClientLeft:
    """The client of a request no longer waits for an answer."""

    request: Request


@dataclass(frozen=True, slots=True)
class ConnectionOpened:
    """A connection to the endpoint was opened, which proves that the endpoint is reachable."""

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
    """Return the request of an event; None if the event concerns endpoints or purges."""
    match event:
        case RequestReceived(request) | ClientLeft(request):
            return request
        case AttemptFinished(attempt=attempt):
            return attempt.request
        case TimerFired(subject):
            return subject if isinstance(subject, Request) else subject.request
    return None
