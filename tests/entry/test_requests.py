"""The interface for callers, with real processes.

Every response has an outcome, is complete and belongs to its request.
"""

import json
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPConnection

import pytest
from sardinewheel_testing.processes import http, wait_until

from tests.entry.cluster import JSON, Cluster, outcome_of, reason_of

# Its tests share a fixture of the module.
pytestmark = pytest.mark.xdist_group("requests")

LARGE_BODY = bytes(range(256)) * 20_000


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    cluster = Cluster(tmp_path_factory.mktemp("cluster"))
    try:
        cluster.configure()
        yield cluster
    finally:
        cluster.stop()


def test_every_malformed_header_is_reported(cluster):
    response = cluster.send_request(
        "quito-1",
        "x" * 201,
        Weight="-1",
        Deadline_Ms="soon",
        Hops="99999999999999999999",
        Repeatable="maybe",
        Delegated="true",
    )
    assert response.status == 400
    places = {finding["place"] for finding in response.media["findings"]}
    assert places == {
        "Sardinewheel-Request-Id",
        "Sardinewheel-Weight",
        "Sardinewheel-Deadline-Ms",
        "Sardinewheel-Hops",
        "Sardinewheel-Repeatable",
        "Sardinewheel-Attempt",
    }


def test_an_unknown_service_is_refused(cluster):
    path = "/v1/services/none/requests"
    response = http("POST", cluster.http_addresses["quito-1"], path, body=b"")
    assert outcome_of(response) == "not-run"
    assert reason_of(response) == "unknown-service"


def test_outcome_is_available_from_any_host(cluster):
    request_id = cluster.ticket("quito-1") + "~a1"
    response = cluster.send_request("quito-2", request_id, b"two saddles")
    assert (outcome_of(response), response.body) == (
        "done",
        b"done two saddles",
    )
    for name in cluster.names:
        report = cluster.outcome(name, request_id)
        assert (outcome_of(report), report.body) == (
            "done",
            b"done two saddles",
        )
        again = cluster.send_request(name, request_id, b"two saddles")
        assert (outcome_of(again), again.body) == ("done", b"done two saddles")
    assert cluster.executions()[request_id] == 1
    unseen = cluster.outcome("quito-2", cluster.ticket("quito-1") + "~a2")
    assert (outcome_of(unseen), reason_of(unseen)) == ("unknown", "not-seen")


def test_an_id_is_not_answered_with_another_requests_response(cluster):
    request_id = cluster.ticket("quito-1") + "~b1"
    cluster.send_request("quito-1", request_id, b"mine")
    other = cluster.send_request("quito-1", request_id, b"another body")
    assert reason_of(other) == "id-reused"
    assert b"mine" not in other.body


def test_concurrent_requests_with_one_repeatable_id_get_own_responses(cluster):
    def send(number):
        body = b"body %d" % number
        response = cluster.send_request("quito-1", "same", body, Kind="status")
        return response.body == b"done " + body

    with ThreadPoolExecutor(4) as pool:
        assert all(pool.map(send, range(40)))


def test_id_cancelled_before_arrival_is_not_executed(cluster):
    request_id = cluster.ticket("quito-1") + "~c1"
    cancelled = cluster.outcome("quito-2", request_id, "DELETE")
    assert outcome_of(cancelled) == "not-run"
    assert outcome_of(cluster.send_request("quito-1", request_id)) == "not-run"
    assert request_id not in cluster.executions()


def test_cancellation_reaches_the_target_once(cluster):
    cluster.configure_stand_in("target", service_time_s={"": 5.0})
    request_id = cluster.ticket("quito-1") + "~c2"
    responses = []
    sender = threading.Thread(
        target=lambda: responses.append(
            cluster.send_request("quito-1", request_id)
        )
    )
    sender.start()
    wait_until(lambda: request_id in cluster.executions())
    pending = cluster.outcome("quito-2", request_id, "DELETE")
    sender.join()
    cluster.configure_stand_in("target", service_time_s={"": 0.01})
    assert outcome_of(pending) in ("pending", "done")
    assert responses[0].status == 499
    report = http("GET", cluster.target, "/control").media
    assert report["endings"]["cancelled"] == 1


