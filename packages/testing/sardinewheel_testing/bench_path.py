"""Benchmarks the request path of one entry host against direct calls.

Starts a simulated platform, a simulated target and one entry host on loopback.
Prints the added latency, and requests and look-ups per second of the entry
host's CPU time, as a table and optionally as JSON.
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

MEASURED_PAIRS = 2000
WARM_UP_PAIRS = 300
LOAD_S = 4.0
CONNECTIONS = 8
SLOTS = 64
LOOKUP_BATCH_SIZE = 100
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
        """Returns percentiles of samples in seconds."""
        ordered = sorted(samples)
        p99 = ordered[int(0.99 * (len(ordered) - 1))]
        return cls(1e6 * ordered[len(ordered) // 2], 1e6 * p99)


class Rate(NamedTuple):
    """Throughput under load.

    Attributes:
        per_s: Calls per second.
        per_core_s: Calls per second of the entry host's CPU time.
    """

    per_s: float
    per_core_s: float


class Client:
    """A connection that sends requests sequentially."""

    def __init__(self, address: str):
        self.address = address
        host, _, port = address.rpartition(":")
        self.sock = socket.create_connection((host, int(port)))
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def call(self, method: str, path: str, fields: dict, body: bytes) -> int:
        """Sends a request, reads the response and returns its status."""
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
        """Kills every process."""
        for process in reversed(self.processes):
            process.kill()


def cpu_time_s(process: Process) -> float:
    """Returns the CPU time used by a process, in seconds."""
    stat = Path(f"/proc/{process.popen.pid}/stat").read_text(encoding="ascii")
    fields = stat.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def call_target(client: Client) -> int:
    """Sends a request directly to the target."""
    return client.call("POST", "/", {headers.KIND: "status"}, BODY)


def call_entry_host(kind: str) -> Callable[[Client], int]:
    """Returns a function that sends a request through the entry host."""
    path = "/v1/services/pedidos/requests"
    return lambda c: c.call("POST", path, {headers.KIND: kind}, BODY)


def look_up(client: Client) -> int:
    """Sends one look-up to the entry host."""
    path = "/v1/lookup?service=pedidos"
    return client.call("GET", path, {}, b"")


def look_up_batch(client: Client) -> int:
    """Sends :data:`LOOKUP_BATCH_SIZE` look-ups in one request."""
    batch = {"lookups": [{"service": "pedidos"}] * LOOKUP_BATCH_SIZE}
    body = json.dumps(batch).encode()
    return client.call("POST", "/v1/lookups", JSON_TYPE, body)


def measure_pairs(setup: Setup, call: Callable[[Client], int]) -> dict:
    """Measures latencies of direct calls and of ``call``, alternating."""
    to_target, to_entry = Client(setup.target), Client(setup.http)
    samples: tuple[list[float], list[float]] = ([], [])
    for number in range(WARM_UP_PAIRS + MEASURED_PAIRS):
        started_at = time.perf_counter()
        call_target(to_target)
        between = time.perf_counter()
        call(to_entry)
        ended_at = time.perf_counter()
        if number >= WARM_UP_PAIRS:
            samples[0].append(between - started_at)
            samples[1].append(ended_at - between)
    direct, through = map(Latency.from_seconds, samples)
    added = Latency(
        through.p50_us - direct.p50_us, through.p99_us - direct.p99_us
    )
    return {"direct": direct, "through": through, "added": added}


def measure_rate(
    setup: Setup, call: Callable[[Client], int], *, per_call: int = 1
) -> Rate:
    """Measures the throughput of the entry host under load."""
    ends_at = time.perf_counter() + LOAD_S
    counts = [0] * CONNECTIONS

    def run(number: int) -> None:
        client = Client(setup.http)
        while time.perf_counter() < ends_at:
            counts[number] += call(client) == 200  # noqa: PLR2004

    used_s = cpu_time_s(setup.entry)
    gevent.joinall([gevent.spawn(run, n) for n in range(CONNECTIONS)])
    used_s = cpu_time_s(setup.entry) - used_s
    calls = per_call * sum(counts)
    return Rate(calls / LOAD_S, calls / used_s)


def measure(setup: Setup) -> dict:
    """Runs all measurements and returns the results by name."""
    return {
        "latency status": measure_pairs(setup, call_entry_host("status")),
        "latency confirm": measure_pairs(setup, call_entry_host("confirm")),
        "requests status": measure_rate(setup, call_entry_host("status")),
        "requests confirm": measure_rate(setup, call_entry_host("confirm")),
        "look-ups single": measure_rate(setup, look_up),
        "look-ups batch": measure_rate(
            setup, look_up_batch, per_call=LOOKUP_BATCH_SIZE
        ),
    }


def print_results(results: dict) -> None:
    """Prints the results as a table."""
    for name, value in results.items():
        rows = value if isinstance(value, dict) else {"": value}
        for part, row in rows.items():
            cells = "  ".join(
                f"{key} {number:9.1f}" for key, number in row._asdict().items()
            )
            print(f"{name:18} {part:8} {cells}")


def main() -> None:
    """Runs the benchmark; an optional argument names a JSON output file."""
    with tempfile.TemporaryDirectory() as folder:
        setup = Setup(Path(folder))
        try:
            results = measure(setup)
        finally:
            setup.stop()
    print_results(results)
    if len(sys.argv) > 1:
        plain = {
            name: {k: v._asdict() for k, v in value.items()}
            if isinstance(value, dict)
            else value._asdict()
            for name, value in results.items()
        }
        text = json.dumps(plain, indent=2)
        Path(sys.argv[1]).write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
