"""The network code's data for a request, and the interface of admission control."""

from dataclasses import dataclass
from typing import Any, Protocol

from ..policy.model import ClientRequest, Request, RequestClass
from .client_connection import ClientConnection


@dataclass(slots=True, eq=False)
class RequestContext:
    """Client connection and call of a request; the coordinator keeps it in `Request.context`.

    Attributes:
        client: Connection on which the answer is sent.
        sequence_number: Number of the call, chosen by the client.
        request: The request as received from the client.
        grant: Grant from `AdmissionControl.admit_request`; None if there is no admission control.
    """

    client: ClientConnection
    sequence_number: int
    request: ClientRequest
    grant: Any = None


class AdmissionControl(Protocol):
    """Interface that admits or rejects client connections, and requests before they are routed.

    An admitted request may be confined to a pool of caches. Thread-safe.

    Attributes:
        tenant_field: Name of the request field with the client's tenant; empty if there is none.
    """

    tenant_field: str

    def admit_connection(self, address: str) -> str | None:
        """Admit a connection from an address and count it, or reject it.

        Returns:
            A token to be released at the end of the connection; None if the address may not open
            another connection.
        """

    def release_connection(self, entry: str) -> None:
        """Release the token of a connection that has ended."""

    def admit_request(
        self, client_request: ClientRequest, request_class: RequestClass, address: str
    ) -> Any:
        """Admit or reject a request.

        Returns:
            A grant, which has a `pool` (CachePool) and is passed to `complete_request` at the end
            of the request; or a rejection, which has no `pool`. A rejection has `retry_after_ms`,
            the time before a retry, and `is_never_executed`: whether the client is told that the
            request was not executed, rather than that it failed.
        """

    def complete_request(
        self, grant: Any, request: Request, is_served: bool, is_client_waiting: bool
    ) -> None:
        """Release the grant of a completed request.

        Args:
            grant: The grant from `admit_request`.
            request: The request as the coordinator knows it.
            is_served: Whether the request was served.
            is_client_waiting: Whether the client has neither disconnected nor cancelled the
                request.
        """
