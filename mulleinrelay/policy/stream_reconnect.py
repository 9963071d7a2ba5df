"""Reconnecting the event stream: how long to wait, and when to look up its address again.

The event stream brings the endpoint list. A stream that ends usually ends for all directors at
once, so that each one waits a random time before it reconnects. While connections fail, the wait
grows exponentially up to `MAX_BACKOFF_S`.

An address that refuses connections for a while may be out of date: the configuration may name
another one, and the signal to reload it may have been lost. The configuration is then read again,
at a limited rate.

Pure: no I/O, no clock; the source of randomness is passed in. Times are *seconds* of any one clock.
Not thread-safe.
"""

from random import Random

# Backoff after the first connection that brought no events, and the longest one.
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
# A backoff is changed at random by up to this fraction of it.
BACKOFF_JITTER = 0.25
# After a stream that brought events the directors reconnect spread over so long.
RECONNECT_JITTER_S = 0.1
# Refusals must have lasted so long before the address is looked up in the configuration.
REFUSED_BEFORE_LOOKUP_S = 1.5
# Time between two such look-ups; each costs a read of one small file.
LOOKUP_INTERVAL_S = 2.0


class ReconnectBackoff:
    """The waits of one director before it connects its event stream again."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._backoff_s = 0.0
        self._refused_since: float | None = None
        self._next_lookup_at = 0.0

    def record_end(self, now: float, has_brought_events: bool, is_refused: bool) -> float:
        """Records that a connection has ended, or could not be opened.

        Args:
            now: The current time in seconds.
            has_brought_events: At least one event came on the connection.
            is_refused: The address refused the connection.

        Returns:
            The seconds to wait before the next connection.
        """
        if not is_refused:
            self._refused_since = None
        elif self._refused_since is None:
            self._refused_since = now
        if has_brought_events:
            self._backoff_s = 0.0
            return RECONNECT_JITTER_S * self._random.random()
        self._backoff_s = min(MAX_BACKOFF_S, max(INITIAL_BACKOFF_S, 2.0 * self._backoff_s))
        jitter = 1.0 - BACKOFF_JITTER + 2.0 * BACKOFF_JITTER * self._random.random()
        return self._backoff_s * jitter

    def reset(self) -> None:
        """Begins anew, as the stream has moved to another address."""
        self._backoff_s = 0.0
        self._refused_since = None

    def begin_lookup_if_due(self, now: float) -> bool:
        """Whether the caller is to look up the address in the configuration now.

        True at most once in `LOOKUP_INTERVAL_S`, while the address has refused all connections for
        `REFUSED_BEFORE_LOOKUP_S`. Protects against a reload signal that was lost.
        """
        if self._refused_since is None:
            return False
        if now < max(self._refused_since + REFUSED_BEFORE_LOOKUP_S, self._next_lookup_at):
            return False
        self._next_lookup_at = now + LOOKUP_INTERVAL_S
        return True
