"""Fleets of quota exchanges in simulated time, over the membership's simulated network: what the
fleet uses stays within the limit in every window, and units go to where the requests are.
"""

import itertools
from random import Random

import pytest
from simulated_fleet import SimulatedFleet

from mulleinrelay.budgets.lease_ledger import LEASE_DURATION, RESERVED_FRACTION, LeaseRequest
from mulleinrelay.budgets.quota_exchange import QuotaExchange, QuotaSource
from mulleinrelay.policy.model import QuotaShare

WINDOW = 1500.0
LIMIT = "cold"


class LoadedFleet(SimulatedFleet):
    """Each director also wants so many requests a second of one limit of `rate` a second over the
    fleet, and admits those that its fraction allows over any window, as the decision module does.
    """

    def __init__(self, count, demand, rate, **network):
        self.demand = demand
        self.rate = rate
        self.shares = {}
        self.admitted_at = []  # of all directors
        self.recent = {}  # admissions of each director in the last window, by its own clock
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
        protocol.delegate.add(now, QuotaSource(LIMIT, len(self.demand), WINDOW, share))

    def play(self, seconds):
        """In steps of 20 ms."""
        for _ in range(round(50 * seconds)):
            self.run(0.02)
            for number, wanted in enumerate(self.demand):
                if number not in self.killed | self.suspended:
                    requests = sum(self.random.random() < wanted * 0.001 for _ in range(20))
                    for _ in range(requests):
                        self.request(number)

    def request(self, number):
        """One request of a director, which is admitted or rejected."""
        now = self.clock(number)
        share = self.shares[number]
        recent = [at for at in self.recent[number] if at > now - WINDOW]
        self.recent[number] = recent
        fraction = (len(recent) + 1) / (self.rate * WINDOW / 1000.0)
        if fraction <= share.fraction_at(now):
            share.peak_used = max(share.peak_used, fraction)
            recent.append(now)
            self.admitted_at.append(self.now)
        else:
            share.peak_rejected = max(share.peak_rejected, fraction)

    def largest_use(self, since=0.0, window=WINDOW):
        """The most that all admitted in any window, over the limit for it."""
        admitted = [at for at in self.admitted_at if at >= since]
        first = 0
        most = 0
        for index, at in enumerate(admitted):
            while admitted[first] <= at - window:
                first += 1
            most = max(most, index - first + 1)
        return most / (self.rate * window / 1000.0)


def uneven(count, rate, busy=0.1, fraction=0.9):
    """One in ten has nine in ten of a demand that equals the limit."""
    some = max(1, round(busy * count))
    return [
        rate * fraction / some if number < some else rate * (1.0 - fraction) / (count - some)
        for number in range(count)
    ]


def use_with_lending():
    """The fraction of a limit that a fleet uses, and the most in any window."""
    fleet = LoadedFleet(30, uneven(30, 900.0), 900.0, seed=2)
    fleet.play(12)
    before = len(fleet.admitted_at)
    since = fleet.now
    fleet.play(6)
    return (len(fleet.admitted_at) - before) / (900.0 * 6), fleet.largest_use(since)


def use_without_lending():
    fleet = LoadedFleet(30, uneven(30, 900.0), 900.0, seed=2)
    for protocol in fleet.protocols.values():
        protocol.delegate.tick = lambda *_: []  # nobody lends
    for share in fleet.shares.values():
        share.fraction = 1.0 / 30
    fleet.play(6)
    return len(fleet.admitted_at) / (900.0 * 6)


PROCESS_JOBS = {"with lending": (use_with_lending,), "without lending": (use_without_lending,)}


def test_units_go_to_where_the_requests_are(process_job_result):
    used, most = process_job_result("with lending")
    assert used > 0.88 and most <= 1.0
    assert process_job_result("without lending") < 0.35


def test_units_follow_within_two_seconds_when_the_load_moves():
    fleet = LoadedFleet(20, uneven(20, 800.0), 800.0, seed=4)
    fleet.play(12)
    fleet.demand = fleet.demand[::-1]
    fleet.play(2.5)
    before = len(fleet.admitted_at)
    fleet.play(3)
    assert (len(fleet.admitted_at) - before) / (800.0 * 3) > 0.7
    assert fleet.largest_use() <= 1.0


def inject(fleet, fault):
    if fault == "partition":
        fleet.cut(range(4), range(4, 12))
        fleet.cut(range(4, 12), range(4))
    elif fault == "deaf":
        fleet.cut(range(1, 12), [0])
    elif fault in ("killed", "restarted"):
        for number in range(0, 12, 3):
            fleet.kill(number)
    elif fault == "suspended":
        for number in (0, 3, 4):
            fleet.suspend(number)


def recover(fleet):
    fleet.heal()
    for number in list(fleet.suspended):
        fleet.resume(number)
        for _ in range(9):
            fleet.request(number)  # before it receives anything
    for number in list(fleet.killed):
        fleet.start(number)


@pytest.mark.parametrize(
    "fault", ["loss", "partition", "killed", "suspended", "restarted", "deaf", "drift"]
)
def test_limit_holds_in_every_window_despite(fault):
    """Both halves are overloaded: each director wants far more than there is."""
    network = {"loss": 0.3, "doubled": 0.3, "jitter": 80.0} if fault == "loss" else {}
    fleet = LoadedFleet(
        12,
        [60.0 if number % 3 == 0 else 8.0 for number in range(12)],
        100.0,
        seed=5,
        drift=0.009 if fault == "drift" else 0.0,
        **network,
    )
    fleet.play(8)
    for _ in range(2):
        inject(fleet, fault)
        fleet.demand = fleet.demand[1:] + fleet.demand[:1]
        fleet.play(0.4 if fault == "restarted" else 5)
        recover(fleet)
        fleet.play(5)
    assert fleet.largest_use() <= 1.0 and len(fleet.admitted_at) > 500


def test_isolated_director_has_its_own_fraction_and_no_more():
    fleet = LoadedFleet(10, [50.0] * 10, 100.0, seed=6)
    fleet.play(8)
    fleet.cut([3], range(10))
    fleet.cut(range(10), [3])
    fleet.play((LEASE_DURATION + WINDOW) / 1000.0 + 0.2)
    assert fleet.shares[3].fraction_at(fleet.clock(3)) == pytest.approx(0.1, rel=1e-3)
    fleet.play(5)
    assert fleet.shares[3].fraction_at(fleet.clock(3)) == pytest.approx(0.1, rel=1e-3)


def test_borrowed_fraction_expires_while_its_director_is_suspended():
    fleet = LoadedFleet(10, uneven(10, 100.0), 100.0, seed=7)
    fleet.play(8)
    assert fleet.shares[0].fraction_at(fleet.clock(0)) > 0.3
    fleet.suspend(0)
    fleet.run(3)
    # As it resumes, before anything is done
    assert fleet.shares[0].fraction_at(fleet.clock(0)) <= 0.1 + 1e-9


def test_nothing_is_requested_without_demand():
    fleet = LoadedFleet(8, [0.0] * 8, 100.0, seed=8)
    fleet.play(6)
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
    fleet.play(6)
    ledger = fleet.protocols[0].delegate.limits[LIMIT].ledger
    numbers = itertools.count(1)
    grants = [
        ledger.grant(fleet.clock(0), ("greedy", "h", 1), 1, LeaseRequest(next(numbers), 1 << 20), 0)
        for _ in range(50)
    ]
    assert sum(grant.units for grant in grants if grant) == ledger.owned - ledger.reserved
    usable = ledger.usable(fleet.clock(0))
    assert usable == ledger.reserved >= RESERVED_FRACTION * ledger.owned
