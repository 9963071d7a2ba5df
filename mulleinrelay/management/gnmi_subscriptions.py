"""The responses of one gNMI Subscribe call: ONCE, POLL and STREAM."""

import time
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from typing import Any

import grpc

from . import gnmi_messages as gnmi
from .errors import ErrorCode, PathError
from .gnmi_conversion import (
    Message,
    checked_encoding,
    path_from_message,
    path_to_message,
    value_to_message,
)
from .paths import ANY_ELEMENT, ANY_ELEMENTS, Path, covers
from .service import DataKind, ManagementService
from .subscribers import Subscriber
from .tree import PathValue, TreeDifference, iter_leaves

MIN_SAMPLE_INTERVAL_S = 1.0  # each sample reads the state of all endpoints
MAX_WAIT_S = 1.0  # after so long a stream looks whether its client is still there
MIN_WAIT_S = 0.01
MAX_UPDATES_PER_MESSAGE = 500  # keeps a message well below the 4 MB that clients take by default
NANOSECONDS_PER_SECOND = 1e9


@dataclass(slots=True)
class _PeriodicRead:
    """A path that is sent at intervals: a SAMPLE subscription, or a heartbeat."""

    path: Path
    interval_s: float
    due_at: float = 0.0  # time.monotonic()


class SubscribeCall:
    """Answers one Subscribe call in the thread that serves it."""

    def __init__(
        self, management: ManagementService, request: Message, context: Any, queue_capacity: int
    ) -> None:
        """Reads the SubscriptionList of a call.

        Args:
            management: Whose tree is subscribed to.
            request: The SubscriptionList.
            context: The call's grpc.ServicerContext.
            queue_capacity: Updates that may wait for this client.

        Raises:
            PathError: If an encoding or path cannot be used, or there is no path.
        """
        self._management = management
        self._request = request
        self._context = context
        self._queue_capacity = queue_capacity
        self._encoding = checked_encoding(request.encoding)
        self._paths = [
            path_from_message(subscription.path, request.prefix)
            for subscription in request.subscription
        ]
        if not self._paths:
            raise PathError("a subscription wants a path")

    def responses(self, requests: Iterator[Message]) -> Iterator[Message]:
        """Yields the responses until the call ends.

        Args:
            requests: Further requests of the call; only POLL has any.

        Raises:
            PathError: If the model or the tree has no such node, or a request is no poll.
        """
        if self._request.mode == gnmi.STREAM:
            yield from self._stream()
        elif self._request.mode == gnmi.ONCE:
            yield from self._snapshot()
        else:
            for request in requests:
                if request.WhichOneof("request") != "poll":
                    raise PathError("a poll is wanted")
                yield from self._snapshot()

    def _snapshot(self) -> Iterator[Message]:
        """Yields all values, unless the client wants updates only, and the end of them."""
        if not self._request.updates_only:
            yield from self._values(self._paths)
        yield gnmi.SubscribeResponse(sync_response=True)

    def _values(self, paths: list[Path]) -> Iterator[Message]:
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
                # Nothing is there yet; the client gets it once it is
                yield gnmi.SubscribeResponse(sync_response=True)
            yield from self._follow(subscriber)
        finally:
            self._management.unsubscribe(subscriber)

    def _check_paths(self) -> None:
        """Raises PathError for a path that can never match: its client would wait for ever."""
        for path in self._paths:
            if not any(element.name in (ANY_ELEMENT, ANY_ELEMENTS) for element in path):
                self._management.schema.find(path)

    def _follow(self, subscriber: Subscriber) -> Iterator[Message]:
        """Yields changes, samples and heartbeats until the client ends the call."""
        on_change = self._on_change_paths()
        periodic = self._periodic_reads()
        began = time.monotonic()
        for read in periodic:
            read.due_at = began + read.interval_s
        while self._context.is_active() and not subscriber.is_closed:
            soonest = min((read.due_at for read in periodic), default=time.monotonic() + MAX_WAIT_S)
            wait_s = max(MIN_WAIT_S, min(MAX_WAIT_S, soonest - time.monotonic()))
            for difference in subscriber.take(wait_s):
                yield from self._changes(difference, on_change)
            if subscriber.dropped_count:
                self._context.abort(
                    grpc.StatusCode.RESOURCE_EXHAUSTED,
                    f"{subscriber.dropped_count} changes were lost: "
                    "this client takes them too slowly",
                )
            yield from self._due_reads(periodic)

    def _on_change_paths(self) -> list[Path]:
        return [
            path
            for subscription, path in zip(self._request.subscription, self._paths, strict=True)
            if subscription.mode != gnmi.SAMPLE
        ]

    def _periodic_reads(self) -> list[_PeriodicRead]:
        """Returns the SAMPLE subscriptions, then the heartbeats of the others."""
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

    def _due_reads(self, periodic: list[_PeriodicRead]) -> Iterator[Message]:
        now = time.monotonic()
        for read in periodic:
            if now >= read.due_at:
                read.due_at = now + read.interval_s
                try:
                    yield from self._values([read.path])
                except PathError:
                    continue  # the node is gone for now

    def _changes(self, difference: TreeDifference, patterns: list[Path]) -> Iterator[Message]:
        """Yields the part of a difference that is subscribed to."""
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
    """Returns the SubscribeResponse of one notification, with the present time."""
    notification = gnmi.Notification(timestamp=time.time_ns())
    for path, value in updates:
        notification.update.add(path=path_to_message(path), val=value_to_message(value, encoding))
    notification.delete.extend(path_to_message(path) for path in deleted)
    return gnmi.SubscribeResponse(update=notification)
