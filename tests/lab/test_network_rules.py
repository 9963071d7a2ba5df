import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mulleinrelay.lab.fleet.network_rules import (
    DOWN,
    UP,
    ActiveRules,
    NetworkRule,
    StreamState,
    decode_rule,
    encode_rule,
)

CACHE_PATHS = ("cache",)


def rules_of(*rules):
    return ActiveRules(dict(enumerate(rules)))


@pytest.mark.parametrize(
    ("rule", "director", "target", "applies"),
    [
        (NetworkRule(CACHE_PATHS), 3, "c-1", True),
        (NetworkRule(("parent",)), 3, "c-1", False),
        (NetworkRule(CACHE_PATHS, frozenset({4})), 3, "c-1", False),
        (NetworkRule(CACHE_PATHS, frozenset({3}), frozenset({"c-2"})), 3, "c-1", False),
        (NetworkRule(CACHE_PATHS, frozenset({3}), frozenset({"c-1", "c-2"})), 3, "c-1", True),
    ],
)
def test_a_rule_applies_to_its_paths_only(rule, director, target, applies):
    assert rule.applies_to("cache", director, target) is applies


@pytest.mark.parametrize(
    ("direction", "up", "down"), [("both", True, True), ("up", True, False), ("down", False, True)]
)
def test_a_cut_in_one_direction_lets_the_other_pass(direction, up, down):
    rules = rules_of(NetworkRule(CACHE_PATHS, direction=direction, is_cut=True))
    assert (
        rules.cuts_path("cache", 1, "c-1", UP) is up
        and rules.cuts_path("cache", 1, "c-1", DOWN) is down
    )
    assert not rules.cuts_path("parent", 1, "p-1", UP) and not rules.resets_path("cache", 1, "c-1")


@given(
    st.lists(st.tuples(st.floats(0, 500), st.integers(1, 9000)), max_size=30),
    st.floats(0, 300),
    st.floats(0, 300),
    st.floats(0, 1),
    st.sampled_from([0.0, 1000.0, 1e6]),
)
def test_stream_bytes_keep_their_order_and_are_never_early(chunks, delay, jitter, loss, rate):
    rules, stream, rng = (
        rules_of(
            NetworkRule(CACHE_PATHS, delay_ms=delay, jitter_ms=jitter, loss=loss, bytes_per_s=rate)
        ),
        StreamState(),
        random.Random(1),
    )
    now = last = 0.0
    for step, length in chunks:
        now += step
        due_at = rules.stream_due_at("cache", 1, "c-1", UP, now, length, stream, rng)
        assert due_at >= now + delay and due_at >= last
        last = due_at
    assert stream.sent_bytes == sum(length for _, length in chunks)


def test_a_rate_limit_spreads_bytes_over_time():
    rules, stream, rng = (
        rules_of(NetworkRule(("stream",), bytes_per_s=1000.0)),
        StreamState(last_due_at=100.0),
        random.Random(1),
    )
    due_times = [
        rules.stream_due_at("stream", 1, "stream", DOWN, 100.0, 500, stream, rng) for _ in range(4)
    ]
    assert due_times == [600.0, 1100.0, 1600.0, 2100.0]


@pytest.mark.parametrize(
    ("rule", "minimum", "maximum"),
    [
        (NetworkRule(("director",), loss=0.5), 350, 650),
        (NetworkRule(("director",), duplication=0.5), 1350, 1650),
        (NetworkRule(("director",), is_cut=True), 0, 0),
        (NetworkRule(("director",), is_reset=True), 0, 0),
        (NetworkRule(("director",), direction="up", loss=1.0), 0, 0),
        (NetworkRule(("director",), direction="down", loss=1.0), 1000, 1000),
    ],
)
def test_datagrams_are_lost_and_duplicated(rule, minimum, maximum):
    rules, rng = rules_of(rule), random.Random(1)
    assert (
        minimum
        <= sum(len(rules.datagram_due_times("director", 1, "2", UP, 5.0, rng)) for _ in range(1000))
        <= maximum
    )


def test_datagrams_are_reordered():
    rules, rng = (
        rules_of(NetworkRule(("director",), reordering=0.5, delay_ms=10.0)),
        random.Random(1),
    )
    due_times = [
        rules.datagram_due_times("director", 1, "2", UP, float(now), rng)[0] for now in range(200)
    ]
    assert (
        due_times != sorted(due_times)
        and min(due_at - now for now, due_at in enumerate(due_times)) >= 10.0
    )


def test_a_rule_is_the_same_after_encoding_and_decoding():
    rule = NetworkRule(
        ("cache", "parent"),
        frozenset({1, 2}),
        frozenset({"c-1"}),
        "up",
        True,
        False,
        1.0,
        2.0,
        0.1,
        0.2,
        0.3,
        4.0,
    )
    assert decode_rule(encode_rule(rule)) == rule
