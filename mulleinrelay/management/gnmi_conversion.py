"""Conversion between gNMI messages and this program's paths and values. Pure.

gNMI's message classes are made at import and have no static types, hence `Message`.
"""

import json
from typing import Any

from . import gnmi_messages as gnmi
from .errors import ErrorCode, PathError
from .paths import Path, PathElement, normalize_path
from .schema import MODULE_NAME

Message = Any  # one of the classes of gnmi_messages

SUPPORTED_ENCODINGS = (gnmi.JSON, gnmi.JSON_IETF)
KNOWN_ORIGINS = ("", MODULE_NAME, "rfc7951")
MAX_DECIMAL_DIGITS = 18  # fraction digits of a decimal64 (RFC 7950, section 9.3.4)
SCALAR_KINDS = ("string_val", "ascii_val", "bool_val", "int_val", "uint_val")
FLOAT_KINDS = ("double_val", "float_val")
JSON_KINDS = ("json_ietf_val", "json_val")


def checked_encoding(encoding: int) -> int:
    """Returns the encoding; raises PathError if the server does not have it."""
    if encoding not in SUPPORTED_ENCODINGS:
        raise PathError("encodings here are JSON and JSON_IETF", ErrorCode.UNIMPLEMENTED)
    return encoding


def path_from_message(message: Message, prefix: Message | None = None) -> Path:
    """Returns the path of a message, after the elements of a prefix.

    Raises:
        PathError: If its origin or form is not known, or an element has no usable name.
    """
    elements: list[PathElement] = []
    for source in (prefix, message):
        if source is None:
            continue
        if source.origin not in KNOWN_ORIGINS:
            raise PathError(f"origin {source.origin!r}: only {MODULE_NAME} is known here")
        if source.element:
            raise PathError("the field element is of an old form; elem is wanted")
        elements += _elements_of(source)
    return normalize_path(tuple(elements))


def path_from_response(message: Message) -> Path:
    """Returns the path of a server's message, whatever its origin.

    Raises:
        PathError: If an element has no usable name.
    """
    return normalize_path(tuple(_elements_of(message)))


def _elements_of(message: Message) -> list[PathElement]:
    return [PathElement(elem.name, tuple(sorted(elem.key.items()))) for elem in message.elem]


def path_to_message(path: Path) -> Message:
    """Returns the message of a path."""
    return gnmi.PathMessage(elem=[gnmi.PathElem(name=name, key=dict(keys)) for name, keys in path])


def value_from_message(message: Message) -> Any:
    """Returns the JSON value of a TypedValue.

    Raises:
        PathError: If it is no JSON or of a kind that has none.
    """
    kind = message.WhichOneof("value")
    if kind in JSON_KINDS:
        try:
            return json.loads(getattr(message, kind))
        except (ValueError, RecursionError) as error:
            raise PathError("a value that is no JSON") from error
    if kind in SCALAR_KINDS:
        return getattr(message, kind)
    if kind in FLOAT_KINDS:
        return repr(getattr(message, kind))
    if kind == "decimal_val":
        return _format_decimal(message.decimal_val.digits, message.decimal_val.precision)
    if kind == "leaflist_val":
        return [value_from_message(element) for element in message.leaflist_val.element]
    raise PathError(f"a value of the kind {kind or 'none'} can't be taken")


def _format_decimal(digits: int, precision: int) -> str:
    """Returns `digits` with `precision` of them after the point."""
    if precision > MAX_DECIMAL_DIGITS:
        raise PathError(f"a decimal of more than {MAX_DECIMAL_DIGITS} digits after the point")
    sign = "-" if digits < 0 else ""
    text = str(abs(digits)).rjust(precision + 1, "0")
    point = len(text) - precision
    return f"{sign}{text[:point]}.{text[point:] or '0'}"


def value_to_message(value: Any, encoding: int, has_module_names: bool = False) -> Message:
    """Returns the TypedValue of a JSON value.

    Args:
        value: The value.
        encoding: `gnmi.JSON` or `gnmi.JSON_IETF`.
        has_module_names: Whether the top-level members of an object get the module's name, as
            RFC 7951 wants in JSON_IETF.
    """
    if has_module_names and isinstance(value, dict) and encoding == gnmi.JSON_IETF:
        value = {f"{MODULE_NAME}:{name}": member for name, member in value.items()}
    data = json.dumps(value, separators=(",", ":")).encode()
    if encoding == gnmi.JSON_IETF:
        return gnmi.TypedValue(json_ietf_val=data)
    return gnmi.TypedValue(json_val=data)
