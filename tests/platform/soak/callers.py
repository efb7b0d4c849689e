"""Callers that send requests over persistent connections."""

import time

import gevent
from gevent import socket

from tests.platform.gateway_process import FRONT_PORT
from tests.platform.soak.invariants import Call

CONNECT_TIMEOUT_S = 0.5
RESPONSE_TIMEOUT_S = 10.0
OBJECT_COUNT = 20
READ_BYTES = 65536


class Callers:
    """Sends requests to randomly chosen gateways until stopped.

    Attributes:
        number: Number of requests sent so far.
        is_stopped: Set to stop all callers.
        are_faults_over: Set once no fault is injected any more; requests
            sent from then on are expected to succeed.
    """

    def __init__(self, gateways, checker, rng):
        self.gateways = gateways
        self.checker = checker
        self.rng = rng
        self.number = 0
        self.is_stopped = False
        self.are_faults_over = False

    def run_caller(self, caller):
        """Sends requests of one caller, one at a time, until stopped."""
        sock = gateway = None
        while not self.is_stopped:
            if sock is None:
                gateway = self.rng.choice(self.gateways)
                sock = connect(gateway)
            if sock is None or not self._call(sock, gateway, caller):
                if sock is not None:
                    sock.close()
                sock = None
            gevent.sleep(self.rng.uniform(0.0, 0.05))

    def _call(self, sock, gateway, caller):
        """Sends one request; returns whether the connection is reusable."""
        self.number += 1
        request_id = f"{caller}-{self.number}-{gateway.number}"
        is_non_idempotent = self.rng.random() < 0.5
        if is_non_idempotent:
            self.checker.non_idempotent_ids.add(request_id)
        kind = "non_idempotent" if is_non_idempotent else "idempotent"
        call = Call(request_id, gateway, time.monotonic(), self.are_faults_over)
        self.checker.sent += 1
        key = self.rng.randint(1, OBJECT_COUNT)
        method = "POST" if is_non_idempotent else "GET"
        response = exchange(
            sock, request(method, f"/{kind}/x", request_id, key=key)
        )
        self.checker.check_response(call, response)
        if response is None:
            return False
        return response[1].get("connection", "").lower() != "close"


def connect(gateway):
    """Returns a connection to a gateway; ``None`` if it is refused."""
    try:
        sock = socket.create_connection(
            (gateway.ip, FRONT_PORT), timeout=CONNECT_TIMEOUT_S
        )
    except OSError:
        gevent.sleep(0.05)
        return None
    sock.settimeout(RESPONSE_TIMEOUT_S)
    return sock


def request(method, path, request_id, *, key):
    """Returns an encoded request."""
    return (
        f"{method} {path} HTTP/1.1\r\nHost: shop.example\r\n"
        f"Sardinewheel-Attempt-Id: {request_id}\r\n"
        f"Cookie: Sardinewheel-Affinity-Key={key}\r\n"
        "Sardinewheel-Time-Remaining: 3000\r\n\r\n"
    ).encode()


def send_and_close(sock, data):
    """Sends bytes, reads what comes at once, and closes the connection."""
    try:
        sock.settimeout(0.1)
        sock.sendall(data)
        sock.recv(READ_BYTES)
    except OSError:
        pass
    finally:
        sock.close()


def exchange(sock, data):
    """Sends a request and returns status, headers and body of the response.

    Returns ``None`` if no complete response arrives.
    """
    try:
        sock.sendall(data)
        return _read_response(sock)
    except OSError:
        return None


def _read_response(sock):
    data = b""
    while b"\r\n\r\n" not in data:
        more = sock.recv(READ_BYTES)
        if not more:
            return None
        data += more
    head, _, body = data.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    pairs = (line.split(": ", 1) for line in lines[1:])
    headers = {name.lower(): value for name, value in pairs}
    length = int(headers["content-length"])
    while len(body) < length:
        more = sock.recv(READ_BYTES)
        if not more:
            return None
        body += more
    return int(lines[0].split(" ")[1]), headers, body
