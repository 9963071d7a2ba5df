"""The paths of the simulation between directors and nodes, and what arrives at nodes."""

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
from .directors import Modelled

if TYPE_CHECKING:
    from .simulation import Simulation

NODE_DELAY_MS = 0.5  # one way between a director and a node, as on loopback with the fault proxy
MESSAGE_BYTES = 300  # of a command or an answer, for rules that limit the rate
ERROR_DELAY_MS = 1.0


@dataclass(frozen=True, slots=True)
class _HeldMessage:
    """A message that a cut holds back."""

    director: int
    node: str
    direction: str
    deliver: Callable[[], None]


class SimulatedNetwork:
    """Carries commands to nodes and answers back, by the network rules in force.

    Attributes:
        in_flight: Attempts by node, with their directors.
        failing_for: Directors that get errors, by node.
        slow_for: Directors for which a node is slower, and the factor, by node.
        purge_notified_at: When a director was notified of an object's purge.
    """

    def __init__(self, simulation: "Simulation") -> None:
        self.simulation = simulation
        self.clock = simulation.clock
        self.fleet = simulation.fleet
        self.observations = simulation.observations
        self.rules = ActiveRules()
        self.streams: dict[tuple[int, str, str], StreamState] = defaultdict(StreamState)
        self.held: list[_HeldMessage] = []
        self.in_flight: dict[str, dict[Attempt, Modelled]] = defaultdict(dict)
        self.failing_for: dict[str, frozenset[int]] = {}
        self.slow_for: dict[str, tuple[frozenset[int], float]] = {}
        self.purge_notified_at: dict[tuple[int, str], float] = {}

    def send_attempt(
        self, director: Modelled, attempt: Attempt, name: str, fields: dict[str, str]
    ) -> None:
        """Send a command of a director to a node."""
        self.in_flight[name][attempt] = director
        if self.rules.rules and self.rules.resets_path(
            self._path_kind(name), director.number, name
        ):
            self._fail_later(director, attempt, name, Outcome.RESET)
            return
        self._carry(director.number, name, UP, lambda: self._reach(director, attempt, name, fields))

    def check_health(self, director: Modelled, name: str) -> None:
        """Poll a node's load report for a director."""
        since_start_s = self.simulation.since_start_s()
        record = HealthCheckRecord(since_start_s, director.number, name, "METER")
        self.observations.other_records["probe"].append(record)
        path_kind = self._path_kind(name)
        if any(
            self.rules.cuts_path(path_kind, director.number, name, direction)
            for direction in (UP, DOWN)
        ):
            return  # a cut holds the answer; the connection is ended meanwhile
        node = self.fleet.nodes[name]
        if node.is_alive and not node.is_silent:

            def answer() -> None:
                if not director.gone:
                    director.health_check_answered(name)

            self.clock.call_at(self.clock() + 2.0 * NODE_DELAY_MS, answer)

    def release_held(self) -> None:
        """Send on what was held, after a change of the rules."""
        held = self.held
        self.held = []
        for message in held:
            self._carry(message.director, message.node, message.direction, message.deliver)

    def reset_attempts_at(self, name: str) -> None:
        """End all attempts at a node that has crashed."""
        attempts = self.in_flight[name]
        self.in_flight[name] = {}
        for attempt, director in attempts.items():
            self._end_later(director, attempt)

    def _end_later(self, director: Modelled, attempt: Attempt) -> None:
        due_at = self.clock() + NODE_DELAY_MS
        self.clock.call_at(due_at, lambda: director.ended(attempt, Outcome.RESET))

    def _path_kind(self, name: str) -> str:
        return "cache" if self.simulation.sites[name].kind == CACHE else "parent"

    def _carry(self, director: int, name: str, direction: str, deliver: Callable[[], None]) -> None:
        path_kind = self._path_kind(name)
        if self.rules.cuts_path(path_kind, director, name, direction):
            self.held.append(_HeldMessage(director, name, direction, deliver))
            ping_fails_at = self.clock() + SILENCE_BEFORE_PING / 2.0 + PING_TIMEOUT
            self.clock.call_at(ping_fails_at, lambda: self._fail_ping(director, name, direction))
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

    def _fail_ping(self, number: int, name: str, direction: str) -> None:
        """End a connection that is still cut, as a director does where a ping is not answered.

        Its attempts are lost, and what was held never arrives.
        """
        if self.rules.cuts_path(self._path_kind(name), number, name, direction):
            for attempt, director in list(self.in_flight[name].items()):
                if director.number == number:
                    self._fail(director, attempt, name, Outcome.RESET)

    def _fail_later(
        self, director: Modelled, attempt: Attempt, name: str, outcome: Outcome
    ) -> None:
        due_at = self.clock() + NODE_DELAY_MS
        self.clock.call_at(due_at, lambda: self._fail(director, attempt, name, outcome))

    def _fail(self, director: Modelled, attempt: Attempt, name: str, outcome: Outcome) -> None:
        self.in_flight[name].pop(attempt, None)
        director.ended(attempt, outcome)

    def _reach(
        self, director: Modelled, attempt: Attempt, name: str, fields: dict[str, str]
    ) -> None:
        """A command has reached its node."""
        node = self.fleet.nodes[name]
        number = director.number
        now = self.clock()
        if not node.is_alive:
            self._fail_later(director, attempt, name, Outcome.CONNECT_FAILED)
            return
        if attempt.outcome is not None or director.gone:
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
        self._crash_overloaded({name, fields["miss"]} - {""})
        if due_at is None or not node.is_alive:
            return
        directors, slowdown = self.slow_for.get(name, (frozenset[int](), 1.0))
        due_at = now + (due_at - now) * (slowdown if number in directors else 1.0)
        self.clock.call_at(due_at, lambda: self._answer(director, attempt, name, items))

    def _record_attempt(
        self,
        director: Modelled,
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

    def _crash_overloaded(self, names: set[str]) -> None:
        for name in names:
            node = self.fleet.nodes[name]
            if not node.is_alive and node.state != "DELETED":
                record = NodeCrashRecord(self.simulation.since_start_s(), name)
                self.observations.other_records["fell"].append(record)
                self.simulation.crash_node(name)

    def _answer(
        self, director: Modelled, attempt: Attempt, name: str, items: tuple[bytes, ...]
    ) -> None:
        """A node sends its answer."""
        if self.in_flight[name].pop(attempt, None) is None or self.fleet.nodes[name].is_silent:
            return
        fields = decode_fields(items[1])

        def deliver() -> None:
            if not self.simulation.defer_if_stopped(director.number, deliver):
                waited = float(fields.get("delay", 0.0))
                director.answered(attempt, items[0].decode(), fields.get("why", ""), waited)

        self._carry(director.number, name, DOWN, deliver)

    def _is_outdated(
        self, director: int, fields: dict[str, str], answer: bytes, now: float
    ) -> bool:
        """Whether it is an older copy than a purge that the director knew of for over a second."""
        object_id = fields.get("name", "")
        issued = decode_fields(answer).get("issued")
        notified_at = self.purge_notified_at.get((director, object_id))
        if notified_at is None or issued is None:
            return False
        return self.fleet.is_outdated(object_id, float(issued), now, notified_at)
