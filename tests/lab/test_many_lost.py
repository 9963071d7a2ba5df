"""A play with about forty processes: slow caches, cold caches, and the loss of most directors.

A play is one run of a fleet scenario. All caches are slow for some time, half of them restart cold,
and most directors are killed. The play is checked by counts at caches and clients.
"""

import pytest

from mulleinrelay.lab.fleet.audit import Audit
from mulleinrelay.lab.fleet.observations import read_observations
from mulleinrelay.lab.fleet.runner import FleetLab
from mulleinrelay.lab.fleet.scenario_parser import parse_fleet_scenario

SCENARIO = """
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
    FleetLab(parse_fleet_scenario(SCENARIO), SCENARIO, folder).run()
    return Audit(parse_fleet_scenario(SCENARIO), read_observations(folder))


THREAD_JOBS = {"lost": play}


@pytest.fixture(scope="module")
def audit(thread_job_result):
    return thread_job_result("lost")


def fault(audit, name, is_start=True):
    return next(
        record for record in audit.faults if record.name == name and record.is_start == is_start
    )


def test_no_violations(audit):
    assert {rule: count for rule, count in audit.count_violations().items() if count} == {}


def test_slow_caches_get_no_overload_of_retries(audit):
    """Guard against directors that retry a request at one full cache after another.

    Such retries amplify the load: without a limit, there were more than two attempts per request.
    """
    first, last = fault(audit, "slow").at_s, fault(audit, "slow", False).at_s + 2.0
    attempts = [
        attempt
        for attempt in audit.observations.attempts
        if attempt.node in audit.caches and first < attempt.at_s < last
    ]
    tries = sum(
        request.tries for request in audit.observations.requests if first < request.at_s < last
    )  # including the retries of clients
    assert 0 < len(attempts) < 1.5 * tries


def test_requests_are_served_again_after_the_slowness(audit):
    ended_at = fault(audit, "slow", False).at_s
    outcomes = [
        request.outcome
        for request in audit.observations.requests
        if ended_at + 2.5 < request.at_s < ended_at + 4.5
    ]
    assert outcomes.count("served") > 0.8 * len(outcomes) > 50


def test_caches_that_restart_cold_are_used_and_do_not_crash(audit):
    """Guard against directors that never use a quota below one request.

    17 directors share each cold cache, so the quota of each director is less than one request. Such
    directors would send nothing to the cache during its whole slow start.
    """
    restarted_at, cold_caches = fault(audit, "cold", False).at_s, set(fault(audit, "cold").nodes)
    attempts = [
        attempt
        for attempt in audit.observations.attempts
        if attempt.node in cold_caches and 2.0 < attempt.at_s - restarted_at < 6.0
    ]  # by 2 s after the restart, all directors are notified of it
    assert (
        len(cold_caches) == 4
        and len(attempts) >= 4
        and not audit.observations.other_records["fell"]
    )


def test_survivors_answer_most_requests_while_most_directors_are_dead(audit):
    first, last = fault(audit, "killed").at_s, fault(audit, "killed", False).at_s
    dead = set(fault(audit, "killed").directors)
    at_survivors = [
        request
        for request in audit.observations.requests
        if first < request.at_s < last and request.director not in dead
    ]
    answered = [
        request for request in at_survivors if request.outcome in ("served", "rejected", "failed")
    ]
    assert len(dead) == 24 and len(at_survivors) > 30 and len(answered) == len(at_survivors)
