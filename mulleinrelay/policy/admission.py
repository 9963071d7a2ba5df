"""Admission control: which requests a director accepts while the director itself is overloaded.

If most directors of a location fail, the remaining ones receive more requests than they can serve.
Each of them then has to reject some requests immediately, and has to choose which.

The input is the *utilization* of the scarcest of three resources, from 0 (idle) to 1 (exhausted):
pending requests, which are limited by memory; upstream connections; and CPU time. A lack of CPU
time shows as timers that fire late (`SchedulingDelay`). The caller passes in the largest of the
three.

All request classes share the resource until it runs short. The last part of the resource is
reserved, first for requests that are not idempotent, because they have an effect, and then by
priority weight (`AdmissionThresholds`). An idempotent request that the client has sent before has a
lower priority, because its latency objective has passed or is near. Therefore neither low-priority
requests nor retries starve other requests.

`eviction_order` determines which idle client connections are evicted first.

No I/O and no clock: the time is an argument, in ms. Not thread-safe.
"""

from collections.abc import Iterable
from typing import NamedTuple

from .model import IDEMPOTENT, RequestClass

# Timer delay in ms that would be a CPU utilization of 1, without the bound `MAX_DELAY_UTILIZATION`.
SATURATION_DELAY = 400.0
# Half-life of a measured delay in ms. It is short so that a director that was suspended once soon
# accepts all requests again.
DELAY_HALF_LIFE = 100.0
# Upper bound of the utilization that is derived from the timer delay. It is below 1, from which on
# non-idempotent requests are rejected, so that delay alone never rejects these.
MAX_DELAY_UTILIZATION = 0.99
# Maximum number of half-lives that are computed. After so many half-lives the delay is practically
# 0; the bound keeps the power in range.
MAX_DELAY_HALVINGS = 60.0

# Fraction of the resource that each step (see `AdmissionThresholds`) reserves for requests with a
# lower step number.
RESERVED_PER_STEP = 0.125
# Maximum number of steps that lower a threshold, so that half of the resource is available to every
# request class.
MAX_RESERVED_STEPS = 4


class SchedulingDelay:
    """Delay of this director's timers, caused by a lack of CPU time or a suspended process."""

    def __init__(self) -> None:
        self._delay = 0.0
        self._recorded_at = 0.0

    def record(self, now: float, delay: float) -> None:
        """Record that a timer fired `delay` ms after it was due.

        A delay counts as at most `SATURATION_DELAY`, so that a director accepts requests again as
        soon after a long suspension as after a short one. An earlier delay is kept if it is larger
        after its decay.
        """
        self._delay = max(min(delay, SATURATION_DELAY), self.remaining(now))
        self._recorded_at = now

    def remaining(self, now: float) -> float:
        """Return the recorded delay in ms, decayed with the half-life `DELAY_HALF_LIFE`."""
        halvings = max(0.0, now - self._recorded_at) / DELAY_HALF_LIFE
        return self._delay * 0.5 ** min(MAX_DELAY_HALVINGS, halvings)

    def utilization(self, now: float) -> float:
        """Return the utilization of the CPU time, from 0 to `MAX_DELAY_UTILIZATION`."""
        return min(MAX_DELAY_UTILIZATION, self.remaining(now) / SATURATION_DELAY)


def eviction_order(
    has_called: bool, has_sent_request: bool, is_within_call: bool, last_used_at: float
) -> tuple[bool, bool, bool, float]:
    """Return the sort key of an idle client connection; the smallest key is evicted first.

    The order is as follows; within a group, the connection with the oldest last use is first:

    * connections that never sent a complete call;
    * connections that sent calls but no request, for instance only health queries;
    * connections that sent requests;
    * connections that sent calls but no request, and are in the middle of sending another call;
    * connections that sent requests, and are in the middle of sending another call.

    This order protects regular clients against floods of connections that are silent, send only
    health queries, or are merely kept open, even if the regular clients connected after the flood.

    Args:
        has_called: Whether a complete call of any kind was received on the connection.
        has_sent_request: Whether one of these calls was a request.
        is_within_call: Whether the beginning of a further call was received, but not its end.
        last_used_at: Time when the connection was opened, or when its last call or response was
            complete. Any clock may be used that is the same for all connections.
    """
    return has_called, has_called and is_within_call, has_sent_request, last_used_at


def pending_utilization(pending: int, of_client: int, maximum: int) -> float:
    """Return the utilization of the pending requests, as it counts for one client.

    The client's own requests count twice, so that a client may hold at most as many as are still
    free. With n clients that ask for more than they get, each holds 1/(n + 1) of the maximum (or of
    the part below a class's threshold), and as many are left for a client that holds none. This is
    max-min fair up to the part that is left. Source: Choudhury and Hahne, "Dynamic queue length
    thresholds for shared-memory packet switches", IEEE/ACM Transactions on Networking 6(2), 1998.

    Args:
        pending: Number of pending requests of all clients.
        of_client: Number of these that are the client's.
        maximum: Maximum number of pending requests.
    """
    return (pending + of_client) / maximum


class ResourceUtilization(NamedTuple):
    """Utilization of each of a director's scarce resources, from 0 (idle) to 1 (exhausted)."""

    pending_requests: float
    cpu: float
    upstream_connections: float

    def name_of_scarcest(self) -> str:
        """Return the name of the resource with the highest utilization."""
        return self._fields[self.index(max(self))]


class AdmissionThresholds:
    """Utilization below which the requests of each request class are accepted.

    Each request class has a step number. Non-idempotent classes have 0. Idempotent classes have 1,
    2 and so on by descending priority weight; classes of equal weight share a number. If all
    classes are idempotent, their numbers begin at 0. The threshold of a class is 1 minus
    `RESERVED_PER_STEP` times its step number, of which at most `MAX_RESERVED_STEPS` count.
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
        """Return whether a request may be accepted now.

        Args:
            request_class: The request's class, one of those given to the constructor.
            is_retry: Whether the client has sent this request before. The step number of an
                idempotent retry is greater by one. The threshold of a non-idempotent retry is
                unchanged, as the request's effect may depend on the retry.
            utilization: Utilization of the scarcest resource; 1 and above means that it is
                exhausted.
        """
        steps = self._steps[request_class]
        if is_retry and request_class.idempotency == IDEMPOTENT:
            steps += 1
        return utilization < 1.0 - RESERVED_PER_STEP * min(steps, MAX_RESERVED_STEPS)
