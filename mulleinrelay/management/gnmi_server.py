"""gNMI on grpcio: Capabilities, Get, Set, Subscribe, through a Manager."""

import json
import os
import threading
import time
from collections.abc import Callable, Iterator
from concurrent import futures
from typing import Any

import grpc

from ..structured_log import StructuredLog
from . import gnmi_messages as gnmi
from . import paths
from .authorization import Role, wanted
from .config import ManagementConfig
from .datastore import RefusedError
from .paths import Path, PathError
from .service import Edit, ManagementService
from .yang_model import NAME, REVISION

STACK = 1_048_576  # bytes: the model's checks nest deeper than what serves requests
SAMPLE_LEAST = 1.0  # s
STOP_WITHIN = 1.0
CODES = {
    "invalid": grpc.StatusCode.INVALID_ARGUMENT,
    "stale": grpc.StatusCode.ABORTED,
    "busy": grpc.StatusCode.FAILED_PRECONDITION,
    "failed": grpc.StatusCode.INTERNAL,
    "not found": grpc.StatusCode.NOT_FOUND,
}
KINDS = {gnmi.ALL: "all", gnmi.CONFIG: "config", gnmi.STATE: "state", gnmi.OPERATIONAL: "state"}
ENCODINGS = (gnmi.JSON, gnmi.JSON_IETF)


def path_of(message: Any, prefix: Any = None) -> Path:
    """Raises PathError."""
    steps = []
    for part in (prefix, message):
        if part is None:
            continue
        if part.origin not in ("", NAME, "rfc7951"):
            raise PathError(f"origin {part.origin!r}: only {NAME} is known here")
        if part.element:
            raise PathError("the field element is of an old form; elem is wanted")
        steps += [(elem.name, tuple(sorted(elem.key.items()))) for elem in part.elem]
    return paths.checked(tuple(steps))


def path_message(path: Path) -> Any:
    return gnmi.PathMessage(elem=[gnmi.PathElem(name=name, key=dict(keys)) for name, keys in path])


def value_of(message: Any) -> Any:
    """The JSON value of a TypedValue; raises PathError."""
    kind = message.WhichOneof("value")
    if kind in ("json_ietf_val", "json_val"):
        try:
            return json.loads(getattr(message, kind))
        except (ValueError, RecursionError):
            raise PathError("a value that is no JSON") from None
    if kind in ("string_val", "ascii_val", "bool_val", "int_val", "uint_val"):
        return getattr(message, kind)
    if kind in ("double_val", "float_val"):
        return repr(getattr(message, kind))
    if kind == "decimal_val":
        held = message.decimal_val
        if held.precision > 18:
            raise PathError("a decimal of more than 18 digits after the point")
        sign, digits = (
            "-" if held.digits < 0 else "",
            str(abs(held.digits)).rjust(held.precision + 1, "0"),
        )
        return f"{sign}{digits[: len(digits) - held.precision]}.{digits[len(digits) - held.precision :] or '0'}"
    if kind == "leaflist_val":
        return [value_of(one) for one in message.leaflist_val.element]
    raise PathError(f"a value of the kind {kind or 'none'} can't be taken")


def typed(value: Any, encoding: int, qualify: bool = False) -> Any:
    if qualify and isinstance(value, dict) and encoding == gnmi.JSON_IETF:
        value = {f"{NAME}:{name}": held for name, held in value.items()}
    data = json.dumps(value, separators=(",", ":")).encode()
    return (
        gnmi.TypedValue(json_ietf_val=data)
        if encoding == gnmi.JSON_IETF
        else gnmi.TypedValue(json_val=data)
    )


