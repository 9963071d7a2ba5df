"""How long a request may take; pure functions, times in ms."""

from .model import Request

FINAL_RESPONSE_MARGIN = 6.0  # ms; the final response goes out so long before the client's deadline


def has_time_left(request: Request, now: float) -> bool:
    """Whether the final response is not yet due."""
    return now < request.deadline - FINAL_RESPONSE_MARGIN


def time_to_final_response(request: Request, now: float) -> float:
    """How long until the final response is due; 0 where it is."""
    return max(0.0, request.deadline - now - FINAL_RESPONSE_MARGIN)
