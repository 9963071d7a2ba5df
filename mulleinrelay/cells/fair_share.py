"""Weighted fair shares of a number of open requests.

The parties are cells or tenants. A party is active while it has open requests, and for
`FairShares.DEMAND_WINDOW` after each request. Each active party has a guaranteed share in
proportion to its weight. Unused shares are lent to other parties.

A lender that sends requests again is admitted at once up to its guaranteed share, even if this
exceeds the capacity by up to `FairShares.OVERCOMMIT`. Nothing more is lent until enough of the
borrowers' requests have completed. Requests are short, so a lender soon regains its share.

No I/O and no clock: the time is an argument. Not thread-safe: `CellService` holds its lock during
each call.
"""

from dataclasses import dataclass

from .token_bucket import DISTANT_PAST

# Requests with a body have fractional sizes; a smaller sum is a rounding error and counts as 0.
ROUNDING_REMAINDER = 1e-6


@dataclass(slots=True, eq=False)
class ConcurrencyShare:
    """One party's share of the open requests that several parties share.

    Attributes:
        weight: Weight of the party; its guaranteed share is in proportion to the weight.
        maximum: Upper bound of the party's open requests; 0 if there is none.
        open: Total size of the party's open requests; a request without a body has the size 1.
        last_requested_at: Time of the party's last request, admitted or not.
        window_peak: Highest demand in the current window. The demand is the size of the open
            requests together with the new request.
        previous_peak: Highest demand in the previous window.
        window_ends_at: End of the current window.
    """

    weight: float
    maximum: float = 0.0
    open: float = 0.0
    last_requested_at: float = 0.0
    window_peak: float = 0.0
    previous_peak: float = 0.0
    window_ends_at: float = 0.0

    def record_demand(self, now: float, window: float, amount: float) -> None:
        """Record the party's demand for a further request of size `amount`; `window` is in ms."""
        if now >= self.window_ends_at:
            is_next_window = now < self.window_ends_at + window
            self.previous_peak = self.window_peak if is_next_window else 0.0
            self.window_peak = 0.0
            self.window_ends_at = now + window
        self.last_requested_at = now
        self.window_peak = max(self.window_peak, self.open + amount)

    def demand(self, now: float, window: float) -> float:
        """Return the party's highest demand in the current and the previous window.

        The result is never less than the size of the open requests.
        """
        if now >= self.window_ends_at + window:
            return self.open
        return max(self.open, self.window_peak, self.previous_peak)


class FairShares:
    """A capacity of open requests that several parties share.

    Attributes:
        capacity: Maximum total size of the open requests of all parties.
        open: Total size of the open requests of all parties.
        shares: Shares by party.
        computed_at: Time when `active_weight` and `reserved` were last computed; `DISTANT_PAST` if
            the next request must compute them.
        active_weight: Sum of the weights of all active parties.
        reserved: Capacity that is not lent. It is the sum of each party's demand, up to its
            guaranteed share, minus its open requests, as of `computed_at`.
    """

    # ms; a party stays active for this time after a request. Its demand is the peak of the current
    # and the previous window of this length.
    DEMAND_WINDOW = 1_000.0
    OVERCOMMIT = 0.25  # fraction of the capacity by which a resuming lender may exceed it
    RECOMPUTE_INTERVAL = 50.0  # ms between two computations of the sums over all parties
    IDLE_TIMEOUT = 60.0 * DEMAND_WINDOW  # ms from its last request until an idle party is dropped

    def __init__(self, capacity: float) -> None:
        """Create shares of a capacity, without any party."""
        self.capacity = capacity
        self.open = 0.0
        self.shares: dict[str, ConcurrencyShare] = {}
        self.computed_at = DISTANT_PAST
        self.active_weight = 0.0
        self.reserved = 0.0

    def share_for(self, name: str, weight: float, maximum: float = 0.0) -> ConcurrencyShare:
        """Return the share of a party after setting its weight and upper bound.

        The share is created on the first call for a party.
        """
        share = self.shares.get(name)
        if share is None:
            share = ConcurrencyShare(weight, maximum)
            self.shares[name] = share
            self.computed_at = DISTANT_PAST
        elif (share.weight, share.maximum) != (weight, maximum):
            share.weight = weight
            share.maximum = maximum
            self.computed_at = DISTANT_PAST
        return share

    def guaranteed(self, share: ConcurrencyShare) -> float:
        """Return the part of the capacity that the party's weight gives it, at least 1."""
        return max(1.0, self.capacity * share.weight / max(self.active_weight, share.weight))

    def request(self, share: ConcurrencyShare, now: float, amount: float = 1.0) -> bool:
        """Record the party's demand and return whether a request of size `amount` is allowed.

        A request within the guaranteed share is allowed even beyond `OVERCOMMIT` if the party has
        no open request, but never beyond the party's `maximum`. The caller calls `acquire` if it
        admits the request.
        """
        wanted = share.open + amount
        was_active = now < share.last_requested_at + self.DEMAND_WINDOW
        if now >= share.window_ends_at or wanted > share.window_peak:
            share.record_demand(now, self.DEMAND_WINDOW, amount)
        share.last_requested_at = now
        if not was_active or now >= self.computed_at + self.RECOMPUTE_INTERVAL:
            self._recompute(now)
        total = self.open + amount
        if share.maximum and wanted > share.maximum:
            return False
        if total + self.reserved <= self.capacity:
            return True
        if wanted <= self.guaranteed(share):
            return total <= self.capacity * (1.0 + self.OVERCOMMIT) or share.open == 0.0
        return total + self._reserved_for_others(share, now) <= self.capacity

    def reachable(self, share: ConcurrencyShare, now: float) -> float:
        """Return the capacity that the party could use now: its guaranteed share, or more by loan.

        The loan is the capacity that other parties neither use nor demand.
        """
        used_by_others = self.open - share.open
        lendable = self.capacity - used_by_others - self._reserved_for_others(share, now)
        return max(self.guaranteed(share), lendable)

    def acquire(self, share: ConcurrencyShare, amount: float = 1.0) -> None:
        """Count a request of size `amount` as open."""
        share.open += amount
        self.open += amount

    def release(self, share: ConcurrencyShare, amount: float = 1.0) -> None:
        """Count a request of size `amount` as completed."""
        share_open = share.open - amount
        total_open = self.open - amount
        share.open = share_open if share_open > ROUNDING_REMAINDER else 0.0
        self.open = total_open if total_open > ROUNDING_REMAINDER else 0.0

    def _unmet_demand(self, share: ConcurrencyShare, now: float) -> float:
        """Return the party's demand, up to its guaranteed share, minus its open requests."""
        wanted = min(share.demand(now, self.DEMAND_WINDOW), self.guaranteed(share))
        return max(0.0, wanted - share.open)

    def _reserved_for_others(self, share: ConcurrencyShare, now: float) -> float:
        return max(0.0, self.reserved - self._unmet_demand(share, now))

    def _recompute(self, now: float) -> None:
        """Recompute `active_weight` and `reserved`, and drop parties after `IDLE_TIMEOUT`."""
        self.computed_at = now
        self.active_weight = 0.0
        for name, share in list(self.shares.items()):
            if now < share.last_requested_at + self.DEMAND_WINDOW or share.open > 0.0:
                self.active_weight += share.weight
            elif now >= share.last_requested_at + self.IDLE_TIMEOUT:
                del self.shares[name]
        self.reserved = 0.0
        for share in self.shares.values():
            if now < share.last_requested_at + 2.0 * self.DEMAND_WINDOW:
                self.reserved += self._unmet_demand(share, now)
