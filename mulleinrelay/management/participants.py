"""The running director as management reaches it: its state as a tree, and the parts that take a
change over.
"""

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from ..cells import admission_controller, migrations, store
from ..cells.model import Assignment
from ..config.platform import DirectorConfig
from ..coordinator import RequestCoordinator
from ..errors import ConfigError
from ..policy.model import EndpointState, EndpointUpdate
from . import drain_intent as wanting
from .assignment_mapping import charter_from, charter_tree, decimal
from .datastore import RefusedError
from .drain_intent import DrainIntent, Want, left_without, wants

NAMES = {
    EndpointState.READY: "ready",
    EndpointState.DRAINING: "draining",
    EndpointState.GONE: "gone",
}


class DrainParticipant:
    """Staff's drains, over the list."""

    name = "drains"

    def __init__(
        self, facade: RequestCoordinator, cells: Callable[[list[str]], dict[str, list[str]]]
    ) -> None:
        self.facade, self.cells, self.intent = facade, cells, DrainIntent()
        with facade.lock:
            facade.overrides = self.intent
            self.intent.update_endpoints(
                facade.clock(), list(facade.endpoint_updates.values()), True
            )

    def prepare(self, old: dict[str, Any], new: dict[str, Any]) -> dict[str, Want]:
        wanted = wants(new)
        with self.facade.lock:
            before = [
                name
                for name, drain in self.intent.drains.items()
                if drain.phase == wanting.Phase.BINDING
            ]
            listed = dict(self.intent.listed)
        if wanted != wants(old) and (
            why := left_without(
                listed,
                before,
                wanted,
                self._is_cache,
                self.cells([name for name, entry in listed.items() if self._is_cache(entry)]),
            )
        ):
            raise RefusedError(f"{why}; set forced to drain all the same")
        return wanted

    def mark(self, ready: dict[str, Want]) -> int:
        """Drains last in the datastore alone."""
        return 0

    def commit(self, ready: dict[str, Want]) -> Callable[[], None]:
        before: list[DrainIntent] = []

        def take(held: Any) -> list[str]:
            before.append(self.intent.copy())
            return self.intent.want(self.facade.clock(), ready)

        def put_back(held: Any) -> list[str]:
            touched = set(self.intent.drains) | set(before[0].drains)
            self.intent.drains = before[0].drains
            return sorted(touched)

        self.facade.change_overrides(take)
        return lambda: self.facade.change_overrides(put_back)

    def _is_cache(self, entry: EndpointUpdate) -> bool:
        terms = self.facade.settings
        return entry.kind not in (terms.parent_kind, terms.origin_kind) and entry.zone == terms.zone


class AssignmentParticipant:
    """The assignment, where cells are on. What is changed here goes into the assignment
    file, too.
    """

    name = "assignment"

    def __init__(self, warden: Any, clock: Callable[[], float]) -> None:
        self.warden, self.clock = warden, clock

    def tree(self) -> dict[str, Any]:
        return charter_tree(self.charter()) if self.warden is not None else {}

    def charter(self) -> Assignment:
        return self.warden.controller.assignment

    def prepare(
        self, old: dict[str, Any], new: dict[str, Any]
    ) -> admission_controller.PreparedAssignment | None:
        wanted = new.get("fleet", {}).get("assignment")
        if self.warden is None:
            if wanted:
                raise RefusedError("cells are off at this director (serve --cells)")
            return None
        if wanted is None:
            raise RefusedError("the assignment can't be taken out while cells are on")
        now = self.charter()
        try:
            charter = charter_from(wanted, now.version + 1, round(self.clock()))
            if replace(charter, version=now.version, written_at=now.written_at) == now:
                return None
            return admission_controller.prepare_assignment(charter)
        except ConfigError as wrong:
            raise RefusedError(str(wrong)) from None

    def mark(self, ready: admission_controller.PreparedAssignment | None) -> int:
        """The version of the assignment file."""
        if self.warden is None:
            return 0
        return ready.assignment.version if ready is not None else self.charter().version

    def commit(self, ready: admission_controller.PreparedAssignment | None) -> Callable[[], None]:
        if ready is None:
            return lambda: None
        before = self.charter()
        self._take(ready, before.version)

        def undo() -> None:
            back = replace(before, version=ready.assignment.version + 1)
            self._take(admission_controller.prepare_assignment(back), ready.assignment.version)

        return undo

    def _take(self, ready: admission_controller.PreparedAssignment, built_on: int) -> None:
        try:
            with store.exclusive_writer(self.warden.config.assignment_file):
                store.save_assignment(
                    self.warden.config.assignment_file,
                    ready.assignment,
                    ready.assignment.written_at,
                    built_on,
                )
            self.warden.apply_prepared(ready)
        except ConfigError as wrong:
            raise RefusedError(str(wrong), "failed") from None


