"""The world of the model: clients, nodes, list and faults in simulated time.

What it leaves out: CPU and queues of directors, links and their connections (an attempt that is cut
off is held and comes once the cut is over), trickling streams. A director is told of the caches of
its own location, of all parents and of the origin; in the lab it is told of all.
"""

import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ..config.platform import JsonSection, parse_service_settings
from ..lab.director_settings import fleet_platform_settings
from ..lab.fleet.audit import Audit
from ..lab.fleet.load import (
    DEFAULT_RETRY_DELAY,
    LocationLoad,
    RequestPlan,
    can_retry_after_disconnect,
)
from ..lab.fleet.network_rules import DOWN, UP, ActiveRules, StreamState, rule_for
from ..lab.fleet.node_server import build_node_fleet
from ..lab.fleet.observations import (
    AttemptRecord,
    DirectorRecord,
    DisconnectRecord,
    ExecutionRecord,
    FaultRecord,
    HealthCheckRecord,
    NodeCrashRecord,
    NotificationRecord,
    Observations,
    RequestRecord,
)
from ..lab.fleet.scenario import NODE_FAULTS, PATH_FAULTS, FleetScenario, ScenarioStep
from ..net.upstream_connections import ECHO_WAIT
from ..policy.connection_reuse import QUIET
from ..policy.model import Attempt, Outcome
from ..standins.node_kinds import CACHE, ORIGIN, PARENT
from ..standins.node_protocol import decode_fields
from .clock import Clock
from .directors import Modelled

CLIENT_MS, NODE_MS = 0.3, 0.5  # one way, as on loopback with the relay


@dataclass(slots=True, eq=False)
class Pending:
    number: int
    asked: float
    until: float
    location: str
    wanted: RequestPlan
    director: int = -1
    first: int = -1
    tries: int = 0
    over: bool = False


