"""Forwarding: retries and the responses that callers get."""

import re
import time

import gevent
import pytest
from sardinewheel_gateway import clock, responder
from sardinewheel_gateway.policy.crash_suspects import (
    Refusal,
    Run,
    TargetStart,
)

from tests.gateway.harness import (
    never_responds,
    read_all,
    refuses_to_execute,
    request,
    request_id,
    response_to,
    sends_complete_response,
    truncates_response,
    wait_until,
)


def responds_500(sock, head, rest):
    """Script: executes the request and fails."""
    sock.sendall(response_to(head, b"broken", status="500 Failed"))
    return rest


def sends_invalid_response(sock, head, rest):
    """Script: sends bytes that are not an HTTP response."""
    sock.sendall(b"\x00\x01 nothing of the kind\r\n\r\n")
    sock.close()


def first_request_runs(script):
    """Returns scripts of two targets; the first request runs ``script``."""
    received = []

    def run(sock, head, rest):
        received.append(head)
        return (script if len(received) == 1 else sends_complete_response)(
            sock, head, rest
        )

    return run, run


@pytest.mark.parametrize(
    "script",
    [
        truncates_response,
        sends_invalid_response,
        responds_500,
        refuses_to_execute,
    ],
)
def test_idempotent_request_is_retried(start_gateway, script):
    harness = start_gateway(*first_request_runs(script))
    assert b"200 OK" in harness.send_request()
    assert harness.request_count() == 2


@pytest.mark.parametrize("script", [truncates_response, sends_invalid_response])
def test_non_idempotent_request_is_never_retried(start_gateway, script):
    harness = start_gateway(*first_request_runs(script), is_idempotent=False)
    assert harness.send_request(method="POST").startswith(b"HTTP/1.1 502 ")
    assert harness.request_count() == 1


@pytest.mark.parametrize("script", [truncates_response, sends_invalid_response])
def test_metric_label_of_a_lost_response_is_not_the_error_text(
    start_gateway, script
):
    harness = start_gateway(*first_request_runs(script), is_idempotent=False)
    harness.send_request(method="POST")
    assert {
        series.route
        for series in harness.forwarder.metrics.latencies
        if series.outcome == "502"
    } == {"response-lost"}


def test_target_error_is_passed_through_unchanged(start_gateway):
    harness = start_gateway(
        *first_request_runs(responds_500), is_idempotent=False
    )
    data = harness.send_request(method="POST")
    assert data.startswith(b"HTTP/1.1 500 ")
    assert b"broken" in data
    assert harness.request_count() == 1


def test_request_not_executed_is_sent_to_another_target(start_gateway):
    harness = start_gateway(
        *first_request_runs(refuses_to_execute), is_idempotent=False
    )
    assert b"200 OK" in harness.send_request(method="POST")
    assert harness.request_count() == 2


def test_attempts_are_limited_to_max_attempts(start_gateway):
    harness = start_gateway(
        refuses_to_execute,
        refuses_to_execute,
        refuses_to_execute,
        max_attempts=2,
    )
    data = harness.send_request()
    assert data.startswith(b"HTTP/1.1 503 ")
    assert b"retry-after" in data.lower()
    assert harness.request_count() == 2


def test_request_times_out_at_the_route_timeout(start_gateway):
    harness = start_gateway(never_responds, never_responds, timeout_s=0.3)
    began = time.monotonic()
    assert harness.send_request().startswith(b"HTTP/1.1 504 ")
    assert 0.25 < time.monotonic() - began < 3.0
    assert harness.request_count() == 1


def test_remaining_time_is_sent_to_the_target(start_gateway):
    harness = start_gateway(sends_complete_response, timeout_s=0.8)
    harness.send_request(extra_headers="X-Remaining: 5\r\n")
    head = harness.targets["t0"].heads[0].lower()
    remaining = float(head.split("x-remaining: ")[1].split("\r")[0])
    assert 0.0 < remaining <= 0.8


def test_connection_failure_is_retried_on_another_target(start_gateway):
    harness = start_gateway(sends_complete_response, sends_complete_response)
    harness.targets["t0"].server.stop()
    for number in range(6):
        assert b"200 OK" in harness.send_request(number=number, method="POST")
    assert harness.request_count() == 6


def test_late_response_to_another_request_is_skipped(start_gateway):
    def sends_late_response(sock, head, rest):
        sock.sendall(response_to(head, b"own"))
        if head.startswith("GET /orders/1"):
            gevent.spawn_later(
                0.05, sock.sendall, response_to("x-id: id-1", b"extra")
            )
        return rest

    def delays_second_request(sock, head, rest):
        if head.startswith("GET /orders/2"):
            gevent.sleep(0.1)
        return sends_late_response(sock, head, rest)

    harness = start_gateway(delays_second_request)
    assert b"own" in harness.send_request(number=1)
    data = harness.send_request(number=2)
    assert b"extra" not in data
    assert b"own" in data


