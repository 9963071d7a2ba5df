"""The SWIM protocol in simulated fleets, which are deterministic for a given seed."""

import msgspec
import pytest
from simulated_fleet import SimulatedFleet

from mulleinrelay.membership.messages import MemberState


def test_all_members_know_each_other_from_two_seeds_within_seconds():
    fleet = SimulatedFleet(40)
    fleet.run(8)
    assert fleet.has_converged() and not fleet.events_of("died")


def simulate_two_minutes(loss, duplication, jitter):
    """Return how many active members each director sees, and how many `died` events there were."""
    fleet = SimulatedFleet(30, 3, loss, duplication, jitter)
    fleet.run(120)
    # Suspects count as well: a running member may be suspect for a moment.
    active = (MemberState.ALIVE, MemberState.SUSPECT)
    active_counts = [len(fleet.members_seen_by(number, active)) for number in range(30)]
    return active_counts, len(fleet.events_of("died"))


def bytes_per_member_and_second(count):
    """Return the bytes that each member of a fleet sends per second."""
    fleet = SimulatedFleet(count)
    fleet.run(40)
    before = fleet.sent_bytes
    fleet.run(20)
    return (fleet.sent_bytes - before) / count / 20.0


# Loss, duplication, jitter in ms, and the maximum number of died events among 870 pairs of members
NETWORKS = [
    (0.0, 0.0, 1.0, 0),
    (0.2, 0.2, 60.0, 0),
    (0.3, 0.3, 80.0, 2),
]
PROCESS_JOBS = {f"members, {network}": (simulate_two_minutes, *network) for *network, _ in NETWORKS}
PROCESS_JOBS |= {f"{count} members": (bytes_per_member_and_second, count) for count in (16, 96)}


@pytest.mark.parametrize(("loss", "duplication", "jitter", "max_died"), NETWORKS)
def test_no_running_member_is_declared_dead_despite_loss_duplicates_and_reordering(
    loss, duplication, jitter, max_died, process_job_result
):
    active_counts, died_count = process_job_result(f"members, {[loss, duplication, jitter]}")
    assert active_counts == [29] * 30 and died_count <= max_died


@pytest.mark.parametrize(("count", "killed"), [(12, 1), (60, 6), (60, 42)])
def test_killed_members_are_declared_dead_within_seconds(count, killed):
    fleet = SimulatedFleet(count, 5)
    fleet.run(15)
    for number in range(count - killed, count):
        fleet.kill(number)
    killed_at = fleet.now
    fleet.run(12)
    assert fleet.has_converged()
    delays = {}
    for at, number, name in fleet.events_of("died"):
        delays[number, name] = at - killed_at
    max_delay_ms = 5000.0 if killed < 10 else 9000.0
    assert sorted(delays.values())[int(0.99 * len(delays))] <= max_delay_ms


def test_restarted_member_is_recognized_and_old_updates_do_not_harm_it():
    fleet = SimulatedFleet(12)
    fleet.run(10)
    fleet.kill(7)
    fleet.run(1)
    fleet.start(7)
    fleet.run(10)
    assert fleet.has_converged()
    assert {name for _, _, name in fleet.events_of("started again")} == {"n7"}


def test_member_is_declared_dead_although_another_director_has_its_address():
    # Guards against a new process that is taken for the one that is gone: it answered the pings
    # that were meant for the earlier director at its address.
    fleet = SimulatedFleet(12)
    fleet.run(10)
    fleet.kill(7)
    fleet.run(1)
    fleet.start(7, name="n107")
    fleet.run(15)
    observers = {number for _, number, name in fleet.events_of("died") if name == "n7"}
    assert observers >= set(range(12)) - {7}
    assert not [name for *_, name in fleet.events_of("died") if name != "n7"]
    for number in set(range(12)) - {7}:
        expected = (set(range(12)) | {107}) - {7, number}
        assert fleet.members_seen_by(number) == expected


def test_member_restarted_with_its_clock_set_back_exceeds_its_old_incarnation():
    fleet = SimulatedFleet(8)
    fleet.run(10)
    fleet.kill(7)
    fleet.run(12)
    fleet.start(7, incarnation=5)
    fleet.run(12)
    assert fleet.has_converged() and fleet.protocols[7].table.local.incarnation > 1000


