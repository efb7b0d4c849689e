"""Interface of the strategies by which callers send requests."""

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
    """A strategy for sending calls to the targets of a deployment."""

    def steer(self, active_call: "ActiveCall") -> CallResult:
        """Makes a call, with retries, and returns its result."""
        ...


class Network:
    """HTTP client that simulates network delays between regions.

    Attributes:
        region: Region of the callers.
        regions: Region of each address.
        connections: Pool of idle connections.
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
        """Sends one request, without retries, and returns the response.

        Raises:
            NotSentError: No connection could be made.
            ConnectionLostError: The request may have been sent, but no
                complete response arrived before the time-out.
        """
        head = http_exchange.encode_request_head(
            method, path, address, fields, len(body)
        )
        delay_s = self.delay_s(address)
        gevent.sleep(delay_s)
        sock = self.connections.get_socket(
            address, now=time.monotonic(), fresh=fresh
        )
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


class AttemptResult(NamedTuple):
    """The result of one attempt, as seen by the caller.

    Attributes:
        outcome: Outcome that follows from the response or its absence.
        reason: Reason for the outcome, if given.
        body: Body of the response if the request was done.
        retry_after_s: Seconds to wait before a retry.
        retry_at: Names of the hosts to retry at.
    """

    outcome: AttemptOutcome
    reason: str = ""
    body: bytes = b""
    retry_after_s: float = 0.0
    retry_at: tuple[str, ...] = ()


class ActiveCall:
    """State of a call that is in progress.

    Attributes:
        call: The call.
        prefix: Common prefix of the request ids of this call.
        due_at: Scheduled time of the call, monotonic seconds.
        deadline: Time at which the call times out, monotonic seconds.
        attempts: Attempts made so far.
        avoided: Entry hosts that did not answer an attempt of this call.
    """

    def __init__(self, call: Call, *, prefix: str, due_at: float):
        self.call = call
        self.prefix = f"{prefix}-{call.index}"
        self.due_at = due_at
        self.deadline = due_at + call.workload.deadline_s
        self.attempts: list[AttemptMade] = []
        self.avoided: set[str] = set()

    @property
    def remaining_s(self) -> float:
        """Seconds until the deadline."""
        return self.deadline - time.monotonic()

    @property
    def body(self) -> bytes:
        """Request body, unique to this call."""
        return f"{self.prefix}/{self.call.workload.kind}".encode()

    def next_id(self, ticket: str = "") -> str:
        """Returns a new request id, with a ticket if one is given."""
        suffix = f"{self.prefix}-{len(self.attempts)}"
        return f"{ticket}~{suffix}" if ticket else suffix

    def fields(self, request_id: str, timeout_s: float) -> dict[str, str]:
        """Returns the HTTP headers of an attempt."""
        workload = self.call.workload
        return {
            headers.REQUEST_ID: request_id,
            headers.KIND: workload.kind,
            headers.WEIGHT: str(workload.weight),
            headers.REPEATABLE: "true" if workload.repeatable else "false",
            headers.DEADLINE_MS: str(max(1, int(timeout_s * 1000))),
            "Content-Type": "application/octet-stream",
        }

    def add(self, request_id: str, result: AttemptResult) -> None:
        """Records the result of an attempt."""
        attempt = AttemptMade(
            request_id,
            result.outcome,
            result.reason,
            round(time.monotonic() - self.due_at, 4),
            result.retry_after_s,
        )
        self.attempts.append(attempt)

    def to_call_result(
        self, outcome: CallOutcome, result: AttemptResult | None = None
    ) -> CallResult:
        """Returns the result of the call."""
        is_matching = outcome is not CallOutcome.DONE or (
            result is not None and result.body == DONE_PREFIX + self.body
        )
        return CallResult(
            self.call,
            outcome,
            time.monotonic() - self.due_at,
            tuple(self.attempts),
            is_matching,
        )

    def wait(self, seconds: float) -> bool:
        """Waits; returns ``False`` at once if the deadline would pass first."""
        if seconds >= self.remaining_s:
            return False
        gevent.sleep(seconds)
        return True
