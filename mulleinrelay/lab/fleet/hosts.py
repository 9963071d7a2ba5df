"""The nodes and the event stream of a fleet lab, in one process. What a node holds and bears is
decided in `standins/fleet.py`; each connection begins with a line that names its director.
"""

import random
import socket
import sys
from collections.abc import Callable

import orjson

from ...net import resp
from ...standins.clock import now_ms
from ...standins.event_loop import EventLoop, LoopConnection
from ...standins.node_kinds import CACHE, ORIGIN
from ...standins.nodes import NodeFleet, NodeSpec, SimulatedNode
from . import addresses
from .channel import Records, obey, say
from .scenario import CONCURRENT_ANSWERS, FleetScenario, NodeSite

COMMENT_EVERY = 1000.0
FLUSH_EVERY = 1000.0


def fleet_of(scenario: FleetScenario) -> NodeFleet:
    """All nodes of the scenario, with nothing held."""
    return NodeFleet(
        {site.name: SimulatedNode(_spec(scenario, site)) for site in scenario.node_sites()},
        {"order", "pay"},
    )


def _spec(scenario: FleetScenario, site: NodeSite) -> NodeSpec:
    if site.kind == CACHE:
        return NodeSpec(
            site.name,
            CACHE,
            site.zone,
            scenario.capacity * site.capacity_factor,
            scenario.fill_cost,
            scenario.hit_ms,
            weight=round(CONCURRENT_ANSWERS * site.capacity_factor),
            initial_fraction=scenario.initial_fraction,
            slow_start_duration=scenario.slow_start_ms,
            max_copies=scenario.max_copies,
            crashes_on_overload=scenario.crashes_on_overload,
            crash_load=2.5,
            crash_after=1500.0,
            crashes_when_warm=False,
        )
    if site.kind == ORIGIN:
        return NodeSpec(
            site.name,
            ORIGIN,
            site.zone,
            scenario.origin_capacity,
            1.0,
            scenario.origin_ms,
            weight=4 * CONCURRENT_ANSWERS,
        )
    return NodeSpec(
        site.name,
        site.kind,
        site.zone,
        scenario.parent_capacity,
        1.0,
        scenario.parent_ms,
        weight=4 * CONCURRENT_ANSWERS,
        initial_fraction=scenario.initial_fraction,
        slow_start_duration=scenario.parent_slow_start_ms,
        max_copies=scenario.parent_max_copies,
        crashes_on_overload=scenario.crashes_on_overload,
        crash_load=2.0,
        crash_after=1500.0,
        crashes_when_warm=False,
    )


def fields_of(text: bytes | memoryview) -> dict[str, str]:
    return dict(pair.split("=", 1) for pair in str(text, "ascii").split(",") if "=" in pair)


class Named:
    """A connection whose first line tells its director."""

    def __init__(
        self, wire: LoopConnection, known: Callable[[int], None], heard: Callable[[bytes], None]
    ) -> None:
        self.wire, self.known, self.then, self.head = wire, known, heard, b""
        wire.on_data = self._head

    def _head(self, data: bytes) -> None:
        self.head += data
        line, end, rest = self.head.partition(b"\n")
        if end:
            self.wire.on_data = self.then
            self.known(int(line[1:]))
            if rest and not self.wire.is_closed:
                self.then(rest)


