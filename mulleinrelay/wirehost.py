"""Simulator adapter: hosts directors, converts wire records to events, and actions to records.

The simulated directors use the same `Router` as a director that serves real clients, but no
sockets, and the simulator's clock.
"""

import gc
import sys
from typing import Any, BinaryIO

from . import wire
from .config.platform import parse_service_settings_text
from .errors import ConfigError
from .policy.actions import SendOptions
from .policy.events import (
    AttemptFinished,
    ClientLeft,
    ConnectionOpened,
    EndpointEntry,
    EndpointListFailed,
    EndpointsUpdated,
    Event,
    HealthCheckFinished,
    LoadReport,
    PurgeReceived,
    RequestReceived,
    TimerFired,
)
from .policy.latency import TrackedEndpoint
from .policy.model import Attempt, CacheStatus, EndpointState, Outcome, Request
from .policy.router import Router

# Outcome of an attempt by its status code in the protocol
OUTCOMES = {
    0: Outcome.SERVED,
    5: Outcome.ERROR,
    11: Outcome.REJECTED,
    110: Outcome.TIMEOUT,
    111: Outcome.CONNECT_FAILED,
    104: Outcome.RESET,
    125: Outcome.CANCELLED,
    114: Outcome.NOT_SENT,
    2: Outcome.MISS,
}
CACHE_STATUSES = {int(status): status for status in CacheStatus}
HEALTHY = 0  # status of a health check that was answered
# Kinds of an update of the endpoint list; an update of any other kind is a full snapshot.
DELTA_LIST = 2  # only new or changed endpoints
FAILED_LIST = 3  # no endpoints: the subscription has failed
RETRY_FLAG = 2  # flag of a new request that the client has sent before
# Flags of an attempt that is sent
COALESCE = 1
ONLY_IF_CACHED = 2
NO_STORE_AT_PARENT = 4
REVALIDATE = 8
ADDRESS_SIZE = 6  # bytes


EndpointRows = list[Any]  # rows of one endpoint list, as unpacked by `wire.ENDPOINT_ROW`


