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
POLL_INTERVAL_MS = 250  # ms between two looks at a connection that takes no bytes


@dataclass(slots=True, eq=False)
class PendingPiece:
    owner: Hashable
    piece: Piece
    first: bool  # nothing of its message is written


class WriteQueue:
    """All fields are guarded by the lock, which its owner may share; waiting is done outside it."""

    def __init__(self, lock: threading.Lock, write_wait: float | None = None) -> None:
        """`write_wait`: seconds after which a connection that takes no bytes is ended."""
        self.lock, self.write_wait = lock, write_wait
        self.connection: socket.socket | None = None  # while there is none, all waits
        self.pending: deque[PendingPiece] = deque()
        self.pending_bytes = 0  # bytes that wait
        self.is_writing = self.is_shut_down = False
        # Under the lock, at a first byte: what to tell of a message that must not go any more, else
        # None.
        self.find_stale: Callable[[Hashable], Any] = lambda owner: None
        self.on_withdrawn: Callable[[Any], None] = lambda what: (
            None
        )  # without the lock: it has been withdrawn

    def write(self, owner: Hashable, pieces: list[Piece]) -> None:
        """Under the lock. Writes a message, or as much of it as goes at once."""
        if self.is_shut_down:
            return
        sent = 0
        if self.connection is not None and not self.pending and not self.is_writing:
            try:
                sent = self.connection.sendmsg(pieces, [], socket.MSG_DONTWAIT)
            except BlockingIOError:
                pass
            except OSError:
                return self.shut_down()
        first = sent == 0
        for piece in pieces:
            if sent < len(piece):
                self.pending.append(
                    PendingPiece(owner, memoryview(piece)[sent:] if sent else piece, first)
                )
                self.pending_bytes += len(piece) - sent
                first, sent = False, 0
            else:
                sent -= len(piece)
        if self.pending and self.connection is not None and not self.is_writing:
            try:
                threading.Thread(target=self._catch_up, name="catch-up", daemon=True).start()
            except RuntimeError:  # no thread to be had: what waits would wait for ever
                return self.shut_down()
            self.is_writing = True

    def attach(self, connection: socket.socket) -> bool:
        """The connection is up; writes what waits for it. False where it was ended meanwhile."""
        with self.lock:
            if self.is_shut_down:
                return False
            self.connection, self.is_writing = connection, True
        self._catch_up()
        return True

    def withdraw(self, owner: Hashable) -> bool:
        """Under the lock. Takes back a message of which nothing is written; False where that is too
        late.
        """
        if not self.is_unwritten(owner):
            return False
        self.pending_bytes -= sum(
            len(entry.piece) for entry in self.pending if entry.owner == owner
        )
        self.pending = deque(entry for entry in self.pending if entry.owner != owner)
        return True

    def is_unwritten(self, owner: Hashable) -> bool:
        """Under the lock. Whether a message waits of which nothing is written."""
        return any(entry.first and entry.owner == owner for entry in self.pending)

    def shut_down(self, how: int = socket.SHUT_RDWR) -> None:
        """Under the lock. Nothing more is written; whoever writes to the connection is woken and,
        unless only writing is shut, who reads it.
        """
        self.is_shut_down = True
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
                    self.pending
                    and not self.is_shut_down
                    and self.pending[0].first
                    and (what := self.find_stale(self.pending[0].owner)) is not None
                ):
                    self.withdraw(self.pending[0].owner)
                    dropped.append(what)
                if more := bool(self.pending) and not self.is_shut_down:
                    stuck = not self._write_some()
                    went = went if stuck else time.monotonic()
                    if self.write_wait is not None and time.monotonic() > went + self.write_wait:
                        self.shut_down()
                else:
                    self.is_writing = False
            for what in dropped:
                self.on_withdrawn(what)
            if not more:
                return
            if stuck:
                self._await_room()

    def _write_some(self) -> bool:
        """Under the lock, without waiting. Whether any byte went."""
        entry = self.pending[0]
        try:
            sent = self.connection.send(entry.piece, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            self.shut_down()
            return True
        self.pending_bytes -= sent
        entry.piece, entry.first = memoryview(entry.piece)[sent:], entry.first and not sent
        if not entry.piece:
            self.pending.popleft()
        return True

    def _await_room(self) -> None:
        try:
            room = select.poll()
            room.register(self.connection, select.POLLOUT)
            room.poll(POLL_INTERVAL_MS)
        except (OSError, ValueError):  # closed meanwhile
            pass
