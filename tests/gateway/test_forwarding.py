"""Forwarding: what is sent again, and what callers are told."""

import time

import gevent
import pytest

from tests.gateway.harness import (
    answer,
    answers_fully,
    never_answers,
    read_all,
    refuses_to_execute,
    request,
    truncates_response,
    wait_until,
)


def answers_500(sock, head, rest):
    """Script: executed it and failed."""
    sock.sendall(answer(head, b"broken", status="500 Failed"))
    return rest


def garbage(sock, head, rest):
    """Script: bytes that are no answer."""
    sock.sendall(b"\x00\x01 nothing of the kind\r\n\r\n")
    sock.close()


def first_request_runs(script):
    """Returns scripts of two targets: whoever is asked first runs one."""
    asked = []

    def run(sock, head, rest):
        asked.append(head)
        return (script if len(asked) == 1 else answers_fully)(sock, head, rest)

    return run, run


@pytest.mark.parametrize(
    "script", [truncates_response, garbage, answers_500, refuses_to_execute]
)
def test_an_idempotent_request_gets_a_second_attempt(made, script):
    harness = made(*first_request_runs(script))
    assert b"200 OK" in harness.ask()
    assert harness.arrivals() == 2


@pytest.mark.parametrize("script", [truncates_response, garbage])
def test_another_request_is_never_sent_twice(made, script):
    harness = made(*first_request_runs(script), is_idempotent=False)
    assert harness.ask(method="POST").startswith(b"HTTP/1.1 502 ")
    assert harness.arrivals() == 1


def test_a_failure_of_the_target_is_passed_on_unchanged(made):
    harness = made(*first_request_runs(answers_500), is_idempotent=False)
    data = harness.ask(method="POST")
    assert data.startswith(b"HTTP/1.1 500 ")
    assert b"broken" in data
    assert harness.arrivals() == 1


def test_what_a_target_did_not_execute_may_go_to_another(made):
    harness = made(*first_request_runs(refuses_to_execute), is_idempotent=False)
    assert b"200 OK" in harness.ask(method="POST")
    assert harness.arrivals() == 2


def test_no_more_targets_than_allowed_are_tried(made):
    harness = made(
        refuses_to_execute,
        refuses_to_execute,
        refuses_to_execute,
        max_attempts=2,
    )
    data = harness.ask()
    assert data.startswith(b"HTTP/1.1 503 ")
    assert b"retry-after" in data.lower()
    assert harness.arrivals() == 2


def test_an_answer_is_due_at_the_routes_timeout(made):
    harness = made(never_answers, never_answers, timeout_s=0.3)
    began = time.monotonic()
    assert harness.ask().startswith(b"HTTP/1.1 504 ")
    assert 0.25 < time.monotonic() - began < 3.0
    assert harness.arrivals() == 1


def test_a_target_is_handed_the_time_that_is_left(made):
    harness = made(answers_fully, timeout_s=0.8)
    harness.ask(more="X-Remaining: 5\r\n")
    head = harness.targets["t0"].heads[0].lower()
    remaining = float(head.split("x-remaining: ")[1].split("\r")[0])
    assert 0.0 < remaining <= 0.8


def test_nothing_listens_so_another_target_serves(made):
    harness = made(answers_fully, answers_fully)
    harness.targets["t0"].server.stop()
    for number in range(6):
        assert b"200 OK" in harness.ask(number=number, method="POST")
    assert harness.arrivals() == 6


def test_a_late_answer_of_another_request_is_passed_over(made):
    def answers_again(sock, head, rest):
        sock.sendall(answer(head, b"own"))
        if head.startswith("GET /orders/1"):
            gevent.spawn_later(
                0.05, sock.sendall, answer("x-id: id-1", b"extra")
            )
        return rest

    def waits(sock, head, rest):
        if head.startswith("GET /orders/2"):
            gevent.sleep(0.1)
        return answers_again(sock, head, rest)

    harness = made(waits)
    assert b"own" in harness.ask(number=1)
    data = harness.ask(number=2)
    assert b"extra" not in data
    assert b"own" in data


