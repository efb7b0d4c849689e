"""Headers by which a host forwards a caller's request to another host.

They are used on connections between hosts only. The receiving host removes them
before it sends the request to a target, the sending host before it sends the
response to the caller.
"""

import re
from typing import NamedTuple

from sardinewheel_gateway.messages import Headers, RequestHead, header_value
from sardinewheel_gateway.policy.values import MAX_SECONDS, check_number

PREFIX = b"sardinewheel-peer-"
SENDER = PREFIX + b"sender"
AGE_MS = PREFIX + b"age-ms"
VERSION = PREFIX + b"version"
TRIED = PREFIX + b"tried"
TARGET = PREFIX + b"target"
REASON = PREFIX + b"reason"
RETRY_AFTER = b"retry-after"
MS_PER_S = 1000.0
SEPARATOR = ","
INTEGER_FORMAT = re.compile(r"[0-9]{1,18}")


class Origin(NamedTuple):
    """Where a forwarded request comes from, and what happened to it there.

    Attributes:
        host: Host that received it from the caller.
        age_s: Seconds since that host received its head.
        version: Version of that host's configuration.
        tried: Ids of the targets that it was sent to.
    """

    host: str
    age_s: float
    version: int
    tried: tuple[str, ...]


class PeerOutcome(NamedTuple):
    """How the other host ended a forwarded request.

    Attributes:
        target_id: Target whose response it is; empty if the host made it.
        reason: Why the host made it; empty if a target did.
        retry_after_s: Seconds after which the caller may retry, if it was not
            run.
    """

    target_id: str
    reason: str
    retry_after_s: float


def request_headers(headers: Headers, origin: Origin) -> Headers:
    """Returns the headers of a request to forward."""
    return [
        *_without_peer_headers(headers),
        (SENDER, origin.host.encode("latin-1")),
        (AGE_MS, str(int(origin.age_s * MS_PER_S)).encode()),
        (VERSION, str(origin.version).encode()),
        (TRIED, SEPARATOR.join(origin.tried).encode("latin-1")),
    ]


def parse_request(head: RequestHead) -> tuple[RequestHead, Origin]:
    """Returns the head as the caller sent it, and the origin.

    The head counts as received when the first host received it, so that
    deadlines and latencies include the time at that host.

    Raises:
        ValueError: A header is missing or malformed.
    """
    tried = _text(head.headers, TRIED)
    origin = Origin(
        host=_text(head.headers, SENDER),
        age_s=_integer(head.headers, AGE_MS) / MS_PER_S,
        version=_integer(head.headers, VERSION),
        tried=tuple(tried.split(SEPARATOR)) if tried else (),
    )
    restored = head._replace(
        headers=_without_peer_headers(head.headers),
        received_at=head.received_at - max(0.0, origin.age_s),
    )
    return restored, origin


def target_response_headers(headers: Headers, target_id: str) -> Headers:
    """Returns the headers of a target's response, for the sending host."""
    kept = _without_peer_headers(headers)
    return [*kept, (TARGET, target_id.encode("latin-1"))]


def own_response_headers(headers: Headers, reason: str) -> Headers:
    """Returns the headers of a response that the receiving host made."""
    text = reason.encode("latin-1", "replace").replace(b"\n", b" ")
    return [*headers, (REASON, text)]


def parse_response(headers: Headers) -> tuple[Headers, PeerOutcome]:
    """Returns the headers for the caller, and the outcome.

    Raises:
        ValueError: The response has no outcome.
    """
    target = header_value(headers, TARGET)
    reason = header_value(headers, REASON)
    if target is None and reason is None:
        raise ValueError("the response of the other host has no outcome")
    retry_after_s = 0.0
    if target is None:
        retry_after_s = check_number(
            float(header_value(headers, RETRY_AFTER) or 0.0),
            "retry-after",
            maximum=MAX_SECONDS,
        )
    outcome = PeerOutcome(
        target_id=(target or b"").decode("latin-1"),
        reason=(reason or b"").decode("latin-1"),
        retry_after_s=retry_after_s,
    )
    return _without_peer_headers(headers), outcome


def _without_peer_headers(headers: Headers) -> Headers:
    return [(k, v) for k, v in headers if not k.startswith(PREFIX)]


def _integer(headers: Headers, name: bytes) -> int:
    text = _text(headers, name)
    if not INTEGER_FORMAT.fullmatch(text):
        raise ValueError(f"header {name.decode()} is no integer: {text:.80}")
    return int(text)


def _text(headers: Headers, name: bytes) -> str:
    value = header_value(headers, name)
    if value is None:
        raise ValueError(f"header {name.decode()} is missing")
    return value.decode("latin-1")
