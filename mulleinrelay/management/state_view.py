"""The state of a running director as `config false` nodes of the YANG model."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ..cells import migrations
from ..cells.model import Migration
from ..config.platform import DirectorConfig
from ..coordinator import RequestCoordinator
from ..policy.model import EndpointState
from .assignment_mapping import format_decimal64
from .participants import DrainParticipant
from .tree import Tree

if TYPE_CHECKING:
    from ..cells.service import CellService

STATE_NAMES = {
    EndpointState.READY: "ready",
    EndpointState.DRAINING: "draining",
    EndpointState.GONE: "gone",
}


class StateView:
    """A view of a director's state: endpoints, drains, cells, purges and request classes."""

    def __init__(
        self,
        config: DirectorConfig,
        coordinator: RequestCoordinator,
        cell_service: CellService | None,
        drain_participant: DrainParticipant,
    ) -> None:
        """Store the sources of the state; `cell_service` is None if cells are off."""
        self.coordinator = coordinator
        self.cell_service = cell_service
        self.drain_participant = drain_participant
        self._zone_names = {number: name for name, number in config.zones.items()}
        self._kind_names = {number: name for name, number in config.kinds.items()}
        self._request_classes = [
            {
                "name": name,
                "repeat": request_class.idempotency,
                "latency-goal": format_decimal64(request_class.latency_objective),
                "client-timeout": format_decimal64(request_class.client_timeout),
                "memory-span": format_decimal64(request_class.key_retention),
            }
            for name, request_class in config.request_classes.items()
        ]

    def tree(self, running: Tree, datastore: Tree, children: set[str] | None) -> Tree:
        """Return the configuration together with the state.

        Args:
            running: The running configuration, already reduced to `children`; it is not modified.
            datastore: Content of the container `datastore`.
            children: Names of the children of /fleet to return; None for all.
        """
        now = self.coordinator.clock()
        fleet = dict(running.get("fleet", {}))
        endpoints: list[Tree] = []
        if children is None or children & {"boxes", "drains"}:
            endpoints = self._endpoint_states()
        if drains := fleet.get("drains", {}).get("drain"):
            attempts = {entry["name"]: entry["attempts-out"] for entry in endpoints}
            fleet["drains"] = {
                "drain": [
                    drain | {"state": self._drain_state(now, drain["box"], attempts)}
                    for drain in drains
                ]
            }
        if self.cell_service is not None and "assignment" in fleet:
            fleet["assignment"] = self._assignment_with_state(
                self.cell_service, now, fleet["assignment"]
            )
        state: Tree = {
            "boxes": {"box": endpoints},
            "purges": {"binding": self.coordinator.active_purge_count()},
            "request-classes": {"request-class": self._request_classes},
            "datastore": datastore,
        }
        requested = {name: child for name, child in state.items() if _is_requested(name, children)}
        return {"fleet": fleet | requested}

    def _endpoint_states(self) -> list[Tree]:
        entries = []
        for entry, state, endpoint, delay, warm_up_progress in self.coordinator.endpoint_states():
            host, port = entry.address
            tree: Tree = {
                "name": entry.name,
                "address": f"{host}:{port}",
                "zone": self._zone_names.get(entry.zone, ""),
                "kind": self._kind_names.get(entry.kind, ""),
                "listed-state": STATE_NAMES[entry.state],
                "state": STATE_NAMES[state],
                "started": str(int(entry.started_at)),
                "shunned": endpoint.is_ejected,
                "warmth": format_decimal64(warm_up_progress),
                "attempts-out": len(endpoint.attempts_in_flight),
            }
            if delay is not None:
                tree["delay"] = format_decimal64(delay)
            entries.append(tree)
        return entries

    def _drain_state(self, now: float, endpoint: str, attempts: dict[str, int]) -> Tree:
        """Return the state of an endpoint's drain.

        Args:
            now: Time in Unix milliseconds.
            endpoint: Name of the endpoint.
            attempts: Number of attempts in flight, by name of the endpoint.
        """
        status = self.drain_participant.intent.statuses.get(endpoint)
        if status is None:
            return {"phase": "waiting"}
        contradicted_for = 0
        if status.contradicted_since:
            contradicted_for = int(max(0.0, now - status.contradicted_since))
        return {
            "phase": status.phase.value,
            "since": str(int(status.phase_since)),
            "disagrees-for": contradicted_for,
            "attempts-out": attempts.get(endpoint, 0),
        }

    def _assignment_with_state(self, cell_service: CellService, now: float, tree: Tree) -> Tree:
        """Return the assignment together with the state of its cells, migrations and rollouts."""
        with cell_service.lock:
            status = cell_service.controller.status(now)
            assignment = cell_service.controller.assignment
        states = {
            "cell": {name: _cell_state(cell) for name, cell in status["cells"].items()},
            "move": {
                name: _migration_state(migration, now)
                for name, migration in assignment.migrations.items()
            },
            "release": {
                name: {"phase": rollout["phase"]} for name, rollout in status["releases"].items()
            },
        }
        with_state = dict(tree)
        for list_name, state_by_name in states.items():
            if entries := tree.get(list_name):
                with_state[list_name] = [_with_state(entry, state_by_name) for entry in entries]
        return {name: value for name, value in with_state.items() if value != []}


def _is_requested(name: str, children: set[str] | None) -> bool:
    return children is None or name in children


def _with_state(entry: Tree, state_by_name: dict[str, Tree]) -> Tree:
    """Return a list entry with its state, or unchanged if the director has no state for it yet."""
    name = entry["name"]
    return entry | {"state": state_by_name[name]} if name in state_by_name else entry


def _migration_state(migration: Migration, now: float) -> Tree:
    return {
        "stage": migrations.stage_at(migration, now).value,
        "share": format_decimal64(migrations.migrated_fraction(migration, now)),
    }


def _cell_state(status: dict[str, Any]) -> Tree:
    """Return the state of a cell, given its entry in the status of the admission controller."""
    return {
        "lost": status["lost"],
        "open": format_decimal64(status["open"]),
        "width": format_decimal64(status["width"]),
        "served": str(status["served"]),
        "settled": str(status["settled"]),
        "turned-away": str(status["denied"]),
    }
