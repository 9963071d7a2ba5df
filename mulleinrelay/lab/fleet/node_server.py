"""A node of the fleet lab, served on a socket in the event loop of the endpoint process.

A node is the stand-in of a cache, a parent or the origin.
`standins/nodes.py` models the content and the capacity of a node. Each connection begins with a
line that identifies its director.
"""

import random
import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from ...net import resp
from ...standins.clock import now_ms
from ...standins.event_loop import EventLoop, LoopConnection
from ...standins.node_kinds import CACHE, ORIGIN, PARENT
from ...standins.node_protocol import CancelledCommands, decode_fields
from ...standins.nodes import NodeFleet, NodeSpec, Reply, SimulatedNode
from ...standins.reserved_port import ReservedPort
from .control_channel import send_message
from .scenario import CONCURRENT_ANSWERS, FleetScenario, NodeSite

ADDRESS = "127.0.0.1"
RECEIVE_BUFFER_SIZE = 4096  # bytes, initially
ANSWER_DELAY_MS = 1.0  # of answers to health checks, and of errors
WRITE_CLASSES = ("order", "pay")
# If the scenario sets `crashes_on_overload`, a cache or parent crashes during its slow start when
# its load, relative to its capacity at the time, is above this limit for CRASH_AFTER_MS.
CACHE_CRASH_LOAD = 2.5
PARENT_CRASH_LOAD = 2.0
CRASH_AFTER_MS = 1500.0
# Minimum and maximum time from a purge until a node drops its copy; the maximum is half of the time
# that the directors' settings allow (MAX_FLEET_PURGE_MS).
PURGE_DELAY_MS = (200.0, 3000.0)
PARENT_WEIGHT = 4 * CONCURRENT_ANSWERS


class Recorder(Protocol):
    """Destination of the records."""

    def add(self, *record: object) -> None:
        """Append a record, which consists of its type and its values."""


@dataclass(slots=True)
class NodeContext:
    """Objects that all nodes of the process share.

    Attributes:
        servers: All nodes by name.
        is_outdated: Returns whether an answer violates a purge of which the director was notified.
            The arguments are the director (None if unknown), the command's fields, the second item
            of the answer and the time.
    """

    loop: EventLoop
    fleet: NodeFleet
    records: Recorder
    is_outdated: Callable[[int | None, dict[str, str], bytes, float], bool]
    servers: dict[str, "NodeServer"] = field(default_factory=dict)


@dataclass(slots=True, eq=False)
class _Session:
    """A connection from a director.

    `director` is the director's number; None until the first line is received.
    """

    connection: LoopConnection
    director: int | None = None
    arrays: resp.ArrayDecoder = field(
        default_factory=lambda: resp.ArrayDecoder(RECEIVE_BUFFER_SIZE)
    )
    cancelled: CancelledCommands = field(default_factory=CancelledCommands)


def build_node_fleet(scenario: FleetScenario) -> NodeFleet:
    """Build all nodes of the scenario, with empty stores."""
    nodes = {site.name: SimulatedNode(_node_spec(scenario, site)) for site in scenario.node_sites()}
    return NodeFleet(nodes, set(WRITE_CLASSES))


def _node_spec(scenario: FleetScenario, site: NodeSite) -> NodeSpec:
    if site.kind == CACHE:
        return _cache_spec(scenario, site)
    if site.kind == PARENT:
        return _parent_spec(scenario, site)
    return NodeSpec(
        site.name,
        ORIGIN,
        site.zone,
        scenario.origin_capacity,
        1.0,
        scenario.origin_ms,
        weight=PARENT_WEIGHT,
    )


def _cache_spec(scenario: FleetScenario, site: NodeSite) -> NodeSpec:
    return NodeSpec(
        site.name,
        CACHE,
        site.zone,
        scenario.capacity * site.capacity_factor,
        scenario.fill_cost,
        scenario.hit_ms,
        weight=round(CONCURRENT_ANSWERS * site.capacity_factor),
        initial_fraction=scenario.initial_fraction,
        slow_start_duration=scenario.slow_start_ms,
        max_copies=scenario.max_copies,
        crashes_on_overload=scenario.crashes_on_overload,
        crash_load=CACHE_CRASH_LOAD,
        crash_after=CRASH_AFTER_MS,
        crashes_when_warm=False,
    )


