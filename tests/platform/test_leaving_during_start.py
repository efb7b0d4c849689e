"""A target that leaves while a host reads the table in parts is seen to."""

import time

import gevent
import pytest
from gevent.event import Event

from tests.platform.fakes import start_targets
from tests.platform.load import StatusLoad

DOMAINS = ("north-a", "north-a")
TARGET_DOMAINS = 6 * ("north-a",)
PAGE_ROWS = 2
REQUESTS_PER_S = 60.0
# Bound of the users for leaving targets.
DRAIN_S = 2.5
OBSERVED_S = 4.0
PAGE_TIMEOUT_S = 10.0
MIN_SERVED_RATIO = 0.98


class HeldPages:
    """Holds the later parts of a table until all hosts have read the first.

    Attributes:
        first_parts: Number of first parts that were listed.
        may_go_on: Set to list the later parts.
    """

    def __init__(self, store):
        self.first_parts = 0
        self.may_go_on = Event()
        store.page_rows = PAGE_ROWS
        store.on_page = self.wait

    def wait(self, table, first_key):
        """Waits before a part of the targets' table is listed."""
        if table != "servers":
            return
        if first_key:
            self.may_go_on.wait()
        else:
            self.first_parts += 1


@pytest.fixture
def group(make_group):
    created = make_group(*DOMAINS)
    created.arrivals = []
    created.targets = []
    created.add_targets = lambda domains, prefix: created.targets.extend(
        start_targets(
            created.store,
            domains,
            prefix=prefix,
            on_request=lambda target, *_: created.arrivals.append(
                (time.monotonic(), target.name)
            ),
        )
    )
    created.add_targets(TARGET_DOMAINS, "t")
    yield created
    for target in created.targets:
        target.crash()


def start_until_first_parts_are_read(group):
    """Starts the hosts; returns the start, and the parts that are held."""
    pages = HeldPages(group.store)
    starting = gevent.spawn(group.start)
    with gevent.Timeout(PAGE_TIMEOUT_S):
        while pages.first_parts < len(DOMAINS):
            gevent.sleep(0.02)
    return starting, pages


def test_a_target_that_leaves_between_two_parts_gets_no_requests(group):
    starting, pages = start_until_first_parts_are_read(group)
    # It stands in the first part, which was read before.
    leaving = group.targets[0]
    leaving.drain()
    left_at = time.monotonic()
    pages.may_go_on.set()
    starting.get()
    load = StatusLoad(group.gateways, requests_per_s=REQUESTS_PER_S)
    gevent.sleep(DRAIN_S + OBSERVED_S)
    load.stop()
    late = [
        round(at - left_at, 2)
        for at, target in group.arrivals
        if target == leaving.name and at > left_at + DRAIN_S
    ]
    assert late == []
    served = load.statuses.count(200)
    assert served >= MIN_SERVED_RATIO * len(load.statuses)


def test_a_target_that_joins_between_two_parts_gets_requests(group):
    starting, pages = start_until_first_parts_are_read(group)
    # Its key comes before those that were read.
    group.add_targets(["north-a"], "a")
    pages.may_go_on.set()
    starting.get()
    load = StatusLoad(group.gateways, requests_per_s=REQUESTS_PER_S)
    gevent.sleep(OBSERVED_S)
    load.stop()
    assert "a0" in {target for _, target in group.arrivals}
