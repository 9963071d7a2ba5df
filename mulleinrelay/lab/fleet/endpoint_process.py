"""Process of the fleet lab that serves all nodes and the event stream in one event loop."""

import random
from typing import Any

from ...standins.clock import now_ms
from ...standins.event_loop import EventLoop
from ...standins.node_protocol import decode_fields
from .control_channel import (
    Message,
    RecordFile,
    receive_first_message,
    receive_messages,
    send_message,
)
from .fleet_event_stream import FleetEventStream
from .node_server import NodeContext, NodeServer, build_node_fleet, schedule_purge
from .scenario import FleetScenario
from .scenario_parser import parse_fleet_scenario

FLUSH_INTERVAL_MS = 1000.0  # of the file of records
DEFAULT_SLOWDOWN = 10.0  # factor of a fault `node_slow` without an amount


class EndpointProcess:
    """Server of all nodes and of the event stream, which executes the commands of the lab.

    A node is the stand-in of a cache, a parent or the origin.
    """

    def __init__(self, records_path: str, scenario: FleetScenario) -> None:
        self.scenario = scenario
        self.loop = EventLoop()
        self.records = RecordFile(records_path)
        self.random = random.Random(f"{scenario.seed}-list")
        self.fleet = build_node_fleet(scenario)
        context = NodeContext(self.loop, self.fleet, self.records, self.is_outdated)
        self.servers = context.servers
        for site in scenario.node_sites():
            self.servers[site.name] = NodeServer(context, self.fleet.nodes[site.name], site.zone)
        self.stream = FleetEventStream(
            self.loop, self.records, scenario.update_delay_ms, self.random
        )
        self.loop.call_every(FLUSH_INTERVAL_MS, self.records.flush)
        receive_messages(self.loop, self.on_command)

    def ports(self) -> dict[str, int]:
        """Return the ports of all nodes by name, and that of the event stream as `stream`."""
        ports = {name: server.port for name, server in self.servers.items()}
        return ports | {"stream": self.stream.port}

    def is_outdated(
        self, director: int | None, fields: dict[str, str], answer: bytes, now: float
    ) -> bool:
        """Return whether an answer violates a purge.

        An answer violates a purge if it contains a copy that was issued before the purge, and the
        director was notified of the purge more than PURGE_PROPAGATION_MS ago.

        Args:
            director: Director that gets the answer; None if its connection has not named it yet,
                so that the answer violates no purge.
            fields: Fields of the command.
            answer: Second item of the answer, which contains the time at which the origin issued
                the copy, if the answer has one.
            now: Time of the answer in Unix ms.
        """
        if director is None:
            return False
        object_id = fields.get("name", "")
        issued = decode_fields(answer).get("issued")
        notified_at = self.stream.purge_notified_at.get((director, object_id))
        if notified_at is None or issued is None:
            return False
        return self.fleet.is_outdated(object_id, float(issued), now, notified_at)

    def on_command(self, command: Message) -> None:
        """Execute a command of the lab; its keys determine the kind of command."""
        if "far" in command:
            self.stream.proxy_ports = command["far"]
            self.publish([site.name for site in self.scenario.node_sites()])
            send_message(began=True)
        elif "known" in command:
            send_message(words=self.stream.event_for(command["known"], 0))
        elif "late" in command:
            for director in command["directors"]:
                self.stream.late_by[director] = command["late"]
        elif "purge" in command:
            self._purge(command["purge"])
        else:
            for name in command["nodes"]:
                self._inject_fault(command, self.servers[name])

    def publish(self, names: list[str]) -> None:
        """Publish an endpoint update with the current state of these nodes."""
        self.stream.publish_endpoints([self._endpoint_row(name) for name in names])

    def close(self) -> None:
        """Write the totals of each node and of the whole fleet, and close the file of records."""
        for server in self.servers.values():
            node = server.node
            self.records.add("node", node.spec.name, round(node.peak_load, 3), dict(node.counts))
        executions = self.fleet.executions
        repeated = sum(times > 1 for times in executions.values())
        self.records.add("effects", repeated, len(executions), self.fleet.origin_fetches)
        self.records.close()

    def _endpoint_row(self, name: str) -> dict[str, Any]:
        server = self.servers[name]
        return {
            "id": name,
            "zone": server.zone,
            "kind": server.node.spec.kind,
            "cell": 0,
            "state": server.node.state,
            "weight": server.node.spec.weight,
            "started_ms": round(server.node.started_at),
        }

    def _purge(self, object_id: str) -> None:
        now = now_ms()
        self.fleet.purged_at[object_id] = now
        nodes = [server.node for server in self.servers.values()]
        schedule_purge(self.loop.call_at, nodes, object_id, now, self.random)
        self.stream.publish_purge(object_id, now)

    def _inject_fault(self, command: Message, server: NodeServer) -> None:
        """Start or end a fault of one node.

        The kinds `node_slow` and `node_errors` can be limited to some directors, which are then the
        only ones to observe the fault.
        """
        kind = command["do"]
        is_start = command["begins"]
        directors = frozenset(command.get("directors", ()))
        amount = command.get("by") or DEFAULT_SLOWDOWN
        node = server.node
        if kind in ("node_kill", "node_cold"):
            if is_start:
                server.crash()
                node.state = "DELETED"
            else:
                server.restart()
            self.publish([node.spec.name])
        elif kind == "node_silent":
            node.is_silent = is_start
            if not is_start:
                server.restart()
                self.publish([node.spec.name])
        elif kind == "node_slow" and len(directors) >= self.scenario.directors:
            node.slowdown = amount if is_start else 1.0
        elif kind == "node_slow":
            server.slow_for = directors if is_start else frozenset()
            server.slowdown = amount if is_start else 1.0
        elif kind == "node_errors":
            server.failing_for = directors if is_start else frozenset()
        elif kind == "drain":
            node.state = "DRAINING" if is_start else "SERVING"
            self.publish([node.spec.name])


def main() -> None:
    """Serve until the lab closes standard input."""
    first_message = receive_first_message()
    scenario = parse_fleet_scenario(first_message["scenario"]).with_directors(
        first_message["directors"]
    )
    process = EndpointProcess(first_message["records"], scenario)
    send_message(ports=process.ports())
    process.loop.run()
    process.close()


if __name__ == "__main__":
    main()
