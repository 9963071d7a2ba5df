"""The program under its platform's limits: descriptors that idle clients fill, and restarts in
numbers.
"""

import contextlib
import json
import os
import signal
import socket

import pytest
from helpers import (
    ENDPOINTS,
    HIT_ANSWER,
    IS_WELL_CALL,
    RESPONSE_HEAD,
    DirectorProcess,
    StandInClient,
    StandInEndpoint,
    StandInEventStream,
    free_port,
    platform_configuration,
    stream_event,
    wait_for,
)


@pytest.mark.parametrize(("told", "descriptors"), [(128, 128), (1024, 128)])
def test_idle_clients_that_use_up_descriptors_do_not_block_the_event_stream(
    told, descriptors, tmp_path
):
    """Also where the system allows fewer than it was told of. Guards against a stream, links or
    clients that find no descriptor left when discovery is back, and against what stays behind of
    them.
    """
    nodes, port, listens = (
        [StandInEndpoint(HIT_ANSWER) for _ in ENDPOINTS],
        free_port(),
        free_port(),
    )
    whole = platform_configuration(
        [node.address for node in nodes], f"127.0.0.1:{port}", f"127.0.0.1:{listens}"
    )
    whole["limits"]["sockets"] = told
    (file := tmp_path / "config.json").write_text(json.dumps(whole))
    drain = {"topology": {"version": 2, "servers": [{"id": "s-01", "state": "DRAINING"}]}}
    with DirectorProcess(file, descriptors) as program, contextlib.ExitStack() as ends:
        caller = StandInClient(("127.0.0.1", listens))
        caller.send()
        assert caller.read_answer()[:2] == (1, 0)
        at = ("127.0.0.1", listens)
        idle = [socket.create_connection(at, timeout=10.0) for _ in range(2 * descriptors)]
        for connection in idle[::2]:  # half of them ask once, and all stay
            with contextlib.suppress(OSError):
                connection.sendall(IS_WELL_CALL)
        caller.send()
        assert caller.read_answer()[0] == 2  # it was not ended for them
        bus = ends.enter_context(
            contextlib.closing(
                StandInEventStream([RESPONSE_HEAD, stream_event(2, drain), None], port=port)
            )
        )
        assert wait_for(lambda: bus.last_event_ids, 20.0)

        def served_past_it():
            before = len(nodes[0].commands)
            for _ in range(12):
                caller.send(entity=f"{caller.call_count:016x}")
            return [caller.read_answer()[1] for _ in range(12)] == [0] * 12 and len(
                nodes[0].commands
            ) == before

        assert wait_for(served_past_it, 20.0) and served_past_it()
        for connection in idle:
            connection.close()
        caller.close()
        here = f"/proc/{program.process.pid}"
        assert wait_for(
            lambda: len(os.listdir(f"{here}/fd")) <= 16 and len(os.listdir(f"{here}/task")) <= 12
        )
        assert not program.has_logged(event="fault")
        program.send_signal(signal.SIGTERM)
        assert program.wait() == 0


@pytest.mark.parametrize("count", [10])
def test_nine_in_ten_restarted_directors_are_ready_within_ten_seconds(count, tmp_path):
    """With discovery down and no node there, as after the loss of all."""
    files = [tmp_path / f"{number}.json" for number in range(count)]
    for file in files:
        file.write_text(json.dumps(platform_configuration(listen=f"127.0.0.1:{free_port()}")))
    for last in (False, True):
        with contextlib.ExitStack() as ends:
            programs = [DirectorProcess(file) for file in files]
            for program in programs:
                ends.push(program)
            wait_for(lambda held=programs: ready(held) == count, 10.0 if last else 30.0)
            assert ready(programs) >= (0.9 if last else 1.0) * count
            for program in programs:
                program.send_signal(signal.SIGTERM)
            assert [program.wait() for program in programs] == [0] * count


def ready(programs):
    return sum(program.has_logged(phase="ready") for program in programs)
