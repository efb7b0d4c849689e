"""The link stand-in delays, cuts, freezes and silences connections."""

import json
import socket

import pytest
from sardinewheel_testing.processes import (
    free_address,
    http,
    stand_in,
    wait_until,
)

JSON = {"Content-Type": "application/json"}


@pytest.fixture
def relay(tmp_path):
    """A relay to a target: its address and the control address."""
    target, listen, control = (free_address() for _ in range(3))
    network = {
        "control_address": control,
        "relays": [
            {"name": "a", "listen": listen, "to": target, "delay_s": 0.01}
        ],
    }
    path = tmp_path / "network.json"
    path.write_text(json.dumps(network), encoding="utf-8")
    processes = [
        stand_in("target", target, "1", log_file=tmp_path / "target"),
        stand_in("link", str(path), log_file=tmp_path / "link"),
    ]
    try:
        wait_until(lambda: http("GET", listen, "/health"))
        yield listen, control
    finally:
        for process in processes:
            process.stop()


def set_state(control, state):
    body = json.dumps({"relays": ["a"], "state": state}).encode()
    http("PUT", control, "/control", body=body, headers=JSON)


def connection(address):
    host, port = address.split(":")
    return socket.create_connection((host, int(port)), timeout=0.5)


def ask(sock):
    sock.sendall(b"GET /health HTTP/1.1\r\nHost: t\r\n\r\n")
    answer = sock.recv(1000)
    while not answer.endswith(b"}"):
        answer += sock.recv(1000)
    return answer


def test_open_relay_passes_bytes_both_ways(relay):
    listen, _ = relay
    with connection(listen) as sock:
        assert b"healthy" in ask(sock)
        assert b"healthy" in ask(sock)


def test_silent_connection_stays_so_while_new_ones_work(relay):
    listen, control = relay
    with connection(listen) as sock:
        assert b"healthy" in ask(sock)
        set_state(control, "silent")
        with pytest.raises(TimeoutError):
            ask(sock)
    assert http("GET", listen, "/health").status == 200


def test_frozen_relay_takes_connections_and_says_nothing(relay):
    listen, control = relay
    set_state(control, "frozen")
    with connection(listen) as sock, pytest.raises(TimeoutError):
        ask(sock)
    set_state(control, "open")
    assert http("GET", listen, "/health").status == 200


def test_cut_relay_refuses_and_comes_back(relay):
    listen, control = relay
    set_state(control, "cut")
    with pytest.raises(ConnectionRefusedError):
        connection(listen)
    set_state(control, "open")
    assert http("GET", listen, "/health").status == 200
