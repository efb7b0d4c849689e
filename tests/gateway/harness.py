"""A gateway server and scripted targets in one process, over real sockets."""

import random
from collections.abc import Callable

import gevent
from gevent import socket
from gevent.server import StreamServer
from sardinewheel_gateway import clock
from sardinewheel_gateway.account_limit_exchange import AccountLimitExchange
from sardinewheel_gateway.announcement_exchange import AnnouncementExchange
from sardinewheel_gateway.forwarder import Forwarder
from sardinewheel_gateway.gossip import Gossip
from sardinewheel_gateway.http_server import HttpServer
from sardinewheel_gateway.limit_permits import LimitPermits
from sardinewheel_gateway.log import Log
from sardinewheel_gateway.messages import header_value
from sardinewheel_gateway.metrics import Metrics
from sardinewheel_gateway.platform_adapter import (
    CallerInfo,
    Lookup,
    ResponseInfo,
)
from sardinewheel_gateway.policy.announcements import Announcement
from sardinewheel_gateway.policy.cold_admission import ColdBound
from sardinewheel_gateway.policy.hosts import HostTable
from sardinewheel_gateway.policy.loads import ReportedLoad
from sardinewheel_gateway.policy.peer_choice import PeerChoice
from sardinewheel_gateway.policy.retries import RetryBound
from sardinewheel_gateway.policy.routes import Configuration, Limits, Service
from sardinewheel_gateway.policy.routing_state import Bounds, RoutingState

from tests.gateway.policy.test_hosts import state
from tests.gateway.policy.test_routes import route
from tests.gateway.policy.test_targets import record

BOUNDS = Bounds(RetryBound(0.2, 60.0, 10.0), ColdBound(1.5, 5.0))
LIMITS = Limits(
    max_head_bytes=4096,
    max_body_bytes=1024 * 1024,
    head_timeout_s=0.3,
    idle_timeout_s=0.6,
)
ORDERS = Service("orders", 100, 3.0, 2.7)


class StubAdapter:
    """Platform adapter with simple headers."""

    def is_readiness(self, path):
        return path == b"/ready"

    def lookup(self, path):
        return Lookup("north", "north-a") if path == b"/lookup" else None

    def lookup_response(self, addresses, *, ttl_s):
        return f"{addresses} {ttl_s}".encode()

    def caller(self, headers):
        remaining = header_value(headers, b"x-remaining")
        return CallerInfo(
            (header_value(headers, b"x-id") or b"").decode(),
            float(remaining) if remaining else None,
            (header_value(headers, b"x-object") or b"").decode(),
            header_value(headers, b"x-key") or b"",
        )

    def target_request_headers(
        self, headers, *, target_id, remaining_s, account=None
    ):
        replaced = [b"x-remaining"]
        if account is not None:
            replaced += [b"x-key", b"x-account"]
        kept = [h for h in headers if h[0] not in replaced]
        return [
            *kept,
            *([(b"x-account", account.encode())] if account else []),
            (b"x-remaining", f"{remaining_s:.3f}".encode()),
            (b"x-target", target_id.encode()),
        ]

    def is_response_to(self, headers, request_id):
        return (header_value(headers, b"x-id") or b"").decode() == request_id

    def response_info(self, status, headers):
        return ResponseInfo(
            is_authentic=header_value(headers, b"x-proof") is not None,
            was_executed=header_value(headers, b"x-not-run") is None,
            is_other_target=status == 421,
            load=ReportedLoad(1, 0, 3),
            announcement=_announcement(headers),
            pause_s=float(header_value(headers, b"retry-after") or 0.0),
        )

    def local_response_headers(self, headers):
        return []


def _announcement(headers):
    """Returns the parsed announcement; None if the limit is not a number."""
    limit = header_value(headers, b"x-limit")
    is_leaving = header_value(headers, b"x-leaving") is not None
    try:
        return Announcement(limit and float(limit), is_leaving)
    except ValueError:
        return None


class ScriptedTarget:
    """A target that passes each request to a script.

    Attributes:
        heads: Received request heads, as text.
        closed_connections: Number of connections that the client closed.
    """

    def __init__(self, script: Callable):
        self.script = script
        self.heads: list[str] = []
        self.closed_connections = 0
        self.server = StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()

    @property
    def address(self):
        return f"127.0.0.1:{self.server.server_port}"

    def _serve(self, sock, _address):
        data = b""
        while True:
            while b"\r\n\r\n" not in data:
                received = sock.recv(65536)
                if not received:
                    self.closed_connections += 1
                    return
                data += received
            head, _, data = data.partition(b"\r\n\r\n")
            self.heads.append(head.decode("latin-1"))
            data = self.script(sock, head.decode("latin-1"), data) or b""


def request_id(head: str) -> str:
    """Returns the request id in a request head."""
    for line in head.split("\r\n"):
        name, _, value = line.partition(": ")
        if name.lower() == "x-id":
            return value
    return ""


