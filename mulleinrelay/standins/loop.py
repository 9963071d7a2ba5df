"""One thread for thousands of connections: what nodes, relays and clients of the fleet lab stand
on.
"""

import heapq
import itertools
import selectors
import socket
import struct
import time
from collections import deque
from collections.abc import Callable

RESET = struct.pack("ii", 1, 0)  # SO_LINGER: closing resets
PIECE = 65_536
UNSENT_MOST = 8_000_000  # bytes that a peer may leave unread before its connection is ended
LATEST = 0.25  # s between two looks at what is due

READ, WRITE = selectors.EVENT_READ, selectors.EVENT_WRITE


def now_ms() -> float:
    """Unix milliseconds."""
    return time.time() * 1000.0


class Loop:
    """Readiness from the system, and things done at their times."""

    def __init__(self) -> None:
        self.selector = selectors.DefaultSelector()
        self.due: list[tuple[float, int, Callable[[], None]]] = []
        self.count = itertools.count()
        self.ended = False

    def at(self, due: float, do: Callable[[], None]) -> None:
        """`due`: Unix milliseconds."""
        heapq.heappush(self.due, (due, next(self.count), do))

    def each(self, span: float, do: Callable[[], None]) -> None:
        """Does it each `span` ms, until the loop ends."""

        def again() -> None:
            do()
            self.at(now_ms() + span, again)

        self.at(now_ms() + span, again)

    def run(self) -> None:
        while not self.ended:
            now = now_ms()
            while self.due and self.due[0][0] <= now and not self.ended:
                heapq.heappop(self.due)[2]()
            wait = max(0.0, (self.due[0][0] - now_ms()) / 1000.0) if self.due else LATEST
            for key, mask in self.selector.select(min(wait, LATEST)):
                key.data(mask)

    def listen(
        self,
        host: str,
        port: int,
        welcome: Callable[[socket.socket], None],
        everywhere: bool = False,
        backlog: int = 1024,
    ) -> socket.socket:
        """`everywhere`: at all loopback addresses, and on that device alone."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if everywhere:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_BINDTODEVICE, b"lo\0")
        listener.bind(("" if everywhere else host, port))
        listener.listen(backlog)
        listener.setblocking(False)

        def ready(_: int) -> None:
            for _ in range(64):
                try:
                    connection, _ = listener.accept()
                except OSError:
                    return
                connection.setblocking(False)
                connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                welcome(connection)

        self.selector.register(listener, READ, ready)
        return listener

    def deaf(self, listener: socket.socket) -> None:
        """Listens there no more."""
        self.selector.unregister(listener)
        listener.close()

    def connect(self, address: tuple[str, int], source: str = "") -> "Wire":
        connection = socket.socket()
        connection.setblocking(False)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if source:
            connection.setsockopt(socket.SOL_IP, getattr(socket, "IP_BIND_ADDRESS_NO_PORT", 24), 1)
            connection.bind((source, 0))
        connection.connect_ex(address)
        return Wire(self, connection)


class Wire:
    """A connection of a loop. `heard` gets what comes; `over` is called once, when it has ended by
    itself.
    """

    def __init__(self, loop: Loop, connection: socket.socket) -> None:
        self.loop, self.connection = loop, connection
        self.heard: Callable[[bytes], None] = lambda data: None
        self.over: Callable[[], None] = lambda: None
        self.waiting: deque[memoryview] = deque()
        self.unsent, self.closed, self.reads = 0, False, True
        self.mask = READ
        loop.selector.register(connection, self.mask, self._ready)

    def put(self, data: bytes | memoryview) -> None:
        if self.closed or not data:
            return
        if not self.waiting:
            try:
                data = memoryview(data)[self.connection.send(data) :]
            except (BlockingIOError, InterruptedError):
                pass
            except OSError:
                return self.end()
        if len(data):
            self.waiting.append(memoryview(data))
            self.unsent += len(data)
            if self.unsent > UNSENT_MOST:
                return self.end()
            self._want()

    def read(self, wanted: bool) -> None:
        """Whether what comes is taken in; else it waits in the system, and then at the sender."""
        if self.reads != wanted and not self.closed:
            self.reads = wanted
            self._want()

    def close(self, reset: bool = False) -> None:
        """From our side: `over` is not called."""
        if self.closed:
            return
        self.closed = True
        if self.mask:
            self.loop.selector.unregister(self.connection)
        if reset:
            try:
                self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            except OSError:
                pass
        self.connection.close()
        self.waiting.clear()

    def end(self) -> None:
        if not self.closed:
            self.close()
            self.over()

    def _want(self) -> None:
        mask = (READ if self.reads else 0) | (WRITE if self.waiting else 0)
        if mask == self.mask:
            return
        if not self.mask:
            self.loop.selector.register(self.connection, mask, self._ready)
        elif not mask:
            self.loop.selector.unregister(self.connection)
        else:
            self.loop.selector.modify(self.connection, mask, self._ready)
        self.mask = mask

    def _ready(self, mask: int) -> None:
        if mask & WRITE:
            self._write()
        if mask & READ and not self.closed:
            try:
                data = self.connection.recv(PIECE)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                data = b""
            if data:
                self.heard(data)
            else:
                self.end()

    def _write(self) -> None:
        while self.waiting:
            piece = self.waiting.popleft()
            try:
                sent = self.connection.send(piece)
            except (BlockingIOError, InterruptedError):
                sent = 0
            except OSError:
                return self.end()
            self.unsent -= sent
            if sent < len(piece):
                self.waiting.appendleft(piece[sent:])
                break
        self._want()
