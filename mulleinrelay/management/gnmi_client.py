"""A gNMI client for the command line and for tests: one target each."""

import json
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, NamedTuple

import grpc

from ..errors import MulleinrelayError
from . import gnmi_messages as gnmi
from .gnmi_conversion import Message, path_from_response, path_to_message
from .paths import Path
from .tree import PathValue, strip_module_names

NANOSECONDS_PER_SECOND = 1e9


@dataclass(slots=True, frozen=True)
class ConnectionOptions:
    """How targets are reached.

    Attributes:
        ca: Path of the authority that signs targets' certificates.
        certificate: Path of our certificate; empty: no TLS.
        key: Path of its private key.
        server_name: Name in the target's certificate, where that is not its address.
        timeout_s: Seconds that a call may take.
    """

    ca: str = ""
    certificate: str = ""
    key: str = ""
    server_name: str = ""
    timeout_s: float = 10.0


class GnmiCallError(MulleinrelayError):
    """A call that did not succeed.

    Attributes:
        code: Name of the gRPC status.
    """

    def __init__(self, text: str, code: str) -> None:
        """Takes the details and the name of the status."""
        super().__init__(text)
        self.code = code


class WatchEventKind(StrEnum):
    """What a subscription brings."""

    UPDATE = "update"
    DELETE = "delete"
    SYNC = "sync"
    """All values from before the subscription have been sent."""


class WatchEvent(NamedTuple):
    """One event of a subscription; a delete has no value, a sync no path either."""

    kind: WatchEventKind
    path: Path | None
    value: Any


