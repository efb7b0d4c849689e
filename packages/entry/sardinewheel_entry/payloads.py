"""Request and response bodies, buffered up to a limit and then streamed."""

from collections.abc import Iterator
from typing import NamedTuple, Protocol

import gevent.queue
from gevent.queue import Queue

BUFFER_BYTES = 1024 * 1024
CHUNK_BYTES = 64 * 1024
MAX_BUFFERED_CHUNKS = 4


class Readable(Protocol):
    """Stream from which the rest of a large request body is read."""

    def read(self, size: int) -> bytes:
        """Returns up to ``size`` bytes; an empty result at the end."""


class Payload(NamedTuple):
    """The parts of a request that are not passed to the core.

    Attributes:
        path: Path at the target.
        content_type: Media type of the body.
        body: The complete body, or its beginning.
        length: Length of the complete body in bytes, if known.
        remaining_body: Stream of the bytes after ``body``, readable once.
    """

    path: str
    content_type: str
    body: bytes
    length: int | None = None
    remaining_body: Readable | None = None

    def remaining_chunks(self) -> Iterator[bytes]:
        """Yields the rest of the body in the form in which it is sent.

        If the length is unknown, everything is sent in chunked encoding,
        beginning with ``body``.

        Raises:
            OSError: The sender's connection closed before the end of the body.
        """
        if self.remaining_body is None:
            return
        sent = len(self.body)
        is_chunked = self.length is None
        if is_chunked:
            yield _encode_chunk(self.body)
        while piece := self.remaining_body.read(CHUNK_BYTES):
            sent += len(piece)
            yield _encode_chunk(piece) if is_chunked else piece
        if is_chunked:
            yield _encode_chunk(b"")
        elif sent != self.length:
            raise OSError(
                f"request body truncated: got {sent} of {self.length} bytes"
            )


def _encode_chunk(piece: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(piece), piece)


class StreamedBody:
    """Queue that passes the rest of a response body between greenlets.

    Attributes:
        chunks: Chunks not read yet; an exception or ``None`` ends the body.
        is_closed: Whether the reader has stopped reading.
    """

    def __init__(self):
        self.chunks: Queue[bytes | Exception | None] = Queue(
            MAX_BUFFERED_CHUNKS
        )
        self.is_closed = False

    def put(self, chunk: bytes) -> None:
        """Adds a chunk; blocks while the queue is full."""
        if not self.is_closed:
            self.chunks.put(chunk)

    def end(self) -> None:
        """Marks the body as complete."""
        if not self.is_closed:
            self.chunks.put(None)

    def fail(self, error: Exception) -> None:
        """Ends the body with an error; discards the chunks not read yet."""
        self._drop()
        self.chunks.put(error)

    def __iter__(self) -> Iterator[bytes]:
        while (chunk := self.chunks.get()) is not None:
            if isinstance(chunk, Exception):
                raise chunk
            yield chunk

    def close(self) -> None:
        """Stops reading; later chunks are discarded."""
        self.is_closed = True
        self._drop()

    def _drop(self) -> None:
        while True:
            try:
                self.chunks.get_nowait()
            except gevent.queue.Empty:
                return
