"""Bounds on what a server may send that is no end of a response."""

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer
from sardinewheel_gateway.errors import ResponseLostError
from sardinewheel_gateway.http_client import (
    MAX_HEAD_BYTES,
    ClientExchange,
    OutgoingRequest,
)

BLOCK = 16 * 1024
MAX_BODY_BYTES = 1024 * 1024
# What may wait in buffers between the two ends.
MAX_BUFFERED_BYTES = 8 * 1024 * 1024
TIMEOUT_S = 20.0
OUTGOING = OutgoingRequest(b"GET", b"/", [(b"host", b"x")])
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class EndlessServer:
    """Sends a beginning and then blocks without end, until the peer closes.

    Attributes:
        sent: Bytes sent.
    """

    def __init__(self, beginning, block):
        self.beginning = beginning
        self.block = block
        self.sent = 0
        self.server = StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()

    def _serve(self, sock, _address):
        sock.recv(BLOCK)
        sock.sendall(self.beginning)
        while self.block:
            try:
                sock.sendall(self.block)
            except OSError:
                return
            self.sent += len(self.block)


@pytest.fixture
def start_server():
    servers = []

    def start(beginning, block):
        servers.append(EndlessServer(beginning, block))
        return servers[-1]

    yield start
    for server in servers:
        server.server.stop()


def exchange_with(server, *, is_expected=lambda _: True):
    address = ("127.0.0.1", server.server.server_port)
    return ClientExchange(
        socket.create_connection(address),
        is_expected,
        max_body_bytes=MAX_BODY_BYTES,
    )


def receive(exchange):
    """Receives a whole response."""
    with gevent.Timeout(TIMEOUT_S):
        response = exchange.run(OUTGOING)
        for _ in response.rest or ():
            pass


CHUNK = b"%x\r\n" % BLOCK + b"x" * BLOCK + b"\r\n"
HEADS = {
    "no answer at all": (b"", b"\0" * BLOCK),
    "informational": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100),
    "blank lines": (b"", b"\r\n" * BLOCK),
    "status line": (b"HTTP/1.1 200 ", b"O" * BLOCK),
    "header": (b"HTTP/1.1 200 OK\r\nX-A: ", b"a" * BLOCK),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"X-A: a\r\n" * 1000),
}
BODIES = {
    "chunks": (CHUNKED, CHUNK),
    "chunk size": (CHUNKED, b"0" * BLOCK),
    "chunk extension": (CHUNKED + b"1;", b"a" * BLOCK),
    "trailers": (CHUNKED + b"0\r\n", b"X-A: a\r\n" * 1000),
    "until closed": (b"HTTP/1.1 200 OK\r\n\r\n", b"x" * BLOCK),
    "length": (
        b"HTTP/1.1 200 OK\r\nContent-Length: 999999999999999\r\n\r\n",
        b"x" * BLOCK,
    ),
}


@pytest.mark.parametrize("kind", HEADS)
def test_a_head_without_end_is_given_up(start_server, kind):
    server = start_server(*HEADS[kind])
    exchange = exchange_with(server)
    with pytest.raises(ResponseLostError):
        receive(exchange)
    exchange.close()
    assert server.sent <= MAX_HEAD_BYTES + MAX_BUFFERED_BYTES


@pytest.mark.parametrize("kind", BODIES)
def test_a_body_without_end_is_given_up(start_server, kind):
    server = start_server(*BODIES[kind])
    exchange = exchange_with(server)
    with pytest.raises(ResponseLostError):
        receive(exchange)
    exchange.close()
    assert server.sent <= MAX_BODY_BYTES + MAX_BUFFERED_BYTES


@pytest.mark.parametrize("kind", BODIES)
def test_a_body_without_end_of_another_request_is_given_up(start_server, kind):
    server = start_server(*BODIES[kind])
    exchange = exchange_with(server, is_expected=lambda _: False)
    with pytest.raises(ResponseLostError):
        receive(exchange)
    exchange.close()
    assert server.sent <= MAX_BODY_BYTES + MAX_BUFFERED_BYTES


def test_bytes_that_are_always_ready_do_not_stop_other_greenlets():
    class ReadySocket:
        """A socket that never waits."""

        def sendall(self, _data):
            pass

        def recv(self, _size):
            return CHUNK

    exchange = ClientExchange(
        ReadySocket(), lambda _: True, max_body_bytes=64 * MAX_BODY_BYTES
    )
    turns = []
    other = gevent.spawn(
        lambda: [turns.append(gevent.sleep(0)) for _ in range(10)]
    )
    exchange.parser.receive_data(CHUNKED)
    with pytest.raises(ResponseLostError):
        receive(exchange)
    other.kill()
    assert len(turns) == 10


def test_a_body_of_the_greatest_size_is_received(start_server):
    body = b"x" * MAX_BODY_BYTES
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
    server = start_server(head + body, b"")
    exchange = exchange_with(server)
    response = exchange.run(OUTGOING)
    received = len(response.body) + sum(len(part) for part in response.rest)
    assert received == MAX_BODY_BYTES
