"""Clients: connections that bring requests, each of which is seen through to its one answer."""

import errno
import socket
import threading
import time
from dataclasses import dataclass
from typing import Any, Protocol

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
from ..policy.admission import AdmissionThresholds, to_end_first
from ..policy.model import KEYED, ClientRequest, Request, RequestClass, SendAttempt
from ..structured_log import StructuredLog
from . import thrift
from .client_connection import ClientConnection
from .upstream_connections import UpstreamConnections

BACKLOG = 1024
OPEN_MOST = 32  # requests open on one connection
MARKS_PER_MB, MARKS_FOR = 100, 5.0  # ids that are kept, for so many seconds at the least
BAD_MOST = 8  # calls in a row that can't be used, after which the connection is ended
LOOKUPS_PER_MB = 8  # open at one time: each takes some KB, and a body that it brings 48 at most
UNREAD_SHARE = (
    0.2  # of the memory: more that clients have not read ends the connection of the last to add
)
SPARE_SHARE = 16  # one in so many places is freed before it is wanted


@dataclass(slots=True, eq=False)
class RequestContext:
    """Whose request it is, by which number, and as worded."""

    client: ClientConnection
    sequence_number: int
    request: ClientRequest
    grant: Any = None  # the gate's


class AdmissionControl(Protocol):
    """Who turns requests and connections away before the module hears of them, and says what the
    others are confined to.
    """

    tenant_field: str

    def admit_connection(self, address: str) -> str | None:
        """None: no further connection may come from there."""

    def release_connection(self, entry: str) -> None: ...
    def admit_request(self, asked: ClientRequest, request_class: RequestClass, address: str) -> Any:
        """Something with a `pool`, or with `come_back` (ms) and `harmless`, and then no `pool`."""

    def complete_request(self, grant: Any, request: Request, good: bool, owed: bool) -> None: ...


