"""When a director that lost its event stream asks for it again, and when it doubts the address;
pure. Times are seconds of any one clock.
"""

from random import Random

FIRST_WAIT, WAIT_MOST = 0.05, 1.0  # before a further connection after one that brought nothing
SPREAD = 0.1  # a stream that ends ends for all directors together: they come again over so long
ASTRAY_AFTER, LOOK_EVERY = (
    1.5,
    2.0,
)  # of refusals until the configuration is looked at; between two looks


class ReconnectBackoff:
    """One director's waits before its stream's next connection."""

    def __init__(self, random: Random) -> None:
        self.random, self.wait = random, 0.0
        self.refused_since: float | None = None
        self.look_due = 0.0

    def ended(self, now: float, brought: bool, refused: bool) -> float:
        """A connection is over, or none came up: how long until the next. `brought`: events came on
        it.
        """
        if not refused:
            self.refused_since = None
        elif self.refused_since is None:
            self.refused_since = now
        if brought:
            self.wait = 0.0
            return SPREAD * self.random.random()
        self.wait = min(WAIT_MOST, max(FIRST_WAIT, 2.0 * self.wait))
        return self.wait * (0.75 + 0.5 * self.random.random())

    def moved(self) -> None:
        """The stream is read at another address."""
        self.wait, self.refused_since = 0.0, None

    def astray(self, now: float) -> bool:
        """Whether the address has refused for so long that the configuration may name another one,
        though no signal told so. Guards against a signal that was lost; costs one small file read
        each LOOK_EVERY.
        """
        since = self.refused_since
        if since is None or now < max(since + ASTRAY_AFTER, self.look_due):
            return False
        self.look_due = now + LOOK_EVERY
        return True