class GnmiServer:
    """Raises RuntimeError where it can't listen, OSError where a certificate can't be read."""

    def __init__(
        self, own: ManagementConfig, manager: ManagementService, log: StructuredLog
    ) -> None:
        self.own, self.manager, self.log = own, manager, log
        self.streams, self.lock = 0, threading.Lock()
        workers = own.subscribers_most + own.calls_most
        self.pool = futures.ThreadPoolExecutor(workers, thread_name_prefix="gnmi")
        size = own.message_kb * 1024
        self.server = grpc.server(
            self.pool,
            maximum_concurrent_rpcs=workers,
            options=[
                ("grpc.max_receive_message_length", size),
                ("grpc.max_send_message_length", -1),
                ("grpc.so_reuseport", 0),
            ],
        )
        self.server.add_generic_rpc_handlers(
            (
                grpc.method_handlers_generic_handler(
                    "gnmi.gNMI",
                    {
                        name: _handler(
                            getattr(self, name.lower()), *gnmi.METHODS[name], name == "Subscribe"
                        )
                        for name in gnmi.METHODS
                    },
                ),
            )
        )
        if own.certificate:
            self.seen = self._stamps()
            self.port = self.server.add_secure_port(
                own.listen,
                grpc.dynamic_ssl_server_credentials(
                    self._certificates(), self._renewed, require_client_authentication=True
                ),
            )
        else:
            self.port = self.server.add_insecure_port(own.listen)
        if not self.port:
            raise RuntimeError(f"management: cannot listen on {own.listen}")

    def start(self) -> None:
        before = threading.stack_size(STACK)
        try:  # the pool's threads are made here, with room for the model's checks
            gate = threading.Barrier(self.own.subscribers_most + self.own.calls_most + 1)
            for _ in range(gate.parties - 1):
                self.pool.submit(gate.wait)
            gate.wait(10.0)
        finally:
            threading.stack_size(before)
        self.server.start()

    def stop(self) -> None:
        self.manager.stop()
        self.server.stop(STOP_WITHIN).wait(STOP_WITHIN + 0.5)

    # Certificates

    def _stamps(self) -> list[tuple[int, int]]:
        held = [os.stat(path) for path in (self.own.certificate, self.own.key, self.own.clients_ca)]
        return [(one.st_ino, one.st_mtime_ns) for one in held]

    def _certificates(self) -> Any:
        found = []
        for path in (self.own.key, self.own.certificate, self.own.clients_ca):
            with open(path, "rb") as file:
                found.append(file.read())
        return grpc.ssl_server_certificate_configuration(
            [(found[0], found[1])], root_certificates=found[2]
        )

    def _renewed(self) -> Any:
        """Called at each handshake: the files, read again where they have changed; None: the old
        ones hold.
        """
        try:
            if (stamps := self._stamps()) == self.seen:
                return None
            made = self._certificates()
        except (OSError, ValueError) as wrong:
            self.log.event("management", text=f"certificates kept: {wrong}")
            return None
        self.seen = stamps
        self.log.event("management", text="certificates read again")
        return made

    # Who calls

    def _names(self, context: Any) -> list[str]:
        held = context.auth_context()
        found = [*held.get("x509_common_name", ()), *held.get("x509_subject_alternative_name", ())]
        return [name.decode(errors="replace") for name in found]

    def _allow(self, context: Any, role: Role) -> str:
        """Gives the caller's name; ends the call where its role is too low."""
        names = self._names(context)
        has = self.own.rights.role(names)
        if has < role:
            who = names[0] if names else "a caller without a certificate"
            context.abort(
                grpc.StatusCode.PERMISSION_DENIED,
                f"{who} may {has.name.lower() if has else 'do nothing'}; {role.name.lower()} is wanted",
            )
        return names[0] if names else context.peer()

    # Calls

    def capabilities(self, asked: Any, context: Any) -> Any:
        self._allow(context, Role.READ)
        return gnmi.CapabilityResponse(
            supported_models=[
                gnmi.ModelData(name=NAME, organization="mulleinrelay", version=REVISION)
            ],
            supported_encodings=list(ENCODINGS),
            gNMI_version=gnmi.VERSION,
        )

    def get(self, asked: Any, context: Any) -> Any:
        self._allow(context, Role.READ)
        encoding = self._encoding(asked.encoding)
        told = gnmi.GetResponse()
        for message in asked.path or [gnmi.PathMessage()]:
            note = told.notification.add(timestamp=time.time_ns())
            if asked.HasField("prefix"):
                note.prefix.target = asked.prefix.target
            for path, value in self.manager.get(
                [path_of(message, asked.prefix)], KINDS.get(asked.type, "all")
            ):
                note.update.add(path=path_message(path), val=typed(value, encoding, True))
        return told

    def set(self, asked: Any, context: Any) -> Any:
        edits, results = [], []
        for what, held in (
            ("delete", asked.delete),
            ("replace", asked.replace),
            ("update", asked.update),
        ):
            for one in held:
                path = path_of(one if what == "delete" else one.path, asked.prefix)
                edits.append(Edit(what, path, None if what == "delete" else value_of(one.val)))
                results.append(
                    (
                        path,
                        {"delete": gnmi.DELETE, "replace": gnmi.REPLACE, "update": gnmi.UPDATE}[
                            what
                        ],
                    )
                )
        if asked.union_replace:
            raise PathError("union_replace: there is one origin here; use replace", "unimplemented")
        extra = Extra(asked.extension)
        by = self._allow(
            context,
            Role.CONFIGURE
            if extra.rollback is not None
            else wanted([edit.path for edit in edits])
            if edits
            else Role.DRAIN,
        )
        if extra.confirm:
            self.manager.confirm(extra.name)
        elif extra.cancel:
            self.manager.cancel(extra.name, by)
        elif extra.rollback is not None:
            self.manager.rollback(extra.rollback, by, extra.built_on)
        else:
            limit = (extra.name, extra.within) if extra.within is not None else None
            self.manager.set(edits, by, extra.built_on, limit, extra.why)
        stamp = time.time_ns()
        told = gnmi.SetResponse(
            timestamp=stamp,
            response=[gnmi.UpdateResult(path=path_message(path), op=op) for path, op in results],
        )
        version = told.extension.add().registered_ext
        version.id = gnmi.EXPERIMENTAL
        version.msg = json.dumps({"version": self.manager.store.running.number}).encode()
        return told

    def _encoding(self, asked: int) -> int:
        if asked not in ENCODINGS:
            raise PathError("encodings here are JSON and JSON_IETF", "unimplemented")
        return asked

    # Streams

    def subscribe(self, asked: Iterator[Any], context: Any) -> Iterator[Any]:
        self._allow(context, Role.READ)
        with self.lock:
            if self.streams >= self.own.subscribers_most:
                context.abort(
                    grpc.StatusCode.RESOURCE_EXHAUSTED,
                    f"{self.streams} streams are open; no more are taken",
                )
            self.streams += 1
        try:
            first = next(asked, None)
            if first is None or first.WhichOneof("request") != "subscribe":
                raise PathError("the first message of a stream is to subscribe")
            yield from self._subscribed(first.subscribe, asked, context)
        finally:
            with self.lock:
                self.streams -= 1

    def _subscribed(self, held: Any, asked: Iterator[Any], context: Any) -> Iterator[Any]:
        encoding = self._encoding(held.encoding)
        wanted_paths = [path_of(one.path, held.prefix) for one in held.subscription]
        if not wanted_paths:
            raise PathError("a subscription wants a path")
        if held.mode == gnmi.STREAM:
            yield from self._stream(held, wanted_paths, encoding, context)
            return
        if held.mode == gnmi.ONCE:
            yield from self._whole(wanted_paths, encoding, held.updates_only)
            return
        for one in asked:
            if one.WhichOneof("request") != "poll":
                raise PathError("a poll is wanted")
            yield from self._whole(wanted_paths, encoding, held.updates_only)

    def _whole(self, wanted_paths: list[Path], encoding: int, updates_only: bool) -> Iterator[Any]:
        if not updates_only:
            yield from self._values(wanted_paths, encoding)
        yield gnmi.SubscribeResponse(sync_response=True)

    def _values(self, wanted_paths: list[Path], encoding: int) -> Iterator[Any]:
        for path, value in self.manager.get(wanted_paths, "all"):
            found = (
                list(
                    paths.leaves(
                        self.manager.shape.at(path) if path else self.manager.shape, value, path
                    )
                )
                if isinstance(value, dict | list)
                else [(path, value)]
            )
            for start in range(0, len(found), 500):
                yield _note(found[start : start + 500], [], encoding)

    def _stream(
        self, held: Any, wanted_paths: list[Path], encoding: int, context: Any
    ) -> Iterator[Any]:
        for path in wanted_paths:  # a stream on a node that the model hasn't would wait for ever
            if not any(name in ("*", "...") for name, _ in path):
                self.manager.shape.at(path)
        watcher = self.manager.watch(wanted_paths, self.own.queue_most)
        context.add_callback(watcher.end)
        samples = [
            [max(SAMPLE_LEAST, one.sample_interval / 1e9), 0.0, path]
            for one, path in zip(held.subscription, wanted_paths, strict=True)
            if one.mode == gnmi.SAMPLE
        ]
        beats = [
            [one.heartbeat_interval / 1e9, 0.0, path]
            for one, path in zip(held.subscription, wanted_paths, strict=True)
            if one.mode != gnmi.SAMPLE and one.heartbeat_interval
        ]
        on_change = [
            path
            for one, path in zip(held.subscription, wanted_paths, strict=True)
            if one.mode != gnmi.SAMPLE
        ]
        try:
            try:
                yield from self._whole(wanted_paths, encoding, held.updates_only)
            except PathError as wrong:
                if wrong.code != "not found":
                    raise
                yield gnmi.SubscribeResponse(sync_response=True)
            began = time.monotonic()
            for each in (*samples, *beats):
                each[1] = began + each[0]
            while context.is_active() and not watcher.ended:
                soonest = min(
                    (each[1] for each in (*samples, *beats)), default=time.monotonic() + 1.0
                )
                for changed, gone in watcher.take(max(0.01, min(1.0, soonest - time.monotonic()))):
                    yield from _matching(changed, gone, on_change, encoding)
                if watcher.lost:
                    context.abort(
                        grpc.StatusCode.RESOURCE_EXHAUSTED,
                        f"{watcher.lost} changes were lost: this client takes them too slowly",
                    )
                now = time.monotonic()
                for each in (*samples, *beats):
                    if now >= each[1]:
                        each[1] = now + each[0]
                        try:
                            yield from self._values([each[2]], encoding)
                        except PathError:
                            continue  # it has gone meanwhile
        finally:
            self.manager.unwatch(watcher)