class ClientListener:
    def __init__(
        self,
        start: DirectorConfig,
        facade: RequestCoordinator,
        caches: UpstreamConnections,
        log: StructuredLog,
        clients_most: int,
    ) -> None:
        self.admission_control: AdmissionControl | None = None
        self.marks: set[str] = (
            set()
        )  # ids of requests, which are new with each, also with a client's retry
        self.older: set[str] = set()
        self.marks_most, self.marks_since = int(MARKS_PER_MB * start.memory_mb), time.monotonic()
        self.config, self.coordinator, self.upstream, self.log = start, facade, caches, log
        self.max_clients, self.max_requests = clients_most, int(LOOKUPS_PER_MB * start.memory_mb)
        self.places = AdmissionThresholds(start.request_classes.values())
        self.is_healthy = False
        self.listener: socket.socket | None = None
        self.acceptor = threading.Thread(target=self._accept, name="accept", daemon=True)
        self.clients: dict[ClientConnection, None] = {}
        self.lock = threading.Lock()  # guards clients
        self.gone = threading.Condition(self.lock)
        caches.run_request = self.run_request
        caches.has_client_left = self._has_client_left

    @staticmethod
    def _has_client_left(context: RequestContext, is_first_attempt: bool) -> bool:
        return context.client.has_client_left(context.sequence_number, is_first_attempt)

    def start(self) -> None:
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(self.config.listen)
        listener.listen(BACKLOG)
        self.listener = listener
        self.acceptor.start()

    def drain(self) -> bool:
        """Ends what is idle; whether nobody is left. To be called again until then: a request that
        was taken meanwhile is seen through first, and none is taken on a connection that has been
        ended. Those whom the system has accepted are let in before the listener closes, as they may
        have called.
        """
        if self.listener is not None:
            listener, self.listener = self.listener, None
            try:
                listener.setblocking(False)
                while True:
                    self._welcome(*listener.accept())
            except OSError:  # none is left
                pass
            try:
                listener.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            listener.close()
        now = time.monotonic()
        for client in list(self.clients):
            if not client.finish_lingering(now) and not client.is_mid_call(now):
                client.close_if_idle()
        return not self.clients and not self.acceptor.is_alive()

    def stop(self) -> None:
        """Ends all, whatever is open."""
        self.drain()
        for client in list(self.clients):
            client.shut_down()

    def close_idle(self) -> None:
        """Ends connections that say nothing, stop in the middle of a call or are held for nothing:
        they would fill the table, and their threads the memory.
        """
        now = time.monotonic()
        for client in list(self.clients):
            if not client.finish_lingering(now) and client.is_overdue(now):
                client.close_if_idle()

    def has_pending_writes(self) -> bool:
        return any(client.owes_answer() for client in list(self.clients))

    # Connections

    def _accept(self) -> None:
        while (listener := self.listener) is not None:
            try:
                connection, address = listener.accept()
            except OSError as broken:
                if broken.errno in (errno.EINVAL, errno.EBADF):  # closed by `stop`
                    return
                self.log.exception("accept", broken)  # out of descriptors, say
                time.sleep(0.05)
                continue
            self._welcome(connection, address)

    def _welcome(self, connection: socket.socket, address: tuple[str, int]) -> None:
        try:
            self._admit(connection, address[0])
        except Exception as broken:  # no thread to be had, say: this client is lost, others are not
            self.log.exception("accept", broken)
            connection.close()

    def _admit(self, connection: socket.socket, address: str) -> None:
        entry = (
            self.admission_control.admit_connection(address)
            if self.admission_control is not None
            else ""
        )
        if entry is None:
            return connection.close()
        seated = False
        try:
            seated = self._seat(connection, address, entry)
        finally:
            if self.admission_control is not None and not seated:
                self.admission_control.release_connection(entry)

    def _seat(self, connection: socket.socket, address: str, entry: str) -> bool:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        client = ClientConnection(connection, address, entry)
        with self.lock:
            most, spare = self.max_clients, max(1, self.max_clients // SPARE_SHARE)
            while (here := len(self.clients)) > most - spare:
                ending = [other for other in self.clients if other.write_queue.is_shut_down]
                idle = (
                    self._idle() if here - len(ending) > most - spare else ()
                )  # no more than make room
                if any(other.close_if_idle(lingers=here < most) for other in idle):
                    # the first that owes nothing; none lingers at the cost of who waits to be let
                    # in
                    pass
                elif here >= most and ending:
                    min(ending, key=lambda other: other.half_closed_at).shut_down()
                elif here >= most:
                    connection.close()
                    self.log.event("client turned away", clients=here)
                    return False
                if here < most:
                    break
                self.gone.wait(
                    0.02
                )  # one that is ended holds its descriptor until its thread has seen it
            self.clients[client] = None
        try:
            threading.Thread(
                target=self._serve_connection, args=(client,), name="client", daemon=True
            ).start()
        except RuntimeError:
            with self.lock:
                del self.clients[client]
            raise
        return True

    def _idle(self) -> list[ClientConnection]:
        """The connections that may make room, in their order."""
        idle = [
            client
            for client in self.clients
            if not client.owes_answer() and not client.write_queue.is_shut_down
        ]
        return sorted(
            idle,
            key=lambda client: to_end_first(
                client.has_called,
                client.has_requested,
                client.partial_call_since > 0.0,
                client.last_used_at,
            ),
        )

    def _serve_connection(self, client: ClientConnection) -> None:
        try:
            while client.read_calls():
                call = client.pending_calls[0]
                self._handle_call(client, call)
                client.mark_begun(call)
                if (
                    client.bad_call_count > BAD_MOST
                    and not client.open_requests
                    and not client.write_queue.is_shut_down
                ):
                    self.log.event("bad frame", why=f"{client.bad_call_count} bad calls in a row")
                    client.half_close()
            if client.framing_error:
                self.log.event("bad frame", why=client.framing_error)
                client.discard_input()
        except OSError:
            pass
        except Exception as broken:
            self.log.exception("client", broken)
        finally:
            client.shut_down()
            with client.lock:
                left, client.open_requests = (
                    [request for request in client.open_requests.values() if request is not None],
                    {},
                )
            for request in left:
                self._forget(request)
            with client.lock:
                client.connection.close()
            with self.lock:
                self.clients.pop(client, None)
                self.gone.notify()
            if self.admission_control is not None:
                self.admission_control.release_connection(client.admission_entry)

    def _handle_call(self, client: ClientConnection, call: thrift.MethodCall) -> None:
        try:
            if call.method == "serve":
                self._serve(client, call)
            elif call.method == "forget":
                number = thrift.read_cancelled_number(call.arguments)
                with client.lock:
                    request = client.open_requests.pop(number, None)
                if request is not None:
                    self._forget(request)
            elif call.method == "isWell":
                client.send_reply(
                    call, thrift.reply("isWell", call.sequence_number, b"", {}, self.is_healthy)
                )
            else:
                client.send_reply(
                    call,
                    thrift.application_exception(
                        call.method, call.sequence_number, thrift.UNKNOWN_METHOD, "unknown method"
                    ),
                )
        except thrift.ThriftError as wrong:
            client.bad_call_count += 1
            self.log.event("bad call", method=call.method, why=str(wrong))
            if call.kind == thrift.CALL:
                client.send_reply(
                    call,
                    thrift.application_exception(
                        call.method, call.sequence_number, thrift.PROTOCOL_ERROR, str(wrong)
                    ),
                )

    # Requests

    def _serve(self, client: ClientConnection, call: thrift.MethodCall) -> None:
        asked = thrift.read_serve(
            call.arguments,
            self.admission_control.tenant_field if self.admission_control is not None else "",
        )
        request_class = self.config.request_classes.get(asked.request_class)
        if request_class is None:
            raise thrift.ThriftError("an unknown request class")
        if request_class.idempotency == KEYED and not asked.idempotency_key:
            raise thrift.ThriftError("no idempotency key")
        if call.sequence_number in client.open_requests:  # only this thread adds to it
            with client.lock:
                first = client.open_requests.pop(call.sequence_number, None)
            if first is not None:  # one answer under one number: whose would it be?
                self._forget(first)
            raise thrift.ThriftError(f"the number {call.sequence_number} is open already")
        if len(client.open_requests) >= OPEN_MOST:
            raise thrift.ThriftError(f"more than {OPEN_MOST} requests are open")
        with client.lock:
            if (
                client.write_queue.is_shut_down
            ):  # not taken: the client sends it again on a new connection
                return
            client.open_requests[call.sequence_number] = None
            client.has_requested = True
            client.drop_call(call)
        if not self._mark(asked.request_id):
            with client.lock:
                del client.open_requests[call.sequence_number]
            raise thrift.ThriftError("the id was used before")
        client.bad_call_count, pool, grant = 0, None, None
        if self.admission_control is not None:
            grant = self.admission_control.admit_request(asked, request_class, client.address)
            pool = getattr(grant, "pool", None)
            if pool is None:
                return self._turn_away(
                    client, call.sequence_number, grant.retry_after_ms, grant.is_never_executed
                )
        fullness = max(
            self.coordinator.pending_count() / self.max_requests,
            self.coordinator.cpu_pressure(),
            self.upstream.fullness(),
        )
        room = self.places.has_room(request_class, asked.is_retry, fullness)
        waited = 1000.0 * (time.monotonic() - call.read_at)  # behind others that came at once
        request = self.coordinator.accept(
            request_class,
            int(asked.object, 16),
            int(asked.part),
            asked.group,
            asked.size_kb,
            min(asked.remaining_time, request_class.client_timeout) - waited,
            asked.is_retry,
            RequestContext(client, call.sequence_number, asked, grant),
            room=room,
            pool=pool,
        )
        with client.lock:
            client.open_requests[call.sequence_number] = request
        self.run_request(request)

    def _turn_away(
        self, client: ClientConnection, number: int, come_back: float, harmless: bool
    ) -> None:
        """The one answer of a request that the module has not heard of."""
        pieces = (
            thrift.rejected_reply(number, come_back) if harmless else thrift.failed_reply(number)
        )
        with client.lock:
            if client.open_requests.pop(number, self) is None:
                client.write_queue.write(number, pieces)

    def _mark(self, mark: str) -> bool:
        """Whether an id is new. Guards against what comes again at full speed, and against nodes
        that take one request for another; harms only a client that breaks the protocol.
        """
        with self.lock:
            if mark in self.marks or mark in self.older:
                return False
            now = time.monotonic()
            if now > self.marks_since + MARKS_FOR or len(self.marks) >= self.marks_most:
                self.older, self.marks, self.marks_since = self.marks, set(), now
            self.marks.add(mark)
            return True

    def _forget(self, request: Request) -> None:
        self.coordinator.client_left(request)
        self.run_request(request)

    def run_request(self, request: Request) -> None:
        """Does what is to be done for a request, in the thread whose call moved it."""
        ticket: RequestContext | None = request.context
        try:
            while ticket is not None and (step := self.coordinator.next_step(request)) is not None:
                self._do(step, ticket)
                if isinstance(step, RequestResult):
                    request.context = (
                        None  # timers may hold the request for a while, but not what it brought
                    )
                    if ticket.grant is not None:
                        self.admission_control.complete_request(
                            ticket.grant,
                            request,
                            isinstance(step, Served),
                            not isinstance(step, ClientGone),
                        )
        except Exception as broken:
            self.log.exception("see through", broken)
            self.coordinator.discard(request)
            if ticket.grant is not None:
                self.admission_control.complete_request(ticket.grant, request, False, True)
            ticket.client.send_answer(
                ticket.sequence_number, thrift.failed_reply(ticket.sequence_number)
            )

    def _do(
        self, step: SendAttempt | CancelAttempt | RequestResult, ticket: RequestContext
    ) -> None:
        client, number = ticket.client, ticket.sequence_number
        if isinstance(step, SendAttempt):
            self.upstream.send(step, ticket.request)
        elif isinstance(step, CancelAttempt):
            self.upstream.cancel(step.attempt)
        elif isinstance(step, Served):
            told = step.answer
            fields = {"ok304": "1"} if told.is_not_modified else {}
            body = b"" if told.is_not_modified else told.body
            client.send_answer(number, thrift.reply("serve", number, body, fields, True))
            if client.write_queue.pending_bytes:
                self._bound_unread(client)
        elif isinstance(step, Rejected):
            client.send_answer(number, thrift.rejected_reply(number, step.retry_after_ms))
        elif isinstance(step, Failed):
            client.send_answer(number, thrift.failed_reply(number))

    def _bound_unread(self, client: ClientConnection) -> None:
        """Ends the connection of one who does not read, where too much of the memory waits for
        such.
        """
        with self.lock:
            unread = sum(other.write_queue.pending_bytes for other in self.clients)
        if unread > UNREAD_SHARE * self.config.memory_mb * 1e6:
            self.log.event(
                "client does not read", bytes=client.write_queue.pending_bytes, all=unread
            )
            client.shut_down()
