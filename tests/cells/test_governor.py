"""Cells at one director: room, lost cells, releases."""

from dataclasses import replace

import pytest
from stage import ORDER, ORDER_ALL, PAGES, PAY, Cell, Limits, Ruled, Tenant, charter, move

from mulleinrelay.cells import edits, rollouts
from mulleinrelay.cells.admission_controller import (
    AdmissionGrant,
    AdmissionRejection,
    DirectorCapacity,
)
from mulleinrelay.cells.model import Rollout

TWO = (
    Cell("north", caches=("s-01", "s-02"), failover_cells=("south",), failover_quota=0.2),
    Cell("south", caches=("s-03", "s-04")),
)
ALL = ("s-01", "s-02", "s-03", "s-04")


def asked(ruled, count, **how):
    """How many of so many are let in and stay open."""
    return sum(isinstance(ruled.ask(key=key, **how), AdmissionGrant) for key in range(count))


def test_a_flooding_tenant_leaves_the_other_cell_its_part():
    ruled = Ruled(charter(TWO))
    ruled.done(ruled.ask("beta"))  # has asked lately
    ruled.now += 100.0
    assert asked(ruled, 1000) <= 100
    assert asked(ruled, 25, told="beta") == 25


def test_a_flooding_tenant_leaves_its_own_cell_s_others_their_part():
    ruled = Ruled(charter(TWO))
    ruled.done(ruled.ask("shared"))
    ruled.now += 100.0
    asked(ruled, 1000)
    assert asked(ruled, 20, told="shared") == 20


@pytest.mark.parametrize(
    "limits, how, let",
    [
        (Limits(rate=10.0, burst=5), {}, 5),
        (Limits(max_open_requests=7), {}, 7),
        (Limits(max_body_kb=100.0), {"body": 48_000}, 2),
        (Limits(retry_ratio=0.0), {"repeated": True}, 10),
        (Limits(), {"body": 48_000}, 20),
    ],
)  # a body counts as further requests: 80 / (1 + 46.9 / 16)
def test_a_tenant_s_own_bounds(limits, how, let):
    ruled = Ruled(charter(TWO, tenant_limits=limits))
    assert asked(ruled, 50, **how) == let


def test_what_is_settled_makes_room_once():
    ruled = Ruled(charter(TWO, tenant_limits=Limits(max_open_requests=1)))
    grant = ruled.ask()
    assert isinstance(ruled.ask(), AdmissionRejection)
    ruled.done(grant)
    ruled.done(grant)
    assert isinstance(ruled.ask(), AdmissionGrant) and isinstance(ruled.ask(), AdmissionRejection)


