"""Errors of the program that callers are meant to catch.

Each error says what went wrong in words for an operator; the message is the same wherever it is
shown (command line, log line, gNMI status). An error that has a cause is raised `from` it.
"""


class MulleinrelayError(Exception):
    """Base class of all errors of this program."""


class ConfigError(MulleinrelayError):
    """A configuration file, or a part of one, that cannot be used.

    Attributes:
        reason: What is wrong, in words for an operator.
        file: Path of the file; empty where the caller knows it.
        section: Title of the INI section; empty for JSON and for the file as a whole.
        key: The key, or the path of keys in JSON; empty for a whole section or file.
    """

    def __init__(self, reason: str, *, file: str = "", section: str = "", key: str = "") -> None:
        """Builds the message from the parts that are given."""
        self.reason = reason
        self.file = file
        self.section = section
        self.key = key
        title = f"[{section}]" if section else ""
        place = " ".join(part for part in (file, title, key) if part)
        super().__init__(f"{place}: {reason}" if place else reason)


class ProtocolError(MulleinrelayError):
    """Bytes from a peer that break the protocol they are read by."""


class StoreError(MulleinrelayError):
    """A file of stored state that cannot be read or written."""
