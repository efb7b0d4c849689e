"""What a server may send instead of a response, and without an end."""

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer
from hypothesis import given
from hypothesis import strategies as st
from sardinewheel_gateway.errors import ResponseLostError
from sardinewheel_gateway.http_client import (
    MAX_HEAD_BYTES,
    ClientExchange,
    OutgoingRequest,
    keep_alive_s,
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


class ScriptedSocket:
    """A socket that receives the given data, and then is closed or reset."""

    def __init__(self, *parts, is_reset=False):
        self.parts = list(parts)
        self.is_reset = is_reset

    def sendall(self, _data):
        pass

    def recv(self, _size):
        if self.parts:
            return self.parts.pop(0)
        if self.is_reset:
            raise ConnectionResetError
        return b""


def is_own(headers):
    return (b"x-id", b"7") in headers


def exchange_on(sock):
    return ClientExchange(sock, is_own, max_body_bytes=MAX_BODY_BYTES)


OWN = b"HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 4\r\n\r\ndone"
HEAD_BYTES = OWN.index(b"done")


@pytest.mark.parametrize("is_reset", [False, True])
@pytest.mark.parametrize("size", range(len(OWN)))
def test_a_response_cut_at_any_byte_is_never_complete(size, is_reset):
    exchange = exchange_on(ScriptedSocket(OWN[:size], is_reset=is_reset))
    with pytest.raises(ResponseLostError):
        exchange.run(OUTGOING)
    assert not exchange.is_reusable


@pytest.mark.parametrize("size", range(HEAD_BYTES))
def test_a_head_without_length_cut_at_any_byte_is_never_complete(size):
    head = b"HTTP/1.1 200 OK\r\nX-Id: 7\r\n\r\n"[:-1]
    exchange = exchange_on(ScriptedSocket(head[:size]))
    with pytest.raises(ResponseLostError):
        exchange.run(OUTGOING)


EARLIER_REFUSALS = {
    "with its id": b"HTTP/1.1 503 Busy\r\nX-Id: 6\r\nX-Not-Run: 1\r\n"
    b"Content-Length: 0\r\n\r\n",
    "without id": b"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\n"
    b"Content-Length: 0\r\n\r\n",
}


@pytest.mark.parametrize("kind", EARLIER_REFUSALS)
@pytest.mark.parametrize("is_split", [True, False])
def test_an_earlier_refusal_on_the_connection_is_not_the_response(
    kind, is_split
):
    parts = (EARLIER_REFUSALS[kind], OWN)
    sock = ScriptedSocket(*(parts if is_split else [b"".join(parts)]))
    assert exchange_on(sock).run(OUTGOING).body == b"done"


@pytest.mark.parametrize("kind", EARLIER_REFUSALS)
def test_an_earlier_refusal_alone_leaves_open_whether_the_request_ran(kind):
    exchange = exchange_on(ScriptedSocket(EARLIER_REFUSALS[kind]))
    with pytest.raises(ResponseLostError):
        exchange.run(OUTGOING)


PIECES = st.sampled_from(
    [
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 100 \r\n\r\n",
        b"HTTP/1.1 099 X\r\n",
        b"HTTP/1.1 204 \r\n",
        b"X-Id: 7\r\n",
        b"X-Id: \r\n",
        b"Content-Length: 4\r\n",
        b"Content-Length: 99999999999999999999\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"Keep-Alive: timeout=" + b"9" * 5000 + b"\r\n",
        b"Connection: close\r\n",
        b"\r\n",
        b"4\r\ndone\r\n",
        b"0\r\n\r\n",
        b"done",
        b"\xed\xa0\x80",
        OWN,
        EARLIER_REFUSALS["without id"],
    ]
)


@given(st.lists(st.one_of(PIECES, st.binary(min_size=1))), st.booleans())
def test_any_bytes_end_as_a_response_of_the_request_or_as_lost(parts, is_reset):
    exchange = exchange_on(ScriptedSocket(*parts, is_reset=is_reset))
    try:
        response = exchange.run(OUTGOING)
        for _ in response.rest or ():
            pass
    except ResponseLostError:
        assert not exchange.is_reusable
    else:
        assert is_own(response.headers)


@given(st.binary())
def test_any_keep_alive_gives_a_time(value):
    assert 0.0 < keep_alive_s(b"timeout=" + value) < 10**6
