"""Limits that targets name in their responses are logged and known."""

import gevent
from sardinewheel_gateway.policy.announcements import Limit

from tests.gateway.harness import response_to


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
