"""What a placement depends on, and what it is."""

from dataclasses import dataclass
from enum import Enum

from ..policy.model import CachePool, Endpoint, RequestClass

# A cache of this location: name, endpoint, and the fraction of its capacity that it has
# while it warms up (1 when it is warm).
ReadyCache = tuple[str, Endpoint, float]


class PlacementFailure(Enum):
    """Why a request goes to no cell."""

    CELL_LOST = "its cell is lost and no neighbour takes it in"
    MAY_HAVE_RUN = "its first try may have run in another cell"
    NO_CELL = "its tenant has no cell"


@dataclass(slots=True, eq=False)
class PlacementRequest:
    """What a placement depends on.

    Attributes:
        tenant: Whose request it is.
        key: The object.
        request_class: Says how it may be repeated.
        idempotency_key: Empty: none.
        is_retry: Whether the client has sent it before.
    """

    tenant: str
    key: int
    request_class: RequestClass
    idempotency_key: str
    is_retry: bool


@dataclass(slots=True, eq=False)
class CellPlacement:
    """Where a request goes.

    Attributes:
        cell: The cell that serves it.
        pool: The caches that it is confined to.
        failed_over_from: The lost cell that it belongs to; empty: it is served at home.
    """

    cell: str
    pool: CachePool
    failed_over_from: str = ""
