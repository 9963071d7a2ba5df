"""Quota exchanges in simulated fleets, over the simulated network of the membership tests.

The tests check that the directors together stay within the limit in every window, and that units
move to the directors that receive the requests.
"""

import itertools
from random import Random

import pytest
from simulated_fleet import SimulatedFleet

from mulleinrelay.budgets.lease_ledger import LEASE_DURATION_MS, RESERVED_FRACTION, LeaseRequest
from mulleinrelay.budgets.quota_exchange import LimitDefinition, QuotaExchange
from mulleinrelay.policy.model import QuotaShare

WINDOW_MS = 1500.0
LIMIT = "cold"


class LoadedFleet(SimulatedFleet):
    """Simulated fleet whose directors also receive requests that are subject to one shared limit.

    `demand` contains the requests per second of each director, and `rate` the limit of the fleet in
    requests per second. Like the router, a director admits a request if its fraction of the limit
    allows it in the current window.
    """

    def __init__(self, count, demand, rate, **network):
        self.demand = demand
        self.rate = rate
        self.shares = {}
        self.admitted_at = []  # admission times of all directors
        self.recent = {}  # admission times per director in the last window, by its own clock
        super().__init__(count, **network)

    def start(self, number, incarnation=None):
        super().start(number, incarnation)
        protocol = self.protocols[number]
        now = self.clock(number)
        share = QuotaShare(1.0 / len(self.demand))
        self.shares[number] = share
        self.recent[number] = []
        random = Random(f"{number}-{self.starts}-rights")
        protocol.delegate = QuotaExchange(now, random, protocol.table.local.incarnation)
        protocol.delegate.add(now, LimitDefinition(LIMIT, len(self.demand), WINDOW_MS, share))

    def run_with_load(self, seconds):
        """Run the fleet and its requests in steps of 20 ms."""
        for _ in range(round(50 * seconds)):
            self.run(0.02)
            for number, wanted in enumerate(self.demand):
                if number not in self.killed | self.paused:
                    requests = sum(self.random.random() < wanted * 0.001 for _ in range(20))
                    for _ in range(requests):
                        self.request(number)

    def request(self, number):
        """Admit or reject one request at a director."""
        now = self.clock(number)
        share = self.shares[number]
        recent = [at for at in self.recent[number] if at > now - WINDOW_MS]
        self.recent[number] = recent
        fraction = (len(recent) + 1) / (self.rate * WINDOW_MS / 1000.0)
        if fraction <= share.fraction_at(now):
            share.peak_used = max(share.peak_used, fraction)
            recent.append(now)
            self.admitted_at.append(self.now)
        else:
            share.peak_rejected = max(share.peak_rejected, fraction)

    def max_utilization(self, since=0.0, window=WINDOW_MS):
        """Return the maximum number of requests admitted in any window, relative to the limit."""
        admitted = [at for at in self.admitted_at if at >= since]
        window_start = 0
        max_count = 0
        for index, at in enumerate(admitted):
            while admitted[window_start] <= at - window:
                window_start += 1
            max_count = max(max_count, index - window_start + 1)
        return max_count / (self.rate * window / 1000.0)


def uneven_demand(count, rate, busy=0.1, fraction=0.9):
    """Return each director's demand in requests per second; the total is the limit `rate`.

    The fraction `busy` of the directors receives the given fraction of the total.
    """
    busy_count = max(1, round(busy * count))
    return [
        rate * fraction / busy_count
        if number < busy_count
        else rate * (1.0 - fraction) / (count - busy_count)
        for number in range(count)
    ]


def utilization_with_lending():
    """Return the mean fraction of a limit that a fleet uses, and the maximum in any window.

    Both are measured after 12 s with load, in which units move to the busy directors.
    """
    fleet = LoadedFleet(30, uneven_demand(30, 900.0), 900.0, seed=2)
    fleet.run_with_load(12)
    before = len(fleet.admitted_at)
    since = fleet.now
    fleet.run_with_load(6)
    return (len(fleet.admitted_at) - before) / (900.0 * 6), fleet.max_utilization(since)


def utilization_without_lending():
    """Return the fraction of a limit that a fleet uses if each director keeps its own units."""
    fleet = LoadedFleet(30, uneven_demand(30, 900.0), 900.0, seed=2)
    for protocol in fleet.protocols.values():
        protocol.delegate.tick = lambda *_: []  # no director lends or borrows
    for share in fleet.shares.values():
        share.fraction = 1.0 / 30
    fleet.run_with_load(6)
    return len(fleet.admitted_at) / (900.0 * 6)


PROCESS_JOBS = {
    "with lending": (utilization_with_lending,),
    "without lending": (utilization_without_lending,),
}


def test_units_move_to_the_directors_that_receive_the_requests(process_job_result):
    utilization, max_utilization = process_job_result("with lending")
    assert utilization > 0.88 and max_utilization <= 1.0
    assert process_job_result("without lending") < 0.35


