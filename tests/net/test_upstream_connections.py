"""Connections to endpoints that fail, are silent or send unexpected answers."""

import errno
import socket
import threading
import time

import pytest
from helpers import (
    HIT_ANSWER,
    RunningDirector,
    StandInEndpoint,
    answer_nothing,
    wait_for,
)

from mulleinrelay.net import resp, upstream_connection
from mulleinrelay.net import upstream_connections as upstream_module
from mulleinrelay.net.upstream_connection import UpstreamConnection
from mulleinrelay.net.write_queue import WriteQueue
from mulleinrelay.policy import connection_reuse
from mulleinrelay.policy.model import Attempt, Endpoint

pytestmark = pytest.mark.usefixtures("short_drains")


@pytest.mark.usefixtures("long_timeouts")
def test_late_second_answer_is_not_taken_for_the_next_attempt():
    # An endpoint answers the first attempt twice. The second answer, a miss, arrives while the next
    # attempt of the request is in flight under the same id. If it were taken for the answer to this
    # attempt, the request would be attempted a third time.
    send_second = threading.Event()

    class TwoAnswersEndpoint(StandInEndpoint):
        def answer(self, connection, request_id, fields):
            if len(running.commands()) == 1:
                connection.sendall(resp.command(request_id, b"LACK", b"why=UP_MISS"))
                return threading.Thread(
                    target=self.send_second_answer, args=(connection, request_id), daemon=True
                ).start()
            send_second.set()
            time.sleep(0.1)
            connection.sendall(resp.command(request_id, b"DONE", b"why=MISS", b"bytes"))
            return None

        def send_second_answer(self, connection, request_id):
            send_second.wait(5.0)
            connection.sendall(resp.command(request_id, b"LACK", b"why=UP_MISS"))

    with RunningDirector() as running:
        for endpoint in running.endpoints:
            endpoint.__class__ = TwoAnswersEndpoint
        client = running.connect_client()
        client.send()
        assert client.read_answer() == (1, 0, {}, b"bytes")
        assert len(running.commands()) == 2


@pytest.mark.usefixtures("long_timeouts")
@pytest.mark.parametrize(("allows_cancel", "cancel_count"), [(True, 1), (False, 0)])
def test_cancellation_is_sent_only_if_the_settings_allow_it(allows_cancel, cancel_count):
    with RunningDirector(None, allowed={"cancel": allows_cancel, "mayDuplicate": False}) as running:
        client, upstream = running.connect_client(), running.director.upstream
        client.send("pay")
        assert wait_for(running.commands)
        (attempt,) = upstream.connection_by_attempt
        upstream.cancel(attempt)
        # The health check follows a cancellation on the same connection. Once it is received, a
        # cancellation has been received, too.
        upstream.check_health(attempt.endpoint, attempt.addresses[0][1])
        assert (
            wait_for(lambda: running.commands("METER"))
            and len(running.commands("KILL")) == cancel_count
        )
        for request in running.director.coordinator.finish_pending_requests():
            running.director.request_handler.run_request(request)
        assert client.read_answer()[:2] == (1, 2)


@pytest.mark.usefixtures("long_timeouts")
@pytest.mark.parametrize("allows_hedging", [True, False])
def test_cancellation_that_cannot_be_written_closes_connection_without_hedging(
    allows_hedging,
):
    # Without hedging, only one attempt may be in flight, so the next attempt must not overtake the
    # cancellation of the first one.
    with RunningDirector(None, allowed={"mayDuplicate": allows_hedging}) as running:
        upstream, address = (
            running.director.upstream,
            next(iter(running.director.coordinator.addresses.values())),
        )
        attempt = Attempt(None, 0, Endpoint(1), None, running.director.clock(), 6000.0)
        local, remote = socket.socketpair()
        connection = UpstreamConnection(address, running.director.clock(), upstream.lock)
        connection.write_queue.connection = local
        upstream.connections[address] = [connection]
        # The attempt is partly written, as the remote side does not read.
        upstream._send(address, "9b", attempt, [bytes(4_000_000)])
        assert upstream.connection_by_attempt[attempt][0] is connection
        upstream.cancel(attempt)
        assert connection.write_queue.is_shut_down != allows_hedging
        remote.close()
        local.close()


