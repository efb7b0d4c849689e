"""Resource for requests from callers and requests forwarded by peers."""

import time

import falcon
import xxhash
from sardinewheel_core.errors import Finding, RequestError

from sardinewheel_entry.api.answers import write_answer
from sardinewheel_entry.api.request_headers import read_request
from sardinewheel_entry.driver import Driver
from sardinewheel_entry.payloads import BUFFER_BYTES, Payload


class RequestsResource:
    """``POST /v1/services/{service}/requests``: executes a request."""

    def __init__(self, driver: Driver):
        self.driver = driver

    def on_post(
        self, req: falcon.Request, resp: falcon.Response, service: str
    ) -> None:
        """Executes a request and responds with its final answer."""
        started_at = time.monotonic()
        request, path = read_request(req, service, self.driver.host)
        payload = read_payload(req, path)
        request = request._replace(
            has_replayable_body=payload.remaining_body is None,
            fingerprint=fingerprint(service, request.kind, payload),
        )
        answer, response = self.driver.serve(request, payload)
        write_answer(resp, answer, response)
        latency_s = time.monotonic() - started_at
        self.driver.metrics.record(request, answer, latency_s)


def read_payload(req: falcon.Request, path: str) -> Payload:
    """Reads the body of a request up to the buffer limit.

    Raises:
        RequestError: The body is shorter than its content length.
    """
    length = req.content_length
    is_chunked = req.get_header("Transfer-Encoding") is not None
    stream = req.stream if is_chunked else req.bounded_stream
    body = _read(stream, BUFFER_BYTES)
    is_complete = len(body) < BUFFER_BYTES or len(body) == length
    if is_complete and not is_chunked and len(body) != (length or 0):
        finding = Finding("body", f"{len(body)} bytes", f"{length} bytes")
        raise RequestError((finding,))
    content_type = req.content_type or "application/octet-stream"
    if is_complete:
        return Payload(path, content_type, body)
    total_length = None if is_chunked else length
    return Payload(path, content_type, body, total_length, stream)


def fingerprint(service: str, kind: str, payload: Payload) -> str:
    """Returns a digest that distinguishes a retry from a reused request id.

    Of a streamed body, only the buffered beginning is included.
    """
    digest = xxhash.xxh3_64()
    for part in (service, kind, payload.path, str(payload.length)):
        digest.update(part.encode())
        digest.update(b"\0")
    digest.update(payload.body)
    return digest.hexdigest()


def _read(stream, limit: int) -> bytes:
    """Reads up to a limit; a stream may return less than requested."""
    pieces = []
    remaining = limit
    while remaining and (piece := stream.read(remaining)):
        pieces.append(piece)
        remaining -= len(piece)
    return b"".join(pieces)
