"""Network rules: the faults that a proxy applies to traffic between directors and their targets.

No I/O and no clock: the time and the random generator are arguments. A rule selects paths by their
kind, director and target, and defines the treatment of bytes and datagrams on these paths. If
several rules match a path, all of them apply. TCP delivers all bytes in order, so loss on a
connection appears as the delay of a retransmission; datagrams are lost, duplicated and reordered.
"""

import random
from dataclasses import dataclass, field
from typing import Any

from .scenario import ScenarioStep

RETRANSMISSION_MS = 200.0  # delay of lost bytes of a TCP connection
MAX_STREAM_LOSS = 0.9  # probability; at 1 a stream would be delayed forever
# Maximum additional delay of a datagram that is chosen for reordering, so that later ones overtake
# it
MAX_REORDERING_MS = 50.0
MAX_DUPLICATE_MS = 20.0  # maximum delay of the first duplicate after its datagram
DEFAULT_LOSS = 0.1
DEFAULT_DELAY_MS = 100.0
DEFAULT_TRICKLE_KB = 1.0  # per second
UP = "up"  # from the director
DOWN = "down"  # to the director


@dataclass(slots=True)
class NetworkRule:
    """One rule: the paths that it matches, and the faults on these paths.

    Attributes:
        path_kinds: Matching kinds of paths.
        directors: Matching directors; empty for all.
        targets: Names of the matching targets; empty for all. A target is a node, the event stream,
            or a director, whose name is its number.
        direction: Direction in which the faults apply: up (from the director), down or both. A
            reset of connections ignores it.
        is_cut: Whether no traffic passes. Bytes of a connection are held and delivered after the
            cut; datagrams are lost.
        is_reset: Whether existing and new connections are reset; datagrams are lost.
        delay_ms: Fixed delay of all traffic.
        jitter_ms: Maximum random delay in addition to the fixed delay.
        loss: Probability that a datagram, or a transmission of a block of bytes on a connection, is
            lost. Lost bytes are transmitted again, and may be lost again.
        duplication: Probability that a datagram is duplicated.
        reordering: Probability that a datagram gets a random additional delay, so that later ones
            can overtake it.
        bytes_per_s: Rate limit of each direction of a connection; 0 for no limit.
    """

    path_kinds: tuple[str, ...]
    directors: frozenset[int] = frozenset()
    targets: frozenset[str] = frozenset()
    direction: str = "both"
    is_cut: bool = False
    is_reset: bool = False
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    loss: float = 0.0
    duplication: float = 0.0
    reordering: float = 0.0
    bytes_per_s: float = 0.0

    def applies_to(self, path_kind: str, director: int, target: str) -> bool:
        """Return whether the rule matches a path, whatever the direction of the rule."""
        return (
            path_kind in self.path_kinds
            and (not self.directors or director in self.directors)
            and (not self.targets or target in self.targets)
        )


@dataclass(slots=True)
class StreamState:
    """State of one direction of a connection."""

    last_due_at: float = 0.0  # when the last bytes are due, in ms
    sent_bytes: int = 0  # number of bytes so far, including those that are not due yet