def test_reset_response_without_length_is_incomplete(start_gateway):
    def resets(sock, head, rest):
        sock.sendall(
            f"HTTP/1.1 200 OK\r\nX-Id: {head.split('X-Id: ')[-1][:4]}\r\n"
            "X-Proof: yes\r\n\r\nhalf".encode()
        )
        gevent.sleep(0.05)
        linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
        sock.setsockopt(1, 13, linger)
        sock.close()

    harness = start_gateway(resets, is_idempotent=False)
    assert harness.send_request(method="POST").startswith(b"HTTP/1.1 502 ")


def test_success_without_proof_is_not_passed_on(start_gateway):
    def omits_proof(sock, head, rest):
        sock.sendall(response_to(head).replace(b"X-Proof: yes\r\n", b""))
        return rest

    harness = start_gateway(omits_proof, is_idempotent=False)
    assert harness.send_request(method="POST").startswith(b"HTTP/1.1 502 ")


def test_truncation_of_a_large_response_is_visible(start_gateway):
    def truncates(sock, head, rest):
        sock.sendall(response_to(head, b"x" * 400_000)[:-1000])
        sock.close()

    harness = start_gateway(truncates)
    data = harness.send_request()
    assert b"content-length: 400000" in data.lower()
    assert len(data) < 400_000


def test_large_response_is_streamed_completely(start_gateway):
    def sends_large_response(sock, head, rest):
        sock.sendall(response_to(head, b"x" * 400_000))
        return rest

    harness = start_gateway(sends_large_response)
    assert harness.send_request().endswith(b"x" * 400_000)


def body_length(head):
    return int(head.lower().split("content-length: ")[1].split("\r")[0])


def test_large_body_is_streamed_completely(start_gateway):
    bodies = []

    def records_body(sock, head, rest):
        while len(rest) < body_length(head):
            rest += sock.recv(65536)
        bodies.append(rest)
        sock.sendall(response_to(head))

    harness = start_gateway(records_body)
    body = bytes(range(256)) * 2048
    assert b"200 OK" in harness.send_request(method="POST", body=body)
    assert bodies == [body]


def test_early_response_stops_the_upload_and_closes_the_connection(
    start_gateway,
):
    def responds_early(sock, head, rest):
        sock.sendall(response_to(head, b"no", status="413 Large"))
        gevent.sleep(0.2)
        return b""

    harness = start_gateway(responds_early)
    sock = harness.connect()
    sock.sendall(request("POST", 1, b"x" * 900_000)[:300_000])
    assert sock.recv(65536).startswith(b"HTTP/1.1 413 ")
    wait_until(lambda: not harness.forwarder.sender.pool.idle)


def test_request_without_target_is_refused_with_retry_after(start_gateway):
    harness = start_gateway()
    began = time.monotonic()
    data = harness.send_request()
    assert data.startswith(b"HTTP/1.1 503 ")
    assert b"retry-after" in data.lower()
    assert time.monotonic() - began < 1.0


def test_host_without_configuration_refuses_requests(start_gateway):
    harness = start_gateway(sends_complete_response)
    harness.routing_state.configuration = None
    assert harness.send_request().startswith(b"HTTP/1.1 503 ")
    assert harness.request_count() == 0


def test_connections_to_targets_are_reused(start_gateway):
    harness = start_gateway(sends_complete_response)
    sock = harness.connect()
    for number in range(5):
        sock.sendall(request(number=number))
        assert b"200 OK" in sock.recv(65536)
    assert harness.forwarder.metrics.counters["target_connections"] == 1


def test_response_is_followed_by_a_clean_close(start_gateway):
    harness = start_gateway(sends_complete_response)
    assert b"<reset>" not in read_one_response(harness)


def read_one_response(harness):
    sock = harness.connect()
    sock.sendall(request(extra_headers="Connection: close\r\n"))
    return read_all(sock)


def test_stopping_host_refuses_new_requests(start_gateway):
    harness = start_gateway(sends_complete_response)
    harness.forwarder.is_refusing = True
    assert harness.send_request().startswith(b"HTTP/1.1 503 ")
    assert harness.request_count() == 0


def drips(beginning):
    """Returns a script that sends a beginning and then a byte at a time."""

    def drip(sock, head, rest):
        identity = f"X-Id: {request_id(head)}\r\nX-Proof: yes\r\n".encode()
        sock.sendall(beginning.replace(b"ID", identity))
        while True:
            sock.sendall(b"1")
            gevent.sleep(0.02)

    return drip