def response_to(
    head: str, body: bytes = b"done", *, status="200 OK", extra_headers=""
):
    """Returns a complete response to a request head."""
    return (
        f"HTTP/1.1 {status}\r\nX-Id: {request_id(head)}\r\nX-Proof: yes\r\n"
        f"{extra_headers}Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


def sends_complete_response(sock, head, rest):
    """Script: sends a complete response."""
    sock.sendall(response_to(head))
    return rest


def truncates_response(sock, head, rest):
    """Script: sends a truncated response and closes the connection."""
    sock.sendall(response_to(head, b"x" * 100)[:-50])
    sock.close()


def refuses_to_execute(sock, head, rest):
    """Script: reports that the request was not executed."""
    sock.sendall(
        response_to(head, status="503 Busy", extra_headers="X-Not-Run: 1\r\n")
    )
    return rest


def never_responds(sock, head, rest):
    """Script: sends no response."""
    gevent.sleep(10)


class GatewayHarness:
    """A gateway server with targets.

    Attributes:
        targets: The targets by id (``t0``, ``t1``, ...).
    """

    def __init__(self, *scripts: Callable, accounts=(), **route_fields):
        self.targets = {
            f"t{n}": ScriptedTarget(script) for n, script in enumerate(scripts)
        }
        self.log = Log(host="test", level="debug")
        rng = random.Random(7)
        self.routing_state = RoutingState(
            host="test", domain="north-a", bounds=BOUNDS, regions={}, rng=rng
        )
        self.routing_state.limit_admission.set_hosts(
            {"north-a": ["test"]}, now=0.0
        )
        self.routing_state.configure(
            Configuration(
                1,
                (route("orders", "/orders/", **route_fields),),
                {"orders": ORDERS},
                LIMITS,
                tuple(accounts),
            )
        )
        for target_id, target in self.targets.items():
            self.routing_state.target_table.put(
                record(target_id, address=target.address), now=clock.steady()
            )
        self.gossip = Gossip(
            "127.0.0.1:0", HostTable(state("test")), [], self.log
        )
        metrics = Metrics()
        self.account_limits = AccountLimitExchange(
            routing_state=self.routing_state,
            gossip=self.gossip,
            regions={},
            metrics=metrics,
            log=self.log,
            rng=rng,
        )
        self.forwarder = Forwarder(
            routing_state=self.routing_state,
            permits=LimitPermits(self.routing_state, self.gossip),
            account_limits=self.account_limits,
            adapter=StubAdapter(),
            peer_choice=PeerChoice(self.gossip.host_table, rng),
            metrics=metrics,
            log=self.log,
        )
        self.announcement_exchange = AnnouncementExchange(
            routing_state=self.routing_state,
            gossip=self.gossip,
            log=self.log,
            rng=rng,
        )
        self.forwarder.sender.on_announcement = (
            self.announcement_exchange.record
        )
        self.front = HttpServer(
            ("127.0.0.1", 0), self.forwarder.handle, self.log
        )
        self.front.limits = LIMITS
        self.front.start()
        self.peer_server = HttpServer(
            ("127.0.0.1", 0), self.forwarder.handle_peer, self.log
        )
        self.peer_server.start()

    @property
    def reachability(self):
        return self.forwarder.path_monitor.reachability

    def lose_path(self):
        """Lets this host believe that it reaches no target."""
        self.reachability.is_lost = True

    def add_peer(self, address, name="peer", **fields):
        """Adds another host that serves forwarded requests at an address."""
        self.gossip.host_table.record_heartbeat(
            state(name, gossip=address, **fields), now=clock.steady()
        )

    @property
    def peer_address(self):
        return f"127.0.0.1:{self.peer_server.listener.server_port}"

    def connect(self):
        """Opens a connection to the gateway server."""
        port = self.front.listener.server_port
        sock = socket.create_connection(("127.0.0.1", port))
        sock.settimeout(5.0)
        return sock

    def send_request(
        self, *, method="GET", number=1, body=b"", extra_headers="", sock=None
    ):
        """Sends one request and returns all bytes received until the close."""
        sock = sock or self.connect()
        sock.sendall(request(method, number, body, extra_headers + CLOSE))
        return read_all(sock)

    def request_count(self):
        """Returns the number of requests that targets received."""
        return sum(len(t.heads) for t in self.targets.values())

    def lines(self):
        """Returns the log lines so far."""
        return list(self.log.lines)

    def close(self):
        """Stops all servers."""
        self.front.listener.stop()
        self.peer_server.listener.stop()
        self.gossip.stop()
        for target in self.targets.values():
            target.server.stop()


CLOSE = "Connection: close\r\n"


def request(method="GET", number=1, body=b"", extra_headers=""):
    """Returns the bytes of a request."""
    length = f"Content-Length: {len(body)}\r\n" if body else ""
    return (
        f"{method} /orders/{number} HTTP/1.1\r\nHost: shop.example\r\n"
        f"X-Id: id-{number}\r\nX-Object: o{number}\r\n"
        f"{length}{extra_headers}\r\n"
    ).encode() + body


def read_all(sock):
    """Returns all bytes received until the peer closes or resets."""
    data = b""
    try:
        while received := sock.recv(65536):
            data += received
    except ConnectionError:
        data += b"<reset>"
    return data


def wait_until(condition, timeout_s=3.0):
    """Waits until a condition holds."""
    with gevent.Timeout(timeout_s):
        while not condition():
            gevent.sleep(0.005)
