"""Lists, and allows again, the requests that are refused for crashes."""

import json
from typing import TypedDict

from sardinewheel_gateway import clock
from sardinewheel_gateway.crash_exchange import CrashExchange
from sardinewheel_gateway.exchange import Exchange

PATH = b"/v1/crashing-requests"
OK = 200
NOT_FOUND = 404
NOT_ALLOWED = 405
JSON_HEADERS = [(b"content-type", b"application/json")]


class RefusedRequest(TypedDict):
    """A refused request, as operators see it.

    Attributes:
        digest: Digest of the request, as in the log.
        losses: Targets that are known to have ended under it.
        refused_s: Seconds for which it has been refused.
        asked_ago_s: Seconds since it last came, as far as this host knows.
    """

    digest: str
    losses: int
    refused_s: float
    asked_ago_s: float


def is_crash_operation(path: bytes) -> bool:
    """Returns whether a path is that of a query or a change."""
    return path == PATH or path.startswith(PATH + b"/")


def handle(exchange: Exchange, crashes: CrashExchange) -> None:
    """Lists the refused requests, or allows one again.

    ``GET /v1/crashing-requests`` lists them; ``DELETE`` of the path with a
    digest allows that request again, at all hosts.
    """
    head = exchange.head
    digest = head.path[len(PATH) + 1 :].decode("latin-1")
    if head.method == b"GET" and not digest:
        _respond(exchange, OK, refused_requests(crashes))
    elif head.method == b"DELETE" and digest:
        is_lifted = crashes.lift(digest)
        _respond(exchange, OK if is_lifted else NOT_FOUND, {"digest": digest})
    else:
        _respond(exchange, NOT_ALLOWED, {})


def refused_requests(crashes: CrashExchange) -> list[RefusedRequest]:
    """Returns the refused requests, those that came last at the end."""
    now = clock.steady()
    return [
        RefusedRequest(
            digest=digest,
            losses=refusal.losses,
            refused_s=round(now - refusal.since, 1),
            asked_ago_s=round(now - refusal.asked_at, 1),
        )
        for digest, refusal in crashes.suspects.refused.items()
    ]


def _respond(exchange: Exchange, status: int, media) -> None:
    exchange.respond(status, JSON_HEADERS, json.dumps(media).encode())
