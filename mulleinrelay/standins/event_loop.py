"""An event loop that serves thousands of connections in one thread.

The nodes, fault proxies and load generators of the fleet lab run on it.
"""

import contextlib
import heapq
import itertools
import selectors
import socket
import struct
from collections import deque
from collections.abc import Callable

from .clock import now_ms

RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER with 0 s: close sends a TCP reset
READ_SIZE = 65_536  # bytes
MAX_UNSENT_BYTES = 8_000_000  # per connection; beyond this the connection is closed
MAX_SELECT_S = 0.25  # maximum time between two checks of the timers
MAX_ACCEPTS_PER_EVENT = 64

READ = selectors.EVENT_READ
WRITE = selectors.EVENT_WRITE


class EventLoop:
    """A loop that calls functions when sockets are ready and when timers are due.

    Not thread-safe.
    """

    def __init__(self) -> None:
        self.selector = selectors.DefaultSelector()
        # Heap by due time in Unix ms, then by the order of the calls of `call_at`
        self.timers: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.is_stopped = False

    def call_at(self, due_at: float, call: Callable[[], None]) -> None:
        """Call `call` at `due_at` (Unix ms)."""
        heapq.heappush(self.timers, (due_at, next(self.order), call))

    def call_every(self, interval: float, call: Callable[[], None]) -> None:
        """Call `call` until the loop stops, each time `interval` ms after the previous call ended.

        The first call is made after one interval.
        """

        def repeat() -> None:
            call()
            self.call_at(now_ms() + interval, repeat)

        self.call_at(now_ms() + interval, repeat)

    def run(self) -> None:
        """Run until one of the called functions sets `is_stopped`."""
        while not self.is_stopped:
            now = now_ms()
            while self.timers and self.timers[0][0] <= now and not self.is_stopped:
                heapq.heappop(self.timers)[2]()
            wait_s = MAX_SELECT_S
            if self.timers:
                wait_s = max(0.0, (self.timers[0][0] - now_ms()) / 1000.0)
            for key, mask in self.selector.select(min(wait_s, MAX_SELECT_S)):
                key.data(mask)

    def listen(
        self,
        host: str,
        port: int,
        on_connection: Callable[[socket.socket], None],
        on_all_addresses: bool = False,
        backlog: int = 1024,
    ) -> socket.socket:
        """Start to listen and return the listening socket.

        Args:
            host: Address to listen at; ignored if `on_all_addresses` is set.
            port: Port to listen at; 0: any free port.
            on_connection: Called with the non-blocking socket of each accepted connection.
            on_all_addresses: Whether to listen at all addresses of the loopback device.
            backlog: Maximum number of connections that wait to be accepted.
        """
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if on_all_addresses:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_BINDTODEVICE, b"lo\0")
        listener.bind(("" if on_all_addresses else host, port))
        listener.listen(backlog)
        listener.setblocking(False)

        def accept(_: int) -> None:
            for _ in range(MAX_ACCEPTS_PER_EVENT):
                try:
                    connection, _ = listener.accept()
                except OSError:
                    return
                connection.setblocking(False)
                connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                on_connection(connection)

        self.selector.register(listener, READ, accept)
        return listener

    def stop_listening(self, listener: socket.socket) -> None:
        """Close a socket that `listen` returned."""
        self.selector.unregister(listener)
        listener.close()

    def connect(self, address: tuple[str, int]) -> "LoopConnection":
        """Start to connect, and return the connection at once.

        If the connection cannot be established, its `on_close` is called later.
        """
        connection = socket.socket()
        connection.setblocking(False)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection.connect_ex(address)
        return LoopConnection(self, connection)


class LoopConnection:
    """A TCP connection of an event loop.

    Attributes:
        on_data: Called with the bytes received.
        on_close: Called once when the peer, an error or more than MAX_UNSENT_BYTES of unsent data
            ends the connection. `close` does not call it.
    """

    def __init__(self, loop: EventLoop, connection: socket.socket) -> None:
        self.loop = loop
        self.connection = connection
        self.on_data: Callable[[bytes], None] = lambda data: None
        self.on_close: Callable[[], None] = lambda: None
        self.unsent: deque[memoryview] = deque()
        self.unsent_bytes = 0
        self.is_closed = False
        self.mask = READ
        loop.selector.register(connection, self.mask, self._on_ready)

    def write(self, data: bytes | memoryview) -> None:
        """Send bytes, or queue them until the socket accepts them.

        Bytes are ignored if the connection is closed. More than MAX_UNSENT_BYTES of queued bytes
        end the connection.
        """
        if self.is_closed or not data:
            return
        if not self.unsent:
            try:
                data = memoryview(data)[self.connection.send(data) :]
            except (BlockingIOError, InterruptedError):
                pass
            except OSError:
                self._close_and_notify()
                return
        if len(data):
            self.unsent.append(memoryview(data))
            self.unsent_bytes += len(data)
            if self.unsent_bytes > MAX_UNSENT_BYTES:
                self._close_and_notify()
                return
            self._update_mask()

    def close(self, reset: bool = False) -> None:
        """Close the connection without calling `on_close`; send a TCP reset if `reset` is set."""
        if self.is_closed:
            return
        self.is_closed = True
        self.loop.selector.unregister(self.connection)
        if reset:
            with contextlib.suppress(OSError):
                self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.connection.close()
        self.unsent.clear()

    def _close_and_notify(self) -> None:
        if not self.is_closed:
            self.close()
            self.on_close()

    def _update_mask(self) -> None:
        mask = READ | (WRITE if self.unsent else 0)
        if mask != self.mask:
            self.loop.selector.modify(self.connection, mask, self._on_ready)
            self.mask = mask

    def _on_ready(self, mask: int) -> None:
        if mask & WRITE:
            self._send_unsent()
        if mask & READ and not self.is_closed:
            try:
                data = self.connection.recv(READ_SIZE)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                data = b""
            if data:
                self.on_data(data)
            else:
                self._close_and_notify()

    def _send_unsent(self) -> None:
        while self.unsent:
            chunk = self.unsent.popleft()
            try:
                sent = self.connection.send(chunk)
            except (BlockingIOError, InterruptedError):
                sent = 0
            except OSError:
                self._close_and_notify()
                return
            self.unsent_bytes -= sent
            if sent < len(chunk):
                self.unsent.appendleft(chunk[sent:])
                break
        self._update_mask()
