"""Conversion between typed values and JSON bodies of the HTTP interface."""

import math
import typing
from collections.abc import Mapping
from typing import Any

import falcon
from sardinewheel_core.codec import from_plain, to_plain
from sardinewheel_core.errors import Finding, MessageError, RequestError

MAX_MEDIA_BYTES = 1024 * 1024
MAX_NAME_CHARS = 200
MAX_NUMBER = 2**53


def read(req: falcon.Request) -> Any:
    """Returns the JSON body of a request.

    Raises:
        RequestError: The body is too large or not JSON.
    """
    length = req.content_length or 0
    if length > MAX_MEDIA_BYTES:
        expected = f"at most {MAX_MEDIA_BYTES} bytes"
        raise RequestError((Finding("body", f"{length} bytes", expected),))
    try:
        return req.get_media()
    except (falcon.HTTPError, RecursionError, UnicodeError) as error:
        finding = Finding("body", type(error).__name__, "JSON")
        raise RequestError((finding,)) from error


def decode(plain: Any, tuple_type: type) -> Any:
    """Converts a JSON object to a named tuple.

    Args:
        plain: The object, as parsed from JSON.
        tuple_type: Named tuple type to convert to.

    Raises:
        RequestError: Fields are missing, of the wrong type or out of bounds;
            lists every finding.
    """
    if not isinstance(plain, Mapping):
        finding = Finding("body", repr(plain)[:80], "an object")
        raise RequestError((finding,))
    fields: dict[str, Any] = {}
    findings: list[Finding] = []
    for name, hint in typing.get_type_hints(tuple_type).items():
        if name in plain:
            value, found = _decode_field(plain[name], hint, name)
            fields[name] = value
            findings += found
        elif name not in tuple_type._field_defaults:
            findings.append(Finding(name, "nothing", "a value"))
    if findings:
        raise RequestError(tuple(findings))
    return tuple_type(**fields)


def respond(resp: falcon.Response, value: Any, status: str = falcon.HTTP_200):
    """Writes a typed value as JSON response."""
    resp.media = to_plain(value)
    resp.status = status


def _decode_field(
    plain: Any, hint: Any, name: str
) -> tuple[Any, list[Finding]]:
    """Returns the value of a field, and the findings about it."""
    arguments = typing.get_args(hint)
    if isinstance(plain, list) and arguments[1:] == (Ellipsis,):
        items = [
            _decode_value(item, arguments[0], f"{name}[{index}]")
            for index, item in enumerate(plain)
        ]
        values = tuple(value for value, _ in items)
        return values, [f for _, found in items for f in found]
    return _decode_value(plain, hint, name)


def _decode_value(
    plain: Any, hint: Any, place: str
) -> tuple[Any, list[Finding]]:
    try:
        value = from_plain(plain, hint, place)
    except MessageError as error:
        where, _, expected = str(error).partition(": ")
        return None, [Finding(where, repr(plain)[:80], expected)]
    return value, _bound_findings(value, place)


def _bound_findings(value: Any, place: str) -> list[Finding]:
    """Returns a finding for each number and string that is out of bounds."""
    if isinstance(value, str):
        return _text_findings(value, place)
    if isinstance(value, int | float):
        if math.isfinite(value) and abs(value) <= MAX_NUMBER:
            return []
        expected = f"a finite number of magnitude up to {MAX_NUMBER}"
        return [Finding(place, str(value)[:80], expected)]
    found: list[Finding] = []
    for key, item in _children(value):
        found += _bound_findings(item, f"{place}{key}")
    return found


def _children(value: Any) -> list[tuple[str, Any]]:
    if hasattr(value, "_fields"):
        pairs = zip(value._fields, value, strict=True)
        return [(f".{name}", item) for name, item in pairs]
    if isinstance(value, Mapping):
        return [(f".{pair[0]}", pair) for pair in value.items()]
    if isinstance(value, tuple):
        return [(f"[{index}]", item) for index, item in enumerate(value)]
    return []


def _text_findings(text: str, place: str) -> list[Finding]:
    if len(text) <= MAX_NAME_CHARS and text.isprintable():
        return []
    expected = f"at most {MAX_NAME_CHARS} printable characters"
    return [Finding(place, repr(text)[:80], expected)]