@pytest.mark.parametrize(
    "request_class, repeated, is_never_executed",
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
def test_what_may_have_run_is_never_called_is_never_executed(
    request_class, repeated, is_never_executed
):
    ruled = Ruled(charter(TWO, tenant_limits=Limits(rate=0.001, burst=1)))
    ruled.ask()
    denied = ruled.ask(request_class=request_class, repeated=repeated)
    assert denied.is_never_executed == is_never_executed and denied.retry_after_ms > 0.0


def test_a_slow_cell_narrows_and_the_other_keeps_its_width():
    ruled = Ruled(charter(TWO))
    words = []
    for turn in range(600):
        ruled.now += 10.0
        slow = ruled.ask(key=turn)
        words.append(ruled.done(slow, delay=5.0 if turn < 100 else 300.0))
        ruled.done(ruled.ask("beta", key=turn), delay=5.0)
    rooms = ruled.governor.cell_quotas.cell_states
    assert (
        rooms["north"].concurrency_limit.current < 30.0
        and rooms["south"].concurrency_limit.current == 100.0
    )
    assert any(word.startswith("cell north: concurrency limit reduced to ") for word in words)


# A lost cell


def test_a_lost_cell_gets_its_neighbour_s_reserve_and_no_more():
    ruled = Ruled(charter(TWO))
    assert "cell north lost" in ruled.listed(("s-03", "s-04"))
    grants = [
        grant for key in range(100) if isinstance(grant := ruled.ask(key=key), AdmissionGrant)
    ]
    assert len(grants) == 20 and {grant.cell for grant in grants} == {"south"}
    assert set(grants[0].pool.caches) == {"s-03", "s-04"}
    assert asked(ruled, 50, told="beta") == 50


@pytest.mark.parametrize("warmth, let", [(1.0, 20), (0.5, 10), (0.0, 0)])
def test_a_cold_neighbour_takes_in_less(warmth, let):
    ruled = Ruled(charter(TWO))
    ruled.listed(("s-03", "s-04"), {"s-03": warmth, "s-04": warmth})
    assert asked(ruled, 100) == let


@pytest.mark.parametrize(
    "cells, why",
    [
        ((TWO[0], replace(TWO[1], failover_cells=("north",))), "lost"),
        ((replace(TWO[0], failover_cells=()), TWO[1]), "lost"),
    ],
)
def test_where_nobody_takes_them_in_they_are_rejected(cells, why):
    ruled = Ruled(charter(cells))
    ruled.listed(() if cells[0].failover_cells else ("s-03",))
    denied = ruled.ask()
    assert why in denied.reason and denied.is_never_executed


@pytest.mark.parametrize(
    "request_class, repeated, kind",
    [(ORDER, False, True), (ORDER, True, False), (PAY, False, None), (ORDER_ALL, False, None)],
)
def test_an_order_that_one_cell_s_nodes_must_know_is_nobody_s_guest(request_class, repeated, kind):
    ruled = Ruled(charter(TWO))
    ruled.listed(("s-03", "s-04"))
    ruled.now = 1e6
    found = ruled.ask(request_class=request_class, idempotency_key="r", repeated=repeated)
    assert (found.is_never_executed if isinstance(found, AdmissionRejection) else None) == kind


def test_an_order_that_passes_the_caches_by_needs_none():
    ruled = Ruled(charter(TWO))
    ruled.listed(())
    assert isinstance(ruled.ask(request_class=ORDER_ALL, idempotency_key="r"), AdmissionGrant)


def test_its_tenants_return_one_object_after_the_other():
    ruled = Ruled(
        charter(TWO, tenants=(Tenant("acme", "north"), "beta", "shared")),
        board=DirectorCapacity(1e6),
    )
    ruled.listed(("s-03", "s-04"))
    assert "cell north back" in ruled.listed(ALL)
    shares = []
    for _ in range(6):
        shares.append(sum(ruled.ask(key=key).cell == "north" for key in range(500)) / 500)
        ruled.now += 2_000.0
    assert shares[0] == 0.0 and shares[-1] == 1.0 and shares == sorted(shares)
    assert max(after - before for before, after in zip(shares, shares[1:], strict=False)) < 0.3


def test_a_purse_of_further_attempts_is_the_tenant_s_own():
    ruled = Ruled(charter(TWO))
    purses = [
        ruled.ask(told, key=key).pool.retry_budget for told in ("acme", "shared") for key in (1, 2)
    ]
    assert purses[0] is purses[1] and purses[2] is purses[3] and purses[0] is not purses[2]


def test_a_faulty_file_changes_nothing():
    ruled = Ruled(charter(TWO))
    crossing = charter(
        TWO,
        (
            Tenant("acme", "north", groups=((0, 5),)),
            Tenant("beta", "south", groups=((3, 9),)),
            "shared",
        ),
        version=2,
    )
    with pytest.raises(Exception, match="crosses"):
        ruled.governor.replace_assignment(ruled.now, crossing)
    assert ruled.governor.assignment.version == 1 and ruled.ask("", group=3).tenant == "shared"


@pytest.mark.parametrize("held, may", [(0, True), (2, True), (3, False)])
def test_connections_by_address(held, may):
    people = (
        Tenant("acme", "north", addresses=("10.0.0.0/8",), limits=Limits(max_connections=3)),
        "shared",
    )
    assert Ruled(charter(TWO, people)).governor.can_admit_connection("10.2.3.4", held) == may
    assert Ruled(charter(TWO, people)).governor.can_admit_connection("11.2.3.4", 1000)


# Releases

THREE = (
    Cell("north", caches=("s-01",)),
    Cell("south", caches=("s-02",)),
    Cell("east", caches=("s-03",)),
)
RELEASE = Rollout("r1", "north", (("south",), ("east",)), 20_000.0, 5_000.0, Limits(rate=50.0))


def play(course, until, north, others, now=0.0):
    """So many requests a cell each 100 ms, with the share and delay that `north` and `others` give
    at that time.
    """
    words = []
    while now < until:
        for cell in ("north", "south", "east"):
            share, delay = (north if cell == "north" else others)(now)
            for turn in range(10):
                course.record(now, cell, turn < 10 * share, delay)
        if word := course.advance(now):
            words.append((now, word))
        now += 100.0
    return words


WELL = lambda now: (1.0, 20.0)  # noqa: E731


@pytest.mark.parametrize(
    "north, others, ends",
    [
        (WELL, WELL, "everywhere"),
        (lambda now: (0.8 if now > 21_000 else 1.0, 20.0), WELL, "taken back"),
        (lambda now: (1.0, 80.0 if now > 21_000 else 20.0), WELL, "taken back"),
        (
            lambda now: (0.8 if now > 21_000 else 1.0, 20.0),
            lambda now: (0.8 if now > 21_000 else 1.0, 20.0),
            "halted",
        ),
        (lambda now: (0.8, 20.0), lambda now: (1.0, 20.0), "everywhere"),  # it was no better before
        (
            lambda now: (1.0, 80.0 if now > 21_000 else 20.0),
            lambda now: (1.0, 80.0 if now > 21_000 else 20.0),
            "halted",
        ),
        (
            lambda now: (0.8 if 21_000 < now < 30_000 else 1.0, 20.0),
            lambda now: (0.8 if 21_000 < now < 30_000 else 1.0, 20.0),
            "everywhere",
        ),
    ],
)
def test_a_release_goes_on_halts_or_is_taken_back(north, others, ends):
    course = rollouts.RolloutState(RELEASE)
    words = play(course, 90_000.0, north, others)
    assert words[0] == (20_000.0, "canary") and words[-1][1].startswith(ends)
    assert course.is_in_force("east") == (ends == "everywhere")


def test_a_release_is_in_force_where_it_has_arrived():
    ruled = Ruled(
        charter(
            THREE, (Tenant("acme", "north"), Tenant("beta", "south"), "shared"), releases=(RELEASE,)
        ),
        board=DirectorCapacity(1000.0),
    )
    ruled.now = 20_000.0
    assert asked(ruled, 90) == 90
    assert ruled.governor.step(ruled.now) == ["release r1 canary, wave 0 of 2"]
    assert asked(ruled, 90, told="acme") < 10 < asked(ruled, 20, told="beta") + 1
    taken_back = replace(
        ruled.governor.assignment, version=2, rollouts={"r1": replace(RELEASE, is_rolled_back=True)}
    )
    ruled.governor.replace_assignment(ruled.now, taken_back)
    assert "taken back (by staff)" in ruled.governor.step(ruled.now)[0]
    assert ruled.governor.tenant_states["acme"].limits.rate == 0.0


def test_a_release_lays_tenants_over_fewer_caches_and_the_others_fill_them():
    one = (Cell("north", caches=("s-01", "s-02", "s-03")), Cell("south", caches=("s-04",)))
    release = replace(RELEASE, shuffle_shards=1, limits=Limits(), waves=())
    ruled = Ruled(charter(one, releases=(release,)))
    assert len(ruled.ask().pool.caches) == 3
    ruled.now = 20_000.0
    ruled.governor.step(ruled.now)
    pool = ruled.ask().pool
    assert len(pool.caches) == 1 and set(pool.migration_sources) == {"s-01", "s-02", "s-03"}
    kept = edits.adopt_rollout(ruled.governor.assignment, "r1")
    assert kept.cells["north"].shuffle_shards == 1 and kept.cells["south"].shuffle_shards == 0
    ruled.governor.replace_assignment(ruled.now, replace(kept, version=2))
    assert set(ruled.ask().pool.caches) == set(pool.caches)


def test_a_director_restarted_in_a_move_goes_by_the_clock_and_proves_nothing():
    held = replace(charter(TWO, moves=(move(starts_at=100_000.0),)), written_at=90_000.0)
    before, after = Ruled(held), Ruled(held)
    before.now = after.now = 103_000.0
    cells = [[one.ask(key=key).cell for key in range(50)] for one in (before, after)]
    assert cells[0] == cells[1] and len(set(cells[0])) == 2
    assert not after.ask(request_class=ORDER, idempotency_key="r", repeated=True).is_never_executed
