"""Converts typed values to plain (JSON-compatible) values and back.

A named tuple is encoded as a map of its type name and fields; decoding a union
of named tuples selects the member by type name. Unknown fields are ignored and
missing ones take their default, so that sender and receiver may run different
software versions.
"""

import functools
import json
import math
import types
import typing
from collections.abc import Mapping
from typing import Any

import msgspec

from sardinewheel_core.errors import MessageError

TYPE_FIELD = "type"
MAX_INTEGER = 2**63


def load_json(text: str | bytes) -> Any:
    """Returns the value of a JSON text that another process wrote.

    Raises:
        MessageError: It is no JSON text, or nested too deeply.

    Examples:
        >>> load_json("[" * 100_000)
        Traceback (most recent call last):
        ...
        sardinewheel_core.errors.MessageError: invalid JSON: nested too deeply
    """
    try:
        return json.loads(text)
    except RecursionError:
        raise MessageError("invalid JSON: nested too deeply") from None
    except (TypeError, ValueError) as error:
        raise MessageError(f"invalid JSON: {error}") from None


def to_plain(value: Any) -> Any:
    """Returns a value converted to maps, lists, strings and numbers.

    Examples:
        >>> from sardinewheel_core.change import SetCap
        >>> to_plain(SetCap("austro", 40))
        {'type': 'SetCap', 'region': 'austro', 'cap': 40}
    """
    if hasattr(value, "_fields"):
        plain = {TYPE_FIELD: type(value).__name__}
        for name, item in zip(value._fields, value, strict=True):
            plain[name] = to_plain(item)
        return plain
    if isinstance(value, Mapping):
        return [[to_plain(k), to_plain(v)] for k, v in value.items()]
    if isinstance(value, tuple | list):
        return [to_plain(item) for item in value]
    if isinstance(value, str):
        return str(value)
    return value


def to_compact(value: Any) -> Any:
    """Returns a value converted to plain values without field names.

    A named tuple becomes a list of its type name and its field values;
    trailing fields that equal their default are omitted.

    Examples:
        >>> from sardinewheel_core.change import SetCap
        >>> to_compact(SetCap("austro", 40))
        ['SetCap', 'austro', 40]
    """
    if hasattr(value, "_fields"):
        items = list(value)
        defaults = value._field_defaults
        for name in reversed(value._fields):
            if name not in defaults or items[-1] != defaults[name]:
                break
            items.pop()
        return [type(value).__name__, *map(to_compact, items)]
    if isinstance(value, Mapping):
        return [[to_compact(k), to_compact(v)] for k, v in value.items()]
    if isinstance(value, tuple | list):
        return [to_compact(item) for item in value]
    return str(value) if isinstance(value, str) else value


def from_plain(plain: Any, cls: Any, path: str = "$") -> Any:
    """Returns the typed value decoded from plain values.

    Args:
        plain: Output of :func:`to_plain` or :func:`to_compact`, or data
            received from a peer.
        cls: Type to decode: a named tuple, a union of them, a tuple, a
            mapping, or a scalar type.
        path: Path of the value, for error messages.

    Raises:
        MessageError: The plain value does not match the type.

    Examples:
        >>> from sardinewheel_core.change import SetCap
        >>> plain = {"region": "austro", "cap": 40, "from_the_future": 1}
        >>> from_plain(plain, SetCap)
        SetCap(region='austro', cap=40)
    """
    if hasattr(cls, "_fields"):
        return _named_tuple(plain, cls, path)
    origin = typing.get_origin(cls)
    if origin in (typing.Union, types.UnionType):
        return _union(plain, cls, path)
    if origin is tuple:
        return _tuple(plain, cls, path)
    if origin is not None and issubclass(origin, Mapping):
        return _mapping(plain, cls, path)
    return _scalar(plain, cls, path)


def _scalar(plain: Any, cls: Any, path: str) -> Any:
    try:
        value = msgspec.convert(plain, cls, strict=True)
    except (msgspec.ValidationError, RecursionError) as error:
        raise MessageError(f"{path}: {error}") from None
    if isinstance(value, float) and not math.isfinite(value):
        raise MessageError(f"{path}: got {value}, expected a finite number")
    if isinstance(value, int) and abs(value) > MAX_INTEGER:
        raise MessageError(f"{path}: expected a 64-bit integer")
    if isinstance(value, str):
        _check_encodable(value, path)
    return value


