"""The gNMI server on grpcio: Capabilities, Get, Set and Subscribe."""

import json
import threading
import time
from collections.abc import Callable, Iterator
from concurrent import futures
from contextlib import contextmanager

import grpc

from ..structured_log import StructuredLog
from . import gnmi_messages as gnmi
from .authorization import Role, required_role
from .certificates import ServerCertificates
from .config import ManagementConfig
from .edits import Edit, EditOperation
from .errors import ErrorCode, PathError, RequestError
from .gnmi_conversion import (
    SUPPORTED_ENCODINGS,
    Message,
    checked_encoding,
    path_from_message,
    path_to_message,
    value_from_message,
    value_to_message,
)
from .gnmi_extensions import SetExtensions, parse_set_extensions
from .gnmi_subscriptions import SubscribeCall
from .schema import MODULE_NAME, MODULE_REVISION
from .service import DataKind, ManagementService

SERVICE_NAME = "gnmi.gNMI"
STACK_BYTES = 1_048_576  # the model's checks nest deeper than what serves clients' requests
POOL_START_TIMEOUT_S = 10.0
STOP_TIMEOUT_S = 1.0  # for calls that are open when the server stops
STOP_MARGIN_S = 0.5
STATUS_CODES = {
    ErrorCode.INVALID: grpc.StatusCode.INVALID_ARGUMENT,
    ErrorCode.STALE: grpc.StatusCode.ABORTED,
    ErrorCode.BUSY: grpc.StatusCode.FAILED_PRECONDITION,
    ErrorCode.FAILED: grpc.StatusCode.INTERNAL,
    ErrorCode.NOT_FOUND: grpc.StatusCode.NOT_FOUND,
    ErrorCode.UNIMPLEMENTED: grpc.StatusCode.UNIMPLEMENTED,
}
DATA_KINDS = {
    gnmi.ALL: DataKind.ALL,
    gnmi.CONFIG: DataKind.CONFIG,
    gnmi.STATE: DataKind.STATE,
    gnmi.OPERATIONAL: DataKind.STATE,
}
OPERATION_NUMBERS = {
    EditOperation.DELETE: gnmi.DELETE,
    EditOperation.REPLACE: gnmi.REPLACE,
    EditOperation.UPDATE: gnmi.UPDATE,
}


