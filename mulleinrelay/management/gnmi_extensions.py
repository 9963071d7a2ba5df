"""The extensions of a gNMI Set that this server knows.

These are gNMI's commit extension (confirmed commits) and, as a registered extension with the
experimental id, a JSON object with any of `built_on`, `rollback` and `why`. Pure.
"""

import json
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from . import gnmi_messages as gnmi
from .datastore import ConfirmRequest
from .errors import PathError

MAX_COMMENT_LENGTH = 256  # characters; the history keeps up to 50 of them


@dataclass(slots=True)
class SetExtensions:
    """What the extensions of a Set ask for.

    Attributes:
        commit_id: The client's name for a confirmed commit.
        confirm_timeout: Milliseconds within which it must be confirmed; None: no confirmed commit.
        is_confirmation: Whether the Set keeps the confirmed commit.
        is_cancellation: Whether the Set rolls it back.
        built_on: Version that the client has seen; None: any.
        rollback_version: Version to return to; None: no rollback.
        comment: For the history.
    """

    commit_id: str = ""
    confirm_timeout: float | None = None
    is_confirmation: bool = False
    is_cancellation: bool = False
    built_on: int | None = None
    rollback_version: int | None = None
    comment: str = ""

    @property
    def confirm_request(self) -> ConfirmRequest | None:
        """What the datastore is asked for; None if the commit needs no confirmation."""
        if self.confirm_timeout is None:
            return None
        return ConfirmRequest(self.commit_id, self.confirm_timeout)


def parse_set_extensions(messages: Iterable[Any]) -> SetExtensions:
    """Reads the extensions of a Set; those that it does not know are ignored.

    Raises:
        PathError: If one of them cannot be read.
    """
    extensions = SetExtensions()
    for message in messages:
        kind = message.WhichOneof("ext")
        if kind == "commit":
            _read_commit(extensions, message.commit)
        elif kind == "registered_ext" and _is_experimental(message.registered_ext):
            _read_object(extensions, message.registered_ext.msg)
    return extensions


def _is_experimental(message: Any) -> bool:
    return bool(message.id == gnmi.EXPERIMENTAL_EXTENSION_ID)


def _read_commit(extensions: SetExtensions, message: Any) -> None:
    action = message.WhichOneof("action")
    if not message.id:
        raise PathError("a commit wants an id")
    extensions.commit_id = message.id
    extensions.is_confirmation = action == "confirm"
    extensions.is_cancellation = action == "cancel"
    if action == "commit":
        duration = message.commit.rollback_duration
        extensions.confirm_timeout = duration.seconds * 1000.0 + duration.nanos / 1e6


def _read_object(extensions: SetExtensions, text: bytes) -> None:
    try:
        values = json.loads(text)
        extensions.built_on = int(values["built_on"]) if "built_on" in values else None
        extensions.rollback_version = int(values["rollback"]) if "rollback" in values else None
        extensions.comment = str(values.get("why", ""))[:MAX_COMMENT_LENGTH]
    except (ValueError, TypeError, AttributeError, KeyError) as error:
        raise PathError("the extension wants an object with built_on, rollback or why") from error
