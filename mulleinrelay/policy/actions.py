"""What goes out: the actions that the router asks its caller to carry out.

Actions are typed calls on an `ActionSink`, made in order while an event is handled. They are calls
and not objects since a busy director makes several for each request.
"""

from typing import NamedTuple, Protocol

from .latency import TrackedEndpoint
from .model import Attempt, Request


class SendOptions(NamedTuple):
    """How an endpoint is to serve an attempt.

    Attributes:
        max_age: Age above which a cached copy must not be served, in ms; 0: any age.
        retention_rank: How long the cache should keep the object: 0 (not at all), 1 or 2.
        allow_coalescing: Whether it may wait for a fill of the same object that is under way.
        only_if_cached: Whether the fill source is asked only for what it has cached.
        store_at_parent: Whether the parent should keep what passes through it.
        revalidate: Whether a copy past its freshness lifetime is to be revalidated.
    """

    max_age: float
    retention_rank: int
    allow_coalescing: bool
    only_if_cached: bool
    store_at_parent: bool
    revalidate: bool


class ActionSink(Protocol):
    """Carries out the router's decisions. Calls must not call the router back."""

    def send_attempt(self, attempt: Attempt, options: SendOptions) -> None:
        """Send this attempt to its endpoint."""

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Cancel this attempt; it is then reported as finished with `Outcome.CANCELLED`."""

    def reject_request(self, request: Request, retry_after: float) -> None:
        """Tell the client that a retry is safe, after this many ms (0: not said)."""

    def fail_request(self, request: Request) -> None:
        """Tell the client that its request failed and may have had its effect."""

    def schedule_timer(self, delay: float, subject: Request | Attempt) -> None:
        """Hand in `TimerFired` for the subject after so many ms."""

    def check_health(self, endpoint: TrackedEndpoint) -> None:
        """Send a health check; `HealthCheckFinished` reports its result."""

    def subscribe_to_endpoints(self) -> None:
        """Subscribe to the endpoint list."""

    def log(self, text: str) -> None:
        """Write a line about a change of the router's mode."""
