"""Interface between the gateway and the message formats of a platform."""

from typing import NamedTuple, Protocol

from sardinewheel_gateway.messages import Headers
from sardinewheel_gateway.policy.announcements import Announcement
from sardinewheel_gateway.policy.loads import ReportedLoad


class CallerInfo(NamedTuple):
    """Request metadata that a caller sends in headers.

    Attributes:
        request_id: Id of this attempt; empty if absent.
        remaining_s: Seconds that the caller will wait; None if absent.
        object_key: Key of the object that the request concerns; empty if
            absent.
        key_digest: Digest of the caller's key, see ``policy.accounts``; empty
            without a key.
    """

    request_id: str
    remaining_s: float | None
    object_key: str
    key_digest: bytes = b""


class ResponseInfo(NamedTuple):
    """Metadata of a target's response.

    Attributes:
        is_authentic: Whether a successful response carries the target's proof
            of origin; true for other responses.
        was_executed: Whether the target may have executed the request.
        is_other_target: Whether a target other than the named one responded.
        load: Load that the target reported, if any.
        announcement: What the target announces; None if it cannot be read.
        pause_s: Seconds for which the target wants no requests of this host; 0
            without such a wish.
    """

    is_authentic: bool
    was_executed: bool
    is_other_target: bool
    load: ReportedLoad | None
    announcement: Announcement | None
    pause_s: float = 0.0


class Lookup(NamedTuple):
    """A caller's query for the hosts that it should use.

    Attributes:
        region: Region of the caller.
        domain: Failure domain of the caller.
    """

    region: str
    domain: str


class PlatformAdapter(Protocol):
    """Parses and builds the messages of a platform."""

    def is_readiness(self, path: bytes) -> bool:
        """Returns whether a path is the readiness endpoint."""

    def lookup(self, path: bytes) -> Lookup | None:
        """Parses a look-up path; returns None for any other path."""

    def lookup_response(self, addresses: list[str], *, ttl_s: float) -> bytes:
        """Returns the body of a look-up response, in JSON."""

    def caller(self, headers: Headers) -> CallerInfo:
        """Parses the request metadata in a caller's headers."""

    def target_request_headers(
        self,
        headers: Headers,
        *,
        target_id: str,
        remaining_s: float,
        account: str | None = None,
    ) -> Headers:
        """Returns the request headers to send to a target.

        Args:
            headers: Headers that the caller sent.
            target_id: Target that is to execute the request.
            remaining_s: Seconds left until the deadline.
            account: Name of the caller's account, empty for a caller without
                one; ``None`` if there are no accounts, so that the caller's own
                headers are passed on.
        """

    def is_response_to(self, headers: Headers, request_id: str) -> bool:
        """Returns whether a response belongs to a request."""

    def response_info(self, status: int, headers: Headers) -> ResponseInfo:
        """Parses the metadata of a target's response."""

    def local_response_headers(self, headers: Headers) -> Headers:
        """Returns headers for a response that the gateway itself creates."""
