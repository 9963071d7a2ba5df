"""A gNMI client for the command line and for tests."""

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
    """The options of a connection to a target.

    Attributes:
        ca: Path of the certificate authority that signs the targets' certificates; unused without
            TLS.
        certificate: Path of the client certificate; empty for no TLS.
        key: Path of the private key of the client certificate; unused without TLS.
        server_name: Name in the target's certificate; empty if it is the host of the target's
            address.
        timeout_s: Timeout of a Get or Set call, in seconds; `watch` has no timeout.
    """

    ca: str = ""
    certificate: str = ""
    key: str = ""
    server_name: str = ""
    timeout_s: float = 10.0


class GnmiCallError(MulleinrelayError):
    """Error for a failed gNMI call.

    Attributes:
        code: Name of the gRPC status code.
    """

    def __init__(self, text: str, code: str) -> None:
        """Create the error from the details and the code name of the gRPC status."""
        super().__init__(text)
        self.code = code


class WatchEventKind(StrEnum):
    """The kinds of events of a subscription."""

    UPDATE = "update"
    DELETE = "delete"
    SYNC = "sync"
    """All values that existed when the subscription began have been sent.

    If the client asked for updates only, the values are left out and this event comes first.
    """


class WatchEvent(NamedTuple):
    """An event of a subscription. A delete has no value; a sync has neither path nor value."""

    kind: WatchEventKind
    path: Path | None
    value: Any


class GnmiTarget:
    """A connection to one gNMI server."""

    def __init__(self, address: str, options: ConnectionOptions) -> None:
        """Create the channel, which connects at the first call.

        Args:
            address: Address of the server, as host:port.
            options: Certificates and timeout.

        Raises:
            OSError: If a certificate or key cannot be read.
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
        """Return the nodes that a path matches.

        Args:
            path: The path, which may have wildcards.
            kind: `gnmi.ALL`, `gnmi.CONFIG` or `gnmi.STATE`.

        Raises:
            GnmiCallError: If the call fails.
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
        confirm_timeout_s: float | None = None,
        commit_id: str = "",
        extension_values: dict[str, Any] | None = None,
    ) -> int:
        """Commit all given changes, or none of them.

        Args:
            deletes: Paths to delete.
            updates: Paths and the values to merge into their nodes.
            replaces: Paths and the values to replace their nodes with.
            confirm_timeout_s: Seconds within which the commit must be confirmed; None for a commit
                that needs no confirmation.
            commit_id: Id under which the commit can be confirmed; unused without
                `confirm_timeout_s`.
            extension_values: Members of the server's own extension: `built_on`, `rollback`, `why`.

        Returns:
            Number of the version that is running now; 0 if the server does not report it.

        Raises:
            GnmiCallError: If the call fails.
        """
        request = gnmi.SetRequest(
            delete=[path_to_message(path) for path in deletes],
            replace=[_update_message(path, value) for path, value in replaces],
            update=[_update_message(path, value) for path, value in updates],
        )
        if confirm_timeout_s is not None:
            commit = request.extension.add().commit
            commit.id = commit_id
            commit.commit.rollback_duration.seconds = int(confirm_timeout_s)
            commit.commit.rollback_duration.nanos = int(
                confirm_timeout_s % 1 * NANOSECONDS_PER_SECOND
            )
        if extension_values:
            extension = request.extension.add().registered_ext
            extension.id = gnmi.EXPERIMENTAL_EXTENSION_ID
            extension.msg = json.dumps(extension_values).encode()
        return _version_from_response(self._call("Set", request))

    def confirm(self, commit_id: str) -> int:
        """Confirm a pending commit; return the number of the running version.

        Raises:
            GnmiCallError: If the call fails.
        """
        request = gnmi.SetRequest()
        commit = request.extension.add().commit
        commit.id = commit_id
        commit.confirm.SetInParent()
        return _version_from_response(self._call("Set", request))

    def cancel(self, commit_id: str) -> int:
        """Roll back a pending commit; return the number of the version that is running afterwards.

        Raises:
            GnmiCallError: If the call fails.
        """
        request = gnmi.SetRequest()
        commit = request.extension.add().commit
        commit.id = commit_id
        commit.cancel.SetInParent()
        return _version_from_response(self._call("Set", request))

    def watch(self, paths: Sequence[Path], updates_only: bool = False) -> Iterator[WatchEvent]:
        """Yield the values at the paths and their changes until the call ends.

        Args:
            paths: The paths, which may have wildcards.
            updates_only: Whether to leave out the values from before the subscription.

        Raises:
            GnmiCallError: If the call ends with a status other than OK.
            ValueError: If the channel was closed before the call began.
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
                yield from _events_from_response(response)
        except grpc.RpcError as error:
            raise _call_error(error) from error

    def close(self) -> None:
        """Close the channel and end all calls on it."""
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
    # Unlike the JSON that this program's server sends, this JSON has spaces, which servers must
    # accept.
    data = json.dumps(value).encode()
    return gnmi.Update(path=path_to_message(path), val=gnmi.TypedValue(json_ietf_val=data))


def _version_from_response(response: Message) -> int:
    """Return the version in the first registered extension of a response; 0 if it has none."""
    for extension in response.extension:
        if extension.WhichOneof("ext") == "registered_ext":
            version: int = json.loads(extension.registered_ext.msg)["version"]
            return version
    return 0


def _events_from_response(response: Message) -> Iterator[WatchEvent]:
    if response.WhichOneof("response") == "sync_response":
        yield WatchEvent(WatchEventKind.SYNC, None, None)
    for path in response.update.delete:
        yield WatchEvent(WatchEventKind.DELETE, path_from_response(path), None)
    for update in response.update.update:
        value = json.loads(update.val.json_ietf_val)
        yield WatchEvent(WatchEventKind.UPDATE, path_from_response(update.path), value)
