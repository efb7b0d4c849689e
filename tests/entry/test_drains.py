"""News that a target leaves, from one source at a time, real processes."""

import json

import pytest
from sardinewheel_testing.processes import http, wait_until

from tests.entry.house import JSON, House, outcome_of


@pytest.fixture
def house(tmp_path):
    house = House(tmp_path)
    try:
        house.configure()
        wait_until(lambda: leaving(house) == [False])
        yield house
    finally:
        house.stop()


def leaving(house):
    """Returns what the hosts that dispatch to the target say of it."""
    found = []
    for name in house.names:
        view = http("GET", house.http[name], "/v1/headroom").media
        found += [t["leaving"] for t in view["targets"] if t["name"] == "t1"]
    return found


def drains(house):
    """Returns the places of which some host shows a drain."""
    found = []
    for name in house.names:
        found += http("GET", house.http[name], "/v1/drains").media["drains"]
    return [drain["name"] for drain in found]


def by_its_own_probe(house):
    house.control("platform", mode="down")
    house.control("target", draining=True)


def by_the_platforms_list(house):
    body = json.dumps({"hosts": [{"name": "t1", "state": "leaving"}]})
    http("PUT", house.platform, "/v1/hosts", body=body.encode(), headers=JSON)


@pytest.mark.parametrize("source", [by_its_own_probe, by_the_platforms_list])
def test_one_source_alone_stops_new_work(house, source):
    assert outcome_of(house.ask("quito-1")) == "done"
    source(house)
    wait_until(lambda: leaving(house) == [True])
    wait_until(lambda: drains(house) == ["t1"])
    before = house.executions()
    for name in house.names:
        assert outcome_of(house.ask(name)) == "not-run"
    assert house.executions() == before