@pytest.mark.usefixtures("long_timeouts")
def test_lack_of_descriptors_is_not_blamed_on_endpoints(monkeypatch):
    # If idle clients use up the director's file descriptors, no upstream connection can be opened.
    # Endpoints must not be ejected for this.
    class SocketsExhausted:
        def __getattr__(self, name):
            return getattr(socket, name)

        def socket(self, *_):
            raise OSError(errno.EMFILE, "too many open files")

    with RunningDirector() as running:
        with monkeypatch.context() as context:
            context.setattr(upstream_module, "socket", SocketsExhausted())
            client = running.connect_client()
            client.send()
            assert client.read_answer()[:2] == (1, 1)  # rejected at once, and safe to retry
        endpoints = running.director.coordinator.router.endpoints.known
        assert endpoints and not any(
            endpoint.is_ejected or endpoint.outlier_detector.failures for endpoint in endpoints
        )
        client.send()
        assert client.read_answer()[:2] == (2, 0)


@pytest.mark.usefixtures("long_timeouts")
def test_connection_closed_by_its_endpoint_is_not_written_to(monkeypatch):
    # If an attempt were written to a connection that the endpoint has already closed, it would be
    # unknown whether it was executed.
    decoders, resume_reading, writable_view = [], threading.Event(), resp.ArrayDecoder.writable_view

    # Blocks the second read of the first connection, so that the director does not notice that the
    # endpoint closes it.
    def delay_first_connection(decoder):
        if threading.current_thread().name == "upstream":
            decoders.append(decoder)
            if decoder is decoders[0] and len(decoders) > 1:
                resume_reading.wait(10.0)
        return writable_view(decoder)

    monkeypatch.setattr(resp.ArrayDecoder, "writable_view", delay_first_connection)
    with RunningDirector() as running:
        client, origin_server = running.connect_client(), running.endpoints[-1]
        client.send("pay")
        assert client.read_answer()[:2] == (1, 0)
        (connections,) = running.director.upstream.connections.values()
        connection = connections[0]
        origin_server.connections[0].shutdown(socket.SHUT_RDWR)
        assert wait_for(connection.is_closed_by_peer)
        client.send("pay")
        assert client.read_answer()[:2] == (2, 0) and len(origin_server.connections) == 2
        resume_reading.set()


@pytest.mark.usefixtures("long_timeouts")
def test_answer_before_unreadable_bytes_is_accepted():
    # An attempt must not fail after its answer was received. Invalid bytes after the answer only
    # close the connection.
    class InvalidBytesEndpoint(StandInEndpoint):
        def answer(self, connection, request_id, fields):
            connection.sendall(resp.command(request_id, *HIT_ANSWER) + b"+what\r\n")

    with RunningDirector() as running:
        for endpoint in running.endpoints:
            endpoint.__class__ = InvalidBytesEndpoint
        client = running.connect_client()
        client.send("pay")
        assert client.read_answer() == (1, 0, {}, b"bytes")


def spoilt_answer(request_id, replaced):
    """Return an answer of which the length lines of some items are replaced."""
    items = {"request_id": request_id, "word": b"DONE", "fields": b"why=HIT", "body": b"bytes"}
    return b"*4\r\n" + b"".join(
        replaced.get(name, b"$%d" % len(item)) + b"\r\n%s\r\n" % item
        for name, item in items.items()
    )


