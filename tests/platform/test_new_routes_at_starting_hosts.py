"""Hosts that start, or are forwarded to, know all routes in force."""

import random
import signal
import time

import gevent
import pytest

from tests.platform.fakes import start_targets
from tests.platform.soak.callers import connect, exchange, request
from tests.platform.soak.operators import configuration, probe_path

DOMAINS = ("north-a", "north-a", "north-b", "north-b")
# Bound of the users for configurations.
CONFIG_S = 2.5
CHANGES = 14
CHANGE_INTERVAL_S = 0.8
RESTART_INTERVAL_S = 1.7
REQUESTS_PER_S = 40.0
NOT_FOUND = 404
MIN_CHECKED = 150


def growing_configuration(version):
    """Returns a configuration with the routes of all versions up to one."""
    grown = configuration(version)
    probe = grown["Routes"].pop()
    grown["Routes"] += [
        probe | {"Name": f"r-{n}", "Prefix": probe_path(n)}
        for n in range(1, version + 1)
    ]
    return grown


class Operator:
    """Adds a route from time to time.

    Attributes:
        accepted_at: Time at which each version was accepted.
    """

    def __init__(self, store):
        self.store = store
        self.accepted_at = {}
        self.configure(1)

    def configure(self, version):
        """Writes one version."""
        self.store.put("op", "config", growing_configuration(version))
        self.accepted_at[version] = time.monotonic()

    def run(self):
        """Writes all versions, one by one."""
        for version in range(2, CHANGES + 2):
            gevent.sleep(CHANGE_INTERVAL_S)
            self.configure(version)

    def versions_in_force(self):
        """Returns the versions that all hosts must have applied."""
        now = time.monotonic()
        return [v for v, at in self.accepted_at.items() if at + CONFIG_S < now]


def restart_in_turn(gateways):
    """Stops or kills hosts one after the other, and starts them again."""
    for number, gateway in enumerate(gateways):
        how = signal.SIGKILL if number % 2 else signal.SIGTERM
        gateway.terminate(how)
        gateway.popen.wait()
        gateway.start()
        gevent.sleep(RESTART_INTERVAL_S)


def run_phase(group, operator, *, restarted):
    """Sends requests for routes in force; returns host and status of each."""
    rng = random.Random(3)
    found = []

    def send(gateway, version, number):
        sock = connect(gateway)
        if sock is None:
            return
        data = request("GET", probe_path(version), f"{number}-0", key=1)
        response = exchange(sock, data)
        sock.close()
        if response is not None:
            found.append((gateway.number, version, response[0]))

    changes = gevent.spawn(operator.run)
    restarts = gevent.spawn(restart_in_turn, restarted)
    number = 0
    while not (changes.ready() and restarts.ready()):
        gevent.sleep(rng.expovariate(REQUESTS_PER_S))
        versions = operator.versions_in_force()
        if versions:
            number += 1
            gevent.spawn(
                send, rng.choice(group.gateways), max(versions), number
            )
    gevent.sleep(1.0)
    return found


@pytest.fixture
def group(make_group):
    return make_group(*DOMAINS)


@pytest.mark.parametrize("fault", ["restarts", "readers-cut", "stranded"])
def test_no_route_in_force_is_not_found(group, fault):
    operator = Operator(group.store)
    targets = start_targets(group.store, DOMAINS)
    if fault == "stranded":
        group.relay_targets(targets)
    group.start()
    restarted = group.gateways
    if fault == "readers-cut":
        for relay in group.store_relays[:2]:
            relay.mode = "silent"
    if fault == "stranded":
        group.target_paths[0].cut("reset")
        restarted = group.gateways[1:]
    found = run_phase(group, operator, restarted=restarted)
    for target in targets:
        target.crash()
    assert len(found) >= MIN_CHECKED
    assert [x for x in found if x[2] == NOT_FOUND] == []