def test_resumed_member_does_not_declare_others_dead_by_its_outdated_view():
    fleet = SimulatedFleet(20)
    fleet.run(10)
    fleet.pause(4)
    fleet.run(9)
    others = [number for number in range(20) if number != 4]
    assert all(4 in fleet.members_seen_by(number, (MemberState.DEAD,)) for number in others)
    died_count = len(fleet.events_of("died"))
    fleet.resume(4)
    fleet.run(10)
    assert fleet.has_converged() and len(fleet.events_of("died")) == died_count
    assert [number for _, number, _ in fleet.events_of("late")] == [4]


def test_both_sides_of_a_partition_find_each_other_again():
    fleet = SimulatedFleet(24)
    fleet.run(10)
    small_side = range(8)
    large_side = range(8, 24)
    fleet.block(small_side, large_side)
    fleet.block(large_side, small_side)
    fleet.run(25)
    assert fleet.has_converged(small_side) and fleet.has_converged(large_side)
    fleet.unblock_all()
    fleet.run(15)
    assert fleet.has_converged()


@pytest.mark.parametrize("receives_nothing", [True, False])
def test_member_with_a_one_way_link_does_not_harm_the_others(receives_nothing):
    """A member that receives or sends no datagrams must not have all others declared dead."""
    fleet = SimulatedFleet(20)
    fleet.run(10)
    others = [number for number in range(20) if number != 6]
    fleet.block(others if receives_nothing else [6], [6] if receives_nothing else others)
    fleet.run(40)
    assert fleet.has_converged(others)
    assert not [event for event in fleet.events_of("died") if event[1] != 6 and event[2] != "n6"]
    fleet.unblock_all()
    fleet.run(20)
    assert fleet.has_converged()


def test_leaving_member_is_not_declared_dead():
    fleet = SimulatedFleet(20)
    fleet.run(10)
    fleet.leave(3)
    fleet.kill(3)
    fleet.run(6)
    assert fleet.has_converged()
    assert {name for _, _, name in fleet.events_of("left")} == {"n3"}
    assert not fleet.events_of("died")


def test_two_members_of_one_name_are_reported_and_both_known():
    fleet = SimulatedFleet(6)
    table = fleet.protocols[5].table
    table.local = msgspec.structs.replace(table.local, name="n4")
    fleet.run(8)
    assert len({number for _, number, _ in fleet.events_of("two of one name")}) == 6
    assert all(protocol.table.cluster_size() == 6 for protocol in fleet.protocols.values())


def test_drifting_clocks_do_not_matter():
    fleet = SimulatedFleet(20, 3, 0.1, 0.1, 40.0, drift=0.01)
    fleet.run(60)
    assert fleet.has_converged() and not fleet.events_of("died")


def test_flapping_member_is_alive_again_each_time():
    fleet = SimulatedFleet(16)
    fleet.run(8)
    for _ in range(4):
        fleet.pause(2)
        fleet.run(6)
        fleet.resume(2)
        fleet.run(8)
    assert fleet.has_converged()


def test_members_agree_while_the_fleet_grows_and_shrinks():
    fleet = SimulatedFleet(10)
    fleet.run(8)
    for number in range(10, 30):
        fleet.start(number)
    fleet.run(10)
    assert fleet.has_converged()
    for number in range(12, 30):
        fleet.leave(number)
        fleet.kill(number)
    fleet.run(10)
    assert fleet.has_converged()


def test_new_member_learns_a_fleet_larger_than_one_sync_within_seconds():
    fleet = SimulatedFleet(150)
    updates = [protocol.table.local for protocol in fleet.protocols.values()]
    for protocol in fleet.protocols.values():  # all members know each other already
        for update in updates:
            protocol.table.merge(0.0, update, update.member_id)
        protocol.table.broadcasts.clear()
    fleet.run(1)
    fleet.start(150)
    fleet.run(9)
    assert len(fleet.members_seen_by(150)) == 150
    assert sum(150 in fleet.members_seen_by(number) for number in range(150)) == 150


def test_bytes_sent_by_each_member_do_not_grow_with_the_fleet(process_job_result):
    rates = [process_job_result(f"{count} members") for count in (16, 96)]
    assert rates[1] < 2.0 * rates[0] and rates[1] < 3000.0


def test_same_seed_gives_the_same_events():
    traces = []
    for _ in range(2):
        fleet = SimulatedFleet(12, 9, 0.3, 0.2, 60.0)
        fleet.run(20)
        fleet.kill(3)
        fleet.run(10)
        traces.append([(round(at, 6), number, event) for at, number, event in fleet.events])
    assert traces[0] == traces[1] and traces[0]
