"""Which lookups a director lets in when it is itself the bound, after most others have died; pure.

Its places are what it can see through at one time. All use cases share them until they run short; the last
are kept for those whose lookups have an effect, and then by credit, so that what is worth little or has been
asked before does not starve the rest. What finds no place is pushed back at once.
"""

from collections.abc import Iterable

from ..interface import PURE, UseCase

KEPT = 0.125  # of the places, at each step, for those above it
STEPS_MOST = 4  # half of the places are open to all


class Places:
    """How many places lookups of each use case may fill."""

    def __init__(self, use_cases: Iterable[UseCase]) -> None:
        cases = list(use_cases)
        credits = sorted({case.credit for case in cases if case.repeat == PURE}, reverse=True)
        first = 1 if any(case.repeat != PURE for case in cases) else 0
        self.steps = {case: first + credits.index(case.credit) if case.repeat == PURE else 0
                      for case in cases}

    def has_room(self, use_case: UseCase, repeated: bool, taken: int, places: int) -> bool:
        """Whether a lookup may come in. `repeated`: its client has asked before, so that its goal has passed
        or is near; that counts as a step less where nothing depends on its running once."""
        step = self.steps[use_case]
        if repeated and use_case.repeat == PURE:
            step += 1
        return taken < places * (1.0 - KEPT * min(step, STEPS_MOST))
