"""Two events that cross, on real sockets; each crossing is forced by a gate that the test holds."""

import errno
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import threading
import time
import tomllib
from dataclasses import replace
from pathlib import Path
from types import SimpleNamespace

import pytest
from helpers import (
    BAN,
    HIT,
    OK,
    ROOT,
    SPOTS,
    WELL,
    Running,
    StandBus,
    StandNode,
    call_frame,
    configuration,
    event,
    held_back,
    rows,
    serve_frame,
    wait_for,
)

from mulleinrelay import director as director_module
from mulleinrelay.coordinator import RequestCoordinator
from mulleinrelay.net import client_connection as client_module
from mulleinrelay.net import event_stream, resp
from mulleinrelay.net import upstream_connections as caches_module
from mulleinrelay.net import write_queue as outlet_module
from mulleinrelay.net.client_connection import ClientConnection
from mulleinrelay.net.client_listener import ClientListener
from mulleinrelay.net.request_handler import RequestHandler
from mulleinrelay.net.thrift import FrameDecoder
from mulleinrelay.net.upstream_connection import UpstreamConnection
from mulleinrelay.net.upstream_connections import UpstreamConnections
from mulleinrelay.net.write_queue import WriteQueue
from mulleinrelay.policy.model import Attempt, Endpoint, EndpointState

FULL = (b"WAIT", b"-", b"")


@pytest.fixture(autouse=True)
def short_drains(monkeypatch):
    monkeypatch.setattr(director_module, "NEW_CALLS_S", 0.0)


@pytest.fixture
def gate(monkeypatch):
    """Links come up only once it is set."""
    yield (up := held_back(monkeypatch, UpstreamConnections, "_run"))
    up.set()


def told(director, name, **changes):
    """The list says so of a node."""
    facade = director.service.coordinator
    facade.update_endpoints([replace(facade.endpoint_updates[name], **changes)], False)


def waiting(director):
    """The one attempt that waits for its link."""
    caches = director.service.upstream
    assert wait_for(lambda: len(caches.connection_by_attempt) == 1)
    return next(iter(caches.connection_by_attempt))


def forget(number):
    return call_frame("forget", 0, b"\x08\x00\x01" + number.to_bytes(4, "big") + b"\0", 4)


BETWEEN = {
    "its cache drains": lambda d, attempt: told(
        d, attempt.addresses[0][1].name, state=EndpointState.DRAINING
    ),
    "its cache is gone": lambda d, attempt: told(
        d, attempt.addresses[0][1].name, state=EndpointState.GONE
    ),
    "another machine is there": lambda d, attempt: told(
        d, attempt.addresses[0][1].name, started_at=5.0
    ),
    "its source drains": lambda d, attempt: told(
        d, attempt.addresses[1][1].name, state=EndpointState.DRAINING
    ),
    "its source is gone": lambda d, attempt: told(
        d, attempt.addresses[1][1].name, state=EndpointState.GONE
    ),
    "its object is purged": lambda d, attempt: d.service.coordinator.apply_purge(
        0xAB, 0, d.service.clock()
    ),
    "its group is purged": lambda d, attempt: d.service.coordinator.apply_purge(
        0, 17, d.service.clock()
    ),
}


CASES = [("pages", between) for between in BETWEEN] + [
    (name, between) for name in ("order", "pay") for between in BETWEEN if "source" not in between
]


@pytest.mark.parametrize("request_class, between", CASES)  # writes go straight to the only origin
def test_what_waited_for_its_link_goes_as_the_list_and_purges_are_by_then(
    request_class, between, gate
):
    # Guards against requests to nodes that were announced as leaving, and copies from before a
    # purge.
    with Running() as director:
        caller = director.caller()
        caller.send(request_class)
        attempt = waiting(director)
        BETWEEN[between](director, attempt)
        gate.set()
        what = caller.answer()[1]
        heard = director.heard()
        if request_class != "pages" and ("drains" in between or "is gone" in between):
            assert what == 1 and not heard  # it never ran, so a retry does no harm
            return
        assert what == 0 and len(heard) == 1
        assert ("within" in heard[0][2]) == ("purged" in between)
        if request_class == "pages" and "purged" not in between:
            named = [
                name for (name, _, _), node in zip(SPOTS, director.nodes, strict=True) if node.heard
            ]
            assert attempt.addresses["source" in between][1].name not in [
                *named,
                heard[0][2].get("miss"),
            ]


@pytest.mark.parametrize("how", ["forget", "close"])
@pytest.mark.parametrize("may_cancel", [True, False])
def test_nothing_is_sent_for_a_client_that_left_while_its_request_waited(how, may_cancel, gate):
    with Running(allowed={"cancel": may_cancel}) as director:
        caller, other = director.caller(), director.caller()
        number = caller.send()
        attempt = waiting(director)
        if how == "forget":
            caller.socket.sendall(forget(number))
        else:
            caller.close()
        assert wait_for(lambda: attempt.request.is_complete)
        gate.set()
        other.send(entity="00000000000000cd")
        assert other.answer()[:2] == (1, 0)
        assert wait_for(lambda: not director.service.upstream.connection_by_attempt)
        assert [fields["name"][-2:] for _, _, fields, _ in director.heard()] == ["cd"]


