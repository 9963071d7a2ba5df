"""Plays of the program with and without a modification that causes a herd.

A play is one run of a fleet scenario. In a herd, all directors choose the same cache at the same
time. The audit must detect the herd from the records, and must detect none without the
modification.
"""

import os
import shutil

import pytest

from mulleinrelay.lab.fleet.audit import Audit
from mulleinrelay.lab.fleet.control_channel import ROOT
from mulleinrelay.lab.fleet.observations import read_observations
from mulleinrelay.lab.fleet.runner import FleetLab
from mulleinrelay.lab.fleet.scenario_parser import parse_fleet_scenario

SCENARIO = """
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
# A replacement in the program consists of a module, the original text and the new text.
# SYNCHRONIZED_HEALTH_CHECKS makes all directors check the same cache in each period of 0.5 s, and
# SYNCHRONIZED_SELECTION makes them select the same cache for all objects in each period of 3 s.
SYNCHRONIZED_HEALTH_CHECKS = (
    "policy/health_checks.py",
    "self._random.choice(endpoints)",
    "endpoints[int(now / 500.0) % len(endpoints)]",
)
SYNCHRONIZED_SELECTION = (
    "policy/rendezvous_hash.py",
    "(hash_integers(object_id, part, endpoint.hash_key) + 1)",
    "(hash_integers(int(now / 3000.0), endpoint.hash_key) + 1)",
)


def play(folder, replacement=None):
    program = ROOT
    if replacement is not None:
        program = os.path.join(folder, "program")
        shutil.copytree(os.path.join(ROOT, "mulleinrelay"), os.path.join(program, "mulleinrelay"))
        path = os.path.join(program, "mulleinrelay", replacement[0])
        with open(path, encoding="utf-8") as file:
            text = file.read()
        assert text.count(replacement[1]) == 1
        with open(path, "w", encoding="utf-8") as file:
            file.write(text.replace(replacement[1], replacement[2]))
    text = (
        SCENARIO.replace("[directors]", "[directors]\none_seed = yes") if replacement else SCENARIO
    )
    scenario = parse_fleet_scenario(text)
    lab = FleetLab(scenario, text, os.path.join(folder, "play"), program)
    return Audit(scenario, read_observations(lab.run())).figures()


THREAD_JOBS = {
    "unmodified": play,
    "synchronized-health-checks": lambda folder: play(folder, SYNCHRONIZED_HEALTH_CHECKS),
    "synchronized-selection": lambda folder: play(folder, SYNCHRONIZED_SELECTION),
}


@pytest.mark.parametrize(
    ("job", "has_herd", "has_idle_cache", "has_health_check_herd"),
    [
        ("unmodified", False, False, False),
        ("synchronized-health-checks", False, False, True),
        ("synchronized-selection", True, True, False),
    ],
)
def test_a_herd_is_detected_only_if_the_program_causes_one(
    job, has_herd, has_idle_cache, has_health_check_herd, thread_job_result
):
    figures = thread_job_result(job)
    assert (figures["herd_seconds_calm"] > 3) is has_herd
    assert (figures["idle_s_max"] > 2) is has_idle_cache
    assert (figures["probes_together"] > 0.6) is has_health_check_herd
    assert figures["rules_broken"] == 0
