"""A play with about forty processes and many faults, and the cleanup after a lab has ended.

A play is one run of a fleet scenario. It is checked by counts of records. The tests of the cleanup
verify that no director remains after a play, and that no process and no folder of a lab remains
after a signal has ended the lab.
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
# The effect of a fault is checked from this time after its recorded start. By then, the lab has
# injected the fault, and the nodes have recorded all attempts that were sent before it.
MAX_DELAY_S = 2.0
# Limits that depend on the speed of the machine are generous: answers, stops and drains have
# several seconds more than they need.
SCENARIO = """
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
for = 3.5
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
at = 9
for = 5
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
        if any(folder in argument for argument in process.info["cmdline"] or ()):
            found.append(process)
    return found


def play(folder):
    scenario = parse_fleet_scenario(SCENARIO)
    lab = FleetLab(scenario, SCENARIO, folder)
    alive = []
    lab.run(on_ready=lambda lab: alive.extend(processes_of(folder)))
    return folder, Audit(scenario, read_observations(folder)), alive


THREAD_JOBS = {"many-faults": play}


@pytest.fixture(scope="module")
def played(thread_job_result):
    return thread_job_result("many-faults")


def test_faults_between_forty_processes_cause_no_violation(played):
    _, audit, alive = played
    figures = audit.figures()
    # The folder is on the command lines of the directors, but not on those of the lab's processes.
    assert len(alive) >= 34
    assert {rule: figures[rule] for rule in audit.count_violations()} == dict.fromkeys(
        audit.count_violations(), 0
    )
    assert [fault["wrong"] for fault in figures["faults"]] == [""] * len(figures["faults"])
    assert figures["requests"] > 1200 and figures["outcomes"]["served"] > 0.6 * figures["requests"]


def test_each_fault_is_visible_in_the_records_of_nodes_and_stream(played):
    _, audit, _ = played
    attempts, faults, ends = (
        audit.observations.attempts,
        {fault[1]: fault for fault in audit.faults if fault[3]},
        {fault[1]: fault for fault in audit.faults if not fault[3]},
    )
    cut_directors, killed = (
        set(faults["cutoff"][4]),
        [fault for fault in audit.faults if fault[1] == "many" and fault[3]],
    )
    during_cut = [
        attempt
        for attempt in attempts
        if faults["cutoff"][0] + MAX_DELAY_S < attempt[0] < ends["cutoff"][0]
    ]
    north = {name for name, cache in audit.caches.items() if cache.location == "north"}
    assert during_cut and not [
        attempt for attempt in during_cut if attempt[1] in cut_directors and attempt[2] in north
    ]
    with_errors = set(faults["half"][4])
    assert {
        attempt[1] for attempt in attempts if attempt[7] == "BROKE" and attempt[8] == ""
    } <= with_errors
    dead = set(killed[0][4])
    assert len(dead) == 24
    restarted_at = min(fault[0] for fault in audit.faults if fault[1] == "many" and not fault[3])
    while_dead = [
        attempt for attempt in attempts if killed[0][0] + MAX_DELAY_S < attempt[0] < restarted_at
    ]
    assert while_dead and not [attempt for attempt in while_dead if attempt[1] in dead]
    after_restart = [
        attempt for attempt in attempts if attempt[1] in dead and attempt[0] > killed[0][0] + 6.0
    ]
    assert after_restart
    assert audit.observations.other_records["term"] and audit.observations.other_records["again"]
    late = set(faults["late"][4])
    notified_at = {
        director: at
        for at, director, _, state, _ in reversed(audit.observations.other_records["told"])
        if state == "DELETED"
    }
    delays = [notified_at[director] - faults["dead"][0] for director in notified_at]
    assert (
        min(delay for director, delay in zip(notified_at, delays, strict=True) if director in late)
        > 2.9
    )
    assert (
        min(
            delay
            for director, delay in zip(notified_at, delays, strict=True)
            if director not in late
        )
        < 2.5
    )


def test_load_shifts_and_a_silent_cache_is_used_again(played):
    _, audit, _ = played
    faults = {(fault[1], fault[3]): fault for fault in audit.faults}
    first, last = faults["moved", True][0], faults["moved", False][0]
    locations = [
        request[2]
        for request in audit.observations.requests
        if first + 0.2 < request[0] < last - 0.2
    ]
    assert locations.count("south") > 3 * locations.count("north") > 0
    (silent_cache,) = faults["mute", True][5]
    ended_at = faults["mute", False][0]
    assert any(
        attempt[2] == silent_cache and attempt[0] > ended_at
        for attempt in audit.observations.attempts
    )


def test_no_process_remains_after_a_play(played):
    folder, _, alive = played
    assert not [process for process in alive if process.is_running()] and not processes_of(folder)


LAB_COMMAND = [sys.executable, "-m", "mulleinrelay", "lab"]
# No director is registered at the reaper, as if the lab were killed before each registration.
LAB_COMMAND_WITHOUT_REGISTRATION = [
    sys.executable,
    "-c",
    "import sys; from mulleinrelay.cli import main; from mulleinrelay.lab.fleet import runner;"
    " runner.ProcessReaper.add = lambda *_: None; main(sys.argv[1:])",
    "lab",
]


@pytest.mark.parametrize(
    ("signal_number", "command"),
    [
        (signal.SIGINT, LAB_COMMAND),
        (signal.SIGTERM, LAB_COMMAND),
        (signal.SIGKILL, LAB_COMMAND),
        (signal.SIGKILL, LAB_COMMAND_WITHOUT_REGISTRATION),
    ],
)
def test_no_process_or_folder_of_a_killed_lab_remains(signal_number, command, tmp_path):
    scenario_path, temporary = tmp_path / "small.ini", tmp_path / "tmp"
    scenario_path.write_text(
        "[fleet lab]\nseconds = 60\n[directors]\ncount = 6\n[load]\nrate = 20\n"
    )
    temporary.mkdir()
    program = subprocess.Popen(
        [*command, str(scenario_path), "--quiet"],
        cwd=ROOT,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.PIPE,
        env=os.environ | {"TMPDIR": str(temporary)},
        preexec_fn=lambda: signal.signal(
            signal.SIGINT, signal.SIG_DFL
        ),  # a shell makes its background jobs ignore SIGINT, and the lab would inherit that
    )
    deadline, lab_processes = time.monotonic() + 30.0, []
    while len(lab_processes) < 7 and time.monotonic() < deadline:  # six directors and the reaper
        time.sleep(0.1)
        lab_processes = processes_of(str(temporary))
    while command is not LAB_COMMAND and time.monotonic() < deadline:
        # A director that has not read its configuration ends by itself when the file is removed.
        if sum("ready" in log.read_text() for log in temporary.glob("*/n*.log")) == 6:
            break
        time.sleep(0.1)
    others = psutil.Process(program.pid).children(recursive=True)
    program.send_signal(signal_number)
    program.wait(30.0)
    program.stderr.close()
    assert len(others) >= 10
    _, alive = psutil.wait_procs(others, timeout=20.0)
    assert not alive and not list(temporary.iterdir())
