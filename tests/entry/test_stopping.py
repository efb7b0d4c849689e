"""A planned stop of the process cuts no connection that is in use."""

import http.client
import json
import signal
import time

import pytest
from sardinewheel_testing.processes import wait_until

from tests.entry.house import House, ScriptedTarget

PIECE = b"x" * 65536
PIECES = 12
PIECE_INTERVAL_S = 0.2
KIND = {"Sardinewheel-Kind": "status"}
PATH = "/v1/services/pedidos/requests"


def dribble(sock, count):
    """Answers with a large body that takes longer than the host lingers."""
    length = len(PIECE) * PIECES
    sock.sendall(
        f"HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n".encode()
    )
    for _ in range(PIECES):
        sock.sendall(PIECE)
        time.sleep(PIECE_INTERVAL_S)


@pytest.fixture
def house(tmp_path):
    house = House(tmp_path)
    target = ScriptedTarget(dribble)
    try:
        house.configure(target=target.address)
        yield house
    finally:
        house.stop()
        target.close()


def connect(house, name):
    return http.client.HTTPConnection(house.http[name], timeout=15)


def owner(house):
    """Returns the host that dispatches to the target."""
    for name in house.names:
        connection = connect(house, name)
        connection.request("GET", "/v1/headroom")
        if b'"t1"' in connection.getresponse().read():
            return name
    return None


def first_answer_while_leaving(connection):
    """Returns the first answer on a kept connection after the stop began."""
    while True:
        connection.request("GET", "/v1/status")
        answer = connection.getresponse()
        assert answer.status == 200
        if json.load(answer)["phase"] == "leaving":
            return answer
        assert answer.getheader("Connection") is None


def test_streamed_answer_and_idle_connection_are_served_to_the_end(house):
    name = wait_until(lambda: owner(house))
    idle = connect(house, name)
    idle.request("GET", "/v1/status")
    idle.getresponse().read()
    streamed = connect(house, name)
    streamed.request("POST", PATH, body=b"x", headers=KIND)
    response = streamed.getresponse()
    assert response.read(len(PIECE)) == PIECE
    process = house.processes[name]
    process.signal(signal.SIGTERM)
    answer = first_answer_while_leaving(idle)
    assert answer.getheader("Connection") == "close"
    rest = response.read()
    assert len(rest) == len(PIECE) * (PIECES - 1)
    assert process.popen.wait(15) == 0


def test_idle_host_exits(house):
    process = house.processes["quito-1"]
    process.signal(signal.SIGTERM)
    assert process.popen.wait(15) == 0
