"""Tests of the link stand-in: open, cut, frozen and silent relays."""

import json
import socket

import pytest
from sardinewheel_testing.processes import (
    free_address,
    http,
    start_stand_in,
    wait_until,
)

JSON = {"Content-Type": "application/json"}


@pytest.fixture
def relay(tmp_path):
    """Returns the address and the control address of a relay to a target."""
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
        start_stand_in("target", target, "1", log_file=tmp_path / "target"),
        start_stand_in("link", str(path), log_file=tmp_path / "link"),
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


def connect(address):
    host, port = address.split(":")
    return socket.create_connection((host, int(port)), timeout=0.5)


def get_health(sock):
    sock.sendall(b"GET /health HTTP/1.1\r\nHost: t\r\n\r\n")
    response = sock.recv(1000)
    while not response.endswith(b"}"):
        response += sock.recv(1000)
    return response


def test_open_relay_forwards_bytes_both_ways(relay):
    listen, _ = relay
    with connect(listen) as sock:
        assert b"healthy" in get_health(sock)
        assert b"healthy" in get_health(sock)


def test_silent_relay_drops_existing_connections_only(relay):
    listen, control = relay
    with connect(listen) as sock:
        assert b"healthy" in get_health(sock)
        set_state(control, "silent")
        with pytest.raises(TimeoutError):
            get_health(sock)
    assert http("GET", listen, "/health").status == 200


def test_frozen_relay_accepts_connections_and_drops_bytes(relay):
    listen, control = relay
    set_state(control, "frozen")
    with connect(listen) as sock, pytest.raises(TimeoutError):
        get_health(sock)
    set_state(control, "open")
    assert http("GET", listen, "/health").status == 200


def test_cut_relay_refuses_connections_until_opened(relay):
    listen, control = relay
    set_state(control, "cut")
    with pytest.raises(ConnectionRefusedError):
        connect(listen)
    set_state(control, "open")
    assert http("GET", listen, "/health").status == 200
