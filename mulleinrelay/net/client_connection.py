"""One connection of clients: the calls that have come on it, what is open, and how it ends.

A connection ends in one of two ways. One that owes nothing is half-closed: the other side is told,
and what it had on the way is read and left unused until it closes too, or for LINGER; closing at
once over bytes that are not read would reset the connection, and what was written last could go
with it. One whose client has gone, does not read or breaks the protocol is shut both ways. After
either, nothing that is read is taken.
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

WRITE_WAIT = 6.0  # s that a client may take to read on before its connection is ended
FIRST_CALL = (
    2.0  # s from connecting to the first whole call: who says nothing is owed an end within 3 s
)
REST_OF_CALL = 3.0  # s from the first bytes of a call to its last
# s without a call: clients who mean to come back close their connections themselves after 4 s
IDLE = 6.0
HALF_CALL = 1.0  # s that the end of a drain waits for the rest of a call: some write slowly
# s from a half-close to the end: what crosses it comes within 50 ms and a way there and back
LINGER = 0.15
CALLS_MOST = 64  # that are read ahead
# s from a look at all that has come in which a first attempt goes out without another look
AT_ONCE = 0.02
LOOK_AGAIN = 0.02  # s between two looks at what is still owed to one that is ended for what it sent
PEEK_MOST = 65_536  # bytes in which a cancellation is looked for that is not read yet
UNREAD_MOST = (
    256  # answers that wait to be read: none who reads leaves so many, and small ones cost most
)


class ClientConnection:
    def __init__(
        self, connection: socket.socket | None, address: str = "", entry: str = ""
    ) -> None:
        """`entry`: what the gate gave for it and gets back."""
        self.connection, self.address, self.admission_entry = connection, address, entry
        self.lock = threading.Lock()  # guards `open`, the outlet, and the reading of calls
        self.write_queue = WriteQueue(self.lock, WRITE_WAIT)
        self.write_queue.connection = connection
        self.open_requests: dict[int, Request | None] = {}  # None: not yet the module's
        self.decoder = thrift.FrameDecoder()
        self.pending_calls: deque[thrift.MethodCall] = (
            deque()
        )  # read and not begun; the first may be in the making
        self.has_called = False  # a whole call has come
        self.has_requested = False  # and one of them was a request
        self.bad_call_count = 0  # calls that can't be used since the last that can
        self.framing_error = ""  # why what has come can't be read any further
        self.last_used_at = time.monotonic()  # when it connected, or the last whole call or answer
        self.last_read_at = 0.0  # when all that had come was read last
        self.partial_call_since = 0.0  # when a call began of which the rest is to come
        self.half_closed_at = 0.0  # when

    def is_overdue(self, now: float) -> bool:
        """Whether nothing is to be expected any more of one to whom nothing is owed."""
        if not self.has_called:
            late = now > self.last_used_at + FIRST_CALL
        else:
            late = (
                now > self.partial_call_since + REST_OF_CALL
                if self.partial_call_since
                else now > self.last_used_at + IDLE
            )
        return late and not self.owes_answer()

    def is_mid_call(self, now: float) -> bool:
        """Whether it is in the middle of a call of which the rest may come yet."""
        return self.partial_call_since > 0.0 and now < self.partial_call_since + HALF_CALL

    # Reading; in the connection's own thread

    def read_calls(self) -> bool:
        """Reads what has come, and waits only where no call is there to be begun. False where the
        client has gone, or its connection has been half-closed and read out: what is not begun then
        never is. So none is begun for a client who left behind it, however many it had sent at
        once.
        """
        while len(self.pending_calls) < CALLS_MOST:
            if not self.pending_calls and (
                self.framing_error or not self.connection.recv(1, socket.MSG_PEEK)
            ):  # waits
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
                    self._take(self.decoder.decode(length))
                elif self.pending_calls:  # one look for its end; whoever floods is not read on
                    return True
        return not self._closed_behind()

    def _take(self, frames: Iterable[memoryview]) -> None:
        """Under the lock under which they were read: whoever would end an idle connection finds a
        call with the system or here, at every moment.
        """
        now = time.monotonic()
        if self.write_queue.is_shut_down:
            self.pending_calls.clear()
            return
        try:
            for frame in frames:
                self.has_called, self.last_used_at, self.partial_call_since = True, now, 0.0
                self._queue(thrift.read_call(frame), now)
        except thrift.ThriftError as wrong:  # what came whole before it has been taken
            self.framing_error, self.partial_call_since = str(wrong), 0.0
            return
        self.partial_call_since = (
            (self.partial_call_since or now) if len(self.decoder.buffer) else 0.0
        )

    def discard_input(self) -> None:
        """After bytes that can't be read: what was taken before them is answered, and then the
        connection is ended. What comes meanwhile is left unused.
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
            time.sleep(LOOK_AGAIN)
        if self.has_called:
            self.half_close()
            while self.connection.recv_into(
                self.decoder.writable_view()
            ):  # until it closes, or lingers too long
                time.sleep(LOOK_AGAIN)  # a flood takes no more of the core than that

    def _queue(self, call: thrift.MethodCall, now: float) -> None:
        """A cancellation goes before calls that wait, and takes the one that it is for along."""
        call.read_at = now
        if call.method != "forget" or (number := thrift.peek_cancelled_number(call)) is None:
            return self.pending_calls.append(call)
        if not any(
            held.method == "serve" and held.sequence_number == number for held in self.pending_calls
        ):
            return self.pending_calls.appendleft(call)
        self.pending_calls = deque(
            held
            for held in self.pending_calls
            if held.method != "serve" or held.sequence_number != number
        )

    # Answering; by any thread

    def send_reply(self, call: thrift.MethodCall, pieces: list[Piece]) -> None:
        """The answer to a call other than a request; with it, nothing is owed for that call any
        more.
        """
        with self.lock:
            self.drop_call(call)
            self.write_queue.write(None, pieces)
            self._bound()

    def mark_begun(self, call: thrift.MethodCall) -> None:
        with self.lock:
            self.drop_call(call)

    def drop_call(self, call: thrift.MethodCall) -> None:
        """Under the lock. The call does not wait any more: it has its place in the table, or its
        answer.
        """
        if self.pending_calls and self.pending_calls[0] is call:
            self.pending_calls.popleft()

    def send_answer(self, number: int, pieces: list[Piece]) -> None:
        """The one answer of a request; nothing where none is owed any more."""
        with self.lock:
            if self.open_requests.pop(number, None) is not None:
                self.write_queue.write(number, pieces)
                self.last_used_at = time.monotonic()
                self._bound()

    def _bound(self) -> None:
        """Under the lock. Guards against a memory full of small answers that nobody reads."""
        if len(self.write_queue.pending) > UNREAD_MOST:
            self.write_queue.shut_down()

    def owes_answer(self) -> bool:
        return (
            bool(self.open_requests or self.pending_calls or self.write_queue.pending_bytes)
            and not self.write_queue.is_shut_down
        )

    # Ending

    def shut_down(self) -> None:
        """At once, whatever is open."""
        with self.lock:
            self.write_queue.shut_down()

    def close_if_idle(self, lingers: bool = True) -> bool:
        """Unless something is owed, or has come and is not read yet: that may be a call. One that
        has never called has no answer to lose and is shut at once.
        """
        with self.lock:
            if (
                idle := not self.owes_answer()
                and not self.write_queue.is_shut_down
                and not self._has_unread_bytes()
            ):
                self.write_queue.shut_down(
                    socket.SHUT_WR if self.has_called and lingers else socket.SHUT_RDWR
                )
                self.half_closed_at = time.monotonic()
        return idle

    def half_close(self) -> None:
        """Whatever else it has sent; what it was answered may still reach it."""
        with self.lock:
            self.write_queue.shut_down(socket.SHUT_WR)
            self.half_closed_at = time.monotonic()

    def has_client_left(self, number: int, first: bool = False) -> bool:
        """Whether it has closed, or called this one off, though its thread may not have read so
        far. `first`: a call that is begun just now, behind a look at all that had come, unless
        something held it up.
        """
        with self.lock:
            if any(
                call.method == "forget" and thrift.peek_cancelled_number(call) == number
                for call in self.pending_calls
            ):
                return True
            if first and time.monotonic() < self.last_read_at + AT_ONCE:
                return False
            if not (come := self._peek()):
                return come is not None
            if self._closed_behind():
                return True
            held = bytes(self.decoder.buffer.unread()) + (self._peek(PEEK_MOST) or b"")
            return not self.framing_error and number in thrift.cancelled_numbers(held)

    def _has_unread_bytes(self) -> bool:
        return bool(self._peek())

    def _peek(self, most: int = 1) -> bytes | None:
        """What has come and is not read; nothing where that is its end, None where nothing has
        come.
        """
        try:
            return self.connection.recv(most, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return None
        except OSError:  # reset, or closed here
            return b""

    def _closed_behind(self) -> bool:
        """Whether its end waits behind bytes that are not read."""
        try:
            look = select.poll()
            look.register(self.connection, select.POLLRDHUP)
            return bool(look.poll(0))
        except (OSError, ValueError):  # closed here
            return True

    def finish_lingering(self, now: float) -> bool:
        """Ends one that was half-closed long ago; whether it has been ended by us at all."""
        if self.half_closed_at and now > self.half_closed_at + LINGER:
            self.shut_down()
        return self.write_queue.is_shut_down
