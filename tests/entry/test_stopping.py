"""Graceful shutdown of a host interrupts no response."""

import http.client
import json
import signal
import time

import pytest
from sardinewheel_testing.processes import wait_until

from tests.entry.cluster import Cluster, ScriptedTarget

CHUNK = b"x" * 65536
CHUNKS = 12
CHUNK_INTERVAL_S = 0.2
KIND = {"Sardinewheel-Kind": "status"}
PATH = "/v1/services/pedidos/requests"


def send_slowly(sock, count):
    """Sends a large body for longer than a stopping host waits to exit."""
    length = len(CHUNK) * CHUNKS
    sock.sendall(
        f"HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n".encode()
    )
    for _ in range(CHUNKS):
        sock.sendall(CHUNK)
        time.sleep(CHUNK_INTERVAL_S)


@pytest.fixture
def cluster(tmp_path):
    cluster = Cluster(tmp_path)
    target = ScriptedTarget(send_slowly)
    try:
        cluster.configure(target=target.address)
        yield cluster
    finally:
        cluster.stop()
        target.close()


def connect(cluster, name):
    return http.client.HTTPConnection(cluster.http_addresses[name], timeout=15)


def dispatching_host(cluster):
    """Returns the name of the host that dispatches to the target."""
    for name in cluster.names:
        connection = connect(cluster, name)
        connection.request("GET", "/v1/headroom")
        if b'"t1"' in connection.getresponse().read():
            return name
    return None


def first_response_while_leaving(connection):
    """Returns the first response on a connection after the stop began."""
    while True:
        connection.request("GET", "/v1/status")
        response = connection.getresponse()
        assert response.status == 200
        if json.load(response)["phase"] == "leaving":
            return response
        assert response.getheader("Connection") is None


def test_graceful_shutdown_completes_stream_and_idle_connection(cluster):
    name = wait_until(lambda: dispatching_host(cluster))
    idle = connect(cluster, name)
    idle.request("GET", "/v1/status")
    idle.getresponse().read()
    streamed = connect(cluster, name)
    streamed.request("POST", PATH, body=b"x", headers=KIND)
    response = streamed.getresponse()
    assert response.read(len(CHUNK)) == CHUNK
    process = cluster.processes[name]
    process.signal(signal.SIGTERM)
    response_while_leaving = first_response_while_leaving(idle)
    assert response_while_leaving.getheader("Connection") == "close"
    remaining = response.read()
    assert len(remaining) == len(CHUNK) * (CHUNKS - 1)
    assert process.popen.wait(15) == 0


def test_idle_host_exits_on_sigterm(cluster):
    process = cluster.processes["quito-1"]
    process.signal(signal.SIGTERM)
    assert process.popen.wait(15) == 0
