"""Most of some forty processes are killed, come back together and are killed again; a location's
caches are not reached; caches return cold while directors restart; clocks are stepped. Judged by
counts at caches and clients.
"""

import pytest

from mulleinrelay.lab.fleet.audit import Audit
from mulleinrelay.lab.fleet.observations import read_observations
from mulleinrelay.lab.fleet.runner import FleetLab
from mulleinrelay.lab.fleet.scenario import PARENT
from mulleinrelay.lab.fleet.scenario_parser import parse_fleet_scenario

LOSSES = """
[fleet lab]
seconds = 32
warm_s = 4
seed = 11
[directors]
count = 34
uneven = 0.7
sockets = 96
[nodes]
locations = north south
caches = 4
capacity = 60
origin_ms = 250
falls = yes
cold_ms = 8000
parent_cold_ms = 8000
[load]
rate = 100
objects = 200
orders = 0.3
patience_ms = 6000
late_ms = 5000
goal_ms = 2000
tries = 6
[fault forward]
what = clock
share = 0.2
by = 5000
at = 5
[fault unreached]
what = cut
paths = cache
location = north
at = 5
for = 5
[fault late]
what = late_list
share = 0.5
by = 9
at = 4
for = 16
[fault purged]
what = purge
at = 9
[fault killed]
what = kill
share = 0.7
at = 11
for = 4
[fault again]
what = kill
share = 0.5
at = 16
for = 2
[fault stopped]
what = stop
share = 0.15
location = south
at = 20.5
for = 3
[fault replaced]
what = node_cold
share = 0.5
at = 25
for = 1
[fault tenths]
what = restart
share = 0.5
over = 5
at = 25
"""


def play(folder):
    FleetLab(parse_fleet_scenario(LOSSES), LOSSES, folder).run()
    return Audit(parse_fleet_scenario(LOSSES), read_observations(folder))


PLAYS = {"losses": play}


@pytest.fixture(scope="module")
def audit(plays):
    return plays("losses")


def when(audit, name, begins=True):
    return next(held[0] for held in audit.faults if held[1] == name and held[3] == begins)


def met(audit, name):
    return set(next(held[4] for held in audit.faults if held[1] == name))


def outcomes(audit, first, last, directors=None):
    return [
        look[7]
        for look in audit.observations.requests
        if first < look[0] < last and (directors is None or look[4] in directors)
    ]


def test_no_rule_is_broken(audit):
    assert {rule: found for rule, found in audit.count_violations().items() if found} == {}
    assert all(not held[7] for held in audit.faults)  # each was carried out


def test_a_location_whose_caches_are_not_reached_is_served_past_them(audit):
    """Guards against each cache being found out for itself, with a request or two lost for each."""
    first, last, there = (
        when(audit, "unreached"),
        when(audit, "unreached", False),
        met(audit, "unreached"),
    )
    looks = outcomes(audit, first + 2.0, last - 0.5, there)
    assert looks.count("served") > 0.7 * len(looks) > 30
    passing = {
        attempt[1]
        for attempt in audit.observations.attempts
        if first < attempt[0] < last
        and attempt[1] in there
        and audit.sites[attempt[2]].kind == PARENT
    }
    assert len(passing) > 0.7 * len(there)


def test_it_is_back_at_its_caches_afterwards(audit):
    last, there = when(audit, "unreached", False), met(audit, "unreached")
    back = {
        attempt[1]
        for attempt in audit.observations.attempts
        if last < attempt[0] < when(audit, "killed") + 6.0
        and attempt[1] in there
        and attempt[2] in audit.caches
    }
    assert len(back) > 0.5 * len(there)


def test_orders_that_a_kill_met_run_once_though_their_clients_ask_others(audit):
    first = when(audit, "killed")
    orders = [
        look
        for look in audit.observations.requests
        if first - 1.0 < look[0] < first + 4.0 and look[5] == "order"
    ]
    moved = [look for look in orders if look[8] > 1 and look[3] != look[4] and look[7] == "served"]
    assert len(moved) >= 5 and audit.count_violations()["orders_run_twice"] == 0


def test_the_fleet_is_useful_between_and_after_two_kills(audit):
    again, back = when(audit, "again"), when(audit, "again", False)
    survivors = set(range(34)) - met(audit, "again") - met(audit, "killed")
    looks = outcomes(audit, again, back, survivors)
    assert looks.count("served") > 0.8 * len(looks) > 10
    looks = outcomes(audit, back + 1.5, when(audit, "stopped"))
    assert looks.count("served") > 0.8 * len(looks) > 10


def test_directors_whose_clocks_were_stepped_go_on(audit):
    stepped = met(audit, "forward") - met(audit, "killed")
    looks = outcomes(audit, when(audit, "forward"), when(audit, "tenths"), stepped)
    assert looks.count("served") > 0.6 * len(looks) > 20


def test_caches_that_return_cold_while_directors_restart_do_not_fall(audit):
    assert not audit.observations.others["fell"] and len(audit.observations.others["again"]) >= 10
    looks = outcomes(audit, when(audit, "replaced", False) + 2.0, 32.0)
    assert looks.count("served") > 0.5 * len(looks) > 50