class Extra:
    """What extensions of a Set ask for."""

    def __init__(self, extensions: Any) -> None:
        self.name, self.within, self.why = "", None, ""
        self.confirm = self.cancel = False
        self.built_on = self.rollback = None
        for one in extensions:
            if one.WhichOneof("ext") == "commit":
                self.name, action = one.commit.id, one.commit.WhichOneof("action")
                if not self.name:
                    raise PathError("a commit wants an id")
                self.confirm, self.cancel = action == "confirm", action == "cancel"
                if action == "commit":
                    span = one.commit.commit.rollback_duration
                    self.within = span.seconds * 1000.0 + span.nanos / 1e6
            elif (
                one.WhichOneof("ext") == "registered_ext"
                and one.registered_ext.id == gnmi.EXPERIMENTAL
            ):
                self._ours(one.registered_ext.msg)

    def _ours(self, text: bytes) -> None:
        try:
            held = json.loads(text)
            self.built_on = int(held["built_on"]) if "built_on" in held else None
            self.rollback = int(held["rollback"]) if "rollback" in held else None
            self.why = str(held.get("why", ""))[:256]
        except (ValueError, TypeError, AttributeError, KeyError):
            raise PathError(
                "the extension wants an object with built_on, rollback or why"
            ) from None


def _note(found: list[tuple[Path, Any]], gone: list[Path], encoding: int) -> Any:
    note = gnmi.Notification(timestamp=time.time_ns())
    for path, value in found:
        note.update.add(path=path_message(path), val=typed(value, encoding))
    note.delete.extend(path_message(path) for path in gone)
    return gnmi.SubscribeResponse(update=note)


