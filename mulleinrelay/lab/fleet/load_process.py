"""Load generator: a process that simulates the clients of some locations.

The load is open-loop: requests arrive independently of the answers. The clients send framed Thrift
to the directors, and retry requests that are rejected or whose connection ends. Each sending of a
request is a try. The process writes a record for each request.
"""

import random
from dataclasses import dataclass

from ...net import thrift
from ...standins.client_protocol import (
    DEFAULT_RETRY_DELAY,
    MAX_FRAME_BYTES,
    MAX_IN_FLIGHT,
    MIN_PATIENCE_MS,
    ReplyOutcome,
    ServerReply,
    decode_reply,
    encode_health_call,
    encode_serve_call,
    is_healthy_reply,
)
from ...standins.clock import now_ms
from ...standins.event_loop import EventLoop, LoopConnection
from . import addresses
from .control_channel import (
    Message,
    RecordFile,
    receive_first_message,
    receive_messages,
    send_message,
)
from .load import LocationLoad, RequestPlan, can_retry_after_disconnect
from .scenario import FleetScenario
from .scenario_parser import parse_fleet_scenario

IDLE_TIMEOUT_MS = 4000.0  # of a connection, which the client then closes
RECHECK_INTERVAL_MS = 1000.0  # between health checks of an excluded director
HEALTH_TIMEOUT_MS = 1000.0
HEALTH_FRAME_BYTES = 4096
SWEEP_INTERVAL_MS = 100.0  # between checks for missing answers and idle connections
PROGRESS_INTERVAL_MS = 1000.0  # between reports to the lab, and between flushes of the records
MIN_TIME_FOR_TRY_MS = 10.0  # patience that must remain to send a try
# If the next new request is overdue by more than this, because the machine is busy, the requests
# that should have been sent until now are skipped.
MAX_LATENESS_MS = 1000.0
END_GRACE_MS = 100.0  # from when the last missing answers are overdue until the process stops


@dataclass(slots=True, eq=False)
class PendingRequest:
    """One request with all its tries; times are in Unix ms."""

    created_at: float
    deadline: float  # when the client's patience ends
    load: LocationLoad
    plan: RequestPlan
    tries: int = 0  # number of tries so far
    is_complete: bool = False  # whether the outcome is known and recorded
    first_director: int = addresses.NO_DIRECTOR  # director of the first try


class ClientSession:
    """A connection to one director with the calls in flight on it; a call is one try."""

    def __init__(self, generator: "LoadGenerator", director: int) -> None:
        self.generator = generator
        self.director = director
        self.in_flight: dict[int, PendingRequest] = {}
        self.expired: set[int] = set()  # numbers of calls that were not answered in time
        self.last_number = 0
        self.last_used = now_ms()
        self.frames = thrift.FrameDecoder(max_frame_bytes=MAX_FRAME_BYTES)
        self.connection: LoopConnection = generator.connect(director)
        self.connection.on_data = self._on_data
        self.connection.on_close = self._on_close

    def send(self, request: PendingRequest, now: float, fields: dict[str, str]) -> None:
        """Send one try of a request on this connection."""
        self.last_number += 1
        self.last_used = now
        self.in_flight[self.last_number] = request
        self.connection.write(encode_serve_call(self.last_number, fields))

    def expire_unanswered(self, now: float) -> None:
        """Complete all requests whose answer on this connection is overdue.

        An answer is overdue when the scenario's `answer_grace_ms` have passed since the deadline.
        """
        for number, request in list(self.in_flight.items()):
            if now > request.deadline + self.generator.scenario.answer_grace_ms:
                del self.in_flight[number]
                self.expired.add(number)
                self.generator.on_missing_answer(request, self.director)

    def is_idle(self, now: float) -> bool:
        """Return whether no call is in flight and none was sent in the last IDLE_TIMEOUT_MS."""
        return not self.in_flight and now > self.last_used + IDLE_TIMEOUT_MS

    def _on_data(self, data: bytes) -> None:
        view = memoryview(data)
        while len(view):
            buffer = self.frames.writable_view()
            count = min(len(buffer), len(view))
            buffer[:count] = view[:count]
            view = view[count:]
            for frame in self.frames.decode(count):
                self._on_reply(decode_reply(frame))

    def _on_reply(self, reply: ServerReply) -> None:
        request = self.in_flight.pop(reply.number, None)
        if request is None:
            self.generator.on_unexpected_reply(self, reply.number in self.expired)
        else:
            self.generator.on_reply(request, self.director, reply)

    def _on_close(self) -> None:
        self.generator.on_disconnect(self)


