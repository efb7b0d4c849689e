"""Hosts start again whatever other writers left in the store."""

import signal

import gevent
import pytest

from tests.odd_values import ODD_BYTES, ODD_VALUES
from tests.platform.fakes import start_targets
from tests.platform.load import StatusLoad
from tests.platform.test_unusable_entries import ENTRIES, NESTED, RECORD

DOMAINS = ("north-a", "north-b", "south-a", "south-b")
REQUESTS_PER_S = 30.0
SERVED_S = 3.0
MIN_SERVED_RATIO = 0.98
RESTARTS = 3
STALL_S = 2.0
# Rows of one response, so that entries stand in more than one.
PAGE_ROWS = 40


def odd_entries():
    """Returns entries whose bytes or fields can't be used."""
    odd_fields = [
        RECORD | {name: value}
        for name in ("Service", "Address", "Slots", "OperState", "ColdLeft")
        for value in ODD_VALUES
        if not _is_usable(name, value)
    ]
    return [NESTED, *ODD_BYTES, *ENTRIES.values(), *odd_fields]


def _is_usable(name, value):
    return name == "Service" and value == "no-such-host.invalid:80"


@pytest.fixture
def group(make_group):
    created = make_group(*DOMAINS)
    targets = start_targets(created.store, DOMAINS)
    created.start()
    yield created
    for target in targets:
        target.crash()


def restart(group):
    """Kills all hosts, and waits until all are ready again."""
    for gateway in group.gateways:
        gateway.terminate(signal.SIGKILL)
    for gateway in group.gateways:
        gateway.popen.wait()
    group.start()


def served_ratio(group):
    load = StatusLoad(group.gateways, requests_per_s=REQUESTS_PER_S)
    gevent.sleep(SERVED_S)
    load.stop()
    return load.statuses.count(200) / len(load.statuses)


def test_all_hosts_serve_after_a_restart_beside_a_nested_entry(group):
    group.store.put("servers", "i-other", NESTED)
    restart(group)
    assert served_ratio(group) >= MIN_SERVED_RATIO
    assert group.failed_tasks() == []


def test_all_hosts_serve_after_restarts_in_series_beside_odd_entries(group):
    group.store.page_rows = PAGE_ROWS
    for number, entry in enumerate(odd_entries()):
        group.store.put("servers", f"i-{number:04}", entry)
        group.store.put("op", f"evacuate/i-{number:04}\ud800", NESTED)
    for _ in range(RESTARTS):
        restart(group)
    assert served_ratio(group) >= MIN_SERVED_RATIO
    assert group.failed_tasks() == []


def test_all_hosts_serve_after_a_restart_beside_a_store_that_stalls(group):
    group.store.put("servers", "i-other", NESTED)
    group.store.mode = "busy"
    gevent.spawn_later(STALL_S, setattr, group.store, "mode", "ok")
    restart(group)
    assert served_ratio(group) >= MIN_SERVED_RATIO
    assert group.failed_tasks() == []
