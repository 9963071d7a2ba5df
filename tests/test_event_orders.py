"""One request through all orders of its events, three events long, and one connection likewise.

Each order is checked against a record of its own of what was begun. Planted faults must be found.
"""

import itertools
import socket
from dataclasses import replace

import pytest
from helpers import CoordinatorFixture

from mulleinrelay.coordinator import CancelAttempt, Rejected, RequestCoordinator, Served
from mulleinrelay.net.client_connection import ClientConnection
from mulleinrelay.policy import idempotency
from mulleinrelay.policy.model import EndpointState, Outcome, SendAttempt

NEVER_RAN = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT, Outcome.MISS)
ANSWERS = {
    "served": Outcome.SERVED,
    "miss": Outcome.MISS,
    "full": Outcome.REJECTED,
    "reset": Outcome.RESET,
    "error": Outcome.ERROR,
}
EVENTS = [
    *ANSWERS,
    "second answer",
    "drains",
    "purged",
    "leaves",
    "overdue",
    "shuts down",
    "waits",
    "is written",
]


class Play:
    """Carries out a request's steps, and records what was begun and how it ended."""

    def __init__(self, request_class, waits):
        """`waits`: steps are not written at once, as the connection is not up."""
        self.stage = CoordinatorFixture()
        self.request_class = request_class
        self.waits = waits
        self.coordinator = self.stage.coordinator
        self.begun = []
        self.ended = {}
        self.results = []
        self.draining = set()
        self.has_client_left = False
        self.unwritten = []  # steps that were taken and are not yet written
        self.request = self.stage.accept(request_class, remaining_time=2000.0)
        self.run_steps()

    def run_steps(self):
        while (step := self.coordinator.next_step(self.request)) is not None:
            if isinstance(step, SendAttempt):
                assert not self.results
                self.unwritten.append(step)
                self.write_on()
            elif isinstance(step, CancelAttempt):
                self.ended.setdefault(step.attempt, Outcome.CANCELLED)
            else:
                self.results.append(step)

    def write_on(self):
        while self.unwritten and not self.waits:
            self.write(self.unwritten.pop(0))

    def write(self, order):
        attempt = order.attempt
        if not self.coordinator.can_begin(attempt):
            self.ended[attempt] = Outcome.NOT_SENT
            return self.coordinator.report_outcome(attempt, Outcome.NOT_SENT)
        assert not self.results and not self.has_client_left, "begun for a request that is over"
        assert not {order.address.name, order.fill_source} & self.draining, (
            "sent to one that drains"
        )
        possibly_run = [
            attempt for attempt in self.begun if self.ended.get(attempt) not in NEVER_RAN
        ]
        assert self.request_class != "pay" or not possibly_run, "an effect may happen twice"
        self.begun.append(attempt)
        return None

    def out(self):
        return [attempt for attempt in self.begun if attempt not in self.ended]

    def happen(self, event):
        if event in ANSWERS and self.out():
            attempt = self.out()[0]
            self.ended[attempt] = ANSWERS[event]
            self.coordinator.report_outcome(attempt, ANSWERS[event], answer=attempt)
        elif event == "second answer" and self.ended:
            attempt = next(iter(self.ended))
            self.coordinator.report_outcome(attempt, Outcome.SERVED, answer=attempt)
        elif event == "drains" and self.request.attempts:
            name = self.coordinator.addresses[self.request.attempts[-1].endpoint].name
            self.draining.add(name)
            self.coordinator.update_endpoints(
                [replace(self.coordinator.endpoint_updates[name], state=EndpointState.DRAINING)],
                False,
            )
        elif event == "purged":
            self.coordinator.apply_purge(0xABC, 0, self.stage.now)
        elif event == "leaves":
            self.has_client_left = True
            self.coordinator.client_left(self.request)
        elif event == "overdue":
            self.stage.advance_time(700.0)
        elif event == "shuts down":
            self.coordinator.finish_pending_requests()
        elif event in ("waits", "is written"):
            self.waits = event == "waits"
            self.write_on()
        self.run_steps()

    def end(self):
        self.happen("is written")
        self.stage.advance_time(2500.0)
        self.run_steps()
        assert len(self.results) == 1 and self.coordinator.next_step(self.request) is None
        assert not self.coordinator.pending_requests and not [
            attempt for attempt in self.out() if attempt.outcome is None
        ]
        if isinstance(self.results[0], Rejected) and self.request_class == "pay":
            assert all(self.ended.get(attempt) in NEVER_RAN for attempt in self.begun), (
                "a retry might do it twice"
            )
        if isinstance(self.results[0], Served):
            assert self.ended[self.results[0].answer] == Outcome.SERVED