@pytest.mark.usefixtures("long_timeouts")
@pytest.mark.parametrize("request_class", ["pages", "pay"])
@pytest.mark.parametrize(
    "replaced",
    [
        {"body": b"$-1"},
        {"body": b"$-0"},
        {"body": b"$0"},
        {"body": b"$3"},
        {"body": b"$+5"},
        {"fields": b"$-1"},
        {"word": b"$-1"},
        {"request_id": b"$-1"},
    ],
)
def test_answer_with_a_length_that_does_not_fit_is_never_passed_on(request_class, replaced):
    # Guards against an object of 0 bytes that no endpoint made: a null string (length -1) was read
    # as an empty one, and the answer was passed on before the bytes after it were found unreadable.
    class SpoilingEndpoint(StandInEndpoint):
        def answer(self, connection, request_id, fields):
            if len(running.commands()) == 1:
                connection.sendall(spoilt_answer(request_id, replaced))
            else:
                connection.sendall(resp.command(request_id, *HIT_ANSWER))

    with RunningDirector() as running:
        for endpoint in running.endpoints:
            endpoint.__class__ = SpoilingEndpoint
        client = running.connect_client()
        client.send(request_class)
        answer = client.read_answer()
        # The spoilt answer was an execution. Only a request of the safe class is repeated.
        is_safe = request_class == "pages"
        assert answer == ((1, 0, {}, b"bytes") if is_safe else (1, 2, {}, b""))
        assert len(running.commands()) == (2 if is_safe else 1)


@pytest.mark.usefixtures("long_timeouts")
def test_large_answers_are_received_within_their_memory(monkeypatch):
    # Guards against a director over its memory limit: each of its upstream connections received an
    # answer of the largest size at the same time, and kept the buffer afterwards.
    decoders = []
    writable_view = resp.ArrayDecoder.writable_view

    def record_decoder(decoder):
        decoders.append(decoder)
        return writable_view(decoder)

    monkeypatch.setattr(resp.ArrayDecoder, "writable_view", record_decoder)
    body = bytes(240_000)
    with RunningDirector((b"DONE", b"why=HIT", body)) as running:
        memory = running.director.upstream.answer_memory
        memory.capacity = 500_000  # for two answers
        peaks, acquire = [], memory.acquire

        def record_use(size, is_closed):
            is_acquired = acquire(size, is_closed)
            peaks.append(memory.used)
            return is_acquired

        monkeypatch.setattr(memory, "acquire", record_use)
        clients = [running.connect_client() for _ in range(12)]
        for client in clients:
            client.send()
        assert [client.read_answer() for client in clients] == [(1, 0, {}, body)] * 12
        assert peaks and max(peaks) <= memory.capacity
        assert wait_for(lambda: not memory.used)
        size = running.director.upstream.receive_block_bytes
        buffers = {decoder.buffer for decoder in decoders if decoder.buffer.size == size}
        assert buffers and wait_for(lambda: all(len(each.view) == size for each in buffers))


@pytest.mark.usefixtures("long_timeouts")
def test_connection_that_waits_for_memory_is_not_taken_for_silent():
    # Guards against the loss of attempts on connections that the director itself does not read.
    with RunningDirector((b"DONE", b"why=HIT", bytes(240_000))) as running:
        upstream = running.director.upstream
        assert upstream.answer_memory.acquire(upstream.answer_memory.capacity, lambda: False)
        client = running.connect_client()
        client.send("pay")
        assert wait_for(lambda: any(each.is_read_delayed for each in upstream.usable_connections()))
        now = upstream.clock() + 10_000.0
        (delayed,) = (each for each in upstream.usable_connections() if each.is_read_delayed)
        delayed.pinged_at = 1.0
        assert not delayed.is_ping_overdue(now) and not delayed.needs_ping(now)
        delayed.pinged_at = 0.0
        assert not delayed.needs_ping(now)
        upstream.answer_memory.release(upstream.answer_memory.capacity)
        assert client.read_answer()[:2] == (1, 0)


@pytest.mark.usefixtures("long_timeouts")
def test_refused_connection_proves_that_nothing_was_executed(reserve_port):
    running = RunningDirector()
    (event,) = running.director.config.known_events
    for row in event["topology"]["servers"]:
        row["addr"] = f"127.0.0.1:{reserve_port()}"  # nothing listens there
    with running:
        client = running.connect_client()
        for number in range(1, 9):
            client.send("pay")
            assert client.read_answer()[:2] == (number, 1)
        failed_names = [fields["node"] for fields in running.log.fields if "node" in fields]
        # Each endpoint is logged only once until a connection to it is open again.
        assert len(failed_names) == len(set(failed_names)) > 0


