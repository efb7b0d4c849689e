"""The platform's store: rows in tables, with a feed of their changes."""

import asyncio
import base64
import json
import time
from typing import NamedTuple
from urllib.parse import parse_qs, urlsplit

from standin_http import read_message

ANSWER_DELAY_S = 0.004
MAX_PAGE_ROWS = 500
MAX_PAGE_BYTES = 1_000_000
MS_PER_S = 1000
OK = 200
GONE = 410


class Row(NamedTuple):
    """A row; ``value`` is None once it is dropped."""

    version: int
    value: bytes | None


class Copy(NamedTuple):
    """What the store held at one moment."""

    rows: dict[tuple[str, str], Row]
    version: int


class Store:
    """Serves the calls that read, and takes the writes of other stand-ins.

    Attributes:
        rows: Rows by table and key, those dropped too.
        version: Version of the last change.
        era: Sent in each answer; rises when the store returns from a copy.
        is_away: Whether it accepts no connection.
        calls: Number of calls answered.
        reads: Time, table and first key of each call that lists rows.
        one_way_s: Delay of the network between it and the machines.
    """

    def __init__(self, host: str, *, one_way_s: float = 0.0):
        self.host = host
        self.one_way_s = one_way_s
        self.port = 0
        self.rows: dict[tuple[str, str], Row] = {}
        self.version = 0
        self.era = 1
        self.is_away = False
        self.calls = 0
        self.reads: list[tuple[float, str, str]] = []
        self.server: asyncio.Server | None = None
        self.changed = asyncio.Event()
        self.writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """``host:port`` of the store."""
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        """Starts listening, at the same port as before if there was one."""
        self.server = await asyncio.start_server(
            self._serve, self.host, self.port
        )
        self.port = self.server.sockets[0].getsockname()[1]

    def put(self, table: str, key: str, value: bytes | None) -> int:
        """Writes or drops a row; the return is the acknowledgement."""
        self.version += 1
        self.rows[table, key] = Row(self.version, value)
        self.changed.set()
        self.changed = asyncio.Event()
        return self.version

    def put_json(self, table: str, key: str, value: dict) -> int:
        """Writes a row with a JSON value."""
        return self.put(table, key, json.dumps(value).encode())

    def value(self, table: str, key: str) -> bytes | None:
        """Returns the content of a row; None if there is none."""
        row = self.rows.get((table, key))
        return None if row is None else row.value

    def copy(self) -> Copy:
        """Returns what the store holds now."""
        return Copy(dict(self.rows), self.version)

    async def return_from(self, copy: Copy, *, away_s: float) -> None:
        """Is away for some time, and comes back from a copy."""
        self.is_away = True
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        await asyncio.sleep(away_s)
        self.rows, self.version = dict(copy.rows), copy.version
        self.era += 1
        self.is_away = False
        await self.start()

    async def _serve(self, reader, writer) -> None:
        self.writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                await asyncio.sleep(self.one_way_s + ANSWER_DELAY_S)
                status, payload = await self._answer(request.first_line[1])
                await asyncio.sleep(self.one_way_s)
                self._send(writer, status, payload)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def _send(self, writer, status: int, payload: dict) -> None:
        body = json.dumps(payload).encode()
        head = (
            f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
            f"Store-Era: {self.era}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode() + body)
        self.calls += 1

    async def _answer(self, target: str) -> tuple[int, dict]:
        split = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(split.query).items()}
        if split.path == "/rows-get":
            return OK, self._page(query)
        if split.path == "/rows-feed":
            return await self._feed(query)
        return 404, {}

    def _page(self, query: dict[str, str]) -> dict:
        table, start = query["Table"], query.get("From", "")
        self.reads.append((time.monotonic(), table, start))
        keys = sorted(
            key
            for (row_table, key), row in self.rows.items()
            if row_table == table and key >= start and row.value is not None
        )
        limit = min(MAX_PAGE_ROWS, int(query.get("Limit", MAX_PAGE_ROWS)))
        rows, size = [], 0
        for key in keys[:limit]:
            row = self._plain(table, key)
            size += len(row["Value"])
            if rows and size > MAX_PAGE_BYTES:
                break
            rows.append(row)
        return self._payload(rows) | {"HasMore": len(rows) < len(keys)}

    async def _feed(self, query: dict[str, str]) -> tuple[int, dict]:
        table, after = query["Table"], int(query["after"])
        deadline = time.monotonic() + int(query["WaitMs"]) / MS_PER_S
        while True:
            if after > self.version:
                return GONE, {}
            newer = [
                (row.version, key)
                for (row_table, key), row in self.rows.items()
                if row_table == table and row.version > after
            ]
            left_s = deadline - time.monotonic()
            if newer or left_s <= 0:
                rows = [self._plain(table, key) for _, key in sorted(newer)]
                return OK, self._payload(rows)
            try:
                await asyncio.wait_for(self.changed.wait(), left_s)
            except TimeoutError:
                continue

    def _plain(self, table: str, key: str) -> dict:
        row = self.rows[table, key]
        plain = {"Table": table, "part": "", "Key": key, "Ver": row.version}
        if row.value is None:
            return plain | {"Deleted": True}
        return plain | {"Value": base64.b64encode(row.value).decode()}

    def _payload(self, rows: list[dict]) -> dict:
        now_ms = int(time.monotonic() * MS_PER_S)
        return {"Rows": rows, "Ver": self.version, "Now": now_ms}