class World:
    def __init__(self, scenario: FleetScenario) -> None:
        self.scenario, self.clock = scenario, Clock()
        self.began = self.clock.now + 500.0
        self.random = random.Random(f"{scenario.seed}-model")
        self.fleet = build_node_fleet(scenario)
        self.fleet.clock = self.clock
        self.sites = {site.name: site for site in scenario.node_sites()}
        self.heard = Observations(self.began, scenario.seconds)
        self.book, self.rules = ActiveRules(), dict[str, int]()
        self.lanes: dict[tuple[int, str, str], StreamState] = defaultdict(StreamState)
        self.held: list[tuple[int, str, str, Callable[[], None]]] = []
        self.stopped: dict[int, list[Callable[[], None]]] = {}
        self.away: set[int] = set()
        self.late: dict[int, float] = {}
        self.out: dict[str, dict[Attempt, Modelled]] = defaultdict(
            dict
        )  # by node, for when it dies
        self.errs: dict[str, frozenset[int]] = {}
        self.lags: dict[str, tuple[frozenset[int], float]] = {}
        self.told: dict[tuple[int, str], float] = {}
        self.case_places = {"pages": 0, "order": 1, "pay": 2}
        self.places = scenario.zones()
        self.zone_of = {place: at for at, place in enumerate(self.places)}
        self.kinds = {CACHE: 0, PARENT: 1, ORIGIN: 2}
        self.terms = {
            place: parse_service_settings(JsonSection(fleet_platform_settings(scenario, place), ""))
            for place in scenario.locations
        }
        self.demands = {place: LocationLoad(scenario, place) for place in scenario.locations}
        self.starts = self.count = 0
        self.directors = [self.make(number) for number in range(scenario.directors)]

    def make(self, number: int) -> Modelled:
        self.starts += 1
        seed = self.scenario.seed * 100_003 + (
            0 if self.scenario.has_same_seeds else 7919 * self.starts
        )
        place = self.scenario.location_of(number)
        made = Modelled(self, number, self.terms[place], self.zone_of, self.kinds, seed)
        made.list(
            [
                self.row(site.name)
                for site in self.sites.values()
                if site.kind != CACHE or site.zone == place
            ],
            whole=True,
        )
        return made

    def row(self, name: str) -> dict:
        node = self.fleet.nodes[name]
        return {
            "id": name,
            "zone": self.sites[name].zone,
            "kind": node.spec.kind,
            "state": node.state,
            "weight": node.spec.weight,
            "started_ms": node.started_at,
        }

    def since(self) -> float:
        return (self.clock() - self.began) / 1000.0

    # Clients

    def ask(self, demand: LocationLoad) -> None:
        since, now = self.since(), self.clock()
        if since >= self.scenario.seconds:
            return
        self.count += 1
        self.attempt(
            Pending(
                self.count,
                now,
                now + self.scenario.patience_ms,
                demand.location,
                demand.draw_request(since),
            )
        )
        self.clock.at(now + 1000.0 * demand.next_arrival_in_s(since), lambda: self.ask(demand))

    def attempt(self, pending: Pending) -> None:
        now, director = self.clock(), self.demands[pending.location].draw_director(self.away)
        if director is None or now > pending.until - 10.0:
            return self.ended(pending, "nobody")
        pending.tries, pending.director = pending.tries + 1, director
        pending.first = director if pending.first < 0 else pending.first
        tries = pending.tries
        missing = pending.until + self.scenario.answer_grace_ms
        self.clock.at(
            missing, lambda: pending.over or pending.tries != tries or self.unanswered(pending)
        )
        self.clock.at(now + CLIENT_MS, lambda: self.arrived(pending, director))

    def arrived(self, pending: Pending, number: int) -> None:
        if number in self.stopped:
            return self.stopped[number].append(lambda: self.arrived(pending, number))
        director = self.directors[number]
        if director.gone:
            return self.cut_off(pending, number)
        director.ask(pending, max(1.0, pending.until - self.clock()))

    def cut_off(self, pending: Pending, number: int) -> None:
        """Its director is dead: its client tries again, and the front passes it by after its
        notice.
        """
        self.heard.others["cut"].append(DisconnectRecord(self.since(), number, 1))
        if self.directors[number].gone:
            self.clock.at(
                self.clock() + self.scenario.failure_detection_ms,
                lambda: self.away.add(number) if self.directors[number].gone else None,
            )
        left = pending.until - self.clock()
        if can_retry_after_disconnect(self.scenario, pending.wanted, pending.tries, left):
            return self.clock.at(
                self.clock() + DEFAULT_RETRY_DELAY, lambda: pending.over or self.attempt(pending)
            )
        self.ended(pending, "cut off")

    def answered(self, director: Modelled, pending: Pending, what: str, pause: float) -> None:
        if pending.over:
            return
        now = self.clock()
        again = now + (pause or DEFAULT_RETRY_DELAY)
        if what == "rejected" and pending.tries < self.scenario.max_tries and again < pending.until:
            return self.clock.at(again, lambda: pending.over or self.attempt(pending))
        self.clock.at(now + CLIENT_MS, lambda: self.ended(pending, what))

    def unanswered(self, pending: Pending) -> None:
        self.heard.others["none"].append((self.since(), pending.director, pending.asked))
        self.ended(pending, "no answer")

    def ended(self, pending: Pending, what: str) -> None:
        if not pending.over:
            pending.over = True
            wanted = pending.wanted
            self.heard.requests.append(
                RequestRecord(
                    (pending.asked - self.began) / 1000.0,
                    self.clock() - pending.asked,
                    pending.location,
                    pending.first,
                    pending.director,
                    wanted.request_class,
                    wanted.object_id,
                    what,
                    pending.tries,
                )
            )

    # Attempts

    def carry(self, director: int, name: str, way: str, do: Callable[[], None]) -> None:
        """Over the path between a director and a node, as the rules have it."""
        kind = "cache" if self.sites[name].kind == CACHE else "parent"
        if self.book.cuts_path(kind, director, name, way):
            self.held.append((director, name, way, do))
            return self.clock.at(
                self.clock() + QUIET / 2.0 + ECHO_WAIT, lambda: self.quiet(director, name, way)
            )
        due = self.clock() + NODE_MS
        if self.book.rules:
            due = self.book.stream_due_at(
                kind, director, name, way, due, 300, self.lanes[director, name, way], self.random
            )
        self.clock.at(due, do)

    def quiet(self, number: int, name: str, way: str) -> None:
        """A link that is still cut is ended, as a director does with one that brings no echo: its
        attempts are lost, and what was held never comes.
        """
        if self.book.cuts_path(
            "cache" if self.sites[name].kind == CACHE else "parent", number, name, way
        ):
            for attempt, director in list(self.out[name].items()):
                if director.number == number:
                    self.lost(director, attempt, name, Outcome.RESET)

    def send(self, director: Modelled, attempt: Attempt, name: str, fields: dict[str, str]) -> None:
        self.out[name][attempt] = director
        kind = "cache" if self.sites[name].kind == CACHE else "parent"
        if self.book.rules and self.book.resets_path(kind, director.number, name):
            return self.clock.at(
                self.clock() + NODE_MS, lambda: self.lost(director, attempt, name, Outcome.RESET)
            )
        self.carry(director.number, name, UP, lambda: self.reached(director, attempt, name, fields))

    def lost(self, director: Modelled, attempt: Attempt, name: str, outcome: Outcome) -> None:
        self.out[name].pop(attempt, None)
        director.ended(attempt, outcome)

    def reached(
        self, director: Modelled, attempt: Attempt, name: str, fields: dict[str, str]
    ) -> None:
        node, number, now = self.fleet.nodes[name], director.number, self.clock()
        if not node.is_alive:
            return self.clock.at(
                now + NODE_MS, lambda: self.lost(director, attempt, name, Outcome.CONNECT_FAILED)
            )
        if attempt.outcome is not None or director.gone:
            return self.out[name].pop(attempt, None)
        words, due, old = (b"BROKE", b"-", b""), now + 1.0, False
        if number not in self.errs.get(name, ()):
            reply = self.fleet.handle_pull(name, fields)
            words, due = reply.items, reply.due_at
            old = self.too_old(number, fields, words[1], now)
        held = decode_fields(words[1])
        self.heard.attempts.append(
            AttemptRecord(
                self.since(),
                number,
                name,
                fields["lane"],
                fields["name"],
                fields["miss"],
                fields["f"],
                words[0].decode(),
                held.get("why", ""),
                int(old),
                f"{attempt.request.context.number}-{attempt.request.context.tries}",
            )
        )
        for fallen in {name, fields["miss"]} - {""}:
            if (
                not self.fleet.nodes[fallen].is_alive
                and not self.fleet.nodes[fallen].state == "DELETED"
            ):
                self.heard.others["fell"].append(NodeCrashRecord(self.since(), fallen))
                self.die(fallen)
        if due is None or not node.is_alive:
            return
        some, times = self.lags.get(name, ((), 1.0))
        due = now + (due - now) * (times if number in some else 1.0)
        self.clock.at(due, lambda: self.back(director, attempt, name, words[0].decode(), held))

    def back(
        self, director: Modelled, attempt: Attempt, name: str, word: str, held: dict[str, str]
    ) -> None:
        if self.out[name].pop(attempt, None) is None or self.fleet.nodes[name].is_silent:
            return
        number = director.number

        def told() -> None:
            if number in self.stopped:
                return self.stopped[number].append(told)
            director.answered(attempt, word, held.get("why", ""), float(held.get("delay", 0.0)))

        self.carry(number, name, DOWN, told)

    def too_old(self, director: int, fields: dict[str, str], said: bytes, now: float) -> bool:
        """Whether the answer is an older copy than a purge that this director was told over a
        second ago.
        """
        key, issued = fields.get("name", ""), decode_fields(said).get("issued")
        told = self.told.get((director, key))
        return (
            told is not None
            and issued is not None
            and self.fleet.is_outdated(key, float(issued), now, told)
        )

    def probe(self, director: Modelled, name: str) -> None:
        self.heard.others["probe"].append(
            HealthCheckRecord(self.since(), director.number, name, "METER")
        )
        kind = "cache" if self.sites[name].kind == CACHE else "parent"
        if any(self.book.cuts_path(kind, director.number, name, way) for way in (UP, DOWN)):
            return  # a cut holds what an echo was to bring; its link is ended meanwhile
        node = self.fleet.nodes[name]
        if node.is_alive and not node.is_silent:
            self.clock.at(
                self.clock() + 2.0 * NODE_MS,
                lambda: (
                    None if director.gone else director.play("told", director.members[name], {})
                ),
            )

    # Faults

    def announce(self, name: str) -> None:
        """The list tells each director in its own time, within the notice."""
        row, box = self.row(name), self.sites[name]
        for number in range(self.scenario.directors):
            if box.kind != CACHE or self.scenario.location_of(number) == box.zone:
                due = (
                    self.clock()
                    + self.random.uniform(*self.scenario.update_delay_ms)
                    + self.late.get(number, 0.0)
                )
                self.clock.at(due, lambda number=number: self.hear(number, row))

    def hear(self, number: int, row: dict) -> None:
        director = self.directors[number]
        if director.gone:
            return
        if number in self.stopped:
            return self.stopped[number].append(lambda: self.hear(number, row))
        self.heard.others["told"].append(
            NotificationRecord(self.since(), number, row["id"], row["state"], row["started_ms"])
        )
        director.list([row])

    def die(self, name: str) -> None:
        node = self.fleet.nodes[name]
        node.is_alive, node.state = False, "DELETED"
        out, self.out[name] = self.out[name], {}
        for attempt, director in out.items():
            self.clock.at(
                self.clock() + NODE_MS,
                lambda attempt=attempt, director=director: director.ended(attempt, Outcome.RESET),
            )
        self.announce(name)

    def revive(self, name: str) -> None:
        node = self.fleet.nodes[name]
        node.reset()
        node.started_at, node.state, node.is_alive, node.is_silent = (
            self.clock(),
            "SERVING",
            True,
            False,
        )
        self.announce(name)

    def strike(self, strike: ScenarioStep) -> None:
        fault, begins = strike.fault, strike.is_start
        self.heard.others["fault"].append(
            FaultRecord(
                self.since(),
                strike.name,
                strike.kind,
                begins,
                list(strike.directors),
                list(strike.nodes),
                fault.location,
                "",
            )
        )
        if strike.kind in PATH_FAULTS:
            self._path(strike)
        elif strike.kind == "late_list":
            for number in strike.directors:
                self.late[number] = 1000.0 * (fault.amount or 9.0) if begins else 0.0
        elif strike.kind == "purge" and begins:
            self._purge(f"{(1 << 32) + 1:016x}")
        elif strike.kind in NODE_FAULTS:
            for name in strike.nodes:
                self._node(strike, name)
        else:
            for number in strike.directors:
                self._director(strike.kind, number, begins)

    def _path(self, strike: ScenarioStep) -> None:
        if strike.is_start:
            self.rules[strike.name] = len(self.rules) + 1
            self.book.rules[self.rules[strike.name]] = rule_for(strike)
            return
        self.book.rules.pop(self.rules[strike.name], None)
        held, self.held = self.held, []
        for director, name, way, do in held:
            self.carry(director, name, way, do)

    def _purge(self, key: str) -> None:
        now = self.clock()
        self.fleet.purged_at[key] = now
        for node in self.fleet.nodes.values():
            self.clock.at(
                now + self.random.uniform(200.0, 3000.0),
                lambda node=node: (
                    node.copies.pop((key, "0"), None)
                    if node.copies.get((key, "0"), now) < now
                    else None
                ),
            )
        for number, director in enumerate(self.directors):

            def hear(number: int = number, director: Modelled = director) -> None:
                if not director.gone:
                    self.told[number, key] = self.clock()
                    director.play("purged", int(key, 16), 0, self.clock() - now)

            self.clock.at(now + self.random.uniform(*self.scenario.update_delay_ms) / 3.0, hear)

    def _node(self, strike: ScenarioStep, name: str) -> None:
        node, some, by = (
            self.fleet.nodes[name],
            frozenset(strike.directors),
            strike.fault.amount or 10.0,
        )
        if strike.kind in ("node_kill", "node_cold"):
            if strike.is_start:
                self.die(name)
            else:
                self.revive(name)
        elif strike.kind == "node_silent":
            node.is_silent = strike.is_start
            if not strike.is_start:
                self.revive(name)
        elif strike.kind == "node_slow" and len(some) >= self.scenario.directors:
            node.slowdown = by if strike.is_start else 1.0
        elif strike.kind == "node_slow":
            self.lags[name] = (some, by) if strike.is_start else (frozenset(), 1.0)
        elif strike.kind == "node_errors":
            self.errs[name] = some if strike.is_start else frozenset()
        elif strike.kind == "drain":
            node.state = "DRAINING" if strike.is_start else "SERVING"
            self.announce(name)

    def _director(self, what: str, number: int, begins: bool) -> None:
        director = self.directors[number]
        if what == "stop":
            if begins:
                self.stopped[number] = []
            else:
                for do in self.stopped.pop(number, []):
                    do()
        elif what == "kill" and begins:
            director.gone = True
            for pending in list(director.open.values()):
                self.cut_off(pending, number)
        elif what == "kill":
            self.directors[number] = self.make(number)
            self.away.discard(number)
        elif begins and what == "restart":  # its open requests end, then it stands there anew
            self.heard.others["term"].append(DirectorRecord(self.since(), number))
            for request in list(director.open):
                director.play("woken", request)
            director.gone = True
            self.directors[number] = self.make(number)

    def run(self, live: Callable[[float, int, int], None] | None = None) -> Observations:
        for demand in self.demands.values():
            self.clock.at(
                self.began + 1000.0 * demand.next_arrival_in_s(0.0),
                lambda demand=demand: self.ask(demand),
            )
        for strike in self.scenario.steps():
            self.clock.at(
                self.began + 1000.0 * strike.at_s, lambda strike=strike: self.strike(strike)
            )
        end = self.began + 1000.0 * self.scenario.seconds + self.scenario.patience_ms + 300.0
        while self.clock.now < end:
            self.clock.run(min(end, self.clock.now + 500.0))
            if live is not None:
                looks = self.heard.requests
                live(self.since(), len(looks), sum(look[7] == "served" for look in looks))
        effects = self.fleet.executions
        self.heard.others["effects"].append(
            ExecutionRecord(
                sum(times > 1 for times in effects.values()),
                len(effects),
                self.fleet.origin_fetches,
            )
        )
        return self.heard


def play(
    scenario: FleetScenario, live: Callable[[float, int, int], None] | None = None
) -> dict[str, Any]:
    """The figures of a play, by the lab's own audit."""
    return Audit(scenario, World(scenario).run(live)).figures()
