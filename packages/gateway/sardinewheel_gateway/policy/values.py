"""Checks of single values that another process wrote.

A value that passes can be used in every later step: encoded for other hosts,
put into a header, compared, added up, logged, and connected to without a lookup
of its name.
"""

import ipaddress
import json
import math
import re
from functools import lru_cache
from typing import Any

MAX_TEXT_CHARS = 1024
MAX_PORT = 65535
PORT_FORMAT = re.compile(r"[0-9]{1,5}")
# Integers that each encoding between processes carries exactly.
MAX_INTEGER = 2**63 - 1
MAX_SECONDS = 86400.0
# Visible ASCII characters except the comma, which separates names in lists.
IDENTIFIER_FORMAT = re.compile(r"[!-+\--~]{1,200}")


def decode_json(data: bytes) -> Any:
    """Returns the value of a JSON text.

    Raises:
        ValueError: It is no JSON text, or nested too deeply.

    Examples:
        >>> decode_json(b"[" * 100_000)
        Traceback (most recent call last):
        ...
        ValueError: nested too deeply
    """
    try:
        return json.loads(data)
    except RecursionError as error:
        raise ValueError("nested too deeply") from error


def check_text(value: Any, name: str) -> str:
    """Returns a non-empty text of printable characters.

    Raises:
        ValueError: It is no such text; the message names it.

    Examples:
        >>> check_text("north-a", "domain")
        'north-a'
        >>> check_text(7, "domain")
        Traceback (most recent call last):
        ...
        ValueError: domain 7 is not a non-empty string
    """
    if not isinstance(value, str) or not value:
        raise ValueError(f"{name} {value!r:.80} is not a non-empty string")
    if len(value) > MAX_TEXT_CHARS or not value.isprintable():
        raise ValueError(f"{name} {value!r:.80} is not a printable text")
    return value


def check_identifier(value: Any, name: str) -> str:
    """Returns a name that can be put into headers and lists.

    Raises:
        ValueError: It has other characters, or none, or too many.
    """
    if not isinstance(value, str) or not IDENTIFIER_FORMAT.fullmatch(value):
        raise ValueError(f"{name} {value!r:.80} is not an identifier")
    return value


@lru_cache(maxsize=8192)
def split_address(address: str) -> tuple[str, int]:
    """Returns the IPv4 address and the port of an ``address:port``.

    Raises:
        ValueError: It is no such text, so that one could only connect after a
            lookup of a name, or not at all.

    Examples:
        >>> split_address("10.1.0.35:8144")
        ('10.1.0.35', 8144)
        >>> split_address("localhost:80")
        Traceback (most recent call last):
        ...
        ValueError: 'localhost:80' is not IPv4 address:port
    """
    host, _, port = address.rpartition(":")
    try:
        ip = ipaddress.IPv4Address(host)
    except ValueError:
        raise ValueError(f"{address!r:.80} is not IPv4 address:port") from None
    if ip.is_unspecified or ip.is_multicast or ip.is_reserved:
        raise ValueError(f"{address!r:.80} is no address of a host")
    if not PORT_FORMAT.fullmatch(port) or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"{address!r:.80} has no valid port")
    return host, int(port)


def is_address(address: str) -> bool:
    """Returns whether :func:`split_address` can split a text."""
    try:
        split_address(address)
    except ValueError:
        return False
    return True


def check_address(value: Any, name: str) -> str:
    """Returns an ``address:port`` that :func:`split_address` can split.

    Raises:
        ValueError: It is none; the message names it.
    """
    text = check_text(value, name)
    try:
        split_address(text)
    except ValueError as error:
        raise ValueError(f"{name} {error}") from None
    return text


def check_integer(
    value: Any, name: str, *, minimum: int = 0, maximum: int = MAX_INTEGER
) -> int:
    """Returns an integer in a range.

    Raises:
        ValueError: It is no integer, or out of the range.

    Examples:
        >>> check_integer(True, "slots", minimum=1)
        Traceback (most recent call last):
        ...
        ValueError: slots True is not an integer
    """
    if type(value) is not int:
        raise ValueError(f"{name} {value!r:.80} is not an integer")
    if not minimum <= value <= maximum:
        raise ValueError(f"{name} is not from {minimum} to {maximum}")
    return value


def check_number(
    value: Any, name: str, *, minimum: float = 0.0, maximum: float = math.inf
) -> float:
    """Returns a finite number in a range.

    Raises:
        ValueError: It is no number, not finite, or out of the range.

    Examples:
        >>> check_number(3, "rate")
        3.0
        >>> check_number(10**400, "rate")
        Traceback (most recent call last):
        ...
        ValueError: rate is not from 0.0 to inf
    """
    if type(value) not in (int, float):
        raise ValueError(f"{name} {value!r:.80} is not a number")
    try:
        number = float(value)
    except OverflowError:
        number = math.inf
    if not math.isfinite(number) or not minimum <= number <= maximum:
        raise ValueError(f"{name} is not from {minimum} to {maximum}")
    return number
