"""Client of the platform's table service, object store and host list.

Failures are values, not exceptions: the core decides what they mean. A call
without an answer is repeated once on a new connection, if the retry budget
allows it. A repeated transaction that does not commit may have failed its
checks because the first one took effect, so its outcome counts as unknown and
the core settles it by the change id.
"""

import json
import random
import time
from typing import Any, NamedTuple

import gevent
import structlog
from gevent.lock import BoundedSemaphore
from sardinewheel_core.codec import from_plain
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
    Connections,
    HttpResponse,
    NotSentError,
)

CALL_TIMEOUT_S = 2.0
MAX_CALLS_AT_ONCE = 16
RETRY_BUDGET = 5.0
RETRY_PER_CALL = 0.1
MIN_RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 0.25
OK = 200
NO_CONTENT = 204
NOT_FOUND = 404

Rows = tuple[tuple[str, int, str], ...]
PlatformEffect = ReadRows | Transact | ReadObject | PutObject
PlatformEvent = RowsRead | TransactionEnded | ObjectRead

log = structlog.get_logger()


class PlainRow(NamedTuple):
    """A row as the platform sends it."""

    key: str
    version: int
    value: str


class ReadAnswer(NamedTuple):
    """Answer to a read of the table."""

    rows: tuple[PlainRow, ...]


class TransactAnswer(NamedTuple):
    """Answer to a transaction."""

    committed: bool
    rows: tuple[PlainRow, ...] = ()


class ListedHost(NamedTuple):
    """A host of the platform's list."""

    name: str
    state: str


class HostsAnswer(NamedTuple):
    """Answer with the platform's list of hosts."""

    hosts: tuple[ListedHost, ...]


class Reply(NamedTuple):
    """How a call ended.

    Attributes:
        response: The response, or nothing when none came.
        is_repeated: Whether an earlier sending may have taken effect.
    """

    response: HttpResponse | None
    is_repeated: bool = False


class PlatformCounters:
    """Calls so far, for the request budget.

    Attributes:
        reads: Calls that read, repetitions included.
        writes: Calls that write, repetitions included.
        retries: Repetitions.
        failures: Calls that ended without a usable answer.
    """

    def __init__(self):
        self.reads = 0
        self.writes = 0
        self.retries = 0
        self.failures = 0

    def as_dict(self) -> dict[str, int]:
        """Returns the counts by name."""
        return dict(vars(self))


