"""The program as a process: signals, configuration, exit."""

import ctypes
import json
import os
import signal
import subprocess
import sys
import time
import tomllib
from pathlib import Path

import pytest
from helpers import (
    HIT_ANSWER,
    IS_WELL_CALL,
    PROJECT_ROOT,
    PURGE,
    RESPONSE_HEAD,
    DirectorProcess,
    LogRecorder,
    StandInClient,
    StandInEndpoint,
    StandInEventStream,
    platform_configuration,
    stream_event,
    wait_for,
)

from mulleinrelay import process

pytestmark = pytest.mark.usefixtures("short_drains")


@pytest.mark.parametrize(
    ("signals", "ready"),
    [
        ([signal.SIGHUP], True),
        ([signal.SIGHUP] * 5, True),
        ([signal.SIGTERM], False),
        ([signal.SIGHUP, signal.SIGTERM], False),
        ([signal.SIGTERM] * 3, False),
    ],
)
def test_signal_before_the_program_handles_signals(signals, ready, tmp_path):
    # Guards against a new configuration, told to all, that ends those who are just being started.
    file, root = tmp_path / "config.json", Path(PROJECT_ROOT)
    file.write_text(json.dumps(platform_configuration()))
    run = tomllib.loads((root / "deploy" / "balancer.toml").read_text())["run"]
    program = subprocess.Popen(
        ["/bin/sh", "-c", run.replace(".venv/bin/python", sys.executable)],
        cwd=root,
        stderr=subprocess.PIPE,
        env=os.environ | {"LB_CONFIG": str(file)},
    )
    try:
        assert wait_for(
            lambda: b"mulleinrelay\0serve" in Path(f"/proc/{program.pid}/cmdline").read_bytes()
        )
        for number in signals:
            program.send_signal(number)
        if ready:
            assert b'"phase":"ready"' in program.stderr.readline()
            for _ in range(2):
                program.send_signal(signal.SIGTERM)
        assert program.wait(10.0) in ((0,) if ready else (0, -signal.SIGTERM))
    finally:
        program.kill()
        program.wait(5.0)
        program.stderr.close()


def test_program_serves_until_sigterm(tmp_path):
    ban = {"ban": {"tag": 17, "ts": time.time() * 1000}}
    nodes, probe = [StandInEndpoint(HIT_ANSWER) for _ in range(6)], StandInEventStream()
    probe.close()  # only for a port that is free
    stands = [
        StandInEventStream(),
        StandInEventStream([RESPONSE_HEAD, stream_event(2, PURGE), stream_event(3, ban), None]),
        StandInEventStream(),
    ]
    file = tmp_path / "config.json"
    texts = [
        json.dumps(
            platform_configuration([node.address for node in nodes], bus.address, probe.address)
        )
        for bus in stands
    ]
    file.write_text(texts[0])
    program = subprocess.Popen(
        [sys.executable, "-m", "mulleinrelay", "serve"],
        cwd=PROJECT_ROOT,
        stderr=subprocess.PIPE,
        env=os.environ | {"LB_CONFIG": str(file)},
    )

    def line():
        while (told := json.loads(program.stderr.readline()))["event"] == "event stream reconnects":
            pass
        return told

    def purged():
        caller.send()
        assert caller.read_answer()[1:] == (0, {}, b"bytes")
        return any("within" in fields for node in nodes for _, _, fields, _ in node.commands)

    try:
        assert line()["phase"] == "ready"
        host, port = probe.address.split(":")
        caller = StandInClient((host, int(port)))
        caller.socket.sendall(IS_WELL_CALL)
        assert caller.read_answer()[:2] == (1, 0)
        caller.send()
        assert caller.read_answer() == (1, 0, {}, b"bytes")
        # Guards against an end by SIGHUP, a faulty file that is taken over, and events lost by the
        # move.
        for text, told in ((texts[1], "read"), ("{}", "kept"), (texts[2], "read")):
            file.write_text(text)
            program.send_signal(signal.SIGHUP)
            assert line()["event"] == f"configuration {told}"
            assert wait_for(purged)
        assert wait_for(lambda: stands[2].last_event_ids) and [
            bus.last_event_ids for bus in stands
        ] == [
            [1],
            [1],
            [3],
        ]
        program.send_signal(signal.SIGTERM)
        assert program.wait(10.0) == 0
        assert [line()["phase"], line()["phase"]] == ["draining", "stopped"]
    finally:
        program.kill()
        for each in (*nodes, *stands):
            each.close()
        program.stderr.close()


@pytest.mark.parametrize("place", [0, 1, -1])  # of the thread that the system interrupts
def test_signal_is_obeyed_whichever_thread_it_interrupts(place, tmp_path):
    bus = StandInEventStream()
    file = tmp_path / "config.json"
    file.write_text(json.dumps(platform_configuration(event_stream_address=bus.address)))
    with DirectorProcess(file) as program:
        pid = program.process.pid
        threads = sorted(int(name) for name in os.listdir(f"/proc/{pid}/task"))
        assert len(threads) > 3
        for number in (signal.SIGHUP, signal.SIGTERM):
            assert ctypes.CDLL(None).tgkill(pid, threads[place], number) == 0
            time.sleep(0.1)
        assert program.wait(10.0) == 0
        assert program.has_logged(event="configuration read") and program.has_logged(
            phase="stopped"
        )
    bus.close()


def test_moved_event_stream_is_found_without_a_signal(tmp_path):
    old, new = StandInEventStream(), StandInEventStream()
    file = tmp_path / "config.json"
    file.write_text(json.dumps(platform_configuration(event_stream_address=old.address)))
    with DirectorProcess(file):
        assert wait_for(lambda: old.last_event_ids)
        file.write_text(json.dumps(platform_configuration(event_stream_address=new.address)))
        old.close()
        assert wait_for(lambda: new.last_event_ids, 8.0)
    new.close()


@pytest.mark.parametrize(
    ("tries", "outcome"), [(1, "renewed"), (2, "renewed"), (9, "configuration kept")]
)
def test_half_written_configuration_is_read_again(tries, outcome, tmp_path, monkeypatch):
    file, sink, slept = tmp_path / "config.json", LogRecorder(), []
    file.write_text("{")

    def pass_time(_):
        slept.append(1)
        if len(slept) == tries:
            file.write_text(json.dumps(platform_configuration()))

    monkeypatch.setattr(time, "sleep", pass_time)
    sink.reload = lambda start: sink.event("renewed", bus=start.event_stream_address)
    process.reload_configuration(sink, sink, str(file))
    assert sink.event_names == [outcome]
