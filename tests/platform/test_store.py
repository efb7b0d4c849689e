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


def serves_pages(*pages, paths=None, eras=()):
    """Returns a server function; the last page is repeated.

    Args:
        *pages: JSON bodies of the responses.
        paths: Gets the path of each request.
        eras: ``Store-Era`` of each response, if it has one.
    """
    left = list(pages)
    left_eras = list(eras)

    def serve(sock, _address):
        data = b""
        while request := read_request(sock, data):
            data = request[3]
            if paths is not None:
                paths.append(request[0][1])
            page = left.pop(0) if len(left) > 1 else left[0]
            era = f"Store-Era: {left_eras.pop(0)}\r\n" if left_eras else ""
            body = json.dumps(page).encode()
            head = (
                f"HTTP/1.1 200 OK\r\n{era}Content-Length: {len(body)}\r\n\r\n"
            )
            sock.sendall(head.encode() + body)

    return serve


def page(*keys, has_more, version=5):
    rows = [{"Key": key, "Ver": 1, "Value": ""} for key in keys]
    return {"Rows": rows, "HasMore": has_more, "Ver": version}


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


def test_changes_while_a_table_is_read_in_parts_are_polled_again(start_store):
    client = start_store(
        serves_pages(
            page("a", has_more=True, version=5),
            page("b", has_more=False, version=9),
        )
    )
    assert client.read("servers").position == 5


def test_rows_that_can_not_be_read_do_not_hide_the_others(start_store):
    rows = [
        {"Key": "a", "Ver": 1, "Value": "!"},
        {"Key": 7, "Ver": 2, "Value": ""},
        {"Key": "c", "Ver": "3", "Value": ""},
        {"Key": "d", "Ver": 10**30, "Value": ""},
        {"Ver": 5},
        "row",
        {"Key": "e", "Ver": 6, "Value": None},
        {"Key": "f", "Ver": 7, "Value": "eA=="},
    ]
    client = start_store(serves_pages({"Rows": rows, "Ver": 9}))
    read = client.read("servers")
    assert [(row.key, row.value) for row in read.rows] == [
        ("a", b""),
        ("e", b""),
        ("f", b"x"),
    ]
    assert len(read.invalid) == 5


def test_a_part_that_ends_with_an_odd_key_is_followed_by_the_next(start_store):
    client = start_store(
        serves_pages(
            page("\ud800", has_more=True), page("\uffff", has_more=False)
        )
    )
    assert len(client.read("servers").rows) == 2


@pytest.mark.parametrize(
    "body",
    [
        [],
        7,
        {},
        {"Rows": None, "Ver": 5},
        {"Rows": [], "Ver": None},
        {"Rows": [], "Ver": -1},
        {"Rows": [], "Ver": 1e400},
    ],
)
def test_a_body_without_rows_or_version_is_an_error(start_store, body):
    with pytest.raises(StoreError):
        start_store(serves_pages(body)).read("servers")


def test_nested_bodies_are_an_error(start_store):
    def serve(sock, _address):
        read_request(sock, b"")
        body = b"[" * 100_000
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        sock.sendall(head.encode() + body)

    with pytest.raises(StoreError, match="nested"):
        start_store(serve).read("servers")


def test_positions_of_a_restored_store_are_beyond_all_earlier_ones(start_store):
    empty = page(has_more=False, version=900)
    restored = page(has_more=False, version=20)
    client = start_store(serves_pages(empty, restored, eras=(1, 2)))
    before = client.read("servers").position
    assert client.read("servers").position > before


def test_changes_of_a_restored_store_are_read_in_full(start_store):
    paths = []
    full = page(has_more=False, version=900)
    client = start_store(serves_pages(full, full, paths=paths, eras=(1, 2)))
    position = client.read("servers").position
    with pytest.raises(StoreError) as caught:
        client.changes("servers", position, wait_s=1.0)
    assert caught.value.is_history_lost
    assert "after=900" in paths[1]


def test_parts_of_two_epochs_are_not_mixed(start_store):
    parts = (page("a", has_more=True), page("b", has_more=False))
    client = start_store(serves_pages(*parts, eras=(1, 2)))
    with pytest.raises(StoreError) as caught:
        client.read("servers")
    assert caught.value.is_history_lost


@pytest.mark.parametrize("era", ["x", "-1", "99999", "1.5"])
def test_an_unreadable_epoch_is_an_error(start_store, era):
    client = start_store(serves_pages(page(has_more=False), eras=(era,)))
    with pytest.raises(StoreError, match="era"):
        client.read("servers")
