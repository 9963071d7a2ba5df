"""The table of a director's upstream connections, and which of them makes room when it is full."""

import threading

from ..policy import connection_reuse
from ..policy.model import EndpointAddress
from .upstream_connection import UpstreamConnection


class UpstreamPool:
    """Open connections by the endpoint's address.

    Attributes:
        lock: Guards all other fields, and all connections.
        connections: By the endpoint's address.
        connection_count: Connections in all.
        max_connections: So many at the most.
        max_attempts_per_connection: In flight at one time.
        is_stopped: No connection is opened any more.
    """

    def __init__(self, max_connections: int, max_attempts_per_connection: int) -> None:
        self.lock = threading.Lock()
        self.connections: dict[EndpointAddress, list[UpstreamConnection]] = {}
        self.connection_count = 0
        self.max_connections = max_connections
        self.max_attempts_per_connection = max_attempts_per_connection
        self.is_stopped = False

    def living(self) -> list[UpstreamConnection]:
        """Returns the connections that are not shut down. Needs the lock."""
        return [
            connection
            for connections in self.connections.values()
            for connection in connections
            if not connection.write_queue.is_shut_down
        ]

    def fullness(self) -> float:
        """Returns the part of `max_connections` with something in flight, where few are left."""
        with self.lock:
            if self.connection_count < connection_reuse.EVICTION_THRESHOLD * self.max_connections:
                return 0.0  # without counting
            busy_count = sum(
                bool(connection.in_flight)
                for connections in self.connections.values()
                for connection in connections
            )
            return connection_reuse.connection_utilization(
                self.connection_count, busy_count, self.max_connections
            )

    def stop(self) -> None:
        """Shuts down all connections; none is opened any more."""
        with self.lock:
            self.is_stopped = True
            for connections in list(self.connections.values()):
                for connection in list(connections):
                    connection.write_queue.shut_down()

    def choose(
        self, connections: list[UpstreamConnection], wire_id: str
    ) -> UpstreamConnection | None:
        """Returns the open connection with the least in flight. Needs the lock.

        One without anything in flight may have been closed by the endpoint at this very moment:
        what is written there is lost, and nobody could say whether it was executed.
        """
        usable = (
            connection
            for connection in connections
            if connection.can_take(wire_id, self.max_attempts_per_connection)
        )
        for connection in sorted(usable, key=lambda connection: len(connection.in_flight)):
            if connection.in_flight or not connection.is_closed_by_peer():
                return connection
            connection.write_queue.shut_down()
        return None

    def make_room(self) -> None:
        """Shuts down idle connections where the pool is nearly full. Needs the lock."""
        if self.connection_count > connection_reuse.EVICTION_THRESHOLD * self.max_connections:
            idle = [
                (connection.last_used_at, connection)
                for connections in self.connections.values()
                for connection in connections
                if not connection.in_flight
            ]
            for connection in connection_reuse.connections_to_evict(
                idle, self.connection_count, self.max_connections
            ):
                connection.write_queue.shut_down()

    def remove(self, connection: UpstreamConnection) -> None:
        """Removes a connection from the pool. Needs the lock."""
        connections = self.connections.get(connection.address, [])
        if connection in connections:
            connections.remove(connection)
            self.connection_count -= 1
        if not connections:
            self.connections.pop(connection.address, None)
