"""What is written to which upstream connection, and what is known of it when it is lost."""

import socket
import time

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
    # Guards against a stalled link that sends an attempt seconds later, after a drain or a purge.
    with RunningDirector() as running:
        upstream, place = (
            running.director.upstream,
            next(iter(running.director.coordinator.addresses.values())),
        )
        attempt = Attempt(None, 0, Endpoint(1), None, running.director.clock(), 6000.0)
        reported = []
        upstream._report = lambda *word: reported.append(word)
        ours, theirs = socket.socketpair()
        with upstream.lock:
            link = UpstreamConnection(place, 0.0, upstream.lock)
            link.write_queue.connection = ours
            upstream.connections[place] = [link]
            link.write_queue.write(None, [bytes(4_000_000)])
        upstream._send(place, "9b", attempt, [b"never"])
        assert wait_for(lambda: reported, 2.0) and reported == [(attempt, Outcome.CONNECT_FAILED)]
        theirs.close()
        ours.close()


def test_reset_proves_that_nothing_was_executed_only_where_nothing_was_written():
    with RunningDirector() as running:
        upstream, place = (
            running.director.upstream,
            next(iter(running.director.coordinator.addresses.values())),
        )
        attempts = [
            Attempt(None, number, Endpoint(1), None, running.director.clock(), 6000.0)
            for number in range(2)
        ]
        reported = []
        upstream._report = lambda *word: reported.append(word)
        ours, theirs = socket.socketpair()
        link = UpstreamConnection(place, 0.0, upstream.lock)
        link.write_queue.connection = ours
        link.in_flight = {"9b": attempts[0], "9c": attempts[1]}
        with upstream.lock:
            link.write_queue.write("9b", [bytes(4_000_000)])
            link.write_queue.write("9c", [b"never"])
        theirs.close()
        upstream._close(link, ours, Outcome.RESET, "")
        assert reported == [(attempts[0], Outcome.RESET), (attempts[1], Outcome.CONNECT_FAILED)]


def test_more_attempts_than_a_connection_carries_open_further_ones():
    with RunningDirector(lambda fields: None, allowed={"mayDuplicate": False}) as running:
        caller = running.connect_client()
        for _ in range(5):
            caller.send("order", patience="900")
        assert wait_for(lambda: len(running.commands()) >= 5)
        origin = running.endpoints[-1]
        assert len(origin.connections) == 3  # two attempts each


def test_idle_connections_make_room_for_attempts_to_other_endpoints():
    # Guards against a director at its bound of links whose links are all held for what may come,
    # elsewhere.
    with RunningDirector(HIT_ANSWER) as running:
        running.director.upstream.max_connections = 3
        caller = running.connect_client()
        for number in range(40):
            caller.send(entity=f"{number:016x}")
            caller.read_answer()
        assert running.director.upstream.connection_count >= 2  # to caches
        for _ in range(4):
            caller.send("order")
            if caller.read_answer()[1] == 0:
                break
            time.sleep(0.05)  # the link that makes room is on its way out
        else:
            raise AssertionError("no link was to be had")


def test_two_attempts_of_one_request_at_one_endpoint_are_told_apart():
    # Guards against the late answer to an attempt given up being taken for that of the next one
    # under its id.
    with RunningDirector(lambda fields: None) as running:
        upstream, place = (
            running.director.upstream,
            next(iter(running.director.coordinator.addresses.values())),
        )
        attempts = [Attempt(None, number, Endpoint(1), None, 0.0, 1000.0) for number in range(3)]
        reported = []
        upstream._report = lambda attempt, *rest: reported.append(attempt)
        for attempt in attempts[:2]:
            upstream._send(place, "9b", attempt, [b"*2\r\n$4\r\nKILL\r\n$2\r\nno\r\n"])
        connections = [upstream.connection_by_attempt[attempt][0] for attempt in attempts[:2]]
        first = connections[0]
        assert len(set(connections)) == 2
        assert wait_for(
            lambda: not any(link.write_queue.is_unwritten("9b") for link in connections)
        )
        upstream.cancel(attempts[0])
        upstream._send(place, "9b", attempts[2], [b"*2\r\n$4\r\nKILL\r\n$2\r\nno\r\n"])
        assert upstream.connection_by_attempt[attempts[2]][0] is not first


def test_idle_connections_are_closed_from_our_side():
    with RunningDirector(allowed={"connIdle": 100.0}) as running:
        caller = running.connect_client()
        caller.send()
        assert (
            caller.read_answer()[:2] == (1, 0) and running.director.upstream.connection_count == 1
        )
        assert wait_for(lambda: running.director.upstream.connection_count == 0)
        caller.send()
        assert caller.read_answer()[:2] == (2, 0) and "upstream down" not in running.log.event_names
