"""Types of the admission controller's interface: requests, grants and rejections."""

from dataclasses import dataclass, field

from ..policy.model import CachePool, RequestClass
from .cell_state import CellState
from .failover import FailoverQuota
from .fair_share import ConcurrencyShare
from .tenant_state import TenantState


@dataclass(slots=True, eq=False)
class AdmissionRequest:
    """The parts of a client's request that its admission depends on.

    Attributes:
        tenant_name: Tenant that the client named; empty if the client named none.
        address: The client's address.
        group: Group of the object, 0 to 255.
        key: Object id, a number or hexadecimal digits, which are parsed only if needed.
        request_class: Request class, with the rules for repeating a request.
        idempotency_key: Idempotency key; empty if there is none.
        is_retry: Whether the client has sent the request before, according to the client.
        body_bytes: Size of the body; 0 if there is none.
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
        """Return the object id as a number."""
        return int(self.key, 16) if isinstance(self.key, str) else self.key


@dataclass(slots=True, eq=False)
class AdmissionRejection:
    """The rejection of a request.

    Attributes:
        reason: Reason in words.
        retry_after_ms: Time after which the client may retry, ms.
        is_never_executed: Whether the client can repeat the request without harm: it has not run,
            or a second run has no effect. If so, the client is told that the request was rejected,
            otherwise that it failed.
    """

    reason: str
    retry_after_ms: float
    is_never_executed: bool


@dataclass(slots=True, eq=False)
class AdmissionGrant:
    """An admitted request and the quota that it holds until it is completed.

    Attributes:
        tenant: The request's tenant.
        cell: Cell that serves the request.
        pool: Caches that the request is confined to.
        slots: Number of open requests that the request counts as: 1, and more if it has a body.
        body_kb: Size of the body, KB.
        tenant_state: State of the tenant, which counts the body.
        cell_state: State of the cell, which counts the outcome.
        share: The tenant's share of the cell's open requests.
        cell_share: The cell's share of the director's open requests.
        failover_quota: Quota in the failover cell; None if the request has not failed over.
        is_completed: Whether the quota has been released.
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
