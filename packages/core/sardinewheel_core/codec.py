"""Plain values for typed data, and back.

Every named tuple becomes a map of its fields; where a union of named tuples
is declared, the map names its type. Unknown fields are dropped and missing
ones take their default, so that versions may differ between two ends.
"""

import functools
import math
import types
import typing
from collections.abc import Mapping
from typing import Any

import msgspec

from sardinewheel_core.errors import MessageError

TYPE_FIELD = "type"
MAX_INTEGER = 2**63


def to_plain(value: Any) -> Any:
    """Returns maps, lists, strings and numbers that stand for a value.

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
    """Returns a value as :func:`to_plain` does, but without field names.

    A named tuple becomes a list of its type's name and its fields; those at
    the end that have their default are left out.

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


def from_plain(plain: Any, kind: Any, place: str = "$") -> Any:
    """Returns the typed value that plain values stand for.

    Args:
        plain: What :func:`to_plain` or :func:`to_compact` returned, or what
            a peer sent.
        kind: Type to make: a named tuple, a union of them, a tuple, a
            mapping, or a scalar type.
        place: Path of the value, for errors.

    Raises:
        MessageError: The plain value does not fit the type.

    Examples:
        >>> from sardinewheel_core.change import SetCap
        >>> plain = {"region": "austro", "cap": 40, "from_the_future": 1}
        >>> from_plain(plain, SetCap)
        SetCap(region='austro', cap=40)
    """
    if hasattr(kind, "_fields"):
        return _named_tuple(plain, kind, place)
    origin = typing.get_origin(kind)
    if origin in (typing.Union, types.UnionType):
        return _union(plain, kind, place)
    if origin is tuple:
        return _tuple(plain, kind, place)
    if origin is not None and issubclass(origin, Mapping):
        return _mapping(plain, kind, place)
    return _scalar(plain, kind, place)


def _scalar(plain: Any, kind: Any, place: str) -> Any:
    try:
        value = msgspec.convert(plain, kind, strict=True)
    except (msgspec.ValidationError, RecursionError) as error:
        raise MessageError(f"{place}: {error}") from None
    if isinstance(value, float) and not math.isfinite(value):
        raise MessageError(f"{place}: got {value}, expected a finite number")
    if isinstance(value, int) and abs(value) > MAX_INTEGER:
        raise MessageError(f"{place}: expected an integer of 64 bits")
    return value


@functools.cache
def _hints(kind: type) -> dict[str, Any]:
    return typing.get_type_hints(kind)


def _named_tuple(plain: Any, kind: type, place: str) -> Any:
    given = _fields_of(plain, kind, place)
    fields = {}
    for name, hint in _hints(kind).items():
        if name in given:
            fields[name] = from_plain(given[name], hint, f"{place}.{name}")
        elif name not in kind._field_defaults:
            raise MessageError(f"{place}.{name}: missing")
    return kind(**fields)


def _fields_of(plain: Any, kind: type, place: str) -> Mapping[str, Any]:
    """Returns the plain fields by name, of either form."""
    if isinstance(plain, Mapping):
        return plain
    if isinstance(plain, list | tuple) and plain and plain[0] == kind.__name__:
        return dict(zip(kind._fields, plain[1:], strict=False))
    raise MessageError(
        f"{place}: got {_shown(plain)}, expected a {kind.__name__}"
    )


def _shown(plain: Any) -> str:
    """Returns a short text for errors; nested values are only named."""
    if isinstance(plain, str | bytes):
        return repr(plain[:80])
    if isinstance(plain, list | tuple | Mapping):
        return type(plain).__name__
    return f"{plain!r:.80}"


@functools.cache
def _members(kind: Any) -> dict[str, type]:
    return {member.__name__: member for member in typing.get_args(kind)}


def _union(plain: Any, kind: Any, place: str) -> Any:
    members = _members(kind)
    if plain is None and "NoneType" in members:
        return None
    named = {n: m for n, m in members.items() if hasattr(m, "_fields")}
    if not named:
        return _scalar(plain, kind, place)
    name = _type_name(plain)
    if name not in named:
        raise MessageError(
            f"{place}: got type {_shown(name)}, expected one of {sorted(named)}"
        )
    return _named_tuple(plain, named[name], place)


def _type_name(plain: Any) -> str:
    if isinstance(plain, Mapping):
        name = plain.get(TYPE_FIELD)
    else:
        name = plain[0] if isinstance(plain, list | tuple) and plain else None
    return name if isinstance(name, str) else ""


def _tuple(plain: Any, kind: Any, place: str) -> tuple:
    if not isinstance(plain, list | tuple):
        raise MessageError(f"{place}: got {_shown(plain)}, expected a list")
    arguments = typing.get_args(kind)
    if len(arguments) == 2 and arguments[1] is Ellipsis:  # noqa: PLR2004
        return tuple(
            from_plain(item, arguments[0], f"{place}[{index}]")
            for index, item in enumerate(plain)
        )
    if len(plain) < len(arguments):
        raise MessageError(f"{place}: got {_shown(plain)}, expected {kind}")
    return tuple(
        from_plain(item, argument, f"{place}[{index}]")
        for index, (item, argument) in enumerate(
            zip(plain, arguments, strict=False)
        )
    )


def _mapping(plain: Any, kind: Any, place: str) -> Mapping:
    if not isinstance(plain, list | tuple):
        raise MessageError(f"{place}: got {_shown(plain)}, expected pairs")
    key_kind, value_kind = typing.get_args(kind)
    items = {}
    for index, pair in enumerate(plain):
        where = f"{place}[{index}]"
        if not isinstance(pair, list | tuple) or len(pair) != 2:  # noqa: PLR2004
            raise MessageError(f"{where}: got {_shown(pair)}, expected a pair")
        key = from_plain(pair[0], key_kind, where)
        items[key] = from_plain(pair[1], value_kind, where)
    return types.MappingProxyType(items)
