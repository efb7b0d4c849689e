"""HTTP server: pipelining, limits, invalid framing, caller disconnects."""

import gevent
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.gateway.harness import (
    CLOSE,
    GatewayHarness,
    read_all,
    request,
    response_to,
    sends_complete_response,
    wait_until,
)


@pytest.fixture
def harness():
    created = GatewayHarness(sends_complete_response)
    yield created
    created.close()


@pytest.fixture(scope="module")
def shared_harness():
    created = GatewayHarness(sends_complete_response)
    yield created
    created.close()


def test_pipelined_requests_run_concurrently_and_are_answered_in_order():
    running = []

    def slow_first(sock, head, rest):
        running.append(head.split()[1])
        if head.startswith("GET /orders/1"):
            wait_until(lambda: len(running) == 2)
            gevent.sleep(0.05)
        sock.sendall(response_to(head, head.split()[1].encode()))
        return rest

    harness = GatewayHarness(slow_first)
    sock = harness.connect()
    sock.sendall(request(number=1) + request(number=2, extra_headers=CLOSE))
    data = read_all(sock)
    assert data.index(b"/orders/1") < data.index(b"/orders/2")
    assert sorted(running) == ["/orders/1", "/orders/2"]
    harness.close()


def test_connection_is_kept_alive(harness):
    sock = harness.connect()
    for number in (1, 2):
        sock.sendall(request(number=number))
        assert b"done" in sock.recv(65536)
    assert harness.send_request(sock=sock, number=3).startswith(
        b"HTTP/1.1 200 OK"
    )


