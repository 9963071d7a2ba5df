"""The simulated network between directors and nodes, and the execution of commands at nodes.

A node is a simulated cache, parent or origin.
"""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..lab.fleet.network_rules import DOWN, UP, ActiveRules, StreamState
from ..lab.fleet.observations import AttemptRecord, HealthCheckRecord, NodeCrashRecord
from ..net.upstream_connection import PING_TIMEOUT
from ..policy.connection_reuse import SILENCE_BEFORE_PING
from ..policy.model import Attempt, Outcome
from ..standins.node_kinds import CACHE
from ..standins.node_protocol import decode_fields
from .directors import SimulatedDirector

if TYPE_CHECKING:
    from .simulation import Simulation

NODE_DELAY_MS = 0.5  # one-way delay between a director and a node, as through the fault proxy
MESSAGE_BYTES = 300  # assumed size of a command or an answer, for rules that limit bytes per second
ERROR_DELAY_MS = 1.0  # time until a node with injected errors answers


@dataclass(frozen=True, slots=True)
class _HeldMessage:
    """A message that is held until the cut of its path ends.

    Attributes:
        director: Number of the director.
        node: Name of the node.
        direction: `UP` from the director to the node, `DOWN` back.
        deliver: Function that delivers the message.
    """

    director: int
    node: str
    direction: str
    deliver: Callable[[], None]


