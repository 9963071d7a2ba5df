"""One director of the model: the decision module, and what carries its decisions out."""

from collections import deque
from typing import Any

from ..net.resp import ENDS, NOTES
from ..policy.model import Attempt, CacheStatus, EndpointState, Outcome, Request, ServiceSettings
from ..policy.router import Router, TrackedEndpoint

STATES = {
    "SERVING": EndpointState.READY,
    "DRAINING": EndpointState.DRAINING,
    "DELETED": EndpointState.GONE,
}


class Modelled:
    """The module's Writer. `world` brings attempts to nodes and verdicts to clients."""

    def __init__(
        self,
        world: Any,
        number: int,
        terms: ServiceSettings,
        zone_of: dict[str, int],
        kinds: dict[str, int],
        seed: int,
    ) -> None:
        self.world, self.number, self.terms = world, number, terms
        self.zone_of, self.kinds = zone_of, kinds
        self.director = Router(world.clock(), seed, terms)
        self.members: dict[str, TrackedEndpoint] = {}
        self.names: dict[TrackedEndpoint, str] = {}
        self.open: dict[Request, Any] = {}
        self.called_off: deque[Attempt] = deque()
        self.gone = False  # killed; a new one stands in its place

    def play(self, method: str, *arguments: Any) -> None:
        """One round, and further ones for the attempts that it called off."""
        calls = deque([(method, arguments)])
        while calls:
            now = self.world.clock()
            self.director.round(now, [calls.popleft()], self)
            while self.called_off:
                attempt = self.called_off.popleft()
                if attempt.outcome is None:
                    calls.append(
                        (
                            "answered",
                            (
                                attempt,
                                Outcome.CANCELLED,
                                now - attempt.sent_at,
                                attempt.request.is_complete,
                                CacheStatus.UNKNOWN,
                                0.0,
                                None,
                            ),
                        )
                    )

    def list(self, rows: list[dict], whole: bool = False) -> None:
        told = []
        for row in rows:
            member = self.members.get(row["id"])
            if member is None:
                member = self.members[row["id"]] = TrackedEndpoint(
                    int(row["id"].rpartition("-")[2], 16)
                )
                self.names[member] = row["id"]
            told.append(
                (
                    member,
                    STATES[row["state"]],
                    float(row["weight"]),
                    self.kinds[row["kind"]],
                    self.zone_of[row["zone"]],
                    0,
                    float(row["started_ms"]),
                )
            )
        self.play("listed", told, whole, False)

    def ask(self, pending: Any, left: float) -> None:
        now, wanted = self.world.clock(), pending.wanted
        case = self.terms.request_classes[self.world.class_indices[wanted.request_class]]
        request = Request(
            pending,
            case,
            wanted.object_id,
            0,
            wanted.object_id & 0xFF,
            wanted.size_kb,
            now,
            now + left,
            pending.tries > 1,
        )
        self.open[request] = pending
        self.play("requested", request)

    def answered(self, attempt: Attempt, word: str, why: str, waited: float) -> None:
        """What a node said."""
        if not self.gone and attempt.outcome is None:
            self.ended(attempt, ENDS[word.encode()], NOTES.get(why, CacheStatus.UNKNOWN), waited)

    def ended(
        self,
        attempt: Attempt,
        outcome: Outcome,
        note: CacheStatus = CacheStatus.UNKNOWN,
        waited: float = 0.0,
    ) -> None:
        if self.gone or attempt.outcome is not None:
            return
        request, now = attempt.request, self.world.clock()
        good = outcome == Outcome.SERVED
        if good and not request.is_complete:
            self._settle(request, "served", 0.0)
        self.play(
            "answered",
            attempt,
            outcome,
            now - attempt.sent_at,
            request.is_complete or good,
            note,
            waited,
            None,
        )

    def health_check_answered(self, name: str) -> None:
        """A node has answered a health check."""
        self.play("told", self.members[name], {})

    def purged(self, object_id: int, age: float) -> None:
        """The director is notified of a purge that is `age` ms old."""
        self.play("purged", object_id, 0, age)

    def finish(self, request: Request) -> None:
        """The request's time is over."""
        self.play("woken", request)

    def timed_out(self, attempt: Attempt) -> None:
        if attempt.outcome is None:
            self.ended(attempt, Outcome.TIMEOUT)

    def woken(self, about: Request | Attempt) -> None:
        over = about.is_complete if isinstance(about, Request) else about.outcome is not None
        if not self.gone and not over:
            self.play("woken", about)

    def _settle(self, request: Request, what: str, pause: float) -> None:
        pending = self.open.pop(request, None)
        if pending is not None:
            self.world.on_result(self, pending, what, pause)

    # The module's Writer

    def send(
        self,
        attempt: Attempt,
        max_age: float,
        rank: int,
        join: bool,
        held_only: bool,
        parent_keeps: bool,
        renew: bool,
    ) -> None:
        filled = attempt.fill_source is not None and attempt.fill_source is not attempt.endpoint
        source = self.names[attempt.fill_source] if filled else ""
        hows = [
            word
            for word, on in (
                ("collapse", join),
                ("only-if-cached", held_only),
                ("no-store-up", not parent_keeps),
            )
            if on
        ]
        fields = {
            "lane": attempt.request.context.wanted.request_class,
            "name": f"{attempt.request.object_id:016x}",
            "piece": "0",
            "miss": source,
            "prio": str(rank),
            "f": "+".join(hows),
            "dedupe": attempt.request.context.wanted.idempotency_key
            or f"mark-{attempt.request.context.number}-{attempt.request.context.tries}",
        }
        if max_age > 0.0:
            fields["within"] = f"{max(1.0, max_age):.0f}"
        self.world.send_attempt(self, attempt, self.names[attempt.endpoint], fields)
        self.world.clock.call_at(
            self.world.clock() + attempt.timeout, lambda: self.timed_out(attempt)
        )

    def abandon(self, attempt: Attempt) -> None:
        if attempt.outcome is None:
            self.called_off.append(attempt)

    def reject(self, request: Request, come_back: float) -> None:
        self._settle(request, "rejected", come_back)

    def fail(self, request: Request) -> None:
        self._settle(request, "failed", 0.0)

    def wake(self, delay: float, about: Any) -> None:
        self.world.clock.call_at(self.world.clock() + delay, lambda: self.woken(about))

    def probe(self, node: TrackedEndpoint) -> None:
        self.world.check_health(self, self.names[node])

    def subscribe(self) -> None:
        """The stream is always read."""

    def log(self, text: str) -> None:
        """The model writes no log."""
