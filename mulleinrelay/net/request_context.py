"""What the network code keeps with a request, and who decides whether it comes in at all."""

from dataclasses import dataclass
from typing import Any, Protocol

from ..policy.model import ClientRequest, Request, RequestClass
from .client_connection import ClientConnection


@dataclass(slots=True, eq=False)
class RequestContext:
    """Where a request came from; the coordinator hands it back with each step.

    Attributes:
        client: The connection that the answer goes to.
        sequence_number: The client's number for the call.
        request: The request as its client worded it.
        grant: What admission control gave for it; None without admission control.
    """

    client: ClientConnection
    sequence_number: int
    request: ClientRequest
    grant: Any = None


class AdmissionControl(Protocol):
    """Rejects connections and requests before the coordinator sees them, and confines the others.

    Thread-safe.

    Attributes:
        tenant_field: The field in which clients name their tenant; empty: none.
    """

    tenant_field: str

    def admit_connection(self, address: str) -> str | None:
        """Counts a connection from that address.

        Returns:
            What to give back at its end; None if no further connection may come from there.
        """

    def release_connection(self, entry: str) -> None:
        """Takes back what was given for a connection."""

    def admit_request(
        self, client_request: ClientRequest, request_class: RequestClass, address: str
    ) -> Any:
        """Decides on a request.

        Returns:
            A grant, which has a `pool` (CachePool) and goes to `complete_request` in the end; or a
            rejection, which has no `pool`, but `retry_after_ms` and `is_never_executed`.
        """

    def complete_request(
        self, grant: Any, request: Request, is_served: bool, is_client_waiting: bool
    ) -> None:
        """Takes back a grant.

        Args:
            grant: What `admit_request` gave.
            request: The request as the coordinator knows it.
            is_served: It was served.
            is_client_waiting: An answer was owed: its client had not left.
        """
