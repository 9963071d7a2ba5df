"""Errors of a management request, each with a code that the gNMI server turns into a status."""

from enum import StrEnum

from ..errors import MulleinrelayError


class ErrorCode(StrEnum):
    """Why a request is rejected."""

    INVALID = "invalid"
    """The request, or the configuration that it asks for, is not valid."""
    STALE = "stale"
    """The change is based on a version that is no longer the running one."""
    BUSY = "busy"
    """A confirmed commit is still waiting for its confirmation."""
    FAILED = "failed"
    """The change is valid, but this director could not apply or store it."""
    NOT_FOUND = "not found"
    """The path names a node that the model or the tree does not have."""
    UNIMPLEMENTED = "unimplemented"
    """The protocol has it, this server does not."""


class RequestError(MulleinrelayError):
    """A management request that is not carried out.

    Attributes:
        code: The reason's kind.
    """

    def __init__(self, message: str, code: ErrorCode = ErrorCode.INVALID) -> None:
        """Builds the error from the text that the client sees and the kind of the reason."""
        super().__init__(message)
        self.code = code


class PathError(RequestError):
    """A path, or the value for it, that cannot be parsed or does not fit the model."""


class CommitRejectedError(RequestError):
    """A commit that is not made; the running configuration stays as it was."""
