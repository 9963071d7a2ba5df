"""The responses of one gNMI Subscribe call in the modes ONCE, POLL and STREAM."""

import time
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from typing import Any

import grpc

from . import gnmi_messages as gnmi
from .errors import ErrorCode, PathError
from .gnmi_conversion import (
    Message,
    path_from_message,
    path_to_message,
    require_supported_encoding,
    value_to_message,
)
from .paths import ANY_ELEMENT, ANY_ELEMENTS, Path, covers
from .service import DataKind, ManagementService
from .subscribers import Subscriber
from .tree import PathValue, TreeDifference, iter_leaves

MIN_SAMPLE_INTERVAL_S = 1.0  # a sample may read the state of all endpoints
MAX_QUEUE_WAIT_S = 1.0  # the longest time between two checks whether a stream's client is connected
MIN_QUEUE_WAIT_S = 0.01
# gNMI updates, each a path and a value; keeps messages well below 4 MB, clients' default limit.
# Deleted paths are not limited: the first message of a change has all of them.
MAX_UPDATES_PER_MESSAGE = 500
NANOSECONDS_PER_SECOND = 1e9


@dataclass(slots=True)
class _PeriodicRead:
    """A path whose values are sent periodically, even without a change.

    It belongs to a SAMPLE subscription, or to a subscription of another mode that has a heartbeat
    interval.
    """

    path: Path
    interval_s: float
    due_at: float = 0.0  # on the clock of time.monotonic()


