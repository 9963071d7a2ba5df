"""Health checks: which endpoints a director pings or polls for a load report, and when.

The health checks of hundreds of directors add up: all directors suspect a failed endpoint at the
same time, and directors with few requests could poll as often as busy ones. Therefore:

* Pings: an endpoint that is suspected to be unreachable is pinged until it answers. The more
  directors share the endpoint, the longer the interval of each, so that the total rate of pings is
  bounded. Every interval has random jitter, so that directors that suspect an endpoint at the same
  time do not ping it at the same time.
* Load report polls: a director earns polls by its requests and spends them on randomly chosen
  endpoints, at a limited rate. A director with hardly any requests still polls occasionally.

Pings and polls are the same action for the router's caller: it sends the endpoint a health check,
and passes the result to the router.

No I/O and no clock: the time is an argument, in ms, and the source of randomness is passed in. Not
thread-safe.
"""

import math
from collections.abc import Collection, Hashable, Sequence
from dataclasses import dataclass
from random import Random

# Minimum of the mean interval in ms at which one director pings a suspected endpoint.
MIN_PING_INTERVAL = 500.0
# The mean interval in ms is this times the number of directors that share the endpoint, but at
# least the minimum. All directors together therefore send an endpoint about 20 pings a second at
# most.
PING_INTERVAL_PER_DIRECTOR = 50.0
# The first ping is sent after a random fraction of the interval, at least this one.
MIN_FIRST_PING_FRACTION = 0.25
# Maximum fraction by which every later interval is randomly lengthened or shortened.
PING_JITTER = 0.25

# Minimum interval in ms between two polls of one director.
MIN_POLL_INTERVAL = 500.0
# Maximum interval in ms between two polls; a director without requests polls at this interval.
MAX_POLL_INTERVAL = 30_000.0
# Polls that a request earns, and the maximum number of earned polls that are not sent yet.
POLLS_PER_REQUEST = 0.2
MAX_SAVED_POLLS = 4.0
# Cost of sending one poll with each request, in the unit of `RequestClass.priority_weight`. Up to
# this cost, a request earns `POLLS_PER_REQUEST` polls; if polls cost more, a request earns fewer.
REFERENCE_POLL_COST = 0.014


def ping_interval(sharing_directors: int) -> float:
    """Return the mean interval in ms between two pings of one director to an endpoint.

    Args:
        sharing_directors: Number of directors that share the endpoint.
    """
    return max(MIN_PING_INTERVAL, PING_INTERVAL_PER_DIRECTOR * sharing_directors)


@dataclass(slots=True)
class PingSchedule:
    """Time of the next ping of a suspected endpoint, and the mean interval after it, in ms."""

    next_at: float
    interval: float


class HealthCheckScheduler:
    """Scheduler of one director's pings and load report polls."""

    def __init__(
        self, now: float, random: Random, polls_load_reports: bool, poll_cost: float = 0.0
    ) -> None:
        """Create the scheduler; first polls are at random times, as directors may start together.

        The cost of one poll determines how many polls a request earns. The loss due to outdated
        load reports is inversely proportional to the rate of polls, and the total cost of polls is
        proportional to their rate. The optimal rate is therefore inversely proportional to the
        square root of the cost of one poll.

        Args:
            now: The current time in ms.
            random: The director's source of randomness.
            polls_load_reports: Whether endpoints report their load when polled; False: never poll.
            poll_cost: Cost of sending one poll with each request, in the unit of
                `RequestClass.priority_weight`; 0: unknown.
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
        """Add the fraction of a poll that a received request earns."""
        self.saved_polls = min(MAX_SAVED_POLLS, self.saved_polls + self._polls_per_request)

    def schedule_pings(
        self,
        endpoint: Hashable,
        now: float,
        sharing_directors: int,
        first_within: float = math.inf,
    ) -> None:
        """Schedule regular pings of a suspected endpoint until `cancel_pings`.

        If pings of the endpoint are scheduled already, the schedule is replaced only if the new
        first ping is earlier than the next scheduled one.

        Args:
            endpoint: The endpoint that is suspected to be unreachable.
            now: The current time in ms.
            sharing_directors: Number of directors that may ping it.
            first_within: Maximum time in ms until the first ping; at most the mean interval counts.
        """
        interval = ping_interval(sharing_directors)
        jitter = MIN_FIRST_PING_FRACTION + (1.0 - MIN_FIRST_PING_FRACTION) * self._random.random()
        delay = min(first_within, interval) * jitter
        scheduled = self._pings.get(endpoint)
        if scheduled is None or delay < scheduled.next_at - now:
            self._pings[endpoint] = PingSchedule(now + delay, interval)

    def cancel_pings(self, endpoint: Hashable) -> None:
        """Cancel the pings of an endpoint that has answered or no longer needs them."""
        self._pings.pop(endpoint, None)

    def cancel_pings_except(self, endpoints: Collection[Hashable]) -> None:
        """Cancel the pings of all endpoints except these."""
        self._pings = {
            endpoint: schedule
            for endpoint, schedule in self._pings.items()
            if endpoint in endpoints
        }

    def pinged_endpoints(self) -> list[Hashable]:
        """Return the endpoints that are pinged."""
        return list(self._pings)

    def take_due(self, now: float, endpoints: Sequence[Hashable]) -> list[Hashable]:
        """Return the endpoints to ping or poll now, and schedule the next pings and poll.

        Args:
            now: The current time in ms.
            endpoints: Endpoints that may be polled for a load report; at most one of them is
                chosen, at random.
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
