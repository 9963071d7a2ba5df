"""Some forty processes with faults between them, judged by counts; and that nothing of a lab is
left.
"""

import os
import signal
import subprocess
import sys
import time

import psutil
import pytest

from mulleinrelay.lab.fleet.audit import Audit
from mulleinrelay.lab.fleet.observations import read_observations
from mulleinrelay.lab.fleet.runner import FleetLab
from mulleinrelay.lab.fleet.scenario_parser import parse_fleet_scenario

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
# What depends on this machine's speed is left wide: answers, stops and drains have seconds to
# spare.
TROUBLED = """
[fleet lab]
seconds = 24
warm_s = 4
seed = 5
[directors]
count = 34
uneven = 1.0
[nodes]
locations = north south
caches = 4
capacity = 60
falls = no
[load]
rate = 90
objects = 300
patience_ms = 6000
late_ms = 5000
goal_ms = 2000
[fault cutoff]
what = cut
location = north
share = 0.5
at = 5
for = 2
[fault half]
what = node_errors
share = 0.25
seen_by = 0.5
at = 5
for = 4
[fault dead]
what = node_cold
share = 0.25
location = south
at = 6
for = 3
[fault late]
what = late_list
share = 0.5
by = 3
at = 4
for = 8
[fault many]
what = kill
share = 0.7
at = 10
for = 4
[fault stopped]
what = stop
share = 0.1
at = 17
for = 2
[fault all]
what = restart
share = 0.5
over = 4
at = 17
[fault drained]
what = drain
share = 0.25
at = 18
[fault purged]
what = purge
at = 19
[fault slow]
what = node_slow
location = north
share = 0.25
seen_by = 0.5
by = 3
at = 15
for = 4
[fault mute]
what = node_silent
location = south
share = 0.25
at = 14
for = 2
[fault moved]
what = shift
location = north
other = south
by = 0.8
at = 20
for = 3.5
[fault thin]
what = trickle
paths = stream
share = 0.3
by = 2
at = 4
for = 10
"""


def processes_of(folder):
    found = []
    for process in psutil.process_iter(["pid", "cmdline"]):
        if any(folder in word for word in process.info["cmdline"] or ()):
            found.append(process)
    return found


def play(folder):
    scenario = parse_fleet_scenario(TROUBLED)
    lab = FleetLab(scenario, TROUBLED, folder)
    alive = []
    lab.run(on_ready=lambda lab: alive.extend(processes_of(folder)))
    return folder, Audit(scenario, read_observations(folder)), alive


THREAD_JOBS = {"troubled": play}


@pytest.fixture(scope="module")
def troubled(thread_job_result):
    return thread_job_result("troubled")


def test_faults_between_forty_processes_cause_no_violation(troubled):
    _, audit, alive = troubled
    figures = audit.figures()
    assert (
        len(alive) >= 34 and len(alive) + 5 >= 39
    )  # with endpoints, proxies, load generators and reaper
    assert {rule: figures[rule] for rule in audit.count_violations()} == dict.fromkeys(
        audit.count_violations(), 0
    )
    assert [fault["wrong"] for fault in figures["faults"]] == [""] * len(figures["faults"])
    assert figures["requests"] > 1200 and figures["outcomes"]["served"] > 0.6 * figures["requests"]


def test_each_fault_shows_in_the_records_of_nodes_and_stream(troubled):
    _, audit, _ = troubled
    attempts, faults = (
        audit.observations.attempts,
        {fault[1]: fault for fault in audit.faults if fault[3]},
    )
    cut, killed = (
        set(faults["cutoff"][4]),
        [fault for fault in audit.faults if fault[1] == "many" and fault[3]],
    )
    during = [
        attempt
        for attempt in attempts
        if faults["cutoff"][0] + 0.5 < attempt[0] < faults["cutoff"][0] + 1.8
    ]
    north = {name for name, box in audit.caches.items() if box.location == "north"}
    assert during and not [
        attempt for attempt in during if attempt[1] in cut and attempt[2] in north
    ]
    errs = set(faults["half"][4])
    assert {
        attempt[1] for attempt in attempts if attempt[7] == "BROKE" and attempt[8] == ""
    } <= errs
    dead = set(killed[0][4])
    assert len(dead) == 24
    gone = [attempt for attempt in attempts if killed[0][0] + 0.5 < attempt[0] < killed[0][0] + 3.5]
    assert gone and not [attempt for attempt in gone if attempt[1] in dead]
    back = [
        attempt for attempt in attempts if attempt[1] in dead and attempt[0] > killed[0][0] + 5.0
    ]
    assert back
    assert audit.observations.other_records["term"] and audit.observations.other_records["again"]
    late = set(faults["late"][4])
    told = {
        director: at
        for at, director, _, state, _ in reversed(audit.observations.other_records["told"])
        if state == "DELETED"
    }
    waits = [told[director] - faults["dead"][0] for director in told]
    assert [wait for director, wait in zip(told, waits, strict=True) if director in late] > [2.9]
    assert (
        min(wait for director, wait in zip(told, waits, strict=True) if director not in late) < 2.5
    )


def test_load_shifts_and_a_silent_cache_comes_back(troubled):
    _, audit, _ = troubled
    faults = {(fault[1], fault[3]): fault for fault in audit.faults}
    first, last = faults["moved", True][0], faults["moved", False][0]
    asked = [look[2] for look in audit.observations.requests if first + 0.2 < look[0] < last - 0.2]
    assert asked.count("south") > 3 * asked.count("north") > 0
    (mute,) = faults["mute", True][5]
    since = faults["mute", False][0]
    assert any(
        attempt[2] == mute and attempt[0] > since for attempt in audit.observations.attempts
    )  # it is back


def test_no_process_is_left_after_a_play(troubled):
    folder, _, alive = troubled
    assert not [process for process in alive if process.is_running()] and not processes_of(folder)


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM, signal.SIGKILL])
def test_no_process_or_folder_is_left_of_a_lab_that_is_killed(number, tmp_path):
    path, temporary = tmp_path / "small.ini", tmp_path / "tmp"
    path.write_text("[fleet lab]\nseconds = 60\n[directors]\ncount = 6\n[load]\nrate = 20\n")
    temporary.mkdir()
    program = subprocess.Popen(
        [sys.executable, "-m", "mulleinrelay", "lab", str(path), "--quiet"],
        cwd=ROOT,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.PIPE,
        env=os.environ | {"TMPDIR": str(temporary)},
        preexec_fn=lambda: signal.signal(
            signal.SIGINT, signal.SIG_DFL
        ),  # a shell's background job ignores it,
    )
    end, held = time.monotonic() + 30.0, []
    while len(held) < 7 and time.monotonic() < end:  # six directors and the reaper name the folder
        time.sleep(0.1)
        held = processes_of(str(temporary))
    others = psutil.Process(program.pid).children(recursive=True)
    program.send_signal(number)
    program.wait(30.0)
    program.stderr.close()
    assert len(others) >= 10
    _, alive = psutil.wait_procs(others, timeout=20.0)
    assert not alive and not list(temporary.iterdir())