def test_a_message_behind_a_peer_that_does_not_read_is_asked_about_at_its_first_byte():
    # Guards against an attempt that leaves minutes late, when its node reads on, and one cut in the
    # middle.
    ours, theirs = socket.socketpair()
    ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    outlet, stale, dropped = WriteQueue(threading.Lock()), set(), []
    outlet.find_stale, outlet.on_withdrawn = (
        lambda owner: owner if owner in stale else None,
        dropped.append,
    )
    assert outlet.attach(ours)
    with outlet.lock:
        outlet.write("a", [b"a" * 500_000])
        outlet.write("b", [b"b" * 10, b"b" * 10])
        outlet.write("c", [b"c" * 10, b"c" * 10])
        stale.update("ab")  # the first has begun, so it goes on
    got = b""
    while len(got) < 500_020:
        got += theirs.recv(65_536)
    assert got == b"a" * 500_000 + b"c" * 20 and dropped == ["b"]
    assert (
        wait_for(lambda: not outlet.is_writing) and outlet.pending_bytes == 0 and not outlet.pending
    )
    ours.close()
    theirs.close()


@pytest.mark.parametrize("takes", [True, False])
def test_a_peer_that_takes_nothing_is_ended_and_one_that_takes_little_is_not(takes, monkeypatch):
    monkeypatch.setattr(outlet_module, "POLL_INTERVAL_MS", 20)
    ours, theirs = socket.socketpair()
    ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    outlet = WriteQueue(threading.Lock(), write_timeout_s=0.3)
    assert outlet.attach(ours)
    with outlet.lock:
        outlet.write(1, [bytes(2_000_000)])
    ends = time.monotonic() + 0.9
    while time.monotonic() < ends:
        if takes:
            theirs.recv(4096)
        time.sleep(0.02)
    assert outlet.is_shut_down != takes
    theirs.close()
    ours.close()


def test_a_second_answer_that_comes_late_is_not_taken_for_the_next_attempt():
    # Guards against an attempt that is thought to have missed while it runs, so that it is
    # repeated.
    second = threading.Event()

    class Twice(StandNode):
        def answer(self, connection, about, fields):
            if len(director.heard()) == 1:
                connection.sendall(resp.command(about, b"LACK", b"why=UP_MISS"))
                return threading.Thread(
                    target=self.later, args=(connection, about), daemon=True
                ).start()
            second.set()
            time.sleep(0.1)
            connection.sendall(resp.command(about, b"DONE", b"why=MISS", b"bytes"))

        def later(self, connection, about):
            second.wait(5.0)
            connection.sendall(resp.command(about, b"LACK", b"why=UP_MISS"))

    with Running() as director:
        for node in director.nodes:
            node.__class__ = Twice
        caller = director.caller()
        caller.send()
        assert caller.answer() == (1, 0, {}, b"bytes")
        assert len(director.heard()) == 2


@pytest.mark.parametrize("cancel, told", [(True, 1), (False, 0)])
def test_a_node_is_told_of_what_is_given_up_only_where_the_settings_allow_it(cancel, told):
    with Running(None, allowed={"cancel": cancel, "mayDuplicate": False}) as director:
        caller, caches = director.caller(), director.service.upstream
        caller.send("pay", patience="300")
        assert wait_for(director.heard)
        (attempt,) = caches.connection_by_attempt
        caches.cancel(attempt)
        caches.check_health(
            attempt.endpoint, attempt.addresses[0][1]
        )  # behind it on the same connection
        assert wait_for(lambda: director.heard("METER")) and len(director.heard("KILL")) == told
        assert caller.answer()[:2] == (1, 2)


@pytest.mark.parametrize("two_attempts", [True, False])
def test_where_one_attempt_may_be_out_a_kill_that_cannot_be_written_ends_the_connection(
    two_attempts,
):
    # Guards against the next attempt that overtakes the word that the first one is given up.
    with Running(None, allowed={"mayDuplicate": two_attempts}) as director:
        caches, place = (
            director.service.upstream,
            next(iter(director.service.coordinator.addresses.values())),
        )
        attempt = Attempt(None, 0, Endpoint(1), None, director.service.clock(), 6000.0)
        ours, theirs = socket.socketpair()
        link = UpstreamConnection(place, director.service.clock(), caches.lock)
        link.write_queue.connection = ours
        caches.connections[place] = [link]
        caches._send(place, "9b", attempt, [bytes(4_000_000)])  # begun, and the node reads no more
        assert caches.connection_by_attempt[attempt][0] is link
        caches.cancel(attempt)
        assert link.write_queue.is_shut_down != two_attempts
        theirs.close()
        ours.close()


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.GONE])
def test_no_echo_begins_at_a_node_that_was_announced_as_leaving(state, gate):
    # Guards against questions of any kind to nodes that leave: what waited for its link, and what a
    # quiet link would be asked.
    with Running(None) as director:
        caches, facade = director.service.upstream, director.service.coordinator
        nodes = list(facade.router.endpoints.caches)
        for node in nodes:
            caches.check_health(node, facade.addresses[node])
        leaves = facade.addresses[nodes[0]]
        told(director, leaves.name, state=state)
        gate.set()
        assert wait_for(lambda: len(director.heard("METER")) == 2)
        assert wait_for(
            lambda: not any(link.in_flight for link in caches.connections.get(leaves, ()))
        )
        caches.check_health(nodes[0], leaves)
        time.sleep(0.05)
        assert len(director.heard("METER")) == 2


