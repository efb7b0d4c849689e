"""A caller's request, as it is forwarded."""

from collections.abc import Iterator
from itertools import chain
from typing import NamedTuple

from sardinewheel_gateway import messages
from sardinewheel_gateway.errors import BodyTakenError
from sardinewheel_gateway.http_client import OutgoingRequest
from sardinewheel_gateway.messages import Headers, RequestHead
from sardinewheel_gateway.platform_adapter import CallerInfo
from sardinewheel_gateway.policy.accounts import Account
from sardinewheel_gateway.policy.routes import Route, common_homes

DEFAULT_CALLER_TIMEOUT_S = 30.0


class Deadlines(NamedTuple):
    """Deadlines of a request, on the monotonic clock.

    Attributes:
        caller: Time at which the caller stops waiting.
        response: Time at which the final response is due.
    """

    caller: float
    response: float

    @classmethod
    def from_head(
        cls, head: RequestHead, caller: CallerInfo, route: Route
    ) -> "Deadlines":
        """Returns the deadlines of a request with the given head."""
        caller_timeout_s = caller.remaining_s
        if caller_timeout_s is None:
            caller_timeout_s = DEFAULT_CALLER_TIMEOUT_S
        timeout_s = caller_timeout_s
        if route.timeout_s is not None:
            timeout_s = min(timeout_s, route.timeout_s)
        return cls(
            head.received_at + caller_timeout_s, head.received_at + timeout_s
        )


class Body:
    """A request body, which can be sent once if it is too large to buffer.

    Attributes:
        start: The whole body, or the first part of a large one.
        rest: Yields the remainder of a body too large to buffer; None if
            ``start`` is the whole body.
        was_taken: Whether the remainder was taken, to be sent.
    """

    def __init__(self, start: bytes, rest: Iterator[bytes] | None):
        self.start = start
        self.rest = rest
        self.was_taken = False

    @property
    def can_be_sent(self) -> bool:
        """Whether the whole body can be sent from now on."""
        return self.rest is None or not self.was_taken

    def take_parts(self) -> Iterator[bytes]:
        """Returns the parts of the whole body; the remainder only once.

        Raises:
            BodyTakenError: The remainder was taken before.
        """
        if not self.can_be_sent:
            raise BodyTakenError("the body was sent before")
        self.was_taken = True
        return chain((self.start,), self.rest or ())


class Request(NamedTuple):
    """A caller's request to be forwarded.

    Attributes:
        head: Request line and headers.
        caller: Metadata that the caller sent in headers.
        route: Route of the request.
        body: Request body.
        deadline: Time at which the final response is due, on the monotonic
            clock.
        digest: Digest by which it is recognised when it comes again.
        account: The caller's account, if any.
    """

    head: RequestHead
    caller: CallerInfo
    route: Route
    body: Body
    deadline: float
    digest: str = ""
    account: Account | None = None

    @property
    def home_regions(self) -> frozenset[str]:
        """Regions that may execute the request; empty for all."""
        return common_homes(self.route, self.account)

    @property
    def is_repeatable(self) -> bool:
        """Whether it may be sent again although it may have been executed."""
        return self.route.is_idempotent and self.body.rest is None


def outgoing_request(request: Request, headers: Headers) -> OutgoingRequest:
    """Returns a caller's request, framed anew, with the given headers."""
    head = request.head
    if request.body.rest is not None:
        if messages.header_value(headers, b"content-length") is None:
            headers = [*headers, (b"transfer-encoding", b"chunked")]
        parts = request.body.take_parts()
        return OutgoingRequest(
            head.method, head.path, headers, parts, is_chunked=True
        )
    headers = [h for h in headers if h[0] != b"content-length"]
    if messages.has_body(head.headers):
        length = str(len(request.body.start)).encode()
        headers.append((b"content-length", length))
    return OutgoingRequest(head.method, head.path, headers, request.body.start)
