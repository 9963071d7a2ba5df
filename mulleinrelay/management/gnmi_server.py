"""The gNMI server, based on grpcio, with Capabilities, Get, Set and Subscribe."""

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
    path_from_message,
    path_to_message,
    require_supported_encoding,
    value_from_message,
    value_to_message,
)
from .gnmi_extensions import SetExtensions, parse_set_extensions
from .gnmi_subscriptions import SubscribeCall
from .schema import MODULE_NAME, MODULE_REVISION
from .service import DataKind, ManagementService

SERVICE_NAME = "gnmi.gNMI"
WORKER_STACK_BYTES = 1_048_576  # more than other threads have, as validation recurses deeply
POOL_START_TIMEOUT_S = 10.0
STOP_TIMEOUT_S = 1.0  # time for open calls to end when the server stops
STOP_MARGIN_S = 0.5  # for which `stop` waits in addition to STOP_TIMEOUT_S
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
    """Handlers of gNMI calls. Thread-safe, as gRPC calls them in several threads at a time."""

    def __init__(self, config: ManagementConfig, management: ManagementService) -> None:
        """Store the settings (limits and roles) and the service that executes the calls."""
        self._config = config
        self._management = management
        self._streams_lock = threading.Lock()  # guards _open_streams
        self._open_streams = 0

    def handlers(self) -> grpc.GenericRpcHandler:
        """Return the handlers of all methods for registration at a gRPC server."""
        unary = {"Capabilities": self.capabilities, "Get": self.get, "Set": self.set}
        handlers = {name: _unary_handler(name, method) for name, method in unary.items()}
        handlers["Subscribe"] = _stream_handler("Subscribe", self.subscribe)
        return grpc.method_handlers_generic_handler(SERVICE_NAME, handlers)

    def capabilities(self, request: Message, context: grpc.ServicerContext) -> Message:
        """Return the supported model and encodings and the version of gNMI."""
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
        """Return a notification for each path or, without paths, one for the whole tree."""
        self._authorize(context, Role.READ)
        encoding = require_supported_encoding(request.encoding)
        kind = DATA_KINDS.get(request.type, DataKind.ALL)
        response = gnmi.GetResponse()
        for message in request.path or [gnmi.PathMessage()]:
            notification = response.notification.add(timestamp=time.time_ns())
            if request.HasField("prefix"):
                notification.prefix.target = request.prefix.target
            requested_path = path_from_message(message, request.prefix)
            for path, value in self._management.read([requested_path], kind):
                notification.update.add(
                    path=path_to_message(path), val=value_to_message(value, encoding, True)
                )
        return response

    def set(self, request: Message, context: grpc.ServicerContext) -> Message:
        """Commit all edits or none; or confirm, cancel or roll back, as the extensions request.

        If the extensions request a confirmation, a cancellation or a rollback, edits in the same
        request are not applied, although the response lists them.
        """
        edits = _edits_from_request(request)
        if request.union_replace:
            raise PathError(
                "union_replace is not supported, as there is only one origin; use replace",
                ErrorCode.UNIMPLEMENTED,
            )
        extensions = parse_set_extensions(request.extension)
        author = self._authorize(context, _role_for_set(edits, extensions))
        self._execute(edits, extensions, author)
        response = gnmi.SetResponse(
            timestamp=time.time_ns(),
            response=[
                gnmi.UpdateResult(
                    path=path_to_message(edit.path), op=OPERATION_NUMBERS[edit.operation]
                )
                for edit in edits
            ],
        )
        version_extension = response.extension.add().registered_ext
        version_extension.id = gnmi.EXPERIMENTAL_EXTENSION_ID
        number = self._management.datastore.running.number
        version_extension.msg = json.dumps({"version": number}).encode()
        return response

    def _execute(self, edits: list[Edit], extensions: SetExtensions, author: str) -> None:
        if extensions.is_confirmation:
            self._management.confirm(extensions.commit_id)
        elif extensions.is_cancellation:
            self._management.cancel(extensions.commit_id, author)
        elif extensions.rollback_version is not None:
            self._management.rollback(
                extensions.rollback_version, author, extensions.expected_version
            )
        else:
            self._management.apply_edits(
                edits,
                author,
                extensions.expected_version,
                extensions.confirm_request,
                extensions.comment,
            )

    def subscribe(
        self, requests: Iterator[Message], context: grpc.ServicerContext
    ) -> Iterator[Message]:
        """Yield the responses of a Subscribe call until it ends.

        The call is aborted at once if `max_subscribers` other Subscribe calls are open.
        """
        self._authorize(context, Role.READ)
        with self._streams_lock:
            if self._open_streams >= self._config.max_subscribers:
                context.abort(
                    grpc.StatusCode.RESOURCE_EXHAUSTED,
                    f"{self._open_streams} streams are open, which is the limit",
                )
            self._open_streams += 1
        try:
            first = next(requests, None)
            if first is None or first.WhichOneof("request") != "subscribe":
                raise PathError("the first message of a stream must be a subscribe request")
            call = SubscribeCall(
                self._management, first.subscribe, context, self._config.max_queued_updates
            )
            yield from call.responses(requests)
        finally:
            with self._streams_lock:
                self._open_streams -= 1

    def _authorize(self, context: grpc.ServicerContext, required: Role) -> str:
        """Return the caller's name; abort the call if the caller's role is insufficient.

        The name is the first one in the caller's certificate or, if there is none, the address from
        which the caller is connected.
        """
        names = _certificate_names(context)
        role = self._config.authorization.role_of(names)
        if role < required:
            caller = names[0] if names else "a caller without a certificate"
            allowed = role.name.lower() if role else "do nothing"
            context.abort(
                grpc.StatusCode.PERMISSION_DENIED,
                f"{caller} may {allowed}; {required.name.lower()} is required",
            )
        return names[0] if names else context.peer()