class GnmiServicer:
    """Answers gNMI calls. Thread-safe: grpc calls it in several threads at a time."""

    def __init__(self, config: ManagementConfig, management: ManagementService) -> None:
        """Takes the limits and roles, and the service that does the work."""
        self._config = config
        self._management = management
        self._streams_lock = threading.Lock()  # guards _open_streams
        self._open_streams = 0

    def handlers(self) -> grpc.GenericRpcHandler:
        """Returns the handlers that a grpc server wants."""
        unary = {"Capabilities": self.capabilities, "Get": self.get, "Set": self.set}
        handlers = {name: _unary_handler(name, method) for name, method in unary.items()}
        handlers["Subscribe"] = _stream_handler("Subscribe", self.subscribe)
        return grpc.method_handlers_generic_handler(SERVICE_NAME, handlers)

    def capabilities(self, request: Message, context: grpc.ServicerContext) -> Message:
        """Returns the model, the encodings and the version of gNMI."""
        self._authorize(context, Role.READ)
        model = gnmi.ModelData(
            name=MODULE_NAME, organization="mulleinrelay", version=MODULE_REVISION
        )
        return gnmi.CapabilityResponse(
            supported_models=[model],
            supported_encodings=list(SUPPORTED_ENCODINGS),
            gNMI_version=gnmi.VERSION,
        )

    def get(self, request: Message, context: grpc.ServicerContext) -> Message:
        """Returns a notification for each path; without one, the whole tree."""
        self._authorize(context, Role.READ)
        encoding = checked_encoding(request.encoding)
        kind = DATA_KINDS.get(request.type, DataKind.ALL)
        response = gnmi.GetResponse()
        for message in request.path or [gnmi.PathMessage()]:
            notification = response.notification.add(timestamp=time.time_ns())
            if request.HasField("prefix"):
                notification.prefix.target = request.prefix.target
            wanted = path_from_message(message, request.prefix)
            for path, value in self._management.read([wanted], kind):
                notification.update.add(
                    path=path_to_message(path), val=value_to_message(value, encoding, True)
                )
        return response

    def set(self, request: Message, context: grpc.ServicerContext) -> Message:
        """Commits all edits or none; or confirms, cancels or rolls back."""
        edits = _edits_of(request)
        if request.union_replace:
            raise PathError(
                "union_replace: there is one origin here; use replace", ErrorCode.UNIMPLEMENTED
            )
        extensions = parse_set_extensions(request.extension)
        author = self._authorize(context, _role_for_set(edits, extensions))
        self._carry_out(edits, extensions, author)
        response = gnmi.SetResponse(
            timestamp=time.time_ns(),
            response=[
                gnmi.UpdateResult(
                    path=path_to_message(edit.path), op=OPERATION_NUMBERS[edit.operation]
                )
                for edit in edits
            ],
        )
        version = response.extension.add().registered_ext
        version.id = gnmi.EXPERIMENTAL_EXTENSION_ID
        number = self._management.datastore.running.number
        version.msg = json.dumps({"version": number}).encode()
        return response

    def _carry_out(self, edits: list[Edit], extensions: SetExtensions, author: str) -> None:
        if extensions.is_confirmation:
            self._management.confirm(extensions.commit_id)
        elif extensions.is_cancellation:
            self._management.cancel(extensions.commit_id, author)
        elif extensions.rollback_version is not None:
            self._management.rollback(extensions.rollback_version, author, extensions.built_on)
        else:
            self._management.apply_edits(
                edits, author, extensions.built_on, extensions.confirm_request, extensions.comment
            )

    def subscribe(
        self, requests: Iterator[Message], context: grpc.ServicerContext
    ) -> Iterator[Message]:
        """Yields notifications until the call ends; at most `max_subscribers` may be open."""
        self._authorize(context, Role.READ)
        with self._streams_lock:
            if self._open_streams >= self._config.max_subscribers:
                context.abort(
                    grpc.StatusCode.RESOURCE_EXHAUSTED,
                    f"{self._open_streams} streams are open; no more are taken",
                )
            self._open_streams += 1
        try:
            first = next(requests, None)
            if first is None or first.WhichOneof("request") != "subscribe":
                raise PathError("the first message of a stream is to subscribe")
            call = SubscribeCall(
                self._management, first.subscribe, context, self._config.max_queued_updates
            )
            yield from call.responses(requests)
        finally:
            with self._streams_lock:
                self._open_streams -= 1

    def _authorize(self, context: grpc.ServicerContext, required: Role) -> str:
        """Returns the caller's name; ends the call if its role is too low."""
        names = _names_in_certificate(context)
        role = self._config.authorization.role_of(names)
        if role < required:
            caller = names[0] if names else "a caller without a certificate"
            allowed = role.name.lower() if role else "do nothing"
            context.abort(
                grpc.StatusCode.PERMISSION_DENIED,
                f"{caller} may {allowed}; {required.name.lower()} is wanted",
            )
        return names[0] if names else context.peer()


def _names_in_certificate(context: grpc.ServicerContext) -> list[str]:
    """Returns common name and alternative names of the caller; none without a certificate."""
    properties = context.auth_context()
    names = [
        *properties.get("x509_common_name", ()),
        *properties.get("x509_subject_alternative_name", ()),
    ]
    return [name.decode(errors="replace") for name in names]


