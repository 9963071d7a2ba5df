"""Injector of the scheduled faults of a fleet scenario into processes, nodes and paths."""

import signal
import threading
import time

from ...standins.clock import now_ms
from .control_channel import LabProcess, RecordFile
from .director import FleetDirector
from .network_rules import encode_rule, rule_for
from .scenario import NODE_FAULTS, PATH_FAULTS, ScenarioStep

READY_TIMEOUT_S = 60.0
READY_POLL_INTERVAL_S = 0.05
KILL_TIMEOUT_S = 5.0
TERM_TIMEOUT_S = 8.0
DEFAULT_UPDATE_DELAY_S = 9.0  # additional delay of all events at a fault `late_list`
# Id of the most popular of the objects that are requested in all locations
PURGED_OBJECT = f"{(1 << 32) + 1:016x}"


class FaultInjector:
    """Injector of the faults of a play, with its own thread.

    Each restart of a director, and each wait until a director is ready, has a further thread.

    Attributes:
        expected_down: Numbers of the directors whose exit is not recorded as a crash, because the
            lab ended them or because the crash is already recorded. Threads of the injector and of
            the lab change this set.
        stopped: Set at the end of the play, to end all threads.
        rule_numbers: Numbers of the active network rules by the name of their fault.
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
        self.rule_numbers: dict[str, int] = {}
        self.last_rule_number = 0

    def start(self, steps: list[ScenarioStep], started_at: float) -> None:
        """Start the thread that executes the steps.

        Args:
            steps: All steps of the play, ordered by time.
            started_at: Start of the play in Unix ms; it may be in the future.
        """
        threading.Thread(
            target=self._run, args=(steps, started_at), name="fault injector", daemon=True
        ).start()

    def _run(self, steps: list[ScenarioStep], started_at: float) -> None:
        for step in steps:
            wait_ms = started_at + 1000.0 * step.at_s - now_ms()
            if wait_ms > 0.0 and self.stopped.wait(wait_ms / 1000.0):
                return
            at = now_ms()  # taken before the step, as ending many processes takes time
            error = ""
            try:
                self._inject(step)
            except Exception as failure:  # recorded with the fault; the play continues
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
        if step.kind == "kill" and step.is_start:  # kill all before waiting for any of them
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
        """Start a thread that waits until the director is ready.

        When it is ready, it is removed from `expected_down`, so a later exit counts as a crash. If
        it exits before, the thread records a crash, unless the lab has killed it or has started
        it again since. If it is not ready within READY_TIMEOUT_S, it stays in `expected_down`.
        """
        threading.Thread(
            target=self._wait_until_ready,
            args=(director, director.starts),
            name="await ready",
            daemon=True,
        ).start()

    def _wait_until_ready(self, director: FleetDirector, start: int) -> None:
        deadline = time.monotonic() + READY_TIMEOUT_S
        while not self.stopped.is_set() and time.monotonic() < deadline:
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
            time.sleep(READY_POLL_INTERVAL_S)