class Instance:
    """One director of the simulator and its router's `ActionSink`.

    Owns its requests and timers by number, its endpoints by address, and the events of the current
    batch.
    """

    def __init__(self, number: int) -> None:
        """Create an instance without a router; `begin` creates the router."""
        self.number = number
        self.reply = wire.Reply()
        self.router: Router | None = None
        self.requests: dict[int, Request] = {}
        self._endpoints: dict[bytes, TrackedEndpoint] = {}
        self._timers: dict[int, Request | Attempt] = {}
        self._timer_count = 0
        self._events: list[Event] = []
        self._possibly_finished: list[
            Request
        ] = []  # requests that may be finished after this batch
        self._readers = {
            wire.NEW_REQUEST: self._read_request,
            wire.ATTEMPT_FINISHED: self._read_attempt_result,
            wire.TIMER_FIRED: self._read_timer,
            wire.CLIENT_LEFT: self._read_client_left,
            wire.HEALTH_CHECK_FINISHED: self._read_health_check,
            wire.PURGE: self._read_purge,
            wire.CONNECTION_OPENED: self._read_connection,
        }

    def begin(self, now: float, fields: wire.Fields) -> None:
        """Create the router with the seed and the settings in the record.

        Raises:
            wire.WireError: If the settings are invalid.
        """
        try:
            settings = parse_service_settings_text(fields[1])
        except ConfigError as error:
            raise wire.WireError(f"bootInfo: {error}") from None
        self.router = Router(now, fields[0], settings)

    def read(
        self, now: float, code: int, fields: wire.Fields, endpoint_lists: dict[int, EndpointRows]
    ) -> None:
        """Handle one record: create the router, or add an event to the current batch.

        The record `BEGIN` creates the router. Records before `BEGIN` are ignored, and so is a
        `CLIENT_LEFT` for an unknown request.

        Raises:
            wire.WireError: If the settings in `BEGIN` are invalid.
            LookupError: If the record refers to an unknown request, attempt, timer, request class
                or endpoint list.
            ValueError: If a row of the endpoint list has an unknown state.
        """
        if code == wire.BEGIN:
            self.begin(now, fields)
        elif self.router is None:
            return
        elif code == wire.ENDPOINT_LIST:
            self._read_endpoint_list(fields, endpoint_lists)
        elif (reader := self._readers.get(code)) is not None:
            reader(self.router, now, fields)

    def handle(self, now: float) -> None:
        """Let the router handle the events of this batch, and drop the finished requests."""
        if self.router is not None:
            self.router.handle(now, self._events, self)
        self._events = []
        self._drop_finished()

    # Records

    def _read_request(self, router: Router, now: float, fields: wire.Fields) -> None:
        number, class_index, _, object_id, remaining_time, size_kb, group, part, flags = fields
        request = Request(
            number,
            router.settings.request_classes[class_index],
            object_id,
            int(part),
            int(group),
            size_kb,
            now,
            now + remaining_time,
            bool(flags & RETRY_FLAG),
        )
        self.requests[number] = request
        self._events.append(RequestReceived(request))

    def _read_attempt_result(self, router: Router, now: float, fields: wire.Fields) -> None:
        number, attempt_number, _, status, elapsed, is_complete, cache_status, *rest = fields
        first_byte_delay, value_count, *values = rest
        request = self.requests[number]
        self._possibly_finished.append(request)
        self._events.append(
            AttemptFinished(
                request.attempts[attempt_number],
                OUTCOMES.get(status, Outcome.ERROR),
                elapsed,
                bool(is_complete),
                CACHE_STATUSES.get(cache_status, CacheStatus.UNKNOWN),
                first_byte_delay,
                _load_report(router, value_count, values),
            )
        )

    def _read_timer(self, router: Router, now: float, fields: wire.Fields) -> None:
        self._events.append(TimerFired(self._timers.pop(fields[0])))

    def _read_client_left(self, router: Router, now: float, fields: wire.Fields) -> None:
        request = self.requests.get(fields[0])
        if request is not None:
            self._possibly_finished.append(request)
            self._events.append(ClientLeft(request))

    def _read_health_check(self, router: Router, now: float, fields: wire.Fields) -> None:
        address, status, _, value_count, *values = fields
        self._events.append(
            HealthCheckFinished(
                self._endpoint(address),
                _load_report(router, value_count, values),
                status == HEALTHY,
            )
        )

    def _read_purge(self, router: Router, now: float, fields: wire.Fields) -> None:
        object_id, group, age = fields
        self._events.append(PurgeReceived(object_id, group, age))

    def _read_connection(self, router: Router, now: float, fields: wire.Fields) -> None:
        number, _, attempt_number, _ = fields
        attempt = self.requests[number].attempts[attempt_number]
        self._events.append(ConnectionOpened(attempt.endpoint))

    def _read_endpoint_list(
        self, fields: wire.Fields, endpoint_lists: dict[int, EndpointRows]
    ) -> None:
        list_number, kind_of_update, _ = fields
        if kind_of_update == FAILED_LIST:
            self._events.append(EndpointListFailed())
            return
        entries = [
            EndpointEntry(
                self._endpoint(address),
                EndpointState(state),
                weight,
                kind,
                zone,
                cell,
                started_at,
            )
            for cell, kind, weight, address, state, started_at, zone in endpoint_lists[list_number]
        ]
        self._events.append(EndpointsUpdated(entries, kind_of_update != DELTA_LIST))

    def _endpoint(self, address: bytes) -> TrackedEndpoint:
        endpoint = self._endpoints.get(address)
        if endpoint is None:
            endpoint = self._endpoints[address] = TrackedEndpoint(int.from_bytes(address, "big"))
        return endpoint

    def _drop_finished(self) -> None:
        """Remove those requests that are complete and have no attempt in flight any more."""
        for request in self._possibly_finished:
            if request.is_complete and all(
                attempt.outcome is not None for attempt in request.attempts
            ):
                self.requests.pop(request.context, None)
        self._possibly_finished = []

    # ActionSink

    def send_attempt(self, attempt: Attempt, options: SendOptions) -> None:
        """Add the attempt to the reply."""
        flags = (
            COALESCE * options.allow_coalescing
            + ONLY_IF_CACHED * options.only_if_cached
            + NO_STORE_AT_PARENT * (not options.store_at_parent)
            + REVALIDATE * options.revalidate
        )
        self.reply.add(
            wire.SEND_ATTEMPT,
            attempt.request.context,
            options.max_age,
            _address(attempt.endpoint),
            flags,
            _address(attempt.fill_source or attempt.endpoint),
            attempt.timeout,
            options.retention_rank,
        )

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Add the cancellation of the attempt to the reply."""
        self.reply.add(wire.CANCEL_ATTEMPT, attempt.request.context, attempt.number)

    def reject_request(self, request: Request, retry_after: float) -> None:
        """Add the rejection of the request to the reply."""
        self._possibly_finished.append(request)
        self.reply.add(wire.REJECT_REQUEST, request.context, retry_after)

    def fail_request(self, request: Request) -> None:
        """Add the failure of the request to the reply."""
        self._possibly_finished.append(request)
        self.reply.add(wire.FAIL_REQUEST, request.context)

    def schedule_timer(self, delay: float, subject: Request | Attempt) -> None:
        """Add a timer to the reply; the simulator reports it when it is due."""
        self._timer_count += 1
        self._timers[self._timer_count] = subject
        self.reply.add(wire.SCHEDULE_TIMER, self._timer_count, delay)

    def check_health(self, endpoint: TrackedEndpoint) -> None:
        """Add a health check of the endpoint to the reply."""
        self.reply.add(wire.CHECK_HEALTH, _address(endpoint))

    def subscribe_to_endpoints(self) -> None:
        """Add the subscription to the endpoint list to the reply."""
        self.reply.add(wire.SUBSCRIBE, 1)

    def log(self, text: str) -> None:
        """Add a log line to the reply."""
        self.reply.add_bytes(wire.LOG, text.encode())


def _address(endpoint: TrackedEndpoint) -> bytes:
    return endpoint.hash_key.to_bytes(ADDRESS_SIZE, "big")


def _load_report(router: Router, count: int, values: list[float]) -> LoadReport | None:
    if not count:
        return None
    return dict(zip(router.settings.load_report_fields, values[:count], strict=False))


def process_batch(
    now: float,
    records: list[wire.Record],
    instances: dict[int, Instance],
    endpoint_lists: dict[int, EndpointRows],
) -> wire.Reply:
    """Process one batch; return the reply.

    First the events of all records are collected. Then each selected instance handles its events,
    in the order of selection.

    Args:
        now: The batch's time in ms.
        records: Code and fields of each record.
        instances: The instances by number; new instances are added.
        endpoint_lists: The endpoint lists by number; lists in the batch are added.

    Raises:
        wire.WireError: If a record other than endpoint rows precedes the first selection of an
            instance, or if settings are invalid.
        LookupError, ValueError: If `Instance.read` raises one of these errors.
    """
    reply = wire.Reply()
    selected: dict[int, Instance] = {}
    current: Instance | None = None
    for code, fields in records:
        if code == wire.SELECT_INSTANCE:
            current = instances.get(fields[0])
            if current is None:
                current = instances[fields[0]] = Instance(fields[0])
            selected[current.number] = current
            continue
        if code == wire.ENDPOINT_ROWS:
            endpoint_lists[fields[0]] = fields[1]
            continue
        if current is None:
            raise wire.WireError(f"a record with code {code} precedes the selection of an instance")
        # An instance that is halted or begins again loses its state.
        if code == wire.HALT or (code == wire.BEGIN and current.router is not None):
            current = Instance(current.number)
            instances[current.number] = selected[current.number] = current
        if code != wire.HALT:
            current.read(now, code, fields, endpoint_lists)
    for instance in selected.values():
        _handle(instance, now, reply)
    return reply


def _handle(instance: Instance, now: float, reply: wire.Reply) -> None:
    instance.reply = reply
    reply.add(wire.FOR_INSTANCE, instance.number)
    try:
        instance.handle(now)
    except Exception as error:  # reported as a FAULT record; the other instances continue
        text = " ".join(f"{type(error).__name__}: {error}".split())
        reply.add_bytes(wire.FAULT, text.encode())


def serve(stream: BinaryIO, out: BinaryIO) -> None:
    """Answer each batch with a reply until the input ends.

    Raises:
        wire.WireError: If a batch is malformed, or if `process_batch` raises this error.
        LookupError, ValueError: If `process_batch` raises one of these errors.
    """
    instances: dict[int, Instance] = {}
    endpoint_lists: dict[int, EndpointRows] = {}
    while (batch := wire.read_frame(stream)) is not None:
        now, number, records = batch
        out.write(process_batch(now, records, instances, endpoint_lists).frame(number))
        out.flush()


def main() -> int:
    """Serve on standard input and output; return the exit status: 2 after a `WireError`, else 0."""
    gc.freeze()
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except wire.WireError as error:
        print(f"wirehost: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
