"""A simulation of directors, clients, nodes, endpoint updates and faults.

The simulation leaves out the CPU time and the queues of directors, the sizes of messages, and
connections. Rules that limit bytes per second count each message as `network.MESSAGE_BYTES`. An
attempt on a cut path is held and arrives when the cut ends, unless it has been reset by then, as
after a ping without an answer. A simulated director is notified of the caches of its own location,
all parents and the origin; a director of the fleet lab is notified of all nodes.
"""

import random
from collections.abc import Callable
from typing import Any

from ..config.platform import JsonSection, parse_service_settings
from ..lab.director_settings import fleet_platform_settings
from ..lab.fleet.audit import Audit
from ..lab.fleet.network_rules import rule_for
from ..lab.fleet.node_server import build_node_fleet, schedule_purge
from ..lab.fleet.observations import (
    DirectorRecord,
    ExecutionRecord,
    FaultRecord,
    NotificationRecord,
    Observations,
)
from ..lab.fleet.scenario import NODE_FAULTS, PATH_FAULTS, FleetScenario, ScenarioStep
from ..policy.model import Attempt
from ..standins.node_kinds import CACHE, ORIGIN, PARENT
from .clients import PendingRequest, SimulatedClients
from .clock import Clock
from .directors import SimulatedDirector
from .network import SimulatedNetwork

LEAD_MS = 500.0  # time before the first request
END_GRACE_MS = 300.0  # simulated time after the patience of the last request has ended
PROGRESS_MS = 500.0  # simulated time between two calls of `on_progress`
SEED_FACTOR = 100_003  # keeps the directors' seeds apart in scenarios with different seeds
SEED_STEP = 7919  # difference of the seeds of two directors that start one after the other
DEFAULT_SLOWDOWN = 10.0  # factor of a node's slowdown if the fault gives none
DEFAULT_UPDATE_DELAY_S = 9.0  # extra delay of endpoint updates if the fault gives none
PURGE_DELAY_DIVISOR = 3.0  # purge notifications arrive earlier than endpoint updates
PURGED_OBJECT = f"{(1 << 32) + 1:016x}"  # most popular object of those shared by all locations

Progress = Callable[[float, int, int], None]