def _edits_of(request: Message) -> list[Edit]:
    """Returns the edits of a SetRequest in the order of the specification (section 3.4.3)."""
    edits = [
        Edit(EditOperation.DELETE, path_from_message(message, request.prefix))
        for message in request.delete
    ]
    for operation, updates in (
        (EditOperation.REPLACE, request.replace),
        (EditOperation.UPDATE, request.update),
    ):
        for update in updates:
            path = path_from_message(update.path, request.prefix)
            edits.append(Edit(operation, path, value_from_message(update.val)))
    return edits


def _role_for_set(edits: list[Edit], extensions: SetExtensions) -> Role:
    if extensions.rollback_version is not None:
        return Role.CONFIGURE
    if edits:
        return required_role([edit.path for edit in edits])
    return Role.DRAIN  # confirms or cancels


@contextmanager
def _status_of_errors(context: grpc.ServicerContext) -> Iterator[None]:
    """Ends the call with the status that belongs to a RequestError."""
    try:
        yield
    except RequestError as error:
        context.abort(STATUS_CODES[error.code], str(error))


def _unary_handler(
    name: str, method: Callable[[Message, grpc.ServicerContext], Message]
) -> grpc.RpcMethodHandler:
    def call(request: Message, context: grpc.ServicerContext) -> Message:
        with _status_of_errors(context):
            return method(request, context)

    request_class, response_class = gnmi.METHODS[name]
    return grpc.unary_unary_rpc_method_handler(
        call, request_class.FromString, response_class.SerializeToString
    )


def _stream_handler(
    name: str, method: Callable[[Iterator[Message], grpc.ServicerContext], Iterator[Message]]
) -> grpc.RpcMethodHandler:
    def call(requests: Iterator[Message], context: grpc.ServicerContext) -> Iterator[Message]:
        with _status_of_errors(context):
            yield from method(requests, context)

    request_class, response_class = gnmi.METHODS[name]
    return grpc.stream_stream_rpc_method_handler(
        call, request_class.FromString, response_class.SerializeToString
    )


class GnmiServer:
    """The listening server.

    Attributes:
        management: The service that answers; stopped with the server.
        port: The port that it listens on.
    """

    def __init__(
        self, config: ManagementConfig, management: ManagementService, log: StructuredLog
    ) -> None:
        """Binds the address.

        Raises:
            RuntimeError: If it cannot listen there.
            OSError: If a certificate cannot be read.
        """
        self.management = management
        self._worker_count = config.max_subscribers + config.max_concurrent_calls
        self._pool = futures.ThreadPoolExecutor(self._worker_count, thread_name_prefix="gnmi")
        self._server = grpc.server(
            self._pool,
            maximum_concurrent_rpcs=self._worker_count,
            options=[
                ("grpc.max_receive_message_length", config.max_message_kb * 1024),
                ("grpc.max_send_message_length", -1),
                ("grpc.so_reuseport", 0),
            ],
        )
        self._server.add_generic_rpc_handlers((GnmiServicer(config, management).handlers(),))
        if config.has_tls:
            credentials = ServerCertificates(config, log).credentials()
            self.port = self._server.add_secure_port(config.listen, credentials)
        else:
            self.port = self._server.add_insecure_port(config.listen)
        if not self.port:
            raise RuntimeError(f"management: cannot listen on {config.listen}")

    def start(self) -> None:
        """Starts the pool's threads, with a stack that the model's checks fit into, and listens."""
        previous_size = threading.stack_size(STACK_BYTES)
        try:
            # Each worker waits at the barrier, so that the pool has to make all of them now
            barrier = threading.Barrier(self._worker_count + 1)
            for _ in range(self._worker_count):
                self._pool.submit(barrier.wait)
            barrier.wait(POOL_START_TIMEOUT_S)
        finally:
            threading.stack_size(previous_size)
        self._server.start()

    def stop(self) -> None:
        """Ends management and all calls; waits a little for those that are open."""
        self.management.stop()
        self._server.stop(STOP_TIMEOUT_S).wait(STOP_TIMEOUT_S + STOP_MARGIN_S)