@pytest.mark.usefixtures("long_timeouts")
def test_silent_endpoint_delays_only_its_own_requests():
    # Ten requests get no answer. If each of them delayed the next request by 0.3 s, or the last
    # request waited for the end of any, the last one would not be answered first.
    with RunningDirector(
        lambda fields: None if fields["name"].endswith("ab") else HIT_ANSWER
    ) as running:
        client = running.connect_client()
        started_at = time.monotonic()
        for number in range(10):
            client.send(entity=f"{number:014x}ab")
        client.send(entity="00000000000000cd")
        assert client.read_answer()[:2] == (11, 0)
        assert wait_for(lambda: len(running.commands()) == 11) and not running.commands("KILL")
        # The client waits for 3 s, and the request class allows 6 s. When the director's clock is
        # set forward by 3 s, the requests are rejected. Otherwise they would be 3 s later.
        running.director.clock_offset += 3000.0
        assert {client.read_answer()[:2] for _ in range(10)} == {(n, 1) for n in range(1, 11)}
        assert time.monotonic() - started_at < 2.9
        assert wait_for(lambda: len(running.commands("KILL")) == 10)
        assert len(running.commands()) == 11


def test_endpoint_that_does_not_read_delays_only_its_own_requests(monkeypatch):
    # No thread may block in a write while others wait for it or for a lock that it holds. Such a
    # write would not end, as no endpoint reads or closes before all requests are answered. With
    # buffers this small, no request can be written completely.
    all_answered, attach = threading.Event(), WriteQueue.attach

    def attach_with_small_buffer(write_queue, connection):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        return attach(write_queue, connection)

    monkeypatch.setattr(WriteQueue, "attach", attach_with_small_buffer)
    monkeypatch.setattr(
        StandInEndpoint, "serve_connection", lambda endpoint, connection: all_answered.wait(60.0)
    )
    running = RunningDirector()
    for endpoint in running.endpoints:
        endpoint.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    with running:
        client = running.connect_client()
        for _ in range(30):
            client.send("order", body=bytes(48_000), patience="700")
        assert {client.read_answer()[1] for _ in range(30)} == {1}
        all_answered.set()


@pytest.mark.usefixtures("long_timeouts")
@pytest.mark.parametrize("plan", ["cut", answer_nothing])
def test_broken_connection_is_closed_and_its_attempts_are_retried_elsewhere(plan, monkeypatch):
    # Requests must not wait until their deadline on a connection that stays open after an
    # incomplete answer or does not answer at all. With this short silence before a ping, the ping
    # detects the fault before the router's timer does.
    monkeypatch.setattr(connection_reuse, "SILENCE_BEFORE_PING", 100.0)
    with RunningDirector() as running:
        client, caches = running.connect_client(), running.endpoints[:3]
        client.send(entity="00000000000000cd")
        client.read_answer()
        first_cache = next(cache for cache in caches if cache.commands)
        first_cache.plan = plan
        started_at = time.monotonic()
        client.send(entity="00000000000000cd")
        assert client.read_answer()[:2] == (2, 0) and time.monotonic() - started_at < 2.0
        assert len(running.commands()) == 3
        assert "upstream down" in running.log.event_names


def test_connection_that_answers_pings_keeps_its_slow_attempts(monkeypatch):
    # The first ping is sent after 0.1 s. If its answer were not accepted, the connection would be
    # closed before the request ends.
    monkeypatch.setattr(connection_reuse, "SILENCE_BEFORE_PING", 200.0)
    monkeypatch.setattr(upstream_connection, "PING_TIMEOUT", 1000.0)
    with RunningDirector(None) as running:
        client = running.connect_client()
        client.send("pay", patience="1500")
        assert wait_for(lambda: running.commands("ECHO"))
        assert client.read_answer()[:2] == (1, 2)
        assert len(running.commands()) == 1 and "upstream down" not in running.log.event_names
