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
from ..policy.admission import AdmissionThresholds, eviction_order
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
    number: int
    asked: ClientRequest
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
        self.clients_most, self.requests_most = clients_most, int(LOOKUPS_PER_MB * start.memory_mb)
        self.places = AdmissionThresholds(start.request_classes.values())
        self.well = False
        self.listener: socket.socket | None = None
        self.acceptor = threading.Thread(target=self._accept, name="accept", daemon=True)
        self.clients: dict[ClientConnection, None] = {}
        self.lock = threading.Lock()  # guards clients
        self.gone = threading.Condition(self.lock)
        caches.see_through = self.run_request
        caches.has_left = lambda ticket, first: ticket.client.has_left(ticket.number, first)

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
            if not client.end_lingering(now) and not client.is_calling(now):
                client.end_idle()
        return not self.clients and not self.acceptor.is_alive()

    def stop(self) -> None:
        """Ends all, whatever is open."""
        self.drain()
        for client in list(self.clients):
            client.end()

    def sweep(self) -> None:
        """Ends connections that say nothing, stop in the middle of a call or are held for nothing:
        they would fill the table, and their threads the memory.
        """
        now = time.monotonic()
        for client in list(self.clients):
            if not client.end_lingering(now) and client.overstays(now):
                client.end_idle()

    def has_pending_writes(self) -> bool:
        return any(client.owed() for client in list(self.clients))

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
            self._let_in(connection, address[0])
        except Exception as broken:  # no thread to be had, say: this client is lost, others are not
            self.log.exception("accept", broken)
            connection.close()

    def _let_in(self, connection: socket.socket, address: str) -> None:
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
            most, spare = self.clients_most, max(1, self.clients_most // SPARE_SHARE)
            while (here := len(self.clients)) > most - spare:
                ending = [other for other in self.clients if other.outlet.ended]
                idle = (
                    self._idle() if here - len(ending) > most - spare else ()
                )  # no more than make room
                if any(other.end_idle(lingers=here < most) for other in idle):
                    # the first that owes nothing; none lingers at the cost of who waits to be let
                    # in
                    pass
                elif here >= most and ending:
                    min(ending, key=lambda other: other.half_closed).end()
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
            threading.Thread(target=self._read, args=(client,), name="client", daemon=True).start()
        except RuntimeError:
            with self.lock:
                del self.clients[client]
            raise
        return True

    def _idle(self) -> list[ClientConnection]:
        """The connections that may make room, in their order."""
        idle = [client for client in self.clients if not client.owed() and not client.outlet.ended]
        return sorted(
            idle,
            key=lambda client: eviction_order(
                client.called, client.asked, client.halfway > 0.0, client.used
            ),
        )

    def _read(self, client: ClientConnection) -> None:
        try:
            while client.hear():
                call = client.calls[0]
                self._call(client, call)
                client.begun(call)
                if client.bad > BAD_MOST and not client.open and not client.outlet.ended:
                    self.log.event("bad frame", why=f"{client.bad} bad calls in a row")
                    client.end_bad()
            if client.wrong:
                self.log.event("bad frame", why=client.wrong)
                client.read_out()
        except OSError:
            pass
        except Exception as broken:
            self.log.exception("client", broken)
        finally:
            client.end()
            with client.lock:
                left, client.open = (
                    [request for request in client.open.values() if request is not None],
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
                self.admission_control.release_connection(client.entry)

    def _call(self, client: ClientConnection, call: thrift.Call) -> None:
        try:
            if call.method == "serve":
                self._serve(client, call)
            elif call.method == "forget":
                number = thrift.read_forget(call.rest)
                with client.lock:
                    request = client.open.pop(number, None)
                if request is not None:
                    self._forget(request)
            elif call.method == "isWell":
                client.write(call, thrift.answer("isWell", call.number, b"", {}, self.well))
            else:
                client.write(
                    call,
                    thrift.application_exception(
                        call.method, call.number, thrift.UNKNOWN_METHOD, "unknown method"
                    ),
                )
        except thrift.ThriftError as wrong:
            client.bad += 1
            self.log.event("bad call", method=call.method, why=str(wrong))
            if call.kind == thrift.CALL:
                client.write(
                    call,
                    thrift.application_exception(
                        call.method, call.number, thrift.PROTOCOL_ERROR, str(wrong)
                    ),
                )

    # Requests

    def _serve(self, client: ClientConnection, call: thrift.Call) -> None:
        asked = thrift.read_serve(
            call.rest,
            self.admission_control.tenant_field if self.admission_control is not None else "",
        )
        request_class = self.config.request_classes.get(asked.request_class)
        if request_class is None:
            raise thrift.ThriftError("an unknown request class")
        if request_class.idempotency == KEYED and not asked.idempotency_key:
            raise thrift.ThriftError("no idempotency key")
        if call.number in client.open:  # only this thread adds to it
            with client.lock:
                first = client.open.pop(call.number, None)
            if first is not None:  # one answer under one number: whose would it be?
                self._forget(first)
            raise thrift.ThriftError(f"the number {call.number} is open already")
        if len(client.open) >= OPEN_MOST:
            raise thrift.ThriftError(f"more than {OPEN_MOST} requests are open")
        with client.lock:
            if client.outlet.ended:  # not taken: the client sends it again on a new connection
                return
            client.open[call.number] = None
            client.asked = True
            client.drop(call)
        if not self._mark(asked.request_id):
            with client.lock:
                del client.open[call.number]
            raise thrift.ThriftError("the id was used before")
        client.bad, pool, grant = 0, None, None
        if self.admission_control is not None:
            grant = self.admission_control.admit_request(asked, request_class, client.address)
            pool = getattr(grant, "pool", None)
            if pool is None:
                return self._turn_away(
                    client, call.number, grant.retry_after_ms, grant.is_never_executed
                )
        fullness = max(
            self.coordinator.pending_count() / self.requests_most,
            self.coordinator.cpu_pressure(),
            self.upstream.fullness(),
        )
        room = self.places.can_admit(request_class, asked.is_retry, fullness)
        waited = 1000.0 * (time.monotonic() - call.read_at)  # behind others that came at once
        request = self.coordinator.accept(
            request_class,
            int(asked.object, 16),
            int(asked.part),
            asked.group,
            asked.size_kb,
            min(asked.remaining_time, request_class.client_timeout) - waited,
            asked.is_retry,
            RequestContext(client, call.number, asked, grant),
            room=room,
            pool=pool,
        )
        with client.lock:
            client.open[call.number] = request
        self.run_request(request)

    def _turn_away(
        self, client: ClientConnection, number: int, come_back: float, harmless: bool
    ) -> None:
        """The one answer of a request that the module has not heard of."""
        pieces = thrift.rejected(number, come_back) if harmless else thrift.failed(number)
        with client.lock:
            if client.open.pop(number, self) is None:
                client.outlet.put(number, pieces)

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
            ticket.client.answer(ticket.number, thrift.failed(ticket.number))

    def _do(
        self, step: SendAttempt | CancelAttempt | RequestResult, ticket: RequestContext
    ) -> None:
        client, number = ticket.client, ticket.number
        if isinstance(step, SendAttempt):
            self.upstream.send(step, ticket.asked)
        elif isinstance(step, CancelAttempt):
            self.upstream.cancel(step.attempt)
        elif isinstance(step, Served):
            told = step.answer
            fields = {"ok304": "1"} if told.kept else {}
            body = b"" if told.kept else told.body
            client.answer(number, thrift.answer("serve", number, body, fields, True))
            if client.outlet.queued:
                self._bound_unread(client)
        elif isinstance(step, Rejected):
            client.answer(number, thrift.rejected(number, step.retry_after_ms))
        elif isinstance(step, Failed):
            client.answer(number, thrift.failed(number))

    def _bound_unread(self, client: ClientConnection) -> None:
        """Ends the connection of one who does not read, where too much of the memory waits for
        such.
        """
        with self.lock:
            unread = sum(other.outlet.queued for other in self.clients)
        if unread > UNREAD_SHARE * self.config.memory_mb * 1e6:
            self.log.event("client does not read", bytes=client.outlet.queued, all=unread)
            client.end()
