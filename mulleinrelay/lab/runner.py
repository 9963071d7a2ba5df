"""The runner of the lab of tenants: stand-ins in this process, each director in its own process."""

import json
import os
import tempfile
import threading
import time
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from ..cells import edits, store
from ..cells.formatter import format_assignment
from ..cells.model import Assignment, Tenant
from ..standins.clock import now_ms
from ..standins.environment import LoopbackEnvironment
from ..standins.load_generator import LoadGenerator
from ..standins.node_kinds import CACHE, ORIGIN, PARENT
from ..standins.nodes import NodeFleet, NodeSpec, SimulatedNode
from .director import Director
from .director_settings import PlatformOptions, platform_settings
from .scenario import Scenario, ScenarioStep

READY_TIMEOUT_S = 15.0
READY_POLL_S = 0.02
LEAD_MS = 200.0  # from the readiness of all directors to the start of the load
PROGRESS_INTERVAL_S = 0.5  # between two calls of `on_progress` and two counts of missing answers
END_GRACE_S = 0.1  # time for the last answers after the end of the longest patience
MEMORY_MB = 128
MAX_DESCRIPTORS = 1024
LOCATION = "edge"
HUB = "hub"
PARENT_CAPACITY_FACTOR = 10.0  # capacity of a parent as a multiple of a cache's capacity
TOTALLED_COUNTS = (
    "asked",
    "tries",
    "served",
    "rejected",
    "failed",
    "bad",
    "no_answer",
    "answers_twice",
    "answers_late",
    "cut_off",
)


def build_node_fleet(scenario: Scenario) -> NodeFleet:
    """Build the nodes (stand-ins of caches, parents and origin), without stored copies."""
    specs = [
        NodeSpec(
            name,
            CACHE,
            LOCATION,
            scenario.capacity,
            scenario.fill_cost,
            scenario.hit_delay,
            initial_fraction=scenario.initial_fraction,
            slow_start_duration=scenario.slow_start_duration,
            crashes_on_overload=scenario.crashes_on_overload,
        )
        for name in scenario.caches
    ]
    specs += [
        NodeSpec(
            f"p-{number}",
            PARENT,
            HUB,
            PARENT_CAPACITY_FACTOR * scenario.capacity,
            1.0,
            scenario.fill_delay,
            max_copies=scenario.parent_max_copies,
        )
        for number in range(1, scenario.parents + 1)
    ]
    specs.append(NodeSpec("o-1", ORIGIN, HUB, scenario.origin_capacity, 1.0, scenario.origin_delay))
    return NodeFleet({spec.name: SimulatedNode(spec) for spec in specs}, {"order"})


