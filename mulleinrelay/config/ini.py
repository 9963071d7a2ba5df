"""Parser of this project's INI files: cells, management, fleet, assignment and lab.

`parse_sections` splits a text into sections. An `IniSection` then reads one section key by key and
checks each value. It can finally reject keys that were not read. Errors in the file are reported as
`ConfigError`. An error of a value names the section and the key, as in `[tenant acme] rate:
expected a number of 0 or more, found '-1'`.
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
# Exceeds all times in Unix milliseconds. Error messages do not name it as an upper bound.
NUMBER_LIMIT = 1e15
MAX_TEXT_BYTES = 64_000_000
MAX_PORT = 65_535


class IniSection:
    """One section of an INI file.

    `text`, `number`, `integer`, `flag`, `choice` and `names` read one key and check its value.
    Without a default, the key is required.
    """

    def __init__(self, title: str, values: dict[str, str]) -> None:
        """Wrap the values of a section.

        Args:
            title: Title of the section, for error messages.
            values: Texts by key, as returned by `parse_sections`.
        """
        self.title = title
        self.values = values
        self._known_keys: set[str] = set()

    def error(self, key: str, reason: str) -> ConfigError:
        """Return an error about this key without raising it."""
        return ConfigError(reason, section=self.title, key=key)

    def text(self, key: str, default: str | None = None) -> str:
        """Return the text of a key without whitespace at its ends."""
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
        """Return a number within the bounds, which are both inclusive."""
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
            raise self.error(key, f"expected a number {bounds}, found {text!r}")
        return value

    def integer(self, key: str, default: int | None = None, maximum: int = 1_000_000_000) -> int:
        """Return an integer from 0 to `maximum`."""
        value = self.number(key, default, maximum)
        if value != int(value):
            raise self.error(key, f"expected an integer, found {value}")
        return int(value)

    def flag(self, key: str, default: bool) -> bool:
        """Return whether the value is `yes`, in upper or lower case.

        Any value other than `yes` and `no` is an error.
        """
        value = self.text(key, "yes" if default else "no").lower()
        if value not in ("yes", "no"):
            raise self.error(key, f"expected yes or no, found {value!r}")
        return value == "yes"

    def choice(self, key: str, choices: Iterable[str], default: str) -> str:
        """Return the value of a key, which must be one of the choices."""
        value = self.text(key, default)
        if value not in choices:
            raise self.error(key, f"expected one of {', '.join(choices)}; found {value!r}")
        return value

    def names(self, key: str, default: str = "") -> tuple[str, ...]:
        """Return names that are separated by spaces or commas; a repeated name is an error."""
        names = tuple(self.text(key, default).replace(",", " ").split())
        for name in names:
            if not NAME_PATTERN.fullmatch(name):
                raise self.error(key, f"{name!r} is not a valid name (letters, digits, _ . : -)")
        if len(set(names)) != len(names):
            raise self.error(key, "a name occurs twice")
        return names

    def address(self, key: str, text: str) -> Address:
        """Return the host and port in `text`, which the caller has read as a value of this key."""
        host, _, port = text.rpartition(":")
        if not host or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
            raise self.error(key, f"expected host:port, found {text!r}")
        return host, int(port)

    def reject_unknown_keys(self) -> None:
        """Raise ConfigError if the section has a key that no method has read."""
        if unknown := sorted(set(self.values) - self._known_keys):
            known = ", ".join(sorted(self._known_keys))
            raise self.error(unknown[0], f"unknown key; known keys: {known}")


def parse_sections(text: str) -> dict[str, dict[str, str]]:
    """Return the sections by title, in the order of the file; each maps lower-case keys to texts.

    Raises:
        ConfigError: If the text is too long or not a valid INI file.
    """
    if len(text) > MAX_TEXT_BYTES:
        raise ConfigError(f"larger than {MAX_TEXT_BYTES // 1_000_000} MB", file="the file")
    parser = configparser.RawConfigParser(strict=True, interpolation=None, default_section="\0")
    try:
        parser.read_string(text)
    except configparser.Error as error:
        raise ConfigError(" ".join(str(error).split()), file="the file") from error
    return {title: dict(parser[title]) for title in parser.sections()}


def reject_unknown_sections(titles: Iterable[str], known: Iterable[str]) -> None:
    """Raise ConfigError if a title is not one of the known sections."""
    for title in titles:
        if title not in known:
            names = ", ".join(known)
            raise ConfigError(f"unknown section; known sections: {names}", section=title)


def read_text(path: str) -> str:
    """Return the UTF-8 text of a file.

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
    """Read a file and return its parsed content.

    Args:
        path: Path of the file.
        parse: Function that parses the text. Its second argument is the folder of the file, to
            which relative paths in the text refer.

    Raises:
        ConfigError: If the file cannot be read or is invalid.
    """
    return parse(read_text(path), os.path.dirname(os.path.abspath(path)))
