"""Simulated clients, which send requests, retry them and record the outcomes.

A client sends each request as one or more tries, each to one director. An attempt, in contrast, is
what a director sends to a node.
"""

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..lab.fleet.addresses import NO_DIRECTOR
from ..lab.fleet.load import (
    DEFAULT_RETRY_DELAY,
    LocationLoad,
    RequestPlan,
    can_retry_after_disconnect,
)
from ..lab.fleet.observations import DisconnectRecord, RequestRecord

if TYPE_CHECKING:
    from .simulation import Simulation

CLIENT_DELAY_MS = 0.3  # one-way delay between a client and a director, as on loopback
MIN_TIME_FOR_TRY_MS = 10.0  # patience that must remain when a try is sent
MIN_PATIENCE_MS = 1.0  # directors require a positive patience


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A client's request, which is sent as one or more tries. Times are in ms.

    Attributes:
        number: Number of the request in the simulation, from 1.
        created_at: Time when the client decided to send the request.
        deadline: Time when the client's patience ends.
        location: Location of the client.
        plan: Content of the request.
        last_director: Number of the director to which the last try was sent; `NO_DIRECTOR` if no
            try was sent yet.
        first_director: Number of the director to which the first try was sent; `NO_DIRECTOR` if no
            try was sent yet.
        tries: Number of tries so far.
        is_complete: Whether the final outcome is recorded.
    """

    number: int
    created_at: float
    deadline: float
    location: str
    plan: RequestPlan
    last_director: int = NO_DIRECTOR
    first_director: int = NO_DIRECTOR
    tries: int = 0
    is_complete: bool = False


class SimulatedClients:
    """The clients of all locations.

    Attributes:
        excluded_directors: Numbers of the directors that clients do not choose, from the detection
            of their exit until they start again.
        loads: Load of each location, by location.
        request_count: Number of requests that were created.
    """

    def __init__(self, simulation: "Simulation") -> None:
        self.simulation = simulation
        self.scenario = simulation.scenario
        self.clock = simulation.clock
        self.observations = simulation.observations
        self.excluded_directors: set[int] = set()
        self.loads = {
            location: LocationLoad(self.scenario, location) for location in self.scenario.locations
        }
        self.request_count = 0

    def start(self) -> None:
        """Schedule the first request of each location."""
        for load in self.loads.values():
            self._schedule_new_request(
                self.simulation.started_at + 1000.0 * load.next_arrival_in_s(0.0), load
            )

    def on_result(self, request: PendingRequest, outcome: str, retry_after_ms: float) -> None:
        """Process a director's result: retry a rejected request if possible, else complete it.

        A retry is possible if a try is left and the retry is due before the deadline. Nothing is
        done if the request is complete already.

        Args:
            request: The request.
            outcome: "served", "rejected" or "failed".
            retry_after_ms: Time in ms after which a rejected request may be retried; if 0,
                `DEFAULT_RETRY_DELAY` is used.
        """
        if request.is_complete:
            return
        now = self.clock()
        retry_at = now + (retry_after_ms or DEFAULT_RETRY_DELAY)
        can_retry = request.tries < self.scenario.max_tries and retry_at < request.deadline
        if outcome == "rejected" and can_retry:
            self._schedule_retry(retry_at, request)
            return
        self.clock.call_at(now + CLIENT_DELAY_MS, lambda: self._complete(request, outcome))

    def on_disconnect(self, request: PendingRequest, number: int) -> None:
        """Record a lost connection to a director; retry the request if permitted, else complete it.

        If the director has exited, clients stop choosing it after the failure detection time,
        unless it has started again by then.

        Args:
            request: The request that was open at the director or sent to it.
            number: Number of the director.
        """
        simulation = self.simulation
        self.observations.other_records["cut"].append(
            DisconnectRecord(simulation.since_start_s(), number, 1)
        )
        if simulation.directors[number].has_exited:
            detected_at = self.clock() + self.scenario.failure_detection_ms
            self.clock.call_at(detected_at, lambda: self._exclude_if_exited(number))
        remaining = request.deadline - self.clock()
        if can_retry_after_disconnect(self.scenario, request.plan, request.tries, remaining):
            self._schedule_retry(self.clock() + DEFAULT_RETRY_DELAY, request)
            return
        self._complete(request, "cut off")

    def _schedule_new_request(self, due_at: float, load: LocationLoad) -> None:
        self.clock.call_at(due_at, lambda: self._send_new_request(load))

    def _send_new_request(self, load: LocationLoad) -> None:
        since_start_s = self.simulation.since_start_s()
        now = self.clock()
        if since_start_s >= self.scenario.seconds:
            return
        self.request_count += 1
        deadline = now + self.scenario.patience_ms
        plan = load.draw_request(since_start_s)
        self._send_try(PendingRequest(self.request_count, now, deadline, load.location, plan))
        self._schedule_new_request(now + 1000.0 * load.next_arrival_in_s(since_start_s), load)

    def _send_try(self, request: PendingRequest) -> None:
        now = self.clock()
        director = self.loads[request.location].draw_director(self.excluded_directors)
        if director is None or now > request.deadline - MIN_TIME_FOR_TRY_MS:
            self._complete(request, "nobody")
            return
        request.tries += 1
        request.last_director = director
        if request.first_director == NO_DIRECTOR:
            request.first_director = director
        try_number = request.tries
        expires_at = request.deadline + self.scenario.answer_grace_ms
        self.clock.call_at(expires_at, lambda: self._expire_try(request, try_number))
        self.clock.call_at(
            now + CLIENT_DELAY_MS, lambda: self._deliver_to_director(request, director)
        )

    def _deliver_to_director(self, request: PendingRequest, number: int) -> None:
        """Deliver a try to its director, or report a disconnect if the director has exited.

        If the director is stopped, the delivery is deferred until it resumes.
        """
        simulation = self.simulation
        if simulation.defer_if_stopped(number, lambda: self._deliver_to_director(request, number)):
            return
        director = simulation.directors[number]
        if director.has_exited:
            self.on_disconnect(request, number)
            return
        director.receive_request(request, max(MIN_PATIENCE_MS, request.deadline - self.clock()))

    def _schedule_retry(self, due_at: float, request: PendingRequest) -> None:
        def retry() -> None:
            if not request.is_complete:
                self._send_try(request)

        self.clock.call_at(due_at, retry)

    def _expire_try(self, request: PendingRequest, try_number: int) -> None:
        """Complete a request whose last try got no answer in time.

        Nothing is done if the request is complete or if a further try was sent in the meantime.
        """
        if request.is_complete or request.tries != try_number:
            return
        self.observations.other_records["none"].append(
            (self.simulation.since_start_s(), request.last_director, request.created_at)
        )
        self._complete(request, "no answer")

    def _exclude_if_exited(self, number: int) -> None:
        if self.simulation.directors[number].has_exited:
            self.excluded_directors.add(number)

    def _complete(self, request: PendingRequest, outcome: str) -> None:
        if request.is_complete:
            return
        request.is_complete = True
        self.observations.requests.append(
            RequestRecord(
                (request.created_at - self.simulation.started_at) / 1000.0,
                self.clock() - request.created_at,
                request.location,
                request.first_director,
                request.last_director,
                request.plan.request_class,
                request.plan.object_id,
                outcome,
                request.tries,
            )
        )
