"""Placement of tenants and caches in cells by hash."""

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
def test_load_bound_is_kept_whatever_the_order(names, cells, bound, rng):
    items, bins = (
        dict.fromkeys(names, 1.0),
        {cell: 1.0 + index % 3 for index, cell in enumerate(cells)},
    )
    assigned = assign_with_load_bound(items, bins, bound)
    for cell, weight in bins.items():
        in_cell = [name for name, bin_name in assigned.items() if bin_name == cell]
        assert len(in_cell) < bound * len(items) * weight / sum(bins.values()) + 1.0
    shuffled = list(items)
    rng.shuffle(shuffled)
    assert (
        assign_with_load_bound(dict.fromkeys(shuffled, 1.0), dict(reversed(bins.items())), bound)
        == assigned
    )


@settings(max_examples=60, deadline=None)
@given(NAMES, CELLS)
def test_without_a_bound_removing_a_cell_moves_only_its_own_items(names, cells):
    items, bins = dict.fromkeys(names, 1.0), dict.fromkeys(cells, 1.0)
    before = assign_with_load_bound(items, bins, 1e9)
    removed = cells[0]
    after = assign_with_load_bound(items, dict.fromkeys(cells[1:], 1.0), 1e9)
    assert all(after[name] == cell for name, cell in before.items() if cell != removed)


@pytest.mark.parametrize(("cells", "tenants"), [(10, 4000), (40, 4000)])
def test_with_a_bound_removing_a_cell_moves_few_other_items(cells, tenants):
    items = {f"tenant-{number}": 1.0 for number in range(tenants)}
    bins = {f"cell-{number}": 1.0 for number in range(cells)}
    before = assign_with_load_bound(items, bins, 1.25)
    del bins["cell-3"]
    after = assign_with_load_bound(items, bins, 1.25)
    moved = sum(before[name] != cell for name, cell in after.items())
    assert moved / tenants <= 1.25 / cells + 0.01


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 12), st.integers(1, 4))
def test_each_cell_gets_a_cache_if_there_are_enough(caches, cells):
    assignment = make_assignment([Cell(f"c{number}") for number in range(cells)], ("shared",))
    caches_of_cell = caches_by_cell(assignment, [f"s-{number}" for number in range(caches)])
    assigned_caches = list(itertools.chain(*caches_of_cell.values()))
    assert len(assigned_caches) == len(set(assigned_caches)) == caches
    assert caches < cells or all(caches_of_cell.values())


def test_named_caches_belong_to_the_cell_that_names_them():
    assignment = make_assignment(
        (Cell("north", caches=("s-1", "s-9")), Cell("south"), Cell("east"))
    )
    caches_of_cell = caches_by_cell(assignment, ["s-1", "s-2", "s-3", "s-4"])
    assert caches_of_cell["north"] == ["s-1"] and sorted(
        caches_of_cell["south"] + caches_of_cell["east"]
    ) == [
        "s-2",
        "s-3",
        "s-4",
    ]


def test_shuffle_shards_seldom_coincide():
    caches = [f"s-{number}" for number in range(8)]
    pools = [tuple(shuffle_shard(f"tenant-{number}", caches, 2)) for number in range(300)]
    assert all(len(pool) == 2 for pool in pools) and len(set(pools)) == 28  # 8 choose 2
    equal_fraction = sum(first == second for first, second in itertools.combinations(pools, 2)) / (
        300 * 299 / 2
    )
    assert equal_fraction < 1.5 / 28
    assert shuffle_shard("acme", caches, 0) == caches == shuffle_shard("acme", caches, 9)


def test_table_placement_leaves_other_tenants_without_a_cell():
    assignment = make_assignment(
        tenants=(Tenant("acme", "south"), Tenant("beta")),
        placement_method="table",
        unknown_tenant_policy="reject",
    )
    assert home_cells(assignment) == {"acme": "south"}