class SubscribeCall:
    """A Subscribe call; its responses are generated in the thread that serves the call."""

    def __init__(
        self, management: ManagementService, request: Message, context: Any, queue_capacity: int
    ) -> None:
        """Parse the SubscriptionList of a call.

        Args:
            management: The service whose tree is subscribed to.
            request: The SubscriptionList.
            context: The call's grpc.ServicerContext.
            queue_capacity: Capacity of the call's `Subscriber`, which is used in the mode STREAM
                only.

        Raises:
            PathError: If the encoding or a path is not valid, or the list has no subscription.
        """
        self._management = management
        self._request = request
        self._context = context
        self._queue_capacity = queue_capacity
        self._encoding = require_supported_encoding(request.encoding)
        self._paths = [
            path_from_message(subscription.path, request.prefix)
            for subscription in request.subscription
        ]
        if not self._paths:
            raise PathError("a subscription must have a path")

    def responses(self, requests: Iterator[Message]) -> Iterator[Message]:
        """Yield the responses until the call ends.

        Args:
            requests: Further requests of the call; only the mode POLL reads them.

        Raises:
            PathError: If the model has no node at a path, or a path has wrong keys; in the modes
                ONCE and POLL, also if the tree has no node at a path without wildcards; in the
                mode POLL, also if a further request is not a poll. In the modes ONCE and POLL,
                `updates_only` leaves out the checks of the paths. In the mode STREAM, a path with a
                wildcard in place of a name needs no node in the model.
            CommitRejectedError: If `ManagementService.read` raises it.
        """
        if self._request.mode == gnmi.STREAM:
            yield from self._stream()
        elif self._request.mode == gnmi.ONCE:
            yield from self._snapshot()
        else:
            for request in requests:
                if request.WhichOneof("request") != "poll":
                    raise PathError("expected a poll request")
                yield from self._snapshot()

    def _snapshot(self) -> Iterator[Message]:
        """Yield all values and a sync response; leave out the values if `updates_only` is set."""
        if not self._request.updates_only:
            yield from self._read_values(self._paths)
        yield gnmi.SubscribeResponse(sync_response=True)

    def _read_values(self, paths: list[Path]) -> Iterator[Message]:
        schema = self._management.schema
        for path, value in self._management.read(paths, DataKind.ALL):
            if isinstance(value, dict | list):
                leaves = list(iter_leaves(schema.find(path), value, path))
            else:
                leaves = [PathValue(path, value)]
            for start in range(0, len(leaves), MAX_UPDATES_PER_MESSAGE):
                batch = leaves[start : start + MAX_UPDATES_PER_MESSAGE]
                yield _updates_to_response(batch, [], self._encoding)

    def _stream(self) -> Iterator[Message]:
        self._check_paths()
        subscriber = self._management.subscribe(self._paths, self._queue_capacity)
        self._context.add_callback(subscriber.close)
        try:
            try:
                yield from self._snapshot()
            except PathError as error:
                if error.code != ErrorCode.NOT_FOUND:
                    raise
                # The node at one of the paths does not exist yet. No values are sent now, also not
                # those at the other paths; the client is notified when the node is created.
                yield gnmi.SubscribeResponse(sync_response=True)
            yield from self._stream_changes(subscriber)
        finally:
            self._management.unsubscribe(subscriber)

    def _check_paths(self) -> None:
        """Raise PathError for a path that can never match, as its client would wait forever.

        Paths with a wildcard in place of a name are not checked.
        """
        for path in self._paths:
            if not any(element.name in (ANY_ELEMENT, ANY_ELEMENTS) for element in path):
                self._management.schema.find(path)

    def _stream_changes(self, subscriber: Subscriber) -> Iterator[Message]:
        """Yield changes, samples and heartbeats until the call ends or the subscriber is closed.

        If updates were dropped from the subscriber's queue, the call is aborted.
        """
        patterns = self._change_patterns()
        periodic = self._periodic_reads()
        started_at = time.monotonic()
        for entry in periodic:
            entry.due_at = started_at + entry.interval_s
        while self._context.is_active() and not subscriber.is_closed:
            next_due_at = min(
                (entry.due_at for entry in periodic), default=time.monotonic() + MAX_QUEUE_WAIT_S
            )
            wait_s = max(MIN_QUEUE_WAIT_S, min(MAX_QUEUE_WAIT_S, next_due_at - time.monotonic()))
            for difference in subscriber.take(wait_s):
                yield from self._change_responses(difference, patterns)
            if subscriber.dropped_count:
                self._context.abort(
                    grpc.StatusCode.RESOURCE_EXHAUSTED,
                    f"{subscriber.dropped_count} updates were dropped: "
                    "the client reads them too slowly",
                )
            yield from self._read_due(periodic)

    def _change_patterns(self) -> list[Path]:
        return [
            path
            for subscription, path in zip(self._request.subscription, self._paths, strict=True)
            if subscription.mode != gnmi.SAMPLE
        ]

    def _periodic_reads(self) -> list[_PeriodicRead]:
        """Return the SAMPLE subscriptions, then the heartbeats of the other subscriptions."""
        samples = []
        heartbeats = []
        for subscription, path in zip(self._request.subscription, self._paths, strict=True):
            if subscription.mode == gnmi.SAMPLE:
                interval_s = subscription.sample_interval / NANOSECONDS_PER_SECOND
                samples.append(_PeriodicRead(path, max(MIN_SAMPLE_INTERVAL_S, interval_s)))
            elif subscription.heartbeat_interval:
                interval_s = subscription.heartbeat_interval / NANOSECONDS_PER_SECOND
                heartbeats.append(_PeriodicRead(path, interval_s))
        return samples + heartbeats

    def _read_due(self, periodic: list[_PeriodicRead]) -> Iterator[Message]:
        now = time.monotonic()
        for entry in periodic:
            if now >= entry.due_at:
                entry.due_at = now + entry.interval_s
                try:
                    yield from self._read_values([entry.path])
                except PathError:
                    continue  # the node does not exist at present

    def _change_responses(
        self, difference: TreeDifference, patterns: list[Path]
    ) -> Iterator[Message]:
        """Yield responses with the part of a difference that the patterns cover."""
        changed = [
            update
            for update in difference.changed
            if any(covers(pattern, update.path) for pattern in patterns)
        ]
        deleted = [
            path
            for path in difference.deleted
            if any(covers(pattern, path) for pattern in patterns)
        ]
        count = max(len(changed), 1 if deleted else 0)
        for start in range(0, count, MAX_UPDATES_PER_MESSAGE):
            batch = changed[start : start + MAX_UPDATES_PER_MESSAGE]
            yield _updates_to_response(batch, deleted if start == 0 else [], self._encoding)


def _updates_to_response(
    updates: Iterable[PathValue], deleted: Sequence[Path], encoding: int
) -> Message:
    """Return a SubscribeResponse with one notification, stamped with the current time."""
    notification = gnmi.Notification(timestamp=time.time_ns())
    for path, value in updates:
        notification.update.add(path=path_to_message(path), val=value_to_message(value, encoding))
    notification.delete.extend(path_to_message(path) for path in deleted)
    return gnmi.SubscribeResponse(update=notification)
