"""Health checks: which endpoints a director pings or polls for a load report, and when.

What one director sends adds up over hundreds of them: an endpoint that fails is suspected by all
directors at once, and directors with hardly any requests would poll as often as busy ones. So:

* Pings: a suspected endpoint is pinged until it answers. The more directors share the endpoint, the
  longer the interval of each, so that the pings of all together stay bounded. Every interval has
  random jitter, so that directors that start to suspect it together don't ping it together.
* Load report polls: a director earns polls by its requests and spends them on a randomly chosen
  endpoint, at a limited rate. One with hardly any requests still polls now and then.

To the caller both are the same action: it sends the endpoint a health check, and passes on what
the answer brings.

Pure: no I/O, no clock; the source of randomness is passed in. Times are milliseconds of the
caller's clock. Not thread-safe.
"""

import math
from collections.abc import Collection, Hashable, Sequence
from dataclasses import dataclass
from random import Random

# Mean interval in ms at which one director pings a suspected endpoint that few directors share ...
MIN_PING_INTERVAL = 500.0
# ... and what each director that shares it adds, where this is more: all of them together send it
# 20 pings a second.
PING_INTERVAL_PER_DIRECTOR = 50.0
# The first ping comes after a random part of the interval, of at least this fraction.
MIN_FIRST_PING_FRACTION = 0.25
# Every later interval is changed at random by up to this fraction of it.
PING_JITTER = 0.25

# Between two polls of one director lie so many ms at the least.
MIN_POLL_INTERVAL = 500.0
# A director without requests still polls once in so many ms.
MAX_POLL_INTERVAL = 30_000.0
# Polls that a request earns, and how many may be saved up.
POLLS_PER_REQUEST = 0.2
MAX_SAVED_POLLS = 4.0
# Cost of one poll a request, in priority weight, up to which a request earns that many polls.
REFERENCE_POLL_COST = 0.014


def ping_interval(sharing_directors: int) -> float:
    """Mean ms between two pings of one director to an endpoint that so many directors share."""
    return max(MIN_PING_INTERVAL, PING_INTERVAL_PER_DIRECTOR * sharing_directors)


@dataclass(slots=True)
class PingSchedule:
    """When a suspected endpoint is pinged next, and the mean interval from then on, in ms."""

    next_at: float
    interval: float


class HealthCheckScheduler:
    """Decides when one director sends pings and load report polls, and to which endpoints."""

    def __init__(
        self, now: float, random: Random, polls_load_reports: bool, poll_cost: float = 0.0
    ) -> None:
        """Spreads the first polls at random, as directors may start together.

        The value of load reports falls as one over their rate, so the best rate falls with the
        square root of the cost.

        Args:
            now: The current time in ms.
            random: The director's source of randomness.
            polls_load_reports: Endpoints report their load when polled; False: never poll.
            poll_cost: Cost of one poll a request, in priority weight.
        """
        cost_ratio = REFERENCE_POLL_COST / max(poll_cost, REFERENCE_POLL_COST)
        self._polls_per_request = POLLS_PER_REQUEST * math.sqrt(cost_ratio)
        self._random = random
        self._polls_load_reports = polls_load_reports
        self._pings: dict[Hashable, PingSchedule] = {}  # by suspected endpoint
        self.saved_polls = random.random()
        self._next_poll_at = now + MIN_POLL_INTERVAL * random.random()
        self._forced_poll_at = now + MAX_POLL_INTERVAL * random.random()

    def record_request(self) -> None:
        """A request has arrived; it earns a part of a poll."""
        self.saved_polls = min(MAX_SAVED_POLLS, self.saved_polls + self._polls_per_request)

    def schedule_pings(
        self,
        endpoint: Hashable,
        now: float,
        sharing_directors: int,
        first_within: float = math.inf,
    ) -> None:
        """Pings a suspected endpoint regularly until `cancel_pings`.

        Where it is being pinged already, only an earlier first ping replaces the schedule.

        Args:
            endpoint: The endpoint that is suspected to be unreachable.
            now: The current time in ms.
            sharing_directors: Directors that may ping it.
            first_within: The first ping comes after so many ms at the latest.
        """
        interval = ping_interval(sharing_directors)
        jitter = MIN_FIRST_PING_FRACTION + (1.0 - MIN_FIRST_PING_FRACTION) * self._random.random()
        delay = min(first_within, interval) * jitter
        scheduled = self._pings.get(endpoint)
        if scheduled is None or delay < scheduled.next_at - now:
            self._pings[endpoint] = PingSchedule(now + delay, interval)

    def cancel_pings(self, endpoint: Hashable) -> None:
        """The endpoint has answered, or need not be pinged any more for another reason."""
        self._pings.pop(endpoint, None)

    def cancel_pings_except(self, endpoints: Collection[Hashable]) -> None:
        """Cancels the pings to all other endpoints."""
        self._pings = {
            endpoint: schedule
            for endpoint, schedule in self._pings.items()
            if endpoint in endpoints
        }

    def take_due(self, now: float, endpoints: Sequence[Hashable]) -> list[Hashable]:
        """Returns the endpoints to contact now, and schedules the next ping and poll.

        Args:
            now: The current time in ms.
            endpoints: Those that may be polled for a load report; one at most is, picked at random.
        """
        due = [endpoint for endpoint, schedule in self._pings.items() if now >= schedule.next_at]
        for endpoint in due:
            schedule = self._pings[endpoint]
            jitter = 1.0 - PING_JITTER + 2.0 * PING_JITTER * self._random.random()
            schedule.next_at = now + schedule.interval * jitter
        if endpoints and self._is_poll_due(now):
            self.saved_polls = max(0.0, self.saved_polls - 1.0)
            self._next_poll_at = now + MIN_POLL_INTERVAL
            self._forced_poll_at = now + MAX_POLL_INTERVAL
            due.append(self._random.choice(endpoints))
        return due

    def _is_poll_due(self, now: float) -> bool:
        if not self._polls_load_reports or now < self._next_poll_at:
            return False
        return self.saved_polls >= 1.0 or now >= self._forced_poll_at
