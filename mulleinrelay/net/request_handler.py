"""Handling of client calls: each request is processed until its only answer is sent.

A step of a request sends or cancels an attempt, or is the request's result. It runs in the thread
that caused it: the thread of the client connection, of an upstream connection, or of the timers.
See `RequestHandler.run_request`.
"""

import time
from collections.abc import Callable
from random import Random

from ..config.platform import DirectorConfig
from ..coordinator import (
    CancelAttempt,
    ClientGone,
    Failed,
    Rejected,
    RequestCoordinator,
    RequestResult,
    Served,
)
from ..policy import overload
from ..policy.admission import AdmissionThresholds, ResourceUtilization, pending_utilization
from ..policy.deadlines import FINAL_RESPONSE_MARGIN
from ..policy.model import KEYED, CachePool, ClientRequest, Request, RequestClass, SendAttempt
from ..structured_log import StructuredLog
from . import thrift
from .client_connection import ClientConnection
from .recent_request_ids import RecentRequestIds
from .request_context import AdmissionControl, RequestContext
from .upstream_connections import UpstreamConnections

MAX_OPEN_REQUESTS = 32  # on one connection
REQUESTS_PER_MB = 8  # pending requests per MB of memory; each takes some KB, its body up to 48 KB


class RequestHandler:
    """Handler that passes requests to the coordinator and carries out the coordinator's steps.

    Thread-safe.

    Attributes:
        admission_control: Admission control for connections and requests; None if there is none.
        upstream: Connections to endpoints, over which attempts are sent.
        is_healthy: The director's answer to health checks of clients.
        max_requests: Number of requests pending at the coordinator at which the memory counts as
            fully used, so that no further request is admitted.
        limit_unread_answers: Function that is called when a client has not read an answer at once,
            and that limits the memory of such answers; set by the listener.
    """

    def __init__(
        self,
        config: DirectorConfig,
        coordinator: RequestCoordinator,
        upstream: UpstreamConnections,
        log: StructuredLog,
    ) -> None:
        self.config = config
        self.coordinator = coordinator
        self.upstream = upstream
        self.log = log
        self.admission_control: AdmissionControl | None = None
        self.random = Random(config.seed)
        self.recent_request_ids = RecentRequestIds(
            config.memory_mb,
            max((each.client_timeout for each in config.request_classes.values()), default=0.0)
            / 1000.0,
        )
        self.max_requests = int(REQUESTS_PER_MB * config.memory_mb)
        self.admission_thresholds = AdmissionThresholds(config.request_classes.values())
        self.is_healthy = False
        self.limit_unread_answers: Callable[[], None] = lambda: None
        upstream.run_request = self.run_request
        upstream.has_client_left = self._has_client_left

    @staticmethod
    def _has_client_left(context: RequestContext, is_first_attempt: bool) -> bool:
        return context.client.has_client_left(context.sequence_number, is_first_attempt)

    def handle_call(self, client: ClientConnection, call: thrift.MethodCall) -> None:
        """Handle one call in the thread of its connection."""
        number = call.sequence_number
        try:
            if call.method == "serve" and call.is_truncated:
                self._reject_truncated(client, call)
            elif call.method == "serve":
                self._handle_request(client, call)
            elif call.method == "forget":
                self._handle_cancellation(client, call)
            elif call.method == "isWell":
                self._send_reply(
                    client, call, thrift.reply("isWell", number, b"", {}, self.is_healthy)
                )
            else:
                reply = thrift.application_exception(
                    call.method, number, thrift.UNKNOWN_METHOD, "unknown method"
                )
                self._send_reply(client, call, reply)
        except thrift.ThriftError as error:
            client.bad_call_count += 1
            self.log.event("bad call", method=call.method, why=str(error))
            if call.kind == thrift.CALL:
                reply = thrift.application_exception(
                    call.method, number, thrift.PROTOCOL_ERROR, str(error)
                )
                self._send_reply(client, call, reply)

    # Requests

    def _handle_cancellation(self, client: ClientConnection, call: thrift.MethodCall) -> None:
        number = thrift.read_cancelled_number(call.arguments)
        with client.lock:
            request = client.close_request(number)
        if request is not None:
            self.client_left(request)

    def _handle_request(self, client: ClientConnection, call: thrift.MethodCall) -> None:
        admission_control = self.admission_control
        tenant_field = admission_control.tenant_field if admission_control is not None else ""
        request = thrift.read_serve(call.arguments, tenant_field)
        request_class = self._request_class(request)
        number = call.sequence_number
        self._check_sequence_number(client, number)
        queued_ms = 1000.0 * (time.monotonic() - call.received_at)
        remaining_time = min(request.remaining_time, request_class.client_timeout) - queued_ms
        reason = self._rejection_reason(remaining_time)
        if reason:
            self._reject_unopened(client, call, reason)
            return
        if not self._open(client, call, request):
            return
        context = RequestContext(client, number, request)
        pool = None
        if admission_control is not None:
            decision = admission_control.admit_request(request, request_class, client.address)
            pool = getattr(decision, "pool", None)
            if pool is None:
                self.recent_request_ids.forget(request.request_id)
                self._reject(client, number, decision.retry_after_ms, decision.is_never_executed)
                return
            context.grant = decision
        accepted = self._accept(context, request_class, pool, remaining_time)
        with client.lock:
            client.open_requests[number] = accepted
        self.run_request(accepted)

    def _request_class(self, request: ClientRequest) -> RequestClass:
        request_class = self.config.request_classes.get(request.request_class)
        if request_class is None:
            raise thrift.ThriftError("an unknown request class")
        if request_class.idempotency == KEYED and not request.idempotency_key:
            raise thrift.ThriftError("no idempotency key")
        return request_class

    def _rejection_reason(self, remaining_time: float) -> str:
        """Return why a request is rejected before it is opened; empty if it is not.

        Args:
            remaining_time: Time in ms for which the client still waits.
        """
        if remaining_time <= FINAL_RESPONSE_MARGIN:
            return "no time left when it was read"
        if self.recent_request_ids.is_full():
            return "no memory for its id"
        return ""

    def _open(
        self, client: ClientConnection, call: thrift.MethodCall, request: ClientRequest
    ) -> bool:
        """Register a call as an open request, and remove it from the pending calls.

        Returns:
            False if the connection was closed meanwhile.

        Raises:
            ThriftError: If the request id was used before.
        """
        if not client.open_request(call):
            return False
        if not self.recent_request_ids.add(request.request_id):
            with client.lock:
                client.close_request(call.sequence_number)
            raise thrift.ThriftError("the id was used before")
        client.bad_call_count = 0
        return True

    def _reject_truncated(self, client: ClientConnection, call: thrift.MethodCall) -> None:
        """Reject a request for whose body there was no memory."""
        self._check_sequence_number(client, call.sequence_number)
        self._reject_unopened(client, call, "no memory for its body")

    def _reject_unopened(
        self, client: ClientConnection, call: thrift.MethodCall, reason: str
    ) -> None:
        """Reject a request that has not become an open request.

        The router does not count it, since it says nothing about the load of the endpoints.
        """
        self.log.event("request rejected", why=reason)
        retry_after = overload.choose_retry_after(self.random, self.config.settings)
        self._send_reply(client, call, thrift.rejected_reply(call.sequence_number, retry_after))

    def _check_sequence_number(self, client: ClientConnection, number: int) -> None:
        """Raise ThriftError if the sequence number is in use or too many requests are open.

        The check needs no lock, because only this thread adds open requests to the connection. If
        the number is in use, the open request is cancelled as well: the client could not tell to
        which of the two requests an answer belongs.
        """
        if number in client.open_requests:
            with client.lock:
                first = client.close_request(number)
            if first is not None:
                self.client_left(first)
            raise thrift.ThriftError(f"the number {number} is open already")
        if len(client.open_requests) >= MAX_OPEN_REQUESTS:
            raise thrift.ThriftError(f"more than {MAX_OPEN_REQUESTS} requests are open")

    def _accept(
        self,
        context: RequestContext,
        request_class: RequestClass,
        pool: CachePool | None,
        remaining_time: float,
    ) -> Request:
        """Pass a request to the coordinator, which rejects it at once if there is no capacity."""
        request = context.request
        has_capacity = self._has_capacity(context, request_class)
        return self.coordinator.accept(
            request_class,
            int(request.object, 16),
            int(request.part),
            request.group,
            request.size_kb,
            remaining_time,
            request.is_retry,
            context,
            has_capacity=has_capacity,
            pool=pool,
        )

    def _has_capacity(self, context: RequestContext, request_class: RequestClass) -> bool:
        """Return whether a request may be accepted; log which resource is short if not."""
        request = context.request
        open_count = len(context.client.open_requests) - 1  # without this request
        resources = ResourceUtilization(
            pending_utilization(self.coordinator.pending_count(), open_count, self.max_requests),
            self.coordinator.cpu_utilization(),
            self.upstream.fullness(),
        )
        utilization = max(resources)
        if self.admission_thresholds.can_admit(request_class, request.is_retry, utilization):
            return True
        self.log.event(
            "no capacity",
            resource=resources.name_of_scarcest(),
            utilization=round(utilization, 2),
        )
        return False

    def _reject(
        self, client: ClientConnection, number: int, retry_after_ms: float, is_never_executed: bool
    ) -> None:
        """Send the only answer to a request that was never passed to the coordinator."""
        if is_never_executed:
            pieces = thrift.rejected_reply(number, retry_after_ms)
        else:
            pieces = thrift.failed_reply(number)
        with client.lock:
            is_owed = number in client.open_requests
            if is_owed:
                client.close_request(number)
                client.write_queue.write(number, pieces)

    def client_left(self, request: Request) -> None:
        """Cancel a request whose client has disconnected or cancelled it."""
        self.coordinator.client_left(request)
        self.run_request(request)

    def run_request(self, request: Request) -> None:
        """Carry out the next steps of a request, in the thread that caused them."""
        context: RequestContext | None = request.context
        if context is None:
            return
        try:
            while (step := self.coordinator.next_step(request)) is not None:
                self._perform(step, request, context)
                if isinstance(step, RequestResult):
                    # Timers may refer to the request for a while. The body, which the context
                    # holds, must not stay in memory until then.
                    request.context = None
                    is_owed = not isinstance(step, ClientGone)
                    self._return_grant(context, request, isinstance(step, Served), is_owed)
        except Exception as error:
            # Only this request fails; the thread goes on with other requests.
            self.log.exception("request", error)
            self.coordinator.discard(request)
            self._return_grant(context, request, False, True)
            number = context.sequence_number
            self._send_answer(context.client, number, thrift.failed_reply(number))

    def _return_grant(
        self, context: RequestContext, request: Request, is_served: bool, is_owed: bool
    ) -> None:
        if context.grant is not None and self.admission_control is not None:
            self.admission_control.complete_request(context.grant, request, is_served, is_owed)

    def _perform(
        self,
        step: SendAttempt | CancelAttempt | RequestResult,
        request: Request,
        context: RequestContext,
    ) -> None:
        client = context.client
        number = context.sequence_number
        if isinstance(step, SendAttempt):
            self.upstream.send(step, context.request)
        elif isinstance(step, CancelAttempt):
            self.upstream.cancel(step.attempt)
        elif isinstance(step, Served):
            answer = step.answer
            fields = {"ok304": "1"} if answer.is_not_modified else {}
            body = b"" if answer.is_not_modified else answer.body
            self._send_answer(client, number, thrift.reply("serve", number, body, fields, True))
        elif isinstance(step, Rejected):
            if not request.attempts:
                self.recent_request_ids.forget(context.request.request_id)
            pieces = thrift.rejected_reply(number, step.retry_after_ms)
            self._send_answer(client, number, pieces)
        elif isinstance(step, Failed):
            self._send_answer(client, number, thrift.failed_reply(number))

    # Sending

    def _send_answer(self, client: ClientConnection, number: int, pieces: thrift.Pieces) -> None:
        """Send the only answer to an open request."""
        client.send_answer(number, pieces)
        self._limit_unread_answers(client)

    def _send_reply(
        self, client: ClientConnection, call: thrift.MethodCall, pieces: thrift.Pieces
    ) -> None:
        """Answer a call that has not become an open request."""
        client.send_reply(call, pieces)
        self._limit_unread_answers(client)

    def _limit_unread_answers(self, client: ClientConnection) -> None:
        if client.write_queue.pending_bytes:
            self.limit_unread_answers()
