"""A small HTTP/1.1 reader for the stand-ins."""

import asyncio
from typing import NamedTuple

HEAD_END = b"\r\n\r\n"
MAX_HEAD_BYTES = 64 * 1024
CHUNK_LINE_END = b"\r\n"


class Message(NamedTuple):
    """A request or a response.

    Attributes:
        first_line: Words of the request line or the status line.
        headers: Headers; names in lower case.
        body: The whole body.
    """

    first_line: list[str]
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.first_line[1])


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[list[str], dict[str, str]] | None:
    """Returns the words of the first line and the headers; None at EOF."""
    try:
        head = await reader.readuntil(HEAD_END)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return lines[0].split(" ", 2), headers


async def read_body(
    reader: asyncio.StreamReader, headers: dict[str, str]
) -> bytes:
    """Returns a body that has a length or comes in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return await _read_chunks(reader)
    return await reader.readexactly(int(headers.get("content-length", 0)))


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Returns the next message; None if the connection ends before it."""
    head = await read_head(reader)
    if head is None:
        return None
    try:
        return Message(*head, await read_body(reader, head[1]))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = bytearray()
    while True:
        line = await reader.readuntil(CHUNK_LINE_END)
        size = int(line.split(b";")[0], 16)
        if not size:
            await reader.readuntil(CHUNK_LINE_END)
            return bytes(body)
        body += await reader.readexactly(size)
        await reader.readexactly(len(CHUNK_LINE_END))