def _parent_spec(scenario: FleetScenario, site: NodeSite) -> NodeSpec:
    return NodeSpec(
        site.name,
        PARENT,
        site.zone,
        scenario.parent_capacity,
        1.0,
        scenario.parent_ms,
        weight=PARENT_WEIGHT,
        initial_fraction=scenario.initial_fraction,
        slow_start_duration=scenario.parent_slow_start_ms,
        max_copies=scenario.parent_max_copies,
        crashes_on_overload=scenario.crashes_on_overload,
        crash_load=PARENT_CRASH_LOAD,
        crash_after=CRASH_AFTER_MS,
        crashes_when_warm=False,
    )


def read_director_line(
    connection: LoopConnection,
    on_director: Callable[[int], None],
    on_data: Callable[[bytes], None],
) -> None:
    """Read the first line of a connection, by which the fault proxy identifies the director.

    Args:
        connection: Accepted connection.
        on_director: Called once with the number of the director.
        on_data: Called with all bytes after the first line.
    """
    first_bytes = b""

    def on_first_bytes(data: bytes) -> None:
        nonlocal first_bytes
        first_bytes += data
        line, newline, remaining = first_bytes.partition(b"\n")
        if newline:
            connection.on_data = on_data
            on_director(int(line[1:]))
            if remaining and not connection.is_closed:
                on_data(remaining)

    connection.on_data = on_first_bytes