class StateView:
    """What a director tells of itself, as the model's state."""

    def __init__(
        self,
        start: DirectorConfig,
        facade: RequestCoordinator,
        warden: Any,
        drains: DrainParticipant,
    ) -> None:
        self.start, self.facade, self.warden, self.drains = start, facade, warden, drains
        self.zones = {place: name for name, place in start.zones.items()}
        self.kinds = {place: name for name, place in start.kinds.items()}
        self.request_classes = [
            {
                "name": name,
                "repeat": case.idempotency,
                "latency-goal": decimal(case.latency_objective),
                "client-timeout": decimal(case.client_timeout),
                "memory-span": decimal(case.key_retention),
            }
            for name, case in start.request_classes.items()
        ]

    def tree(
        self, wanted: dict[str, Any], datastore: dict[str, Any], names: set[str] | None
    ) -> dict[str, Any]:
        """Config and state together, of the named children of /fleet or of all; `wanted` is not
        changed.
        """
        now = self.facade.clock()
        fleet = dict(wanted.get("fleet", {}))
        boxes, out = self._boxes() if names is None or names & {"boxes", "drains"} else ([], {})
        if drains := fleet.get("drains", {}).get("drain"):
            fleet["drains"] = {
                "drain": [one | {"state": self._drain(now, one["box"], out)} for one in drains]
            }
        if self.warden is not None and "assignment" in fleet:
            fleet["assignment"] = self._assignment(now, fleet["assignment"])
        state = {
            "boxes": {"box": boxes},
            "purges": {"binding": self.facade.active_purge_count()},
            "request-classes": {"request-class": self.request_classes},
            "datastore": datastore,
        }
        return {
            "fleet": fleet
            | {name: held for name, held in state.items() if names is None or name in names}
        }

    def _boxes(self) -> tuple[list[dict[str, Any]], dict[str, int]]:
        found, out = [], {}
        for entry, state, member, delay, warmth in self.facade.endpoint_states():
            out[entry.name] = len(member.attempts_in_flight)
            found.append(
                {
                    "name": entry.name,
                    "address": f"{entry.address[0]}:{entry.address[1]}",
                    "zone": self.zones.get(entry.zone, ""),
                    "kind": self.kinds.get(entry.kind, ""),
                    "listed-state": NAMES[entry.state],
                    "state": NAMES[state],
                    "started": str(int(entry.started_at)),
                    "shunned": member.is_ejected,
                    "warmth": decimal(warmth),
                    "attempts-out": len(member.attempts_in_flight),
                }
                | ({"delay": decimal(delay)} if delay is not None else {})
            )
        return found, out

    def _drain(self, now: float, box: str, out: dict[str, int]) -> dict[str, Any]:
        drain = self.drains.intent.drains.get(box)
        if drain is None:
            return {"phase": "waiting"}
        differs = int(max(0.0, now - drain.ready_since)) if drain.ready_since else 0
        return {
            "phase": drain.phase.value,
            "since": str(int(drain.since)),
            "disagrees-for": differs,
            "attempts-out": out.get(box, 0),
        }

    def _assignment(self, now: float, tree: dict[str, Any]) -> dict[str, Any]:
        with self.warden.lock:
            status = self.warden.controller.status(now)
            charter = self.warden.controller.assignment
        found = dict(tree)
        found["cell"] = [
            one | {"state": _cell(status["cells"][one["name"]])}
            if one["name"] in status["cells"]
            else one
            for one in tree.get("cell", ())
        ]
        found["move"] = [
            one
            | {
                "state": {
                    "stage": migrations.stage_at(charter.migrations[one["name"]], now).value,
                    "share": decimal(
                        migrations.migrated_fraction(charter.migrations[one["name"]], now)
                    ),
                }
            }
            if one["name"] in charter.migrations
            else one
            for one in tree.get("move", ())
        ]
        found["release"] = [
            one | {"state": {"phase": status["releases"][one["name"]]["phase"]}}
            if one["name"] in status["releases"]
            else one
            for one in tree.get("release", ())
        ]
        return {name: held for name, held in found.items() if held != []}


def _cell(told: dict[str, Any]) -> dict[str, Any]:
    return {
        "lost": told["lost"],
        "open": decimal(told["open"]),
        "width": decimal(told["width"]),
        "served": str(told["served"]),
        "settled": str(told["settled"]),
        "turned-away": str(told["denied"]),
    }
