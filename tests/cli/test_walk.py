"""The way from a request's id to its cause, by log lines alone.

The lines are those that a gateway writes while it serves scripted targets.
"""

import gevent
from sardinewheel_cli.log_lines import read
from sardinewheel_cli.walk import Walk

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


def walk(house, number=1):
    """Returns what the log of a house tells of a request."""
    return Walk.from_lines(f"id-{number}", read(house.lines()))


def slow(sock, head, rest):
    """Script: answers after the objective."""
    gevent.sleep(0.3)
    return sends_complete_response(sock, head, rest)


def test_refused_though_targets_were_free(made):
    house = made(refuses_to_execute, max_attempts=1)
    assert b"503" in house.send_request()
    house.send_request(number=2)
    cause = walk(house, number=2).cause()
    assert cause.startswith("Not run: t0 refused it, believed to hold 0.")
    assert "it sheds below its slots" in cause


def test_refused_since_the_targets_were_full(made):
    house = made(never_responds, timeout_s=0.6)
    tasks = [gevent.spawn(house.send_request, number=n) for n in range(10, 30)]
    wait_until(lambda: any("overload" in x for x in house.lines()))
    refused = next(x for x in read(house.lines()) if "overload" in str(x))
    cause = walk(house, refused.fields["request"].removeprefix("id-")).cause()
    assert cause.startswith("Not run: the targets of its object held 3.00")
    gevent.killall(tasks)


def test_unknown_after_a_target_died(made):
    house = made(truncates_response, is_idempotent=False)
    assert b"502" in house.send_request(method="POST")
    house.log.info("target-gone", target="t0", position=2, source="store")
    cause = walk(house).cause()
    assert cause.startswith("Unknown: t0 had it and broke off")
    assert cause.endswith("its record went after that, so it had died.")


def test_unknown_though_the_target_lives(made):
    house = made(truncates_response, is_idempotent=False)
    house.send_request(method="POST")
    assert "its record stayed" in walk(house).cause()


def test_unknown_since_the_target_was_silent(made):
    house = made(never_responds, timeout_s=0.2)
    assert b"504" in house.send_request()
    assert "t0 had it for 0.2" in walk(house).cause()
    assert "and answered nobody; its record stayed" in walk(house).cause()


def test_late_since_the_target_was_slow(made):
    house = made(slow, objective_s=0.1)
    assert b"200 OK" in house.send_request()
    cause = walk(house).cause()
    assert cause.startswith("Late: t0 took 0.3")
    assert "did not know the object" in cause


def test_late_at_a_target_that_is_slow(made):
    house = made(slow, sends_complete_response, objective_s=0.1)
    for number in range(1, 9):
        house.send_request(number=number)
    attempts = [x for x in read(house.lines()) if x.event == "attempt-ended"]
    key = next(x.fields["object"] for x in attempts if is_at(x, "t0"))
    ask_again(house, key, "id-99")
    cause = walk(house, number=99).cause()
    assert cause.startswith("Late: t0 took 0.3")
    assert "is slow: 0.3" in cause


def is_at(line, target):
    return line.fields["target"] == target


def ask_again(house, key, request_id):
    """Sends another request of an object."""
    number = key.removeprefix("o")
    data = request(number=number, more="Connection: close\r\n")
    sock = house.connect()
    sock.sendall(data.replace(f"id-{number}".encode(), request_id.encode()))
    read_all(sock)


def test_late_since_the_first_target_failed(made):
    asked = []

    def first_fails(sock, head, rest):
        asked.append(head)
        if len(asked) > 1:
            return sends_complete_response(sock, head, rest)
        gevent.sleep(0.2)
        sock.sendall(response_to(head, b"broken", status="500 Failed"))
        return rest

    house = made(first_fails, first_fails, objective_s=0.1)
    assert b"200 OK" in house.send_request()
    cause = walk(house).cause()
    assert "were gone before its last attempt" in cause
    assert "answered 500 after 0.2" in cause


def test_late_since_the_target_did_not_know_the_object(made):
    house = made(slow, slow, objective_s=0.1)
    house.routing_state.loads.of("t0").error_share = 1.0
    house.routing_state.loads.of("t1").error_share = 1.0
    assert b"200 OK" in house.send_request()
    assert "did not know the object" in walk(house).cause()


def test_a_request_that_no_line_names(made):
    house = made(sends_complete_response)
    assert "No line names" in walk(house).cause()


def test_lines_of_other_requests_and_targets_are_left_out(made):
    house = made(sends_complete_response)
    house.send_request(number=1)
    house.send_request(number=2)
    house.log.info("target-gone", target="t9", position=2, source="store")
    found = walk(house)
    assert {x.fields["request"] for x in found.request} == {"id-1"}
    assert found.context == []
    assert found.cause() == "It was answered in time."
