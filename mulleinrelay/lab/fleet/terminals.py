"""Clients of some locations, in one process: an open loop, framed Thrift, retries of their own.
What they see is written down, a line a request.
"""

import random
import sys
from dataclasses import dataclass

import orjson

from ...net import thrift
from ...standins.client_protocol import decode_reply, encode_serve_call
from ...standins.clock import now_ms
from ...standins.event_loop import EventLoop, LoopConnection
from . import addresses
from .channel import Records, obey, say
from .load import DEFAULT_RETRY_DELAY, LocationLoad, RequestPlan, can_retry_after_disconnect
from .scenario import FleetScenario
from .scenario_parser import parse_fleet_scenario

OPEN_MOST = 32  # requests on one connection
IDLE = 4000.0  # ms after which clients close a connection
RETURN_EVERY = 1000.0  # ms between looks at a director that was given up
WELL = "isWell"


@dataclass(slots=True, eq=False)
class Pending:
    """One request over its tries."""

    asked: float
    until: float
    location: str
    wanted: RequestPlan
    tries: int = 0
    over: bool = False
    first: int = -1


class Line:
    """A connection to one director, and what is out on it."""

    def __init__(self, terminals: "Terminals", director: int) -> None:
        self.terminals, self.director = terminals, director
        self.out: dict[int, tuple[Pending, float]] = {}
        self.late: dict[int, float] = {}  # asked and not answered in time
        self.number, self.used = 0, now_ms()
        self.frames = thrift.Frames(most=300_000)
        self.wire: LoopConnection = terminals.loop.connect(
            (addresses.own(director), terminals.port)
        )
        self.wire.on_data, self.wire.on_close = self._heard, self._over

    def send(self, pending: Pending, now: float, fields: dict[str, str]) -> None:
        self.number += 1
        self.used = now
        self.out[self.number] = pending, pending.until
        self.wire.write(encode_serve_call(self.number, fields))

    def _heard(self, data: bytes) -> None:
        view = memoryview(data)
        while len(view):
            room = self.frames.room()
            taken = min(len(room), len(view))
            room[:taken] = view[:taken]
            view = view[taken:]
            for frame in self.frames.filled(taken):
                reply = decode_reply(frame)
                number, what, pause = reply.number, reply.outcome.value, reply.retry_after_ms
                found = self.out.pop(number, None)
                if found is None:
                    self.terminals.strange(self, number in self.late)
                else:
                    self.terminals.answered(found[0], self.director, what, pause)

    def _over(self) -> None:
        self.terminals.cut_off(self)

    def sweep(self, now: float) -> None:
        for number, (pending, until) in list(self.out.items()):
            if now > until + self.terminals.scenario.answer_grace_ms:
                del self.out[number]
                self.late[number] = until
                self.terminals.unanswered(pending, self.director)
        if not self.out and now > self.used + IDLE:
            self.wire.close()
            self.terminals.lines[self.director].remove(self)


