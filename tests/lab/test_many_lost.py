"""Some forty processes of which most are lost, caches that are all slow, and half that return cold;
judged by counts at caches and clients.
"""

import pytest

from mulleinrelay.lab.fleet.audit import Audit
from mulleinrelay.lab.fleet.observations import read_observations
from mulleinrelay.lab.fleet.runner import FleetLab
from mulleinrelay.lab.fleet.scenario_parser import parse_fleet_scenario

LOST = """
[fleet lab]
seconds = 26
warm_s = 4
seed = 7
[directors]
count = 34
uneven = 1.0
[nodes]
locations = north south
caches = 4
capacity = 40
cold_from = 0.06
cold_ms = 40000
parent_cold_ms = 40000
falls = yes
[load]
rate = 90
objects = 200
patience_ms = 4000
late_ms = 5000
goal_ms = 1500
tries = 3
[fault slow]
what = node_slow
share = 1.0
by = 15
at = 5
for = 4
[fault cold]
what = node_cold
share = 0.5
at = 14
for = 1
[fault killed]
what = kill
share = 0.7
at = 20
for = 3
"""


def play(folder):
    FleetLab(parse_fleet_scenario(LOST), LOST, folder).run()
    return Audit(parse_fleet_scenario(LOST), read_observations(folder))


PLAYS = {"lost": play}


@pytest.fixture(scope="module")
def audit(plays):
    return plays("lost")


def fault(audit, name, begins=True):
    return next(held for held in audit.faults if held[1] == name and held[3] == begins)


def test_no_rule_is_broken(audit):
    assert {rule: found for rule, found in audit.count_violations().items() if found} == {}


def test_caches_that_are_all_slow_get_no_storm_of_attempts(audit):
    """Guards against requests that go from full cache to full cache: over two attempts a request
    then.
    """
    first, last = fault(audit, "slow")[0], fault(audit, "slow", False)[0] + 2.0
    attempts = [
        held
        for held in audit.observations.attempts
        if held[2] in audit.caches and first < held[0] < last
    ]
    asked = sum(
        look[8] for look in audit.observations.requests if first < look[0] < last
    )  # with the clients' retries
    assert 0 < len(attempts) < 1.5 * asked


def test_what_is_served_is_back_once_the_slowness_is_over(audit):
    end = fault(audit, "slow", False)[0]
    looks = [look[7] for look in audit.observations.requests if end + 2.5 < look[0] < end + 4.5]
    assert looks.count("served") > 0.8 * len(looks) > 50


def test_caches_that_return_cold_are_used_and_do_not_fall(audit):
    """Guards against parts of a cold cache that are less than one request: 17 directors share each,
    so that none would be asked anything for all its cold time.
    """
    back, cold = fault(audit, "cold", False)[0], set(fault(audit, "cold")[5])
    attempts = [
        held
        for held in audit.observations.attempts
        if held[2] in cold and 2.0 < held[0] - back < 6.0
    ]  # told to all
    assert len(cold) == 4 and len(attempts) >= 4 and not audit.observations.others["fell"]


def test_survivors_answer_all_they_take_while_most_are_gone(audit):
    first, last = fault(audit, "killed")[0], fault(audit, "killed", False)[0]
    dead = set(fault(audit, "killed")[4])
    taken = [
        look
        for look in audit.observations.requests
        if first < look[0] < last and look[4] not in dead
    ]
    answered = [look for look in taken if look[7] in ("served", "rejected", "failed")]
    assert len(dead) == 24 and len(taken) > 30 and len(answered) == len(taken)
