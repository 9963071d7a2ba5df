"""One connection of a client: its received calls, its open requests, and how it is closed.

The director closes a connection in one of two ways:

- Half-close: the normal way if a call was received and no answer is outstanding. The writing side
  is shut down, and the bytes that the client still sends are read and discarded. This lingering
  close ends when the client closes its side too, or after `LINGER_S`. Closing a socket that has
  unread bytes would reset the connection, and the client could lose the last answer.
- Full close: the connection is shut down in both directions at once if its client has disconnected
  or does not read its answers, if no call was received on it, if a new client needs its slot, or if
  the director stops.

After either close, received bytes are not handled as calls.
"""

import select
import socket
import sys
import threading
import time
from collections import deque

from ..policy.model import Request
from . import thrift
from .call_scheduler import Turn
from .request_memory import MemoryAccount, RequestMemory
from .write_queue import Piece, WriteQueue

# A client is disconnected if no byte of its queued answers can be written for this long.
WRITE_TIMEOUT_S = 6.0
# From connecting to the first complete call. The platform closes silent connections after 3 s.
FIRST_CALL_TIMEOUT_S = 2.0
REST_OF_CALL_TIMEOUT_S = 3.0  # from the first bytes of a call to its last
# Since the last call or answer. Clients that reuse their connections close idle ones after 4 s
# themselves.
IDLE_TIMEOUT_S = 6.0
DRAIN_PARTIAL_CALL_S = 1.0  # a drain waits this long for the rest of a call from a slow client
# From the half-close to the full close. Calls that the client sends before it notices the
# half-close arrive within 50 ms plus one round trip.
LINGER_S = 0.15
MAX_READS = 16  # from the socket in one turn of the connection, of one block each
MAX_PENDING_CALLS = 32  # calls that are read ahead on one connection
CALL_OVERHEAD_BYTES = 2048  # memory of the objects for one call, beside its frame
# Before the first attempt of a request is sent, the socket is not checked for a disconnect or a
# cancellation if it was read until it was empty within this time.
RECENT_READ_S = 0.02
POLL_INTERVAL_S = 0.02  # between two reads while input is discarded
# Maximum part of the input in the kernel's receive buffer that is searched for a cancellation.
MAX_PEEK_BYTES = 65_536
# Queued pieces of answers on one connection. A client that reads its answers never has this many,
# and each piece, however small, has a high overhead in memory.
MAX_UNREAD_ANSWERS = 256
PIECE_OVERHEAD_BYTES = 512  # memory of the objects for a queued piece, beside its bytes


