"""One connection of a client: the calls that have come on it, open requests, and how it ends.

A connection ends in one of two ways. One on which no answer is owed is half-closed (the writing
side is shut down), and what the client had under way is read and discarded until it closes too, or
until the lingering close is over: closing at once over unread bytes would reset the connection, and
what was written last could be lost with it. One whose client has gone, does not read or breaks the
protocol is shut down both ways. After either, nothing that is read counts as a call.
"""

import select
import socket
import threading
import time
from collections import deque
from collections.abc import Iterable

from ..policy.model import Request
from . import thrift
from .write_queue import Piece, WriteQueue

WRITE_TIMEOUT_S = 6.0  # in which a client must read on before its connection is ended
# From connecting to the first complete call: the platform ends silent connections after 3 s.
FIRST_CALL_TIMEOUT_S = 2.0
REST_OF_CALL_TIMEOUT_S = 3.0  # from the first bytes of a call to its last
# Without a call: clients that mean to come back close their connections themselves after 4 s.
IDLE_TIMEOUT_S = 6.0
DRAIN_PARTIAL_CALL_S = 1.0  # for which a drain waits for the rest of a call: some write slowly
# From a half-close to the end: what crosses it comes within 50 ms and a round trip.
LINGER_S = 0.15
MAX_PENDING_CALLS = 64  # that are read ahead
# After a read of all that had come, a first attempt needs no further look for so long.
RECENT_READ_S = 0.02
POLL_INTERVAL_S = 0.02  # between two looks while bytes are discarded
MAX_PEEK_BYTES = 65_536  # in which a cancellation is looked for that is not read yet
# Answers that wait to be read: no client that reads leaves so many, and small ones cost most.
MAX_UNREAD_ANSWERS = 256