def test_chunked_body_reaches_the_target_completely():
    bodies = []

    def records_body(sock, head, rest):
        length = int(head.lower().split("content-length: ")[1].split("\r")[0])
        while len(rest) < length:
            rest += sock.recv(65536)
        bodies.append(rest[:length])
        sock.sendall(response_to(head))
        return rest[length:]

    harness = GatewayHarness(records_body)
    sock = harness.connect()
    sock.sendall(
        b"POST /orders/1 HTTP/1.1\r\nHost: shop.example\r\nX-Id: id-1\r\n"
        b"Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    )
    assert b"200 OK" in read_all(sock)
    assert bodies == [b"abcde"]
    harness.close()


SMUGGLED = b"GET /orders/9 HTTP/1.1\r\nHost: shop.example\r\nX-Id: x\r\n\r\n"


@pytest.mark.parametrize(
    "framing",
    [
        b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
        b"Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
        b"Content-Length: 4\r\nContent-Length: 9\r\n",
        b"Transfer-Encoding: chunked, identity\r\n",
        b"Transfer-Encoding : chunked\r\n",
        b"Content-Length: -1\r\n",
        b"Content-Length: 4x\r\n",
        b"Host: other.example\r\n",
    ],
)
def test_ambiguous_framing_is_refused_without_request_smuggling(
    harness, framing
):
    sock = harness.connect()
    sock.sendall(
        b"POST /orders/1 HTTP/1.1\r\nHost: shop.example\r\nX-Id: id-1\r\n"
        + framing
        + b"\r\n0\r\n\r\n"
        + SMUGGLED
    )
    data = read_all(sock)
    status = int(data.split()[1])
    assert status in (400, 501)
    assert data.count(b"HTTP/1.1") == 1
    assert harness.request_count() == 0


def test_slow_request_head_gets_408(harness):
    sock = harness.connect()
    sock.sendall(b"GET /orders/1 HTTP/1.1\r\nHost:")
    assert read_all(sock).startswith(b"HTTP/1.1 408 ")


def test_oversized_request_head_gets_431(harness):
    sock = harness.connect()
    sock.sendall(b"GET /orders/1 HTTP/1.1\r\nX: " + b"x" * 9000)
    assert read_all(sock).startswith(b"HTTP/1.1 431 ")


@pytest.mark.parametrize(
    "framing",
    [
        b"Content-Length: 2000000\r\n\r\n",
        b"Transfer-Encoding: chunked\r\n\r\n"
        + (b"10000\r\n" + b"x" * 65536 + b"\r\n") * 20,
    ],
)
def test_oversized_body_gets_413(harness, framing):
    sock = harness.connect()
    sock.sendall(
        b"POST /orders/1 HTTP/1.1\r\nHost: shop.example\r\nX-Id: id-1\r\n"
        + framing
    )
    assert b"HTTP/1.1 413 " in read_all(sock)


def test_idle_connection_is_closed_without_a_response(harness):
    assert read_all(harness.connect()) == b""


def test_idle_timeout_does_not_end_a_request_in_progress():
    def slow(sock, head, rest):
        gevent.sleep(0.9)
        sock.sendall(response_to(head))
        return rest

    harness = GatewayHarness(slow, timeout_s=3.0)
    sock = harness.connect()
    sock.sendall(request())
    assert b"200 OK" in sock.recv(65536)
    harness.close()


def test_caller_disconnect_closes_the_target_connection():
    def ignores_request(sock, head, rest):
        # Sends nothing; the target's next read sees the end of the connection.
        return rest

    harness = GatewayHarness(ignores_request, timeout_s=5.0)
    sock = harness.connect()
    sock.sendall(request())
    wait_until(lambda: harness.request_count() == 1)
    sock.close()
    wait_until(lambda: harness.targets["t0"].closed_connections == 1, 1.0)
    assert not harness.front.in_progress
    harness.close()


def test_shutdown_closes_connections_after_the_next_response(harness):
    sock = harness.connect()
    sock.sendall(request())
    assert b"connection: close" not in sock.recv(65536).lower()
    harness.front.is_shutting_down = True
    sock.sendall(request(number=2))
    assert b"connection: close" in read_all(sock).lower()


def test_requests_read_before_shutdown_get_a_response():
    def slow(sock, head, rest):
        gevent.sleep(0.1)
        sock.sendall(response_to(head, head.split()[1].encode()))
        return rest

    harness = GatewayHarness(slow)
    sock = harness.connect()
    sock.sendall(request(number=1) + request(number=2))
    wait_until(lambda: harness.request_count() == 2)
    harness.front.is_shutting_down = True
    data = read_all(sock)
    assert data.index(b"/orders/1") < data.index(b"/orders/2")
    assert data.lower().count(b"connection: close") == 1
    harness.close()


def test_no_request_is_read_after_the_closing_response(harness):
    sock = harness.connect()
    harness.front.is_shutting_down = True
    sock.sendall(request(number=1))
    assert b"connection: close" in sock.recv(65536).lower()
    sock.sendall(request(number=2))
    read_all(sock)
    assert harness.request_count() == 1


def test_an_unknown_path_is_not_found(harness):
    sock = harness.connect()
    sock.sendall(
        b"GET /other/1 HTTP/1.1\r\nHost: shop.example\r\n"
        b"Connection: close\r\n\r\n"
    )
    assert read_all(sock).startswith(b"HTTP/1.1 404 ")


REQUEST_PIECES = st.sampled_from(
    [
        b"GET /orders/1 HTTP/1.1\r\nHost: shop.example\r\n",
        b"POST http://shop.example/orders/1 HTTP/1.1\r\nHost: x\r\n",
        b"GET * HTTP/1.0\r\n",
        b"Content-Length: 3\r\n",
        b"Content-Length: " + b"9" * 20 + b"\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"Expect: 100-continue\r\n",
        b"X-Id: \xed\xa0\x80\r\n",
        b"\r\n",
        b"3\r\nabc\r\n",
        b"ffffffffffffffffffff\r\n",
        b"0\r\n\r\n",
        b"abc",
    ]
)


@settings(max_examples=60, deadline=None)
@given(st.lists(st.one_of(REQUEST_PIECES, st.binary(min_size=1))))
def test_any_bytes_of_a_caller_leave_the_server_working(shared_harness, pieces):
    sock = shared_harness.connect()
    sock.sendall(b"".join(pieces))
    sock.shutdown(gevent.socket.SHUT_WR)
    sock.close()
    wait_until(lambda: not shared_harness.front.connections)
    assert shared_harness.log.events["handler-failed"] == 0
    shared_harness.log.lines.clear()
    response = shared_harness.send_request()
    assert response.startswith(b"HTTP/1.1 200 OK")


@pytest.mark.parametrize(
    "header",
    [
        "Host: SHOP.example:8144",
        "X-Other: \u00e9\u00ff",
        "X-Other: " + "a" * 3000,
        "X-Other:  spaced  ",
        "X-Other:",
        "Cookie: " + "b=c; " * 100,
    ],
)
def test_a_proper_request_in_small_pieces_is_served(harness, header):
    lines = ["GET /orders/1 HTTP/1.1", header, "X-Id: id-1", "X-Object: o1"]
    if not header.startswith("Host"):
        lines.insert(1, "Host: shop.example")
    data = "\r\n".join([*lines, "Connection: close", "", ""]).encode("latin-1")
    sock = harness.connect()
    for start in range(0, len(data), 97):
        sock.sendall(data[start : start + 97])
        gevent.sleep(0)
    assert read_all(sock).startswith(b"HTTP/1.1 200 OK")


def test_a_request_whose_caller_left_at_once_is_not_under_way(harness):
    for number in range(20):
        sock = harness.connect()
        sock.sendall(request(number=number))
        sock.close()
    wait_until(lambda: not harness.front.connections)
    assert not harness.front.in_progress