def _certificate_names(context: grpc.ServicerContext) -> list[str]:
    """Return the common name and the alternative names in the caller's certificate, if any."""
    properties = context.auth_context()
    names = [
        *properties.get("x509_common_name", ()),
        *properties.get("x509_subject_alternative_name", ()),
    ]
    return [name.decode(errors="replace") for name in names]


def _edits_from_request(request: Message) -> list[Edit]:
    """Return the edits of a SetRequest in the order of the gNMI specification (section 3.4.3)."""
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
    return Role.DRAIN  # without edits the request is most often a confirmation or a cancellation


@contextmanager
def _abort_on_request_error(context: grpc.ServicerContext) -> Iterator[None]:
    """Abort the call with the matching gRPC status if a RequestError is raised."""
    try:
        yield
    except RequestError as error:
        context.abort(STATUS_CODES[error.code], str(error))


def _unary_handler(
    name: str, method: Callable[[Message, grpc.ServicerContext], Message]
) -> grpc.RpcMethodHandler:
    def call(request: Message, context: grpc.ServicerContext) -> Message:
        with _abort_on_request_error(context):
            return method(request, context)

    request_class, response_class = gnmi.METHODS[name]
    return grpc.unary_unary_rpc_method_handler(
        call, request_class.FromString, response_class.SerializeToString
    )


def _stream_handler(
    name: str, method: Callable[[Iterator[Message], grpc.ServicerContext], Iterator[Message]]
) -> grpc.RpcMethodHandler:
    def call(requests: Iterator[Message], context: grpc.ServicerContext) -> Iterator[Message]:
        with _abort_on_request_error(context):
            yield from method(requests, context)

    request_class, response_class = gnmi.METHODS[name]
    return grpc.stream_stream_rpc_method_handler(
        call, request_class.FromString, response_class.SerializeToString
    )


class GnmiServer:
    """The gNMI server of a director.

    Attributes:
        management: The service that executes the calls; it is stopped with the server.
        port: The port that the server listens on.
    """

    def __init__(
        self, config: ManagementConfig, management: ManagementService, log: StructuredLog
    ) -> None:
        """Create the server and bind its address.

        Raises:
            RuntimeError: If the server cannot listen on its address.
            OSError: If a certificate or key cannot be read.
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
        """Start the worker threads, with a stack large enough for validation, and serve calls."""
        previous_size = threading.stack_size(WORKER_STACK_BYTES)
        try:
            # The stack size applies to threads that are started before it is reset below. Each
            # worker waits at the barrier, so that the pool must start all workers here.
            barrier = threading.Barrier(self._worker_count + 1)
            for _ in range(self._worker_count):
                self._pool.submit(barrier.wait)
            barrier.wait(POOL_START_TIMEOUT_S)
        finally:
            threading.stack_size(previous_size)
        self._server.start()

    def stop(self) -> None:
        """Stop management and the server; wait for a short time for open calls to end."""
        self.management.stop()
        self._server.stop(STOP_TIMEOUT_S).wait(STOP_TIMEOUT_S + STOP_MARGIN_S)
