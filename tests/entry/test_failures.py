"""Killed, stopping and suspended hosts, and broken connections to targets.

The tests run real processes.
"""

import signal
import threading
import time

import pytest
from sardinewheel_testing.processes import wait_until

from tests.entry.cluster import Cluster, ScriptedTarget, outcome_of, reason_of

WARM_UP_REQUESTS = 6
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"


@pytest.fixture
def cluster(tmp_path):
    cluster = Cluster(tmp_path)
    try:
        yield cluster
    finally:
        cluster.stop()


@pytest.fixture
def start_scripted_target(cluster):
    targets = []

    def start(respond):
        target = ScriptedTarget(respond)
        targets.append(target)
        cluster.configure(target=target.address)
        return target

    yield start
    for target in targets:
        target.close()


def run_in_background(function):
    responses = []
    thread = threading.Thread(target=lambda: responses.append(function()))
    thread.start()
    return thread, responses


def test_ids_of_a_killed_owner_have_unknown_outcome(cluster):
    cluster.configure()
    request_id = cluster.ticket("quito-1") + "~k1"
    assert outcome_of(cluster.send_request("quito-1", request_id)) == "done"
    cluster.processes["quito-1"].kill()
    cluster.start("quito-1")
    for name in cluster.names:
        assert outcome_of(cluster.send_request(name, request_id)) == "unknown"
    assert cluster.executions() == {request_id: 1}


def test_graceful_shutdown_completes_requests_and_hands_over_ids(cluster):
    cluster.configure()
    ticket = cluster.ticket("quito-1")
    assert outcome_of(cluster.send_request("quito-1", ticket + "~s1")) == "done"
    cluster.configure_stand_in("target", service_time_s={"": 1.0})
    thread, responses = run_in_background(
        lambda: cluster.send_request("quito-1", ticket + "~s2")
    )
    wait_until(lambda: ticket + "~s2" in cluster.executions())
    process = cluster.processes["quito-1"]
    process.signal(signal.SIGTERM)
    thread.join()
    assert outcome_of(responses[0]) == "done"
    assert process.popen.wait(15) == 0
    cluster.configure_stand_in("target", service_time_s={"": 0.01})
    for suffix in ("~s1", "~s2", "~s3", "~s3"):
        assert (
            outcome_of(cluster.send_request("quito-2", ticket + suffix))
            == "done"
        )
    cluster.start("quito-1")
    wait_until(lambda: cluster.is_ready("quito-1"))
    for suffix in ("~s1", "~s2", "~s3"):
        assert (
            outcome_of(cluster.send_request("quito-1", ticket + suffix))
            == "done"
        )
    assert set(cluster.executions().values()) == {1}


def test_suspended_owner_resumes_without_duplicate_execution(cluster):
    cluster.configure()
    request_id = cluster.ticket("quito-1") + "~f1"
    process = cluster.processes["quito-1"]
    process.signal(signal.SIGSTOP)
    thread, _ = run_in_background(
        lambda: cluster.send_request("quito-1", request_id)
    )
    try:
        retry = cluster.send_request("quito-2", request_id, Deadline_Ms=1000)
        assert outcome_of(retry) == "unknown"
        wait_until(
            lambda: (
                reason_of(cluster.send_request("quito-2", request_id))
                == "owner-unreachable"
            )
        )
    finally:
        process.signal(signal.SIGCONT)
    thread.join()
    final = wait_until(lambda: cluster.outcome("quito-1", request_id))
    assert outcome_of(final) in ("done", "not-run")
    execution_count = cluster.executions().get(request_id, 0)
    assert execution_count == (1 if outcome_of(final) == "done" else 0)


def test_truncated_response_is_not_treated_as_complete(
    cluster, start_scripted_target
):
    truncated = [
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        b"HTTP/1.1 200 OK\r\n\r\nhalf",
        b"HTTP/1.1 200",
        b"",
    ]

    def respond(sock, number):
        sock.recv(65536)
        sock.sendall(truncated[(number - 1) % len(truncated)])
        sock.close()

    target = start_scripted_target(respond)
    unknown_count = 0
    while len(target.connections) < len(truncated):
        response = cluster.send_request("quito-1", Deadline_Ms=500)
        # A failure pauses the target, so that some requests are refused.
        assert outcome_of(response) in ("unknown", "not-run"), response
        assert b"half" not in response.body
        unknown_count += outcome_of(response) == "unknown"
    assert unknown_count == len(truncated)


def test_repeatable_request_on_silent_connection_is_retried(
    cluster, start_scripted_target
):
    def respond(sock, number):
        for _ in range(WARM_UP_REQUESTS):
            sock.recv(65536)
            sock.sendall(OK)
        time.sleep(30)  # No more responses on this connection.

    target = start_scripted_target(respond)
    for _ in range(WARM_UP_REQUESTS):
        assert (
            outcome_of(cluster.send_request("quito-1", Kind="status")) == "done"
        )
    started_at = time.monotonic()
    response = cluster.send_request("quito-1", Kind="status", Deadline_Ms=9000)
    assert outcome_of(response) == "done"
    assert time.monotonic() - started_at < 9
    assert len(target.connections) == 2


def test_non_repeatable_request_is_sent_once(cluster, start_scripted_target):
    def respond(sock, number):
        sock.recv(65536)
        time.sleep(30)

    target = start_scripted_target(respond)
    request_id = cluster.ticket("quito-1") + "~q1"
    for name in cluster.names:
        response = cluster.send_request(name, request_id, Deadline_Ms=500)
        assert outcome_of(response) == "unknown"
    assert len(target.connections) == 1


def test_non_repeatable_request_uses_no_idle_connection(
    cluster, start_scripted_target
):
    def respond(sock, number):
        while sock.recv(65536):
            sock.sendall(OK)

    target = start_scripted_target(respond)
    assert outcome_of(cluster.send_request("quito-1")) == "done"
    assert outcome_of(cluster.send_request("quito-1")) == "done"
    assert len(target.connections) == 1
    time.sleep(1.2)
    assert outcome_of(cluster.send_request("quito-1")) == "done"
    assert len(target.connections) == 2


def test_target_without_sardinewheel_headers_works(
    cluster, start_scripted_target
):
    def respond(sock, number):
        while sock.recv(65536):
            sock.sendall(OK)

    start_scripted_target(respond)
    response = cluster.send_request("quito-2")
    assert (outcome_of(response), response.body) == ("done", b"done")
