"""The pool of a director's upstream connections, with eviction when it is nearly full."""

import threading

from ..policy import connection_reuse
from ..policy.model import EndpointAddress
from .upstream_connection import UpstreamConnection


class UpstreamPool:
    """Pool of connections by endpoint address.

    Attributes:
        lock: Guards all other fields and all connections.
        connections: Connections by the endpoint's address.
        connection_count: Total number of connections.
        max_connections: Maximum number of connections.
        max_attempts_per_connection: Maximum number of attempts in flight on one connection.
        is_stopped: Whether the pool was stopped and opens no more connections.
    """

    def __init__(self, max_connections: int, max_attempts_per_connection: int) -> None:
        self.lock = threading.Lock()
        self.connections: dict[EndpointAddress, list[UpstreamConnection]] = {}
        self.connection_count = 0
        self.max_connections = max_connections
        self.max_attempts_per_connection = max_attempts_per_connection
        self.is_stopped = False

    def usable_connections(self) -> list[UpstreamConnection]:
        """Return the connections that are not shut down; the caller holds the lock."""
        return [
            connection
            for connections in self.connections.values()
            for connection in connections
            if not connection.write_queue.is_shut_down
        ]

    def fullness(self) -> float:
        """Return the number of busy connections as a fraction of `max_connections`.

        A connection is busy while attempts or health checks are in flight on it.
        The result is 0 while the total number of connections is below the eviction threshold.
        """
        with self.lock:
            if self.connection_count < connection_reuse.EVICTION_THRESHOLD * self.max_connections:
                return 0.0  # saves counting the busy connections
            busy_count = sum(
                bool(connection.in_flight)
                for connections in self.connections.values()
                for connection in connections
            )
            return connection_reuse.connection_utilization(
                self.connection_count, busy_count, self.max_connections
            )

    def stop(self) -> None:
        """Shut down all connections and open no more."""
        with self.lock:
            self.is_stopped = True
            for connections in list(self.connections.values()):
                for connection in list(connections):
                    connection.write_queue.shut_down()

    def choose_connection(
        self, connections: list[UpstreamConnection], wire_id: str
    ) -> UpstreamConnection | None:
        """Return the usable connection with the fewest items in flight; the caller holds the lock.

        Items are attempts and health checks. An idle connection that the endpoint has closed is
        shut down instead of being used: an attempt written to it would be lost, and nothing would
        show whether the endpoint has executed the attempt.
        """
        usable = (
            connection
            for connection in connections
            if connection.can_send(wire_id, self.max_attempts_per_connection)
        )
        for connection in sorted(usable, key=lambda connection: len(connection.in_flight)):
            if connection.in_flight or not connection.is_closed_by_peer():
                return connection
            connection.write_queue.shut_down()
        return None

    def make_room(self) -> None:
        """Shut down idle connections if the pool is nearly full; the caller holds the lock."""
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
        """Remove a connection from the pool; the caller holds the lock."""
        connections = self.connections.get(connection.address, [])
        if connection in connections:
            connections.remove(connection)
            self.connection_count -= 1
        if not connections:
            self.connections.pop(connection.address, None)
