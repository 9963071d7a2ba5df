"""The clients of the simulation: their requests, retries and results."""

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

CLIENT_DELAY_MS = 0.3  # one way between a client and a director, as on loopback
MIN_TIME_FOR_TRY = 10.0  # ms of patience that must remain for a try
MIN_PATIENCE_MS = 1.0


@dataclass(slots=True, eq=False)
class PendingRequest:
    """One request over its tries; times in ms. `director`: of the last try."""

    number: int
    asked_at: float
    deadline: float
    location: str
    wanted: RequestPlan
    director: int = NO_DIRECTOR
    first_director: int = NO_DIRECTOR
    tries: int = 0
    is_over: bool = False


class SimulatedClients:
    """All clients. Attributes: `excluded` are the directors that clients pass by."""

    def __init__(self, simulation: "Simulation") -> None:
        self.simulation = simulation
        self.scenario = simulation.scenario
        self.clock = simulation.clock
        self.observations = simulation.observations
        self.excluded: set[int] = set()
        self.loads = {
            location: LocationLoad(self.scenario, location) for location in self.scenario.locations
        }
        self.request_count = 0

    def start(self) -> None:
        """Schedule the first request of each location."""
        for load in self.loads.values():
            self._send_new_at(self.simulation.began + 1000.0 * load.next_arrival_in_s(0.0), load)

    def on_result(self, request: PendingRequest, outcome: str, retry_after_ms: float) -> None:
        """Retry after a rejection, else complete the request."""
        if request.is_over:
            return
        now = self.clock()
        retry_at = now + (retry_after_ms or DEFAULT_RETRY_DELAY)
        can_retry = request.tries < self.scenario.max_tries and retry_at < request.deadline
        if outcome == "rejected" and can_retry:
            self._retry_at(retry_at, request)
            return
        self.clock.call_at(now + CLIENT_DELAY_MS, lambda: self._complete(request, outcome))

    def on_disconnect(self, request: PendingRequest, number: int) -> None:
        """Retry where the request class permits, as the director is dead.

        After the time of failure detection, clients pass the director by.
        """
        simulation = self.simulation
        self.observations.other_records["cut"].append(
            DisconnectRecord(simulation.since_start_s(), number, 1)
        )
        if simulation.directors[number].gone:
            detected_at = self.clock() + self.scenario.failure_detection_ms
            self.clock.call_at(detected_at, lambda: self._exclude_dead(number))
        remaining = request.deadline - self.clock()
        if can_retry_after_disconnect(self.scenario, request.wanted, request.tries, remaining):
            self._retry_at(self.clock() + DEFAULT_RETRY_DELAY, request)
            return
        self._complete(request, "cut off")

    def _send_new_at(self, due_at: float, load: LocationLoad) -> None:
        self.clock.call_at(due_at, lambda: self._send_new(load))

    def _send_new(self, load: LocationLoad) -> None:
        since_start_s = self.simulation.since_start_s()
        now = self.clock()
        if since_start_s >= self.scenario.seconds:
            return
        self.request_count += 1
        deadline = now + self.scenario.patience_ms
        plan = load.draw_request(since_start_s)
        self._send_try(PendingRequest(self.request_count, now, deadline, load.location, plan))
        self._send_new_at(now + 1000.0 * load.next_arrival_in_s(since_start_s), load)

    def _send_try(self, request: PendingRequest) -> None:
        now = self.clock()
        director = self.loads[request.location].draw_director(self.excluded)
        if director is None or now > request.deadline - MIN_TIME_FOR_TRY:
            self._complete(request, "nobody")
            return
        request.tries += 1
        request.director = director
        if request.first_director == NO_DIRECTOR:
            request.first_director = director
        tries = request.tries
        missing_at = request.deadline + self.scenario.answer_grace_ms
        self.clock.call_at(missing_at, lambda: self._expire(request, tries))
        self.clock.call_at(now + CLIENT_DELAY_MS, lambda: self._arrive(request, director))

    def _arrive(self, request: PendingRequest, number: int) -> None:
        """A try has reached its director."""
        simulation = self.simulation
        if simulation.defer_if_stopped(number, lambda: self._arrive(request, number)):
            return
        director = simulation.directors[number]
        if director.gone:
            self.on_disconnect(request, number)
            return
        director.ask(request, max(MIN_PATIENCE_MS, request.deadline - self.clock()))

    def _retry_at(self, due_at: float, request: PendingRequest) -> None:
        def retry() -> None:
            if not request.is_over:
                self._send_try(request)

        self.clock.call_at(due_at, retry)

    def _expire(self, request: PendingRequest, tries: int) -> None:
        """Complete a request whose answer is missing, where this try was its last."""
        if request.is_over or request.tries != tries:
            return
        self.observations.other_records["none"].append(
            (self.simulation.since_start_s(), request.director, request.asked_at)
        )
        self._complete(request, "no answer")

    def _exclude_dead(self, number: int) -> None:
        if self.simulation.directors[number].gone:
            self.excluded.add(number)

    def _complete(self, request: PendingRequest, outcome: str) -> None:
        if request.is_over:
            return
        request.is_over = True
        self.observations.requests.append(
            RequestRecord(
                (request.asked_at - self.simulation.began) / 1000.0,
                self.clock() - request.asked_at,
                request.location,
                request.first_director,
                request.director,
                request.wanted.request_class,
                request.wanted.object_id,
                outcome,
                request.tries,
            )
        )
