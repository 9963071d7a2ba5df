"""Plays a scenario: the stand-ins here, each director a process of its own."""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from ..cells import edits, store
from ..cells.model import Assignment, Tenant
from ..cells.parser import write
from ..standins.clock import now_ms
from ..standins.environment import LoopbackEnvironment
from ..standins.load_generator import LoadGenerator
from ..standins.node_kinds import CACHE, ORIGIN, PARENT
from ..standins.nodes import NodeFleet, NodeSpec, SimulatedNode
from .director_settings import platform_settings
from .scenario import Scenario, ScenarioStep

READY_WITHIN = 15.0  # s
MEMORY_MB, SOCKETS = 128, 1024


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def build_node_fleet(scenario: Scenario) -> NodeFleet:
    specs = [
        NodeSpec(
            name,
            CACHE,
            "edge",
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
            f"p-{place}",
            PARENT,
            "hub",
            10.0 * scenario.capacity,
            1.0,
            scenario.fill_delay,
            max_copies=scenario.parent_max_copies,
        )
        for place in range(1, scenario.parents + 1)
    ]
    specs.append(
        NodeSpec("o-1", ORIGIN, "hub", scenario.origin_capacity, 1.0, scenario.origin_delay)
    )
    return NodeFleet({spec.name: SimulatedNode(spec) for spec in specs}, {"order"})