class Terminals:
    def __init__(self, first: dict, scenario: FleetScenario) -> None:
        self.scenario, self.loop, self.records = scenario, EventLoop(), Records(first["records"])
        self.port, self.began = first["port"], 0.0
        self.random = random.Random(f"{scenario.seed}-clients-{first['locations']}")
        self.demands = [LocationLoad(scenario, location) for location in first["locations"]]
        self.lines: dict[int, list[Line]] = {}
        self.away: set[int] = set()  # directors that the front passes by
        self.mark, self.mark_base = 0, self.random.getrandbits(31) << 32
        self.asked = self.served = 0
        obey(self.loop, self.obeyed)

    def obeyed(self, held: dict) -> None:
        if "began" in held:
            self.began, self.ends = held["began"], held["began"] + 1000.0 * self.scenario.seconds
            for demand in self.demands:
                self.loop.call_at(
                    self.began + 1000.0 * demand.next_arrival_in_s(0.0),
                    lambda demand=demand: self.ask(demand),
                )
            self.loop.call_every(100.0, self.sweep)
            self.loop.call_every(1000.0, lambda: say(asked=self.asked, served=self.served))
            self.loop.call_every(1000.0, self.records.file.flush)

    def ask(self, demand: LocationLoad) -> None:
        now = now_ms()
        due = now
        while due <= now:  # what this process is late for goes out together; the audit sees when
            since = (due - self.began) / 1000.0
            if due >= self.ends:
                return
            self.asked += 1
            pending = Pending(
                now, now + self.scenario.patience_ms, demand.location, demand.draw_request(since)
            )
            self.attempt(pending, demand)
            due += 1000.0 * demand.next_arrival_in_s(since)
            if due < now - 1000.0:
                due = now
        self.loop.call_at(due, lambda: self.ask(demand))

    def attempt(self, pending: Pending, demand: LocationLoad) -> None:
        now, director = now_ms(), demand.draw_director(self.away)
        if director is None or now > pending.until - 10.0:
            return self.ended(pending, director if director is not None else -1, "nobody")
        pending.tries += 1
        pending.first = director if pending.first < 0 else pending.first
        self.mark += 1
        wanted = pending.wanted
        fields = {
            "route": wanted.request_class,
            "trace": f"{self.mark_base + self.mark:016x}",
            "patience": f"{max(1.0, pending.until - now):.0f}",
            "entity": f"{wanted.object_id:016x}",
            "nth": "0",
            "batch": str(wanted.object_id & 0xFF),
            "size": f"{wanted.size_kb:.1f}",
        }
        if wanted.idempotency_key:
            fields["nonce"] = wanted.idempotency_key
        if pending.tries > 1:
            fields["redo"] = "1"
        self.line(director, now).send(pending, now, fields)

    def line(self, director: int, now: float) -> Line:
        lines = self.lines.setdefault(director, [])
        found = next((line for line in lines if len(line.out) < OPEN_MOST), None)
        if found is None:
            found = Line(self, director)
            lines.append(found)
        return found

    def demand_of(self, pending: Pending) -> LocationLoad:
        return next(demand for demand in self.demands if demand.location == pending.location)

    def answered(self, pending: Pending, director: int, what: str, pause: float) -> None:
        if pending.over:
            return
        now = now_ms()
        if what == "rejected" and pending.tries < self.scenario.max_tries:
            self.records.add("rejected", now, director, pause)
            again = now + (pause or DEFAULT_RETRY_DELAY)
            if again < pending.until:
                return self.loop.call_at(
                    again, lambda: self.attempt(pending, self.demand_of(pending))
                )
        self.ended(pending, director, what)

    def ended(self, pending: Pending, director: int, what: str) -> None:
        if pending.over:
            return
        pending.over, now = True, now_ms()
        self.served += what == "served"
        self.records.add(
            "look",
            pending.asked,
            now - pending.asked,
            pending.location,
            pending.first,
            director,
            pending.wanted.request_class,
            pending.wanted.object_id,
            what,
            pending.tries,
        )

    def unanswered(self, pending: Pending, director: int) -> None:
        self.records.add("none", now_ms(), director, pending.asked)
        self.ended(pending, director, "no answer")

    def strange(self, line: Line, late: bool) -> None:
        self.records.add("late" if late else "twice", now_ms(), line.director)

    def cut_off(self, line: Line) -> None:
        """The connection has ended: where requests were out their clients try again as their
        request class permits, and the director is looked at.
        """
        now = now_ms()
        if line in self.lines.get(line.director, ()):
            self.lines[line.director].remove(line)
        out, line.out = line.out, {}
        if out:
            self.records.add("cut", now, line.director, len(out))
        for pending, _ in out.values():
            if can_retry_after_disconnect(
                self.scenario, pending.wanted, pending.tries, pending.until - now
            ):
                self.loop.call_at(
                    now + DEFAULT_RETRY_DELAY,
                    lambda pending=pending: self.attempt(pending, self.demand_of(pending)),
                )
            else:
                self.ended(pending, line.director, "cut off")
        if line.director not in self.away:
            self.look(line.director)

    def look(self, director: int) -> None:
        """Asks a director whose connection ended whether it is well; after the front's notice it is
        passed by until it says so.
        """
        lost = now_ms()
        self.loop.call_at(lost + self.scenario.failure_detection_ms, lambda: self.is_well(director))

    def is_well(self, director: int) -> None:
        wire, frames = (
            self.loop.connect((addresses.own(director), self.port)),
            thrift.Frames(most=4096),
        )

        def heard(data: bytes) -> None:
            room = frames.room()
            room[: len(data)] = data
            for frame in frames.filled(len(data)):
                good = bytes(frame[-5:]).find(b"\x01") >= 0
                wire.close()
                return told(good)

        def told(good: bool) -> None:
            if good:
                self.away.discard(director)
            else:
                self.away.add(director)
                self.loop.call_at(now_ms() + RETURN_EVERY, lambda: self.is_well(director))

        wire.on_data, wire.on_close = heard, lambda: told(False)
        wire.write(well_frame())

        def silent() -> None:
            if not wire.is_closed:
                wire.close()
                told(False)

        self.loop.call_at(now_ms() + 1000.0, silent)

    def sweep(self) -> None:
        now = now_ms()
        for lines in list(self.lines.values()):
            for line in list(lines):
                line.sweep(now)
        if now > self.ends + self.scenario.patience_ms + self.scenario.answer_grace_ms + 100.0:
            self.loop.is_stopped = True


def well_frame() -> bytes:
    import struct

    held = (
        struct.pack(">Ii", thrift.VERSION | thrift.CALL, len(WELL))
        + WELL.encode()
        + struct.pack(">i", 1)
        + b"\x02\x00\x01\x00\x00"
    )
    return struct.pack(">i", len(held)) + held


def main() -> None:
    first = orjson.loads(sys.stdin.buffer.raw.readline())
    terminals = Terminals(
        first, parse_fleet_scenario(first["scenario"]).with_directors(first["directors"])
    )
    say(ready=True)
    terminals.loop.run()
    terminals.records.close()
    say(done=True)


if __name__ == "__main__":
    main()
