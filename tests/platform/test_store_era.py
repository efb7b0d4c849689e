"""Hosts follow a store that came back from a copy, whatever it said first."""

import time

import gevent
import pytest

from tests.platform.fakes import start_targets
from tests.platform.load import StatusLoad
from tests.platform.soak.operators import configuration

DOMAINS = ("north-a", "north-a", "north-b", "north-b")
REQUESTS_PER_S = 40.0
CALM_S = 2.0
# Bound of the users for evacuations.
EVACUATION_S = 5.0
OBSERVED_S = 3.0
# Time for which evacuations of before the copy are held.
HELD_S = 6.0
# Changes that the copy lacks.
LOST_CHANGES = 60


@pytest.fixture
def group(make_group):
    created = make_group(*DOMAINS)
    created.arrivals = []
    targets = start_targets(
        created.store,
        DOMAINS,
        on_request=lambda target, *_: created.arrivals.append(
            (time.monotonic(), target.domain)
        ),
    )
    created.start()
    yield created
    for target in targets:
        target.crash()


def late_requests_after_an_evacuation(group):
    """Evacuates a domain; returns the requests there that came too late."""
    load = StatusLoad(group.gateways, requests_per_s=REQUESTS_PER_S)
    group.store.put("op", "evacuate/north-a", {})
    evacuated_at = time.monotonic()
    gevent.sleep(EVACUATION_S + OBSERVED_S)
    load.stop()
    return [
        round(at - evacuated_at, 2)
        for at, domain in group.arrivals
        if domain == "north-a" and at > evacuated_at + EVACUATION_S
    ]


def return_from_copy(group, *, says_old_version):
    """Lets the store return from a copy that lacks some changes.

    Args:
        group: The hosts.
        says_old_version: Whether its first responses of the new era still
            have the version of before.
    """
    copy = group.store.copy()
    for number in range(LOST_CHANGES):
        group.store.put("op", f"other-{number}", {})
    gevent.sleep(CALM_S)
    if says_old_version:
        group.store.era += 1
        group.store.put("op", "other-0", {})
        gevent.sleep(0.5)
        group.store.era -= 1
    group.store.return_from(copy)
    group.store.put("op", "config", configuration(2))
    gevent.sleep(HELD_S)


@pytest.mark.parametrize("says_old_version", [False, True])
def test_an_evacuation_holds_after_the_store_came_back(group, says_old_version):
    return_from_copy(group, says_old_version=says_old_version)
    assert late_requests_after_an_evacuation(group) == []