class GnmiTarget:
    """A connection to one gNMI server."""

    def __init__(self, address: str, options: ConnectionOptions) -> None:
        """Prepares the channel, which connects with the first call.

        Args:
            address: host:port of the server.
            options: Certificates and time limit.

        Raises:
            OSError: If a certificate cannot be read.
        """
        self.address = address
        self.options = options
        channel_options: list[tuple[str, Any]] = [("grpc.max_receive_message_length", -1)]
        if options.certificate:
            credentials = _channel_credentials(options)
            if options.server_name:
                channel_options.append(("grpc.ssl_target_name_override", options.server_name))
            self.channel = grpc.secure_channel(address, credentials, channel_options)
        else:
            self.channel = grpc.insecure_channel(address, channel_options)

    def get(self, path: Path, kind: int = gnmi.ALL) -> list[PathValue]:
        """Returns the nodes that a path matches.

        Args:
            path: The path; it may have wildcards.
            kind: `gnmi.ALL`, `gnmi.CONFIG` or `gnmi.STATE`.

        Raises:
            GnmiCallError: If the call does not succeed.
        """
        request = gnmi.GetRequest(path=[path_to_message(path)], type=kind, encoding=gnmi.JSON_IETF)
        response = self._call("Get", request)
        return [
            PathValue(
                path_from_response(update.path),
                strip_module_names(json.loads(update.val.json_ietf_val)),
            )
            for notification in response.notification
            for update in notification.update
        ]

    def set(
        self,
        deletes: Sequence[Path] = (),
        updates: Sequence[tuple[Path, Any]] = (),
        replaces: Sequence[tuple[Path, Any]] = (),
        within: float | None = None,
        name: str = "",
        extra: dict[str, Any] | None = None,
    ) -> int:
        """Commits a change: all of it or nothing.

        Args:
            deletes: Paths to delete.
            updates: Values to merge in, by path.
            replaces: Values to put in place of what is there, by path.
            within: Seconds within which it must be confirmed; None: no confirmed commit.
            name: Name of the confirmed commit.
            extra: The object of the server's own extension: `built_on`, `rollback`, `why`.

        Returns:
            Number of the version that is running now.

        Raises:
            GnmiCallError: If the call does not succeed.
        """
        request = gnmi.SetRequest(
            delete=[path_to_message(path) for path in deletes],
            replace=[_update_message(path, value) for path, value in replaces],
            update=[_update_message(path, value) for path, value in updates],
        )
        if within is not None:
            commit = request.extension.add().commit
            commit.id = name
            commit.commit.rollback_duration.seconds = int(within)
            commit.commit.rollback_duration.nanos = int(within % 1 * NANOSECONDS_PER_SECOND)
        if extra:
            extension = request.extension.add().registered_ext
            extension.id = gnmi.EXPERIMENTAL_EXTENSION_ID
            extension.msg = json.dumps(extra).encode()
        return _version_of(self._call("Set", request))

    def confirm(self, commit_id: str) -> int:
        """Keeps a confirmed commit; returns the version that is running.

        Raises:
            GnmiCallError: If the call does not succeed.
        """
        request = gnmi.SetRequest()
        commit = request.extension.add().commit
        commit.id = commit_id
        commit.confirm.SetInParent()
        return _version_of(self._call("Set", request))

    def cancel(self, commit_id: str) -> int:
        """Rolls a confirmed commit back; returns the version that is running then.

        Raises:
            GnmiCallError: If the call does not succeed.
        """
        request = gnmi.SetRequest()
        commit = request.extension.add().commit
        commit.id = commit_id
        commit.cancel.SetInParent()
        return _version_of(self._call("Set", request))

    def watch(self, paths: Sequence[Path], updates_only: bool = False) -> Iterator[WatchEvent]:
        """Yields what changes below the paths until the channel is closed.

        Args:
            paths: Paths; they may have wildcards.
            updates_only: Whether to leave out the values from before.

        Raises:
            GnmiCallError: If the call ends with another status than OK.
        """
        request = gnmi.SubscribeRequest(
            subscribe=gnmi.SubscriptionList(
                subscription=[
                    gnmi.Subscription(path=path_to_message(path), mode=gnmi.ON_CHANGE)
                    for path in paths
                ],
                mode=gnmi.STREAM,
                encoding=gnmi.JSON_IETF,
                updates_only=updates_only,
            )
        )
        try:
            for response in self._method("Subscribe")(iter([request])):
                yield from _events_of(response)
        except grpc.RpcError as error:
            raise _call_error(error) from error

    def close(self) -> None:
        """Closes the channel and ends all calls on it."""
        self.channel.close()

    def _call(self, name: str, request: Message) -> Message:
        try:
            return self._method(name)(request, timeout=self.options.timeout_s)
        except grpc.RpcError as error:
            raise _call_error(error) from error

    def _method(self, name: str) -> Callable[..., Any]:
        request_class, response_class = gnmi.METHODS[name]
        is_stream = name == "Subscribe"
        factory = self.channel.stream_stream if is_stream else self.channel.unary_unary
        method: Callable[..., Any] = factory(
            f"/gnmi.gNMI/{name}",
            request_serializer=request_class.SerializeToString,
            response_deserializer=response_class.FromString,
        )
        return method


def _channel_credentials(options: ConnectionOptions) -> grpc.ChannelCredentials:
    contents = []
    for path in (options.ca, options.key, options.certificate):
        with open(path, "rb") as file:
            contents.append(file.read())
    ca, key, certificate = contents
    return grpc.ssl_channel_credentials(ca, key, certificate)


def _call_error(error: grpc.RpcError) -> GnmiCallError:
    return GnmiCallError(error.details() or "", error.code().name)


def _update_message(path: Path, value: Any) -> Message:
    # Unlike the server's, the client's JSON has spaces; servers take either
    data = json.dumps(value).encode()
    return gnmi.Update(path=path_to_message(path), val=gnmi.TypedValue(json_ietf_val=data))


def _version_of(response: Message) -> int:
    """Returns the version that the server's own extension names; 0 if there is none."""
    for extension in response.extension:
        if extension.WhichOneof("ext") == "registered_ext":
            version: int = json.loads(extension.registered_ext.msg)["version"]
            return version
    return 0


def _events_of(response: Message) -> Iterator[WatchEvent]:
    if response.WhichOneof("response") == "sync_response":
        yield WatchEvent(WatchEventKind.SYNC, None, None)
    for path in response.update.delete:
        yield WatchEvent(WatchEventKind.DELETE, path_from_response(path), None)
    for update in response.update.update:
        value = json.loads(update.val.json_ietf_val)
        yield WatchEvent(WatchEventKind.UPDATE, path_from_response(update.path), value)
