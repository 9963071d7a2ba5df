"""Whole fleets of cores in simulated time. The same seed plays the same."""

import pytest
from net import Net

from mulleinrelay.membership.messages import MemberState


def test_all_know_all_from_two_seeds_within_seconds():
    net = Net(40)
    net.run(8)
    assert net.agree() and not net.said("died")


def two_minutes(loss, doubled, jitter):
    """How many each of 30 takes for alive at the end, and how often one was called dead."""
    net = Net(30, 3, loss, doubled, jitter)
    net.run(120)
    there = (MemberState.ALIVE, MemberState.SUSPECT)  # at any moment somebody is doubted
    return [len(net.sees(one, there)) for one in range(30)], len(net.said("died"))


def sent_by_each(count):
    """Bytes a second."""
    net = Net(count)
    net.run(40)
    before = net.sent_bytes
    net.run(20)
    return (net.sent_bytes - before) / count / 20.0


ROUGH = [
    (0.0, 0.0, 1.0, 0),
    (0.2, 0.2, 60.0, 0),
    (0.3, 0.3, 80.0, 2),
]  # 2 of 870 pairs in two minutes
STUDIES = {f"members, {way}": (two_minutes, *way) for *way, _ in ROUGH}
STUDIES |= {f"{count} members": (sent_by_each, count) for count in (16, 96)}


@pytest.mark.parametrize("loss, doubled, jitter, died", ROUGH)
def test_nobody_alive_is_called_dead_whatever_is_lost_doubled_or_overtaken(
    loss, doubled, jitter, died, studies
):
    seen, said = studies(f"members, {[loss, doubled, jitter]}")
    assert seen == [29] * 30 and said <= died


@pytest.mark.parametrize("count, gone", [(12, 1), (60, 6), (60, 42)])
def test_the_dead_are_found_within_seconds(count, gone):
    net = Net(count, 5)
    net.run(15)
    for number in range(count - gone, count):
        net.kill(number)
    at = net.now
    net.run(12)
    assert net.agree()
    last = {}
    for when, number, name in net.said("died"):
        last[number, name] = when - at
    assert sorted(last.values())[int(0.99 * len(last))] <= (5000.0 if gone < 10 else 9000.0)


def test_one_that_starts_again_is_known_as_such_and_old_words_do_not_hurt_it():
    net = Net(12)
    net.run(10)
    net.kill(7)
    net.run(1)
    net.start(7)
    net.run(10)
    assert net.agree() and {name for _, _, name in net.said("started again")} == {"n7"}


def test_one_that_starts_again_with_its_clock_set_back_outlives_its_old_life():
    net = Net(8)
    net.run(10)
    net.kill(7)
    net.run(12)
    net.start(7, life=5)
    net.run(12)
    assert net.agree() and net.cores[7].view.own.incarnation > 1000


def test_one_that_was_stopped_judges_nobody_by_its_old_view():
    net = Net(20)
    net.run(10)
    net.stop(4)
    net.run(9)
    assert all(4 in net.sees(one, (MemberState.DEAD,)) for one in range(20) if one != 4)
    died = len(net.said("died"))
    net.go_on(4)
    net.run(10)
    assert net.agree() and len(net.said("died")) == died
    assert [number for _, number, _ in net.said("late")] == [4]


def test_both_sides_of_a_cut_find_each_other_again():
    net = Net(24)
    net.run(10)
    some, others = range(8), range(8, 24)
    net.cut(some, others)
    net.cut(others, some)
    net.run(25)
    assert net.agree(some) and net.agree(others)
    net.heal()
    net.run(15)
    assert net.agree()


@pytest.mark.parametrize("deaf", [True, False])
def test_one_that_only_sends_or_only_hears_harms_none_of_the_rest(deaf):
    """Guards against one with a broken link that calls all others dead."""
    net = Net(20)
    net.run(10)
    rest = [one for one in range(20) if one != 6]
    net.cut(rest if deaf else [6], [6] if deaf else rest)
    net.run(40)
    assert net.agree(rest)
    assert not [one for one in net.said("died") if one[1] != 6 and one[2] != "n6"]
    net.heal()
    net.run(20)
    assert net.agree()


def test_one_that_leaves_is_not_called_dead():
    net = Net(20)
    net.run(10)
    net.leave(3)
    net.kill(3)
    net.run(6)
    assert (
        net.agree() and {name for _, _, name in net.said("left")} == {"n3"} and not net.said("died")
    )


def test_two_of_one_name_are_told_of_and_both_are_known():
    net = Net(6)
    twin = net.cores[5].view.own
    net.cores[5].view.own = type(twin)(
        "n4",
        *[
            getattr(twin, key)
            for key in ("host", "port", "location", "incarnation", "refutation_count", "state")
        ],
    )
    net.run(8)
    assert len({number for _, number, _ in net.said("two of one name")}) == 6
    assert all(core.view.size() == 6 for core in net.cores.values())


def test_clocks_that_run_apart_do_not_matter():
    net = Net(20, 3, 0.1, 0.1, 40.0, drift=0.01)
    net.run(60)
    assert net.agree() and not net.said("died")


def test_members_that_flap_are_back_each_time():
    net = Net(16)
    net.run(8)
    for _ in range(4):
        net.stop(2)
        net.run(6)
        net.go_on(2)
        net.run(8)
    assert net.agree()


def test_a_fleet_that_grows_and_shrinks():
    net = Net(10)
    net.run(8)
    for number in range(10, 30):
        net.start(number)
    net.run(10)
    assert net.agree()
    for number in range(12, 30):
        net.leave(number)
        net.kill(number)
    net.run(10)
    assert net.agree()


def test_a_newcomer_knows_a_fleet_that_is_larger_than_a_comparison_within_seconds():
    net = Net(150)
    words = [core.view.own for core in net.cores.values()]
    for core in net.cores.values():  # a fleet that has long been there
        for word in words:
            core.view.merge(0.0, word, word.member_id)
        core.view.telling.clear()
    net.run(1)
    net.start(150)
    net.run(9)
    assert len(net.sees(150)) == 150
    assert sum(150 in net.sees(one) for one in range(150)) == 150


def test_what_each_sends_does_not_grow_with_the_fleet(studies):
    rates = [studies(f"{count} members") for count in (16, 96)]
    assert rates[1] < 2.0 * rates[0] and rates[1] < 3000.0


def test_the_same_seed_plays_the_same():
    traces = []
    for _ in range(2):
        net = Net(12, 9, 0.3, 0.2, 60.0)
        net.run(20)
        net.kill(3)
        net.run(10)
        traces.append([(round(at, 6), number, event) for at, number, event in net.events])
    assert traces[0] == traces[1] and traces[0]
