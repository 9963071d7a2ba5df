"""Slow start: the load that one director may send to an endpoint that is warming up.

An endpoint that has just started can serve only a fraction of its capacity, and fails if it
receives much more over a certain window. All directors together must stay below that load, and none
of them knows what the others send. Therefore each director has a share of the endpoint's present
capacity, and counts the work that it has sent within the last window:

* Deterministic part: a request is admitted while the work within the window fits into
  `DETERMINISTIC_FRACTION` of the director's share.
* Probabilistic part: with hundreds of directors the share is less than one request, and the
  deterministic part alone would leave the endpoint idle while it is warming up. Beyond the
  deterministic part, a director therefore draws a random *permit* for one request. Permits are
  generated like a Poisson process, at the rate that `PROBABILISTIC_FRACTION` of the share allows.
  An unused permit expires soon, so that if all directors select the same endpoint at one moment,
  only few of them have a permit.

Directors draw independently. The work that all of them send within a window therefore has the
variance of a sum of independent requests. Its mean is at most `DETERMINISTIC_FRACTION` of the
endpoint's capacity if the shares have room for requests, and at most `PROBABILISTIC_FRACTION * (1 +
PERMIT_LIFETIME)` of the capacity if the directors depend on permits.

The work of a request is the estimated transfer time of its answer in ms. No I/O and no clock: the
time is an argument, in ms, and the source of randomness is passed in. Not thread-safe.
"""

import math
from dataclasses import dataclass
from random import Random

from .model import QuotaShare

# Fraction of the endpoint's present capacity that all directors together use if the share of each
# has room for a request.
DETERMINISTIC_FRACTION = 0.8
# Fraction of the present capacity for which all directors together generate permits. It is lower
# than `DETERMINISTIC_FRACTION` because random requests occur in clusters.
PROBABILISTIC_FRACTION = 0.4
# Lifetime of a permit, as a multiple of the window. It is long enough for a director with few
# requests to still have the permit when it receives a request.
PERMIT_LIFETIME = 1.0
# Minimum work (ms) that the random draw of a permit assumes for the request. It limits the rate of
# permits.
MIN_PERMIT_WORK = 1.0


@dataclass(slots=True)
class SentWork:
    """Work of one request that this director has sent to the endpoint, and when it was sent."""

    sent_at: float
    work: float


class SlowStartBudget:
    """Budget of work that one director may send to one endpoint that is warming up."""

    def __init__(self) -> None:
        self._sent: list[SentWork] = []
        self._last_draw_at = -math.inf
        self._permit_expires_at = -math.inf
        self._permitted_work = 0.0  # work of the request that the last permit is for

    def spend(self, now: float, work: float) -> None:
        """Record that a request with this work was sent; this uses up the permit, if any."""
        self._sent.append(SentWork(now, work))
        self._permit_expires_at = -math.inf

    def record_peaks(
        self, share: QuotaShare, work: float, is_admitted: bool, endpoint_work: float
    ) -> None:
        """Record for the quota exchange which share of the endpoint this director needs.

        Args:
            share: This director's share. `peak_used` is raised to the needed share if the request
                is admitted, otherwise `peak_rejected`.
            work: Work of the request that was admitted or rejected.
            is_admitted: Result of `try_admit` for the request.
            endpoint_work: Work in ms that the endpoint's present capacity allows over the window.
        """
        fraction = (self._sent_work() + work) / (DETERMINISTIC_FRACTION * endpoint_work)
        if is_admitted:
            share.peak_used = max(share.peak_used, fraction)
        else:
            share.peak_rejected = max(share.peak_rejected, fraction)

    def try_admit(
        self, now: float, work: float, capacity_share: float, window: float, random: Random
    ) -> bool:
        """Return whether a request may be sent now; draw a permit if the request needs one.

        Repeated calls with the same time and work return the same answer until `spend` is called.

        Args:
            now: The current time in ms.
            work: Work of the request.
            capacity_share: This director's share of the endpoint's present capacity, work per ms.
            window: Time in ms over which sent work is counted; the endpoint must not be overloaded
                over any such time.
            random: The director's source of randomness.
        """
        self._sent = [sent for sent in self._sent if sent.sent_at >= now - window]
        sent_work = self._sent_work()
        if sent_work + work <= DETERMINISTIC_FRACTION * capacity_share * window:
            return True
        if now < self._permit_expires_at and work <= self._permitted_work:
            return True
        unused_capacity = PROBABILISTIC_FRACTION * capacity_share - sent_work / window
        return self._draw_permit(now, work, unused_capacity, PERMIT_LIFETIME * window, random)

    def _sent_work(self) -> float:
        return sum(sent.work for sent in self._sent)

    def _draw_permit(
        self, now: float, work: float, unused_capacity: float, lifetime: float, random: Random
    ) -> bool:
        """Draw whether a permit for `work` was generated since the last draw; if so, store it.

        A second draw at the same time never succeeds, although it may consume a random number.

        Args:
            now: The current time in ms.
            work: Work of the request.
            unused_capacity: Work per ms that permits may be drawn for; 0 or less: none.
            lifetime: Time in ms for which a permit is valid.
            random: The director's source of randomness.
        """
        elapsed = min(now - self._last_draw_at, lifetime)
        self._last_draw_at = now
        if unused_capacity <= 0.0:
            return False
        expected_permits = unused_capacity * elapsed / max(work, MIN_PERMIT_WORK)
        if random.random() >= 1.0 - math.exp(-expected_permits):
            return False
        # The permit was generated at a random moment since the last draw, so a part of its lifetime
        # has passed.
        self._permit_expires_at = now + lifetime - elapsed * random.random()
        self._permitted_work = work
        return True
