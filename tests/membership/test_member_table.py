"""Tests of the member table; above all, the order and repetition of updates do not matter."""

from random import Random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from mulleinrelay.membership.member_table import DEPARTED_RETENTION_MS, MemberTable
from mulleinrelay.membership.messages import MemberState, MemberUpdate

LOCAL = MemberUpdate("me", "h", 1, "here", 5, 0, MemberState.ALIVE)
REPORTER = ("by", "h", 9)


def empty_table(max_members=100):
    return MemberTable(LOCAL, max_members, Random(1))


def update(number=2, incarnation=5, refutation_count=0, state=MemberState.ALIVE, name=None):
    return MemberUpdate(
        name or f"n{number}", "h", number, "here", incarnation, refutation_count, state
    )


UPDATES = st.builds(
    update, st.integers(2, 4), st.integers(1, 3), st.integers(0, 2), st.sampled_from(MemberState)
)


@given(st.lists(UPDATES, max_size=12), st.randoms(use_true_random=False))
def test_order_and_repetition_of_updates_do_not_matter(updates, random):
    """Directors that receive the same updates in different orders must get equal tables.

    All members are added as alive first, because a table ignores updates that declare an unknown
    member dead or left.
    """
    known = [update(number, 0) for number in (2, 3, 4)]
    merged_tables = []
    for _ in range(2):
        table = empty_table()
        for member_update in known + updates:
            table.merge(0.0, member_update, REPORTER)
        merged_tables.append(
            {member_id: entry.update for member_id, entry in table.entries.items()}
        )
        updates = updates + random.sample(updates, len(updates) // 2)
        random.shuffle(updates)
    assert merged_tables[0] == merged_tables[1]
    for member_id, final_update in merged_tables[0].items():
        assert final_update.precedence == max(
            member_update.precedence
            for member_update in known + updates
            if member_update.member_id == member_id
        )


@pytest.mark.parametrize(
    ("changes", "incarnation", "refutation_count"),
    [
        ({"state": MemberState.SUSPECT}, 5, 1),
        ({"state": MemberState.DEAD}, 5, 1),
        ({"state": MemberState.SUSPECT, "refutation_count": 7}, 5, 8),
        ({}, 5, 0),
        (
            {"incarnation": 3, "state": MemberState.DEAD},
            5,
            0,
        ),  # an outdated update about an earlier incarnation
        ({"incarnation": 9}, 10, 0),  # the clock was set back before this director's restart
    ],
)
def test_update_about_this_director_is_refuted_or_exceeded(changes, incarnation, refutation_count):
    table = empty_table()
    table.merge(0.0, msgspec.structs.replace(LOCAL, **changes), REPORTER)
    assert (table.local.incarnation, table.local.refutation_count, table.local.state) == (
        incarnation,
        refutation_count,
        MemberState.ALIVE,
    )


def test_departed_member_is_not_revived_by_an_old_update_and_is_removed_after_the_retention():
    table = empty_table()
    table.merge(0.0, update(), REPORTER)
    table.merge(1.0, update(state=MemberState.DEAD), REPORTER)
    assert not table.merge(2.0, update(), REPORTER) and table.cluster_size() == 1
    table.remove_expired(DEPARTED_RETENTION_MS)
    assert table.entries
    table.remove_expired(DEPARTED_RETENTION_MS + 2.0)
    assert not table.entries
    assert not table.merge(0.0, update(state=MemberState.LEFT), REPORTER)


def test_number_of_members_is_bounded_and_departed_ones_are_evicted():
    table = empty_table(max_members=5)
    for number in range(2, 40):
        table.merge(0.0, update(number), REPORTER)
    assert len(table.entries) == 5 and table.rejected_members == 33
    table.merge(1.0, update(2, state=MemberState.DEAD), REPORTER)
    assert table.merge(2.0, update(90), REPORTER) and len(table.entries) == 5


def test_two_members_of_one_name_are_both_known_and_reported():
    table = empty_table()
    table.merge(0.0, update(2, name="twin"), REPORTER)
    table.merge(0.0, update(3, name="twin"), REPORTER)
    table.merge(0.0, update(4, name="me"), REPORTER)
    assert [event.kind for event in table.events].count("two of one name") == 2
    assert table.cluster_size() == 4


def test_updates_are_broadcast_a_limited_number_of_times_and_new_ones_first():
    table = empty_table()
    for number in range(2, 12):
        table.merge(0.0, update(number), REPORTER)
    sent = [broadcast.member_id for _ in range(40) for broadcast in table.take_broadcasts(4)]
    assert {sent.count(member_id) for member_id in table.entries} == {
        8
    }  # transmit limit: ceil(2 * log2(12))
    assert not table.broadcasts
    table.merge(1.0, update(5, state=MemberState.SUSPECT), REPORTER)
    assert table.take_broadcasts(3) == [update(5, state=MemberState.SUSPECT)]


def test_digest_depends_on_the_known_updates_alone():
    table = empty_table()
    other = empty_table()
    for number in (2, 3, 4):
        table.merge(0.0, update(number), REPORTER)
    for number in (4, 2, 3):
        other.merge(9.0, update(number), ("else", "h", 7))
    assert table.digest() == other.digest()
    other.merge(10.0, update(3, refutation_count=1), REPORTER)
    assert table.digest() != other.digest()
