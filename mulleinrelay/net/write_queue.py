"""Non-blocking writes to a socket: bytes that cannot be written at once are queued.

A thread writes the queue as soon as the socket is writable again. Before it writes the first byte
of a queued message, it asks the code that uses the queue whether the message is stale, that is,
must not be sent any more. Messages become stale because the connect may take long, or the peer may
not read for a while.
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
Withdrawn = TypeVar("Withdrawn")  # value by which the queue's user identifies a withdrawn message

POLL_INTERVAL_MS = 250  # maximum time between two checks of a socket that is not writable


@dataclass(slots=True, eq=False)
class PendingPiece:
    """Queued bytes of a message.

    Attributes:
        owner: Key of the message, chosen by its writer.
        piece: The bytes.
        is_first: Whether these are the first bytes of the message and all of it is unwritten.
    """

    owner: Hashable
    piece: Piece
    is_first: bool


class WriteQueue(Generic[Withdrawn]):
    """Queue of messages to be written to one connection.

    Attributes:
        lock: Guards all other fields, and may also guard data of the queue's user. It is not held
            while a thread waits for the socket.
        connection: The socket; all messages are queued while it is None.
        pending: Queued pieces in the order of writing.
        pending_bytes: Total size of the queued pieces.
        is_writing: Whether a thread is writing the queue, so that no other thread may write.
        is_shut_down: Whether the connection was shut down in both directions or half-closed, so
            that the queue writes nothing more.
        find_stale: Callback that is called with the lock held before the first byte of a queued
            message is written. It receives the message's key (`PendingPiece.owner`). If the message
            must not be sent, it returns the value for `on_withdrawn`, or else None.
        on_withdrawn: Callback that is called without the lock for each stale message, with the
            value from `find_stale`.
    """

    def __init__(self, lock: threading.Lock, write_timeout_s: float | None = None) -> None:
        """Create a queue without a connection.

        Args:
            lock: Lock that guards the queue.
            write_timeout_s: The connection is shut down if no byte could be written for this time
                in seconds; None for no timeout.
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
        """Write as much of a message as possible and queue the remainder.

        If the queue is shut down, the message is dropped. If the write fails, the queue is shut
        down. The caller holds the lock.
        """
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
        """Queue the part of a message after the first `sent` bytes; the caller holds the lock."""
        is_first = sent == 0
        for piece in pieces:
            if sent >= len(piece):
                sent -= len(piece)
                continue
            unsent = memoryview(piece)[sent:] if sent else piece
            self.pending.append(PendingPiece(owner, unsent, is_first))
            self.pending_bytes += len(unsent)
            is_first = False
            sent = 0

    def _start_writer(self) -> None:
        """Start a thread that writes the queue; the caller holds the lock."""
        try:
            threading.Thread(target=self._write_pending, name="write-queue", daemon=True).start()
        except RuntimeError:  # no thread is available, so the queue would never be written
            self.shut_down()
            return
        self.is_writing = True

    def attach(self, connection: socket.socket) -> bool:
        """Set the connection after a successful connect, and write the queued messages.

        The method returns when the queue is empty or shut down. The caller must not hold the lock.

        Returns:
            False if the queue was shut down before; nothing is written then.
        """
        with self.lock:
            if self.is_shut_down:
                return False
            self.connection = connection
            self.is_writing = True
        self._write_pending()
        return True

    def withdraw(self, owner: Hashable) -> bool:
        """Remove a queued message if no byte of it is written; the caller holds the lock.

        Returns:
            Whether the message was removed.
        """
        if not self.is_unwritten(owner):
            return False
        self.pending_bytes -= sum(
            len(entry.piece) for entry in self.pending if entry.owner == owner
        )
        self.pending = deque(entry for entry in self.pending if entry.owner != owner)
        return True

    def is_unwritten(self, owner: Hashable) -> bool:
        """Return whether a message is queued and no byte of it is written.

        The caller holds the lock.
        """
        return any(entry.is_first and entry.owner == owner for entry in self.pending)

    def shut_down(self, how: int = socket.SHUT_RDWR) -> None:
        """Shut down the connection and write nothing more; the caller holds the lock.

        A thread that waits until the socket is writable wakes up, and so does a thread that is
        blocked in a read unless `how` shuts down only the writing side.
        """
        self.is_shut_down = True
        if self.connection is not None:
            with contextlib.suppress(OSError):  # closed or reset by the peer
                self.connection.shutdown(how)

    def _write_pending(self) -> None:
        """Write the queue until it is empty or shut down, in the writing thread.

        The caller must not hold the lock.
        """
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
        """Remove stale messages from the head of the queue; the caller holds the lock.

        Returns:
            The values for `on_withdrawn`, one for each removed message.
        """
        withdrawn = []
        while self.pending and not self.is_shut_down and self.pending[0].is_first:
            message = self.find_stale(self.pending[0].owner)
            if message is None:
                break
            self.withdraw(self.pending[0].owner)
            withdrawn.append(message)
        return withdrawn

    def _write_some(self) -> bool:
        """Write as much of the first piece as possible without blocking; the caller holds the lock.

        Returns:
            False if the socket is not writable. True after an error, which shuts down the queue.
        """
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
        with contextlib.suppress(OSError, ValueError):  # the socket was closed meanwhile
            poll = select.poll()
            poll.register(self.connection, select.POLLOUT)
            poll.poll(POLL_INTERVAL_MS)
