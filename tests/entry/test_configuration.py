"""Configuration changes with real processes.

A change is applied once, comes into force on every host and is never reverted.
"""

import json
import threading
import uuid

import pytest
from sardinewheel_core.change import SetCap
from sardinewheel_core.codec import to_plain
from sardinewheel_testing.processes import http, wait_until

from tests.entry.cluster import JSON, Cluster

ROUNDS = 5


@pytest.fixture
def cluster(tmp_path):
    cluster = Cluster(tmp_path, hosts=3)
    try:
        cluster.configure()
        yield cluster
    finally:
        cluster.stop()


def propose(cluster, name, cap, *, author="ana", base_version=0, change_id=""):
    body = {
        "author": author,
        "change_id": change_id or uuid.uuid4().hex,
        "base_version": base_version,
        "operations": [to_plain(SetCap("sierra-norte", cap))],
    }
    data = json.dumps(body).encode()
    address = cluster.http_addresses[name]
    return http("POST", address, "/v1/changes", body=data, headers=JSON).media


def intent(cluster, name):
    return http("GET", cluster.http_addresses[name], "/v1/status").media[
        "intent"
    ]


def is_in_force(cluster, version, names):
    return all(intent(cluster, name)["version"] >= version for name in names)


def test_concurrent_changes_accept_one_per_version(cluster):
    for cap in range(50, 50 + ROUNDS):
        base = intent(cluster, "quito-1")["version"]
        wait_until(lambda b=base: is_in_force(cluster, b, cluster.names))
        replies = {}

        def submit(name, cap=cap, base=base, replies=replies):
            replies[name] = propose(
                cluster, name, cap, author=name, base_version=base
            )

        threads = [
            threading.Thread(target=submit, args=(name,))
            for name in ("quito-1", "quito-2")
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        states = sorted(reply["state"] for reply in replies.values())
        assert states == ["accepted", "conflict"], replies
        winner = next(n for n, r in replies.items() if r["state"] == "accepted")
        loser = next(r for n, r in replies.items() if n != winner)
        assert loser["winner"]["author"] == winner
        assert loser["winner"]["version"] == base + 1


def test_lost_platform_response_is_resolved_and_retry_is_idempotent(cluster):
    cluster.configure_stand_in("platform", mode="lose-answers", count=2)
    reply = propose(cluster, "quito-1", 77, change_id="once")
    assert reply["state"] == "accepted"
    retry = propose(cluster, "quito-2", 77, change_id="once")
    assert (retry["state"], retry["version"]) == ("accepted", reply["version"])
    control = http(
        "GET", cluster.http_addresses["quito-1"], "/v1/control"
    ).media
    assert control["platform"]["writes"] >= 1
    assert control["peers"]["sent_bytes"] > 0
    change = http(
        "GET", cluster.http_addresses["quito-3"], "/v1/changes/once"
    ).media
    assert (change["state"], change["version"]) == (
        "accepted",
        reply["version"],
    )


def test_version_survives_replacing_every_host_while_platform_is_down(cluster):
    cluster.processes["quito-2"].kill()
    version = propose(cluster, "quito-1", 60)["version"]
    wait_until(lambda: is_in_force(cluster, version, ("quito-1", "quito-3")))
    cluster.configure_stand_in("platform", mode="down")
    for name in ("quito-2", "quito-1", "quito-3"):
        cluster.processes[name].kill()
        cluster.start(name)
        wait_until(
            lambda n=name: http("GET", cluster.http_addresses[n], "/v1/status")
        )
        wait_until(
            lambda n=name: (
                http("GET", cluster.http_addresses[n], "/v1/status").media[
                    "ready"
                ]
                and is_in_force(cluster, version, [n])
            )
        )
    cluster.configure_stand_in("platform", mode="lose-answers", count=1)
    for name in cluster.names:
        cluster.processes[name].kill()
        cluster.start(name)
        wait_until(lambda n=name: is_in_force(cluster, version, [n]))
    reply = propose(cluster, "quito-3", 61)
    assert (reply["state"], reply["version"]) == ("accepted", version + 1)
    wait_until(lambda: is_in_force(cluster, version + 1, cluster.names))
    caps = {
        json.dumps(intent(cluster, name)["regions"]) for name in cluster.names
    }
    assert len(caps) == 1
