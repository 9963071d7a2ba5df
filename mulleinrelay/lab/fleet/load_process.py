"""A process with the clients of some locations: an open-loop load generator with its own retries.

The clients speak framed Thrift to directors. What they see is recorded, a line a request.
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

IDLE_TIMEOUT_MS = 4000.0  # after which clients close a connection
RECHECK_MS = 1000.0  # between health checks of a director that is passed by
HEALTH_TIMEOUT_MS = 1000.0
HEALTH_FRAME_BYTES = 4096
SWEEP_MS = 100.0  # between checks for missing answers and idle connections
PROGRESS_MS = 1000.0  # between reports to the lab, and between writes of the records
MIN_TIME_FOR_TRY = 10.0  # ms of patience that must remain for a try
MAX_LATENESS = 1000.0  # ms; arrivals that a busy machine delays further are dropped
END_GRACE_MS = 100.0


@dataclass(slots=True, eq=False)
class PendingRequest:
    """One request over its tries; times in Unix ms."""

    asked_at: float
    deadline: float
    load: LocationLoad
    plan: RequestPlan
    tries: int = 0
    is_over: bool = False
    first_director: int = addresses.NO_DIRECTOR


class ClientSession:
    """A connection to one director, and what is in flight on it."""

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
        """Send one try of a request."""
        self.last_number += 1
        self.last_used = now
        self.in_flight[self.last_number] = request
        self.connection.write(encode_serve_call(self.last_number, fields))

    def expire_unanswered(self, now: float) -> None:
        """Give up requests whose answer is missing."""
        for number, request in list(self.in_flight.items()):
            if now > request.deadline + self.generator.scenario.answer_grace_ms:
                del self.in_flight[number]
                self.expired.add(number)
                self.generator.on_missing_answer(request, self.director)

    def is_idle(self, now: float) -> bool:
        """Return whether the connection has been unused for so long that clients close it."""
        return not self.in_flight and now > self.last_used + IDLE_TIMEOUT_MS

    def _on_data(self, data: bytes) -> None:
        view = memoryview(data)
        while len(view):
            room = self.frames.writable_view()
            taken = min(len(room), len(view))
            room[:taken] = view[:taken]
            view = view[taken:]
            for frame in self.frames.decode(taken):
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
    """One health check of a director, on a connection of its own.

    The generator's `on_health` is called with the result.
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
        room = self.frames.writable_view()
        room[: len(data)] = data
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
    """The clients of some locations, in one event loop.

    Attributes:
        excluded: Directors that clients pass by, as they were found to be unhealthy.
    """

    def __init__(self, first: Message, scenario: FleetScenario) -> None:
        """Prepare; requests begin when the lab says so.

        Args:
            first: The lab's first command.
            scenario: The scenario that it names.
        """
        self.scenario = scenario
        self.loop = EventLoop()
        self.records = RecordFile(first["records"])
        self.port: int = first["port"]
        self.began = 0.0
        self.ends_at = 0.0
        self.random = random.Random(f"{scenario.seed}-clients-{first['locations']}")
        self.loads = [LocationLoad(scenario, location) for location in first["locations"]]
        self.sessions: dict[int, list[ClientSession]] = {}
        self.excluded: set[int] = set()
        self.trace_number = 0
        self.trace_base = self.random.getrandbits(31) << 32
        self.asked = 0
        self.served = 0
        receive_messages(self.loop, self.on_command)

    def connect(self, director: int) -> LoopConnection:
        """Begin to connect to a director."""
        return self.loop.connect((addresses.listen_address(director), self.port))

    def on_command(self, command: Message) -> None:
        """Start the load at the time that the lab names."""
        if "began" not in command:
            return
        self.began = command["began"]
        self.ends_at = self.began + 1000.0 * self.scenario.seconds
        for load in self.loads:
            self._send_new_at(self.began + 1000.0 * load.next_arrival_in_s(0.0), load)
        self.loop.call_every(SWEEP_MS, self._sweep)
        self.loop.call_every(PROGRESS_MS, self._report_progress)
        self.loop.call_every(PROGRESS_MS, self.records.flush)

    def on_reply(self, request: PendingRequest, director: int, reply: ServerReply) -> None:
        """Retry after a rejection, else complete the request."""
        if request.is_over:
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
        """Complete a request that a director hasn't answered in time."""
        self.records.add("none", now_ms(), director, request.asked_at)
        self._complete(request, director, "no answer")

    def on_unexpected_reply(self, session: ClientSession, is_late: bool) -> None:
        """Record a reply to a call that is not in flight: a late or a second one."""
        self.records.add("late" if is_late else "twice", now_ms(), session.director)

    def on_disconnect(self, session: ClientSession) -> None:
        """Retry what was in flight as the request classes permit, and check the director."""
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
        """Pass by a director until it is healthy."""
        if is_healthy:
            self.excluded.discard(director)
        else:
            self.excluded.add(director)
            self.loop.call_at(now_ms() + RECHECK_MS, lambda: self._check_health(director))

    def _send_new_at(self, due_at: float, load: LocationLoad) -> None:
        self.loop.call_at(due_at, lambda: self._send_new(load))

    def _send_new(self, load: LocationLoad) -> None:
        """Send the requests that are due; what this process is late for goes out together."""
        now = now_ms()
        due_at = now
        while due_at <= now:
            since_start_s = (due_at - self.began) / 1000.0
            if due_at >= self.ends_at:
                return
            self.asked += 1
            deadline = now + self.scenario.patience_ms
            self._send_try(PendingRequest(now, deadline, load, load.draw_request(since_start_s)))
            due_at += 1000.0 * load.next_arrival_in_s(since_start_s)
            if due_at < now - MAX_LATENESS:
                due_at = now
        self._send_new_at(due_at, load)

    def _send_try(self, request: PendingRequest) -> None:
        now = now_ms()
        director = request.load.draw_director(self.excluded)
        if director is None or now > request.deadline - MIN_TIME_FOR_TRY:
            self._complete(
                request, addresses.NO_DIRECTOR if director is None else director, "nobody"
            )
            return
        request.tries += 1
        if request.first_director == addresses.NO_DIRECTOR:
            request.first_director = director
        self.trace_number += 1
        self._session(director).send(request, now, self._fields(request, now))

    def _fields(self, request: PendingRequest, now: float) -> dict[str, str]:
        plan = request.plan
        fields = {
            "route": plan.request_class,
            "trace": f"{self.trace_base + self.trace_number:016x}",
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
        if request.is_over:
            return
        request.is_over = True
        now = now_ms()
        self.served += outcome == ReplyOutcome.SERVED
        self.records.add(
            "look",
            request.asked_at,
            now - request.asked_at,
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
        send_message(asked=self.asked, served=self.served)

    def _sweep(self) -> None:
        """Give up unanswered requests, close idle connections, and stop after the play's end."""
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
    """Generate load until the play's end, or until the lab closes standard input."""
    first = receive_first_message()
    scenario = parse_fleet_scenario(first["scenario"]).with_directors(first["directors"])
    generator = LoadGenerator(first, scenario)
    send_message(ready=True)
    generator.loop.run()
    generator.records.close()
    send_message(done=True)


if __name__ == "__main__":
    main()
