"""Admission at one director: quotas, lost cells, connections, restarts."""

import itertools
from dataclasses import replace

import pytest
from cells_fixtures import (
    ORDER,
    ORDER_ALL,
    PAGES,
    PAY,
    Cell,
    ControllerFixture,
    Limits,
    Tenant,
    make_assignment,
    make_migration,
)

from mulleinrelay.cells.admission_controller import (
    AdmissionGrant,
    AdmissionRejection,
    DirectorCapacity,
)

TWO_CELLS = (
    Cell("north", caches=("s-01", "s-02"), failover_cells=("south",), failover_quota=0.2),
    Cell("south", caches=("s-03", "s-04")),
)
ALL_CACHES = ("s-01", "s-02", "s-03", "s-04")


def test_flooding_tenant_leaves_the_other_cell_its_share():
    fixture = ControllerFixture(make_assignment(TWO_CELLS))
    # The other cell has recent demand, which reserves its share.
    fixture.complete(fixture.admit("beta"))
    fixture.now += 100.0
    assert fixture.count_admitted(1000) <= 100
    assert fixture.count_admitted(25, tenant_name="beta") == 25


def test_flooding_tenant_leaves_tenants_of_its_cell_their_share():
    fixture = ControllerFixture(make_assignment(TWO_CELLS))
    fixture.complete(fixture.admit("shared"))
    fixture.now += 100.0
    fixture.count_admitted(1000)
    assert fixture.count_admitted(20, tenant_name="shared") == 20


@pytest.mark.parametrize(
    ("limits", "request_fields", "admitted"),
    [
        (Limits(rate=10.0, burst=5), {}, 5),
        (Limits(max_open_requests=7), {}, 7),
        (Limits(max_body_kb=100.0), {"body": 48_000}, 2),
        (Limits(retry_ratio=0.0), {"is_retry": True}, 10),
        # A body counts as further open requests: 46.9 KB / 16 KB for each request. The tenants
        # share a capacity of 100 / 1.25 = 80, so 80 / (1 + 46.9 / 16) requests are admitted.
        (Limits(), {"body": 48_000}, 20),
    ],
)
def test_quota_of_a_tenant_is_enforced(limits, request_fields, admitted):
    fixture = ControllerFixture(make_assignment(TWO_CELLS, tenant_limits=limits))
    assert fixture.count_admitted(50, **request_fields) == admitted


def test_completing_a_request_twice_releases_it_once():
    fixture = ControllerFixture(
        make_assignment(TWO_CELLS, tenant_limits=Limits(max_open_requests=1))
    )
    grant = fixture.admit()
    assert isinstance(fixture.admit(), AdmissionRejection)
    fixture.complete(grant)
    fixture.complete(grant)
    assert isinstance(fixture.admit(), AdmissionGrant) and isinstance(
        fixture.admit(), AdmissionRejection
    )


@pytest.mark.parametrize(
    ("request_class", "is_retry", "is_never_executed"),
    [
        (PAGES, True, True),
        (PAGES, False, True),
        (ORDER, False, True),
        (ORDER, True, False),
        (ORDER_ALL, True, True),
        (PAY, False, True),
        (PAY, True, False),
    ],
)
def test_rejection_says_never_executed_only_if_no_attempt_can_have_run(
    request_class, is_retry, is_never_executed
):
    fixture = ControllerFixture(
        make_assignment(TWO_CELLS, tenant_limits=Limits(rate=0.001, burst=1))
    )
    fixture.admit()
    rejection = fixture.admit(request_class=request_class, is_retry=is_retry)
    assert rejection.is_never_executed == is_never_executed and rejection.retry_after_ms > 0.0


def test_concurrency_limit_of_a_slow_cell_falls_and_that_of_the_other_cell_stays():
    fixture = ControllerFixture(make_assignment(TWO_CELLS))
    messages = []
    for index in range(600):
        fixture.now += 10.0
        slow = fixture.admit(key=index)
        messages.append(fixture.complete(slow, delay=5.0 if index < 100 else 300.0))
        fixture.complete(fixture.admit("beta", key=index), delay=5.0)
    cell_states = fixture.controller.cell_quotas.cell_states
    assert (
        cell_states["north"].concurrency_limit.current < 30.0
        and cell_states["south"].concurrency_limit.current == 100.0
    )
    assert any(
        message.startswith("cell north: concurrency limit reduced to ") for message in messages
    )


# Lost cells


def test_lost_cell_uses_the_failover_quota_and_no_more():
    fixture = ControllerFixture(make_assignment(TWO_CELLS))
    assert "cell north lost" in fixture.update_caches(("s-03", "s-04"))
    grants = [
        grant for key in range(100) if isinstance(grant := fixture.admit(key=key), AdmissionGrant)
    ]
    assert len(grants) == 20 and {grant.cell for grant in grants} == {"south"}
    assert set(grants[0].pool.caches) == {"s-03", "s-04"}
    assert fixture.count_admitted(50, tenant_name="beta") == 50


