"""Writing to a socket without blocking those who write: what does not go at once waits in a queue.

A thread of its own writes the queue once the socket takes bytes again. Before the first byte of a
message that waited, the owner of the queue is asked whether it may still be sent: the connection
came up late or the peer did not read, and meanwhile the message may have become stale.
"""

import contextlib
import select
import socket
import threading
import time
from collections import deque
from collections.abc import Callable, Hashable
from dataclasses import dataclass
from typing import Generic, TypeVar

Piece = memoryview | bytes
Withdrawn = TypeVar("Withdrawn")  # what the queue's owner knows a withdrawn message by

POLL_INTERVAL_MS = 250  # between two looks at a connection that takes no bytes


@dataclass(slots=True, eq=False)
class PendingPiece:
    """Bytes that wait to be written.

    Attributes:
        owner: What the message belongs to, as its writer named it.
        piece: The bytes.
        is_first: No byte of its message has been written.
    """

    owner: Hashable
    piece: Piece
    is_first: bool


class WriteQueue(Generic[Withdrawn]):
    """Messages that wait to be written to one connection.

    Attributes:
        lock: Guards all other fields; its owner may share it. Waiting is done outside it.
        connection: The socket; while there is none, everything waits.
        pending: Pieces that wait, in the order of writing.
        pending_bytes: Their length.
        is_writing: A thread writes what waits, so nobody else may write.
        is_shut_down: Nothing more is written.
        find_stale: Called under the lock before the first byte of a message that waited, with its
            owner; returns what to pass to `on_withdrawn` if it must not be sent, else None.
        on_withdrawn: Called without the lock for each message that was withdrawn that way.
    """

    def __init__(self, lock: threading.Lock, write_timeout_s: float | None = None) -> None:
        """Creates a queue without a connection.

        Args:
            lock: Guards the queue.
            write_timeout_s: After so long without a byte written the connection is shut down;
                None: never.
        """
        self.lock = lock
        self.write_timeout_s = write_timeout_s
        self.connection: socket.socket | None = None
        self.pending: deque[PendingPiece] = deque()
        self.pending_bytes = 0
        self.is_writing = False
        self.is_shut_down = False
        self.find_stale: Callable[[Hashable], Withdrawn | None] = lambda owner: None
        self.on_withdrawn: Callable[[Withdrawn], None] = lambda withdrawn: None

    def write(self, owner: Hashable, pieces: list[Piece]) -> None:
        """Writes a message, or as much of it as goes at once; the rest waits. Needs the lock."""
        if self.is_shut_down:
            return
        sent = 0
        if self.connection is not None and not self.pending and not self.is_writing:
            try:
                sent = self.connection.sendmsg(pieces, [], socket.MSG_DONTWAIT)
            except BlockingIOError:
                pass
            except OSError:
                self.shut_down()
                return
        self._enqueue(owner, pieces, sent)
        if self.pending and self.connection is not None and not self.is_writing:
            self._start_writer()

    def _enqueue(self, owner: Hashable, pieces: list[Piece], sent: int) -> None:
        """Queues the pieces of a message of which so many bytes are written. Needs the lock."""
        is_first = sent == 0
        for piece in pieces:
            if sent >= len(piece):
                sent -= len(piece)
                continue
            rest = memoryview(piece)[sent:] if sent else piece
            self.pending.append(PendingPiece(owner, rest, is_first))
            self.pending_bytes += len(rest)
            is_first = False
            sent = 0

    def _start_writer(self) -> None:
        """Needs the lock."""
        try:
            threading.Thread(target=self._write_pending, name="write-queue", daemon=True).start()
        except RuntimeError:  # no thread is available: what is queued would wait for ever
            self.shut_down()
            return
        self.is_writing = True

    def attach(self, connection: socket.socket) -> bool:
        """Sets the connection, which has come up, and writes what waits for it.

        Returns:
            False where the queue was shut down meanwhile.
        """
        with self.lock:
            if self.is_shut_down:
                return False
            self.connection = connection
            self.is_writing = True
        self._write_pending()
        return True

    def withdraw(self, owner: Hashable) -> bool:
        """Removes a message of which nothing is written. Needs the lock.

        Returns:
            False where it is too late.
        """
        if not self.is_unwritten(owner):
            return False
        self.pending_bytes -= sum(
            len(entry.piece) for entry in self.pending if entry.owner == owner
        )
        self.pending = deque(entry for entry in self.pending if entry.owner != owner)
        return True

    def is_unwritten(self, owner: Hashable) -> bool:
        """Returns whether a message waits of which nothing is written. Needs the lock."""
        return any(entry.is_first and entry.owner == owner for entry in self.pending)

    def shut_down(self, how: int = socket.SHUT_RDWR) -> None:
        """Shuts the connection down; nothing more is written. Needs the lock.

        Threads that write to the connection wake up, and those that read from it, unless only
        writing is shut down.
        """
        self.is_shut_down = True
        if self.connection is not None:
            with contextlib.suppress(OSError):  # the peer has closed or reset it
                self.connection.shutdown(how)

    def _write_pending(self) -> None:
        """Writes what waits until nothing does. Runs without the lock, in the writing thread."""
        progress_at = time.monotonic()
        while True:
            is_stuck = False
            with self.lock:
                withdrawn = self._withdraw_stale()
                has_more = bool(self.pending) and not self.is_shut_down
                if has_more:
                    is_stuck = not self._write_some()
                    now = time.monotonic()
                    if not is_stuck:
                        progress_at = now
                    elif (
                        self.write_timeout_s is not None
                        and now > progress_at + self.write_timeout_s
                    ):
                        self.shut_down()
                else:
                    self.is_writing = False
            for message in withdrawn:
                self.on_withdrawn(message)
            if not has_more:
                return
            if is_stuck:
                self._wait_until_writable()

    def _withdraw_stale(self) -> list[Withdrawn]:
        """Removes messages at the head of the queue that must not be sent. Needs the lock."""
        withdrawn = []
        while self.pending and not self.is_shut_down and self.pending[0].is_first:
            message = self.find_stale(self.pending[0].owner)
            if message is None:
                break
            self.withdraw(self.pending[0].owner)
            withdrawn.append(message)
        return withdrawn

    def _write_some(self) -> bool:
        """Writes of the first piece what goes without waiting; whether any did. Needs the lock."""
        entry = self.pending[0]
        assert self.connection is not None
        try:
            sent = self.connection.send(entry.piece, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            self.shut_down()
            return True
        self.pending_bytes -= sent
        entry.piece = memoryview(entry.piece)[sent:]
        entry.is_first = entry.is_first and not sent
        if not entry.piece:
            self.pending.popleft()
        return True

    def _wait_until_writable(self) -> None:
        assert self.connection is not None
        with contextlib.suppress(OSError, ValueError):  # it was closed meanwhile
            poll = select.poll()
            poll.register(self.connection, select.POLLOUT)
            poll.poll(POLL_INTERVAL_MS)