@pytest.mark.parametrize("state", [EndpointState.READY, EndpointState.DRAINING, EndpointState.GONE])
def test_a_quiet_link_is_asked_for_an_echo_only_where_its_node_stays(state):
    with Running(None) as director:
        caller, caches = director.caller(), director.service.upstream
        caller.send(patience="6000")
        assert wait_for(director.heard)
        attempt = waiting(director)
        told(director, attempt.addresses[0][1].name, state=state)
        link = caches.connection_by_attempt[attempt][0]
        link.last_received_at, attempt.sent_at = 0.0, 1.0
        caches.ping_quiet_connections()
        assert bool(wait_for(lambda: director.heard("ECHO"), 0.1)) is (state == EndpointState.READY)


def test_a_director_short_of_descriptors_does_not_blame_nodes(monkeypatch):
    # Guards against all nodes being shunned while idle clients hold what there is.
    class Short:
        def __getattr__(self, name):
            return getattr(socket, name)

        def socket(self, *_):
            raise OSError(errno.EMFILE, "too many open files")

    with Running() as director:
        with monkeypatch.context() as short:
            short.setattr(caches_module, "socket", Short())
            caller = director.caller()
            caller.send()
            assert caller.answer()[:2] == (1, 1)  # at once, and harmless to try again
        members = director.service.coordinator.router.endpoints.known
        assert members and not any(
            member.is_ejected or member.outlier_detector.failures for member in members
        )
        caller.send()
        assert caller.answer()[:2] == (2, 0)


def test_accepts_and_the_stream_go_on_after_a_time_without_descriptors(monkeypatch):
    bus_at, tries = StandBus([OK, None], [OK, event(2, BAN), None]), []

    def short(*_, **__):
        tries.append(1)
        raise OSError(errno.EMFILE, "too many open files")

    with Running(bus=bus_at) as director:
        front, stream, caller = (
            director.service.listener,
            director.service.event_stream,
            director.caller(),
        )
        listener, front.listener = front.listener, SimpleNamespace(accept=short)
        with monkeypatch.context() as held:
            held.setattr(
                event_stream,
                "socket",
                SimpleNamespace(create_connection=short, SHUT_RDWR=socket.SHUT_RDWR),
            )
            caller.send()  # it was accepted before, and is served all the while
            assert caller.answer()[:2] == (1, 0)
            stream.reconnect_to(stream.address)
            assert wait_for(lambda: len(tries) >= 4)
        front.listener = listener
        other = director.caller()
        other.send(entity="00000000000000cd")
        assert other.answer()[:2] == (1, 0) and wait_for(lambda: stream.last_event_number == 2)


def test_a_connection_that_its_node_has_closed_is_not_written_to(monkeypatch):
    # Guards against an effect of which nobody can say whether it happened, for a close that had
    # come before.
    rooms, reads, room = [], threading.Event(), resp.ArrayDecoder.writable_view

    def late(arrays):  # the first connection is read once, and its close is not
        if threading.current_thread().name == "upstream":
            rooms.append(arrays)
            if arrays is rooms[0] and len(rooms) > 1:
                reads.wait(10.0)
        return room(arrays)

    monkeypatch.setattr(resp.ArrayDecoder, "writable_view", late)
    with Running() as director:
        caller, origin = director.caller(), director.nodes[-1]
        caller.send("pay")
        assert caller.answer()[:2] == (1, 0)
        (links,) = director.service.upstream.connections.values()
        link = links[0]
        origin.connections[0].shutdown(socket.SHUT_RDWR)
        assert wait_for(link.is_closed_by_peer)
        caller.send("pay")
        assert caller.answer()[:2] == (2, 0) and len(origin.connections) == 2
        reads.set()


def test_answers_before_bytes_that_cannot_be_read_count():
    # Guards against an effect that is called failed though its answer has come: the bytes behind
    # it, of another answer that was spoilt, end the connection.
    class Spoilt(StandNode):
        def answer(self, connection, about, fields):
            connection.sendall(resp.command(about, *HIT) + b"+what\r\n")

    with Running() as director:
        for node in director.nodes:
            node.__class__ = Spoilt
        caller = director.caller()
        caller.send("pay")
        assert caller.answer() == (1, 0, {}, b"bytes")


