"""Words merge to the same whatever their order, number and way."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mulleinrelay.membership.member_table import REMEMBERED, MemberTable
from mulleinrelay.membership.messages import MemberState, MemberUpdate

ME = MemberUpdate("me", "h", 1, "here", 5, 0, MemberState.ALIVE)
BY = ("by", "h", 9)


def view(most=100):
    return MemberTable(ME, most, Random(1))


def word(number=2, life=5, count=0, state=MemberState.ALIVE, name=None):
    return MemberUpdate(name or f"n{number}", "h", number, "here", life, count, state)


WORDS = st.builds(
    word, st.integers(2, 4), st.integers(1, 3), st.integers(0, 2), st.sampled_from(MemberState)
)


@given(st.lists(WORDS, max_size=12), st.randoms(use_true_random=False))
def test_order_and_repetition_do_not_matter(words, draw):
    """A director that was first heard of when it had gone already is not kept, so each is known
    before.
    """
    known = [word(number, 0) for number in (2, 3, 4)]
    found = []
    for _ in range(2):
        held = view()
        for one in known + words:
            held.merge(0.0, one, BY)
        found.append({who: record.word for who, record in held.records.items()})
        words = words + draw.sample(words, len(words) // 2)
        draw.shuffle(words)
    assert found[0] == found[1]
    for who, one in found[0].items():
        assert one.precedence == max(
            other.precedence for other in known + words if other.member_id == who
        )


@pytest.mark.parametrize(
    "said, life, count",
    [
        (dict(state=MemberState.SUSPECT), 5, 1),
        (dict(state=MemberState.DEAD), 5, 1),
        (dict(state=MemberState.SUSPECT, refutation_count=7), 5, 8),
        (dict(), 5, 0),
        (dict(incarnation=3, state=MemberState.DEAD), 5, 0),  # of an earlier life
        (dict(incarnation=9), 10, 0),
    ],
)  # from before a restart with a clock that was ahead
def test_what_is_said_of_oneself_is_denied_or_outlived(said, life, count):
    held = view()
    held.merge(
        0.0,
        MemberUpdate(
            **(
                {
                    "name": "me",
                    "host": "h",
                    "port": 1,
                    "location": "here",
                    "incarnation": 5,
                    "refutation_count": 0,
                    "state": MemberState.ALIVE,
                }
                | said
            )
        ),
        BY,
    )
    assert (held.own.incarnation, held.own.refutation_count, held.own.state) == (
        life,
        count,
        MemberState.ALIVE,
    )


def test_what_has_gone_is_not_brought_back_by_an_old_word_and_is_forgotten_in_the_end():
    held = view()
    held.merge(0.0, word(), BY)
    held.merge(1.0, word(state=MemberState.DEAD), BY)
    assert not held.merge(2.0, word(), BY) and held.size() == 1
    held.age(REMEMBERED)
    assert held.records
    held.age(REMEMBERED + 2.0)
    assert not held.records and not held.merge(0.0, word(state=MemberState.LEFT), BY)


def test_there_is_a_bound_to_whom_is_kept_track_of():
    held = view(most=5)
    for number in range(2, 40):
        held.merge(0.0, word(number), BY)
    assert len(held.records) == 5 and held.refused == 33
    held.merge(1.0, word(2, state=MemberState.DEAD), BY)
    assert held.merge(2.0, word(90), BY) and len(held.records) == 5  # what has gone makes room


def test_two_of_one_name_are_both_kept_and_told_of():
    held = view()
    held.merge(0.0, word(2, name="twin"), BY)
    held.merge(0.0, word(3, name="twin"), BY)
    held.merge(0.0, word(4, name="me"), BY)
    assert [event.what for event in held.events].count("two of one name") == 2 and held.size() == 4


def test_each_word_is_told_some_times_and_what_is_new_before_what_is_old():
    held = view()
    for number in range(2, 12):
        held.merge(0.0, word(number), BY)
    told = [one.member_id for _ in range(40) for one in held.to_tell(4)]
    assert {told.count(who) for who in held.records} == {
        8
    } and not held.telling  # 2 log2(12), rounded up
    held.merge(1.0, word(5, state=MemberState.SUSPECT), BY)
    assert held.to_tell(3) == [word(5, state=MemberState.SUSPECT)]


def test_the_digest_is_of_the_knowledge_alone():
    one, other = view(), view()
    for number in (2, 3, 4):
        one.merge(0.0, word(number), BY)
    for number in (4, 2, 3):
        other.merge(9.0, word(number), ("else", "h", 7))
    assert one.digest() == other.digest()
    other.merge(10.0, word(3, count=1), BY)
    assert one.digest() != other.digest()
