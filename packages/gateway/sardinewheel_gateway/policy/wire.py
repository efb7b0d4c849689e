"""Reading of what other hosts, also of other builds, send.

Writers add fields at the end only, so a reader takes the fields that it knows
in their order: later ones are dropped, and defaults stand in for missing ones.
Fields of simple types are checked against the annotations of the class.
"""

import math
from collections.abc import Callable
from enum import IntEnum
from functools import cache
from types import UnionType
from typing import Any, TypeVar, get_args, get_origin, get_type_hints

import cbor2

from sardinewheel_gateway.policy.values import MAX_INTEGER, check_number

MAX_TEXT_CHARS = 4096
CONTAINERS = (list, tuple, frozenset)

Fields = TypeVar("Fields", bound=tuple)
Check = Callable[[Any], Any]


def decode_cbor(data: Any) -> Any:
    """Returns the value that another host encoded.

    Raises:
        ValueError: The data can't be decoded.

    Examples:
        >>> decode_cbor(cbor2.dumps([1, "a"]))
        [1, 'a']
    """
    if not isinstance(data, bytes):
        raise ValueError(f"{type(data).__name__} instead of encoded bytes")
    try:
        return cbor2.loads(data)
    except Exception as error:
        # Tags stand for types whose constructors raise errors of their own.
        raise ValueError(f"not decodable: {error!r:.80}") from error


def from_fields(cls: type[Fields], plain: Any) -> Fields:
    """Returns a ``NamedTuple`` from a list of its fields.

    Fields that are tuples of their own are left to the caller to read.

    Args:
        cls: The class.
        plain: Its fields in order, as decoded from a message.

    Raises:
        ValueError: It is no list, fields without a default are missing, or a
            field is of another type, too large or not finite.

    Examples:
        >>> from sardinewheel_gateway.policy.routes import Share
        >>> from_fields(Share, ["orders", 1.0, "of a later build"])
        Share(service='orders', weight=1.0)
        >>> from_fields(Share, ["orders"])
        Traceback (most recent call last):
        ...
        ValueError: Share has 1 fields, expected at least 2: ['orders']
        >>> from_fields(Share, ["orders", float("nan")])
        Traceback (most recent call last):
        ...
        ValueError: Share.weight: number is not from -inf to inf
    """
    name = cls.__name__
    if not isinstance(plain, list | tuple):
        raise ValueError(
            f"{name} is {plain!r:.80}, expected a list of its fields"
        )
    needed = len(cls._fields) - len(cls._field_defaults)
    if len(plain) < needed:
        raise ValueError(
            f"{name} has {len(plain)} fields, expected at least {needed}:"
            f" {plain!r:.80}"
        )
    values = []
    for (field, check), value in zip(_checks(cls), plain, strict=False):
        try:
            values.append(check(value))
        except ValueError as error:
            raise ValueError(f"{name}.{field}: {error}") from error
    return cls(*values)


@cache
def _checks(cls: type[tuple]) -> tuple[tuple[str, Check], ...]:
    """Returns the fields of a class and the check of each."""
    hints = get_type_hints(cls)
    return tuple((field, _check_of(hints[field])) for field in cls._fields)


def _check_of(annotation: Any) -> Check:
    """Returns the check of an annotated type."""
    simple: dict[Any, Check] = {
        str: _check_text,
        int: _check_integer,
        float: _check_number,
        bool: _check_flag,
        bytes: _check_bytes,
    }
    if annotation in simple:
        return simple[annotation]
    origin, arguments = get_origin(annotation), get_args(annotation)
    if origin is UnionType:
        (inner,) = (x for x in arguments if x is not type(None))
        return _optional(_check_of(inner))
    if origin in CONTAINERS:
        return _each(_check_of(arguments[0]))
    if isinstance(annotation, type) and issubclass(annotation, IntEnum):
        return lambda value: annotation(_check_integer(value))
    return _check_nothing


def _optional(check: Check) -> Check:
    return lambda value: None if value is None else check(value)


def _each(check: Check) -> Check:
    def check_each(value: Any) -> Any:
        if not isinstance(value, list | tuple | frozenset):
            raise ValueError(f"{value!r:.80} is not a list")
        return [check(item) for item in value]

    return check_each


def _check_text(value: Any) -> str:
    if not isinstance(value, str) or len(value) > MAX_TEXT_CHARS:
        raise ValueError(f"{value!r:.80} is not a text")
    if not value.isascii():
        # Raises a ValueError for parts of UTF-16 pairs.
        value.encode()
    return value


def _check_integer(value: Any) -> int:
    if type(value) is bool or not isinstance(value, int):
        raise ValueError(f"{value!r:.80} is not an integer")
    if abs(value) > MAX_INTEGER:
        raise ValueError("integer is too large")
    return value


def _check_number(value: Any) -> float:
    return check_number(value, "number", minimum=-math.inf)


def _check_flag(value: Any) -> bool:
    if not isinstance(value, bool):
        raise ValueError(f"{value!r:.80} is not true or false")
    return value


def _check_bytes(value: Any) -> bytes:
    if not isinstance(value, bytes):
        raise ValueError(f"{value!r:.80} is not bytes")
    return value


def _check_nothing(value: Any) -> Any:
    return value
