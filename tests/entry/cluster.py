"""A small cluster of real processes: platform, target and entry hosts."""

import contextlib
import json
import socket
import threading

from sardinewheel_core.change import DefineRegion, DefineSeat, DefineService
from sardinewheel_core.codec import to_plain
from sardinewheel_core.intent import Kind, Region, Seat, Service, Target
from sardinewheel_testing.processes import (
    free_address,
    http,
    start_entry_host,
    start_stand_in,
    wait_until,
)

JSON = {"Content-Type": "application/json"}
NOT_FOUND = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
DOMAIN = "quito-bodega"
KINDS = {
    "confirm": Kind("confirm", 0, repeatable=False),
    "status": Kind("status", 1),
}


class ScriptedTarget:
    """A target that serves each connection with a function of the test.

    ``connections`` lists the connections that carried requests. Probes receive
    a 404 response, and their connections are not listed.
    """

    def __init__(self, respond):
        self.respond = respond
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = "{}:{}".format(*self.listener.getsockname())
        self.connections = []
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self.listener.accept()
                threading.Thread(
                    target=self._serve, args=(sock,), daemon=True
                ).start()

    def _serve(self, sock):
        with contextlib.suppress(OSError):
            if sock.recv(4, socket.MSG_PEEK) == b"POST":
                self.connections.append(sock)
                self.respond(sock, len(self.connections))
            while sock.recv(65536):
                sock.sendall(NOT_FOUND)

    def close(self):
        self.listener.close()
        for sock in self.connections:
            sock.close()


class Cluster:
    """Processes of the platform, one target and several entry hosts."""

    def __init__(self, folder, *, hosts=2, slots=4):
        self.folder = folder
        self.platform = free_address()
        self.target = free_address()
        self.names = [f"quito-{i + 1}" for i in range(hosts)]
        self.http_addresses = {name: free_address() for name in self.names}
        self.peer_addresses = {name: free_address() for name in self.names}
        self.processes = {
            "platform": start_stand_in(
                "platform", self.platform, log_file=folder / "platform"
            ),
            "target": start_stand_in(
                "target", self.target, str(slots), log_file=folder / "target"
            ),
        }
        wait_until(lambda: http("GET", self.platform, "/control"))
        wait_until(lambda: http("GET", self.target, "/health"))
        for name in self.names:
            self.start(name)

    def start(self, name):
        settings = {
            "name": name,
            "domain": DOMAIN,
            "http_address": self.http_addresses[name],
            "peer_address": self.peer_addresses[name],
            "platform_address": self.platform,
            "seeds": list(self.peer_addresses.values()),
        }
        self.processes[name] = start_entry_host(settings, folder=self.folder)
        wait_until(lambda: http("GET", self.http_addresses[name], "/v1/status"))

    def configure(self, *, target=None, slots=4):
        """Defines region, seats and service; waits until hosts are ready."""
        address = target or self.target
        service = Service(
            "pedidos", KINDS, {"t1": Target("t1", DOMAIN, address, slots)}
        )
        operations = [
            DefineRegion(Region("sierra-norte", 40, (DOMAIN,))),
            *(DefineSeat(Seat(name, DOMAIN)) for name in self.names),
            DefineService(service),
        ]
        plain = [to_plain(operation) for operation in operations]
        body = json.dumps({"author": "ana", "operations": plain}).encode()
        address = self.http_addresses[self.names[0]]
        http("POST", address, "/v1/changes", body=body, headers=JSON)
        wait_until(lambda: all(map(self.is_ready, self.names)))

    def is_ready(self, name):
        path = "/v1/lookup?service=pedidos"
        found = http("GET", self.http_addresses[name], path).media["hosts"]
        return len(found) == len(self.names)

    def wait_for_free_slot(self):
        """Waits until every host lists a host that reports a free slot."""
        wait_until(lambda: all(map(self._sees_free_slot, self.names)))

    def _sees_free_slot(self, name):
        hosts = http("GET", self.http_addresses[name], "/v1/status").media[
            "hosts"
        ]
        return any(dict(state["rooms"]).get("pedidos", 0) for state in hosts)

    def ticket(self, name):
        """Returns a valid ticket that a host issued."""
        path = "/v1/lookup?service=pedidos"

        def find():
            found = http("GET", self.http_addresses[name], path).media["hosts"]
            return {h["host"]: h["ticket"] for h in found}.get(name)

        return wait_until(find)

    def send_request(self, name, request_id="", body=b"x", **fields):
        """Sends a request of kind "confirm" to a host.

        ``fields`` are additional headers, without the prefix ``Sardinewheel-``.
        """
        headers = {"Sardinewheel-Kind": "confirm"}
        if request_id:
            headers["Sardinewheel-Request-Id"] = request_id
        for key, value in fields.items():
            headers["Sardinewheel-" + key.replace("_", "-")] = str(value)
        path = "/v1/services/pedidos/requests"
        return http(
            "POST", self.http_addresses[name], path, body=body, headers=headers
        )

    def outcome(self, name, request_id, method="GET"):
        path = f"/v1/requests/{request_id}"
        return http(method, self.http_addresses[name], path)

    def executions(self):
        return http("GET", self.target, "/executions").media

    def configure_stand_in(self, process, **fields):
        address = {"platform": self.platform, "target": self.target}[process]
        body = json.dumps(fields).encode()
        http("PUT", address, "/control", body=body, headers=JSON)

    def stop(self):
        for process in reversed(self.processes.values()):
            process.kill()


def outcome_of(response):
    return response.headers.get("sardinewheel-outcome")


def reason_of(response):
    return response.headers.get("sardinewheel-reason")
