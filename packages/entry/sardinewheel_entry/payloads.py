"""Bodies of requests and responses, buffered up to a bound."""

from collections.abc import Iterator
from typing import NamedTuple, Protocol

import gevent.queue
from gevent.queue import Queue

BUFFER_BYTES = 1024 * 1024
CHUNK_BYTES = 64 * 1024
MAX_CHUNKS_AHEAD = 4


class Readable(Protocol):
    """What the rest of a large request body is read from."""

    def read(self, size: int) -> bytes:
        """Returns up to ``size`` bytes; none at the end."""


class Payload(NamedTuple):
    """What of a request the core does not need.

    Attributes:
        path: Path at the target.
        content_type: Media type of the body.
        body: The whole body, or its beginning.
        length: Bytes of the whole body, when known.
        rest: Where what follows is read from, once.
    """

    path: str
    content_type: str
    body: bytes
    length: int | None = None
    rest: Readable | None = None

    def pieces(self) -> Iterator[bytes]:
        """Yields the rest of the body as it goes over the wire.

        Raises:
            OSError: The sender's connection ended before the body did.
        """
        if self.rest is None:
            return
        sent = len(self.body)
        is_chunked = self.length is None
        if is_chunked:
            yield _chunk(self.body)
        while piece := self.rest.read(CHUNK_BYTES):
            sent += len(piece)
            yield _chunk(piece) if is_chunked else piece
        if is_chunked:
            yield _chunk(b"")
        elif sent != self.length:
            raise OSError("the request body ended early")


def _chunk(piece: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(piece), piece)


class StreamedBody:
    """The rest of a response body, passed from one greenlet to another.

    Attributes:
        is_abandoned: Whether nobody reads any longer.
    """

    def __init__(self):
        self.chunks: Queue[bytes | Exception | None] = Queue(MAX_CHUNKS_AHEAD)
        self.is_abandoned = False

    def put(self, chunk: bytes) -> None:
        """Adds a chunk; waits while the reader is behind."""
        if not self.is_abandoned:
            self.chunks.put(chunk)

    def end(self) -> None:
        """Ends the body as a whole."""
        if not self.is_abandoned:
            self.chunks.put(None)

    def fail(self, error: Exception) -> None:
        """Ends the body with an error; drops what was not read yet."""
        self._drop()
        self.chunks.put(error)

    def __iter__(self) -> Iterator[bytes]:
        while (chunk := self.chunks.get()) is not None:
            if isinstance(chunk, Exception):
                raise chunk
            yield chunk

    def close(self) -> None:
        """Stops reading; what still comes is dropped."""
        self.is_abandoned = True
        self._drop()

    def _drop(self) -> None:
        while True:
            try:
                self.chunks.get_nowait()
            except gevent.queue.Empty:
                return
