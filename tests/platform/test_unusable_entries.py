"""An entry of another writer costs nothing but itself."""

import random
import time

import gevent
import pytest

from tests.platform.fakes import Target
from tests.platform.load import StatusLoad
from tests.platform.soak.callers import connect, exchange, request
from tests.platform.soak.operators import configuration, probe_path

DOMAINS = ("north-a", "north-a", "north-b", "north-b")
TARGET_COUNT = 4
REQUESTS_PER_S = 40.0
CALM_S = 2.0
# Bounds of the users for leaving targets and for configurations.
DRAIN_S = 2.5
CONFIG_S = 2.5
OBSERVED_S = 3.0
MIN_SERVED_RATIO = 0.98
# More routes than fit in one datagram between hosts.
MORE_ROUTES = 20

RECORD = {
    "Service": "orders",
    "Address": "127.0.0.1:9",
    "Zone": "north-a",
    "CfgVersion": "v1",
    "Slots": 3,
    "OperState": "in_service",
    "ColdLeft": "0ms",
    "Sequence": 1,
}
NESTED = b"[" * 4096
ENTRIES = {
    "unencodable-service": RECORD | {"Service": "\ud800"},
    "unencodable-address": RECORD | {"Address": "\ud800:80"},
    "long-label": RECORD | {"Address": "a" * 70 + ".example:80"},
    "empty-label": RECORD | {"Address": "a..example:80"},
    "port-out-of-range": RECORD | {"Address": "127.0.0.1:99999"},
    "slots-too-large": RECORD | {"Slots": 10**400},
    "start-too-large": RECORD | {"born": 10**30},
    "nested": NESTED,
}


@pytest.fixture
def group(make_group):
    """Running hosts with targets, ``targets``, and ``arrivals`` at them."""
    created = make_group(*DOMAINS)
    created.arrivals = []
    created.targets = [
        Target(
            f"t{number}",
            created.store,
            {},
            service="orders",
            domain=DOMAINS[number],
            rng=random.Random(number),
            on_request=lambda target, request_id, host: created.arrivals.append(
                (time.monotonic(), target.name, host)
            ),
        )
        for number in range(TARGET_COUNT)
    ]
    created.start()
    yield created
    for target in created.targets:
        target.crash()


def larger_configuration(version):
    """Returns a configuration that is too large for one datagram."""
    larger = configuration(version)
    (*_, probe) = larger["Routes"]
    larger["Routes"] += [
        probe | {"Name": f"r-{n}", "Prefix": f"/more-{n}/"}
        for n in range(MORE_ROUTES)
    ]
    return larger


def probe_statuses(gateways, version):
    """Returns the status of the route of one version by host."""
    statuses = {}
    for gateway in gateways:
        sock = connect(gateway)
        data = request("GET", probe_path(version), f"p-{gateway.number}", key=1)
        statuses[gateway.name] = exchange(sock, data)[0]
        sock.close()
    return statuses


@pytest.mark.parametrize("name", ENTRIES)
def test_targets_that_leave_get_no_requests_beside_an_unusable_entry(
    group, name
):
    load = StatusLoad(group.gateways, requests_per_s=REQUESTS_PER_S)
    gevent.sleep(CALM_S)
    group.store.put("servers", "i-other", ENTRIES[name])
    gevent.sleep(CALM_S)
    leaving = group.targets[0]
    leaving.drain()
    left_at = time.monotonic()
    group.store.put("op", "config", larger_configuration(2))
    gevent.sleep(max(DRAIN_S, CONFIG_S))
    statuses = probe_statuses(group.gateways, 2)
    gevent.sleep(OBSERVED_S)
    load.stop()
    late = [
        (host, round(at - left_at, 2))
        for at, target, host in group.arrivals
        if target == leaving.name and at > left_at + DRAIN_S
    ]
    assert (late, set(statuses.values())) == ([], {200})
    served = load.statuses.count(200)
    assert served >= MIN_SERVED_RATIO * len(load.statuses)
