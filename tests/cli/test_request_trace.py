"""Tests that the cause of a request's outcome is found from log lines.

A gateway writes the lines while it forwards requests to scripted targets.
"""

import re

import gevent
from sardinewheel_cli.log_lines import read
from sardinewheel_cli.request_trace import RequestTrace
from sardinewheel_gateway import clock
from sardinewheel_gateway.policy.crash_suspects import Refusal

from tests.gateway.harness import (
    never_responds,
    read_all,
    refuses_to_execute,
    request,
    response_to,
    sends_complete_response,
    truncates_response,
    wait_until,
)


def trace_request(harness, number=1):
    """Returns the trace of a request from the gateway's log."""
    return RequestTrace.from_lines(f"id-{number}", read(harness.lines()))


def slow(sock, head, rest):
    """Target script: answers later than the latency objective."""
    gevent.sleep(0.3)
    return sends_complete_response(sock, head, rest)


def test_refused_by_a_target_with_free_slots(start_gateway):
    harness = start_gateway(refuses_to_execute, max_attempts=1)
    assert b"503" in harness.send_request()
    harness.send_request(number=2)
    cause = trace_request(harness, number=2).cause()
    assert cause.startswith(
        "Not run: t0 refused it; its last known load was 0."
    )
    assert "it sheds load below its slots" in cause


def names_limit_of_zero(sock, head, rest):
    """Target script: names a limit of no requests at all."""
    sock.sendall(response_to(head, extra_headers="X-Limit: 0\r\n"))
    return rest


def test_refused_since_the_target_names_a_limit(start_gateway):
    harness = start_gateway(names_limit_of_zero)
    for number in range(10):
        harness.send_request(number=number)
    assert trace_request(harness, number=9).cause() == (
        "Not run: its targets accept a limited rate, which was used up."
    )


def test_refused_since_the_targets_were_full(start_gateway):
    harness = start_gateway(never_responds, timeout_s=5.0)
    tasks = [
        gevent.spawn(harness.send_request, number=n) for n in range(10, 30)
    ]
    wait_until(lambda: any("overload" in x for x in harness.lines()))
    refused = next(x for x in read(harness.lines()) if "overload" in str(x))
    cause = trace_request(
        harness, refused.fields["request"].removeprefix("id-")
    ).cause()
    assert cause.startswith(
        "Not run: the load of its object's targets was 3.00"
    )
    gevent.killall(tasks)


def test_unknown_after_a_target_crashed(start_gateway):
    harness = start_gateway(truncates_response, is_idempotent=False)
    assert b"502" in harness.send_request(method="POST")
    harness.log.info("target-gone", target="t0", position=2, source="store")
    cause = trace_request(harness).cause()
    assert cause.startswith("Unknown: t0 received it and closed the connection")
    assert cause.endswith("its record was removed afterwards, so it crashed.")


def test_unknown_although_the_target_is_up(start_gateway):
    harness = start_gateway(truncates_response, is_idempotent=False)
    harness.send_request(method="POST")
    assert "its record remained" in trace_request(harness).cause()


def test_unknown_since_the_target_was_silent(start_gateway):
    harness = start_gateway(never_responds, timeout_s=0.2)
    assert b"504" in harness.send_request()
    cause = trace_request(harness).cause()
    held = re.search(r"t0 held it for (\d\.\d+) s", cause)
    # The time before the request was sent is not the target's.
    assert 0.1 < float(held[1]) < 0.3
    assert "and answered no requests; its record remained" in cause


def test_late_since_the_target_was_slow(start_gateway):
    harness = start_gateway(slow, objective_s=0.1)
    assert b"200 OK" in harness.send_request()
    cause = trace_request(harness).cause()
    assert cause.startswith("Late: t0 took 0.3")
    assert "did not have the object" in cause


def test_late_at_a_target_with_a_slow_median(start_gateway):
    harness = start_gateway(slow, sends_complete_response, objective_s=0.1)
    for number in range(1, 9):
        harness.send_request(number=number)
    attempts = [x for x in read(harness.lines()) if x.event == "attempt-ended"]
    key = next(x.fields["object"] for x in attempts if is_at(x, "t0"))
    request_object_again(harness, key, "id-99")
    cause = trace_request(harness, number=99).cause()
    assert cause.startswith("Late: t0 took 0.3")
    assert "is slow: its median is 0.3" in cause


def is_at(line, target):
    return line.fields["target"] == target


def request_object_again(harness, key, request_id):
    """Sends another request for the same object."""
    number = key.removeprefix("o")
    data = request(number=number, extra_headers="Connection: close\r\n")
    sock = harness.connect()
    sock.sendall(data.replace(f"id-{number}".encode(), request_id.encode()))
    read_all(sock)


def test_late_since_the_first_target_failed(start_gateway):
    received_heads = []

    def first_fails(sock, head, rest):
        received_heads.append(head)
        if len(received_heads) > 1:
            return sends_complete_response(sock, head, rest)
        gevent.sleep(0.2)
        sock.sendall(response_to(head, b"broken", status="500 Failed"))
        return rest

    harness = start_gateway(first_fails, first_fails, objective_s=0.1)
    assert b"200 OK" in harness.send_request()
    cause = trace_request(harness).cause()
    assert "passed before its last attempt" in cause
    assert "answered 500 after 0.2" in cause


def test_late_because_the_target_did_not_have_the_object(start_gateway):
    harness = start_gateway(slow, slow, objective_s=0.1)
    harness.routing_state.loads.of("t0").error_share = 1.0
    harness.routing_state.loads.of("t1").error_share = 1.0
    assert b"200 OK" in harness.send_request()
    assert "did not have the object" in trace_request(harness).cause()


def test_request_without_log_lines(start_gateway):
    harness = start_gateway(sends_complete_response)
    assert "No line names" in trace_request(harness).cause()


def test_lines_of_other_requests_and_targets_are_excluded(start_gateway):
    harness = start_gateway(sends_complete_response)
    harness.send_request(number=1)
    harness.send_request(number=2)
    harness.log.info("target-gone", target="t9", position=2, source="store")
    trace = trace_request(harness)
    assert {x.fields["request"] for x in trace.request} == {"id-1"}
    assert trace.context == []
    assert trace.cause() == "The request was answered in time."


def test_answered_by_another_host(start_gateway):
    stranded = start_gateway(never_responds)
    peer = start_gateway(sends_complete_response)
    stranded.add_peer(peer.peer_address)
    stranded.lose_path()
    stranded.send_request()
    lines = read([*stranded.lines(), *peer.lines()])
    cause = RequestTrace.from_lines("id-1", lines).cause()
    assert cause.startswith("The request was answered in time.")
    assert "forwarded it to peer: answered 200 after" in cause


def test_refused_since_no_host_reached_targets(start_gateway):
    stranded = start_gateway(never_responds)
    stranded.lose_path()
    stranded.send_request()
    assert trace_request(stranded).cause() == (
        "Not run: the host reached no target, and no other host took it."
    )


def test_refused_since_requests_like_it_crashed_targets(start_gateway):
    harness = start_gateway(sends_complete_response)
    harness.send_request()
    digest = trace_request(harness).attempts[0].fields["digest"]
    now = clock.steady()
    harness.routing_state.crash_suspects.refuse(digest, Refusal(now, now, 3))
    for about in (digest, "other"):
        harness.log.warning(
            "crash-refused", digest=about, losses=3, source="response"
        )
    harness.send_request()
    trace = trace_request(harness)
    assert trace.cause() == (
        "Not run: requests like it have crashed several targets."
    )
    assert [x.fields["digest"] for x in trace.context] == [digest]
