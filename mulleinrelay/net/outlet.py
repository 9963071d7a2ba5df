"""Writing to a connection without holding up those who write: what does not go at once waits for a thread."""

import socket
import threading
from collections import deque
from collections.abc import Hashable
from dataclasses import dataclass

Piece = memoryview | bytes


@dataclass(slots=True, eq=False)
class Waiting:
    owner: Hashable
    piece: Piece
    first: bool  # nothing of its message is written


class Outlet:
    """All fields are guarded by the lock, which its owner may share; a blocking write is made outside it."""

    def __init__(self, lock: threading.Lock) -> None:
        self.lock = lock
        self.connection: socket.socket | None = None  # while there is none, all waits
        self.waiting: deque[Waiting] = deque()
        self.queued = 0  # bytes that wait
        self.busy = self.ended = False

    def put(self, owner: Hashable, pieces: list[Piece]) -> None:
        """Under the lock. Writes a message, or as much of it as goes at once."""
        if self.ended:
            return
        sent = 0
        if self.connection is not None and not self.waiting and not self.busy:
            try:
                sent = self.connection.sendmsg(pieces, [], socket.MSG_DONTWAIT)
            except BlockingIOError:
                pass
            except OSError:
                return self.end()
        first = sent == 0
        for piece in pieces:
            if sent < len(piece):
                self.waiting.append(Waiting(owner, memoryview(piece)[sent:] if sent else piece, first))
                self.queued += len(piece) - sent
                first, sent = False, 0
            else:
                sent -= len(piece)
        if self.waiting and self.connection is not None and not self.busy:
            self.busy = True
            threading.Thread(target=self._catch_up, name="catch-up", daemon=True).start()

    def open(self, connection: socket.socket) -> bool:
        """The connection is up; writes what waits for it. False where it was ended meanwhile."""
        with self.lock:
            if self.ended:
                return False
            self.connection, self.busy = connection, True
        self._catch_up()
        return True

    def withdraw(self, owner: Hashable) -> bool:
        """Under the lock. Takes back a message of which nothing is written; False where that is too late."""
        if not self.unbegun(owner):
            return False
        self.queued -= sum(len(entry.piece) for entry in self.waiting if entry.owner == owner)
        self.waiting = deque(entry for entry in self.waiting if entry.owner != owner)
        return True

    def unbegun(self, owner: Hashable) -> bool:
        """Under the lock. Whether a message waits of which nothing is written."""
        return any(entry.first and entry.owner == owner for entry in self.waiting)

    def end(self) -> None:
        """Under the lock. Nothing more is written; whoever reads or writes the connection is woken."""
        self.ended = True
        if self.connection is not None:
            try:
                self.connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def _catch_up(self) -> None:
        while True:
            with self.lock:
                if not self.waiting or self.ended:
                    self.busy = False
                    return
                entry = self.waiting.popleft()
            try:
                self.connection.sendall(entry.piece)
            except OSError:
                with self.lock:
                    self.end()
            with self.lock:
                self.queued -= len(entry.piece)
