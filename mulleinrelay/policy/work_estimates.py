"""Estimates of transfer times and of the time left until a latency objective.

The work of a request is the transfer time of its answer. If no sizes are known, the median of past
response times is used instead. No I/O and no clock: the time is an argument, in ms.
"""

import math
from dataclasses import dataclass

from .latency import USUAL_HALF_LIFE, DecayingHistogram
from .model import Request, ServiceSettings

# Number of known sizes from which on slow start counts each request as the mean of its class.
MIN_SIZES_FOR_MEAN = 20.0
# Objects larger than this multiple of their class's mean are not stored at their first request.
OVERSIZED_FACTOR = 4.0
# Fraction of the time left until its objective that a request may use for a slowed transfer, as
# other requests are received meanwhile.
SHARED_OBJECTIVE_FRACTION = 0.4
# Addition to this fraction if the director is alone in its zone. With n directors it is divided by
# the square root of n.
LONE_OBJECTIVE_FRACTION = 0.3
# A smaller slowdown of a cache or link is within the noise of the histogram's wide bins.
NOISE_SLOWDOWN = 1.2


@dataclass(slots=True)
class TransferTotals:
    """Sum in ms and number of the transfer times of a class's requests with a known size."""

    total: float = 0.0
    count: float = 0.0


class WorkEstimator:
    """Estimator of transfer times by request class.

    Owns the transfer totals and response times of each class; only the `record_` methods change
    them.
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
        """Count the transfer time of the request's answer, if size and transfer rate are known."""
        if request.size_kb and self._transfer_rate:
            totals = self._transfers[request.request_class]
            totals.total += request.size_kb / self._transfer_rate
            totals.count += 1

    def record_response_time(self, request: Request, elapsed: float, now: float) -> None:
        """Record the response time in ms of a hit, or of an answer without a known status."""
        self._response_times[request.request_class].add(now, elapsed)

    def transfer_time(self, request: Request, now: float) -> float:
        """Return the transfer time of the request's answer.

        If the size or the transfer rate is unknown, the mean transfer time of the request's class
        is used. If the class has no known sizes, its median response time is used, and if there is
        none, a quarter of the latency objective.
        """
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
        """Return the work of a request at an endpoint in slow start: the mean of its class.

        If small requests were counted by their own size, many of them would add up to several times
        the limit. While fewer than `MIN_SIZES_FOR_MEAN` sizes are known, the request's own transfer
        time counts if it exceeds the mean. If no sizes are known, the median response time is used,
        and if there is none, the latency objective.
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
        """Return whether the answer exceeds `OVERSIZED_FACTOR` times the mean of its class.

        The result is False if no sizes of the class are known.
        """
        totals = self._transfers[request.request_class]
        if not totals.count:
            return False
        return self.transfer_time(request, now) > OVERSIZED_FACTOR * totals.total / totals.count

    def objective_left(self, request: Request, now: float) -> float:
        """Return the time until the request misses its latency objective; negative after that.

        The objective grows with the answer's transfer time, up to the client's timeout.
        """
        request_class = request.request_class
        objective = min(
            request_class.client_timeout,
            request_class.latency_objective
            + request_class.objective_stretch * self.transfer_time(request, now),
        )
        return request.arrived_at + objective - now

    def max_slowdown(self, request: Request, now: float) -> float:
        """Return the maximum factor by which the answer's transfer may be slowed.

        Only a fraction of the time left is used, since further requests are received in the
        meantime. Therefore large answers are the first to be rejected. A slowdown up to
        `NOISE_SLOWDOWN` is permitted whenever it fits into the time left. The factor is below 1 if
        even an unslowed transfer would be late.
        """
        ratio = self.objective_left(request, now) / self.transfer_time(request, now)
        return max(self._objective_fraction * ratio, min(NOISE_SLOWDOWN, ratio))
