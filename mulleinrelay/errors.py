"""Exceptions of the program that callers are expected to catch.

Each exception's text describes the error for an operator and is the same everywhere it is shown
(command line, log line, gNMI status). An exception with a cause is raised `from` the cause.
"""


class MulleinrelayError(Exception):
    """Base class of all exceptions of this program."""


class ConfigError(MulleinrelayError):
    """Error for an invalid or unreadable configuration file, or for an invalid part of one.

    Attributes:
        reason: Description of the error for an operator.
        file: Path of the file, or "the file" if the parser does not know the path. Empty if
            `section`, `key` or `reason` name the place of the error, or if the caller adds the
            path.
        section: Title of the INI section; empty for JSON and for an error of the whole file.
        key: The key, or the path of keys in JSON; empty for an error of a whole section or file.
    """

    def __init__(self, reason: str, *, file: str = "", section: str = "", key: str = "") -> None:
        """Build the message from the given parts."""
        self.reason = reason
        self.file = file
        self.section = section
        self.key = key
        title = f"[{section}]" if section else ""
        location = " ".join(part for part in (file, title, key) if part)
        super().__init__(f"{location}: {reason}" if location else reason)


class ProtocolError(MulleinrelayError):
    """Error for bytes from a peer that violate the protocol."""


class StoreError(MulleinrelayError):
    """Error for a file with stored state that cannot be read or written."""