def test_large_bodies_are_not_truncated(cluster):
    for number, name in enumerate(cluster.names):
        request_id = cluster.ticket("quito-1") + f"~d{number}"
        response = cluster.send_request(name, request_id, LARGE_BODY)
        assert response.body == b"done " + LARGE_BODY
        assert outcome_of(response) == "done"
    uncached = cluster.outcome("quito-1", request_id)
    assert uncached.status == 410
    assert outcome_of(uncached) == "done"


def test_ids_without_a_ticket_run_once(cluster):
    cluster.wait_for_free_slot()
    with ThreadPoolExecutor(4) as pool:
        names = cluster.names * 4
        responses = list(
            pool.map(lambda n: cluster.send_request(n, "order-9"), names)
        )
    assert {(outcome_of(r), reason_of(r)) for r in responses} == {
        ("done", None)
    }
    assert cluster.executions()["order-9"] == 1
    for name in cluster.names:
        assert outcome_of(cluster.outcome(name, "order-9")) == "done"


def test_ids_without_a_ticket_do_not_run_while_platform_is_down(cluster):
    cluster.configure_stand_in("platform", mode="down")
    try:
        first = cluster.send_request(
            "quito-1", "order-10", First_Attempt="true"
        )
        retry = cluster.send_request("quito-1", "order-11", Deadline_Ms=500)
        without_id = cluster.send_request("quito-1")
    finally:
        cluster.configure_stand_in("platform", mode="up")
    assert (outcome_of(first), outcome_of(retry)) == ("not-run", "unknown")
    assert outcome_of(without_id) == "done"
    time.sleep(1.0)
    assert not {"order-10", "order-11"} & set(cluster.executions())


def test_request_with_lost_claim_response_runs_once(cluster):
    cluster.configure_stand_in("platform", mode="lose-answers", count=1)
    response = cluster.send_request("quito-1", "order-12")
    cluster.configure_stand_in("platform", mode="up")
    again = cluster.send_request("quito-2", "order-12")
    assert (outcome_of(response), outcome_of(again)) == ("done", "done")
    assert cluster.executions()["order-12"] == 1


def test_lookups_are_answered_in_batches(cluster):
    lookups = [{"service": "pedidos", "block": "b"}, {"service": "none"}]
    body = json.dumps({"lookups": lookups}).encode()
    address = cluster.http_addresses["quito-1"]
    response = http("POST", address, "/v1/lookups", body=body, headers=JSON)
    assert len(response.media["answers"]) == 2
    assert response.media["answers"][0]["hosts"]
    body = b'{"lookups": [{"service": 1}, 2]}'
    rejected = http("POST", address, "/v1/lookups", body=body, headers=JSON)
    assert [f["place"] for f in rejected.media["findings"]] == [
        "lookups[0]",
        "lookups[1]",
    ]


def test_histograms_count_by_service_kind_and_weight(cluster):
    cluster.send_request("quito-2", Weight=5)
    report = http(
        "GET", cluster.http_addresses["quito-2"], "/v1/histograms"
    ).media
    classes = {
        (h["service"], h["kind"], h["weight"], h["outcome"])
        for h in report["histograms"]
    }
    assert ("pedidos", "confirm", 4, "done") in classes


def test_large_chunked_body_is_not_truncated(cluster):
    host, port = cluster.http_addresses["quito-1"].split(":")
    connection = HTTPConnection(host, int(port), timeout=15)
    parts = (
        LARGE_BODY[i : i + 100_000] for i in range(0, len(LARGE_BODY), 100_000)
    )
    connection.request(
        "POST",
        "/v1/services/pedidos/requests",
        body=parts,
        headers={"Transfer-Encoding": "chunked"},
        encode_chunked=True,
    )
    response = connection.getresponse()
    assert response.getheader("Sardinewheel-Outcome") == "done"
    assert response.read() == b"done " + LARGE_BODY
    connection.close()
