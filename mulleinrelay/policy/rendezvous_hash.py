"""Weighted rendezvous hashing, with the same result at all directors that know the same endpoints.

The hash is that of Thaler and Ravishankar, "Using name-based mappings to increase hit rates"
(1998); the weights use the logarithmic method of Schindelhauer and Schomaker (2005). If an endpoint
is lost, only the objects of this endpoint move to other endpoints. No I/O and no clock: the time is
an argument.
"""

import math
from collections.abc import Iterable

from .endpoint_capacity import SlowStartAdmission
from .latency import TrackedEndpoint

MIN_WEIGHT = 1e-3  # keeps the score finite; an endpoint without weight comes last
MASK_64 = 0xFFFFFFFFFFFFFFFF


def hash_integers(*parts: int) -> int:
    """Return a 64-bit hash of integers that is the same at every director."""
    state = 0x9E3779B97F4A7C15
    for part in parts:
        state = (state ^ part) * 0xBF58476D1CE4E5B9 & MASK_64
        state = (state ^ state >> 29) * 0x94D049BB133111EB & MASK_64
        state ^= state >> 32
    return state


def rendezvous_order(
    endpoints: Iterable[TrackedEndpoint],
    object_id: int,
    part: int,
    slow_start: SlowStartAdmission,
    now: float,
) -> list[TrackedEndpoint]:
    """Return the endpoints in the order of their rendezvous hash for this part of the object.

    An endpoint's weight in the hash is its capacity times the fraction of the capacity that is
    available in slow start.
    """

    def _score(endpoint: TrackedEndpoint) -> float:
        weight = endpoint.weight * slow_start.available_fraction(endpoint, now)
        uniform = (hash_integers(object_id, part, endpoint.hash_key) + 1) / 2.0**64
        return -math.log(uniform) / max(weight, MIN_WEIGHT)

    return sorted(endpoints, key=_score)
