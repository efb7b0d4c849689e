"""A small cluster of real processes for end-to-end tests.

It has two regions, three entry hosts, three targets and the platform. Targets
and platform are simulated; the executions that targets count are the reference
that tests compare answers with.
"""

import json
import uuid
from collections import Counter
from pathlib import Path

from sardinewheel_core.change import (
    DefineBlock,
    DefineRegion,
    DefineSeat,
    DefineService,
    Operation,
)
from sardinewheel_core.codec import to_plain
from sardinewheel_core.intent import (
    Block,
    Kind,
    Region,
    Seat,
    Service,
    Target,
)
from sardinewheel_entry import headers

from sardinewheel_testing.processes import (
    HttpResponse,
    Process,
    free_address,
    http,
    start_entry_host,
    start_stand_in,
    wait_until,
)

SERVICE = "pedidos"
SEATS = {
    "quito-1": "quito-bodega",
    "quito-2": "quito-bodega",
    "guayaquil-1": "guayaquil-norte",
}
TARGETS = {
    "saddles": "quito-bodega",
    "belts": "quito-bodega",
    "hides": "guayaquil-norte",
}
REGIONS = {"sierra-norte": "quito-bodega", "costa": "guayaquil-norte"}
BLOCKS = {"10.1.0.0/16": "sierra-norte", "10.2.0.0/16": "costa"}
JSON = {"Content-Type": "application/json"}
CALLER_TIMEOUT_S = 15.0


