"""What a director measures of each endpoint: decaying histograms and the endpoint's statistics."""

from operator import mul

from .model import Attempt, Endpoint
from .outlier_detection import OutlierDetector
from .slow_start import SlowStartBudget

BIN_COUNT = 11
BIN_MIDDLES = [6.0 * 2.0**number for number in range(BIN_COUNT)]  # ms; the first bin is [4, 8)
MAX_HALVINGS = 30  # more of them leave nothing in any case
MIN_WEIGHT_FOR_MEAN = 0.1  # less is the rest of measurements long ago
MIN_HALF_WEIGHT_FOR_MEDIAN = 1.0  # two measurements
RECENT_HALF_LIFE = 2000.0  # ms; delays by which endpoints are chosen
USUAL_HALF_LIFE = 16_000.0  # ms; the level that recent delays are compared with


class DecayingHistogram:
    """Weights in bins that double in width, halved from time to time.

    Decay happens when it is read or added to, in whole half-lives. Not thread-safe.
    """

    __slots__ = ("half_life", "next_decay_at", "weights")

    def __init__(self, half_life: float) -> None:
        """Starts empty; `half_life` in ms."""
        self.weights = [0.0] * BIN_COUNT
        self.half_life = half_life
        self.next_decay_at = 0.0

    def decay(self, now: float) -> None:
        """Halves all weights once for each half-life that has passed."""
        if now >= self.next_decay_at:
            halvings = min(MAX_HALVINGS, 1 + int((now - self.next_decay_at) / self.half_life))
            self.weights = [weight * 0.5**halvings for weight in self.weights]
            self.next_decay_at = now + self.half_life

    def add(self, now: float, value: float) -> None:
        """Adds one measurement."""
        self.decay(now)
        number = int(max(value, 1.0)).bit_length() - 3
        self.weights[min(BIN_COUNT - 1, max(0, number))] += 1.0

    def totals(self, now: float) -> tuple[float, float]:
        """The weighted sum of the measurements and the sum of their weights."""
        if now >= self.next_decay_at:  # asked here too, as this is called several times a request
            self.decay(now)
        return sum(map(mul, self.weights, BIN_MIDDLES)), sum(self.weights)

    def mean(self, now: float) -> float | None:
        """The mean; None where hardly anything was measured."""
        total, weight = self.totals(now)
        return total / weight if weight >= MIN_WEIGHT_FOR_MEAN else None

    def median(self, now: float) -> float:
        """The median, which a few outliers do not move; 0 while there are too few measurements."""
        self.decay(now)
        half = sum(self.weights) / 2.0
        if half < MIN_HALF_WEIGHT_FOR_MEDIAN:
            return 0.0
        for number, weight in enumerate(self.weights):
            if half < weight:
                return 4.0 * 2.0**number * (1.0 + half / weight)
            half -= weight
        return 0.0


class TrackedEndpoint(Endpoint):
    """A cache, parent or the origin with what this director has measured of it.

    `EndpointTable` sets the listed fields and calls `reset` when an endpoint is new or has started
    again. `EndpointHealthMonitor` changes the fields of health, `AttemptRecorder` the histograms,
    `SlowStartAdmission` the slow-start budget, and the router the attempts in flight. All others
    only read.

    Attributes:
        recent_delay: Delays as a fill source of the last seconds.
        usual_delay: The same over a longer time.
        hit_lateness: Hits: time beyond their transfer time, in percent of it.
        outlier_detector: Its results as successes and failures.
        last_heard_at: When it last said anything.
        silence: Signs of silence since then; an overdue attempt adds up to one.
        last_reset_at: When a connection to it last broke.
        is_ejected: Whether it is sent nothing but trial requests.
        is_unreachable: Whether it was ejected because it was not reached.
        ejected_at: When it was last ejected or reinstated.
        next_trial_at: When the next trial request may go.
        attempts_in_flight: Attempts that have not ended.
        slow_start: What this director may send it while it warms up.
    """

    def reset(self) -> None:
        """Forgets all measurements."""
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
