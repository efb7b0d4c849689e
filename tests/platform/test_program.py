"""Tests of the gateway process: bodies, shutdown, reload, store faults."""

import hashlib
import itertools
import random
import signal
import time

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer
from sardinewheel_cli import log_lines

from tests.platform.fakes import Store, Target
from tests.platform.gateway_process import FRONT_PORT, GatewayProcess
from tests.platform.soak.callers import exchange, request
from tests.platform.soak.operators import configuration

BODY_BYTES = 64 * 1024 * 1024
CHUNK = bytes(range(256)) * 256
MAX_PEAK_MEMORY_KB = 100 * 1024
GRACE_S = 6.0
START_TIMEOUT_S = 30.0


class StreamingTarget:
    """A target that reads a streamed body and sends one of fixed size.

    Attributes:
        digests: SHA-256 digest of each received body.
    """

    def __init__(self):
        self.digests = []
        self.server = StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()

    def _serve(self, sock, _address):
        file = sock.makefile("rb")
        headers = {}
        file.readline()
        while (line := file.readline()) not in (b"\r\n", b""):
            name, _, value = line.decode().partition(":")
            headers[name.lower()] = value.strip()
        digest = hashlib.sha256()
        for chunk in _read_chunks(file, headers):
            digest.update(chunk)
        self.digests.append(digest.hexdigest())
        request_id = headers["sardinewheel-attempt-id"]
        head = (
            "HTTP/1.1 200 OK\r\nSardinewheel-Server-Seal: x\r\n"
            f"Sardinewheel-Attempt-Id: {request_id}\r\n"
            f"Content-Length: {BODY_BYTES}\r\n\r\n"
        )
        sock.sendall(head.encode())
        for _ in range(BODY_BYTES // len(CHUNK)):
            sock.sendall(CHUNK)


def _read_chunks(file, headers):
    if "content-length" in headers:
        remaining = int(headers["content-length"])
        while remaining:
            chunk = file.read(min(remaining, len(CHUNK)))
            remaining -= len(chunk)
            yield chunk
        return
    while size := int(file.readline(), 16):
        yield file.read(size)
        file.readline()
    file.readline()


class Deployment:
    """One gateway process with a fake store.

    Attributes:
        store: Fake store.
        gateway: Gateway process.
    """

    def __init__(self, folder):
        self.store = Store()
        settings = configuration(1)
        settings["Limits"]["MaxBodyBytes"] = BODY_BYTES
        for route in settings["Routes"]:
            route["Timeout"] = "60000ms"
        self.store.put("op", "config", settings)
        self.gateway = GatewayProcess(
            0,
            self.store.address,
            folder,
            domain="north-a",
            domains=["north-a"],
            is_relayed=False,
        )

    def start(self):
        """Starts the process and waits until it is ready."""
        self.gateway.start()
        with gevent.Timeout(START_TIMEOUT_S):
            while not self.gateway.is_ready():
                gevent.sleep(0.05)

    def register_target(self, server):
        """Registers a server as a target."""
        record = {
            "Service": "orders",
            "Address": f"127.0.0.1:{server.server_port}",
            "Zone": "north-a",
            "CfgVersion": "v1",
            "Slots": 4,
            "OperState": "in_service",
            "ColdLeft": "0ms",
            "Sequence": 1,
            "born": 1,
        }
        self.store.put("servers", "t0", record)

    def connect(self):
        """Returns a connection to the gateway."""
        sock = socket.create_connection((self.gateway.ip, FRONT_PORT))
        sock.settimeout(60.0)
        return sock

    def close(self):
        """Stops the processes and servers."""
        self.gateway.kill_if_running()
        self.store.server.stop()


@pytest.fixture
def deployment(tmp_path):
    created = Deployment(tmp_path)
    yield created
    created.close()


def request_head(framing):
    return (
        "POST /non_idempotent/x HTTP/1.1\r\nHost: shop.example\r\n"
        "Sardinewheel-Attempt-Id: id-1\r\n"
        f"Sardinewheel-Time-Remaining: 60000\r\n{framing}\r\n\r\n"
    ).encode()


@pytest.mark.parametrize("is_chunked", [False, True])
def test_bodies_of_64_mb_are_streamed_within_the_memory_limit(
    deployment, is_chunked
):
    target = StreamingTarget()
    deployment.register_target(target.server)
    deployment.start()
    sock = deployment.connect()
    framing = f"Content-Length: {BODY_BYTES}"
    if is_chunked:
        framing = "Transfer-Encoding: chunked"
    sock.sendall(request_head(framing))
    digest = hashlib.sha256()
    for _ in range(BODY_BYTES // len(CHUNK)):
        digest.update(CHUNK)
        if is_chunked:
            sock.sendall(b"%x\r\n" % len(CHUNK) + CHUNK + b"\r\n")
        else:
            sock.sendall(CHUNK)
    if is_chunked:
        sock.sendall(b"0\r\n\r\n")
    file = sock.makefile("rb")
    assert b" 200 " in file.readline()
    while file.readline() != b"\r\n":
        pass
    response_digest = hashlib.sha256()
    remaining = BODY_BYTES
    while remaining:
        chunk = file.read(min(remaining, len(CHUNK)))
        assert chunk
        remaining -= len(chunk)
        response_digest.update(chunk)
    assert (
        target.digests == [digest.hexdigest()] == [response_digest.hexdigest()]
    )
    assert deployment.gateway.peak_memory_kb() < MAX_PEAK_MEMORY_KB
    target.server.stop()


def test_shutdown_completes_requests_within_the_grace_period(deployment):
    execution_counts = {}
    target = Target(
        "t0",
        deployment.store,
        execution_counts,
        service="orders",
        domain="north-a",
        rng=random.Random(1),
        on_request=lambda *_: gevent.sleep(1.0),
    )
    deployment.start()
    sock = deployment.connect()
    pending = gevent.spawn(
        exchange, sock, request("POST", "/non_idempotent/x", "id-1", key=1)
    )
    with gevent.Timeout(5.0):
        while not target.connections:
            gevent.sleep(0.01)
    began = time.monotonic()
    deployment.gateway.terminate(signal.SIGTERM)
    with gevent.Timeout(5.0):
        while deployment.gateway.is_ready():
            gevent.sleep(0.02)
    late_response = exchange(
        deployment.connect(),
        request("POST", "/non_idempotent/x", "id-2", key=2),
    )
    status, headers, _ = pending.get(timeout=10.0)
    assert (status, headers["connection"]) == (200, "close")
    assert late_response is not None
    assert (late_response[0], late_response[1]["connection"]) == (200, "close")
    while deployment.gateway.popen.poll() is None:
        assert time.monotonic() - began < GRACE_S
        gevent.sleep(0.05)
    assert execution_counts == {"id-1": 1, "id-2": 1}
    target.crash()


def test_invalid_settings_fail_a_start_but_not_a_reload(deployment):
    deployment.start()
    valid_settings = deployment.gateway.settings_path.read_text()
    deployment.gateway.settings_path.write_text("Node = 3")
    deployment.gateway.signal(signal.SIGHUP)
    with gevent.Timeout(5.0):
        while (
            b"settings-refused" not in deployment.gateway.log_path.read_bytes()
        ):
            gevent.sleep(0.05)
    assert deployment.gateway.is_ready()
    deployment.gateway.kill_if_running()
    deployment.gateway.start()
    with gevent.Timeout(START_TIMEOUT_S):
        while deployment.gateway.popen.poll() is None:
            gevent.sleep(0.05)
    assert deployment.gateway.popen.returncode == 2
    deployment.gateway.settings_path.write_text(valid_settings)
    deployment.start()


def test_host_without_store_access_gets_updates_from_another_host(make_group):
    group = make_group("north-a", "north-b")
    group.store_relays[1].mode = "silent"
    group.start()
    group.store.put("op", "config", configuration(7))
    group.wait_for_log("version=7", 5.0)


def _knows_follower(own, other):
    """Returns whether a host knows that the other one follows the store.

    It logs a change, but not what it learns when it discovers the other.
    """
    lines = list(log_lines.read(own.log_path.read_text().splitlines()))
    if any(x.fields.get("store") == "FOLLOWING" for x in lines):
        return True
    discovered = [x.time for x in lines if x.event == "hosts-discovered"]
    others = log_lines.read(other.log_path.read_text().splitlines())
    started = [x.time for x in others if x.event == "store-follow-started"]
    return bool(discovered and started) and discovered[0] > started[0]


def test_silent_store_connections_of_all_hosts_are_replaced(make_group):
    """Open connections of hosts in both regions go silent; new ones work."""
    group = make_group("north-a", "east-a")
    group.start()
    group.wait_for_log("event=store-follow-started", 10.0)
    with gevent.Timeout(10.0):
        while not all(
            _knows_follower(own, other)
            for own, other in itertools.permutations(group.gateways)
        ):
            gevent.sleep(0.05)
    gevent.sleep(2.0)
    for relay in group.store_relays:
        relay.silence_open_connections()
    group.store.put("op", "config", configuration(9))
    group.wait_for_log("version=9", 10.0)
