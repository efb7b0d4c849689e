"""Takes requests of callers, and answers those that go no further."""

from sardinewheel_gateway import clock
from sardinewheel_gateway.attempts import Body, Sender
from sardinewheel_gateway.contract import Caller, Contract
from sardinewheel_gateway.errors import BodyTooLargeError
from sardinewheel_gateway.exchange import Exchange
from sardinewheel_gateway.forwarding import (
    TOO_LARGE,
    UNAVAILABLE,
    Forwarding,
)
from sardinewheel_gateway.metrics import Metrics, Series
from sardinewheel_gateway.policy.routes import Route
from sardinewheel_gateway.policy.routing_state import RoutingState

MAX_REPEATABLE_BODY_BYTES = 64 * 1024
NO_CONFIGURATION_RETURN_S = 0.5
STOPPING_RETURN_S = 0.1
NOT_FOUND = 404


class Forwarder:
    """Forwards requests.

    Attributes:
        routing_state: What is in force, and the state of the targets.
        contract: Reads and writes the platform's headers.
        sender: Sends requests to targets.
        metrics: Counters and histograms.
        is_stopping: Whether it is too late to begin anything new.
    """

    def __init__(
        self,
        *,
        routing_state: RoutingState,
        contract: Contract,
        metrics: Metrics,
        log,
    ):
        self.routing_state = routing_state
        self.contract = contract
        self.metrics = metrics
        self.log = log
        self.sender = Sender(routing_state, contract, metrics, log)
        self.is_stopping = False

    def handle(self, exchange: Exchange) -> None:
        """Serves one request of a caller."""
        caller = self.contract.caller(exchange.head.headers)
        if self.is_stopping:
            self.answer(
                exchange,
                caller,
                UNAVAILABLE,
                "stopping",
                retry_after_s=STOPPING_RETURN_S,
            )
            return
        route = self._route(exchange, caller)
        if route is None:
            return
        try:
            body = _take_body(exchange)
        except BodyTooLargeError:
            self.answer(exchange, caller, TOO_LARGE, "body-too-large")
            return
        Forwarding(self, exchange, caller, route, body).run()

    def _route(self, exchange: Exchange, caller: Caller) -> Route | None:
        if self.routing_state.configuration is None:
            self.answer(
                exchange,
                caller,
                UNAVAILABLE,
                "no-configuration",
                retry_after_s=NO_CONFIGURATION_RETURN_S,
            )
            return None
        head = exchange.head
        route = self.routing_state.route(
            head.host.decode("latin-1"), head.path.decode("latin-1")
        )
        if route is None:
            self.answer(exchange, caller, NOT_FOUND, "no-route")
        return route

    def answer(
        self,
        exchange: Exchange,
        caller: Caller,
        status: int,
        reason: str,
        *,
        retry_after_s: float | None = None,
        **fields,
    ) -> None:
        """Sends an answer of this host's own."""
        headers = self.contract.own_answer(exchange.head.headers)
        if retry_after_s is not None:
            value = f"{retry_after_s:.2f}".encode()
            headers = [*headers, (b"retry-after", value)]
        took_s = clock.steady() - exchange.head.received_at
        self.metrics.answered(Series("own", reason, str(status)), took_s)
        self.log.info(
            "request-refused" if status == UNAVAILABLE else "request-failed",
            request=caller.request_id,
            status=status,
            reason=reason,
            took_s=took_s,
            retry_after_s=retry_after_s or 0.0,
            config=self.routing_state.version,
            **fields,
        )
        exchange.respond(status, headers, b"")


def _take_body(exchange: Exchange) -> Body:
    """Returns a request's body; a large one is streamed."""
    start = bytearray()
    parts = exchange.body()
    for part in parts:
        start += part
        if len(start) > MAX_REPEATABLE_BODY_BYTES:
            return Body(bytes(start), parts)
    return Body(bytes(start), None)
