"""A target that is leaving receives no new requests, with real processes.

The target's probe and the platform's host list are each tested alone.
"""

import json

import pytest
from sardinewheel_testing.processes import http, wait_until

from tests.entry.cluster import JSON, Cluster, outcome_of


@pytest.fixture
def cluster(tmp_path):
    cluster = Cluster(tmp_path)
    try:
        cluster.configure()
        wait_until(lambda: reported_leaving(cluster) == [False])
        yield cluster
    finally:
        cluster.stop()


def reported_leaving(cluster):
    """Returns whether the target is leaving, per host that dispatches to it."""
    found = []
    for name in cluster.names:
        view = http("GET", cluster.http_addresses[name], "/v1/headroom").media
        found += [t["leaving"] for t in view["targets"] if t["name"] == "t1"]
    return found


def reported_drains(cluster):
    """Returns the names of all drains that the hosts report."""
    found = []
    for name in cluster.names:
        found += http("GET", cluster.http_addresses[name], "/v1/drains").media[
            "drains"
        ]
    return [drain["name"] for drain in found]


def via_target_probe(cluster):
    cluster.configure_stand_in("platform", mode="down")
    cluster.configure_stand_in("target", draining=True)


def via_platform_host_list(cluster):
    body = json.dumps({"hosts": [{"name": "t1", "state": "leaving"}]})
    http("PUT", cluster.platform, "/v1/hosts", body=body.encode(), headers=JSON)


@pytest.mark.parametrize("announce", [via_target_probe, via_platform_host_list])
def test_each_leaving_signal_alone_stops_new_requests(cluster, announce):
    assert outcome_of(cluster.send_request("quito-1")) == "done"
    announce(cluster)
    wait_until(lambda: reported_leaving(cluster) == [True])
    wait_until(lambda: reported_drains(cluster) == ["t1"])
    before = cluster.executions()
    for name in cluster.names:
        assert outcome_of(cluster.send_request(name)) == "not-run"
    assert cluster.executions() == before
