"""What staff want of boxes, set over the list: which are drained now, and what has become of each
drain. Pure.

A drain names a box. It binds the life of the box that it first meets (or every life, as asked), and
a life is the box's address and start together: one that restarted, or that the list tells at
another address, has a new one. Another box at the same address has another name and is never meant.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from enum import StrEnum
from typing import Any

from ..policy.model import EndpointState, EndpointUpdate

DISAGREES = 10_000.0  # ms for which list and intent may differ before that is worth a line


class Phase(StrEnum):
    WAITING = "waiting"
    BINDING = "binding"
    OVER = "over"


@dataclass(slots=True, frozen=True)
class Want:
    """One drain as staff have it."""

    box: str
    every_life: bool = False
    forced: bool = False


@dataclass(slots=True, frozen=True)
class Life:
    address: tuple[str, int]
    started: float


@dataclass(slots=True)
class Drain:
    """One drain and what has become of it."""

    want: Want
    phase: Phase = Phase.WAITING
    since: float = 0.0
    life: Life | None = None  # which it was first met in
    ready_since: float = 0.0  # since when the list has said ready meanwhile; 0: it doesn't
    told: bool = False


def wants(tree: Mapping[str, Any]) -> dict[str, Want]:
    """Of a datastore's tree."""
    found = tree.get("fleet", {}).get("drains", {}).get("drain", [])
    return {
        one["box"]: Want(
            one["box"], one.get("scope") == "every-life", bool(one.get("forced", False))
        )
        for one in found
    }


@dataclass(slots=True)
class DrainIntent:
    """All drains, over the list as it was told last."""

    drains: dict[str, Drain] = field(default_factory=dict)
    listed: dict[str, EndpointUpdate] = field(default_factory=dict)

    def copy(self) -> "DrainIntent":
        return DrainIntent(
            {name: replace(drain) for name, drain in self.drains.items()}, dict(self.listed)
        )

    def want(self, now: float, wanted: Mapping[str, Want]) -> list[str]:
        """Staff's drains have changed; gives the boxes whose effective state may have."""
        touched = [name for name in self.drains if name not in wanted]
        for name in touched:
            del self.drains[name]
        for name, want in wanted.items():
            drain = self.drains.get(name)
            if drain is None or drain.want != want:
                anew = drain is None or drain.phase == Phase.OVER
                self.drains[name] = Drain(want, since=now) if anew else replace(drain, want=want)
                touched.append(name)
        for name in touched:
            self._meet(now, name)
        return touched

    def update_endpoints(self, now: float, entries: Iterable[EndpointUpdate], whole: bool) -> None:
        """What the list tells."""
        if whole:
            self.listed = {}
        for entry in entries:
            if entry.state == EndpointState.GONE:
                self.listed.pop(entry.name, None)
            else:
                self.listed[entry.name] = entry
            self._meet(now, entry.name)
        if whole:
            for name in self.drains:
                self._meet(now, name)

    def _meet(self, now: float, name: str) -> None:
        drain, entry = self.drains.get(name), self.listed.get(name)
        if drain is None or drain.phase == Phase.OVER:
            return
        if entry is None:
            drain.ready_since = 0.0
            if drain.life is None:
                return
            # Gone for now: its life may go on, as a list that breaks off tells it again
            return
        life = Life(entry.address, entry.started_at)
        if drain.life is None:
            drain.life = life
        if drain.life != life and not drain.want.every_life:
            drain.phase, drain.since, drain.ready_since = Phase.OVER, now, 0.0
            return
        drain.life = life
        if drain.phase != Phase.BINDING:
            drain.phase, drain.since = Phase.BINDING, now
        if entry.state != EndpointState.READY:
            drain.ready_since = 0.0
        elif not drain.ready_since:
            drain.ready_since = now

    def effective_state(self, entry: EndpointUpdate) -> EndpointState:
        """The state that this director goes by."""
        drain = self.drains.get(entry.name)
        if drain is None or drain.phase != Phase.BINDING or entry.state != EndpointState.READY:
            return entry.state
        return EndpointState.DRAINING

    def disagreeing(self, now: float) -> list[Drain]:
        """Drains that the list has contradicted for long, once each."""
        found = [
            drain
            for drain in self.drains.values()
            if drain.ready_since and now > drain.ready_since + DISAGREES and not drain.told
        ]
        for drain in found:
            drain.told = True
        return found


def left_without(
    listed: Mapping[str, EndpointUpdate],
    before: Iterable[str],
    wanted: Mapping[str, Want],
    is_cache: Any,
    cells: Mapping[str, Iterable[str]],
) -> str:
    """Why new drains may not be: a location or cell that has ready caches now would have none.
    Empty: they may. `before`: boxes drained already; `cells`: caches by cell; forced drains are let
    through.
    """
    new = {name for name, want in wanted.items() if name not in set(before) and not want.forced}
    if not new:
        return ""
    drained = set(wanted) | set(before)
    zones: dict[int, list[str]] = {}
    for name, entry in listed.items():
        if is_cache(entry) and entry.state == EndpointState.READY:
            zones.setdefault(entry.zone, []).append(name)
    for zone, names in sorted(zones.items()):
        if new & set(names) and set(names) <= drained:
            return f"location {zone} would be left without caches: {', '.join(sorted(names))}"
    for cell, names in sorted(cells.items()):
        ready = {
            name for name in names if name in listed and listed[name].state == EndpointState.READY
        }
        if new & ready and ready <= drained:
            return f"cell {cell} would be left without caches: {', '.join(sorted(ready))}"
    return ""
