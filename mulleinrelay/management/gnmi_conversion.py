"""Conversion between gNMI messages and this program's paths and values. No I/O.

The message classes of gNMI are built at import time and have no static types; `Message` stands for
any of them in annotations.
"""

import json
from typing import Any

from . import gnmi_messages as gnmi
from .errors import ErrorCode, PathError
from .paths import Path, PathElement, normalize_path
from .schema import MODULE_NAME

Message = Any  # an instance of one of the classes of gnmi_messages

SUPPORTED_ENCODINGS = (gnmi.JSON, gnmi.JSON_IETF)
KNOWN_ORIGINS = ("", MODULE_NAME, "rfc7951")
MAX_DECIMAL_DIGITS = 18  # fraction digits of a decimal64 (RFC 7950, section 9.3.4)
SCALAR_KINDS = ("string_val", "ascii_val", "bool_val", "int_val", "uint_val")
FLOAT_KINDS = ("double_val", "float_val")
JSON_KINDS = ("json_ietf_val", "json_val")


def require_supported_encoding(encoding: int) -> int:
    """Return the encoding unchanged; raise PathError if the server does not support it."""
    if encoding not in SUPPORTED_ENCODINGS:
        raise PathError("supported encodings are JSON and JSON_IETF", ErrorCode.UNIMPLEMENTED)
    return encoding


def path_from_message(message: Message, prefix: Message | None = None) -> Path:
    """Return the path in a gNMI Path message, appended to the path in the prefix if there is one.

    Raises:
        PathError: If the origin or form of a path is not supported, the path has too many elements,
            or an element has no valid name.
    """
    elements: list[PathElement] = []
    for part in (prefix, message):
        if part is None:
            continue
        if part.origin not in KNOWN_ORIGINS:
            raise PathError(f"origin {part.origin!r} is unknown; only {MODULE_NAME} is supported")
        if part.element:
            raise PathError("the field element is obsolete; use elem")
        elements += _elements_from_message(part)
    return normalize_path(tuple(elements))


def path_from_response(message: Message) -> Path:
    """Return the path in a gNMI Path message from a server; the origin in it is ignored.

    Raises:
        PathError: If the path has too many elements, or an element has no valid name.
    """
    return normalize_path(tuple(_elements_from_message(message)))


def _elements_from_message(message: Message) -> list[PathElement]:
    return [PathElement(elem.name, tuple(sorted(elem.key.items()))) for elem in message.elem]


def path_to_message(path: Path) -> Message:
    """Return a path as a gNMI message."""
    return gnmi.PathMessage(elem=[gnmi.PathElem(name=name, key=dict(keys)) for name, keys in path])


def value_from_message(message: Message) -> Any:
    """Return the JSON value of a TypedValue.

    Floats and decimals become strings, which RFC 7951 requires of decimal64 values.

    Raises:
        PathError: If the value is not valid JSON, is of a kind that is not supported, or is a
            decimal with too many fraction digits.
    """
    kind = message.WhichOneof("value")
    if kind in JSON_KINDS:
        try:
            return json.loads(getattr(message, kind))
        except (ValueError, RecursionError) as error:
            raise PathError("a value is not valid JSON") from error
    if kind in SCALAR_KINDS:
        return getattr(message, kind)
    if kind in FLOAT_KINDS:
        return repr(getattr(message, kind))
    if kind == "decimal_val":
        return _format_decimal(message.decimal_val.digits, message.decimal_val.precision)
    if kind == "leaflist_val":
        return [value_from_message(element) for element in message.leaflist_val.element]
    raise PathError(f"a value of the kind {kind or 'none'} is not supported")


def _format_decimal(digits: int, precision: int) -> str:
    """Return `digits` as text with the decimal point before the last `precision` digits.

    If `precision` is 0, the text ends with `.0`.

    Raises:
        PathError: If `precision` is too high for a decimal64.
    """
    if precision > MAX_DECIMAL_DIGITS:
        raise PathError(f"a decimal has more than {MAX_DECIMAL_DIGITS} digits after the point")
    sign = "-" if digits < 0 else ""
    text = str(abs(digits)).rjust(precision + 1, "0")
    point = len(text) - precision
    return f"{sign}{text[:point]}.{text[point:] or '0'}"


def value_to_message(value: Any, encoding: int, has_module_names: bool = False) -> Message:
    """Return a JSON value as a TypedValue.

    Args:
        value: The value.
        encoding: `gnmi.JSON` or `gnmi.JSON_IETF`.
        has_module_names: Whether, in JSON_IETF, the names of the top-level members of an object get
            the module name as prefix, as RFC 7951 requires; ignored in JSON.
    """
    if has_module_names and isinstance(value, dict) and encoding == gnmi.JSON_IETF:
        value = {f"{MODULE_NAME}:{name}": member for name, member in value.items()}
    data = json.dumps(value, separators=(",", ":")).encode()
    if encoding == gnmi.JSON_IETF:
        return gnmi.TypedValue(json_ietf_val=data)
    return gnmi.TypedValue(json_val=data)
