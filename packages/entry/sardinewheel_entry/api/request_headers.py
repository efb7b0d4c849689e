"""Parsing and validation of request headers."""

import re
import time
import uuid
from typing import NamedTuple

import falcon
from sardinewheel_core.errors import Finding, RequestError
from sardinewheel_core.host import EntryHost
from sardinewheel_core.request import Request
from sardinewheel_core.ticket import MAX_REQUEST_ID_CHARS

from sardinewheel_entry import headers

DEFAULT_DEADLINE_MS = 5000
MAX_DEADLINE_MS = 600_000
MAX_WEIGHT = 1_000_000
MAX_NAME_CHARS = 100
MAX_NUMBER_CHARS = 100
MAX_PATH_CHARS = 2000
MAX_REPORTED_HOPS = 16
REQUEST_ID = re.compile(r"[^\x00-\x20/?#%\x7f-\U0010ffff]+")
PATH = re.compile(r"/[!-~]*")
BOOLEANS = {"true": True, "false": False}


class RequestHeaders(NamedTuple):
    """A request and its path on the target."""

    request: Request
    path: str


class HeaderReader:
    """Reads headers one by one and collects findings about them."""

    def __init__(self, req: falcon.Request):
        self.req = req
        self.findings: list[Finding] = []

    def text(self, name: str, default: str = "") -> str:
        """Returns a header unchanged."""
        return self.req.get_header(name, default=default)

    def boolean(self, name: str, default: bool) -> bool:
        """Returns a header that is ``true`` or ``false``."""
        text = self.text(name).lower()
        if not text:
            return default
        if text not in BOOLEANS:
            self.add_finding(name, text, "true or false")
        return BOOLEANS.get(text, default)

    def integer(self, name: str, default: int, low: int, high: int) -> int:
        """Returns a header that is an integer from ``low`` to ``high``."""
        text = self.text(name)
        if not text:
            return default
        is_short = len(text) <= MAX_NUMBER_CHARS
        is_number = text.isascii() and text.removeprefix("-").isdigit()
        if is_short and is_number and low <= int(text) <= high:
            return int(text)
        self.add_finding(name, text, f"an integer from {low} to {high}")
        return default

    def matching(
        self, name: str, default: str, pattern: re.Pattern, limit: int
    ) -> str:
        """Returns a header of limited length that matches a pattern."""
        text = self.text(name) or default
        if len(text) > limit or not pattern.fullmatch(text):
            expected = f"up to {limit} characters matching {pattern.pattern}"
            self.add_finding(name, text, expected)
        return text

    def add_finding(self, place: str, value: str, expected: str) -> None:
        """Adds a finding."""
        self.findings.append(Finding(place, repr(value[:80]), expected))


def read_request(
    req: falcon.Request, service: str, host: EntryHost
) -> RequestHeaders:
    """Returns the request described by HTTP headers.

    Args:
        req: The HTTP request.
        service: Name of the service.
        host: The core, whose configuration has the defaults of each kind.

    Raises:
        RequestError: Headers are malformed; lists every finding.
    """
    reader = HeaderReader(req)
    deadline_ms = reader.integer(
        headers.DEADLINE_MS, DEFAULT_DEADLINE_MS, 0, MAX_DEADLINE_MS
    )
    kind_name = reader.text(headers.KIND)
    definition = host.configuration.intent.services.get(service)
    kind = definition.kinds.get(kind_name) if definition else None
    generated_id = host.new_request_id(str(uuid.uuid4()))
    has_id = bool(reader.text(headers.REQUEST_ID))
    request = Request(
        id=reader.matching(
            headers.REQUEST_ID, generated_id, REQUEST_ID, MAX_REQUEST_ID_CHARS
        ),
        service=service,
        kind=kind_name,
        weight=reader.integer(
            headers.WEIGHT, kind.weight if kind else 1, 1, MAX_WEIGHT
        ),
        repeatable=reader.boolean(
            headers.REPEATABLE, kind is not None and kind.repeatable
        ),
        deadline=time.monotonic() + deadline_ms / 1000,
        block=reader.text(headers.BLOCK),
        hops=reader.integer(headers.HOPS, 0, 0, MAX_REPORTED_HOPS),
        delegated=reader.boolean(headers.DELEGATED, False),
        attempt=reader.text(headers.ATTEMPT),
        is_first_attempt=reader.boolean(headers.FIRST_ATTEMPT, not has_id),
    )
    if request.delegated and not (request.attempt and has_id):
        expected = "a request id and an attempt id for a delegated request"
        reader.add_finding(headers.ATTEMPT, request.attempt, expected)
    path = reader.matching(headers.PATH, "/", PATH, MAX_PATH_CHARS)
    for name in (headers.KIND, headers.BLOCK, headers.ATTEMPT):
        if len(reader.text(name)) > MAX_NAME_CHARS:
            expected = f"up to {MAX_NAME_CHARS} characters"
            reader.add_finding(name, reader.text(name), expected)
    if reader.findings:
        raise RequestError(tuple(reader.findings))
    return RequestHeaders(request, path)


def check_request_id(request_id: str) -> None:
    """Validates a request id from a path.

    Raises:
        RequestError: The id is too long or has invalid characters.
    """
    is_short = len(request_id) <= MAX_REQUEST_ID_CHARS
    if not is_short or not REQUEST_ID.fullmatch(request_id):
        expected = f"up to {MAX_REQUEST_ID_CHARS} printable characters"
        finding = Finding("request_id", repr(request_id[:80]), expected)
        raise RequestError((finding,))


def handle_request_error(
    req: falcon.Request,
    resp: falcon.Response,
    error: RequestError,
    params: dict,
) -> None:
    """Responds to a malformed request with every finding."""
    resp.status = falcon.HTTP_400
    resp.media = {
        "error": "malformed-request",
        "findings": [finding._asdict() for finding in error.findings],
    }
