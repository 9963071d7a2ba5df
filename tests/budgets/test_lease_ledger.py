"""Tests that two directors never use the same quota unit at the same time.

A model check searches thousands of states that small fleets can reach. To test the check itself,
ledgers with a defect on purpose are searched too, and the check must find each defect.
"""

import pytest
from lease_model import MAX_STATES, World, search

from mulleinrelay.budgets.lease_ledger import (
    LEASE_DURATION_MS,
    MAX_CLOCK_DRIFT,
    GrantedLease,
    LeaseLedger,
)

# Start time of a ledger, so long ago that all leases of an earlier incarnation have expired
LONG_AGO = -1e9


def search_world(max_states, *world):
    return search(World(*world), max_states)


# Each world: number of directors, owned units of each director, restarts, requests
WORLDS = [(2, 2, 1, 3), (3, 2, 1, 2), (2, 4, 2, 2)]
PROCESS_JOBS = {f"units, {world}": (search_world, 8_000, *world) for world in WORLDS}


@pytest.mark.parametrize("world", WORLDS)
def test_no_unit_is_used_twice_in_any_state(world, process_job_result):
    visited, trace = process_job_result(f"units, {world}")
    assert trace is None and visited >= 2_000


class LenderKeepsUsing(LeaseLedger):
    """Ledger with a defect: the owner keeps using the units that it has lent."""

    def grant(self, now, borrower, incarnation, request, used):
        grant = LeaseLedger.grant(self, now, borrower, incarnation, request, used)
        self.granted = {
            key: GrantedLease(0, lease.locked_until) for key, lease in self.granted.items()
        }
        return grant


class LeaseFromReceipt(LeaseLedger):
    """Ledger with a defect: the lease starts when the grant arrives, not at the request."""

    def accept_grant(self, now, lender, incarnation, grant):
        if grant.number in self.pending:
            self.pending[grant.number].sent_at = now
        return LeaseLedger.accept_grant(self, now, lender, incarnation, grant)


class NoWaitAfterRestart(LeaseLedger):
    """Ledger with a defect: after a restart the owner uses all of its own units immediately."""

    def usable_owned(self, now):
        return self.owned - sum(
            lease.units for lease in self.granted.values() if now < lease.locked_until + self.window
        )


DEFECTIVE_LEDGERS = [(LenderKeepsUsing, 4), (LeaseFromReceipt, 9), (NoWaitAfterRestart, 5)]
PROCESS_JOBS |= {
    ledger_class.__name__: (search_world, MAX_STATES, 2, 2, 1, 2, ledger_class)
    for ledger_class, _ in DEFECTIVE_LEDGERS
}


@pytest.mark.parametrize(("ledger_class", "max_steps"), DEFECTIVE_LEDGERS)
def test_defect_is_found_with_a_trace(ledger_class, max_steps, process_job_result):
    _, trace = process_job_result(ledger_class.__name__)
    assert trace is not None and len(trace) <= max_steps, trace
    assert any("arrives" in step for step in trace)


def test_leases_are_exclusive_despite_clock_drift():
    """Prove with the solver z3 that a borrower's lease expires before the owner unlocks the units.

    The proof holds for all clock rates within MAX_CLOCK_DRIFT and for all delays: z3 must find no
    counter-example. If the borrower used the units for the full lease duration, z3 must find one.
    """
    z3 = pytest.importorskip("z3")
    drift = z3.RealVal(str(MAX_CLOCK_DRIFT))
    duration = z3.RealVal(str(LEASE_DURATION_MS))
    requested, locked, owner_rate, borrower_rate = z3.Reals(
        "requested locked owner_rate borrower_rate"
    )

    def can_overlap(factor):
        solver = z3.Solver()
        solver.add(requested >= 0, locked >= requested)  # true times
        for rate in (owner_rate, borrower_rate):  # of the clocks, relative to true time
            solver.add(rate >= 1 - drift, rate <= 1 + drift)
        unlocked = locked + duration / owner_rate
        expired = requested + duration * factor / borrower_rate
        solver.add(expired > unlocked)
        return solver.check() == z3.sat

    assert can_overlap(z3.RealVal(1)) and not can_overlap(1 - 2 * drift)


def test_released_unit_is_not_used_by_its_owner_for_a_window():
    lender_id = ("one", "h", 1)
    borrower_id = ("two", "h", 2)
    lender = LeaseLedger(100, 1500.0, LONG_AGO, 1)
    borrower = LeaseLedger(100, 1500.0, LONG_AGO, 1)
    request = borrower.request(0.0, lender_id, 50)
    grant = lender.grant(10.0, borrower_id, 1, request, 30)
    assert grant.units == 50 and borrower.accept_grant(20.0, lender_id, 1, grant)
    assert (lender.usable(20.0), borrower.usable(20.0)) == (50, 150)
    release = borrower.release(request.number)
    lender.accept_release(40.0, borrower_id, 1, release)
    assert (lender.usable(40.0), borrower.usable(40.0)) == (50, 100)
    assert (lender.usable(1539.0), lender.usable(1541.0)) == (50, 100)


@pytest.mark.parametrize(("used", "lendable"), [(0, 95), (5, 95), (50, 50), (100, 0), (500, 0)])
def test_recently_used_and_reserved_units_are_not_lent(used, lendable):
    assert LeaseLedger(100, 1500.0, LONG_AGO, 1).lendable(0.0, used) == lendable


@pytest.mark.parametrize(
    ("age", "usable"), [(0.0, 0), (1400.0, 0), (1600.0, 5), (3500.0, 5), (3700.0, 100)]
)
def test_restarted_director_waits_for_leases_of_an_earlier_incarnation(age, usable):
    assert LeaseLedger(100, 1500.0, 0.0, 2).usable(age) == usable