class NodeHost:
    """One node: its listener, its connections, and what it is told to do wrong."""

    def __init__(self, hosts: "Hosts", node: SimulatedNode, place: str) -> None:
        self.hosts, self.node, self.place = hosts, node, place
        self.port, self.listener = 0, None
        self.wires: dict[
            LoopConnection, int | None
        ] = {}  # all accepted; None: its director is not told yet
        self.errs: frozenset[int] = frozenset()  # directors that get errors
        self.lags: tuple[frozenset[int], float] = (
            frozenset(),
            1.0,
        )  # directors for which it is slower
        self.listen()

    def listen(self) -> None:
        if self.listener is None:
            self.listener = self.hosts.loop.listen("127.0.0.1", self.port, self._welcome)
            self.port = self.listener.getsockname()[1]

    def die(self) -> None:
        """As a process that is killed."""
        self.node.is_alive = False
        if self.listener is not None:
            self.hosts.loop.stop_listening(self.listener)
            self.listener = None
        for wire in list(self.wires):
            self._drop(wire)
            wire.close(reset=True)
        say(deaf=self.node.spec.name)

    def _welcome(self, connection: socket.socket) -> None:
        wire, arrays = LoopConnection(self.hosts.loop, connection), resp.Arrays(4096)
        over: set[bytes] = set()
        self.wires[wire] = (
            None  # else it would outlive the node, and a command on it count as its fall
        )

        def known(director: int) -> None:
            self.wires[wire] = director
            self.hosts.records.add("conn", now_ms(), director, self.node.spec.name, 1)

        def heard(data: bytes) -> None:
            view = memoryview(data)
            while len(view) and not wire.is_closed:
                room = arrays.room()
                taken = min(len(room), len(view))
                room[:taken] = view[:taken]
                view = view[taken:]
                for items in arrays.filled(taken):
                    self._told(wire, over, [bytes(item) for item in items])
                    if wire.is_closed:
                        return

        wire.on_close = lambda: self._drop(wire)
        Named(wire, known, heard)

    def _drop(self, wire: LoopConnection) -> None:
        director = self.wires.pop(wire, None)
        if director is not None:
            self.hosts.records.add("conn", now_ms(), director, self.node.spec.name, -1)

    def _told(self, wire: LoopConnection, over: set[bytes], items: list[bytes]) -> None:
        word, about = items[0], items[1]
        director, node, now = self.wires[wire], self.node, now_ms()
        if word == b"KILL":
            over.add(about)
            if len(over) > 10_000:
                over.clear()
            return
        if word != b"PULL":
            self.hosts.records.add("probe", now, director, node.spec.name, word.decode())
            if not node.is_silent:
                load = node.window_load / max(1.0, node.spec.capacity * node.capacity_fraction(now))
                held = (
                    b"rep=util:%.2f;inflight:%d" % (min(1.0, load), len(node.fills_in_progress))
                    if word == b"METER"
                    else b"-"
                )
                self._answer(wire, over, about, (b"FIT", held), now + 1.0)
            return
        fields = fields_of(items[2])
        fields.setdefault("dedupe", "mark-" + about.decode())
        if director in self.errs:
            self.hosts.records.add(
                "attempt",
                now,
                director,
                node.spec.name,
                *self._about(fields),
                "BROKE",
                "",
                0,
                about.decode(),
            )
            return self._answer(wire, over, about, (b"BROKE", b"-", b""), now + 1.0)
        fleet = self.hosts.fleet
        stale = fleet.stale_answers
        reply = fleet.handle_pull(node.spec.name, fields)
        why = fields_of(reply.items[1]).get("why", "")
        old = self.hosts.too_old(director, fields, reply.items[1], now)
        fleet.stale_answers = stale  # reckoned by director, from when each was told
        self.hosts.records.add(
            "attempt",
            now,
            director,
            node.spec.name,
            *self._about(fields),
            reply.items[0].decode(),
            why,
            int(old),
            about.decode(),
        )
        if not node.is_alive:  # it was pushed over
            self.hosts.records.add("fell", now, node.spec.name)
            return self.die()
        source = self.hosts.hosts.get(fields.get("miss", ""))
        if source is not None and not source.node.is_alive and source.listener is not None:
            self.hosts.records.add("fell", now, source.node.spec.name)
            source.die()
        if reply.due_at is None:
            return
        due = reply.due_at
        if director in self.lags[0]:
            due = now + (due - now) * self.lags[1]
        self._answer(wire, over, about, reply.items, due)

    def _about(self, fields: dict[str, str]) -> tuple[str, str, str, str]:
        return (
            fields.get("lane", ""),
            fields.get("name", ""),
            fields.get("miss", ""),
            fields.get("f", ""),
        )

    def _answer(
        self,
        wire: LoopConnection,
        over: set[bytes],
        about: bytes,
        words: tuple[bytes, ...],
        due: float,
    ) -> None:
        def go() -> None:
            if about not in over and not self.node.is_silent and self.node.is_alive:
                wire.write(resp.command(about, *words))

        if due <= now_ms():
            go()
        else:
            self.hosts.loop.call_at(due, go)