def _matching(
    changed: list[tuple[Path, Any]], gone: list[Path], wanted_paths: list[Path], encoding: int
) -> Iterator[Any]:
    found = [
        (path, value) for path, value in changed if any(covers(one, path) for one in wanted_paths)
    ]
    left = [path for path in gone if any(covers(one, path) for one in wanted_paths)]
    for start in range(0, max(len(found), 1 if left else 0), 500):
        yield _note(found[start : start + 500], left if start == 0 else [], encoding)


def covers(wanted_path: Path, path: Path) -> bool:
    """Whether a path lies at or below one with wildcards."""
    if not wanted_path:
        return True
    (name, keys), rest = wanted_path[0], wanted_path[1:]
    if name == "...":
        return any(covers(rest, path[place:]) for place in range(len(path) + 1))
    if not path or (name not in ("*", path[0][0])):
        return False
    held = dict(path[0][1])
    return all(value == "*" or held.get(key) == value for key, value in keys) and covers(
        rest, path[1:]
    )


def _handler(method: Callable[..., Any], asked: Any, told: Any, streams: bool) -> Any:
    def unary(message: Any, context: Any) -> Any:
        with _Faults(context):
            return method(message, context)

    def stream(message: Any, context: Any) -> Iterator[Any]:
        with _Faults(context):
            yield from method(message, context)

    if streams:
        return grpc.stream_stream_rpc_method_handler(
            stream, asked.FromString, told.SerializeToString
        )
    return grpc.unary_unary_rpc_method_handler(unary, asked.FromString, told.SerializeToString)


class _Faults:
    """Turns what is wrong with a call into its status."""

    def __init__(self, context: Any) -> None:
        self.context = context

    def __enter__(self) -> None:
        """Nothing to begin."""

    def __exit__(self, kind: Any, wrong: Any, trace: Any) -> None:
        if isinstance(wrong, PathError | RefusedError):
            code = (
                grpc.StatusCode.UNIMPLEMENTED
                if wrong.code == "unimplemented"
                else CODES[wrong.code]
            )
            self.context.abort(code, str(wrong))


def build(
    own: ManagementConfig,
    start: Any,
    facade: Any,
    warden: Any,
    clock: Callable[[], float],
    log: StructuredLog,
) -> GnmiServer:
    """All of management for one director; raises KeepError, OSError."""
    from ..cells.hashing import caches_by_cell
    from .datastore_file import DatastoreFile
    from .participants import AssignmentParticipant, DrainParticipant, StateView
    from .yang_model import Model

    def cells(caches: list[str]) -> dict[str, list[str]]:
        return caches_by_cell(warden.controller.assignment, caches) if warden is not None else {}

    drains, assignment = DrainParticipant(facade, cells), AssignmentParticipant(warden, clock)
    manager = ManagementService(
        facade,
        log,
        DatastoreFile(own.state_dir),
        Model(),
        drains,
        assignment,
        StateView(start, facade, warden, drains),
        clock,
    )
    return GnmiServer(own, manager, log)
