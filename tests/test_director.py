"""A director's drain, clock and timers."""

import time
from types import SimpleNamespace

import pytest
from helpers import (
    IS_WELL_CALL,
    RunningDirector,
    hold_calls,
    replace_in_this_thread,
    wait_for,
)

from mulleinrelay import director as director_module
from mulleinrelay.coordinator import RequestCoordinator
from mulleinrelay.net.client_listener import ClientListener

pytestmark = pytest.mark.usefixtures("short_drains")


def test_drain_answers_open_requests(monkeypatch):
    # Guards against a drain that leaves open requests without an answer. They get a final answer
    # 0.3 s after the beginning of the drain, because 3.4 s of its limit of 3.7 s then remain. The
    # drain is blocked at that point until a late client has its answer. It is blocked again before
    # it closes connections, until the open requests have their answers. That the drain does not
    # wait for much longer than 0.3 s is checked by the sum of its sleeps, because a busy machine
    # may prolong the elapsed time. A drain that spends time elsewhere must still begin the final
    # answers before the stated end of the drain.
    monkeypatch.setattr(director_module, "FINAL_ANSWERS_S", 3.4)
    end_of_drain_s = director_module.MAX_CLIENT_TIMEOUT_S + director_module.DRAIN_GRACE_S
    sleeps, final_answers_at = [], []
    recording_time = SimpleNamespace(**vars(time))
    recording_time.sleep = lambda seconds: (sleeps.append(seconds), time.sleep(seconds))
    monkeypatch.setattr(director_module, "time", recording_time)

    def record_time(_):
        final_answers_at.append(time.monotonic())
        return True

    give_final_answers = hold_calls(
        monkeypatch, RequestCoordinator, "finish_pending_requests", record_time
    )
    close_connections = hold_calls(monkeypatch, ClientListener, "drain")
    with RunningDirector(None) as running:
        client = running.connect_client()
        client.send()
        client.send("pay")
        assert wait_for(lambda: len(running.commands()) == 2)
        started_at = time.monotonic()
        running.director.stop()
        assert give_final_answers.reached.wait(10.0)
        assert 0.3 <= final_answers_at[0] - started_at < end_of_drain_s and sum(sleeps) < 0.35
        assert running.director.phase == director_module.Phase.DRAINING
        late_client = running.connect_client()
        late_client.socket.sendall(IS_WELL_CALL)
        assert (
            late_client.read_answer()[:2] == (1, 0)
            and not running.director.request_handler.is_healthy
        )
        give_final_answers.set()
        assert sorted(client.read_answer()[:2] for _ in range(2)) == [(1, 1), (2, 2)]
        close_connections.set()
        assert (
            running.director.stopped.wait(5.0)
            and running.director.phase == director_module.Phase.STOPPED
        )


def test_step_of_the_system_clock_does_not_affect_timers(monkeypatch):
    with RunningDirector() as running:
        started_at, system_time_before = time.monotonic(), time.time() * 1000.0
        clock_before = running.director.clock()
        assert system_time_before - 1000.0 < clock_before < time.time() * 1000.0 + 1000.0
        replace_in_this_thread(monkeypatch, time, "time", lambda: 0.0)
        clock_after = running.director.clock()
        elapsed_ms = (time.monotonic() - started_at) * 1000.0
        assert 0.0 <= clock_after - clock_before < elapsed_ms + 1.0


def test_timers_go_on_after_an_exception(monkeypatch):
    with RunningDirector() as running:
        run_due_timers, failures = running.director.coordinator.run_due_timers, []

        def fail_once():
            if not failures:
                failures.append(1)
                raise KeyError("tick")
            return run_due_timers()

        monkeypatch.setattr(running.director.coordinator, "run_due_timers", fail_once)
        client = running.connect_client()
        assert wait_for(lambda: "fault" in running.log.event_names)
        client.send()
        assert client.read_answer()[:2] == (1, 0) and running.log.event_names.count("fault") == 1