def test_an_answer_without_length_that_is_reset_is_not_whole(made):
    def resets(sock, head, rest):
        sock.sendall(
            f"HTTP/1.1 200 OK\r\nX-Id: {head.split('X-Id: ')[-1][:4]}\r\n"
            "X-Proof: yes\r\n\r\nhalf".encode()
        )
        gevent.sleep(0.05)
        linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
        sock.setsockopt(1, 13, linger)
        sock.close()

    harness = made(resets, is_idempotent=False)
    assert harness.ask(method="POST").startswith(b"HTTP/1.1 502 ")


def test_a_success_without_the_targets_proof_is_not_passed_on(made):
    def unproved(sock, head, rest):
        sock.sendall(answer(head).replace(b"X-Proof: yes\r\n", b""))
        return rest

    harness = made(unproved, is_idempotent=False)
    assert harness.ask(method="POST").startswith(b"HTTP/1.1 502 ")


def test_a_large_answer_that_breaks_off_does_not_look_whole(made):
    def half(sock, head, rest):
        sock.sendall(answer(head, b"x" * 400_000)[:-1000])
        sock.close()

    harness = made(half)
    data = harness.ask()
    assert b"content-length: 400000" in data.lower()
    assert len(data) < 400_000


def test_a_large_answer_is_passed_on_whole(made):
    def large(sock, head, rest):
        sock.sendall(answer(head, b"x" * 400_000))
        return rest

    harness = made(large)
    assert harness.ask().endswith(b"x" * 400_000)


def body_length(head):
    return int(head.lower().split("content-length: ")[1].split("\r")[0])


def test_a_large_body_is_streamed_whole(made):
    bodies = []

    def keeps(sock, head, rest):
        while len(rest) < body_length(head):
            rest += sock.recv(65536)
        bodies.append(rest)
        sock.sendall(answer(head))

    harness = made(keeps)
    body = bytes(range(256)) * 2048
    assert b"200 OK" in harness.ask(method="POST", body=body)
    assert bodies == [body]


def test_an_early_answer_ends_the_sending_and_the_connection(made):
    def early(sock, head, rest):
        sock.sendall(answer(head, b"no", status="413 Large"))
        gevent.sleep(0.2)
        return b""

    harness = made(early)
    sock = harness.connect()
    sock.sendall(request("POST", 1, b"x" * 900_000)[:300_000])
    assert sock.recv(65536).startswith(b"HTTP/1.1 413 ")
    wait_until(lambda: not harness.forwarder.sender.pool.idle)


def test_no_target_is_refused_at_once_with_a_time_to_return(made):
    harness = made()
    began = time.monotonic()
    data = harness.ask()
    assert data.startswith(b"HTTP/1.1 503 ")
    assert b"retry-after" in data.lower()
    assert time.monotonic() - began < 1.0


def test_a_host_without_configuration_says_not_run(made):
    harness = made(answers_fully)
    harness.beliefs.configuration = None
    assert harness.ask().startswith(b"HTTP/1.1 503 ")
    assert harness.arrivals() == 0


def test_connections_to_targets_are_reused(made):
    harness = made(answers_fully)
    sock = harness.connect()
    for number in range(5):
        sock.sendall(request(number=number))
        assert b"200 OK" in sock.recv(65536)
    assert harness.forwarder.metrics.counters["target_connections"] == 1


def test_read_all_sees_a_clean_end(made):
    harness = made(answers_fully)
    assert b"<reset>" not in read_all_of(harness)


def read_all_of(harness):
    sock = harness.connect()
    sock.sendall(request(more="Connection: close\r\n"))
    return read_all(sock)


def test_a_stopping_host_refuses_what_comes_too_late(made):
    harness = made(answers_fully)
    harness.forwarder.is_stopping = True
    assert harness.ask().startswith(b"HTTP/1.1 503 ")
    assert harness.arrivals() == 0
