"""Measures one entry host's hot path beside direct calls, in one run.

Starts the platform and target stand-ins and one entry host on loopback, then
prints added latency, requests and look-ups per second of the entry host's own
processor time, as a table and as JSON.
"""

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import os  # noqa: E402
import sys  # noqa: E402
import tempfile  # noqa: E402
import time  # noqa: E402
from collections.abc import Callable  # noqa: E402
from pathlib import Path  # noqa: E402
from typing import NamedTuple  # noqa: E402

import gevent  # noqa: E402
from gevent import socket  # noqa: E402
from sardinewheel_core.change import (  # noqa: E402
    DefineRegion,
    DefineSeat,
    DefineService,
)
from sardinewheel_core.codec import to_plain  # noqa: E402
from sardinewheel_core.intent import (  # noqa: E402
    Kind,
    Region,
    Seat,
    Service,
    Target,
)
from sardinewheel_entry import headers, http_exchange  # noqa: E402

from sardinewheel_testing.processes import (  # noqa: E402
    Process,
    free_address,
    http,
    start_entry_host,
    start_stand_in,
    wait_until,
)

PAIRS = 2000
WARM_UP = 300
LOAD_S = 4.0
CONNECTIONS = 8
SLOTS = 64
BATCH = 100
DOMAIN = "quito-bodega"
HOST = "quito-1"
JSON_TYPE = {"Content-Type": "application/json"}
BODY = b"two saddles"
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class Latency(NamedTuple):
    """Latencies in microseconds."""

    p50_us: float
    p99_us: float

    @classmethod
    def from_seconds(cls, samples: list[float]) -> "Latency":
        """Returns the percentiles of samples in seconds."""
        ordered = sorted(samples)
        p99 = ordered[int(0.99 * (len(ordered) - 1))]
        return cls(1e6 * ordered[len(ordered) // 2], 1e6 * p99)


class Rate(NamedTuple):
    """Work done under load.

    Attributes:
        per_s: Calls per second.
        per_core_s: Calls per second of the entry host's processor time.
    """

    per_s: float
    per_core_s: float


class Client:
    """One connection that sends calls one after another."""

    def __init__(self, address: str):
        self.address = address
        host, _, port = address.rpartition(":")
        self.sock = socket.create_connection((host, int(port)))
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def call(self, method: str, path: str, fields: dict, body: bytes) -> int:
        """Sends one request; returns the status of the whole response."""
        head = http_exchange.encode_request_head(
            method, path, self.address, fields, len(body)
        )
        http_exchange.send(self.sock, head, body)
        response, _ = http_exchange.receive(self.sock, method)
        return response.status


class Setup:
    """The processes of one run."""

    def __init__(self, folder: Path):
        self.platform, self.target = free_address(), free_address()
        self.http = free_address()
        settings = {
            "name": HOST,
            "domain": DOMAIN,
            "http_address": self.http,
            "peer_address": free_address(),
            "platform_address": self.platform,
        }
        self.processes = [
            start_stand_in(
                "platform", self.platform, log_file=folder / "platform"
            ),
            start_stand_in(
                "target", self.target, str(SLOTS), log_file=folder / "target"
            ),
        ]
        wait_until(lambda: http("GET", self.platform, "/control"))
        wait_until(lambda: http("GET", self.target, "/health"))
        self.entry = start_entry_host(settings, folder=folder)
        self.processes.append(self.entry)
        wait_until(lambda: http("GET", self.http, "/v1/status"))
        self._configure()

    def _configure(self) -> None:
        behaviour = json.dumps({"service_time_s": {"": 0.0}}).encode()
        http("PUT", self.target, "/control", body=behaviour, headers=JSON_TYPE)
        kinds = {
            "confirm": Kind("confirm", 0, repeatable=False),
            "status": Kind("status", 1),
        }
        targets = {"t1": Target("t1", DOMAIN, self.target, SLOTS)}
        operations = [
            DefineRegion(Region("sierra-norte", 1000, (DOMAIN,))),
            DefineSeat(Seat(HOST, DOMAIN)),
            DefineService(Service("pedidos", kinds, targets)),
        ]
        plain = [to_plain(operation) for operation in operations]
        body = json.dumps({"author": "bench", "operations": plain}).encode()
        http("POST", self.http, "/v1/changes", body=body, headers=JSON_TYPE)
        wait_until(self._is_serving)

    def _is_serving(self) -> bool:
        path = "/v1/services/pedidos/requests"
        fields = {headers.KIND: "status"}
        reply = http("POST", self.http, path, body=BODY, headers=fields)
        return reply.headers.get(headers.OUTCOME.lower()) == "done"

    def stop(self) -> None:
        """Ends every process."""
        for process in reversed(self.processes):
            process.kill()


def processor_s(process: Process) -> float:
    """Returns the processor time that a process used, in seconds."""
    stat = Path(f"/proc/{process.popen.pid}/stat").read_text(encoding="ascii")
    fields = stat.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def direct(client: Client) -> int:
    """Calls the target itself."""
    return client.call("POST", "/", {headers.KIND: "status"}, BODY)


def through(kind: str) -> Callable[[Client], int]:
    """Returns a call through the entry host."""
    path = "/v1/services/pedidos/requests"
    return lambda c: c.call("POST", path, {headers.KIND: kind}, BODY)


def look_up(client: Client) -> int:
    """Makes one look-up."""
    path = "/v1/lookup?service=pedidos"
    return client.call("GET", path, {}, b"")


def look_up_batch(client: Client) -> int:
    """Makes :data:`BATCH` look-ups in one request."""
    asked = {"lookups": [{"service": "pedidos"}] * BATCH}
    body = json.dumps(asked).encode()
    return client.call("POST", "/v1/lookups", JSON_TYPE, body)


def measure_pairs(setup: Setup, call: Callable[[Client], int]) -> dict:
    """Returns latencies of direct calls and others, taken in turns."""
    to_target, to_entry = Client(setup.target), Client(setup.http)
    samples: tuple[list[float], list[float]] = ([], [])
    for number in range(WARM_UP + PAIRS):
        started_at = time.perf_counter()
        direct(to_target)
        between = time.perf_counter()
        call(to_entry)
        ended_at = time.perf_counter()
        if number >= WARM_UP:
            samples[0].append(between - started_at)
            samples[1].append(ended_at - between)
    near, far = map(Latency.from_seconds, samples)
    added = Latency(far.p50_us - near.p50_us, far.p99_us - near.p99_us)
    return {"direct": near, "through": far, "added": added}


def measure_rate(
    setup: Setup, call: Callable[[Client], int], *, per_call: int = 1
) -> Rate:
    """Returns how much one entry host does under load."""
    ends_at = time.perf_counter() + LOAD_S
    counts = [0] * CONNECTIONS

    def run(number: int) -> None:
        client = Client(setup.http)
        while time.perf_counter() < ends_at:
            counts[number] += call(client) == 200  # noqa: PLR2004

    used_s = processor_s(setup.entry)
    gevent.joinall([gevent.spawn(run, n) for n in range(CONNECTIONS)])
    used_s = processor_s(setup.entry) - used_s
    done = per_call * sum(counts)
    return Rate(done / LOAD_S, done / used_s)


def measure(setup: Setup) -> dict:
    """Returns every figure of one run."""
    return {
        "latency status": measure_pairs(setup, through("status")),
        "latency confirm": measure_pairs(setup, through("confirm")),
        "requests status": measure_rate(setup, through("status")),
        "requests confirm": measure_rate(setup, through("confirm")),
        "look-ups single": measure_rate(setup, look_up),
        "look-ups batch": measure_rate(setup, look_up_batch, per_call=BATCH),
    }


def show(figures: dict) -> None:
    """Prints the figures as lines of a table."""
    for name, value in figures.items():
        rows = value if isinstance(value, dict) else {"": value}
        for part, row in rows.items():
            cells = "  ".join(
                f"{key} {number:9.1f}" for key, number in row._asdict().items()
            )
            print(f"{name:18} {part:8} {cells}")


def main() -> None:
    """Runs the bench; a first argument names a file for the JSON."""
    with tempfile.TemporaryDirectory() as folder:
        setup = Setup(Path(folder))
        try:
            figures = measure(setup)
        finally:
            setup.stop()
    show(figures)
    if len(sys.argv) > 1:
        plain = {
            name: {k: v._asdict() for k, v in value.items()}
            if isinstance(value, dict)
            else value._asdict()
            for name, value in figures.items()
        }
        text = json.dumps(plain, indent=2)
        Path(sys.argv[1]).write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
