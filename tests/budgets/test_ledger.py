"""No grain is ever used twice, in all states that small fleets can come to; and planted faults are
found.
"""

import pytest
from ledgers import MOST, World, search

from mulleinrelay.budgets.lease_ledger import LeaseLedger, Lent


def searched(most, *world):
    return search(World(*world), most)


WORLDS = [(2, 2, 1, 3), (3, 2, 1, 2), (2, 4, 2, 2)]
STUDIES = {f"grains, {world}": (searched, 8_000, *world) for world in WORLDS}


@pytest.mark.parametrize("world", WORLDS)  # count, own, restarts, asks
def test_no_grain_is_used_twice_in_any_state(world, studies):
    seen, trace = studies(f"grains, {world}")
    assert trace is None and seen >= 2_000


class AtBothEnds(LeaseLedger):
    """The owner says that it lends, and goes on to use it."""

    def asked(self, now, borrower, life, ask, used):
        lend = LeaseLedger.asked(self, now, borrower, life, ask, used)
        self.lent = {who: Lent(0, held.until) for who, held in self.lent.items()}
        return lend


class AfterAPause(LeaseLedger):
    """The borrower counts its lease from when it heard of it, not from when it asked."""

    def answered(self, now, lender, life, lend):
        if lend.number in self.asks:
            self.asks[lend.number].at = now
        return LeaseLedger.answered(self, now, lender, life, lend)


class NumbersAgain(LeaseLedger):
    """The owner's next life uses all of its own at once."""

    def at_home(self, now):
        return self.own - sum(
            held.grains for held in self.lent.values() if now < held.until + self.span
        )


PLANTED = [(AtBothEnds, 4), (AfterAPause, 9), (NumbersAgain, 5)]
STUDIES |= {planted.__name__: (searched, MOST, 2, 2, 1, 2, planted) for planted, _ in PLANTED}


@pytest.mark.parametrize("planted, at_most", PLANTED)
def test_a_planted_fault_is_found_with_a_trace(planted, at_most, studies):
    _, trace = studies(planted.__name__)
    assert trace is not None and len(trace) <= at_most, trace
    assert any("arrives" in step for step in trace)


def test_leases_hold_though_clocks_run_apart():
    """By algebra over all rates within DRIFT and all delays: the borrower's last use is before the
    owner's next. z3 finds no counter-example, and finds one where the borrower takes the whole
    lease.
    """
    z3 = pytest.importorskip("z3")
    from mulleinrelay.budgets.lease_ledger import DRIFT, LEASE

    asked, heard, fast, slow = z3.Reals("asked heard fast slow")

    def broken(factor):
        solver = z3.Solver()
        solver.add(asked >= 0, heard >= asked)  # true time of the ask and of the lock
        for rate in (fast, slow):  # of the owner's clock and the borrower's, to true time
            solver.add(rate >= 1 - z3.RealVal(str(DRIFT)), rate <= 1 + z3.RealVal(str(DRIFT)))
        free = heard + z3.RealVal(str(LEASE)) / fast
        last = asked + z3.RealVal(str(LEASE)) * factor / slow
        solver.add(last > free)
        return solver.check() == z3.sat

    assert broken(z3.RealVal(1)) and not broken(1 - 2 * z3.RealVal(str(DRIFT)))


def test_a_grain_that_was_out_rests_for_a_span_at_home():
    one = LeaseLedger(100, 1500.0, -1e9, 1)
    two = LeaseLedger(100, 1500.0, -1e9, 1)
    ask = two.ask(0.0, "one", 50)
    lend = one.asked(10.0, "two", 1, ask, 30)
    assert lend.grains == 50 and two.answered(20.0, "one", 1, lend)
    assert (one.usable(20.0), two.usable(20.0)) == (50, 150)
    back = two.give_back(ask.number)
    one.returned(40.0, "two", 1, back)
    assert (one.usable(40.0), two.usable(40.0)) == (50, 100)
    assert (one.usable(1539.0), one.usable(1541.0)) == (50, 100)


@pytest.mark.parametrize("used, spare", [(0, 95), (5, 95), (50, 50), (100, 0), (500, 0)])
def test_what_was_used_of_late_or_is_kept_is_not_lent(used, spare):
    assert LeaseLedger(100, 1500.0, -1e9, 1).spare(0.0, used) == spare


@pytest.mark.parametrize(
    "after, usable", [(0.0, 0), (1400.0, 0), (1600.0, 5), (3500.0, 5), (3700.0, 100)]
)
def test_who_starts_anew_waits_for_what_an_earlier_life_may_have_out(after, usable):
    assert LeaseLedger(100, 1500.0, 0.0, 2).usable(after) == usable