class Hosts:
    def __init__(self, first: dict, scenario: FleetScenario) -> None:
        self.scenario, self.loop, self.records = scenario, EventLoop(), Records(first["records"])
        self.random = random.Random(f"{scenario.seed}-list")
        self.fleet = fleet_of(scenario)
        self.hosts = {
            site.name: NodeHost(self, self.fleet.nodes[site.name], site.zone)
            for site in scenario.node_sites()
        }
        self.events: list[tuple[float, dict]] = []  # (when it came about, what it says)
        self.due: dict[tuple[int, int], float] = {}  # when a director may hear of an event
        self.late: dict[int, float] = {}  # ms by which lists come later, by director
        self.told: dict[
            tuple[int, str], float
        ] = {}  # when a director was told of an object's purge
        self.readers: dict[LoopConnection, list[int]] = {}  # [director, place]
        self.far_ports: dict[str, int] = {}
        stream = self.loop.listen("127.0.0.1", 0, self._read)
        self.stream_port = stream.getsockname()[1]
        self.loop.call_every(
            COMMENT_EVERY, lambda: [wire.write(b": on\n\n") for wire in list(self.readers)]
        )
        self.loop.call_every(20.0, self._tell_all)
        self.loop.call_every(FLUSH_EVERY, self.records.file.flush)
        obey(self.loop, self.obeyed)

    # The list

    def row(self, name: str) -> dict:
        host = self.hosts[name]
        return {
            "id": name,
            "zone": host.place,
            "kind": host.node.spec.kind,
            "cell": 0,
            "state": host.node.state,
            "weight": host.node.spec.weight,
            "started_ms": round(host.node.started_at),
        }

    def announce(self, names: list[str]) -> None:
        rows = [self.row(name) for name in names]
        self.events.append(
            (
                now_ms(),
                {
                    "topology": {
                        "version": len(self.events) + 1,
                        "full": not self.events,
                        "servers": rows,
                    }
                },
            )
        )

    def words(self, director: int, place: int) -> dict:
        """One event as a director is told it: nodes stand at its own addresses."""
        held = self.events[place][1]
        if "topology" in held:
            rows = [
                row | {"addr": f"{addresses.far(director)}:{self.far_ports[row['id']]}"}
                for row in held["topology"]["servers"]
            ]
            held = {"topology": held["topology"] | {"servers": rows}}
        return {"offset": place + 1} | held

    def _read(self, connection: socket.socket) -> None:
        wire = LoopConnection(self.loop, connection)
        who, head = [-1, 0], b""

        def known(director: int) -> None:
            who[0] = director

        def heard(data: bytes) -> None:
            nonlocal head
            head += data
            if b"\r\n\r\n" in head and wire not in self.readers:
                who[1] = int(head.lower().partition(b"last-event-id:")[2].split()[0])
                self.records.add("read", now_ms(), who[0], who[1])
                wire.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: on\n\n")
                self.readers[wire] = who
                self._tell(wire, who)

        wire.on_close = lambda: self.readers.pop(wire, None)
        Named(wire, known, heard)

    def _tell_all(self) -> None:
        for wire, who in list(self.readers.items()):
            if who[1] < len(self.events):
                self._tell(wire, who)

    def _tell(self, wire: LoopConnection, who: list[int]) -> None:
        now, (director, place) = now_ms(), who
        while place < len(self.events) and not wire.is_closed:
            spot = (director, place)
            if spot not in self.due:
                purge = "ban" in self.events[place][1]
                wait = 0.0 if place == 0 else self.random.uniform(*self.scenario.update_delay_ms)
                self.due[spot] = self.events[place][0] + (wait / 3.0 if purge else wait)
            if now < self.due[spot] + self.late.get(director, 0.0):
                break
            held = self.words(director, place)
            wire.write(b"id: %d\ndata: %s\n\n" % (place + 1, orjson.dumps(held)))
            if "ban" in held:
                self.told.setdefault((director, held["ban"]["url"]), now)
            else:
                for row in held["topology"]["servers"] if place else ():
                    self.records.add(
                        "told", now, director, row["id"], row["state"], row["started_ms"]
                    )
            place += 1
        who[1] = place

    def too_old(self, director: int, fields: dict[str, str], said: bytes, now: float) -> bool:
        """Whether the answer is an older copy than a purge that this director was told over a
        second ago.
        """
        key, issued = fields.get("name", ""), fields_of(said).get("issued")
        told = self.told.get((director, key))
        return (
            told is not None
            and issued is not None
            and self.fleet.is_outdated(key, float(issued), now, told)
        )

    # What the lab wants

    def obeyed(self, held: dict) -> None:
        if "far" in held:
            self.far_ports = held["far"]
            self.announce([site.name for site in self.scenario.node_sites()])
            say(began=True)
        elif "known" in held:
            say(words=self.words(held["known"], 0))
        elif "late" in held:
            for director in held["directors"]:
                self.late[director] = held["late"]
        elif "purge" in held:
            key, now = held["purge"], now_ms()
            self.fleet.purged_at[key] = now
            for (
                host
            ) in self.hosts.values():  # nodes drop it within the purge's time, here in half of it
                self.loop.call_at(
                    now + self.random.uniform(200.0, 3000.0),
                    lambda host=host: (
                        host.node.copies.pop((key, "0"), None)
                        if host.node.copies.get((key, "0"), now) < now
                        else None
                    ),
                )
            self.events.append((now, {"ban": {"url": key, "ts": round(now)}}))
        else:
            for name in held["nodes"]:
                self._strike(held["do"], self.hosts[name], held)

    def _strike(self, what: str, host: NodeHost, held: dict) -> None:
        node, some, begins = host.node, frozenset(held.get("directors", ())), held["begins"]
        everyone = len(some) >= self.scenario.directors
        by = held.get("by") or 10.0
        if what in ("node_kill", "node_cold"):
            if begins:
                host.die()
                node.state = "DELETED"
            else:
                self._revive(host)
            self.announce([node.spec.name])
        elif what == "node_silent":
            node.is_silent = begins
            if not begins:
                self._revive(host)
                self.announce([node.spec.name])
        elif what == "node_slow":
            if everyone:
                node.slowdown = by if begins else 1.0
            else:
                host.lags = (some, by) if begins else (frozenset(), 1.0)
        elif what == "node_errors":
            host.errs = some if begins else frozenset()
        elif what == "drain":
            node.state = "DRAINING" if begins else "SERVING"
            self.announce([node.spec.name])

    def _revive(self, host: NodeHost) -> None:
        """It comes back cold and empty."""
        host.node.reset()
        host.node.started_at, host.node.state, host.node.is_alive = now_ms(), "SERVING", True
        host.node.is_silent = False
        host.listen()
        say(hears=host.node.spec.name)

    def close(self) -> None:
        for host in self.hosts.values():
            self.records.add(
                "node", host.node.spec.name, round(host.node.peak_load, 3), dict(host.node.counts)
            )
        self.records.add(
            "effects",
            sum(times > 1 for times in self.fleet.executions.values()),
            len(self.fleet.executions),
            self.fleet.origin_fetches,
        )
        self.records.close()


def main() -> None:
    first = orjson.loads(sys.stdin.buffer.raw.readline())
    from .scenario_parser import parse_fleet_scenario

    scenario = parse_fleet_scenario(first["scenario"]).with_directors(first["directors"])
    hosts = Hosts(first, scenario)
    say(
        ports={name: host.port for name, host in hosts.hosts.items()}
        | {"stream": hosts.stream_port}
    )
    hosts.loop.run()
    hosts.close()


if __name__ == "__main__":
    main()