@pytest.mark.parametrize(
    "beginning",
    [
        b"",
        b"HTTP/1.1 2",
        b"HTTP/1.1 200 OK\r\nX-A: ",
        b"HTTP/1.1 200 OK\r\nContent-Length: 9999\r\nID\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 9999\r\nX-Id: other\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nID\r\n1;",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nID\r\n0\r\nX-A: ",
        b"HTTP/1.1 200 OK\r\nID\r\n",
    ],
)
def test_the_slowest_response_ends_at_the_route_timeout(
    start_gateway, beginning
):
    harness = start_gateway(drips(beginning), timeout_s=0.3)
    began = time.monotonic()
    data = harness.send_request()
    assert data.startswith((b"HTTP/1.1 504 ", b"HTTP/1.1 502 "))
    assert time.monotonic() - began < 2.0
    wait_until(lambda: not harness.front.in_progress)


def test_the_slowest_streamed_response_ends_after_the_callers_deadline(
    start_gateway, monkeypatch
):
    monkeypatch.setattr(responder, "STREAM_MARGIN_S", 0.3)
    length = 1_000_000
    beginning = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nID\r\n" % length
    harness = start_gateway(drips(beginning + b"y" * 100_000))
    began = time.monotonic()
    data = harness.send_request(extra_headers="X-Remaining: 0.5\r\n")
    assert data.startswith(b"HTTP/1.1 200 ")
    assert len(data) < length
    assert time.monotonic() - began < 3.0


@pytest.fixture
def crashing(start_gateway):
    """A gateway with targets that lose each response."""

    def closes(sock, head, rest):
        sock.close()

    return start_gateway(closes, closes, closes, max_attempts=3)


def digest_of_sent(harness):
    """Returns the digest of the requests that a gateway has lost."""
    line = next(x for x in harness.lines() if "attempt-ended" in x)
    return re.search(r"digest=(\w+)", line).group(1)


def refuse_as_crashing(harness, digest):
    suspects = harness.routing_state.crash_suspects
    suspects.refuse(digest, Refusal(clock.steady(), clock.steady(), 3))


def test_a_request_that_crashes_targets_is_refused_without_being_sent(crashing):
    crashing.send_request()
    sent = crashing.request_count()
    refuse_as_crashing(crashing, digest_of_sent(crashing))
    data = crashing.send_request()
    assert data.startswith(b"HTTP/1.1 503 ")
    assert b"retry-after: 60.00" in data.lower()
    assert crashing.request_count() == sent
    crashing.routing_state.loads.forget_failures()
    crashing.send_request(number=2)
    assert crashing.request_count() > sent


def test_a_request_refused_between_attempts_may_have_run(crashing):
    crashing.send_request()
    digest = digest_of_sent(crashing)
    for target in crashing.targets.values():
        target.heads.clear()

    def refuses_meanwhile(sock, head, rest):
        refuse_as_crashing(crashing, digest)
        sock.close()

    for target in crashing.targets.values():
        target.script = refuses_meanwhile
    crashing.routing_state.loads.forget_failures()
    assert crashing.send_request().startswith(b"HTTP/1.1 502 ")
    assert crashing.request_count() == 1


def test_a_request_lost_with_two_targets_is_not_sent_to_a_third(crashing):
    crashing.send_request()
    assert crashing.request_count() == 3
    digest = digest_of_sent(crashing)
    for number in range(2):
        run = Run(TargetStart(f"x{number}", 1), clock.steady(), clock.steady())
        crashing.routing_state.crash_suspects.record_loss(digest, run)
    crashing.routing_state.loads.forget_failures()
    crashing.send_request()
    assert crashing.request_count() == 4


def test_requests_under_way_are_given_up_when_they_are_refused(start_gateway):
    harness = start_gateway(never_responds, is_idempotent=False)
    sock = harness.connect()
    sock.sendall(request())
    wait_until(lambda: harness.request_count() == 1)
    (digest,) = harness.forwarder.sender.under_way
    harness.forwarder.sender.give_up_requests(digest)
    assert sock.recv(65536).startswith(b"HTTP/1.1 502 ")
    assert not harness.forwarder.sender.under_way
    assert not any("target-failed" in x for x in harness.lines())


def test_a_request_that_is_executed_is_reported(start_gateway):
    harness = start_gateway(sends_complete_response)
    completed = []
    harness.forwarder.sender.on_completion = completed.append
    harness.send_request()
    assert len(completed) == 1