def _check_encodable(text: str, path: str) -> None:
    """Raises for text that JSON may hold but no message can."""
    try:
        text.encode()
    except UnicodeEncodeError:
        raise MessageError(f"{path}: got text that can't be encoded") from None


@functools.cache
def _field_types(cls: type) -> dict[str, Any]:
    return typing.get_type_hints(cls)


def _named_tuple(plain: Any, cls: type, path: str) -> Any:
    plain_fields = _fields_of(plain, cls, path)
    fields = {}
    for name, field_type in _field_types(cls).items():
        if name in plain_fields:
            fields[name] = from_plain(
                plain_fields[name], field_type, f"{path}.{name}"
            )
        elif name not in cls._field_defaults:
            raise MessageError(f"{path}.{name}: required field is missing")
    return cls(**fields)


def _fields_of(plain: Any, cls: type, path: str) -> Mapping[str, Any]:
    """Returns the plain fields by name, from the map or the list form."""
    if isinstance(plain, Mapping):
        return plain
    if isinstance(plain, list | tuple) and plain and plain[0] == cls.__name__:
        return dict(zip(cls._fields, plain[1:], strict=False))
    raise MessageError(
        f"{path}: got {_describe(plain)}, expected a {cls.__name__}"
    )


def _describe(plain: Any) -> str:
    """Returns a short text for error messages; only the type of containers."""
    if isinstance(plain, str | bytes):
        return repr(plain[:80])
    if isinstance(plain, list | tuple | Mapping):
        return type(plain).__name__
    return f"{plain!r:.80}"


@functools.cache
def _union_members(cls: Any) -> dict[str, type]:
    return {member.__name__: member for member in typing.get_args(cls)}


def _union(plain: Any, cls: Any, path: str) -> Any:
    members = _union_members(cls)
    if plain is None and "NoneType" in members:
        return None
    named = {n: m for n, m in members.items() if hasattr(m, "_fields")}
    if not named:
        return _scalar(plain, cls, path)
    name = _type_name(plain)
    if name not in named:
        raise MessageError(
            f"{path}: got type {_describe(name)}, "
            f"expected one of {sorted(named)}"
        )
    return _named_tuple(plain, named[name], path)


def _type_name(plain: Any) -> str:
    if isinstance(plain, Mapping):
        name = plain.get(TYPE_FIELD)
    else:
        name = plain[0] if isinstance(plain, list | tuple) and plain else None
    return name if isinstance(name, str) else ""


def _tuple(plain: Any, cls: Any, path: str) -> tuple:
    if not isinstance(plain, list | tuple):
        raise MessageError(f"{path}: got {_describe(plain)}, expected a list")
    arguments = typing.get_args(cls)
    if len(arguments) == 2 and arguments[1] is Ellipsis:  # noqa: PLR2004
        return tuple(
            from_plain(item, arguments[0], f"{path}[{index}]")
            for index, item in enumerate(plain)
        )
    if len(plain) < len(arguments):
        raise MessageError(f"{path}: got {_describe(plain)}, expected {cls}")
    return tuple(
        from_plain(item, argument, f"{path}[{index}]")
        for index, (item, argument) in enumerate(
            zip(plain, arguments, strict=False)
        )
    )


def _mapping(plain: Any, cls: Any, path: str) -> Mapping:
    if not isinstance(plain, list | tuple):
        raise MessageError(f"{path}: got {_describe(plain)}, expected pairs")
    key_type, value_type = typing.get_args(cls)
    items = {}
    for index, pair in enumerate(plain):
        item_path = f"{path}[{index}]"
        if not isinstance(pair, list | tuple) or len(pair) != 2:  # noqa: PLR2004
            raise MessageError(
                f"{item_path}: got {_describe(pair)}, expected a pair"
            )
        key = from_plain(pair[0], key_type, item_path)
        items[key] = from_plain(pair[1], value_type, item_path)
    return types.MappingProxyType(items)