class PlatformClient:
    """Calls the platform over HTTP.

    Attributes:
        address: ``host:port`` of the platform.
        counters: Calls so far.
    """

    def __init__(self, address: str):
        self.address = address
        self.connections = Connections()
        self.counters = PlatformCounters()
        self.retry_tokens = RETRY_BUDGET
        self.rng = random.Random()
        self.slots = BoundedSemaphore(MAX_CALLS_AT_ONCE)

    def call(self, effect: PlatformEffect) -> PlatformEvent | None:
        """Carries out an effect and returns the event that answers it."""
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
        """Reads rows of the table."""
        body = json.dumps({"keys": effect.keys}).encode()
        reply = self._call("POST", "/v1/table/read", body)
        answer = self._parse(reply.response, ReadAnswer)
        if answer is None:
            return RowsRead(effect.call_id, (), failed=True)
        return RowsRead(effect.call_id, _rows(answer.rows))

    def transact(self, effect: Transact) -> TransactionEnded:
        """Runs a transaction."""
        plain = {
            "change_id": effect.change_id,
            "checks": effect.checks,
            "writes": effect.writes,
        }
        body = json.dumps(plain).encode()
        reply = self._call("POST", "/v1/table/transact", body, is_write=True)
        answer = self._parse(reply.response, TransactAnswer)
        if answer is None or (reply.is_repeated and not answer.committed):
            return TransactionEnded(effect.call_id, False, failed=True)
        rows = _rows(answer.rows)
        return TransactionEnded(effect.call_id, answer.committed, rows)

    def read_object(self, effect: ReadObject) -> ObjectRead:
        """Reads an object of the store."""
        response = self._call("GET", f"/v1/objects/{effect.name}").response
        if response is not None and response.status == NOT_FOUND:
            return ObjectRead(effect.call_id)
        if response is None or response.status != OK:
            return ObjectRead(effect.call_id, failed=True)
        try:
            return ObjectRead(effect.call_id, response.body.decode())
        except UnicodeDecodeError as error:
            self._refuse(str(error))
            return ObjectRead(effect.call_id, failed=True)

    def put_object(self, effect: PutObject) -> bool:
        """Writes an object of the store; says whether that was confirmed."""
        path = f"/v1/objects/{effect.name}"
        body = effect.text.encode()
        response = self._call("PUT", path, body, is_write=True).response
        return response is not None and response.status in (OK, NO_CONTENT)

    def hosts(self) -> tuple[tuple[str, str], ...] | None:
        """Returns name and state of the listed hosts, or nothing."""
        reply = self._call("GET", "/v1/hosts")
        answer = self._parse(reply.response, HostsAnswer)
        if answer is None:
            return None
        return tuple((h.name, h.state) for h in answer.hosts)

    def _call(
        self, method: str, path: str, body: bytes = b"", *, is_write=False
    ) -> Reply:
        """Calls the platform, twice at most."""
        if not self.slots.acquire(timeout=CALL_TIMEOUT_S):
            self.counters.failures += 1
            return Reply(None)
        try:
            reply = self._attempt(method, path, body, is_write=is_write)
            if reply.response is None and self._may_retry():
                gevent.sleep(
                    self.rng.uniform(MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S)
                )
                again = self._attempt(
                    method, path, body, is_write=is_write, fresh=True
                )
                reply = Reply(again.response, reply.is_repeated)
        finally:
            self.slots.release()
        if reply.response is None:
            self.counters.failures += 1
        return reply

    def _attempt(
        self, method: str, path: str, body: bytes, *, is_write, fresh=False
    ) -> Reply:
        """Sends a call once; ``is_repeated`` says whether bytes left."""
        self._count(is_write)
        fields = {"Content-Type": "application/json"} if body else {}
        head = http_exchange.head_of(
            method, path, self.address, fields, len(body)
        )
        try:
            sock = self.connections.take(
                self.address, now=time.monotonic(), fresh=fresh
            )
        except NotSentError:
            return Reply(None)
        keep = False
        try:
            with gevent.Timeout(CALL_TIMEOUT_S):
                http_exchange.send(sock, head, body)
                response, keep = http_exchange.receive(sock, method)
        except (ConnectionLostError, gevent.Timeout):
            return Reply(None, is_repeated=True)
        finally:
            if keep:
                self.connections.put(self.address, sock, now=time.monotonic())
            else:
                sock.close()
        return Reply(response)

    def _count(self, is_write: bool) -> None:
        self.retry_tokens = min(
            RETRY_BUDGET, self.retry_tokens + RETRY_PER_CALL
        )
        if is_write:
            self.counters.writes += 1
        else:
            self.counters.reads += 1

    def _may_retry(self) -> bool:
        """Takes a token of the retry budget, which calls refill."""
        if self.retry_tokens < 1.0:
            return False
        self.retry_tokens -= 1.0
        self.counters.retries += 1
        return True

    def _parse(self, response: HttpResponse | None, kind: type) -> Any:
        """Returns the typed answer, or nothing when it is malformed."""
        if response is None or response.status != OK:
            return None
        try:
            return from_plain(json.loads(response.body), kind)
        except (ValueError, RecursionError, MessageError) as error:
            self._refuse(str(error))
            return None

    def _refuse(self, error: str) -> None:
        self.counters.failures += 1
        log.warning("platform-answer-refused", error=error)


def _rows(plain: tuple[PlainRow, ...]) -> Rows:
    return tuple((row.key, row.version, row.value) for row in plain)
