"""Plays a fleet scenario with processes.

Directors are real processes; nodes, fault proxies and load generators are processes of the lab.
Whatever happens, none of them is left behind.
"""

import contextlib
import os
import shutil
import signal
import socket
import tempfile
import threading
import time
from collections.abc import Callable
from functools import partial

import orjson

from ...standins.clock import now_ms
from ...standins.node_kinds import CACHE
from ..director_settings import fleet_platform_settings
from . import addresses
from .control_channel import ROOT, LabProcess, Message, RecordFile, last_line
from .director import DirectorSetup, FleetDirector
from .fault_injector import READY_TIMEOUT_S, FaultInjector
from .scenario import FleetScenario

CONCURRENT_STARTS = 24  # directors that start at the same time
READY_POLL_S = 0.02
PROGRESS_POLL_S = 0.1
LEAD_S = 1.0  # from all directors being ready to the first request
EXIT_TIMEOUT_S = 5.0
REAPER_TIMEOUT_S = 3.0
SEEDS = 3  # directors that a director asks for members first
SEED_FACTOR = 100_003  # spreads the directors' seeds of different scenarios
SEED_STEP = 7919

Progress = Callable[[float, int, int], None]


def free_port(kind: int) -> int:
    """Return a port for all directors of a lab, each at its own address; other labs get others."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((addresses.advertised_address(0), 0))
        return probe.getsockname()[1]


class ProcessReaper:
    """The process that ends all others if the lab is killed. Thread-safe: `lock` guards its input.

    Where it has gone itself, the lab ends its processes alone.
    """

    def __init__(self, log_path: str, folder: str) -> None:
        """Start it; it removes `folder`, where it is not empty, after it has ended the others."""
        self.lock = threading.Lock()
        self.process = LabProcess("process_reaper", log_path, None, folder, session=True)

    def add(self, process_id: int) -> None:
        """Have it end this process if the lab is killed."""
        self._send(f"+{process_id}\n")

    def remove(self, process_id: int) -> None:
        """Have it leave this process alone, as it has ended."""
        self._send(f"-{process_id}\n")

    def stop(self) -> None:
        """End it; nothing is left to be ended."""
        with self.lock:
            self.process.stdin.write(b"done\n")
        self.process.stop(REAPER_TIMEOUT_S)

    def _send(self, line: str) -> None:
        with self.lock, contextlib.suppress(OSError, ValueError):  # it has gone
            self.process.send_line(line.encode())


class FleetLab:
    """One play of a fleet scenario.

    Attributes:
        error: Why the play has failed; empty: it hasn't.
        stopped: Set at the end of the play; the lab's threads end then.
    """

    def __init__(
        self, scenario: FleetScenario, text: str, folder: str | None = None, program: str = ROOT
    ) -> None:
        """Prepare a play.

        Args:
            scenario: What to play.
            text: The scenario's file, which the lab's processes parse again.
            folder: Where configurations, logs and records are kept; None: a temporary folder.
            program: Folder that holds the package that the directors run, so that earlier
                versions can be played.

        Raises:
            ConfigError: The scenario is too large to be played with processes.
        """
        self.scenario = scenario.require_process_limits()
        self.text = text
        self.program = program
        self.is_kept = folder is not None
        self.folder = folder or tempfile.mkdtemp(prefix="mulleinrelay-fleet-")
        os.makedirs(self.folder, exist_ok=True)
        self.port = free_port(socket.SOCK_STREAM)
        self.datagram_port = free_port(socket.SOCK_DGRAM)
        self.processes: list[LabProcess] = []
        self.directors: list[FleetDirector] = []
        self.proxies: list[LabProcess] = []
        self.load_generators: list[LabProcess] = []
        self.proxy_of: dict[str, LabProcess] = {}
        self.records: RecordFile | None = None
        self.error = ""
        self.stopped = threading.Event()

    def run(
        self,
        live: Progress | None = None,
        before: Callable[["FleetLab"], None] | None = None,
    ) -> str:
        """Play, and return the folder of the records.

        Args:
            live: Called now and then with the seconds since the start, and the requests asked and
                served.
            before: Called when all processes are ready, before the load starts.

        Raises:
            RuntimeError: It could not be played.
        """
        folder = "" if self.is_kept else self.folder
        self.reaper = ProcessReaper(self.path("keeper.log"), folder)
        try:
            records = RecordFile(self.path("lab.records"))
            self.records = records
            injector = self._start(records)
            if before is not None:
                before(self)
            self._play(records, injector, live)
        finally:
            self._stop()
        if self.error:
            raise RuntimeError(self.error)
        return self.folder

    def path(self, name: str) -> str:
        """Return the path of a file in the lab's folder."""
        return os.path.join(self.folder, name)

    def remove_folder(self) -> None:
        """Remove the folder, where it is temporary; its records have been read."""
        if not self.is_kept:
            shutil.rmtree(self.folder, ignore_errors=True)

    # Start

    def _start(self, records: RecordFile) -> FaultInjector:
        common = {"scenario": self.text, "directors": self.scenario.directors}
        endpoints = self._start_process(
            "endpoint_process", "hosts", common | {"records": self.path("hosts.records")}
        )
        far_ports = self._start_proxies(endpoints.receive()["ports"])
        endpoints.send({"far": far_ports})
        endpoints.receive()
        self._start_directors(endpoints, far_ports["stream"])
        self._start_load_generators(common)
        self._start_thread("endpoints", lambda: self._follow_endpoints(endpoints))
        return FaultInjector(self.directors, endpoints, self.proxies, records, self.stopped)

    def _start_process(self, module: str, name: str, first: Message) -> LabProcess:
        process = LabProcess(module, self.path(f"{name}.log"), first, session=True)
        self.processes.append(process)
        self.reaper.add(process.process.pid)
        return process

    def _start_proxies(self, ports: dict[str, int]) -> dict[str, int]:
        """Start the fault proxies; returns their port for each target."""
        path_kinds = {
            site.name: "cache" if site.kind == CACHE else "parent"
            for site in self.scenario.node_sites()
        } | {"stream": "stream"}
        targets = [
            {"name": name, "kind": path_kinds[name], "to": ["127.0.0.1", port]}
            for name, port in ports.items()
        ]
        count = self.scenario.proxy_processes
        for index in range(count):
            first: Message = {
                "seed": f"{self.scenario.seed}-relay-{index}",
                "targets": targets[index::count],
            }
            if index == 0:
                first["datagrams"] = list(range(self.scenario.directors))
                first["datagram_port"] = self.datagram_port
            self.proxies.append(self._start_process("fault_proxy", f"relay-{index}", first))
        far_ports = {}
        for proxy in self.proxies:
            for name, port in proxy.receive()["ports"].items():
                self.proxy_of[name] = proxy
                far_ports[name] = port
        return far_ports

    def _start_directors(self, endpoints: LabProcess, stream_port: int) -> None:
        """Write the configurations of all directors and start them."""
        clock_steps = {
            number: step.fault.amount
            for step in self.scenario.steps()
            if step.kind == "clock"
            for number in step.directors
        }
        setup = DirectorSetup(
            self.folder,
            self.program,
            self.port,
            self.scenario.has_membership,
            self.reaper.add,
            self.reaper.remove,
        )
        settings = {
            location: fleet_platform_settings(self.scenario, location)
            for location in self.scenario.locations
        }
        for number in range(self.scenario.directors):
            director = FleetDirector(setup, number, clock_steps.get(number))
            self.directors.append(director)
            endpoints.send({"known": number})
            platform = {
                "bus": f"{addresses.proxy_address(number)}:{stream_port}",
                "known": {"offset": 1, "batch": [endpoints.receive()["words"]]},
                "settings": settings[self.scenario.location_of(number)],
            }
            self._write_config(director, platform)
        self._await_directors()

    def _await_directors(self) -> None:
        """Start the directors, some at a time, and wait until all are ready."""
        began = time.monotonic()
        waiting = list(self.directors)
        starting: list[FleetDirector] = []
        while waiting or starting:
            while waiting and len(starting) < CONCURRENT_STARTS:
                starting.append(waiting.pop(0))
                starting[-1].start()
            starting = [director for director in starting if not director.is_ready()]
            if time.monotonic() > began + READY_TIMEOUT_S:
                missing = len(waiting) + len(starting)
                raise RuntimeError(
                    f"{missing} directors were not ready within {READY_TIMEOUT_S:.0f} s"
                )
            time.sleep(READY_POLL_S)
        self.ready_after_s = time.monotonic() - began

    def _write_config(self, director: FleetDirector, platform: Message) -> None:
        """Write the configuration of a director, and its fleet file where it has one.

        Args:
            director: Whose configuration it is.
            platform: The part that comes from the platform.
        """
        scenario = self.scenario
        number = director.number
        offset = 0 if scenario.has_same_seeds else number * SEED_STEP
        config = {
            "name": f"n{number}",
            "listen": f"{addresses.listen_address(number)}:{self.port}",
            "seed": f"{scenario.seed * SEED_FACTOR + offset:x}",
            "bus": platform["bus"],
            "limits": {"memory_mb": scenario.memory_mb, "sockets": scenario.max_descriptors},
            "known": platform["known"],
            "settings": platform["settings"],
        }
        with open(director.config_path, "wb") as file:
            file.write(orjson.dumps(config))
        if scenario.has_membership:
            with open(director.fleet_path, "w", encoding="utf-8") as text_file:
                text_file.write(self._fleet_file(number, scenario.location_of(number)))

    def _fleet_file(self, number: int, location: str) -> str:
        port = self.datagram_port
        seeds = " ".join(
            f"{addresses.advertised_address(seed)}:{port}"
            for seed in range(min(SEEDS, self.scenario.directors))
        )
        return (
            f"[fleet]\nenabled = yes\nname = lab\nkey = lab-{port:08}\nlocation = {location}\n"
            f"listen = {addresses.listen_address(number)}:{port}\n"
            f"announce = {addresses.advertised_address(number)}:{port}\n"
            f"seeds = {seeds}\nrecords = fleet\n"
            f"[budgets]\ncold = {'yes' if self.scenario.shares_quotas else 'no'}\n"
        )

    def _start_load_generators(self, common: Message) -> None:
        count = self.scenario.client_processes
        for index in range(count):
            locations = self.scenario.locations[index::count]
            if not locations:
                continue
            first = common | {
                "locations": list(locations),
                "port": self.port,
                "records": self.path(f"clients-{index}.records"),
            }
            generator = self._start_process("load_process", f"clients-{index}", first)
            self.load_generators.append(generator)
        for generator in self.load_generators:
            generator.receive()

    def _start_thread(self, name: str, run: Callable[[], None]) -> threading.Thread:
        thread = threading.Thread(target=run, name=name, daemon=True)
        thread.start()
        return thread

    # Play

    def _play(self, records: RecordFile, injector: FaultInjector, live: Progress | None) -> None:
        began = now_ms() + 1000.0 * LEAD_S
        records.add("began", began, self.scenario.seconds, round(self.ready_after_s, 2))
        cpu_before = [director.usage().cpu_s for director in self.directors]
        for generator in self.load_generators:
            generator.send({"began": began})
        progress: dict[LabProcess, Message] = {}
        followers = [
            self._start_thread("load", partial(self._follow_load, generator, progress))
            for generator in self.load_generators
        ]
        injector.start(self.scenario.steps(), began)
        while any(follower.is_alive() for follower in followers) and not self.error:
            time.sleep(PROGRESS_POLL_S)
            if live is not None:
                messages = list(progress.values())
                asked = sum(message.get("asked", 0) for message in messages)
                served = sum(message.get("served", 0) for message in messages)
                live((now_ms() - began) / 1000.0, asked, served)
            self._record_crashes(records, injector)
        for director, before in zip(self.directors, cpu_before, strict=True):
            usage = director.usage()
            cpu_s = round(max(0.0, usage.cpu_s - before), 3)
            records.add("use", director.number, cpu_s, round(usage.resident_mb, 1))

    def _follow_endpoints(self, endpoints: LabProcess) -> None:
        """Have the proxies refuse connections to a node that has crashed, until it is back."""
        try:
            while True:
                for word, name in endpoints.receive().items():
                    self.proxy_of[name].send({word: name})
        except RuntimeError as error:
            if not self.stopped.is_set():
                self.error = str(error)

    def _follow_load(self, generator: LabProcess, progress: dict[LabProcess, Message]) -> None:
        try:
            while not (message := generator.receive()).get("done"):
                progress[generator] = message
        except RuntimeError as error:
            if not self.stopped.is_set():
                self.error = str(error)

    def _record_crashes(self, records: RecordFile, injector: FaultInjector) -> None:
        """Record the directors that have ended without the lab's doing."""
        for director in self.directors:
            code = director.exit_code()
            if code is not None and director.number not in injector.expected_down:
                injector.expected_down.add(director.number)
                line = last_line(director.log_path)
                records.add("crash", now_ms(), director.number, code, line)

    def _stop(self) -> None:
        """End every process, by its id."""
        self.stopped.set()
        for director in self.directors:
            director.signal(signal.SIGCONT)
            director.signal(signal.SIGKILL)
        for director in self.directors:
            director.wait(EXIT_TIMEOUT_S)
        for process in reversed(self.processes):
            process.stop()
            self.reaper.remove(process.process.pid)
        if self.records is not None:
            self.records.close()
        self.reaper.stop()
