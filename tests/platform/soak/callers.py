"""Callers that keep their connections as long as they can."""

import time

import gevent
from gevent import socket

from tests.platform.gateway_process import FRONT
from tests.platform.soak.promises import Call

CONNECT_TIMEOUT_S = 0.5
ANSWER_TIMEOUT_S = 10.0
OBJECTS = 20
READ_BYTES = 65536


class Callers:
    """Sends requests to gateways at random, for ever.

    Attributes:
        is_over: Whether they should stop.
        faults_are_over: Whether requests from now on should be served.
    """

    def __init__(self, gateways, promises, rng):
        self.gateways = gateways
        self.promises = promises
        self.rng = rng
        self.number = 0
        self.is_over = False
        self.faults_are_over = False

    def call_forever(self, caller):
        """Sends one request after the other."""
        sock = gateway = None
        while not self.is_over:
            if sock is None:
                gateway = self.rng.choice(self.gateways)
                sock = connect(gateway)
            if sock is None or not self._call(sock, gateway, caller):
                if sock is not None:
                    sock.close()
                sock = None
            gevent.sleep(self.rng.uniform(0.0, 0.05))

    def _call(self, sock, gateway, caller):
        """Sends one request; says whether the connection may be kept."""
        self.number += 1
        request_id = f"{caller}-{self.number}-{gateway.number}"
        is_unsafe = self.rng.random() < 0.5
        if is_unsafe:
            self.promises.unsafe.add(request_id)
        kind = "non_idempotent" if is_unsafe else "idempotent"
        call = Call(request_id, gateway, time.monotonic(), self.faults_are_over)
        self.promises.asked += 1
        key = self.rng.randint(1, OBJECTS)
        method = "POST" if is_unsafe else "GET"
        answer = exchange(
            sock, request(method, f"/{kind}/x", request_id, key=key)
        )
        self.promises.answered(call, answer)
        if answer is None:
            return False
        return answer[1].get("connection", "").lower() != "close"


def connect(gateway):
    """Returns a connection to a gateway, or nothing."""
    try:
        sock = socket.create_connection(
            (gateway.ip, FRONT), timeout=CONNECT_TIMEOUT_S
        )
    except OSError:
        gevent.sleep(0.05)
        return None
    sock.settimeout(ANSWER_TIMEOUT_S)
    return sock


def request(method, path, request_id, *, key):
    """Returns the bytes of a request."""
    return (
        f"{method} {path} HTTP/1.1\r\nHost: shop.example\r\n"
        f"Sardinewheel-Attempt-Id: {request_id}\r\n"
        f"Cookie: Sardinewheel-Affinity-Key={key}\r\n"
        "Sardinewheel-Time-Remaining: 3000\r\n\r\n"
    ).encode()


def exchange(sock, data):
    """Returns status, headers and body; nothing if none came whole."""
    try:
        sock.sendall(data)
        return _read_answer(sock)
    except OSError:
        return None


def _read_answer(sock):
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