class ClientConnection:
    """One connection of a client. One thread reads it; any thread may write to it.

    Times are monotonic seconds.

    Attributes:
        connection: The socket.
        address: The client's IP address.
        admission_entry: Token that admission control returned for this connection. It is released
            when the connection ends; empty if there is no admission control.
        lock: Guards `open_requests` and `write_queue`, and is held from the read of received bytes
            until their calls are queued.
        write_queue: Answers to be written.
        open_requests: Requests that were started and neither answered nor cancelled, by sequence
            number; the value is None until the coordinator has accepted the request.
        open_request_bytes: Memory that is charged for each open request, by sequence number.
        memory_account: Account for the memory of the partial call, the pending calls and the open
            requests; guarded by the lock.
        partial_call_bytes: Memory that is charged for a large partial call.
        decoder: Decoder with the received bytes that are not decoded yet.
        has_undecoded_frames: Whether the decoder may have complete frames, because no more calls
            could be read ahead.
        pending_calls: Calls that were read but not handled; the first may be in progress. A call
            that has become an open request is removed.
        has_called: Whether a complete call was received, valid or not.
        has_sent_request: Whether there has been an open request.
        bad_call_count: Number of invalid calls since the last valid request.
        framing_error: Why the received bytes cannot be decoded any further; empty if they can.
        last_used_at: Time of the last complete call or of the last answer from `send_answer`,
            whichever is later; the time of the connect before the first call.
        last_read_at: Time at which the socket was last read until it was empty; 0 before that.
        input_since: Time since which the unread bytes may have been waiting.
        turn: The connection's place in the order in which calls are handled.
        partial_call_since: Arrival time of the first bytes of an incomplete call; 0 if there is
            none.
        half_closed_at: Time of the half-close, or of the full close by `close_if_idle`; 0 if there
            was neither.
    """

    def __init__(
        self,
        connection: socket.socket,
        address: str = "",
        admission_entry: str = "",
        request_memory: RequestMemory | None = None,
    ) -> None:
        """Create a connection; without `request_memory`, its requests may take any memory."""
        self.connection = connection
        self.address = address
        self.admission_entry = admission_entry
        self.lock = threading.Lock()
        self.write_queue: WriteQueue[None] = WriteQueue(self.lock, WRITE_TIMEOUT_S)
        self.write_queue.connection = connection
        self.open_requests: dict[int, Request | None] = {}
        self.open_request_bytes: dict[int, int] = {}
        self.memory_account = MemoryAccount(request_memory or RequestMemory(sys.maxsize))
        self.partial_call_bytes = 0
        self.decoder = thrift.FrameDecoder()
        self.has_undecoded_frames = False
        self.pending_calls: deque[thrift.MethodCall] = deque()
        self.has_called = False
        self.has_sent_request = False
        self.bad_call_count = 0
        self.framing_error = ""
        self.last_used_at = time.monotonic()
        self.last_read_at = 0.0
        self.input_since = self.last_used_at
        self.turn = Turn()
        self.partial_call_since = 0.0
        self.half_closed_at = 0.0

    def is_overdue(self, now: float) -> bool:
        """Return whether the client has exceeded a timeout and no answer is outstanding."""
        if not self.has_called:
            is_late = now > self.last_used_at + FIRST_CALL_TIMEOUT_S
        elif self.partial_call_since:
            is_late = now > self.partial_call_since + REST_OF_CALL_TIMEOUT_S
        else:
            is_late = now > self.last_used_at + IDLE_TIMEOUT_S
        return is_late and not self.owes_answer()

    def is_mid_call(self, now: float) -> bool:
        """Return whether a drain should wait for the rest of a partially received call."""
        return (
            self.partial_call_since > 0.0 and now < self.partial_call_since + DRAIN_PARTIAL_CALL_S
        )

    # Reading, in the connection's own thread

    def wait_for_input(self) -> bool:
        """Block until a call is pending or bytes are received.

        Returns:
            False if no call can follow: the client has closed its side, this side has closed the
            connection, or a framing error follows the calls that were handled.

        Raises:
            OSError: If the client has reset the connection.
        """
        if self.write_queue.is_shut_down:
            return False
        if self.has_received_calls():
            self.input_since = self.last_read_at or self.input_since
            return True
        if self.framing_error or not self.connection.recv(1, socket.MSG_PEEK):
            return False
        self.input_since = time.monotonic()
        return True

    def has_received_calls(self) -> bool:
        """Return whether complete calls were received and not handled."""
        return bool(self.pending_calls or self.has_undecoded_frames)

    def read_calls(self) -> bool:
        """Read received bytes into `pending_calls` without blocking.

        The method returns when the socket is empty, when no more calls may be read ahead, or after
        `MAX_READS`, so that a client that floods the connection does not delay the others.

        Returns:
            False if the client has closed its side, or if this side has shut down the connection in
            both directions. The caller must then handle no pending call, so that no call is started
            for a client that has sent many calls at once and disconnected.

        Raises:
            OSError: If the client has reset the connection.
        """
        for _ in range(MAX_READS):
            if not self._may_read_ahead():
                break
            with self.lock:
                if self.has_undecoded_frames:
                    self._queue_frames(0)
                    continue
                try:
                    length = self._receive()
                except BlockingIOError:
                    self.last_read_at = time.monotonic()
                    return True
                if not length:
                    return False
                if self.framing_error:
                    break
                self._queue_frames(length)
        return not self._is_closed_by_peer()

    def _may_read_ahead(self) -> bool:
        """Return whether another call may be read; always True if no call is pending."""
        count = len(self.pending_calls)
        return not count or (count < MAX_PENDING_CALLS and self.memory_account.may_hold_more())

    def _receive(self) -> int:
        """Receive bytes into the decoder without blocking, and return their number.

        A large partial call gets its memory first. If its connection may not hold that much, the
        call is truncated, and is rejected when it is handled.
        """
        if self.decoder.needs_large_block() and not self.partial_call_bytes:
            size = self.decoder.expected_length + CALL_OVERHEAD_BYTES
            if self.memory_account.try_charge(size):
                self.partial_call_bytes = size
            else:
                self.decoder.truncate_frame()
        return self.connection.recv_into(self.decoder.writable_view(), 0, socket.MSG_DONTWAIT)

    def _queue_frames(self, length: int) -> None:
        """Queue the calls in received bytes, as many as may be read ahead.

        If the connection was closed, all pending calls are discarded. The caller has held the lock
        since it received the bytes. A thread that closes idle connections therefore always finds a
        received call: in the kernel's receive buffer, in the decoder or in the queue.

        Args:
            length: Number of bytes that were received.
        """
        now = time.monotonic()
        self.has_undecoded_frames = False
        if self.write_queue.is_shut_down:
            self._clear_pending_calls()
            return
        try:
            for frame in self.decoder.decode(length):
                self.has_called = True
                self.last_used_at = now
                self.partial_call_since = 0.0
                self._queue_call(thrift.read_call(frame))
                if not self._may_read_ahead():
                    self.has_undecoded_frames = True
                    return
        except thrift.ThriftError as error:  # the complete calls before the error are queued
            self.framing_error = str(error)
            self.partial_call_since = 0.0
            return
        self.decoder.buffer.release_large_block()
        self.partial_call_since = (
            (self.partial_call_since or now) if self.decoder.is_within_frame() else 0.0
        )

    def _queue_call(self, call: thrift.MethodCall) -> None:
        """Queue a call, or apply a cancellation.

        A cancellation of a pending request removes that request. Any other cancellation is queued
        before all pending calls. A cancellation whose sequence number cannot be read is queued last
        like any call, and is an invalid call when it is handled.
        """
        call.received_at = self.input_since
        call.is_truncated = self.decoder.is_truncated
        number = thrift.peek_cancelled_number(call) if call.method == "forget" else None
        if number is not None and self._withdraw_pending_request(number):
            return
        self._charge_call(call)
        if number is None:
            self.pending_calls.append(call)
        else:
            self.pending_calls.appendleft(call)

    def _withdraw_pending_request(self, number: int) -> bool:
        """Remove the pending requests with this sequence number; return whether there were any."""
        withdrawn = [
            call
            for call in self.pending_calls
            if call.method == "serve" and call.sequence_number == number
        ]
        for call in withdrawn:
            self.pending_calls.remove(call)
            self.memory_account.release(call.charged_bytes)
        return bool(withdrawn)

    def _charge_call(self, call: thrift.MethodCall) -> None:
        """Charge a complete call to the memory account, in place of the partial call."""
        self.memory_account.release(self.partial_call_bytes)
        self.partial_call_bytes = 0
        call.charged_bytes = len(call.arguments.frame) + CALL_OVERHEAD_BYTES
        self.memory_account.charge(call.charged_bytes)

    def _clear_pending_calls(self) -> None:
        """Discard all pending calls; the caller holds the lock."""
        for call in self.pending_calls:
            self.memory_account.release(call.charged_bytes)
        self.pending_calls.clear()

    def discard_input(self) -> None:
        """Half-close the connection, once all earlier calls are answered, and discard its input.

        Received bytes are discarded until the client closes the connection or the lingering close
        times out. There is no half-close if no call was received, or if the client closes the
        connection before all answers are written.
        """
        while self.owes_answer():
            if not self._discard_received():
                return
            time.sleep(POLL_INTERVAL_S)
        if not self.has_called:
            return
        if not self.write_queue.is_shut_down:
            self.half_close()
        # `finish_lingering`, called by another thread, ends the read after `LINGER_S`.
        while self.connection.recv(1, socket.MSG_PEEK) and self._discard_received():
            time.sleep(POLL_INTERVAL_S)  # limits the CPU time that a flood takes

    def _discard_received(self) -> bool:
        """Discard received bytes without blocking; return False at the end of the stream."""
        discarded = self.decoder.writable_view()
        for _ in range(MAX_READS):
            with self.lock:
                try:
                    if not self.connection.recv_into(discarded, 0, socket.MSG_DONTWAIT):
                        return False
                except BlockingIOError:
                    break
        return True

    # Answering, in any thread

    def send_reply(self, call: thrift.MethodCall, pieces: list[Piece]) -> None:
        """Answer a call that has not become an open request, and remove the call from the queue."""
        with self.lock:
            self.remove_pending_call(call)
            self.write_queue.write(None, pieces)
            self._enforce_unread_limit()

    def finish_call(self, call: thrift.MethodCall) -> None:
        """Remove a handled call from the queue, unless it was removed earlier."""
        with self.lock:
            self.remove_pending_call(call)

    def remove_pending_call(self, call: thrift.MethodCall) -> None:
        """Remove a call from the head of the queue, if it is there; the caller holds the lock.

        The call has become an open request, was answered, or was a cancellation.
        """
        if self.pending_calls and self.pending_calls[0] is call:
            self.pending_calls.popleft()
            self.memory_account.release(call.charged_bytes)

    # Open requests, in any thread

    def open_request(self, call: thrift.MethodCall) -> bool:
        """Register a pending call as an open request.

        Returns:
            False if the connection was closed meanwhile. The client then repeats the request on a
            new connection.
        """
        with self.lock:
            if self.write_queue.is_shut_down:
                return False
            self.open_requests[call.sequence_number] = None
            self.open_request_bytes[call.sequence_number] = call.charged_bytes
            call.charged_bytes = 0
            self.has_sent_request = True
            self.remove_pending_call(call)
        return True

    def close_request(self, sequence_number: int) -> Request | None:
        """Remove an open request and release its memory; the caller holds the lock.

        Returns:
            The request; None if it is not open, or not accepted by the coordinator yet.
        """
        self.memory_account.release(self.open_request_bytes.pop(sequence_number, 0))
        return self.open_requests.pop(sequence_number, None)

    def close_all_requests(self) -> list[Request]:
        """Remove all open requests and pending calls, because the connection ends.

        Returns:
            The requests that the coordinator has accepted.
        """
        with self.lock:
            abandoned = [request for request in self.open_requests.values() if request is not None]
            self.open_requests = {}
            self.open_request_bytes = {}
            self.pending_calls.clear()
            self.memory_account.release_all()
        return abandoned

    def send_answer(self, sequence_number: int, pieces: list[Piece]) -> None:
        """Send the only answer to a request; do nothing if the request is no longer open."""
        with self.lock:
            if self.close_request(sequence_number) is not None:
                self.write_queue.write(sequence_number, pieces)
                self.last_used_at = time.monotonic()
                self._enforce_unread_limit()

    def _enforce_unread_limit(self) -> None:
        """Shut down the connection if too many pieces are queued; the caller holds the lock.

        Without this limit, small answers that the client does not read would fill the memory.
        """
        if len(self.write_queue.pending) > MAX_UNREAD_ANSWERS:
            self.write_queue.shut_down()

    def unread_bytes(self) -> int:
        """Return the memory of the queued answers; 0 if the connection was closed.

        The closed connection's thread releases that memory soon.
        """
        if self.write_queue.is_shut_down:
            return 0
        queue = self.write_queue
        return queue.pending_bytes + PIECE_OVERHEAD_BYTES * len(queue.pending)

    def owes_answer(self) -> bool:
        """Return whether calls are pending, requests are open or answers are unwritten.

        The result is False after the connection was shut down or half-closed.
        """
        has_work = self.open_requests or self.pending_calls or self.write_queue.pending_bytes
        return bool(has_work) and not self.write_queue.is_shut_down

    # Closing, in any thread

    def shut_down(self) -> None:
        """Close the connection at once, even with open requests."""
        with self.lock:
            self.write_queue.shut_down()

    def close_if_idle(self, lingers: bool = True) -> bool:
        """Close the connection if it is idle: open, with no outstanding answer and no unread bytes.

        Unread bytes may be a call. A half-closed connection is no longer open.

        Args:
            lingers: Whether to half-close the connection and leave the full close to
                `finish_lingering`. A connection on which no call was received has no answer to lose
                and is always shut down at once.

        Returns:
            Whether this call has closed the connection.
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
        """Half-close the connection, even if bytes are unread.

        Written answers can still reach the client; queued ones are no longer written.
        """
        with self.lock:
            self.write_queue.shut_down(socket.SHUT_WR)
            self.half_closed_at = time.monotonic()

    def finish_lingering(self, now: float) -> bool:
        """Shut down the connection if its lingering close has timed out.

        Returns:
            Whether this side has closed the connection, completely or partly.
        """
        if self.half_closed_at and now > self.half_closed_at + LINGER_S:
            self.shut_down()
        return self.write_queue.is_shut_down

    def has_client_left(self, sequence_number: int, is_first_attempt: bool = False) -> bool:
        """Return whether the client has closed the connection or cancelled this request.

        Bytes that the connection's thread has not read yet are searched for a cancellation too.

        Args:
            sequence_number: Sequence number of the request.
            is_first_attempt: Whether the request's first attempt is about to be sent. The
                connection's thread normally sends it right after it has read the socket until it
                was empty, so the socket is not checked again if that read is recent.
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
            received = self.decoder.from_next_frame(self._peek(MAX_PEEK_BYTES) or b"")
            return not self.framing_error and thrift.contains_cancellation(
                received, sequence_number
            )

    def _has_unread_bytes(self) -> bool:
        return bool(self._peek())

    def _peek(self, max_bytes: int = 1) -> bytes | None:
        """Return unread bytes without consuming them.

        The result is empty at the end of the stream, and None if nothing was received.
        """
        try:
            return self.connection.recv(max_bytes, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return None
        except OSError:  # reset by the client or closed by this side
            return b""

    def _is_closed_by_peer(self) -> bool:
        """Return whether the client has closed its side, even if some of its bytes are unread.

        The result is also True if this side has closed the socket.
        """
        try:
            poll = select.poll()
            poll.register(self.connection, select.POLLRDHUP)
            return bool(poll.poll(0))
        except (OSError, ValueError):  # closed by this side
            return True
