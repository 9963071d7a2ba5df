"""Which cell a tenant and a cache belong to."""

import itertools

import pytest
from cells_fixtures import Cell, Tenant, make_assignment
from hypothesis import given, settings
from hypothesis import strategies as st

from mulleinrelay.cells.hashing import (
    assign_with_load_bound,
    caches_by_cell,
    home_cells,
    shuffle_shard,
)

NAMES = st.lists(
    st.integers(0, 10_000).map(lambda number: f"t{number}"), min_size=1, max_size=60, unique=True
)
CELLS = st.lists(
    st.integers(0, 500).map(lambda number: f"c{number}"), min_size=2, max_size=8, unique=True
)


@settings(max_examples=60, deadline=None)
@given(NAMES, CELLS, st.floats(1.0, 3.0), st.randoms(use_true_random=False))
def test_load_bound_is_kept_whatever_the_order(names, cells, bound, chance):
    items, bins = (
        dict.fromkeys(names, 1.0),
        {cell: 1.0 + place % 3 for place, cell in enumerate(cells)},
    )
    found = assign_with_load_bound(items, bins, bound)
    for cell, weight in bins.items():
        held = [name for name, at in found.items() if at == cell]
        assert len(held) < bound * len(items) * weight / sum(bins.values()) + 1.0
    mixed = list(items)
    chance.shuffle(mixed)
    assert (
        assign_with_load_bound(dict.fromkeys(mixed, 1.0), dict(reversed(bins.items())), bound)
        == found
    )


@settings(max_examples=60, deadline=None)
@given(NAMES, CELLS)
def test_without_a_bound_removing_a_cell_moves_only_its_own_items(names, cells):
    items, bins = dict.fromkeys(names, 1.0), dict.fromkeys(cells, 1.0)
    before = assign_with_load_bound(items, bins, 1e9)
    gone = cells[0]
    after = assign_with_load_bound(items, dict.fromkeys(cells[1:], 1.0), 1e9)
    assert all(after[name] == at for name, at in before.items() if at != gone)


@pytest.mark.parametrize(("cells", "tenants"), [(10, 4000), (40, 4000)])
def test_with_a_bound_removing_a_cell_moves_few_other_items(cells, tenants):
    items = {f"tenant-{number}": 1.0 for number in range(tenants)}
    bins = {f"cell-{number}": 1.0 for number in range(cells)}
    before = assign_with_load_bound(items, bins, 1.25)
    del bins["cell-3"]
    after = assign_with_load_bound(items, bins, 1.25)
    moved = sum(before[name] != at for name, at in after.items())
    assert moved / tenants <= 1.25 / cells + 0.01


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 12), st.integers(1, 4))
def test_each_cell_gets_a_cache_if_there_are_enough(caches, cells):
    held = make_assignment([Cell(f"c{number}") for number in range(cells)], ("shared",))
    found = caches_by_cell(held, [f"s-{number}" for number in range(caches)])
    given_out = list(itertools.chain(*found.values()))
    assert len(given_out) == len(set(given_out)) == caches
    assert caches < cells or all(found.values())


def test_named_caches_belong_to_the_cell_that_names_them():
    held = make_assignment((Cell("north", caches=("s-1", "s-9")), Cell("south"), Cell("east")))
    found = caches_by_cell(held, ["s-1", "s-2", "s-3", "s-4"])
    assert found["north"] == ["s-1"] and sorted(found["south"] + found["east"]) == [
        "s-2",
        "s-3",
        "s-4",
    ]


def test_shuffle_shards_seldom_coincide():
    caches = [f"s-{number}" for number in range(8)]
    pools = [tuple(shuffle_shard(f"tenant-{number}", caches, 2)) for number in range(300)]
    assert all(len(pool) == 2 for pool in pools) and len(set(pools)) == 28  # 8 over 2
    same = sum(one == other for one, other in itertools.combinations(pools, 2)) / (300 * 299 / 2)
    assert same < 1.5 / 28
    assert shuffle_shard("acme", caches, 0) == caches == shuffle_shard("acme", caches, 9)


def test_table_placement_leaves_other_tenants_without_a_cell():
    held = make_assignment(
        tenants=(Tenant("acme", "south"), Tenant("beta")),
        placement_method="table",
        unknown_tenant_policy="reject",
    )
    assert home_cells(held) == {"acme": "south"}
