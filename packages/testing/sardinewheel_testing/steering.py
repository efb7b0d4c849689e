"""How a caller gets its work done: one interface for all ways."""

import time
from typing import NamedTuple, Protocol

import gevent
from sardinewheel_entry import headers, http_exchange
from sardinewheel_entry.http_exchange import (
    ConnectionLostError,
    ConnectionPool,
    HttpResponse,
)

from sardinewheel_testing.calls import (
    AttemptMade,
    AttemptOutcome,
    Call,
    CallOutcome,
    CallResult,
)

CLIENT_DELAY_S = 0.003
REGION_DELAY_S = 0.035
DONE_PREFIX = b"done "


class Steering(Protocol):
    """A way to get work done by the targets of a house."""

    def steer(self, trail: "Trail") -> CallResult:
        """Makes a call and returns what became of it."""
        ...


class Network:
    """HTTP over connections with the delays of the real network.

    Attributes:
        region: Region in which the callers are.
        regions: Region of each address.
    """

    def __init__(self, *, region: str, regions: dict[str, str]):
        self.region = region
        self.regions = regions
        self.connections = ConnectionPool()

    def send(
        self,
        method: str,
        address: str,
        path: str,
        *,
        fields: dict[str, str],
        body: bytes = b"",
        timeout_s: float,
        fresh: bool = False,
    ) -> HttpResponse:
        """Sends one request, once, and returns the response.

        Raises:
            NotSentError: No connection could be made.
            ConnectionLostError: Bytes left and no whole response came.
        """
        head = http_exchange.encode_request_head(
            method, path, address, fields, len(body)
        )
        delay_s = self.delay_s(address)
        gevent.sleep(delay_s)
        sock = self.connections.take(address, now=time.monotonic(), fresh=fresh)
        keep = False
        try:
            with gevent.Timeout(max(0.001, timeout_s - 2 * delay_s)):
                http_exchange.send(sock, head, body)
                response, keep = http_exchange.receive(sock, method)
        except gevent.Timeout as error:
            raise ConnectionLostError("timeout") from error
        finally:
            if keep:
                self.connections.put(address, sock, now=time.monotonic())
            else:
                sock.close()
        gevent.sleep(delay_s)
        return response

    def delay_s(self, address: str) -> float:
        """Returns the one-way delay to an address in seconds."""
        if self.regions.get(address, self.region) == self.region:
            return CLIENT_DELAY_S
        return CLIENT_DELAY_S + REGION_DELAY_S


class Told(NamedTuple):
    """What a caller was told of one request id, and the body if done."""

    outcome: AttemptOutcome
    reason: str = ""
    body: bytes = b""
    retry_after_s: float = 0.0
    retry_at: tuple[str, ...] = ()


class Trail:
    """A call while a caller works on it.

    Attributes:
        call: The call.
        prefix: Start of the request ids that are made for it.
        due_at: When the call was to be made, monotonic seconds.
        attempts: Request ids used so far, with what was told of each.
        avoided: Hosts or targets that failed to answer.
    """

    def __init__(self, call: Call, *, prefix: str, due_at: float):
        self.call = call
        self.prefix = f"{prefix}-{call.index}"
        self.due_at = due_at
        self.deadline = due_at + call.rate.deadline_s
        self.attempts: list[AttemptMade] = []
        self.avoided: set[str] = set()

    @property
    def left_s(self) -> float:
        """Seconds until the deadline."""
        return self.deadline - time.monotonic()

    @property
    def body(self) -> bytes:
        """A body that no other call has."""
        return f"{self.prefix}/{self.call.rate.kind}".encode()

    def next_id(self, ticket: str = "") -> str:
        """Returns an id that was not used before."""
        suffix = f"{self.prefix}-{len(self.attempts)}"
        return f"{ticket}~{suffix}" if ticket else suffix

    def fields(self, request_id: str, timeout_s: float) -> dict[str, str]:
        """Returns the headers of one request for this call."""
        rate = self.call.rate
        return {
            headers.REQUEST_ID: request_id,
            headers.KIND: rate.kind,
            headers.WEIGHT: str(rate.weight),
            headers.REPEATABLE: "true" if rate.repeatable else "false",
            headers.DEADLINE_MS: str(max(1, int(timeout_s * 1000))),
            "Content-Type": "application/octet-stream",
        }

    def add(self, request_id: str, told: Told) -> None:
        """Records what was told of an id."""
        attempt = AttemptMade(
            request_id,
            told.outcome,
            told.reason,
            round(time.monotonic() - self.due_at, 4),
            told.retry_after_s,
        )
        self.attempts.append(attempt)

    def end(self, outcome: CallOutcome, told: Told | None = None) -> CallResult:
        """Returns the result of the call."""
        is_own = outcome is not CallOutcome.DONE or (
            told is not None and told.body == DONE_PREFIX + self.body
        )
        return CallResult(
            self.call,
            outcome,
            time.monotonic() - self.due_at,
            tuple(self.attempts),
            is_own,
        )

    def wait(self, seconds: float) -> bool:
        """Waits; says at once when the deadline would pass meanwhile."""
        if seconds >= self.left_s:
            return False
        gevent.sleep(seconds)
        return True
