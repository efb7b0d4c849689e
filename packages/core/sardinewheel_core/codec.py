"""Plain values for typed data, and back.

Every named tuple becomes a map of its fields; where a union of named tuples
is declared, the map names its type. Unknown fields are dropped and missing
ones take their default, so that versions may differ between two ends.
"""

import functools
import types
import typing
from collections.abc import Mapping
from typing import Any

import msgspec

from sardinewheel_core.errors import MessageError

TYPE_FIELD = "type"


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


def from_plain(plain: Any, kind: Any, place: str = "$") -> Any:
    """Returns the typed value that plain values stand for.

    Args:
        plain: What :func:`to_plain` returned, or what a peer sent.
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
    try:
        return msgspec.convert(plain, kind, strict=True)
    except msgspec.ValidationError as error:
        raise MessageError(f"{place}: {error}") from None


@functools.cache
def _hints(kind: type) -> dict[str, Any]:
    return typing.get_type_hints(kind)


def _named_tuple(plain: Any, kind: type, place: str) -> Any:
    if not isinstance(plain, Mapping):
        raise MessageError(f"{place}: got {plain!r:.80}, expected a map")
    fields = {}
    for name, hint in _hints(kind).items():
        if name in plain:
            fields[name] = from_plain(plain[name], hint, f"{place}.{name}")
        elif name not in kind._field_defaults:
            raise MessageError(f"{place}.{name}: missing")
    return kind(**fields)


@functools.cache
def _members(kind: Any) -> dict[str, type]:
    return {member.__name__: member for member in typing.get_args(kind)}


def _union(plain: Any, kind: Any, place: str) -> Any:
    members = _members(kind)
    if plain is None and "NoneType" in members:
        return None
    named = {n: m for n, m in members.items() if hasattr(m, "_fields")}
    if not named:
        return msgspec.convert(plain, kind, strict=True)
    name = plain.get(TYPE_FIELD) if isinstance(plain, Mapping) else None
    if not isinstance(name, str) or name not in named:
        raise MessageError(
            f"{place}: got type {name!r:.80}, expected one of {sorted(named)}"
        )
    return _named_tuple(plain, named[name], place)


def _tuple(plain: Any, kind: Any, place: str) -> tuple:
    if not isinstance(plain, list | tuple):
        raise MessageError(f"{place}: got {plain!r:.80}, expected a list")
    arguments = typing.get_args(kind)
    if len(arguments) == 2 and arguments[1] is Ellipsis:  # noqa: PLR2004
        return tuple(
            from_plain(item, arguments[0], f"{place}[{index}]")
            for index, item in enumerate(plain)
        )
    if len(plain) < len(arguments):
        raise MessageError(f"{place}: got {plain!r:.80}, expected {kind}")
    return tuple(
        from_plain(item, argument, f"{place}[{index}]")
        for index, (item, argument) in enumerate(
            zip(plain, arguments, strict=False)
        )
    )


def _mapping(plain: Any, kind: Any, place: str) -> Mapping:
    if not isinstance(plain, list | tuple):
        raise MessageError(f"{place}: got {plain!r:.80}, expected pairs")
    key_kind, value_kind = typing.get_args(kind)
    items = {}
    for index, pair in enumerate(plain):
        where = f"{place}[{index}]"
        if not isinstance(pair, list | tuple) or len(pair) != 2:  # noqa: PLR2004
            raise MessageError(f"{where}: got {pair!r:.80}, expected a pair")
        key = from_plain(pair[0], key_kind, where)
        items[key] = from_plain(pair[1], value_kind, where)
    return types.MappingProxyType(items)