@pytest.mark.parametrize(
    "got, entity, current",
    [("aa", "aa", True), ("aa", "ab", False), (None, "aa", False), (None, "", False)],
)
def test_a_clients_copy_is_called_current_only_where_a_node_has_named_it(got, entity, current):
    with Running((b"KEEP", b"why=HIT,entity=%s,issued=1" % entity.encode(), b"")) as director:
        caller = director.caller()
        caller.send(got=got)
        assert (caller.answer()[2].get("ok304") == "1") is current


# Clients


@pytest.fixture
def reading(monkeypatch):
    """Connections of clients are read only once it is set."""
    yield (begin := held_back(monkeypatch, ClientListener, "_serve_connection"))
    begin.set()


@pytest.mark.parametrize("calls", [20, 300])  # all that came can be read ahead, or not
def test_none_is_begun_for_a_client_that_sent_many_and_left(calls, reading):
    # Guards against attempts that begin long after the client that they are for has closed its
    # connection.
    with Running() as director:
        leaver, stayer = director.caller(), director.caller()
        for number in range(calls):
            leaver.send("order", entity=f"{number:016x}")
        leaver.close()
        stayer.send(entity="00000000000000cd")
        reading.set()
        assert stayer.answer()[:2] == (1, 0)
        assert wait_for(lambda: len(director.service.listener.clients) == 1)
        assert [fields["name"][-2:] for _, _, fields, _ in director.heard()] == ["cd"]


LEAVES = {
    "closes": lambda caller: caller.close(),
    "cancels": lambda caller: caller.socket.sendall(forget(1)),
    "cancels behind a call": lambda caller: caller.socket.sendall(WELL + forget(1)),
    "closes behind a call": lambda caller: (caller.socket.sendall(WELL), caller.close()),
    "resets": lambda caller: (
        caller.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)),
        caller.close(),
    ),
}


@pytest.mark.parametrize("how", [*LEAVES, "calls", "cancels another"])
def test_no_further_attempt_begins_for_a_client_whose_leaving_is_not_read_yet(how, monkeypatch):
    # Guards against a director that is late itself: its links' threads run before that of the
    # client.
    left = threading.Event()
    read = held_back(monkeypatch, ClientConnection, "read_calls", lambda client: client.has_called)
    stays = {
        "calls": lambda caller: caller.socket.sendall(WELL),
        "cancels another": lambda caller: caller.socket.sendall(forget(2)),
    }

    with Running(lambda fields: left.wait(5.0) and FULL) as director:
        caller = director.caller()
        caller.send()
        assert wait_for(director.heard)
        (LEAVES | stays)[how](caller)
        (client,) = director.service.listener.clients
        assert wait_for(lambda: client._peek() is not None)
        left.set()
        assert wait_for(lambda: not director.service.coordinator.pending_count())
        assert (len(director.heard()) == 1) is (how in LEAVES)
        read.set()


@pytest.mark.parametrize("how", ["forget", "close"])
def test_nothing_is_sent_for_a_client_that_left_while_its_request_waited_for_its_turn(how):
    # Its request has been read; then its thread waits, for the module here, or for the core.
    with Running() as director:
        caller, other = director.caller(), director.caller()
        other.send()
        assert other.answer()[:2] == (1, 0)  # the link is up
        with director.service.coordinator.lock:
            caller.send()
            assert wait_for(
                lambda: any(client.open_requests for client in director.service.listener.clients)
            )
            if how == "forget":
                caller.socket.sendall(forget(1))
            else:
                caller.close()
            time.sleep(2.0 * client_module.RECENT_READ_S)
        assert wait_for(lambda: not director.service.coordinator.pending_count())
        other.send(entity="00000000000000cd")
        assert other.answer()[:2] == (2, 0)
        assert [fields["name"][-2:] for _, _, fields, _ in director.heard()] == ["ab", "cd"]


def test_a_cancellation_that_is_read_and_not_obeyed_yet_holds_back_a_further_attempt(monkeypatch):
    left = threading.Event()
    go = held_back(
        monkeypatch,
        RequestHandler,
        "handle_call",
        lambda front, client, call: call.method == "forget",
    )
    with Running(lambda fields: left.wait(5.0) and FULL) as director:
        caller = director.caller()
        caller.send()
        assert wait_for(director.heard)
        caller.socket.sendall(forget(1))
        (client,) = director.service.listener.clients
        assert wait_for(lambda: client.pending_calls)
        left.set()
        assert wait_for(lambda: not director.service.coordinator.pending_count())
        assert len(director.heard()) == 1
        go.set()


@pytest.mark.parametrize("together", [True, False])
@pytest.mark.parametrize(
    "wrong", [b"\xff\xff\xff\xff" * 20, b"\0\0\0\x05hello", b"\x7f\xff\xff\xff"]
)
def test_what_was_taken_before_bytes_that_cannot_be_read_is_answered(wrong, together):
    # Guards against a request that is lost with the rest of its connection, and an answer that a
    # reset over unread bytes takes along.
    answer = threading.Event()
    with Running(lambda fields: answer.wait(5.0) and HIT) as director:
        caller = director.caller()
        whole = serve_frame(
            7, {"route": "pages", "trace": "e" * 16, "patience": "3000", "entity": "ab" * 8}
        )
        caller.socket.sendall(whole + wrong if together else whole)
        assert wait_for(director.heard)
        if not together:
            caller.socket.sendall(wrong)
        (client,) = director.service.listener.clients
        assert wait_for(lambda: client.framing_error)
        caller.socket.sendall(wrong)
        answer.set()
        assert caller.answer() == (7, 0, {}, b"bytes")
        with pytest.raises(EOFError):
            caller.answer()
        assert wait_for(lambda: not director.service.listener.clients)  # though it does not close