class SimulatedNetwork:
    """The network, which carries commands and answers according to the active network rules.

    A path is the connection of one director to one node.

    Attributes:
        rules: The active network rules.
        streams: State of each direction of a path, by director number, node name and direction.
        held_messages: Messages on paths that are cut.
        in_flight: Attempts in flight and their directors, by node name.
        failing_for: Numbers of the directors to which a node answers with errors, by node name.
        slow_for: Numbers of the directors to which a node answers slowly, and the factor of the
            slowdown, by node name.
        purge_notified_at: Time at which a director was notified of the purge of an object, by
            director number and object id.
    """

    def __init__(self, simulation: "Simulation") -> None:
        self.simulation = simulation
        self.clock = simulation.clock
        self.fleet = simulation.fleet
        self.observations = simulation.observations
        self.rules = ActiveRules()
        self.streams: dict[tuple[int, str, str], StreamState] = defaultdict(StreamState)
        self.held_messages: list[_HeldMessage] = []
        self.in_flight: dict[str, dict[Attempt, SimulatedDirector]] = defaultdict(dict)
        self.failing_for: dict[str, frozenset[int]] = {}
        self.slow_for: dict[str, tuple[frozenset[int], float]] = {}
        self.purge_notified_at: dict[tuple[int, str], float] = {}

    def send_attempt(
        self, director: SimulatedDirector, attempt: Attempt, name: str, fields: dict[str, str]
    ) -> None:
        """Send a director's command to a node; the attempt is reset if a rule now resets the path.

        A rule that is added later does not reset attempts in flight.
        """
        self.in_flight[name][attempt] = director
        if self.rules.rules and self.rules.resets_path(
            self._path_kind(name), director.number, name
        ):
            self._fail_attempt_later(director, attempt, name, Outcome.RESET)
            return
        self._transmit(
            director.number,
            name,
            UP,
            lambda: self._execute_command(director, attempt, name, fields),
        )

    def check_health(self, director: SimulatedDirector, name: str) -> None:
        """Send a director's health check to a node.

        The node answers unless it is down or silent, or the path is cut in at least one direction.
        Network rules other than cuts have no effect on health checks.
        """
        since_start_s = self.simulation.since_start_s()
        record = HealthCheckRecord(since_start_s, director.number, name, "METER")
        self.observations.other_records["probe"].append(record)
        path_kind = self._path_kind(name)
        if any(
            self.rules.cuts_path(path_kind, director.number, name, direction)
            for direction in (UP, DOWN)
        ):
            return  # the answer would be held until after the connection has timed out
        node = self.fleet.nodes[name]
        if node.is_alive and not node.is_silent:

            def answer() -> None:
                if not director.has_exited:
                    director.receive_health_check_answer(name)

            self.clock.call_at(self.clock() + 2.0 * NODE_DELAY_MS, answer)

    def release_held_messages(self) -> None:
        """Transmit the held messages again after a change of the rules.

        Messages on paths that are still cut are held again.
        """
        held = self.held_messages
        self.held_messages = []
        for message in held:
            self._transmit(message.director, message.node, message.direction, message.deliver)

    def reset_attempts_at(self, name: str) -> None:
        """Reset all attempts in flight at a crashed node."""
        attempts = self.in_flight[name]
        self.in_flight[name] = {}
        for attempt, director in attempts.items():
            self._reset_attempt_later(director, attempt)

    def _reset_attempt_later(self, director: SimulatedDirector, attempt: Attempt) -> None:
        due_at = self.clock() + NODE_DELAY_MS
        self.clock.call_at(due_at, lambda: director.finish_attempt(attempt, Outcome.RESET))

    def _path_kind(self, name: str) -> str:
        return "cache" if self.simulation.sites[name].kind == CACHE else "parent"

    def _transmit(
        self, director: int, name: str, direction: str, deliver: Callable[[], None]
    ) -> None:
        path_kind = self._path_kind(name)
        if self.rules.cuts_path(path_kind, director, name, direction):
            self.held_messages.append(_HeldMessage(director, name, direction, deliver))
            ping_times_out_at = self.clock() + SILENCE_BEFORE_PING / 2.0 + PING_TIMEOUT
            self.clock.call_at(
                ping_times_out_at, lambda: self._time_out_ping(director, name, direction)
            )
            return
        due_at = self.clock() + NODE_DELAY_MS
        if self.rules.rules:
            due_at = self.rules.stream_due_at(
                path_kind,
                director,
                name,
                direction,
                due_at,
                MESSAGE_BYTES,
                self.streams[director, name, direction],
                self.simulation.random,
            )
        self.clock.call_at(due_at, deliver)

    def _time_out_ping(self, number: int, name: str, direction: str) -> None:
        """Reset the director's attempts at a node if their path is still cut.

        This stands for a ping without an answer, after which a director closes the connection. The
        messages that are held on it then have no effect, because their attempts have ended.
        """
        if self.rules.cuts_path(self._path_kind(name), number, name, direction):
            for attempt, director in list(self.in_flight[name].items()):
                if director.number == number:
                    self._fail_attempt(director, attempt, name, Outcome.RESET)

    def _fail_attempt_later(
        self, director: SimulatedDirector, attempt: Attempt, name: str, outcome: Outcome
    ) -> None:
        due_at = self.clock() + NODE_DELAY_MS
        self.clock.call_at(due_at, lambda: self._fail_attempt(director, attempt, name, outcome))

    def _fail_attempt(
        self, director: SimulatedDirector, attempt: Attempt, name: str, outcome: Outcome
    ) -> None:
        self.in_flight[name].pop(attempt, None)
        director.finish_attempt(attempt, outcome)

    def _execute_command(
        self, director: SimulatedDirector, attempt: Attempt, name: str, fields: dict[str, str]
    ) -> None:
        """Execute a command at its node and schedule the answer.

        A crashed node gives no answer: the attempt fails. A command whose attempt or director has
        ended is dropped.
        """
        node = self.fleet.nodes[name]
        number = director.number
        now = self.clock()
        if not node.is_alive:
            self._fail_attempt_later(director, attempt, name, Outcome.CONNECT_FAILED)
            return
        if attempt.outcome is not None or director.has_exited:
            self.in_flight[name].pop(attempt, None)
            return
        items: tuple[bytes, ...] = (b"BROKE", b"-", b"")
        due_at: float | None = now + ERROR_DELAY_MS
        is_outdated = False
        if number not in self.failing_for.get(name, ()):
            reply = self.fleet.handle_pull(name, fields)
            items = reply.items
            due_at = reply.due_at
            is_outdated = self._is_outdated(number, fields, items[1], now)
        self._record_attempt(director, attempt, name, fields, items, is_outdated)
        self._record_crashes({name, fields["miss"]} - {""})
        if due_at is None or not node.is_alive:
            return
        directors, slowdown = self.slow_for.get(name, (frozenset[int](), 1.0))
        due_at = now + (due_at - now) * (slowdown if number in directors else 1.0)
        self.clock.call_at(due_at, lambda: self._send_answer(director, attempt, name, items))

    def _record_attempt(
        self,
        director: SimulatedDirector,
        attempt: Attempt,
        name: str,
        fields: dict[str, str],
        items: tuple[bytes, ...],
        is_outdated: bool,
    ) -> None:
        context = attempt.request.context
        self.observations.attempts.append(
            AttemptRecord(
                self.simulation.since_start_s(),
                director.number,
                name,
                fields["lane"],
                fields["name"],
                fields["miss"],
                fields["f"],
                items[0].decode(),
                decode_fields(items[1]).get("why", ""),
                int(is_outdated),
                f"{context.number}-{context.tries}",
            )
        )

    def _record_crashes(self, names: set[str]) -> None:
        for name in names:
            node = self.fleet.nodes[name]
            if not node.is_alive and node.state != "DELETED":
                record = NodeCrashRecord(self.simulation.since_start_s(), name)
                self.observations.other_records["fell"].append(record)
                self.simulation.crash_node(name)

    def _send_answer(
        self, director: SimulatedDirector, attempt: Attempt, name: str, items: tuple[bytes, ...]
    ) -> None:
        """Send a node's answer, unless the attempt is no longer in flight or the node is silent."""
        if self.in_flight[name].pop(attempt, None) is None or self.fleet.nodes[name].is_silent:
            return
        fields = decode_fields(items[1])

        def deliver() -> None:
            if not self.simulation.defer_if_stopped(director.number, deliver):
                first_byte_delay = float(fields.get("delay", 0.0))
                director.receive_answer(
                    attempt, items[0].decode(), fields.get("why", ""), first_byte_delay
                )

        self._transmit(director.number, name, DOWN, deliver)

    def _is_outdated(
        self, director: int, fields: dict[str, str], answer: bytes, now: float
    ) -> bool:
        """Return whether an answer contains a copy from before a purge that the director knows of.

        Such answers are allowed within PURGE_PROPAGATION_MS (see `standins/nodes.py`) after the
        director's notification.
        """
        object_id = fields.get("name", "")
        issued = decode_fields(answer).get("issued")
        notified_at = self.purge_notified_at.get((director, object_id))
        if notified_at is None or issued is None:
            return False
        return self.fleet.is_outdated(object_id, float(issued), now, notified_at)
