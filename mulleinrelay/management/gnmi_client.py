"""A gNMI client for the command line: one target, or several in turn with a result for each."""

import json
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

import grpc

from . import gnmi_messages as gnmi
from . import paths
from .paths import Path


@dataclass(slots=True, frozen=True)
class Access:
    """How targets are reached; without a certificate, in the clear."""

    ca: str = ""
    certificate: str = ""
    key: str = ""
    name: str = ""  # that the target's certificate bears, where that isn't its address
    seconds: float = 10.0


class CallError(Exception):
    """A call that a target has not done; `code` is gRPC's word."""

    def __init__(self, text: str, code: str) -> None:
        super().__init__(text)
        self.code = code


class GnmiTarget:
    def __init__(self, address: str, access: Access) -> None:
        """Raises OSError where a certificate can't be read."""
        self.address, self.access = address, access
        options = [("grpc.max_receive_message_length", -1)]
        if access.certificate:
            held = []
            for path in (access.ca, access.key, access.certificate):
                with open(path, "rb") as file:
                    held.append(file.read())
            if access.name:
                options.append(("grpc.ssl_target_name_override", access.name))
            self.channel = grpc.secure_channel(
                address, grpc.ssl_channel_credentials(*held), options
            )
        else:
            self.channel = grpc.insecure_channel(address, options)

    def _call(self, name: str) -> Callable[..., Any]:
        asked, told = gnmi.METHODS[name]
        make = self.channel.stream_stream if name == "Subscribe" else self.channel.unary_unary
        return make(
            f"/gnmi.gNMI/{name}",
            request_serializer=asked.SerializeToString,
            response_deserializer=told.FromString,
        )

    def _do(self, name: str, message: Any) -> Any:
        try:
            return self._call(name)(message, timeout=self.access.seconds)
        except grpc.RpcError as wrong:
            raise CallError(wrong.details() or "", wrong.code().name) from None

    def get(self, path: Path, kind: int = gnmi.ALL) -> list[tuple[Path, Any]]:
        told = self._do(
            "Get", gnmi.GetRequest(path=[_message(path)], type=kind, encoding=gnmi.JSON_IETF)
        )
        return [
            (_path(update.path), paths.bare(json.loads(update.val.json_ietf_val)))
            for note in told.notification
            for update in note.update
        ]

    def set(
        self,
        deletes: list[Path] = (),
        updates: list[tuple[Path, Any]] = (),
        replaces: list[tuple[Path, Any]] = (),
        within: float | None = None,
        name: str = "",
        extra: dict[str, Any] | None = None,
    ) -> int:
        """Gives the version that runs now."""
        asked = gnmi.SetRequest(
            delete=[_message(path) for path in deletes],
            replace=[
                gnmi.Update(path=_message(path), val=_value(value)) for path, value in replaces
            ],
            update=[gnmi.Update(path=_message(path), val=_value(value)) for path, value in updates],
        )
        if within is not None:
            held = asked.extension.add().commit
            held.id = name
            held.commit.rollback_duration.seconds = int(within)
            held.commit.rollback_duration.nanos = int(within % 1 * 1e9)
        if extra:
            ours = asked.extension.add().registered_ext
            ours.id, ours.msg = gnmi.EXPERIMENTAL, json.dumps(extra).encode()
        return self._version(self._do("Set", asked))

    def finish(self, name: str, keep: bool) -> int:
        """Confirms or cancels a change."""
        asked = gnmi.SetRequest()
        held = asked.extension.add().commit
        held.id = name
        (held.confirm if keep else held.cancel).SetInParent()
        return self._version(self._do("Set", asked))

    def _version(self, told: Any) -> int:
        return next(
            (
                json.loads(one.registered_ext.msg)["version"]
                for one in told.extension
                if one.WhichOneof("ext") == "registered_ext"
            ),
            0,
        )

    def watch(
        self, wanted: list[Path], updates_only: bool = False
    ) -> Iterator[tuple[str, Path | None, Any]]:
        """(`update`, path, value), (`delete`, path, None) and once (`sync`, None, None); raises
        CallError.
        """
        asked = gnmi.SubscribeRequest(
            subscribe=gnmi.SubscriptionList(
                subscription=[
                    gnmi.Subscription(path=_message(path), mode=gnmi.ON_CHANGE) for path in wanted
                ],
                mode=gnmi.STREAM,
                encoding=gnmi.JSON_IETF,
                updates_only=updates_only,
            )
        )
        try:
            for told in self._call("Subscribe")(iter([asked])):
                if told.WhichOneof("response") == "sync_response":
                    yield "sync", None, None
                for path in told.update.delete:
                    yield "delete", _path(path), None
                for update in told.update.update:
                    yield "update", _path(update.path), json.loads(update.val.json_ietf_val)
        except grpc.RpcError as wrong:
            raise CallError(wrong.details() or "", wrong.code().name) from None

    def close(self) -> None:
        self.channel.close()


def _message(path: Path) -> Any:
    return gnmi.PathMessage(elem=[gnmi.PathElem(name=name, key=dict(keys)) for name, keys in path])


def _path(message: Any) -> Path:
    return paths.checked(
        tuple((elem.name, tuple(sorted(elem.key.items()))) for elem in message.elem)
    )


def _value(value: Any) -> Any:
    return gnmi.TypedValue(json_ietf_val=json.dumps(value).encode())