def test_who_sends_what_cannot_be_read_and_goes_is_not_waited_for():
    with Running(None) as director:
        caller = director.caller()
        caller.send()
        assert wait_for(director.heard)
        caller.socket.sendall(b"\xff" * 100)
        caller.close()
        assert wait_for(lambda: not director.service.listener.clients, 1.0)
        assert not director.service.coordinator.pending_count()


def test_a_verdict_between_a_calls_taking_and_its_table_is_told_once(monkeypatch):
    # Guards against an answer that finds no number to go to, and a number that is owed for ever.
    take = RequestCoordinator.accept

    def taken(facade, *arguments, **named):
        request = take(facade, *arguments, **named)
        other = threading.Thread(
            target=lambda: [
                director.service.request_handler.run_request(still)
                for still in facade.finish_pending_requests()
            ]
        )
        other.start()
        other.join()
        return request

    monkeypatch.setattr(RequestCoordinator, "accept", taken)
    with Running() as director:
        caller = director.caller()
        caller.send()
        assert caller.answer()[:2] == (1, 1)
        caller.socket.sendall(WELL)
        assert caller.answer()[:2] == (1, 0)  # and nothing between
        assert (
            not director.service.listener.has_pending_writes()
            and not director.service.coordinator.pending_count()
        )


def test_a_call_is_not_begun_where_its_cancellation_has_come_behind_it(reading):
    with Running() as director:
        caller = director.caller()
        for number in range(1, 9):
            caller.send(entity=f"{number:016x}")
        for number in (2, 5, 8):
            caller.socket.sendall(forget(number))
        reading.set()
        assert sorted(caller.answer()[0] for _ in range(5)) == [1, 3, 4, 6, 7]
        assert sorted(int(fields["name"], 16) for _, _, fields, _ in director.heard()) == [
            1,
            3,
            4,
            6,
            7,
        ]
        unreadable, well = call_frame("forget", 0, b"\x0b", 4), call_frame("isWell", 9, b"\0")
        caller.socket.sendall(forget(1) + unreadable + well)
        assert caller.answer()[:2] == (9, 0)  # one that is over, one that can't be read: no harm


def test_a_call_that_crosses_the_end_of_the_drain_is_answered(monkeypatch):
    # Guards against an end of all connections on a word that none owes an answer which a call has
    # overtaken.
    owes, crossed = ClientListener.has_pending_writes, []

    def cross(front):
        idle = not owes(front)
        if idle and director.service.stop_requested.is_set() and not crossed:
            crossed.append(caller.send())
            assert wait_for(director.service.coordinator.pending_count)
            return False
        return not idle

    monkeypatch.setattr(ClientListener, "has_pending_writes", cross)
    with Running(lambda fields: time.sleep(0.2) or HIT) as director:
        caller, rests = director.caller(), director.caller()
        caller.socket.sendall(WELL)
        rests.socket.sendall(WELL)
        assert caller.answer()[1] == rests.answer()[1] == 0
        director.service.stop()
        assert caller.answer()[1:] == (0, {}, b"bytes")
        with pytest.raises(EOFError):
            rests.answer()
        rests.close()
        with pytest.raises(EOFError):
            caller.answer()
        caller.close()
        assert director.service.stopped.wait(5.0)


def test_who_the_system_has_accepted_before_the_drain_ends_is_answered(monkeypatch):
    # Guards against a listener that closes over connections on which calls have come.
    free = held_back(
        monkeypatch,
        ClientListener,
        "_admit",
        lambda *_: threading.current_thread().name == "accept",
    )
    with Running() as director:
        first = director.caller()
        assert free.met.wait(5.0)
        behind = director.caller()
        for caller in (first, behind):
            caller.send()
        director.service.stop()
        assert behind.answer()[:2] == (1, 0)
        free.set()
        assert first.answer()[:2] == (1, 0)
        for caller in (first, behind):
            caller.close()
        assert director.service.stopped.wait(5.0)


def test_what_crosses_the_end_of_an_idle_connection_is_neither_begun_nor_met_with_a_reset():
    # Guards against a close over unread bytes, which may take the last answer along, and against a
    # request that is sent on here and once more by its client.
    with Running() as director:
        caller = director.caller()
        caller.send()
        assert wait_for(
            lambda: (
                len(director.heard()) == 1 and not director.service.listener.has_pending_writes()
            )
        )
        (client,) = director.service.listener.clients
        client.close_if_idle()
        caller.send()
        time.sleep(0.02)  # it is read and left unused; an answer or a reset would come by now
        assert caller.answer() == (1, 0, {}, b"bytes")
        with pytest.raises(EOFError):
            caller.answer()
        assert len(director.heard()) == 1 and director.service.listener.clients
        caller.close()
        assert wait_for(lambda: not director.service.listener.clients)


