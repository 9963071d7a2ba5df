"""One director: drain, clock and timers."""

import time

import pytest
from helpers import (
    WELL,
    Running,
    wait_for,
)

from mulleinrelay import director as director_module

pytestmark = pytest.mark.usefixtures("short_drains")


def test_drain_answers_open_requests(monkeypatch):
    monkeypatch.setattr(director_module, "FINAL_ANSWERS_S", 3.4)  # of 3.7 s
    with Running(None) as director:
        caller = director.caller()
        caller.send()
        caller.send("pay")
        assert wait_for(lambda: len(director.heard()) == 2)
        director.service.stop()
        begun = time.monotonic()
        assert wait_for(lambda: director.service.phase == director_module.Phase.DRAINING)
        late = director.caller()
        late.socket.sendall(WELL)
        assert late.answer()[:2] == (1, 0) and not director.service.request_handler.is_healthy
        assert sorted(caller.answer()[:2] for _ in range(2)) == [(1, 1), (2, 2)]
        assert 0.25 < time.monotonic() - begun < 1.5
        assert (
            director.service.stopped.wait(5.0)
            and director.service.phase == director_module.Phase.STOPPED
        )


def test_step_of_the_system_clock_reaches_no_timer(monkeypatch):
    with Running() as director:
        before = director.service.clock()
        assert abs(before - time.time() * 1000.0) < 1000.0
        monkeypatch.setattr(time, "time", lambda: 0.0)
        assert 0.0 <= director.service.clock() - before < 1000.0


def test_timers_go_on_after_an_exception(monkeypatch):
    with Running() as director:
        tick, failed = director.service.coordinator.run_due_timers, []

        def fail_once():
            if not failed:
                failed.append(1)
                raise KeyError("tick")
            return tick()

        monkeypatch.setattr(director.service.coordinator, "run_due_timers", fail_once)
        caller = director.caller()
        assert wait_for(lambda: "fault" in director.sink.events)
        caller.send()
        assert caller.answer()[:2] == (1, 0) and director.sink.events.count("fault") == 1
