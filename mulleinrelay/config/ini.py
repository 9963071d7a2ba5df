"""The one reader of this project's INI files: cells, management, fleet, assignment and lab.

`parse_sections` cuts a text into sections; an `IniSection` then reads one of them key by key,
checks the form of each value, and finally finds keys that nobody asked for. Every fault is a
`ConfigError` that names section and key, as in `[tenant acme] rate: a number of 0 or more is
wanted`.
"""

import configparser
import os
import re
from collections.abc import Callable, Iterable
from typing import TypeVar

from ..errors import ConfigError

Address = tuple[str, int]
Parsed = TypeVar("Parsed")

NAME_PATTERN = re.compile(r"[0-9A-Za-z_.:-]{1,128}", re.ASCII)
NUMBER_LIMIT = 1e15  # larger numbers are no times in Unix milliseconds; means "not bounded"
MAX_TEXT_BYTES = 64_000_000
MAX_PORT = 65_535


class IniSection:
    """One section of an INI file; each method reads one key and checks its form."""

    def __init__(self, title: str, values: dict[str, str]) -> None:
        """Wraps the texts of a section.

        Args:
            title: Title of the section, for messages.
            values: Texts by key, as `parse_sections` gives them.
        """
        self.title = title
        self.values = values
        self._known_keys: set[str] = set()

    def error(self, key: str, reason: str) -> ConfigError:
        """Returns (does not raise) an error about this key."""
        return ConfigError(reason, section=self.title, key=key)

    def text(self, key: str, default: str | None = None) -> str:
        """Returns the text of a key, stripped; without a default the key is required."""
        self._known_keys.add(key)
        value = self.values.get(key, default)
        if value is None:
            raise self.error(key, "the key is missing")
        return value.strip()

    def number(
        self,
        key: str,
        default: float | None = None,
        maximum: float = NUMBER_LIMIT,
        minimum: float = 0.0,
    ) -> float:
        """Returns a number within bounds, both included."""
        text = self.text(key, None if default is None else repr(default))
        try:
            value = float(text)
        except ValueError:
            value = float("nan")
        if not minimum <= value <= maximum:
            if maximum < NUMBER_LIMIT:
                bounds = f"from {minimum:g} to {maximum:g}"
            else:
                bounds = f"of {minimum:g} or more"
            raise self.error(key, f"a number {bounds} is wanted, not {text!r}")
        return value

    def integer(self, key: str, default: int | None = None, maximum: int = 1_000_000_000) -> int:
        """Returns a whole number from 0 to `maximum`."""
        value = self.number(key, default, maximum)
        if value != int(value):
            raise self.error(key, "a whole number is wanted")
        return int(value)

    def flag(self, key: str, default: bool) -> bool:
        """Returns whether the key says `yes`; anything but `yes` and `no` is an error."""
        value = self.text(key, "yes" if default else "no").lower()
        if value not in ("yes", "no"):
            raise self.error(key, "yes or no is wanted")
        return value == "yes"

    def choice(self, key: str, choices: Iterable[str], default: str) -> str:
        """Returns one of the given words."""
        value = self.text(key, default)
        if value not in choices:
            raise self.error(key, f"one of {', '.join(choices)} is wanted, not {value!r}")
        return value

    def names(self, key: str, default: str = "") -> tuple[str, ...]:
        """Returns distinct names that are separated by blanks or commas."""
        found = tuple(self.text(key, default).replace(",", " ").split())
        for name in found:
            if not NAME_PATTERN.fullmatch(name):
                raise self.error(key, f"{name!r} is no name (letters, digits, _ . : -)")
        if len(set(found)) != len(found):
            raise self.error(key, "a name occurs twice")
        return found

    def address(self, key: str, text: str) -> Address:
        """Returns host and port of `text`, a part of this key's value."""
        host, _, port = text.rpartition(":")
        if not host or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
            raise self.error(key, f"host:port is wanted, not {text!r}")
        return host, int(port)

    def reject_unknown_keys(self) -> None:
        """Raises ConfigError for the first key that no method has read."""
        if unknown := sorted(set(self.values) - self._known_keys):
            known = ", ".join(sorted(self._known_keys))
            raise self.error(unknown[0], f"an unknown key; known are {known}")


def parse_sections(text: str) -> dict[str, dict[str, str]]:
    """Returns the texts by key of each section, in the order of the file.

    Raises:
        ConfigError: If the text is too long or no INI.
    """
    if len(text) > MAX_TEXT_BYTES:
        raise ConfigError(f"over {MAX_TEXT_BYTES // 1_000_000} MB", file="the file")
    parser = configparser.RawConfigParser(strict=True, interpolation=None, default_section="\0")
    try:
        parser.read_string(text)
    except configparser.Error as error:
        raise ConfigError(" ".join(str(error).split()), file="the file") from error
    return {title: dict(parser[title]) for title in parser.sections()}


def reject_unknown_sections(titles: Iterable[str], known: Iterable[str]) -> None:
    """Raises ConfigError for the first title that is not known."""
    for title in titles:
        if title not in known:
            names = ", ".join(known)
            raise ConfigError(f"an unknown section; known are {names}", section=title)


def read_text(path: str) -> str:
    """Returns the UTF-8 text of a file.

    Raises:
        ConfigError: If the file cannot be read.
    """
    try:
        with open(path, encoding="utf-8") as file:
            return file.read()
    except OSError as error:
        raise ConfigError(str(error.strerror), file=path) from error
    except UnicodeDecodeError as error:
        raise ConfigError("not UTF-8", file=path) from error


def load_ini(path: str, parse: Callable[[str, str], Parsed]) -> Parsed:
    """Reads a file and parses it.

    Args:
        path: The file.
        parse: Called with the text and the folder of the file, from which paths in it are taken.

    Raises:
        ConfigError: If the file cannot be read or used.
    """
    return parse(read_text(path), os.path.dirname(os.path.abspath(path)))
