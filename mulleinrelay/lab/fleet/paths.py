"""What a relay does with what passes between two processes: pure; time and chance are passed in.

A rule names directors, targets and what becomes of bytes and datagrams between them. All rules that
meet a path act together. TCP gives its bytes in order and whole, so loss shows as the time of a
repeat; datagrams are lost, doubled and overtaken.
"""

import random
from dataclasses import dataclass, field

from .plan import Strike

REPEAT_AFTER = 200.0  # ms until lost bytes of a TCP connection come again
UP, DOWN = "up", "down"  # from the director; to the director
NEVER = float("inf")


@dataclass(slots=True)
class Rule:
    """`directors`, `targets`: empty: all. `way`: up, down or both."""

    kinds: tuple[str, ...]
    directors: frozenset[int] = frozenset()
    targets: frozenset[str] = frozenset()
    way: str = "both"
    cut: bool = False  # nothing passes; what was sent comes once the cut is over
    reset: bool = False  # connections are reset, new ones too
    delay: float = 0.0  # ms
    jitter: float = 0.0  # ms, beyond the delay
    loss: float = 0.0  # chance
    doubled: float = 0.0  # chance, datagrams
    overtaken: float = 0.0  # chance, datagrams: a further delay of up to 50 ms
    rate: float = 0.0  # bytes a second of one connection; 0: any

    def meets(self, kind: str, director: int, target: str) -> bool:
        return (
            kind in self.kinds
            and (not self.directors or director in self.directors)
            and (not self.targets or target in self.targets)
        )


@dataclass(slots=True)
class Lane:
    """One direction of one connection: what was promised so far."""

    last: float = 0.0  # when the last bytes go on
    sent: int = 0


@dataclass(slots=True)
class Book:
    """The rules in force, by number."""

    rules: dict[int, Rule] = field(default_factory=dict)

    def on(self, kind: str, director: int, target: str, way: str) -> list[Rule]:
        return [
            rule
            for rule in self.rules.values()
            if rule.way in ("both", way) and rule.meets(kind, director, target)
        ]

    def broken(self, kind: str, director: int, target: str) -> bool:
        """Whether connections there are reset."""
        return any(
            rule.reset and rule.meets(kind, director, target) for rule in self.rules.values()
        )

    def held(self, kind: str, director: int, target: str, way: str) -> bool:
        return any(rule.cut for rule in self.on(kind, director, target, way))

    def due(
        self,
        kind: str,
        director: int,
        target: str,
        way: str,
        now: float,
        length: int,
        lane: Lane,
        draw: random.Random,
    ) -> float:
        """When bytes that came now go on; never before those that came earlier."""
        at = now
        for rule in self.on(kind, director, target, way):
            at += rule.delay + draw.random() * rule.jitter
            while rule.loss and draw.random() < min(rule.loss, 0.9):
                at += REPEAT_AFTER
            if rule.rate:
                at = max(at, lane.last + 1000.0 * length / rule.rate)
        lane.last, lane.sent = max(lane.last, at), lane.sent + length
        return lane.last

    def datagram(
        self, kind: str, director: int, target: str, way: str, now: float, draw: random.Random
    ) -> list[float]:
        """When copies of a datagram go on; none: it is lost."""
        at, copies = now, 1
        for rule in self.on(kind, director, target, way):
            if rule.cut or rule.reset or draw.random() < rule.loss:
                return []
            at += rule.delay + draw.random() * rule.jitter
            if draw.random() < rule.overtaken:
                at += 50.0 * draw.random()
            copies += draw.random() < rule.doubled
        return [at + place * draw.random() * 20.0 for place in range(copies)]


def rule_for(strike: Strike) -> Rule:
    """What a fault on paths is to the relays."""
    fault = strike.fault
    loss = (fault.by or 0.1) if fault.what == "loss" else 0.0
    return Rule(
        fault.paths,
        frozenset(strike.directors),
        frozenset(strike.nodes),
        fault.way,
        cut=fault.what == "cut",
        reset=fault.what == "reset",
        delay=(fault.by or 100.0) if fault.what == "delay" else 0.0,
        jitter=fault.jitter,
        loss=loss,
        doubled=loss,
        overtaken=loss,
        rate=1000.0 * (fault.by or 1.0) if fault.what == "trickle" else 0.0,
    )


def rule_of(held: dict) -> Rule:
    """From its words on a relay's line."""
    return Rule(
        **held
        | {
            "kinds": tuple(held["kinds"]),
            "directors": frozenset(held.get("directors", ())),
            "targets": frozenset(held.get("targets", ())),
        }
    )


def held_of(rule: Rule) -> dict:
    """The words of a rule, for a relay's line."""
    return {
        "kinds": list(rule.kinds),
        "directors": sorted(rule.directors),
        "targets": sorted(rule.targets),
        "way": rule.way,
        "cut": rule.cut,
        "reset": rule.reset,
        "delay": rule.delay,
        "jitter": rule.jitter,
        "loss": rule.loss,
        "doubled": rule.doubled,
        "overtaken": rule.overtaken,
        "rate": rule.rate,
    }
