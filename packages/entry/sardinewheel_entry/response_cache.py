"""Cache of responses, for retries and outcome queries of a request id."""

from sardinewheel_entry.http_exchange import HttpResponse

MAX_BYTES = 32 * 1024 * 1024
ENTRY_OVERHEAD_BYTES = 2048


class ResponseCache:
    """Responses by attempt id; evicts the oldest when the cache is full.

    Attributes:
        max_bytes: Memory limit, in bytes; the latest response stays cached
            even if it alone exceeds the limit.
        used_bytes: Approximate memory used by the responses, in bytes.
        responses: Responses by attempt id, oldest first.
    """

    def __init__(self, max_bytes: int = MAX_BYTES):
        self.max_bytes = max_bytes
        self.used_bytes = 0
        self.responses: dict[int, HttpResponse] = {}

    def store(self, attempt_id: int, response: HttpResponse) -> None:
        """Stores the complete response of an attempt."""
        self.responses[attempt_id] = response
        self.used_bytes += _size_of(response)
        while self.used_bytes > self.max_bytes and len(self.responses) > 1:
            oldest = next(iter(self.responses))
            self.used_bytes -= _size_of(self.responses.pop(oldest))

    def drop(self, attempt_id: int) -> None:
        """Removes the response of an attempt, if present."""
        response = self.responses.pop(attempt_id, None)
        if response is not None:
            self.used_bytes -= _size_of(response)

    def get(self, attempt_id: int) -> HttpResponse | None:
        """Returns the response of an attempt, or ``None`` if not cached."""
        return self.responses.get(attempt_id)


def _size_of(response: HttpResponse) -> int:
    return len(response.body) + ENTRY_OVERHEAD_BYTES