def test_a_call_is_with_the_system_or_read_at_every_moment(monkeypatch):
    # Guards against an end between the bytes' leaving the system's buffer and the call's arrival in
    # the list.
    answer = threading.Event()
    go = held_back(
        monkeypatch, FrameDecoder, "decode", lambda *_: threading.current_thread().name == "client"
    )
    with Running(lambda fields: answer.wait(10.0) and HIT) as director:
        caller = director.caller()
        caller.send()
        assert go.met.wait(5.0)
        (client,) = director.service.listener.clients
        ended = []
        ender = threading.Thread(target=lambda: ended.append(client.close_if_idle()))
        ender.start()
        time.sleep(0.05)  # an end that does not wait for the reader has happened by now
        go.set()
        ender.join()
        answer.set()  # not before: once it is answered, it may be ended
        assert ended == [False] and caller.answer()[:2] == (1, 0)


def test_an_idle_connection_on_which_a_call_has_come_is_not_ended(reading):
    with Running() as director:
        caller = director.caller()
        caller.send()
        assert wait_for(lambda: director.service.listener.clients)
        (client,) = director.service.listener.clients
        assert wait_for(client._has_unread_bytes)
        client.close_if_idle()
        reading.set()
        assert caller.answer()[:2] == (1, 0)


def test_a_call_that_has_been_read_and_is_not_yet_begun_counts_as_open(monkeypatch):
    # Guards against the end of a connection, or of the drain, between a call's reading and its
    # begin.
    go = held_back(monkeypatch, RequestHandler, "handle_call")
    with Running() as director:
        caller, table = director.caller(), director.service.listener
        caller.send()
        caller.send(entity="00000000000000cd")
        assert wait_for(lambda: any(client.pending_calls for client in table.clients))
        (client,) = table.clients
        assert table.has_pending_writes() and not client.close_if_idle()
        director.service.stop()
        go.set()
        assert {caller.answer()[:2] for _ in range(2)} == {(1, 0), (2, 0)}
        caller.close()
        assert director.service.stopped.wait(5.0)


def test_one_that_does_not_close_is_ended_after_a_while():
    with Running() as director:
        caller = director.caller()
        caller.socket.sendall(WELL)
        assert caller.answer()[1] == 0
        (client,) = director.service.listener.clients
        client.close_if_idle()
        assert wait_for(lambda: not director.service.listener.clients)


def test_a_call_of_which_a_part_has_come_is_waited_for_at_the_end_of_a_drain():
    with Running() as director:
        caller, bad = director.caller(), director.caller()
        whole = serve_frame(
            7, {"route": "pages", "trace": "f" * 16, "patience": "3000", "entity": "ab" * 8}
        )
        for half in (caller, bad):
            half.socket.sendall(whole[:20])
        clients = director.service.listener.clients
        assert wait_for(
            lambda: [client.partial_call_since > 0.0 for client in clients] == [True] * 2
        )
        director.service.stop()
        assert wait_for(lambda: director.service.listener.listener is None)
        caller.socket.sendall(whole[20:])
        assert caller.answer()[:2] == (7, 0)
        caller.close()
        assert director.service.stopped.wait(4.0)  # the other one is not waited for for ever


def test_the_time_that_a_call_waits_behind_others_is_the_clients(monkeypatch):
    go = held_back(monkeypatch, RequestHandler, "handle_call")
    with Running(None) as director:
        caller = director.caller()
        caller.send(patience="2000")
        assert wait_for(lambda: director.service.listener.clients)
        time.sleep(0.3)
        go.set()
        attempt = waiting(director)
        assert attempt.request.deadline - attempt.request.arrived_at < 1750.0


def test_who_floods_with_bad_calls_is_ended_and_told_why(reading):
    # Guards against one who is never idle, as there is always more of it to be read.
    with Running() as director:
        bad, good = director.caller(), director.caller()
        for _ in range(200):
            bad.send("nope")
        good.send()
        reading.set()
        assert [bad.answer()[1] for _ in range(9)] == ["an unknown request class"] * 9
        with pytest.raises(EOFError):
            bad.answer()
        assert good.answer()[:2] == (1, 0) and director.sink.events.count("bad frame") == 1
        assert wait_for(lambda: len(director.service.listener.clients) == 1)


def test_who_asks_and_does_not_read_is_ended():
    # Guards against a memory full of small answers, which no bound on their bytes would notice.
    with Running() as director:
        bad, good = director.caller(), director.caller()
        good.socket.sendall(WELL)
        assert good.answer()[1] == 0
        with pytest.raises(OSError):
            for _ in range(10_000):
                bad.socket.sendall(WELL * 1000)
        assert wait_for(lambda: len(director.service.listener.clients) == 1)
        good.send()
        assert good.answer()[:2] == (1, 0)


