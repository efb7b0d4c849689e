"""The platform's client against answers that are lost, bad or absent."""

import json

import pytest
from gevent.server import StreamServer
from sardinewheel_core.effects import ReadRows, Transact
from sardinewheel_entry.platform_client import PlatformClient
from sardinewheel_testing.processes import free_address

TRANSACT = Transact(7, "c-1", (("k", 0),), (("k", "v"),))


class Answers:
    """Answers each connection's first request from a list of bodies."""

    def __init__(self, *bodies: str | None):
        self.bodies = list(bodies)
        self.requests = []

    def __call__(self, sock, address):
        self.requests.append(sock.recv(65536))
        body = self.bodies.pop(0) if self.bodies else None
        if body is not None:
            data = body.encode()
            head = "HTTP/1.1 200 OK\r\nConnection: close\r\n"
            head += f"Content-Length: {len(data)}\r\n\r\n"
            sock.sendall(head.encode() + data)
        sock.close()


@pytest.fixture
def serve():
    """Returns a function that serves answers and makes a client for them."""
    servers = []

    def start(*bodies):
        host, port = free_address().split(":")
        answers = Answers(*bodies)
        server = StreamServer((host, int(port)), answers)
        server.start()
        servers.append(server)
        return PlatformClient(f"{host}:{port}"), answers

    yield start
    for server in servers:
        server.stop()


def test_absent_platform_fails_the_call():
    client = PlatformClient(free_address())
    assert client.transact(TRANSACT).failed
    assert client.read(ReadRows(1, ("k",))).failed
    assert client.hosts() is None
    assert client.counters.failures == 3


def test_unanswered_call_is_repeated_once(serve):
    client, answers = serve(None, '{"rows": []}')
    assert client.read(ReadRows(1, ())).rows == ()
    assert len(answers.requests) == 2
    assert client.counters.as_dict() == {
        "reads": 2,
        "writes": 0,
        "retries": 1,
        "failures": 0,
    }


def test_retries_end_with_their_budget(serve):
    client, answers = serve()
    for _ in range(10):
        client.read(ReadRows(1, ()))
    assert client.counters.retries < 10
    assert len(answers.requests) == 10 + client.counters.retries


def test_repeated_transaction_that_fails_its_checks_is_not_settled(serve):
    """The first sending may have committed and made the checks fail."""
    refused = json.dumps({"committed": False, "rows": []})
    client, _ = serve(None, refused)
    ended = client.transact(TRANSACT)
    assert ended.failed
    client, _ = serve(refused)
    ended = client.transact(TRANSACT)
    assert not ended.failed
    assert not ended.committed


@pytest.mark.parametrize(
    "body",
    [
        "",
        "nonsense",
        "[]",
        '{"rows": 1}',
        '{"rows": [{"key": 1, "version": "x", "value": null}]}',
        "[" * 30_000,
    ],
)
def test_malformed_answer_fails_the_call(serve, body):
    client, _ = serve(body, body)
    assert client.read(ReadRows(1, ())).failed
    client, _ = serve(body, body)
    assert client.transact(TRANSACT).failed
