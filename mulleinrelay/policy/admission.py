"""Which requests a director lets in when it is itself the bound, after most others have died; pure,
in ms.

Its bounds are the requests that its memory can hold at one time, its links, and its share of a
core, whose lack shows as timers that come late. All request classes share what there is until it
runs short; the last is kept for those whose requests have an effect, and then by credit, so that
what is worth little or has been asked before does not starve the rest. What finds no place is
rejected at once.
"""

from collections.abc import Iterable

from .model import IDEMPOTENT, RequestClass

SATURATION_DELAY = (
    400.0  # of a timer, by which a director has no more time to spare than it has places
)
DELAY_HALF_LIFE, MAX_DELAY_UTILIZATION = (
    100.0,
    0.99,
)  # of a reading; what has an effect comes in however late it is
RESERVED_PER_STEP = 0.125  # of the places, at each step, for those above it
MAX_RESERVED_STEPS = 4  # half of the places are open to all


class SchedulingDelay:
    """How late this director is by itself: it has not enough of a core, or was stopped."""

    def __init__(self) -> None:
        self.level, self.at = 0.0, 0.0

    def record(self, now: float, late: float) -> None:
        """A timer was due so long ago. One reading counts no longer than one that fills it: after a
        stop all is soon well again.
        """
        self.level, self.at = max(min(late, SATURATION_DELAY), self.remaining(now)), now

    def remaining(self, now: float) -> float:
        return self.level * 0.5 ** min(60.0, max(0.0, now - self.at) / DELAY_HALF_LIFE)

    def utilization(self, now: float) -> float:
        return min(MAX_DELAY_UTILIZATION, self.remaining(now) / SATURATION_DELAY)


def eviction_order(
    called: bool, asked: bool, calling: bool, used: float
) -> tuple[bool, bool, bool, float]:
    """Sorts connections that owe nothing: first to make room are those that have never called, then
    those that never brought a request, then those with the oldest call (`used`), and only then
    those that have called before and are in the middle of a call. Guards usual clients against
    floods of connections that say nothing, ask whether we are well or are only held, also where
    these are let in late.
    """
    return called, called and calling, asked, used


class AdmissionThresholds:
    """How full a director may be for requests of each request class."""

    def __init__(self, request_classes: Iterable[RequestClass]) -> None:
        cases = list(request_classes)
        credits = sorted(
            {case.priority_weight for case in cases if case.idempotency == IDEMPOTENT}, reverse=True
        )
        first = 1 if any(case.idempotency != IDEMPOTENT for case in cases) else 0
        self.steps = {
            case: first + credits.index(case.priority_weight)
            if case.idempotency == IDEMPOTENT
            else 0
            for case in cases
        }

    def can_admit(self, request_class: RequestClass, repeated: bool, fullness: float) -> bool:
        """Whether a request may come in. `fullness`: of what the director is shortest of, 1 and
        above: none is left. `repeated`: its client has asked before, so that its goal has passed or
        is near; that counts as a step less where nothing depends on its running once.
        """
        step = self.steps[request_class]
        if repeated and request_class.idempotency == IDEMPOTENT:
            step += 1
        return fullness < 1.0 - RESERVED_PER_STEP * min(step, MAX_RESERVED_STEPS)
