"""Exhaustive tests of the order of events, for one request and for one client connection.

A request is tested with all sequences of three events (two in the class `order`), a connection with
all sequences of four; an event may occur repeatedly. Each sequence is checked against the test's
own record of sent attempts or received calls. So that the checks themselves are tested, they must
also detect faults that are put in deliberately.
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

NEVER_EXECUTED = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT, Outcome.MISS)
OUTCOME_BY_EVENT = {
    "served": Outcome.SERVED,
    "miss": Outcome.MISS,
    "rejected": Outcome.REJECTED,
    "reset": Outcome.RESET,
    "error": Outcome.ERROR,
}
EVENTS = [
    *OUTCOME_BY_EVENT,
    "second answer",
    "endpoint drains",
    "object purged",
    "client leaves",
    "attempt overdue",
    "shutdown",
    "writes blocked",
    "writes resumed",
]


class RequestScenario:
    """Scenario of one request: carries out its steps and records attempts and their outcomes.

    Whenever an attempt is written, the scenario asserts that the request is not completed and its
    client has not left, that neither the attempt's endpoint nor its fill source drains, and that a
    `pay` request cannot have its effect twice.
    """

    def __init__(self, request_class, is_write_blocked):
        """Create a scenario.

        Args:
            request_class: Name of the request's class.
            is_write_blocked: Whether attempts stay unwritten at first, as if no connection were
                open.
        """
        self.fixture = CoordinatorFixture()
        self.request_class = request_class
        self.is_write_blocked = is_write_blocked
        self.coordinator = self.fixture.coordinator
        self.sent_attempts = []
        self.outcomes = {}
        self.results = []
        self.draining = set()
        self.has_client_left = False
        self.pending_steps = []  # steps that were taken and whose attempts are not written yet
        self.request = self.fixture.accept(request_class, remaining_time=2000.0)
        self.run_steps()

    def run_steps(self):
        while (step := self.coordinator.next_step(self.request)) is not None:
            if isinstance(step, SendAttempt):
                assert not self.results
                self.pending_steps.append(step)
                self.write_pending_steps()
            elif isinstance(step, CancelAttempt):
                self.outcomes.setdefault(step.attempt, Outcome.CANCELLED)
            else:
                self.results.append(step)

    def write_pending_steps(self):
        while self.pending_steps and not self.is_write_blocked:
            self.write(self.pending_steps.pop(0))

    def write(self, step):
        attempt = step.attempt
        if not self.coordinator.can_begin(attempt):
            self.outcomes[attempt] = Outcome.NOT_SENT
            return self.coordinator.report_outcome(attempt, Outcome.NOT_SENT)
        assert not self.results and not self.has_client_left, "attempt sent for a completed request"
        assert not {step.address.name, step.fill_source} & self.draining, (
            "attempt sent to a draining endpoint"
        )
        possibly_run = [
            attempt
            for attempt in self.sent_attempts
            if self.outcomes.get(attempt) not in NEVER_EXECUTED
        ]
        assert self.request_class != "pay" or not possibly_run, (
            "an attempt may cause an effect twice"
        )
        self.sent_attempts.append(attempt)
        return None

    def attempts_in_flight(self):
        return [attempt for attempt in self.sent_attempts if attempt not in self.outcomes]

    def apply_event(self, event):
        if event in OUTCOME_BY_EVENT and self.attempts_in_flight():
            attempt = self.attempts_in_flight()[0]
            self.outcomes[attempt] = OUTCOME_BY_EVENT[event]
            self.coordinator.report_outcome(attempt, OUTCOME_BY_EVENT[event], answer=attempt)
        elif event == "second answer" and self.outcomes:
            attempt = next(iter(self.outcomes))
            self.coordinator.report_outcome(attempt, Outcome.SERVED, answer=attempt)
        elif event == "endpoint drains" and self.request.attempts:
            name = self.coordinator.addresses[self.request.attempts[-1].endpoint].name
            self.draining.add(name)
            self.coordinator.update_endpoints(
                [replace(self.coordinator.endpoint_updates[name], state=EndpointState.DRAINING)],
                False,
            )
        elif event == "object purged":
            self.coordinator.apply_purge(0xABC, 0, self.fixture.now)
        elif event == "client leaves":
            self.has_client_left = True
            self.coordinator.client_left(self.request)
        elif event == "attempt overdue":
            self.fixture.advance_time(700.0)
        elif event == "shutdown":
            self.coordinator.finish_pending_requests()
        elif event in ("writes blocked", "writes resumed"):
            self.is_write_blocked = event == "writes blocked"
            self.write_pending_steps()
        self.run_steps()

    def finish_and_check(self):
        self.apply_event("writes resumed")
        self.fixture.advance_time(2500.0)
        self.run_steps()
        assert len(self.results) == 1 and self.coordinator.next_step(self.request) is None
        assert not self.coordinator.pending_requests and not [
            attempt for attempt in self.attempts_in_flight() if attempt.outcome is None
        ]
        if isinstance(self.results[0], Rejected) and self.request_class == "pay":
            assert all(
                self.outcomes.get(attempt) in NEVER_EXECUTED for attempt in self.sent_attempts
            ), "a retry may cause an effect twice"
        if isinstance(self.results[0], Served):
            assert self.outcomes[self.results[0].answer] == Outcome.SERVED


def check_all_orders(request_class, length):
    for is_write_blocked, *events in itertools.product([True, False], *[EVENTS] * length):
        scenario = RequestScenario(request_class, is_write_blocked)
        try:
            for event in events:
                scenario.apply_event(event)
            scenario.finish_and_check()
        except AssertionError as error:
            raise AssertionError(
                f"{request_class}, writes blocked: {is_write_blocked}, {', '.join(events)}: {error}"
            ) from error


@pytest.mark.parametrize(("request_class", "length"), [("pages", 3), ("order", 2), ("pay", 3)])
def test_a_request_follows_the_rules_in_every_order_of_its_events(request_class, length):
    check_all_orders(request_class, length)


@pytest.mark.parametrize(
    ("request_class", "owner", "name", "faulty_function", "message"),
    [
        (
            "pages",
            RequestCoordinator,
            "can_begin",
            lambda coordinator, attempt: True,
            "draining endpoint",
        ),
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
def test_a_deliberate_fault_is_detected(
    request_class, owner, name, faulty_function, message, monkeypatch
):
    monkeypatch.setattr(owner, name, faulty_function)
    with pytest.raises(AssertionError, match=message):
        check_all_orders(request_class, 3)


# Client connections


CONNECTION_EVENTS = [
    "call sent",
    "call answered",
    "call cancelled",
    "idle check",
    "shutdown",
    "client closes",
    "calls read",
]


def peek(connection):
    try:
        return connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except OSError:
        return b""


def check_connection(has_called, events):
    """Check that one client connection loses no call if these events occur in this order.

    `has_called` states whether the client has sent a call before the first event.
    """
    server_socket, client_socket = socket.socketpair()
    client_socket.setblocking(False)
    connection, call_number, has_client_left, is_shut_down, unanswered_calls = (
        ClientConnection(server_socket),
        0,
        False,
        False,
        [],
    )
    connection.has_called = has_called
    for event in [*events, "calls read"]:
        if event == "call sent" and not has_client_left:
            call_number += 1
            try:
                client_socket.send(bytes([call_number]))
            except OSError:  # both directions are closed: the client resends the call elsewhere
                assert is_shut_down
        elif event == "call answered" and unanswered_calls:
            connection.send_answer(unanswered_calls.pop(0), [b"A"])
        elif event == "call cancelled" and unanswered_calls:
            connection.open_requests.pop(unanswered_calls.pop(0))
        elif event == "idle check":
            has_unread_bytes = not has_client_left and not is_shut_down and peek(server_socket)
            if connection.close_if_idle():
                assert not unanswered_calls and not has_unread_bytes, (
                    "a call is lost with its connection"
                )
                is_shut_down = is_shut_down or not connection.has_called
        elif event == "shutdown":
            connection.shut_down()
            is_shut_down, unanswered_calls = True, []
        elif event == "client closes" and not has_client_left:
            has_client_left = bool(client_socket.close() or True)
        elif event == "calls read":
            try:
                calls = server_socket.recv(64, socket.MSG_DONTWAIT)
            except OSError:
                calls = b""
            for call in calls:  # as the client listener does
                with connection.lock:
                    if not connection.write_queue.is_shut_down:
                        assert not connection.half_closed_at, (
                            "call accepted after its connection was half-closed"
                        )
                        connection.open_requests[call] = call
                        unanswered_calls.append(call)
    assert list(connection.open_requests) == unanswered_calls or is_shut_down
    if not has_client_left:
        client_socket.close()
    server_socket.close()


def test_a_closing_connection_loses_no_call_in_any_order():
    for has_called, *events in itertools.product([True, False], *[CONNECTION_EVENTS] * 4):
        check_connection(has_called, events)


@pytest.mark.parametrize("name", ["_has_unread_bytes", "owes_answer"])
def test_a_deliberate_loss_of_calls_is_detected(name, monkeypatch):
    monkeypatch.setattr(ClientConnection, name, lambda client: False)
    with pytest.raises(AssertionError, match="lost"):
        for events in itertools.product(CONNECTION_EVENTS, repeat=3):
            check_connection(True, events)
