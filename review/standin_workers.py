"""Workers: they register in the store and run requests."""

import asyncio
import hashlib
import itertools
import json
import time
from collections.abc import Callable
from typing import NamedTuple

from standin_http import read_message
from standin_store import Store

SLOTS = 3
QUEUE = 9
COLD_S = 3.0
LEAVE_MARGIN_S = 0.5
MS_PER_S = 1000


class Run(NamedTuple):
    """A request that reached a worker.

    Attributes:
        at: Time of arrival on the monotonic clock.
        worker: Id of the worker.
        service: Its service.
        zone: Its zone.
        attempt: Id of the attempt.
        has_run: Whether the worker began to work on it.
        body_bytes: Size of its body.
        body_digest: Digest of its body.
    """

    at: float
    worker: str
    service: str
    zone: str
    attempt: str
    has_run: bool
    body_bytes: int
    body_digest: str


def digest_of(body: bytes) -> str:
    """Returns the digest of a request body."""
    return hashlib.sha256(body).hexdigest()[:16]


def body_of(attempt: str) -> bytes:
    """Returns the body that workers send in response to an attempt."""
    return hashlib.sha256(attempt.encode()).hexdigest().encode()


class Worker:
    """One incarnation of a worker.

    Attributes:
        worker_id: Its id.
        runs: Requests that reached any worker.
        work_s: Seconds that a request takes.
        is_leaving: Whether it is about to leave.
    """

    numbers = itertools.count(1)

    def __init__(
        self,
        store: Store,
        runs: list[Run],
        *,
        service: str,
        zone: str,
        host: str,
        worker_id: str = "",
        work_s: float = 0.1,
        keep_alive_s: int = 10,
        on_request: Callable[[Run], None] = lambda _: None,
    ):
        self.worker_id = worker_id or f"i-{next(self.numbers):06x}"
        self.store = store
        self.runs = runs
        self.service = service
        self.zone = zone
        self.host = host
        self.port = 0
        self.work_s = work_s
        self.keep_alive_s = keep_alive_s
        self.on_request = on_request
        self.is_leaving = False
        self.born_ms = int(time.time() * MS_PER_S)
        self.cold_s = 0.0
        self.running = 0
        self.waiting = 0
        self.slots = asyncio.Semaphore(SLOTS)
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    @property
    def record(self) -> dict:
        """What it says of itself in the store."""
        return {
            "Service": self.service,
            "Address": f"{self.host}:{self.port}",
            "Zone": self.zone,
            "CfgVersion": "v1",
            "Slots": SLOTS,
            "OperState": "draining" if self.is_leaving else "in_service",
            "ColdLeft": f"{int(self.cold_s * MS_PER_S)}ms",
            "Sequence": 1,
            "born": self.born_ms,
        }

    @property
    def encoded_record(self) -> bytes:
        """Content of its entry."""
        return json.dumps(self.record).encode()

    async def start(self, *, cold_s: float = 0.0) -> None:
        """Listens and registers."""
        self.cold_s = cold_s
        self.server = await asyncio.start_server(
            self._serve, self.host, self.port
        )
        self.port = self.server.sockets[0].getsockname()[1]
        self.register()

    def register(self) -> None:
        """Writes its entry."""
        self.store.put("servers", self.worker_id, self.encoded_record)

    def drain(self) -> float:
        """Reports that it leaves; returns when the store accepted that."""
        self.is_leaving = True
        self.register()
        return time.monotonic()

    def crash(self) -> None:
        """Ends with all its connections and says nothing."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def stop(self) -> None:
        """Ends with all its connections, and takes its entry back."""
        self.server.close()
        for writer in list(self.writers):
            writer.close()
        self.store.put("servers", self.worker_id, None)

    async def _serve(self, reader, writer) -> None:
        self.writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                await self._handle(request, writer)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _handle(self, request, writer) -> None:
        headers = request.headers
        attempt = headers.get("sardinewheel-attempt-id", "")
        if request.first_line[1] == "/health":
            self._send(writer, 503 if self.is_leaving else 200, attempt)
            return
        named = headers.get("sardinewheel-target-instance")
        if named not in (None, self.worker_id):
            self._send(writer, 421, attempt, not_executed=True)
            return
        has_room = self.waiting < QUEUE
        run = Run(
            time.monotonic(),
            self.worker_id,
            self.service,
            self.zone,
            attempt,
            has_room,
            len(request.body),
            digest_of(request.body),
        )
        self.runs.append(run)
        self.on_request(run)
        if not has_room:
            self._send(writer, 503, attempt, not_executed=True)
            return
        self.waiting += 1
        async with self.slots:
            self.waiting -= 1
            self.running += 1
            await asyncio.sleep(self.work_s)
            self.running -= 1
        self._send(writer, 200, attempt)

    def _send(
        self, writer, status: int, attempt: str, *, not_executed: bool = False
    ) -> None:
        body = body_of(attempt) if status == 200 else b""  # noqa: PLR2004
        lines = [
            f"HTTP/1.1 {status} X",
            f"Sardinewheel-Attempt-Id: {attempt}",
            f"Sardinewheel-Instance-Id: {self.worker_id}",
            f"Sardinewheel-Server-Load: {self.running},{self.waiting},{SLOTS}",
            f"Content-Length: {len(body)}",
            f"Keep-Alive: timeout={self.keep_alive_s}",
        ]
        if not_executed:
            lines.append("Sardinewheel-Not-Executed: 1")
        else:
            lines.append(f"Sardinewheel-Server-Seal: seal.{attempt}")
        if self.is_leaving:
            lines += ["Server-Leaving: 1", "Connection: close"]
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