class Simulation:
    """One run of a scenario in simulated time.

    Attributes:
        started_at: Start of the scenario in ms of simulated time; no request is sent earlier.
        network: The network between directors and nodes.
        clients: The clients of all locations.
        rule_numbers: Number of the network rule of each fault that has started, by fault name.
        deferred_calls: Calls that run when a stopped director resumes, by director number; running
            directors are missing.
        extra_update_delays: Extra delay of endpoint updates in ms, by director number.
        class_indices: Index of each request class in the directors' settings, by class name.
        director_starts: Number of directors that were started, including those that replace others.
        directors: The present directors, by number.
    """

    def __init__(self, scenario: FleetScenario) -> None:
        self.scenario = scenario
        self.clock = Clock()
        self.started_at = self.clock.now + LEAD_MS
        self.random = random.Random(f"{scenario.seed}-model")
        self.fleet = build_node_fleet(scenario)
        self.fleet.clock = self.clock
        self.sites = {site.name: site for site in scenario.node_sites()}
        self.observations = Observations(self.started_at, scenario.seconds)
        self.network = SimulatedNetwork(self)
        self.clients = SimulatedClients(self)
        self.rule_numbers: dict[str, int] = {}
        self.deferred_calls: dict[int, list[Callable[[], None]]] = {}
        self.extra_update_delays: dict[int, float] = {}
        self.class_indices = {"pages": 0, "order": 1, "pay": 2}
        self.zone_numbers = {zone: number for number, zone in enumerate(scenario.zones())}
        self.kind_numbers = {CACHE: 0, PARENT: 1, ORIGIN: 2}
        self.settings = {
            location: parse_service_settings(
                JsonSection(fleet_platform_settings(scenario, location), "")
            )
            for location in scenario.locations
        }
        self.director_starts = 0
        self.directors = [self._start_director(number) for number in range(scenario.directors)]

    def run(self, on_progress: Progress | None = None) -> Observations:
        """Run the scenario and return the records.

        Args:
            on_progress: Function that is called twice per simulated second, with the seconds since
                the start and the numbers of completed and of served requests; None for no calls.
        """
        self.clients.start()
        for step in self.scenario.steps():
            self._schedule_fault(step)
        patience_ms = self.scenario.patience_ms
        ends_at = self.started_at + 1000.0 * self.scenario.seconds + patience_ms + END_GRACE_MS
        while self.clock.now < ends_at:
            self.clock.run(min(ends_at, self.clock.now + PROGRESS_MS))
            if on_progress is not None:
                requests = self.observations.requests
                served = sum(request.outcome == "served" for request in requests)
                on_progress(self.since_start_s(), len(requests), served)
        executions = self.fleet.executions
        repeated = sum(times > 1 for times in executions.values())
        self.observations.other_records["effects"].append(
            ExecutionRecord(repeated, len(executions), self.fleet.origin_fetches)
        )
        return self.observations

    def since_start_s(self) -> float:
        """Return the simulated time since the start in seconds."""
        return (self.clock() - self.started_at) / 1000.0

    def defer_if_stopped(self, number: int, call: Callable[[], None]) -> bool:
        """Defer a call until a stopped director resumes.

        Returns:
            Whether the call was deferred; False if the director is not stopped.
        """
        if number not in self.deferred_calls:
            return False
        self.deferred_calls[number].append(call)
        return True

    # Called by directors

    def on_result(
        self,
        director: SimulatedDirector,
        pending: PendingRequest,
        outcome: str,
        retry_after_ms: float,
    ) -> None:
        """Pass a director's result to its client."""
        self.clients.on_result(pending, outcome, retry_after_ms)

    def send_attempt(
        self, director: SimulatedDirector, attempt: Attempt, name: str, fields: dict[str, str]
    ) -> None:
        """Pass a director's command to the network."""
        self.network.send_attempt(director, attempt, name, fields)

    def check_health(self, director: SimulatedDirector, name: str) -> None:
        """Pass a director's health check to the network."""
        self.network.check_health(director, name)

    # Nodes

    def crash_node(self, name: str) -> None:
        """Crash a node: reset the attempts in flight at the node, and notify the directors."""
        node = self.fleet.nodes[name]
        node.is_alive = False
        node.state = "DELETED"
        self.network.reset_attempts_at(name)
        self._publish_endpoint(name)

    def _restart_node(self, name: str) -> None:
        node = self.fleet.nodes[name]
        node.reset()
        node.started_at = self.clock()
        node.state = "SERVING"
        node.is_alive = True
        node.is_silent = False
        self._publish_endpoint(name)

    def _endpoint_row(self, name: str) -> dict[str, Any]:
        node = self.fleet.nodes[name]
        return {
            "id": name,
            "zone": self.sites[name].zone,
            "kind": node.spec.kind,
            "state": node.state,
            "weight": node.spec.weight,
            "started_ms": node.started_at,
        }

    def _publish_endpoint(self, name: str) -> None:
        """Notify directors of a node's current state, each after its own random delay.

        A cache is only announced to the directors of its location, other nodes to all directors.
        """
        row = self._endpoint_row(name)
        site = self.sites[name]
        for number in range(self.scenario.directors):
            if site.kind != CACHE or self.scenario.location_of(number) == site.zone:
                delay = self.random.uniform(*self.scenario.update_delay_ms)
                due_at = self.clock() + delay + self.extra_update_delays.get(number, 0.0)
                self._notify_director_at(due_at, number, row)

    def _notify_director_at(self, due_at: float, number: int, row: dict[str, Any]) -> None:
        self.clock.call_at(due_at, lambda: self._notify_director(number, row))

    def _notify_director(self, number: int, row: dict[str, Any]) -> None:
        director = self.directors[number]
        if director.has_exited:
            return
        if self.defer_if_stopped(number, lambda: self._notify_director(number, row)):
            return
        self.observations.other_records["told"].append(
            NotificationRecord(
                self.since_start_s(), number, row["id"], row["state"], row["started_ms"]
            )
        )
        director.update_endpoints([row])

    # Directors

    def _start_director(self, number: int) -> SimulatedDirector:
        self.director_starts += 1
        offset = 0 if self.scenario.has_same_seeds else SEED_STEP * self.director_starts
        location = self.scenario.location_of(number)
        director = SimulatedDirector(
            self,
            number,
            self.settings[location],
            self.zone_numbers,
            self.kind_numbers,
            self.scenario.seed * SEED_FACTOR + offset,
        )
        rows = [
            self._endpoint_row(site.name)
            for site in self.sites.values()
            if site.kind != CACHE or site.zone == location
        ]
        director.update_endpoints(rows, is_full_snapshot=True)
        return director

    # Faults

    def _schedule_fault(self, step: ScenarioStep) -> None:
        self.clock.call_at(self.started_at + 1000.0 * step.at_s, lambda: self._inject_fault(step))

    def _inject_fault(self, step: ScenarioStep) -> None:
        self.observations.other_records["fault"].append(
            FaultRecord(
                self.since_start_s(),
                step.name,
                step.kind,
                step.is_start,
                list(step.directors),
                list(step.nodes),
                step.fault.location,
                "",
            )
        )
        if step.kind in PATH_FAULTS:
            self._change_network_rules(step)
        elif step.kind == "late_list":
            extra_delay = 1000.0 * (step.fault.amount or DEFAULT_UPDATE_DELAY_S)
            for number in step.directors:
                self.extra_update_delays[number] = extra_delay if step.is_start else 0.0
        elif step.kind == "purge" and step.is_start:
            self._purge(PURGED_OBJECT)
        elif step.kind in NODE_FAULTS:
            for name in step.nodes:
                self._inject_into_node(step, name)
        else:
            for number in step.directors:
                self._inject_into_director(step, number)

    def _change_network_rules(self, step: ScenarioStep) -> None:
        rules = self.network.rules.rules
        if step.is_start:
            number = len(self.rule_numbers) + 1
            self.rule_numbers[step.name] = number
            rules[number] = rule_for(step)
        else:
            rules.pop(self.rule_numbers[step.name], None)
            self.network.release_held_messages()

    def _purge(self, object_id: str) -> None:
        now = self.clock()
        self.fleet.purged_at[object_id] = now
        nodes = list(self.fleet.nodes.values())
        schedule_purge(self.clock.call_at, nodes, object_id, now, self.random)
        for director in self.directors:
            delay = self.random.uniform(*self.scenario.update_delay_ms) / PURGE_DELAY_DIVISOR
            self._notify_of_purge_at(now + delay, director, object_id, now)

    def _notify_of_purge_at(
        self, due_at: float, director: SimulatedDirector, object_id: str, purged_at: float
    ) -> None:
        def notify() -> None:
            if not director.has_exited:
                self.network.purge_notified_at[director.number, object_id] = self.clock()
                director.receive_purge(int(object_id, 16), self.clock() - purged_at)

        self.clock.call_at(due_at, notify)

    def _inject_into_node(self, step: ScenarioStep, name: str) -> None:
        node = self.fleet.nodes[name]
        directors = frozenset(step.directors)
        amount = step.fault.amount or DEFAULT_SLOWDOWN
        if step.kind in ("node_kill", "node_cold"):
            if step.is_start:
                self.crash_node(name)
            else:
                self._restart_node(name)
        elif step.kind == "node_silent":
            node.is_silent = step.is_start
            if not step.is_start:
                self._restart_node(name)
        elif step.kind == "node_slow" and len(directors) >= self.scenario.directors:
            node.slowdown = amount if step.is_start else 1.0
        elif step.kind == "node_slow":
            unaffected: tuple[frozenset[int], float] = (frozenset(), 1.0)
            self.network.slow_for[name] = (directors, amount) if step.is_start else unaffected
        elif step.kind == "node_errors":
            self.network.failing_for[name] = directors if step.is_start else frozenset()
        elif step.kind == "drain":
            node.state = "DRAINING" if step.is_start else "SERVING"
            self._publish_endpoint(name)

    def _inject_into_director(self, step: ScenarioStep, number: int) -> None:
        director = self.directors[number]
        if step.kind == "stop" and step.is_start:
            self.deferred_calls[number] = []
        elif step.kind == "stop":
            for call in self.deferred_calls.pop(number, []):
                call()
        elif step.kind == "kill" and step.is_start:
            director.has_exited = True
            for pending in list(director.open_requests.values()):
                self.clients.on_disconnect(pending, number)
        elif step.kind == "kill":
            self.directors[number] = self._start_director(number)
            self.clients.excluded_directors.discard(number)
        elif step.kind == "restart" and step.is_start:
            self._restart_director(number)

    def _restart_director(self, number: int) -> None:
        """Shut a director down gracefully: finish its open requests, then start a new director."""
        director = self.directors[number]
        record = DirectorRecord(self.since_start_s(), number)
        self.observations.other_records["term"].append(record)
        for request in list(director.open_requests):
            director.finish_request(request)
        director.has_exited = True
        self.directors[number] = self._start_director(number)


def run_scenario(scenario: FleetScenario, on_progress: Progress | None = None) -> dict[str, Any]:
    """Simulate a scenario and return the figures of the fleet lab's audit."""
    return Audit(scenario, Simulation(scenario).run(on_progress)).figures()