class ClientConnection:
    """One connection of a client, read by a thread of its own, written to by any.

    Attributes:
        connection: The socket.
        address: The client's IP address.
        admission_entry: What admission control gave for the connection, and gets back at its end.
        lock: Guards `open_requests`, `write_queue`, and the reading of calls.
        write_queue: Answers that wait to be written.
        open_requests: By sequence number; None until the coordinator has accepted the request.
        decoder: Bytes that have come and are not decoded yet.
        pending_calls: Calls that are read and not handled; the first may be in the making.
        has_called: A complete call has come.
        has_requested: One of the calls was a request.
        bad_call_count: Unusable calls since the last usable one.
        framing_error: Why what has come cannot be read any further; empty: it can.
        last_used_at: When it connected, or the last complete call or answer; monotonic seconds.
        last_read_at: When all that had come was last read; monotonic seconds.
        partial_call_since: When a call began whose rest is to come; 0: there is none.
        half_closed_at: When it was half-closed; 0: it was not.
    """

    def __init__(
        self, connection: socket.socket, address: str = "", admission_entry: str = ""
    ) -> None:
        self.connection = connection
        self.address = address
        self.admission_entry = admission_entry
        self.lock = threading.Lock()
        self.write_queue: WriteQueue[None] = WriteQueue(self.lock, WRITE_TIMEOUT_S)
        self.write_queue.connection = connection
        self.open_requests: dict[int, Request | None] = {}
        self.decoder = thrift.FrameDecoder()
        self.pending_calls: deque[thrift.MethodCall] = deque()
        self.has_called = False
        self.has_requested = False
        self.bad_call_count = 0
        self.framing_error = ""
        self.last_used_at = time.monotonic()
        self.last_read_at = 0.0
        self.partial_call_since = 0.0
        self.half_closed_at = 0.0

    def is_overdue(self, now: float) -> bool:
        """Returns whether it owes no answer and the client has let a timeout pass."""
        if not self.has_called:
            is_late = now > self.last_used_at + FIRST_CALL_TIMEOUT_S
        elif self.partial_call_since:
            is_late = now > self.partial_call_since + REST_OF_CALL_TIMEOUT_S
        else:
            is_late = now > self.last_used_at + IDLE_TIMEOUT_S
        return is_late and not self.owes_answer()

    def is_mid_call(self, now: float) -> bool:
        """Returns whether a part of a call has come whose rest is worth waiting for in a drain."""
        return (
            self.partial_call_since > 0.0 and now < self.partial_call_since + DRAIN_PARTIAL_CALL_S
        )

    # Reading, in the connection's own thread.

    def read_calls(self) -> bool:
        """Reads what has come into `pending_calls`; waits only where there is no call to handle.

        Returns:
            False where the client has gone, or its connection was half-closed and read to its end:
            calls that are not begun then never are. So none is begun for a client that left behind
            it, however many it had sent at once.
        """
        while len(self.pending_calls) < MAX_PENDING_CALLS:
            if not self.pending_calls and (self.framing_error or not self._wait_for_bytes()):
                return False
            with self.lock:
                try:
                    length = self.connection.recv_into(
                        self.decoder.writable_view(), 0, socket.MSG_DONTWAIT
                    )
                except BlockingIOError:
                    self.last_read_at = time.monotonic()
                    if self.pending_calls:
                        return True
                    continue
                if not length:
                    return False
                if not self.framing_error:
                    self._queue_frames(self.decoder.decode(length))
                elif self.pending_calls:  # one look for its end; whoever floods is not read on
                    return True
        return not self._is_closed_by_peer()

    def _wait_for_bytes(self) -> bool:
        """Blocks until bytes have come; False at the end of the stream."""
        return bool(self.connection.recv(1, socket.MSG_PEEK))

    def _queue_frames(self, frames: Iterable[memoryview]) -> None:
        """Queues the calls in frames. Needs the lock, under which they were read.

        So whoever would end an idle connection finds a call in the system's buffer or in the queue
        at every moment.
        """
        now = time.monotonic()
        if self.write_queue.is_shut_down:
            self.pending_calls.clear()
            return
        try:
            for frame in frames:
                self.has_called = True
                self.last_used_at = now
                self.partial_call_since = 0.0
                self._queue_call(thrift.read_call(frame), now)
        except thrift.ThriftError as error:  # complete calls before it are queued
            self.framing_error = str(error)
            self.partial_call_since = 0.0
            return
        self.partial_call_since = (
            (self.partial_call_since or now) if len(self.decoder.buffer) else 0.0
        )

    def _queue_call(self, call: thrift.MethodCall, now: float) -> None:
        """Queues a call; a cancellation overtakes others and removes the call that it cancels."""
        call.read_at = now
        number = thrift.peek_cancelled_number(call) if call.method == "forget" else None
        if number is None:
            self.pending_calls.append(call)
        elif any(
            pending.method == "serve" and pending.sequence_number == number
            for pending in self.pending_calls
        ):
            self.pending_calls = deque(
                pending
                for pending in self.pending_calls
                if pending.method != "serve" or pending.sequence_number != number
            )
        else:
            self.pending_calls.appendleft(call)

    def discard_input(self) -> None:
        """Ends the connection after bytes that cannot be read, once all before them is answered.

        What comes meanwhile is discarded.
        """
        while self.owes_answer():
            with self.lock:
                try:
                    if not self.connection.recv_into(
                        self.decoder.writable_view(), 0, socket.MSG_DONTWAIT
                    ):
                        return
                except BlockingIOError:
                    pass
            time.sleep(POLL_INTERVAL_S)
        if self.has_called:
            self.half_close()
            # Until the client closes, or the lingering close is over.
            while self.connection.recv_into(self.decoder.writable_view()):
                time.sleep(POLL_INTERVAL_S)  # a flood takes no more of the core than that

    # Answering, by any thread.

    def send_reply(self, call: thrift.MethodCall, pieces: list[Piece]) -> None:
        """Sends the answer to a call other than a request, which is no longer pending then."""
        with self.lock:
            self.drop_call(call)
            self.write_queue.write(None, pieces)
            self._enforce_unread_limit()

    def mark_begun(self, call: thrift.MethodCall) -> None:
        """Removes a call from the pending ones."""
        with self.lock:
            self.drop_call(call)

    def drop_call(self, call: thrift.MethodCall) -> None:
        """Removes a call that is an open request now, or is answered. Needs the lock."""
        if self.pending_calls and self.pending_calls[0] is call:
            self.pending_calls.popleft()

    def send_answer(self, sequence_number: int, pieces: list[Piece]) -> None:
        """Sends the one answer of a request; does nothing where none is owed any more."""
        with self.lock:
            if self.open_requests.pop(sequence_number, None) is not None:
                self.write_queue.write(sequence_number, pieces)
                self.last_used_at = time.monotonic()
                self._enforce_unread_limit()

    def _enforce_unread_limit(self) -> None:
        """Needs the lock. Without it, small answers that nobody reads would fill the memory."""
        if len(self.write_queue.pending) > MAX_UNREAD_ANSWERS:
            self.write_queue.shut_down()

    def owes_answer(self) -> bool:
        """Returns whether calls are pending or open, or answers not written yet."""
        has_work = self.open_requests or self.pending_calls or self.write_queue.pending_bytes
        return bool(has_work) and not self.write_queue.is_shut_down

    # Ending, by any thread.

    def shut_down(self) -> None:
        """Ends the connection at once, whatever is open."""
        with self.lock:
            self.write_queue.shut_down()

    def close_if_idle(self, lingers: bool = True) -> bool:
        """Ends the connection unless an answer is owed or bytes are unread: they may be a call.

        Args:
            lingers: Half-close it first, where it has brought a call. One that has never called
                has no answer to lose and is shut down at once.

        Returns:
            Whether it was ended.
        """
        with self.lock:
            is_idle = (
                not self.owes_answer()
                and not self.write_queue.is_shut_down
                and not self._has_unread_bytes()
            )
            if is_idle:
                how = socket.SHUT_WR if self.has_called and lingers else socket.SHUT_RDWR
                self.write_queue.shut_down(how)
                self.half_closed_at = time.monotonic()
        return is_idle

    def half_close(self) -> None:
        """Ends the connection whatever else has come; answers may still reach the client."""
        with self.lock:
            self.write_queue.shut_down(socket.SHUT_WR)
            self.half_closed_at = time.monotonic()

    def finish_lingering(self, now: float) -> bool:
        """Shuts down a connection whose lingering close is over.

        Returns:
            Whether the connection has been ended by this side at all.
        """
        if self.half_closed_at and now > self.half_closed_at + LINGER_S:
            self.shut_down()
        return self.write_queue.is_shut_down

    def has_client_left(self, sequence_number: int, is_first_attempt: bool = False) -> bool:
        """Returns whether the client has closed the connection or cancelled this request.

        That holds also where the connection's thread has not read so far.

        Args:
            sequence_number: Of the request.
            is_first_attempt: The request is begun just now, after a read of all that had come,
                unless something has delayed it.
        """
        with self.lock:
            if any(
                call.method == "forget" and thrift.peek_cancelled_number(call) == sequence_number
                for call in self.pending_calls
            ):
                return True
            if is_first_attempt and time.monotonic() < self.last_read_at + RECENT_READ_S:
                return False
            next_byte = self._peek()
            if not next_byte:
                return next_byte is not None
            if self._is_closed_by_peer():
                return True
            received = bytes(self.decoder.buffer.unread()) + (self._peek(MAX_PEEK_BYTES) or b"")
            return not self.framing_error and sequence_number in thrift.cancelled_numbers(received)

    def _has_unread_bytes(self) -> bool:
        return bool(self._peek())

    def _peek(self, max_bytes: int = 1) -> bytes | None:
        """Returns bytes that have come and are not read, without consuming them.

        Empty at the end of the stream; None where nothing has come.
        """
        try:
            return self.connection.recv(max_bytes, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return None
        except OSError:  # reset, or closed by this side
            return b""

    def _is_closed_by_peer(self) -> bool:
        """Returns whether the end of the stream has come, also behind bytes that are not read."""
        try:
            poll = select.poll()
            poll.register(self.connection, select.POLLRDHUP)
            return bool(poll.poll(0))
        except (OSError, ValueError):  # closed by this side
            return True