@pytest.mark.parametrize(
    "signals, ready",
    [
        ([signal.SIGHUP], True),
        ([signal.SIGHUP] * 5, True),
        ([signal.SIGTERM], False),
        ([signal.SIGHUP, signal.SIGTERM], False),
        ([signal.SIGTERM] * 3, False),
    ],
)
def test_a_signal_before_the_program_listens_to_signals(signals, ready, tmp_path):
    # Guards against a new configuration, told to all, that ends those who are just being started.
    file, root = tmp_path / "config.json", Path(ROOT)
    file.write_text(json.dumps(configuration()))
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


# The event stream


class Trickles(StandBus):
    """Its first connection says `said`, then one byte after the other; the others are well."""

    said = b""

    def talk(self, connection):
        if len(self.connections) > 1:
            return super().talk(connection)
        connection.sendall(self.said)
        while True:
            connection.sendall(b"x")
            time.sleep(0.02)


@pytest.mark.parametrize("said", [b"", b"HTTP/1.1 200 OK\r\nx: ", OK, OK + b": well\n\ndata: "])
def test_a_stream_that_brings_bytes_and_no_line_is_left(said, monkeypatch):
    # Guards against drains that are never heard of while a head or a line trickles in.
    for name, seconds in (
        ("SILENCE_TIMEOUT_S", 0.2),
        ("HEAD_TIMEOUT_S", 0.3),
        ("LINE_TIMEOUT_S", 0.4),
    ):
        monkeypatch.setattr(event_stream, name, seconds)
    stand = Trickles([OK, event(2, BAN), None])
    stand.said = said
    with Running(bus=stand) as director:
        assert wait_for(lambda: director.service.event_stream.last_event_number == 2)
        assert director.service.coordinator.active_purge_count() == 1


def test_a_drain_is_heard_though_three_connections_in_a_row_say_nothing(monkeypatch):
    # What is told counts after 7 s: the waits are those of the program, a tenth as long.
    for name in ("SILENCE_TIMEOUT_S", "HEAD_TIMEOUT_S", "LINE_TIMEOUT_S"):
        monkeypatch.setattr(event_stream, name, getattr(event_stream, name) / 10.0)
    with Running(bus=StandBus([OK, None], [None], [None])) as director:
        director.service.event_stream.reconnect_backoff.record_end = lambda *_: 0.01
        director.bus.scripts.append(
            [OK, event(2, rows(director, "DRAINING", "s-01", "s-02")), None]
        )
        begun = time.monotonic()
        assert wait_for(lambda: director.service.event_stream.last_event_number == 2)
        assert time.monotonic() - begun < 0.7
        for number in range(12):
            director.caller().send(entity=f"{number:016x}")
        assert wait_for(lambda: len(director.heard()) == 12)
        assert not director.nodes[0].heard and not director.nodes[1].heard


@pytest.mark.parametrize("number, applied", [(1, False), (2, True), (9, True)])
def test_a_whole_list_counts_only_where_it_is_newer(number, applied):
    # Guards against a list from before what is known, and loses no purge that a gap may hide.
    with Running(bus=StandBus()) as director:
        whole = event(number, rows(director, "SERVING", "s-03", "s-11", "s-21", full=True))
        assert wait_for(
            lambda: director.bus.asked
        )  # a connection that is opened now would take a script
        director.bus.scripts += [[OK, whole], [OK, whole, event(number + 1, BAN), None]]
        director.service.event_stream.reconnect_to(director.service.event_stream.address)
        assert wait_for(lambda: director.service.event_stream.last_event_number == number + 1)
        caches = {name for name, _, _ in director.service.coordinator.ready_caches()}
        assert caches == ({"s-03"} if applied else {"s-01", "s-02", "s-03"})


@pytest.mark.parametrize("behind", ["drain", "whole list", "purge"])
def test_what_is_told_behind_a_gap_is_heeded_before_the_gap_is_closed(behind):
    # Guards against a grace that runs out while the events before it are asked for again.
    asked, go = threading.Event(), threading.Event()

    class Gap(StandBus):
        def talk(self, connection):
            if len(self.asked) == 2:
                asked.set()
                go.wait(10.0)
            super().talk(connection)

    with Running(bus=Gap()) as director:
        facade = director.service.coordinator
        assert wait_for(lambda: director.bus.asked)
        full = behind == "whole list"
        leaving = rows(director, "DRAINING", "s-01", full=full)
        leaving["topology"]["servers"] += rows(director, "SERVING", "s-03")["topology"]["servers"]
        held = [event(3, BAN if behind == "purge" else leaving), event(4, BAN)]
        director.bus.scripts += [[OK, b"".join(held)], [OK, event(2, BAN), *held, None]]
        director.service.event_stream.reconnect_to(director.service.event_stream.address)
        assert asked.wait(5.0)
        assert (
            director.service.event_stream.last_event_number == 1
            and facade.active_purge_count() == 1
        )
        if behind != "purge":
            assert "s-01" not in {name for name, _, _ in facade.ready_caches()}
        go.set()
        assert wait_for(lambda: director.service.event_stream.last_event_number == 4)


