"""Writing to a connection without holding up those who write: what does not go at once waits for a
thread.

What waited is asked about once more when its first byte is to go: the connection came up late or
the other side did not read, and meanwhile the message may have become one that must not be sent any
more.
"""

import select
import socket
import threading
import time
from collections import deque
from collections.abc import Callable, Hashable
from dataclasses import dataclass
from typing import Any

Piece = memoryview | bytes
LOOK_AGAIN = 250  # ms between two looks at a connection that takes no bytes


@dataclass(slots=True, eq=False)
class Waiting:
    owner: Hashable
    piece: Piece
    first: bool  # nothing of its message is written


class WriteQueue:
    """All fields are guarded by the lock, which its owner may share; waiting is done outside it."""

    def __init__(self, lock: threading.Lock, write_wait: float | None = None) -> None:
        """`write_wait`: seconds after which a connection that takes no bytes is ended."""
        self.lock, self.write_wait = lock, write_wait
        self.connection: socket.socket | None = None  # while there is none, all waits
        self.waiting: deque[Waiting] = deque()
        self.queued = 0  # bytes that wait
        self.busy = self.ended = False
        # Under the lock, at a first byte: what to tell of a message that must not go any more, else
        # None.
        self.stale: Callable[[Hashable], Any] = lambda owner: None
        self.withdrawn: Callable[[Any], None] = lambda what: (
            None
        )  # without the lock: it has been withdrawn

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
                self.waiting.append(
                    Waiting(owner, memoryview(piece)[sent:] if sent else piece, first)
                )
                self.queued += len(piece) - sent
                first, sent = False, 0
            else:
                sent -= len(piece)
        if self.waiting and self.connection is not None and not self.busy:
            try:
                threading.Thread(target=self._catch_up, name="catch-up", daemon=True).start()
            except RuntimeError:  # no thread to be had: what waits would wait for ever
                return self.end()
            self.busy = True

    def open(self, connection: socket.socket) -> bool:
        """The connection is up; writes what waits for it. False where it was ended meanwhile."""
        with self.lock:
            if self.ended:
                return False
            self.connection, self.busy = connection, True
        self._catch_up()
        return True

    def withdraw(self, owner: Hashable) -> bool:
        """Under the lock. Takes back a message of which nothing is written; False where that is too
        late.
        """
        if not self.unbegun(owner):
            return False
        self.queued -= sum(len(entry.piece) for entry in self.waiting if entry.owner == owner)
        self.waiting = deque(entry for entry in self.waiting if entry.owner != owner)
        return True

    def unbegun(self, owner: Hashable) -> bool:
        """Under the lock. Whether a message waits of which nothing is written."""
        return any(entry.first and entry.owner == owner for entry in self.waiting)

    def end(self, how: int = socket.SHUT_RDWR) -> None:
        """Under the lock. Nothing more is written; whoever writes to the connection is woken and,
        unless only writing is shut, who reads it.
        """
        self.ended = True
        if self.connection is not None:
            try:
                self.connection.shutdown(how)
            except OSError:
                pass

    def _catch_up(self) -> None:
        went = time.monotonic()
        while True:
            dropped: list[Any] = []
            with self.lock:
                while (
                    self.waiting
                    and not self.ended
                    and self.waiting[0].first
                    and (what := self.stale(self.waiting[0].owner)) is not None
                ):
                    self.withdraw(self.waiting[0].owner)
                    dropped.append(what)
                if more := bool(self.waiting) and not self.ended:
                    stuck = not self._write_some()
                    went = went if stuck else time.monotonic()
                    if self.write_wait is not None and time.monotonic() > went + self.write_wait:
                        self.end()
                else:
                    self.busy = False
            for what in dropped:
                self.withdrawn(what)
            if not more:
                return
            if stuck:
                self._await_room()

    def _write_some(self) -> bool:
        """Under the lock, without waiting. Whether any byte went."""
        entry = self.waiting[0]
        try:
            sent = self.connection.send(entry.piece, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            self.end()
            return True
        self.queued -= sent
        entry.piece, entry.first = memoryview(entry.piece)[sent:], entry.first and not sent
        if not entry.piece:
            self.waiting.popleft()
        return True

    def _await_room(self) -> None:
        try:
            room = select.poll()
            room.register(self.connection, select.POLLOUT)
            room.poll(LOOK_AGAIN)
        except (OSError, ValueError):  # closed meanwhile
            pass