def search(request_class, length):
    for waits, *events in itertools.product([True, False], *[EVENTS] * length):
        play = Play(request_class, waits)
        try:
            for event in events:
                play.happen(event)
            play.end()
        except AssertionError as error:
            raise AssertionError(
                f"{request_class}, waits {waits}, {', '.join(events)}: {error}"
            ) from error


@pytest.mark.parametrize(("request_class", "length"), [("pages", 3), ("order", 2), ("pay", 3)])
def test_a_request_keeps_to_the_rules_in_every_order_of_its_events(request_class, length):
    search(request_class, length)


@pytest.mark.parametrize(
    ("request_class", "where", "name", "planted", "message"),
    [
        ("pages", RequestCoordinator, "can_begin", lambda coordinator, attempt: True, "drains"),
        ("pay", idempotency, "may_have_run", lambda request: [], "twice"),
        (
            "pay",
            idempotency,
            "may_have_run",
            lambda request: [attempt for attempt in request.attempts if attempt.outcome is None],
            "twice",
        ),
    ],
)
def test_a_planted_fault_is_found(request_class, where, name, planted, message, monkeypatch):
    monkeypatch.setattr(where, name, planted)
    with pytest.raises(AssertionError, match=message):
        search(request_class, 3)


# A connection


MOVES = ["calls", "answered", "cancels", "is idle", "is shut", "leaves", "is read"]


def peek(connection):
    try:
        return connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except OSError:
        return b""


def play_connection(called, moves):
    """Checks one connection against a record of its own. `called`: it has brought a call before."""
    ours, theirs = socket.socketpair()
    theirs.setblocking(False)
    client, number, left, shut, owed = ClientConnection(ours), 0, False, False, []
    client.has_called = called
    for move in [*moves, "is read"]:
        if move == "calls" and not left:
            number += 1
            try:
                theirs.send(bytes([number]))
            except OSError:  # it was ended both ways: the client sends it again elsewhere
                assert shut
        elif move == "answered" and owed:
            client.send_answer(owed.pop(0), [b"A"])
        elif move == "cancels" and owed:
            client.open_requests.pop(owed.pop(0))
        elif move == "is idle":
            unread = not left and not shut and peek(ours)
            if client.close_if_idle():
                assert not owed and not unread, "a call is lost with its connection"
                shut = shut or not client.has_called
        elif move == "is shut":
            client.shut_down()
            shut, owed = True, []
        elif move == "leaves" and not left:
            left = bool(theirs.close() or True)
        elif move == "is read":
            try:
                calls = ours.recv(64, socket.MSG_DONTWAIT)
            except OSError:
                calls = b""
            for call in calls:  # as the client listener takes one
                with client.lock:
                    if not client.write_queue.is_shut_down:
                        assert not client.half_closed_at, (
                            "begun after its connection was half-closed"
                        )
                        client.open_requests[call] = call
                        owed.append(call)
    assert list(client.open_requests) == owed or shut
    if not left:
        theirs.close()
    ours.close()


def test_a_connection_that_ends_loses_no_call_in_any_order():
    for called, *moves in itertools.product([True, False], *[MOVES] * 4):
        play_connection(called, moves)


@pytest.mark.parametrize("name", ["_has_unread_bytes", "owes_answer"])
def test_a_planted_loss_is_found(name, monkeypatch):
    monkeypatch.setattr(ClientConnection, name, lambda client: False)
    with pytest.raises(AssertionError, match="lost"):
        for moves in itertools.product(MOVES, repeat=3):
            play_connection(True, moves)
