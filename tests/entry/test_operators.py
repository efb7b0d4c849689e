"""The interface for operators, in a single process."""

import time

import pytest
from falcon.testing import TestClient
from hypothesis import given, settings
from hypothesis import strategies as st
from sardinewheel_core.change import (
    Change,
    DefineRegion,
    DefineSeat,
    DefineService,
    SetCap,
)
from sardinewheel_core.codec import to_plain
from sardinewheel_core.host import Identity
from sardinewheel_core.intent import Kind, Region, Seat, Service, Target
from sardinewheel_core.request import Request
from sardinewheel_core.rollout import apply_changes
from sardinewheel_core.traffic import BUCKET_S, Flow, TrafficCounter
from sardinewheel_entry.api.app import create_app
from sardinewheel_entry.driver import Driver
from sardinewheel_entry.platform_client import PlatformClient
from sardinewheel_testing.processes import free_address

# Its tests share a fixture of the module.
pytestmark = pytest.mark.xdist_group("operators")

CHANGE = Change(
    1,
    "c-1",
    "ana",
    (
        DefineRegion(Region("austro", 10, ("d1",))),
        DefineSeat(Seat("h1", "d1")),
        DefineService(
            Service(
                "pedidos",
                {"status": Kind("status", 1)},
                {"t1": Target("t1", "d1", "127.0.0.1:1", 3)},
            )
        ),
    ),
)


@pytest.fixture(scope="module")
def driver():
    identity = Identity("h1", 1, "d1", "127.0.0.1:2", "127.0.0.1:3")
    driver = Driver(identity=identity, platform=PlatformClient(free_address()))
    chain = (CHANGE, Change(2, "c-2", "luz", (SetCap("austro", 10),)))
    apply_changes(driver.host, time.monotonic(), chain, "platform")
    return driver


@pytest.fixture(scope="module")
def client(driver):
    return TestClient(create_app(driver))


def test_view(client):
    view = client.simulate_get("/v1/view").json
    assert (view["host"], view["version"]) == ("h1", 2)
    assert view["unseen"] == []
    assert [h["name"] for h in client.simulate_get("/v1/hosts").json] == ["h1"]


def test_headroom(client):
    headroom = client.simulate_get("/v1/headroom").json
    assert (headroom["region"], headroom["cap"]) == ("austro", 10)
    assert [s["service"] for s in headroom["services"]] == ["pedidos"]


def test_explain_returns_decisions_about_a_request_id(driver, client):
    now = time.monotonic()
    driver.host.report(now, "request-not-done", request_id="r1", service="x")
    found = client.simulate_get("/v1/explain?about=r1").json
    assert [d["event"] for d in found["decisions"]] == ["request-not-done"]
    assert client.simulate_get("/v1/explain").status_code == 400


def test_all_findings_are_reported_together(client):
    operations = [{"type": "SetCap", "region": "a"}, {"type": "No"}, 7]
    body = {"operations": operations, "author": 3, "base_version": "x"}
    response = client.simulate_post("/v1/changes", json=body)
    assert response.status_code == 400
    places = [finding["place"] for finding in response.json["findings"]]
    assert places == [
        "operations[0].cap",
        "operations[1]",
        "operations[2]",
        "author",
        "base_version",
    ]


def test_dry_run_and_refusal_by_strain(client):
    drain = {"type": "StartDrain", "drain": {"subject": "target", "name": "t1"}}
    body = {"operations": [drain]}
    preview = client.simulate_post(
        "/v1/changes", json={**body, "dry_run": True}
    )
    assert preview.json["state"] == "previewed"
    assert preview.json["differences"][0]["place"] == "drains.target.t1"
    rejected = client.simulate_post("/v1/changes", json=body)
    assert (rejected.status_code, rejected.json["state"]) == (409, "strained")
    wrong = {**body, "force": ["everything"]}
    unknown = client.simulate_post("/v1/changes", json=wrong)
    assert unknown.json["findings"][0]["place"] == "force[0]"


def test_conflict_shows_the_winner(client):
    body = {"operations": [to_plain(SetCap("austro", 3))], "base_version": 1}
    response = client.simulate_post("/v1/changes", json=body)
    assert (response.status_code, response.json["state"]) == (409, "conflict")
    winner = response.json["winner"]
    assert (winner["version"], winner["author"]) == (2, "luz")


def test_negative_base_version_is_rejected(client):
    body = {"operations": [to_plain(SetCap("austro", 3))], "base_version": -1}
    response = client.simulate_post("/v1/changes", json=body)
    assert response.status_code == 400
    assert response.json["findings"][0]["place"] == "base_version"


JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=5)
    | st.sampled_from(["SetCap", "DefineRegion", "StartDrain", "austro"]),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(
            st.sampled_from(
                ["type", "region", "cap", "name", "drain", "kinds"]
            ),
            inner,
            max_size=4,
        )
    ),
    max_leaves=12,
)
FIELDS = st.sampled_from(
    ["operations", "author", "change_id", "force", "usage"]
)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.dictionaries(FIELDS, JSON, max_size=4))
def test_malformed_changes_get_a_typed_response(client, body):
    body["dry_run"] = True
    response = client.simulate_post("/v1/changes", json=body)
    assert response.status_code in (200, 400, 409)
    if response.status_code == 400:
        assert response.json["findings"]


@pytest.mark.parametrize("body", [b"", b"{", b"[]", b"\xff", b"[" * 100_000])
def test_malformed_bodies_get_a_typed_response(client, body):
    headers = {"Content-Type": "application/json"}
    response = client.simulate_post("/v1/changes", body=body, headers=headers)
    assert response.status_code == 400
    assert response.json["findings"]


def test_traffic_counts_recent_and_total_requests():
    counter = TrafficCounter(started_at=0.0)
    flow = Flow("pedidos", "status", "austro", "austro", "dispatched")
    for now in (0.0, 1.0, BUCKET_S, 10 * BUCKET_S, 10 * BUCKET_S + 1):
        counter.count(now, flow)
    counts = counter.view(10 * BUCKET_S + 1, "h1").counts
    assert [(c.recent, c.total) for c in counts] == [(2, 5)]
    assert counter.view(10_000.0, "h1").counts == ()


def test_request_decisions_do_not_evict_other_decisions(driver):
    log = driver.host.decisions
    for index in range(log.request_decisions.maxlen + 1):
        request = Request(f"x{index}", "pedidos", "status", 1, True, 0.0)
        driver.host.report(0.0, "dispatched", request_id=request.id)
    assert any(d.event == "change-in-force" for d in log.decisions)
    assert log.about("x0") == []
    assert [d.event for d in log.about("x1")] == ["dispatched"]
