"""What the adapter of a platform tells the gateway about its messages."""

from typing import NamedTuple, Protocol

from sardinewheel_gateway.messages import Headers
from sardinewheel_gateway.policy.loads import ReportedLoad


class Caller(NamedTuple):
    """What a caller says of its request in headers.

    Attributes:
        request_id: Identity of this attempt, or an empty text.
        remaining_s: Seconds that the caller waits, or nothing.
        object_key: Object that the request concerns, or an empty text.
    """

    request_id: str
    remaining_s: float | None
    object_key: str


class Verdict(NamedTuple):
    """What a target's answer means.

    Attributes:
        is_whole: Whether a success bears the target's proof.
        was_executed: Whether the target may have executed the request.
        is_other_target: Whether another target than the named one answered.
        load: Load that the target reports, if any.
    """

    is_whole: bool
    was_executed: bool
    is_other_target: bool
    load: ReportedLoad | None


class Lookup(NamedTuple):
    """A caller's question which hosts it should use.

    Attributes:
        region: Region of the caller.
        domain: Failure domain of the caller.
    """

    region: str
    domain: str


class Contract(Protocol):
    """Reads and writes the messages of a platform."""

    def is_readiness(self, path: bytes) -> bool:
        """Says whether a path asks if this host takes requests."""

    def lookup(self, path: bytes) -> Lookup | None:
        """Returns the question that a path asks, if it is a look-up."""

    def lookup_answer(self, addresses: list[str], *, ttl_s: float) -> bytes:
        """Returns the answer to a look-up, in JSON."""

    def caller(self, headers: Headers) -> Caller:
        """Returns what a caller says of its request."""

    def to_target(
        self, headers: Headers, *, target_id: str, remaining_s: float
    ) -> Headers:
        """Returns a caller's headers as they go to a target."""

    def answers(self, headers: Headers, request_id: str) -> bool:
        """Says whether an answer belongs to a request."""

    def verdict(self, status: int, headers: Headers) -> Verdict:
        """Returns what a target's answer means."""

    def own_answer(self, headers: Headers) -> Headers:
        """Returns the headers of an answer of the gateway's own."""