@dataclass(slots=True)
class ActiveRules:
    """The active rules by number. A path consists of its kind, a director and a target."""

    rules: dict[int, NetworkRule] = field(default_factory=dict)

    def matching(
        self, path_kind: str, director: int, target: str, direction: str
    ) -> list[NetworkRule]:
        """Return the rules that match one direction of a path."""
        return [
            rule
            for rule in self.rules.values()
            if rule.direction in ("both", direction)
            and rule.applies_to(path_kind, director, target)
        ]

    def resets_path(self, path_kind: str, director: int, target: str) -> bool:
        """Return whether a rule resets the connections on this path."""
        return any(
            rule.is_reset and rule.applies_to(path_kind, director, target)
            for rule in self.rules.values()
        )

    def cuts_path(self, path_kind: str, director: int, target: str, direction: str) -> bool:
        """Return whether a cut blocks this direction of the path."""
        return any(rule.is_cut for rule in self.matching(path_kind, director, target, direction))

    def stream_due_at(
        self,
        path_kind: str,
        director: int,
        target: str,
        direction: str,
        now: float,
        length: int,
        stream: StreamState,
        rng: random.Random,
    ) -> float:
        """Return when bytes received now are due at the other end, in ms.

        They are never due before earlier bytes of the stream. Cuts and resets are not considered.

        Args:
            path_kind: Kind of the path.
            director: Director of the path.
            target: Target of the path.
            direction: UP or DOWN.
            now: Time in ms at which the bytes were received.
            length: Number of bytes.
            stream: State of this direction of the connection, which the method updates.
            rng: Source of randomness.
        """
        due_at = now
        for rule in self.matching(path_kind, director, target, direction):
            due_at += rule.delay_ms + rng.random() * rule.jitter_ms
            while rule.loss and rng.random() < min(rule.loss, MAX_STREAM_LOSS):
                due_at += RETRANSMISSION_MS
            if rule.bytes_per_s:
                due_at = max(due_at, stream.last_due_at + 1000.0 * length / rule.bytes_per_s)
        stream.last_due_at = max(stream.last_due_at, due_at)
        stream.sent_bytes += length
        return stream.last_due_at

    def datagram_due_times(
        self,
        path_kind: str,
        director: int,
        target: str,
        direction: str,
        now: float,
        rng: random.Random,
    ) -> list[float]:
        """Return when the datagram and its duplicates are due, in ms; empty if it is lost."""
        due_at = now
        copies = 1
        for rule in self.matching(path_kind, director, target, direction):
            if rule.is_cut or rule.is_reset or rng.random() < rule.loss:
                return []
            due_at += rule.delay_ms + rng.random() * rule.jitter_ms
            if rng.random() < rule.reordering:
                due_at += MAX_REORDERING_MS * rng.random()
            copies += rng.random() < rule.duplication
        return [due_at + index * rng.random() * MAX_DUPLICATE_MS for index in range(copies)]


def rule_for(step: ScenarioStep) -> NetworkRule:
    """Return the rule that implements a network fault.

    A fault `loss` also duplicates and reorders datagrams, with the same probability.
    """
    fault = step.fault
    loss = (fault.amount or DEFAULT_LOSS) if fault.kind == "loss" else 0.0
    delay_ms = (fault.amount or DEFAULT_DELAY_MS) if fault.kind == "delay" else 0.0
    trickle_kb = (fault.amount or DEFAULT_TRICKLE_KB) if fault.kind == "trickle" else 0.0
    return NetworkRule(
        path_kinds=fault.path_kinds,
        directors=frozenset(step.directors),
        targets=frozenset(step.nodes),
        direction=fault.direction,
        is_cut=fault.kind == "cut",
        is_reset=fault.kind == "reset",
        delay_ms=delay_ms,
        jitter_ms=fault.jitter_ms,
        loss=loss,
        duplication=loss,
        reordering=loss,
        bytes_per_s=1000.0 * trickle_kb,
    )


# Attribute of NetworkRule by its key in an encoded rule on a fault proxy's control channel
_ATTRIBUTES_BY_KEY = {
    "way": "direction",
    "cut": "is_cut",
    "reset": "is_reset",
    "delay": "delay_ms",
    "jitter": "jitter_ms",
    "loss": "loss",
    "doubled": "duplication",
    "overtaken": "reordering",
    "rate": "bytes_per_s",
}


def encode_rule(rule: NetworkRule) -> dict[str, Any]:
    """Encode a rule as an object that can be sent as JSON on a fault proxy's control channel."""
    return {
        "kinds": list(rule.path_kinds),
        "directors": sorted(rule.directors),
        "targets": sorted(rule.targets),
        **{key: getattr(rule, attribute) for key, attribute in _ATTRIBUTES_BY_KEY.items()},
    }


def decode_rule(encoded: dict[str, Any]) -> NetworkRule:
    """Decode a rule from `encode_rule`; all keys except `kinds` are optional."""
    return NetworkRule(
        path_kinds=tuple(encoded["kinds"]),
        directors=frozenset(encoded.get("directors", ())),
        targets=frozenset(encoded.get("targets", ())),
        **{
            attribute: encoded[key]
            for key, attribute in _ATTRIBUTES_BY_KEY.items()
            if key in encoded
        },
    )
