"""What the client of the store does with responses without end."""

import json

import pytest
from gevent.server import StreamServer
from sardinewheel_gateway.errors import StoreError
from sardinewheel_platform import store
from sardinewheel_platform.store import StoreClient

from tests.platform.fakes import read_request

CHUNK_BYTES = 65536


@pytest.fixture
def start_store():
    """Returns a function that serves a store with the given function."""
    servers = []

    def start(serve):
        servers.append(StreamServer(("127.0.0.1", 0), serve))
        servers[-1].start()
        return StoreClient(f"127.0.0.1:{servers[-1].server_port}")

    yield start
    for server in servers:
        server.stop()


def serves_pages(*pages):
    """Returns a server function; the last page is repeated."""
    left = list(pages)

    def serve(sock, _address):
        data = b""
        while request := read_request(sock, data):
            data = request[3]
            page = left.pop(0) if len(left) > 1 else left[0]
            body = json.dumps(page).encode()
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
            sock.sendall(head.encode() + body)

    return serve


def page(*keys, has_more):
    rows = [{"Key": key, "Ver": 1, "Value": ""} for key in keys]
    return {"Rows": rows, "HasMore": has_more, "Ver": 5}


def test_a_body_without_end_is_not_received(start_store):
    sent = []

    def send_endless_body(sock, _address):
        read_request(sock, b"")
        sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        while True:
            sock.sendall(b"10000\r\n" + b"x" * CHUNK_BYTES + b"\r\n")
            sent.append(CHUNK_BYTES)

    with pytest.raises(StoreError, match="the body exceeds"):
        start_store(send_endless_body).read("servers")
    assert sum(sent) < 2 * store.MAX_BODY_BYTES


def test_all_pages_are_read(start_store):
    client = start_store(
        serves_pages(page("a", has_more=True), page("b", has_more=False))
    )
    assert [row.key for row in client.read("servers").rows] == ["a", "b"]


@pytest.mark.parametrize("keys", [(), ("a",)])
def test_pages_that_do_not_advance_are_an_error(start_store, keys):
    client = start_store(
        serves_pages(page("b", has_more=True), page(*keys, has_more=True))
    )
    with pytest.raises(StoreError, match="does not advance"):
        client.read("servers")


def test_rows_without_end_are_an_error(start_store, monkeypatch):
    monkeypatch.setattr(store, "MAX_ROWS", 10, raising=False)
    numbers = iter(range(10**6))

    def serve(sock, _address):
        data = b""
        while request := read_request(sock, data):
            data = request[3]
            key = f"{next(numbers):09}"
            body = json.dumps(page(key, has_more=key < "000001000")).encode()
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
            sock.sendall(head.encode() + body)

    with pytest.raises(StoreError, match="over 10 rows"):
        start_store(serve).read("servers")
