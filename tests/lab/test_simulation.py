"""The simulation runs scenarios of the fleet lab, and the lab's audit checks the records."""

import pytest

from mulleinrelay.lab.fleet.scenario_parser import parse_fleet_scenario
from mulleinrelay.model.simulation import run_scenario

SCENARIO = """
[fleet lab]
seconds = 16
warm_s = 3
seed = 4
[directors]
count = 30
[nodes]
locations = north south
caches = 4
[load]
rate = 120
objects = 300
"""
VIOLATION_COUNTS = (
    "rules_broken",
    "requests_lost",
    "answers_twice",
    "orders_run_twice",
    "drains_broken",
    "purges_broken",
    "fell",
)


@pytest.mark.parametrize(
    ("fault", "outcomes"),
    [
        ("", {"served"}),
        ("what = cut\nlocation = north\nfor = 4\n", {"served", "rejected"}),
        ("what = reset\nshare = 0.5\nfor = 4\n", {"served", "rejected"}),
        ("what = node_cold\nshare = 0.25\nfor = 3\n", {"served", "rejected"}),
        ("what = node_silent\nshare = 0.25\nfor = 3\n", {"served", "rejected"}),
        ("what = node_errors\nshare = 0.25\nseen_by = 0.5\nfor = 3\n", {"served", "rejected"}),
        ("what = node_slow\nshare = 0.25\nseen_by = 0.5\nfor = 3\n", {"served", "rejected"}),
        ("what = drain\nshare = 0.25\n", {"served", "rejected"}),
        ("what = purge\n", {"served", "rejected"}),
        ("what = late_list\nshare = 0.5\nfor = 3\n", {"served"}),
        (
            "what = kill\nshare = 0.7\nfor = 3\n",
            {"served", "rejected", "cut off", "nobody", "no answer"},
        ),
        ("what = restart\nover = 3\n", {"served", "rejected", "failed", "cut off"}),
        (
            "what = stop\nshare = 0.2\nfor = 3\n",
            {"served", "rejected", "failed", "no answer", "nobody"},
        ),
    ],
)
def test_each_fault_causes_no_violation(fault, outcomes):
    text = SCENARIO + ("[fault f]\nat = 6\n" + fault if fault else "")
    figures = run_scenario(parse_fleet_scenario(text))
    assert {name: figures[name] for name in VIOLATION_COUNTS} == dict.fromkeys(VIOLATION_COUNTS, 0)
    assert figures["requests"] > 1500 and set(figures["outcomes"]) <= outcomes
    assert figures["outcomes"]["served"] > 0.6 * figures["requests"]


def test_the_same_seed_gives_the_same_figures():
    first, second = (run_scenario(parse_fleet_scenario(SCENARIO)) for _ in range(2))
    assert (
        first
        == second
        != run_scenario(parse_fleet_scenario(SCENARIO.replace("seed = 4", "seed = 5")))
    )


def test_a_fleet_of_1000_directors_can_be_simulated():
    figures = run_scenario(
        parse_fleet_scenario(SCENARIO.replace("seconds = 16", "seconds = 5")).with_directors(1000)
    )
    assert (
        figures["directors"] == 1000 and figures["outcomes"]["served"] > 0.95 * figures["requests"]
    )
