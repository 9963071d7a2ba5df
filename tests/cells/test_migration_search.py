"""A search over small states: two directors on different versions of a file while boxes drain, die,
come back cold and objects are purged in the middle of a move. Rules 3 to 5 hold in every one; rule
2 is searched in test_moves.
"""

import itertools
from dataclasses import replace

import pytest
from cells_fixtures import Cell, ControllerFixture, make_assignment, make_migration
from helpers import CoordinatorFixture

from mulleinrelay.coordinator import CancelAttempt, SendAttempt
from mulleinrelay.policy.endpoint_capacity import SlowStartAdmission
from mulleinrelay.policy.endpoint_table import EndpointTable
from mulleinrelay.policy.freshness import PurgeHistory
from mulleinrelay.policy.model import CacheStatus, EndpointState, Outcome

CACHES = ("s-01", "s-02", "s-03")
TWO = (Cell("north", caches=("s-01",)), Cell("south", caches=("s-02", "s-03")))
MOVE = make_migration(
    starts_at=101_000.0, warm_up_duration=500.0, shift_duration=2_000.0, drain_duration=1_500.0
)
ABORTED = replace(MOVE, aborted_at=102_500.0)
VERSIONS = [
    make_assignment(TWO),
    make_assignment(TWO, moves=(MOVE,), version=2),
    make_assignment(TWO, moves=(ABORTED,), version=3),
]
BOXES = [(what, box) for what in ("drain", "cold", "gone") for box in CACHES]
TROUBLES = [*BOXES, ("purge", "")]
WHEN = (101_200.0, 102_000.0, 103_200.0)
END, STEP, WORK = 106_000.0, 200.0, 50.0  # ms; a request of 400 KB at 8 KB/ms
COLD_FROM, COLD_FOR, SPAN = 0.2, 17_000.0, 1_500.0  # as the stage's settings tell


class Side:
    """One director with its controller, on a clock that stands until it is set.

    Attempts are answered at once.
    """

    def __init__(self, version):
        self.stage = CoordinatorFixture()
        self.stage.coordinator.settings.director_count = (
            self.stage.coordinator.settings.local_director_count
        ) = 2
        director = self.stage.coordinator.router
        director.cache_slow_start_quota.fraction = director.parent_slow_start_quota.fraction = (
            0.5  # as such terms at its start would have it
        )
        self.fixture = ControllerFixture(version)
        self.told = {}

    def strike(self, now, what, box):
        self.stage.now = now
        if what == "purge":
            self.told["purge"] = now
            return self.stage.coordinator.apply_purge(0xABC, 0, now)
        row = next(entry for entry in self.stage.endpoint_updates if entry.name == box)
        state = {
            "drain": EndpointState.DRAINING,
            "cold": EndpointState.READY,
            "gone": EndpointState.GONE,
        }[what]
        self.told[what, box] = now
        changed = replace(row, state=state, started_at=now if what == "cold" else row.started_at)
        self.stage.coordinator.update_endpoints([changed], False)
        return None

    def requests(self, now):
        """One request of each of some objects; gives the orders that went out."""
        self.stage.now = self.fixture.now = now
        coordinator, controller = self.stage.coordinator, self.fixture.controller
        caches = coordinator.ready_caches()
        controller.update_caches(now, caches)
        for key in (0xABC, 0xDEF, 0x123, 0x9999):
            grant = self.fixture.admit(key=key)
            if not hasattr(grant, "pool"):
                continue
            case = self.stage.settings.request_classes[0]
            request = coordinator.accept(case, key, 0, 1, 400.0, 3_000.0, False, pool=grant.pool)
            while (step := coordinator.next_step(request)) is not None:
                if isinstance(step, SendAttempt):
                    yield step
                    coordinator.report_outcome(
                        step.attempt,
                        Outcome.SERVED,
                        CacheStatus.FILLED if step.fill_source else CacheStatus.HIT,
                    )
                elif not isinstance(step, CancelAttempt):
                    break
            self.fixture.complete(grant)


def exceeds_slow_start(spent, started_at):
    """Whether both directors together sent a cache more, over any span, than it could serve."""
    for at, _ in spent:
        load = sum(work for other, work in spent if at - SPAN < other <= at)
        fraction = COLD_FROM + (1.0 - COLD_FROM) * (at - started_at) / COLD_FOR
        if load > 4.0 * fraction * SPAN:
            return True
    return False


def play(versions, what, box, when):
    """Gives the rules that were broken."""
    sides, broken, spent = [Side(version) for version in versions], set(), []
    now = 100_400.0
    while now < END:
        if now <= when < now + STEP:
            for side in sides:
                side.strike(now, what, box)
        for side in sides:
            for order in side.requests(now):
                named = {order.address.name, order.fill_source}
                if what in ("drain", "gone") and when <= now and box in named:
                    broken.add(3)
                if what == "cold" and when <= now and box in named:
                    spent.append((now, WORK))
                is_purged = what == "purge" and order.attempt.request.object_id == 0xABC
                if is_purged and when <= now and not 0.0 < order.max_age <= now - when + 1.0:
                    broken.add(5)
        now += STEP
    if exceeds_slow_start(spent, when):
        broken.add(4)
    return broken


def search(troubles=TROUBLES):
    found, played = set(), 0
    for versions in itertools.product(VERSIONS, VERSIONS):
        for (what, box), when in itertools.product(troubles, WHEN):
            found |= play(versions, what, box, when)
            played += 1
    return found, played


PROCESS_JOBS = {"moves": (search,)}


def test_no_rule_is_broken_in_a_migration_whatever_fails(process_job_result):
    found, played = process_job_result("moves")
    assert played == 270 and not found


@pytest.mark.parametrize(
    ("rule", "fault", "troubles"),
    [
        (
            3,
            (
                EndpointTable,
                "apply",
                lambda apply: (
                    lambda self, entries, *rest: apply(
                        self,
                        [entry._replace(state=EndpointState.READY) for entry in entries],
                        *rest,
                    )
                ),
            ),
            [("drain", "s-01")],
        ),
        (
            4,
            (
                SlowStartAdmission,
                "try_admit",
                lambda try_admit: lambda self, endpoint, work, now: True,
            ),
            [("cold", "s-01")],
        ),
        (
            5,
            (PurgeHistory, "max_age", lambda max_age: lambda self, request, now: 0.0),
            [("purge", "")],
        ),
    ],
)
def test_search_finds_an_injected_fault(rule, fault, troubles, monkeypatch):
    owner, name, make = fault
    monkeypatch.setattr(owner, name, make(getattr(owner, name)))
    assert rule in search(troubles)[0]