class HealthCheck:
    """One health check of a director on a separate connection.

    The result is passed to the generator's `on_health`.
    """

    def __init__(self, generator: "LoadGenerator", director: int) -> None:
        self.generator = generator
        self.director = director
        self.frames = thrift.FrameDecoder(max_frame_bytes=HEALTH_FRAME_BYTES)
        self.connection = generator.connect(director)
        self.connection.on_data = self._on_data
        self.connection.on_close = lambda: generator.on_health(director, False)
        self.connection.write(encode_health_call())
        generator.loop.call_at(now_ms() + HEALTH_TIMEOUT_MS, self._on_timeout)

    def _on_data(self, data: bytes) -> None:
        buffer = self.frames.writable_view()
        buffer[: len(data)] = data
        for frame in self.frames.decode(len(data)):
            is_healthy = is_healthy_reply(frame)
            self.connection.close()
            self.generator.on_health(self.director, is_healthy)
            return

    def _on_timeout(self) -> None:
        if not self.connection.is_closed:
            self.connection.close()
            self.generator.on_health(self.director, False)


class LoadGenerator:
    """All clients of some locations, in one event loop.

    Attributes:
        started_at: Start of the play in Unix ms.
        ends_at: End of the play in Unix ms, after which no new requests are sent.
        sessions: Open connections by director.
        excluded: Unhealthy directors, which clients avoid.
        requests_created: Number of requests so far.
        requests_served: Number of requests that were served so far.
    """

    def __init__(self, first_message: Message, scenario: FleetScenario) -> None:
        """Prepare the clients; the load starts at the lab's next command.

        Args:
            first_message: First command of the lab.
            scenario: Scenario that this command contains.
        """
        self.scenario = scenario
        self.loop = EventLoop()
        self.records = RecordFile(first_message["records"])
        self.port: int = first_message["port"]
        self.started_at = 0.0
        self.ends_at = 0.0
        self.random = random.Random(f"{scenario.seed}-clients-{first_message['locations']}")
        self.loads = [LocationLoad(scenario, location) for location in first_message["locations"]]
        self.sessions: dict[int, list[ClientSession]] = {}
        self.excluded: set[int] = set()
        self.trace_number = 0
        self.first_trace = self.random.getrandbits(31) << 32
        self.requests_created = 0
        self.requests_served = 0
        receive_messages(self.loop, self.on_command)

    def connect(self, director: int) -> LoopConnection:
        """Start to connect to a director."""
        return self.loop.connect((addresses.listen_address(director), self.port))

    def on_command(self, command: Message) -> None:
        """Schedule the start of the load at the time that the command contains."""
        if "began" not in command:
            return
        self.started_at = command["began"]
        self.ends_at = self.started_at + 1000.0 * self.scenario.seconds
        for load in self.loads:
            self._schedule_requests(self.started_at + 1000.0 * load.next_arrival_in_s(0.0), load)
        self.loop.call_every(SWEEP_INTERVAL_MS, self._sweep)
        self.loop.call_every(PROGRESS_INTERVAL_MS, self._report_progress)
        self.loop.call_every(PROGRESS_INTERVAL_MS, self.records.flush)

    def on_reply(self, request: PendingRequest, director: int, reply: ServerReply) -> None:
        """Retry a rejected request while tries and patience remain, or complete the request."""
        if request.is_complete:
            return
        now = now_ms()
        if reply.outcome == ReplyOutcome.REJECTED and request.tries < self.scenario.max_tries:
            self.records.add("rejected", now, director, reply.retry_after_ms)
            retry_at = now + (reply.retry_after_ms or DEFAULT_RETRY_DELAY)
            if retry_at < request.deadline:
                self.loop.call_at(retry_at, lambda: self._send_try(request))
                return
        self._complete(request, director, reply.outcome.value)

    def on_missing_answer(self, request: PendingRequest, director: int) -> None:
        """Complete a request that a director has not answered in time."""
        self.records.add("none", now_ms(), director, request.created_at)
        self._complete(request, director, "no answer")

    def on_unexpected_reply(self, session: ClientSession, is_late: bool) -> None:
        """Record a reply to a call that is not in flight.

        Args:
            session: Connection on which the reply was received.
            is_late: Whether the call was given up before; otherwise the reply is a duplicate.
        """
        self.records.add("late" if is_late else "twice", now_ms(), session.director)

    def on_disconnect(self, session: ClientSession) -> None:
        """Handle a closed connection.

        The requests in flight are retried if their class, tries and patience permit it, and are
        completed otherwise. A health check of the director follows after the failure detection
        time, unless the director is excluded already.
        """
        now = now_ms()
        director = session.director
        if session in self.sessions.get(director, ()):
            self.sessions[director].remove(session)
        in_flight = list(session.in_flight.values())
        session.in_flight = {}
        if in_flight:
            self.records.add("cut", now, director, len(in_flight))
        for request in in_flight:
            self._retry_or_complete(request, director, now)
        if director not in self.excluded:
            check_at = now_ms() + self.scenario.failure_detection_ms
            self.loop.call_at(check_at, lambda: self._check_health(director))

    def on_health(self, director: int, is_healthy: bool) -> None:
        """Exclude an unhealthy director until a later health check succeeds.

        Each failed check schedules another one.
        """
        if is_healthy:
            self.excluded.discard(director)
        else:
            self.excluded.add(director)
            self.loop.call_at(now_ms() + RECHECK_INTERVAL_MS, lambda: self._check_health(director))

    def _schedule_requests(self, due_at: float, load: LocationLoad) -> None:
        self.loop.call_at(due_at, lambda: self._send_due_requests(load))

    def _send_due_requests(self, load: LocationLoad) -> None:
        """Send all new requests that are due, and schedule the next one.

        Several requests are due if the drawn intervals are short or the event loop is late.
        """
        now = now_ms()
        due_at = now
        while due_at <= now:
            since_start_s = (due_at - self.started_at) / 1000.0
            if due_at >= self.ends_at:
                return
            self.requests_created += 1
            deadline = now + self.scenario.patience_ms
            self._send_try(PendingRequest(now, deadline, load, load.draw_request(since_start_s)))
            due_at += 1000.0 * load.next_arrival_in_s(since_start_s)
            if due_at < now - MAX_LATENESS_MS:
                due_at = now
        self._schedule_requests(due_at, load)

    def _send_try(self, request: PendingRequest) -> None:
        now = now_ms()
        director = request.load.draw_director(self.excluded)
        if director is None or now > request.deadline - MIN_TIME_FOR_TRY_MS:
            self._complete(
                request, addresses.NO_DIRECTOR if director is None else director, "nobody"
            )
            return
        request.tries += 1
        if request.first_director == addresses.NO_DIRECTOR:
            request.first_director = director
        self.trace_number += 1
        self._session(director).send(request, now, self._call_fields(request, now))

    def _call_fields(self, request: PendingRequest, now: float) -> dict[str, str]:
        plan = request.plan
        fields = {
            "route": plan.request_class,
            "trace": f"{self.first_trace + self.trace_number:016x}",
            "patience": f"{max(MIN_PATIENCE_MS, request.deadline - now):.0f}",
            "entity": f"{plan.object_id:016x}",
            "nth": "0",
            "batch": str(plan.object_id & 0xFF),
            "size": f"{plan.size_kb:.1f}",
        }
        if plan.idempotency_key:
            fields["nonce"] = plan.idempotency_key
        if request.tries > 1:
            fields["redo"] = "1"
        return fields

    def _session(self, director: int) -> ClientSession:
        sessions = self.sessions.setdefault(director, [])
        for session in sessions:
            if len(session.in_flight) < MAX_IN_FLIGHT:
                return session
        session = ClientSession(self, director)
        sessions.append(session)
        return session

    def _retry_or_complete(self, request: PendingRequest, director: int, now: float) -> None:
        remaining = request.deadline - now
        if can_retry_after_disconnect(self.scenario, request.plan, request.tries, remaining):
            self.loop.call_at(now + DEFAULT_RETRY_DELAY, lambda: self._send_try(request))
        else:
            self._complete(request, director, "cut off")

    def _complete(self, request: PendingRequest, director: int, outcome: str) -> None:
        if request.is_complete:
            return
        request.is_complete = True
        now = now_ms()
        self.requests_served += outcome == ReplyOutcome.SERVED
        self.records.add(
            "look",
            request.created_at,
            now - request.created_at,
            request.load.location,
            request.first_director,
            director,
            request.plan.request_class,
            request.plan.object_id,
            outcome,
            request.tries,
        )

    def _check_health(self, director: int) -> None:
        HealthCheck(self, director)

    def _report_progress(self) -> None:
        send_message(asked=self.requests_created, served=self.requests_served)

    def _sweep(self) -> None:
        """Complete overdue requests, close idle connections, and stop after the end of the play."""
        now = now_ms()
        for sessions in list(self.sessions.values()):
            for session in list(sessions):
                session.expire_unanswered(now)
                if session.is_idle(now):
                    session.connection.close()
                    sessions.remove(session)
        grace = self.scenario.patience_ms + self.scenario.answer_grace_ms + END_GRACE_MS
        if now > self.ends_at + grace:
            self.loop.is_stopped = True


def main() -> None:
    """Generate load until the play has ended and no answer is awaited any more.

    Stop before if the lab closes standard input.
    """
    first_message = receive_first_message()
    scenario = parse_fleet_scenario(first_message["scenario"]).with_directors(
        first_message["directors"]
    )
    generator = LoadGenerator(first_message, scenario)
    send_message(ready=True)
    generator.loop.run()
    generator.records.close()
    send_message(done=True)


if __name__ == "__main__":
    main()
