"""What the admission controller is asked and what it answers."""

from dataclasses import dataclass, field

from ..policy.model import CachePool, RequestClass
from .cell_state import CellState
from .failover import FailoverQuota
from .fair_share import ConcurrencyShare
from .tenant_state import TenantState


@dataclass(slots=True, eq=False)
class AdmissionRequest:
    """A client's request, as far as its admission depends on it.

    Attributes:
        tenant_name: As the client gave it; empty: it gave none.
        address: Of the client.
        group: Of the object.
        key: The object; hexadecimal digits are parsed only where they are needed.
        request_class: Says how it may be repeated.
        idempotency_key: Empty: none.
        is_retry: Whether the client has sent it before.
        body_bytes: Size of its body.
    """

    tenant_name: str
    address: str
    group: int
    key: int | str
    request_class: RequestClass
    idempotency_key: str = ""
    is_retry: bool = False
    body_bytes: int = 0

    def key_number(self) -> int:
        """Returns the object as a number."""
        return int(self.key, 16) if isinstance(self.key, str) else self.key


@dataclass(slots=True, eq=False)
class AdmissionRejection:
    """A request that is rejected.

    Attributes:
        reason: In words.
        retry_after_ms: When the client may come again, ms.
        is_never_executed: Whether nothing of it can have run: then it is rejected, else it fails.
    """

    reason: str
    retry_after_ms: float
    is_never_executed: bool


@dataclass(slots=True, eq=False)
class AdmissionGrant:
    """An admitted request; it is completed once.

    Attributes:
        tenant: Whose request it is.
        cell: The cell that serves it.
        pool: The caches that it is confined to.
        slots: Its size in open requests; a body counts as more than one.
        body_kb: KB of its body.
        tenant_state: Whose body it is counted in.
        cell_state: Where its outcome is counted.
        share: The tenant's share that it uses.
        cell_share: The cell's share that it uses.
        failover_quota: That it uses; None: it is served at home.
        is_completed: Whether all this has been released.
    """

    tenant: str
    cell: str
    pool: CachePool
    slots: float
    body_kb: float
    tenant_state: TenantState
    cell_state: CellState
    share: ConcurrencyShare
    cell_share: ConcurrencyShare
    failover_quota: FailoverQuota | None
    is_completed: bool = field(default=False)
