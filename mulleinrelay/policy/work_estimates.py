"""How long answers take to send, and what that leaves of a latency objective; pure, times in ms.

The unit of work is the sending time of an answer over one transfer. Where no sizes are known, the
median time that answers took stands in for it.
"""

import math
from dataclasses import dataclass

from .latency import USUAL_HALF_LIFE, DecayingHistogram
from .model import Request, ServiceSettings

MIN_SIZES_FOR_MEAN = 20.0  # sizes after which a class's mean counts for all of its requests
OVERSIZED_FACTOR = 4.0  # objects this many times their class's mean are not kept when first seen
SHARED_OBJECTIVE_FRACTION = 0.4  # of its objective that a request may take: others come meanwhile
LONE_OBJECTIVE_FRACTION = 0.3  # and so much more where this director is alone in its zone
NOISE_SLOWDOWN = 1.2  # a cache or link slowed by less, within the noise of wide bins, takes all


@dataclass(slots=True)
class TransferTotals:
    """Sum and number of the known sending times of a class."""

    total: float = 0.0
    count: float = 0.0


class WorkEstimator:
    """Estimates of sending times by request class.

    Owns the totals and response times of each class; changed only by the `record_` methods.
    """

    def __init__(self, settings: ServiceSettings) -> None:
        self._transfer_rate = settings.transfer_rate
        self._transfers = {each: TransferTotals() for each in settings.request_classes}
        self._response_times = {
            each: DecayingHistogram(USUAL_HALF_LIFE) for each in settings.request_classes
        }
        self._objective_fraction = SHARED_OBJECTIVE_FRACTION + LONE_OBJECTIVE_FRACTION / math.sqrt(
            settings.local_director_count
        )

    def record_request(self, request: Request) -> None:
        """Counts the size of a request that has come, where it is known."""
        if request.size_kb and self._transfer_rate:
            totals = self._transfers[request.request_class]
            totals.total += request.size_kb / self._transfer_rate
            totals.count += 1

    def record_response_time(self, request: Request, elapsed: float, now: float) -> None:
        """An answer, other than one known to be filled, took so long."""
        self._response_times[request.request_class].add(now, elapsed)

    def transfer_time(self, request: Request, now: float) -> float:
        """The sending time of the request's answer: its own, else the mean of its class."""
        if request.size_kb and self._transfer_rate:
            return request.size_kb / self._transfer_rate
        request_class = request.request_class
        totals = self._transfers[request_class]
        if not totals.count:
            return (
                self._response_times[request_class].median(now)
                or request_class.latency_objective / 4
            )
        return totals.total / totals.count

    def slow_start_work(self, request: Request, now: float) -> float:
        """What a request counts as at an endpoint that warms up: the mean of its class.

        Small requests that counted by their own size added up to several times the limit. Where no
        size is known, the time that answers took stands in, and before that the objective.
        """
        request_class = request.request_class
        totals = self._transfers[request_class]
        if not totals.count:
            return (
                self._response_times[request_class].median(now) or request_class.latency_objective
            )
        mean = totals.total / totals.count
        if totals.count >= MIN_SIZES_FOR_MEAN:
            return mean
        return max(self.transfer_time(request, now), mean)

    def is_oversized(self, request: Request, now: float) -> bool:
        """Whether the answer is several times as large as the mean of its class."""
        totals = self._transfers[request.request_class]
        if not totals.count:
            return False
        return self.transfer_time(request, now) > OVERSIZED_FACTOR * totals.total / totals.count

    def objective_left(self, request: Request, now: float) -> float:
        """How long until the request misses its latency objective; negative once it has."""
        request_class = request.request_class
        objective = min(
            request_class.client_timeout,
            request_class.latency_objective
            + request_class.objective_stretch * self.transfer_time(request, now),
        )
        return request.arrived_at + objective - now

    def max_slowdown(self, request: Request, now: float) -> float:
        """By what factor the answer's transfer may be slowed.

        Only a part of the objective is used, since further requests come meanwhile; large answers
        are thus the first to be rejected.
        """
        ratio = self.objective_left(request, now) / self.transfer_time(request, now)
        return max(self._objective_fraction * ratio, min(NOISE_SLOWDOWN, ratio))
