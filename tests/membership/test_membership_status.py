"""Tests of a director's status record, whose keys must not change: operators' scripts use them."""

from simulated_fleet import SimulatedFleet

from mulleinrelay.membership.status import ServiceStatistics, director_status

RECORD_KEYS = [
    "fleet",
    "name",
    "address",
    "location",
    "life",
    "denials",
    "state",
    "unwell",
    "size",
    "members",
    "dropped",
    "refused",
    "budgets",
    "bytes_out",
    "bytes_in",
    "events",
    "written",
]
MEMBER_KEYS = ["name", "address", "location", "life", "denials", "state", "for_s", "heard_s"]
EVENTS = [{"at": 1.0, "text": "n1 joined"}]


def status_after(seconds):
    fleet = SimulatedFleet(3)
    fleet.run(seconds)
    protocol = fleet.protocols[0]
    protocol.receive(fleet.clock(0), ("10.0.0.1", 7002), b"no datagram of ours")
    return director_status(
        protocol, fleet.clock(0), ServiceStatistics("lab", 20, 10, EVENTS, 7.12345)
    )


def test_record_has_the_keys_that_scripts_read():
    status = status_after(5)
    assert list(status) == RECORD_KEYS
    assert all(list(member) == MEMBER_KEYS for member in status["members"])


def test_record_describes_this_director_and_its_members():
    status = status_after(5)
    assert (status["name"], status["address"], status["state"]) == ("n0", "10.0.0.1:7001", "alive")
    assert (status["life"], status["denials"], status["size"]) == (1000, 0, 3)
    assert [member["name"] for member in status["members"]] == ["n1", "n2"]
    assert status["dropped"] == {"checksum": 1}
    assert (status["bytes_out"], status["bytes_in"], status["written"]) == (20, 10, 7.123)
    assert status["events"] == EVENTS and status["budgets"] is None


def test_member_that_has_sent_no_datagram_has_no_time_of_the_last_datagram():
    fleet = SimulatedFleet(2)
    table = fleet.protocols[0].table
    silent_member = fleet.protocols[1].table.local
    table.merge(fleet.clock(0), silent_member, ("n9", "10.0.0.1", 7009))
    statistics = ServiceStatistics("lab", 0, 0, [], 0.0)
    members = director_status(fleet.protocols[0], fleet.clock(0), statistics)["members"]
    assert [member["heard_s"] for member in members] == [None]
