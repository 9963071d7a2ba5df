"""Memory of received requests: its bound over all connections, rejections, and its release."""

import threading

import pytest
from helpers import (
    HIT_ANSWER,
    IS_WELL_CALL,
    RunningDirector,
    cancel_frame,
    serve_frame,
    wait_for,
)

from mulleinrelay.policy.memory_limits import memory_limits

pytestmark = pytest.mark.usefixtures("short_drains", "long_timeouts")

BODY = bytes(48_000)
MEMORY_MB = 32
REQUEST_BYTES = memory_limits(MEMORY_MB, 1024).request_bytes


def flood(client, body, count):
    """Send requests in a thread, since the director may not read all of them."""

    def send():
        try:
            for _ in range(count):
                client.send("order", body=body)
        except OSError:  # the connection was closed at the end of the test
            pass

    threading.Thread(target=send, daemon=True).start()


def held_bytes(running):
    """Return the size of all requests that are read ahead or open."""
    pending, is_open = 0, 0
    for client in list(running.director.listener.clients):
        pending += sum(len(call.arguments.frame) for call in list(client.pending_calls))
        contexts = [request.context for request in list(client.open_requests.values()) if request]
        is_open += sum(len(context.request.body) for context in contexts if context)
    return pending + is_open


@pytest.mark.parametrize(("client_count", "size"), [(4, 48_000), (16, 48_000), (40, 9_000)])
def test_clients_that_send_many_requests_at_once_are_not_all_read_into_memory(client_count, size):
    # Guards against the limit per connection only, by which bad clients exceeded the memory limit.
    with RunningDirector(None, memory_mb=MEMORY_MB) as running:
        for _ in range(client_count):
            flood(running.connect_client(), bytes(size), 70)
        assert wait_for(lambda: held_bytes(running) > REQUEST_BYTES // 2)
        assert not wait_for(lambda: held_bytes(running) > REQUEST_BYTES, 1.0)


def test_request_without_memory_for_its_body_is_rejected_and_the_next_one_is_served():
    # Guards against waiting for memory: the request gets its only answer at once.
    with RunningDirector() as running:
        running.director.listener.request_memory.capacity = len(BODY) // 2
        client = running.connect_client()
        for body in (BODY, b"small"):
            client.send("order", body=body)
        number, result, fields, _ = client.read_answer()
        assert (number, result) == (1, 1) and 50 <= int(fields["pause"]) <= 150
        assert client.read_answer()[:2] == (2, 0)
        assert [command[3] for command in running.commands()] == [b"small"]


def test_rejected_request_in_pieces_is_read_to_its_end():
    # Guards against taking the rest of a rejected request for calls.
    with RunningDirector() as running:
        running.director.listener.request_memory.capacity = len(BODY) // 2
        client = running.connect_client()
        fields = {"route": "order", "nonce": "1", "entity": "0" * 16, "trace": "1" * 16}
        data = serve_frame(1, fields, cancel_frame(2) * 1_500) + IS_WELL_CALL
        for start in range(0, len(data), 1_000):
            client.socket.sendall(data[start : start + 1_000])
        assert client.read_answer()[:2] == (1, 1)
        assert client.read_answer()[:2] == (1, 0)  # the health check has the number 1 as well


def test_body_is_forwarded_unchanged_at_every_size_around_a_block():
    sizes = [0, 1, 3_900, 4_000, 4_096, 4_200, 8_200, 48_000]
    with RunningDirector() as running:
        client = running.connect_client()
        for size in sizes:
            client.send("order", body=b"y" * size, nonce=f"{size}")
        results = [client.read_answer()[1] for _ in sizes]
        assert results == [0] * len(sizes)
        assert sorted(len(command[3]) for command in running.commands()) == sizes


LAST_ACTIONS = {
    "answer": lambda client: None,
    "cancel": lambda client: client.socket.sendall(cancel_frame(1)),
    "close": lambda client: client.close(),
    "half a call": lambda client: client.socket.sendall(serve_frame(9, {}, BODY)[:-1]),
    "framing error": lambda client: client.socket.sendall(b"\xff" * 8),
    "same number": lambda client: client.socket.sendall(serve_frame(1, {"route": "x"}, BODY)),
}


@pytest.mark.parametrize("action", LAST_ACTIONS)
def test_memory_is_released_however_the_request_ends(action):
    # Guards against an account that grows: the director would reject every large request.
    may_answer = threading.Event()
    with RunningDirector(lambda _: may_answer.wait(10.0) and HIT_ANSWER) as running:
        memory = running.director.listener.request_memory
        client = running.connect_client()
        client.send("order", body=BODY)
        assert wait_for(running.commands)
        assert len(BODY) < memory.used < 2 * len(BODY)
        LAST_ACTIONS[action](client)
        may_answer.set()
        if action == "answer":
            client.read_answer()
            assert wait_for(lambda: memory.used == 0)
        client.close()
        assert wait_for(lambda: not running.director.listener.clients)
        assert memory.used == 0


def test_idle_connection_keeps_no_large_block():
    # Guards against the memory of the last large request on each idle connection.
    with RunningDirector() as running:
        client = running.connect_client()
        client.send("order", body=BODY)
        client.read_answer()
        (connection,) = running.director.listener.clients
        assert wait_for(lambda: len(connection.decoder.buffer.view) < len(BODY))
