"""Reconnection of the event stream: backoff, and repeated look-up of its address.

The event stream transfers the endpoint list. If it ends, it usually ends for all directors at the
same time, so each director waits a random time before it reconnects. While connections deliver no
events, the wait grows exponentially up to `MAX_BACKOFF_S`.

An address that keeps refusing connections may be out of date: the configuration may contain a new
address, and the signal to reload the configuration may have been lost. The configuration is then
read again, at a limited rate.

No I/O and no clock: the time is an argument, in *seconds* of any one clock, and the source of
randomness is passed in. Not thread-safe.
"""

from random import Random

# Backoff after the first connection that delivered no events, and the maximum backoff. Jitter may
# lengthen the wait beyond the maximum.
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
# Maximum fraction by which a backoff is randomly lengthened or shortened.
BACKOFF_JITTER = 0.25
# Maximum random delay before a director reconnects after a connection that delivered events. It
# spreads the reconnections of directors whose connections end at the same time.
RECONNECT_JITTER_S = 0.1
# Time for which connections must have been refused before the address is looked up in the
# configuration.
REFUSED_BEFORE_LOOKUP_S = 1.5
# Minimum time between two look-ups; each of them reads one small file.
LOOKUP_INTERVAL_S = 2.0


class ReconnectBackoff:
    """Backoff of one director before it reconnects its event stream."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._backoff_s = 0.0
        self._refused_since: float | None = None
        self._next_lookup_at = 0.0

    def record_end(self, now: float, has_received_events: bool, is_refused: bool) -> float:
        """Record that a connection has ended, or could not be opened.

        Args:
            now: The current time in seconds.
            has_received_events: Whether at least one event was received on the connection.
            is_refused: Whether the address refused the connection when it was opened.

        Returns:
            The time in seconds to wait before the next connection is opened.
        """
        if not is_refused:
            self._refused_since = None
        elif self._refused_since is None:
            self._refused_since = now
        if has_received_events:
            self._backoff_s = 0.0
            return RECONNECT_JITTER_S * self._random.random()
        self._backoff_s = min(MAX_BACKOFF_S, max(INITIAL_BACKOFF_S, 2.0 * self._backoff_s))
        jitter = 1.0 - BACKOFF_JITTER + 2.0 * BACKOFF_JITTER * self._random.random()
        return self._backoff_s * jitter

    def reset(self) -> None:
        """Reset the backoff, because the stream has moved to another address."""
        self._backoff_s = 0.0
        self._refused_since = None

    def begin_lookup_if_due(self, now: float) -> bool:
        """Return whether the caller must look up the address in the configuration now.

        A look-up is due if the address has refused all connections for `REFUSED_BEFORE_LOOKUP_S`,
        but at most once in `LOOKUP_INTERVAL_S`. The look-up makes up for a reload signal that was
        lost. If the result is True, the look-up counts as begun.
        """
        if self._refused_since is None:
            return False
        if now < max(self._refused_since + REFUSED_BEFORE_LOOKUP_S, self._next_lookup_at):
            return False
        self._next_lookup_at = now + LOOKUP_INTERVAL_S
        return True
