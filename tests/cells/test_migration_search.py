"""Search for violations of three rules during a migration, with one fault at a time.

Each of two directors uses one of the `VERSIONS` of the assignment while a cache drains, is lost or
restarts empty, or while an object is purged. All combinations of two versions, a fault and one of
the `FAULT_TIMES` are tried.

- Rule 3: no attempt uses a draining or lost cache.
- Rule 4: a cache in slow start is not overloaded.
- Rule 5: no copy from before a purge is served.

The search for sticky requests that run in two cells (rule 2) is in test_migrations.
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
TWO_CELLS = (Cell("north", caches=("s-01",)), Cell("south", caches=("s-02", "s-03")))
MIGRATION = make_migration(
    starts_at=101_000.0, warm_up_duration=500.0, shift_duration=2_000.0, drain_duration=1_500.0
)
ABORTED = replace(MIGRATION, aborted_at=102_500.0)
VERSIONS = [
    make_assignment(TWO_CELLS),
    make_assignment(TWO_CELLS, migrations=(MIGRATION,), version=2),
    make_assignment(TWO_CELLS, migrations=(ABORTED,), version=3),
]
CACHE_FAULTS = [(kind, cache) for kind in ("drain", "cold", "gone") for cache in CACHES]
FAULTS = [*CACHE_FAULTS, ("purge", "")]
FAULT_TIMES = (101_200.0, 102_000.0, 103_200.0)
# ms: end of the simulated time, time between two rounds of requests, and work of one request, which
# is the time that 400 KB take at 8 KB/ms.
END, STEP, WORK = 106_000.0, 200.0, 50.0
# Slow start, as in the settings of the helpers: initial fraction, duration and window (ms).
INITIAL_FRACTION, SLOW_START_DURATION, OVERLOAD_WINDOW = 0.2, 17_000.0, 1_500.0


class SimulatedDirector:
    """A coordinator and an admission controller whose clock the test sets.

    Each attempt is answered as soon as it is sent. `fault_times` has the time of each injected
    fault.
    """

    def __init__(self, version):
        self.coordinator_fixture = CoordinatorFixture()
        self.coordinator_fixture.coordinator.settings.director_count = (
            self.coordinator_fixture.coordinator.settings.local_director_count
        ) = 2
        router = self.coordinator_fixture.coordinator.router
        router.cache_slow_start_quota.fraction = router.parent_slow_start_quota.fraction = (
            0.5  # 1 / 2 directors; the router was created before the number of directors was set
        )
        self.controller_fixture = ControllerFixture(version)
        self.fault_times = {}

    def inject_fault(self, now, kind, cache):
        self.coordinator_fixture.now = now
        if kind == "purge":
            self.fault_times["purge"] = now
            return self.coordinator_fixture.coordinator.apply_purge(0xABC, 0, now)
        row = next(
            entry for entry in self.coordinator_fixture.endpoint_updates if entry.name == cache
        )
        state = {
            "drain": EndpointState.DRAINING,
            "cold": EndpointState.READY,
            "gone": EndpointState.GONE,
        }[kind]
        self.fault_times[kind, cache] = now
        changed = replace(row, state=state, started_at=now if kind == "cold" else row.started_at)
        self.coordinator_fixture.coordinator.update_endpoints([changed], False)
        return None

    def send_requests(self, now):
        """Request four objects, and yield the `SendAttempt` steps of the admitted requests.

        Each attempt is reported as served.
        """
        self.coordinator_fixture.now = self.controller_fixture.now = now
        coordinator, controller = (
            self.coordinator_fixture.coordinator,
            self.controller_fixture.controller,
        )
        caches = coordinator.ready_caches()
        controller.update_caches(now, caches)
        for key in (0xABC, 0xDEF, 0x123, 0x9999):
            grant = self.controller_fixture.admit(key=key)
            if not hasattr(grant, "pool"):
                continue
            request_class = self.coordinator_fixture.settings.request_classes[0]
            request = coordinator.accept(
                request_class, key, 0, 1, 400.0, 3_000.0, False, pool=grant.pool
            )
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
            self.controller_fixture.complete(grant)


def exceeds_slow_start(sent, started_at):
    """Return whether the directors together overloaded a cache in slow start in any window.

    `sent` lists the time and the work (ms) of each attempt that used the cache, also as the fill
    source, since the cache started at `started_at`.
    """
    for sent_at, _ in sent:
        load = sum(work for earlier, work in sent if sent_at - OVERLOAD_WINDOW < earlier <= sent_at)
        fraction = (
            INITIAL_FRACTION
            + (1.0 - INITIAL_FRACTION) * (sent_at - started_at) / SLOW_START_DURATION
        )
        if load > 4.0 * fraction * OVERLOAD_WINDOW:
            return True
    return False


def run_case(versions, kind, cache, fault_at):
    """Simulate one fault at two directors, and return the numbers of the rules that were broken."""
    directors, broken, sent = [SimulatedDirector(version) for version in versions], set(), []
    now = 100_400.0
    while now < END:
        if now <= fault_at < now + STEP:
            for director in directors:
                director.inject_fault(now, kind, cache)
        for director in directors:
            for step in director.send_requests(now):
                used = {step.address.name, step.fill_source}
                if kind in ("drain", "gone") and fault_at <= now and cache in used:
                    broken.add(3)
                if kind == "cold" and fault_at <= now and cache in used:
                    sent.append((now, WORK))
                is_purged = kind == "purge" and step.attempt.request.object_id == 0xABC
                if is_purged and fault_at <= now and not 0.0 < step.max_age <= now - fault_at + 1.0:
                    broken.add(5)
        now += STEP
    if exceeds_slow_start(sent, fault_at):
        broken.add(4)
    return broken


def search(faults=FAULTS):
    broken, case_count = set(), 0
    for versions in itertools.product(VERSIONS, VERSIONS):
        for (kind, cache), fault_at in itertools.product(faults, FAULT_TIMES):
            broken |= run_case(versions, kind, cache, fault_at)
            case_count += 1
    return broken, case_count


PROCESS_JOBS = {"moves": (search,)}


def test_no_rule_is_broken_in_a_migration_with_any_fault(process_job_result):
    broken, case_count = process_job_result("moves")
    assert case_count == 270 and not broken


@pytest.mark.parametrize(
    ("rule", "bug", "faults"),
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
def test_search_finds_an_injected_bug(rule, bug, faults, monkeypatch):
    owner, name, make = bug
    monkeypatch.setattr(owner, name, make(getattr(owner, name)))
    assert rule in search(faults)[0]
