"""What targets announce in their responses is logged and acted on."""

import gevent
from sardinewheel_gateway import clock
from sardinewheel_gateway.policy.announcements import Limit

from tests.gateway.harness import response_to, sends_complete_response


def names_limit(value):
    """Returns a script of a target that names a limit in its responses."""

    def run(sock, head, rest):
        header = f"X-Limit: {value}\r\n"
        sock.sendall(response_to(head, extra_headers=header))
        return rest

    return run


def lines_of(harness, event):
    return [x for x in harness.lines() if f"event={event} " in x]


def test_a_named_limit_is_logged_once_and_with_each_later_attempt(
    start_gateway,
):
    harness = start_gateway(names_limit("1000"))
    for number in range(3):
        assert b"200 OK" in harness.send_request(number=number)
        gevent.sleep(0.01)
    assert len(lines_of(harness, "target-limit-named")) == 1
    attempts = lines_of(harness, "attempt-ended")
    assert ["limit_per_s=1000.000" in x for x in attempts] == [
        False,
        True,
        True,
    ]


def test_an_unreadable_limit_neither_ends_a_request_nor_changes_the_limit(
    start_gateway,
):
    harness = start_gateway(names_limit("many"))
    limit = Limit(1000.0, since=0.0)
    harness.routing_state.announcements.limits["t0"] = limit
    for number in range(2):
        assert b"200 OK" in harness.send_request(number=number)
    assert harness.routing_state.announcements.limits == {"t0": limit}
    assert len(lines_of(harness, "target-announcement-invalid")) == 1


def is_leaving(sock, head, rest):
    """Script: announces in its response that the target is leaving."""
    sock.sendall(response_to(head, extra_headers="X-Leaving: 1\r\n"))
    return rest


def asks_to_wait(seconds):
    """Returns a script that refuses requests and asks for a pause."""

    def run(sock, head, rest):
        headers = f"X-Not-Run: 1\r\nRetry-After: {seconds}\r\n"
        sock.sendall(
            response_to(head, status="503 Busy", extra_headers=headers)
        )
        return rest

    return run


def test_a_leaving_target_gets_no_further_request(start_gateway):
    harness = start_gateway(is_leaving, sends_complete_response)
    for number in range(20):
        assert b"200 OK" in harness.send_request(number=number)
    assert len(harness.targets["t0"].heads) == 1
    assert len(lines_of(harness, "target-leaving")) == 1


def test_a_leaving_target_that_registers_again_stays_unused(start_gateway):
    harness = start_gateway(is_leaving)
    assert b"200 OK" in harness.send_request()
    table = harness.routing_state.target_table
    record = table.targets["t0"].record
    table.remove("t0", now=1.0)
    harness.routing_state.forget_target("t0")
    table.put(record, now=2.0)
    assert b"503 " in harness.send_request()
    table.put(record._replace(started_ms=record.started_ms + 1), now=3.0)
    assert b"200 OK" in harness.send_request()


def test_a_target_that_asks_to_wait_gets_nothing_until_then(start_gateway):
    harness = start_gateway(asks_to_wait(0.6), sends_complete_response)
    began = clock.steady()
    while clock.steady() - began < 0.5:
        assert b"200 OK" in harness.send_request(number=int(began))
        gevent.sleep(0.01)
    assert len(harness.targets["t0"].heads) <= 1


def test_callers_are_refused_with_the_wait_that_the_targets_asked_for(
    start_gateway,
):
    harness = start_gateway(asks_to_wait(5.0))
    harness.send_request(number=1)
    data = harness.send_request(number=2)
    assert data.startswith(b"HTTP/1.1 503 ")
    retry_after_s = float(data.lower().split(b"retry-after: ")[1].split()[0])
    assert 4.5 <= retry_after_s <= 5.0 * 1.2 + 0.5
    assert harness.request_count() == 1


def test_a_target_is_used_again_after_the_wait(start_gateway):
    harness = start_gateway(asks_to_wait(0.2))
    harness.send_request(number=1)
    gevent.sleep(0.3)
    harness.send_request(number=2)
    assert harness.request_count() == 2