class ProcessCluster:
    """The processes of a small cluster.

    Attributes:
        folder: Folder for settings and logs.
        hosts: Started entry hosts by seat.
        addresses: HTTP addresses of entry hosts by seat.
        peer_addresses: Addresses for peer messages by seat.
        report_address: Address of the targets' common report.
        stand_ins: Processes of the simulated platform and targets.
        targets: Addresses of the targets by name.
        platform: Address of the platform.
    """

    def __init__(self, folder: Path):
        self.folder = folder
        self.platform = free_address()
        self.targets = {name: free_address() for name in TARGETS}
        self.addresses = {seat: free_address() for seat in SEATS}
        self.peer_addresses = {seat: free_address() for seat in SEATS}
        self.report_address = free_address()
        self.stand_ins: list[Process] = []
        self.hosts: dict[str, Process] = {}

    def start(
        self, *, cap: int = 20, slots: int = 4, service_time_s: float = 0.05
    ) -> None:
        """Starts all processes and waits until every host is ready.

        Args:
            cap: Cap of each region, in weight units.
            slots: Slots of each target.
            service_time_s: Execution time of a request in seconds.

        Raises:
            RuntimeError: The definitions were not accepted.
        """
        self._start_stand_ins(slots, service_time_s)
        for seat in SEATS:
            self.start_host(seat)
        for seat in SEATS:
            self.wait_for_host(seat)
        ended = self.change("quito-1", self.operations(cap=cap, slots=slots))
        if ended.media["state"] != "accepted":
            raise RuntimeError(f"definitions not accepted: {ended.media}")
        for seat in SEATS:
            wait_until(lambda s=seat: self.status(s).media["ready"])
        for seat in SEATS:
            wait_until(lambda s=seat: len(self.lookup_hosts(s)) == len(SEATS))

    def stop(self) -> None:
        """Kills every process."""
        for process in (*self.hosts.values(), *reversed(self.stand_ins)):
            process.kill()

    def start_host(self, seat: str) -> None:
        """Starts the entry host of a seat."""
        seeds = [a for s, a in self.peer_addresses.items() if s != seat]
        settings = {
            "name": seat,
            "domain": SEATS[seat],
            "http_address": self.addresses[seat],
            "peer_address": self.peer_addresses[seat],
            "platform_address": self.platform,
            "seeds": seeds,
        }
        self.hosts[seat] = start_entry_host(settings, folder=self.folder)

    def wait_for_host(self, seat: str) -> None:
        """Waits until the entry host of a seat answers."""
        wait_until(lambda: self.status(seat).status)

    def operations(self, *, cap: int, slots: int) -> list[Operation]:
        """Returns the operations that define regions, seats and targets."""
        kinds = {
            "confirm": Kind("confirm", 0, reserved=0.25, repeatable=False),
            "status": Kind("status", 1),
        }
        targets = {
            name: Target(name, domain, self.targets[name], slots)
            for name, domain in TARGETS.items()
        }
        return [
            *(DefineRegion(Region(n, cap, (d,))) for n, d in REGIONS.items()),
            *(DefineSeat(Seat(n, d)) for n, d in SEATS.items()),
            DefineService(Service(SERVICE, kinds, targets)),
            *(DefineBlock(Block(p, r)) for p, r in BLOCKS.items()),
        ]

    def change(
        self, seat: str, operations: list[Operation], *, author: str = "ana"
    ) -> HttpResponse:
        """Submits a change through the entry host of a seat."""
        plain = {
            "author": author,
            "operations": [to_plain(o) for o in operations],
        }
        body = json.dumps(plain).encode()
        address = self.addresses[seat]
        return http("POST", address, "/v1/changes", body=body, headers=JSON)

    def status(self, seat: str) -> HttpResponse:
        """Returns the response of an entry host's status endpoint."""
        return http("GET", self.addresses[seat], "/v1/status")

    def lookup_hosts(self, seat: str, *, block: str = "") -> list[dict]:
        """Returns the entry hosts of a look-up, in order of preference."""
        return self.look_up(seat, block=block)["hosts"]

    def look_up(self, seat: str, *, block: str = "") -> dict:
        """Returns the response of a look-up through the host of a seat."""
        path = f"/v1/lookup?service={SERVICE}&block={block}"
        return http("GET", self.addresses[seat], path).media

    def new_request_id(self, seat: str) -> str:
        """Returns a new request id with a ticket of the host of a seat."""
        entries = wait_until(
            lambda: [e for e in self.lookup_hosts(seat) if e["host"] == seat]
        )
        return f"{entries[0]['ticket']}~{uuid.uuid4().hex}"

    def request(
        self,
        seat: str,
        *,
        kind: str = "status",
        request_id: str = "",
        body: bytes = b"",
        weight: int = 1,
        deadline_ms: int = 5000,
        block: str = "",
    ) -> HttpResponse:
        """Sends a request to an entry host and returns the response."""
        fields = {
            headers.KIND: kind,
            headers.WEIGHT: str(weight),
            headers.DEADLINE_MS: str(deadline_ms),
            headers.BLOCK: block,
            headers.REPEATABLE: "false" if kind == "confirm" else "true",
        }
        if request_id:
            fields[headers.REQUEST_ID] = request_id
        return http(
            "POST",
            self.addresses[seat],
            f"/v1/services/{SERVICE}/requests",
            body=body,
            headers=fields,
            timeout_s=CALLER_TIMEOUT_S,
        )

    def report(self) -> dict:
        """Returns the common report of all targets."""
        return http("GET", self.report_address, "/report").media

    def executions(self) -> Counter[str]:
        """Returns the number of executions of each request id."""
        counts: Counter[str] = Counter()
        for address in self.targets.values():
            counts.update(http("GET", address, "/executions").media)
        return counts

    def set_target(self, name: str, **behaviour) -> None:
        """Sets fields of a target's simulated behaviour."""
        body = json.dumps(behaviour).encode()
        address = self.targets[name]
        http("PUT", address, "/control", body=body, headers=JSON)

    def set_platform(self, **behaviour) -> None:
        """Sets fields of the platform's simulated behaviour."""
        body = json.dumps(behaviour).encode()
        http("PUT", self.platform, "/control", body=body, headers=JSON)

    def _start_stand_ins(self, slots: int, service_time_s: float) -> None:
        region_of = {d: r for r, d in REGIONS.items()}
        group = {
            "control_address": self.report_address,
            "seed": 1,
            "targets": [
                {
                    "name": name,
                    "address": self.targets[name],
                    "region": region_of[domain],
                    "slots": slots,
                    "service_time_s": {"": service_time_s},
                }
                for name, domain in TARGETS.items()
            ],
        }
        path = self.folder / "targets.json"
        path.write_text(json.dumps(group), encoding="utf-8")
        log = self.folder / "stand-ins.log"
        self.stand_ins = [
            start_stand_in("platform", self.platform, log_file=log),
            start_stand_in("target", str(path), log_file=log),
        ]
        wait_until(lambda: http("GET", self.platform, "/control").status)
        wait_until(lambda: http("GET", self.report_address, "/report").status)
