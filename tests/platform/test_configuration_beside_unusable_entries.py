"""All hosts apply a configuration beside an entry that none can pass on."""

import signal
import time

import gevent
import pytest

from tests.platform.fakes import start_targets
from tests.platform.load import StatusLoad
from tests.platform.test_unusable_entries import (
    ENTRIES,
    larger_configuration,
    probe_statuses,
)

# The third and fourth host of the region don't read the store.
DOMAINS = ("north-a", "north-a", "north-b", "north-b")
REQUESTS_PER_S = 40.0
# Bound of the users for configurations.
CONFIG_S = 2.5
OBSERVED_S = 3.0
ENTRY_S = 2.0
MOVED_TO = "other-orders"


@pytest.fixture
def group(make_group):
    created = make_group(*DOMAINS)
    created.store.put("op", "config", larger_configuration(2))
    created.arrivals = []
    targets = [
        target
        for service in ("orders", MOVED_TO)
        for target in start_targets(
            created.store,
            DOMAINS,
            service=service,
            prefix=f"{service}-",
            on_request=lambda target, _, host: created.arrivals.append(
                (time.monotonic(), target.service, host)
            ),
        )
    ]
    created.start()
    yield created
    for target in targets:
        target.crash()


def moved_configuration(version):
    """Returns a configuration that moves all routes to the other service."""
    moved = larger_configuration(version)
    (service,) = moved["Services"]
    moved["Services"].append(service | {"Name": MOVED_TO})
    for route in moved["Routes"]:
        route["Service"] = MOVED_TO
    return moved


def late_requests(group, moved_at):
    """Returns the requests that the old service ran after ``CONFIG_S``."""
    return [
        (host, round(at - moved_at, 2))
        for at, service, host in group.arrivals
        if service == "orders" and at > moved_at + CONFIG_S
    ]


def move_routes(group):
    """Moves all routes under load; returns when the store accepted it."""
    load = StatusLoad(group.gateways, requests_per_s=REQUESTS_PER_S)
    group.store.put("op", "config", moved_configuration(3))
    moved_at = time.monotonic()
    gevent.sleep(CONFIG_S + OBSERVED_S)
    load.stop()
    return moved_at


def test_a_route_is_moved_at_all_hosts_beside_an_unencodable_entry(group):
    group.store.put("servers", "i-other", ENTRIES["unencodable-service"])
    gevent.sleep(ENTRY_S)
    assert late_requests(group, move_routes(group)) == []
    assert set(probe_statuses(group.gateways, 3).values()) == {200}
    assert group.failed_tasks() == []


def test_a_host_that_starts_beside_unusable_entries_gets_the_configuration(
    group,
):
    for name, entry in ENTRIES.items():
        group.store.put("servers", f"i-{name}", entry)
    restarted = group.gateways[3]
    restarted.terminate(signal.SIGKILL)
    restarted.popen.wait()
    restarted.start()
    group.wait_until_ready()
    assert late_requests(group, move_routes(group)) == []
    assert set(probe_statuses(group.gateways, 3).values()) == {200}