@pytest.mark.parametrize(("capacity_fraction", "admitted"), [(1.0, 20), (0.5, 10), (0.0, 0)])
def test_failover_cell_that_warms_up_admits_less(capacity_fraction, admitted):
    fixture = ControllerFixture(make_assignment(TWO_CELLS))
    fixture.update_caches(("s-03", "s-04"), {"s-03": capacity_fraction, "s-04": capacity_fraction})
    assert fixture.count_admitted(100) == admitted


@pytest.mark.parametrize(
    ("cells", "reason"),
    [
        ((TWO_CELLS[0], replace(TWO_CELLS[1], failover_cells=("north",))), "lost"),
        ((replace(TWO_CELLS[0], failover_cells=()), TWO_CELLS[1]), "lost"),
    ],
)
def test_requests_without_a_failover_cell_are_rejected(cells, reason):
    fixture = ControllerFixture(make_assignment(cells))
    fixture.update_caches(() if cells[0].failover_cells else ("s-03",))
    rejection = fixture.admit()
    assert reason in rejection.reason and rejection.is_never_executed


@pytest.mark.parametrize(
    ("request_class", "is_retry", "is_never_executed"),
    [(ORDER, False, True), (ORDER, True, False), (PAY, False, None), (ORDER_ALL, False, None)],
)
def test_requests_sticky_to_a_lost_cell_do_not_fail_over(
    request_class, is_retry, is_never_executed
):
    fixture = ControllerFixture(make_assignment(TWO_CELLS))
    fixture.update_caches(("s-03", "s-04"))
    fixture.now = 1e6
    decision = fixture.admit(request_class=request_class, idempotency_key="r", is_retry=is_retry)
    assert (
        decision.is_never_executed if isinstance(decision, AdmissionRejection) else None
    ) == is_never_executed


def test_request_that_bypasses_caches_needs_none():
    fixture = ControllerFixture(make_assignment(TWO_CELLS))
    fixture.update_caches(())
    assert isinstance(fixture.admit(request_class=ORDER_ALL, idempotency_key="r"), AdmissionGrant)


def test_objects_return_one_by_one_when_a_cell_recovers():
    fixture = ControllerFixture(
        make_assignment(TWO_CELLS, tenants=(Tenant("acme", "north"), "beta", "shared")),
        capacity=DirectorCapacity(1e6),
    )
    fixture.update_caches(("s-03", "s-04"))
    assert "cell north back" in fixture.update_caches(ALL_CACHES)
    home_fractions = []
    for _ in range(6):
        home_fractions.append(
            sum(fixture.admit(key=key).cell == "north" for key in range(500)) / 500
        )
        fixture.now += 2_000.0
    assert (
        home_fractions[0] == 0.0
        and home_fractions[-1] == 1.0
        and home_fractions == sorted(home_fractions)
    )
    assert max(after - before for before, after in itertools.pairwise(home_fractions)) < 0.3


def test_each_tenant_has_its_own_retry_budget():
    fixture = ControllerFixture(make_assignment(TWO_CELLS))
    budgets = [
        fixture.admit(tenant, key=key).pool.retry_budget
        for tenant in ("acme", "shared")
        for key in (1, 2)
    ]
    assert budgets[0] is budgets[1] and budgets[2] is budgets[3] and budgets[0] is not budgets[2]


def test_unusable_assignment_changes_nothing():
    fixture = ControllerFixture(make_assignment(TWO_CELLS))
    crossing = make_assignment(
        TWO_CELLS,
        (
            Tenant("acme", "north", groups=((0, 5),)),
            Tenant("beta", "south", groups=((3, 9),)),
            "shared",
        ),
        version=2,
    )
    with pytest.raises(Exception, match="crosses"):
        fixture.controller.replace_assignment(fixture.now, crossing)
    assert (
        fixture.controller.assignment.version == 1 and fixture.admit("", group=3).tenant == "shared"
    )


@pytest.mark.parametrize(("open_connections", "can_admit"), [(0, True), (2, True), (3, False)])
def test_connections_are_limited_by_address(open_connections, can_admit):
    tenants = (
        Tenant("acme", "north", addresses=("10.0.0.0/8",), limits=Limits(max_connections=3)),
        "shared",
    )
    controller = ControllerFixture(make_assignment(TWO_CELLS, tenants)).controller
    assert controller.can_admit_connection("10.2.3.4", open_connections) == can_admit
    assert controller.can_admit_connection("11.2.3.4", 1000)


def test_director_restarted_in_a_migration_follows_the_clock_and_fails_uncertain_retries():
    assignment = replace(
        make_assignment(TWO_CELLS, migrations=(make_migration(starts_at=100_000.0),)),
        written_at=90_000.0,
    )
    before, after = ControllerFixture(assignment), ControllerFixture(assignment)
    before.now = after.now = 103_000.0
    cells = [[fixture.admit(key=key).cell for key in range(50)] for fixture in (before, after)]
    assert cells[0] == cells[1] and len(set(cells[0])) == 2
    assert not after.admit(
        request_class=ORDER, idempotency_key="r", is_retry=True
    ).is_never_executed
