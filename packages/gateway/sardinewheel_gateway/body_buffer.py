"""Reads the bodies of callers' requests before these are forwarded."""

from sardinewheel_gateway.caller_request import Body
from sardinewheel_gateway.exchange import Exchange

MAX_REPEATABLE_BODY_BYTES = 64 * 1024


class BodyBuffer:
    """Request bodies that are read before their requests are forwarded.

    Attributes:
        deadlines: Deadline of each request whose body is being read, on the
            monotonic clock.
    """

    def __init__(self):
        self.deadlines: dict[Exchange, float] = {}

    def read(self, exchange: Exchange, deadline: float) -> Body:
        """Reads a body; the remainder of a large one is streamed later.

        Args:
            exchange: The request.
            deadline: Time at which its final response is due.

        Raises:
            BodyTooLargeError: The body exceeds the size limit.
            CallerGoneError: The body ended early.
            StoppingError: It was given up.
        """
        self.deadlines[exchange] = deadline
        try:
            return _read(exchange)
        finally:
            del self.deadlines[exchange]

    def give_up(self, *, due_after: float) -> None:
        """Gives up the bodies of requests with a deadline after a time."""
        for exchange, deadline in list(self.deadlines.items()):
            if deadline > due_after:
                exchange.give_up_body()


def _read(exchange: Exchange) -> Body:
    start = bytearray()
    parts = exchange.body()
    for part in parts:
        start += part
        if len(start) > MAX_REPEATABLE_BODY_BYTES:
            return Body(bytes(start), parts)
    return Body(bytes(start), None)
