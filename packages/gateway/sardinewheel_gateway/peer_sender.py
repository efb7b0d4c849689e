"""Sends a request to another host, which offers it to a target."""

from typing import NamedTuple

import gevent

from sardinewheel_gateway import clock, messages, peer_messages
from sardinewheel_gateway.attempts import (
    CONNECT_TIMEOUT_S,
    NON_IDEMPOTENT_IDLE_S,
    Lost,
    NotSent,
    TimedOut,
)
from sardinewheel_gateway.caller_request import Request, outgoing_request
from sardinewheel_gateway.connection_pool import ConnectionPool
from sardinewheel_gateway.errors import NotSentError, ResponseLostError
from sardinewheel_gateway.http_client import (
    ClientExchange,
    IncomingResponse,
    connect,
)
from sardinewheel_gateway.messages import Headers
from sardinewheel_gateway.peer_messages import Origin, PeerOutcome
from sardinewheel_gateway.policy.hosts import HostState
from sardinewheel_gateway.policy.peer_choice import PeerChoice

UNAVAILABLE = 503


class PeerAnswered(NamedTuple):
    """A target's response that another host relayed.

    Attributes:
        response: The response; its headers are still those of the other host.
        headers: Headers for the caller.
        target_id: Target that responded.
        exchange: Exchange that the response is read from.
    """

    response: IncomingResponse
    headers: Headers
    target_id: str
    exchange: ClientExchange


class PeerRefused(NamedTuple):
    """The other host has not run the request and never will."""

    reason: str
    retry_after_s: float


class PeerFailed(NamedTuple):
    """The other host ended the request with another response of its own."""

    status: int
    reason: str


PeerResult = PeerAnswered | PeerRefused | PeerFailed | NotSent | Lost | TimedOut


class PeerSender:
    """Sends requests to other hosts; never sends one twice.

    Attributes:
        choice: Told how the other hosts respond.
        pool: Idle connections to other hosts.
    """

    def __init__(self, choice: PeerChoice):
        self.choice = choice
        self.pool = ConnectionPool()

    def send(
        self, request: Request, peer: HostState, origin: Origin
    ) -> PeerResult:
        """Sends a request to another host and waits for its response."""
        load = self.choice.load(peer.name)
        load.in_flight += 1
        exchange = None
        try:
            with gevent.Timeout(request.deadline - clock.steady(), False):
                exchange = self._open(peer)
                return self._send_and_receive(exchange, request, origin)
            return (
                NotSent("connect timeout") if exchange is None else TimedOut()
            )
        except NotSentError as error:
            self._record_failure(peer)
            return NotSent(str(error))
        except ResponseLostError as error:
            self._record_failure(peer)
            return Lost(str(error))
        finally:
            load.in_flight -= 1
            if exchange is not None and not exchange.is_streaming:
                self.return_connection(exchange, peer.name)

    def return_connection(self, exchange: ClientExchange, name: str) -> None:
        """Keeps a reusable connection to a host; closes any other."""
        if exchange.is_reusable:
            self.pool.put(name, exchange.sock, keep_s=exchange.keep_s)
        else:
            exchange.close()

    def _open(self, peer: HostState) -> ClientExchange:
        sock = self.pool.take(peer.name, max_idle_s=NON_IDEMPOTENT_IDLE_S)
        if sock is None:
            # Hosts serve each other at the port of their datagrams.
            sock = connect(peer.gossip, timeout_s=CONNECT_TIMEOUT_S)
        return ClientExchange(sock, lambda _: True)

    def _send_and_receive(
        self, exchange: ClientExchange, request: Request, origin: Origin
    ) -> PeerResult:
        headers = peer_messages.request_headers(
            messages.end_to_end(request.head.headers), origin
        )
        response = exchange.run(outgoing_request(request, headers))
        try:
            kept, outcome = peer_messages.parse_response(response.headers)
        except ValueError as error:
            raise ResponseLostError(str(error)) from error
        if outcome.target_id:
            return PeerAnswered(response, kept, outcome.target_id, exchange)
        return _own_response(response.status, outcome)

    def _record_failure(self, peer: HostState) -> None:
        self.pool.drop(peer.name)
        self.choice.load(peer.name).record_failure(now=clock.steady())


def _own_response(
    status: int, outcome: PeerOutcome
) -> PeerRefused | PeerFailed:
    if status == UNAVAILABLE:
        return PeerRefused(outcome.reason, outcome.retry_after_s)
    return PeerFailed(status, outcome.reason)