class Lab:
    """One run of a scenario of the lab of tenants.

    Attributes:
        assignment_path: Path of the assignment file, which all directors read if the scenario has
            cells.
        environment: Servers of the stand-ins. `run` sets it; a caller that uses only
            `start_directors` must set it before.
        started_at: Start of the load in Unix ms.
        completed_steps: Results of the steps that were run, also of those that failed, under the
            keys that the lab command prints.
    """

    environment: LoopbackEnvironment

    def __init__(self, scenario: Scenario, folder: str | None = None) -> None:
        """Prepare a run without starting any process.

        Args:
            scenario: Scenario to run.
            folder: Folder for configurations, logs and records; None: a temporary folder.
        """
        self.scenario = scenario
        self.temporary_folder: tempfile.TemporaryDirectory[str] | None = None
        if not folder:
            self.temporary_folder = tempfile.TemporaryDirectory(prefix="mulleinrelay-lab-")
            folder = self.temporary_folder.name
        self.folder = folder
        self.assignment_path = os.path.join(self.folder, "assignment.ini")
        self.fleet = build_node_fleet(scenario)
        self.directors: list[Director] = []
        self.load_generators: list[LoadGenerator] = []
        self.completed_steps: list[dict[str, Any]] = []
        self.started_at = 0.0

    def run(
        self,
        on_progress: Callable[["Lab", float], None] | None = None,
        on_load_started: Callable[["Lab"], None] | None = None,
    ) -> dict[str, Any]:
        """Run the scenario and return the figures.

        Args:
            on_progress: Called about every PROGRESS_INTERVAL_S with the lab and the seconds since
                the start of the load, which are negative before it.
            on_load_started: Called with the lab when the threads of the load generators have been
                started. They send no request before `started_at`.

        Raises:
            RuntimeError: If a director ended before all were ready, or if not all were ready within
                READY_TIMEOUT_S.
        """
        self.environment = LoopbackEnvironment(self.fleet)
        try:
            self.start_directors()
            self._start_load()
            if on_load_started is not None:
                on_load_started(self)
            cpu_s_at_start = [director.usage().cpu_s for director in self.directors]
            threading.Thread(target=self._run_steps, name="steps", daemon=True).start()
            self._wait_for_load_end(on_progress)
            cpu_s = sum(
                director.usage().cpu_s - cpu_s_before
                for director, cpu_s_before in zip(self.directors, cpu_s_at_start, strict=True)
            )
            return self.summary(cpu_s)
        finally:
            self._stop()

    def start_directors(self) -> None:
        """Start all directors and wait until they accept connections of clients.

        Raises:
            RuntimeError: If a director ended before all were ready, or if not all were ready within
                READY_TIMEOUT_S.
        """
        scenario = self.scenario
        cells_file = self._write_cells_files() if scenario.cells else None
        host, port = self.environment.stream.address
        options = PlatformOptions(
            zones=[HUB, LOCATION],
            own_zone=1,
            directors_by_zone=[0, scenario.directors],
            initial_fraction=scenario.initial_fraction,
            slow_start_ms=scenario.slow_start_duration,
        )
        snapshot = json.loads(self.environment.stream.events[0].partition(b"data: ")[2])
        for number in range(scenario.directors):
            platform = {
                "seed": f"{scenario.seed + number:x}",
                "bus": f"{host}:{port}",
                "limits": {"memory_mb": MEMORY_MB, "sockets": MAX_DESCRIPTORS},
                "known": {"offset": 1, "batch": [snapshot]},
                "settings": platform_settings(options),
            }
            self.directors.append(
                Director(f"n{number}", self.folder, platform, cells_file, scenario.management)
            )
        self._wait_until_ready()

    def restart(self, director: Director) -> None:
        """Restart a director that has ended, with the same configuration.

        The method returns when all directors accept connections of clients.

        Raises:
            RuntimeError: If a director ended before all were ready, or if not all were ready within
                READY_TIMEOUT_S.
        """
        director.log.close()
        director.start()
        self._wait_until_ready()

    def change_assignment(self, edit: Callable[[Assignment], Assignment]) -> Assignment:
        """Apply an edit to the assignment file and return the saved assignment.

        Args:
            edit: Returns the changed assignment for the current one.
        """
        with store.exclusive_writer(self.assignment_path):
            old = store.load_assignment(self.assignment_path)
            return store.save_assignment(
                self.assignment_path, edit(old), round(now_ms()), old.version
            )

    def summary(self, cpu_s: float) -> dict[str, Any]:
        """Return the figures of the run under the keys that the lab command prints.

        Args:
            cpu_s: CPU time of all directors during the load, in seconds.
        """
        fleet = self.fleet
        tenants = {
            generator.load.tenant: self._tenant_figures(generator)
            for generator in self.load_generators
        }
        total = {
            name: sum(tenant.get(name, 0) for tenant in tenants.values())
            for name in TOTALLED_COUNTS
        }
        answered = total["served"] + total["rejected"] + total["failed"]
        return {
            "tenants": tenants,
            "total": total,
            "cpu_s": round(cpu_s, 3),
            "cpu_ms_a_request": round(1000.0 * cpu_s / answered, 4) if answered else None,
            "origin_fetches": fleet.origin_fetches,
            "orders_run": len(fleet.executions),
            "orders_run_twice": sum(times > 1 for times in fleet.executions.values()),
            "stale": fleet.stale_answers,
            "nodes": {
                name: {
                    "peak_load": round(node.peak_load, 3),
                    **dict(node.counts),
                    "alive": node.is_alive,
                }
                for name, node in fleet.nodes.items()
            },
            "deeds": self.completed_steps,
        }

    def _tenant_figures(self, generator: LoadGenerator) -> dict[str, Any]:
        seconds = self.scenario.seconds
        counts = generator.result.counts
        return {
            "share": round(generator.served_fraction(0.0, seconds), 4),
            "p50_ms": round(generator.percentile(0.5, 0.0, seconds), 1),
            "p99_ms": round(generator.percentile(0.99, 0.0, seconds), 1),
            **{event.replace(" ", "_"): count for event, count in sorted(counts.items())},
        }

    def _write_cells_files(self) -> str:
        """Write the assignment file and the cells file; return the cells file's path."""
        scenario = self.scenario
        with open(self.assignment_path, "w", encoding="utf-8") as file:
            file.write(format_assignment(scenario.assignment))
        path = os.path.join(self.folder, "cells.ini")
        with open(path, "w", encoding="utf-8") as file:
            file.write(
                "[cells]\nenabled = yes\nassignment = assignment.ini\nread_every_ms = 100\n"
                f"records = records\n[director]\nopen_most = {scenario.max_open_requests}\n"
                f"rate = {scenario.rate}\n"
            )
        return path

    def _wait_until_ready(self) -> None:
        ends_at = time.monotonic() + READY_TIMEOUT_S
        while True:
            # Every director is asked, even if an earlier one is not ready, as `is_ready` raises an
            # error if a director has ended.
            are_ready = [director.is_ready() for director in self.directors]
            if all(are_ready):
                return
            if time.monotonic() > ends_at:
                raise RuntimeError(f"not all directors were ready within {READY_TIMEOUT_S:.0f} s")
            time.sleep(READY_POLL_S)

    def _start_load(self) -> None:
        self.started_at = now_ms() + LEAD_MS
        addresses = [director.address for director in self.directors]
        self.load_generators = [
            LoadGenerator(load, addresses, self.scenario.seed, self.started_at)
            for load in self.scenario.loads
        ]
        for generator in self.load_generators:
            generator.start()

    def _wait_for_load_end(self, on_progress: Callable[["Lab", float], None] | None) -> None:
        """Wait until the load has ended and its last answers are received or overdue."""
        seconds = self.scenario.seconds
        while (since_start_s := (now_ms() - self.started_at) / 1000.0) < seconds:
            time.sleep(min(PROGRESS_INTERVAL_S, max(0.01, seconds - since_start_s)))
            for generator in self.load_generators:
                generator.expire_unanswered()
            if on_progress is not None:
                on_progress(self, since_start_s)
        for generator in self.load_generators:
            generator.stop()
        time.sleep(max(load.patience for load in self.scenario.loads) / 1000.0 + END_GRACE_S)
        for generator in self.load_generators:
            generator.expire_unanswered()

    def _stop(self) -> None:
        for generator in self.load_generators:
            generator.stopped.set()
            generator.close()
        for director in self.directors:
            director.stop()
        self.environment.close()
        if self.temporary_folder is not None:
            self.temporary_folder.cleanup()

    # Steps of the scenario; all of them run on one thread of their own

    def _run_steps(self) -> None:
        for step in self.scenario.steps:
            wait_ms = self.started_at + step.at_s * 1000.0 - now_ms()
            if wait_ms > 0.0:
                time.sleep(wait_ms / 1000.0)
            error = ""
            try:
                self._run_step(step)
            except Exception as caught:  # reported in the summary; the run continues
                error = str(caught)
            self.completed_steps.append(
                {
                    "name": step.name,
                    "what": step.kind,
                    "wrong": error,
                    "at": round((now_ms() - self.started_at) / 1000.0, 3),
                }
            )

    def _run_step(self, step: ScenarioStep) -> None:
        if step.kind == "move":
            durations = edits.StageDurations(step.warm_up_ms, step.shift_ms, step.drain_ms)
            self.change_assignment(
                lambda old: edits.start_migration(
                    old, step.name, step.tenants, step.target, now_ms(), durations
                )
            )
        elif step.kind == "abort":
            self.change_assignment(lambda old: edits.abort_migration(old, step.target, now_ms()))
        elif step.kind == "cut":
            self.change_assignment(lambda old: cut_over(old, step.tenants, step.target))
        else:
            self.environment.inject_fault(step.kind, step.node)


def cut_over(assignment: Assignment, tenants: tuple[str, ...], target: str) -> Assignment:
    """Return an assignment that places the tenants in the cell `target` without a migration.

    A scenario's step `cut` uses this function, to compare its effect with that of a migration.
    """
    placed: dict[str, Tenant] = {
        name: replace(assignment.tenants[name], cell=target) for name in tenants
    }
    return replace(assignment, tenants=assignment.tenants | placed)
