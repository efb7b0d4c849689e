"""One request from the look-up to the target, with real processes."""

import json

import pytest
from sardinewheel_core.change import (
    DefineRegion,
    DefineSeat,
    DefineService,
)
from sardinewheel_core.codec import to_plain
from sardinewheel_core.intent import Kind, Region, Seat, Service, Target
from sardinewheel_testing.processes import (
    free_address,
    http,
    start_entry_host,
    start_stand_in,
    wait_until,
)


@pytest.fixture
def cluster(tmp_path):
    """Starts a platform, a target and an entry host; returns addresses."""
    addresses = {
        name: free_address() for name in ("platform", "target", "http", "peer")
    }
    settings = {
        "name": "quito-1",
        "domain": "quito-bodega",
        "http_address": addresses["http"],
        "peer_address": addresses["peer"],
        "platform_address": addresses["platform"],
    }
    processes = [
        start_stand_in(
            "platform", addresses["platform"], log_file=tmp_path / "platform"
        ),
        start_stand_in(
            "target", addresses["target"], "3", log_file=tmp_path / "target"
        ),
        start_entry_host(settings, folder=tmp_path),
    ]
    try:
        wait_until(lambda: http("GET", addresses["http"], "/v1/status"))
        wait_until(
            lambda: http(
                "POST",
                addresses["platform"],
                "/v1/table/read",
                body=b'{"keys":[]}',
                headers={"Content-Type": "application/json"},
            )
        )
        yield addresses
    finally:
        statuses = [process.stop() for process in reversed(processes)]
    assert statuses[0] == 0


def test_request_from_look_up_to_target(cluster):
    service = Service(
        "pedidos",
        {"confirm": Kind("confirm", 0, repeatable=False)},
        {"t1": Target("t1", "quito-bodega", cluster["target"], 3)},
    )
    operations = [
        DefineRegion(Region("sierra-norte", 10, ("quito-bodega",))),
        DefineSeat(Seat("quito-1", "quito-bodega")),
        DefineService(service),
    ]
    body = {"author": "ana", "operations": [to_plain(o) for o in operations]}
    reply = http(
        "POST",
        cluster["http"],
        "/v1/changes",
        body=json.dumps(body).encode(),
        headers={"Content-Type": "application/json"},
    )
    assert reply.media["state"] == "accepted"

    def first_host():
        found = http("GET", cluster["http"], "/v1/lookup?service=pedidos")
        return found.media["hosts"]

    entry = wait_until(first_host)[0]
    request_id = entry["ticket"] + "~order-17"
    response = wait_until(
        lambda: http(
            "POST",
            entry["address"],
            "/v1/services/pedidos/requests",
            body=b"two saddles",
            headers={
                "Sardinewheel-Request-Id": request_id,
                "Sardinewheel-Kind": "confirm",
                "Sardinewheel-Repeatable": "false",
            },
        )
    )
    assert response.headers["sardinewheel-outcome"] == "done", response
    assert response.body == b"done two saddles"
    executions = http("GET", cluster["target"], "/executions").media
    assert executions == {request_id: 1}
