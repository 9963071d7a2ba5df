"""When a director that lost its event stream asks for it again, and when it doubts the address;
pure. Times are seconds of any one clock.
"""

from random import Random

INITIAL_BACKOFF_S, MAX_BACKOFF_S = (
    0.05,
    1.0,
)  # before a further connection after one that brought nothing
RECONNECT_JITTER_S = (
    0.1  # a stream that ends ends for all directors together: they come again over so long
)
REFUSED_BEFORE_LOOKUP_S, LOOKUP_INTERVAL_S = (
    1.5,
    2.0,
)  # of refusals until the configuration is looked at; between two looks


class ReconnectBackoff:
    """One director's waits before its stream's next connection."""

    def __init__(self, random: Random) -> None:
        self.random, self.wait = random, 0.0
        self.refused_since: float | None = None
        self.look_due = 0.0

    def record_end(self, now: float, brought: bool, refused: bool) -> float:
        """A connection is over, or none came up: how long until the next. `brought`: events came on
        it.
        """
        if not refused:
            self.refused_since = None
        elif self.refused_since is None:
            self.refused_since = now
        if brought:
            self.wait = 0.0
            return RECONNECT_JITTER_S * self.random.random()
        self.wait = min(MAX_BACKOFF_S, max(INITIAL_BACKOFF_S, 2.0 * self.wait))
        return self.wait * (0.75 + 0.5 * self.random.random())

    def reset(self) -> None:
        """The stream is read at another address."""
        self.wait, self.refused_since = 0.0, None

    def begin_lookup_if_due(self, now: float) -> bool:
        """Whether the address has refused for so long that the configuration may name another one,
        though no signal told so. Guards against a signal that was lost; costs one small file read
        each LOOKUP_INTERVAL_S.
        """
        since = self.refused_since
        if since is None or now < max(since + REFUSED_BEFORE_LOOKUP_S, self.look_due):
            return False
        self.look_due = now + LOOKUP_INTERVAL_S
        return True
