"""Client of the platform's table service, object store and host list.

Failures are returned as values, not raised: the core decides how to handle
them. A call without a response is retried once on a new connection, if the
retry budget allows it. If a retried transaction does not commit, its checks may
have failed because the first attempt took effect; its outcome is therefore
reported as unknown, and the core resolves it by the change id.
"""

import json
import random
import time
from typing import Any, NamedTuple

import gevent
import structlog
from gevent.lock import BoundedSemaphore
from sardinewheel_core.codec import from_plain, load_json
from sardinewheel_core.effects import (
    ObjectRead,
    PutObject,
    ReadObject,
    ReadRows,
    RowsRead,
    Transact,
    TransactionEnded,
)
from sardinewheel_core.errors import MessageError

from sardinewheel_entry import http_exchange
from sardinewheel_entry.http_exchange import (
    ConnectionLostError,
    ConnectionPool,
    HttpResponse,
    NotSentError,
)

CALL_TIMEOUT_S = 2.0
MAX_CONCURRENT_CALLS = 16
MAX_RETRY_TOKENS = 5.0
RETRY_TOKENS_PER_CALL = 0.1
MIN_RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 0.25
OK = 200
NO_CONTENT = 204
NOT_FOUND = 404

Rows = tuple[tuple[str, int, str], ...]
PlatformEffect = ReadRows | Transact | ReadObject | PutObject
PlatformEvent = RowsRead | TransactionEnded | ObjectRead

log = structlog.get_logger()


class TableRow(NamedTuple):
    """A row of the table, as the platform sends it."""

    key: str
    version: int
    value: str


class ReadResponse(NamedTuple):
    """Response to a read of the table."""

    rows: tuple[TableRow, ...]


class TransactResponse(NamedTuple):
    """Response to a transaction."""

    committed: bool
    rows: tuple[TableRow, ...] = ()


class ListedHost(NamedTuple):
    """An entry of the platform's host list."""

    name: str
    state: str


class HostListResponse(NamedTuple):
    """Response with the platform's list of hosts."""

    hosts: tuple[ListedHost, ...]


class CallResult(NamedTuple):
    """Result of a call.

    Attributes:
        response: The response, or ``None`` if none was received.
        may_have_executed: Whether an attempt without a response may have taken
            effect.
    """

    response: HttpResponse | None
    may_have_executed: bool = False


class PlatformCounters:
    """Counts of calls to the platform.

    Attributes:
        reads: Read attempts, including retries.
        writes: Write attempts, including retries.
        retries: Retries.
        failures: Calls that ended without a valid response.
    """

    def __init__(self):
        self.reads = 0
        self.writes = 0
        self.retries = 0
        self.failures = 0

    def as_dict(self) -> dict[str, int]:
        """Returns the counts by attribute name."""
        return dict(vars(self))


