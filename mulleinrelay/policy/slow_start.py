"""Slow start: how much of the load of an endpoint that is warming up one director may send it.

An endpoint that has just started can serve only a fraction of its capacity, and fails if it is sent
much more over a certain window. All directors together must stay below that, and none of them knows
what the others send. So each director has an equal share of the endpoint's present capacity, and
counts the work that it has sent within the window:

* Deterministic part: a request is admitted while the work within the window fits into
  `DETERMINISTIC_FRACTION` of the director's share.
* Probabilistic part: with hundreds of directors the share is less than one request, and the
  deterministic part alone would leave the endpoint idle for as long as it is warming up. Beyond it
  a director therefore draws, at random, a *permit* for one request. Permits come up like a Poisson
  process, as often as `PROBABILISTIC_FRACTION` of the share pays for them. An unused one expires
  soon, so that at a moment at which all directors want the same endpoint only few of them have one.

With directors that draw independently, the work that all of them send within a window has a mean of
at most `DETERMINISTIC_FRACTION` of what the endpoint can do, or
`PROBABILISTIC_FRACTION * (1 + PERMIT_LIFETIME)` of it, and varies like a sum of independent
requests.

Pure: no I/O, no clock; the source of randomness is passed in. Times are milliseconds of the
caller's clock; the work of a request is how many ms it takes to send its response. Not thread-safe.
"""

import math
from dataclasses import dataclass
from random import Random

from .model import QuotaShare

# Fraction of the endpoint's present capacity that all directors use together where each has room
# for a request in its share.
DETERMINISTIC_FRACTION = 0.8
# The same where they depend on permits: requests that come by chance come in clusters.
PROBABILISTIC_FRACTION = 0.4
# Lifetime of a permit in windows. A director that rarely has a request must still have the permit
# when the request comes.
PERMIT_LIFETIME = 1.0
# Requests count as at least so much work (ms) when a permit is drawn: bounds the rate of permits.
MIN_PERMIT_WORK = 1.0


@dataclass(slots=True)
class SentWork:
    """Work that this director has sent to the endpoint."""

    sent_at: float
    work: float


class SlowStartBudget:
    """What one director may send to one endpoint that is warming up."""

    def __init__(self) -> None:
        self._sent: list[SentWork] = []
        self._last_draw_at = -math.inf
        self._permit_expires_at = -math.inf
        self._permitted_work = 0.0  # the size of the request that the last permit is for

    def spend(self, now: float, work: float) -> None:
        """Records that an admitted request was sent; it uses up the permit, if there is one."""
        self._sent.append(SentWork(now, work))
        self._permit_expires_at = -math.inf

    def record_peaks(
        self, share: QuotaShare, work: float, is_admitted: bool, endpoint_work: float
    ) -> None:
        """Records for the quota exchange which fraction of the endpoint this director needs.

        Args:
            share: This director's share, whose peaks are raised.
            work: Work of the request that was admitted or rejected.
            is_admitted: What `try_admit` has answered for it.
            endpoint_work: The work that the endpoint can do now over the window.
        """
        fraction = (self._sent_work() + work) / (DETERMINISTIC_FRACTION * endpoint_work)
        if is_admitted:
            share.peak_used = max(share.peak_used, fraction)
        else:
            share.peak_rejected = max(share.peak_rejected, fraction)

    def try_admit(
        self, now: float, work: float, capacity_share: float, window: float, random: Random
    ) -> bool:
        """Whether a request may be sent now; draws a permit for it where one is needed.

        The answer for one moment stays the same, however often it is asked for, until `spend`.

        Args:
            now: The current time in ms.
            work: Work of the request.
            capacity_share: This director's share of the endpoint's present capacity, work per ms.
            window: The ms over which the endpoint must not be sent too much.
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
        """Draws whether a permit for `work` has come up since the last draw.

        A second draw in the same moment takes a random number, but never succeeds.

        Args:
            now: The current time in ms.
            work: Work of the request.
            unused_capacity: Work per ms that permits may be drawn for.
            lifetime: How many ms a permit can be used.
            random: The director's source of randomness.
        """
        elapsed = min(now - self._last_draw_at, lifetime)
        self._last_draw_at = now
        if unused_capacity <= 0.0:
            return False
        expected_permits = unused_capacity * elapsed / max(work, MIN_PERMIT_WORK)
        if random.random() >= 1.0 - math.exp(-expected_permits):
            return False
        # It came up at a random moment since the last draw, and a part of its lifetime is over.
        self._permit_expires_at = now + lifetime - elapsed * random.random()
        self._permitted_work = work
        return True
