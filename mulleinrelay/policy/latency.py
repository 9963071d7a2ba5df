"""Measurements of each endpoint by one director: decaying histograms and endpoint statistics."""

from operator import mul

from .model import Attempt, Endpoint
from .outlier_detection import OutlierDetector
from .slow_start import SlowStartBudget

BIN_COUNT = 11
# Middles of the bins, in the unit of the measurements. The first bin is [4, 8), and also counts
# smaller values; the last bin also counts larger ones.
BIN_MIDDLES = [6.0 * 2.0**number for number in range(BIN_COUNT)]
MAX_HALVINGS = 30  # bound of the power; after so many halvings a weight is practically 0
MIN_WEIGHT_FOR_MEAN = 0.1  # a smaller total weight is the remainder of old measurements
MIN_HALF_WEIGHT_FOR_MEDIAN = 1.0  # half of the weight of two measurements
RECENT_HALF_LIFE = 2000.0  # ms; of the delays by which endpoints are chosen
USUAL_HALF_LIFE = 16_000.0  # ms; of the usual level that recent delays are compared with


class DecayingHistogram:
    """Histogram whose bins double in width and whose weights decay.

    Each measurement adds 1 to the weight of its bin. Weights are halved in whole half-lives, when
    the histogram is read or a measurement is added. Not thread-safe.
    """

    __slots__ = ("half_life", "next_decay_at", "weights")

    def __init__(self, half_life: float) -> None:
        """Create an empty histogram; `half_life` is in ms."""
        self.weights = [0.0] * BIN_COUNT
        self.half_life = half_life
        self.next_decay_at = 0.0

    def decay(self, now: float) -> None:
        """Halve all weights once for each half-life since the last halving."""
        if now >= self.next_decay_at:
            halvings = min(MAX_HALVINGS, 1 + int((now - self.next_decay_at) / self.half_life))
            self.weights = [weight * 0.5**halvings for weight in self.weights]
            self.next_decay_at = now + self.half_life

    def add(self, now: float, value: float) -> None:
        """Add one measurement."""
        self.decay(now)
        bin_index = int(max(value, 1.0)).bit_length() - 3
        self.weights[min(BIN_COUNT - 1, max(0, bin_index))] += 1.0

    def totals(self, now: float) -> tuple[float, float]:
        """Return the weighted sum of the measurements and the sum of their weights.

        Each measurement counts as the middle of its bin. The method also decays the weights.
        """
        # Repeat the check of `decay` to save a call: this method runs several times for a request.
        if now >= self.next_decay_at:
            self.decay(now)
        return sum(map(mul, self.weights, BIN_MIDDLES)), sum(self.weights)

    def mean(self, now: float) -> float | None:
        """Return the mean; None if there are too few measurements."""
        total, weight = self.totals(now)
        return total / weight if weight >= MIN_WEIGHT_FOR_MEAN else None

    def median(self, now: float) -> float:
        """Return the median; 0 if there are too few measurements.

        Unlike the mean, the median is not moved by a few outliers.
        """
        self.decay(now)
        half = sum(self.weights) / 2.0
        if half < MIN_HALF_WEIGHT_FOR_MEDIAN:
            return 0.0
        for bin_index, weight in enumerate(self.weights):
            if half < weight:
                return 4.0 * 2.0**bin_index * (1.0 + half / weight)
            half -= weight
        return 0.0


class TrackedEndpoint(Endpoint):
    """Cache, parent or origin with the measurements that this director has of it.

    `EndpointTable` sets the fields of `Endpoint`, and calls `reset` when an endpoint is new or has
    restarted. `EndpointHealthMonitor` changes the health fields, `AttemptRecorder` the histograms
    and `last_reset_at`, `SlowStartAdmission` the slow-start budget, and the router the attempts in
    flight. `EndpointFilter` also changes `next_trial_at`. All other classes only read the endpoint.

    Times are ms and are 0 before the first such event since the last `reset`.

    Attributes:
        recent_delay: Delays in ms of fills through the endpoint, over the last seconds.
        usual_delay: The same delays over a longer time.
        hit_lateness: Time that hits took beyond their transfer time, in percent of the transfer
            time. An attempt that the endpoint rejects counts as a late hit.
        outlier_detector: Recent successes and failures of the endpoint.
        last_heard_at: Time of the endpoint's last response.
        silence: Number of overdue attempts since the last response; an attempt that is only
            slightly overdue counts as a fraction.
        last_reset_at: Time of the last reset of a connection that counted as a failure.
        is_ejected: Whether the endpoint is ejected (see `endpoint_health`).
        is_unreachable: Whether the endpoint is ejected because it was not reached.
        ejected_at: Time when the endpoint was last ejected or reinstated.
        next_trial_at: Earliest time of the next trial request.
        attempts_in_flight: Attempts at the endpoint that have not ended; the values are unused.
        slow_start: Budget of this director for the endpoint during slow start.
    """

    def reset(self) -> None:
        """Clear all attributes above, since the endpoint is new or has restarted."""
        self.recent_delay = DecayingHistogram(RECENT_HALF_LIFE)
        self.usual_delay = DecayingHistogram(USUAL_HALF_LIFE)
        self.hit_lateness = DecayingHistogram(RECENT_HALF_LIFE)
        self.outlier_detector = OutlierDetector()
        self.last_heard_at = 0.0
        self.silence = 0.0
        self.last_reset_at = 0.0
        self.is_ejected = False
        self.is_unreachable = False
        self.ejected_at = 0.0
        self.next_trial_at = 0.0
        self.attempts_in_flight: dict[Attempt, None] = {}
        self.slow_start = SlowStartBudget()
