"""Actions that the router asks its caller to carry out.

Actions are typed method calls on an `ActionSink`, made during `Router.handle` in the order of the
decisions. They are calls and not objects because a busy director makes several for each request.
"""

from typing import NamedTuple, Protocol

from .latency import TrackedEndpoint
from .model import Attempt, Request


class SendOptions(NamedTuple):
    """Options that tell an endpoint how to serve an attempt.

    Attributes:
        max_age: Maximum age of a cached copy that may be served, in ms; 0: any age.
        retention_rank: How long the cache should keep the object: 0 (not at all), 1, or 2 (longer).
        allow_coalescing: Whether the cache may wait for a fill of the same object that is in
            progress.
        only_if_cached: Whether the fill source may answer only from its own cache, and not fill the
            object itself.
        store_at_parent: Whether a parent through which the object is filled should store it.
        revalidate: Whether a copy past its freshness lifetime must be revalidated.
    """

    max_age: float
    retention_rank: int
    allow_coalescing: bool
    only_if_cached: bool
    store_at_parent: bool
    revalidate: bool


class ActionSink(Protocol):
    """Interface through which the router's decisions are carried out.

    Implementations must not call the router from these methods.
    """

    def send_attempt(self, attempt: Attempt, options: SendOptions) -> None:
        """Send this attempt and its options to the attempt's endpoint."""

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Cancel this attempt.

        The router's caller then reports the end of the attempt with `Outcome.CANCELLED`.
        """

    def reject_request(self, request: Request, retry_after: float) -> None:
        """Tell the client that its request was not served and that a retry is safe.

        Args:
            request: The rejected request.
            retry_after: Time in ms after which the client should retry; 0: not specified.
        """

    def fail_request(self, request: Request) -> None:
        """Tell the client that its request failed and may have had its effect."""

    def schedule_timer(self, delay: float, subject: Request | Attempt) -> None:
        """Hand a `TimerFired` event for the subject to the router after `delay` ms."""

    def check_health(self, endpoint: TrackedEndpoint) -> None:
        """Send a health check; a `HealthCheckFinished` event reports its result."""

    def subscribe_to_endpoints(self) -> None:
        """Subscribe to the endpoint list."""

    def log(self, text: str) -> None:
        """Log a change of overload mode, or of the state of an endpoint or the zone."""