class PlatformClient:
    """Calls the platform over HTTP.

    Attributes:
        address: ``host:port`` of the platform.
        connections: Pooled connections to the platform.
        counters: Counts of calls.
        retry_tokens: Tokens in the retry budget; each attempt adds
            ``RETRY_TOKENS_PER_CALL``, each retry uses 1.
        rng: Random number generator for the retry delay.
        concurrency_limit: Limits the calls that run at the same time.
    """

    def __init__(self, address: str):
        self.address = address
        self.connections = ConnectionPool()
        self.counters = PlatformCounters()
        self.retry_tokens = MAX_RETRY_TOKENS
        self.rng = random.Random()
        self.concurrency_limit = BoundedSemaphore(MAX_CONCURRENT_CALLS)

    def call(self, effect: PlatformEffect) -> PlatformEvent | None:
        """Executes an effect and returns the event with its result, if any."""
        match effect:
            case ReadRows():
                return self.read(effect)
            case Transact():
                return self.transact(effect)
            case ReadObject():
                return self.read_object(effect)
            case PutObject():
                self.put_object(effect)
        return None

    def read(self, effect: ReadRows) -> RowsRead:
        """Reads rows of the table service."""
        body = json.dumps({"keys": effect.keys}).encode()
        result = self._call("POST", "/v1/table/read", body)
        parsed = self._parse(result.response, ReadResponse)
        if parsed is None:
            return RowsRead(effect.call_id, (), failed=True)
        return RowsRead(effect.call_id, _to_rows(parsed.rows))

    def transact(self, effect: Transact) -> TransactionEnded:
        """Runs a transaction of the table service."""
        plain = {
            "change_id": effect.change_id,
            "checks": effect.checks,
            "writes": effect.writes,
        }
        body = json.dumps(plain).encode()
        result = self._call("POST", "/v1/table/transact", body, is_write=True)
        parsed = self._parse(result.response, TransactResponse)
        if parsed is None or (
            result.may_have_executed and not parsed.committed
        ):
            return TransactionEnded(effect.call_id, False, failed=True)
        rows = _to_rows(parsed.rows)
        return TransactionEnded(effect.call_id, parsed.committed, rows)

    def read_object(self, effect: ReadObject) -> ObjectRead:
        """Reads an object of the object store."""
        response = self._call("GET", f"/v1/objects/{effect.name}").response
        if response is not None and response.status == NOT_FOUND:
            return ObjectRead(effect.call_id)
        if response is None or response.status != OK:
            return ObjectRead(effect.call_id, failed=True)
        try:
            return ObjectRead(effect.call_id, response.body.decode())
        except UnicodeDecodeError as error:
            self._report_malformed(str(error))
            return ObjectRead(effect.call_id, failed=True)

    def put_object(self, effect: PutObject) -> bool:
        """Writes an object; returns whether the object store confirmed it."""
        path = f"/v1/objects/{effect.name}"
        body = effect.text.encode()
        response = self._call("PUT", path, body, is_write=True).response
        return response is not None and response.status in (OK, NO_CONTENT)

    def hosts(self) -> tuple[tuple[str, str], ...] | None:
        """Returns name and state of each listed host; ``None`` on failure."""
        result = self._call("GET", "/v1/hosts")
        parsed = self._parse(result.response, HostListResponse)
        if parsed is None:
            return None
        return tuple((h.name, h.state) for h in parsed.hosts)

    def _call(
        self, method: str, path: str, body: bytes = b"", *, is_write=False
    ) -> CallResult:
        """Calls the platform, with at most one retry."""
        if not self.concurrency_limit.acquire(timeout=CALL_TIMEOUT_S):
            self.counters.failures += 1
            return CallResult(None)
        try:
            result = self._send_once(method, path, body, is_write=is_write)
            if result.response is None and self._take_retry_token():
                gevent.sleep(
                    self.rng.uniform(MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S)
                )
                retried = self._send_once(
                    method, path, body, is_write=is_write, fresh=True
                )
                result = CallResult(retried.response, result.may_have_executed)
        finally:
            self.concurrency_limit.release()
        if result.response is None:
            self.counters.failures += 1
        return result

    def _send_once(
        self, method: str, path: str, body: bytes, *, is_write, fresh=False
    ) -> CallResult:
        """Sends a call once, without retry.

        ``may_have_executed`` is set if bytes may have been sent but no
        response was received.
        """
        self._count_call(is_write)
        fields = {"Content-Type": "application/json"} if body else {}
        head = http_exchange.encode_request_head(
            method, path, self.address, fields, len(body)
        )
        try:
            sock = self.connections.get_socket(
                self.address, now=time.monotonic(), fresh=fresh
            )
        except NotSentError:
            return CallResult(None)
        is_reusable = False
        try:
            with gevent.Timeout(CALL_TIMEOUT_S):
                http_exchange.send(sock, head, body)
                response, is_reusable = http_exchange.receive(sock, method)
        except (ConnectionLostError, gevent.Timeout):
            return CallResult(None, may_have_executed=True)
        finally:
            if is_reusable:
                self.connections.put(self.address, sock, now=time.monotonic())
            else:
                sock.close()
        return CallResult(response)

    def _count_call(self, is_write: bool) -> None:
        self.retry_tokens = min(
            MAX_RETRY_TOKENS, self.retry_tokens + RETRY_TOKENS_PER_CALL
        )
        if is_write:
            self.counters.writes += 1
        else:
            self.counters.reads += 1

    def _take_retry_token(self) -> bool:
        """Uses one retry token; returns whether one was available."""
        if self.retry_tokens < 1.0:
            return False
        self.retry_tokens -= 1.0
        self.counters.retries += 1
        return True

    def _parse(self, response: HttpResponse | None, body_type: type) -> Any:
        """Returns the parsed body, or ``None`` if failed or malformed."""
        if response is None or response.status != OK:
            return None
        try:
            return from_plain(load_json(response.body), body_type)
        except MessageError as error:
            self._report_malformed(str(error))
            return None

    def _report_malformed(self, error: str) -> None:
        self.counters.failures += 1
        log.warning("platform-answer-refused", error=error)


def _to_rows(plain: tuple[TableRow, ...]) -> Rows:
    return tuple((row.key, row.version, row.value) for row in plain)
