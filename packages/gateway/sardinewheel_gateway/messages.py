"""HTTP header types and helpers."""

from typing import NamedTuple

Headers = list[tuple[bytes, bytes]]

HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    )
)


class RequestHead(NamedTuple):
    """Request line and headers.

    Attributes:
        method: HTTP method.
        path: Path and query string as sent by the caller.
        host: Value of the ``Host`` header.
        headers: All headers, names in lower case.
        received_at: Time at which the head was complete, on the monotonic
            clock.
    """

    method: bytes
    path: bytes
    host: bytes
    headers: Headers
    received_at: float


def header_value(headers: Headers, name: bytes) -> bytes | None:
    """Returns the first value of a header, or None.

    Examples:
        >>> header_value([(b"host", b"a")], b"host")
        b'a'
    """
    return next((value for key, value in headers if key == name), None)


def has_body(headers: Headers) -> bool:
    """Returns whether a request has a body, which may be empty."""
    framing = (b"content-length", b"transfer-encoding")
    return any(name in framing for name, _ in headers)


def end_to_end(headers: Headers) -> Headers:
    """Returns the headers without the hop-by-hop ones."""
    listed = {
        token.strip().lower()
        for key, value in headers
        if key == b"connection"
        for token in value.split(b",")
    }
    dropped = HOP_BY_HOP | listed
    return [(key, value) for key, value in headers if key not in dropped]


def cookie_value(headers: Headers, name: bytes) -> bytes | None:
    """Returns the value of a cookie, or None.

    Examples:
        >>> cookie_value([(b"cookie", b"a=1; b=2")], b"b")
        b'2'
    """
    for key, value in headers:
        if key != b"cookie":
            continue
        for pair in value.split(b";"):
            found, _, content = pair.strip().partition(b"=")
            if found == name:
                return content
    return None
