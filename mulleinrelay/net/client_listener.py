"""The clients' side of a director: accept loop, table of connections, eviction and drain.

Each connection has a thread of its own that reads it and hands its calls to the request handler.
"""

import contextlib
import errno
import socket
import threading
import time
from collections.abc import Sequence

from ..policy.admission import eviction_order
from ..structured_log import StructuredLog
from .client_connection import ClientConnection
from .request_handler import RequestHandler

BACKLOG = 1024  # connections that the system accepts ahead
MAX_BAD_CALLS = 8  # unusable calls in a row, after which the connection is ended
SPARE_DIVISOR = 16  # one in so many places is made free before it is needed
ACCEPT_RETRY_S = 0.05  # after a failed accept
REMOVAL_WAIT_S = 0.02  # for a connection that was ended, and holds its descriptor a little longer


class ClientListener:
    """Accepts clients and reads their calls.

    Attributes:
        listener: The listening socket; None before the start and after the drain has begun.
        lock: Guards `clients`.
        clients: The open connections, as an ordered set.
        client_removed: Notified when a connection has left `clients`.
        max_clients: Open connections at the most.
    """

    def __init__(
        self,
        address: tuple[str, int],
        request_handler: RequestHandler,
        log: StructuredLog,
        max_clients: int,
    ) -> None:
        self.address = address
        self.request_handler = request_handler
        self.log = log
        self.max_clients = max_clients
        self.listener: socket.socket | None = None
        self.accept_thread = threading.Thread(target=self._accept, name="accept", daemon=True)
        self.lock = threading.Lock()
        self.clients: dict[ClientConnection, None] = {}
        self.client_removed = threading.Condition(self.lock)
        request_handler.count_unread_bytes = self._count_unread_bytes

    def _count_unread_bytes(self) -> int:
        """Returns the bytes of answers that clients have not read."""
        with self.lock:
            return sum(client.write_queue.pending_bytes for client in self.clients)

    def start(self) -> None:
        """Listens and starts the accept loop.

        Raises:
            OSError: If the address cannot be listened on.
        """
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(self.address)
        listener.listen(BACKLOG)
        self.listener = listener
        self.accept_thread.start()

    def drain(self) -> bool:
        """Stops accepting and ends idle connections.

        To be called again until it returns True: a request that came meanwhile is seen through
        first, and none is begun on a connection that has been ended.

        Returns:
            Whether no connection is left.
        """
        if self.listener is not None:
            listener = self.listener
            self.listener = None
            self._accept_rest(listener)
            with contextlib.suppress(OSError):
                listener.shutdown(socket.SHUT_RDWR)
            listener.close()
        now = time.monotonic()
        for client in list(self.clients):
            if not client.finish_lingering(now) and not client.is_mid_call(now):
                client.close_if_idle()
        return not self.clients and not self.accept_thread.is_alive()

    def _accept_rest(self, listener: socket.socket) -> None:
        """Admits those whom the system has accepted already: their calls may have come."""
        with contextlib.suppress(OSError):  # none is left
            listener.setblocking(False)
            while True:
                self._admit_or_close(*listener.accept())

    def stop(self) -> None:
        """Ends all connections, whatever is open."""
        self.drain()
        for client in list(self.clients):
            client.shut_down()

    def close_idle(self) -> None:
        """Ends connections that are silent, stop in the middle of a call or are held unused.

        They would fill the table, and their threads the memory.
        """
        now = time.monotonic()
        for client in list(self.clients):
            if not client.finish_lingering(now) and client.is_overdue(now):
                client.close_if_idle()

    def has_pending_writes(self) -> bool:
        """Returns whether an answer is owed to any client."""
        return any(client.owes_answer() for client in list(self.clients))

    # Connections.

    def _accept(self) -> None:
        """The accept loop, in a thread of its own; ends when the listener is closed."""
        while (listener := self.listener) is not None:
            try:
                connection, address = listener.accept()
            except OSError as error:
                if error.errno in (errno.EINVAL, errno.EBADF):  # closed by `drain`
                    return
                self.log.exception("accept", error)  # such as: out of descriptors
                time.sleep(ACCEPT_RETRY_S)
                continue
            self._admit_or_close(connection, address)

    def _admit_or_close(self, connection: socket.socket, address: tuple[str, int]) -> None:
        try:
            self._admit(connection, address[0])
        except Exception as error:
            # Such as: no thread is available. This client is lost; the accept loop goes on.
            self.log.exception("accept", error)
            connection.close()

    def _admit(self, connection: socket.socket, address: str) -> None:
        admission_control = self.request_handler.admission_control
        entry: str | None = ""
        if admission_control is not None:
            entry = admission_control.admit_connection(address)
        if entry is None:
            connection.close()
            return
        is_registered = False
        try:
            is_registered = self._register(connection, address, entry)
        finally:
            if admission_control is not None and not is_registered:
                admission_control.release_connection(entry)

    def _register(self, connection: socket.socket, address: str, entry: str) -> bool:
        """Adds a connection to the table and starts its thread; False if there is no place."""
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        client = ClientConnection(connection, address, entry)
        with self.lock:
            if not self._make_room():
                connection.close()
                self.log.event("client rejected", clients=len(self.clients))
                return False
            self.clients[client] = None
        try:
            threading.Thread(
                target=self._serve_connection, args=(client,), name="client", daemon=True
            ).start()
        except RuntimeError:
            with self.lock:
                del self.clients[client]
            raise
        return True

    def _make_room(self) -> bool:
        """Evicts idle connections where the table is nearly full. Needs the lock.

        Returns:
            False if the table is full and no connection may be ended.
        """
        max_clients = self.max_clients
        max_unspared = max_clients - max(1, max_clients // SPARE_DIVISOR)
        while (count := len(self.clients)) > max_unspared:
            is_full = count >= max_clients
            ending = [client for client in self.clients if client.write_queue.is_shut_down]
            candidates: Sequence[ClientConnection] = ()
            if count - len(ending) > max_unspared:  # no more than make room
                candidates = self._eviction_candidates()
            # The first that owes nothing; none lingers at the cost of a client that waits.
            is_evicted = any(client.close_if_idle(lingers=not is_full) for client in candidates)
            if not is_full:
                return True
            if not is_evicted:
                if not ending:
                    return False
                min(ending, key=lambda client: client.half_closed_at).shut_down()
            self.client_removed.wait(REMOVAL_WAIT_S)
        return True

    def _eviction_candidates(self) -> list[ClientConnection]:
        """Returns connections that may be evicted, in their order. Needs the lock."""
        idle = [
            client
            for client in self.clients
            if not client.owes_answer() and not client.write_queue.is_shut_down
        ]
        return sorted(
            idle,
            key=lambda client: eviction_order(
                client.has_called,
                client.has_requested,
                client.partial_call_since > 0.0,
                client.last_used_at,
            ),
        )

    def _serve_connection(self, client: ClientConnection) -> None:
        """Reads a connection until its end, in its own thread."""
        try:
            self._handle_calls(client)
        except OSError:  # reset by the client
            pass
        except Exception as error:
            # Only this connection ends; its requests are cancelled below.
            self.log.exception("client", error)
        finally:
            self._remove(client)

    def _handle_calls(self, client: ClientConnection) -> None:
        while client.read_calls():
            call = client.pending_calls[0]
            self.request_handler.handle_call(client, call)
            client.mark_begun(call)
            if (
                client.bad_call_count > MAX_BAD_CALLS
                and not client.open_requests
                and not client.write_queue.is_shut_down
            ):
                self.log.event("bad frame", why=f"{client.bad_call_count} bad calls in a row")
                client.half_close()
        if client.framing_error:
            self.log.event("bad frame", why=client.framing_error)
            client.discard_input()

    def _remove(self, client: ClientConnection) -> None:
        """Ends a connection that has been read to its end, and what is open on it."""
        client.shut_down()
        with client.lock:
            abandoned = [
                request for request in client.open_requests.values() if request is not None
            ]
            client.open_requests = {}
        for request in abandoned:
            self.request_handler.client_left(request)
        with client.lock:
            client.connection.close()
        with self.lock:
            self.clients.pop(client, None)
            self.client_removed.notify()
        admission_control = self.request_handler.admission_control
        if admission_control is not None:
            admission_control.release_connection(client.admission_entry)
