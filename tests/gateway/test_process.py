"""A gateway in this process, with updates from a scripted source."""

import gevent
import pytest
from sardinewheel_gateway import clock
from sardinewheel_gateway.gateway_settings import GatewaySettings
from sardinewheel_gateway.policy.routes import Configuration
from sardinewheel_gateway.policy.updates import (
    NO_POSITION,
    OperatorsUpdate,
    RecordChange,
    TargetsUpdate,
    Update,
)
from sardinewheel_gateway.process import Gateway
from sardinewheel_testing.processes import free_address

from tests.gateway.harness import (
    BOUNDS,
    CLOSE,
    LIMITS,
    ORDERS,
    ScriptedTarget,
    StubAdapter,
    read_all,
    request,
    sends_complete_response,
    wait_until,
)
from tests.gateway.policy.test_hosts import state
from tests.gateway.policy.test_routes import route
from tests.gateway.policy.test_targets import record


class ListSource:
    """Passes on a list of updates, then waits for more."""

    def __init__(self, *updates):
        self.updates = list(updates)

    def run(self, sync):
        while True:
            while self.updates and sync.should_follow_store():
                sync.apply_store_update(self.updates.pop(0))
            gevent.sleep(0.02)


def operators(version, position, *, prefix="/orders/", evacuated=()):
    routes = (route("orders", prefix),)
    configuration = Configuration(version, routes, {"orders": ORDERS}, LIMITS)
    return Update(
        operators=OperatorsUpdate(position, configuration, frozenset(evacuated))
    )


def registered(target, position=5):
    target_record = record("t0", address=target.address)
    change = RecordChange("t0", position, target_record)
    return Update(targets=TargetsUpdate(NO_POSITION, position, (change,)))


class GatewayWithTarget:
    """A gateway with one target.

    Attributes:
        source: Source of its updates.
        gateway: The gateway.
    """

    def __init__(self):
        self.target = ScriptedTarget(sends_complete_response)
        self.source = ListSource()
        names = ("front", "readiness", "lookup", "control", "metrics", "gossip")
        settings = GatewaySettings(
            name="a",
            domain="north-a",
            region="north",
            regions={"north-a": "north"},
            **{name: free_address() for name in names},
            seeds=(),
            grace_s=6.0,
            max_lookup_ttl_s=5.0,
            store_silence_timeout_s=4.0,
            bounds=BOUNDS,
        )
        self.gateway = Gateway(settings, StubAdapter(), self.source)
        self.gateway.start()

    def get(self, address, path="/orders/1"):
        """Returns the bytes of the response to a request."""
        host, _, port = address.rpartition(":")
        sock = gevent.socket.create_connection((host, int(port)))
        sock.settimeout(5.0)
        data = request(extra_headers=CLOSE).replace(b"/orders/1", path.encode())
        sock.sendall(data)
        return read_all(sock)

    def close(self):
        """Stops all servers."""
        self.gateway.gossip.stop()
        for server in (self.gateway.front, *self.gateway.internal_servers):
            server.listener.stop()
        self.target.server.stop()


@pytest.fixture
def deployment():
    created = GatewayWithTarget()
    yield created
    created.close()


def is_ready(deployment):
    response = deployment.get(deployment.gateway.settings.readiness, "/ready")
    return response.startswith(b"HTTP/1.1 200")


def test_host_is_ready_after_configuration_and_targets_arrive(deployment):
    assert not is_ready(deployment)
    response = deployment.get(deployment.gateway.settings.front)
    assert b" 503 " in response
    assert b"retry-after" in response.lower()
    deployment.source.updates = [operators(1, 3)]
    wait_until(lambda: deployment.gateway.routing_state.version == 1)
    assert not is_ready(deployment)
    deployment.source.updates = [registered(deployment.target)]
    wait_until(lambda: is_ready(deployment))
    assert b" 200 " in deployment.get(deployment.gateway.settings.front)


def test_lookup_lists_a_ready_host(deployment):
    lookup = deployment.gateway.settings.lookup
    front = deployment.gateway.settings.front.encode()
    assert front not in deployment.get(lookup, "/lookup")
    deployment.source.updates = [operators(1, 3), registered(deployment.target)]
    wait_until(lambda: is_ready(deployment))
    assert front in deployment.get(lookup, "/lookup")


def test_lookups_leave_out_hosts_that_callers_can_not_connect_to(deployment):
    table = deployment.gateway.host_table
    for name, front in (("odd", "odd.example:80"), ("other", "10.0.0.7:80")):
        table.record_heartbeat(state(name, front=front), now=clock.steady())
    lookup = deployment.gateway.settings.lookup
    found = deployment.get(lookup, "/lookup")
    assert b"10.0.0.7:80" in found
    assert b"odd.example" not in found


def test_a_newer_version_changes_routes_and_an_older_one_does_not(deployment):
    deployment.source.updates = [operators(4, 3), registered(deployment.target)]
    wait_until(lambda: is_ready(deployment))
    deployment.source.updates = [operators(7, 6, prefix="/new/")]
    wait_until(lambda: deployment.gateway.routing_state.version == 7)
    front = deployment.gateway.settings.front
    assert b" 404 " in deployment.get(front)
    assert b" 200 " in deployment.get(front, "/new/1")
    deployment.source.updates = [operators(5, 7)]
    wait_until(lambda: deployment.gateway.sync.positions.operators == 7)
    assert b" 404 " in deployment.get(front)


def test_evacuated_domain_gets_no_requests_until_restored(deployment):
    deployment.source.updates = [operators(1, 3), registered(deployment.target)]
    wait_until(lambda: is_ready(deployment))
    deployment.source.updates = [operators(1, 6, evacuated=["north-a"])]
    wait_until(lambda: deployment.gateway.sync.positions.operators == 6)
    assert b" 503 " in deployment.get(deployment.gateway.settings.front)
    deployment.source.updates = [operators(1, 8)]
    wait_until(lambda: deployment.gateway.sync.positions.operators == 8)
    assert b" 200 " in deployment.get(deployment.gateway.settings.front)


def test_another_host_can_request_all_updates(deployment):
    deployment.source.updates = [operators(1, 3), registered(deployment.target)]
    wait_until(lambda: is_ready(deployment))
    control = deployment.gateway.settings.control
    path = "/v1/update?operators=-1&targets=-1"
    response = deployment.get(control, path)
    assert b" 200 " in response
    assert b"t0" in response
    later = deployment.get(control, "/v1/update?operators=3&targets=5")
    assert b"t0" not in later


def test_metrics_show_requests_and_the_configuration_in_force(deployment):
    deployment.source.updates = [operators(9, 3), registered(deployment.target)]
    wait_until(lambda: is_ready(deployment))
    deployment.get(deployment.gateway.settings.front)
    text = deployment.get(
        deployment.gateway.settings.metrics, "/metrics"
    ).decode()
    assert "sardinewheel_configuration_version 9.0" in text
    assert 'route="orders",service="orders"} 1.0' in text
    assert 'sardinewheel_events_total{event="target-joined"} 1.0' in text
