"""Types of the placement of requests: request, result and reasons for a failure."""

from dataclasses import dataclass
from enum import Enum

from ..policy.model import CachePool, Endpoint, RequestClass

# A ready cache in this director's zone: name, endpoint and capacity fraction (0 to 1; less than 1
# during slow start).
ReadyCache = tuple[str, Endpoint, float]


class PlacementFailure(Enum):
    """The reason why a request cannot be placed in any cell."""

    CELL_LOST = "its cell is lost and no neighbour takes it in"
    MAY_HAVE_RUN = "its first try may have run in another cell"
    NO_CELL = "its tenant has no cell"
    UNSETTLED = "other directors may not know its tenant's cell yet"


@dataclass(slots=True, eq=False)
class PlacementRequest:
    """The parts of a request that its placement depends on.

    Attributes:
        tenant: The request's tenant.
        key: Object id.
        request_class: Request class, with the rules for repeating a request.
        idempotency_key: Idempotency key; empty if there is none.
        is_retry: Whether the client has sent the request before, according to the client.
    """

    tenant: str
    key: int
    request_class: RequestClass
    idempotency_key: str
    is_retry: bool


@dataclass(slots=True, eq=False)
class CellPlacement:
    """The placement of a request.

    Attributes:
        cell: Cell that serves the request.
        pool: Caches that the request is confined to.
        failed_over_from: Lost or recovering cell that the request belongs to, if a failover cell
            serves it; otherwise empty.
    """

    cell: str
    pool: CachePool
    failed_over_from: str = ""
