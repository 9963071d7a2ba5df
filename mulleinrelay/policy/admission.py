"""Admission thresholds: which requests a director accepts while it is itself the bottleneck.

Once most directors of a location have failed, the remaining ones receive more than they can serve.
Each of them then has to reject some requests at once, and has to choose which.

What is measured is the *utilization* of the scarcest of three resources, from 0 (idle) to 1 (used
up): pending requests, which memory bounds; upstream connections; and CPU time. A lack of CPU time
shows as timers that fire late (`SchedulingDelay`). The caller passes in the largest of the three.

What is decided: all request classes share the resource until it runs short. The last part of it is
reserved, first for requests that are not idempotent, because they have an effect, and then by
priority weight (`AdmissionThresholds`). An idempotent retry counts as less urgent than a first
attempt, since its latency objective has passed or is near. So neither requests of little weight nor
retries starve the others.

Pure: no I/O, no clock. Times are milliseconds of the caller's clock. Not thread-safe.
"""

from collections.abc import Iterable

from .model import IDEMPOTENT, RequestClass

# A timer that fires this late, in ms, means that the director has no CPU time left at all.
SATURATION_DELAY = 400.0
# A measured delay counts half after so many ms: a director that was stopped once recovers fast.
DELAY_HALF_LIFE = 100.0
# Delay alone never counts as a utilization of 1, so that non-idempotent requests are always
# accepted: their threshold is exactly 1.
MAX_DELAY_UTILIZATION = 0.99
# The decay stops after so many half-lives, where nothing is left: keeps the power in range.
MAX_DELAY_HALVINGS = 60.0

# Fraction of the resource that each step reserves for the requests of the steps above.
RESERVED_PER_STEP = 0.125
# At most so many steps are subtracted: half of the resource stays open to every request class.
MAX_RESERVED_STEPS = 4


class SchedulingDelay:
    """How late this director's timers fire: it lacks CPU time, or its process was stopped."""

    def __init__(self) -> None:
        self._delay = 0.0
        self._recorded_at = 0.0

    def record(self, now: float, delay: float) -> None:
        """Records that a timer fired `delay` ms after it was due.

        A delay counts as at most `SATURATION_DELAY`, so that after a stop of any length the
        director accepts requests again as soon as after a short one.
        """
        self._delay = max(min(delay, SATURATION_DELAY), self.remaining(now))
        self._recorded_at = now

    def remaining(self, now: float) -> float:
        """The recorded delay in ms, decayed by `DELAY_HALF_LIFE`."""
        halvings = max(0.0, now - self._recorded_at) / DELAY_HALF_LIFE
        return self._delay * 0.5 ** min(MAX_DELAY_HALVINGS, halvings)

    def utilization(self, now: float) -> float:
        """The utilization of the CPU time, from 0 to `MAX_DELAY_UTILIZATION`."""
        return min(MAX_DELAY_UTILIZATION, self.remaining(now) / SATURATION_DELAY)


def eviction_order(
    has_called: bool, has_sent_request: bool, is_within_call: bool, last_used_at: float
) -> tuple[bool, bool, bool, float]:
    """Sort key of idle client connections; the connection with the smallest key is evicted first.

    The order is: connections that never sent a call; those that sent calls, but never a request
    (for instance only health queries); those with the oldest last call; and at the very end those
    that have sent calls before and are in the middle of sending one.

    This protects regular clients against floods of connections that are silent, only ask for our
    health, or are only kept open, also where the regular clients were accepted after the flood.

    Args:
        has_called: A complete call of any kind has arrived on the connection.
        has_sent_request: One of these calls was a request.
        is_within_call: A part of a further call has arrived.
        last_used_at: When it was opened, or its last call or response was complete, by any one
            clock.
    """
    return has_called, has_called and is_within_call, has_sent_request, last_used_at


class AdmissionThresholds:
    """Up to which utilization the requests of each request class are accepted.

    Each request class has a number of steps. Step 0 belongs to the requests that are not
    idempotent; the priority weights of the idempotent classes follow in falling order. The
    threshold of a class lies `RESERVED_PER_STEP` below 1 for each step.
    """

    def __init__(self, request_classes: Iterable[RequestClass]) -> None:
        classes = list(request_classes)
        idempotent_classes = [each for each in classes if each.idempotency == IDEMPOTENT]
        weights = sorted({each.priority_weight for each in idempotent_classes}, reverse=True)
        first_step = 1 if len(idempotent_classes) < len(classes) else 0
        self._steps = dict.fromkeys(classes, 0)
        for request_class in idempotent_classes:
            self._steps[request_class] = first_step + weights.index(request_class.priority_weight)

    def can_admit(self, request_class: RequestClass, is_retry: bool, utilization: float) -> bool:
        """Whether a request may be accepted now.

        Args:
            request_class: The request's class, one of those given to the constructor.
            is_retry: The client has sent this request before. An idempotent retry counts one step
                lower; for all others the threshold stays, as their effect may depend on the retry.
            utilization: Of the scarcest resource; 1 and above means that nothing of it is left.
        """
        steps = self._steps[request_class]
        if is_retry and request_class.idempotency == IDEMPOTENT:
            steps += 1
        return utilization < 1.0 - RESERVED_PER_STEP * min(steps, MAX_RESERVED_STEPS)
