"""Clients, and readiness checks as the platform makes them."""

import asyncio
import itertools
import time
from typing import NamedTuple

from standin_http import read_message
from standin_workers import body_of, digest_of

CONNECT_TIMEOUT_S = 1.0
READY_TIMEOUT_S = 1.0
MS_PER_S = 1000
CHUNK_BYTES = 16 * 1024
OK = 200


class Answer(NamedTuple):
    """How an attempt ended.

    Attributes:
        sent_at: Time at which it was sent, on the monotonic clock.
        host: IP address of the machine that it was sent to.
        path: Path of the request.
        attempt: Its id.
        status: Status of the answer; 0 for none.
        is_whole: Whether it is the worker's whole answer to this attempt.
        body_digest: Digest of the body that was sent.
        took_s: Seconds until the answer.
    """

    sent_at: float
    host: str
    path: str
    attempt: str
    status: int
    is_whole: bool
    body_digest: str
    took_s: float


class Clients:
    """Sends requests, each on a connection of its own.

    Attributes:
        answers: All attempts that have ended.
    """

    def __init__(self, *, host_name: str, front_port: int):
        self.host_name = host_name
        self.front_port = front_port
        self.answers: list[Answer] = []
        self.numbers = itertools.count(1)
        self.tasks: set[asyncio.Task] = set()

    def send_later(self, host: str, path: str, **options) -> None:
        """Sends a request without waiting for its answer."""
        task = asyncio.create_task(self.send(host, path, **options))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def finish(self) -> None:
        """Waits for the answers of all requests sent."""
        await asyncio.gather(*self.tasks)

    async def send(
        self,
        host: str,
        path: str,
        *,
        method: str = "GET",
        body: bytes = b"",
        is_chunked: bool = False,
        affinity: str = "",
        deadline_s: float = 3.0,
    ) -> Answer:
        """Sends a request and returns how it ended."""
        attempt = f"{next(self.numbers):016x}"
        sent_at = time.monotonic()
        payload = body
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {self.host_name}",
            f"Sardinewheel-Attempt-Id: {attempt}",
            f"Sardinewheel-Time-Remaining: {int(deadline_s * MS_PER_S)}",
        ]
        if affinity:
            lines.append(f"Cookie: Sardinewheel-Affinity-Key={affinity}")
        if is_chunked:
            lines.append("Transfer-Encoding: chunked")
            payload = _chunks(body)
        elif method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        data = "\r\n".join([*lines, "", ""]).encode() + payload
        try:
            async with asyncio.timeout(deadline_s):
                status, is_whole = await self._exchange(host, data, attempt)
        except (OSError, TimeoutError):
            status, is_whole = 0, False
        took_s = time.monotonic() - sent_at
        answer = Answer(
            sent_at,
            host,
            path,
            attempt,
            status,
            is_whole,
            digest_of(body),
            took_s,
        )
        self.answers.append(answer)
        return answer

    async def _exchange(
        self, host: str, data: bytes, attempt: str
    ) -> tuple[int, bool]:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(
                host, self.front_port
            )
        try:
            writer.write(data)
            response = await read_message(reader)
            if response is None:
                return 0, False
            seal = response.headers.get("sardinewheel-server-seal")
            is_whole = (
                response.status == OK
                and seal == f"seal.{attempt}"
                and response.body == body_of(attempt)
            )
            return response.status, is_whole
        finally:
            writer.close()


def _chunks(body: bytes) -> bytes:
    """Returns a body in chunks."""
    parts = [
        body[start : start + CHUNK_BYTES]
        for start in range(0, len(body), CHUNK_BYTES)
    ]
    return b"".join(
        b"%x\r\n%s\r\n" % (len(part), part) for part in (*parts, b"")
    )


async def is_ready(host: str, port: int) -> bool:
    """Returns whether a machine answers the readiness check with 200."""
    try:
        async with asyncio.timeout(READY_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(
                b"GET /readiness HTTP/1.1\r\nHost: x\r\n"
                b"Connection: close\r\n\r\n"
            )
            response = await read_message(reader)
            writer.close()
            return response is not None and response.status == OK
    except (OSError, TimeoutError):
        return False
