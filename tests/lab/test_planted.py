"""A herd that is planted in the program must be found by the audit, from the other side."""

import os
import shutil

import pytest

from mulleinrelay.lab.fleet.audit import Audit
from mulleinrelay.lab.fleet.control_channel import ROOT
from mulleinrelay.lab.fleet.observations import read_observations
from mulleinrelay.lab.fleet.runner import FleetLab
from mulleinrelay.lab.fleet.scenario_parser import parse_fleet_scenario

SMALL = """
[fleet lab]
seconds = 9
warm_s = 2
seed = 2
[directors]
count = 24
uneven = 0
probes = yes
[nodes]
locations = north
caches = 6
large_share = 0
capacity = 120
[load]
rate = 160
objects = 400
late_ms = 5000
"""
IN_STEP = (
    "policy/health_checks.py",
    "self._random.choice(endpoints)",
    "endpoints[int(now / 500.0) % len(endpoints)]",
)
ONE_CLOCK = (
    "policy/rendezvous_hash.py",
    "(hash_integers(object_id, part, endpoint.hash_key) + 1)",
    "(hash_integers(int(now / 3000.0), endpoint.hash_key) + 1)",
)


def played(folder, plant=None):
    program = ROOT
    if plant is not None:
        program = os.path.join(folder, "program")
        shutil.copytree(os.path.join(ROOT, "mulleinrelay"), os.path.join(program, "mulleinrelay"))
        path = os.path.join(program, "mulleinrelay", plant[0])
        with open(path, encoding="utf-8") as file:
            text = file.read()
        assert text.count(plant[1]) == 1
        with open(path, "w", encoding="utf-8") as file:
            file.write(text.replace(plant[1], plant[2]))
    text = SMALL.replace("[directors]", "[directors]\none_seed = yes") if plant else SMALL
    scenario = parse_fleet_scenario(text)
    lab = FleetLab(scenario, text, os.path.join(folder, "play"), program)
    return Audit(scenario, read_observations(lab.run())).figures()


THREAD_JOBS = {
    "none-planted": played,
    "planted-probes": lambda folder: played(folder, IN_STEP),
    "planted-herd": lambda folder: played(folder, ONE_CLOCK),
}


@pytest.mark.parametrize(
    ("play", "herd", "idle", "probes"),
    [
        ("none-planted", False, False, False),
        ("planted-probes", False, False, True),
        ("planted-herd", True, True, False),
    ],
)
def test_a_planted_herd_is_found_and_none_where_there_is_none(
    play, herd, idle, probes, thread_job_result
):
    figures = thread_job_result(play)
    assert (figures["herd_seconds_calm"] > 3) is herd
    assert (figures["idle_s_max"] > 2) is idle
    assert (figures["probes_together"] > 0.6) is probes
    assert figures["rules_broken"] == 0