class NodeServer:
    """One node with its listener, its connections, and the faults that only some directors observe.

    Attributes:
        port: Port of the node, which stays the same after a restart.
        listener: Listening socket; None while the node is down.
        sessions: All accepted connections, including those whose first line is not yet received.
            All of them must be closed when the node crashes: a command on a connection that
            outlived the node would be counted as another crash of the node.
        failing_for: Directors that get an error for each command PULL.
        slow_for: Directors whose answers to PULL take longer by the factor `slowdown`.
    """

    def __init__(self, context: NodeContext, node: SimulatedNode, zone: str) -> None:
        self.context = context
        self.node = node
        self.zone = zone
        self.reserved_port = ReservedPort(ADDRESS)
        self.port = self.reserved_port.port
        self.listener: socket.socket | None = None
        self.sessions: dict[LoopConnection, _Session] = {}
        self.failing_for: frozenset[int] = frozenset()
        self.slow_for: frozenset[int] = frozenset()
        self.slowdown = 1.0
        self.listen()

    def listen(self) -> None:
        """Start to listen at the node's port, unless the node already listens."""
        if self.listener is None:
            self.listener = self.context.loop.listen(ADDRESS, self.port, self._on_connection)

    def crash(self) -> None:
        """Stop the node like a killed process: close its listener and reset its connections.

        A message to the lab makes the fault proxy refuse connections to the node.
        """
        self.node.is_alive = False
        if self.listener is not None:
            self.context.loop.stop_listening(self.listener)
            self.listener = None
        for connection in list(self.sessions):
            self._remove_session(connection)
            connection.close(reset=True)
        send_message(deaf=self.node.spec.name)

    def restart(self) -> None:
        """Restart the node without stored copies; its slow start begins again.

        A message to the lab makes the fault proxy accept connections to the node again.
        """
        node = self.node
        node.reset()
        node.started_at = now_ms()
        node.state = "SERVING"
        node.is_alive = True
        node.is_silent = False
        self.listen()
        send_message(hears=node.spec.name)

    def _on_connection(self, accepted: socket.socket) -> None:
        connection = LoopConnection(self.context.loop, accepted)
        session = _Session(connection)
        self.sessions[connection] = session

        def on_director(director: int) -> None:
            session.director = director
            self._record("conn", director, self.node.spec.name, 1)

        connection.on_close = lambda: self._remove_session(connection)
        read_director_line(connection, on_director, lambda data: self._on_data(session, data))

    def _remove_session(self, connection: LoopConnection) -> None:
        session = self.sessions.pop(connection, None)
        if session is not None and session.director is not None:
            self._record("conn", session.director, self.node.spec.name, -1)

    def _on_data(self, session: _Session, data: bytes) -> None:
        view = memoryview(data)
        while len(view) and not session.connection.is_closed:
            buffer = session.arrays.writable_view()
            count = min(len(buffer), len(view))
            buffer[:count] = view[:count]
            view = view[count:]
            for items in session.arrays.decode(count):
                self._on_command(session, resp.parse_command(items))
                if session.connection.is_closed:
                    return

    def _on_command(self, session: _Session, items: list[bytes]) -> None:
        command_name = items[0]
        command_id = items[1]
        if command_name == b"KILL":
            session.cancelled.add(command_id)
        elif command_name == b"PULL":
            self._pull(session, command_id, items[2])
        else:
            self._check_health(session, command_id, command_name)

    def _check_health(self, session: _Session, command_id: bytes, command_name: bytes) -> None:
        now = now_ms()
        self._record("probe", session.director, self.node.spec.name, command_name.decode(), at=now)
        if self.node.is_silent:
            return
        report = self._load_report(now) if command_name == b"METER" else b"-"
        self._answer(session, command_id, (b"FIT", report), now + ANSWER_DELAY_MS)

    def _load_report(self, now: float) -> bytes:
        node = self.node
        capacity = max(1.0, node.spec.capacity * node.capacity_fraction(now))
        utilization = min(1.0, node.window_load / capacity)
        return b"rep=util:%.2f;inflight:%d" % (utilization, len(node.fills_in_progress))

    def _pull(self, session: _Session, command_id: bytes, encoded_fields: bytes) -> None:
        now = now_ms()
        fields = decode_fields(encoded_fields)
        # Each write without an idempotency key gets a key of its own. Under one empty key, all of
        # them would count as repetitions of one write.
        fields.setdefault("dedupe", "mark-" + command_id.decode())
        if session.director in self.failing_for:
            self._record_attempt(session, fields, command_id, Reply((b"BROKE", b"-"), None), now)
            items = (b"BROKE", b"-", b"")
            self._answer(session, command_id, items, now + ANSWER_DELAY_MS)
            return
        fleet = self.context.fleet
        stale_answers = fleet.stale_answers
        reply = fleet.handle_pull(self.node.spec.name, fields)
        is_outdated = self.context.is_outdated(session.director, fields, reply.items[1], now)
        # Undo the count of `handle_pull`. The audit counts outdated answers per director, from the
        # director's notification on.
        fleet.stale_answers = stale_answers
        self._record_attempt(session, fields, command_id, reply, now, is_outdated)
        if not self.node.is_alive:
            self._record("fell", self.node.spec.name, at=now)
            self.crash()
            return
        self._crash_overloaded_source(fields.get("miss", ""), now)
        if reply.due_at is not None:
            due_at = reply.due_at
            if session.director in self.slow_for:
                due_at = now + (due_at - now) * self.slowdown
            self._answer(session, command_id, reply.items, due_at)

    def _crash_overloaded_source(self, name: str, now: float) -> None:
        source = self.context.servers.get(name)
        if source is not None and not source.node.is_alive and source.listener is not None:
            self._record("fell", source.node.spec.name, at=now)
            source.crash()

    def _record_attempt(
        self,
        session: _Session,
        fields: dict[str, str],
        command_id: bytes,
        reply: Reply,
        now: float,
        is_outdated: bool = False,
    ) -> None:
        self._record(
            "attempt",
            session.director,
            self.node.spec.name,
            fields.get("lane", ""),
            fields.get("name", ""),
            fields.get("miss", ""),
            fields.get("f", ""),
            reply.items[0].decode(),
            decode_fields(reply.items[1]).get("why", ""),
            int(is_outdated),
            command_id.decode(),
            at=now,
        )

    def _record(self, record_type: str, *values: object, at: float | None = None) -> None:
        self.context.records.add(record_type, now_ms() if at is None else at, *values)

    def _answer(
        self, session: _Session, command_id: bytes, items: tuple[bytes, ...], due_at: float
    ) -> None:
        def send() -> None:
            node = self.node
            if command_id not in session.cancelled and not node.is_silent and node.is_alive:
                session.connection.write(resp.command(command_id, *items))

        if due_at <= now_ms():
            send()
        else:
            self.context.loop.call_at(due_at, send)


def schedule_purge(
    call_at: Callable[[float, Callable[[], None]], None],
    nodes: list[SimulatedNode],
    object_id: str,
    now: float,
    rng: random.Random,
) -> None:
    """Make all nodes remove their copies of an object that are older than `now`.

    Each node removes its copy after a random delay.

    Args:
        call_at: Schedules a function at a time in ms.
        nodes: The nodes; their order determines the order of the random draws.
        object_id: Id of the object.
        now: Time of the purge in ms.
        rng: Source of randomness.
    """
    copy_key = (object_id, "0")
    for node in nodes:

        def drop_copy(node: SimulatedNode = node) -> None:
            if node.copies.get(copy_key, now) < now:
                node.copies.pop(copy_key, None)

        call_at(now + rng.uniform(*PURGE_DELAY_MS), drop_copy)
