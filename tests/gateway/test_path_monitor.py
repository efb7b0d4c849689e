"""The path monitor decides by opening connections to targets."""

import random
import time

import gevent
import pytest
from gevent.server import StreamServer
from sardinewheel_gateway import clock
from sardinewheel_gateway.connection_pool import ConnectionPool
from sardinewheel_gateway.log import Log
from sardinewheel_gateway.path_monitor import MAX_SILENCE_S, PathMonitor
from sardinewheel_gateway.policy.routes import Configuration
from sardinewheel_gateway.policy.routing_state import RoutingState

from tests.gateway.harness import BOUNDS, LIMITS, ORDERS, wait_until
from tests.gateway.policy.test_routes import route
from tests.gateway.policy.test_targets import record

TARGETS = 6
# Nothing listens here.
CLOSED_ADDRESS = "127.0.0.1:1"


class MonitoredTargets:
    """Targets that accept connections, and a monitor.

    Attributes:
        accepted: Number of connections that the targets accepted.
        changes: Paths that were lost or regained.
        silences: Number of times the path stayed silent.
    """

    def __init__(self):
        self.accepted = 0
        self.changes = []
        self.silences = 0
        self.server = StreamServer(("127.0.0.1", 0), self._accept)
        self.server.start()
        self.routing_state = RoutingState(
            host="test",
            domain="north-a",
            bounds=BOUNDS,
            regions={},
            rng=random.Random(1),
        )
        self.log = Log(host="test")
        self.monitor = PathMonitor(
            self.routing_state, ConnectionPool(), random.Random(1), self.log
        )
        self.monitor.on_change = self.changes.append
        self.monitor.on_silence = self._count_silence
        self.restore()
        self.task = gevent.spawn(self.monitor.run)

    def restore(self):
        """Lets all targets accept connections."""
        self._set_address(f"127.0.0.1:{self.server.server_port}")

    def cut(self):
        """Lets all targets refuse connections."""
        self._set_address(CLOSED_ADDRESS)

    def fail(self, *target_ids):
        """Reports failures of targets."""
        for target_id in target_ids:
            self.monitor.record_failure(target_id)

    def close(self):
        """Stops the monitor and the targets."""
        self.task.kill()
        self.server.stop()

    def _set_address(self, address):
        for number in range(TARGETS):
            self.routing_state.target_table.put(
                record(f"t{number}", address=address), now=clock.steady()
            )

    def _accept(self, _sock, _address):
        self.accepted += 1
        gevent.sleep(10.0)

    def _count_silence(self):
        self.silences += 1


@pytest.fixture
def targets():
    created = MonitoredTargets()
    yield created
    created.close()


def test_no_connection_is_opened_in_calm_times(targets):
    targets.fail("t0")
    targets.monitor.record_reached()
    gevent.sleep(0.3)
    assert targets.accepted == 0


def test_a_path_on_which_all_connections_fail_is_lost_and_regained(targets):
    targets.cut()
    targets.fail("t0", "t1")
    wait_until(lambda: targets.changes)
    assert targets.changes[0].is_lost
    targets.restore()
    began = time.monotonic()
    wait_until(lambda: len(targets.changes) == 2)
    assert not targets.changes[1].is_lost
    assert time.monotonic() - began < 2.0
    text = "".join(targets.log.lines)
    assert "target-path-lost failed_targets=2" in text
    assert "target-path-regained" in text


def test_targets_that_fail_while_others_accept_do_not_lose_the_path(targets):
    targets.fail("t0", "t1")
    wait_until(lambda: targets.accepted)
    gevent.sleep(0.1)
    assert not targets.changes
    assert targets.monitor.pool.idle


def test_a_lost_path_that_stays_silent_is_reported_once(targets):
    targets.cut()
    targets.fail("t0", "t1")
    gevent.sleep(3 * MAX_SILENCE_S)
    assert targets.silences == 1


def test_responses_over_open_connections_are_no_silence(targets):
    targets.cut()
    targets.fail("t0", "t1")
    for _ in range(10):
        gevent.sleep(0.1)
        targets.monitor.record_reached()
    assert targets.changes
    assert targets.silences == 0


def test_records_of_unknown_services_do_not_show_a_lost_path(targets):
    targets.routing_state.configure(
        Configuration(1, (route(),), {"orders": ORDERS}, LIMITS)
    )
    for number in range(50 * TARGETS):
        odd = record(
            f"odd{number}",
            service="unknown",
            domain=f"odd-{number}",
            address=CLOSED_ADDRESS,
        )
        targets.routing_state.target_table.put(odd, now=clock.steady())
    targets.fail("odd0", "odd1")
    gevent.sleep(0.1)
    assert targets.changes == []
    assert targets.accepted > 0
