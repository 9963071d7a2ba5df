"""Plays a fleet scenario: directors as real processes, stand-ins, relays and clients as processes
of their own. Whatever happens, nothing of it is left.
"""

import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from typing import Any

import orjson

from ...standins.clock import now_ms
from ..start import settings_at
from . import addresses
from .channel import ROOT, Helper, Records, last_line
from .network_rules import NetworkRule, encode_rule, rule_for
from .scenario import NODE_FAULTS, PATH_FAULTS, FleetScenario, ScenarioStep

READY_WITHIN = 60.0  # s
AT_ONCE = 24  # processes that start at the same time
LEAD = 1.0  # s from all being ready to the first request


def free_port(kind: int) -> int:
    """The same for all directors of one lab, each at its own address; another lab has another."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((addresses.peer(0), 0))
        return probe.getsockname()[1]


class Director:
    """One director as a process, with an address of its own."""

    def __init__(self, lab: "FleetLab", number: int) -> None:
        self.lab, self.number = lab, number
        self.path = os.path.join(lab.folder, f"n{number}.json")
        self.log_path = os.path.join(lab.folder, f"n{number}.log")
        self.process: subprocess.Popen | None = None
        self.cpu_before = 0.0
        self.ended_by_us = False
        self.lives = 0  # starts so far: who waits for one must not tell of the next
        self.step = lab.steps.get(number)  # ms that its wall clock is to be stepped by

    def begin(self) -> None:
        self.lives, self.ended_by_us = self.lives + 1, False
        program, more = ["mulleinrelay"], []
        if self.step is not None:
            program = ["mulleinrelay.lab.fleet.stepped", str(self.step)]
        if self.lab.scenario.has_membership:
            more = ["--fleet", self.lab.path(f"n{self.number}.ini")]
        environment = os.environ | {"MALLOC_ARENA_MAX": "2", "PYTHONPATH": self.lab.program}
        for name in ("MULLEINRELAY_CELLS", "MULLEINRELAY_MANAGEMENT", "MULLEINRELAY_FLEET"):
            environment.pop(name, None)
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", *program, "serve", "--config", self.path, *more],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=environment,
                cwd=self.lab.folder,
                start_new_session=True,
            )
        self.lab.keep("+", self.process.pid)

    def ready(self) -> bool:
        if self.process.poll() is not None:
            raise RuntimeError(
                f"director n{self.number} ended with {self.process.returncode}; see "
                f"{self.log_path}: {last_line(self.log_path)}"
            )
        try:
            socket.create_connection(
                (addresses.own(self.number), self.lab.port), timeout=0.2
            ).close()
            return True
        except OSError:
            return False

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def wait(self, seconds: float) -> None:
        """Until it has ended, which is seen to."""
        if self.process is None:
            return
        try:
            self.process.wait(seconds)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait(5.0)
        self.lab.keep("-", self.process.pid)

    def use(self) -> tuple[float, float]:
        """CPU seconds and MB resident; 0 once it has ended."""
        try:
            with open(f"/proc/{self.process.pid}/stat", encoding="ascii") as file:
                held = file.read().rpartition(")")[2].split()
            return (
                (int(held[11]) + int(held[12])) / os.sysconf("SC_CLK_TCK"),
                int(held[21]) * os.sysconf("SC_PAGE_SIZE") / 1e6,
            )
        except OSError:
            return 0.0, 0.0


class FleetLab:
    """One play. `run` gives where its records are; `live` is called now and then with the seconds
    since the start and the requests asked and served.
    """

    def __init__(
        self, scenario: FleetScenario, text: str, folder: str | None = None, program: str = ROOT
    ) -> None:
        """`text`: the scenario's file, which the lab's processes read again. `program`: the folder
        that holds the package that the directors run, so that earlier versions can be played.
        Raises ConfigError.
        """
        self.scenario, self.text, self.program = scenario.require_process_limits(), text, program
        self.kept = folder is not None
        self.folder = folder or tempfile.mkdtemp(prefix="mulleinrelay-fleet-")
        os.makedirs(self.folder, exist_ok=True)
        self.port, self.datagram_port = free_port(socket.SOCK_STREAM), free_port(socket.SOCK_DGRAM)
        self.helpers: list[Helper] = []
        self.steps = {
            number: strike.fault.amount
            for strike in scenario.steps()
            if strike.kind == "clock"
            for number in strike.directors
        }
        self.directors: list[Director] = []
        self.told = {"asked": 0, "served": 0}
        self.ended, self.broken = threading.Event(), ""
        self.stopped: set[int] = set()
        self.rules = 0
        self.lock = threading.Lock()
        self.threads: list[threading.Thread] = []

    def path(self, name: str) -> str:
        return os.path.join(self.folder, name)

    def keep(self, word: str, number: int) -> None:
        with self.lock:
            try:
                self.keeper.process.stdin.write(f"{word}{number}\n".encode())
                self.keeper.process.stdin.flush()
            except (OSError, ValueError):  # it has gone: then this process sees to all
                pass

    # From start to end

    def run(
        self,
        live: Callable[[float, int, int], None] | None = None,
        before: Callable[["FleetLab"], None] | None = None,
    ) -> str:
        """Raises RuntimeError where it could not be played."""
        self.keeper = Helper(
            "keeper", self.path("keeper.log"), None, "" if self.kept else self.folder, session=True
        )
        try:
            self._start()
            if before is not None:
                before(self)
            self._play(live)
            self._use()
        finally:
            self._end()
        if self.broken:
            raise RuntimeError(self.broken)
        return self.folder

    def _helper(self, module: str, name: str, first: dict) -> Helper:
        helper = Helper(module, self.path(f"{name}.log"), first, session=True)
        self.helpers.append(helper)
        self.keep("+", helper.process.pid)
        return helper

    def _start(self) -> None:
        scenario = self.scenario
        common = {"scenario": self.text, "directors": scenario.directors}
        self.records = Records(self.path("lab.records"))
        self.hosts = self._helper(
            "hosts", "hosts", common | {"records": self.path("hosts.records")}
        )
        ports = self.hosts.hear()["ports"]
        kinds = {site.name: site.kind for site in scenario.node_sites()} | {"stream": "stream"}
        targets = [
            {
                "name": name,
                "kind": "cache"
                if kinds[name] == "box"
                else "stream"
                if name == "stream"
                else "parent",
                "to": ["127.0.0.1", port],
            }
            for name, port in ports.items()
        ]
        self.relays = []
        for place in range(scenario.proxy_processes):
            first = {
                "seed": f"{scenario.seed}-relay-{place}",
                "targets": targets[place :: scenario.proxy_processes],
            }
            if place == 0:
                first |= {
                    "datagrams": list(range(scenario.directors)),
                    "datagram_port": self.datagram_port,
                }
            self.relays.append(self._helper("relay", f"relay-{place}", first))
        self.relay_of, far = {}, {}
        for relay in self.relays:
            for name, port in relay.hear()["ports"].items():
                self.relay_of[name], far[name] = relay, port
        self.hosts.tell({"far": far})
        self.hosts.hear()
        self._start_directors(far["stream"])
        self.clients = []
        for place in range(scenario.client_processes):
            locations = scenario.locations[place :: scenario.client_processes]
            if locations:
                self.clients.append(
                    self._helper(
                        "terminals",
                        f"clients-{place}",
                        common
                        | {
                            "locations": list(locations),
                            "port": self.port,
                            "records": self.path(f"clients-{place}.records"),
                        },
                    )
                )
        for client in self.clients:
            client.hear()
        self._thread(self._hear_hosts)

    def _start_directors(self, stream_port: int) -> None:
        scenario = self.scenario
        by_location = {place: settings_at(scenario, place) for place in scenario.locations}
        for number in range(scenario.directors):
            director = Director(self, number)
            self.directors.append(director)
            self.hosts.tell({"known": number})
            words = self.hosts.hear()["words"]
            whole = {
                "name": f"n{number}",
                "listen": f"{addresses.own(number)}:{self.port}",
                "seed": f"{scenario.seed * 100_003 + (0 if scenario.has_same_seeds else number * 7919):x}",
                "bus": f"{addresses.far(number)}:{stream_port}",
                "limits": {"memory_mb": scenario.memory_mb, "sockets": scenario.max_descriptors},
                "known": {"offset": 1, "batch": [words]},
                "settings": by_location[scenario.location_of(number)],
            }
            with open(director.path, "wb") as file:
                file.write(orjson.dumps(whole))
            if scenario.has_membership:
                with open(self.path(f"n{number}.ini"), "w", encoding="utf-8") as file:
                    file.write(self._talk_file(number))
        self.began_starting = time.monotonic()
        waiting, coming = list(self.directors), list[Director]()
        while waiting or coming:
            while waiting and len(coming) < AT_ONCE:
                coming.append(waiting.pop(0))
                coming[-1].begin()
            coming = [director for director in coming if not director.ready()]
            if time.monotonic() > self.began_starting + READY_WITHIN:
                raise RuntimeError(
                    f"{len(waiting) + len(coming)} directors were not ready within {READY_WITHIN:.0f} s"
                )
            time.sleep(0.02)
        self.ready_after = time.monotonic() - self.began_starting

    def _talk_file(self, number: int) -> str:
        """Three directors are asked first; records lie beside the lab's."""
        port, place = self.datagram_port, self.scenario.location_of(number)
        seeds = " ".join(
            f"{addresses.peer(seed)}:{port}" for seed in range(min(3, self.scenario.directors))
        )
        return (
            f"[fleet]\nenabled = yes\nname = lab\nkey = lab-{port:08}\nlocation = {place}\n"
            f"listen = {addresses.own(number)}:{port}\nannounce = {addresses.peer(number)}:{port}\n"
            f"seeds = {seeds}\nrecords = fleet\n"
            f"[budgets]\ncold = {'yes' if self.scenario.shares_quotas else 'no'}\n"
        )

    def _thread(self, run: Callable[[], None]) -> None:
        thread = threading.Thread(target=run, daemon=True)
        self.threads.append(thread)
        thread.start()

    def _hear_hosts(self) -> None:
        """A node that died refuses connections at the relay too, until it is back."""
        try:
            while True:
                for word, name in self.hosts.hear().items():
                    self.relay_of[name].tell({word: name})
        except RuntimeError as wrong:
            if not self.ended.is_set():
                self.broken = str(wrong)

    def _hear_clients(self, client: Helper, told: dict[Any, dict]) -> None:
        try:
            while not (held := client.hear()).get("done"):
                told[client] = held
        except RuntimeError as wrong:
            if not self.ended.is_set():
                self.broken = str(wrong)

    def _play(self, live: Callable[[float, int, int], None] | None) -> None:
        scenario, told = self.scenario, {}
        self.began = now_ms() + 1000.0 * LEAD
        self.records.add("began", self.began, scenario.seconds, round(self.ready_after, 2))
        self.cpu_before = [director.use()[0] for director in self.directors]
        for client in self.clients:
            client.tell({"began": self.began})
        listeners = [
            threading.Thread(target=self._hear_clients, args=(client, told), daemon=True)
            for client in self.clients
        ]
        for listener in listeners:
            listener.start()
        self._thread(self._strike_all)
        while any(listener.is_alive() for listener in listeners) and not self.broken:
            time.sleep(0.1)
            if live is not None:
                live(
                    (now_ms() - self.began) / 1000.0,
                    sum(held.get("asked", 0) for held in list(told.values())),
                    sum(held.get("served", 0) for held in list(told.values())),
                )
            self._watch()

    def _watch(self) -> None:
        """A director that ends without having been told to has crashed."""
        for director in self.directors:
            code = director.process.poll()
            if code is not None and director.number not in self.stopped:
                self.stopped.add(director.number)
                self.records.add(
                    "crash", now_ms(), director.number, code, last_line(director.log_path)
                )

    def _use(self) -> None:
        for director, before in zip(self.directors, self.cpu_before, strict=True):
            cpu, resident = director.use()
            self.records.add(
                "use", director.number, round(max(0.0, cpu - before), 3), round(resident, 1)
            )

    def _end(self) -> None:
        """Ends every process, by id; then the folder goes, where it was ours."""
        self.ended.set()
        for director in self.directors:
            director.signal(signal.SIGCONT)
            director.signal(signal.SIGKILL)
        for director in self.directors:
            director.wait(5.0)
        for helper in reversed(self.helpers):
            helper.end()
            self.keep("-", helper.process.pid)
        if hasattr(self, "records"):
            self.records.close()
        with self.lock:
            self.keeper.process.stdin.write(b"done\n")
        self.keeper.end(3.0)

    def clear(self) -> None:
        """The records have been read."""
        if not self.kept:
            shutil.rmtree(self.folder, ignore_errors=True)

    # Faults

    def _strike_all(self) -> None:
        running: dict[str, list[int]] = {}
        for strike in self.scenario.steps():
            wait = self.began + 1000.0 * strike.at_s - now_ms()
            if wait > 0.0 and self.ended.wait(wait / 1000.0):
                return
            wrong, at = "", now_ms()  # not after: many processes take a while to end
            try:
                self._strike(strike, running)
            except Exception as broken:  # told with the fault; the play goes on
                wrong = f"{type(broken).__name__}: {broken}"
            self.records.add(
                "fault",
                at,
                strike.name,
                strike.kind,
                strike.is_start,
                list(strike.directors),
                list(strike.nodes),
                strike.fault.location,
                wrong,
            )

    def _strike(self, strike: ScenarioStep, running: dict[str, list[int]]) -> None:
        fault = strike.fault
        if strike.kind in PATH_FAULTS:
            if strike.is_start:
                running[strike.name] = self._rule(rule_for(strike))
            else:
                self._lift(running.pop(strike.name, []))
        elif strike.kind == "late_list":
            late = 1000.0 * (fault.amount or 9.0) if strike.is_start else 0.0
            self.hosts.tell({"late": late, "directors": list(strike.directors)})
        elif strike.kind == "purge":
            if strike.is_start:
                self.hosts.tell({"purge": f"{(1 << 32) + 1:016x}"})
        elif strike.kind in NODE_FAULTS:
            self.hosts.tell(
                {
                    "do": strike.kind,
                    "nodes": list(strike.nodes),
                    "begins": strike.is_start,
                    "directors": list(strike.directors),
                    "by": fault.amount,
                }
            )
        else:
            met = [self.directors[number] for number in strike.directors]
            if strike.kind == "kill" and strike.is_start:  # all at once, then they are seen to
                for director in met:
                    self.stopped.add(director.number)
                    director.ended_by_us = True
                    director.signal(signal.SIGKILL)
            for director in met:
                self._on_director(strike, director)

    def _on_director(self, strike: ScenarioStep, director: Director) -> None:
        if strike.kind == "stop":
            director.signal(signal.SIGSTOP if strike.is_start else signal.SIGCONT)
        elif strike.kind == "kill" and strike.is_start:
            director.wait(5.0)
        elif strike.kind == "kill":
            director.begin()
            self._up(director)
        elif strike.kind == "clock" and strike.is_start:
            director.signal(signal.SIGUSR1)
        elif strike.kind == "restart" and strike.is_start:
            self._thread(lambda: self._restart(director))

    def _restart(self, director: Director) -> None:
        self.stopped.add(director.number)
        self.records.add("term", now_ms(), director.number)
        director.signal(signal.SIGTERM)
        director.wait(8.0)
        if not self.ended.is_set():
            director.begin()
            self._up(director)
            self.records.add("again", now_ms(), director.number)

    def _up(self, director: Director) -> None:
        life = director.lives

        def wait() -> None:
            end = time.monotonic() + READY_WITHIN
            while not self.ended.is_set() and time.monotonic() < end:
                try:
                    if director.ready():
                        if director.lives == life and not director.ended_by_us:
                            self.stopped.discard(director.number)
                        return
                except RuntimeError as wrong:
                    if director.lives != life or director.ended_by_us:  # killed again meanwhile
                        return
                    return self.records.add("crash", now_ms(), director.number, -1, str(wrong))
                time.sleep(0.05)

        self._thread(wait)

    def _rule(self, rule: NetworkRule) -> list[int]:
        self.rules += 1
        for relay in self.relays:
            relay.tell({"rule": self.rules, "held": encode_rule(rule)})
        return [self.rules]

    def _lift(self, numbers: list[int]) -> None:
        for number in numbers:
            for relay in self.relays:
                relay.tell({"lift": number})
