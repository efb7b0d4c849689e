"""Tests of the target stand-in: execution, counters and signals."""

import json
from concurrent.futures import ThreadPoolExecutor, wait

import pytest
from sardinewheel_testing.execution import (
    Behaviour,
    ExecutionOutcome,
    Target,
    TargetRequest,
    WeightMeter,
)
from sardinewheel_testing.processes import (
    free_address,
    http,
    start_stand_in,
    wait_until,
)


@pytest.fixture
def target(tmp_path):
    address = free_address()
    process = start_stand_in("target", address, "1", log_file=tmp_path / "log")
    try:
        wait_until(lambda: http("GET", address, "/health"))
        yield address
    finally:
        process.stop()


def set_behaviour(address, **fields):
    http(
        "PUT",
        address,
        "/control",
        body=json.dumps(fields).encode(),
        headers={"Content-Type": "application/json"},
    )


def send(address, request_id, **headers):
    fields = {"Sardinewheel-Request-Id": request_id, **headers}
    return http("POST", address, "/", body=b"x", headers=fields)


def wait_for_execution(address, request_id):
    wait_until(lambda: request_id in http("GET", address, "/executions").media)


def test_request_beyond_the_slots_is_shed(target):
    set_behaviour(target, service_time_s={"": 30.0})
    with ThreadPoolExecutor() as pool:
        first = pool.submit(send, target, "a")
        wait_for_execution(target, "a")
        shed = send(target, "b")
        cancelled = http(
            "DELETE", target, "/", headers={"Sardinewheel-Request-Id": "a"}
        )
        assert first.result().status == 499
    assert (shed.status, shed.headers["sardinewheel-shed"]) == (503, "true")
    assert cancelled.status == 204
    report = http("GET", target, "/control").media
    assert report["executions"] == {"a": 1}
    assert report["weight"]["most"] == 1


def test_deadline_ends_an_execution(target):
    set_behaviour(target, service_time_s={"": 30.0})
    late = send(target, "a", **{"Sardinewheel-Deadline-Ms": "20"})
    assert late.status == 504
    expired = send(target, "b", **{"Sardinewheel-Deadline-Ms": "0"})
    assert expired.status == 503
    assert http("GET", target, "/executions").media == {"a": 1}


def test_weight_in_flight_is_recorded(target):
    send(target, "a", **{"Sardinewheel-Weight": "4"})
    assert http("GET", target, "/control").media["weight"]["most"] == 4


def test_draining_header_and_false_load_report(target):
    set_behaviour(target, draining=True, load_report="lying")
    assert send(target, "a").headers["sardinewheel-draining"] == "true"
    assert http("GET", target, "/health").media["draining"]
    assert http("GET", target, "/load").media["in_flight"] == 0


def test_plain_target_ignores_and_omits_headers(target):
    set_behaviour(target, plain=True, draining=True)
    response = send(target, "a", **{"Sardinewheel-Deadline-Ms": "0"})
    assert (response.status, response.body) == (200, b"done x")
    assert not any(name.startswith("sardinewheel") for name in response.headers)
    assert http("GET", target, "/health").status == 404


def test_cancellation_ends_all_executions_of_an_id():
    behaviour = Behaviour(slots=2, service_time_s={"": 3.0})
    target = Target("t", behaviour, seed=1, region=WeightMeter())
    request = TargetRequest("a", "", 1, None)
    with ThreadPoolExecutor() as pool:
        running = [pool.submit(target.execute, request) for _ in range(2)]
        wait_until(lambda: target.running == 2)
        wait(running, timeout=0.2)
        assert target.cancel("a")
        outcomes = [execution.result() for execution in running]
    assert outcomes == [ExecutionOutcome.CANCELLED] * 2
