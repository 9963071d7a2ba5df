"""Weighted fair shares of a number of open requests.

Each party is guaranteed its share by weight among the active parties. What they don't use is lent;
a lender that comes back is admitted at once up to its guaranteed share, over the capacity by
`FairShares.OVERCOMMIT` at most, and nothing more is lent until the borrowers have gone down.
Requests are short, so what is lent is back within their time.

Pure and not thread-safe: the admission controller's lock guards it.
"""

from dataclasses import dataclass

from .token_bucket import LONG_AGO

# Requests with a body count in fractions; a remainder below this is the rounding of their sum.
ROUNDING_REMAINDER = 1e-6


@dataclass(slots=True, eq=False)
class ConcurrencyShare:
    """One party's share of the open requests that several parties share.

    Attributes:
        weight: The guaranteed share is in proportion to this.
        maximum: Bound of the party's own; 0: none.
        open: Requests open, counted by their size.
        last_requested_at: When the party last asked for a request.
        window_peak: The most that it had open or wanted in this window.
        previous_peak: The same in the window before.
        window_ends_at: When this window ends.
    """

    weight: float
    maximum: float = 0.0
    open: float = 0.0
    last_requested_at: float = 0.0
    window_peak: float = 0.0
    previous_peak: float = 0.0
    window_ends_at: float = 0.0

    def record_demand(self, now: float, window: float, amount: float) -> None:
        """Notes that the party wants `amount` more; `window` in ms."""
        if now >= self.window_ends_at:
            is_next_window = now < self.window_ends_at + window
            self.previous_peak = self.window_peak if is_next_window else 0.0
            self.window_peak = 0.0
            self.window_ends_at = now + window
        self.last_requested_at = now
        self.window_peak = max(self.window_peak, self.open + amount)

    def demand(self, now: float, window: float) -> float:
        """Returns the most that the party wanted in this window and the one before."""
        if now >= self.window_ends_at + window:
            return self.open
        return max(self.open, self.window_peak, self.previous_peak)


class FairShares:
    """A capacity of open requests, shared by all parties that ask for some.

    Attributes:
        capacity: Requests that may be open together.
        open: Requests that are open together.
        shares: By party.
        computed_at: When the sums below were computed.
        active_weight: Sum of the active parties' weights.
        reserved: What active parties are guaranteed, want and have not: it isn't lent.
    """

    DEMAND_WINDOW = 1_000.0  # ms: a party is active so long after a request; demand is a peak of 2
    OVERCOMMIT = 0.25  # fraction of the capacity by which a returning lender may exceed it
    RECOMPUTE_INTERVAL = 50.0  # ms: between two sums over all parties
    IDLE_TIMEOUT = 60.0 * DEMAND_WINDOW  # ms: an idle party is dropped then

    def __init__(self, capacity: float) -> None:
        """Starts without any party."""
        self.capacity = capacity
        self.open = 0.0
        self.shares: dict[str, ConcurrencyShare] = {}
        self.computed_at = LONG_AGO
        self.active_weight = 0.0
        self.reserved = 0.0

    def share_for(self, name: str, weight: float, maximum: float = 0.0) -> ConcurrencyShare:
        """Returns the share of a party, with this weight and bound from now on."""
        share = self.shares.get(name)
        if share is None:
            share = ConcurrencyShare(weight, maximum)
            self.shares[name] = share
            self.computed_at = LONG_AGO
        elif (share.weight, share.maximum) != (weight, maximum):
            share.weight = weight
            share.maximum = maximum
            self.computed_at = LONG_AGO
        return share

    def guaranteed(self, share: ConcurrencyShare) -> float:
        """Returns what the party may always have open; one request at the least."""
        return max(1.0, self.capacity * share.weight / max(self.active_weight, share.weight))

    def request(self, share: ConcurrencyShare, now: float, amount: float = 1.0) -> bool:
        """Notes the party's demand and returns whether it may open `amount` more.

        A caller that goes on calls `acquire`.
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
        """Returns the most that a party may have open now, by itself."""
        used_by_others = self.open - share.open
        lendable = self.capacity - used_by_others - self._reserved_for_others(share, now)
        return max(self.guaranteed(share), lendable)

    def acquire(self, share: ConcurrencyShare, amount: float = 1.0) -> None:
        """Counts a request of this size as open."""
        share.open += amount
        self.open += amount

    def release(self, share: ConcurrencyShare, amount: float = 1.0) -> None:
        """Counts a request of this size as over."""
        share_open = share.open - amount
        total_open = self.open - amount
        share.open = share_open if share_open > ROUNDING_REMAINDER else 0.0
        self.open = total_open if total_open > ROUNDING_REMAINDER else 0.0

    def _unmet(self, share: ConcurrencyShare, now: float) -> float:
        """Returns what the party wants of its guaranteed share and does not have."""
        wanted = min(share.demand(now, self.DEMAND_WINDOW), self.guaranteed(share))
        return max(0.0, wanted - share.open)

    def _reserved_for_others(self, share: ConcurrencyShare, now: float) -> float:
        return max(0.0, self.reserved - self._unmet(share, now))

    def _recompute(self, now: float) -> None:
        """Sums over the active parties; those that have long been idle are dropped."""
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
                self.reserved += self._unmet(share, now)