def test_units_move_within_seconds_when_the_load_moves():
    fleet = LoadedFleet(20, uneven_demand(20, 800.0), 800.0, seed=4)
    fleet.run_with_load(12)
    fleet.demand = fleet.demand[::-1]
    fleet.run_with_load(2.5)
    before = len(fleet.admitted_at)
    fleet.run_with_load(3)
    assert (len(fleet.admitted_at) - before) / (800.0 * 3) > 0.7
    assert fleet.max_utilization() <= 1.0


def inject_fault(fleet, fault):
    if fault == "partition":
        fleet.block(range(4), range(4, 12))
        fleet.block(range(4, 12), range(4))
    elif fault == "one-way link":
        fleet.block(range(1, 12), [0])
    elif fault in ("killed", "restarted"):
        for number in range(0, 12, 3):
            fleet.kill(number)
    elif fault == "paused":
        for number in (0, 3, 4):
            fleet.pause(number)


def recover(fleet):
    """Remove all injected faults."""
    fleet.unblock_all()
    for number in list(fleet.paused):
        fleet.resume(number)
        for _ in range(9):
            fleet.request(number)  # before the director receives any datagram after its pause
    for number in list(fleet.killed):
        fleet.start(number)


@pytest.mark.parametrize(
    "fault", ["loss", "partition", "killed", "paused", "restarted", "one-way link", "drift"]
)
def test_limit_holds_in_every_window_despite_a_fault(fault):
    """Guard against units that two directors use during or after a fault.

    The demand is far above the limit, so that each side of a partition uses all the units it may.
    """
    network = {"loss": 0.3, "duplication": 0.3, "jitter": 80.0} if fault == "loss" else {}
    fleet = LoadedFleet(
        12,
        [60.0 if number % 3 == 0 else 8.0 for number in range(12)],
        100.0,
        seed=5,
        drift=0.009 if fault == "drift" else 0.0,
        **network,
    )
    fleet.run_with_load(8)
    for _ in range(2):
        inject_fault(fleet, fault)
        fleet.demand = fleet.demand[1:] + fleet.demand[:1]
        fleet.run_with_load(0.4 if fault == "restarted" else 5)
        recover(fleet)
        fleet.run_with_load(5)
    assert fleet.max_utilization() <= 1.0 and len(fleet.admitted_at) > 500


def test_isolated_director_has_its_own_fraction_and_no_more():
    fleet = LoadedFleet(10, [50.0] * 10, 100.0, seed=6)
    fleet.run_with_load(8)
    fleet.block([3], range(10))
    fleet.block(range(10), [3])
    fleet.run_with_load((LEASE_DURATION_MS + WINDOW_MS) / 1000.0 + 0.2)
    assert fleet.shares[3].fraction_at(fleet.clock(3)) == pytest.approx(0.1, rel=1e-3)
    fleet.run_with_load(5)
    assert fleet.shares[3].fraction_at(fleet.clock(3)) == pytest.approx(0.1, rel=1e-3)


def test_borrowed_fraction_expires_while_its_director_is_paused():
    fleet = LoadedFleet(10, uneven_demand(10, 100.0), 100.0, seed=7)
    fleet.run_with_load(8)
    assert fleet.shares[0].fraction_at(fleet.clock(0)) > 0.3
    fleet.pause(0)
    fleet.run(3)
    # The router uses this fraction when the director resumes, before any tick or message.
    assert fleet.shares[0].fraction_at(fleet.clock(0)) <= 0.1 + 1e-9


def test_nothing_is_requested_without_demand():
    fleet = LoadedFleet(8, [0.0] * 8, 100.0, seed=8)
    fleet.run_with_load(6)
    assert all(protocol.delegate.counts["asked"] == 0 for protocol in fleet.protocols.values())
    assert all(
        share.fraction == pytest.approx(1.0 / 8, rel=1e-3) for share in fleet.shares.values()
    )


@pytest.mark.parametrize(
    "payload", [b"", b"\xc1", b"\x93\x01\x02\x03", b"\x91\x94\xa4cold\xa1a\x01\xff"]
)
def test_invalid_payload_is_counted_and_changes_nothing(payload):
    fleet = LoadedFleet(2, [0.0, 0.0], 100.0)
    exchange = fleet.protocols[0].delegate
    assert exchange.receive(0.0, ("n1", "10.0.0.1", 7002), payload) == []
    assert exchange.counts["unusable"] >= 1 and not exchange.limits[LIMIT].ledger.granted


def test_greedy_borrower_gets_no_more_than_may_be_lent():
    fleet = LoadedFleet(2, [0.0, 0.0], 100.0)
    fleet.run_with_load(6)
    ledger = fleet.protocols[0].delegate.limits[LIMIT].ledger
    numbers = itertools.count(1)
    grants = [
        ledger.grant(fleet.clock(0), ("greedy", "h", 1), 1, LeaseRequest(next(numbers), 1 << 20), 0)
        for _ in range(50)
    ]
    assert sum(grant.units for grant in grants if grant) == ledger.owned - ledger.reserved
    usable = ledger.usable(fleet.clock(0))
    assert usable == ledger.reserved >= RESERVED_FRACTION * ledger.owned
