"""A play with about forty processes that suffers large losses.

A play is one run of a fleet scenario. Most directors are killed and started again together, and
then half of all directors are killed. The caches of a location are unreachable for some time,
caches restart cold while directors restart, and clocks are stepped. The play is checked by counts
at caches and clients.
"""

import pytest

from mulleinrelay.lab.fleet.audit import Audit
from mulleinrelay.lab.fleet.observations import read_observations
from mulleinrelay.lab.fleet.runner import FleetLab
from mulleinrelay.lab.fleet.scenario import PARENT
from mulleinrelay.lab.fleet.scenario_parser import parse_fleet_scenario

# The 24 directors of `killed` restart one after the other, which takes several seconds on a busy
# machine. The fault `again` follows only after that, so that it lasts as long as stated.
SCENARIO = """
[fleet lab]
seconds = 36
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
at = 20
for = 2
[fault stopped]
what = stop
share = 0.15
location = south
at = 24.5
for = 3
[fault replaced]
what = node_cold
share = 0.5
at = 29
for = 1
[fault tenths]
what = restart
share = 0.5
over = 5
at = 29
"""


def play(folder):
    FleetLab(parse_fleet_scenario(SCENARIO), SCENARIO, folder).run()
    return Audit(parse_fleet_scenario(SCENARIO), read_observations(folder))


THREAD_JOBS = {"losses": play}


@pytest.fixture(scope="module")
def audit(thread_job_result):
    return thread_job_result("losses")


def fault_time(audit, name, is_start=True):
    return next(
        fault.at_s for fault in audit.faults if fault.name == name and fault.is_start == is_start
    )


def faulty_directors(audit, name):
    return set(next(fault.directors for fault in audit.faults if fault.name == name))


def outcomes(audit, first, last, directors=None):
    return [
        request.outcome
        for request in audit.observations.requests
        if first < request.at_s < last and (directors is None or request.director in directors)
    ]


def test_no_violations(audit):
    assert {rule: count for rule, count in audit.count_violations().items() if count} == {}
    assert all(not fault.error for fault in audit.faults)  # all faults were injected


def test_requests_bypass_the_caches_of_an_unreachable_location(audit):
    """Guard against directors that detect each unreachable cache of a location separately.

    Such a director would lose one or two requests per cache. It must detect that no cache of the
    location can be reached.
    """
    first, last, affected = (
        fault_time(audit, "unreached"),
        fault_time(audit, "unreached", False),
        faulty_directors(audit, "unreached"),
    )
    results = outcomes(audit, first + 2.0, last - 0.5, affected)
    assert results.count("served") > 0.7 * len(results) > 30
    bypassing = {
        attempt.director
        for attempt in audit.observations.attempts
        if first < attempt.at_s < last
        and attempt.director in affected
        and audit.sites[attempt.node].kind == PARENT
    }
    assert len(bypassing) > 0.7 * len(affected)


def test_directors_use_the_caches_again_after_the_cut(audit):
    last, affected = fault_time(audit, "unreached", False), faulty_directors(audit, "unreached")
    returned = {
        attempt.director
        for attempt in audit.observations.attempts
        if last < attempt.at_s < fault_time(audit, "killed") + 6.0
        and attempt.director in affected
        and attempt.node in audit.caches
    }
    assert len(returned) > 0.5 * len(affected)


def test_orders_retried_at_other_directors_after_a_kill_run_once(audit):
    first = fault_time(audit, "killed")
    orders = [
        request
        for request in audit.observations.requests
        if first - 1.0 < request.at_s < first + 4.0 and request.request_class == "order"
    ]
    retried_elsewhere = [
        order
        for order in orders
        if order.tries > 1 and order.first_director != order.director and order.outcome == "served"
    ]
    assert len(retried_elsewhere) >= 5 and audit.count_violations()["orders_run_twice"] == 0


def test_most_requests_are_served_between_and_after_two_kills(audit):
    second_kill, second_restart = fault_time(audit, "again"), fault_time(audit, "again", False)
    survivors = (
        set(range(34)) - faulty_directors(audit, "again") - faulty_directors(audit, "killed")
    )
    results = outcomes(audit, second_kill, second_restart, survivors)
    assert results.count("served") > 0.8 * len(results) > 10
    results = outcomes(audit, second_restart + 1.5, fault_time(audit, "stopped"))
    assert results.count("served") > 0.8 * len(results) > 10


def test_directors_with_stepped_clocks_continue_to_serve(audit):
    stepped = faulty_directors(audit, "forward") - faulty_directors(audit, "killed")
    results = outcomes(audit, fault_time(audit, "forward"), fault_time(audit, "tenths"), stepped)
    assert results.count("served") > 0.6 * len(results) > 20


def test_cold_caches_do_not_crash_while_directors_restart(audit):
    assert (
        not audit.observations.other_records["fell"]
        and len(audit.observations.other_records["again"]) >= 10
    )
    results = outcomes(audit, fault_time(audit, "replaced", False) + 2.0, 36.0)
    assert results.count("served") > 0.5 * len(results) > 50
