"""Platform client with lost, malformed and missing responses."""

import json

import pytest
from gevent.server import StreamServer
from sardinewheel_core.effects import ReadRows, Transact
from sardinewheel_entry.platform_client import PlatformClient
from sardinewheel_testing.processes import free_address

TRANSACT = Transact(7, "c-1", (("k", 0),), (("k", "v"),))


class ScriptedResponses:
    """Responds to the first request of each connection with the next body.

    If there is none, it closes the connection without a response.
    """

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
    """Returns a function that starts a server and returns a client of it."""
    servers = []

    def start(*bodies):
        host, port = free_address().split(":")
        responses = ScriptedResponses(*bodies)
        server = StreamServer((host, int(port)), responses)
        server.start()
        servers.append(server)
        return PlatformClient(f"{host}:{port}"), responses

    yield start
    for server in servers:
        server.stop()


def test_unavailable_platform_fails_the_call():
    client = PlatformClient(free_address())
    assert client.transact(TRANSACT).failed
    assert client.read(ReadRows(1, ("k",))).failed
    assert client.hosts() is None
    assert client.counters.failures == 3


def test_call_without_response_is_retried_once(serve):
    client, responses = serve(None, '{"rows": []}')
    assert client.read(ReadRows(1, ())).rows == ()
    assert len(responses.requests) == 2
    assert client.counters.as_dict() == {
        "reads": 2,
        "writes": 0,
        "retries": 1,
        "failures": 0,
    }


def test_retries_stop_when_the_budget_is_used_up(serve):
    client, responses = serve()
    for _ in range(10):
        client.read(ReadRows(1, ()))
    assert client.counters.retries < 10
    assert len(responses.requests) == 10 + client.counters.retries


def test_retried_transaction_with_failed_checks_is_unresolved(serve):
    """The first attempt may have committed, which makes the checks fail."""
    refused = json.dumps({"committed": False, "rows": []})
    client, _ = serve(None, refused)
    result = client.transact(TRANSACT)
    assert result.failed
    client, _ = serve(refused)
    result = client.transact(TRANSACT)
    assert not result.failed
    assert not result.committed


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
