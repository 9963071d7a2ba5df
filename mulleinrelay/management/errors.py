"""Errors of management requests, with codes that the gNMI server maps to gRPC statuses."""

from enum import StrEnum

from ..errors import MulleinrelayError


class ErrorCode(StrEnum):
    """The reasons why a request is rejected or fails."""

    INVALID = "invalid"
    """The request, or the configuration that it would result in, is not valid."""
    STALE = "stale"
    """The change is based on another version than the one that is running."""
    BUSY = "busy"
    """A confirmed commit is still pending, so no other confirmed commit can be made."""
    FAILED = "failed"
    """The change is valid, but this director could not apply or store it."""
    NOT_FOUND = "not found"
    """The path names a node that the model or the tree does not have."""
    UNIMPLEMENTED = "unimplemented"
    """The protocol defines the feature, but this server does not support it."""


class RequestError(MulleinrelayError):
    """Error for a management request that was rejected or failed.

    Attributes:
        code: Reason for the rejection or failure.
    """

    def __init__(self, message: str, code: ErrorCode = ErrorCode.INVALID) -> None:
        """Create the error; `message` is the text that is sent to the client."""
        super().__init__(message)
        self.code = code


class PathError(RequestError):
    """Error for a part of a request that is not valid, not supported or does not fit the model.

    Most often the part is a path or a value; it may also be an encoding or an extension.
    """


class CommitRejectedError(RequestError):
    """Error for a commit, confirmation or rollback that was rejected or failed.

    The running configuration is unchanged.
    """
