"""No quota unit is used twice, in all states that small fleets can come to; planted faults are
found.
"""

import pytest
from lease_model import MAX_STATES, World, search

from mulleinrelay.budgets.lease_ledger import (
    LEASE_DURATION,
    MAX_CLOCK_DRIFT,
    GrantedLease,
    LeaseLedger,
)

RUNNING_FOR_LONG = -1e9  # start of a ledger that need not wait for an earlier incarnation's leases


def searched(max_states, *world):
    return search(World(*world), max_states)


WORLDS = [(2, 2, 1, 3), (3, 2, 1, 2), (2, 4, 2, 2)]
PROCESS_JOBS = {f"units, {world}": (searched, 8_000, *world) for world in WORLDS}


@pytest.mark.parametrize("world", WORLDS)  # directors, units each, restarts, requests
def test_no_unit_is_used_twice_in_any_state(world, process_job_result):
    seen, trace = process_job_result(f"units, {world}")
    assert trace is None and seen >= 2_000


class LenderKeepsUsing(LeaseLedger):
    """The owner grants units and goes on to use them."""

    def grant(self, now, borrower, incarnation, request, used):
        grant = LeaseLedger.grant(self, now, borrower, incarnation, request, used)
        self.granted = {
            key: GrantedLease(0, lease.locked_until) for key, lease in self.granted.items()
        }
        return grant


class LeaseFromReceipt(LeaseLedger):
    """The borrower's lease counts from when it received the grant, not from its request."""

    def accept_grant(self, now, lender, incarnation, grant):
        if grant.number in self.pending:
            self.pending[grant.number].sent_at = now
        return LeaseLedger.accept_grant(self, now, lender, incarnation, grant)


class NoWaitAfterRestart(LeaseLedger):
    """The owner's next incarnation uses all of its own units at once."""

    def usable_owned(self, now):
        return self.owned - sum(
            lease.units for lease in self.granted.values() if now < lease.locked_until + self.window
        )


PLANTED = [(LenderKeepsUsing, 4), (LeaseFromReceipt, 9), (NoWaitAfterRestart, 5)]
PROCESS_JOBS |= {
    planted.__name__: (searched, MAX_STATES, 2, 2, 1, 2, planted) for planted, _ in PLANTED
}


@pytest.mark.parametrize(("planted", "max_steps"), PLANTED)
def test_planted_fault_is_found_with_a_trace(planted, max_steps, process_job_result):
    _, trace = process_job_result(planted.__name__)
    assert trace is not None and len(trace) <= max_steps, trace
    assert any("arrives" in step for step in trace)


def test_leases_are_exclusive_though_clocks_drift():
    """By algebra over all rates within MAX_CLOCK_DRIFT and all delays.

    The borrower's last use is before the owner's next. z3 finds no counter-example, and finds one
    where the borrower uses the full lease duration.
    """
    z3 = pytest.importorskip("z3")
    drift = z3.RealVal(str(MAX_CLOCK_DRIFT))
    duration = z3.RealVal(str(LEASE_DURATION))
    requested, locked, owner_rate, borrower_rate = z3.Reals("asked heard fast slow")

    def can_overlap(factor):
        solver = z3.Solver()
        solver.add(requested >= 0, locked >= requested)  # true times of the request and of the lock
        for rate in (owner_rate, borrower_rate):  # of their clocks to true time
            solver.add(rate >= 1 - drift, rate <= 1 + drift)
        unlocked = locked + duration / owner_rate
        expired = requested + duration * factor / borrower_rate
        solver.add(expired > unlocked)
        return solver.check() == z3.sat

    assert can_overlap(z3.RealVal(1)) and not can_overlap(1 - 2 * drift)


def test_released_unit_is_not_used_by_its_owner_for_a_window():
    lender_id = ("one", "h", 1)
    borrower_id = ("two", "h", 2)
    lender = LeaseLedger(100, 1500.0, RUNNING_FOR_LONG, 1)
    borrower = LeaseLedger(100, 1500.0, RUNNING_FOR_LONG, 1)
    request = borrower.request(0.0, lender_id, 50)
    grant = lender.grant(10.0, borrower_id, 1, request, 30)
    assert grant.units == 50 and borrower.accept_grant(20.0, lender_id, 1, grant)
    assert (lender.usable(20.0), borrower.usable(20.0)) == (50, 150)
    release = borrower.release(request.number)
    lender.accept_release(40.0, borrower_id, 1, release)
    assert (lender.usable(40.0), borrower.usable(40.0)) == (50, 100)
    assert (lender.usable(1539.0), lender.usable(1541.0)) == (50, 100)


@pytest.mark.parametrize(("used", "lendable"), [(0, 95), (5, 95), (50, 50), (100, 0), (500, 0)])
def test_units_used_of_late_and_reserved_units_are_not_lent(used, lendable):
    assert LeaseLedger(100, 1500.0, RUNNING_FOR_LONG, 1).lendable(0.0, used) == lendable


@pytest.mark.parametrize(
    ("age", "usable"), [(0.0, 0), (1400.0, 0), (1600.0, 5), (3500.0, 5), (3700.0, 100)]
)
def test_restarted_director_waits_for_leases_of_an_earlier_incarnation(age, usable):
    assert LeaseLedger(100, 1500.0, 0.0, 2).usable(age) == usable
