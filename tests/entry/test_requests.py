"""The callers' interface: answers are typed, whole, and one's own."""

import json
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPConnection

import pytest
from sardinewheel_testing.processes import http, wait_until

from tests.entry.house import JSON, House, outcome_of, reason_of

LARGE = bytes(range(256)) * 20_000


@pytest.fixture(scope="module")
def house(tmp_path_factory):
    house = House(tmp_path_factory.mktemp("house"))
    try:
        house.configure()
        yield house
    finally:
        house.stop()


def test_every_malformed_header_is_named(house):
    reply = house.ask(
        "quito-1",
        "x" * 201,
        Weight="-1",
        Deadline_Ms="soon",
        Hops="99999999999999999999",
        Repeatable="maybe",
        Delegated="true",
    )
    assert reply.status == 400
    places = {finding["place"] for finding in reply.media["findings"]}
    assert places == {
        "Sardinewheel-Request-Id",
        "Sardinewheel-Weight",
        "Sardinewheel-Deadline-Ms",
        "Sardinewheel-Hops",
        "Sardinewheel-Repeatable",
        "Sardinewheel-Attempt",
    }


def test_an_unknown_service_is_refused(house):
    path = "/v1/services/none/requests"
    reply = http("POST", house.http["quito-1"], path, body=b"")
    assert outcome_of(reply) == "not-run"
    assert reason_of(reply) == "unknown-service"


def test_the_outcome_can_be_asked_of_any_host(house):
    request_id = house.ticket("quito-1") + "~a1"
    asked = house.ask("quito-2", request_id, b"two saddles")
    assert (outcome_of(asked), asked.body) == ("done", b"done two saddles")
    for name in house.names:
        found = house.outcome(name, request_id)
        assert (outcome_of(found), found.body) == ("done", b"done two saddles")
        again = house.ask(name, request_id, b"two saddles")
        assert (outcome_of(again), again.body) == ("done", b"done two saddles")
    assert house.executions()[request_id] == 1
    unseen = house.outcome("quito-2", house.ticket("quito-1") + "~a2")
    assert (outcome_of(unseen), reason_of(unseen)) == ("unknown", "not-seen")


def test_an_id_is_not_answered_with_another_requests_response(house):
    request_id = house.ticket("quito-1") + "~b1"
    house.ask("quito-1", request_id, b"mine")
    other = house.ask("quito-1", request_id, b"another body")
    assert reason_of(other) == "id-reused"
    assert b"mine" not in other.body


def test_two_arrivals_of_a_repeatable_id_get_their_own_answers(house):
    def ask(number):
        body = b"body %d" % number
        reply = house.ask("quito-1", "same", body, Kind="status")
        return reply.body == b"done " + body

    with ThreadPoolExecutor(4) as pool:
        assert all(pool.map(ask, range(40)))


def test_a_cancelled_id_that_never_arrived_does_not_run(house):
    request_id = house.ticket("quito-1") + "~c1"
    cancelled = house.outcome("quito-2", request_id, "DELETE")
    assert outcome_of(cancelled) == "not-run"
    assert outcome_of(house.ask("quito-1", request_id)) == "not-run"
    assert request_id not in house.executions()


def test_cancellation_reaches_the_target_once(house):
    house.control("target", service_time_s={"": 5.0})
    request_id = house.ticket("quito-1") + "~c2"
    replies = []
    asking = threading.Thread(
        target=lambda: replies.append(house.ask("quito-1", request_id))
    )
    asking.start()
    wait_until(lambda: request_id in house.executions())
    pending = house.outcome("quito-2", request_id, "DELETE")
    asking.join()
    house.control("target", service_time_s={"": 0.01})
    assert outcome_of(pending) in ("pending", "done")
    assert replies[0].status == 499
    report = http("GET", house.target, "/control").media
    assert report["endings"]["cancelled"] == 1


def test_large_bodies_pass_whole(house):
    for number, name in enumerate(house.names):
        request_id = house.ticket("quito-1") + f"~d{number}"
        reply = house.ask(name, request_id, LARGE)
        assert reply.body == b"done " + LARGE
        assert outcome_of(reply) == "done"
    kept = house.outcome("quito-1", request_id)
    assert kept.status == 410
    assert outcome_of(kept) == "done"


def test_ids_without_a_ticket_run_once(house):
    house.wait_for_room()
    with ThreadPoolExecutor(4) as pool:
        names = house.names * 4
        replies = list(pool.map(lambda n: house.ask(n, "order-9"), names))
    assert {(outcome_of(r), reason_of(r)) for r in replies} == {("done", None)}
    assert house.executions()["order-9"] == 1
    for name in house.names:
        assert outcome_of(house.outcome(name, "order-9")) == "done"


def test_without_the_platform_ids_without_a_ticket_do_not_run(house):
    house.control("platform", mode="down")
    try:
        first = house.ask("quito-1", "order-10", First_Attempt="true")
        retry = house.ask("quito-1", "order-11", Deadline_Ms=500)
        owned = house.ask("quito-1")
    finally:
        house.control("platform", mode="up")
    assert (outcome_of(first), outcome_of(retry)) == ("not-run", "unknown")
    assert outcome_of(owned) == "done"
    time.sleep(1.0)
    assert not {"order-10", "order-11"} & set(house.executions())


def test_a_claim_whose_answer_was_lost_runs_once(house):
    house.control("platform", mode="lose-answers", count=1)
    reply = house.ask("quito-1", "order-12")
    house.control("platform", mode="up")
    again = house.ask("quito-2", "order-12")
    assert (outcome_of(reply), outcome_of(again)) == ("done", "done")
    assert house.executions()["order-12"] == 1


def test_look_ups_come_in_batches(house):
    asked = [{"service": "pedidos", "block": "b"}, {"service": "none"}]
    body = json.dumps({"lookups": asked}).encode()
    address = house.http["quito-1"]
    reply = http("POST", address, "/v1/lookups", body=body, headers=JSON)
    assert len(reply.media["answers"]) == 2
    assert reply.media["answers"][0]["hosts"]
    body = b'{"lookups": [{"service": 1}, 2]}'
    bad = http("POST", address, "/v1/lookups", body=body, headers=JSON)
    assert [f["place"] for f in bad.media["findings"]] == [
        "lookups[0]",
        "lookups[1]",
    ]


def test_histograms_count_by_service_kind_and_weight(house):
    house.ask("quito-2", Weight=5)
    found = http("GET", house.http["quito-2"], "/v1/histograms").media
    classes = {
        (h["service"], h["kind"], h["weight"], h["outcome"])
        for h in found["histograms"]
    }
    assert ("pedidos", "confirm", 4, "done") in classes


def test_a_large_chunked_body_passes_whole(house):
    host, port = house.http["quito-1"].split(":")
    connection = HTTPConnection(host, int(port), timeout=15)
    parts = (LARGE[i : i + 100_000] for i in range(0, len(LARGE), 100_000))
    connection.request(
        "POST",
        "/v1/services/pedidos/requests",
        body=parts,
        headers={"Transfer-Encoding": "chunked"},
        encode_chunked=True,
    )
    reply = connection.getresponse()
    assert reply.getheader("Sardinewheel-Outcome") == "done"
    assert reply.read() == b"done " + LARGE
    connection.close()
