"""The client side of a director: accept loop, connection table, eviction and drain.

Each connection has a thread that reads it and passes its calls to the request handler.
"""

import contextlib
import errno
import select
import socket
import threading
import time
from collections.abc import Sequence

from ..policy.admission import eviction_order
from ..structured_log import StructuredLog
from .call_scheduler import CallScheduler
from .client_connection import ClientConnection
from .request_handler import RequestHandler
from .request_memory import RequestMemory
from .thrift import MethodCall

BACKLOG = 1024  # connections that the kernel queues before they are accepted
# Invalid calls without a valid request between them. A connection with more of them is half-closed
# after a call, unless it has open requests.
MAX_BAD_CALLS = 8
SPARE_DIVISOR = 16  # 1/16 of the connection table, but at least one slot, is kept free
ACCEPT_RETRY_S = 0.05  # wait after a failed accept
# Maximum wait for a closing connection to release its file descriptor, before the next check.
REMOVAL_WAIT_S = 0.02
RELEASE_INTERVAL_S = 0.05  # between two searches for connections whose clients have left


class ClientListener:
    """Server that accepts client connections and reads their calls.

    Attributes:
        listener: The listening socket; None before the start and after the drain has begun.
        lock: Guards `clients`.
        clients: The connections, as an ordered set. A connection that is being closed is contained
            until its thread ends.
        client_removed: Condition that is notified when a connection is removed from `clients`.
        max_clients: Maximum number of connections in `clients`.
        max_unread_bytes: Maximum memory of the answers that all clients together have not read.
        scheduler: Scheduler of the turns in which the connections handle calls.
        request_memory: Memory for received requests, shared by all connections.
    """

    def __init__(
        self,
        address: tuple[str, int],
        request_handler: RequestHandler,
        log: StructuredLog,
    ) -> None:
        self.address = address
        self.request_handler = request_handler
        self.log = log
        limits = request_handler.config.memory_limits
        self.max_clients = limits.max_clients
        self.max_unread_bytes = limits.unread_answer_bytes
        self.scheduler = CallScheduler()
        self._next_release_at = 0.0  # monotonic time from which disconnected clients are looked for
        self.request_memory = RequestMemory(limits.request_bytes)
        self.listener: socket.socket | None = None
        self.accept_thread = threading.Thread(target=self._accept, name="accept", daemon=True)
        self.lock = threading.Lock()
        self.clients: dict[ClientConnection, None] = {}
        self.client_removed = threading.Condition(self.lock)
        request_handler.limit_unread_answers = self.limit_unread_answers

    def limit_unread_answers(self) -> None:
        """Disconnect the client with the most unread answers if all clients have too many."""
        with self.lock:
            unread_bytes = {client: client.unread_bytes() for client in self.clients}
        total = sum(unread_bytes.values())
        if total <= self.max_unread_bytes:
            return
        largest = max(unread_bytes, key=lambda client: unread_bytes[client])
        self.log.event("client does not read", bytes=unread_bytes[largest], all=total)
        largest.shut_down()

    def start(self) -> None:
        """Start to listen and start the accept loop.

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
        """Stop accepting connections, and close those without outstanding answers.

        The caller repeats the call until it returns True. Requests that arrive on an open
        connection meanwhile are completed before it is closed, and a client that has sent a part of
        a call has `DRAIN_PARTIAL_CALL_S` to send the rest. No request is started on a connection
        that was closed.

        Returns:
            Whether all connections are closed and the accept loop has ended.
        """
        if self.listener is not None:
            listener = self.listener
            self.listener = None
            self._accept_backlog(listener)
            with contextlib.suppress(OSError):
                listener.shutdown(socket.SHUT_RDWR)
            listener.close()
        now = time.monotonic()
        for client in list(self.clients):
            if not client.finish_lingering(now) and not client.is_mid_call(now):
                client.close_if_idle()
        return not self.clients and not self.accept_thread.is_alive()

    def _accept_backlog(self, listener: socket.socket) -> None:
        """Accept the connections in the kernel's backlog, as their clients may have sent calls."""
        with contextlib.suppress(OSError):  # the backlog is empty
            listener.setblocking(False)
            while True:
                self._admit_or_close(*listener.accept())

    def stop(self) -> None:
        """Stop accepting, and close all connections, even those with open requests."""
        self.drain()
        for client in list(self.clients):
            client.shut_down()

    def close_idle(self) -> None:
        """Close connections that are silent, idle or stuck in the middle of a call.

        Otherwise they would fill the table, and their threads the memory. Lingering closes that
        have timed out are finished, too.
        """
        now = time.monotonic()
        for client in list(self.clients):
            if not client.finish_lingering(now) and client.is_overdue(now):
                client.close_if_idle()

    def has_pending_writes(self) -> bool:
        """Return whether an answer to any client is outstanding."""
        return any(client.owes_answer() for client in list(self.clients))

    # Connections

    def _accept(self) -> None:
        """Run the accept loop in its own thread until the listener is closed."""
        while (listener := self.listener) is not None:
            try:
                connection, address = listener.accept()
            except OSError as error:
                if error.errno in (errno.EINVAL, errno.EBADF):  # closed by `drain`
                    return
                self.log.exception("accept", error)  # for example, out of file descriptors
                time.sleep(ACCEPT_RETRY_S)
                continue
            self._admit_or_close(connection, address)

    def _admit_or_close(self, connection: socket.socket, address: tuple[str, int]) -> None:
        try:
            self._admit(connection, address[0])
        except Exception as error:
            # For example, no thread is available. Only this client is lost; the accept loop goes
            # on.
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
        """Add a connection to the table and start its thread.

        Returns:
            False if the table is full. The connection is then closed.
        """
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        client = ClientConnection(connection, address, entry, self.request_memory)
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
        """Evict an idle connection if the table is nearly full; wait for a slot if it is full.

        The caller holds the lock, which is released while this method waits. If the table is full
        and no connection is evicted, the connection that has been closing for the longest time is
        shut down without waiting for the end of its lingering close.

        Returns:
            False if the table is full and no connection in it is idle or closing.
        """
        max_clients = self.max_clients
        eviction_threshold = max_clients - max(1, max_clients // SPARE_DIVISOR)
        if len(self.clients) > eviction_threshold:
            self._release_disconnected()
        while (count := len(self.clients)) > eviction_threshold:
            is_full = count >= max_clients
            closing = [client for client in self.clients if client.write_queue.is_shut_down]
            candidates: Sequence[ClientConnection] = ()
            # Evict only if the connections that are already closing do not free enough slots.
            if count - len(closing) > eviction_threshold:
                candidates = self._eviction_candidates()
            # Evict the first candidate that is still idle. If the table is full, it is closed
            # without lingering, because a new client is waiting for the slot.
            is_evicted = any(client.close_if_idle(lingers=not is_full) for client in candidates)
            if not is_full:
                return True
            if not is_evicted:
                if not closing:
                    return False
                min(closing, key=lambda client: client.half_closed_at).shut_down()
            self.client_removed.wait(REMOVAL_WAIT_S)
        return True

    def _release_disconnected(self) -> None:
        """Shut down the connections whose clients have left while their calls wait for a turn.

        The caller holds the lock. Without this, the connections of many clients that send much,
        disconnect and return would fill the table, and idle clients would be evicted.
        """
        now = time.monotonic()
        if now < self._next_release_at:
            return
        self._next_release_at = now + RELEASE_INTERVAL_S
        by_descriptor = {
            client.connection.fileno(): client
            for client in self.clients
            if not client.write_queue.is_shut_down
        }
        poll = select.poll()
        for descriptor in by_descriptor:
            poll.register(descriptor, select.POLLRDHUP)
        for descriptor, _ in poll.poll(0):
            by_descriptor[descriptor].shut_down()
            self.scheduler.cancel(by_descriptor[descriptor].turn)

    def _eviction_candidates(self) -> list[ClientConnection]:
        """Return the idle connections in the order of eviction; the caller holds the lock."""
        idle = [
            client
            for client in self.clients
            if not client.owes_answer() and not client.write_queue.is_shut_down
        ]
        return sorted(
            idle,
            key=lambda client: eviction_order(
                client.has_called,
                client.has_sent_request,
                client.partial_call_since > 0.0,
                client.last_used_at,
            ),
        )

    def _serve_connection(self, client: ClientConnection) -> None:
        """Handle a connection until it is closed, in its own thread."""
        try:
            self._handle_calls(client)
        except OSError:  # reset by the client
            pass
        except Exception as error:
            # Only this connection is closed; its requests are cancelled below.
            self.log.exception("client", error)
        finally:
            self._remove(client)

    def _handle_calls(self, client: ClientConnection) -> None:
        """Handle the calls of a connection in its turns, and then discard further input."""
        is_open = True
        while is_open and client.wait_for_input():
            if not self.scheduler.begin(client.turn):
                return
            try:
                is_open = self._handle_turn(client)
            finally:
                self.scheduler.end(client.turn, client.has_received_calls())
        if client.framing_error:
            self.log.event("bad frame", why=client.framing_error)
        if is_open and (client.framing_error or client.write_queue.is_shut_down):
            client.discard_input()

    def _handle_turn(self, client: ClientConnection) -> bool:
        """Handle calls until the turn must end; return False if the client has disconnected."""
        while client.read_calls():
            if client.pending_calls:
                self._handle_call(client, client.pending_calls[0])
            if not client.has_received_calls() or not self.scheduler.may_continue(client.turn):
                return True
        return False

    def _handle_call(self, client: ClientConnection, call: MethodCall) -> None:
        self.request_handler.handle_call(client, call)
        client.finish_call(call)
        if (
            client.bad_call_count > MAX_BAD_CALLS
            and not client.open_requests
            and not client.write_queue.is_shut_down
        ):
            self.log.event("bad frame", why=f"{client.bad_call_count} bad calls in a row")
            client.half_close()

    def _remove(self, client: ClientConnection) -> None:
        """Close a connection whose thread ends, and release all that it holds.

        Its open requests are cancelled, its slot in the table becomes free, and its token is
        returned to admission control.
        """
        client.shut_down()
        for request in client.close_all_requests():
            self.request_handler.client_left(request)
        with client.lock:
            client.connection.close()
        with self.lock:
            self.clients.pop(client, None)
            self.client_removed.notify()
        admission_control = self.request_handler.admission_control
        if admission_control is not None:
            admission_control.release_connection(client.admission_entry)
