"""Injects the faults of a fleet scenario at their times, into processes, nodes and paths."""

import signal
import threading
import time

from ...standins.clock import now_ms
from .control_channel import LabProcess, RecordFile
from .director import FleetDirector
from .network_rules import encode_rule, rule_for
from .scenario import NODE_FAULTS, PATH_FAULTS, ScenarioStep

READY_TIMEOUT_S = 60.0
READY_POLL_S = 0.05
KILL_TIMEOUT_S = 5.0
TERM_TIMEOUT_S = 8.0
DEFAULT_UPDATE_DELAY_S = 9.0
PURGED_OBJECT = f"{(1 << 32) + 1:016x}"  # the most popular of the objects that locations share


class FaultInjector:
    """Injects faults on a thread of its own; restarts and returns have threads each.

    Attributes:
        expected_down: Directors whose end is no crash: the lab has ended them, or their crash is
            recorded. Changed by the injector's threads and the lab's.
        stopped: Set when the play ends; all threads end then.
    """

    def __init__(
        self,
        directors: list[FleetDirector],
        endpoints: LabProcess,
        proxies: list[LabProcess],
        records: RecordFile,
        stopped: threading.Event,
    ) -> None:
        self.directors = directors
        self.endpoints = endpoints
        self.proxies = proxies
        self.records = records
        self.stopped = stopped
        self.expected_down: set[int] = set()
        self.rule_numbers: dict[str, int] = {}  # of the faults that are under way
        self.last_rule_number = 0

    def start(self, steps: list[ScenarioStep], began: float) -> None:
        """Start the thread that carries out the steps; `began`: start of the play (Unix ms)."""
        threading.Thread(
            target=self._run, args=(steps, began), name="fault injector", daemon=True
        ).start()

    def _run(self, steps: list[ScenarioStep], began: float) -> None:
        for step in steps:
            wait_ms = began + 1000.0 * step.at_s - now_ms()
            if wait_ms > 0.0 and self.stopped.wait(wait_ms / 1000.0):
                return
            at = now_ms()  # not after the step: many processes take a while to end
            error = ""
            try:
                self._inject(step)
            except Exception as failure:  # recorded with the fault; the play goes on
                error = f"{type(failure).__name__}: {failure}"
            self.records.add(
                "fault",
                at,
                step.name,
                step.kind,
                step.is_start,
                list(step.directors),
                list(step.nodes),
                step.fault.location,
                error,
            )

    def _inject(self, step: ScenarioStep) -> None:
        amount = step.fault.amount
        if step.kind in PATH_FAULTS:
            self._change_rules(step)
        elif step.kind == "late_list":
            late_by = 1000.0 * (amount or DEFAULT_UPDATE_DELAY_S) if step.is_start else 0.0
            self.endpoints.send({"late": late_by, "directors": list(step.directors)})
        elif step.kind == "purge":
            if step.is_start:
                self.endpoints.send({"purge": PURGED_OBJECT})
        elif step.kind in NODE_FAULTS:
            self.endpoints.send(
                {
                    "do": step.kind,
                    "nodes": list(step.nodes),
                    "begins": step.is_start,
                    "directors": list(step.directors),
                    "by": amount,
                }
            )
        else:
            self._inject_into_directors(step)

    def _change_rules(self, step: ScenarioStep) -> None:
        if step.is_start:
            self.last_rule_number += 1
            self.rule_numbers[step.name] = self.last_rule_number
            rule = {"rule": self.last_rule_number, "held": encode_rule(rule_for(step))}
            for proxy in self.proxies:
                proxy.send(rule)
            return
        number = self.rule_numbers.pop(step.name, None)
        if number is not None:
            for proxy in self.proxies:
                proxy.send({"lift": number})

    def _inject_into_directors(self, step: ScenarioStep) -> None:
        directors = [self.directors[number] for number in step.directors]
        if step.kind == "kill" and step.is_start:  # all at once, before any is waited for
            for director in directors:
                self.expected_down.add(director.number)
                director.was_killed = True
                director.signal(signal.SIGKILL)
        for director in directors:
            self._inject_into_director(step, director)

    def _inject_into_director(self, step: ScenarioStep, director: FleetDirector) -> None:
        if step.kind == "stop":
            director.signal(signal.SIGSTOP if step.is_start else signal.SIGCONT)
        elif step.kind == "kill" and step.is_start:
            director.wait(KILL_TIMEOUT_S)
        elif step.kind == "kill":
            director.start()
            self._await_ready(director)
        elif step.kind == "clock" and step.is_start:
            director.signal(signal.SIGUSR1)
        elif step.kind == "restart" and step.is_start:
            threading.Thread(
                target=self._restart, args=(director,), name="restart", daemon=True
            ).start()

    def _restart(self, director: FleetDirector) -> None:
        self.expected_down.add(director.number)
        self.records.add("term", now_ms(), director.number)
        director.signal(signal.SIGTERM)
        director.wait(TERM_TIMEOUT_S)
        if not self.stopped.is_set():
            director.start()
            self._await_ready(director)
            self.records.add("again", now_ms(), director.number)

    def _await_ready(self, director: FleetDirector) -> None:
        """Wait on a thread until a start is done; from then on its end is a crash again."""
        threading.Thread(
            target=self._wait_until_ready,
            args=(director, director.starts),
            name="await ready",
            daemon=True,
        ).start()

    def _wait_until_ready(self, director: FleetDirector, start: int) -> None:
        ends_at = time.monotonic() + READY_TIMEOUT_S
        while not self.stopped.is_set() and time.monotonic() < ends_at:
            try:
                is_ready = director.is_ready()
            except RuntimeError as error:
                if director.starts == start and not director.was_killed:
                    self.records.add("crash", now_ms(), director.number, -1, str(error))
                return
            if is_ready:
                if director.starts == start and not director.was_killed:
                    self.expected_down.discard(director.number)
                return
            time.sleep(READY_POLL_S)
