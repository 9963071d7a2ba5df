"""One non-blocking connection to the server of the event stream."""

import contextlib
import errno
import os
import select
import socket

from ..policy.stream_hedging import StreamProgress
from . import sse

RECEIVE_BYTES = 65_536  # buffer size of one read


class StreamConnection:
    """Connection that sends the request of the event stream and decodes the response.

    Attributes:
        progress: What the connection has delivered so far.
        is_connected: Whether the request was sent.
    """

    def __init__(self, address: tuple[str, int], last_event_number: int, now: float) -> None:
        """Begin to open a connection.

        Args:
            address: Host and port of the server.
            last_event_number: Number of the last known event; the server sends the later ones.
            now: The current time in seconds.

        Raises:
            OSError: If the connection is refused at once, or no descriptor is available.
        """
        self.progress = StreamProgress.opened(now)
        self.is_connected = False
        self._request = sse.stream_request(f"{address[0]}:{address[1]}", last_event_number)
        self._decoder = sse.SseDecoder()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            self._socket.setblocking(False)
            error = self._socket.connect_ex(address)
            if error not in (0, errno.EINPROGRESS):
                raise OSError(error, os.strerror(error))
        except BaseException:
            self._socket.close()
            raise

    def fileno(self) -> int:
        """Return the descriptor, to wait for its events."""
        return self._socket.fileno()

    def awaited_events(self) -> int:
        """Return the events of `select.poll` after which `handle_ready` must be called."""
        return select.POLLIN if self.is_connected else select.POLLOUT

    def handle_ready(self, now: float) -> list[sse.ServerSentEvent]:
        """Go on after an awaited event: send the request, or decode received bytes.

        Args:
            now: The current time in seconds.

        Returns:
            The events that are complete.

        Raises:
            OSError: If the connection has failed.
            EOFError: If the server has closed the connection or sent the last chunk.
            SseError: If the bytes violate the protocol.
        """
        if not self.is_connected:
            self._send_request()
            return []
        piece = self._socket.recv(RECEIVE_BYTES)
        if not piece:
            raise EOFError("closed")
        events = self._decoder.feed(piece)
        self.progress.record_bytes(now, self._decoder.line_count)
        return events

    @property
    def is_finished(self) -> bool:
        """Whether the last chunk of the response was received."""
        return self._decoder.is_finished

    def _send_request(self) -> None:
        error = self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            raise OSError(error, os.strerror(error))
        self._socket.sendall(self._request)
        self.is_connected = True

    def shut_down(self) -> None:
        """Shut down the connection in both directions; called by any thread."""
        with contextlib.suppress(OSError):  # not connected yet, or already closed
            self._socket.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()
