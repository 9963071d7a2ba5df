"""Play of a fleet scenario with real processes; a play is one run of a scenario.

The directors are processes of the program under test. The lab has one process for all
nodes and the event stream, and processes for the fault proxies and load generators. All of them are
ended after a play, even if the lab fails or is killed.
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
from ...standins.reserved_port import ReservedPort
from ..director_settings import fleet_platform_settings
from . import addresses
from .control_channel import ROOT, LabProcess, Message, RecordFile, last_line
from .director import DirectorSetup, FleetDirector
from .fault_injector import READY_TIMEOUT_S, FaultInjector
from .scenario import FleetScenario

MAX_CONCURRENT_STARTS = 24  # of directors
READY_POLL_INTERVAL_S = 0.02
PROGRESS_POLL_INTERVAL_S = 0.1
LEAD_S = 1.0  # from the readiness of all processes to the start of the play
EXIT_TIMEOUT_S = 5.0
REAPER_TIMEOUT_S = 3.0
MEMBERSHIP_SEEDS = 3  # directors that a starting director contacts to join the fleet
# Constants that separate the random seeds of different scenarios and of different directors
SCENARIO_SEED_FACTOR = 100_003
DIRECTOR_SEED_STEP = 7919

ProgressCallback = Callable[[float, int, int], None]


class ProcessReaper:
    """Handle with which the lab controls the reaper process.

    The reaper kills all other processes of the lab if the lab itself is killed. If the reaper has
    ended, the lab continues without it. Thread-safe: `lock` guards the standard input of the
    reaper.
    """

    def __init__(self, log_path: str, folder: str, keeps_folder: bool) -> None:
        """Start the reaper process.

        Args:
            log_path: Path of the file for the reaper's standard error.
            folder: Folder of the lab.
            keeps_folder: Whether the folder remains if the lab is killed.
        """
        self.lock = threading.Lock()
        folder_use = "keep" if keeps_folder else "remove"
        self.process = LabProcess(
            "process_reaper", log_path, None, folder, folder_use, session=True
        )

    def add(self, process_id: int) -> None:
        """Register a process, which the reaper kills if the lab is killed."""
        self._send(f"+{process_id}\n")

    def remove(self, process_id: int) -> None:
        """Tell the reaper that a process has ended."""
        self._send(f"-{process_id}\n")

    def stop(self) -> None:
        """End the reaper; must be called after all other processes have ended."""
        with self.lock:
            self.process.stdin.write(b"done\n")
        self.process.stop(REAPER_TIMEOUT_S)

    def _send(self, line: str) -> None:
        with self.lock, contextlib.suppress(OSError, ValueError):  # the reaper has ended
            self.process.send_line(line.encode())


class FleetLab:
    """One play of a fleet scenario.

    Attributes:
        program: Folder that contains the package that the directors run.
        keeps_folder: Whether the folder remains after the play; otherwise it is temporary.
        client_port: Reservation of the port at which all directors listen for clients.
        datagram_port: Reservation of the port at which the directors and the first fault proxy
            receive datagrams.
        proxy_by_target: The fault proxy of each target, by the target's name. A target is a node
            or the event stream.
        ready_after_s: Time in seconds from the start of the first director until all were ready.
            It is set when all directors are ready.
        error: Reason for the failure of the play; empty if it has not failed.
        stopped: Set at the end of the play, to end the lab's threads.
    """

    def __init__(
        self, scenario: FleetScenario, text: str, folder: str | None = None, program: str = ROOT
    ) -> None:
        """Prepare a play.

        Args:
            scenario: The scenario to play.
            text: Text of the scenario file, which the lab's processes parse again.
            folder: Folder for configurations, logs and records; None for a temporary folder.
            program: Folder that contains the package that the directors run, which may be an
                earlier version.

        Raises:
            ConfigError: If the scenario has too many directors or caches for a play with processes.
        """
        self.scenario = scenario.require_process_limits()
        self.text = text
        self.program = program
        self.keeps_folder = folder is not None
        self.folder = folder or tempfile.mkdtemp(prefix="mulleinrelay-fleet-")
        os.makedirs(self.folder, exist_ok=True)
        # All directors use the same two ports, each at its own addresses. A fault proxy of this or
        # a concurrent lab, which listens at all addresses, must not get them before the directors.
        self.client_port = ReservedPort(addresses.RESERVATION_ADDRESS)
        self.datagram_port = ReservedPort(addresses.RESERVATION_ADDRESS, socket.SOCK_DGRAM)
        self.processes: list[LabProcess] = []
        self.directors: list[FleetDirector] = []
        self.proxies: list[LabProcess] = []
        self.load_generators: list[LabProcess] = []
        self.proxy_by_target: dict[str, LabProcess] = {}
        self.records: RecordFile | None = None
        self.error = ""
        self.stopped = threading.Event()

    def run(
        self,
        on_progress: ProgressCallback | None = None,
        on_ready: Callable[["FleetLab"], None] | None = None,
    ) -> str:
        """Play the scenario, and return the folder of the records.

        Args:
            on_progress: Called periodically with the seconds since the start of the play (negative
                before it) and the numbers of requests created and served so far.
            on_ready: Called when all processes are ready, before the load starts.

        Raises:
            RuntimeError: If a director was not ready in time, or ended before it was ready, or if a
                process of the lab ended before the end of the play.
        """
        self.reaper = ProcessReaper(self.path("keeper.log"), self.folder, self.keeps_folder)
        try:
            records = RecordFile(self.path("lab.records"))
            self.records = records
            injector = self._start(records)
            if on_ready is not None:
                on_ready(self)
            self._play(records, injector, on_progress)
        finally:
            self._stop()
        if self.error:
            raise RuntimeError(self.error)
        return self.folder

    def path(self, name: str) -> str:
        """Return the path of a file in the lab's folder."""
        return os.path.join(self.folder, name)

    def remove_folder(self) -> None:
        """Remove the folder if it is temporary; call this after reading its records."""
        if not self.keeps_folder:
            shutil.rmtree(self.folder, ignore_errors=True)

    # Start

    def _start(self, records: RecordFile) -> FaultInjector:
        common = {"scenario": self.text, "directors": self.scenario.directors}
        endpoints = self._start_process(
            "endpoint_process", "hosts", common | {"records": self.path("hosts.records")}
        )
        proxy_ports = self._start_proxies(endpoints.receive()["ports"])
        endpoints.send({"far": proxy_ports})
        endpoints.receive()
        self._start_directors(endpoints, proxy_ports["stream"])
        self._start_load_generators(common)
        self._start_thread("endpoints", lambda: self._follow_endpoints(endpoints))
        return FaultInjector(self.directors, endpoints, self.proxies, records, self.stopped)

    def _start_process(self, module: str, name: str, first_message: Message) -> LabProcess:
        process = LabProcess(module, self.path(f"{name}.log"), first_message, session=True)
        self.processes.append(process)
        self.reaper.add(process.process.pid)
        return process

    def _start_proxies(self, ports: dict[str, int]) -> dict[str, int]:
        """Start the fault proxies; return the proxy port of each target by the target's name."""
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
            first_message: Message = {
                "seed": f"{self.scenario.seed}-relay-{index}",
                "targets": targets[index::count],
            }
            if index == 0:
                first_message["datagrams"] = list(range(self.scenario.directors))
                first_message["datagram_port"] = self.datagram_port.port
            self.proxies.append(self._start_process("fault_proxy", f"relay-{index}", first_message))
        proxy_ports = {}
        for proxy in self.proxies:
            for name, port in proxy.receive()["ports"].items():
                self.proxy_by_target[name] = proxy
                proxy_ports[name] = port
        return proxy_ports

    def _start_directors(self, endpoints: LabProcess, stream_port: int) -> None:
        """Write the configurations of all directors, start them, and wait until they are ready."""
        clock_steps = {
            number: step.fault.amount
            for step in self.scenario.steps()
            if step.kind == "clock"
            for number in step.directors
        }
        setup = DirectorSetup(
            self.folder,
            self.program,
            self.client_port.port,
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
        """Start all directors, and wait until they are ready.

        At any time at most MAX_CONCURRENT_STARTS directors are starting, that is, started but not
        yet ready.

        Raises:
            RuntimeError: If a director ended before it was ready, or if not all were ready within
                READY_TIMEOUT_S.
        """
        started_at = time.monotonic()
        pending = list(self.directors)
        starting: list[FleetDirector] = []
        while pending or starting:
            while pending and len(starting) < MAX_CONCURRENT_STARTS:
                starting.append(pending.pop(0))
                starting[-1].start()
            starting = [director for director in starting if not director.is_ready()]
            if time.monotonic() > started_at + READY_TIMEOUT_S:
                missing = len(pending) + len(starting)
                raise RuntimeError(
                    f"{missing} directors were not ready within {READY_TIMEOUT_S:.0f} s"
                )
            time.sleep(READY_POLL_INTERVAL_S)
        self.ready_after_s = time.monotonic() - started_at

    def _write_config(self, director: FleetDirector, platform: Message) -> None:
        """Write the configuration of a director, and its fleet file if the scenario has membership.

        Args:
            director: The director.
            platform: The event stream's address, the initial events and the settings, under the
                keys of the configuration.
        """
        scenario = self.scenario
        number = director.number
        offset = 0 if scenario.has_same_seeds else number * DIRECTOR_SEED_STEP
        config = {
            "name": f"n{number}",
            "listen": f"{addresses.listen_address(number)}:{self.client_port.port}",
            "seed": f"{scenario.seed * SCENARIO_SEED_FACTOR + offset:x}",
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
        port = self.datagram_port.port
        seeds = " ".join(
            f"{addresses.advertised_address(seed)}:{port}"
            for seed in range(min(MEMBERSHIP_SEEDS, self.scenario.directors))
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
            first_message = common | {
                "locations": list(locations),
                "port": self.client_port.port,
                "records": self.path(f"clients-{index}.records"),
            }
            generator = self._start_process("load_process", f"clients-{index}", first_message)
            self.load_generators.append(generator)
        for generator in self.load_generators:
            generator.receive()

    def _start_thread(self, name: str, run: Callable[[], None]) -> threading.Thread:
        thread = threading.Thread(target=run, name=name, daemon=True)
        thread.start()
        return thread

    # Play

    def _play(
        self, records: RecordFile, injector: FaultInjector, on_progress: ProgressCallback | None
    ) -> None:
        started_at = now_ms() + 1000.0 * LEAD_S
        records.add("began", started_at, self.scenario.seconds, round(self.ready_after_s, 2))
        cpu_before = [director.usage().cpu_s for director in self.directors]
        for generator in self.load_generators:
            generator.send({"began": started_at})
        progress: dict[LabProcess, Message] = {}
        load_threads = [
            self._start_thread("load", partial(self._follow_load, generator, progress))
            for generator in self.load_generators
        ]
        injector.start(self.scenario.steps(), started_at)
        while any(thread.is_alive() for thread in load_threads) and not self.error:
            time.sleep(PROGRESS_POLL_INTERVAL_S)
            if on_progress is not None:
                messages = list(progress.values())
                created = sum(message.get("asked", 0) for message in messages)
                served = sum(message.get("served", 0) for message in messages)
                on_progress((now_ms() - started_at) / 1000.0, created, served)
            self._record_crashes(records, injector)
        for director, before in zip(self.directors, cpu_before, strict=True):
            usage = director.usage()
            cpu_s = round(max(0.0, usage.cpu_s - before), 3)
            records.add("use", director.number, cpu_s, round(usage.resident_mb, 1))

    def _follow_endpoints(self, endpoints: LabProcess) -> None:
        """Tell the proxies to refuse connections to a crashed node until it has restarted."""
        try:
            while True:
                for command, name in endpoints.receive().items():
                    self.proxy_by_target[name].send({command: name})
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
        """Record the directors that have ended although the lab did not end them, each once."""
        for director in self.directors:
            code = director.exit_code()
            if code is not None and director.number not in injector.expected_down:
                injector.expected_down.add(director.number)
                line = last_line(director.log_path)
                records.add("crash", now_ms(), director.number, code, line)

    def _stop(self) -> None:
        """End all directors and lab processes, close the records and release the ports."""
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
        self.client_port.release()
        self.datagram_port.release()
        self.reaper.stop()
