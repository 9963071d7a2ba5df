"""Rules for whether an attempt or a retry by the client may follow the earlier attempts.

An idempotent request may run any number of times. A request with an idempotency key may be sent
again as long as every endpoint remembers its key. If all earlier attempts provably never ran, any
request may be sent again; a request of neither kind may be sent again only in this case. No I/O and
no clock: the time is an argument, in ms.
"""

from .deadlines import has_time_left
from .model import IDEMPOTENT, KEYED, Attempt, Request

# Minimum time in ms from the sending of a retry until endpoints may forget its idempotency key.
KEY_RETENTION_MARGIN = 50.0


def may_have_run(request: Request) -> list[Attempt]:
    """Return the attempts that may have had an effect, in the order they were sent."""
    return [
        attempt
        for attempt in request.attempts
        if attempt.outcome is None or not attempt.outcome.is_never_executed
    ]


def can_send(request: Request, now: float, starting: Attempt | None = None) -> bool:
    """Return whether an attempt may be sent now: in time, and without the risk of a second effect.

    Args:
        request: The request.
        now: The current time.
        starting: The attempt that is about to be written and therefore has not run; None if the
            attempt does not exist yet.
    """
    if not has_time_left(request, now):
        return False
    possibly_run = [attempt for attempt in may_have_run(request) if attempt is not starting]
    if not possibly_run or request.request_class.idempotency == IDEMPOTENT:
        return True
    return _is_key_remembered(request, possibly_run, now)


def can_client_retry(request: Request, at: float) -> bool:
    """Return whether it is safe for the client to send the request again at the time `at`."""
    if request.request_class.idempotency == IDEMPOTENT:
        return True
    possibly_run = may_have_run(request)
    return not possibly_run or _is_key_remembered(request, possibly_run, at)


def _is_key_remembered(request: Request, possibly_run: list[Attempt], at: float) -> bool:
    """Return whether every endpoint still remembers the request's idempotency key at `at`.

    The retention begins when the first attempt that may have run is sent, and counts as ended
    `KEY_RETENTION_MARGIN` early. The result is False for a request without a key, and for a key
    that only a zone or a cell remembers.
    """
    request_class = request.request_class
    forgotten_at = possibly_run[0].sent_at + request_class.key_retention - KEY_RETENTION_MARGIN
    return (
        request_class.idempotency == KEYED
        and request_class.key_scope == "all"
        and at < forgotten_at
    )
