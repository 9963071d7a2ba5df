"""Time limits of requests; no I/O and no clock: the time is an argument, in ms.

The final response is what the client receives last: an answer, a rejection or a failure.
"""

from .model import Request

FINAL_RESPONSE_MARGIN = 6.0  # ms before the client's deadline when the final response is due


def has_time_left(request: Request, now: float) -> bool:
    """Return whether the final response of the request is not due yet."""
    return now < request.deadline - FINAL_RESPONSE_MARGIN


def time_to_final_response(request: Request, now: float) -> float:
    """Return the time until the request's final response is due; 0 if it is due already."""
    return max(0.0, request.deadline - now - FINAL_RESPONSE_MARGIN)
