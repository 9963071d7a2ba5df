"""Network rules: what a fault proxy does with the traffic between directors and their targets.

Pure; time and random draws are passed in. A rule names directors, targets and what becomes of bytes
and datagrams between them. All rules that match a path act together. TCP delivers its bytes in
order and complete, so loss shows as the time of a retransmission; datagrams are lost, duplicated
and reordered.
"""

import random
from dataclasses import dataclass, field
from typing import Any

from .scenario import ScenarioStep

RETRANSMISSION_MS = 200.0  # until lost bytes of a TCP connection come again
MAX_STREAM_LOSS = 0.9  # probability; more would delay a stream without end
REORDERING_MS = 50.0  # further delay, at most, of a datagram that is overtaken
DUPLICATE_MS = 20.0  # between a datagram and its duplicate, at most
DEFAULT_LOSS = 0.1
DEFAULT_DELAY_MS = 100.0
DEFAULT_TRICKLE_KB = 1.0  # a second
UP = "up"  # from the director
DOWN = "down"  # to the director


@dataclass(slots=True)
class NetworkRule:
    """One rule.

    Attributes:
        path_kinds: Kinds of paths that it matches.
        directors: Directors that it matches; empty: all.
        targets: Targets that it matches; empty: all.
        direction: up, down or both.
        is_cut: Nothing passes; what was sent is delivered when the cut is over.
        is_reset: Connections are reset, and new ones too.
        delay_ms: Delay of all traffic.
        jitter_ms: Random further delay.
        loss: Probability.
        duplication: Probability, for datagrams.
        reordering: Probability, for datagrams.
        bytes_per_s: Of one connection; 0: not limited.
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
        """Return whether the rule matches a path, in either direction."""
        return (
            path_kind in self.path_kinds
            and (not self.directors or director in self.directors)
            and (not self.targets or target in self.targets)
        )


@dataclass(slots=True)
class StreamState:
    """One direction of one connection: when its last bytes go on, and how many there were."""

    last_due_at: float = 0.0
    sent_bytes: int = 0


@dataclass(slots=True)
class ActiveRules:
    """The rules in force, by number. A path is its kind, a director and a target."""

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
        """Return whether connections on the path are reset."""
        return any(
            rule.is_reset and rule.applies_to(path_kind, director, target)
            for rule in self.rules.values()
        )

    def cuts_path(self, path_kind: str, director: int, target: str, direction: str) -> bool:
        """Return whether nothing passes in that direction."""
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
        draw: random.Random,
    ) -> float:
        """Return when bytes that came now go on; never before those that came earlier.

        Args:
            path_kind: Kind of the path.
            director: The path's director.
            target: The path's target.
            direction: UP or DOWN.
            now: When the bytes came, in ms.
            length: How many bytes they are.
            stream: The direction of the connection; it is changed.
            draw: Source of randomness.
        """
        due_at = now
        for rule in self.matching(path_kind, director, target, direction):
            due_at += rule.delay_ms + draw.random() * rule.jitter_ms
            while rule.loss and draw.random() < min(rule.loss, MAX_STREAM_LOSS):
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
        draw: random.Random,
    ) -> list[float]:
        """Return when each copy of a datagram that came now goes on; none: it is lost."""
        due_at = now
        copies = 1
        for rule in self.matching(path_kind, director, target, direction):
            if rule.is_cut or rule.is_reset or draw.random() < rule.loss:
                return []
            due_at += rule.delay_ms + draw.random() * rule.jitter_ms
            if draw.random() < rule.reordering:
                due_at += REORDERING_MS * draw.random()
            copies += draw.random() < rule.duplication
        return [due_at + index * draw.random() * DUPLICATE_MS for index in range(copies)]


def rule_for(step: ScenarioStep) -> NetworkRule:
    """Return the rule of a network fault."""
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


# Keys of a rule on a fault proxy's control channel, with the attributes that hold them
_PLAIN_KEYS = {
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
    """Return the JSON of a rule for a fault proxy's control channel."""
    return {
        "kinds": list(rule.path_kinds),
        "directors": sorted(rule.directors),
        "targets": sorted(rule.targets),
        **{key: getattr(rule, attribute) for key, attribute in _PLAIN_KEYS.items()},
    }


def decode_rule(encoded: dict[str, Any]) -> NetworkRule:
    """Return the rule that `encode_rule` encoded; keys but `kinds` may be missing."""
    return NetworkRule(
        path_kinds=tuple(encoded["kinds"]),
        directors=frozenset(encoded.get("directors", ())),
        targets=frozenset(encoded.get("targets", ())),
        **{attribute: encoded[key] for key, attribute in _PLAIN_KEYS.items() if key in encoded},
    )