class Director:
    """One director as a process."""

    def __init__(
        self, name: str, folder: str, whole: dict[str, Any], own: str | None, managed: bool
    ) -> None:
        self.name, self.address, self.gnmi_address = name, ("127.0.0.1", free_port()), ""
        path = os.path.join(folder, f"{name}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(whole | {"name": name, "listen": f"127.0.0.1:{self.address[1]}"}, file)
        self.command = [sys.executable, "-m", "mulleinrelay", "serve", "--config", path]
        self.command += ["--cells", own] if own else []
        if managed:
            self.gnmi_address = f"127.0.0.1:{free_port()}"
            file_name = os.path.join(folder, f"{name}-management.ini")
            with open(file_name, "w", encoding="utf-8") as file:
                file.write(
                    f"[management]\nenabled = yes\ninsecure_loopback = yes\nlisten = {self.gnmi_address}\n"
                    f"state_dir = state-{name}\n"
                )
            self.command += ["--management", file_name]
        self.log_path = os.path.join(folder, f"{name}.log")
        self.start()

    def start(self) -> None:
        self.log = open(self.log_path, "ab")  # closed with the process
        here = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
        environment = os.environ | {"MALLOC_ARENA_MAX": "2", "PYTHONPATH": here}
        for name in ("MULLEINRELAY_CELLS", "MULLEINRELAY_MANAGEMENT"):
            environment.pop(name, None)
        self.process = subprocess.Popen(
            self.command, stderr=self.log, stdout=self.log, env=environment
        )

    def is_ready(self) -> bool:
        try:
            socket.create_connection(self.address, timeout=0.2).close()
            return True
        except OSError:
            if self.process.poll() is not None:
                raise RuntimeError(
                    f"a director ended with {self.process.returncode}; see {self.log.name}"
                ) from None
            return False

    def cpu(self) -> float:
        """Seconds of CPU so far; 0 once it has ended."""
        try:
            with open(f"/proc/{self.process.pid}/stat", encoding="ascii") as file:
                held = file.read().rpartition(")")[2].split()
            return (int(held[11]) + int(held[12])) / os.sysconf("SC_CLK_TCK")
        except OSError:
            return 0.0

    def stop(self) -> None:
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
        try:
            self.process.wait(8.0)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait(2.0)
        self.log.close()


class Lab:
    """One play of a scenario. `run` gives its figures; `live` is called twice a second
    meanwhile.
    """

    def __init__(self, scenario: Scenario, folder: str | None = None) -> None:
        self.scenario = scenario
        self.kept = (
            tempfile.TemporaryDirectory(prefix="mulleinrelay-lab-") if folder is None else None
        )
        self.folder = folder or self.kept.name
        self.assignment = os.path.join(self.folder, "assignment.ini")
        self.fleet = build_node_fleet(scenario)
        self.directors: list[Director] = []
        self.load_generators: list[LoadGenerator] = []
        self.deeds_done: list[dict[str, Any]] = []
        self.began = 0.0

    def run(
        self,
        live: Callable[["Lab", float], None] | None = None,
        before: Callable[["Lab"], None] | None = None,
    ) -> dict[str, Any]:
        self.environment = LoopbackEnvironment(self.fleet)
        try:
            self._start_directors()
            self._start_load()
            if before is not None:
                before(self)
            cpu = [director.cpu() for director in self.directors]
            deeds = threading.Thread(target=self._do, daemon=True)
            deeds.start()
            while (since := (now_ms() - self.began) / 1000.0) < self.scenario.seconds:
                time.sleep(min(0.5, max(0.01, self.scenario.seconds - since)))
                for terminals in self.load_generators:
                    terminals.expire_unanswered()
                if live is not None:
                    live(self, since)
            for terminals in self.load_generators:
                terminals.stop()
            time.sleep(max(demand.patience for demand in self.scenario.loads) / 1000.0 + 0.1)
            for terminals in self.load_generators:
                terminals.expire_unanswered()
            used = [
                director.cpu() - first for director, first in zip(self.directors, cpu, strict=True)
            ]
            return self.summary(sum(used))
        finally:
            for terminals in self.load_generators:
                terminals.stopped.set()
                terminals.close()
            for director in self.directors:
                director.stop()
            self.environment.close()
            if self.kept is not None:
                self.kept.cleanup()

    def _start_directors(self) -> None:
        scenario, own = self.scenario, None
        if scenario.cells:
            with open(self.assignment, "w", encoding="utf-8") as file:
                file.write(write(scenario.assignment))
            own = os.path.join(self.folder, "cells.ini")
            with open(own, "w", encoding="utf-8") as file:
                file.write(
                    "[cells]\nenabled = yes\nassignment = assignment.ini\nread_every_ms = 100\n"
                    f"records = records\n[director]\nopen_most = {scenario.max_open_requests}\n"
                    f"rate = {scenario.rate}\n"
                )
        host, port = self.environment.stream.address
        for place in range(scenario.directors):
            whole = {
                "seed": f"{scenario.seed + place:x}",
                "bus": f"{host}:{port}",
                "limits": {"memory_mb": MEMORY_MB, "sockets": SOCKETS},
                "known": {
                    "offset": 1,
                    "batch": [
                        json.loads(self.environment.stream.events[0].partition(b"data: ")[2])
                    ],
                },
                "settings": platform_settings(
                    ["hub", "edge"],
                    1,
                    [0, scenario.directors],
                    scenario.initial_fraction,
                    scenario.slow_start_duration,
                ),
            }
            self.directors.append(
                Director(f"n{place}", self.folder, whole, own, scenario.management)
            )
        self._wait_ready()

    def restart(self, director: Director) -> None:
        """Starts one that has ended once more, as it was."""
        director.log.close()
        director.start()
        self._wait_ready()

    def _wait_ready(self) -> None:
        end = time.monotonic() + READY_WITHIN
        while not all([director.is_ready() for director in self.directors]):
            if time.monotonic() > end:
                raise RuntimeError(f"a director was not ready within {READY_WITHIN:.0f} s")
            time.sleep(0.02)

    def _start_load(self) -> None:
        self.began = now_ms() + 200.0
        addresses = [director.address for director in self.directors]
        self.load_generators = [
            LoadGenerator(demand, addresses, self.scenario.seed, self.began)
            for demand in self.scenario.loads
        ]
        for terminals in self.load_generators:
            terminals.start()

    # Deeds

    def _do(self) -> None:
        for deed in self.scenario.steps:
            wait = self.began + deed.at * 1000.0 - now_ms()
            if wait > 0.0:
                time.sleep(wait / 1000.0)
            wrong = ""
            try:
                self._deed(deed)
            except Exception as broken:  # told in the summary; the play goes on
                wrong = str(broken)
            self.deeds_done.append(
                {
                    "name": deed.name,
                    "what": deed.what,
                    "wrong": wrong,
                    "at": round((now_ms() - self.began) / 1000.0, 3),
                }
            )

    def _deed(self, deed: ScenarioStep) -> None:
        if deed.what == "move":
            spans = edits.Spans(deed.warm, deed.shift, deed.drain)
            self.change(
                lambda old: edits.start_move(
                    old, deed.name, deed.tenants, deed.target, now_ms(), spans
                )
            )
        elif deed.what == "abort":
            self.change(lambda old: edits.abort(old, deed.target, now_ms()))
        elif deed.what == "cut":
            self.change(lambda old: cut_over(old, deed.tenants, deed.target))
        else:
            self.environment.inject_fault(deed.what, deed.node)

    def change(self, make: Callable[[Assignment], Assignment]) -> Assignment:
        with store.sole_writer(self.assignment):
            old = store.load(self.assignment)
            return store.save(self.assignment, make(old), round(now_ms()), old.version)

    # What it came to

    def summary(self, cpu: float) -> dict[str, Any]:
        fleet, seconds = self.fleet, self.scenario.seconds
        tenants = {}
        for terminals in self.load_generators:
            counts = terminals.result.counts
            tenants[terminals.load.tenant] = {
                "share": round(terminals.served_fraction(0.0, seconds), 4),
                "p50_ms": round(terminals.percentile(0.5, 0.0, seconds), 1),
                "p99_ms": round(terminals.percentile(0.99, 0.0, seconds), 1),
                **{what.replace(" ", "_"): count for what, count in sorted(counts.items())},
            }
        total = {
            what: sum(tenant.get(what, 0) for tenant in tenants.values())
            for what in (
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
        }
        answered = total["served"] + total["rejected"] + total["failed"]
        return {
            "tenants": tenants,
            "total": total,
            "cpu_s": round(cpu, 3),
            "cpu_ms_a_request": round(1000.0 * cpu / answered, 4) if answered else None,
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
            "deeds": self.deeds_done,
        }


def cut_over(charter: Assignment, tenants: tuple[str, ...], target: str) -> Assignment:
    """The tenants stand in another cell at once: what a move is measured against."""
    people: dict[str, Tenant] = {
        name: replace(charter.tenants[name], cell=target) for name in tenants
    }
    return replace(charter, tenants=charter.tenants | people)
