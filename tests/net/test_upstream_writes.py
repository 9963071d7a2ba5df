"""Writes to upstream connections, and the outcomes of attempts when a connection is lost."""

import socket

import pytest
from helpers import (
    HIT_ANSWER,
    RunningDirector,
    wait_for,
)

from mulleinrelay.net.upstream_connection import UpstreamConnection
from mulleinrelay.policy.model import Attempt, Endpoint, Outcome

pytestmark = pytest.mark.usefixtures("short_drains")


def test_attempt_that_could_not_be_written_is_withdrawn_in_time():
    # An attempt that is queued on a stalled connection must not be sent seconds later, possibly
    # after a drain or a purge.
    with RunningDirector() as running:
        upstream, address = (
            running.director.upstream,
            next(iter(running.director.coordinator.addresses.values())),
        )
        attempt = Attempt(None, 0, Endpoint(1), None, running.director.clock(), 6000.0)
        reported = []
        upstream._report = lambda *outcome: reported.append(outcome)
        local, remote = socket.socketpair()
        with upstream.lock:
            connection = UpstreamConnection(address, 0.0, upstream.lock)
            connection.write_queue.connection = local
            upstream.connections[address] = [connection]
            connection.write_queue.write(None, [bytes(4_000_000)])
        upstream._send(address, "9b", attempt, [b"never"])
        assert wait_for(lambda: reported, 2.0) and reported == [(attempt, Outcome.CONNECT_FAILED)]
        remote.close()
        local.close()


def test_reset_proves_that_nothing_was_executed_only_if_nothing_was_written():
    with RunningDirector() as running:
        upstream, address = (
            running.director.upstream,
            next(iter(running.director.coordinator.addresses.values())),
        )
        attempts = [
            Attempt(None, number, Endpoint(1), None, running.director.clock(), 6000.0)
            for number in range(2)
        ]
        reported = []
        upstream._report = lambda *outcome: reported.append(outcome)
        local, remote = socket.socketpair()
        connection = UpstreamConnection(address, 0.0, upstream.lock)
        connection.write_queue.connection = local
        connection.in_flight = {"9b": attempts[0], "9c": attempts[1]}
        with upstream.lock:
            connection.write_queue.write("9b", [bytes(4_000_000)])
            connection.write_queue.write("9c", [b"never"])
        remote.close()
        upstream._close(connection, local, Outcome.RESET, "")
        assert reported == [(attempts[0], Outcome.RESET), (attempts[1], Outcome.CONNECT_FAILED)]


@pytest.mark.usefixtures("long_timeouts")
def test_attempts_over_the_limit_of_a_connection_open_another_one():
    with RunningDirector(lambda fields: None, allowed={"mayDuplicate": False}) as running:
        client = running.connect_client()
        for _ in range(5):
            client.send("order", patience="3000")
        assert wait_for(lambda: len(running.commands()) >= 5)
        origin_server = running.endpoints[-1]
        assert len(origin_server.connections) == 3  # with up to two attempts each


@pytest.mark.usefixtures("long_timeouts")
def test_idle_connections_are_evicted_for_attempts_to_other_endpoints():
    # When the director has as many upstream connections as it may, idle ones must not prevent new
    # connections to other endpoints.
    with RunningDirector(HIT_ANSWER) as running:
        running.director.upstream.max_connections = 3
        client = running.connect_client()
        for number in range(40):
            client.send(entity=f"{number:016x}")
            client.read_answer()
        assert running.director.upstream.connection_count >= 2  # to caches

        def is_order_served():
            client.send("order")
            return client.read_answer()[1] == 0

        # The first requests may not be served, as the evicted connection may still be open.
        assert wait_for(is_order_served, 10.0)


@pytest.mark.usefixtures("long_timeouts")
def test_two_attempts_of_one_request_at_one_endpoint_are_told_apart():
    # The late answer to a cancelled attempt must not be taken for the answer to the next attempt
    # with the same id.
    with RunningDirector(lambda fields: None) as running:
        upstream, address = (
            running.director.upstream,
            next(iter(running.director.coordinator.addresses.values())),
        )
        attempts = [
            Attempt(None, number, Endpoint(1), None, running.director.clock(), 6000.0)
            for number in range(3)
        ]
        reported = []
        upstream._report = lambda attempt, *rest: reported.append(attempt)
        for attempt in attempts[:2]:
            upstream._send(address, "9b", attempt, [b"*2\r\n$4\r\nKILL\r\n$2\r\nno\r\n"])
        connections = [upstream.connection_by_attempt[attempt][0] for attempt in attempts[:2]]
        first_connection = connections[0]
        assert len(set(connections)) == 2

        def are_written():
            with upstream.lock:
                return not any(
                    connection.write_queue.is_unwritten("9b") for connection in connections
                )

        assert wait_for(are_written, 10.0)
        upstream.cancel(attempts[0])
        upstream._send(address, "9b", attempts[2], [b"*2\r\n$4\r\nKILL\r\n$2\r\nno\r\n"])
        assert upstream.connection_by_attempt[attempts[2]][0] is not first_connection


@pytest.mark.usefixtures("long_timeouts")
def test_idle_connections_are_closed_by_the_director():
    connection_counts = []

    def answer_and_count(fields):
        connection_counts.append(running.director.upstream.connection_count)
        return HIT_ANSWER

    with RunningDirector(answer_and_count, allowed={"connIdle": 100.0}) as running:
        client = running.connect_client()
        client.send()
        assert client.read_answer()[:2] == (1, 0) and connection_counts == [1]
        assert wait_for(lambda: running.director.upstream.connection_count == 0)
        client.send()
        assert client.read_answer()[:2] == (2, 0) and "upstream down" not in running.log.event_names
