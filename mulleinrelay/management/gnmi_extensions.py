"""The extensions of a gNMI Set request that this server supports. No I/O.

The commit extension of gNMI makes, confirms and cancels confirmed commits (see `datastore`). The
server's own extension has the experimental id of registered extensions. Its content is a JSON
object with any of the members `built_on`, `rollback` and `why`.
"""

import json
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from . import gnmi_messages as gnmi
from .datastore import ConfirmRequest
from .errors import PathError

MAX_COMMENT_LENGTH = 256  # characters; the history stores a comment for each of its 50 versions


@dataclass(slots=True)
class SetExtensions:
    """The content of the extensions of a Set request.

    Attributes:
        commit_id: The client's name for a confirmed commit; empty without a commit extension.
        confirm_timeout: Milliseconds within which the client must confirm the commit; None if the
            request makes no confirmed commit.
        is_confirmation: Whether the request confirms the pending commit.
        is_cancellation: Whether the request rolls the pending commit back.
        expected_version: Number of the version that must be running; None for any.
        rollback_version: Number of the version to restore; None if the request is no rollback.
        comment: Comment for the history; empty for none.
    """

    commit_id: str = ""
    confirm_timeout: float | None = None
    is_confirmation: bool = False
    is_cancellation: bool = False
    expected_version: int | None = None
    rollback_version: int | None = None
    comment: str = ""

    @property
    def confirm_request(self) -> ConfirmRequest | None:
        """The confirmation that the commit requires; None if it requires none."""
        if self.confirm_timeout is None:
            return None
        return ConfirmRequest(self.commit_id, self.confirm_timeout)


def parse_set_extensions(messages: Iterable[Any]) -> SetExtensions:
    """Parse the extensions of a Set request; unknown extensions are ignored.

    Raises:
        PathError: If a known extension cannot be parsed, or a commit extension has no id.
    """
    extensions = SetExtensions()
    for message in messages:
        kind = message.WhichOneof("ext")
        if kind == "commit":
            _parse_commit_extension(extensions, message.commit)
        elif kind == "registered_ext" and _is_experimental(message.registered_ext):
            _parse_json_extension(extensions, message.registered_ext.msg)
    return extensions


def _is_experimental(message: Any) -> bool:
    return bool(message.id == gnmi.EXPERIMENTAL_EXTENSION_ID)


def _parse_commit_extension(extensions: SetExtensions, message: Any) -> None:
    action = message.WhichOneof("action")
    if not message.id:
        raise PathError("a commit extension must have an id")
    extensions.commit_id = message.id
    extensions.is_confirmation = action == "confirm"
    extensions.is_cancellation = action == "cancel"
    if action == "commit":
        duration = message.commit.rollback_duration
        extensions.confirm_timeout = duration.seconds * 1000.0 + duration.nanos / 1e6


def _parse_json_extension(extensions: SetExtensions, text: bytes) -> None:
    try:
        values = json.loads(text)
        extensions.expected_version = int(values["built_on"]) if "built_on" in values else None
        extensions.rollback_version = int(values["rollback"]) if "rollback" in values else None
        extensions.comment = str(values.get("why", ""))[:MAX_COMMENT_LENGTH]
    except (ValueError, TypeError, AttributeError, KeyError) as error:
        raise PathError("the extension must be an object with built_on, rollback or why") from error