@pytest.mark.parametrize(
    "numbers, last, drained",
    [([1, 2], 2, True), ([2], 2, True), ([3], 1, True), ([1], 1, False), ([None], 1, False)],
)
def test_events_in_a_new_configuration_count_though_the_stream_is_silent(numbers, last, drained):
    # Guards against drains that a director was told of by its file; an old or unnumbered list is
    # not new, and one behind a gap is heeded, while the stream is asked for what is missing.
    with Running(bus=StandBus([OK, None], [OK, None])) as director:
        stream, facade = director.service.event_stream, director.service.coordinator
        told = [
            rows(director, "DRAINING", "s-01") | ({} if number is None else {"offset": number})
            for number in numbers
        ]
        director.service.reload(replace(director.service.config, known_events=told))
        assert wait_for(lambda: len(director.bus.asked) == 2)
        assert director.bus.asked[1] == stream.last_event_number == last
        assert ("s-01" not in {name for name, _, _ in facade.ready_caches()}) is drained


def test_a_drain_of_which_only_the_name_is_told_is_kept():
    with Running(bus=StandBus()) as director:
        facade = director.service.coordinator
        assert wait_for(lambda: director.bus.asked)
        named = {"topology": {"version": 2, "servers": [{"id": "s-01", "state": "DRAINING"}]}}
        director.bus.scripts.append([OK, event(2, named), None])
        director.service.event_stream.reconnect_to(director.service.event_stream.address)
        assert wait_for(lambda: director.service.event_stream.last_event_number == 2)
        assert {name for name, _, _ in facade.ready_caches()} == {"s-02", "s-03"}
        assert (
            facade.endpoint_updates["s-01"].state == EndpointState.DRAINING
            and facade.endpoint_updates["s-01"].address[1]
        )


def test_a_move_while_the_old_address_is_being_connected_to_is_followed(monkeypatch):
    new = StandBus([OK, event(3, BAN), None])
    host, port = new.address.split(":")
    moved = (host, int(port))
    up = held_back(monkeypatch, socket, "create_connection", lambda address, **_: address != moved)
    with Running() as director:
        drain = rows(director, "DRAINING", "s-01") | {"offset": 2}
        director.service.reload(
            replace(director.service.config, event_stream_address=moved, known_events=[drain])
        )
        # Though the stream's thread waits: a grace may run from now on.
        assert director.service.coordinator.endpoint_updates["s-01"].state == EndpointState.DRAINING
        up.set()
        assert wait_for(lambda: director.service.event_stream.last_event_number == 3)
    assert new.asked == [2]
    new.close()


def test_a_file_that_cannot_be_looked_at_ends_no_stream():
    with Running(bus=StandBus()) as director:
        stream = director.service.event_stream
        stream.read_configured_address = lambda: 1 / 0
        stream.reconnect_backoff.begin_lookup_if_due = lambda now: True
        director.bus.scripts += [
            [OK, event(2, BAN), None]
        ] * 9  # a connection that the move ends takes one
        stream.reconnect_to(stream.address)
        assert wait_for(lambda: stream.last_event_number == 2 and "fault" in director.sink.events)


def test_a_program_that_starts_hears_what_it_missed_before_it_is_well(monkeypatch):
    # Guards against first requests by a list that is out of date: a drain that was told while the
    # program started has used up its grace. The stream's word is held back until the front listens
    # and is asked.
    monkeypatch.setattr(event_stream, "CATCH_UP_TIMEOUT_S", 0.5)
    drain = event(2, {"topology": {"version": 2, "servers": [{"id": "s-01", "state": "DRAINING"}]}})
    stand, late = StandBus([OK, drain, None]), threading.Event()
    talk = stand.talk

    def held(connection):
        late.wait(10.0)
        talk(connection)

    stand.talk = held
    director = Running(bus=stand)
    begun, asked = ClientListener.start, []

    def begin(front):
        begun(front)
        with socket.create_connection(front.listener.getsockname(), timeout=10.0) as client:
            client.sendall(WELL)
            asked.append(b"\x02\x00\x00\x01" in client.recv(4096))  # `good`
        late.set()

    monkeypatch.setattr(ClientListener, "start", begin)
    with director:
        assert asked == [False]
        assert director.service.request_handler.is_healthy
        assert director.service.coordinator.endpoint_updates["s-01"].state == EndpointState.DRAINING


@pytest.mark.parametrize("script", ["refused", "closed", "silent"])
def test_a_program_that_starts_is_well_though_the_stream_says_nothing(script, monkeypatch):
    monkeypatch.setattr(event_stream, "HEAD_TIMEOUT_S", 0.2)
    monkeypatch.setattr(event_stream, "CATCH_UP_TIMEOUT_S", 60.0)
    stand = StandBus(*{"silent": [[None]] * 9, "closed": [[]] * 9}.get(script, []))
    if script == "refused":
        stand.close()
    with Running(bus=stand) as director:
        assert director.service.request_handler.is_healthy
